//! At-most-once execution of requests.
//!
//! A caller whose request must not run twice first obtains a [`ticket::Ticket`] from any entry box.
//! The ticket names the process run that issued it, its owner. Only the owner's [`claims::Claims`]
//! grant the right to run the request. They are kept in memory and end with the process; if the
//! owner can't be reached, the result is reported as unknown.
//!
//! At the backend server, the [`dedup::Deduplicator`] starts each attempt at most once, refuses
//! attempts that were revoked or addressed to another run of the process, and thereby proves that
//! an attempt did not run. [`lifecycle::Lifecycle`] is the state machine of one request at an entry
//! box.
//!
//! ```
//! use gingerpier_base::{place::Incarnation, time::Instant};
//! use gingerpier_once::claims::{Claims, Settlement, Verdict};
//!
//! let owner = Incarnation(1);
//! let now = Instant::from_millis(0);
//! let mut claims = Claims::new(owner, 42, 600_000);
//! let ticket = claims.issue(now);
//! let Verdict::Granted(grant) = claims.claim(ticket, owner, now) else { panic!("refused") };
//! assert_eq!(claims.claim(ticket, owner, now), Verdict::Running);
//! claims.settle(ticket, grant, Settlement::Answered);
//! assert_eq!(claims.claim(ticket, owner, now), Verdict::Answered);
//! ```

pub mod claims;
pub mod dedup;
pub mod lifecycle;
pub mod ticket;

pub use claims::Claims;
pub use dedup::Deduplicator;
pub use lifecycle::Lifecycle;
pub use ticket::Ticket;
