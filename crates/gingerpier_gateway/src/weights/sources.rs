//! Sources of a fetch and their concurrency limits.

use {
    crate::clock,
    gingerpier_base::Instant,
    gingerpier_serving::{configuration::Origin, platform_api::ModelVersion},
    gingerpier_weights::{Route, plan::Source},
    std::net::SocketAddr,
    tokio::sync::Semaphore,
};

/// Interval between origin requests, as a fraction of the transfer time of a chunk.
const ORIGIN_SPACING: f64 = 0.94;

/// A version to fetch and its sources.
#[derive(Debug, Clone)]
pub struct FetchSpec {
    /// Version; 0 for the origin's newest.
    pub model_version: ModelVersion,
    /// Order of sources for each chunk.
    pub route: Route,
    /// Peer addresses, indexed by replica key.
    pub peers: Vec<SocketAddr>,
    /// Origin server.
    pub origin: Option<Origin>,
    /// Concurrent chunk requests. Each occupies a connection, and peers limit new connections.
    pub window: usize,
    /// Time limit for one chunk from a source that reports that it still waits itself.
    pub attempt_timeout_millis: u64,
    /// Concurrent requests to the origin.
    pub origin_concurrency: usize,
    /// Concurrent transfers from peers.
    pub link_concurrency: usize,
    /// Time of the first origin request in a coordinated start.
    pub origin_start: Option<Instant>,
}

/// Source addresses and concurrency limits of a fetch.
#[derive(Debug)]
pub struct Sources {
    peers: Vec<SocketAddr>,
    origin: Option<Origin>,
    origin_start: Option<Instant>,
    /// Limits concurrent requests to the origin.
    pub origin_permits: Semaphore,
    /// Limits concurrent transfers over this machine's link.
    pub link_permits: Semaphore,
}

impl Sources {
    /// Sources of `spec`.
    pub fn new(spec: &FetchSpec) -> Self {
        Self {
            peers: spec.peers.clone(),
            origin: spec.origin,
            origin_start: spec.origin_start,
            origin_permits: Semaphore::new(spec.origin_concurrency),
            link_permits: Semaphore::new(spec.link_concurrency),
        }
    }

    /// Address of a source.
    pub fn address(&self, source: Source) -> Option<SocketAddr> {
        match source {
            Source::Origin => self.origin.map(|origin| origin.address),
            Source::Replica(key) | Source::Holder(key) => self.peers.get(key.0 as usize).copied(),
        }
    }

    /// Milliseconds until `chunk` may be requested from the origin. Requests are spaced by the
    /// transfer time of a chunk, so that early chunks spread while later ones still enter.
    pub fn origin_delay_millis(&self, chunk: u32, bytes: u64) -> Option<u64> {
        let (origin_start, origin) = self.origin_start.zip(self.origin)?;
        let chunk_millis = (bytes * 8_000) as f64 / origin.link_bits_per_second.max(1) as f64;
        let send_at =
            origin_start.after_millis((f64::from(chunk) * chunk_millis * ORIGIN_SPACING) as u64);
        let delay = send_at.millis_since(clock::now());
        (origin.link_bits_per_second > 0 && delay > 0).then_some(delay)
    }
}
