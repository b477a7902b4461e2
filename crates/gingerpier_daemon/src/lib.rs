//! The daemon of entry boxes and backend servers.
//!
//! Decisions are made by crates without I/O; this crate runs their connections, timers and
//! signals. Each subsystem spawns its tasks on the process's only thread and shares the
//! process's state.
//!
//! ```no_run
//! # fn main() -> Result<(), gingerpier_daemon::error::Error> {
//! let settings = std::path::Path::new("entry.yaml");
//! gingerpier_daemon::run::run(settings)?;
//! # Ok(())
//! # }
//! ```

pub mod backend;
pub mod catalogue_state;
pub mod entry;
pub mod error;
pub mod log;
pub mod metrics;
pub mod operator_api;
pub mod process;
pub mod run;
pub mod table;
pub mod thread_delay;

pub use gingerpier_clock as clock;
