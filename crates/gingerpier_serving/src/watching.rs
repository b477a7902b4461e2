//! Selects which gateways of a zone watch the store, and from whom the others copy.
//!
//! A configuration may be large, and the store may be in another region behind a shared link and
//! counts each request. So a few gateways of each zone, the first in rendezvous order, watch the
//! store, and the others poll them. If views differ, a few more watch.
//!
//! More members read the store only gradually. A member that doesn't respond, or whose copy is
//! stale, is skipped; if no designated watcher is left, the next members in order replace them. As
//! a slow store or a congested link makes every copy stale, and more readers make that worse, each
//! further pair of members tolerates older copies, and a replacement first sends a small request
//! ([`Step::Probe`]). If that is slow too, stale members are accepted again for a while, once; then
//! the replacement reads the store anyway, as nobody else may reach it.
//!
//! A starting gateway requests a first copy from its neighbours. Only the first in order reads the
//! store if no neighbour has one.
//!
//! ```
//! use gingerpier_base::Instant;
//! use gingerpier_serving::watching::{Step, WatcherSelection};
//!
//! let own = "10.0.0.1:8000".parse().expect("an address");
//! let now = Instant::from_millis(1_000);
//! let mut watching = WatcherSelection::new(own, now);
//! // Waits for neighbours to be discovered.
//! assert!(matches!(watching.next_step(&[], false, now), Step::Wait(_)));
//! assert_eq!(watching.next_step(&[], false, now.after_millis(2_000)), Step::Store);
//! ```

use {
    gingerpier_base::{Instant, order},
    std::{cmp::Reverse, net::SocketAddr},
};

/// Members of a zone that watch the store.
pub const WATCHERS: usize = 2;

/// Members that read the store while no member of the zone has a copy; one, as a full copy may be
/// large.
const INITIAL_READERS: usize = 1;

/// Maximum milliseconds since a watcher's last response from the store for its copy to be accepted.
pub const MAX_AGE_MILLIS: u64 = 1_200;

/// Pairs of members, by rank, over which the accepted age grows.
const MAX_AGE_STEPS: usize = 5;

/// Milliseconds for which an unresponsive member is skipped.
const UNRESPONSIVE_SKIP_MILLIS: u64 = 3_000;

/// Milliseconds for which a member with a stale copy is skipped; short, as its next response from
/// the store may be on its way.
const STALE_SKIP_MILLIS: u64 = 1_000;

/// Maximum milliseconds of a probe of the store over an uncongested path.
const MAX_NORMAL_PROBE_MILLIS: u64 = 200;

/// Multiple of a slow probe's duration for which copies of any age are accepted.
const LENIENCY_PROBE_FACTOR: u64 = 2;

/// Maximum milliseconds for which copies of any age are accepted.
const MAX_LENIENCY_MILLIS: u64 = 1_000;

/// Milliseconds after which copies of any age may be accepted again.
const LENIENCY_INTERVAL_MILLIS: u64 = 8_000;

/// Milliseconds from the start within which a first neighbour is discovered, if there is one.
const FIRST_NEIGHBOUR_MILLIS: u64 = 300;

/// Milliseconds without a new neighbour after which all count as known.
const NEIGHBOURS_SETTLED_MILLIS: u64 = 120;

/// Maximum milliseconds from the start to wait for further neighbours.
const MAX_SETTLING_MILLIS: u64 = 400;

/// Milliseconds between checks for neighbours.
const NEIGHBOUR_CHECK_MILLIS: u64 = 20;

/// What to read next.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Step {
    /// Read the store, for changes or a full copy.
    Store,
    /// Ask the store only for its revision.
    Probe,
    /// Request changes from a member.
    Member(SocketAddr),
    /// Request a first copy from a member, which may have none.
    FirstCopy(SocketAddr),
    /// Do nothing before this time.
    Wait(Instant),
}

/// Why a member is skipped.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Failure {
    /// It did not respond.
    Silent,
    /// Its copy of the store is stale or missing.
    Old,
}

/// A member that failed, and the end of the time for which it is skipped.
#[derive(Debug, Clone, Copy)]
struct SkippedMember {
    member: SocketAddr,
    failure: Failure,
    until: Instant,
}

/// Returns the key by which members are ordered as watchers, lowest first.
fn rank_key(member: SocketAddr) -> (Reverse<u64>, SocketAddr) {
    (Reverse(order::hash(&member)), member)
}

/// Returns `own` and the other `members` of its zone in the order of watchers.
fn ranked(own: SocketAddr, members: impl Iterator<Item = SocketAddr>) -> Vec<SocketAddr> {
    let mut ranked: Vec<SocketAddr> = members.filter(|member| *member != own).collect();
    ranked.push(own);
    ranked.sort_by_cached_key(|member| rank_key(*member));
    ranked
}

/// Returns true if `own` is a designated watcher among the known `members` of its zone.
pub fn is_watcher(own: SocketAddr, members: impl Iterator<Item = SocketAddr>) -> bool {
    let mut ranked = ranked(own, members).into_iter().take(WATCHERS);
    ranked.any(|member| member == own)
}

/// Selects the source of one member's next read.
#[derive(Debug, Clone)]
pub struct WatcherSelection {
    own: SocketAddr,
    started: Instant,
    /// Known neighbours, and the time at which the last new one appeared.
    known_members: Vec<SocketAddr>,
    last_new_at: Instant,
    /// Neighbours that had no first copy.
    members_without_copy: Vec<SocketAddr>,
    skipped: Vec<SkippedMember>,
    /// Until when copies of any age are accepted, and from when on that may be repeated.
    any_age_until: Instant,
    next_leniency_at: Instant,
    /// Set by a probe that found the store ahead: this member may replace a watcher.
    may_replace_watcher: bool,
}

impl WatcherSelection {
    /// Creates the state of member `own`, which starts now.
    pub const fn new(own: SocketAddr, now: Instant) -> Self {
        Self {
            own,
            started: now,
            known_members: Vec::new(),
            last_new_at: now,
            members_without_copy: Vec::new(),
            skipped: Vec::new(),
            any_age_until: now,
            next_leniency_at: now,
            may_replace_watcher: false,
        }
    }

    /// Returns the next read; `members` are the known members of the zone, and `has_copy` tells
    /// whether this one has a copy of the store.
    pub fn next_step(&mut self, members: &[SocketAddr], has_copy: bool, now: Instant) -> Step {
        self.skipped.retain(|skip| !skip.until.has_passed(now));
        self.update_known_members(members, now);
        if !has_copy && !self.is_settled(now) {
            return self.request_first_copy(now);
        }
        let count = match has_copy {
            true => WATCHERS,
            false => INITIAL_READERS,
        };
        let ranked = ranked(self.own, members.iter().copied());
        if ranked.iter().take(count).any(|member| *member == self.own) {
            return Step::Store;
        }
        let (designated, replacements) = ranked.split_at(count.min(ranked.len()));
        let usable_of = |pool: &[SocketAddr]| -> Vec<SocketAddr> {
            let usable = pool
                .iter()
                .copied()
                .filter(|member| self.is_usable(*member));
            usable.take(count).collect()
        };
        let mut sources = usable_of(designated);
        if sources.is_empty() {
            sources = usable_of(replacements);
        }
        if !sources.contains(&self.own) {
            self.may_replace_watcher = false;
            // Spreads the members over the sources.
            let index = (order::mix(order::hash(&self.own)) % sources.len() as u64) as usize;
            return Step::Member(sources[index]);
        }
        match std::mem::take(&mut self.may_replace_watcher) {
            true => Step::Store,
            false => Step::Probe,
        }
    }

    /// Records that `member` is to be skipped.
    pub fn record_failure(&mut self, member: SocketAddr, failure: Failure, now: Instant) {
        let millis = match failure {
            Failure::Silent => UNRESPONSIVE_SKIP_MILLIS,
            Failure::Old => STALE_SKIP_MILLIS,
        };
        let until = now.after_millis(millis);
        self.skipped.push(SkippedMember {
            member,
            failure,
            until,
        });
    }

    /// Records that `member` had no first copy.
    pub fn record_missing_copy(&mut self, member: SocketAddr) {
        self.members_without_copy.push(member);
    }

    /// Records the result of [`Step::Probe`]: whether the store is ahead, and the duration of the
    /// probe.
    pub fn record_probe(&mut self, is_ahead: bool, millis: u64, now: Instant) {
        // A slow path to the store makes copies stale, but members unresponsive no more likely;
        // retrying those would only waste their timeouts.
        let is_stale = |skip: &SkippedMember| skip.failure == Failure::Old;
        let may_be_lenient =
            self.next_leniency_at.has_passed(now) && self.skipped.iter().any(is_stale);
        if millis > MAX_NORMAL_PROBE_MILLIS && may_be_lenient {
            let leniency_millis = (millis * LENIENCY_PROBE_FACTOR).min(MAX_LENIENCY_MILLIS);
            self.any_age_until = now.after_millis(leniency_millis);
            self.next_leniency_at = now.after_millis(LENIENCY_INTERVAL_MILLIS);
            self.skipped.retain(|skip| !is_stale(skip));
            return;
        }
        self.may_replace_watcher = is_ahead;
    }

    /// Returns the accepted milliseconds since the last response of the store to `member`.
    pub fn max_age_millis(&self, member: SocketAddr, now: Instant) -> u64 {
        if !self.any_age_until.has_passed(now) {
            return u64::MAX;
        }
        let age_steps = (self.rank(member) / WATCHERS).min(MAX_AGE_STEPS);
        (0..age_steps).fold(MAX_AGE_MILLIS, |age, _| age * 3 / 2)
    }

    /// Returns the number of members ahead of `member`, including skipped ones.
    fn rank(&self, member: SocketAddr) -> usize {
        let member_key = rank_key(member);
        let members = self.known_members.iter().chain([&self.own]);
        members
            .filter(|other| rank_key(**other) < member_key)
            .count()
    }

    fn is_usable(&self, member: SocketAddr) -> bool {
        !self.skipped.iter().any(|skip| skip.member == member)
    }

    fn update_known_members(&mut self, members: &[SocketAddr], now: Instant) {
        // Avoids the quadratic comparison at each call in a large zone.
        if self.known_members == members {
            return;
        }
        let has_new = members
            .iter()
            .any(|member| !self.known_members.contains(member));
        if has_new {
            self.last_new_at = now;
        }
        self.known_members = members
            .iter()
            .copied()
            .filter(|member| *member != self.own)
            .collect();
    }

    /// Returns true if no further neighbours are expected.
    fn is_settled(&self, now: Instant) -> bool {
        let age = now.millis_since(self.started);
        if self.known_members.is_empty() {
            return age >= FIRST_NEIGHBOUR_MILLIS;
        }
        let millis_since_new = now.millis_since(self.last_new_at);
        millis_since_new >= NEIGHBOURS_SETTLED_MILLIS || age >= MAX_SETTLING_MILLIS
    }

    fn request_first_copy(&self, now: Instant) -> Step {
        let members = self.known_members.iter().copied();
        let untried = members.filter(|member| !self.members_without_copy.contains(member));
        let next = untried.min_by_key(|member| rank_key(*member));
        next.map_or(
            Step::Wait(now.after_millis(NEIGHBOUR_CHECK_MILLIS)),
            Step::FirstCopy,
        )
    }
}
