//! Choice of an engine in a granting zone.
//!
//! The load of engines in another zone is known too late to choose the best one: all gateways would
//! choose the same. The better of two random ones spreads the requests evenly.

use {
    crate::selection::{self, Choice, Criteria},
    gingerpier_base::{Instant, order},
    gingerpier_serving::{
        engine::Engine,
        fleet::{EngineKey, Fleet},
    },
};

/// Returns the less loaded of two random engines of `zone` that may run the request. `draw` is a
/// random number.
pub fn choose(
    fleet: &Fleet,
    criteria: &Criteria<'_>,
    zone: &str,
    now: Instant,
    draw: u64,
) -> Option<Choice> {
    let rank = |key: EngineKey| order::mix(order::mix(u64::from(key.0)) ^ draw);
    let (mut first, mut second) = (None::<(EngineKey, &Engine)>, None::<(EngineKey, &Engine)>);
    for (key, engine) in fleet.of_service(criteria.service) {
        if engine.record.zone != zone || !is_eligible(key, engine, criteria, now) {
            continue;
        }
        if first.is_none_or(|(other, _)| rank(key) < rank(other)) {
            second = first;
            first = Some((key, engine));
        } else if second.is_none_or(|(other, _)| rank(key) < rank(other)) {
            second = Some((key, engine));
        }
    }
    let (first, second) = (first?, second);
    let load = |engine: &Engine| engine.occupancy(now) / f64::from(engine.record.slots.max(1));
    let (key, engine) = match second {
        Some(second) if load(second.1) < load(first.1) => second,
        _ => first,
    };
    Some(selection::choice_without_bound(engine, key, criteria, now))
}

/// Returns true if the engine may run the request, is warm, and its load is known.
fn is_eligible(key: EngineKey, engine: &Engine, criteria: &Criteria<'_>, now: Instant) -> bool {
    engine.fresh_report(now).is_some()
        && !engine.warmup.is_cold(now)
        && selection::is_eligible(key, engine, criteria, now)
        && selection::starts_with_valid_weights(engine, criteria, now)
}
