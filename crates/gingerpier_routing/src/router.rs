//! Selects the engine that serves a request.
//!
//! The router prefers the engine that the hash of the prompt's prefix maps to on a consistent hash
//! ring, unless that engine is clearly busier than its pool. Otherwise it compares a random sample
//! of the pool's engines and returns the least loaded. Two load limits keep zones from trading
//! requests back and forth: a zone runs and queues its own requests, and accepts requests of other
//! zones only up to part of its engines' capacity.
//!
//! Load of other entry boxes is known from load reports and from each response or refusal of a
//! backend server. As a report ages, the estimate moves towards the pool's mean, so that entry
//! boxes don't all send to the engine that one stale report shows as idle.

use gingerpier_base::{Instant, order};

/// Index of an engine in the router's arena.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct EngineKey(pub u32);

/// Index of a pool: the engines that hold one version in one zone.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct PoolKey(pub u32);

/// Parameters of engine selection.
#[derive(Debug, Clone, Copy)]
pub struct Policy {
    /// Engines compared per choice; smaller pools are scanned whole; default 16.
    pub sample_size: u32,
    /// Age in milliseconds at which a load report is ignored; default 400.
    pub stale_millis: u64,
    /// Highest load of a prefix's engine, in percent of the pool's mean; default 125.
    pub prefix_percent: u32,
    /// Highest load at which an engine accepts requests of other zones, in percent of its capacity;
    /// default 80.
    pub spillover_percent: u32,
    /// Highest load including queued requests, in percent of an engine's capacity; default 200.
    pub queue_percent: u32,
    /// Retry delay in milliseconds for each request above the limit; default 20.
    pub retry_after_millis: u64,
}

impl Default for Policy {
    fn default() -> Self {
        Self {
            sample_size: 16,
            stale_millis: 400,
            prefix_percent: 125,
            spillover_percent: 80,
            queue_percent: 200,
            retry_after_millis: 20,
        }
    }
}

impl Policy {
    /// Load limit of an engine, in percent of its capacity.
    const fn load_limit_percent(&self, allow_queueing: bool, is_own_zone: bool) -> u32 {
        match (allow_queueing, is_own_zone) {
            (false, true) => 100,
            (false, false) => self.spillover_percent,
            (true, true) => self.queue_percent,
            // Only the zone's own requests may queue.
            (true, false) => 100,
        }
    }
}

/// Input of a routing decision.
#[derive(Debug, Clone, Copy)]
pub struct Criteria<'a> {
    /// Pools of the requested version, nearest zone first.
    pub pools: &'a [PoolKey],
    /// Hash of the prompt's prefix; enables prefix affinity.
    pub prefix_hash: Option<u64>,
    /// Engines to skip, because earlier attempts used them.
    pub tried: &'a [EngineKey],
    /// Time of the decision.
    pub now: Instant,
}

/// Reason why no engine was selected.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Refusal {
    /// No engine holds the version.
    NoEngine,
    /// All engines are at their limit; holds the earliest time of a retry.
    Full(Instant),
}

/// Points of each engine on a pool's hash ring.
const RING_POINTS_PER_ENGINE: u64 = 8;

#[derive(Debug, Clone, Default)]
struct Engine {
    capacity: u32,
    own_requests: u32,
    /// Requests of other entry boxes, from the last load report.
    other_requests: u32,
    reported_at: Instant,
    pools: Vec<PoolKey>,
}

impl Engine {
    const fn load(&self) -> u32 {
        self.own_requests + self.other_requests
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
    /// Sorted by hash.
    ring: Vec<Point>,
    load: u64,
    /// Part of `load` that other entry boxes sent.
    other_requests: u64,
}

/// Engines, pools and their loads as seen by one entry box.
#[derive(Debug)]
pub struct Router {
    policy: Policy,
    engines: Vec<Engine>,
    pools: Vec<Pool>,
    rng: fastrand::Rng,
}

impl Router {
    /// Creates a router; `seed` must differ between entry boxes.
    pub fn new(policy: Policy, seed: u64) -> Self {
        let rng = fastrand::Rng::with_seed(seed);
        Self {
            policy,
            engines: Vec::new(),
            pools: Vec::new(),
            rng,
        }
    }

    /// Adds an engine that runs `capacity` requests concurrently.
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

    /// Adds an engine to a pool; no effect if it is a member already.
    pub fn add_to_pool(&mut self, pool: PoolKey, engine: EngineKey) {
        let Engine {
            own_requests,
            other_requests,
            ..
        } = *self.engine(engine);
        let target = &mut self.pools[pool.0 as usize];
        if target.members.contains(&engine) {
            return;
        }
        target.members.push(engine);
        target.load += u64::from(own_requests + other_requests);
        target.other_requests += u64::from(other_requests);
        for point in 0..RING_POINTS_PER_ENGINE {
            let hash = order::mix(u64::from(engine.0) << 8 | point);
            let index = target.ring.partition_point(|other| other.hash < hash);
            target.ring.insert(index, Point { hash, engine });
        }
        self.engines[engine.0 as usize].pools.push(pool);
    }

    /// Removes an engine from a pool.
    pub fn remove_from_pool(&mut self, pool: PoolKey, engine: EngineKey) {
        let Engine {
            own_requests,
            other_requests,
            ..
        } = *self.engine(engine);
        let target = &mut self.pools[pool.0 as usize];
        let Some(index) = target.members.iter().position(|member| *member == engine) else {
            return;
        };
        target.members.swap_remove(index);
        target.load -= u64::from(own_requests + other_requests);
        target.other_requests -= u64::from(other_requests);
        target.ring.retain(|point| point.engine != engine);
        self.engines[engine.0 as usize]
            .pools
            .retain(|other| *other != pool);
    }

    /// Pools that contain the engine.
    pub fn pools_of(&self, engine: EngineKey) -> &[PoolKey] {
        &self.engine(engine).pools
    }

    /// Engines in the pool.
    pub fn members(&self, pool: PoolKey) -> &[EngineKey] {
        &self.pools[pool.0 as usize].members
    }

    /// Updates an engine's capacity and the load from other entry boxes, as measured at `at`.
    ///
    /// Reports older than the latest one are ignored.
    pub fn record_load_report(
        &mut self,
        engine: EngineKey,
        other_requests: u32,
        capacity: u32,
        at: Instant,
    ) {
        let state = &mut self.engines[engine.0 as usize];
        if at < state.reported_at {
            return;
        }
        state.reported_at = at;
        state.capacity = capacity;
        let previous = state.other_requests;
        state.other_requests = other_requests;
        let delta = i64::from(other_requests) - i64::from(previous);
        self.adjust_pool_loads(engine, delta);
        for pool in &self.engines[engine.0 as usize].pools {
            let total = &mut self.pools[pool.0 as usize].other_requests;
            *total = total.saturating_add_signed(delta);
        }
    }

    /// Updates the load from other entry boxes with a value that came with a response or refusal.
    pub fn record_observed_load(&mut self, engine: EngineKey, other_requests: u32, now: Instant) {
        let capacity = self.engine(engine).capacity;
        self.record_load_report(engine, other_requests, capacity, now);
    }

    /// Records a request that this process sent to `engine`.
    pub fn record_request_start(&mut self, engine: EngineKey) {
        self.engines[engine.0 as usize].own_requests += 1;
        self.adjust_pool_loads(engine, 1);
    }

    /// Records the end of a request that this process sent to `engine`.
    pub fn record_request_end(&mut self, engine: EngineKey) {
        self.engines[engine.0 as usize].own_requests -= 1;
        self.adjust_pool_loads(engine, -1);
    }

    /// Requests of this process in flight at `engine`.
    pub fn in_flight(&self, engine: EngineKey) -> u32 {
        self.engine(engine).own_requests
    }

    /// Last known load of `engine`, in requests of all entry boxes.
    pub fn load(&self, engine: EngineKey) -> u32 {
        self.engine(engine).load()
    }

    /// Selects one of several pool sets at random, weighted by the number of engines not in
    /// `tried`; `None` if there are none.
    ///
    /// Versions that share traffic receive it in proportion to their engines, and a retry reaches
    /// another version once all engines of the first have been tried.
    pub fn select_pools(&mut self, sets: &[Vec<PoolKey>], tried: &[EngineKey]) -> Option<usize> {
        let untried_count = |set: &Vec<PoolKey>| {
            let members = set.iter().flat_map(|pool| self.members(*pool));
            members.filter(|engine| !tried.contains(engine)).count()
        };
        let counts: Vec<usize> = sets.iter().map(untried_count).collect();
        let total: usize = counts.iter().sum();
        if total == 0 {
            return None;
        }
        let mut offset = self.rng.usize(..total);
        counts.iter().position(|count| {
            let is_selected = offset < *count;
            offset = offset.saturating_sub(*count);
            is_selected
        })
    }

    /// Selects an engine.
    ///
    /// # Errors
    ///
    /// Fails if no engine holds the version, or all engines that do are at their limit.
    pub fn choose(&mut self, criteria: Criteria<'_>) -> Result<EngineKey, Refusal> {
        let mut least_excess = None;
        for allow_queueing in [false, true] {
            for (pool_index, pool) in criteria.pools.iter().enumerate() {
                let Some(best) = self.best_in_pool(*pool, criteria) else {
                    continue;
                };
                let engine = self.engine(best);
                let percent = self
                    .policy
                    .load_limit_percent(allow_queueing, pool_index == 0);
                let limit = (u64::from(engine.capacity) * u64::from(percent) / 100).max(1);
                let load = u64::from(engine.load());
                if load < limit {
                    return Ok(best);
                }
                let excess = load + 1 - limit;
                least_excess = Some(least_excess.unwrap_or(excess).min(excess));
            }
        }
        let retry_at = |excess: u64| {
            criteria
                .now
                .after_millis(self.policy.retry_after_millis * excess)
        };
        Err(least_excess.map_or(Refusal::NoEngine, |excess| Refusal::Full(retry_at(excess))))
    }

    fn engine(&self, key: EngineKey) -> &Engine {
        &self.engines[key.0 as usize]
    }

    fn adjust_pool_loads(&mut self, engine: EngineKey, delta: i64) {
        for pool in &self.engines[engine.0 as usize].pools {
            let load = &mut self.pools[pool.0 as usize].load;
            *load = load.saturating_add_signed(delta);
        }
    }

    fn best_in_pool(&mut self, pool: PoolKey, criteria: Criteria<'_>) -> Option<EngineKey> {
        let prefix_engine = criteria
            .prefix_hash
            .and_then(|prefix| self.prefix_engine(pool, prefix, criteria.tried));
        if prefix_engine.is_some() {
            return prefix_engine;
        }
        let count = self.pools[pool.0 as usize].members.len();
        if count == 0 {
            return None;
        }
        let start = self.rng.usize(..count);
        // A stride coprime to the count visits each engine at most once.
        let stride = if count <= self.policy.sample_size as usize {
            1
        } else {
            self.stride(count)
        };
        let mean = self.mean_other_requests(pool);
        let mut best: Option<(u64, EngineKey)> = None;
        for draw in 0..count.min(self.policy.sample_size as usize) {
            let engine = self.pools[pool.0 as usize].members[(start + draw * stride) % count];
            if criteria.tried.contains(&engine) {
                continue;
            }
            let estimate = self.estimated_load(engine, mean, criteria.now);
            if best.is_none_or(|(least, _)| estimate < least) {
                best = Some((estimate, engine));
            }
        }
        let best = best.map(|(_, engine)| engine);
        best.or_else(|| self.least_loaded(pool, criteria.tried))
    }

    fn stride(&mut self, count: usize) -> usize {
        const PRIMES: [usize; 4] = [7_919, 104_729, 15_485_863, 32_452_843];
        PRIMES[self.rng.usize(..PRIMES.len())] % count
    }

    /// Mean requests of other entry boxes per engine, in thousandths of a request.
    fn mean_other_requests(&self, pool: PoolKey) -> u64 {
        let pool = &self.pools[pool.0 as usize];
        pool.other_requests * 1_000 / (pool.members.len() as u64).max(1)
    }

    /// Estimated load of an engine, in thousandths of a request; blends the last report with the
    /// pool's mean by the report's age.
    fn estimated_load(&self, engine: EngineKey, mean: u64, now: Instant) -> u64 {
        let engine = self.engine(engine);
        let stale_millis = self.policy.stale_millis.max(1);
        let age_millis = now.millis_since(engine.reported_at).min(stale_millis);
        let reported =
            u64::from(engine.other_requests) * 1_000 * (stale_millis - age_millis) / stale_millis;
        u64::from(engine.own_requests) * 1_000 + reported + mean * age_millis / stale_millis
    }

    fn has_room(&self, engine: EngineKey) -> bool {
        let engine = self.engine(engine);
        engine.load() < engine.capacity
    }

    fn least_loaded(&self, pool: PoolKey, tried: &[EngineKey]) -> Option<EngineKey> {
        let members = self.pools[pool.0 as usize].members.iter().copied();
        let candidates = members.filter(|engine| !tried.contains(engine));
        candidates.min_by_key(|engine| self.engine(*engine).load())
    }

    /// Engine that `prefix` maps to on the hash ring; `None` if it is clearly busier than its pool,
    /// full or in `tried`.
    fn prefix_engine(&self, pool: PoolKey, prefix: u64, tried: &[EngineKey]) -> Option<EngineKey> {
        let pool = &self.pools[pool.0 as usize];
        if pool.ring.is_empty() {
            return None;
        }
        let index = pool.ring.partition_point(|point| point.hash < prefix) % pool.ring.len();
        let engine = pool.ring[index].engine;
        let load = u64::from(self.engine(engine).load());
        let count = pool.members.len() as u64;
        let max_load = pool.load * u64::from(self.policy.prefix_percent) / (100 * count) + 1;
        (load <= max_load && !tried.contains(&engine) && self.has_room(engine)).then_some(engine)
    }
}
