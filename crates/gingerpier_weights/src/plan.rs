//! From whom each replica takes each chunk.
//!
//! Every zone has a fixed order of its replicas, the same at every process. For each chunk the
//! order is rotated, and the rotated order is read as a heap: the first is the zone's root for
//! that chunk, and the replica at position `p` takes the chunk from the one at `(p - 1) / fan_out`.
//! The rotation advances by a stride near the golden section, so that chunks in flight together
//! have their inner nodes spread over the whole zone and every replica uploads about one copy.
//! Roots of the zones form a chain, region by region, so that each chunk crosses each zone and
//! region link once; the first root of the chain takes it from the origin.
//!
//! A fan-out of 0 is the other end of the trade: every replica takes every chunk from the origin.
//!
//! Where a source fails, the next above it stands in, up to the origin; last, other replicas of
//! the zone are asked for what they hold, which is how a zone that is cut off completes.

use gingerpier_base::order;

/// Children of one replica in one chunk's tree, where the settings give none.
pub const DEFAULT_FAN_OUT: u32 = 2;

/// Replicas that are asked for what they hold once everyone above has failed.
const LAST_RESORTS: usize = 4;

/// Key of a replica within a plan.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ReplicaKey(pub u32);

/// A backend server that is to hold the version.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Replica {
    /// Stable hash of the box's name.
    pub identity: u64,
    /// Stable hash of its region.
    pub region: u64,
    /// Stable hash of its zone.
    pub zone: u64,
}

/// Where a chunk can be had.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Source {
    /// A replica that has the chunk or will have it.
    Replica(ReplicaKey),
    /// A replica that is asked only for what it holds now.
    Holder(ReplicaKey),
    /// Origin of the weights.
    Origin,
}

impl Source {
    /// The replica that it is, if any.
    pub const fn replica(self) -> Option<ReplicaKey> {
        match self {
            Self::Replica(key) | Self::Holder(key) => Some(key),
            Self::Origin => None,
        }
    }
}

#[derive(Debug, Clone)]
struct ZoneGroup {
    region: u64,
    /// Members in the zone's order.
    members: Vec<ReplicaKey>,
    stride: usize,
    /// Zones of the plan.
    zone_count: usize,
}

/// Trees of all chunks of one version over its replicas.
#[derive(Debug, Clone)]
pub struct Plan {
    fan_out: usize,
    zones: Vec<ZoneGroup>,
    /// Zone and position of each replica, by key.
    places: Vec<Place>,
}

#[derive(Debug, Clone, Copy)]
struct Place {
    zone: usize,
    index: usize,
}

impl Plan {
    /// Plan for the version with `subject` as its hash over `replicas`, whose keys are their
    /// places in the slice.
    pub fn new(subject: u64, replicas: &[Replica], fan_out: u32) -> Self {
        let mut keys: Vec<usize> = (0..replicas.len()).collect();
        let rank = |key: &usize| {
            let replica = &replicas[*key];
            let score = order::score(subject, replica.identity);
            (
                replica.region,
                replica.zone,
                std::cmp::Reverse(score),
                replica.identity,
            )
        };
        keys.sort_by_key(rank);
        let mut zones: Vec<ZoneGroup> = Vec::new();
        let mut places = vec![Place { zone: 0, index: 0 }; replicas.len()];
        let mut last_zone = None;
        for key in keys {
            let replica = &replicas[key];
            if last_zone != Some((replica.region, replica.zone)) {
                last_zone = Some((replica.region, replica.zone));
                zones.push(ZoneGroup {
                    region: replica.region,
                    members: Vec::new(),
                    stride: 1,
                    zone_count: 1,
                });
            }
            let zone = zones.len() - 1;
            places[key] = Place {
                zone,
                index: zones[zone].members.len(),
            };
            zones[zone].members.push(ReplicaKey(key as u32));
        }
        let zone_count = zones.len();
        for zone in &mut zones {
            zone.zone_count = zone_count;
            zone.stride = stride(zone.members.len());
        }
        Self {
            fan_out: fan_out as usize,
            zones,
            places,
        }
    }

    /// Number of replicas.
    pub fn replica_count(&self) -> usize {
        self.places.len()
    }

    /// Writes the sources of `chunk` for `replica` into `sources`, best first.
    pub fn sources(&self, replica: ReplicaKey, chunk: u32, sources: &mut Vec<Source>) {
        sources.clear();
        if self.fan_out == 0 {
            sources.push(Source::Origin);
            return;
        }
        let place = self.places[replica.0 as usize];
        self.climb_zone(place, chunk, sources);
        self.climb_chain(place.zone, chunk, sources);
        sources.push(Source::Origin);
        self.last_resorts(place, replica, chunk, sources);
    }

    fn climb_zone(&self, place: Place, chunk: u32, sources: &mut Vec<Source>) {
        let zone = &self.zones[place.zone];
        let mut position = zone.position(place.index, chunk);
        while position > 0 {
            position = (position - 1) / self.fan_out;
            sources.push(Source::Replica(zone.at(position, chunk)));
        }
    }

    fn climb_chain(&self, zone: usize, chunk: u32, sources: &mut Vec<Source>) {
        let chain = self.chain(chunk);
        let link = chain
            .iter()
            .position(|other| *other == zone)
            .unwrap_or_default();
        for zone in chain[..link].iter().rev() {
            sources.push(Source::Replica(self.zones[*zone].at(0, chunk)));
        }
    }

    fn last_resorts(
        &self,
        place: Place,
        replica: ReplicaKey,
        chunk: u32,
        sources: &mut Vec<Source>,
    ) {
        let zone = &self.zones[place.zone];
        let next = (1..zone.members.len()).map(|step| {
            let index = (place.index + step * zone.stride + chunk as usize) % zone.members.len();
            zone.members[index]
        });
        let others = next.filter(|other| *other != replica).take(LAST_RESORTS);
        sources.extend(others.map(Source::Holder));
    }

    /// Zones in the order in which their roots pass `chunk` on: regions rotated, and zones
    /// rotated within each region.
    fn chain(&self, chunk: u32) -> Vec<usize> {
        let mut regions: Vec<Vec<usize>> = Vec::new();
        for (index, zone) in self.zones.iter().enumerate() {
            match regions.last_mut() {
                Some(last) if self.zones[last[0]].region == zone.region => last.push(index),
                _ => regions.push(vec![index]),
            }
        }
        let count = regions.len();
        regions.rotate_left(chunk as usize % count);
        for region in &mut regions {
            let turn = chunk as usize / count % region.len();
            region.rotate_left(turn);
        }
        regions.concat()
    }
}

impl ZoneGroup {
    /// How far the order is rotated for `chunk`. The chunks that enter the system in one zone are
    /// every so many, one for each zone: they too have to go round all members.
    fn rotation(&self, chunk: u32) -> usize {
        let count = self.members.len();
        let round = chunk as usize / self.zone_count;
        let turn = chunk as usize % self.zone_count;
        let start = turn * count.div_ceil(self.zone_count);
        (round + start) * self.stride % count
    }

    fn position(&self, index: usize, chunk: u32) -> usize {
        (index + self.members.len() - self.rotation(chunk)) % self.members.len()
    }

    fn at(&self, position: usize, chunk: u32) -> ReplicaKey {
        self.members[(position + self.rotation(chunk)) % self.members.len()]
    }
}

/// A step near the golden section of `count` that reaches every place.
fn stride(count: usize) -> usize {
    const GOLDEN: f64 = 0.618_033_988_749_895;
    let near = ((count as f64 * GOLDEN) as usize).max(1);
    (near..count.max(2))
        .find(|step| gcd(*step, count) == 1)
        .unwrap_or(1)
}

const fn gcd(mut a: usize, mut b: usize) -> usize {
    while b != 0 {
        (a, b) = (b, a % b);
    }
    a
}
