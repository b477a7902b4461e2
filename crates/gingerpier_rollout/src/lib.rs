//! Which engine holds which version, and when a version may take traffic.
//!
//! The [`planner::Planner`] compares what the catalogue asks for with what the engines report,
//! and proposes commands. It keeps nothing that must last: its proposals are written to the
//! catalogue by compare-and-swap like an operator's, and any entry box can take over from what
//! the catalogue says. Two planners at work at once waste effort and do no harm.
//!
//! ```
//! use gingerpier_base::time::Instant;
//! use gingerpier_catalogue::Catalogue;
//! use gingerpier_rollout::planner::{Planner, Terms};
//!
//! let mut planner = Planner::new(Terms::default());
//! let proposed = planner.plan(&Catalogue::default(), &[], Instant::from_millis(0));
//! assert!(proposed.is_empty());
//! ```

pub mod engine;
pub mod planner;

pub use engine::View;
pub use planner::Planner;
