//! From whom one process takes each chunk of a version.

use {
    crate::{
        plan::{Plan, ReplicaKey, Source},
        relay::Relays,
    },
    gingerpier_base::order,
};

/// Holders that are asked for one chunk before the origin: one may have ended. Other counts were not
/// played.
const HOLDERS_ASKED: u64 = 2;

/// Processes of those that would be asked behind the origin which are asked before it, too, where holders are. The
/// first of them are those that took chunks in while this process was not there. Other counts were not played.
const DEPUTIES_ASKED: usize = 3;

/// Processes that may hold chunks already, and are asked for them before the origin is. What left the origin once
/// then stays to be had while it is down, and its link is left to what nobody holds.
#[derive(Debug, Clone, Default)]
pub struct Holders(pub Vec<ReplicaKey>);

impl Holders {
    /// Puts those to ask for `chunk` before the origin among `sources`.
    fn insert(&self, chunk: u32, sources: &mut Vec<Source>) {
        let Some(origin) = sources.iter().position(|source| *source == Source::Origin) else {
            return;
        };
        let count = self.0.len() as u64;
        if count == 0 {
            return;
        }
        let first = order::mix(u64::from(chunk));
        let asked = (0..HOLDERS_ASKED.min(count)).map(|step| {
            let place = first.wrapping_add(step) % count;
            Source::Holder(self.0[place as usize])
        });
        let behind = sources.split_off(origin + 1);
        sources.truncate(origin);
        let (deputies, others) = behind.split_at(behind.len().min(DEPUTIES_ASKED));
        sources.extend_from_slice(deputies);
        sources.extend(asked);
        sources.push(Source::Origin);
        sources.extend_from_slice(others);
    }
}

/// From whom chunks are taken.
#[derive(Debug, Clone)]
pub enum Route {
    /// As a replica of a plan's trees.
    Tree {
        /// Trees.
        plan: Plan,
        /// This process.
        own: ReplicaKey,
        /// Who may hold chunks already.
        holders: Holders,
    },
    /// As a relay for others.
    Relay {
        /// Relays.
        relays: Relays,
        /// This process.
        own: ReplicaKey,
        /// Who may hold chunks already.
        holders: Holders,
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
            Self::Tree { plan, own, holders } => {
                plan.sources(*own, chunk, sources);
                holders.insert(chunk, sources);
            }
            Self::Relay {
                relays,
                own,
                holders,
            } => {
                relays.sources_of_relay(*own, chunk, sources);
                holders.insert(chunk, sources);
            }
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
            Self::Relay { relays, own, .. } => relays.are_few() || relays.may_be_first(*own),
            Self::Leaf { .. } => false,
        }
    }

    /// Chunks of the first `count` that this process is the first to take.
    pub fn entries(&self, count: u32) -> Vec<u32> {
        let mut sources = Vec::new();
        let mut enters = |chunk: &u32| {
            self.sources(*chunk, &mut sources);
            let mut waits = sources.iter();
            waits.find(|source| !matches!(source, Source::Holder(_))) == Some(&Source::Origin)
        };
        (0..count).filter(|chunk| enters(chunk)).collect()
    }
}
