//! Rendezvous order of gateways, in which they send digests and own other tasks.

use {
    super::{DIGEST_SENDERS, Exchange, MAX_DIRECT_GATEWAYS},
    gingerpier_base::{Instant, order},
    std::{cmp::Reverse, net::SocketAddr},
};

/// Milliseconds of uptime after which a gateway without any other in its zone counts as alone.
const ALONE_MILLIS: u64 = 10_000;

/// Returns the first `count` of `members` in rendezvous order.
pub(super) fn top_ranked(
    members: impl Iterator<Item = SocketAddr>,
    count: usize,
) -> Vec<SocketAddr> {
    let mut members: Vec<SocketAddr> = members.collect();
    members.sort_by_key(|member| (Reverse(order::hash(member)), *member));
    members.truncate(count);
    members
}

impl Exchange {
    /// Returns true if this gateway is among the first `count` live ones in a rendezvous order for
    /// `subject`; false until the gateways of the own zone are counted.
    pub fn is_among(&self, subject: u64, count: usize, now: Instant) -> bool {
        if !self.is_counted(now) {
            return false;
        }
        let score = |member: &SocketAddr| order::mix(subject ^ order::hash(member));
        let own = score(&self.own);
        let others = self.alive(now).filter(|(_, member)| *member != self.own);
        let ahead = others.filter(|(_, member)| score(member) > own);
        ahead.take(count).count() < count
    }

    /// Returns the gateways of the own zone that send its digests.
    pub(super) fn first_senders(&self) -> Vec<SocketAddr> {
        let local = self.liveness.alive().chain([self.own]);
        top_ranked(local, DIGEST_SENDERS)
    }

    /// Returns the gateways that send the digests of the own zone, with which capacity is shared
    /// between zones; none with few gateways or until the own zone's gateways are known.
    pub fn digest_senders(&self, now: Instant) -> Vec<SocketAddr> {
        let is_alone =
            self.first_mention_at.is_none() && now.millis_since(self.started) >= ALONE_MILLIS;
        match (self.is_counted(now) || is_alone) && self.gateway_count() > MAX_DIRECT_GATEWAYS {
            true => self.first_senders(),
            false => Vec::new(),
        }
    }

    /// Returns true if this gateway is among the first `count` of its zone, in the order of digest
    /// senders.
    pub(super) fn is_among_local(&self, count: usize) -> bool {
        let rank_key = |member: &SocketAddr| (Reverse(order::hash(member)), *member);
        let own_key = rank_key(&self.own);
        let ahead = self
            .liveness
            .alive()
            .filter(|member| rank_key(member) < own_key);
        ahead.take(count).count() < count
    }
}
