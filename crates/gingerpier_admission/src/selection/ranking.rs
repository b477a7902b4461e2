//! Ranking of the engines that may run a request.

use {
    super::{
        Choice, Criteria, Refusal, bound_millis, engine_rates, has_memory, has_valid_weights,
        is_eligible, latest_start, loaded_error_millis, predict,
    },
    crate::prediction::Components,
    gingerpier_base::{Instant, order},
    gingerpier_serving::{
        engine::Engine,
        fleet::{EngineKey, Fleet},
    },
};

/// Cost of sending a request to an engine in another zone. About the prediction error for engines
/// of other zones, whose reports arrive five times less often; traffic between zones also has a
/// price.
const OTHER_ZONE_COST_MILLIS: f64 = 60.0;

/// Margin of the prediction for an engine whose report gateways of its zone forwarded. Without it, a
/// zone short of capacity sent requests to engines of other zones that were full by then: predicted
/// at 183 ms, they took 495 ms.
const FORWARDED_REPORT_MARGIN_MILLIS: f64 = 60.0;

/// Cost of an engine whose requests all fail; scaled by its failure rate.
const FAILURE_COST_MILLIS: f64 = 400.0;

/// Cost per request already on the engine, for a request that may crash the engine. An interrupted
/// request is processed again, which takes about 60 ms, and about half of the suspected requests
/// are innocent.
const CRASH_RISK_COST_MILLIS: f64 = 30.0;

/// Upper bound of the random tie-breaking cost. A tenth of the prediction error on calm days, a
/// difference that predictions cannot resolve.
const MAX_JITTER_MILLIS: f64 = 12.0;

/// Returns the engine with the lowest cost among those that satisfy `is_included`, whether or not
/// it meets the bound.
///
/// A more expensive engine that meets the bound isn't preferred: that admits more requests than
/// engines can run on time, and goodput at four times the capacity falls from 0.90 to 0.88 of the
/// best.
pub(super) fn best_candidate(
    fleet: &Fleet,
    criteria: &Criteria<'_>,
    now: Instant,
    draw: u64,
    is_included: impl Fn(EngineKey) -> bool,
) -> Option<Candidate> {
    let mut best: Option<Candidate> = None;
    let rates = engine_rates(fleet, criteria, now);
    for (key, engine) in fleet.of_service(criteria.service) {
        if !is_included(key) || !is_eligible(key, engine, criteria, now) {
            continue;
        }
        let components = predict(engine, criteria, rates, now);
        let overdue_millis = engine.overdue_millis(now) as f64;
        let has_memory = has_memory(engine, criteria, now);
        // An engine without memory only stands for the refusal.
        let memory_cost = if has_memory { 0.0 } else { f64::INFINITY };
        let cost_millis = components.total_millis()
            + overdue_millis
            + memory_cost
            + engine.lateness_millis()
            + extra_cost_millis(engine, criteria, now)
            + jitter_millis(key, draw);
        if best.is_some_and(|best| cost_millis >= best.cost_millis) {
            continue;
        }
        let starts_at = latest_start(engine, &components, now);
        if !has_valid_weights(engine, criteria, now, starts_at) {
            continue;
        }
        best = Some(Candidate {
            key,
            cost_millis,
            components,
            overdue_millis,
            error_millis: loaded_error_millis(engine, now),
            margin_millis: match engine.has_forwarded_report() {
                true => FORWARDED_REPORT_MARGIN_MILLIS,
                false => 0.0,
            },
            has_memory,
        });
    }
    best
}

/// Engine that is eligible for a request.
#[derive(Debug, Clone, Copy)]
pub(super) struct Candidate {
    key: EngineKey,
    /// Ranking cost, in milliseconds; lower is better.
    cost_millis: f64,
    components: Components,
    overdue_millis: f64,
    error_millis: f64,
    margin_millis: f64,
    /// Whether the engine's memory can hold the prompt.
    has_memory: bool,
}

impl Candidate {
    pub(super) fn choice(&self) -> Choice {
        Choice::Send {
            engine: self.key,
            predicted_millis: self.predicted_millis(),
            own_millis: self.components.own_prompt_millis,
        }
    }

    /// Returns the refusal of a request for which this is the best engine.
    pub(super) fn refusal(&self, criteria: &Criteria<'_>, queue_share: f64) -> Refusal {
        Refusal {
            bound_millis: self.bound_millis(criteria, queue_share),
            components: self.components,
            overdue_millis: self.overdue_millis,
            error_millis: self.error_millis,
        }
    }

    /// Returns true if the engine can run the request within the bound, with the given share of the
    /// queueing time.
    pub(super) fn meets_bound(&self, criteria: &Criteria<'_>, queue_share: f64) -> bool {
        self.has_memory && self.expected_millis() <= self.bound_millis(criteria, queue_share)
    }

    fn predicted_millis(&self) -> f64 {
        self.components.total_millis() + self.overdue_millis
    }

    /// Predicted time to the first event plus the engine's mean prediction error and the margin.
    fn expected_millis(&self) -> f64 {
        self.predicted_millis() + self.error_millis + self.margin_millis
    }

    /// Returns the bound with `queue_share` of the queueing time: the time for the request's own
    /// prompt is the same everywhere.
    fn bound_millis(&self, criteria: &Criteria<'_>, queue_share: f64) -> f64 {
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
