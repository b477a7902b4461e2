//! Closed-loop simulation of gateways that admit ranked requests to a common pool of engines.
//!
//! The pool is one queue with a fixed throughput. Each gateway knows its wait with an error, admits
//! by the existing rules (`shedding`, `fairness`), and applies the policy under test. Refused
//! callers come back once.

use {
    fastrand::Rng,
    gingerpier_admission::{
        fairness::Adjustment,
        priority::{self, Outcome, Rank},
        return_detection::Visit,
        selection,
        shedding::Controller,
    },
    gingerpier_base::Instant,
};

/// Requests of one rank.
#[derive(Debug, Clone, Copy)]
pub struct Class {
    /// Requests per second of all gateways.
    pub per_second: f64,
    /// Time for a request's own prompt.
    pub own_millis: f64,
    /// Target of the first event.
    pub target_millis: f64,
    /// Value of a request.
    pub value: f64,
}

/// The request classes of deployment P at `per_second` requests.
pub fn deployment_classes(per_second: f64) -> Vec<Class> {
    let class = |own_millis, target_millis, value| Class {
        per_second: per_second / 3.0,
        own_millis,
        target_millis,
        value,
    };
    vec![
        class(40.0, 400.0, 3.6),
        class(25.0, 400.0, 1.7),
        class(19.0, 800.0, 0.55),
    ]
}

/// What is done beside admission.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Policy {
    /// Nothing: every rank is treated alike.
    Nothing,
    /// Shares by rank.
    Shares,
    /// The common slack is reduced by this fraction for the last rank and in proportion for those
    /// before it.
    SlackOrder(f64),
}

/// Load on the pool.
#[derive(Debug, Clone)]
pub struct Setting {
    pub classes: Vec<Class>,
    pub gateways: usize,
    /// Requests per second that the engines can run.
    pub capacity: fn(seconds: f64) -> f64,
    /// Factor on the requests of a class.
    pub load: fn(class: usize, seconds: f64) -> f64,
    /// Probability of a refusal without a shortage, per request.
    pub stray_refusals: f64,
    pub seconds: u64,
    /// Time from which requests count toward the result.
    pub counted_from: u64,
    pub policy: Policy,
    pub seed: u64,
}

/// What became of the counted requests of one class.
#[derive(Debug, Clone, Copy, Default)]
pub struct Tally {
    pub requests: f64,
    pub served: f64,
    pub earned: f64,
    pub full: f64,
    pub yielded: f64,
    /// Retries that were refused again.
    pub refused_again: f64,
}

impl Tally {
    pub fn served_share(&self) -> f64 {
        self.served / self.requests.max(1.0)
    }

    pub fn value_share(&self) -> f64 {
        self.earned / self.requests.max(1.0)
    }
}

/// Result of a run.
#[derive(Debug, Clone)]
pub struct Figures {
    pub tallies: Vec<Tally>,
    /// Refusals in favor of more urgent ranks in each second, all gateways and ranks.
    pub yielded_by_second: Vec<u32>,
    /// Earned value as a share of what could have been earned.
    pub total: f64,
}

struct Pending {
    at: u64,
    gateway: usize,
    class: usize,
    event: Event,
}

enum Event {
    /// The first event of a request arrives.
    End(Outcome),
    /// A refused caller comes back.
    Return { is_counted: bool },
}

struct Gateway {
    shedding: Controller,
    priority: priority::Controller,
}

struct Run<'a> {
    setting: &'a Setting,
    rng: Rng,
    gateways: Vec<Gateway>,
    pending: Vec<Pending>,
    /// Requests in the queue.
    backlog: f64,
    figures: Figures,
}

/// Runs a setting.
pub fn run(setting: &Setting) -> Figures {
    let gateway = || Gateway {
        shedding: Controller::default(),
        priority: priority::Controller::default(),
    };
    let mut run = Run {
        setting,
        rng: Rng::with_seed(setting.seed),
        gateways: (0..setting.gateways).map(|_| gateway()).collect(),
        pending: Vec::new(),
        backlog: 0.0,
        figures: Figures {
            tallies: vec![Tally::default(); setting.classes.len()],
            yielded_by_second: vec![0; setting.seconds as usize],
            total: 0.0,
        },
    };
    for millis in 0..setting.seconds * 1_000 {
        run.step(millis);
    }
    let classes = setting.classes.iter().zip(&run.figures.tallies);
    let (earned, possible) = classes.fold((0.0, 0.0), |(earned, possible), (class, tally)| {
        (
            earned + class.value * tally.earned,
            possible + class.value * tally.requests,
        )
    });
    run.figures.total = earned / possible;
    run.figures
}

impl Run<'_> {
    fn step(&mut self, millis: u64) {
        let seconds = millis as f64 / 1_000.0;
        let capacity = (self.setting.capacity)(seconds);
        self.backlog = (self.backlog - capacity / 1_000.0).max(0.0);
        let mut index = 0;
        while index < self.pending.len() {
            if self.pending[index].at > millis {
                index += 1;
                continue;
            }
            let due = self.pending.swap_remove(index);
            match due.event {
                Event::End(outcome) => self.gateways[due.gateway].priority.record(
                    Rank::new(due.class as u8),
                    outcome,
                    at(millis),
                ),
                Event::Return { is_counted } => {
                    self.request(due.gateway, due.class, Visit::Returned, is_counted, millis);
                }
            }
        }
        for class in 0..self.setting.classes.len() {
            let per_milli = self.setting.classes[class].per_second / 1_000.0
                * (self.setting.load)(class, seconds);
            let whole = per_milli as u32;
            let extra = u32::from(self.rng.f64() < per_milli - f64::from(whole));
            for _ in 0..whole + extra {
                let gateway = self.rng.usize(..self.setting.gateways);
                let is_counted = millis >= self.setting.counted_from * 1_000;
                if is_counted {
                    self.figures.tallies[class].requests += 1.0;
                }
                self.request(gateway, class, Visit::First, is_counted, millis);
            }
        }
    }

    fn request(
        &mut self,
        gateway: usize,
        class: usize,
        visit: Visit,
        is_counted: bool,
        millis: u64,
    ) {
        let now = at(millis);
        let rank = Rank::new(class as u8);
        let draw = self.rng.f64();
        let node = &mut self.gateways[gateway];
        if self.setting.policy == Policy::Shares
            && visit == Visit::First
            && node.priority.yields(rank, draw, now)
        {
            node.priority.record(rank, Outcome::Yielded, now);
            self.figures.yielded_by_second[(millis / 1_000) as usize] += 1;
            return self.refuse(class, visit, is_counted, Outcome::Yielded, millis);
        }
        let settings = self.setting.classes[class];
        let slack_millis = selection::slack_millis(settings.target_millis, settings.own_millis);
        let wait_millis = self.wait_millis(millis);
        let shedding = &self.gateways[gateway].shedding;
        let share = shedding.target_share(visit, now);
        let fairness = self.adjustment(class, shedding.fairness(now));
        let bound = settings.target_millis * share + fairness.bound_change_millis(slack_millis);
        let predicted = wait_millis * (0.7 + 0.6 * self.rng.f64()) + settings.own_millis;
        let is_stray = self.rng.f64() < self.setting.stray_refusals;
        let is_full = is_stray || predicted > bound.max(settings.own_millis * 1.25);
        let node = &mut self.gateways[gateway];
        node.shedding
            .record(visit, is_full, Some(slack_millis), now);
        if is_full {
            if visit == Visit::First {
                node.priority.record(rank, Outcome::Full, now);
            }
            return self.refuse(class, visit, is_counted, Outcome::Full, millis);
        }
        self.backlog += 1.0;
        let actual = wait_millis * (0.9 + 0.3 * self.rng.f64())
            + settings.own_millis * (1.0 + 0.8 * self.rng.f64());
        let outcome = match (visit, actual <= settings.target_millis) {
            (Visit::Returned, _) => Outcome::OnRetry,
            (_, true) => Outcome::OnTime,
            (_, false) => Outcome::Late,
        };
        if is_counted {
            let tally = &mut self.figures.tallies[class];
            tally.served += 1.0;
            tally.earned += if outcome == Outcome::OnTime { 1.0 } else { 0.3 };
        }
        self.pending.push(Pending {
            at: millis + actual as u64,
            gateway,
            class,
            event: Event::End(outcome),
        });
    }

    fn wait_millis(&self, millis: u64) -> f64 {
        self.backlog / (self.setting.capacity)(millis as f64 / 1_000.0) * 1_000.0
    }

    fn adjustment(&self, class: usize, fairness: Adjustment) -> Adjustment {
        let Policy::SlackOrder(reduction) = self.setting.policy else {
            return fairness;
        };
        let last = (self.setting.classes.len() - 1).max(1) as f64;
        let factor = 1.0 - reduction * class as f64 / last;
        Adjustment {
            common_slack_millis: fairness.common_slack_millis * factor,
            ..fairness
        }
    }

    fn refuse(
        &mut self,
        class: usize,
        visit: Visit,
        is_counted: bool,
        outcome: Outcome,
        millis: u64,
    ) {
        if is_counted {
            let tally = &mut self.figures.tallies[class];
            match (visit, outcome) {
                (Visit::Returned, _) => tally.refused_again += 1.0,
                (_, Outcome::Yielded) => tally.yielded += 1.0,
                _ => tally.full += 1.0,
            }
        }
        if visit == Visit::First {
            let delay = 600 + self.rng.u64(..1_000);
            self.pending.push(Pending {
                at: millis + delay,
                gateway: self.rng.usize(..self.setting.gateways),
                class,
                event: Event::Return { is_counted },
            });
        }
    }
}

const fn at(millis: u64) -> Instant {
    Instant::from_millis(100_000 + millis)
}
