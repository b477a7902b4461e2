//! From whom a version is taken, and how they are reached.

use {
    crate::clock,
    gingerpier_base::Instant,
    gingerpier_serving::{configuration::Origin, dialect::Named},
    gingerpier_weights::plan::{Plan, ReplicaKey, Source},
    std::net::SocketAddr,
    tokio::sync::Semaphore,
};

/// Part of the time of a chunk on the origin's link after which the next one is asked for.
const ORIGIN_PACE: f64 = 0.94;

/// From whom chunks are taken.
#[derive(Debug, Clone)]
pub enum Route {
    /// As one of a plan's replicas.
    Inside(Plan, ReplicaKey),
    /// From a plan's replicas, as one of a zone, and then from others.
    Outside {
        /// Plan.
        plan: Plan,
        /// Stable number of the own zone.
        zone: u64,
        /// Others, best first.
        rest: Vec<Source>,
    },
}

impl Route {
    /// Sources of the manifest, best first.
    pub fn of_manifest(&self) -> Vec<Source> {
        let mut sources = Vec::new();
        match self {
            Self::Inside(plan, own) => plan.sources(*own, 0, &mut sources),
            Self::Outside { plan, zone, rest } => {
                plan.sources_outside(*zone, 0, &mut sources);
                sources.extend_from_slice(rest);
            }
        }
        sources
    }

    /// Chunks of the first `count` that this process is the first to take.
    pub fn entries(&self, count: u32) -> Vec<u32> {
        let Self::Inside(plan, own) = self else {
            return Vec::new();
        };
        let mut sources = Vec::new();
        let mut enters = |chunk: &u32| {
            plan.sources(*own, *chunk, &mut sources);
            sources.first() == Some(&Source::Origin)
        };
        (0..count).filter(|chunk| enters(chunk)).collect()
    }
}

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
