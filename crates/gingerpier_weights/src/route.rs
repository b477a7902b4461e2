//! Order in which a process tries the sources of each chunk.

use {
    crate::{
        plan::{Plan, ReplicaKey, Source},
        relay::Relays,
    },
    gingerpier_base::order,
};

/// Holders tried for each chunk before the origin; more than one, as some may have ended.
const MAX_HOLDERS_BEFORE_ORIGIN: u64 = 2;

/// Maximum sources ranked after the origin that are tried before it if there are holders; these
/// deputies fetched the chunks while this process was not running.
const MAX_DEPUTIES_BEFORE_ORIGIN: usize = 3;

/// Processes that may already hold chunks. They are tried before the origin, which saves its
/// bandwidth and works while it is down.
#[derive(Debug, Clone, Default)]
pub struct Holders(pub Vec<ReplicaKey>);

impl Holders {
    /// Inserts the holders to try for `chunk` before the origin in `sources`.
    fn insert(&self, chunk: u32, sources: &mut Vec<Source>) {
        let Some(origin_index) = sources.iter().position(|source| *source == Source::Origin) else {
            return;
        };
        let count = self.0.len() as u64;
        if count == 0 {
            return;
        }
        let start = order::mix(u64::from(chunk));
        let holders = (0..MAX_HOLDERS_BEFORE_ORIGIN.min(count)).map(|step| {
            let index = start.wrapping_add(step) % count;
            Source::Holder(self.0[index as usize])
        });
        let after_origin = sources.split_off(origin_index + 1);
        sources.truncate(origin_index);
        let (deputies, others) =
            after_origin.split_at(after_origin.len().min(MAX_DEPUTIES_BEFORE_ORIGIN));
        sources.extend_from_slice(deputies);
        sources.extend(holders);
        sources.push(Source::Origin);
        sources.extend_from_slice(others);
    }
}

/// Position of a process in the distribution of a version.
#[derive(Debug, Clone)]
pub enum Route {
    /// Replica in the trees of a plan.
    Tree {
        /// Trees of all chunks.
        plan: Plan,
        /// Key of this process.
        own: ReplicaKey,
        /// Processes that may already hold chunks.
        holders: Holders,
    },
    /// Relay, which fetches chunks for other processes.
    Relay {
        /// Relays of the version.
        relays: Relays,
        /// Key of this process.
        own: ReplicaKey,
        /// Processes that may already hold chunks.
        holders: Holders,
    },
    /// Process that fetches from relays first.
    Leaf {
        /// Relays of the version.
        relays: Relays,
        /// Stable hash of this process's zone.
        zone: u64,
        /// Sources to try after the relays, best first.
        fallbacks: Vec<Source>,
    },
}

impl Route {
    /// Replaces `sources` by the sources of `chunk`, best first.
    pub fn sources(&self, chunk: u32, sources: &mut Vec<Source>) {
        match self {
            Self::Tree { plan, own, holders } => {
                plan.sources(*own, chunk, sources);
                holders.insert(chunk, sources);
            }
            Self::Relay {
                relays,
                own,
                holders,
            } => {
                relays.relay_sources(*own, chunk, sources);
                holders.insert(chunk, sources);
            }
            Self::Leaf {
                relays,
                zone,
                fallbacks,
            } => {
                relays.leaf_sources(*zone, chunk, sources);
                sources.extend_from_slice(fallbacks);
            }
        }
    }

    /// True if this process may request the manifest from the origin without trying others first.
    pub fn may_request_manifest_from_origin(&self) -> bool {
        match self {
            Self::Tree { .. } => true,
            Self::Relay { relays, own, .. } => {
                relays.may_all_request_manifest() || relays.is_head(*own)
            }
            Self::Leaf { .. } => false,
        }
    }

    /// Chunks below `count` that this process fetches from the origin without waiting for another
    /// process.
    pub fn origin_chunks(&self, count: u32) -> Vec<u32> {
        let mut sources = Vec::new();
        let mut is_entry = |chunk: &u32| {
            self.sources(*chunk, &mut sources);
            let mut sources_that_wait = sources.iter();
            sources_that_wait.find(|source| !matches!(source, Source::Holder(_)))
                == Some(&Source::Origin)
        };
        (0..count).filter(|chunk| is_entry(chunk)).collect()
    }
}
