//! Coordination parts of gingerpier, for programs that embed them.
//!
//! Each module is a crate of its own without I/O: an event and the time go in, actions come out.
//! The numbered programs under `examples/` show them at work one by one.
//!
//! ```
//! use gingerpier::{base::Instant, once::Claims, base::place::Incarnation};
//!
//! let mut claims = Claims::new(Incarnation(1), 42, 600_000);
//! let ticket = claims.issue(Instant::from_millis(0));
//! assert_eq!(ticket.owner, Incarnation(1));
//! ```

pub use {
    gingerpier_base as base, gingerpier_catalogue as catalogue, gingerpier_language as language,
    gingerpier_membership as membership, gingerpier_once as once, gingerpier_rollout as rollout,
    gingerpier_routing as routing, gingerpier_weights as weights, gingerpier_wire as wire,
};
