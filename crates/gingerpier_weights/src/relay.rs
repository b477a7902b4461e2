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

use {
    crate::plan::{Replica, ReplicaKey, Source},
    gingerpier_base::order,
    std::cmp::Reverse,
};

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
        sources.extend(above.iter().copied().map(Source::Replica));
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
        sources.extend(self.members(zone, chunk).into_iter().map(Source::Replica));
        let firsts = self.firsts(chunk).into_iter();
        let others = firsts.filter(|first| self.relays[first.0 as usize].zone != zone);
        sources.extend(others.map(Source::Replica));
    }

    /// Relays of `zone`, the first for `chunk` first.
    fn members(&self, zone: u64, chunk: u32) -> Vec<ReplicaKey> {
        let all = self.relays.iter().enumerate();
        let own = all.filter(|(_, relay)| relay.zone == zone);
        let mut members: Vec<ReplicaKey> = own.map(|(key, _)| ReplicaKey(key as u32)).collect();
        members.sort_by_key(|key| Reverse(self.score(chunk, self.relays[key.0 as usize].identity)));
        members
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
