//! What the gateways of one zone hear of the other zones.
//!
//! A gateway hears the loaders of its own zone directly. If every gateway heard every loader, what
//! crosses between zones would grow with gateways times engines. So a few gateways of each zone, the
//! first in a rendezvous order, send a digest of their zone (its engines' load, its gateways) to a
//! few gateways of each other zone, and those pass it on within theirs. What crosses a pair of zones
//! does not grow with the gateways of either.
//!
//! Who of the own zone lives is found out by probes ([`Liveness`]); who of other zones, by what their digests name.
//!
//! Nobody is elected: where views differ, a digest is sent twice or by another member. Each sender
//! takes the receivers by turns, so that one living sender and one living receiver are enough. Where no
//! digest of a zone has come for a while, some of its engines are asked directly, more of them the
//! longer it lasts ([`Exchange::sample`]); that is also how the first gateways of a zone are found.
//!
//! Digests are older than what loaders say themselves. So where there are few gateways in all, each hears
//! the loaders of all zones directly, and no digests are sent.

use {
    crate::liveness::Liveness,
    gingerpier_base::{Instant, order},
    std::{cmp::Reverse, collections::BTreeMap, net::SocketAddr},
};

/// Gateways of a zone that send its digest: one may be dead before the others notice.
pub const SENDERS: usize = 2;

/// Gateways of a zone that a sender sends to, by turns.
const RECEIVERS: usize = 2;

/// Most gateways of all zones that hear every loader directly. A loader that reports to 16 of them four
/// times a second sends 7 KB/s, half of what a node may spend on control.
const MOST_DIRECT: u32 = 16;

/// Milliseconds from the first word of the gateways of the own zone until their number counts: two
/// rounds of naming.
const COUNTED_AFTER_MILLIS: u64 = 1_000;

/// Milliseconds between two digests of one sender. With two senders a zone is heard every 250 ms on
/// average, as often as loaders reported to other zones when each did so itself.
const SEND_EVERY_MILLIS: u64 = 500;

/// Least milliseconds between two digests of one sender, where there is news: a quarter of the notice
/// that is given before an engine takes new weights.
const NEWS_EVERY_MILLIS: u64 = 110;

/// Milliseconds after a gateway of another zone was last named from which on it does not count as living: ten digests.
const MEMBER_LIFE_MILLIS: u64 = 2_500;

/// Milliseconds for which a gateway that is no longer named still has its part of what all gateways
/// share, such as retries: it may only be cut off from here.
const MEMBER_MEMORY_MILLIS: u64 = 60_000;

/// Milliseconds without a digest after which a zone is silent: four are missing by then.
const SILENT_MILLIS: u64 = 1_200;

/// Milliseconds without a word of a sender after which a lower stamp is that of a new process, not an
/// old digest that comes late.
const RESTARTED_MILLIS: u64 = 2_000;

/// Engines of a silent zone that are asked directly at first.
const LEAST_SAMPLE: usize = 4;

/// Milliseconds of silence after which twice as many are asked.
const SAMPLE_DOUBLES_MILLIS: u64 = 1_500;

/// Most engines of a silent zone that one gateway asks.
const MOST_SAMPLE: usize = 16;

/// Gateways of the own zone that ask a silent zone's engines at first, twice as many each time that their sample doubles:
/// whatever the size of both zones, what is asked stays bounded while a zone is cut off.
const FIRST_ASKERS: usize = 8;

/// Zones that are kept: names come from messages, too.
const MOST_ZONES: usize = 256;

/// Where a part of a digest comes from.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Heading<'a> {
    /// Zone that it tells of.
    pub zone: &'a str,
    /// Gateway of that zone which made it.
    pub sender: SocketAddr,
    /// Number that rises with each digest of one process of the sender.
    pub stamp: u64,
    /// Part of the digest.
    pub part: u32,
    /// Gateways of the zone, as far as the sender knows.
    pub gateway_count: u32,
}

/// What becomes of a part of a digest.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Reception {
    /// It is newer than what is known.
    News,
    /// It came before, or something newer did.
    Old,
}

/// The last that came of one sender.
#[derive(Debug, Clone, Copy)]
struct Last {
    stamp: u64,
    at: Instant,
}

/// A part of a sender's digests.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct Stream {
    sender: SocketAddr,
    part: u32,
}

/// What is known of one zone.
#[derive(Debug, Clone, Default)]
struct Zone {
    /// Gateways, and when each was last named; those of the own zone are known by probes.
    members: BTreeMap<SocketAddr, Instant>,
    /// When any of them was named last.
    newest: Option<Instant>,
    /// Gateways that a sender of the zone counted last.
    told_count: u32,
    /// When a digest came last.
    heard: Option<Instant>,
    last: BTreeMap<Stream, Last>,
}

impl Zone {
    fn living(&self, now: Instant) -> impl Iterator<Item = SocketAddr> {
        let is_living = move |at: &Instant| now.millis_since(*at) < MEMBER_LIFE_MILLIS;
        let living = self.members.iter().filter(move |(_, at)| is_living(at));
        living.map(|(member, _)| *member)
    }

    /// Members that lived when the zone was heard of last: while nobody is heard, nobody is known to be gone.
    fn last_living(&self) -> impl Iterator<Item = SocketAddr> {
        let newest = self.newest.unwrap_or_default();
        self.living(newest)
    }

    fn count(&self) -> u32 {
        self.told_count.max(self.members.len() as u32)
    }

    fn forget(&mut self, now: Instant) {
        let memory = |at: Instant| now.millis_since(at) < MEMBER_MEMORY_MILLIS;
        self.members.retain(|_, at| memory(*at));
        self.last.retain(|_, last| memory(last.at));
    }
}

/// The first `count` of `members`, in rendezvous order.
fn first(members: impl Iterator<Item = SocketAddr>, count: usize) -> Vec<SocketAddr> {
    let mut members: Vec<SocketAddr> = members.collect();
    members.sort_by_key(|member| (Reverse(order::hash(member)), *member));
    members.truncate(count);
    members
}

/// What one gateway knows of all zones, and when it sends.
#[derive(Debug, Clone)]
pub struct Exchange {
    own: SocketAddr,
    own_zone: String,
    zones: BTreeMap<String, Zone>,
    liveness: Liveness,
    started: Instant,
    /// When somebody named a gateway of the own zone first.
    named: Option<Instant>,
    turn: usize,
    sent: Instant,
    has_news: bool,
}

impl Exchange {
    /// Exchange of the gateway `own` of `own_zone`, which starts now and knows the names of `zones`.
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
            named: None,
            turn: 0,
            sent: now,
            has_news: false,
        }
    }

    /// The same in an incarnation, which should rise with each start of the gateway.
    pub fn in_incarnation(mut self, incarnation: u64) -> Self {
        self.liveness = Liveness::new(self.own, incarnation, self.started);
        self
    }

    /// Notes a gateway that somebody heard of.
    pub fn note_member(&mut self, zone: &str, member: SocketAddr, now: Instant) {
        if zone == self.own_zone {
            self.named = self.named.or(Some(now));
            self.liveness.note_named(member, now);
        } else if let Some(zone) = self.zone_mut(zone) {
            zone.members.insert(member, now);
            zone.newest = Some(now);
        }
    }

    /// Who lives of the own zone.
    pub const fn liveness(&mut self) -> &mut Liveness {
        &mut self.liveness
    }

    /// Notes that others should soon hear something of this zone.
    pub const fn note_news(&mut self) {
        self.has_news = true;
    }

    fn zone_mut(&mut self, name: &str) -> Option<&mut Zone> {
        if !self.zones.contains_key(name) && self.zones.len() >= MOST_ZONES {
            return None;
        }
        Some(self.zones.entry(name.to_owned()).or_default())
    }

    /// Other gateways that live, by zone.
    pub fn living(&self, now: Instant) -> impl Iterator<Item = (&str, SocketAddr)> {
        let near = self.liveness.living();
        let near = near.map(|member| (self.own_zone.as_str(), member));
        let zones = self.zones.iter();
        let far = zones.flat_map(move |(name, zone)| {
            let members = zone.living(now);
            members.map(move |member| (name.as_str(), member))
        });
        near.chain(far)
    }

    /// Other gateways of the own zone that live.
    pub fn neighbours(&self) -> Vec<SocketAddr> {
        self.liveness.living().collect()
    }

    /// Gateways of `zone`, this one included where it is its own.
    pub fn zone_count(&self, zone: &str) -> u32 {
        match zone == self.own_zone {
            true => self.liveness.known_count() as u32,
            false => self.zones.get(zone).map_or(0, Zone::count),
        }
    }

    /// Gateways of all zones, this one included, to count on when shares are made. A zone of which
    /// nothing is known yet counts as large as the own one.
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

    /// True where this gateway is among the first `count` of all that live, in an order of `subject`'s own; never before
    /// those of its zone were counted.
    pub fn is_among(&self, subject: u64, count: usize, now: Instant) -> bool {
        let counted = self.named.map(|at| at.after_millis(COUNTED_AFTER_MILLIS));
        if !counted.is_some_and(|at| at.has_passed(now)) {
            return false;
        }
        let score = |member: &SocketAddr| order::mix(subject ^ order::hash(member));
        let own = score(&self.own);
        let others = self.living(now).filter(|(_, member)| *member != self.own);
        let ahead = others.filter(|(_, member)| score(member) > own);
        ahead.take(count).count() < count
    }

    /// Gateways to which a digest of the own zone goes now; none where it is not the time, or others
    /// send it.
    pub fn poll(&mut self, now: Instant) -> Vec<SocketAddr> {
        let every = match self.has_news {
            true => NEWS_EVERY_MILLIS,
            false => SEND_EVERY_MILLIS,
        };
        if now.millis_since(self.sent) < every {
            return Vec::new();
        }
        self.sent = now;
        self.has_news = false;
        self.turn += 1;
        for zone in self.zones.values_mut() {
            zone.forget(now);
        }
        if self.is_direct(now) {
            return Vec::new();
        }
        let near = self.liveness.living().chain([self.own]);
        let senders = first(near, SENDERS);
        let Some(rank) = senders.iter().position(|sender| *sender == self.own) else {
            return Vec::new();
        };
        let turn = self.turn + rank;
        let others = self
            .zones
            .iter()
            .filter(|(name, _)| **name != self.own_zone);
        let receiver = |(_, zone): (&String, &Zone)| {
            let receivers = first(zone.last_living(), RECEIVERS);
            let index = turn.checked_rem(receivers.len())?;
            Some(receivers[index])
        };
        others.filter_map(receiver).collect()
    }

    /// Takes the heading of a part that came.
    pub fn take(&mut self, heading: &Heading<'_>, now: Instant) -> Reception {
        if heading.zone == self.own_zone {
            return Reception::Old;
        }
        let Some(zone) = self.zone_mut(heading.zone) else {
            return Reception::Old;
        };
        let stream = Stream {
            sender: heading.sender,
            part: heading.part,
        };
        let is_old = zone.last.get(&stream).is_some_and(|last| {
            heading.stamp <= last.stamp && now.millis_since(last.at) < RESTARTED_MILLIS
        });
        if is_old {
            return Reception::Old;
        }
        let stamp = heading.stamp;
        zone.last.insert(stream, Last { stamp, at: now });
        zone.heard = Some(now);
        zone.told_count = heading.gateway_count;
        Reception::News
    }

    /// True where there are so few gateways that each hears the loaders of all zones directly.
    pub fn is_direct(&self, now: Instant) -> bool {
        let counted = self.named.map(|at| at.after_millis(COUNTED_AFTER_MILLIS));
        let is_counted = counted.is_some_and(|at| at.has_passed(now));
        is_counted && self.gateway_count() <= MOST_DIRECT
    }

    /// True where digests of `zone` come.
    pub fn is_heard(&self, zone: &str, now: Instant) -> bool {
        let heard = self.zones.get(zone).and_then(|zone| zone.heard);
        heard.is_some_and(|heard| now.millis_since(heard) < SILENT_MILLIS)
    }

    /// Engines of another `zone` to ask directly: all where there are few gateways, or else none while
    /// its digests come.
    pub fn sample(&self, zone: &str, now: Instant) -> usize {
        if self.is_direct(now) {
            return usize::MAX;
        }
        if self.is_heard(zone, now) {
            return 0;
        }
        let heard = self.zones.get(zone).and_then(|zone| zone.heard);
        let since = heard.map_or(self.started, |heard| heard.after_millis(SILENT_MILLIS));
        let doublings = now.millis_since(since) / SAMPLE_DOUBLES_MILLIS;
        let most = u64::from((MOST_SAMPLE / LEAST_SAMPLE).ilog2());
        let doublings = doublings.min(most);
        if !self.is_among_near(FIRST_ASKERS << doublings) {
            return 0;
        }
        LEAST_SAMPLE << doublings
    }

    /// True where this gateway is among the first `count` of its zone, in the order in which they send digests.
    fn is_among_near(&self, count: usize) -> bool {
        let place = |member: &SocketAddr| (Reverse(order::hash(member)), *member);
        let own = place(&self.own);
        let ahead = self.liveness.living().filter(|member| place(member) < own);
        ahead.take(count).count() < count
    }
}
