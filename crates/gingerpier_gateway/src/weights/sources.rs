//! From whom a version is taken, and how they are reached.

use {
    crate::clock,
    gingerpier_base::Instant,
    gingerpier_serving::{configuration::Origin, dialect::Named},
    gingerpier_weights::{Route, plan::Source},
    std::net::SocketAddr,
    tokio::sync::Semaphore,
};

/// Part of the time of a chunk on the origin's link after which the next one is asked for.
const ORIGIN_PACE: f64 = 0.94;

/// A version to fetch, and from whom.
#[derive(Debug, Clone)]
pub struct Task {
    /// Version; 0 for what the origin has.
    pub named: Named,
    /// From whom.
    pub route: Route,
    /// Addresses of the sources, by key.
    pub peers: Vec<SocketAddr>,
    /// Origin.
    pub origin: Option<Origin>,
    /// Chunks asked for at once. Each holds a connection, and a peer that is asked by many takes
    /// only so many new ones.
    pub window: usize,
    /// Milliseconds that one source may take for one chunk while it says that it waits itself.
    pub patience_millis: u64,
    /// Questions to the origin at once.
    pub origin_turns: usize,
    /// Chunks of other processes on their way at once.
    pub link_turns: usize,
    /// When the origin's link is free for the first chunk, where all begin together.
    pub begins: Option<Instant>,
}

/// Replicas and how they are reached.
#[derive(Debug)]
pub struct Sources {
    peers: Vec<SocketAddr>,
    origin: Option<Origin>,
    begins: Option<Instant>,
    /// Turns at the origin.
    pub origin_turns: Semaphore,
    /// Turns on this machine's link.
    pub link_turns: Semaphore,
}

impl Sources {
    /// Sources of a task.
    pub fn new(task: &Task) -> Self {
        Self {
            peers: task.peers.clone(),
            origin: task.origin,
            begins: task.begins,
            origin_turns: Semaphore::new(task.origin_turns),
            link_turns: Semaphore::new(task.link_turns),
        }
    }

    /// Address of a source.
    pub fn address(&self, source: Source) -> Option<SocketAddr> {
        match source {
            Source::Origin => self.origin.map(|origin| origin.address),
            Source::Replica(key) | Source::Holder(key) => self.peers.get(key.0 as usize).copied(),
        }
    }

    /// Milliseconds until `chunk` is to be asked for at the origin. Whoever is first to take a
    /// chunk asks at the time when the link is free for it, so that early chunks come soon and
    /// go round while later ones are still on their way in.
    pub fn wait_for(&self, chunk: u32, bytes: u64) -> Option<u64> {
        let (begins, origin) = self.begins.zip(self.origin)?;
        let each = (bytes * 8_000) as f64 / origin.link_bits_per_second.max(1) as f64;
        let at = begins.after_millis((f64::from(chunk) * each * ORIGIN_PACE) as u64);
        let wait = at.millis_since(clock::now());
        (origin.link_bits_per_second > 0 && wait > 0).then_some(wait)
    }
}
