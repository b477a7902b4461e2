//! Whether an entry that is missing in the store means that its engine has left.
//!
//! While the store is away, engines can't renew their entries, and some lapse. On its return all that
//! a gateway hears is that keys are gone; engines that live write them again within about two seconds. To take
//! them off at once leaves callers without engines meanwhile.
//!
//! The revision at which the store's first answer finds it divides the two cases: what went up to there may have
//! lapsed, and what goes behind it was taken away by a store that is up. A list tells no revision of
//! what it lacks, so nothing that it lacks counts in those two seconds.
//!
//! Whether the store was away is known from calls that failed, or from another gateway whose calls did.
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
//! outage.note_answer(Revision(7), at(1_000));
//! outage.note_failure(at(1_400));
//! outage.note_failure(at(8_700));
//! outage.note_answer(Revision(20), at(9_000));
//! let lapsed = Absence::Event(Revision(15));
//! assert_eq!(outage.lapses_at(lapsed, at(9_100)), Some(at(11_000)));
//! let left = Absence::Event(Revision(21));
//! assert_eq!(outage.lapses_at(left, at(9_100)), None);
//! ```

use {crate::mirror::Revision, gingerpier_base::Instant};

/// Milliseconds from the store's return within which engines that live have written their entries
/// again. An engine that left serves on for two seconds at least, so none that did is sent work for longer.
const BACK_MILLIS: u64 = 2_000;

/// Most milliseconds between a call that failed and the next one: the store may return right behind the first, and is
/// noticed with the second.
pub const MOST_PAUSE_MILLIS: u64 = 1_000;

/// Milliseconds from the end of a call that failed for which entries may be missing because of it: engines have all of their
/// time from the return, whenever that was, and three seconds from the return at most, by which everybody has to know again
/// who has left. Where it was shorter than the pause and that time together, engines were refused 0.8 s after the return.
const EXCUSED_MILLIS: u64 = MOST_PAUSE_MILLIS + BACK_MILLIS;

/// Milliseconds without a word of the store below which no entry lapses: an engine writes three times while
/// its entry lives, every few hundred milliseconds.
const LEAST_AWAY_MILLIS: u64 = 1_000;

/// How a key was found to be gone.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Absence {
    /// It went at this revision.
    Event(Revision),
    /// A list of all keys lacks it.
    Listed,
}

/// The store's return.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Return {
    /// Revision at which its first answer found it.
    pub revision: Revision,
    /// Until when entries that lapsed may come back.
    pub until: Instant,
}

/// What a gateway knows of the store's outages.
#[derive(Debug, Clone, Copy, Default)]
pub struct Outage {
    /// Last moment at which the store is known to have answered this gateway or another one.
    last_word: Option<Instant>,
    /// When a call failed last; none where one was answered since.
    failed: Option<Instant>,
    last_return: Option<Return>,
}

impl Outage {
    /// Notes that a call failed.
    pub fn note_failure(&mut self, now: Instant) {
        self.failed = Some(now);
    }

    /// Notes that the store answered another gateway at `at`.
    pub fn note_word(&mut self, at: Instant) {
        self.last_word = self.last_word.max(Some(at));
    }

    /// Notes an answer of the store, which is at `revision`.
    pub fn note_answer(&mut self, revision: Revision, now: Instant) {
        let last_word = self.last_word.replace(now);
        let (Some(failed), Some(last_word)) = (self.failed.take(), last_word) else {
            return;
        };
        if now.millis_since(last_word) < LEAST_AWAY_MILLIS {
            return;
        }
        let back = now.after_millis(BACK_MILLIS);
        let excused = failed.after_millis(EXCUSED_MILLIS);
        self.take(Return {
            revision,
            until: back.min(excused),
        });
    }

    /// Notes a return that another gateway told of. That one may have been cut off alone: whoever knows that
    /// the store answered meanwhile takes nothing of it.
    pub fn note_told(&mut self, told: Return, now: Instant) {
        let was_away = |word: Instant| now.millis_since(word) >= LEAST_AWAY_MILLIS;
        if self.last_word.is_none_or(was_away) {
            self.take(told);
        }
    }

    /// The last return, while entries that lapsed before it may come back.
    pub fn last_return(&self, now: Instant) -> Option<Return> {
        self.last_return.filter(|one| !one.until.has_passed(now))
    }

    /// Until when an engine whose key is gone is to be kept; none where it has left.
    pub fn lapses_at(&self, absence: Absence, now: Instant) -> Option<Instant> {
        let last = self.last_return(now)?;
        let may_come_back = match absence {
            Absence::Event(revision) => revision <= last.revision,
            Absence::Listed => true,
        };
        may_come_back.then_some(last.until)
    }

    fn take(&mut self, one: Return) {
        if self.last_return.is_none_or(|last| last.until < one.until) {
            self.last_return = Some(one);
        }
    }
}
