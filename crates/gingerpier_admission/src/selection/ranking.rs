//! Ranking of the engines that may run a request.

use {
    super::{
        Choice, Criteria, bound_millis, has_valid_weights, is_eligible, latest_start,
        loaded_error_millis, predict, unreported_per_milli,
    },
    crate::prediction::Components,
    gingerpier_base::{Instant, order},
    gingerpier_serving::{
        engine::Engine,
        fleet::{EngineKey, Fleet},
    },
};

/// Cost of sending a request to an engine in another zone.
const OTHER_ZONE_COST_MILLIS: f64 = 60.0;

/// Cost of an engine whose requests all fail; scaled by its failure rate.
const FAILURE_COST_MILLIS: f64 = 400.0;

/// Cost per request already on the engine, for a request that may crash the engine.
const CRASH_RISK_COST_MILLIS: f64 = 30.0;

/// Upper bound of the random tie-breaking cost.
const MAX_JITTER_MILLIS: f64 = 12.0;

/// The engine with the lowest cost.
#[derive(Debug, Clone, Copy)]
pub(super) enum Ranked {
    /// Among those that meet the bound.
    Within(Candidate),
    /// Among all, as none meets the bound.
    Beyond(Candidate),
}

/// Returns the best engine among those that satisfy `is_included`: the one with the lowest cost that
/// meets the bound with the given share of the queueing time, or that has the lowest cost at all.
pub(super) fn best_candidate(
    fleet: &Fleet,
    criteria: &Criteria<'_>,
    now: Instant,
    (draw, queue_share): (u64, f64),
    is_included: impl Fn(EngineKey) -> bool,
) -> Option<Ranked> {
    let mut best: Option<Ranked> = None;
    let unreported_per_milli = unreported_per_milli(fleet, criteria, now);
    for (key, engine) in fleet.of_service(criteria.service) {
        if !is_included(key) || !is_eligible(key, engine, criteria, now) {
            continue;
        }
        let components = predict(engine, criteria, unreported_per_milli, now);
        let overdue_millis = engine.overdue_millis(now) as f64;
        let cost_millis = components.total_millis()
            + overdue_millis
            + engine.lateness_millis()
            + extra_cost_millis(engine, criteria, now)
            + jitter_millis(key, draw);
        // Most engines cost more than one within the bound and need no further checks.
        if matches!(best, Some(Ranked::Within(best)) if cost_millis >= best.cost_millis) {
            continue;
        }
        let starts_at = latest_start(engine, &components, now);
        if !has_valid_weights(engine, criteria, now, starts_at) {
            continue;
        }
        let candidate = Candidate {
            key,
            cost_millis,
            components,
            overdue_millis,
            error_millis: loaded_error_millis(engine, now),
        };
        if candidate.expected_millis() <= candidate.bound_millis(criteria, queue_share) {
            best = Some(Ranked::Within(candidate));
        } else if best.is_none_or(
            |best| matches!(best, Ranked::Beyond(best) if cost_millis < best.cost_millis),
        ) {
            best = Some(Ranked::Beyond(candidate));
        }
    }
    best
}

/// Engine that is eligible for a request.
#[derive(Debug, Clone, Copy)]
pub(super) struct Candidate {
    key: EngineKey,
    /// Ranking cost, in milliseconds; lower is better.
    cost_millis: f64,
    pub(super) components: Components,
    pub(super) overdue_millis: f64,
    pub(super) error_millis: f64,
}

impl Candidate {
    pub(super) fn choice(&self) -> Choice {
        Choice::Send {
            engine: self.key,
            predicted_millis: self.predicted_millis(),
            own_millis: self.components.own_prompt_millis,
        }
    }

    fn predicted_millis(&self) -> f64 {
        self.components.total_millis() + self.overdue_millis
    }

    /// Predicted time to the first event plus the engine's mean prediction error.
    fn expected_millis(&self) -> f64 {
        self.predicted_millis() + self.error_millis
    }

    /// Returns the bound with `queue_share` of the queueing time: the time for the request's own
    /// prompt is the same everywhere.
    pub(super) fn bound_millis(&self, criteria: &Criteria<'_>, queue_share: f64) -> f64 {
        let own_millis = self.components.own_prompt_millis;
        own_millis + (bound_millis(criteria, &self.components) - own_millis) * queue_share
    }
}

fn extra_cost_millis(engine: &Engine, criteria: &Criteria<'_>, now: Instant) -> f64 {
    let zone_cost = if engine.record.zone == criteria.zone {
        0.0
    } else {
        OTHER_ZONE_COST_MILLIS
    };
    let sharing_cost = match criteria.may_crash_engine {
        true => CRASH_RISK_COST_MILLIS * engine.occupancy(now),
        false => 0.0,
    };
    zone_cost + sharing_cost + FAILURE_COST_MILLIS * engine.failure_rate()
}

/// Returns a pseudo-random cost that spreads requests over engines with similar predictions.
fn jitter_millis(key: EngineKey, draw: u64) -> f64 {
    let hash = order::mix(u64::from(key.0) ^ draw);
    (hash % 1_000) as f64 / 1_000.0 * MAX_JITTER_MILLIS
}
