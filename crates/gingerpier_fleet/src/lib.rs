//! Test harness that runs a small fleet of real processes on one machine; not shipped.
//!
//! The processes are the shipped binaries and stand-ins for platform services. The harness writes
//! their settings and keys, starts them, sends signals and kills them on drop.
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
