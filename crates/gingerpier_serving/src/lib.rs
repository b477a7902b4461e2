//! Decisions of gateways and loaders: configuration, membership, retries, weight updates.
//!
//! The platform's store holds the configuration and lists the engines, so gateways keep no log of
//! their own. A gateway replicates the store in a [`mirror`], reads a [`configuration`] and a
//! [`fleet`] of engines from it, and decides how failed attempts are retried ([`retry`],
//! [`budget`]). Whether a request is admitted and which engine runs it is decided in
//! `gingerpier_admission`.
//!
//! All modules are plain data and functions without I/O: time and events are arguments.
//!
//! ```
//! use {
//!     gingerpier_base::Instant,
//!     gingerpier_serving::budget::{Budget, Limits},
//! };
//!
//! let limits = Limits { ratio: 0.2, extra: 1, window_millis: 10_000, gateways: 1 };
//! let mut budget = Budget::new(limits);
//! let now = Instant::from_millis(0);
//! assert!(budget.try_spend(now), "one retry is free");
//! assert!(!budget.try_spend(now), "a second one needs requests that pay for it");
//! ```

pub mod budget;
pub mod configuration;
pub mod engine;
pub mod events;
pub mod fingerprint;
pub mod fleet;
pub mod liveness;
pub mod loader_polling;
pub mod manifest_keeping;
pub mod mirror;
pub mod outage;
pub mod pacing;
pub mod platform_api;
pub mod region;
pub mod release;
pub mod report;
pub mod request_limit;
pub mod retry;
pub mod shutdown;
pub mod signals;
pub mod suspects;
pub mod trials;
pub mod unreleased;
pub mod update_schedule;
pub mod warmup;
pub mod watching;
pub mod zones;
