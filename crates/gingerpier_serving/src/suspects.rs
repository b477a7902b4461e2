//! Detects requests that crash the engines that run them, and decides which are no longer sent.
//!
//! When an engine crashes, each request that ran there is a suspect, and at most one of them caused
//! the crash. The state is a set of (request, engine) crashes that gateways merge, so the order,
//! loss and repetition of messages don't matter. A complete response to the same request from any
//! engine refutes its crashes. A request is held back from the fourth attributed crash on.
//!
//! So is a part that prompts share, if it crashes engines whatever else a request holds. Each part
//! of a request that ran on a crashed engine has a case of its own, which any complete response to
//! a request with that part refutes. As a request and its parts come together, parts are judged
//! first and only by crashes under different requests; what they explain no longer counts against
//! requests. Suspicion alone does not delay requests with a part, as sound ones share parts, too.
//!
//! ```
//! use {
//!     gingerpier_base::Instant,
//!     gingerpier_serving::{
//!         fingerprint::Fingerprint,
//!         report::Version,
//!         suspects::{Crash, Incarnation, Status, Suspects},
//!     },
//! };
//!
//! let fingerprint = Fingerprint([7; 16]);
//! let mut suspects = Suspects::default();
//! for engine in 0..4 {
//!     let at = Instant::from_millis(engine * 500);
//!     let engine = Incarnation(engine);
//!     let crash = Crash { fingerprint, carrier: None, account: 0, engine, version: Version(1), at };
//!     suspects.record_crash(crash, 12);
//! }
//! assert_eq!(suspects.evaluate(Instant::from_millis(3_000)), [fingerprint]);
//! assert_eq!(suspects.status(fingerprint), Status::Held);
//! suspects.record_refutation(fingerprint, Version(1));
//! assert_eq!(suspects.status(fingerprint), Status::Clear);
//! ```

use {
    crate::{
        fingerprint::Fingerprint,
        fleet::Record,
        report::{Born, Version},
    },
    gingerpier_base::{Instant, order},
    std::{
        cmp::Reverse,
        collections::{BTreeMap, BTreeSet, HashMap, VecDeque},
    },
};

/// Attributed crashes from which on a request is held back; fewer may coincide with an innocent
/// request. With three, 32 innocent requests were held on 1,000 simulated days, with four none; a
/// crashing request ends 4 engines in the median then instead of 3.
pub const HOLD_MIN_CRASHES: usize = 4;

/// Unrefuted crashes from which on a request is held back even where other requests explain them;
/// otherwise requests that crash engines at the same time would exonerate each other. Without this
/// bound, a crashing request was not held on 2 of 1,000 simulated days.
pub const UNCONDITIONAL_HOLD_MIN_CRASHES: usize = 5;

/// Unrefuted crashes from which on a request is a suspect and its case is replicated to all
/// gateways.
const SUSPECT_MIN_CRASHES: usize = 2;

/// Separate crashes under requests with one part from which on the part is held back.
const HOLD_PART_MIN_CRASHES: usize = 4;

/// The same where other parts explain some of them, and how many have to be left then; two parts
/// that crash the same engines would hide each other longer otherwise.
const HOLD_SHADOWED_PART_MIN_CRASHES: usize = 5;
const HOLD_SHADOWED_PART_MIN_LEFT: usize = 2;

/// Crashes of a part that have to be under other requests than the one with most of them, as that
/// may crash the engines by itself.
const PART_MIN_CRASHES_OF_OTHERS: usize = 2;

/// Crashes at the same moment that count for a part: more may be a common failure that strikes
/// requests with any part.
const MAX_SIMULTANEOUS_CRASHES: usize = 2;

/// Crashes at most this far apart count as simultaneous. A common failure is noticed within a few
/// round trips of 3 to 10 ms.
const COMMON_FAILURE_WINDOW_MILLIS: u64 = 50;

/// Simultaneous crashes that count as a common failure, such as a power loss, rather than the
/// effect of a request: at least this many, and at least one in [`COMMON_FAILURE_DIVISOR`] of the
/// service's engines.
const COMMON_FAILURE_MIN_ENGINES: usize = 3;
const COMMON_FAILURE_DIVISOR: usize = 8;

/// Age from which on a crash is attributed: reports from all gateways with requests at that engine
/// have arrived by then. If crashes are attributed at once, an innocent request is held for an
/// engine that another request crashed, as that report arrives 10 ms later.
pub const CRASH_SETTLE_MILLIS: u64 = 15;

/// Crashes kept to detect common failures.
const MAX_RECENT_CRASHES: usize = 256;

/// Requests with a case; some 450 bytes each. Covers all requests running on 64 engines with 16
/// slots, in half a megabyte.
const MAX_CASES: usize = 1_024;

/// Divisor of [`MAX_CASES`] that yields the limit of one client account, so that a flooding account
/// evicts only its own.
const ACCOUNT_LIMIT_DIVISOR: usize = 8;

/// Crashes kept per request.
const MAX_CRASHES_PER_REQUEST: usize = 16;

/// Cases that outlast a crash of all gateways, of about 3 KB each at most.
const MAX_KEPT_CASES: usize = 128;

/// Crashes kept per part, many of which may happen at the same moment and count once.
const MAX_CRASHES_PER_PART: usize = 64;

/// Requests, and as many parts of prompts, whose complete responses are remembered; some 60 bytes
/// each. Covers 40 s of 100 requests per second.
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
pub struct Crash {
    /// Fingerprint of the request, or of a part of its prompt.
    pub fingerprint: Fingerprint,
    /// Hash of the request whose prompt has the part; `None` if the fingerprint is the request's.
    pub carrier: Option<u64>,
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
pub enum ReportOutcome {
    /// Already known, or dropped.
    Known,
    /// Recorded as new.
    New,
    /// Refuted by a complete response from weights of this version; the reporter should be told.
    Refuted(Version),
}

/// Whether and how a request may be sent.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Status {
    /// No unrefuted crashes.
    Clear,
    /// One unrefuted crash: sent as a trial, preferably to an engine without another trial.
    SingleCrash,
    /// Several unrefuted crashes, but fewer than hold it back: sent as a trial, only to an engine
    /// without another trial.
    Suspect,
    /// Held back.
    Held,
}

/// Crashes of one request, or of one part of prompts, and what refutes them.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Case {
    /// Hash of the client account.
    pub account: u32,
    /// Crashes while the request ran.
    pub crashes: Vec<Crash>,
    /// Newest version of weights that gave a complete response.
    pub refuted_up_to: Option<Version>,
    /// Engines whose crashes an operator dismissed.
    pub dismissed: BTreeSet<Incarnation>,
}

impl Case {
    const fn new(account: u32) -> Self {
        Self {
            account,
            crashes: Vec::new(),
            refuted_up_to: None,
            dismissed: BTreeSet::new(),
        }
    }

    /// Returns the crashes that neither a response nor an operator refutes.
    fn unrefuted_crashes(&self) -> impl Iterator<Item = &Crash> {
        self.crashes.iter().filter(|crash| {
            let is_refuted = self
                .refuted_up_to
                .is_some_and(|refuted_up_to| refuted_up_to >= crash.version);
            !is_refuted && !self.dismissed.contains(&crash.engine)
        })
    }

    /// True for the case of a part.
    pub fn is_part(&self) -> bool {
        self.crashes.iter().any(|crash| crash.carrier.is_some())
    }

    /// Returns the number of unrefuted crashes under other requests than the one with most of them.
    fn crashes_of_others(&self) -> usize {
        let mut by_carrier: HashMap<Option<u64>, usize> = HashMap::new();
        for crash in self.unrefuted_crashes() {
            *by_carrier.entry(crash.carrier).or_default() += 1;
        }
        let all: usize = by_carrier.values().sum();
        all - by_carrier.into_values().max().unwrap_or_default()
    }

    fn last_crash_at(&self) -> Instant {
        let times = self.crashes.iter().map(|crash| crash.at);
        times.max().unwrap_or_default()
    }

    /// Hashes the content independently of the order in which it was learnt.
    fn digest(&self, fingerprint: Fingerprint) -> u64 {
        let crashes = self.crashes.iter().map(|crash| order::mix(crash.engine.0));
        let dismissed = self.dismissed.iter().map(|one| order::mix(!one.0));
        let all = crashes.chain(dismissed).fold(0, |all, one| all ^ one);
        let refuted_up_to = self
            .refuted_up_to
            .map_or(0, |version| version.0.wrapping_add(1));
        order::mix(all ^ order::hash(&fingerprint) ^ order::mix(refuted_up_to))
    }
}

/// What recently received a complete response, with the newest version that gave one. Entries move
/// to the younger generation with each response; the older one is dropped once the younger is full.
#[derive(Debug, Clone, Default)]
struct Succeeded {
    young: HashMap<Fingerprint, Version>,
    old: HashMap<Fingerprint, Version>,
}

impl Succeeded {
    fn record(&mut self, fingerprint: Fingerprint, version: Version) {
        if let Some(known) = self.young.get_mut(&fingerprint) {
            *known = version.max(*known);
            return;
        }
        let known = self.old.remove(&fingerprint).unwrap_or_default();
        if self.young.len() >= MAX_SUCCEEDED / 2 {
            self.old = std::mem::take(&mut self.young);
        }
        self.young.insert(fingerprint, version.max(known));
    }

    fn version(&self, fingerprint: Fingerprint) -> Option<Version> {
        let known = self.young.get(&fingerprint);
        known.or_else(|| self.old.get(&fingerprint)).copied()
    }
}

/// Crash cases of all requests.
#[derive(Debug, Clone, Default)]
pub struct Suspects {
    /// Ordered, so that evaluation is deterministic.
    cases: BTreeMap<Fingerprint, Case>,
    succeeded: Succeeded,
    /// The same for parts.
    succeeded_parts: Succeeded,
    /// Recent engine crashes, newest first.
    recent_crashes: VecDeque<EngineCrash>,
    /// Requests held back as of the last evaluation.
    held: BTreeSet<Fingerprint>,
    /// Requests and parts that all gateways held back before they lost their memory.
    imposed: BTreeSet<Fingerprint>,
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
    pub fn record_crash(&mut self, crash: Crash, fleet_size: usize) -> ReportOutcome {
        if !self
            .recent_crashes
            .iter()
            .any(|known| known.engine == crash.engine)
        {
            self.recent_crashes.truncate(MAX_RECENT_CRASHES - 1);
            self.recent_crashes.push_front(EngineCrash {
                engine: crash.engine,
                at: crash.at,
                fleet_size,
            });
        }
        let succeeded = match crash.carrier {
            None => self.succeeded.version(crash.fingerprint),
            Some(_) => self.succeeded_parts.version(crash.fingerprint),
        };
        let case = self.cases.get(&crash.fingerprint);
        let refuted_up_to = succeeded.max(case.and_then(|case| case.refuted_up_to));
        if let Some(version) = refuted_up_to.filter(|version| *version >= crash.version) {
            return ReportOutcome::Refuted(version);
        }
        if case.is_some_and(|case| {
            case.crashes
                .iter()
                .any(|known| known.engine == crash.engine)
        }) {
            return ReportOutcome::Known;
        }
        if case.is_none() && !self.make_room(crash.account) {
            return ReportOutcome::Known;
        }
        let case = self.cases.entry(crash.fingerprint);
        let case = case.or_insert_with(|| Case::new(crash.account));
        let max_crashes = match crash.carrier {
            None => MAX_CRASHES_PER_REQUEST,
            Some(_) => MAX_CRASHES_PER_PART,
        };
        if case.crashes.len() >= max_crashes {
            return ReportOutcome::Known;
        }
        case.crashes.push(crash);
        // A later crash must not postpone the evaluation of this one.
        let settles_at = crash.at.after_millis(CRASH_SETTLE_MILLIS);
        self.next_evaluation = Some(
            self.next_evaluation
                .map_or(settles_at, |known| known.min(settles_at)),
        );
        ReportOutcome::New
    }

    /// Returns when [`Self::evaluate`] is due; none if nothing is pending.
    pub const fn evaluation_due_at(&self) -> Option<Instant> {
        self.next_evaluation
    }

    /// Recomputes which requests are held back and returns the new ones. Only crashes that are at
    /// least [`CRASH_SETTLE_MILLIS`] old count.
    ///
    /// A crash is caused by one request, so once a request is held back, its crashes no longer
    /// count against the others that ran there. Requests are visited by most crashes without
    /// company, then most attributed crashes, then least company.
    pub fn evaluate(&mut self, now: Instant) -> Vec<Fingerprint> {
        let crashes = self.cases.values().flat_map(|case| &case.crashes);
        let settles_at = crashes.map(|crash| crash.at.after_millis(CRASH_SETTLE_MILLIS));
        self.next_evaluation = settles_at.filter(|at| !at.has_passed(now)).min();
        let is_settled =
            |crash: &&Crash| crash.at.after_millis(CRASH_SETTLE_MILLIS).has_passed(now);
        let may_be_held = |case: &&Case| {
            case.unrefuted_crashes()
                .filter(is_settled)
                .nth(HOLD_MIN_CRASHES - 1)
                .is_some()
        };
        let mut requests_by_engine: BTreeMap<Incarnation, Vec<Fingerprint>> = BTreeMap::new();
        for (fingerprint, case) in self.cases.iter().filter(|(_, case)| !case.is_part()) {
            if case
                .unrefuted_crashes()
                .nth(SUSPECT_MIN_CRASHES - 1)
                .is_some()
            {
                for crash in case.unrefuted_crashes() {
                    requests_by_engine
                        .entry(crash.engine)
                        .or_default()
                        .push(*fingerprint);
                }
            }
        }
        let co_running_count = |crash: &Crash| {
            requests_by_engine
                .get(&crash.engine)
                .map_or(0, |fingerprints| fingerprints.len() - 1)
        };
        let (mut held, mut explained_engines) = self.held_parts(now);
        let mut candidates = Vec::new();
        let requests = self.cases.iter().filter(|(_, case)| !case.is_part());
        for (fingerprint, case) in requests.filter(|(_, case)| may_be_held(case)) {
            let sole_count = case
                .unrefuted_crashes()
                .filter(|crash| co_running_count(crash) == 0)
                .count();
            let attributed_crash_count = self.attributed_crash_count(case, &explained_engines, now);
            let co_running_total: usize = case.unrefuted_crashes().map(co_running_count).sum();
            candidates.push((
                Reverse((sole_count, attributed_crash_count)),
                co_running_total,
                *fingerprint,
            ));
        }
        candidates.sort_unstable();
        for (.., fingerprint) in candidates {
            let case = &self.cases[&fingerprint];
            let has_enough_crashes =
                self.attributed_crash_count(case, &explained_engines, now) >= HOLD_MIN_CRASHES;
            if has_enough_crashes
                || case
                    .unrefuted_crashes()
                    .nth(UNCONDITIONAL_HOLD_MIN_CRASHES - 1)
                    .is_some()
            {
                explained_engines.extend(case.unrefuted_crashes().map(|crash| crash.engine));
                held.insert(fingerprint);
            }
        }
        let new = held.difference(&self.held).copied().collect();
        self.held = held;
        new
    }

    /// Returns the parts that are held back, and what is imposed, with the engines whose crashes
    /// they explain.
    ///
    /// Parts that no response was ever complete for come first, then those that had enough crashes
    /// first, so that later crashes change nothing about an earlier hold.
    fn held_parts(&self, now: Instant) -> (BTreeSet<Fingerprint>, BTreeSet<Incarnation>) {
        let no_engines = BTreeSet::new();
        // What an operator dismissed stays explained: it is not the fault of what came with it.
        let dismissed = self.cases.values().flat_map(|case| &case.dismissed);
        let mut explained_engines: BTreeSet<Incarnation> = dismissed.copied().collect();
        let mut candidates = Vec::new();
        for (fingerprint, case) in self.cases.iter().filter(|(_, case)| case.is_part()) {
            let crashes = separate_crashes(case, &no_engines, now);
            let is_shared = case.crashes_of_others() >= PART_MIN_CRASHES_OF_OTHERS;
            let Some(decisive_at) = crashes.get(HOLD_PART_MIN_CRASHES - 1) else {
                continue;
            };
            if is_shared {
                let has_succeeded = case.refuted_up_to.is_some()
                    || self.succeeded_parts.version(*fingerprint).is_some();
                candidates.push((has_succeeded, *decisive_at, *fingerprint, crashes.len()));
            }
        }
        candidates.sort_unstable();
        let mut held = BTreeSet::new();
        for fingerprint in &self.imposed {
            let case = self.cases.get(fingerprint);
            let mut engines = case
                .into_iter()
                .flat_map(Case::unrefuted_crashes)
                .peekable();
            if engines.peek().is_some() {
                explained_engines.extend(engines.map(|crash| crash.engine));
                held.insert(*fingerprint);
            }
        }
        for (.., fingerprint, count) in candidates {
            let case = &self.cases[&fingerprint];
            let left = separate_crashes(case, &explained_engines, now).len();
            let is_shadowed = count >= HOLD_SHADOWED_PART_MIN_CRASHES;
            if left >= HOLD_PART_MIN_CRASHES || is_shadowed && left >= HOLD_SHADOWED_PART_MIN_LEFT {
                explained_engines.extend(case.unrefuted_crashes().map(|crash| crash.engine));
                held.insert(fingerprint);
            }
        }
        (held, explained_engines)
    }

    /// Holds a request or part back, as the store says, as long as a crash of it is unrefuted. The
    /// times of its crashes are not known any more, so they don't decide.
    pub fn impose(&mut self, fingerprint: Fingerprint) {
        let case = self.cases.get(&fingerprint);
        let is_suspect = case.is_some_and(|case| case.unrefuted_crashes().next().is_some());
        if is_suspect && self.imposed.len() < MAX_KEPT_CASES && self.imposed.insert(fingerprint) {
            self.next_evaluation = Some(Instant::default());
        }
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
        let evictable = self.cases.iter().filter(|(fingerprint, case)| {
            is_evictable(case) && self.status(**fingerprint) != Status::Held
        });
        let oldest = evictable.min_by_key(|(fingerprint, case)| {
            (case.crashes.len(), case.last_crash_at(), **fingerprint)
        });
        let Some(oldest) = oldest.map(|(fingerprint, _)| *fingerprint) else {
            return false;
        };
        self.cases.remove(&oldest);
        true
    }

    /// Records that this gateway received a complete response from weights of `version`; returns
    /// true if that newly refutes a case.
    pub fn record_completion(&mut self, fingerprint: Fingerprint, version: Version) -> bool {
        self.succeeded.record(fingerprint, version);
        self.record_refutation(fingerprint, version)
    }

    /// Records the same for a part of the request's prompt.
    pub fn record_part_completion(&mut self, part: Fingerprint, version: Version) -> bool {
        self.succeeded_parts.record(part, version);
        self.record_refutation(part, version)
    }

    /// Records a complete response that another gateway reported; returns true if that newly
    /// refutes a case.
    pub fn record_refutation(&mut self, fingerprint: Fingerprint, version: Version) -> bool {
        let Some(case) = self.cases.get_mut(&fingerprint) else {
            return false;
        };
        let is_new = case.refuted_up_to < Some(version);
        case.refuted_up_to = case.refuted_up_to.max(Some(version));
        if is_new {
            self.imposed.remove(&fingerprint);
            self.schedule_evaluation(fingerprint);
        }
        is_new
    }

    /// Dismisses all crashes of a request by operator command; returns the engines concerned.
    pub fn dismiss(&mut self, fingerprint: Fingerprint) -> Vec<Incarnation> {
        let Some(case) = self.cases.get_mut(&fingerprint) else {
            return Vec::new();
        };
        let engines: Vec<Incarnation> = case.crashes.iter().map(|crash| crash.engine).collect();
        case.dismissed.extend(&engines);
        self.imposed.remove(&fingerprint);
        self.schedule_evaluation(fingerprint);
        engines
    }

    /// Records that an operator dismissed the crash of `engine` for a request; returns true if that
    /// is new.
    pub fn record_dismissal(
        &mut self,
        fingerprint: Fingerprint,
        account: u32,
        engine: Incarnation,
    ) -> bool {
        if !self.cases.contains_key(&fingerprint) && !self.make_room(account) {
            return false;
        }
        let case = self.cases.entry(fingerprint);
        let case = case.or_insert_with(|| Case::new(account));
        let is_new = case.dismissed.len() < MAX_CRASHES_PER_PART && case.dismissed.insert(engine);
        if is_new {
            self.imposed.remove(&fingerprint);
            self.schedule_evaluation(fingerprint);
        }
        is_new
    }

    /// Schedules an evaluation, as crashes that no longer count here may now be attributed to other
    /// requests.
    fn schedule_evaluation(&mut self, fingerprint: Fingerprint) {
        let case = self.cases.get(&fingerprint);
        if case.is_none_or(|case| case.unrefuted_crashes().nth(HOLD_MIN_CRASHES - 1).is_none()) {
            self.held.remove(&fingerprint);
        }
        self.next_evaluation = Some(Instant::default());
    }

    /// True if a request or part is held back.
    pub fn is_held(&self, fingerprint: Fingerprint) -> bool {
        self.held.contains(&fingerprint)
    }

    /// Returns the status of a request, regardless of the parts of its prompt.
    pub fn status(&self, fingerprint: Fingerprint) -> Status {
        // Fast path for nearly all requests.
        let Some(case) = self.cases.get(&fingerprint) else {
            return Status::Clear;
        };
        if self.held.contains(&fingerprint) {
            return Status::Held;
        }
        let separate = case
            .unrefuted_crashes()
            .filter(|crash| !self.is_common_failure(crash));
        match separate.take(SUSPECT_MIN_CRASHES).count() {
            0 => Status::Clear,
            crashes if crashes < SUSPECT_MIN_CRASHES => Status::SingleCrash,
            _ => Status::Suspect,
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
        let is_settled =
            |crash: &&Crash| crash.at.after_millis(CRASH_SETTLE_MILLIS).has_passed(now);
        let crashes = case.unrefuted_crashes().filter(is_settled);
        let crashes = crashes.filter(|crash| {
            !explained_engines.contains(&crash.engine) && !self.is_common_failure(crash)
        });
        crashes.count()
    }

    fn is_common_failure(&self, crash: &Crash) -> bool {
        let is_simultaneous = |other: &&EngineCrash| {
            other
                .at
                .millis_since(crash.at)
                .max(crash.at.millis_since(other.at))
                <= COMMON_FAILURE_WINDOW_MILLIS
        };
        let simultaneous = self.recent_crashes.iter().filter(is_simultaneous);
        let (count, fleet_size) = simultaneous.fold((0, 0), |(count, fleet_size), other| {
            (count + 1, fleet_size.max(other.fleet_size))
        });
        count >= COMMON_FAILURE_MIN_ENGINES.max(fleet_size / COMMON_FAILURE_DIVISOR)
    }

    /// Returns the cases that gateways replicate to each other: suspects, and those that an
    /// operator dismissed.
    pub fn replicated_cases(&self) -> impl Iterator<Item = (Fingerprint, &Case)> {
        let all = self
            .cases
            .iter()
            .map(|(fingerprint, case)| (*fingerprint, case));
        all.filter(|(_, case)| {
            let status = case.unrefuted_crashes().count();
            status >= SUSPECT_MIN_CRASHES || !case.dismissed.is_empty()
        })
    }

    /// Returns the cases that outlast a crash of all gateways: those on hold, and those that an
    /// operator dismissed; [`MAX_KEPT_CASES`] at most.
    pub fn kept_cases(&self) -> impl Iterator<Item = (Fingerprint, &Case)> {
        let all = self
            .cases
            .iter()
            .map(|(fingerprint, case)| (*fingerprint, case));
        let kept = all
            .filter(|(fingerprint, case)| self.is_held(*fingerprint) || !case.dismissed.is_empty());
        kept.take(MAX_KEPT_CASES)
    }

    /// Returns hashes of the holds and dismissals among [`Self::kept_cases`].
    pub fn hold_entries(&self) -> BTreeSet<u64> {
        let mut entries = BTreeSet::new();
        for (fingerprint, case) in self.kept_cases() {
            if self.is_held(fingerprint) {
                entries.insert(hold_entry(fingerprint, None));
            }
            let dismissed = case.dismissed.iter();
            entries.extend(dismissed.map(|engine| hold_entry(fingerprint, Some(*engine))));
        }
        entries
    }

    /// Hashes all replicated cases; equal at gateways with equal cases, 0 for none.
    pub fn digest(&self) -> u64 {
        self.replicated_cases()
            .fold(0, |all, (fingerprint, case)| all ^ case.digest(fingerprint))
    }

    /// Returns the case of a request.
    pub fn case(&self, fingerprint: Fingerprint) -> Option<&Case> {
        self.cases.get(&fingerprint)
    }

    /// Returns the requests that are held back.
    pub fn held(&self) -> impl Iterator<Item = (Fingerprint, &Case)> {
        let all = self
            .cases
            .iter()
            .map(|(fingerprint, case)| (*fingerprint, case));
        all.filter(|(fingerprint, _)| self.held.contains(fingerprint))
    }

    /// Returns the number of cases.
    pub fn count(&self) -> usize {
        self.cases.len()
    }
}

/// Returns the times of the settled, unrefuted crashes of `case` at other engines than
/// `explained_engines`, of those within [`COMMON_FAILURE_WINDOW_MILLIS`] at most
/// [`MAX_SIMULTANEOUS_CRASHES`].
fn separate_crashes(
    case: &Case,
    explained_engines: &BTreeSet<Incarnation>,
    now: Instant,
) -> Vec<Instant> {
    let crashes = case.unrefuted_crashes().filter(|crash| {
        let is_settled = crash.at.after_millis(CRASH_SETTLE_MILLIS).has_passed(now);
        is_settled && !explained_engines.contains(&crash.engine)
    });
    let mut times: Vec<Instant> = crashes.map(|crash| crash.at).collect();
    times.sort_unstable();
    let (mut moment, mut in_moment) = (Instant::default(), 0);
    times.retain(|at| {
        // Counted from the first crash of a moment, as crashes may follow each other closely.
        if in_moment == 0 || at.millis_since(moment) > COMMON_FAILURE_WINDOW_MILLIS {
            (moment, in_moment) = (*at, 0);
        }
        in_moment += 1;
        in_moment <= MAX_SIMULTANEOUS_CRASHES
    });
    times
}

/// Hash of a hold, or of the dismissal of an engine's crash.
pub fn hold_entry(fingerprint: Fingerprint, dismissed: Option<Incarnation>) -> u64 {
    let engine = dismissed.map_or(0, |engine| order::mix(!engine.0));
    order::mix(order::hash(&fingerprint) ^ engine)
}
