//! Chunks and manifests held in memory, by their digests.
//!
//! Versions that share chunks share them here; what no held version needs is dropped.

use {
    super::fetches::Fetching,
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

/// A manifest with its own bytes.
#[derive(Clone)]
pub struct HeldManifest {
    /// The manifest.
    pub manifest: Rc<Manifest>,
    /// Its bytes, as given to peers.
    pub bytes: Bytes,
}

/// Everything held of versions of weights.
pub struct Weights {
    chunks: RefCell<HashMap<Digest, Bytes>>,
    bytes: Cell<u64>,
    manifests: RefCell<BTreeMap<Digest, HeldManifest>>,
    fetches: RefCell<BTreeMap<Digest, Rc<Fetching>>>,
    reservations: RefCell<Reservations>,
    arrivals: watch::Sender<u64>,
}

impl Weights {
    /// Empty, with room for `budget` bytes.
    pub fn new(budget: u64) -> Self {
        Self {
            chunks: RefCell::default(),
            bytes: Cell::new(0),
            manifests: RefCell::default(),
            fetches: RefCell::default(),
            reservations: RefCell::new(Reservations::new(budget)),
            arrivals: watch::Sender::new(0),
        }
    }

    /// Bytes of chunks held.
    pub fn held_bytes(&self) -> u64 {
        self.bytes.get()
    }

    /// Chunk of `digest`.
    pub fn chunk(&self, digest: Digest) -> Option<Bytes> {
        self.chunks.borrow().get(&digest).cloned()
    }

    /// Manifest of a version.
    pub fn manifest(&self, version: Digest) -> Option<HeldManifest> {
        self.manifests.borrow().get(&version).cloned()
    }

    /// Fetch of a version, running or complete.
    pub fn fetching(&self, version: Digest) -> Option<Rc<Fetching>> {
        self.fetches.borrow().get(&version).cloned()
    }

    /// Notes a fetch.
    pub fn add_fetch(&self, version: Digest, fetching: Rc<Fetching>) {
        self.fetches.borrow_mut().insert(version, fetching);
    }

    /// Takes a chunk whose digest was checked.
    pub fn put_chunk(&self, digest: Digest, chunk: Bytes) {
        let length = chunk.len() as u64;
        if self.chunks.borrow_mut().insert(digest, chunk).is_none() {
            self.bytes.set(self.bytes.get() + length);
        }
        self.arrivals.send_modify(|arrivals| *arrivals += 1);
    }

    /// Takes a manifest whose digest was checked.
    pub fn put_manifest(&self, version: Digest, held: HeldManifest) {
        self.manifests.borrow_mut().insert(version, held);
        self.arrivals.send_modify(|arrivals| *arrivals += 1);
    }

    /// Waits on chunks and manifests that come.
    pub fn arrivals(&self) -> watch::Receiver<u64> {
        self.arrivals.subscribe()
    }

    /// Reserves room for an assigned version, dropping idle ones for it.
    ///
    /// # Errors
    ///
    /// Where what is assigned leaves too little room.
    pub fn reserve(&self, version: Digest, bytes: u64) -> Result<(), String> {
        let reserved = self.reservations.borrow_mut().reserve(version, bytes);
        let dropped = reserved.map_err(|full| full.to_string())?;
        if !dropped.is_empty() {
            for version in &dropped {
                self.manifests.borrow_mut().remove(version);
                self.fetches.borrow_mut().remove(version);
                tracing::info!(event = "version_dropped", weights = %version);
            }
            self.drop_unneeded();
        }
        Ok(())
    }

    /// Notes that only `needed` versions are assigned; others stay while there is room.
    pub fn release_all_but(&self, needed: &[Digest]) {
        let fetches = self.fetches.borrow();
        for version in fetches.keys().filter(|version| !needed.contains(version)) {
            self.reservations.borrow_mut().unassign(*version);
        }
    }

    /// Drops chunks that no held manifest names.
    fn drop_unneeded(&self) {
        let manifests = self.manifests.borrow();
        let needed: BTreeSet<Digest> = manifests
            .values()
            .flat_map(|held| held.manifest.chunks.iter().copied())
            .collect();
        let mut chunks = self.chunks.borrow_mut();
        chunks.retain(|digest, _| needed.contains(digest));
        self.bytes
            .set(chunks.values().map(|chunk| chunk.len() as u64).sum());
    }
}
