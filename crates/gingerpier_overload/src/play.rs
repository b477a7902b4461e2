//! One play of a deployment, and what came of it.

use {
    crate::{
        callers::{self, Fates},
        deployment::Deployment,
        parts::{self, Row},
        pattern::Pattern,
        world::World,
    },
    gingerpier_admission::prediction,
};

/// Milliseconds that a usual answer takes at a full engine.
fn answer_millis(deployment: &Deployment) -> f64 {
    let model = &deployment.model;
    f64::from(model.slots) * prediction::mean_work_millis(model)
}

/// Milliseconds from empty engines until what comes is counted.
pub fn warm_millis(deployment: &Deployment) -> f64 {
    1_000.0 + 1.5 * answer_millis(deployment)
}

/// Milliseconds after which a caller has its answer, or never will.
pub fn drain_millis(deployment: &Deployment) -> f64 {
    deployment.gap_millis() as f64 + 4.0 * answer_millis(deployment)
}

/// What came of a play.
#[derive(Debug)]
pub struct Played {
    /// Worth of what came while it was counted, as a part of what it could have been worth.
    pub share_of_worth: f64,
    /// Usual answers in time that this is, a second.
    pub goodput: f64,
    /// How callers fared.
    pub fates: Fates,
    /// Who was served.
    pub rows: Vec<Row>,
    /// The model as it ended.
    pub world: World,
}

/// Plays `deployment` under `load`, a part of its capacity, with `pattern`; what came in `millis` from the moment at
/// which something goes wrong is counted.
pub fn play(deployment: &Deployment, load: f64, pattern: Pattern, millis: f64) -> Played {
    let from = warm_millis(deployment);
    let times = from..from + millis;
    let until = times.end + drain_millis(deployment);
    let trigger = pattern.trigger(deployment, from);
    let world = World::play(deployment, load, trigger, until);
    let share_of_worth = callers::share_of_worth(&world.callers, deployment, &times);
    let offered = load * deployment.capacity_per_milli() * 1_000.0;
    Played {
        share_of_worth,
        goodput: share_of_worth * offered,
        fates: callers::fates(&world.callers, deployment, &times),
        rows: parts::rows(&world.callers, deployment, &times),
        world,
    }
}
