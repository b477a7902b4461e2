//! At most once: tickets, claims, the door's attempts, and one request's course.
//!
//! A caller that may come again with a request that must not run twice first gets a
//! [`ticket::Ticket`] from any entry box. The ticket names the one run of the entry box process
//! that issued it, its owner. Only the owner's [`claims::Claims`] grant the right to run a
//! ticket, and they live and die with that process: no ticket is ever judged by a successor, so
//! nothing has to be kept anywhere else. Where the owner is gone or can't be asked, the outcome
//! is unknown, and is said to be.
//!
//! At the other end, the [`door::Door`] of a backend server admits each attempt once, refuses
//! what was revoked or meant for an earlier run of the process, and so can prove that an attempt
//! did not run. [`course::Course`] ties both together for one request at an entry box.
//!
//! ```
//! use gingerpier_base::{place::Incarnation, time::Instant};
//! use gingerpier_once::claims::{Claims, Settlement, Verdict};
//!
//! let me = Incarnation(1);
//! let now = Instant::from_millis(0);
//! let mut claims = Claims::new(me, 42, 600_000);
//! let ticket = claims.issue(now);
//! let Verdict::Granted(grant) = claims.claim(ticket, me, now) else { panic!("not granted") };
//! assert_eq!(claims.claim(ticket, me, now), Verdict::Running);
//! claims.settle(ticket, grant, Settlement::Answered);
//! assert_eq!(claims.claim(ticket, me, now), Verdict::Answered);
//! ```

pub mod claims;
pub mod course;
pub mod door;
pub mod ticket;

pub use claims::Claims;
pub use course::Course;
pub use door::Door;
pub use ticket::Ticket;
