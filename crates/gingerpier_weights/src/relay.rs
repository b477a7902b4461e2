//! Processes that take a version in for others, and pass it on.
//!
//! Relays come and go while a version is on its way, and each process learns of it at another
//! time. So everything here is a rendezvous order: who ranks above whom for a chunk depends on
//! the two alone, never on who else is known. Processes with different views never wait for each
//! other in a circle, and a relay more or less moves only its own share of the chunks.
//!
//! Each chunk ranks the regions, the zones of a region and the relays of a zone. The first relay
//! of a zone takes the chunk from the first relay of the zone ranked above its own, so that each
//! chunk crosses each zone and region link once; the first of all takes it from the origin.
//!
//! The origin takes few connections, and zones may have many relays. So each relay has a level by its
//! own hash, and ranks above those of lower ones. The relays of the highest level of a zone, its heads,
//! are few however many relays there are; only they take chunks from other zones and the origin. Each
//! of the others takes a chunk from one of those that rank next above it, and the first of them from a
//! head: heads give each chunk once to their zone and once to the next, and the others about once.

use {
    crate::plan::{Replica, ReplicaKey, Source},
    gingerpier_base::order,
    std::cmp::Reverse,
};

/// Bits of a relay's hash for each level: one relay in four is of the first level or above, one in 16
/// of the second. So zones of two or three mostly have relays of one level, which all rank alike, and
/// larger ones have one to five heads.
const BITS_A_LEVEL: u32 = 2;

/// Relays next above one of which it takes a chunk from one: who ranks first gives each chunk about
/// twice, and a chunk passes every second relay.
const NEXT_ABOVE: usize = 3;

/// Least relays of the lowest level for those that are no relays to leave the others out.
const LEAST_LOWEST: usize = 3;

/// Relays that may all ask the origin for a manifest: a third of the connections of a small one.
const FEW: usize = 16;

/// Relays of one version.
#[derive(Debug, Clone, Default)]
pub struct Relays {
    subject: u64,
    relays: Vec<Relay>,
    zones: Vec<Zone>,
}

#[derive(Debug, Clone, Copy)]
struct Relay {
    place: Replica,
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
    /// Relays of the version with `subject` as its hash; their keys are their places in `relays`.
    pub fn new(subject: u64, relays: Vec<Replica>) -> Self {
        let mut zones: Vec<Zone> = Vec::new();
        for (index, relay) in relays.iter().enumerate() {
            let key = ReplicaKey(index as u32);
            match zones.iter_mut().find(|known| known.zone == relay.zone) {
                Some(known) => known.members.push(key),
                None => zones.push(Zone {
                    zone: relay.zone,
                    members: vec![key],
                }),
            }
        }
        let level = |place: &Replica| {
            let draw = order::score(order::mix(subject), place.identity);
            draw.trailing_zeros() / BITS_A_LEVEL
        };
        let relay = |place: Replica| Relay {
            level: level(&place),
            place,
        };
        Self {
            subject,
            relays: relays.into_iter().map(relay).collect(),
            zones,
        }
    }

    /// Writes the sources of `chunk` for the relay `own` into `sources`, best first.
    pub fn sources_of_relay(&self, own: ReplicaKey, chunk: u32, sources: &mut Vec<Source>) {
        sources.clear();
        let place = self.place(own);
        let members = self.members(place.zone, chunk);
        let rank = members.iter().position(|member| *member == own);
        let (above, below) = members.split_at(rank.unwrap_or_default());
        let head_count = self.head_count(&members).min(above.len());
        let (heads, others) = above.split_at(head_count);
        let (far, next) = others.split_at(others.len().saturating_sub(NEXT_ABOVE));
        let mut next = next.to_vec();
        let subject = self.subject ^ order::mix(place.identity ^ u64::from(chunk));
        order::sort_by_score(subject, &mut next, |key| self.identity(*key));
        // Where those fail, the nearest to the origin come next.
        let others = next.iter().chain(far);
        sources.extend(others.chain(heads).copied().map(Source::Replica));
        let own_rank = self.zone_rank(&place, chunk);
        let mut firsts = self.firsts(chunk);
        firsts.retain(|first| self.rank_of(*first, chunk) > own_rank);
        // The nearest zone above comes first.
        sources.extend(firsts.into_iter().rev().map(Source::Replica));
        sources.push(Source::Origin);
        let others = below.iter().filter(|member| **member != own);
        sources.extend(others.copied().map(Source::Holder));
    }

    /// Writes the sources of `chunk` for a process of `zone` that is no relay into `sources`: the
    /// relays of its zone, and then the first one of each other zone.
    pub fn sources_of_leaf(&self, zone: u64, chunk: u32, sources: &mut Vec<Source>) {
        sources.clear();
        let mut members = self.members(zone, chunk);
        let is_raised = |key: &ReplicaKey| self.level(*key) > 0;
        let raised = members.iter().take_while(|key| is_raised(key)).count();
        if members.len() - raised >= LEAST_LOWEST {
            members.rotate_left(raised);
        } else {
            members.sort_by_key(|key| Reverse(self.score_of(*key, chunk)));
        }
        sources.extend(members.into_iter().map(Source::Replica));
        let firsts = self.firsts(chunk).into_iter();
        let others = firsts.filter(|first| self.place(*first).zone != zone);
        sources.extend(others.map(Source::Replica));
    }

    /// True where there are few relays in all.
    pub const fn are_few(&self) -> bool {
        self.relays.len() <= FEW
    }

    /// True where `own` may be the first of its zone to take a chunk.
    pub fn may_be_first(&self, own: ReplicaKey) -> bool {
        let members = self.members(self.place(own).zone, 0);
        let heads = &members[..self.head_count(&members)];
        heads.contains(&own)
    }

    /// Heads among the `members` of a zone; they come first.
    fn head_count(&self, members: &[ReplicaKey]) -> usize {
        let highest = members.first().map(|first| self.level(*first));
        let heads = members
            .iter()
            .take_while(|key| Some(self.level(**key)) == highest);
        heads.count()
    }

    /// Level of a relay, whoever else there is.
    fn level(&self, key: ReplicaKey) -> u32 {
        self.relays[key.0 as usize].level
    }

    fn place(&self, key: ReplicaKey) -> Replica {
        self.relays[key.0 as usize].place
    }

    fn identity(&self, key: ReplicaKey) -> u64 {
        self.place(key).identity
    }

    /// Rank of a relay within its zone for a chunk; the highest comes first.
    fn rank(&self, key: ReplicaKey, chunk: u32) -> (u32, u64) {
        (self.level(key), self.score_of(key, chunk))
    }

    /// Relays of `zone`, by level, and the first for `chunk` first.
    fn members(&self, zone: u64, chunk: u32) -> Vec<ReplicaKey> {
        let known = self.zones.iter().find(|known| known.zone == zone);
        let mut members = known.map_or_else(Vec::new, |known| known.members.clone());
        members.sort_by_cached_key(|key| Reverse(self.rank(*key, chunk)));
        members
    }

    fn score_of(&self, key: ReplicaKey, chunk: u32) -> u64 {
        self.score(chunk, self.identity(key))
    }

    /// First relay of each zone, in the order in which the zones pass `chunk` on.
    fn firsts(&self, chunk: u32) -> Vec<ReplicaKey> {
        let first = |zone: &Zone| {
            let members = zone.members.iter().copied();
            members.max_by_key(|key| self.rank(*key, chunk))
        };
        let mut firsts: Vec<ReplicaKey> = self.zones.iter().filter_map(first).collect();
        firsts.sort_by_cached_key(|first| Reverse(self.rank_of(*first, chunk)));
        firsts
    }

    fn rank_of(&self, relay: ReplicaKey, chunk: u32) -> ZoneRank {
        self.zone_rank(&self.place(relay), chunk)
    }

    fn zone_rank(&self, relay: &Replica, chunk: u32) -> ZoneRank {
        let region = self.score(chunk, relay.region);
        let zone = self.score(chunk, relay.zone);
        (region, relay.region, zone, relay.zone)
    }

    fn score(&self, chunk: u32, member: u64) -> u64 {
        order::score(self.subject ^ order::mix(u64::from(chunk)), member)
    }
}
