//! Routing of requests to engines, and admission control at an entry box.
//!
//! [`router::Router`] groups engines into pools, one for each version in each zone. It counts this
//! process's own requests exactly and treats load reports as estimates. A routing decision looks at
//! one engine by prefix and a bounded random sample, and allocates nothing. [`limits::Limits`] and
//! [`budget::Budget`] decide before that whether a client account's request or a retry is admitted.
//!
//! ```
//! use gingerpier_base::time::Instant;
//! use gingerpier_routing::router::{Criteria, Policy, Router};
//!
//! let mut router = Router::new(Policy::default(), 1);
//! let engine = router.add_engine(4);
//! let pool = router.add_pool();
//! router.add_to_pool(pool, engine);
//! let now = Instant::from_millis(0);
//! let criteria = Criteria { pools: &[pool], prefix_hash: None, tried: &[], now };
//! assert_eq!(router.choose(criteria), Ok(engine));
//! router.record_request_start(engine);
//! assert_eq!(router.in_flight(engine), 1);
//! ```

pub mod budget;
pub mod limits;
pub mod router;

pub use budget::Budget;
pub use limits::Limits;
pub use router::Router;
