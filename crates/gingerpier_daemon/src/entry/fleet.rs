//! Engines and plain services as backend servers report them, with the router that chooses among
//! them.

use {
    crate::clock,
    gingerpier_base::{Digest, Name, place::Zone},
    gingerpier_membership::BoxKey,
    gingerpier_routing::{
        Router,
        router::{EngineKey, Policy, PoolKey},
    },
    gingerpier_wire::frame::{EngineStatus, Phase, Status},
    std::collections::BTreeMap,
};

/// What the engines of a pool serve.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub enum Workload {
    /// Weights, by the digest of the version's or the adapter's manifest.
    Weights(Digest),
    /// Plain service.
    Service(Name),
}

/// Engine or plain service.
#[derive(Debug, Clone)]
pub struct Engine {
    /// Backend server of the engine.
    pub server: BoxKey,
    /// Name of the backend server.
    pub server_name: Name,
    /// Zone of the backend server.
    pub zone: Zone,
    /// Last reported status.
    pub status: EngineStatus,
    /// True if the backend server accepts new requests.
    pub is_usable: bool,
}

/// Engines known to this entry box.
pub struct Fleet {
    router: Router,
    engines: BTreeMap<EngineKey, Engine>,
    by_name: BTreeMap<Name, EngineKey>,
    pools: BTreeMap<(Workload, Name), PoolKey>,
}

impl Fleet {
    /// Creates a fleet without engines; `seed` initializes the router's random choices.
    pub fn new(seed: u64) -> Self {
        Self {
            router: Router::new(Policy::default(), seed),
            engines: BTreeMap::new(),
            by_name: BTreeMap::new(),
            pools: BTreeMap::new(),
        }
    }

    /// Returns the router.
    pub fn router(&mut self) -> &mut Router {
        &mut self.router
    }

    /// Returns all engines with their keys.
    pub fn engines(&self) -> impl Iterator<Item = (EngineKey, &Engine)> {
        self.engines.iter().map(|(key, engine)| (*key, engine))
    }

    /// Returns the engine of a key.
    pub fn engine(&self, key: EngineKey) -> Option<&Engine> {
        self.engines.get(&key)
    }

    /// Returns the pool of a workload in a zone if an engine has ever been in it.
    pub fn pool(&self, workload: &Workload, zone: &Name) -> Option<PoolKey> {
        self.pools.get(&(workload.clone(), zone.clone())).copied()
    }

    /// Returns the number of engines in all zones that serve a workload now.
    pub fn serving_count(&self, workload: &Workload) -> usize {
        let pools = self
            .pools
            .iter()
            .filter(|((current, _), _)| current == workload);
        pools
            .map(|(_, pool)| self.router.members(*pool).len())
            .sum()
    }

    /// Returns the load and capacity of all usable engines.
    pub fn load_and_capacity(&self) -> (u64, u64) {
        let usable_engines = self.engines.iter().filter(|(_, engine)| engine.is_usable);
        usable_engines.fold((0, 0), |(load, capacity), (key, engine)| {
            let engine_load = u64::from(self.router.load(*key));
            (
                load + engine_load,
                capacity + u64::from(engine.status.capacity),
            )
        })
    }

    /// Updates the engines of a backend server from its status.
    pub fn record_status(
        &mut self,
        server: BoxKey,
        name: &Name,
        zone: &Zone,
        status: &Status,
        is_usable: bool,
    ) {
        for reported in &status.engines {
            let key = self.key_of_reported(server, name, zone, reported);
            self.router
                .record_load_report(key, reported.others, reported.capacity, clock::now());
            if let Some(engine) = self.engines.get_mut(&key) {
                engine.server = server;
                engine.status = reported.clone();
                engine.is_usable = is_usable;
            }
            self.update_pools(key);
        }
    }

    /// Updates whether a backend server accepts new requests.
    pub fn set_usable(&mut self, server: BoxKey, is_usable: bool) {
        let server_engines = self
            .engines
            .iter_mut()
            .filter(|(_, engine)| engine.server == server);
        let mut keys = Vec::new();
        for (key, engine) in server_engines {
            if engine.is_usable != is_usable {
                engine.is_usable = is_usable;
                keys.push(*key);
            }
        }
        for key in keys {
            self.update_pools(key);
        }
    }

    /// Removes a backend server with its engines.
    pub fn remove_server(&mut self, server: BoxKey) {
        self.set_usable(server, false);
        let removed = self
            .engines
            .iter()
            .filter(|(_, engine)| engine.server == server);
        let removed: Vec<EngineKey> = removed.map(|(key, _)| *key).collect();
        for key in removed {
            self.engines.remove(&key);
            self.by_name.retain(|_, other| *other != key);
        }
    }

    fn key_of_reported(
        &mut self,
        server: BoxKey,
        name: &Name,
        zone: &Zone,
        reported: &EngineStatus,
    ) -> EngineKey {
        if let Some(key) = self.by_name.get(&reported.name) {
            return *key;
        }
        let key = self.router.add_engine(reported.capacity);
        let engine = Engine {
            server,
            server_name: name.clone(),
            zone: zone.clone(),
            status: reported.clone(),
            is_usable: false,
        };
        self.engines.insert(key, engine);
        self.by_name.insert(reported.name.clone(), key);
        key
    }

    /// Moves an engine into exactly the pools of what it serves now.
    fn update_pools(&mut self, key: EngineKey) {
        let Some(engine) = self.engines.get(&key) else {
            return;
        };
        let zone = engine.zone.name.clone();
        let workloads = engine.workloads();
        let mut desired = Vec::with_capacity(workloads.len());
        for workload in workloads {
            let pool = self.pools.entry((workload, zone.clone()));
            desired.push(*pool.or_insert_with(|| self.router.add_pool()));
        }
        let current = self.router.pools_of(key).to_vec();
        for pool in current.iter().filter(|pool| !desired.contains(pool)) {
            self.router.remove_from_pool(*pool, key);
        }
        for pool in desired.into_iter().filter(|pool| !current.contains(pool)) {
            self.router.add_to_pool(pool, key);
        }
    }
}

impl Engine {
    fn workloads(&self) -> Vec<Workload> {
        if !self.is_usable || self.status.phase != Phase::Ready {
            return Vec::new();
        }
        if self.status.plain {
            return vec![Workload::Service(self.status.kind.clone())];
        }
        let weights = self.status.weights.iter().chain(&self.status.adapters);
        weights.map(|digest| Workload::Weights(*digest)).collect()
    }
}
