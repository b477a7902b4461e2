//! Cache of chunks and manifests in memory, keyed by digest.
//!
//! Versions share equal chunks; chunks that no cached version references are dropped.

use {
    super::fetches::VersionFetch,
    bytes::Bytes,
    gingerpier_base::Digest,
    gingerpier_weights::{Manifest, memory::Reservations},
    std::{
        cell::{Cell, RefCell},
        collections::{BTreeMap, BTreeSet, HashMap},
        rc::Rc,
    },
    tokio::sync::watch,
};

/// Parsed manifest with its encoded bytes.
#[derive(Clone)]
pub struct CachedManifest {
    /// Parsed manifest.
    pub manifest: Rc<Manifest>,
    /// Encoded manifest, as sent to peers.
    pub bytes: Bytes,
}

/// Cached weights and the fetches that fill the cache.
pub struct WeightsCache {
    chunks: RefCell<HashMap<Digest, Bytes>>,
    bytes: Cell<u64>,
    manifests: RefCell<BTreeMap<Digest, CachedManifest>>,
    fetches: RefCell<BTreeMap<Digest, Rc<VersionFetch>>>,
    reservations: RefCell<Reservations>,
    arrivals: watch::Sender<u64>,
}

impl WeightsCache {
    /// Creates an empty cache that holds up to `capacity_bytes`.
    pub fn new(capacity_bytes: u64) -> Self {
        Self {
            chunks: RefCell::default(),
            bytes: Cell::new(0),
            manifests: RefCell::default(),
            fetches: RefCell::default(),
            reservations: RefCell::new(Reservations::new(capacity_bytes)),
            arrivals: watch::Sender::new(0),
        }
    }

    /// Returns the size of all cached chunks.
    pub fn cached_bytes(&self) -> u64 {
        self.bytes.get()
    }

    /// Returns the chunk with a digest.
    pub fn chunk(&self, digest: Digest) -> Option<Bytes> {
        self.chunks.borrow().get(&digest).cloned()
    }

    /// Returns the manifest of a version.
    pub fn manifest(&self, version: Digest) -> Option<CachedManifest> {
        self.manifests.borrow().get(&version).cloned()
    }

    /// Returns the running or complete fetch of a version.
    pub fn fetch(&self, version: Digest) -> Option<Rc<VersionFetch>> {
        self.fetches.borrow().get(&version).cloned()
    }

    /// Adds the fetch of a version.
    pub fn insert_fetch(&self, version: Digest, fetch: Rc<VersionFetch>) {
        self.fetches.borrow_mut().insert(version, fetch);
    }

    /// Adds a chunk whose digest was verified.
    pub fn insert_chunk(&self, digest: Digest, chunk: Bytes) {
        let length = chunk.len() as u64;
        if self.chunks.borrow_mut().insert(digest, chunk).is_none() {
            self.bytes.set(self.bytes.get() + length);
        }
        self.arrivals.send_modify(|arrivals| *arrivals += 1);
    }

    /// Adds a manifest whose digest was verified.
    pub fn insert_manifest(&self, version: Digest, cached: CachedManifest) {
        self.manifests.borrow_mut().insert(version, cached);
        self.arrivals.send_modify(|arrivals| *arrivals += 1);
    }

    /// Returns a receiver that is notified of each added chunk and manifest.
    pub fn arrivals(&self) -> watch::Receiver<u64> {
        self.arrivals.subscribe()
    }

    /// Reserves memory for an assigned version; drops unassigned versions if needed.
    ///
    /// # Errors
    ///
    /// Fails if the assigned versions leave too little memory.
    pub fn reserve(&self, version: Digest, bytes: u64) -> Result<(), String> {
        let reserved = self.reservations.borrow_mut().reserve(version, bytes);
        let dropped = reserved.map_err(|error| error.to_string())?;
        if !dropped.is_empty() {
            for version in &dropped {
                self.manifests.borrow_mut().remove(version);
                self.fetches.borrow_mut().remove(version);
                tracing::info!(event = "version_dropped", weights = %version);
            }
            self.remove_unreferenced_chunks();
        }
        Ok(())
    }

    /// Marks all versions except `assigned` as unassigned; they stay cached until memory is needed.
    pub fn unassign_all_but(&self, assigned: &[Digest]) {
        let fetches = self.fetches.borrow();
        for version in fetches.keys().filter(|version| !assigned.contains(version)) {
            self.reservations.borrow_mut().unassign(*version);
        }
    }

    /// Removes chunks that no cached manifest references.
    fn remove_unreferenced_chunks(&self) {
        let manifests = self.manifests.borrow();
        let referenced: BTreeSet<Digest> = manifests
            .values()
            .flat_map(|cached| cached.manifest.chunks.iter().copied())
            .collect();
        let mut chunks = self.chunks.borrow_mut();
        chunks.retain(|digest, _| referenced.contains(digest));
        self.bytes
            .set(chunks.values().map(|chunk| chunk.len() as u64).sum());
    }
}
