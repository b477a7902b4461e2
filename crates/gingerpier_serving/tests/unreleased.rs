//! Guards against engines that stay without weights after any processes lost their memory.
//!
//! Simulates gateways, loaders, engines and the origin of a model. During the first seconds any of
//! their memories may be wiped; afterwards the store, the origin and all machines work. Then every
//! engine must hold weights that the origin has, or released ones. Gateways fetch what loaders
//! request, unless they fetch something newer, and report known versions to the loaders of their
//! zone.
//!
//! With any of the rules in [`Disabled`] disabled, the simulation must fail.

use {
    gingerpier_base::Instant,
    gingerpier_serving::{
        report::Version,
        unreleased::{Known, OriginFallback, OriginPoll, Seen},
    },
    proptest::prelude::*,
};

const STEP_MILLIS: u64 = 50;

/// Milliseconds during which memories are wiped.
const FAULT_MILLIS: u64 = 8_000;

/// Milliseconds without faults after which all engines must have weights; the smallest bound that
/// operators may configure.
const RECOVERY_MILLIS: u64 = 12_000;

/// Milliseconds from a restart until a process has discovered others.
const START_MILLIS: u64 = 700;

/// Milliseconds between reports of a gateway to loaders.
const REPORT_INTERVAL_MILLIS: u64 = 500;

/// Milliseconds per chunk on the origin's link, and chunks per version.
const CHUNK_MILLIS: u64 = 100;
const CHUNKS: usize = 12;

/// Milliseconds that a loader needs to stage weights and order its engine to load them.
const ACTIVATION_MILLIS: u64 = 300;

const GATEWAYS: usize = 4;
const ZONES: usize = 2;
const LOADERS: usize = 6;

/// A rule that is disabled.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Disabled {
    Nothing,
    /// Gateways never ask the origin.
    OriginPoll,
    /// Versions reported by engines take precedence over that of the origin.
    OriginPrecedence,
    /// Versions that the origin lacks are never dropped.
    DropUnavailable,
}

#[derive(Debug, Clone, Default)]
struct Gateway {
    up_at: u64,
    named: Option<Version>,
    found: Option<Version>,
    origin_poll: OriginPoll,
    /// Versions being fetched or complete, with their number of chunks.
    fetched: Vec<(Version, usize)>,
}

#[derive(Debug, Clone, Default)]
struct Loader {
    up_at: u64,
    /// Last report of each gateway, and whether its version comes from the origin.
    reported: [Option<(Version, bool)>; GATEWAYS],
    named: Option<Version>,
    /// Newest version in the list of engines when it was last read.
    listed_version: Option<Version>,
    origin_fallback: OriginFallback,
    /// Complete version, and since when.
    complete: Option<(Version, u64)>,
}

struct Simulation {
    now: u64,
    disabled: Disabled,
    draws: u64,
    named: Option<Version>,
    origin: Version,
    origin_away_until: u64,
    /// Version in the stale entry of a removed engine.
    stale_version: Option<Version>,
    gateways: Vec<Gateway>,
    loaders: Vec<Loader>,
    engines: Vec<Option<Version>>,
}

impl Simulation {
    fn new(seed: u64, disabled: Disabled) -> Self {
        let mut simulation = Self {
            now: 0,
            disabled,
            draws: seed,
            named: None,
            origin: Version(1),
            origin_away_until: 0,
            stale_version: None,
            gateways: vec![Gateway::default(); GATEWAYS],
            loaders: vec![Loader::default(); LOADERS],
            engines: vec![Some(Version(1)); LOADERS],
        };
        // The origin may have dropped earlier versions, and a stale entry may contain any version.
        simulation.origin = Version(1 + simulation.draw(3));
        simulation.engines = vec![Some(simulation.origin); LOADERS];
        if simulation.draw(3) == 0 {
            simulation.stale_version = Some(Version(1 + simulation.draw(6)));
        }
        simulation
    }

    fn draw(&mut self, below: u64) -> u64 {
        self.draws = self.draws.wrapping_add(0x9e37_79b9_7f4a_7c15);
        gingerpier_base::order::mix(self.draws) % below
    }

    fn has_version(&self, version: Version) -> bool {
        let is_kept = version == self.origin || version.0 + 1 == self.origin.0;
        self.now >= self.origin_away_until && is_kept
    }

    fn wipe(&mut self) {
        let wipe_share = 1 + self.draw(4);
        for index in 0..GATEWAYS {
            if self.draw(4) < wipe_share {
                self.gateways[index] = Gateway {
                    up_at: self.now + START_MILLIS + self.draw(400),
                    ..Gateway::default()
                };
            }
        }
        for index in 0..LOADERS {
            if self.draw(4) < wipe_share {
                self.loaders[index] = Loader {
                    up_at: self.now + START_MILLIS + self.draw(400),
                    ..Loader::default()
                };
            }
            if self.draw(4) < wipe_share {
                self.engines[index] = None;
            }
        }
        match self.draw(8) {
            0 => self.origin_away_until = self.now + self.draw(4_000),
            1 => {
                // Operators release a new version that the origin has from then on.
                self.origin = Version(self.origin.0 + 1);
                self.named = Some(self.origin);
            }
            _ => {}
        }
    }

    fn known(&self, gateway: usize) -> Known {
        let own = &self.gateways[gateway];
        let held = self.engines.iter().copied().flatten().max();
        let known = Known {
            named: own.named,
            found: own.found,
            held: held.max(self.stale_version),
        };
        match self.disabled {
            Disabled::OriginPrecedence if own.named.is_none() => Known {
                found: known.held.or(known.found),
                ..known
            },
            _ => known,
        }
    }

    fn gateway(&mut self, index: usize) {
        if self.now < self.gateways[index].up_at {
            return;
        }
        self.gateways[index].named = self.named;
        let known = self.known(index);
        let earlier_gateways = (index % ZONES..index).step_by(ZONES);
        let earlier_gateways =
            earlier_gateways.filter(|other| self.now >= self.gateways[*other].up_at);
        let rank = earlier_gateways.count() as u32;
        let fetched = &self.gateways[index].fetched;
        let seen = Seen {
            is_lacking: known.named.is_none() && self.engines.contains(&None),
            is_known: known.target().is_some() || !fetched.is_empty(),
            is_whole: known
                .target()
                .is_some_and(|version| fetched.contains(&(version, CHUNKS))),
            chunks: fetched.iter().map(|(_, chunks)| chunks).sum(),
            rank,
        };
        let now = Instant::from_millis(self.now);
        let draw = self.draw(u64::MAX);
        let (origin, is_origin_available) = (self.origin, self.has_version(self.origin));
        let own = &mut self.gateways[index];
        if self.disabled != Disabled::OriginPoll && own.origin_poll.is_due(&seen, now) {
            match is_origin_available {
                true => {
                    own.origin_poll.record_response(now);
                    own.found = Some(origin);
                }
                false => own.origin_poll.record_failure(now, draw),
            }
        }
        if self.disabled != Disabled::DropUnavailable {
            own.fetched
                .retain(|(version, chunks)| *chunks > 0 || known.may_be_available(*version));
        }
        // A released version is fetched without a request.
        let is_fetched = |named: &Version| own.fetched.iter().any(|(version, _)| version == named);
        if let Some(named) = known.named.filter(|named| !is_fetched(named)) {
            own.fetched.push((named, 0));
        }
        if self.now.is_multiple_of(CHUNK_MILLIS) {
            let has_version: Vec<bool> = (self.gateways[index].fetched.iter())
                .map(|(version, _)| self.has_version(*version))
                .collect();
            let own = &mut self.gateways[index];
            for ((_, chunks), has_version) in own.fetched.iter_mut().zip(has_version) {
                if has_version {
                    *chunks = (*chunks + 1).min(CHUNKS);
                }
            }
        }
        if self.now.is_multiple_of(REPORT_INTERVAL_MILLIS) {
            let reported = known.target().filter(|_| known.named.is_none());
            let reported = reported.map(|version| (version, known.found.is_some()));
            for loader in self.loaders.iter_mut().skip(index % ZONES).step_by(ZONES) {
                if self.now >= loader.up_at {
                    loader.reported[index] = reported;
                    loader.named = loader.named.max(known.named);
                }
            }
        }
    }

    fn loader(&mut self, index: usize) {
        if self.now < self.loaders[index].up_at {
            return;
        }
        if self.now < self.loaders[index].up_at + STEP_MILLIS {
            let held = self.engines.iter().copied().flatten().max();
            self.loaders[index].listed_version = held.max(self.stale_version);
        }
        let now = Instant::from_millis(self.now);
        let is_held = self.engines[index].is_some();
        let own = &mut self.loaders[index];
        let reported = |wants_found| {
            let reported = own.reported.iter().flatten();
            let reported = reported.filter(|(_, is_found)| *is_found == wants_found);
            reported.map(|(version, _)| *version).max()
        };
        let known = Known {
            named: own.named,
            found: reported(true),
            held: own.listed_version.max(reported(false)),
        };
        let wanted = match known.target() {
            Some(version) => {
                own.origin_fallback.reset();
                version
            }
            None if is_held => return own.origin_fallback.reset(),
            None if own.origin_fallback.is_over(true, index as u64 * 150, now) => {
                Version::default()
            }
            None => return,
        };
        if self.engines[index] >= Some(wanted) {
            return;
        }
        if let Some((version, at)) = self.loaders[index].complete
            && (version == wanted || wanted == Version::default())
        {
            if self.now >= at + ACTIVATION_MILLIS {
                self.engines[index] = Some(version);
            }
            return;
        }
        if self.fetch(index, wanted) {
            let version = match wanted {
                Version(0) => self.origin,
                version => version,
            };
            self.loaders[index].complete = Some((version, self.now));
        }
    }

    /// Requests the version from the gateways of the zone, or the origin's version; returns true if
    /// it is complete.
    fn fetch(&mut self, index: usize, wanted: Version) -> bool {
        if wanted == Version::default() {
            return self.has_version(self.origin);
        }
        let mut is_here = false;
        for gateway in (index % ZONES..GATEWAYS).step_by(ZONES) {
            let known = self.known(gateway);
            let own = &mut self.gateways[gateway];
            if self.now < own.up_at {
                continue;
            }
            let fetched = &own.fetched;
            is_here |= fetched.contains(&(wanted, CHUNKS));
            let is_newest = fetched.iter().all(|(version, _)| *version <= wanted);
            let is_on_its_way = fetched.iter().any(|(version, _)| *version == wanted);
            if is_newest && !is_on_its_way && known.may_be_available(wanted) {
                own.fetched.push((wanted, 0));
            }
        }
        is_here
    }

    fn step(&mut self) {
        self.now += STEP_MILLIS;
        for index in 0..GATEWAYS {
            self.gateway(index);
        }
        for index in 0..LOADERS {
            self.loader(index);
        }
    }

    /// Runs the faults and the time without faults; returns true if all engines have weights at the
    /// end.
    fn run(mut self) -> bool {
        let mut next_wipe = self.draw(2_000);
        while self.now < FAULT_MILLIS {
            if self.now >= next_wipe {
                self.wipe();
                next_wipe = self.now + 400 + self.draw(4_000);
            }
            self.step();
        }
        let end = self.now.max(self.origin_away_until) + RECOVERY_MILLIS;
        while self.now < end {
            self.step();
        }
        let minimum = self.named.unwrap_or(Version(1));
        self.engines.iter().all(|held| *held >= Some(minimum))
    }
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 2_000, failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn every_engine_has_weights_again_after_any_loss_of_memory(seed in any::<u64>()) {
        prop_assert!(Simulation::new(seed, Disabled::Nothing).run());
    }
}

#[test]
fn each_rule_is_needed() {
    for disabled in [
        Disabled::OriginPoll,
        Disabled::OriginPrecedence,
        Disabled::DropUnavailable,
    ] {
        let failures = (0..2_000).filter(|seed| !Simulation::new(*seed, disabled).run());
        assert!(failures.count() > 0, "{disabled:?}");
    }
}

/// All memory is lost at once, without a release or a listed version.
#[test]
fn one_gateway_per_zone_asks_the_origin_after_total_loss() {
    let mut simulation = Simulation::new(1, Disabled::Nothing);
    simulation.stale_version = None;
    simulation.engines = vec![None; LOADERS];
    let origin_reads = |simulation: &Simulation| {
        let found = simulation.gateways.iter().filter(|one| one.found.is_some());
        found.count()
    };
    while !simulation.engines.iter().all(Option::is_some) {
        simulation.step();
        assert!(simulation.now < RECOVERY_MILLIS, "{:?}", simulation.engines);
    }
    assert_eq!(origin_reads(&simulation), ZONES, "one gateway of each zone");
}
