//! Engines and plain services as their doors report them, and the router over them.

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
pub enum Offer {
    /// A version, or an adapter's version, by its manifest.
    WeightsCache(Digest),
    /// A plain service.
    Service(Name),
}

/// An engine or plain service.
#[derive(Debug, Clone)]
pub struct Engine {
    /// Its backend server.
    pub server: BoxKey,
    /// Name of its backend server.
    pub server_name: Name,
    /// Where it is.
    pub zone: Zone,
    /// Its last status.
    pub status: EngineStatus,
    /// True while its server takes work.
    pub usable: bool,
}

/// Engines known to this entry box.
pub struct Fleet {
    router: Router,
    engines: BTreeMap<EngineKey, Engine>,
    by_name: BTreeMap<Name, EngineKey>,
    pools: BTreeMap<(Offer, Name), PoolKey>,
}

impl Fleet {
    /// Empty fleet; `seed` is for the router's random draws.
    pub fn new(seed: u64) -> Self {
        Self {
            router: Router::new(Policy::default(), seed),
            engines: BTreeMap::new(),
            by_name: BTreeMap::new(),
            pools: BTreeMap::new(),
        }
    }

    /// The router.
    pub fn router(&mut self) -> &mut Router {
        &mut self.router
    }

    /// Engines with their keys.
    pub fn engines(&self) -> impl Iterator<Item = (EngineKey, &Engine)> {
        self.engines.iter().map(|(key, engine)| (*key, engine))
    }

    /// Engine of `key`.
    pub fn engine(&self, key: EngineKey) -> Option<&Engine> {
        self.engines.get(&key)
    }

    /// Pool of an offer in a zone, where some engine has been in it.
    pub fn pool(&self, offer: &Offer, zone: &Name) -> Option<PoolKey> {
        self.pools.get(&(offer.clone(), zone.clone())).copied()
    }

    /// Engines that serve an offer now, over all zones.
    pub fn serving(&self, offer: &Offer) -> usize {
        let pools = self.pools.iter().filter(|((held, _), _)| held == offer);
        pools
            .map(|(_, pool)| self.router.members(*pool).len())
            .sum()
    }

    /// Load and capacity of all engines that take work.
    pub fn load_and_capacity(&self) -> (u64, u64) {
        let usable = self.engines.iter().filter(|(_, engine)| engine.usable);
        usable.fold((0, 0), |(load, capacity), (key, engine)| {
            let held = u64::from(self.router.load(*key));
            (load + held, capacity + u64::from(engine.status.capacity))
        })
    }

    /// Takes a server's status.
    pub fn take(
        &mut self,
        server: BoxKey,
        name: &Name,
        zone: &Zone,
        status: &Status,
        usable: bool,
    ) {
        for reported in &status.engines {
            let key = self.key(server, name, zone, reported);
            self.router
                .record_load_report(key, reported.others, reported.capacity, clock::now());
            if let Some(engine) = self.engines.get_mut(&key) {
                engine.server = server;
                engine.status = reported.clone();
                engine.usable = usable;
            }
            self.place(key);
        }
    }

    /// Notes whether a server takes work.
    pub fn set_usable(&mut self, server: BoxKey, usable: bool) {
        let changed = self
            .engines
            .iter_mut()
            .filter(|(_, engine)| engine.server == server);
        let mut keys = Vec::new();
        for (key, engine) in changed {
            if engine.usable != usable {
                engine.usable = usable;
                keys.push(*key);
            }
        }
        for key in keys {
            self.place(key);
        }
    }

    /// Forgets a server that is gone.
    pub fn forget(&mut self, server: BoxKey) {
        self.set_usable(server, false);
        let gone = self
            .engines
            .iter()
            .filter(|(_, engine)| engine.server == server);
        let gone: Vec<EngineKey> = gone.map(|(key, _)| *key).collect();
        for key in gone {
            self.engines.remove(&key);
            self.by_name.retain(|_, held| *held != key);
        }
    }

    fn key(
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
            usable: false,
        };
        self.engines.insert(key, engine);
        self.by_name.insert(reported.name.clone(), key);
        key
    }

    /// Puts an engine into the pools of what it serves now, and no others.
    fn place(&mut self, key: EngineKey) {
        let Some(engine) = self.engines.get(&key) else {
            return;
        };
        let zone = engine.zone.name.clone();
        let offers = engine.offers();
        let mut wanted = Vec::with_capacity(offers.len());
        for offer in offers {
            let pool = self.pools.entry((offer, zone.clone()));
            wanted.push(*pool.or_insert_with(|| self.router.add_pool()));
        }
        let held = self.router.pools_of(key).to_vec();
        for pool in held.iter().filter(|pool| !wanted.contains(pool)) {
            self.router.remove_from_pool(*pool, key);
        }
        for pool in wanted.into_iter().filter(|pool| !held.contains(pool)) {
            self.router.add_to_pool(pool, key);
        }
    }
}

impl Engine {
    fn offers(&self) -> Vec<Offer> {
        if !self.usable || self.status.phase != Phase::Ready {
            return Vec::new();
        }
        if self.status.plain {
            return vec![Offer::Service(self.status.kind.clone())];
        }
        let weights = self.status.weights.iter().chain(&self.status.adapters);
        weights.map(|digest| Offer::WeightsCache(*digest)).collect()
    }
}
