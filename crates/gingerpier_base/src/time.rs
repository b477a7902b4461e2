//! Instants of one process and stamps of the world.
//!
//! [`Instant`] counts milliseconds from an arbitrary start and is only compared with instants of
//! the same process. [`Stamp`] is wall-clock time, for people; no decision rests on it.

use minicbor::{Decode, Encode};

/// A point on one process's monotonic clock, in milliseconds.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default, Encode, Decode)]
#[cbor(transparent)]
pub struct Instant(#[n(0)] u64);

impl Instant {
    /// Instant `millis` milliseconds after the start of the clock.
    pub const fn from_millis(millis: u64) -> Self {
        Self(millis)
    }

    /// Milliseconds since the start of the clock.
    pub const fn as_millis(self) -> u64 {
        self.0
    }

    /// Instant `millis` milliseconds later.
    #[must_use]
    pub const fn after_millis(self, millis: u64) -> Self {
        Self(self.0.saturating_add(millis))
    }

    /// Milliseconds from `earlier` to `self`; zero where `earlier` is later.
    pub const fn millis_since(self, earlier: Self) -> u64 {
        self.0.saturating_sub(earlier.0)
    }

    /// True from the instant itself on.
    pub const fn has_passed(self, now: Self) -> bool {
        now.0 >= self.0
    }
}

/// Wall-clock time in milliseconds since the Unix epoch.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default, Encode, Decode)]
#[cbor(transparent)]
pub struct Stamp(#[n(0)] u64);

impl Stamp {
    /// Stamp from milliseconds since the Unix epoch.
    pub const fn from_unix_millis(millis: u64) -> Self {
        Self(millis)
    }

    /// Milliseconds since the Unix epoch.
    pub const fn as_unix_millis(self) -> u64 {
        self.0
    }
}
