//! Exchanges digests of zone state between the gateways of different zones.
//!
//! A gateway receives reports directly from the loaders of its own zone. So that traffic between
//! zones doesn't grow with gateways times engines, a few gateways of each zone, the first in
//! rendezvous order, send a digest of their zone (load of its engines, list of its gateways) to a
//! few gateways of each other zone, which forward it within theirs.
//!
//! Liveness of gateways in the own zone is tracked by probes ([`Liveness`]), in other zones by the
//! gateway lists in their digests.
//!
//! There is no election: if views differ, a digest is sent twice or by another gateway. Each sender
//! rotates over the receivers, so one live sender and one live receiver suffice. If no digest of a
//! zone arrives, some of its engines are polled directly, and more of them over time
//! ([`Exchange::sample_size`]); the first gateways of a zone are found in the same way.
//!
//! Digests lag behind direct reports, so with few gateways in all, each polls the loaders of all
//! zones directly and no digests are sent.

mod ranks;

use {
    crate::liveness::Liveness,
    gingerpier_base::Instant,
    ranks::top_ranked,
    std::{collections::BTreeMap, net::SocketAddr},
};

/// Gateways of a zone that send its digest; more than one, as a sender may have died unnoticed.
pub const DIGEST_SENDERS: usize = 2;

/// Gateways of a zone to which a sender sends in rotation.
const DIGEST_RECEIVERS: usize = 2;

/// Gateways of all zones up to which each polls every loader directly; bounds the control traffic
/// of a loader.
const MAX_DIRECT_GATEWAYS: u32 = 16;

/// Milliseconds from the first mention of another gateway in the own zone until the number of
/// gateways counts as known.
const COUNT_SETTLE_MILLIS: u64 = 1_000;

/// Milliseconds between two digests of one sender.
const DIGEST_INTERVAL_MILLIS: u64 = 500;

/// Milliseconds between two digests of one sender while capacity is shared with other zones, which
/// place requests by the load in the digests.
const FREQUENT_DIGEST_INTERVAL_MILLIS: u64 = 100;

/// Minimum milliseconds between two digests of one sender when there are urgent changes, such as an
/// announced weight update.
const URGENT_DIGEST_INTERVAL_MILLIS: u64 = 110;

/// Milliseconds without a mention after which a gateway of another zone counts as dead.
const MEMBER_TIMEOUT_MILLIS: u64 = 2_500;

/// Milliseconds without a mention for which a gateway of another zone still counts when limits are
/// divided among all gateways, as only the link may be down.
const MEMBER_RETENTION_MILLIS: u64 = 60_000;

/// Milliseconds without a digest after which a zone is silent.
const ZONE_TIMEOUT_MILLIS: u64 = 1_200;

/// Milliseconds without a digest of a sender after which a lower stamp means that the sender
/// restarted, and not that a digest is late.
const SENDER_RESTART_MILLIS: u64 = 2_000;

/// Engines of a silent zone that a gateway polls directly at first.
const MIN_SAMPLE_ENGINES: usize = 4;

/// Milliseconds of silence after which the sample doubles.
const SAMPLE_DOUBLING_MILLIS: u64 = 1_500;

/// Maximum engines of a silent zone that one gateway polls.
const MAX_SAMPLE_ENGINES: usize = 16;

/// Gateways of the own zone that poll engines of a silent zone at first; doubles with the sample,
/// so that the load stays bounded for zones of any size.
const MIN_SAMPLING_GATEWAYS: usize = 8;

/// Maximum zones, as names also come from messages.
const MAX_ZONES: usize = 256;

/// Header of one part of a digest.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Header<'a> {
    /// Zone that the digest describes.
    pub zone: &'a str,
    /// Gateway that made the digest.
    pub sender: SocketAddr,
    /// Rises with each digest of one process of the sender.
    pub stamp: u64,
    /// Index of the part.
    pub part: u32,
    /// Gateways of the zone, as far as the sender knows.
    pub gateway_count: u32,
}

/// Whether a part of a digest is applied.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Acceptance {
    /// Newer than all known parts.
    Newer,
    /// Repeated, out of order, or of the own zone.
    Outdated,
}

/// The newest digest of a stream.
#[derive(Debug, Clone, Copy)]
struct NewestDigest {
    stamp: u64,
    at: Instant,
}

/// Sequence of digests of one sender with the same part index.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct DigestStream {
    sender: SocketAddr,
    part: u32,
}

/// State of one zone.
#[derive(Debug, Clone, Default)]
struct Zone {
    /// Gateways with the time of their last mention; empty for the own zone.
    members: BTreeMap<SocketAddr, Instant>,
    /// Time of the last mention of any gateway.
    last_mention_at: Option<Instant>,
    /// Number of gateways in the last digest.
    reported_count: u32,
    /// Time of the last digest.
    last_digest_at: Option<Instant>,
    newest_digests: BTreeMap<DigestStream, NewestDigest>,
}

impl Zone {
    fn alive(&self, now: Instant) -> impl Iterator<Item = SocketAddr> {
        let is_alive = move |at: &Instant| now.millis_since(*at) < MEMBER_TIMEOUT_MILLIS;
        let alive = self.members.iter().filter(move |(_, at)| is_alive(at));
        alive.map(|(member, _)| *member)
    }

    /// Returns the gateways that were alive at the last mention of any of them, so that none is
    /// dropped while the zone is silent.
    fn alive_at_last_mention(&self) -> impl Iterator<Item = SocketAddr> {
        let last_mention_at = self.last_mention_at.unwrap_or_default();
        self.alive(last_mention_at)
    }

    fn count(&self) -> u32 {
        self.reported_count.max(self.members.len() as u32)
    }

    fn drop_expired(&mut self, now: Instant) {
        let is_retained = |at: Instant| now.millis_since(at) < MEMBER_RETENTION_MILLIS;
        self.members.retain(|_, at| is_retained(*at));
        self.newest_digests
            .retain(|_, newest| is_retained(newest.at));
    }
}

/// A gateway's view of all zones, and its schedule of digests.
#[derive(Debug, Clone)]
pub struct Exchange {
    own: SocketAddr,
    own_zone: String,
    zones: BTreeMap<String, Zone>,
    liveness: Liveness,
    started: Instant,
    /// Time of the first mention of another gateway in the own zone.
    first_mention_at: Option<Instant>,
    rotation: usize,
    last_sent: Instant,
    has_urgent_changes: bool,
    has_frequent_digests: bool,
}

impl Exchange {
    /// Creates the exchange of gateway `own` in `own_zone`, with the names of all `zones`.
    pub fn new<'a>(
        own: SocketAddr,
        own_zone: &str,
        zones: impl Iterator<Item = &'a str>,
        now: Instant,
    ) -> Self {
        let mut zones: BTreeMap<String, Zone> = zones
            .map(|name| (name.to_owned(), Zone::default()))
            .collect();
        zones.entry(own_zone.to_owned()).or_default();
        Self {
            own,
            own_zone: own_zone.to_owned(),
            zones,
            liveness: Liveness::new(own, 0, now),
            started: now,
            first_mention_at: None,
            rotation: 0,
            last_sent: now,
            has_urgent_changes: false,
            has_frequent_digests: false,
        }
    }

    /// Sets the incarnation of this gateway, which should rise with each of its starts.
    pub fn in_incarnation(mut self, incarnation: u64) -> Self {
        self.liveness = Liveness::new(self.own, incarnation, self.started);
        self
    }

    /// Records a mention of a gateway.
    pub fn record_member(&mut self, zone: &str, member: SocketAddr, now: Instant) {
        if zone == self.own_zone {
            self.first_mention_at = self.first_mention_at.or(Some(now));
            self.liveness.record_mention(member, now);
        } else if let Some(zone) = self.zone_mut(zone) {
            zone.members.insert(member, now);
            zone.last_mention_at = Some(now);
        }
    }

    /// Liveness of the gateways in the own zone.
    pub const fn liveness(&mut self) -> &mut Liveness {
        &mut self.liveness
    }

    /// Requests that the next digest be sent early.
    pub const fn request_early_digest(&mut self) {
        self.has_urgent_changes = true;
    }

    /// Sets whether digests are sent frequently, as while capacity is shared with other zones.
    pub const fn set_frequent_digests(&mut self, is_frequent: bool) {
        self.has_frequent_digests = is_frequent;
    }

    fn zone_mut(&mut self, name: &str) -> Option<&mut Zone> {
        if !self.zones.contains_key(name) && self.zones.len() >= MAX_ZONES {
            return None;
        }
        Some(self.zones.entry(name.to_owned()).or_default())
    }

    /// Returns the other live gateways with their zones.
    pub fn alive(&self, now: Instant) -> impl Iterator<Item = (&str, SocketAddr)> {
        let local = self.liveness.alive();
        let local = local.map(|member| (self.own_zone.as_str(), member));
        let zones = self.zones.iter();
        let remote = zones.flat_map(move |(name, zone)| {
            let members = zone.alive(now);
            members.map(move |member| (name.as_str(), member))
        });
        local.chain(remote)
    }

    /// Returns the other live gateways of the own zone.
    pub fn neighbours(&self) -> Vec<SocketAddr> {
        self.liveness.alive().collect()
    }

    /// Returns the number of gateways in `zone`, including this one.
    pub fn zone_count(&self, zone: &str) -> u32 {
        match zone == self.own_zone {
            true => self.liveness.known_count() as u32,
            false => self.zones.get(zone).map_or(0, Zone::count),
        }
    }

    /// Returns the number of gateways in all zones, including this one, by which limits are
    /// divided. A zone without data counts as large as the own one.
    pub fn gateway_count(&self) -> u32 {
        let own = self.zone_count(&self.own_zone);
        let others = self
            .zones
            .iter()
            .filter(|(name, _)| **name != self.own_zone);
        let counts = others.map(|(_, zone)| match zone.count() {
            0 => own,
            known => known,
        });
        own + counts.sum::<u32>()
    }

    /// Returns the gateways to which a digest of the own zone is sent now.
    pub fn poll(&mut self, now: Instant) -> Vec<SocketAddr> {
        let interval_millis = match (self.has_frequent_digests, self.has_urgent_changes) {
            (true, _) => FREQUENT_DIGEST_INTERVAL_MILLIS,
            (false, true) => URGENT_DIGEST_INTERVAL_MILLIS,
            (false, false) => DIGEST_INTERVAL_MILLIS,
        };
        if now.millis_since(self.last_sent) < interval_millis {
            return Vec::new();
        }
        self.last_sent = now;
        self.has_urgent_changes = false;
        self.rotation += 1;
        for zone in self.zones.values_mut() {
            zone.drop_expired(now);
        }
        if self.is_direct(now) {
            return Vec::new();
        }
        let senders = self.first_senders();
        let Some(rank) = senders.iter().position(|sender| *sender == self.own) else {
            return Vec::new();
        };
        let rotation = self.rotation + rank;
        let others = self
            .zones
            .iter()
            .filter(|(name, _)| **name != self.own_zone);
        let receiver = |(_, zone): (&String, &Zone)| {
            let receivers = top_ranked(zone.alive_at_last_mention(), DIGEST_RECEIVERS);
            let index = rotation.checked_rem(receivers.len())?;
            Some(receivers[index])
        };
        others.filter_map(receiver).collect()
    }

    /// Returns the number of zones, including the own one.
    pub fn zones_len(&self) -> usize {
        self.zones.len()
    }

    /// Checks the header of a received part and records it.
    pub fn accept(&mut self, header: &Header<'_>, now: Instant) -> Acceptance {
        if header.zone == self.own_zone {
            return Acceptance::Outdated;
        }
        let Some(zone) = self.zone_mut(header.zone) else {
            return Acceptance::Outdated;
        };
        let stream = DigestStream {
            sender: header.sender,
            part: header.part,
        };
        let is_stale = zone.newest_digests.get(&stream).is_some_and(|newest| {
            header.stamp <= newest.stamp && now.millis_since(newest.at) < SENDER_RESTART_MILLIS
        });
        if is_stale {
            return Acceptance::Outdated;
        }
        let stamp = header.stamp;
        zone.newest_digests
            .insert(stream, NewestDigest { stamp, at: now });
        zone.last_digest_at = Some(now);
        zone.reported_count = header.gateway_count;
        Acceptance::Newer
    }

    /// Returns true if there are few enough gateways for each to poll the loaders of all zones.
    pub fn is_direct(&self, now: Instant) -> bool {
        self.is_counted(now) && self.gateway_count() <= MAX_DIRECT_GATEWAYS
    }

    /// Returns true if the gateways of the own zone are known.
    fn is_counted(&self, now: Instant) -> bool {
        let count_settles_at = self
            .first_mention_at
            .map(|at| at.after_millis(COUNT_SETTLE_MILLIS));
        count_settles_at.is_some_and(|at| at.has_passed(now))
    }

    /// Returns true if a digest of `zone` arrived recently.
    pub fn has_recent_digest(&self, zone: &str, now: Instant) -> bool {
        let last_digest_at = self.zones.get(zone).and_then(|zone| zone.last_digest_at);
        last_digest_at
            .is_some_and(|last_digest_at| now.millis_since(last_digest_at) < ZONE_TIMEOUT_MILLIS)
    }

    /// Returns the number of engines of another `zone` that this gateway polls directly: all with
    /// few gateways, none while digests of the zone arrive.
    pub fn sample_size(&self, zone: &str, now: Instant) -> usize {
        if self.is_direct(now) {
            return usize::MAX;
        }
        if self.has_recent_digest(zone, now) {
            return 0;
        }
        let last_digest_at = self.zones.get(zone).and_then(|zone| zone.last_digest_at);
        let since = last_digest_at.map_or(self.started, |last_digest_at| {
            last_digest_at.after_millis(ZONE_TIMEOUT_MILLIS)
        });
        let doublings = now.millis_since(since) / SAMPLE_DOUBLING_MILLIS;
        let max_doublings = u64::from((MAX_SAMPLE_ENGINES / MIN_SAMPLE_ENGINES).ilog2());
        let doublings = doublings.min(max_doublings);
        if !self.is_among_local(MIN_SAMPLING_GATEWAYS << doublings) {
            return 0;
        }
        MIN_SAMPLE_ENGINES << doublings
    }
}
