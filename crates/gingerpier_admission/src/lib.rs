//! Decisions under load: whether a request is admitted, and which engine runs it.
//!
//! A gateway predicts the time to the first event of a request on each engine ([`prediction`], from
//! load reports and the [`backlog`] of prompts), and sends the request to the best one or refuses
//! it at once ([`selection`]). Where engines can't run all requests, first attempts go before
//! returning callers ([`shedding`], [`return_detection`]) and requests of all sizes are served alike
//! ([`fairness`], [`sizes`]). Zones with too few engines use those of other zones ([`sharing`]).
//!
//! All modules are plain data and functions without I/O: time and events are arguments. Engines and
//! their load reports come from [`gingerpier_serving::fleet`].

pub mod arrivals;
pub mod backlog;
pub mod fairness;
pub mod prediction;
pub mod return_detection;
pub mod selection;
pub mod sharing;
pub mod shedding;
pub mod sizes;
