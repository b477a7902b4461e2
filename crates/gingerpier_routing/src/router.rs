//! The choice of an engine.
//!
//! Within the nearest zone, the engine that a prompt's prefix hashes to is taken unless it is
//! clearly busier than its pool; otherwise the less loaded of a few engines drawn at random. Two
//! thresholds keep zones from trading work back and forth: a zone takes its own requests up to
//! its engines' full capacity, and another zone's only up to a part of it.

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
    /// Engines drawn at random; default 2.
    pub draws: u32,
    /// Load over the pool's mean, in percent, up to which a prefix's engine is kept; default 125.
    pub prefix_percent: u32,
    /// Part of an engine's capacity open to other zones' requests, in percent; default 80.
    pub spill_percent: u32,
    /// Milliseconds to come back after, for each request too many; default 20.
    pub wait_millis: u64,
}

impl Default for Policy {
    fn default() -> Self {
        Self {
            draws: 2,
            prefix_percent: 125,
            spill_percent: 80,
            wait_millis: 20,
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
        let load = u64::from(self.engine(engine).load());
        let held = &mut self.pools[pool.0 as usize];
        if held.members.contains(&engine) {
            return;
        }
        held.members.push(engine);
        held.load += load;
        for point in 0..POINTS {
            let hash = order::mix(u64::from(engine.0) << 8 | point);
            let place = held.ring.partition_point(|other| other.hash < hash);
            held.ring.insert(place, Point { hash, engine });
        }
        self.engines[engine.0 as usize].pools.push(pool);
    }

    /// Takes an engine out of a pool.
    pub fn leave(&mut self, pool: PoolKey, engine: EngineKey) {
        let load = u64::from(self.engine(engine).load());
        let held = &mut self.pools[pool.0 as usize];
        let Some(place) = held.members.iter().position(|member| *member == engine) else {
            return;
        };
        held.members.swap_remove(place);
        held.load -= load;
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
        self.shift(engine, i64::from(others) - i64::from(before));
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

    /// Sum of capacities in `pools`.
    pub fn capacity(&self, pools: &[PoolKey]) -> u32 {
        let members = pools.iter().flat_map(|pool| self.members(*pool));
        members.map(|engine| self.engine(*engine).capacity).sum()
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
        for (nearness, pool) in ask.pools.iter().enumerate() {
            let percent = if nearness == 0 {
                100
            } else {
                self.policy.spill_percent
            };
            let Some(best) = self.best_of(*pool, ask) else {
                continue;
            };
            let engine = self.engine(best);
            let room = u64::from(engine.capacity) * u64::from(percent) / 100;
            if u64::from(engine.load()) < room.max(1) {
                return Ok(best);
            }
            let excess = u64::from(engine.load()) + 1 - room.max(1);
            least_excess = Some(least_excess.unwrap_or(excess).min(excess));
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
        if let Some(engine) = ask
            .prefix
            .and_then(|prefix| self.by_prefix(pool, prefix, ask.tried))
        {
            return Some(engine);
        }
        let count = self.pools[pool.0 as usize].members.len();
        let mut best = None;
        for _ in 0..self.policy.draws.min(count as u32) {
            let drawn = self.pools[pool.0 as usize].members[self.random.usize(..count)];
            if !ask.tried.contains(&drawn) {
                best = Some(self.less_loaded(best, drawn));
            }
        }
        // Few engines, most of them tried: look at each once.
        best.filter(|best| self.has_room(*best))
            .or_else(|| self.least_loaded(pool, ask.tried))
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

    fn less_loaded(&self, best: Option<EngineKey>, drawn: EngineKey) -> EngineKey {
        match best {
            Some(best) if self.engine(best).load() <= self.engine(drawn).load() => best,
            _ => drawn,
        }
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
