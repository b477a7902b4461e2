//! Decides when a gateway writes the manifest of a model's weights to the platform's store.
//!
//! Engines' staged chunks survive a crash of all processes, and nothing but the manifest tells
//! whether they are complete and intact. With the origin as its only permanent holder, an outage of
//! the origin would keep all engines from loading weights that they already have.
//!
//! One gateway writes for all. The others wait longer by their rank, and most of them see the write
//! in their mirror before their turn. The store rejects the write of a second one, as each write
//! names the revision that it replaces. What is on hold is written on the same schedule.
//!
//! ```
//! use gingerpier_base::Instant;
//! use gingerpier_serving::{manifest_keeping::{Observed, Schedule}, report::Version};
//!
//! let observed = Observed { wanted: Some(Version(2)), kept: Some(Version(1)), rank: 0 };
//! let mut schedule = Schedule::default();
//! let now = Instant::from_millis(0);
//! assert!(!schedule.is_due(&observed, now), "the manifest may be on its way");
//! assert!(schedule.is_due(&observed, now.after_millis(1_000)));
//! ```

use {crate::report::Version, gingerpier_base::Instant};

/// Milliseconds before the gateway that ranks first writes. By then gateways that fetch a release
/// have its manifest, and a starting gateway has discovered others.
const INITIAL_DELAY_MILLIS: u64 = 1_000;

/// Additional delay in milliseconds for each gateway that ranks higher; longer than a write takes to
/// reach the mirrors of all zones.
const RANK_DELAY_MILLIS: u64 = 2_000;

/// First retry delay in milliseconds; doubles with each failure.
const INITIAL_RETRY_MILLIS: u64 = 500;

/// Maximum doublings of the retry delay, which limit it to 16 s.
const MAX_DOUBLINGS: u32 = 5;

/// Milliseconds after a write by which the mirror shows it.
const CONFIRMATION_MILLIS: u64 = 5_000;

/// A gateway's observation of one model.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Observed {
    /// Version whose manifest a recovery would need: the newest release, or else the newest version
    /// that an engine has loaded; none if neither is known.
    pub wanted: Option<Version>,
    /// Version of the manifest in the store; none if there is none or it can't be read.
    pub kept: Option<Version>,
    /// Number of live gateways that write before this one.
    pub rank: u32,
}

impl Observed {
    /// Returns true if the store lacks the manifest of the wanted version.
    pub fn is_lacking(&self) -> bool {
        self.wanted > self.kept
    }
}

/// Schedule of one gateway's writes for one model.
#[derive(Debug, Clone, Copy, Default)]
pub struct Schedule {
    /// Time of the next write; none if the store lacks nothing, or can't keep what it lacks.
    due_at: Option<Instant>,
    wanted: Option<Version>,
    failures: u32,
}

impl Schedule {
    /// Returns true if the manifest of the wanted version should be written now.
    pub fn is_due(&mut self, observed: &Observed, now: Instant) -> bool {
        if !observed.is_lacking() {
            *self = Self::default();
            return false;
        }
        if self.wanted != observed.wanted {
            let rank_delay_millis = u64::from(observed.rank) * RANK_DELAY_MILLIS;
            *self = Self {
                due_at: Some(now.after_millis(INITIAL_DELAY_MILLIS + rank_delay_millis)),
                wanted: observed.wanted,
                failures: 0,
            };
        }
        self.due_at.is_some_and(|due_at| due_at.has_passed(now))
    }

    /// Records that the origin or the store gave no usable response; `draw` is a random number for
    /// jitter.
    pub fn record_failure(&mut self, now: Instant, draw: u64) {
        let retry_millis = INITIAL_RETRY_MILLIS << self.failures.min(MAX_DOUBLINGS);
        self.failures += 1;
        self.due_at = Some(now.after_millis(retry_millis / 2 + draw % (retry_millis / 2)));
    }

    /// Ends the writes until another version is wanted, as this manifest can't be kept.
    pub const fn stop(&mut self) {
        self.due_at = None;
    }

    /// Records that the store has accepted this write or, as it conflicts, that of another gateway.
    pub fn record_response(&mut self, now: Instant) {
        self.failures = 0;
        self.due_at = Some(now.after_millis(CONFIRMATION_MILLIS));
    }
}
