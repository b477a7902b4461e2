//! Decides what a loader polls next for its configuration: services of engines and origins, and
//! releases.
//!
//! Loaders outnumber all other processes and start together, and a full configuration for each
//! would congest the link to the store. So a loader polls a gateway for the small part that it
//! needs. Without a reachable gateway it reads the store after a delay, spread by a hash of its
//! address. Failures are retried with randomized exponential backoff. As reachable gateways may
//! still not respond, the store is read once after some failures in a row.

use {
    gingerpier_base::{Instant, order},
    std::net::SocketAddr,
};

/// Gateways of the own zone from which on a loader relies on them for releases. Any single one may
/// be partitioned or suspended.
pub const MIN_RELEASE_GATEWAYS: usize = 3;

/// Milliseconds without a gateway, or with few, before the first loader reads the store; gateways
/// need about that long to start and to discover loaders.
const STORE_DELAY_MILLIS: u64 = 2_000;

/// Milliseconds, per zone, over which the first reads of loaders are spread. With 41 loaders per
/// zone, the store receives about two calls in 100 ms.
const STORE_SPREAD_MILLIS: u64 = 2_000;

/// Maximum delay in milliseconds after a first failure of the store.
const INITIAL_STORE_BACKOFF_MILLIS: u64 = 500;

/// Maximum delay in milliseconds after any failure of the store.
const MAX_STORE_BACKOFF_MILLIS: u64 = 16_000;

/// Maximum delay in milliseconds after a first failure of a gateway. A starting gateway has a
/// configuration within a second, and its response is small.
const INITIAL_GATEWAY_BACKOFF_MILLIS: u64 = 100;

/// Maximum delay in milliseconds after any failure of a gateway.
const MAX_GATEWAY_BACKOFF_MILLIS: u64 = 800;

/// Doublings after which the maximum delay is reached.
const MAX_DOUBLINGS: u32 = 5;

/// Consecutive failures of gateways after which the store is read once.
const MAX_GATEWAY_FAILURES: u32 = 8;

/// State of a loader's configuration.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Knowledge {
    /// It has none.
    Nothing,
    /// Gateways have a newer one.
    Outdated,
    /// As new as that of all reachable gateways.
    Enough,
}

/// What a loader currently knows.
#[derive(Debug, Clone, Copy)]
pub struct View<'h> {
    /// Gateways to poll, all with the newest revision; empty if none is reachable.
    pub gateways: &'h [SocketAddr],
    /// Gateways to try if none is reachable; they may be outdated or down.
    pub seeds: &'h [SocketAddr],
    /// Number of gateways in its own zone.
    pub zone_gateway_count: usize,
    /// State of its configuration.
    pub knowledge: Knowledge,
}

/// What to do next.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Step {
    /// Poll a gateway for the configuration.
    Gateway(SocketAddr),
    /// Read the operators' items from the store.
    Store,
    /// Watch only releases at the store.
    Weights,
    /// Wait until this time, or until the view changes.
    Wait(Instant),
}

/// What was polled.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Source {
    /// A gateway, for the configuration.
    Gateway,
    /// The store, for the operators' items.
    Store,
    /// The store, for releases.
    Weights,
}

/// Exponential backoff with full jitter.
#[derive(Debug, Clone, Copy, Default)]
struct Backoff {
    failures: u32,
    until: Instant,
}

impl Backoff {
    fn record_failure(&mut self, initial_millis: u64, max_millis: u64, now: Instant, draw: u64) {
        let doublings = self.failures.min(MAX_DOUBLINGS);
        let max_delay_millis = (initial_millis << doublings).min(max_millis);
        self.failures += 1;
        self.until = now.after_millis(draw % (max_delay_millis + 1));
    }
}

/// Polling schedule of one loader.
#[derive(Debug, Clone)]
pub struct Poller {
    own: SocketAddr,
    zone_count: usize,
    /// When the store may be read for the configuration; none while a gateway is reachable.
    store_allowed_at: Option<Instant>,
    /// When the store may be watched for releases; none while enough gateways are near.
    watch_allowed_at: Option<Instant>,
    gateway_backoff: Backoff,
    store_backoff: Backoff,
}

impl Poller {
    /// Creates the schedule of loader `own` at a site with `zone_count` zones, which starts now.
    pub fn new(own: SocketAddr, zone_count: usize, now: Instant) -> Self {
        let mut poller = Self {
            own,
            zone_count,
            store_allowed_at: None,
            watch_allowed_at: None,
            gateway_backoff: Backoff::default(),
            store_backoff: Backoff::default(),
        };
        let unreachable = View {
            gateways: &[],
            seeds: &[],
            zone_gateway_count: 0,
            knowledge: Knowledge::Nothing,
        };
        poller.update_deadlines(&unreachable, now);
        poller
    }

    /// Returns the next step.
    pub fn next_step(&mut self, view: &View<'_>, now: Instant) -> Step {
        self.update_deadlines(view, now);
        let configuration_step = self.configuration_step(view, now);
        let watch_step = self.watch_step(now);
        match (configuration_step, watch_step) {
            (Step::Wait(_), Step::Weights) => watch_step,
            (Step::Wait(either), Step::Wait(other)) => Step::Wait(either.min(other)),
            _ => configuration_step,
        }
    }

    /// Records that `source` gave no usable response; `draw` is a random number for jitter.
    pub fn record_failure(&mut self, source: Source, now: Instant, draw: u64) {
        if source == Source::Gateway {
            let (initial_millis, max_millis) =
                (INITIAL_GATEWAY_BACKOFF_MILLIS, MAX_GATEWAY_BACKOFF_MILLIS);
            return self
                .gateway_backoff
                .record_failure(initial_millis, max_millis, now, draw);
        }
        if source == Source::Store {
            self.gateway_backoff.failures = 0;
        }
        let (initial_millis, max_millis) = (INITIAL_STORE_BACKOFF_MILLIS, MAX_STORE_BACKOFF_MILLIS);
        self.store_backoff
            .record_failure(initial_millis, max_millis, now, draw);
    }

    /// Records a response of `source`.
    pub fn record_response(&mut self, source: Source) {
        match source {
            Source::Gateway => self.gateway_backoff = Backoff::default(),
            Source::Store => {
                self.gateway_backoff = Backoff::default();
                self.store_backoff = Backoff::default();
            }
            Source::Weights => self.store_backoff = Backoff::default(),
        }
    }

    fn update_deadlines(&mut self, view: &View<'_>, now: Instant) {
        let store_start = self.store_start(now);
        let from =
            |lacks: bool, known: Option<Instant>| lacks.then(|| known.unwrap_or(store_start));
        self.store_allowed_at = from(view.gateways.is_empty(), self.store_allowed_at);
        self.watch_allowed_at = from(
            view.zone_gateway_count < MIN_RELEASE_GATEWAYS,
            self.watch_allowed_at,
        );
    }

    /// Returns when this loader may read the store if it lacks gateways from `now` on.
    fn store_start(&self, now: Instant) -> Instant {
        let spread = STORE_SPREAD_MILLIS * self.zone_count.max(1) as u64;
        now.after_millis(STORE_DELAY_MILLIS + order::hash(&self.own) % spread)
    }

    fn configuration_step(&self, view: &View<'_>, now: Instant) -> Step {
        if view.knowledge == Knowledge::Enough {
            return Step::Wait(now.after_millis(MAX_STORE_BACKOFF_MILLIS));
        }
        if let Some(from) = self.store_allowed_at {
            let store = self.store_step(from, Step::Store, now);
            return match (store, self.seed_step(view.seeds, now)) {
                (Step::Wait(either), Some(Step::Wait(other))) => Step::Wait(either.min(other)),
                (Step::Wait(_), Some(seed_step)) => seed_step,
                (store, _) => store,
            };
        }
        if self.gateway_backoff.failures >= MAX_GATEWAY_FAILURES {
            return self.store_step(self.gateway_backoff.until, Step::Store, now);
        }
        if !self.gateway_backoff.until.has_passed(now) {
            return Step::Wait(self.gateway_backoff.until);
        }
        Step::Gateway(self.select(view.gateways))
    }

    /// Returns the step for `seeds` while no gateway is reachable.
    fn seed_step(&self, seeds: &[SocketAddr], now: Instant) -> Option<Step> {
        if seeds.is_empty() {
            return None;
        }
        Some(match self.gateway_backoff.until.has_passed(now) {
            true => Step::Gateway(self.select(seeds)),
            false => Step::Wait(self.gateway_backoff.until),
        })
    }

    /// Returns one of `gateways`: loaders spread over them, and each failure moves on to the next.
    fn select(&self, gateways: &[SocketAddr]) -> SocketAddr {
        let first = order::hash(&self.own) as usize % gateways.len();
        gateways[(first + self.gateway_backoff.failures as usize) % gateways.len()]
    }

    fn watch_step(&self, now: Instant) -> Step {
        match self.watch_allowed_at {
            Some(from) => self.store_step(from, Step::Weights, now),
            None => Step::Wait(now.after_millis(MAX_STORE_BACKOFF_MILLIS)),
        }
    }

    /// Returns `step`, which uses the store, unless it is before `from` or during the backoff.
    fn store_step(&self, from: Instant, step: Step, now: Instant) -> Step {
        let starts_at = from.max(self.store_backoff.until);
        match starts_at.has_passed(now) {
            true => step,
            false => Step::Wait(starts_at),
        }
    }
}
