//! Membership: the platform's box list combined with the state of this process's links.
//!
//! The box list lags behind, and a link shows only the state of its two ends. The rules, by
//! decreasing priority:
//!
//! 1. A run of a process that is shutting down stays so, whoever reported it.
//! 2. A box with an established link is used even if the box list doesn't contain it.
//! 3. A box whose link is down is suspect and gets no new requests from this process.
//! 4. A box that is neither listed nor connected is gone.
//!
//! A box that disconnects repeatedly is used again only after an increasing backoff, which prevents
//! flapping.
//!
//! ```
//! use gingerpier_base::{place::{Incarnation, Role, Zone}, time::Instant};
//! use gingerpier_membership::{Listing, Membership, Liveness};
//!
//! let mut members = Membership::default();
//! let zone = Zone { region: "kerala".parse()?, name: "kochi".parse()? };
//! let now = Instant::from_millis(0);
//! let key = members.record_listing(&"b1".parse()?, Role::Backend, &zone, "127.0.0.1:1", Listing::Live);
//! assert_eq!(members.liveness(key, now), Liveness::Suspect);
//! members.record_link_up(key, Incarnation(7), now);
//! assert_eq!(members.liveness(key, now), Liveness::Alive);
//! members.record_leaving(key, Incarnation(7));
//! members.record_link_up(key, Incarnation(7), now);
//! assert_eq!(members.liveness(key, now), Liveness::Leaving);
//! # Ok::<(), gingerpier_base::name::Error>(())
//! ```

pub mod member;
pub mod merge;

pub use member::{BoxKey, Listing, Liveness, Member};
pub use merge::Membership;
