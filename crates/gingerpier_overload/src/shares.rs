//! Who is served by zone and by kind, and how far predictions were right.

use {
    crate::{
        callers::{Caller, Outcome},
        deployment::Deployment,
        incident::{Incident, What},
        play,
        world::{FirstEvent, World},
    },
    std::{fmt, ops::Range},
};

/// Requests of a zone or a kind.
#[derive(Debug, Clone, Copy, Default)]
pub struct Share {
    /// Requests that came first in the time that is counted.
    pub came: usize,
    /// Those with a whole answer.
    pub served: usize,
    /// Those whose first event came within the target, counted from the first try.
    pub in_time: usize,
    /// Tries of clients at gateways; 0 for kinds.
    pub tries: usize,
    /// Tries that the gateway refused.
    pub refused_tries: usize,
    /// Tries that were sent with a grant.
    pub granted_tries: usize,
    /// Value that was earned.
    pub earned: f64,
    /// Value that all requests could have earned.
    pub value: f64,
}

impl Share {
    fn add(&mut self, caller: &Caller, deployment: &Deployment) {
        let score = caller.score(deployment);
        self.came += 1;
        self.served += usize::from(caller.outcome == Outcome::Served);
        self.in_time += usize::from(score >= 1.0);
        self.earned += caller.worth(deployment);
        self.value += caller.size(deployment);
    }

    /// Part of the requests that were served.
    pub fn served_share(&self) -> f64 {
        self.served as f64 / self.came.max(1) as f64
    }

    /// Part of the tries that were refused.
    pub fn refused_share(&self) -> f64 {
        self.refused_tries as f64 / self.tries.max(1) as f64
    }

    /// Part of the tries that were sent with a grant.
    pub fn granted_share(&self) -> f64 {
        self.granted_tries as f64 / self.tries.max(1) as f64
    }

    /// Part of the value that was earned.
    pub fn value_share(&self) -> f64 {
        self.earned / self.value.max(f64::MIN_POSITIVE)
    }
}

/// Mean predicted and actual milliseconds to the first event.
#[derive(Debug, Clone, Copy, Default)]
pub struct Accuracy {
    /// First events.
    pub count: usize,
    /// Mean prediction.
    pub predicted: f64,
    /// Mean of what it took.
    pub actual: f64,
}

impl Accuracy {
    fn of<'a>(events: impl Iterator<Item = &'a FirstEvent>) -> Self {
        let mut sum = Self::default();
        for event in events {
            sum.count += 1;
            sum.predicted += event.predicted;
            sum.actual += event.actual;
        }
        let count = sum.count.max(1) as f64;
        Self {
            count: sum.count,
            predicted: sum.predicted / count,
            actual: sum.actual / count,
        }
    }
}

/// Result of a play.
#[derive(Debug, Clone)]
pub struct Shares {
    /// By zone of the first gateway.
    pub zones: Vec<Share>,
    /// By kind.
    pub kinds: Vec<Share>,
    /// All.
    pub all: Share,
    /// Usual requests in time, a second.
    pub goodput: f64,
    /// First events at engines of the gateway's zone.
    pub own: Accuracy,
    /// First events at engines of other zones.
    pub other: Accuracy,
}

impl Shares {
    /// Counts what came first within `times`, in milliseconds.
    pub fn of(world: &World, deployment: &Deployment, times: &Range<f64>) -> Self {
        let mut zones = vec![Share::default(); deployment.zones];
        let mut kinds = vec![Share::default(); deployment.kinds.len()];
        let mut all = Share::default();
        for caller in &world.callers {
            if times.contains(&caller.came_at) {
                zones[caller.zone].add(caller, deployment);
                kinds[caller.kind].add(caller, deployment);
                all.add(caller, deployment);
            }
        }
        let tries = world.tries.iter().filter(|one| times.contains(&one.at));
        for one in tries {
            for share in [
                &mut zones[deployment.zone_of_gateway(one.gateway)],
                &mut all,
            ] {
                share.tries += 1;
                share.refused_tries += usize::from(one.is_refused);
                share.granted_tries += usize::from(one.is_granted);
            }
        }
        let events = world.first_events.iter();
        let events = events.filter(|event| times.contains(&event.sent_at));
        let is_own = |event: &&FirstEvent| deployment.is_near(event.gateway, event.engine);
        Self {
            goodput: all.in_time as f64 * 1_000.0 / (times.end - times.start),
            zones,
            kinds,
            all,
            own: Accuracy::of(events.clone().filter(is_own)),
            other: Accuracy::of(events.filter(|event| !is_own(event))),
        }
    }

    /// Largest difference between the served shares of two zones.
    pub fn spread(&self) -> f64 {
        let shares = self.zones.iter().map(Share::served_share);
        shares.clone().fold(0.0, f64::max) - shares.fold(1.0, f64::min)
    }
}

impl fmt::Display for Shares {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        let parts = |out: &mut fmt::Formatter<'_>, shares: &[Share]| {
            shares.iter().try_for_each(|share| {
                write!(
                    out,
                    " {:.3}/{:.3}/{:.3}",
                    share.served_share(),
                    share.refused_share(),
                    share.value_share()
                )
            })
        };
        write!(out, "served/refused tries/value: all")?;
        parts(out, std::slice::from_ref(&self.all))?;
        write!(out, "; zones")?;
        parts(out, &self.zones)?;
        write!(out, "; kinds")?;
        parts(out, &self.kinds)?;
        write!(
            out,
            "; goodput {:.1}; first event predicted/actual own {:.0}/{:.0} ({}), other {:.0}/{:.0} ({})",
            self.goodput,
            self.own.predicted,
            self.own.actual,
            self.own.count,
            self.other.predicted,
            self.other.actual,
            self.other.count
        )
    }
}

/// Plays `deployment` at `load`, a part of the capacity of all engines, with one incident for `millis`; what comes from
/// `settle_millis` after its begin is counted.
pub fn play_incident(
    deployment: &Deployment,
    load: f64,
    what: &[What],
    settle_millis: f64,
    millis: f64,
) -> Shares {
    let from = play::warm_millis(deployment);
    let times = from + settle_millis..from + settle_millis + millis;
    let until = times.end + play::drain_millis(deployment);
    let incident = |what: &What| Incident {
        what: *what,
        from,
        until,
    };
    let incidents = what.iter().map(incident).collect();
    let world = World::play_with(deployment, load, None, incidents, until);
    Shares::of(&world, deployment, &times)
}
