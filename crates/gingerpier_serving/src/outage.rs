//! Decides whether an engine entry that is missing in the store was removed or merely expired
//! during an outage.
//!
//! While the store is unreachable, engines can't renew their entries, and some expire. After the
//! store's recovery a gateway sees only deleted keys, although running engines write them again
//! within about two seconds.
//!
//! Deletions up to the revision of the first response after an outage may be expired entries and
//! are excused; later ones are removals. A list has no revisions for missing keys, so all that it
//! lacks are excused.
//!
//! An outage is detected by failed requests of this gateway, or reported by a peer. A store that comes
//! back from an older copy lacks entries even without a failed request; the first copy of its new era
//! counts as a recovery.
//!
//! ```
//! use gingerpier_base::Instant;
//! use gingerpier_serving::{
//!     mirror::Revision,
//!     outage::{Absence, Outage},
//! };
//!
//! let at = Instant::from_millis;
//! let mut outage = Outage::default();
//! outage.record_response(Revision::new(7), at(1_000));
//! outage.record_failure(at(1_400));
//! outage.record_failure(at(8_700));
//! outage.record_response(Revision::new(20), at(9_000));
//! let expired = Absence::Event(Revision::new(15));
//! assert_eq!(outage.excused_until(expired, at(9_100)), Some(at(11_000)));
//! let removed = Absence::Event(Revision::new(21));
//! assert_eq!(outage.excused_until(removed, at(9_100)), None);
//! ```

use {crate::mirror::Revision, gingerpier_base::Instant};

/// Milliseconds after a recovery within which running engines have written their entries again. An
/// engine that is leaving serves for at least 2 s, so that none of them receives requests for
/// longer.
const REWRITE_MILLIS: u64 = 2_000;

/// Longest pause between a failed request and the next one; bounds the delay with which a recovery
/// is noticed. A store that recovers right after a failed request is noticed with the next one.
pub const MAX_RETRY_PAUSE_MILLIS: u64 = 1_000;

/// Milliseconds after a failed request for which missing entries are excused: the longest delay of
/// detection, plus the time for engines to write their entries.
const EXCUSE_MILLIS: u64 = MAX_RETRY_PAUSE_MILLIS + REWRITE_MILLIS;

/// Milliseconds without a response of the store that count as an outage; shorter ones let no entry
/// expire. An engine writes its entry three times within the life of the entry.
const MIN_OUTAGE_MILLIS: u64 = 1_000;

/// How a key was found to be missing.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Absence {
    /// Deleted at this revision.
    Event(Revision),
    /// Not contained in a list of all keys.
    Listed,
    /// Not contained in the first list of a new era, as it was written after the copy from which the
    /// store came back.
    Restored,
}

/// A recovery of the store.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Recovery {
    /// Revision of the first response.
    pub revision: Revision,
    /// Time until which expired entries are excused.
    pub until: Instant,
}

/// Detects outages of the store.
#[derive(Debug, Clone, Copy, Default)]
pub struct Outage {
    /// Time of the last response of the store to this gateway or a peer.
    last_response_at: Option<Instant>,
    /// Time of the last failed request; none since a response.
    failed_at: Option<Instant>,
    last_recovery: Option<Recovery>,
}

impl Outage {
    /// Records a failed request.
    pub fn record_failure(&mut self, now: Instant) {
        self.failed_at = Some(now);
    }

    /// Records that the store is in a new era since `revision`.
    pub fn record_new_era(&mut self, revision: Revision, now: Instant) {
        self.last_recovery = Some(Recovery {
            revision,
            until: now.after_millis(REWRITE_MILLIS),
        });
    }

    /// Records that the store responded to a peer at `at`.
    pub fn record_peer_response(&mut self, at: Instant) {
        self.last_response_at = self.last_response_at.max(Some(at));
    }

    /// Records a response of the store at `revision`.
    pub fn record_response(&mut self, revision: Revision, now: Instant) {
        let last_response_at = self.last_response_at.replace(now);
        let (Some(failed_at), Some(last_response_at)) = (self.failed_at.take(), last_response_at)
        else {
            return;
        };
        if now.millis_since(last_response_at) < MIN_OUTAGE_MILLIS {
            return;
        }
        let rewritten_by = now.after_millis(REWRITE_MILLIS);
        let excuse_ends_at = failed_at.after_millis(EXCUSE_MILLIS);
        self.replace_if_later(Recovery {
            revision,
            until: rewritten_by.min(excuse_ends_at),
        });
    }

    /// Records a recovery that a peer reported, unless the store has responded meanwhile, as then
    /// only that peer was cut off.
    pub fn record_peer_recovery(&mut self, reported: Recovery, now: Instant) {
        let had_outage = |response_at: Instant| now.millis_since(response_at) >= MIN_OUTAGE_MILLIS;
        if self.last_response_at.is_none_or(had_outage) {
            self.replace_if_later(reported);
        }
    }

    /// Returns the last recovery while expired entries are excused.
    pub fn last_recovery(&self, now: Instant) -> Option<Recovery> {
        self.last_recovery
            .filter(|recovery| !recovery.until.has_passed(now))
    }

    /// Returns the time until which an engine with a missing entry is kept; none if it was removed.
    pub fn excused_until(&self, absence: Absence, now: Instant) -> Option<Instant> {
        let recovery = self.last_recovery(now)?;
        let is_excused = match absence {
            Absence::Event(revision) => revision <= recovery.revision,
            Absence::Listed | Absence::Restored => true,
        };
        is_excused.then_some(recovery.until)
    }

    fn replace_if_later(&mut self, recovery: Recovery) {
        if self
            .last_recovery
            .is_none_or(|known| known.until < recovery.until)
        {
            self.last_recovery = Some(recovery);
        }
    }
}
