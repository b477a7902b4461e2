//! The operators' command line.
//!
//! A statement of the operators' language goes to an entry box over HTTPS; everything else (keys,
//! manifests, checks) is done at the desk. What became of a statement is told by the exit code
//! too.
//!
//! ```
//! use gingerpier_cli::exit::Exit;
//!
//! assert_eq!(Exit::Refused.code(), 1);
//! ```

pub mod arguments;
pub mod desk;
pub mod error;
pub mod exit;
pub mod held;
pub mod keys;
pub mod manifest;
pub mod show;
pub mod watch;

pub use arguments::Arguments;
pub use error::Error;
