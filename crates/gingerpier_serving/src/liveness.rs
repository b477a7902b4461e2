//! Tracks which gateways of a zone are alive, by probes and gossip between them.
//!
//! Each gateway probes one other per interval, in a random order that covers all. A gateway that
//! answers none of several probes counts as dead, unless loaders mentioned it recently, or the
//! prober itself receives no messages at all. Updates (who is alive, who is dead) travel with
//! probes and replies, each a number of times that grows with the logarithm of the zone, so the
//! traffic of one gateway doesn't grow with the zone. A gateway that learns of its own death
//! refutes it with a higher incarnation.
//!
//! ```
//! use gingerpier_base::Instant;
//! use gingerpier_serving::liveness::Liveness;
//!
//! let address = |number: u8| std::net::SocketAddr::from(([10, 0, 0, number], 7700));
//! let mut liveness = Liveness::new(address(1), 1, Instant::from_millis(0));
//! liveness.record_mention(address(2), Instant::from_millis(10));
//! // No peer reported it dead.
//! assert_eq!(liveness.alive().collect::<Vec<_>>(), [address(2)]);
//! assert_eq!(liveness.poll(Instant::from_millis(1_000)), [address(2)]);
//! ```

use {
    gingerpier_base::{Instant, order},
    std::{collections::BTreeMap, net::SocketAddr},
};

/// Milliseconds between probes.
const PROBE_INTERVAL_MILLIS: u64 = 500;

/// Milliseconds between probes while more updates are pending than fit one message.
const BACKLOG_PROBE_INTERVAL_MILLIS: u64 = 100;

/// Milliseconds without a reply after which a probe is repeated.
const REPLY_TIMEOUT_MILLIS: u64 = 400;

/// Unanswered probes after which a gateway is dead.
const MAX_PROBE_ATTEMPTS: u32 = 5;

/// Milliseconds since the last message or mention of a gateway within which it is not declared
/// dead.
const RECENT_CONTACT_MILLIS: u64 = 2_500;

/// Milliseconds by which a mention may lag behind: only one later than this after a death shows
/// that the gateway is back.
const MAX_MENTION_DELAY_MILLIS: u64 = 5 * PROBE_INTERVAL_MILLIS + REPLY_TIMEOUT_MILLIS;

/// Milliseconds for which a dead gateway is remembered.
const DEAD_RETENTION_MILLIS: u64 = 60_000;

/// Maximum updates per message, at some 20 bytes each; keeps a message within one packet.
pub const MAX_UPDATES: usize = 24;

/// Milliseconds without any message after which a gateway counts itself as isolated or suspended.
const ISOLATION_MILLIS: u64 = 2 * PROBE_INTERVAL_MILLIS;

/// Live members added to each message beyond pending updates, in rotation; makes up for lost
/// updates.
const EXTRA_MEMBERS: usize = 8;

/// Times that one gateway sends an update, per doubling of the zone.
const SENDS_PER_DOUBLING: u32 = 2;

/// Maximum members, as addresses come from messages.
const MAX_MEMBERS: usize = 4_096;

/// A membership update.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Update {
    /// Gateway.
    pub member: SocketAddr,
    /// Its incarnation.
    pub incarnation: u64,
    /// True if it is dead.
    pub is_dead: bool,
}

/// State of another gateway of the zone.
#[derive(Debug, Clone, Copy)]
struct Member {
    incarnation: u64,
    /// Time of the last message or mention.
    last_contact: Instant,
    /// True if a peer has reported it dead since.
    is_reported_dead: bool,
    /// Time at which it was declared dead; none while alive.
    dead_since: Option<Instant>,
    /// Messages in which its update is still to be sent.
    sends_left: u32,
}

impl Member {
    const fn touch(&mut self, now: Instant) {
        self.last_contact = now;
        self.is_reported_dead = false;
    }
}

/// A probe without a reply yet.
#[derive(Debug, Clone, Copy)]
struct Probe {
    member: SocketAddr,
    /// Times of the first and the last attempt.
    first_sent: Instant,
    last_sent: Instant,
    attempts: u32,
}

/// A gateway's view of the other gateways in its zone.
#[derive(Debug, Clone)]
pub struct Liveness {
    own: SocketAddr,
    incarnation: u64,
    members: BTreeMap<SocketAddr, Member>,
    /// Members still to be probed in this round, next one last.
    unprobed: Vec<SocketAddr>,
    round_count: u64,
    probes: Vec<Probe>,
    last_probe: Instant,
    /// Time of the last message from any gateway.
    last_received: Instant,
    /// Offset of the next rotation of extra members.
    extra_offset: usize,
    /// Members declared dead since the last [`Self::take_newly_dead`].
    newly_dead: Vec<SocketAddr>,
}

impl Liveness {
    /// Creates the state of gateway `own`, which starts now; `incarnation` should rise with each of
    /// its starts.
    pub const fn new(own: SocketAddr, incarnation: u64, now: Instant) -> Self {
        Self {
            own,
            incarnation,
            members: BTreeMap::new(),
            unprobed: Vec::new(),
            round_count: 0,
            probes: Vec::new(),
            last_probe: now,
            last_received: now,
            extra_offset: 0,
            newly_dead: Vec::new(),
        }
    }

    /// Own incarnation.
    pub const fn incarnation(&self) -> u64 {
        self.incarnation
    }

    /// Returns the other gateways that count as alive.
    pub fn alive(&self) -> impl Iterator<Item = SocketAddr> {
        let alive = self
            .members
            .iter()
            .filter(|(_, state)| state.dead_since.is_none());
        alive.map(|(member, _)| *member)
    }

    /// Returns the number of known gateways, including this one and dead ones.
    pub fn known_count(&self) -> usize {
        self.members.len() + 1
    }

    /// Records that any message arrived.
    pub fn record_received(&mut self, now: Instant) {
        self.last_received = self.last_received.max(now);
    }

    /// Records a mention of a gateway by a third party, which may be somewhat outdated.
    pub fn record_mention(&mut self, member: SocketAddr, now: Instant) {
        match self.members.get_mut(&member) {
            None => self.add(member, 0, now),
            Some(known) => {
                let is_newer =
                    |dead_since: Instant| now.millis_since(dead_since) > MAX_MENTION_DELAY_MILLIS;
                if known.dead_since.is_some_and(is_newer) {
                    self.revive(member, 0, now);
                } else if known.dead_since.is_none() {
                    known.touch(now);
                }
            }
        }
    }

    /// Records a message from `member`. If it counts as dead in this incarnation, the next message
    /// to it says so, and it returns with a higher one, which other gateways accept too.
    pub fn record_message(&mut self, member: SocketAddr, incarnation: u64, now: Instant) {
        self.record_received(now);
        if member == self.own {
            return;
        }
        self.probes.retain(|probe| probe.member != member);
        match self.members.get_mut(&member) {
            None => self.add(member, incarnation, now),
            Some(known) if known.incarnation < incarnation => {
                self.revive(member, incarnation, now);
            }
            Some(known) if known.dead_since.is_none() => known.touch(now),
            Some(_) => {}
        }
    }

    /// Applies updates from another gateway.
    pub fn apply_updates(&mut self, updates: &[Update], now: Instant) {
        for update in updates {
            if update.member == self.own {
                if update.is_dead && update.incarnation >= self.incarnation {
                    self.incarnation = update.incarnation + 1;
                }
                continue;
            }
            match (self.members.get(&update.member).copied(), update.is_dead) {
                (None, false) => self.add(update.member, update.incarnation, now),
                (None, true) => {}
                (Some(known), false) if update.incarnation > known.incarnation => {
                    self.revive(update.member, update.incarnation, now);
                }
                (Some(known), true)
                    if known.dead_since.is_none() && update.incarnation >= known.incarnation =>
                {
                    match now.millis_since(known.last_contact) < RECENT_CONTACT_MILLIS {
                        true => self.mark_reported_dead(update.member),
                        false => self.mark_dead(update.member, update.incarnation, now),
                    }
                }
                (Some(_), _) => {}
            }
        }
    }

    /// Records a peer's report of a death that recent contact contradicts.
    fn mark_reported_dead(&mut self, member: SocketAddr) {
        if let Some(known) = self.members.get_mut(&member) {
            known.is_reported_dead = true;
        }
    }

    /// Declares members dead that a peer reported dead and that had no contact since.
    fn expire_reported_dead(&mut self, now: Instant) {
        let is_expired = |state: &Member| {
            state.is_reported_dead && now.millis_since(state.last_contact) >= RECENT_CONTACT_MILLIS
        };
        let expired = self.members.iter().filter(|(_, state)| is_expired(state));
        let expired: Vec<(SocketAddr, u64)> = expired
            .map(|(member, state)| (*member, state.incarnation))
            .collect();
        for (member, incarnation) in expired {
            self.mark_dead(member, incarnation, now);
        }
    }

    fn add(&mut self, member: SocketAddr, incarnation: u64, now: Instant) {
        if member == self.own || self.members.len() >= MAX_MEMBERS {
            return;
        }
        let known = Member {
            incarnation,
            last_contact: now,
            is_reported_dead: false,
            dead_since: None,
            sends_left: self.initial_sends(),
        };
        self.members.insert(member, known);
    }

    fn revive(&mut self, member: SocketAddr, incarnation: u64, now: Instant) {
        let sends_left = self.initial_sends();
        if let Some(known) = self.members.get_mut(&member) {
            // Without a refuted death, others learn the incarnation from the member itself.
            let is_update = known.dead_since.is_some() || known.incarnation > 0;
            known.incarnation = known.incarnation.max(incarnation);
            known.dead_since = None;
            known.touch(now);
            known.sends_left = if is_update {
                sends_left
            } else {
                known.sends_left
            };
        }
    }

    fn mark_dead(&mut self, member: SocketAddr, incarnation: u64, now: Instant) {
        let sends_left = self.initial_sends();
        if let Some(known) = self.members.get_mut(&member) {
            known.incarnation = known.incarnation.max(incarnation);
            known.dead_since = Some(now);
            known.is_reported_dead = false;
            known.sends_left = sends_left;
            self.newly_dead.push(member);
        }
        self.probes.retain(|probe| probe.member != member);
    }

    /// Returns the members that were declared dead since the last call.
    pub fn take_newly_dead(&mut self) -> Vec<SocketAddr> {
        std::mem::take(&mut self.newly_dead)
    }

    fn initial_sends(&self) -> u32 {
        (self.members.len() as u32 + 2).ilog2() * SENDS_PER_DOUBLING
    }

    /// Returns the gateways to probe now.
    pub fn poll(&mut self, now: Instant) -> Vec<SocketAddr> {
        self.expire_reported_dead(now);
        let mut targets = self.retry_probes(now);
        let pending = self.members.values().filter(|known| known.sends_left > 0);
        let interval = match pending.count() > MAX_UPDATES {
            true => BACKLOG_PROBE_INTERVAL_MILLIS,
            false => PROBE_INTERVAL_MILLIS,
        };
        if now.millis_since(self.last_probe) >= interval {
            self.last_probe = now;
            self.drop_expired(now);
            if let Some(member) = self.next_to_probe() {
                let is_probed = self.probes.iter().any(|probe| probe.member == member);
                if !is_probed {
                    self.probes.push(Probe {
                        member,
                        first_sent: now,
                        last_sent: now,
                        attempts: 1,
                    });
                    targets.push(member);
                }
            }
        }
        targets
    }

    /// Returns the members to probe again after a timeout; declares those dead that exhausted their
    /// attempts.
    fn retry_probes(&mut self, now: Instant) -> Vec<SocketAddr> {
        let last_received = self.last_received;
        let mut to_retry = Vec::new();
        let mut dead = Vec::new();
        for probe in &mut self.probes {
            if now.millis_since(probe.last_sent) < REPLY_TIMEOUT_MILLIS {
                continue;
            }
            let is_isolated = now.millis_since(last_received) >= ISOLATION_MILLIS;
            let is_inconclusive = is_isolated || last_received < probe.first_sent;
            let last_contact = self
                .members
                .get(&probe.member)
                .map(|known| known.last_contact);
            let had_recent_contact = last_contact
                .is_some_and(|last_contact| now.millis_since(last_contact) < RECENT_CONTACT_MILLIS);
            if probe.attempts >= MAX_PROBE_ATTEMPTS && !is_inconclusive && !had_recent_contact {
                dead.push(probe.member);
                continue;
            }
            probe.last_sent = now;
            probe.attempts += 1;
            if is_isolated {
                probe.first_sent = now;
                probe.attempts = 1;
            }
            to_retry.push(probe.member);
        }
        for member in dead {
            let incarnation = self
                .members
                .get(&member)
                .map_or(0, |state| state.incarnation);
            self.mark_dead(member, incarnation, now);
        }
        to_retry
    }

    fn next_to_probe(&mut self) -> Option<SocketAddr> {
        loop {
            if self.unprobed.is_empty() {
                self.round_count += 1;
                self.unprobed = self.alive().collect();
                let subject = order::mix(order::hash(&self.own) ^ self.round_count);
                order::sort_by_score(subject, &mut self.unprobed, order::hash);
            }
            let member = self.unprobed.pop()?;
            if self.members.get(&member)?.dead_since.is_none() {
                return Some(member);
            }
        }
    }

    fn drop_expired(&mut self, now: Instant) {
        let is_kept = |state: &Member| {
            let is_expired =
                |dead_since: Instant| now.millis_since(dead_since) >= DEAD_RETENTION_MILLIS;
            !state.dead_since.is_some_and(is_expired)
        };
        self.members.retain(|_, state| is_kept(state));
    }

    /// Returns the updates for a message to `receiver`: its own death if it counts as dead, then
    /// the least often sent updates.
    pub fn updates_for(&mut self, receiver: SocketAddr) -> Vec<Update> {
        let to_update = |(member, known): (&SocketAddr, &Member)| Update {
            member: *member,
            incarnation: known.incarnation,
            is_dead: known.dead_since.is_some(),
        };
        let own = Update {
            member: self.own,
            incarnation: self.incarnation,
            is_dead: false,
        };
        let receiver_update = self.members.get_key_value(&receiver);
        let receiver_update = receiver_update
            .filter(|(_, known)| known.dead_since.is_some())
            .map(to_update);
        let mut updates: Vec<Update> = receiver_update.into_iter().chain([own]).collect();
        let pending = self
            .members
            .iter_mut()
            .filter(|(_, known)| known.sends_left > 0);
        let mut pending: Vec<(&SocketAddr, &mut Member)> = pending.collect();
        pending.sort_by_key(|(_, known)| std::cmp::Reverse(known.sends_left));
        for (member, known) in pending
            .into_iter()
            .take(MAX_UPDATES - EXTRA_MEMBERS - updates.len())
        {
            known.sends_left -= 1;
            updates.push(to_update((member, known)));
        }
        let extra = self.alive_from(self.extra_offset).take(EXTRA_MEMBERS);
        updates.extend(extra.map(to_update));
        self.extra_offset += EXTRA_MEMBERS;
        updates
    }

    /// Returns the live members, starting with the given index among all.
    fn alive_from(&self, number: usize) -> impl Iterator<Item = (&SocketAddr, &Member)> {
        let start = number % self.members.len().max(1);
        let members = self.members.iter().cycle().skip(start);
        let all_once = members.take(self.members.len());
        all_once.filter(|(_, known)| known.dead_since.is_none())
    }
}
