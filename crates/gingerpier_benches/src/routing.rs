//! A virtual-time model of engines, entry boxes and bursts, around the shipped router.
//!
//! Engines run a fixed number of requests at once and queue the rest in order. Each entry box has
//! its own router; reports are taken at every engine at fixed times and arrive late. Time is
//! counted, not waited for, so that a run gives the same figures each time.

use {
    gingerpier_base::{Instant, order},
    gingerpier_routing::{
        Router,
        router::{Criteria, EngineKey, Policy, PoolKey},
    },
    hdrhistogram::Histogram,
    std::{
        cmp::Reverse,
        collections::{BinaryHeap, VecDeque},
    },
};

/// How engines are chosen.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Choice {
    /// Knows every queue exactly.
    Oracle,
    /// Any engine.
    Random,
    /// One after another.
    RoundRobin,
    /// The fewest requests of the entry box itself.
    LeastInFlight,
    /// The less loaded of two by the last report alone.
    TwoByReport,
    /// The shipped router.
    Shipped,
    /// The shipped router, with prompts of shared prefixes.
    ShippedWithPrefixes,
}

impl Choice {
    /// Word used in figures.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Oracle => "oracle",
            Self::Random => "random",
            Self::RoundRobin => "round_robin",
            Self::LeastInFlight => "least_in_flight",
            Self::TwoByReport => "two_by_report",
            Self::Shipped => "shipped",
            Self::ShippedWithPrefixes => "shipped_with_prefixes",
        }
    }
}

/// What is modelled.
#[derive(Debug, Clone, Copy)]
pub struct Setting {
    /// Engines.
    pub engines: usize,
    /// Requests that an engine runs at once.
    pub slots: usize,
    /// Entry boxes.
    pub entries: usize,
    /// Load, as a part of capacity.
    pub load: f64,
    /// Milliseconds by which reports are late.
    pub late_millis: u64,
    /// Mean milliseconds of a request at an engine.
    pub mean_millis: f64,
    /// Engines slowed to a third, alive all the same.
    pub slow: usize,
    /// Load rises to twice and falls again, about the same mean.
    pub bursts: bool,
    /// Requests.
    pub requests: usize,
    /// Seed.
    pub seed: u64,
}

impl Default for Setting {
    fn default() -> Self {
        Self {
            engines: 12,
            slots: 8,
            entries: 7,
            load: 0.95,
            late_millis: 1_000,
            mean_millis: 400.0,
            slow: 0,
            bursts: false,
            requests: 200_000,
            seed: 1,
        }
    }
}

/// Microseconds between two reports of an engine.
const REPORT_MICROS: u64 = 100_000;
/// Microseconds from an engine taking a request to its first token.
const PREFILL_MICROS: u64 = 40_000;
/// The longest time that the histogram tells apart, in microseconds.
const LONGEST_MICROS: u64 = 600_000_000;
/// Microseconds from an entry box to a door and back.
const ROUND_TRIP_MICROS: u64 = 3_000;
/// Tries that are refused by an engine without a free slot, before one is queued.
const PROBES: usize = 6;
/// What random numbers are drawn for.
const GAP: u64 = 1;
const ENTRY: u64 = 2;
const GROUP: u64 = 3;
const WORK: u64 = 4;
/// Groups of prompts that share a prefix.
const PREFIX_GROUPS: u64 = 64;
/// Microseconds of a burst's period.
const BURST_MICROS: u64 = 4_000_000;

/// What came of a run.
#[derive(Debug, Clone, Copy)]
pub struct Figures {
    /// 95th of the time to the first token, in milliseconds.
    pub p95: f64,
    /// 99th of the time to the first token, in milliseconds.
    pub p99: f64,
    /// Share of requests that found their prefix in the engine's cache.
    pub prefix_hits: f64,
    /// Refused tries for each request.
    pub probes: f64,
    /// Seconds of engine slots idle while requests queued elsewhere, for each second.
    pub idle_while_queued: f64,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum What {
    Arrival,
    Try { request: usize },
    End { engine: usize, entry: usize },
    Report,
    Delivery { report: usize },
}

#[derive(Debug, Clone, Copy)]
struct Waiting {
    entry: usize,
    since: u64,
    micros: u64,
}

/// A request that has not found its engine.
struct Seeking {
    entry: usize,
    group: u64,
    since: u64,
    tried: Vec<EngineKey>,
}

struct Engine {
    key: EngineKey,
    running: usize,
    queue: VecDeque<Waiting>,
    by_entry: Vec<u32>,
    slow: bool,
    /// Prefix groups held, latest last.
    cached: VecDeque<u64>,
}

impl Engine {
    fn load(&self) -> usize {
        self.running + self.queue.len()
    }
}

struct Entry {
    router: Router,
    pool: PoolKey,
    own: Vec<u32>,
    reported: Vec<u32>,
}

struct Model {
    setting: Setting,
    choice: Choice,
    random: fastrand::Rng,
    now: u64,
    events: BinaryHeap<Reverse<(u64, u64, What)>>,
    sequence: u64,
    engines: Vec<Engine>,
    entries: Vec<Entry>,
    reports: Vec<(u64, Vec<Vec<u32>>)>,
    seeking: Vec<Seeking>,
    probes: usize,
    turn: usize,
    histogram: Histogram<u64>,
    arrived: usize,
    hits: usize,
    idle_micros: u64,
    last_account: u64,
}

/// Runs a model.
///
/// # Panics
///
/// Where the setting has no engines or entry boxes.
pub fn run(setting: Setting, choice: Choice) -> Figures {
    let mut model = Model::new(setting, choice);
    model.schedule(0, What::Arrival);
    model.schedule(0, What::Report);
    while let Some(Reverse((at, _, what))) = model.events.pop() {
        model.account(at);
        model.now = at;
        match what {
            What::Arrival => model.arrive(),
            What::Try { request } => model.try_once(request),
            What::End { engine, entry } => model.end(engine, entry),
            What::Report => model.report(),
            What::Delivery { report } => model.deliver(report),
        }
    }
    model.figures()
}

impl Model {
    fn new(setting: Setting, choice: Choice) -> Self {
        let engines = (0..setting.engines).map(|index| Engine {
            key: EngineKey(index as u32),
            running: 0,
            queue: VecDeque::new(),
            by_entry: vec![0; setting.entries],
            slow: index < setting.slow,
            cached: VecDeque::new(),
        });
        let entries = (0..setting.entries).map(|index| {
            let mut router = Router::new(Policy::default(), index as u64 + 1);
            let pool = router.add_pool();
            for _ in 0..setting.engines {
                // The queue's length is what is measured; capacity must not refuse.
                let engine = router.add_engine(u32::MAX / 2);
                router.add_to_pool(pool, engine);
            }
            let none = vec![0; setting.engines];
            Entry {
                router,
                pool,
                own: none.clone(),
                reported: none,
            }
        });
        Self {
            random: fastrand::Rng::with_seed(setting.seed),
            now: 0,
            events: BinaryHeap::new(),
            sequence: 0,
            engines: engines.collect(),
            entries: entries.collect(),
            reports: Vec::new(),
            seeking: Vec::new(),
            probes: 0,
            turn: 0,
            histogram: Histogram::new_with_bounds(1, LONGEST_MICROS, 3)
                .expect("the bounds are sound"),
            arrived: 0,
            hits: 0,
            idle_micros: 0,
            last_account: 0,
            setting,
            choice,
        }
    }

    fn schedule(&mut self, at: u64, what: What) {
        self.sequence += 1;
        self.events.push(Reverse((at, self.sequence, what)));
    }

    /// Slots idle while requests wait elsewhere, summed over time.
    fn account(&mut self, at: u64) {
        let queued: usize = self.engines.iter().map(|engine| engine.queue.len()).sum();
        let idle: usize = self
            .engines
            .iter()
            .map(|engine| self.setting.slots - engine.running)
            .sum();
        self.idle_micros += (at - self.last_account) * queued.min(idle) as u64;
        self.last_account = at;
    }

    /// Number between 0 and 1 that depends on the seed, the request and what it is for alone, so
    /// that every choice is measured with the same arrivals and the same work.
    fn draw(&self, request: usize, purpose: u64) -> f64 {
        let bits = order::mix(order::mix(self.setting.seed ^ order::mix(request as u64)) ^ purpose);
        (bits >> 11) as f64 / (1_u64 << 53) as f64
    }

    fn exponential(&self, request: usize, purpose: u64, mean: f64) -> u64 {
        (-mean * (1.0 - self.draw(request, purpose)).ln()) as u64
    }

    /// Mean microseconds between arrivals now.
    fn gap(&self) -> f64 {
        let Setting {
            engines,
            slots,
            slow,
            load,
            mean_millis,
            ..
        } = self.setting;
        let speed = (engines - slow) as f64 + slow as f64 / 3.0;
        let capacity = speed * slots as f64 / (mean_millis * 1e3);
        let high = self.now % BURST_MICROS < BURST_MICROS / 4;
        let factor = match (self.setting.bursts, high) {
            (false, _) => 1.0,
            (true, true) => 1.75,
            (true, false) => 0.75,
        };
        1.0 / (capacity * load * factor)
    }

    fn arrive(&mut self) {
        if self.arrived == self.setting.requests {
            return;
        }
        self.arrived += 1;
        let gap = self.gap();
        let next = self.now + self.exponential(self.arrived, GAP, gap);
        self.schedule(next, What::Arrival);
        let entry = (self.draw(self.arrived, ENTRY) * self.setting.entries as f64) as usize;
        let group = (self.draw(self.arrived, GROUP) * PREFIX_GROUPS as f64) as u64;
        let since = self.now;
        self.seeking.push(Seeking {
            entry,
            group,
            since,
            tried: Vec::new(),
        });
        self.try_once(self.seeking.len() - 1);
    }

    /// Sends a request to an engine; one without a free slot refuses the first tries at once.
    fn try_once(&mut self, request: usize) {
        let Seeking { entry, group, .. } = self.seeking[request];
        let tried = std::mem::take(&mut self.seeking[request].tried);
        let shipped = matches!(self.choice, Choice::Shipped | Choice::ShippedWithPrefixes);
        let probing = shipped && tried.len() < PROBES.min(self.engines.len() - 1);
        let engine = self.choose(entry, group, if probing { &tried } else { &[] });
        if probing && self.engines[engine].running >= self.setting.slots {
            self.probes += 1;
            let held = &self.engines[engine];
            let others = held.load() as u32 - held.by_entry[entry];
            self.observe(entry, engine, others);
            self.seeking[request].tried = tried;
            self.seeking[request].tried.push(EngineKey(engine as u32));
            self.schedule(self.now + ROUND_TRIP_MICROS, What::Try { request });
            return;
        }
        self.place(request, engine);
    }

    fn observe(&mut self, entry: usize, engine: usize, others: u32) {
        let now = Instant::from_millis(self.now / 1_000);
        self.entries[entry]
            .router
            .record_observed_load(EngineKey(engine as u32), others, now);
    }

    fn place(&mut self, request: usize, engine: usize) {
        let Seeking {
            entry,
            group,
            since,
            ..
        } = self.seeking[request];
        let cached = &mut self.engines[engine].cached;
        self.hits += usize::from(cached.contains(&group));
        cached.retain(|held| *held != group);
        cached.push_back(group);
        if cached.len() > PREFIX_GROUPS as usize / 8 {
            cached.pop_front();
        }
        let mut micros = self.exponential(request, WORK, self.setting.mean_millis * 1e3);
        if self.engines[engine].slow {
            micros *= 3;
        }
        let held = &mut self.entries[entry];
        held.own[engine] += 1;
        held.router.record_request_start(EngineKey(engine as u32));
        self.engines[engine].by_entry[entry] += 1;
        self.engines[engine].queue.push_back(Waiting {
            entry,
            since,
            micros,
        });
        self.fill(engine);
    }

    fn fill(&mut self, engine: usize) {
        while self.engines[engine].running < self.setting.slots {
            let Some(waiting) = self.engines[engine].queue.pop_front() else {
                return;
            };
            self.engines[engine].running += 1;
            let first = self.now - waiting.since + PREFILL_MICROS;
            // The first tenth fills the queues and is not counted.
            if self.arrived > self.setting.requests / 10 {
                self.histogram.saturating_record(first);
            }
            let at = self.now + waiting.micros;
            self.schedule(
                at,
                What::End {
                    engine,
                    entry: waiting.entry,
                },
            );
        }
    }

    fn end(&mut self, engine: usize, entry: usize) {
        self.engines[engine].running -= 1;
        self.engines[engine].by_entry[entry] -= 1;
        self.entries[entry].own[engine] -= 1;
        self.entries[entry]
            .router
            .record_request_end(EngineKey(engine as u32));
        self.fill(engine);
    }

    fn report(&mut self) {
        let others = |entry: usize| {
            let seen = |engine: &Engine| engine.load() as u32 - engine.by_entry[entry];
            self.engines.iter().map(seen).collect()
        };
        let report: Vec<Vec<u32>> = (0..self.setting.entries).map(others).collect();
        self.reports.push((self.now, report));
        let delivery = What::Delivery {
            report: self.reports.len() - 1,
        };
        self.schedule(self.now + self.setting.late_millis * 1_000, delivery);
        if self.arrived < self.setting.requests {
            self.schedule(self.now + REPORT_MICROS, What::Report);
        }
    }

    fn deliver(&mut self, report: usize) {
        let (taken, report) = std::mem::take(&mut self.reports[report]);
        let at = Instant::from_millis(taken / 1_000);
        for (entry, others) in self.entries.iter_mut().zip(report) {
            for (engine, others) in others.iter().enumerate() {
                entry.router.record_load_report(
                    EngineKey(engine as u32),
                    *others,
                    u32::MAX / 2,
                    at,
                );
            }
            entry.reported = others;
        }
    }

    fn choose(&mut self, entry: usize, group: u64, tried: &[EngineKey]) -> usize {
        let count = self.engines.len();
        let least = |load: &dyn Fn(usize) -> u32, start: usize| {
            let rotated = (0..count).map(|index| (index + start) % count);
            rotated.min_by_key(|engine| load(*engine)).unwrap_or(0)
        };
        let start = self.random.usize(..count);
        match self.choice {
            Choice::Oracle => {
                let slots = self.setting.slots;
                let load = |engine: usize| {
                    let engine = &self.engines[engine];
                    let weight = if engine.slow { 3 } else { 1 };
                    // An engine with a free slot answers at once, whatever its speed.
                    if engine.running < slots {
                        0
                    } else {
                        (engine.load() * weight) as u32
                    }
                };
                least(&load, start)
            }
            Choice::Random => start,
            Choice::RoundRobin => {
                self.turn += 1;
                self.turn % count
            }
            Choice::LeastInFlight => least(&|engine| self.entries[entry].own[engine], start),
            Choice::TwoByReport => {
                let other = self.random.usize(..count);
                let reported = &self.entries[entry].reported;
                if reported[start] <= reported[other] {
                    start
                } else {
                    other
                }
            }
            Choice::Shipped | Choice::ShippedWithPrefixes => {
                let prefix_hash =
                    (self.choice == Choice::ShippedWithPrefixes).then(|| order::mix(group + 1));
                let now = Instant::from_millis(self.now / 1_000);
                let held = &mut self.entries[entry];
                let pools = [held.pool];
                let criteria = Criteria {
                    pools: &pools,
                    prefix_hash,
                    tried,
                    now,
                };
                held.router
                    .choose(criteria)
                    .map_or(start, |engine| engine.0 as usize)
            }
        }
    }

    fn figures(&self) -> Figures {
        let millis = |quantile| self.histogram.value_at_quantile(quantile) as f64 / 1e3;
        debug_assert!(
            self.engines
                .iter()
                .all(|engine| engine.key.0 as usize <= self.engines.len())
        );
        Figures {
            p95: millis(0.95),
            p99: millis(0.99),
            probes: self.probes as f64 / self.arrived as f64,
            prefix_hits: self.hits as f64 / self.arrived as f64,
            idle_while_queued: self.idle_micros as f64 / self.now.max(1) as f64,
        }
    }
}
