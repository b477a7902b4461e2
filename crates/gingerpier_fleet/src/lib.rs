//! Starts a small fleet of real processes for tests and the demonstration; not shipped.
//!
//! Every process is one of the two shipped binaries or a stand-in; this crate writes their
//! settings and keys, starts and signals them by their own ids, and ends every one it started.
//!
//! ```no_run
//! use gingerpier_fleet::{fleet::Fleet, spec::Spec};
//!
//! # async fn run() -> Result<(), gingerpier_fleet::error::Error> {
//! let fleet = Fleet::start(Spec::small()).await?;
//! fleet.operate("show boxes").await?;
//! # Ok(())
//! # }
//! ```

pub mod caller;
pub mod child;
pub mod error;
pub mod fleet;
pub mod spec;
pub mod weights;

pub use caller::Caller;
pub use child::Child;
pub use error::Error;
pub use fleet::Fleet;
pub use spec::Spec;
