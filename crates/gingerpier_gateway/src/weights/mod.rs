//! Weights on their way: what a process holds, gives and fetches.
//!
//! Gateways have wide links, and backend servers narrow ones that carry the answers of engines,
//! too. So some gateways of each zone take what was named, each chunk entering at one of them and
//! going from there to the others, and give it to the loaders of their zone, which share their
//! questions out among them. Loaders without a gateway spread chunks among themselves.

pub mod asking;
pub mod fetch;
pub mod holding;
pub mod manifest;
pub mod peers;
pub mod relay;
pub mod search;
pub mod sources;

use {
    actix_rt::task::JoinHandle,
    bytes::Bytes,
    gingerpier_base::order,
    gingerpier_serving::{
        bringing::Terms,
        dialect::{Dialect, Manifest, Named},
        pace::Pace,
        report::Version,
    },
    gingerpier_settings::gateway::ZoneRegion,
    gingerpier_weights::{Relays, plan::Replica},
    holding::{Holding, Holdings},
    std::{
        cell::{Cell, RefCell},
        net::SocketAddr,
        rc::Rc,
    },
    tokio::sync::{Notify, Semaphore},
};

/// Answers to other processes that are written at once over a narrow link.
const UPLOAD_TURNS: usize = 3;

/// The same over a wide link: readers are slow there, not the link.
const WIDE_UPLOAD_TURNS: usize = 64;

/// What a process holds of weights, and how it gives and takes them.
pub struct Carrier {
    /// Words of the platform.
    pub dialect: &'static dyn Dialect,
    /// Chunks held.
    pub holdings: RefCell<Holdings>,
    /// Message that tells loaders of services and engines, where this is a gateway that knows them.
    pub figures: RefCell<Option<Bytes>>,
    /// Engine of this machine, where there is one.
    pub engine: Option<SocketAddr>,
    /// What that engine serves.
    pub served: RefCell<Option<Named>>,
    /// Versions that this process fetches or wants to.
    pub wanted: RefCell<Vec<Named>>,
    /// What others asked for that is not here.
    pub asked: RefCell<Option<Named>>,
    /// Link's share for chunks, where the link is narrow.
    pub pace: Option<RefCell<Pace>>,
    /// Tells those who wait that a chunk or a manifest has come.
    pub arrived: Notify,
    /// Turns of answers to others.
    pub upload_turns: Semaphore,
    /// Questions at once that this machine's link took last.
    pub width: Cell<Option<usize>>,
}

impl Carrier {
    /// Carrier beside an engine, behind a link of so many bits a second.
    pub fn beside(
        dialect: &'static dyn Dialect,
        engine: SocketAddr,
        link_bits_per_second: u64,
    ) -> Self {
        let pace = Pace::new(link_bits_per_second);
        Self {
            engine: Some(engine),
            pace: Some(RefCell::new(pace)),
            upload_turns: Semaphore::new(UPLOAD_TURNS),
            ..Self::new(dialect)
        }
    }

    /// Carrier behind a wide link.
    pub fn new(dialect: &'static dyn Dialect) -> Self {
        Self {
            dialect,
            holdings: RefCell::default(),
            figures: RefCell::default(),
            engine: None,
            served: RefCell::default(),
            wanted: RefCell::default(),
            asked: RefCell::default(),
            pace: None,
            arrived: Notify::new(),
            upload_turns: Semaphore::new(WIDE_UPLOAD_TURNS),
            width: Cell::new(None),
        }
    }

    /// Manifest of a version that is held.
    pub fn manifest(&self, named: &Named) -> Option<Rc<Manifest>> {
        let holdings = self.holdings.borrow();
        let holding = holdings.get(&named.model, named.version)?;
        Some(holding.manifest.clone())
    }

    /// Chunks of a version that are held.
    pub fn held_count(&self, named: &Named) -> usize {
        let holdings = self.holdings.borrow();
        let holding = holdings.get(&named.model, named.version);
        holding.map_or(0, Holding::held_count)
    }

    /// Share of the chunks of a version that are held, from 0 to 1.
    pub fn held_share(&self, named: &Named) -> f64 {
        let holdings = self.holdings.borrow();
        let holding = holdings.get(&named.model, named.version);
        holding.map_or(0.0, Holding::held_share)
    }

    /// Gives up `task`, which brings a version here, for a newer one.
    pub fn give_up<T>(&self, named: &Named, task: &JoinHandle<T>) {
        tracing::info!(version = named.version.0, "weights given up for newer ones");
        task.abort();
        let mut wanted = self.wanted.borrow_mut();
        wanted.retain(|other| other != named);
    }

    /// True where every chunk of a version is held.
    pub fn is_complete(&self, named: &Named) -> bool {
        let holdings = self.holdings.borrow();
        let holding = holdings.get(&named.model, named.version);
        holding.is_some_and(Holding::is_complete)
    }

    /// What is here or on its way of a model's weights.
    pub fn carried(&self, model: &str) -> Carried {
        let holdings = self.holdings.borrow();
        let of_model = holdings.of_model(model);
        let is_wanted =
            |wanted: &Named| wanted.model == model && wanted.version > Version::default();
        Carried {
            is_known: self.wanted.borrow().iter().any(is_wanted),
            chunks: of_model.map(Holding::held_count).sum(),
        }
    }

    /// Takes a chunk whose digest was found right, and wakes those who wait for it.
    pub fn put(&self, named: &Named, chunk: u32, bytes: Bytes) {
        let mut holdings = self.holdings.borrow_mut();
        if let Some(holding) = holdings.get_mut(&named.model, named.version) {
            holding.put(chunk, bytes);
            self.arrived.notify_waiters();
        }
    }

    /// True where the engine of this machine serves exactly `named`.
    pub fn serves(&self, named: &Named) -> bool {
        self.served.borrow().as_ref() == Some(named)
    }
}

/// What is here or on its way of a model's weights.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Carried {
    /// True where some version is on its way here.
    pub is_known: bool,
    /// Chunks of all versions that are here.
    pub chunks: usize,
}

/// Milliseconds kept free before the operators' bound.
const MARGIN_MILLIS: u64 = 1_400;

/// Times of a change of weights that has to be over `within_millis` after its naming.
pub const fn terms(within_millis: u64) -> Terms {
    Terms {
        within_millis,
        margin_millis: MARGIN_MILLIS,
    }
}

/// A gateway and its zone.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub struct GatewayPlace {
    /// Address for peers.
    pub address: SocketAddr,
    /// Zone.
    pub zone: String,
}

/// Gateways that carry a version.
pub struct Carriers {
    /// Their addresses; their places are the keys in `relays`.
    pub addresses: Vec<SocketAddr>,
    /// Who of them takes which chunk in.
    pub relays: Relays,
}

/// How `gateways` carry `version`: all of them do, as loaders of a zone take in more than few links
/// carry. Whoever knows the same gateways gets the same answer.
pub fn carriers(
    gateways: impl Iterator<Item = GatewayPlace>,
    regions: &[ZoneRegion],
    version: Version,
) -> Carriers {
    let mut gateways: Vec<GatewayPlace> = gateways.collect();
    gateways.sort_unstable();
    let replica = |place: &GatewayPlace| Replica {
        identity: order::hash(&place.address),
        region: region(regions, &place.zone),
        zone: zone_number(&place.zone),
    };
    let replicas = gateways.iter().map(replica).collect();
    Carriers {
        addresses: gateways.iter().map(|place| place.address).collect(),
        relays: Relays::new(order::mix(version.0), replicas),
    }
}

/// Stable number of a zone.
pub fn zone_number(zone: &str) -> u64 {
    order::hash(zone)
}

/// Stable number of the region of `zone`.
pub fn region(regions: &[ZoneRegion], zone: &str) -> u64 {
    let region = regions.iter().find(|one| one.zone == zone);
    order::hash(region.map_or(zone, |one| one.region.as_str()))
}
