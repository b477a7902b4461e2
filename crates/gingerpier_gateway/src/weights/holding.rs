//! Chunks that a loader holds in memory, for its engine and for other loaders.

use {
    bytes::Bytes,
    gingerpier_serving::{dialect::Manifest, report::Version},
    sha2::{Digest, Sha256},
    std::rc::Rc,
};

/// Versions held at once.
const MAX_HELD: usize = 2;

/// Chunks of one version.
#[derive(Debug, Clone)]
pub struct Holding {
    /// Manifest.
    pub manifest: Rc<Manifest>,
    /// Manifest as the origin gave it.
    pub manifest_bytes: Bytes,
    chunks: Vec<Option<Bytes>>,
}

/// True where `bytes` have the digest that the manifest tells for `chunk`.
pub fn is_right(manifest: &Manifest, chunk: u32, bytes: &[u8]) -> bool {
    let wanted = manifest.digests.get(chunk as usize);
    wanted.is_some_and(|wanted| Sha256::digest(bytes)[..] == wanted[..])
}

impl Holding {
    /// Holding without chunks.
    pub fn new(manifest: Manifest, manifest_bytes: Bytes) -> Self {
        let count = manifest.digests.len();
        Self {
            manifest: Rc::new(manifest),
            manifest_bytes,
            chunks: vec![None; count],
        }
    }

    /// A chunk, where it is here.
    pub fn chunk(&self, chunk: u32) -> Option<&Bytes> {
        self.chunks.get(chunk as usize)?.as_ref()
    }

    /// Takes a chunk whose digest was found right.
    pub fn put(&mut self, chunk: u32, bytes: Bytes) {
        if let Some(place) = self.chunks.get_mut(chunk as usize) {
            *place = Some(bytes);
        }
    }

    /// Chunks that are here.
    pub fn held_count(&self) -> usize {
        self.chunks.iter().flatten().count()
    }

    /// Share of the chunks that are here, from 0 to 1.
    pub fn held_share(&self) -> f64 {
        self.held_count() as f64 / self.chunks.len().max(1) as f64
    }

    /// True once every chunk is here.
    pub fn is_complete(&self) -> bool {
        self.held_count() == self.chunks.len()
    }
}

/// Versions held.
#[derive(Debug, Default)]
pub struct Holdings(Vec<Holding>);

impl Holdings {
    /// Holding of a version.
    pub fn get(&self, model: &str, version: Version) -> Option<&Holding> {
        let is = |holding: &&Holding| {
            holding.manifest.model == model && holding.manifest.version == version
        };
        self.0.iter().find(is)
    }

    /// Holdings of a model.
    pub fn of_model(&self, model: &str) -> impl Iterator<Item = &Holding> {
        let is = move |holding: &&Holding| holding.manifest.model == model;
        self.0.iter().filter(is)
    }

    /// Holding of a version, to be changed.
    pub fn get_mut(&mut self, model: &str, version: Version) -> Option<&mut Holding> {
        let is = |holding: &&mut Holding| {
            holding.manifest.model == model && holding.manifest.version == version
        };
        self.0.iter_mut().find(is)
    }

    /// Starts to hold a version; the oldest one goes where there are too many.
    pub fn add(&mut self, holding: Holding) {
        let Holding { manifest, .. } = &holding;
        if self.get(&manifest.model, manifest.version).is_some() {
            return;
        }
        self.0.push(holding);
        if self.0.len() > MAX_HELD {
            self.0.sort_by_key(|holding| holding.manifest.version);
            self.0.remove(0);
        }
    }

    /// Gives a version the chunks that other versions here share with it, and counts them.
    pub fn share(&mut self, model: &str, version: Version) -> u32 {
        let Some(target) = self.get(model, version).cloned() else {
            return 0;
        };
        let mut shared = Vec::new();
        for (index, digest) in target.manifest.digests.iter().enumerate() {
            let same = |holding: &Holding| {
                let others = &holding.manifest.digests;
                let place = others.iter().position(|other| other == digest)?;
                holding.chunk(place as u32).cloned()
            };
            if target.chunk(index as u32).is_none() {
                shared.extend(
                    self.0
                        .iter()
                        .find_map(same)
                        .map(|bytes| (index as u32, bytes)),
                );
            }
        }
        let count = shared.len() as u32;
        if let Some(target) = self.get_mut(model, version) {
            for (chunk, bytes) in shared {
                target.put(chunk, bytes);
            }
        }
        count
    }

    /// Forgets a version.
    pub fn remove(&mut self, model: &str, version: Version) {
        self.0.retain(|holding| {
            holding.manifest.model != model || holding.manifest.version != version
        });
    }
}
