//! Why the engines of a service would or would not take a request.
//!
//! A refusal says only that no engine would do. Whether none is listed, none has weights or all are full calls for
//! different mends, so a line of a refusal and the metrics count engines by what keeps them from taking it.

use {
    super::{Demand, bound, error_when_full, least_version, predict, unseen_per_milli},
    crate::{
        engine::Engine,
        fleet::{Fleet, State},
    },
    gingerpier_base::Instant,
    std::fmt,
};

/// What keeps an engine from taking a request: the first of these that holds.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Standing {
    /// Another engine was listed at its address later.
    Replaced,
    /// Its entry is missing for too long.
    Lapsed,
    /// The request may not be served in its region.
    Abroad,
    /// Its zone is to get no requests.
    Evacuated,
    /// It is leaving.
    Leaving,
    /// The request went there already.
    Tried,
    /// It holds no weights of the model.
    Empty,
    /// Its weights are due, or are not those of the stream.
    Outdated,
    /// It carries out an order, or is about to get one.
    Ordered,
    /// It rests after a failure or a refusal.
    Resting,
    /// It is cold, and this gateway may send it nothing now.
    Cold,
    /// It is tried with one request at a time.
    OnTrial,
    /// Word from its machine is overdue.
    Silent,
    /// It would be too late.
    Full,
    /// Nothing.
    Open,
}

impl Standing {
    /// All of them.
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

    /// Word for it in logs and metrics.
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

/// Engines of a service by what keeps them from taking a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct Census([u32; Standing::ALL.len()]);

impl Census {
    /// Engines that stand so.
    pub const fn count(&self, standing: Standing) -> u32 {
        self.0[standing as usize]
    }
}

/// Counts above zero, as in `empty:44,full:1`; `none` where no engine is listed.
impl fmt::Display for Census {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        let mut comma = "";
        for standing in Standing::ALL {
            let count = self.count(standing);
            if count > 0 {
                write!(out, "{comma}{}:{count}", standing.word())?;
                comma = ",";
            }
        }
        match comma {
            "" => out.write_str("none"),
            _ => Ok(()),
        }
    }
}

/// Counts the listed engines of the service by what keeps them from taking the request.
pub fn census(fleet: &Fleet, demand: &Demand<'_>, now: Instant) -> Census {
    let mut census = Census::default();
    let unseen_per_milli = unseen_per_milli(fleet, demand, now);
    for (key, engine) in fleet.of_service(demand.service) {
        let standing = match demand.tried.contains(&key) {
            true => Standing::Tried,
            false => standing(engine, demand, unseen_per_milli, now),
        };
        census.0[standing as usize] += 1;
    }
    census
}

fn standing(engine: &Engine, demand: &Demand<'_>, unseen_per_milli: f64, now: Instant) -> Standing {
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
    let predicted = predict(engine, demand, unseen_per_milli, now);
    let expected = predicted.sum() + error_when_full(engine, now);
    let bound = bound(demand, &predicted);
    if expected > bound {
        return Standing::Full;
    }
    match expected + engine.silence(now) as f64 > bound {
        true => Standing::Silent,
        false => Standing::Open,
    }
}

/// What of its weights keeps an engine from taking the request.
fn weights_standing(engine: &Engine, demand: &Demand<'_>, now: Instant) -> Option<Standing> {
    let model = demand.model.filter(|_| demand.engines.is_some())?;
    let Some(version) = engine.version_of(model, now) else {
        return Some(Standing::Empty);
    };
    let is_other = demand.goes_on_with.is_some_and(|wanted| wanted != version);
    if is_other || version < least_version(demand.due, now) {
        return Some(Standing::Outdated);
    }
    engine.latest(now).is_busy.then_some(Standing::Ordered)
}
