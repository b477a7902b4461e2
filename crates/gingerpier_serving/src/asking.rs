//! Whom a loader asks for what operators say of engines and the origin, and when it follows named
//! weights at the store itself.
//!
//! There are more loaders than anything else, they start together, and a configuration of a megabyte
//! for each of them fills the link to the store's region. So a loader asks a gateway for the few
//! figures that it needs. Where none is heard it asks the store, but only after a while and at a
//! moment of its own, drawn from its address: loaders of one site do not know each other yet. A
//! failure is followed by a pause that grows, drawn anew each time. A gateway that is heard may
//! still not answer; after some tries the store is asked once in between, so that nobody waits for
//! ever.

use {
    gingerpier_base::{Instant, order},
    std::net::SocketAddr,
};

/// Gateways of a zone of which one at least is taken to know what operators write: any other may
/// be cut off or stand still.
pub const MANY_GATEWAYS: usize = 3;

/// Milliseconds without a gateway, or with few, before the first loader asks the store: gateways
/// need about that long to start and to learn of the loaders.
const QUIET_MILLIS: u64 = 2_000;

/// Milliseconds over which the loaders of one zone spread; zones come on top of each other. With 41
/// loaders a zone the store gets some two calls in 100 ms, and a site of one zone has asked 4 s after
/// its start.
const SPREAD_MILLIS: u64 = 2_000;

/// Longest pause, in milliseconds, after a first failure of the store.
const LEAST_PAUSE_MILLIS: u64 = 500;

/// Longest pause, in milliseconds, after any failure.
const MOST_PAUSE_MILLIS: u64 = 16_000;

/// Longest pause, in milliseconds, after a first failure of a gateway: one that starts knows a configuration
/// within a second, and its answer is small.
const LEAST_GATEWAY_PAUSE_MILLIS: u64 = 100;

/// Longest pause, in milliseconds, after any failure of a gateway.
const MOST_GATEWAY_PAUSE_MILLIS: u64 = 800;

/// Doublings after which the longest pause is reached.
const MOST_DOUBLINGS: u32 = 5;

/// Failures of gateways in a row after which the store is asked once.
const GATEWAY_TRIES: u32 = 8;

/// What a loader knows of the figures.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Knowledge {
    /// Nothing.
    Nothing,
    /// Something else than what gateways know.
    Outdated,
    /// All that gateways know, as far as they are heard.
    Enough,
}

/// What a loader hears.
#[derive(Debug, Clone, Copy)]
pub struct Heard<'h> {
    /// Gateways that may be asked, all those with the newest word; empty where none is heard.
    pub gateways: &'h [SocketAddr],
    /// Gateways that may be asked where none is heard; they may be old or down.
    pub seeds: &'h [SocketAddr],
    /// Gateways of its own zone.
    pub near_count: usize,
    /// What is known.
    pub knowledge: Knowledge,
}

/// What to do next.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Step {
    /// Ask a gateway for the figures.
    Gateway(SocketAddr),
    /// Ask the store for what operators write.
    Store,
    /// Follow at the store what is small: named weights.
    Weights,
    /// Nothing before a moment, unless something else is heard.
    Wait(Instant),
}

/// Who was asked, and for what.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Source {
    /// A gateway, for the figures.
    Gateway,
    /// The store, for what operators write.
    Store,
    /// The store, for named weights.
    Weights,
}

/// A pause that grows with each failure.
#[derive(Debug, Clone, Copy, Default)]
struct Backoff {
    failures: u32,
    until: Instant,
}

impl Backoff {
    fn note_failure(&mut self, least: u64, most: u64, now: Instant, draw: u64) {
        let doublings = self.failures.min(MOST_DOUBLINGS);
        let longest = (least << doublings).min(most);
        self.failures += 1;
        self.until = now.after_millis(draw % (longest + 1));
    }
}

/// What one loader decides.
#[derive(Debug, Clone)]
pub struct Asking {
    own: SocketAddr,
    zone_count: usize,
    /// When the store may be asked for the figures; none while a gateway is heard.
    figures_from: Option<Instant>,
    /// When the store may be asked for named weights; none while many gateways are near.
    weights_from: Option<Instant>,
    gateways: Backoff,
    store: Backoff,
}

impl Asking {
    /// State of the loader `own` at a site of so many zones, which starts now.
    pub fn new(own: SocketAddr, zone_count: usize, now: Instant) -> Self {
        let mut asking = Self {
            own,
            zone_count,
            figures_from: None,
            weights_from: None,
            gateways: Backoff::default(),
            store: Backoff::default(),
        };
        let nobody = Heard {
            gateways: &[],
            seeds: &[],
            near_count: 0,
            knowledge: Knowledge::Nothing,
        };
        asking.note_heard(&nobody, now);
        asking
    }

    /// What to do next.
    pub fn next(&mut self, heard: &Heard<'_>, now: Instant) -> Step {
        self.note_heard(heard, now);
        let figures = self.figures(heard, now);
        let weights = self.weights(now);
        match (figures, weights) {
            (Step::Wait(_), Step::Weights) => weights,
            (Step::Wait(one), Step::Wait(other)) => Step::Wait(one.min(other)),
            _ => figures,
        }
    }

    /// Notes that `source` did not answer, or did not say what was asked; `draw` is any number.
    pub fn note_failure(&mut self, source: Source, now: Instant, draw: u64) {
        if source == Source::Gateway {
            let (least, most) = (LEAST_GATEWAY_PAUSE_MILLIS, MOST_GATEWAY_PAUSE_MILLIS);
            return self.gateways.note_failure(least, most, now, draw);
        }
        if source == Source::Store {
            self.gateways.failures = 0;
        }
        let (least, most) = (LEAST_PAUSE_MILLIS, MOST_PAUSE_MILLIS);
        self.store.note_failure(least, most, now, draw);
    }

    /// Notes that `source` answered.
    pub fn note_answer(&mut self, source: Source) {
        match source {
            Source::Gateway => self.gateways = Backoff::default(),
            Source::Store => {
                self.gateways = Backoff::default();
                self.store = Backoff::default();
            }
            Source::Weights => self.store = Backoff::default(),
        }
    }

    fn note_heard(&mut self, heard: &Heard<'_>, now: Instant) {
        let turn = self.turn(now);
        let from = |lacks: bool, known: Option<Instant>| lacks.then(|| known.unwrap_or(turn));
        self.figures_from = from(heard.gateways.is_empty(), self.figures_from);
        self.weights_from = from(heard.near_count < MANY_GATEWAYS, self.weights_from);
    }

    /// When this loader may ask the store, where it lacks gateways from `now` on.
    fn turn(&self, now: Instant) -> Instant {
        let spread = SPREAD_MILLIS * self.zone_count.max(1) as u64;
        now.after_millis(QUIET_MILLIS + order::hash(&self.own) % spread)
    }

    fn figures(&self, heard: &Heard<'_>, now: Instant) -> Step {
        if heard.knowledge == Knowledge::Enough {
            return Step::Wait(now.after_millis(MOST_PAUSE_MILLIS));
        }
        if let Some(from) = self.figures_from {
            let store = self.store_at(from, Step::Store, now);
            return match (store, self.seed(heard.seeds, now)) {
                (Step::Wait(one), Some(Step::Wait(other))) => Step::Wait(one.min(other)),
                (Step::Wait(_), Some(seed)) => seed,
                (store, _) => store,
            };
        }
        if self.gateways.failures >= GATEWAY_TRIES {
            return self.store_at(self.gateways.until, Step::Store, now);
        }
        if !self.gateways.until.has_passed(now) {
            return Step::Wait(self.gateways.until);
        }
        Step::Gateway(self.turned(heard.gateways))
    }

    /// What to do with `seeds` while no gateway is heard.
    fn seed(&self, seeds: &[SocketAddr], now: Instant) -> Option<Step> {
        if seeds.is_empty() {
            return None;
        }
        Some(match self.gateways.until.has_passed(now) {
            true => Step::Gateway(self.turned(seeds)),
            false => Step::Wait(self.gateways.until),
        })
    }

    /// One of `gateways`: loaders spread over them, and each tries another one after a failure.
    fn turned(&self, gateways: &[SocketAddr]) -> SocketAddr {
        let first = order::hash(&self.own) as usize % gateways.len();
        gateways[(first + self.gateways.failures as usize) % gateways.len()]
    }

    fn weights(&self, now: Instant) -> Step {
        match self.weights_from {
            Some(from) => self.store_at(from, Step::Weights, now),
            None => Step::Wait(now.after_millis(MOST_PAUSE_MILLIS)),
        }
    }

    /// `step`, which asks the store, from `from` on and not in the pause after a failure.
    fn store_at(&self, from: Instant, step: Step, now: Instant) -> Step {
        let begins = from.max(self.store.until);
        match begins.has_passed(now) {
            true => step,
            false => Step::Wait(begins),
        }
    }
}
