//! Finds the version of weights to load for models without a release.
//!
//! Engines may hold weights from their start that were never released. If all processes that know
//! the version lose it at once, waiting for a peer never ends, and only the origin still knows what
//! it has. So gateways ask the origin ([`OriginPoll`]), by rank within their zone, and pass its version
//! on to loaders. A loader that gets none asks the origin itself after a while ([`OriginFallback`]).
//!
//! Each wait ends by timeout alone and never depends on a message, so no two processes can wait for
//! each other.

use {crate::report::Version, gingerpier_base::Instant};

/// Known versions of one model's weights.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct Known {
    /// Newest released version.
    pub named: Option<Version>,
    /// Newest version that the origin reported.
    pub found: Option<Version>,
    /// Newest version that an engine reported to hold.
    pub held: Option<Version>,
}

impl Known {
    /// Returns the version that engines should hold; none if no version is known. The origin's
    /// version takes precedence over those of engines, which may no longer be available.
    pub fn target(self) -> Option<Version> {
        self.named.or(self.found).or(self.held)
    }

    /// Returns true unless `version` is known to be unavailable: nothing is released, and the
    /// origin reported another version.
    pub fn may_be_available(self, version: Version) -> bool {
        self.named.is_some() || self.found.is_none_or(|found| found == version)
    }
}

/// Milliseconds without a known version after which the first gateway of a zone asks the origin; at
/// a cold start, reports of engines with weights arrive by then. They arrive within about 0.5 s of
/// each other.
const INITIAL_DELAY_MILLIS: u64 = 600;

/// Additional delay in milliseconds per gateway of the zone that asks first; longer than a response
/// of the origin takes to reach the others.
const RANK_DELAY_MILLIS: u64 = 800;

/// Rank from which on the delay no longer grows.
const MAX_DELAYED_RANK: u32 = 8;

/// Milliseconds without a new chunk after which a known version counts as unavailable.
const NO_PROGRESS_MILLIS: u64 = 3_000;

/// First retry delay in milliseconds; doubles with each failure.
const INITIAL_RETRY_MILLIS: u64 = 250;

/// Maximum doublings of the retry delay. An origin that is back is found within 2 s.
const MAX_DOUBLINGS: u32 = 3;

/// A gateway's observation of a model without a release.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Seen {
    /// True if some engine lacks weights and nothing is released.
    pub is_lacking: bool,
    /// True if some version is known.
    pub is_known: bool,
    /// True if all chunks of the wanted version are here.
    pub is_whole: bool,
    /// Number of chunks of the model that are here.
    pub chunks: usize,
    /// Number of gateways of the zone that ask before this one.
    pub rank: u32,
}

/// Schedule of one gateway's requests to the origin.
#[derive(Debug, Clone, Copy, Default)]
pub struct OriginPoll {
    /// Time of the next request; none if no engine lacks weights.
    due_at: Option<Instant>,
    was_known: bool,
    chunks: usize,
    failures: u32,
}

impl OriginPoll {
    /// Returns true if the origin should be asked now.
    pub fn is_due(&mut self, seen: &Seen, now: Instant) -> bool {
        if !seen.is_lacking || seen.is_whole {
            *self = Self::default();
            return false;
        }
        let rank_delay_millis = u64::from(seen.rank.min(MAX_DELAYED_RANK)) * RANK_DELAY_MILLIS;
        let has_progressed = self.due_at.is_none() || seen.chunks != self.chunks;
        if has_progressed || seen.is_known != self.was_known {
            let wait_millis = match seen.is_known {
                true => NO_PROGRESS_MILLIS,
                false => INITIAL_DELAY_MILLIS,
            };
            self.due_at = Some(now.after_millis(wait_millis + rank_delay_millis));
            self.chunks = seen.chunks;
            self.was_known = seen.is_known;
        }
        self.due_at.is_some_and(|due_at| due_at.has_passed(now))
    }

    /// Records a failed request to the origin; `draw` is a random number for jitter.
    pub fn record_failure(&mut self, now: Instant, draw: u64) {
        let retry_millis = INITIAL_RETRY_MILLIS << self.failures.min(MAX_DOUBLINGS);
        self.failures += 1;
        self.due_at = Some(now.after_millis(retry_millis / 2 + draw % (retry_millis / 2)));
    }

    /// Records a response of the origin.
    pub fn record_response(&mut self, now: Instant) {
        self.failures = 0;
        self.due_at = Some(now.after_millis(NO_PROGRESS_MILLIS));
    }
}

/// Milliseconds for which a loader waits for a version from reachable gateways. Covers several
/// turns of theirs; gateways of an older version never report one.
const REACHABLE_GATEWAY_WAIT_MILLIS: u64 = 6_000;

/// Milliseconds for which a loader waits for a gateway to become reachable. At a cold start, all
/// gateways are reachable within about 1 s.
const NO_GATEWAY_WAIT_MILLIS: u64 = 2_000;

/// Milliseconds over which loaders spread their requests to the origin.
const REQUEST_SPREAD_MILLIS: u64 = 1_000;

/// How long a loader whose engine lacks weights waits before it asks the origin itself.
#[derive(Debug, Clone, Copy, Default)]
pub struct OriginFallback {
    waiting_since: Option<Instant>,
}

impl OriginFallback {
    /// Ends the wait, as a version is known or none is needed.
    pub const fn reset(&mut self) {
        self.waiting_since = None;
    }

    /// Returns true once the loader should ask the origin itself; `own_number` spreads the loaders
    /// over time.
    pub fn is_over(&mut self, is_gateway_reachable: bool, own_number: u64, now: Instant) -> bool {
        let waiting_since = *self.waiting_since.get_or_insert(now);
        let wait_millis = match is_gateway_reachable {
            true => REACHABLE_GATEWAY_WAIT_MILLIS,
            false => NO_GATEWAY_WAIT_MILLIS,
        };
        waiting_since
            .after_millis(wait_millis + own_number % REQUEST_SPREAD_MILLIS)
            .has_passed(now)
    }
}
