//! In-memory cache of weights chunks, for the local engine and for other processes.

use {
    bytes::Bytes,
    gingerpier_serving::{platform_api::Manifest, report::Version},
    sha2::{Digest, Sha256},
    std::rc::Rc,
};

/// Versions cached at once.
const MAX_CACHED_VERSIONS: usize = 2;

/// Cached chunks of one version.
#[derive(Debug, Clone)]
pub struct ChunkSet {
    /// Manifest.
    pub manifest: Rc<Manifest>,
    /// Encoded manifest as received from the origin.
    pub manifest_bytes: Bytes,
    chunks: Vec<Option<Bytes>>,
}

/// True if `bytes` has the digest of `chunk` in the manifest.
pub fn matches_digest(manifest: &Manifest, chunk: u32, bytes: &[u8]) -> bool {
    let expected = manifest.digests.get(chunk as usize);
    expected.is_some_and(|expected| Sha256::digest(bytes)[..] == expected[..])
}

impl ChunkSet {
    /// Empty set for the chunks of `manifest`.
    pub fn new(manifest: Manifest, manifest_bytes: Bytes) -> Self {
        let count = manifest.digests.len();
        Self {
            manifest: Rc::new(manifest),
            manifest_bytes,
            chunks: vec![None; count],
        }
    }

    /// A chunk, if cached.
    pub fn chunk(&self, chunk: u32) -> Option<&Bytes> {
        self.chunks.get(chunk as usize)?.as_ref()
    }

    /// Adds a chunk with a verified digest.
    pub fn insert(&mut self, chunk: u32, bytes: Bytes) {
        if let Some(slot) = self.chunks.get_mut(chunk as usize) {
            *slot = Some(bytes);
        }
    }

    /// Number of cached chunks.
    pub fn cached_count(&self) -> usize {
        self.chunks.iter().flatten().count()
    }

    /// Fraction of the chunks that are cached, from 0 to 1.
    pub fn cached_fraction(&self) -> f64 {
        self.cached_count() as f64 / self.chunks.len().max(1) as f64
    }

    /// True if every chunk is cached.
    pub fn is_complete(&self) -> bool {
        self.cached_count() == self.chunks.len()
    }
}

/// Cached versions.
#[derive(Debug, Default)]
pub struct ChunkCache(Vec<ChunkSet>);

impl ChunkCache {
    /// Chunks of a version.
    pub fn get(&self, model: &str, version: Version) -> Option<&ChunkSet> {
        let matches = |chunk_set: &&ChunkSet| {
            chunk_set.manifest.model == model && chunk_set.manifest.version == version
        };
        self.0.iter().find(matches)
    }

    /// Chunk sets of all cached versions of a model.
    pub fn of_model(&self, model: &str) -> impl Iterator<Item = &ChunkSet> {
        let matches = move |chunk_set: &&ChunkSet| chunk_set.manifest.model == model;
        self.0.iter().filter(matches)
    }

    /// Chunks of a version, mutable.
    pub fn get_mut(&mut self, model: &str, version: Version) -> Option<&mut ChunkSet> {
        let matches = |chunk_set: &&mut ChunkSet| {
            chunk_set.manifest.model == model && chunk_set.manifest.version == version
        };
        self.0.iter_mut().find(matches)
    }

    /// Adds a version unless present, and evicts the oldest version above the limit.
    pub fn insert(&mut self, chunk_set: ChunkSet) {
        let ChunkSet { manifest, .. } = &chunk_set;
        if self.get(&manifest.model, manifest.version).is_some() {
            return;
        }
        self.0.push(chunk_set);
        if self.0.len() > MAX_CACHED_VERSIONS {
            self.0.sort_by_key(|chunk_set| chunk_set.manifest.version);
            self.0.remove(0);
        }
    }

    /// Copies chunks with equal digests from other versions into `version` and returns their
    /// number.
    pub fn copy_shared_chunks(&mut self, model: &str, version: Version) -> u32 {
        let Some(target) = self.get(model, version).cloned() else {
            return 0;
        };
        let mut shared = Vec::new();
        for (index, digest) in target.manifest.digests.iter().enumerate() {
            let find_shared = |chunk_set: &ChunkSet| {
                let digests = &chunk_set.manifest.digests;
                let position = digests.iter().position(|other| other == digest)?;
                chunk_set.chunk(position as u32).cloned()
            };
            if target.chunk(index as u32).is_none() {
                shared.extend(
                    self.0
                        .iter()
                        .find_map(find_shared)
                        .map(|bytes| (index as u32, bytes)),
                );
            }
        }
        let count = shared.len() as u32;
        if let Some(target) = self.get_mut(model, version) {
            for (chunk, bytes) in shared {
                target.insert(chunk, bytes);
            }
        }
        count
    }

    /// Removes a version.
    pub fn remove(&mut self, model: &str, version: Version) {
        self.0.retain(|chunk_set| {
            chunk_set.manifest.model != model || chunk_set.manifest.version != version
        });
    }
}
