//! Which gateways of one zone live, as they find out themselves.
//!
//! Each gateway probes one other each period, in an order of its own that passes through all. Whoever answers none of
//! several probes is gone, unless loaders named it lately, or the prober hears nobody at all: silence that all share says
//! nothing about one of them.
//! News (who is there, who is gone) travel with probes and their answers, each a number of times that grows with the
//! logarithm of the zone, so that the messages of one gateway do not grow with the zone and all know of a change after
//! some rounds. A gateway that hears of its own end says so with a higher incarnation, which counts for more.
//!
//! ```
//! use gingerpier_base::Instant;
//! use gingerpier_serving::liveness::Liveness;
//!
//! let address = |number: u8| std::net::SocketAddr::from(([10, 0, 0, number], 7700));
//! let mut one = Liveness::new(address(1), 1, Instant::from_millis(0));
//! one.note_named(address(2), Instant::from_millis(10));
//! // Nobody has said that it is gone.
//! assert_eq!(one.living().collect::<Vec<_>>(), [address(2)]);
//! assert_eq!(one.poll(Instant::from_millis(1_000)), [address(2)]);
//! ```

use {
    gingerpier_base::{Instant, order},
    std::{collections::BTreeMap, net::SocketAddr},
};

/// Milliseconds between probes of one gateway.
const PERIOD_MILLIS: u64 = 500;

/// The same while more news wait than one message holds, as at a start of everything.
const NEWS_PERIOD_MILLIS: u64 = 100;

/// Milliseconds after which a probe without an answer is repeated.
const ANSWER_MILLIS: u64 = 400;

/// Probes without an answer after which a gateway is gone.
const MAX_PROBES: u32 = 5;

/// Milliseconds from the last word of a gateway, or its last name, within which it is not gone, whatever is lost.
const SEEN_MILLIS: u64 = 2_500;

/// Milliseconds after which a name of a gateway that is gone is newer than its end: loaders name whoever asked them within
/// [`PERIOD_MILLIS`] times five.
const NAMED_LATE_MILLIS: u64 = 5 * PERIOD_MILLIS + ANSWER_MILLIS;

/// Milliseconds for which a gateway that is gone is remembered.
const GONE_MEMORY_MILLIS: u64 = 60_000;

/// News in one message: some 20 bytes each, so that a message stays below one packet.
pub const MAX_NEWS: usize = 24;

/// Milliseconds without a word of anybody after which a gateway is cut off, or stood still itself: four messages are usual
/// in that time.
const ALONE_MILLIS: u64 = 2 * PERIOD_MILLIS;

/// Members that a message names beyond news, others each time: whatever was lost is made up for so.
const NAMED_BESIDE: usize = 8;

/// Times that one gateway passes news on, for each doubling of the zone.
const SENDS_A_DOUBLING: u32 = 2;

/// Gateways of a zone that are remembered: names come from messages.
const MAX_MEMBERS: usize = 4_096;

/// News of a gateway.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct News {
    /// Gateway.
    pub member: SocketAddr,
    /// Its incarnation.
    pub incarnation: u64,
    /// True where it is gone.
    pub is_gone: bool,
}

/// A gateway of the zone.
#[derive(Debug, Clone, Copy)]
struct Member {
    incarnation: u64,
    /// When it was heard of last.
    seen: Instant,
    /// True where another found it gone since.
    is_doubted: bool,
    /// When it was found gone; none while it lives.
    gone: Option<Instant>,
    /// Times that its news are still to be passed on.
    sends: u32,
}

impl Member {
    const fn note_seen(&mut self, now: Instant) {
        self.seen = now;
        self.is_doubted = false;
    }
}

/// A probe that was not answered yet.
#[derive(Debug, Clone, Copy)]
struct Probe {
    member: SocketAddr,
    /// When the first of its repetitions was sent, and the last.
    begun: Instant,
    sent: Instant,
    count: u32,
}

/// What one gateway knows of those of its zone.
#[derive(Debug, Clone)]
pub struct Liveness {
    own: SocketAddr,
    incarnation: u64,
    members: BTreeMap<SocketAddr, Member>,
    /// Members that are still to be probed in this round, the next one last.
    round: Vec<SocketAddr>,
    rounds: u64,
    probes: Vec<Probe>,
    probed: Instant,
    /// When anybody was heard last.
    heard: Instant,
    /// Members that were named beside news so far.
    named_beside: usize,
    /// Members that were found gone since they were asked for.
    ended: Vec<SocketAddr>,
}

impl Liveness {
    /// State of the gateway `own`, which starts now; `incarnation` should rise with each of its starts.
    pub const fn new(own: SocketAddr, incarnation: u64, now: Instant) -> Self {
        Self {
            own,
            incarnation,
            members: BTreeMap::new(),
            round: Vec::new(),
            rounds: 0,
            probes: Vec::new(),
            probed: now,
            heard: now,
            named_beside: 0,
            ended: Vec::new(),
        }
    }

    /// Its incarnation.
    pub const fn incarnation(&self) -> u64 {
        self.incarnation
    }

    /// Other gateways that live, as far as known.
    pub fn living(&self) -> impl Iterator<Item = SocketAddr> {
        let living = self.members.iter().filter(|(_, one)| one.gone.is_none());
        living.map(|(member, _)| *member)
    }

    /// Gateways that are remembered, this one included, those that are gone as well.
    pub fn known_count(&self) -> usize {
        self.members.len() + 1
    }

    /// Notes that anybody was heard.
    pub fn note_heard(&mut self, now: Instant) {
        self.heard = self.heard.max(now);
    }

    /// Notes a gateway that somebody named, who may have heard of it some time ago.
    pub fn note_named(&mut self, member: SocketAddr, now: Instant) {
        match self.members.get_mut(&member) {
            None => self.add(member, 0, now),
            Some(known) => {
                let is_newer = |gone: Instant| now.millis_since(gone) > NAMED_LATE_MILLIS;
                if known.gone.is_some_and(is_newer) {
                    self.revive(member, 0, now);
                } else if known.gone.is_none() {
                    known.note_seen(now);
                }
            }
        }
    }

    /// Notes a message of `member` itself. One that counts as gone in that incarnation is told so with the next message to
    /// it, and comes back with a higher one, which others believe as well.
    pub fn note_alive(&mut self, member: SocketAddr, incarnation: u64, now: Instant) {
        self.note_heard(now);
        if member == self.own {
            return;
        }
        self.probes.retain(|probe| probe.member != member);
        match self.members.get_mut(&member) {
            None => self.add(member, incarnation, now),
            Some(known) if known.incarnation < incarnation => {
                self.revive(member, incarnation, now);
            }
            Some(known) if known.gone.is_none() => known.note_seen(now),
            Some(_) => {}
        }
    }

    /// Takes news that another gateway passed on.
    pub fn take(&mut self, news: &[News], now: Instant) {
        for one in news {
            if one.member == self.own {
                if one.is_gone && one.incarnation >= self.incarnation {
                    self.incarnation = one.incarnation + 1;
                }
                continue;
            }
            match (self.members.get(&one.member).copied(), one.is_gone) {
                (None, false) => self.add(one.member, one.incarnation, now),
                (None, true) => {}
                (Some(known), false) if one.incarnation > known.incarnation => {
                    self.revive(one.member, one.incarnation, now);
                }
                (Some(known), true)
                    if known.gone.is_none() && one.incarnation >= known.incarnation =>
                {
                    match now.millis_since(known.seen) < SEEN_MILLIS {
                        true => self.doubt(one.member),
                        false => self.end(one.member, one.incarnation, now),
                    }
                }
                (Some(_), _) => {}
            }
        }
    }

    /// Notes that another found a member gone that was heard of here lately.
    fn doubt(&mut self, member: SocketAddr) {
        if let Some(known) = self.members.get_mut(&member) {
            known.is_doubted = true;
        }
    }

    /// Ends the members that others found gone and that have not been heard of since.
    fn end_doubted(&mut self, now: Instant) {
        let is_over = |one: &Member| one.is_doubted && now.millis_since(one.seen) >= SEEN_MILLIS;
        let over = self.members.iter().filter(|(_, one)| is_over(one));
        let over: Vec<(SocketAddr, u64)> = over
            .map(|(member, one)| (*member, one.incarnation))
            .collect();
        for (member, incarnation) in over {
            self.end(member, incarnation, now);
        }
    }

    fn add(&mut self, member: SocketAddr, incarnation: u64, now: Instant) {
        if member == self.own || self.members.len() >= MAX_MEMBERS {
            return;
        }
        let known = Member {
            incarnation,
            seen: now,
            is_doubted: false,
            gone: None,
            sends: self.send_count(),
        };
        self.members.insert(member, known);
    }

    fn revive(&mut self, member: SocketAddr, incarnation: u64, now: Instant) {
        let sends = self.send_count();
        if let Some(known) = self.members.get_mut(&member) {
            // Others know its incarnation from itself, unless it had to deny its end.
            let is_news = known.gone.is_some() || known.incarnation > 0;
            known.incarnation = known.incarnation.max(incarnation);
            known.gone = None;
            known.note_seen(now);
            known.sends = if is_news { sends } else { known.sends };
        }
    }

    fn end(&mut self, member: SocketAddr, incarnation: u64, now: Instant) {
        let sends = self.send_count();
        if let Some(known) = self.members.get_mut(&member) {
            known.incarnation = known.incarnation.max(incarnation);
            known.gone = Some(now);
            known.is_doubted = false;
            known.sends = sends;
            self.ended.push(member);
        }
        self.probes.retain(|probe| probe.member != member);
    }

    /// Members that were found gone since this was asked last.
    pub fn take_ended(&mut self) -> Vec<SocketAddr> {
        std::mem::take(&mut self.ended)
    }

    fn send_count(&self) -> u32 {
        (self.members.len() as u32 + 2).ilog2() * SENDS_A_DOUBLING
    }

    /// Gateways to probe now.
    pub fn poll(&mut self, now: Instant) -> Vec<SocketAddr> {
        self.end_doubted(now);
        let mut probed = self.repeat(now);
        let waiting = self.members.values().filter(|known| known.sends > 0);
        let period = match waiting.count() > MAX_NEWS {
            true => NEWS_PERIOD_MILLIS,
            false => PERIOD_MILLIS,
        };
        if now.millis_since(self.probed) >= period {
            self.probed = now;
            self.forget(now);
            if let Some(member) = self.next_of_round() {
                let is_probed = self.probes.iter().any(|probe| probe.member == member);
                if !is_probed {
                    self.probes.push(Probe {
                        member,
                        begun: now,
                        sent: now,
                        count: 1,
                    });
                    probed.push(member);
                }
            }
        }
        probed
    }

    /// Members whose probes were not answered in time, to be probed again; those that answered none are gone.
    fn repeat(&mut self, now: Instant) -> Vec<SocketAddr> {
        let heard = self.heard;
        let mut again = Vec::new();
        let mut gone = Vec::new();
        for probe in &mut self.probes {
            if now.millis_since(probe.sent) < ANSWER_MILLIS {
                continue;
            }
            let is_cut_off = now.millis_since(heard) >= ALONE_MILLIS;
            let is_alone = is_cut_off || heard < probe.begun;
            let seen = self.members.get(&probe.member).map(|known| known.seen);
            let is_seen = seen.is_some_and(|seen| now.millis_since(seen) < SEEN_MILLIS);
            if probe.count >= MAX_PROBES && !is_alone && !is_seen {
                gone.push(probe.member);
                continue;
            }
            probe.sent = now;
            probe.count += 1;
            if is_cut_off {
                probe.begun = now;
                probe.count = 1;
            }
            again.push(probe.member);
        }
        for member in gone {
            let incarnation = self.members.get(&member).map_or(0, |one| one.incarnation);
            self.end(member, incarnation, now);
        }
        again
    }

    fn next_of_round(&mut self) -> Option<SocketAddr> {
        loop {
            if self.round.is_empty() {
                self.rounds += 1;
                self.round = self.living().collect();
                let subject = order::mix(order::hash(&self.own) ^ self.rounds);
                order::sort_by_score(subject, &mut self.round, order::hash);
            }
            let member = self.round.pop()?;
            if self.members.get(&member)?.gone.is_none() {
                return Some(member);
            }
        }
    }

    fn forget(&mut self, now: Instant) {
        let is_kept = |one: &Member| {
            let is_over = |gone: Instant| now.millis_since(gone) >= GONE_MEMORY_MILLIS;
            !one.gone.is_some_and(is_over)
        };
        self.members.retain(|_, one| is_kept(one));
    }

    /// News to pass on in a message to `receiver`: what it must know of itself, then those that were passed on least.
    pub fn news_for(&mut self, receiver: SocketAddr) -> Vec<News> {
        let news = |(member, known): (&SocketAddr, &Member)| News {
            member: *member,
            incarnation: known.incarnation,
            is_gone: known.gone.is_some(),
        };
        let own = News {
            member: self.own,
            incarnation: self.incarnation,
            is_gone: false,
        };
        let about = self.members.get_key_value(&receiver);
        let about = about.filter(|(_, known)| known.gone.is_some()).map(news);
        let mut told: Vec<News> = about.into_iter().chain([own]).collect();
        let waiting = self.members.iter_mut().filter(|(_, known)| known.sends > 0);
        let mut waiting: Vec<(&SocketAddr, &mut Member)> = waiting.collect();
        waiting.sort_by_key(|(_, known)| std::cmp::Reverse(known.sends));
        for (member, known) in waiting
            .into_iter()
            .take(MAX_NEWS - NAMED_BESIDE - told.len())
        {
            known.sends -= 1;
            told.push(news((member, known)));
        }
        let beside = self.living_from(self.named_beside).take(NAMED_BESIDE);
        told.extend(beside.map(news));
        self.named_beside += NAMED_BESIDE;
        told
    }

    /// Members that live, beginning with the one of that number among all.
    fn living_from(&self, number: usize) -> impl Iterator<Item = (&SocketAddr, &Member)> {
        let start = number % self.members.len().max(1);
        let members = self.members.iter().cycle().skip(start);
        let all_once = members.take(self.members.len());
        all_once.filter(|(_, known)| known.gone.is_none())
    }
}
