//! Whatever memory is lost at whatever moment, weights come back with no further word from outside.
//!
//! A model without I/O of gateways, loaders, engines and the origin. Any of their memories may be wiped at any moment of
//! the first seconds; afterwards the store, the origin and all machines are well and nothing happens any more. Then every
//! engine has to hold weights that the origin gives, or those that were named. What decides is the code under test; the
//! model repeats what the processes do with it: gateways carry what loaders ask them for, unless they carry something
//! newer, and tell loaders of their zone what there is.
//!
//! Each rule that the property needs can be left out of the model, and is seen to be needed.

use {
    gingerpier_base::Instant,
    gingerpier_serving::{
        report::Version,
        unnamed::{Known, Patience, Search, Seen},
    },
    proptest::prelude::*,
};

const STEP_MILLIS: u64 = 50;

/// Milliseconds in which memories are wiped.
const TROUBLE_MILLIS: u64 = 8_000;

/// Milliseconds of calm after which everything has to be served: the least bound that operators set for it is 12 s.
const CALM_MILLIS: u64 = 12_000;

/// Milliseconds from its start until a process is up and has heard others.
const UP_MILLIS: u64 = 700;

/// Milliseconds between two words of a gateway to loaders.
const TELL_MILLIS: u64 = 500;

/// Milliseconds that a chunk takes on the origin's link, and chunks of a version.
const CHUNK_MILLIS: u64 = 100;
const CHUNKS: usize = 12;

/// Milliseconds that a loader needs to lay weights and order its engine to take them.
const LAY_MILLIS: u64 = 300;

const GATEWAYS: usize = 4;
const ZONES: usize = 2;
const LOADERS: usize = 6;

/// A rule that may be left out.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Without {
    Nothing,
    /// Nobody asks the origin what it has.
    Search,
    /// What engines were said to hold goes before what the origin has.
    FoundFirst,
    /// Versions that the origin does not have stay on their way.
    GivingUp,
}

#[derive(Debug, Clone, Default)]
struct Gateway {
    up_at: u64,
    named: Option<Version>,
    found: Option<Version>,
    search: Search,
    /// Versions on their way or here, each with its chunks.
    carried: Vec<(Version, usize)>,
}

#[derive(Debug, Clone, Default)]
struct Loader {
    up_at: u64,
    /// What each gateway told last, and whether the origin was found to have it.
    told: [Option<(Version, bool)>; GATEWAYS],
    named: Option<Version>,
    /// What the list said that others hold, when it was read last.
    listed: Option<Version>,
    patience: Patience,
    /// Version that is whole here, and since when.
    whole: Option<(Version, u64)>,
}

struct World {
    now: u64,
    without: Without,
    draws: u64,
    named: Option<Version>,
    origin: Version,
    origin_away_until: u64,
    /// What an engine that is gone was said to hold, for as long as its entry stays.
    ghost: Option<Version>,
    gateways: Vec<Gateway>,
    loaders: Vec<Loader>,
    engines: Vec<Option<Version>>,
}

impl World {
    fn new(seed: u64, without: Without) -> Self {
        let mut world = Self {
            now: 0,
            without,
            draws: seed,
            named: None,
            origin: Version(1),
            origin_away_until: 0,
            ghost: None,
            gateways: vec![Gateway::default(); GATEWAYS],
            loaders: vec![Loader::default(); LOADERS],
            engines: vec![Some(Version(1)); LOADERS],
        };
        // Versions of before may have gone from the origin, and an entry may tell of any.
        world.origin = Version(1 + world.draw(3));
        world.engines = vec![Some(world.origin); LOADERS];
        if world.draw(3) == 0 {
            world.ghost = Some(Version(1 + world.draw(6)));
        }
        world
    }

    fn draw(&mut self, below: u64) -> u64 {
        self.draws = self.draws.wrapping_add(0x9e37_79b9_7f4a_7c15);
        gingerpier_base::order::mix(self.draws) % below
    }

    fn gives(&self, version: Version) -> bool {
        let is_kept = version == self.origin || version.0 + 1 == self.origin.0;
        self.now >= self.origin_away_until && is_kept
    }

    fn wipe(&mut self) {
        let share = 1 + self.draw(4);
        for index in 0..GATEWAYS {
            if self.draw(4) < share {
                self.gateways[index] = Gateway {
                    up_at: self.now + UP_MILLIS + self.draw(400),
                    ..Gateway::default()
                };
            }
        }
        for index in 0..LOADERS {
            if self.draw(4) < share {
                self.loaders[index] = Loader {
                    up_at: self.now + UP_MILLIS + self.draw(400),
                    ..Loader::default()
                };
            }
            if self.draw(4) < share {
                self.engines[index] = None;
            }
        }
        match self.draw(8) {
            0 => self.origin_away_until = self.now + self.draw(4_000),
            1 => {
                // Operators name what the origin has from then on.
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
            held: held.max(self.ghost),
        };
        match self.without {
            Without::FoundFirst if own.named.is_none() => Known {
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
        let ahead = (index % ZONES..index).step_by(ZONES);
        let ahead = ahead.filter(|other| self.now >= self.gateways[*other].up_at);
        let rank = ahead.count() as u32;
        let carried = &self.gateways[index].carried;
        let seen = Seen {
            is_lacking: known.named.is_none() && self.engines.contains(&None),
            is_known: known.wanted().is_some() || !carried.is_empty(),
            is_whole: known
                .wanted()
                .is_some_and(|version| carried.contains(&(version, CHUNKS))),
            chunks: carried.iter().map(|(_, chunks)| chunks).sum(),
            rank,
        };
        let now = Instant::from_millis(self.now);
        let draw = self.draw(u64::MAX);
        let (origin, is_there) = (self.origin, self.gives(self.origin));
        let own = &mut self.gateways[index];
        if self.without != Without::Search && own.search.is_due(&seen, now) {
            match is_there {
                true => {
                    own.search.note_found(now);
                    own.found = Some(origin);
                }
                false => own.search.note_failure(now, draw),
            }
        }
        if self.without != Without::GivingUp {
            own.carried
                .retain(|(version, chunks)| *chunks > 0 || known.may_be_had(*version));
        }
        // What is named is carried without being asked for.
        let is_carried = |named: &Version| own.carried.iter().any(|(version, _)| version == named);
        if let Some(named) = known.named.filter(|named| !is_carried(named)) {
            own.carried.push((named, 0));
        }
        if self.now.is_multiple_of(CHUNK_MILLIS) {
            let gives: Vec<bool> = (self.gateways[index].carried.iter())
                .map(|(version, _)| self.gives(*version))
                .collect();
            let own = &mut self.gateways[index];
            for ((_, chunks), gives) in own.carried.iter_mut().zip(gives) {
                if gives {
                    *chunks = (*chunks + 1).min(CHUNKS);
                }
            }
        }
        if self.now.is_multiple_of(TELL_MILLIS) {
            let told = known.wanted().filter(|_| known.named.is_none());
            let told = told.map(|version| (version, known.found.is_some()));
            for loader in self.loaders.iter_mut().skip(index % ZONES).step_by(ZONES) {
                if self.now >= loader.up_at {
                    loader.told[index] = told;
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
            self.loaders[index].listed = held.max(self.ghost);
        }
        let now = Instant::from_millis(self.now);
        let is_held = self.engines[index].is_some();
        let own = &mut self.loaders[index];
        let told = |wants_found| {
            let told = own.told.iter().flatten();
            let told = told.filter(|(_, is_found)| *is_found == wants_found);
            told.map(|(version, _)| *version).max()
        };
        let known = Known {
            named: own.named,
            found: told(true),
            held: own.listed.max(told(false)),
        };
        let wanted = match known.wanted() {
            Some(version) => {
                own.patience.end();
                version
            }
            None if is_held => return own.patience.end(),
            None if own.patience.is_over(true, index as u64 * 150, now) => Version::default(),
            None => return,
        };
        if self.engines[index] >= Some(wanted) {
            return;
        }
        if let Some((version, at)) = self.loaders[index].whole
            && (version == wanted || wanted == Version::default())
        {
            if self.now >= at + LAY_MILLIS {
                self.engines[index] = Some(version);
            }
            return;
        }
        if self.bring(index, wanted) {
            let version = match wanted {
                Version(0) => self.origin,
                version => version,
            };
            self.loaders[index].whole = Some((version, self.now));
        }
    }

    /// Asks the gateways of the zone, or the origin for what it has; true once it is here whole.
    fn bring(&mut self, index: usize, wanted: Version) -> bool {
        if wanted == Version::default() {
            return self.gives(self.origin);
        }
        let mut is_here = false;
        for gateway in (index % ZONES..GATEWAYS).step_by(ZONES) {
            let known = self.known(gateway);
            let own = &mut self.gateways[gateway];
            if self.now < own.up_at {
                continue;
            }
            let carried = &own.carried;
            is_here |= carried.contains(&(wanted, CHUNKS));
            let is_newest = carried.iter().all(|(version, _)| *version <= wanted);
            let is_on_its_way = carried.iter().any(|(version, _)| *version == wanted);
            if is_newest && !is_on_its_way && known.may_be_had(wanted) {
                own.carried.push((wanted, 0));
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

    /// Plays the trouble and the calm; true where all engines serve at its end.
    fn play(mut self) -> bool {
        let mut next = self.draw(2_000);
        while self.now < TROUBLE_MILLIS {
            if self.now >= next {
                self.wipe();
                next = self.now + 400 + self.draw(4_000);
            }
            self.step();
        }
        let calm = self.now.max(self.origin_away_until) + CALM_MILLIS;
        while self.now < calm {
            self.step();
        }
        let least = self.named.unwrap_or(Version(1));
        self.engines.iter().all(|held| *held >= Some(least))
    }
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 2_000, failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn weights_come_back_whatever_was_lost(seed in any::<u64>()) {
        prop_assert!(World::new(seed, Without::Nothing).play());
    }
}

#[test]
fn each_rule_is_needed() {
    for without in [Without::Search, Without::FoundFirst, Without::GivingUp] {
        let fails = (0..2_000).filter(|seed| !World::new(*seed, without).play());
        assert!(fails.count() > 0, "{without:?}");
    }
}

/// Everything is lost at once, where nothing was named and no list tells of weights.
#[test]
fn one_gateway_asks_the_origin_where_everything_is_lost() {
    let mut world = World::new(1, Without::Nothing);
    world.ghost = None;
    world.engines = vec![None; LOADERS];
    let asked = |world: &World| {
        let found = world.gateways.iter().filter(|one| one.found.is_some());
        found.count()
    };
    while !world.engines.iter().all(Option::is_some) {
        world.step();
        assert!(world.now < CALM_MILLIS, "{:?}", world.engines);
    }
    assert_eq!(asked(&world), ZONES, "one gateway of each zone");
}
