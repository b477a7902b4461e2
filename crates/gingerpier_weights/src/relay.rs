//! Distribution of a version by relays, processes that fetch it for the others of their zone.
//!
//! Relays join and leave during a distribution, and processes learn of them at different times. All
//! orders are therefore rendezvous orders: whether one relay ranks above another for a chunk
//! depends on these two only. Processes with different views never wait for each other in a cycle,
//! and adding or removing a relay affects only its own share of the chunks.
//!
//! Regions, the zones of a region and the relays of a zone are ranked for each chunk. The first
//! relay of a zone fetches the chunk from the first relay of the zone that ranks next above its
//! own, so each chunk crosses each zone and region link once; the first relay of all fetches it
//! from the origin.
//!
//! A zone may have many more relays than the origin has connections, so each relay derives a level
//! from its hash and ranks above those of lower levels. Only the relays of a zone's highest level,
//! its heads, fetch chunks from other zones and the origin; there are few of them in a zone of any
//! size. Every other relay fetches a chunk from one of the relays that rank next above it.

use {
    crate::plan::{Replica, ReplicaKey, Source},
    gingerpier_base::order,
    std::cmp::Reverse,
};

/// Hash bits per level: with 2, a quarter of the relays are at level 1 or above, and a sixteenth at
/// level 2 or above.
const BITS_PER_LEVEL: u32 = 2;

/// Number of next higher relays from which a relay selects its parent for a chunk; bounds the
/// copies that one relay sends.
const PARENT_CANDIDATES: usize = 3;

/// Number of level-0 relays in a zone from which on other processes try them before those of higher
/// levels.
const MIN_LOWEST_LEVEL_RELAYS: usize = 3;

/// Maximum number of relays at which each may request the manifest from the origin.
const MAX_RELAYS_AT_ORIGIN: usize = 16;

/// Relays of one version.
#[derive(Debug, Clone, Default)]
pub struct Relays {
    version_hash: u64,
    relays: Vec<Relay>,
    zones: Vec<Zone>,
}

#[derive(Debug, Clone, Copy)]
struct Relay {
    replica: Replica,
    level: u32,
}

/// Relays of one zone.
#[derive(Debug, Clone)]
struct Zone {
    zone: u64,
    members: Vec<ReplicaKey>,
}

/// Rank of a zone for a chunk; the highest comes first.
type ZoneRank = (u64, u64, u64, u64);

impl Relays {
    /// Creates the relays of the version with hash `version_hash`; a relay's key is its index in
    /// `relays`.
    pub fn new(version_hash: u64, relays: Vec<Replica>) -> Self {
        let mut zones: Vec<Zone> = Vec::new();
        for (index, relay) in relays.iter().enumerate() {
            let key = ReplicaKey(index as u32);
            match zones.iter_mut().find(|group| group.zone == relay.zone) {
                Some(group) => group.members.push(key),
                None => zones.push(Zone {
                    zone: relay.zone,
                    members: vec![key],
                }),
            }
        }
        let level = |replica: &Replica| {
            let hash = order::score(order::mix(version_hash), replica.identity);
            hash.trailing_zeros() / BITS_PER_LEVEL
        };
        let relay = |replica: Replica| Relay {
            level: level(&replica),
            replica,
        };
        Self {
            version_hash,
            relays: relays.into_iter().map(relay).collect(),
            zones,
        }
    }

    /// Replaces `sources` by the sources of `chunk` for the relay `own_key`, best first.
    pub fn relay_sources(&self, own_key: ReplicaKey, chunk: u32, sources: &mut Vec<Source>) {
        sources.clear();
        let replica = self.replica(own_key);
        let members = self.members(replica.zone, chunk);
        let position = members.iter().position(|member| *member == own_key);
        let (higher, lower) = members.split_at(position.unwrap_or_default());
        let head_count = self.head_count(&members).min(higher.len());
        let (heads, others) = higher.split_at(head_count);
        let (distant, candidates) = others.split_at(others.len().saturating_sub(PARENT_CANDIDATES));
        let mut candidates = candidates.to_vec();
        let seed = self.version_hash ^ order::mix(replica.identity ^ u64::from(chunk));
        order::sort_by_score(seed, &mut candidates, |key| self.identity(*key));
        // If the candidates fail, the higher ranks follow, then the heads.
        let others = candidates.iter().chain(distant);
        sources.extend(others.chain(heads).copied().map(Source::Replica));
        let own_rank = self.zone_rank(&replica, chunk);
        let mut first_relays = self.first_relays(chunk);
        first_relays.retain(|first| self.zone_rank_of(*first, chunk) > own_rank);
        // The zone that ranks next above the own zone comes first.
        sources.extend(first_relays.into_iter().rev().map(Source::Replica));
        sources.push(Source::Origin);
        let others = lower.iter().filter(|member| **member != own_key);
        sources.extend(others.copied().map(Source::Holder));
    }

    /// Replaces `sources` by the sources of `chunk` for a process of `zone` that is not a relay:
    /// the relays of its zone, then the first relay of each other zone.
    pub fn leaf_sources(&self, zone: u64, chunk: u32, sources: &mut Vec<Source>) {
        sources.clear();
        let mut members = self.members(zone, chunk);
        let is_upper_level = |key: &ReplicaKey| self.level(*key) > 0;
        let upper_count = members.iter().take_while(|key| is_upper_level(key)).count();
        if members.len() - upper_count >= MIN_LOWEST_LEVEL_RELAYS {
            members.rotate_left(upper_count);
        } else {
            members.sort_by_key(|key| Reverse(self.score_of(*key, chunk)));
        }
        sources.extend(members.into_iter().map(Source::Replica));
        let first_relays = self.first_relays(chunk).into_iter();
        let others = first_relays.filter(|first| self.replica(*first).zone != zone);
        sources.extend(others.map(Source::Replica));
    }

    /// True if each relay may request the manifest from the origin.
    pub const fn may_all_request_manifest(&self) -> bool {
        self.relays.len() <= MAX_RELAYS_AT_ORIGIN
    }

    /// True if `own_key` is a head of its zone.
    pub fn is_head(&self, own_key: ReplicaKey) -> bool {
        let members = self.members(self.replica(own_key).zone, 0);
        let heads = &members[..self.head_count(&members)];
        heads.contains(&own_key)
    }

    /// Number of heads in `members`, which are in rank order.
    fn head_count(&self, members: &[ReplicaKey]) -> usize {
        let top_level = members.first().map(|first| self.level(*first));
        let heads = members
            .iter()
            .take_while(|key| Some(self.level(**key)) == top_level);
        heads.count()
    }

    /// Level of a relay; independent of the other relays.
    fn level(&self, key: ReplicaKey) -> u32 {
        self.relays[key.0 as usize].level
    }

    fn replica(&self, key: ReplicaKey) -> Replica {
        self.relays[key.0 as usize].replica
    }

    fn identity(&self, key: ReplicaKey) -> u64 {
        self.replica(key).identity
    }

    /// Rank of a relay within its zone for a chunk; the highest comes first.
    fn rank(&self, key: ReplicaKey, chunk: u32) -> (u32, u64) {
        (self.level(key), self.score_of(key, chunk))
    }

    /// Relays of `zone` in rank order for `chunk`.
    fn members(&self, zone: u64, chunk: u32) -> Vec<ReplicaKey> {
        let group = self.zones.iter().find(|group| group.zone == zone);
        let mut members = group.map_or_else(Vec::new, |group| group.members.clone());
        members.sort_by_cached_key(|key| Reverse(self.rank(*key, chunk)));
        members
    }

    fn score_of(&self, key: ReplicaKey, chunk: u32) -> u64 {
        self.score(chunk, self.identity(key))
    }

    /// First relay of each zone, in the zones' rank order for `chunk`.
    fn first_relays(&self, chunk: u32) -> Vec<ReplicaKey> {
        let first = |zone: &Zone| {
            let members = zone.members.iter().copied();
            members.max_by_key(|key| self.rank(*key, chunk))
        };
        let mut first_relays: Vec<ReplicaKey> = self.zones.iter().filter_map(first).collect();
        first_relays.sort_by_cached_key(|first| Reverse(self.zone_rank_of(*first, chunk)));
        first_relays
    }

    fn zone_rank_of(&self, relay: ReplicaKey, chunk: u32) -> ZoneRank {
        self.zone_rank(&self.replica(relay), chunk)
    }

    fn zone_rank(&self, relay: &Replica, chunk: u32) -> ZoneRank {
        let region = self.score(chunk, relay.region);
        let zone = self.score(chunk, relay.zone);
        (region, relay.region, zone, relay.zone)
    }

    fn score(&self, chunk: u32, member: u64) -> u64 {
        order::score(self.version_hash ^ order::mix(u64::from(chunk)), member)
    }
}
