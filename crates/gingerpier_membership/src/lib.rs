//! Who is there: the platform's box list merged with what this process sees itself.
//!
//! The list lags; a link tells at once, but only of its own two ends. The rules, strongest first:
//!
//! 1. Leaving, whoever says it (the box, the list, an operator, a peer), holds for that run of
//!    the process for good: leaving is a one-way state.
//! 2. A link that is up shows a box that the list does not know yet, or knows no more.
//! 3. A link that is down makes a box suspect: it gets no new work from here, listed or not.
//! 4. A box that is neither listed nor linked is gone.
//!
//! A link that goes down and up again is trusted later each time, so that a slow or frozen box
//! does not flap.
//!
//! ```
//! use gingerpier_base::{place::{Incarnation, Role, Zone}, time::Instant};
//! use gingerpier_membership::{Listing, Membership, Standing};
//!
//! let mut members = Membership::default();
//! let zone = Zone { region: "kerala".parse()?, name: "kochi".parse()? };
//! let now = Instant::from_millis(0);
//! let key = members.listed(&"b1".parse()?, Role::Backend, &zone, "127.0.0.1:1", Listing::Live);
//! assert_eq!(members.standing(key, now), Standing::Suspect);
//! members.link_up(key, Incarnation(7), now);
//! assert_eq!(members.standing(key, now), Standing::Alive);
//! members.leaving(key, Incarnation(7));
//! members.link_up(key, Incarnation(7), now);
//! assert_eq!(members.standing(key, now), Standing::Leaving);
//! # Ok::<(), gingerpier_base::name::Error>(())
//! ```

pub mod member;
pub mod merge;

pub use member::{BoxKey, Listing, Member, Standing};
pub use merge::Membership;
