//! Grants that a gateway has received, and its part of them.
//!
//! Each granting zone has two digest senders that grant; the gateway adds up the grants of the
//! first two senders in rendezvous order among those whose grants are valid. Its part follows its
//! share of the zone's shortfall.

use {
    super::{Demand, Grant},
    gingerpier_base::{Instant, order},
    gingerpier_serving::zones::DIGEST_SENDERS,
    std::{cmp::Reverse, collections::BTreeMap, net::SocketAddr},
};

/// Time for which a grant is valid after its receipt; covers seven lost digests.
const GRANT_VALID_MILLIS: u64 = 800;

/// Time after the last digest of a sender for which lower stamps are outdated and don't mean that
/// the sender restarted.
const SENDER_RESTART_MILLIS: u64 = 2_000;

/// Upper bound of a gateway's part, as a multiple of an equal part.
const MAX_PART: f64 = 3.0;

/// Time over which unused tokens are collected.
const BURST_MILLIS: f64 = 250.0;

/// Tokens that a bucket can always hold.
const MIN_BURST: f64 = 1.0;

/// Maximum senders per zone whose stamps are kept, as addresses come from messages.
const MAX_SENDERS: usize = 16;

/// Maximum granting zones, as names come from messages.
const MAX_ZONES: usize = 256;

/// The latest digest of one sender.
#[derive(Debug, Clone)]
struct Received {
    stamp: u64,
    received_at: Instant,
    expires_at: Instant,
    grants: Vec<Grant>,
}

/// Tokens for requests to one zone and service.
#[derive(Debug, Clone, Copy)]
struct Bucket {
    tokens: f64,
    updated_at: Instant,
}

impl Bucket {
    fn refill(&mut self, per_second: f64, now: Instant) {
        let elapsed_millis = now.millis_since(self.updated_at) as f64;
        let burst = (per_second * BURST_MILLIS / 1_000.0).max(MIN_BURST);
        self.tokens = (self.tokens + per_second * elapsed_millis / 1_000.0).min(burst);
        self.updated_at = now;
    }
}

#[derive(Debug, Clone, Default)]
struct Zone {
    senders: BTreeMap<SocketAddr, Received>,
    buckets: BTreeMap<String, Bucket>,
}

impl Zone {
    /// Returns the digests that count: the first in rendezvous order among the valid ones.
    fn counted(&self, now: Instant) -> impl Iterator<Item = &Received> {
        let valid = self.senders.iter();
        let mut valid: Vec<(&SocketAddr, &Received)> = valid
            .filter(|(_, received)| {
                !received.expires_at.has_passed(now) && !received.grants.is_empty()
            })
            .collect();
        valid.sort_by_key(|(sender, _)| (Reverse(order::hash(*sender)), **sender));
        let counted = valid.into_iter().take(DIGEST_SENDERS);
        counted.map(|(_, received)| received)
    }

    fn matching(&self, service: &str, now: Instant) -> impl Iterator<Item = &Grant> {
        let grants = self.counted(now).flat_map(|received| &received.grants);
        grants.filter(move |grant| grant.service == service)
    }
}

/// This gateway's figures by which the grants of its zone are divided.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Share {
    /// Demand of this gateway for the service.
    pub own_demand: Demand,
    /// Number of gateways in the zone.
    pub gateway_count: u32,
}

impl Share {
    /// Returns this gateway's part of a grant, in requests per second.
    fn of(&self, grant: &Grant) -> f64 {
        let shortfall = self.own_demand.shortfall();
        let part = match grant.zone_shortfall > 0.0 {
            true => shortfall / grant.zone_shortfall,
            false => 0.0,
        };
        let limit = MAX_PART / f64::from(self.gateway_count.max(1));
        grant.per_second * part.min(limit).min(1.0)
    }
}

/// Grants of other zones to the zone of this gateway.
#[derive(Debug, Clone)]
pub struct Grantee {
    own_zone: String,
    zones: BTreeMap<String, Zone>,
}

impl Grantee {
    /// Creates the empty state of a gateway in `own_zone`.
    pub fn new(own_zone: &str) -> Self {
        Self {
            own_zone: own_zone.to_owned(),
            zones: BTreeMap::new(),
        }
    }

    /// Records the grants in the digest of `sender`, which replace its earlier ones. A digest that
    /// isn't newer is ignored, so that a late or repeated one prolongs nothing.
    pub fn record(
        &mut self,
        zone: &str,
        sender: SocketAddr,
        stamp: u64,
        grants: Vec<Grant>,
        now: Instant,
    ) {
        if !self.zones.contains_key(zone) {
            if grants.is_empty() || self.zones.len() >= MAX_ZONES {
                return;
            }
            self.zones.insert(zone.to_owned(), Zone::default());
        }
        let Some(entry) = self.zones.get_mut(zone) else {
            return;
        };
        entry
            .senders
            .retain(|_, received| now.millis_since(received.received_at) < SENDER_RESTART_MILLIS);
        let known = entry.senders.get(&sender);
        if known.is_some_and(|received| received.stamp >= stamp)
            || (known.is_none() && entry.senders.len() >= MAX_SENDERS)
        {
            return;
        }
        let mut grants = grants;
        grants.retain(|grant| grant.zone == self.own_zone && is_rate(grant.per_second));
        let received = Received {
            stamp,
            received_at: now,
            expires_at: now.after_millis(GRANT_VALID_MILLIS),
            grants,
        };
        entry.senders.insert(sender, received);
    }

    /// Returns the zones with a valid grant for `service`.
    pub fn granting_zones(&self, service: &str, now: Instant) -> impl Iterator<Item = &str> {
        let zones = self.zones.iter();
        let granting = zones.filter(move |(_, zone)| zone.matching(service, now).next().is_some());
        granting.map(|(name, _)| name.as_str())
    }

    /// Returns the rate that `zone` grants to all gateways of the own zone.
    pub fn granted_per_second(&self, zone: &str, service: &str, now: Instant) -> f64 {
        let zone = self.zones.get(zone);
        zone.map_or(0.0, |zone| {
            let grants = zone.matching(service, now);
            grants.map(|grant| grant.per_second).sum()
        })
    }

    /// Collects the tokens for a service. The gateway's part changes with its shortfall, so tokens are
    /// collected at short intervals.
    pub fn collect(&mut self, service: &str, share: &Share, now: Instant) {
        let granting = self.granting_zones(service, now);
        let granting: Vec<String> = granting.map(str::to_owned).collect();
        for zone in granting {
            self.refilled_bucket(&zone, service, share, now);
        }
    }

    /// Returns true if there is a token for a request to `zone`.
    pub fn has_token(&mut self, zone: &str, service: &str, share: &Share, now: Instant) -> bool {
        let bucket = self.refilled_bucket(zone, service, share, now);
        bucket.is_some_and(|bucket| bucket.tokens >= 1.0)
    }

    /// Takes a token for a request to `zone`; false if there is none.
    pub fn take(&mut self, zone: &str, service: &str, share: &Share, now: Instant) -> bool {
        match self.refilled_bucket(zone, service, share, now) {
            Some(bucket) if bucket.tokens >= 1.0 => {
                bucket.tokens -= 1.0;
                true
            }
            _ => false,
        }
    }

    fn refilled_bucket(
        &mut self,
        zone: &str,
        service: &str,
        share: &Share,
        now: Instant,
    ) -> Option<&mut Bucket> {
        let zone = self.zones.get_mut(zone)?;
        if zone.matching(service, now).next().is_none() {
            zone.buckets.remove(service);
            return None;
        }
        let grants = zone.matching(service, now);
        let per_second: f64 = grants.map(|grant| share.of(grant)).sum();
        if !zone.buckets.contains_key(service) {
            let empty = Bucket {
                tokens: 0.0,
                updated_at: now,
            };
            zone.buckets.insert(service.to_owned(), empty);
        }
        let bucket = zone.buckets.get_mut(service)?;
        bucket.refill(per_second, now);
        Some(bucket)
    }
}

fn is_rate(per_second: f64) -> bool {
    per_second.is_finite() && per_second > 0.0
}
