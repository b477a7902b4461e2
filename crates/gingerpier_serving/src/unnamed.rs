//! Weights that operators have not named.
//!
//! Engines may hold weights from their start that nobody ever named. Where all of them are lost at once, no process knows
//! of any version, and whoever waits for another one's word waits for good. One source is left that needs no memory: the
//! origin says what it has. So gateways ask it ([`Search`]), one of a zone after the other, and tell loaders what there
//! is. A loader that nobody tells asks the origin itself after a while ([`Patience`]).
//!
//! Every wait here ends with time alone, never with word of another process, so no two of them can wait for each other.

use {crate::report::Version, gingerpier_base::Instant};

/// What a process knows of the weights of one model.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct Known {
    /// Newest version that operators named.
    pub named: Option<Version>,
    /// Newest version that the origin was found to have.
    pub found: Option<Version>,
    /// Newest version that an engine was said to hold.
    pub held: Option<Version>,
}

impl Known {
    /// Version that engines are to hold; none where nothing is known of any. What the origin was found to have goes
    /// before what engines were said to hold, which may be no longer to be had.
    pub fn wanted(self) -> Option<Version> {
        self.named.or(self.found).or(self.held)
    }

    /// True where `version` may be had, as far as known: it was named, or the origin was not found to have another one.
    pub fn may_be_had(self, version: Version) -> bool {
        self.named.is_some() || self.found.is_none_or(|found| found == version)
    }
}

/// Milliseconds from the moment at which nothing is known of any weights until the first gateway of a zone asks the
/// origin. Where everything starts, reports of engines that still hold something come within some 0.5 s of each other.
const SETTLE_MILLIS: u64 = 600;

/// Milliseconds by which each further gateway of a zone asks later: an answer of the origin, two reads of some 5 KB, and
/// a word to loaders and on to the other gateways take less than half of it.
const TURN_MILLIS: u64 = 800;

/// Places in the order of a zone that are told apart; all later ones wait as long as the last of these.
const MOST_TURNS: u32 = 8;

/// Milliseconds without a further chunk after which weights that some process knows of count as not to be had.
const STUCK_MILLIS: u64 = 3_000;

/// Milliseconds of the first pause after the origin did not answer; it doubles with each further one.
const RETRY_MILLIS: u64 = 250;

/// Most times that the pause doubles: an origin that is back is found within 2 s.
const MOST_DOUBLINGS: u32 = 3;

/// What one gateway sees of the weights of a model that were never named.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Seen {
    /// True where some engine lacks weights; none were named.
    pub is_lacking: bool,
    /// True where some version is known.
    pub is_known: bool,
    /// True where the version that engines are to hold is here whole.
    pub is_whole: bool,
    /// Chunks of the model that are here.
    pub chunks: usize,
    /// Gateways of the zone that ask before this one.
    pub rank: u32,
}

/// When one gateway asks the origin what it has.
#[derive(Debug, Clone, Copy, Default)]
pub struct Search {
    /// When it asks next; none where nothing is lacking.
    due: Option<Instant>,
    was_known: bool,
    chunks: usize,
    failures: u32,
}

impl Search {
    /// True where the origin is to be asked now.
    pub fn is_due(&mut self, seen: &Seen, now: Instant) -> bool {
        if !seen.is_lacking || seen.is_whole {
            *self = Self::default();
            return false;
        }
        let turn = u64::from(seen.rank.min(MOST_TURNS)) * TURN_MILLIS;
        let has_moved = self.due.is_none() || seen.chunks != self.chunks;
        if has_moved || seen.is_known != self.was_known {
            let wait = match seen.is_known {
                true => STUCK_MILLIS,
                false => SETTLE_MILLIS,
            };
            self.due = Some(now.after_millis(wait + turn));
            self.chunks = seen.chunks;
            self.was_known = seen.is_known;
        }
        self.due.is_some_and(|due| due.has_passed(now))
    }

    /// Notes that the origin did not say what it has; `draw` is any number.
    pub fn note_failure(&mut self, now: Instant, draw: u64) {
        let pause = RETRY_MILLIS << self.failures.min(MOST_DOUBLINGS);
        self.failures += 1;
        self.due = Some(now.after_millis(pause / 2 + draw % (pause / 2)));
    }

    /// Notes that the origin said what it has.
    pub fn note_found(&mut self, now: Instant) {
        self.failures = 0;
        self.due = Some(now.after_millis(STUCK_MILLIS));
    }
}

/// Milliseconds for which a loader waits for gateways that it hears to tell what there is. Several turns of theirs fit
/// into it; those that run an older program never tell.
const TOLD_WITHIN_MILLIS: u64 = 6_000;

/// Milliseconds for which a loader waits to hear a gateway: where everything starts, all are heard within some 1 s.
const HEARD_WITHIN_MILLIS: u64 = 2_000;

/// Milliseconds over which loaders spread their own questions to the origin.
const SPREAD_MILLIS: u64 = 1_000;

/// How long a loader whose engine lacks weights, and which knows of none, waits for others.
#[derive(Debug, Clone, Copy, Default)]
pub struct Patience {
    since: Option<Instant>,
}

impl Patience {
    /// Notes that weights are known or not wanted.
    pub const fn end(&mut self) {
        self.since = None;
    }

    /// True where the loader asks the origin itself what it has; `place` is its own number, `hears` tells whether
    /// a gateway is heard.
    pub fn is_over(&mut self, hears: bool, place: u64, now: Instant) -> bool {
        let since = *self.since.get_or_insert(now);
        let wait = match hears {
            true => TOLD_WITHIN_MILLIS,
            false => HEARD_WITHIN_MILLIS,
        };
        since
            .after_millis(wait + place % SPREAD_MILLIS)
            .has_passed(now)
    }
}
