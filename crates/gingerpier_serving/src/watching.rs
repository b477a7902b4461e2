//! Who watches the store, and whom the others ask.
//!
//! A configuration may be large, the store may be a region away behind a link that carries everything
//! else, too, and it counts each call. So a few gateways of each zone watch the store, and the others
//! are told by them. Who watches is a rendezvous order of the zone's members: no talk is needed, and
//! where views differ, some more watch.
//!
//! Who asks widens slowly. A member that does not answer, or whose word is old, is passed over, and where
//! none of those that are meant to watch is left, the next in order stand in. But a store that is slow or a
//! link that is full makes everybody's word old, and more askers make both worse: each pair that joins is
//! given half as much time again as the pair before it, and a stand-in first asks something small
//! ([`Step::Probe`]). Where even that takes long, it is the way to the store that is slow, and the members
//! whose words were old are trusted again for a while, once; then it stands in all the same, as nobody else
//! may reach the store.
//!
//! Who starts asks its neighbours for a first copy, and only the first in order asks the store where no
//! neighbour has one.
//!
//! ```
//! use gingerpier_base::Instant;
//! use gingerpier_serving::watching::{Step, Watching};
//!
//! let own = "10.0.0.1:8000".parse().expect("an address");
//! let now = Instant::from_millis(1_000);
//! let mut watching = Watching::new(own, now);
//! // Nobody else is known yet, but may be soon.
//! assert!(matches!(watching.next(&[], false, now), Step::Wait(_)));
//! assert_eq!(watching.next(&[], false, now.after_millis(2_000)), Step::Store);
//! ```

use {
    gingerpier_base::{Instant, order},
    std::{cmp::Reverse, net::SocketAddr},
};

/// Members of a zone that watch the store.
pub const WATCHERS: usize = 2;

/// Members that ask the store where nobody of the zone has a copy: a link between regions carries a
/// megabyte in half a second.
const FIRST_READERS: usize = 1;

/// Milliseconds since the store's last word above which a watcher's word does not count.
pub const MOST_AGE_MILLIS: u64 = 1_200;

/// Pairs of members that are given more time than the pair before them.
const MOST_PAIRS: usize = 5;

/// Milliseconds for which a member that did not answer is passed over.
const SILENT_MILLIS: u64 = 3_000;

/// Milliseconds for which a member whose word was old is passed over: its answer may be on its way.
const OLD_MILLIS: u64 = 1_000;

/// Milliseconds that a small answer of the store takes at most where the way there is sound: twenty
/// crossings between regions.
const SOUND_MILLIS: u64 = 200;

/// Times that a small answer took for which words of any age are accepted then: what is on its way to those
/// that are meant to watch stands in the same queue.
const LENIENT_ANSWERS: u64 = 2;

/// Most milliseconds for which words of any age are accepted.
const MOST_LENIENT_MILLIS: u64 = 1_000;

/// Milliseconds after which they may be accepted again.
const LENIENT_EVERY_MILLIS: u64 = 8_000;

/// Milliseconds from the start within which a first neighbour is heard of, where there is one.
const ALONE_MILLIS: u64 = 300;

/// Milliseconds without a new neighbour after which all are taken to be known.
const SETTLED_MILLIS: u64 = 120;

/// Milliseconds from the start after which nobody waits for more neighbours.
const MOST_SETTLING_MILLIS: u64 = 400;

/// Milliseconds between looks for neighbours.
const LOOK_MILLIS: u64 = 20;

/// Whom to ask next.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Step {
    /// The store, for what is new or for everything.
    Store,
    /// The store, for how far it is.
    Probe,
    /// A member, for what is new there.
    Member(SocketAddr),
    /// A member, for a first copy, which it may not have.
    FirstCopy(SocketAddr),
    /// Nobody before then.
    Wait(Instant),
}

/// Why a member's word does not count.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Failure {
    /// It did not answer.
    Silent,
    /// What it knows of the store is old, or nothing.
    Old,
}

/// A member that failed, and until when it is passed over.
#[derive(Debug, Clone, Copy)]
struct PassedOver {
    member: SocketAddr,
    failure: Failure,
    until: Instant,
}

/// Place of `member` in the order in which members watch the store; the least comes first.
fn place(member: SocketAddr) -> (Reverse<u64>, SocketAddr) {
    (Reverse(order::hash(&member)), member)
}

/// `own` and the `members` of its zone, in the order in which they watch the store.
fn ranked(own: SocketAddr, members: impl Iterator<Item = SocketAddr>) -> Vec<SocketAddr> {
    let mut ranked: Vec<SocketAddr> = members.filter(|member| *member != own).collect();
    ranked.push(own);
    ranked.sort_by_cached_key(|member| place(*member));
    ranked
}

/// True where `own` is among those of its zone that watch the store; `members` are the others that
/// are known.
pub fn is_watcher(own: SocketAddr, members: impl Iterator<Item = SocketAddr>) -> bool {
    let mut ranked = ranked(own, members).into_iter().take(WATCHERS);
    ranked.any(|member| member == own)
}

/// What one member of a zone decides.
#[derive(Debug, Clone)]
pub struct Watching {
    own: SocketAddr,
    started: Instant,
    /// Neighbours known, and when one was new last.
    known: Vec<SocketAddr>,
    newest_at: Instant,
    /// Neighbours that were asked for a first copy and had none.
    without_copy: Vec<SocketAddr>,
    passed_over: Vec<PassedOver>,
    /// Until when words of any age are accepted, and from when on they may be again.
    lenient_until: Instant,
    lenient_again: Instant,
    /// True where a small answer has shown that the store is ahead.
    may_stand_in: bool,
}

impl Watching {
    /// State of the member `own`, which starts now and knows nothing yet.
    pub const fn new(own: SocketAddr, now: Instant) -> Self {
        Self {
            own,
            started: now,
            known: Vec::new(),
            newest_at: now,
            without_copy: Vec::new(),
            passed_over: Vec::new(),
            lenient_until: now,
            lenient_again: now,
            may_stand_in: false,
        }
    }

    /// Whom to ask next; `members` are those of the zone that are known, and `has_copy` tells whether
    /// this one has a copy of the store already.
    pub fn next(&mut self, members: &[SocketAddr], has_copy: bool, now: Instant) -> Step {
        self.passed_over.retain(|one| !one.until.has_passed(now));
        self.note_known(members, now);
        if !has_copy && !self.is_settled(now) {
            return self.ask_for_first_copy(now);
        }
        let count = match has_copy {
            true => WATCHERS,
            false => FIRST_READERS,
        };
        let ranked = ranked(self.own, members.iter().copied());
        if ranked.iter().take(count).any(|member| *member == self.own) {
            return Step::Store;
        }
        let (meant, others) = ranked.split_at(count.min(ranked.len()));
        let trusted = |pool: &[SocketAddr]| -> Vec<SocketAddr> {
            let trusted = pool.iter().copied().filter(|one| self.is_trusted(*one));
            trusted.take(count).collect()
        };
        let mut asked = trusted(meant);
        if asked.is_empty() {
            asked = trusted(others);
        }
        if !asked.contains(&self.own) {
            self.may_stand_in = false;
            // Members spread over those that are asked.
            let index = (order::mix(order::hash(&self.own)) % asked.len() as u64) as usize;
            return Step::Member(asked[index]);
        }
        match std::mem::take(&mut self.may_stand_in) {
            true => Step::Store,
            false => Step::Probe,
        }
    }

    /// Notes that the word of `member` does not count.
    pub fn note_failure(&mut self, member: SocketAddr, failure: Failure, now: Instant) {
        let millis = match failure {
            Failure::Silent => SILENT_MILLIS,
            Failure::Old => OLD_MILLIS,
        };
        let until = now.after_millis(millis);
        self.passed_over.push(PassedOver {
            member,
            failure,
            until,
        });
    }

    /// Notes that `member` has no copy of the store.
    pub fn note_without_copy(&mut self, member: SocketAddr) {
        self.without_copy.push(member);
    }

    /// Notes what came of [`Step::Probe`], which took `millis`: whether the store is ahead.
    pub fn note_probe(&mut self, is_ahead: bool, millis: u64, now: Instant) {
        // A slow way makes words old. It makes nobody silent, and to ask those again would cost twice the time
        // that a member may take, 1.3 s, without news.
        let is_old = |one: &PassedOver| one.failure == Failure::Old;
        let may_wait = self.lenient_again.has_passed(now) && self.passed_over.iter().any(is_old);
        if millis > SOUND_MILLIS && may_wait {
            let lenient = (millis * LENIENT_ANSWERS).min(MOST_LENIENT_MILLIS);
            self.lenient_until = now.after_millis(lenient);
            self.lenient_again = now.after_millis(LENIENT_EVERY_MILLIS);
            self.passed_over.retain(|one| !is_old(one));
            return;
        }
        self.may_stand_in = is_ahead;
    }

    /// Milliseconds since the store's last word up to which the word of `member` counts.
    pub fn most_age_millis(&self, member: SocketAddr, now: Instant) -> u64 {
        if !self.lenient_until.has_passed(now) {
            return u64::MAX;
        }
        let pair = (self.rank(member) / WATCHERS).min(MOST_PAIRS);
        (0..pair).fold(MOST_AGE_MILLIS, |age, _| age * 3 / 2)
    }

    /// Members ahead of `member`, those that are passed over included.
    fn rank(&self, member: SocketAddr) -> usize {
        let its_place = place(member);
        let others = self.known.iter().chain([&self.own]);
        others.filter(|other| place(**other) < its_place).count()
    }

    fn is_trusted(&self, member: SocketAddr) -> bool {
        !self.passed_over.iter().any(|one| one.member == member)
    }

    fn note_known(&mut self, members: &[SocketAddr], now: Instant) {
        // A large zone is not compared each with each at every question.
        if self.known == members {
            return;
        }
        let has_new = members.iter().any(|member| !self.known.contains(member));
        if has_new {
            self.newest_at = now;
        }
        self.known = members
            .iter()
            .copied()
            .filter(|one| *one != self.own)
            .collect();
    }

    /// True where no more neighbours are waited for.
    fn is_settled(&self, now: Instant) -> bool {
        let age = now.millis_since(self.started);
        if self.known.is_empty() {
            return age >= ALONE_MILLIS;
        }
        let quiet = now.millis_since(self.newest_at);
        quiet >= SETTLED_MILLIS || age >= MOST_SETTLING_MILLIS
    }

    fn ask_for_first_copy(&self, now: Instant) -> Step {
        let known = self.known.iter().copied();
        let not_asked = known.filter(|one| !self.without_copy.contains(one));
        let next = not_asked.min_by_key(|one| place(*one));
        next.map_or(Step::Wait(now.after_millis(LOOK_MILLIS)), Step::FirstCopy)
    }
}
