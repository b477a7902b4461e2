//! Weights distribution: the chunk cache of a process and its transfers to and from other
//! processes.
//!
//! Backend servers have narrow links that also carry engine responses, and gateways have wide
//! links. Gateways of each availability zone therefore fetch released versions: each chunk enters
//! the zone at one gateway, spreads to the other gateways, and is served to the loaders of the
//! zone. Without a gateway, loaders spread chunks among themselves.

pub mod cache;
pub mod fetch;
pub mod manifest;
pub mod manifest_keeper;
pub mod origin_poll;
pub mod peers;
pub mod relay;
pub mod request;
pub mod sources;

use {
    actix_rt::task::JoinHandle,
    bytes::Bytes,
    cache::{ChunkCache, ChunkSet},
    gingerpier_base::order,
    gingerpier_serving::{
        pacing::Pacer,
        platform_api::{Manifest, ModelVersion, PlatformApi},
        report::Version,
        update_schedule::Bound,
    },
    gingerpier_settings::gateway::ZoneRegion,
    gingerpier_weights::{Relays, plan::Replica},
    manifest_keeper::KeptManifests,
    std::{
        cell::{Cell, RefCell},
        net::SocketAddr,
        rc::Rc,
    },
    tokio::sync::{Notify, Semaphore},
};

/// Concurrent uploads over a narrow link.
const MAX_UPLOADS_NARROW: usize = 3;

/// Concurrent uploads over a wide link, where readers are the bottleneck.
const MAX_UPLOADS_WIDE: usize = 64;

/// Chunk cache of a process and the state of its weights transfers.
pub struct Distributor {
    /// Adapter to the deployment platform.
    pub platform_api: &'static dyn PlatformApi,
    /// Chunks in memory.
    pub chunk_cache: RefCell<ChunkCache>,
    /// Manifests from the store; empty on loaders.
    pub kept_manifests: KeptManifests,
    /// Encoded engine and service configuration for loaders; set on gateways once known.
    pub configuration: RefCell<Option<Bytes>>,
    /// Engine on this machine; none on gateways.
    pub engine: Option<SocketAddr>,
    /// Version that the local engine serves.
    pub served_version: RefCell<Option<ModelVersion>>,
    /// Versions that this process fetches or is about to fetch.
    pub fetching: RefCell<Vec<ModelVersion>>,
    /// Version that a peer last requested and that isn't cached here.
    pub requested_version: RefCell<Option<ModelVersion>>,
    /// Send rate limit for chunks; set where the link is narrow.
    pub pacer: Option<RefCell<Pacer>>,
    /// Notified when a chunk or a manifest is cached.
    pub arrived: Notify,
    /// Limits concurrent uploads.
    pub upload_permits: Semaphore,
    /// Concurrent peer requests that the link sustained in the last fetch.
    pub sustained_peer_requests: Cell<Option<usize>>,
}

impl Distributor {
    /// Distribution state of a loader next to `engine`, behind a narrow link.
    pub fn for_engine(
        platform_api: &'static dyn PlatformApi,
        engine: SocketAddr,
        link_bits_per_second: u64,
    ) -> Self {
        let pacer = Pacer::new(link_bits_per_second);
        Self {
            engine: Some(engine),
            pacer: Some(RefCell::new(pacer)),
            upload_permits: Semaphore::new(MAX_UPLOADS_NARROW),
            ..Self::new(platform_api)
        }
    }

    /// Distribution state of a process behind a wide link.
    pub fn new(platform_api: &'static dyn PlatformApi) -> Self {
        Self {
            platform_api,
            chunk_cache: RefCell::default(),
            kept_manifests: KeptManifests::default(),
            configuration: RefCell::default(),
            engine: None,
            served_version: RefCell::default(),
            fetching: RefCell::default(),
            requested_version: RefCell::default(),
            pacer: None,
            arrived: Notify::new(),
            upload_permits: Semaphore::new(MAX_UPLOADS_WIDE),
            sustained_peer_requests: Cell::new(None),
        }
    }

    /// Manifest of a cached version.
    pub fn manifest(&self, model_version: &ModelVersion) -> Option<Rc<Manifest>> {
        let chunk_cache = self.chunk_cache.borrow();
        let chunk_set = chunk_cache.get(&model_version.model, model_version.version)?;
        Some(chunk_set.manifest.clone())
    }

    /// Encoded manifest of a cached version.
    pub fn manifest_bytes(&self, model_version: &ModelVersion) -> Option<Bytes> {
        let chunk_cache = self.chunk_cache.borrow();
        let chunk_set = chunk_cache.get(&model_version.model, model_version.version)?;
        Some(chunk_set.manifest_bytes.clone())
    }

    /// Number of cached chunks of a version.
    pub fn cached_count(&self, model_version: &ModelVersion) -> usize {
        let chunk_cache = self.chunk_cache.borrow();
        let chunk_set = chunk_cache.get(&model_version.model, model_version.version);
        chunk_set.map_or(0, ChunkSet::cached_count)
    }

    /// Fraction of the chunks of a version that are cached, from 0 to 1.
    pub fn cached_fraction(&self, model_version: &ModelVersion) -> f64 {
        let chunk_cache = self.chunk_cache.borrow();
        let chunk_set = chunk_cache.get(&model_version.model, model_version.version);
        chunk_set.map_or(0.0, ChunkSet::cached_fraction)
    }

    /// Cancels the fetch `task` of a version that a newer one supersedes.
    pub fn cancel_fetch<T>(&self, model_version: &ModelVersion, task: &JoinHandle<T>) {
        tracing::info!(
            version = model_version.version.0,
            "weights fetch canceled; a newer version supersedes it"
        );
        task.abort();
        let mut fetching = self.fetching.borrow_mut();
        fetching.retain(|other| other != model_version);
    }

    /// True if every chunk of a version is cached.
    pub fn is_complete(&self, model_version: &ModelVersion) -> bool {
        let chunk_cache = self.chunk_cache.borrow();
        let chunk_set = chunk_cache.get(&model_version.model, model_version.version);
        chunk_set.is_some_and(ChunkSet::is_complete)
    }

    /// What is cached or being fetched of a model.
    pub fn fetch_status(&self, model: &str) -> FetchStatus {
        let chunk_cache = self.chunk_cache.borrow();
        let of_model = chunk_cache.of_model(model);
        let is_of_model =
            |other: &ModelVersion| other.model == model && other.version > Version::default();
        FetchStatus {
            is_fetching: self.fetching.borrow().iter().any(is_of_model),
            chunk_count: of_model.map(ChunkSet::cached_count).sum(),
        }
    }

    /// Caches a chunk with a verified digest and wakes waiting requests.
    pub fn insert_chunk(&self, model_version: &ModelVersion, chunk: u32, bytes: Bytes) {
        let mut chunk_cache = self.chunk_cache.borrow_mut();
        if let Some(chunk_set) = chunk_cache.get_mut(&model_version.model, model_version.version) {
            chunk_set.insert(chunk, bytes);
            self.arrived.notify_waiters();
        }
    }

    /// True if the local engine serves exactly `model_version`.
    pub fn serves(&self, model_version: &ModelVersion) -> bool {
        self.served_version.borrow().as_ref() == Some(model_version)
    }
}

/// What is cached or being fetched of a model.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct FetchStatus {
    /// True if some version is being fetched.
    pub is_fetching: bool,
    /// Number of cached chunks over all versions.
    pub chunk_count: usize,
}

/// Time reserved before the deadline of a weight update.
const UPDATE_MARGIN_MILLIS: u64 = 1_400;

/// Time bound of a weight update that has to end `within_millis` after the release.
pub const fn update_bound(within_millis: u64) -> Bound {
    Bound {
        within_millis,
        margin_millis: UPDATE_MARGIN_MILLIS,
    }
}

/// A gateway and its availability zone.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub struct GatewayLocation {
    /// Address for peers.
    pub address: SocketAddr,
    /// Availability zone.
    pub zone: String,
}

/// Gateways that relay a version.
pub struct RelaySet {
    /// Addresses; their indices are the replica keys in `relays`.
    pub addresses: Vec<SocketAddr>,
    /// Assignment of chunks to the gateways that fetch them first.
    pub relays: Relays,
}

/// Relays of `version`: all `gateways`, because the loaders of a zone exceed the bandwidth of a few
/// links. Depends only on the set of gateways, so that all processes agree.
pub fn relay_set(
    gateways: impl Iterator<Item = GatewayLocation>,
    regions: &[ZoneRegion],
    version: Version,
) -> RelaySet {
    let mut gateways: Vec<GatewayLocation> = gateways.collect();
    gateways.sort_unstable();
    let replica = |gateway: &GatewayLocation| Replica {
        identity: order::hash(&gateway.address),
        region: region_hash(regions, &gateway.zone),
        zone: zone_hash(&gateway.zone),
    };
    let replicas = gateways.iter().map(replica).collect();
    RelaySet {
        addresses: gateways.iter().map(|gateway| gateway.address).collect(),
        relays: Relays::new(order::mix(version.0), replicas),
    }
}

/// Stable hash of a zone name.
pub fn zone_hash(zone: &str) -> u64 {
    order::hash(zone)
}

/// Stable hash of the region of `zone`.
pub fn region_hash(regions: &[ZoneRegion], zone: &str) -> u64 {
    let region = regions.iter().find(|entry| entry.zone == zone);
    order::hash(region.map_or(zone, |entry| entry.region.as_str()))
}
