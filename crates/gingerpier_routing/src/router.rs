//! The choice of an engine.
//!
//! Within the nearest zone, the engine that a prompt's prefix hashes to is taken unless it is
//! clearly busier than its pool; otherwise the least loaded of some engines drawn at random. Two
//! thresholds keep zones from trading work back and forth: a zone takes its own requests up to
//! its engines' full capacity and then queues them, and another zone's only up to a part of it.
//!
//! What others have at an engine is known from its door: exactly with each answer and each
//! refusal, and from reports in between. As that grows old it counts for less, and the mean of
//! the pool for more, so that entry boxes do not all run after one stale report.

use gingerpier_base::{Instant, order};

/// Key of an engine, in the router's arena.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct EngineKey(pub u32);

/// Key of a pool: the engines that hold one version in one zone.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct PoolKey(pub u32);

/// How the router chooses.
#[derive(Debug, Clone, Copy)]
pub struct Policy {
    /// Engines drawn at random; pools up to this size are looked at whole; default 16.
    pub draws: u32,
    /// Milliseconds after which what was seen of others' work counts no more; default 400.
    pub stale_millis: u64,
    /// Load over the pool's mean, in percent, up to which a prefix's engine is kept; default 125.
    pub prefix_percent: u32,
    /// Part of an engine's capacity open to other zones' requests, in percent; default 80.
    pub spill_percent: u32,
    /// Requests that an engine may have, running and queued, in percent of what it runs at once;
    /// default 200.
    pub queue_percent: u32,
    /// Milliseconds to come back after, for each request too many; default 20.
    pub wait_millis: u64,
}

impl Default for Policy {
    fn default() -> Self {
        Self {
            draws: 16,
            stale_millis: 400,
            prefix_percent: 125,
            spill_percent: 80,
            queue_percent: 200,
            wait_millis: 20,
        }
    }
}

impl Policy {
    /// Load up to which an engine takes a request, in percent of what it runs at once: first
    /// wherever it would run at once, then where it queues.
    const fn percent(&self, queueing: bool, own_zone: bool) -> u32 {
        match (queueing, own_zone) {
            (false, true) => 100,
            (false, false) => self.spill_percent,
            (true, true) => self.queue_percent,
            // Queues of another zone are for its own requests.
            (true, false) => 100,
        }
    }
}

/// A request to be placed.
#[derive(Debug, Clone, Copy)]
pub struct Ask<'a> {
    /// Pools that may serve it, nearest zone first.
    pub pools: &'a [PoolKey],
    /// Hash of the prompt's prefix.
    pub prefix: Option<u64>,
    /// Engines that were tried before.
    pub tried: &'a [EngineKey],
    /// Time of the choice.
    pub now: Instant,
}

/// No engine may take the request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Refusal {
    /// No engine holds the version.
    NoEngine,
    /// All are full; come back at the instant.
    Full(Instant),
}

/// Prefix points of one engine on a pool's ring.
const POINTS: u64 = 8;

#[derive(Debug, Clone, Default)]
struct Engine {
    capacity: u32,
    own: u32,
    /// Others' work by the last report.
    others: u32,
    reported_at: Instant,
    pools: Vec<PoolKey>,
}

impl Engine {
    const fn load(&self) -> u32 {
        self.own + self.others
    }
}

#[derive(Debug, Clone, Copy)]
struct Point {
    hash: u64,
    engine: EngineKey,
}

#[derive(Debug, Clone, Default)]
struct Pool {
    members: Vec<EngineKey>,
    /// Prefix points, by rising hash.
    ring: Vec<Point>,
    load: u64,
    /// The part of the load that is others'.
    others: u64,
}

/// Engines, pools and loads as one entry box sees them.
#[derive(Debug)]
pub struct Router {
    policy: Policy,
    engines: Vec<Engine>,
    pools: Vec<Pool>,
    random: fastrand::Rng,
}

impl Router {
    /// Router whose random draws follow from `seed`; give each entry box its own.
    pub fn new(policy: Policy, seed: u64) -> Self {
        let random = fastrand::Rng::with_seed(seed);
        Self {
            policy,
            engines: Vec::new(),
            pools: Vec::new(),
            random,
        }
    }

    /// Adds an engine that takes `capacity` requests at once.
    pub fn add_engine(&mut self, capacity: u32) -> EngineKey {
        self.engines.push(Engine {
            capacity,
            ..Engine::default()
        });
        EngineKey(self.engines.len() as u32 - 1)
    }

    /// Adds an empty pool.
    pub fn add_pool(&mut self) -> PoolKey {
        self.pools.push(Pool::default());
        PoolKey(self.pools.len() as u32 - 1)
    }

    /// Puts an engine into a pool.
    pub fn join(&mut self, pool: PoolKey, engine: EngineKey) {
        let Engine { own, others, .. } = *self.engine(engine);
        let held = &mut self.pools[pool.0 as usize];
        if held.members.contains(&engine) {
            return;
        }
        held.members.push(engine);
        held.load += u64::from(own + others);
        held.others += u64::from(others);
        for point in 0..POINTS {
            let hash = order::mix(u64::from(engine.0) << 8 | point);
            let place = held.ring.partition_point(|other| other.hash < hash);
            held.ring.insert(place, Point { hash, engine });
        }
        self.engines[engine.0 as usize].pools.push(pool);
    }

    /// Takes an engine out of a pool.
    pub fn leave(&mut self, pool: PoolKey, engine: EngineKey) {
        let Engine { own, others, .. } = *self.engine(engine);
        let held = &mut self.pools[pool.0 as usize];
        let Some(place) = held.members.iter().position(|member| *member == engine) else {
            return;
        };
        held.members.swap_remove(place);
        held.load -= u64::from(own + others);
        held.others -= u64::from(others);
        held.ring.retain(|point| point.engine != engine);
        self.engines[engine.0 as usize]
            .pools
            .retain(|other| *other != pool);
    }

    /// Pools that an engine is in.
    pub fn pools_of(&self, engine: EngineKey) -> &[PoolKey] {
        &self.engine(engine).pools
    }

    /// Engines in a pool.
    pub fn members(&self, pool: PoolKey) -> &[EngineKey] {
        &self.pools[pool.0 as usize].members
    }

    /// Takes a load report: work of others than this process, as of `at`.
    ///
    /// A report older than the last one is passed over.
    pub fn report(&mut self, engine: EngineKey, others: u32, capacity: u32, at: Instant) {
        let held = &mut self.engines[engine.0 as usize];
        if at < held.reported_at {
            return;
        }
        held.reported_at = at;
        held.capacity = capacity;
        let before = held.others;
        held.others = others;
        let change = i64::from(others) - i64::from(before);
        self.shift(engine, change);
        for pool in &self.engines[engine.0 as usize].pools {
            let sum = &mut self.pools[pool.0 as usize].others;
            *sum = sum.saturating_add_signed(change);
        }
    }

    /// Takes what a door told with an answer or a refusal: others' work at this instant.
    pub fn observe(&mut self, engine: EngineKey, others: u32, now: Instant) {
        let capacity = self.engine(engine).capacity;
        self.report(engine, others, capacity, now);
    }

    /// Notes a request sent to `engine` by this process.
    pub fn started(&mut self, engine: EngineKey) {
        self.engines[engine.0 as usize].own += 1;
        self.shift(engine, 1);
    }

    /// Notes the end of a request sent to `engine` by this process.
    pub fn finished(&mut self, engine: EngineKey) {
        self.engines[engine.0 as usize].own -= 1;
        self.shift(engine, -1);
    }

    /// Requests of this process at `engine`.
    pub fn in_flight(&self, engine: EngineKey) -> u32 {
        self.engine(engine).own
    }

    /// Load of `engine`, as far as known.
    pub fn load(&self, engine: EngineKey) -> u32 {
        self.engine(engine).load()
    }

    /// Draws one of several sets of pools, each in proportion to its engines that were not tried
    /// yet; none where there is no such engine.
    ///
    /// So versions that take traffic together get it by the engines that hold them, and a request
    /// refused by the last engines of one version goes on to the other.
    pub fn draw_pools(&mut self, sets: &[Vec<PoolKey>], tried: &[EngineKey]) -> Option<usize> {
        let untried = |set: &Vec<PoolKey>| {
            let members = set.iter().flat_map(|pool| self.members(*pool));
            members.filter(|engine| !tried.contains(engine)).count()
        };
        let counts: Vec<usize> = sets.iter().map(untried).collect();
        let total: usize = counts.iter().sum();
        if total == 0 {
            return None;
        }
        let mut drawn = self.random.usize(..total);
        counts.iter().position(|count| {
            let found = drawn < *count;
            drawn = drawn.saturating_sub(*count);
            found
        })
    }

    /// Chooses an engine.
    ///
    /// # Errors
    ///
    /// Where no engine holds the version, or all that do are full.
    pub fn choose(&mut self, ask: Ask<'_>) -> Result<EngineKey, Refusal> {
        let mut least_excess = None;
        for queueing in [false, true] {
            for (nearness, pool) in ask.pools.iter().enumerate() {
                let Some(best) = self.best_of(*pool, ask) else {
                    continue;
                };
                let engine = self.engine(best);
                let percent = self.policy.percent(queueing, nearness == 0);
                let room = (u64::from(engine.capacity) * u64::from(percent) / 100).max(1);
                let load = u64::from(engine.load());
                if load < room {
                    return Ok(best);
                }
                let excess = load + 1 - room;
                least_excess = Some(least_excess.unwrap_or(excess).min(excess));
            }
        }
        let wait = |excess: u64| ask.now.after_millis(self.policy.wait_millis * excess);
        Err(least_excess.map_or(Refusal::NoEngine, |excess| Refusal::Full(wait(excess))))
    }

    fn engine(&self, key: EngineKey) -> &Engine {
        &self.engines[key.0 as usize]
    }

    fn shift(&mut self, engine: EngineKey, change: i64) {
        for pool in &self.engines[engine.0 as usize].pools {
            let load = &mut self.pools[pool.0 as usize].load;
            *load = load.saturating_add_signed(change);
        }
    }

    fn best_of(&mut self, pool: PoolKey, ask: Ask<'_>) -> Option<EngineKey> {
        let by_prefix = ask
            .prefix
            .and_then(|prefix| self.by_prefix(pool, prefix, ask.tried));
        if by_prefix.is_some() {
            return by_prefix;
        }
        let count = self.pools[pool.0 as usize].members.len();
        if count == 0 {
            return None;
        }
        let start = self.random.usize(..count);
        // A stride without common part with the count visits different engines.
        let stride = if count <= self.policy.draws as usize {
            1
        } else {
            self.stride(count)
        };
        let mean = self.mean_of_others(pool);
        let mut best: Option<(u64, EngineKey)> = None;
        for draw in 0..count.min(self.policy.draws as usize) {
            let engine = self.pools[pool.0 as usize].members[(start + draw * stride) % count];
            if ask.tried.contains(&engine) {
                continue;
            }
            let estimate = self.estimate(engine, mean, ask.now);
            if best.is_none_or(|(least, _)| estimate < least) {
                best = Some((estimate, engine));
            }
        }
        let best = best.map(|(_, engine)| engine);
        best.or_else(|| self.least_loaded(pool, ask.tried))
    }

    fn stride(&mut self, count: usize) -> usize {
        const PRIMES: [usize; 4] = [7_919, 104_729, 15_485_863, 32_452_843];
        PRIMES[self.random.usize(..PRIMES.len())] % count
    }

    /// Mean work of others at a pool's engines, in thousandths of a request.
    fn mean_of_others(&self, pool: PoolKey) -> u64 {
        let pool = &self.pools[pool.0 as usize];
        pool.others * 1_000 / (pool.members.len() as u64).max(1)
    }

    /// Work at an engine, in thousandths of a request: our own exactly, others' by age.
    fn estimate(&self, engine: EngineKey, mean: u64, now: Instant) -> u64 {
        let engine = self.engine(engine);
        let stale = self.policy.stale_millis.max(1);
        let age = now.millis_since(engine.reported_at).min(stale);
        let seen = u64::from(engine.others) * 1_000 * (stale - age) / stale;
        u64::from(engine.own) * 1_000 + seen + mean * age / stale
    }

    fn has_room(&self, engine: EngineKey) -> bool {
        let engine = self.engine(engine);
        engine.load() < engine.capacity
    }

    fn least_loaded(&self, pool: PoolKey, tried: &[EngineKey]) -> Option<EngineKey> {
        let members = self.pools[pool.0 as usize].members.iter().copied();
        let free = members.filter(|engine| !tried.contains(engine));
        free.min_by_key(|engine| self.engine(*engine).load())
    }

    /// The engine that `prefix` hashes to, unless it is clearly busier than its pool.
    fn by_prefix(&self, pool: PoolKey, prefix: u64, tried: &[EngineKey]) -> Option<EngineKey> {
        let pool = &self.pools[pool.0 as usize];
        if pool.ring.is_empty() {
            return None;
        }
        let place = pool.ring.partition_point(|point| point.hash < prefix) % pool.ring.len();
        let engine = pool.ring[place].engine;
        let load = u64::from(self.engine(engine).load());
        let count = pool.members.len() as u64;
        let bound = pool.load * u64::from(self.policy.prefix_percent) / (100 * count) + 1;
        (load <= bound && !tried.contains(&engine) && self.has_room(engine)).then_some(engine)
    }
}
