//! Decisions of gateways and loaders: configuration, membership, admission, retries, weight
//! updates.
//!
//! The platform's store holds the configuration and lists the engines, so gateways keep no log of
//! their own. A gateway replicates the store in a [`mirror`], reads a [`configuration`] and a
//! [`fleet`] of engines from it, and decides for each request whether it is admitted and which
//! engine runs it ([`admission`]), and how failed attempts are retried ([`course`], [`budget`]).
//! All modules are plain data and functions without I/O: time and events are arguments.
//!
//! ```
//! use {
//!     gingerpier_base::Instant,
//!     gingerpier_serving::budget::{Budget, Terms},
//! };
//!
//! let terms = Terms { ratio: 0.2, extra: 1, window_millis: 10_000, members: 1 };
//! let mut budget = Budget::new(terms);
//! let now = Instant::from_millis(0);
//! assert!(budget.take(now), "one retry is free");
//! assert!(!budget.take(now), "a second one needs requests that pay for it");
//! ```

pub mod admission;
pub mod arrivals;
pub mod backlog;
pub mod budget;
pub mod configuration;
pub mod course;
pub mod engine;
pub mod evenness;
pub mod events;
pub mod fingerprint;
pub mod fleet;
pub mod liveness;
pub mod loader_polling;
pub mod mirror;
pub mod outage;
pub mod pace;
pub mod platform_api;
pub mod precedence;
pub mod prediction;
pub mod region;
pub mod release;
pub mod report;
pub mod returns;
pub mod sizes;
pub mod suspects;
pub mod trials;
pub mod unreleased;
pub mod update_schedule;
pub mod warmth;
pub mod watching;
pub mod zones;
