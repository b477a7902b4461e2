//! Whether a request is taken, and by which engine.
//!
//! The time to the first event is predicted from what each engine runs
//! ([`prediction`](crate::prediction)); a request that would come too late everywhere is refused at
//! once, with a time to come back, instead of making others late.

mod census;

pub use census::{Census, Standing, census};
use {
    crate::{
        configuration::EngineModel,
        engine::Engine,
        evenness::Even,
        fleet::{EngineKey, Fleet},
        precedence,
        prediction::{self, Parts},
        region::Homes,
        report::Version,
        warmth::Terms,
    },
    gingerpier_base::{Instant, order},
};

/// Milliseconds that another zone must be better by: about what predictions there are wrong by, as
/// reports of other zones come five times less often, and a crossing is paid for.
const OTHER_ZONE_MILLIS: f64 = 60.0;

/// Milliseconds that a share of failures of 1 counts as.
const FAILURE_MILLIS: f64 = 400.0;

/// Milliseconds that another request at an engine counts as, for a request that may end that engine: those beside it are
/// interrupted and read again, some 60 ms each, and about half of such requests are innocent.
const COMPANY_MILLIS: f64 = 30.0;

/// Targets that a request of an ordinary service may be predicted to take: short work that comes
/// late is worth more than none, and makes few others late.
const PLAIN_SHARE: f64 = 2.0;

/// Share of its target that a request of an ordinary service is taken to need, until it is measured.
const PLAIN_WORK_SHARE: f64 = 0.2;

/// Most milliseconds that are drawn: a difference that predictions can't tell, a tenth of the error
/// that they have on calm days.
const DRAW_MILLIS: f64 = 12.0;

/// Gateways for each part of the model engines of which one is drawn for a request: with 6 and 7 gateways a day loses
/// 0.006 to 0.013 of its worth where a quarter is drawn, with 40 it gains 0.002 to 0.013.
const GATEWAYS_A_PART: u32 = 10;

/// Most such parts: what is drawn must hold an engine with room.
const MOST_PARTS: u32 = 4;

/// Times an idle engine's first event at which an engine counts as one with room: everybody is taken there, however large
/// the prompt and small the share of the target is. Who is refused there would be refused for good, with nothing to wait for.
const NEARLY_IDLE: f64 = 1.25;

/// Part of the wait up to which the best of all engines will do where the drawn ones were too full: it looks as good to all
/// other gateways.
const REST_SHARE: f64 = 0.75;

/// Milliseconds that a request may start later than predicted.
const START_SLACK_MILLIS: u64 = 400;

/// Weights that operators named, and from when on older ones may start nothing.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Due {
    /// Version.
    pub version: Version,
    /// From when on.
    pub at: Instant,
}

/// What counts of a request.
#[derive(Debug, Clone, Copy)]
pub struct Demand<'a> {
    /// Service.
    pub service: &'a str,
    /// How engines of the service work; none for ordinary services.
    pub engines: Option<&'a EngineModel>,
    /// Model, where one is named.
    pub model: Option<&'a str>,
    /// Versions that come due, or came due already.
    pub due: &'a [Due],
    /// Version that a stream began with, where it is to go on.
    pub goes_on_with: Option<Version>,
    /// Tokens of its prompt.
    pub prompt_tokens: u64,
    /// Time within which an answer has its full worth, in milliseconds.
    pub target_millis: u64,
    /// Part of that which a first event may be predicted to take.
    pub target_share: f64,
    /// How far it is treated as all others.
    pub even: Even,
    /// Regions in which it may be served.
    pub homes: Homes,
    /// What cold engines of the service bear.
    pub cold: Terms,
    /// Zone of this gateway.
    pub zone: &'a str,
    /// Gateways that choose among the same engines, this one included.
    pub gateways: u32,
    /// Requests that other gateways send to the service in a millisecond, as far as known.
    pub others_per_milli: f64,
    /// Engines that it went to already.
    pub tried: &'a [EngineKey],
    /// True where it may end the engine that runs it, so that it should go where few others run.
    pub may_end_engine: bool,
}

/// What becomes of a request.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Choice {
    /// It goes to an engine.
    Send {
        /// Engine.
        engine: EngineKey,
        /// Predicted milliseconds to the first event.
        predicted_millis: f64,
        /// Of these, for its own prompt.
        own_millis: f64,
    },
    /// All engines are too full.
    Full(Shortfall),
    /// No engine can run it.
    NoEngine,
}

/// Why the best engine is too full, in milliseconds.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Shortfall {
    /// What the request may be expected to take.
    pub bound: f64,
    /// What it is predicted to take there, in parts.
    pub parts: Parts,
    /// Time for which word from that engine is overdue.
    pub silence: f64,
    /// What predictions for that engine were wrong by.
    pub error: f64,
}

impl Shortfall {
    /// Predicted milliseconds.
    pub fn predicted_millis(&self) -> f64 {
        self.parts.sum() + self.silence
    }
}

/// Decides where a request goes; `draw` is a number of its own, the same for all its attempts.
///
/// Where there are many gateways it looks at some of the model engines, which are drawn for the request, and at all only
/// where none of those will do: gateways that know the same would all send to the few best ones, which are full by then.
pub fn choose(fleet: &Fleet, demand: &Demand<'_>, now: Instant, draw: u64) -> Choice {
    let parts = parts(demand);
    let mut rest_share = 1.0;
    if parts > 1 {
        let is_drawn = |key: EngineKey| {
            let mixed = order::mix(order::mix(u64::from(key.0)) ^ draw);
            mixed.is_multiple_of(u64::from(parts))
        };
        // Where none of the drawn ones could run it at all, the others stand in for them.
        if let Some(drawn) = best(fleet, demand, now, draw, is_drawn) {
            if drawn.expected_millis() <= bound(demand, &drawn.parts) {
                return drawn.choice();
            }
            rest_share = REST_SHARE;
        }
    }
    let Some(best) = best(fleet, demand, now, draw, |_| true) else {
        return Choice::NoEngine;
    };
    let own = best.parts.own;
    // A part of what it may wait behind others: its own prompt takes what it takes.
    let rest_bound = own + (bound(demand, &best.parts) - own) * rest_share;
    match best.expected_millis() <= rest_bound {
        true => best.choice(),
        false => Choice::Full(Shortfall {
            bound: rest_bound,
            parts: best.parts,
            silence: best.silence,
            error: best.error,
        }),
    }
}

/// Parts of the engines, of which one is drawn for a request; 1 for all of them.
fn parts(demand: &Demand<'_>) -> u32 {
    match demand.engines {
        Some(_) => (demand.gateways / GATEWAYS_A_PART).clamp(1, MOST_PARTS),
        None => 1,
    }
}

/// The best of the engines that `is_looked_at`, whether it will do or not.
fn best(
    fleet: &Fleet,
    demand: &Demand<'_>,
    now: Instant,
    draw: u64,
    is_looked_at: impl Fn(EngineKey) -> bool,
) -> Option<Candidate> {
    let mut best: Option<Candidate> = None;
    let unseen_per_milli = unseen_per_milli(fleet, demand, now);
    for (key, engine) in fleet.of_service(demand.service) {
        if !is_looked_at(key) || demand.tried.contains(&key) {
            continue;
        }
        if !demand.homes.admit(engine.region) {
            continue;
        }
        if !engine.is_open(now) || engine.is_on_trial(now) {
            continue;
        }
        if !engine.is_warm_for(&demand.cold, demand.gateways, now) {
            continue;
        }
        let parts = predict(engine, demand, unseen_per_milli, now);
        let silence = engine.silence(now) as f64;
        let predicted = parts.sum() + silence;
        let late = engine.lateness();
        let starts = now.after_millis((predicted + late) as u64 + START_SLACK_MILLIS);
        if !fits(engine, demand, now, starts) {
            continue;
        }
        let cost = predicted + late + penalty(engine, demand, now) + draw_of(key, draw);
        if best.is_none_or(|best| cost < best.cost) {
            best = Some(Candidate {
                key,
                cost,
                parts,
                silence,
                error: error_when_full(engine, now),
            });
        }
    }
    best
}

/// Requests of other gateways that come to each open engine in a millisecond.
fn unseen_per_milli(fleet: &Fleet, demand: &Demand<'_>, now: Instant) -> f64 {
    let listed = fleet.of_service(demand.service);
    let open = listed.filter(|(_, engine)| engine.is_open(now)).count();
    demand.others_per_milli / (open.max(1) as f64)
}

/// An engine that could run a request.
#[derive(Debug, Clone, Copy)]
struct Candidate {
    key: EngineKey,
    /// What engines are ranked by, in milliseconds.
    cost: f64,
    parts: Parts,
    silence: f64,
    error: f64,
}

impl Candidate {
    fn choice(&self) -> Choice {
        Choice::Send {
            engine: self.key,
            predicted_millis: self.predicted_millis(),
            own_millis: self.parts.own,
        }
    }

    fn predicted_millis(&self) -> f64 {
        self.parts.sum() + self.silence
    }

    /// Predicted milliseconds, and what predictions were wrong by.
    fn expected_millis(&self) -> f64 {
        self.predicted_millis() + self.error
    }
}

/// Milliseconds by which a first event is expected to come later than predicted: what it was lately, as
/// far as the engine is full. An engine that is free is not refused for what came late while it was not.
fn error_when_full(engine: &Engine, now: Instant) -> f64 {
    let slots = f64::from(engine.record.slots.max(1));
    let fullness = (engine.occupancy(now) / slots).min(1.0);
    engine.error_millis().max(0.0) * fullness
}

/// Oldest version that may start something at `starts`.
pub fn least_version(due: &[Due], starts: Instant) -> Version {
    let passed = due.iter().filter(|due| due.at.has_passed(starts));
    passed.map(|due| due.version).max().unwrap_or_default()
}

fn fits(engine: &Engine, demand: &Demand<'_>, now: Instant, starts: Instant) -> bool {
    let (Some(_), Some(model)) = (demand.engines, demand.model) else {
        return true;
    };
    let Some(version) = engine.version_of(model, now) else {
        return false;
    };
    // A try that is stuck on its way could begin after the weights came due.
    let is_outdated = demand.due.iter().any(|due| due.version > version);
    if is_outdated && engine.is_suspect() {
        return false;
    }
    let goes_on = demand.goes_on_with.is_none_or(|wanted| wanted == version);
    goes_on && version >= least_version(demand.due, starts) && !engine.latest(now).is_busy
}

fn predict(engine: &Engine, demand: &Demand<'_>, unseen_per_milli: f64, now: Instant) -> Parts {
    match demand.engines {
        Some(model) => {
            prediction::first_event(engine, model, demand.prompt_tokens, unseen_per_milli, now)
        }
        None => {
            let usual = PLAIN_WORK_SHARE * demand.target_millis as f64;
            Parts {
                own: engine.work_millis().unwrap_or(usual) * engine.crowding(),
                ..Parts::default()
            }
        }
    }
}

fn penalty(engine: &Engine, demand: &Demand<'_>, now: Instant) -> f64 {
    let away = if engine.record.zone == demand.zone {
        0.0
    } else {
        OTHER_ZONE_MILLIS
    };
    let company = match demand.may_end_engine {
        true => COMPANY_MILLIS * engine.occupancy(now),
        false => 0.0,
    };
    away + company + FAILURE_MILLIS * engine.failure_share()
}

/// Most milliseconds that a request may be expected to take to its first event at an engine where it is predicted to take
/// `parts`.
fn bound(demand: &Demand<'_>, parts: &Parts) -> f64 {
    let target = demand.target_millis as f64;
    let Some(model) = demand.engines else {
        return target * PLAIN_SHARE;
    };
    // An engine that is slow is as slow when it is idle.
    let idle = prediction::idle_first_millis(model, demand.prompt_tokens) * parts.pace;
    // Where places are short, those that can wait longest fill all engines: everybody may wait equally long then.
    let more = demand.even.more_millis(wait_millis(target, parts.own));
    (target * demand.target_share + more).max(idle * NEARLY_IDLE)
}

/// Milliseconds that a request which comes first could wait behind others and still be in time, where its own prompt takes
/// `own` of its target.
pub fn wait_millis(target: f64, own: f64) -> f64 {
    target * precedence::TARGET_SHARE - own
}

/// Milliseconds drawn for an engine and a request, so that gateways which know the same do not all
/// choose the same among engines that are as good.
fn draw_of(key: EngineKey, draw: u64) -> f64 {
    let mixed = order::mix(u64::from(key.0) ^ draw);
    (mixed % 1_000) as f64 / 1_000.0 * DRAW_MILLIS
}
