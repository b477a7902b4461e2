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
//! are few where there are many relays; only they take chunks from other zones and the origin. Each of
//! the others takes a chunk from one that ranks above it and is no head, another one for each chunk,
//! and the first of them from a head: heads give each chunk once to their zone and once to the next.

use {
    crate::plan::{Replica, ReplicaKey, Source},
    gingerpier_base::order,
    std::cmp::Reverse,
};

/// Level of a relay; the highest of a zone are its heads.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Level {
    /// Three in four: in zones of two or three mostly all, and all rank alike.
    Usual,
    /// One in eight, for zones that have none of the next level.
    Raised,
    /// One in eight: two to four of 15 to 30, of which five zones together stay below the connections
    /// of a small origin (48).
    Highest,
}

/// Least relays of a zone that are no heads, for heads to be left out by those that are no relays.
const LEAST_OTHERS: usize = 3;

/// Relays of one version.
#[derive(Debug, Clone, Default)]
pub struct Relays {
    subject: u64,
    relays: Vec<Replica>,
}

/// Rank of a zone for a chunk; the highest comes first.
type ZoneRank = (u64, u64, u64, u64);

impl Relays {
    /// Relays of the version with `subject` as its hash; their keys are their places in `relays`.
    pub const fn new(subject: u64, relays: Vec<Replica>) -> Self {
        Self { subject, relays }
    }

    /// Writes the sources of `chunk` for the relay `own` into `sources`, best first.
    pub fn sources_of_relay(&self, own: ReplicaKey, chunk: u32, sources: &mut Vec<Source>) {
        sources.clear();
        let place = self.relays[own.0 as usize];
        let members = self.members(place.zone, chunk);
        let rank = members.iter().position(|member| *member == own);
        let (above, below) = members.split_at(rank.unwrap_or_default());
        let head_count = self.head_count(&members).min(above.len());
        let (heads, others) = above.split_at(head_count);
        let mut others = others.to_vec();
        let subject = self.subject ^ order::mix(place.identity ^ u64::from(chunk));
        order::sort_by_score(subject, &mut others, |key| {
            self.relays[key.0 as usize].identity
        });
        sources.extend(others.iter().chain(heads).copied().map(Source::Replica));
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
        let head_count = self.head_count(&members);
        if members.len() - head_count >= LEAST_OTHERS {
            members.rotate_left(head_count);
        } else {
            members.sort_by_key(|key| Reverse(self.score_of(*key, chunk)));
        }
        sources.extend(members.into_iter().map(Source::Replica));
        let firsts = self.firsts(chunk).into_iter();
        let others = firsts.filter(|first| self.relays[first.0 as usize].zone != zone);
        sources.extend(others.map(Source::Replica));
    }

    /// True where `own` may be the first of its zone to take a chunk.
    pub fn may_be_first(&self, own: ReplicaKey) -> bool {
        let members = self.members(self.relays[own.0 as usize].zone, 0);
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
    fn level(&self, key: ReplicaKey) -> Level {
        let identity = self.relays[key.0 as usize].identity;
        match order::score(order::mix(self.subject), identity) % 8 {
            0 => Level::Highest,
            1 => Level::Raised,
            _ => Level::Usual,
        }
    }

    /// Relays of `zone`, by level, and the first for `chunk` first.
    fn members(&self, zone: u64, chunk: u32) -> Vec<ReplicaKey> {
        let all = self.relays.iter().enumerate();
        let own = all.filter(|(_, relay)| relay.zone == zone);
        let mut members: Vec<ReplicaKey> = own.map(|(key, _)| ReplicaKey(key as u32)).collect();
        members.sort_by_key(|key| Reverse((self.level(*key), self.score_of(*key, chunk))));
        members
    }

    fn score_of(&self, key: ReplicaKey, chunk: u32) -> u64 {
        self.score(chunk, self.relays[key.0 as usize].identity)
    }

    /// First relay of each zone, in the order in which the zones pass `chunk` on.
    fn firsts(&self, chunk: u32) -> Vec<ReplicaKey> {
        let mut zones: Vec<(ZoneRank, u64)> = self
            .relays
            .iter()
            .map(|relay| (self.zone_rank(relay, chunk), relay.zone))
            .collect();
        zones.sort_unstable_by_key(|zone| Reverse(*zone));
        zones.dedup();
        let first = |(_, zone): (ZoneRank, u64)| self.members(zone, chunk).first().copied();
        zones.into_iter().filter_map(first).collect()
    }

    fn rank_of(&self, relay: ReplicaKey, chunk: u32) -> ZoneRank {
        self.zone_rank(&self.relays[relay.0 as usize], chunk)
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
