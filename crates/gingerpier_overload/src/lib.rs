//! Gateways and engines under more load than they can run, as a model without I/O.
//!
//! Engines batch as their description says; gateways are the product's own state (engines as known,
//! predictions, admission, arrivals, retry budget) with the calls that a gateway makes of it. What is played
//! is one deployment that is like a real one, and any number that are drawn.
//!
//! A deployment may have uneven zones ([`zoning`]): gateways then know the engines of other zones from digests, requests
//! belong to classes with a priority, a target and a value, and zones and gateways have incidents ([`incident`]).
//!
//! Left out are versions of weights, ordinary services and links that are full: each way takes as long as it takes.
//!
//! ```
//! use gingerpier_overload::{Deployment, pattern::Pattern, play};
//!
//! let played = play::play(&Deployment::usual(1), 0.3, Pattern::Steady, 500.0);
//! assert!(played.share_of_worth > 0.9, "nobody is refused where engines are free");
//! ```

pub mod accounts;
pub mod callers;
pub mod deployment;
pub mod draw;
pub mod engine;
pub mod error;
pub mod gateway;
pub mod incident;
pub mod parts;
pub mod pattern;
pub mod play;
pub mod report;
pub mod shares;
pub mod sharing;
pub mod world;
pub mod zoning;

pub use deployment::Deployment;

/// Service that all engines belong to.
const SERVICE: &str = "s";

/// Model that all engines run.
const MODEL: &str = "m";
