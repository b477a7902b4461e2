//! Breakdown of a service's engines by the reason that makes each unavailable for a request.
//!
//! Refusal logs and metrics use it to distinguish causes such as unlisted engines, missing
//! weights and overload.

use {
    super::{
        Demand, bound_millis, least_version, loaded_error_millis, predict, unreported_per_milli,
    },
    crate::{
        engine::Engine,
        fleet::{Fleet, State},
    },
    gingerpier_base::Instant,
    std::fmt,
};

/// Availability of an engine for a request; if several reasons apply, the first of them.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Standing {
    /// A newer engine is listed at the same address.
    Replaced,
    /// Its entry has been missing from the store for longer than the grace period.
    Lapsed,
    /// Its region is not allowed for the request.
    Abroad,
    /// Its zone is evacuated.
    Evacuated,
    /// It is draining.
    Leaving,
    /// An earlier attempt of the request was sent to it.
    Tried,
    /// It has no weights of the model loaded.
    Empty,
    /// Its weights are older than required, or differ from those that began the stream.
    Outdated,
    /// It is executing an order, or one is about to be sent to it.
    Ordered,
    /// It is in backoff after a failure or a refusal.
    Resting,
    /// It is cold, and this gateway may not send it a request now.
    Cold,
    /// It is suspect and limited to one request at a time.
    OnTrial,
    /// It would meet the bound if its status reports weren't overdue.
    Silent,
    /// Its predicted time to the first event exceeds the bound.
    Full,
    /// It is available.
    Open,
}

impl Standing {
    /// All values, in order of precedence.
    pub const ALL: [Self; 15] = [
        Self::Replaced,
        Self::Lapsed,
        Self::Abroad,
        Self::Evacuated,
        Self::Leaving,
        Self::Tried,
        Self::Empty,
        Self::Outdated,
        Self::Ordered,
        Self::Resting,
        Self::Cold,
        Self::OnTrial,
        Self::Silent,
        Self::Full,
        Self::Open,
    ];

    /// Label in logs and metrics.
    pub const fn word(self) -> &'static str {
        match self {
            Self::Replaced => "replaced",
            Self::Lapsed => "lapsed",
            Self::Abroad => "abroad",
            Self::Evacuated => "evacuated",
            Self::Leaving => "leaving",
            Self::Tried => "tried",
            Self::Empty => "empty",
            Self::Outdated => "outdated",
            Self::Ordered => "ordered",
            Self::Resting => "resting",
            Self::Cold => "cold",
            Self::OnTrial => "on-trial",
            Self::Silent => "silent",
            Self::Full => "full",
            Self::Open => "open",
        }
    }
}

/// Number of engines of a service for each availability.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct Census([u32; Standing::ALL.len()]);

impl Census {
    /// Number of engines with this availability.
    pub const fn count(&self, standing: Standing) -> u32 {
        self.0[standing as usize]
    }
}

/// Writes the non-zero counts, such as `empty:44,full:1`, or `none` if no engine is listed.
impl fmt::Display for Census {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        let mut separator = "";
        for standing in Standing::ALL {
            let count = self.count(standing);
            if count > 0 {
                write!(out, "{separator}{}:{count}", standing.word())?;
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
pub fn census(fleet: &Fleet, demand: &Demand<'_>, now: Instant) -> Census {
    let mut census = Census::default();
    let unreported_per_milli = unreported_per_milli(fleet, demand, now);
    for (key, engine) in fleet.of_service(demand.service) {
        let standing = match demand.tried.contains(&key) {
            true => Standing::Tried,
            false => standing(engine, demand, unreported_per_milli, now),
        };
        census.0[standing as usize] += 1;
    }
    census
}

fn standing(
    engine: &Engine,
    demand: &Demand<'_>,
    unreported_per_milli: f64,
    now: Instant,
) -> Standing {
    if engine.is_replaced {
        return Standing::Replaced;
    }
    if engine.has_lapsed(now) {
        return Standing::Lapsed;
    }
    if !demand.homes.admit(engine.region) {
        return Standing::Abroad;
    }
    if engine.is_evacuated {
        return Standing::Evacuated;
    }
    if engine.record.state == State::Draining {
        return Standing::Leaving;
    }
    if let Some(standing) = weights_standing(engine, demand, now) {
        return standing;
    }
    if !engine.is_open(now) {
        return Standing::Resting;
    }
    if !engine.is_warm_for(&demand.cold, demand.gateways, now) {
        return Standing::Cold;
    }
    if engine.is_on_trial(now) {
        return Standing::OnTrial;
    }
    let predicted = predict(engine, demand, unreported_per_milli, now);
    let expected = predicted.sum() + loaded_error_millis(engine, now);
    let bound = bound_millis(demand, &predicted);
    if expected > bound {
        return Standing::Full;
    }
    match expected + engine.silence(now) as f64 > bound {
        true => Standing::Silent,
        false => Standing::Open,
    }
}

/// Returns the reason if the engine's weights make it unavailable.
fn weights_standing(engine: &Engine, demand: &Demand<'_>, now: Instant) -> Option<Standing> {
    let model = demand.model.filter(|_| demand.engines.is_some())?;
    let Some(version) = engine.version_of(model, now) else {
        return Some(Standing::Empty);
    };
    let is_wrong_version = demand
        .goes_on_with
        .is_some_and(|stream_version| stream_version != version);
    if is_wrong_version || version < least_version(demand.due, now) {
        return Some(Standing::Outdated);
    }
    engine.latest(now).is_busy.then_some(Standing::Ordered)
}
