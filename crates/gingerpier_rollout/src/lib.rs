//! Assignment of model versions to engines, and progress of rollouts.
//!
//! The [`planner::Planner`] compares the catalogue with the state of the engines and proposes
//! commands. Proposals are written to the catalogue by compare-and-swap, and the planner keeps no
//! durable state, so any entry box can plan. Concurrent planners are safe but duplicate work.
//!
//! ```
//! use gingerpier_base::time::Instant;
//! use gingerpier_catalogue::Catalogue;
//! use gingerpier_rollout::planner::{Planner, Policy};
//!
//! let mut planner = Planner::new(Policy::default());
//! let commands = planner.plan(&Catalogue::default(), &[], Instant::from_millis(0));
//! assert!(commands.is_empty());
//! ```

pub mod engine;
pub mod planner;

pub use engine::EngineState;
pub use planner::Planner;
