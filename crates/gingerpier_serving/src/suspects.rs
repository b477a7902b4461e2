//! Detects requests that crash the engines that run them, and decides which are no longer sent.
//!
//! When an engine crashes, each request that ran there is a suspect, and at most one of them caused
//! the crash. The state is a set of (request, engine) crashes that gateways merge, so the order,
//! loss and repetition of messages don't matter. A complete response to the same request from any
//! engine refutes its crashes. A request is held back from the fourth attributed crash on.
//!
//! ```
//! use {
//!     gingerpier_base::Instant,
//!     gingerpier_serving::{
//!         mark::Mark,
//!         report::Version,
//!         suspects::{End, Incarnation, Standing, Suspects},
//!     },
//! };
//!
//! let mark = Mark([7; 16]);
//! let mut suspects = Suspects::default();
//! for engine in 0..4 {
//!     let at = Instant::from_millis(engine * 500);
//!     let engine = Incarnation(engine);
//!     suspects.note_end(End { mark, account: 0, engine, version: Version(1), at }, 12);
//! }
//! assert_eq!(suspects.judge(Instant::from_millis(3_000)), [mark]);
//! assert_eq!(suspects.standing(mark), Standing::Held);
//! suspects.note_cleared(mark, Version(1));
//! assert_eq!(suspects.standing(mark), Standing::Clear);
//! ```

use {
    crate::{
        fleet::Record,
        mark::Mark,
        report::{Born, Version},
    },
    gingerpier_base::{Instant, order},
    std::{
        cmp::Reverse,
        collections::{BTreeMap, BTreeSet, HashMap, VecDeque},
    },
};

/// Attributed crashes from which on a request is held back; with three, unlucky innocent requests
/// were held back too.
pub const HOLD_MIN_CRASHES: usize = 4;

/// Unrefuted crashes from which on a request is held back even where other requests explain them;
/// otherwise requests that crash engines at the same time would exonerate each other.
pub const UNCONDITIONAL_HOLD_MIN_CRASHES: usize = 5;

/// Unrefuted crashes from which on a request is a suspect and its case is replicated to all
/// gateways.
const SUSPECT_MIN_CRASHES: usize = 2;

/// Crashes at most this far apart count as simultaneous.
const COMMON_FAILURE_WINDOW_MILLIS: u64 = 50;

/// Simultaneous crashes that count as a common failure, such as a power loss, rather than the
/// effect of a request: at least this many, and at least one in [`COMMON_FAILURE_DIVISOR`] of the
/// service's engines.
const COMMON_FAILURE_MIN_ENGINES: usize = 3;
const COMMON_FAILURE_DIVISOR: usize = 8;

/// Age from which on a crash is attributed: reports from all gateways with requests at that engine
/// have arrived by then.
pub const JUDGED_AFTER_MILLIS: u64 = 15;

/// Crashes kept to detect common failures.
const MAX_RECENT_CRASHES: usize = 256;

/// Requests with a case; some 450 bytes each.
const MAX_CASES: usize = 1_024;

/// Divisor of [`MAX_CASES`] that yields the limit of one client account, so that a flooding account
/// evicts only its own.
const ACCOUNT_LIMIT_DIVISOR: usize = 8;

/// Crashes kept per request.
const MAX_CRASHES_PER_REQUEST: usize = 16;

/// Requests whose complete responses are remembered; some 60 bytes each.
const MAX_SUCCEEDED: usize = 4_096;

/// Identifies one run of an engine among gateways: a hash of its id and start time.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Incarnation(pub u64);

impl Incarnation {
    /// Returns the incarnation that is listed as `record` and started at `born`.
    pub fn of(record: &Record, born: Option<Born>) -> Self {
        let start = born.map_or(0, |born| born.0);
        Self(order::mix(order::hash(&record.id) ^ order::mix(start)))
    }
}

/// A crash of an engine while it ran a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct End {
    /// Fingerprint of the request.
    pub mark: Mark,
    /// Hash of the client account of the request.
    pub account: u32,
    /// Engine that crashed.
    pub engine: Incarnation,
    /// Version of the engine's weights; 0 for none.
    pub version: Version,
    /// Time of detection.
    pub at: Instant,
}

/// Effect of a reported crash or response.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Noted {
    /// Already known, or dropped.
    Known,
    /// Recorded as new.
    News,
    /// Refuted by a complete response from weights of this version; the reporter should be told.
    Refuted(Version),
}

/// Whether and how a request may be sent.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Standing {
    /// No unrefuted crashes.
    Clear,
    /// One unrefuted crash: sent as a trial, preferably to an engine without another trial.
    Noted,
    /// Several unrefuted crashes, but fewer than hold it back: sent as a trial, only to an engine
    /// without another trial.
    Suspect,
    /// Held back.
    Held,
}

/// Crashes of one request and what refutes them.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Case {
    /// Hash of the client account.
    pub account: u32,
    /// Crashes while the request ran.
    pub ends: Vec<End>,
    /// Newest version of weights that gave a complete response.
    pub cleared: Option<Version>,
    /// Engines whose crashes an operator dismissed.
    pub pardoned: BTreeSet<Incarnation>,
}

impl Case {
    const fn new(account: u32) -> Self {
        Self {
            account,
            ends: Vec::new(),
            cleared: None,
            pardoned: BTreeSet::new(),
        }
    }

    /// Returns the crashes that neither a response nor an operator refutes.
    fn unrefuted_crashes(&self) -> impl Iterator<Item = &End> {
        self.ends.iter().filter(|end| {
            let is_refuted = self.cleared.is_some_and(|cleared| cleared >= end.version);
            !is_refuted && !self.pardoned.contains(&end.engine)
        })
    }

    fn last_crash_at(&self) -> Instant {
        let times = self.ends.iter().map(|end| end.at);
        times.max().unwrap_or_default()
    }

    /// Hashes the content independently of the order in which it was learnt.
    fn digest(&self, mark: Mark) -> u64 {
        let ends = self.ends.iter().map(|end| order::mix(end.engine.0));
        let pardoned = self.pardoned.iter().map(|one| order::mix(!one.0));
        let all = ends.chain(pardoned).fold(0, |all, one| all ^ one);
        let cleared = self.cleared.map_or(0, |version| version.0 + 1);
        order::mix(all ^ order::hash(&mark) ^ order::mix(cleared))
    }
}

/// Requests that recently received a complete response, evicted in insertion order.
#[derive(Debug, Clone, Default)]
struct Succeeded {
    versions: HashMap<Mark, Version>,
    order: VecDeque<Mark>,
}

impl Succeeded {
    fn note(&mut self, mark: Mark, version: Version) {
        if let Some(known) = self.versions.get_mut(&mark) {
            *known = version.max(*known);
            return;
        }
        if self.order.len() >= MAX_SUCCEEDED
            && let Some(oldest) = self.order.pop_front()
        {
            self.versions.remove(&oldest);
        }
        self.order.push_back(mark);
        self.versions.insert(mark, version);
    }
}

/// Crash cases of all requests.
#[derive(Debug, Clone, Default)]
pub struct Suspects {
    /// Ordered, so that evaluation is deterministic.
    cases: BTreeMap<Mark, Case>,
    succeeded: Succeeded,
    /// Recent engine crashes, newest first.
    recent_crashes: VecDeque<EngineCrash>,
    /// Requests held back as of the last evaluation.
    held: BTreeSet<Mark>,
    /// Time of the next evaluation; none if nothing is pending.
    next_evaluation: Option<Instant>,
}

#[derive(Debug, Clone, Copy)]
struct EngineCrash {
    engine: Incarnation,
    at: Instant,
    fleet_size: usize,
}

impl Suspects {
    /// Records that an engine of a service with `fleet_size` engines crashed while it ran a
    /// request.
    pub fn note_end(&mut self, end: End, fleet_size: usize) -> Noted {
        if !self
            .recent_crashes
            .iter()
            .any(|known| known.engine == end.engine)
        {
            self.recent_crashes.truncate(MAX_RECENT_CRASHES - 1);
            self.recent_crashes.push_front(EngineCrash {
                engine: end.engine,
                at: end.at,
                fleet_size,
            });
        }
        let succeeded = self.succeeded.versions.get(&end.mark).copied();
        let case = self.cases.get(&end.mark);
        let cleared = succeeded.max(case.and_then(|case| case.cleared));
        if let Some(version) = cleared.filter(|version| *version >= end.version) {
            return Noted::Refuted(version);
        }
        if case.is_some_and(|case| case.ends.iter().any(|known| known.engine == end.engine)) {
            return Noted::Known;
        }
        if case.is_none() && !self.make_room(end.account) {
            return Noted::Known;
        }
        let case = self.cases.entry(end.mark);
        let case = case.or_insert_with(|| Case::new(end.account));
        if case.ends.len() >= MAX_CRASHES_PER_REQUEST {
            return Noted::Known;
        }
        case.ends.push(end);
        // A later crash must not postpone the evaluation of this one.
        let settles_at = end.at.after_millis(JUDGED_AFTER_MILLIS);
        self.next_evaluation = Some(
            self.next_evaluation
                .map_or(settles_at, |known| known.min(settles_at)),
        );
        Noted::News
    }

    /// Returns when [`Self::judge`] is due; none if nothing is pending.
    pub const fn judges_at(&self) -> Option<Instant> {
        self.next_evaluation
    }

    /// Recomputes which requests are held back and returns the new ones. Only crashes that are at
    /// least [`JUDGED_AFTER_MILLIS`] old count.
    ///
    /// A crash is caused by one request, so once a request is held back, its crashes no longer
    /// count against the others that ran there. Requests are visited by most crashes without
    /// company, then most attributed crashes, then least company.
    pub fn judge(&mut self, now: Instant) -> Vec<Mark> {
        let ends = self.cases.values().flat_map(|case| &case.ends);
        let settles_at = ends.map(|end| end.at.after_millis(JUDGED_AFTER_MILLIS));
        self.next_evaluation = settles_at.filter(|at| !at.has_passed(now)).min();
        let is_settled = |end: &&End| end.at.after_millis(JUDGED_AFTER_MILLIS).has_passed(now);
        let may_be_held = |case: &&Case| {
            case.unrefuted_crashes()
                .filter(is_settled)
                .nth(HOLD_MIN_CRASHES - 1)
                .is_some()
        };
        let mut requests_by_engine: BTreeMap<Incarnation, Vec<Mark>> = BTreeMap::new();
        for (mark, case) in &self.cases {
            if case
                .unrefuted_crashes()
                .nth(SUSPECT_MIN_CRASHES - 1)
                .is_some()
            {
                for end in case.unrefuted_crashes() {
                    requests_by_engine
                        .entry(end.engine)
                        .or_default()
                        .push(*mark);
                }
            }
        }
        let co_running_count = |end: &End| {
            requests_by_engine
                .get(&end.engine)
                .map_or(0, |marks| marks.len() - 1)
        };
        let no_engines = BTreeSet::new();
        let mut candidates = Vec::new();
        for (mark, case) in self.cases.iter().filter(|(_, case)| may_be_held(case)) {
            let sole_count = case
                .unrefuted_crashes()
                .filter(|end| co_running_count(end) == 0)
                .count();
            let attributed_crash_count = self.attributed_crash_count(case, &no_engines, now);
            let co_running_total: usize = case.unrefuted_crashes().map(co_running_count).sum();
            candidates.push((
                Reverse((sole_count, attributed_crash_count)),
                co_running_total,
                *mark,
            ));
        }
        candidates.sort_unstable();
        let mut explained_engines = BTreeSet::new();
        let mut held = BTreeSet::new();
        for (.., mark) in candidates {
            let case = &self.cases[&mark];
            let has_enough_crashes =
                self.attributed_crash_count(case, &explained_engines, now) >= HOLD_MIN_CRASHES;
            if has_enough_crashes
                || case
                    .unrefuted_crashes()
                    .nth(UNCONDITIONAL_HOLD_MIN_CRASHES - 1)
                    .is_some()
            {
                explained_engines.extend(case.unrefuted_crashes().map(|end| end.engine));
                held.insert(mark);
            }
        }
        let new = held.difference(&self.held).copied().collect();
        self.held = held;
        new
    }

    /// Makes room for a case of `account`; returns false if nothing can be evicted.
    fn make_room(&mut self, account: u32) -> bool {
        let is_of_account = |case: &Case| case.account == account;
        let own_count = self
            .cases
            .values()
            .filter(|case| is_of_account(case))
            .count();
        if own_count >= MAX_CASES / ACCOUNT_LIMIT_DIVISOR {
            return self.drop_oldest(is_of_account);
        }
        self.cases.len() < MAX_CASES || self.drop_oldest(|_| true)
    }

    /// Evicts the case with the fewest, oldest crashes among those that `is_evictable` accepts and
    /// that are not held back.
    fn drop_oldest(&mut self, is_evictable: impl Fn(&Case) -> bool) -> bool {
        let evictable = self
            .cases
            .iter()
            .filter(|(mark, case)| is_evictable(case) && self.standing(**mark) != Standing::Held);
        let oldest =
            evictable.min_by_key(|(mark, case)| (case.ends.len(), case.last_crash_at(), **mark));
        let Some(oldest) = oldest.map(|(mark, _)| *mark) else {
            return false;
        };
        self.cases.remove(&oldest);
        true
    }

    /// Records that this gateway received a complete response from weights of `version`; returns
    /// true if that newly refutes a case.
    pub fn note_finished(&mut self, mark: Mark, version: Version) -> bool {
        self.succeeded.note(mark, version);
        self.note_cleared(mark, version)
    }

    /// Records a complete response that another gateway reported; returns true if that newly
    /// refutes a case.
    pub fn note_cleared(&mut self, mark: Mark, version: Version) -> bool {
        let Some(case) = self.cases.get_mut(&mark) else {
            return false;
        };
        let is_new = case.cleared < Some(version);
        case.cleared = case.cleared.max(Some(version));
        if is_new {
            self.schedule_evaluation(mark);
        }
        is_new
    }

    /// Dismisses all crashes of a request by operator command; returns the engines concerned.
    pub fn pardon(&mut self, mark: Mark) -> Vec<Incarnation> {
        let Some(case) = self.cases.get_mut(&mark) else {
            return Vec::new();
        };
        let engines: Vec<Incarnation> = case.ends.iter().map(|end| end.engine).collect();
        case.pardoned.extend(&engines);
        self.schedule_evaluation(mark);
        engines
    }

    /// Records that an operator dismissed the crash of `engine` for a request; returns true if that
    /// is new.
    pub fn note_pardoned(&mut self, mark: Mark, account: u32, engine: Incarnation) -> bool {
        if !self.cases.contains_key(&mark) && !self.make_room(account) {
            return false;
        }
        let case = self.cases.entry(mark);
        let case = case.or_insert_with(|| Case::new(account));
        let is_new = case.pardoned.len() < MAX_CRASHES_PER_REQUEST && case.pardoned.insert(engine);
        if is_new {
            self.schedule_evaluation(mark);
        }
        is_new
    }

    /// Schedules an evaluation, as crashes that no longer count here may now be attributed to other
    /// requests.
    fn schedule_evaluation(&mut self, mark: Mark) {
        let case = self.cases.get(&mark);
        if case.is_none_or(|case| case.unrefuted_crashes().nth(HOLD_MIN_CRASHES - 1).is_none()) {
            self.held.remove(&mark);
        }
        self.next_evaluation = Some(Instant::default());
    }

    /// Returns the status of a request.
    pub fn standing(&self, mark: Mark) -> Standing {
        // Fast path for nearly all requests.
        let Some(case) = self.cases.get(&mark) else {
            return Standing::Clear;
        };
        if self.held.contains(&mark) {
            return Standing::Held;
        }
        let separate = case
            .unrefuted_crashes()
            .filter(|end| !self.is_common_failure(end));
        match separate.take(SUSPECT_MIN_CRASHES).count() {
            0 => Standing::Clear,
            ends if ends < SUSPECT_MIN_CRASHES => Standing::Noted,
            _ => Standing::Suspect,
        }
    }

    /// Counts the settled crashes of `case` that are neither explained by a request already held
    /// back nor part of a common failure.
    fn attributed_crash_count(
        &self,
        case: &Case,
        explained_engines: &BTreeSet<Incarnation>,
        now: Instant,
    ) -> usize {
        let is_settled = |end: &&End| end.at.after_millis(JUDGED_AFTER_MILLIS).has_passed(now);
        let ends = case.unrefuted_crashes().filter(is_settled);
        let ends = ends
            .filter(|end| !explained_engines.contains(&end.engine) && !self.is_common_failure(end));
        ends.count()
    }

    fn is_common_failure(&self, end: &End) -> bool {
        let is_simultaneous = |crash: &&EngineCrash| {
            crash
                .at
                .millis_since(end.at)
                .max(end.at.millis_since(crash.at))
                <= COMMON_FAILURE_WINDOW_MILLIS
        };
        let simultaneous = self.recent_crashes.iter().filter(is_simultaneous);
        let (count, fleet_size) = simultaneous.fold((0, 0), |(count, fleet_size), crash| {
            (count + 1, fleet_size.max(crash.fleet_size))
        });
        count >= COMMON_FAILURE_MIN_ENGINES.max(fleet_size / COMMON_FAILURE_DIVISOR)
    }

    /// Returns the cases that gateways replicate to each other: suspects, and those that an
    /// operator dismissed.
    pub fn grave(&self) -> impl Iterator<Item = (Mark, &Case)> {
        let all = self.cases.iter().map(|(mark, case)| (*mark, case));
        all.filter(|(_, case)| {
            let standing = case.unrefuted_crashes().count();
            standing >= SUSPECT_MIN_CRASHES || !case.pardoned.is_empty()
        })
    }

    /// Hashes all replicated cases; equal at gateways with equal cases, 0 for none.
    pub fn digest(&self) -> u64 {
        self.grave()
            .fold(0, |all, (mark, case)| all ^ case.digest(mark))
    }

    /// Returns the case of a request.
    pub fn case(&self, mark: Mark) -> Option<&Case> {
        self.cases.get(&mark)
    }

    /// Returns the requests that are held back.
    pub fn held(&self) -> impl Iterator<Item = (Mark, &Case)> {
        let all = self.cases.iter().map(|(mark, case)| (*mark, case));
        all.filter(|(mark, _)| self.held.contains(mark))
    }

    /// Returns the number of cases.
    pub fn count(&self) -> usize {
        self.cases.len()
    }
}
