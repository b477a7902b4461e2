//! Tracks released weights and the time from which the rollout bound counts.
//!
//! The bound runs from the store's acknowledgement of a release, which no process observes; a
//! release is noticed later, over links that may be congested and between polls. So the bound
//! counts from the earliest possible time of the release: the last time at which the local copy was
//! known to be complete ([`Freshness`]). A response only proves what the store held when the
//! request was sent. A peer adds the age of its own copy ([`PeerAge`]).
//!
//! Each source has its own lower bound of the release time, and the latest of them counts. A source
//! that reports repeatedly counts with its earliest bound, as that report had the least delay.

use {crate::report::Version, gingerpier_base::Instant};

/// Longest time by which a release is assumed to precede its discovery, so that engines keep time
/// to fetch the new weights. A longer time would close engines before newer weights can be loaded,
/// which takes about 3 s for 20 engines.
const MAX_BACKDATE_MILLIS: u64 = 2_000;

/// Divisor of the bound that also limits the time before the discovery; the rest is left for
/// fetching weights and for staggered updates.
const BACKDATE_BOUND_DIVISOR: u64 = 3;

/// Milliseconds before the operators' bound at which older weights stop serving: the time that a
/// request may take from the choice of an engine to its start there. The longest time seen was 1.4
/// s, through a queue that had just filled, of which the choice of an engine accounts for 0.4 s.
const START_MARGIN_MILLIS: u64 = 1_200;

/// Milliseconds after the start of a process for which older weights may serve where the release
/// may precede that start.
const RESTART_GRACE_MILLIS: u64 = 3_000;

/// Age of the data that a peer returned.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PeerAge {
    /// Milliseconds for which the peer held the request before it responded.
    pub held_millis: u64,
    /// Milliseconds, at the time of the response, since the peer's copy was known to be complete.
    pub age_millis: u64,
}

/// Last time at which the local copy of the store was known to be complete.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct Freshness(Option<Instant>);

impl Freshness {
    /// Records that a response of the store to a request sent at `requested_at` was applied.
    pub fn record_response(&mut self, requested_at: Instant) {
        self.0 = self.0.max(Some(requested_at));
    }

    /// Records that a peer's response, received at `now` to a request sent at `requested_at`, was applied.
    pub fn record_peer_response(&mut self, requested_at: Instant, peer_age: PeerAge, now: Instant) {
        let responded_at = requested_at.after_millis(peer_age.held_millis).min(now);
        let fresh = responded_at.as_millis().saturating_sub(peer_age.age_millis);
        self.record_response(Instant::from_millis(fresh));
    }

    /// Returns the milliseconds since the copy was known to be complete; none if it never was.
    pub fn age(self, now: Instant) -> Option<u64> {
        self.0.map(|fresh| now.millis_since(fresh))
    }

    /// Returns the earliest possible release time of weights discovered at `now`, limited by how
    /// far back the bound of `within_millis` counts.
    pub fn earliest_release(self, within_millis: u64, now: Instant) -> Instant {
        let max_backdate = MAX_BACKDATE_MILLIS.min(within_millis / BACKDATE_BOUND_DIVISOR);
        let earliest_counted = Instant::from_millis(now.as_millis().saturating_sub(max_backdate));
        self.0
            .map_or(earliest_counted, |fresh| fresh.clamp(earliest_counted, now))
    }

    /// Returns when older weights expire if the release may precede `running_since`, the start of
    /// this process or its resumption after a suspension; none if it was later. An existing copy
    /// proves nothing, as it may be empty or stale.
    pub fn restart_expiry(self, running_since: Instant, within_millis: u64) -> Option<Instant> {
        let grace_until = running_since.after_millis(RESTART_GRACE_MILLIS);
        match self.0 {
            Some(fresh) if fresh >= running_since => None,
            Some(fresh) => Some(grace_until.max(fresh.after_millis(serving_millis(within_millis)))),
            None => Some(grace_until),
        }
    }
}

/// Released weights.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Release {
    /// Version.
    pub version: Version,
    /// Time of discovery.
    pub discovered_at: Instant,
    /// Earliest possible release time, from which the bound counts.
    pub released_at: Instant,
    /// When older weights expire, if the release may precede the start of this process.
    pub restart_expiry: Option<Instant>,
}

impl Release {
    /// Returns the time from which on older weights may start no request, for a bound of
    /// `within_millis`.
    pub fn expires_at(&self, within_millis: u64) -> Instant {
        self.restart_expiry
            .unwrap_or_else(|| self.released_at.after_millis(serving_millis(within_millis)))
    }
}

/// Returns the milliseconds after a release for which older weights may serve.
const fn serving_millis(within_millis: u64) -> u64 {
    within_millis.saturating_sub(START_MARGIN_MILLIS)
}

/// Process that reported a release, by any unique number.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Reporter(pub u64);

/// This process, by its own responses from the store.
pub const LOCAL: Reporter = Reporter(0);

/// Sources kept per release.
const MAX_REPORTERS: usize = 64;

/// A release, with the earliest possible release time by each source.
#[derive(Debug, Clone)]
struct Entry {
    release: Release,
    earliest_by_reporter: Vec<(Reporter, Instant)>,
}

impl Entry {
    fn record_reporter(&mut self, reporter: Reporter, earliest_release: Instant) {
        let index = self
            .earliest_by_reporter
            .iter()
            .position(|(known, _)| *known == reporter);
        match index {
            Some(index) => {
                self.earliest_by_reporter[index].1 =
                    earliest_release.min(self.earliest_by_reporter[index].1)
            }
            None if self.earliest_by_reporter.len() < MAX_REPORTERS => {
                self.earliest_by_reporter.push((reporter, earliest_release))
            }
            None => return,
        }
        let latest = self
            .earliest_by_reporter
            .iter()
            .map(|(_, earliest_release)| *earliest_release)
            .max();
        let discovered_at = self.release.discovered_at;
        self.release.released_at = latest.map_or(discovered_at, |latest| latest.min(discovered_at));
    }
}

/// Released weights of one model, by rising version.
#[derive(Debug, Clone, Default)]
pub struct Releases(Vec<Entry>);

impl Releases {
    /// Records a report by `reporter` at `now` that `version` was released at `earliest_release` or later;
    /// returns true if it is newer than all known versions.
    pub fn record(
        &mut self,
        version: Version,
        reporter: Reporter,
        earliest_release: Instant,
        now: Instant,
    ) -> bool {
        let mut known = self.0.iter_mut();
        if let Some(known) = known.find(|known| known.release.version == version) {
            known.record_reporter(reporter, earliest_release);
            return false;
        }
        if self.newest().is_some_and(|newest| newest.version > version) {
            return false;
        }
        let mut entry = Entry {
            release: Release {
                version,
                discovered_at: now,
                released_at: now,
                restart_expiry: None,
            },
            earliest_by_reporter: Vec::new(),
        };
        entry.record_reporter(reporter, earliest_release);
        self.0.push(entry);
        true
    }

    /// Sets when weights older than the newest release expire, if it may precede the start of this
    /// process.
    pub fn set_restart_expiry(&mut self, due: Option<Instant>) {
        if let Some(newest) = self.0.last_mut() {
            newest.release.restart_expiry = due;
        }
    }

    /// Returns the newest release.
    pub fn newest(&self) -> Option<&Release> {
        self.0.last().map(|entry| &entry.release)
    }

    /// Returns all releases, oldest first.
    pub fn iter(&self) -> impl Iterator<Item = &Release> {
        self.0.iter().map(|entry| &entry.release)
    }
}
