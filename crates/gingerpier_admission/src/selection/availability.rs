//! Breakdown of a service's engines by the reason that makes each unavailable for a request.
//!
//! Refusal logs and metrics use it to distinguish causes such as unlisted engines, missing
//! weights and overload.

use {
    super::{
        Criteria, EngineRates, bound_millis, engine_rates, has_memory, loaded_error_millis,
        min_version, predict,
    },
    gingerpier_base::Instant,
    gingerpier_serving::{engine::Engine, fleet::Fleet},
    std::fmt,
};

/// Availability of an engine for a request; if several reasons apply, the first of them.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Availability {
    /// A newer engine is listed at the same address.
    Replaced,
    /// Its entry has been missing from the store for longer than the grace period.
    Lapsed,
    /// Its region is not allowed for the request.
    RegionNotAllowed,
    /// Its zone is evacuated.
    Evacuated,
    /// It is draining.
    Draining,
    /// An earlier attempt of the request was sent to it.
    AlreadyTried,
    /// It has no weights of the model loaded.
    NoWeights,
    /// Its weights are older than required, or differ from those that began the stream.
    Outdated,
    /// It is executing an order, or one is about to be sent to it.
    Ordered,
    /// It is in backoff after a failure or a refusal.
    BackingOff,
    /// It is cold, and this gateway may not send it a request now.
    Cold,
    /// It has a request limit, and this gateway may not send it a request now.
    Limited,
    /// It is suspect and limited to one request at a time.
    OnTrial,
    /// It would meet the bound if its status reports weren't overdue.
    Silent,
    /// Its predicted time to the first event exceeds the bound.
    Full,
    /// It is available.
    Open,
}

impl Availability {
    /// All values, in order of precedence.
    pub const ALL: [Self; 16] = [
        Self::Replaced,
        Self::Lapsed,
        Self::RegionNotAllowed,
        Self::Evacuated,
        Self::Draining,
        Self::AlreadyTried,
        Self::NoWeights,
        Self::Outdated,
        Self::Ordered,
        Self::BackingOff,
        Self::Cold,
        Self::Limited,
        Self::OnTrial,
        Self::Silent,
        Self::Full,
        Self::Open,
    ];

    /// Label in logs and metrics.
    pub const fn label(self) -> &'static str {
        match self {
            Self::Replaced => "replaced",
            Self::Lapsed => "lapsed",
            Self::RegionNotAllowed => "abroad",
            Self::Evacuated => "evacuated",
            Self::Draining => "leaving",
            Self::AlreadyTried => "tried",
            Self::NoWeights => "empty",
            Self::Outdated => "outdated",
            Self::Ordered => "ordered",
            Self::BackingOff => "resting",
            Self::Cold => "cold",
            Self::Limited => "limited",
            Self::OnTrial => "on-trial",
            Self::Silent => "silent",
            Self::Full => "full",
            Self::Open => "open",
        }
    }
}

/// Number of engines of a service for each availability.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct AvailabilityCounts([u32; Availability::ALL.len()]);

impl AvailabilityCounts {
    /// Number of engines with this availability.
    pub const fn count(&self, availability: Availability) -> u32 {
        self.0[availability as usize]
    }
}

/// Writes the non-zero counts, such as `empty:44,full:1`, or `none` if no engine is listed.
impl fmt::Display for AvailabilityCounts {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        let mut separator = "";
        for availability in Availability::ALL {
            let count = self.count(availability);
            if count > 0 {
                write!(out, "{separator}{}:{count}", availability.label())?;
                separator = ",";
            }
        }
        match separator {
            "" => out.write_str("none"),
            _ => Ok(()),
        }
    }
}

/// Counts the listed engines of the requested service by their availability.
pub fn count_availability(
    fleet: &Fleet,
    criteria: &Criteria<'_>,
    now: Instant,
) -> AvailabilityCounts {
    let mut counts = AvailabilityCounts::default();
    let rates = engine_rates(fleet, criteria, now);
    for (key, engine) in fleet.of_service(criteria.service) {
        let availability = match criteria.tried_engines.contains(&key) {
            true => Availability::AlreadyTried,
            false => availability_of(engine, criteria, rates, now),
        };
        counts.0[availability as usize] += 1;
    }
    counts
}

fn availability_of(
    engine: &Engine,
    criteria: &Criteria<'_>,
    rates: EngineRates,
    now: Instant,
) -> Availability {
    if engine.is_replaced {
        return Availability::Replaced;
    }
    if engine.has_expired(now) {
        return Availability::Lapsed;
    }
    if !criteria.allowed_regions.contains(engine.region) {
        return Availability::RegionNotAllowed;
    }
    if engine.is_evacuated {
        return Availability::Evacuated;
    }
    if engine.is_draining() {
        return Availability::Draining;
    }
    if let Some(availability) = weights_availability(engine, criteria, now) {
        return availability;
    }
    if !engine.is_open(now) {
        return Availability::BackingOff;
    }
    if !engine.is_within_warmup_limits(&criteria.cold_limits, criteria.gateway_count, now) {
        return Availability::Cold;
    }
    if !engine.signals.allows_request(now) {
        return Availability::Limited;
    }
    if engine.is_on_trial(now) {
        return Availability::OnTrial;
    }
    let predicted = predict(engine, criteria, rates, now);
    let expected = predicted.total_millis() + loaded_error_millis(engine, now);
    let bound = bound_millis(criteria, &predicted);
    if expected > bound || !has_memory(engine, criteria, now) {
        return Availability::Full;
    }
    match expected + engine.overdue_millis(now) as f64 > bound {
        true => Availability::Silent,
        false => Availability::Open,
    }
}

/// Returns the reason if the engine's weights make it unavailable.
fn weights_availability(
    engine: &Engine,
    criteria: &Criteria<'_>,
    now: Instant,
) -> Option<Availability> {
    let model = criteria.model.filter(|_| criteria.engine_model.is_some())?;
    let Some(version) = engine.loaded_version(model, now) else {
        return Some(Availability::NoWeights);
    };
    let is_wrong_version = criteria
        .resume_version
        .is_some_and(|stream_version| stream_version != version);
    if is_wrong_version || version < min_version(criteria.cutovers, now) {
        return Some(Availability::Outdated);
    }
    engine
        .latest_report(now)
        .is_busy
        .then_some(Availability::Ordered)
}
