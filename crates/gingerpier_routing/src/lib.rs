//! Where a request goes, and whether it is admitted.
//!
//! [`router::Router`] holds the engines in an arena and, for each version in each zone, a pool of
//! them. It counts this process's own work in flight exactly and takes load reports as hints. A
//! choice looks at one engine by prefix and a few at random, whatever the number of engines, and
//! allocates nothing. [`limits::Limits`] and [`budget::Budget`] decide, before that, whether a
//! client account's request and a retry are admitted at all.
//!
//! ```
//! use gingerpier_base::time::Instant;
//! use gingerpier_routing::router::{Ask, Policy, Router};
//!
//! let mut router = Router::new(Policy::default(), 1);
//! let engine = router.add_engine(4);
//! let pool = router.add_pool();
//! router.join(pool, engine);
//! let now = Instant::from_millis(0);
//! let ask = Ask { pools: &[pool], prefix: None, tried: &[], now };
//! assert_eq!(router.choose(ask), Ok(engine));
//! router.started(engine);
//! assert_eq!(router.in_flight(engine), 1);
//! ```

pub mod budget;
pub mod limits;
pub mod router;

pub use budget::Budget;
pub use limits::Limits;
pub use router::Router;
