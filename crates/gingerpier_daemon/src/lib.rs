//! The daemon of entry boxes and backend servers.
//!
//! Everything decided here is decided by the sans-I/O crates; this crate carries bytes, timers
//! and signals between them and the world. Each subsystem is one type that installs itself:
//! it starts its tasks on the process's only thread and shares the process's state.
//!
//! ```no_run
//! # fn main() -> Result<(), gingerpier_daemon::error::Error> {
//! let settings = std::path::Path::new("entry.yaml");
//! gingerpier_daemon::run::run(settings)?;
//! # Ok(())
//! # }
//! ```

pub mod backend;
pub mod entry;
pub mod error;
pub mod lateness;
pub mod ledger;
pub mod log;
pub mod metrics;
pub mod operate;
pub mod process;
pub mod run;
pub mod table;

pub use gingerpier_clock as clock;
