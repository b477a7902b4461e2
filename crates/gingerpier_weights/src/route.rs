//! From whom one process takes each chunk of a version.

use crate::{
    plan::{Plan, ReplicaKey, Source},
    relay::Relays,
};

/// From whom chunks are taken.
#[derive(Debug, Clone)]
pub enum Route {
    /// As a replica of a plan's trees.
    Tree {
        /// Trees.
        plan: Plan,
        /// This process.
        own: ReplicaKey,
    },
    /// As a relay for others.
    Relay {
        /// Relays.
        relays: Relays,
        /// This process.
        own: ReplicaKey,
    },
    /// From relays, and then from others.
    Leaf {
        /// Relays.
        relays: Relays,
        /// Stable number of the own zone.
        zone: u64,
        /// Others, best first.
        rest: Vec<Source>,
    },
}

impl Route {
    /// Writes the sources of `chunk` into `sources`, best first.
    pub fn sources(&self, chunk: u32, sources: &mut Vec<Source>) {
        match self {
            Self::Tree { plan, own } => plan.sources(*own, chunk, sources),
            Self::Relay { relays, own } => relays.sources_of_relay(*own, chunk, sources),
            Self::Leaf { relays, zone, rest } => {
                relays.sources_of_leaf(*zone, chunk, sources);
                sources.extend_from_slice(rest);
            }
        }
    }

    /// True where this process may ask the origin for a manifest at once: it is among the first to take
    /// chunks, or there are few relays.
    pub fn is_near_origin(&self) -> bool {
        match self {
            Self::Tree { .. } => true,
            Self::Relay { relays, own } => relays.are_few() || relays.may_be_first(*own),
            Self::Leaf { .. } => false,
        }
    }

    /// Chunks of the first `count` that this process is the first to take.
    pub fn entries(&self, count: u32) -> Vec<u32> {
        let mut sources = Vec::new();
        let mut enters = |chunk: &u32| {
            self.sources(*chunk, &mut sources);
            sources.first() == Some(&Source::Origin)
        };
        (0..count).filter(|chunk| enters(chunk)).collect()
    }
}
