//! Distribution trees of a version: the sources of each chunk for each replica.
//!
//! Every zone has a fixed order of its replicas, the same at every process. For each chunk the
//! order is rotated and read as a heap: the first replica is the zone's root, and the replica at
//! position `p` fetches the chunk from the one at `(p - 1) / fan_out`. The rotation advances by a
//! stride near the golden ratio, which spreads the inner nodes of concurrently fetched chunks over
//! the zone, so that every replica uploads about one copy. The roots of the zones form a chain,
//! region by region, so that each chunk crosses each zone and region link once; the first root of
//! the chain fetches it from the origin.
//!
//! With a fan-out of 0, every replica fetches every chunk from the origin.
//!
//! If a source fails, the next one above it is used, up to the origin. Last come other replicas of
//! the zone, from which a partitioned zone can complete the version.

use gingerpier_base::order;

/// Children of a replica in a chunk's tree, unless configured.
pub const DEFAULT_FAN_OUT: u32 = 2;

/// Replicas of the zone that are tried after the origin.
const MAX_FALLBACK_HOLDERS: usize = 4;

/// Index of a replica within a plan.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ReplicaKey(pub u32);

/// Process that takes part in the distribution of a version.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Replica {
    /// Stable hash that identifies the process.
    pub identity: u64,
    /// Stable hash of its region.
    pub region: u64,
    /// Stable hash of its zone.
    pub zone: u64,
}

/// Source of a chunk.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Source {
    /// Replica that has the chunk or is fetching it; the request may wait for it.
    Replica(ReplicaKey),
    /// Replica that responds at once, with the chunk or without.
    Holder(ReplicaKey),
    /// Origin of the weights.
    Origin,
}

impl Source {
    /// Key of the replica; `None` for the origin.
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
    /// Replicas in the zone's order.
    members: Vec<ReplicaKey>,
    stride: usize,
    /// Number of zones in the plan.
    zone_count: usize,
}

/// Trees of all chunks of one version.
#[derive(Debug, Clone)]
pub struct Plan {
    fan_out: usize,
    zones: Vec<ZoneGroup>,
    /// Position of each replica, indexed by key.
    positions: Vec<Position>,
}

#[derive(Debug, Clone, Copy)]
struct Position {
    zone: usize,
    index: usize,
}

impl Plan {
    /// Creates the plan of the version with hash `version_hash`; a replica's key is its index in
    /// `replicas`.
    pub fn new(version_hash: u64, replicas: &[Replica], fan_out: u32) -> Self {
        let mut keys: Vec<usize> = (0..replicas.len()).collect();
        let rank = |key: &usize| {
            let replica = &replicas[*key];
            let score = order::score(version_hash, replica.identity);
            (
                replica.region,
                replica.zone,
                std::cmp::Reverse(score),
                replica.identity,
            )
        };
        keys.sort_by_key(rank);
        let mut zones: Vec<ZoneGroup> = Vec::new();
        let mut positions = vec![Position { zone: 0, index: 0 }; replicas.len()];
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
            positions[key] = Position {
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
            positions,
        }
    }

    /// Number of replicas.
    pub fn replica_count(&self) -> usize {
        self.positions.len()
    }

    /// Replaces `sources` by the sources of `chunk` for `replica`, best first.
    pub fn sources(&self, replica: ReplicaKey, chunk: u32, sources: &mut Vec<Source>) {
        sources.clear();
        if self.fan_out == 0 {
            sources.push(Source::Origin);
            return;
        }
        let position = self.positions[replica.0 as usize];
        self.push_zone_ancestors(position, chunk, sources);
        self.push_upstream_roots(position.zone, chunk, sources);
        sources.push(Source::Origin);
        self.push_fallback_holders(position, replica, chunk, sources);
    }

    fn push_zone_ancestors(&self, position: Position, chunk: u32, sources: &mut Vec<Source>) {
        let zone = &self.zones[position.zone];
        let mut heap_index = zone.heap_index(position.index, chunk);
        while heap_index > 0 {
            heap_index = (heap_index - 1) / self.fan_out;
            sources.push(Source::Replica(zone.replica_at(heap_index, chunk)));
        }
    }

    fn push_upstream_roots(&self, zone: usize, chunk: u32, sources: &mut Vec<Source>) {
        let chain = self.chain(chunk);
        let chain_index = chain
            .iter()
            .position(|other| *other == zone)
            .unwrap_or_default();
        for zone in chain[..chain_index].iter().rev() {
            sources.push(Source::Replica(self.zones[*zone].replica_at(0, chunk)));
        }
    }

    fn push_fallback_holders(
        &self,
        position: Position,
        replica: ReplicaKey,
        chunk: u32,
        sources: &mut Vec<Source>,
    ) {
        let zone = &self.zones[position.zone];
        let candidates = (1..zone.members.len()).map(|step| {
            let index = (position.index + step * zone.stride + chunk as usize) % zone.members.len();
            zone.members[index]
        });
        let others = candidates
            .filter(|other| *other != replica)
            .take(MAX_FALLBACK_HOLDERS);
        sources.extend(others.map(Source::Holder));
    }

    /// Zones in the order in which their roots forward `chunk`: the regions are rotated, and the
    /// zones within each region.
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
            let offset = chunk as usize / count % region.len();
            region.rotate_left(offset);
        }
        regions.concat()
    }
}

impl ZoneGroup {
    /// Rotation of the zone's order for `chunk`. Chunks that enter in the same zone are
    /// `zone_count` apart, and their roots have to cycle through all members too.
    fn rotation(&self, chunk: u32) -> usize {
        let count = self.members.len();
        let cycle = chunk as usize / self.zone_count;
        let entry_zone = chunk as usize % self.zone_count;
        let zone_start = entry_zone * count.div_ceil(self.zone_count);
        (cycle + zone_start) * self.stride % count
    }

    fn heap_index(&self, index: usize, chunk: u32) -> usize {
        (index + self.members.len() - self.rotation(chunk)) % self.members.len()
    }

    fn replica_at(&self, heap_index: usize, chunk: u32) -> ReplicaKey {
        self.members[(heap_index + self.rotation(chunk)) % self.members.len()]
    }
}

/// Stride near the golden ratio of `count` and coprime to it, so that it visits all members.
fn stride(count: usize) -> usize {
    const INVERSE_GOLDEN_RATIO: f64 = 0.618_033_988_749_895;
    let start = ((count as f64 * INVERSE_GOLDEN_RATIO) as usize).max(1);
    (start..count.max(2))
        .find(|step| gcd(*step, count) == 1)
        .unwrap_or(1)
}

const fn gcd(mut a: usize, mut b: usize) -> usize {
    while b != 0 {
        (a, b) = (b, a % b);
    }
    a
}
