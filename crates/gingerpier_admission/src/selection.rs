//! Admission control and engine selection for requests.
//!
//! The time to the first event is predicted for each engine ([`prediction`](crate::prediction)). A
//! request that would miss its target on every engine is refused immediately, so that it doesn't
//! delay the others.

mod availability;
mod ranking;

pub use availability::{Availability, AvailabilityCounts, count_availability};
use {
    crate::{
        fairness::Adjustment,
        prediction::{self, Components},
        shedding,
    },
    gingerpier_base::{Instant, order},
    gingerpier_serving::{
        configuration::EngineModel,
        engine::Engine,
        fleet::{EngineKey, Fleet},
        region::RegionSet,
        report::Version,
        warmup::ColdLimits,
    },
    ranking::best_candidate,
};

/// Multiple of its target that a request to an ordinary service may be predicted to take. Short
/// requests are worth more late than refused, and delay few others.
const PLAIN_TARGET_SHARE: f64 = 2.0;

/// Fraction of the target that a request to an ordinary service is assumed to take until measured.
const PLAIN_DEFAULT_WORK_SHARE: f64 = 0.2;

/// Number of gateways for each subset that the engines of a model are divided into. With 6 and 7
/// gateways, sampling a quarter of the engines lost 0.006 to 0.013 of a day's value; with 40 it
/// gained 0.002 to 0.013.
const GATEWAYS_PER_SUBSET: u32 = 10;

/// Upper bound of the number of subsets. A sample must contain an engine with free capacity.
const MAX_SUBSETS: u32 = 4;

/// Multiple of an idle engine's time to first event, or of its response time, that is always
/// admitted: a request that misses its target on an idle engine would miss it on every retry, and
/// only further responses correct a response time that was measured while the engine was slow.
const IDLE_TOLERANCE: f64 = 1.25;

/// Fraction of the queueing time allowed on engines outside the sampled subset, as other gateways
/// also see them as the best.
const FALLBACK_QUEUE_SHARE: f64 = 0.75;

/// Margin between the predicted and the actual start of a request.
const START_MARGIN_MILLIS: u64 = 400;

/// Time from which requests may only start on a version or a newer one.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Cutover {
    /// Lowest version that may start requests after the cutover.
    pub version: Version,
    /// Time of the cutover.
    pub at: Instant,
}

/// Properties of a request that determine its engine.
#[derive(Debug, Clone, Copy)]
pub struct Criteria<'a> {
    /// Service name.
    pub service: &'a str,
    /// Performance model of the engines; `None` for ordinary services.
    pub engine_model: Option<&'a EngineModel>,
    /// Model name, if the request has one.
    pub model: Option<&'a str>,
    /// Past and scheduled cutovers of the model's weights.
    pub cutovers: &'a [Cutover],
    /// Version that generated the first part of a resumed stream.
    pub resume_version: Option<Version>,
    /// Length of the prompt.
    pub prompt_tokens: u64,
    /// Target time to the first event.
    pub target_millis: u64,
    /// Fraction of the target that the first event may be predicted to take.
    pub target_share: f64,
    /// Adjustment of the bound for requests with little or much slack.
    pub fairness: Adjustment,
    /// Regions in which the request may run.
    pub allowed_regions: RegionSet,
    /// Request limits of cold engines of the service.
    pub cold_limits: ColdLimits,
    /// Zone of this gateway.
    pub zone: &'a str,
    /// Number of gateways that choose among the same engines, including this one.
    pub gateway_count: u32,
    /// Estimated arrival rate at the other gateways, in requests per millisecond.
    pub other_arrivals_per_milli: f64,
    /// Estimated rate of more urgent requests at all gateways, in requests per millisecond.
    pub overtaking_per_milli: f64,
    /// Engines that earlier attempts of the request were sent to.
    pub tried_engines: &'a [EngineKey],
    /// True if the request is suspected of crashing engines, and prefers engines with few other
    /// requests.
    pub may_crash_engine: bool,
}

/// Outcome of admission.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Choice {
    /// The request is sent to an engine.
    Send {
        /// Selected engine.
        engine: EngineKey,
        /// Predicted time to the first event.
        predicted_millis: f64,
        /// Part of the prediction that is the request's own prompt.
        own_millis: f64,
    },
    /// Every eligible engine is predicted to miss the bound.
    Full(Refusal),
    /// No engine is eligible.
    NoEngine,
}

/// Prediction for the best engine of a refused request, in milliseconds.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Refusal {
    /// Bound that the prediction exceeds.
    pub bound_millis: f64,
    /// Components of the prediction.
    pub components: Components,
    /// Time by which the engine's status report is overdue.
    pub overdue_millis: f64,
    /// Mean recent prediction error of the engine, scaled by its load.
    pub error_millis: f64,
}

impl Refusal {
    /// Predicted time to the first event.
    pub fn predicted_millis(&self) -> f64 {
        self.components.total_millis() + self.overdue_millis
    }
}

/// Selects an engine for a request. `draw` is a random number that all attempts of the request
/// share.
///
/// With many gateways, a random subset of the model's engines is considered first and the rest only
/// if none of these meets the bound. This prevents gateways with the same view from overloading the
/// same engines.
pub fn choose(fleet: &Fleet, criteria: &Criteria<'_>, now: Instant, draw: u64) -> Choice {
    let subsets = subset_count(criteria);
    let mut queue_share = 1.0;
    if subsets > 1 {
        let is_in_subset = |key: EngineKey| {
            let hash = order::mix(order::mix(u64::from(key.0)) ^ draw);
            hash.is_multiple_of(u64::from(subsets))
        };
        if let Some(sampled) = best_candidate(fleet, criteria, now, draw, is_in_subset) {
            if sampled.meets_bound(criteria, queue_share) {
                return sampled.choice();
            }
            queue_share = FALLBACK_QUEUE_SHARE;
        }
    }
    let Some(fallback) = best_candidate(fleet, criteria, now, draw, |_| true) else {
        return Choice::NoEngine;
    };
    match fallback.meets_bound(criteria, queue_share) {
        true => fallback.choice(),
        false => Choice::Full(fallback.refusal(criteria, queue_share)),
    }
}

/// Returns the number of subsets that the engines are divided into.
fn subset_count(criteria: &Criteria<'_>) -> u32 {
    match criteria.engine_model {
        Some(_) => (criteria.gateway_count / GATEWAYS_PER_SUBSET).clamp(1, MAX_SUBSETS),
        None => 1,
    }
}

/// Returns true if the engine may receive the request, apart from its weights and its load.
pub(crate) fn is_eligible(
    key: EngineKey,
    engine: &Engine,
    criteria: &Criteria<'_>,
    now: Instant,
) -> bool {
    !criteria.tried_engines.contains(&key)
        && criteria.allowed_regions.contains(engine.region)
        && engine.is_open(now)
        && !engine.is_on_trial(now)
        && engine.is_within_warmup_limits(&criteria.cold_limits, criteria.gateway_count, now)
        && engine.signals.allows_request(now)
}

/// Returns true if the engine has weights with which the request may still start at the predicted
/// time.
pub(crate) fn starts_with_valid_weights(
    engine: &Engine,
    criteria: &Criteria<'_>,
    now: Instant,
) -> bool {
    let components = predict(engine, criteria, EngineRates::default(), now);
    has_valid_weights(
        engine,
        criteria,
        now,
        latest_start(engine, &components, now),
    )
}

/// Returns the choice of an engine by its latest report alone; `None` if it exceeds the admission
/// bound.
pub(crate) fn choice_by_report(
    engine: &Engine,
    key: EngineKey,
    criteria: &Criteria<'_>,
    now: Instant,
) -> Option<Choice> {
    let components = predict(engine, criteria, EngineRates::default(), now);
    let predicted_millis = components.total_millis() + engine.overdue_millis(now) as f64;
    let expected_millis = predicted_millis + loaded_error_millis(engine, now);
    let is_within = expected_millis <= bound_millis(criteria, &components);
    (is_within && has_memory(engine, criteria, now)).then_some(Choice::Send {
        engine: key,
        predicted_millis,
        own_millis: components.own_prompt_millis,
    })
}

/// Returns the latest time at which a request with this prediction starts.
fn latest_start(engine: &Engine, components: &Components, now: Instant) -> Instant {
    let predicted = components.total_millis() + engine.overdue_millis(now) as f64;
    now.after_millis((predicted + engine.lateness_millis()) as u64 + START_MARGIN_MILLIS)
}

/// Estimated arrivals at each open engine.
#[derive(Debug, Clone, Copy, Default)]
struct EngineRates {
    /// Requests of other gateways per millisecond.
    unreported: f64,
    /// Part of the engine's time that more urgent requests of all gateways take.
    overtaking_share: f64,
}

fn engine_rates(fleet: &Fleet, criteria: &Criteria<'_>, now: Instant) -> EngineRates {
    let listed = fleet.of_service(criteria.service);
    // Engines with a request limit receive few of these requests.
    let is_open = |engine: &Engine| engine.is_open(now) && engine.signals.request_limit().is_none();
    let open_count = listed.filter(|(_, engine)| is_open(engine)).count();
    let open_count = open_count.max(1) as f64;
    let work_millis = criteria
        .engine_model
        .map_or(0.0, prediction::mean_work_millis);
    EngineRates {
        unreported: criteria.other_arrivals_per_milli / open_count,
        overtaking_share: criteria.overtaking_per_milli * work_millis / open_count,
    }
}

/// Returns the engine's mean prediction error scaled by its occupancy, so that an idle engine isn't
/// refused for its errors under load.
fn loaded_error_millis(engine: &Engine, now: Instant) -> f64 {
    let slots = f64::from(engine.record.slots.max(1));
    let occupancy_share = (engine.occupancy(now) / slots).min(1.0);
    engine.error_millis().max(0.0) * occupancy_share
}

/// Returns the lowest version that may start a request at `starts_at`.
pub fn min_version(cutovers: &[Cutover], starts_at: Instant) -> Version {
    let past = cutovers
        .iter()
        .filter(|cutover| cutover.at.has_passed(starts_at));
    past.map(|cutover| cutover.version)
        .max()
        .unwrap_or_default()
}

fn has_valid_weights(
    engine: &Engine,
    criteria: &Criteria<'_>,
    now: Instant,
    starts_at: Instant,
) -> bool {
    let (Some(_), Some(model)) = (criteria.engine_model, criteria.model) else {
        return true;
    };
    let Some(version) = engine.loaded_version(model, now) else {
        return false;
    };
    // A request that is stuck on the way to a suspect engine could start after the cutover.
    let is_before_cutover = criteria
        .cutovers
        .iter()
        .any(|cutover| cutover.version > version);
    if is_before_cutover && engine.is_suspect() {
        return false;
    }
    let matches_stream = criteria
        .resume_version
        .is_none_or(|stream_version| stream_version == version);
    matches_stream
        && version >= min_version(criteria.cutovers, starts_at)
        && !engine.latest_report(now).is_busy
}

/// Returns true unless the engine reports that its memory can't hold the prompt.
fn has_memory(engine: &Engine, criteria: &Criteria<'_>, now: Instant) -> bool {
    let free_tokens = engine.free_memory_tokens(now);
    free_tokens.is_none_or(|free_tokens| criteria.prompt_tokens <= free_tokens)
}

fn predict(
    engine: &Engine,
    criteria: &Criteria<'_>,
    rates: EngineRates,
    now: Instant,
) -> Components {
    match criteria.engine_model {
        Some(model) => prediction::predict_first_event(
            engine,
            model,
            criteria.prompt_tokens,
            rates.unreported,
            now,
        )
        .with_overtaking(rates.overtaking_share),
        None => {
            let default_work = PLAIN_DEFAULT_WORK_SHARE * criteria.target_millis as f64;
            Components {
                own_prompt_millis: engine.work_millis().unwrap_or(default_work)
                    * engine.sharing_slowdown(),
                slowdown: engine.sharing_slowdown(),
                ..Components::default()
            }
        }
    }
}

/// Returns the longest expected time to the first event at which the request is still admitted.
fn bound_millis(criteria: &Criteria<'_>, components: &Components) -> f64 {
    let target_millis = criteria.target_millis as f64;
    let Some(model) = criteria.engine_model else {
        let idle_millis = components.own_prompt_millis / components.slowdown;
        return (target_millis * PLAIN_TARGET_SHARE).max(idle_millis * IDLE_TOLERANCE);
    };
    // A slow engine is slow when idle, too, so the idle time is scaled by its slowdown.
    let idle_millis =
        prediction::idle_first_event_millis(model, criteria.prompt_tokens) * components.slowdown;
    // Under overload, requests with much slack would otherwise fill all engines.
    let adjustment = criteria
        .fairness
        .bound_change_millis(slack_millis(target_millis, components.own_prompt_millis));
    (target_millis * criteria.target_share + adjustment).max(idle_millis * IDLE_TOLERANCE)
}

/// Returns how long a first attempt may queue and still meet its target, if its own prompt takes
/// `own_millis`.
pub fn slack_millis(target_millis: f64, own_millis: f64) -> f64 {
    target_millis * shedding::TARGET_SHARE - own_millis
}
