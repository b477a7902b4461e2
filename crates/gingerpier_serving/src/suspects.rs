//! Requests that may end the engines which run them, and which of them are sent no more.
//!
//! When an engine ends, each request that ran there is a suspect, and at most one of them is guilty. What is kept is a set:
//! which request ran at which engine when that ended. Gateways tell each other of it and unite what they know, so that order,
//! loss and repetition of messages do not matter. A whole answer to the same request from any engine refutes what is known
//! against it. From the fourth engine on it is held back.
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

/// Engines that a request is blamed for from which on it is held back: one more than operators allow it, who allow it a few
/// more until all gateways can know. From three on, 32 innocent requests were held back on 1,000 drawn days with up to three guilty
/// ones, losses, cuts and waves of ends, from four on none; a guilty one ends 4 engines in the median then, not 3.
pub const HELD_FROM: usize = 4;

/// Engines that ended under a request from which on it is held back whatever else may have ended them. Without this bound
/// guilty requests that end engines at the same moments explain each other, and on 2 of 1,000 drawn days one went on.
pub const HELD_ANYWAY: usize = 5;

/// Engines that ended under a request from which on all gateways have to know of it, whatever word was lost.
const GRAVE_FROM: usize = 2;

/// Milliseconds within which ends count as one event: what strikes several engines at once is noticed within a few
/// round trips of 3 to 10 ms.
const TOGETHER_MILLIS: u64 = 50;

/// Least number of engines, and part of all engines of a service, that ended together for a cause of their own: a zone, a
/// rack, a loss of power. Guilty requests end them one by one.
const LEAST_MASS: usize = 3;
const MASS_PART: usize = 8;

/// Milliseconds after which an end counts: word of it has come by then from all gateways that had requests there. Judged
/// at once, an innocent request is held back for an engine that a guilty one ended, whose word comes 10 ms later.
pub const JUDGED_AFTER_MILLIS: u64 = 15;

/// Ends that are remembered to tell which of them came together.
const RECENT_ENDS: usize = 256;

/// Requests against which something is known: some 450 bytes each, so half a megabyte, for all that ran at 64 engines of
/// 16 places.
const MOST_MARKS: usize = 1_024;

/// Part of those that one client account may take: one that floods pushes out only its own.
const ACCOUNT_PART: usize = 8;

/// Engines that are remembered of one request: it is held back long before.
const KEPT_ENDS: usize = 16;

/// Requests whose whole answers are remembered, some 60 bytes each: 40 s of 100 requests a second.
const MOST_FINISHED: usize = 4_096;

/// An incarnation of an engine, as gateways name it to each other: a hash of its id and its start.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Incarnation(pub u64);

impl Incarnation {
    /// Incarnation that is listed as `record` and started at `born`.
    pub fn of(record: &Record, born: Option<Born>) -> Self {
        let start = born.map_or(0, |born| born.0);
        Self(order::mix(order::hash(&record.id) ^ order::mix(start)))
    }
}

/// A request ran at an engine when that ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct End {
    /// Request.
    pub mark: Mark,
    /// Hash of its client account.
    pub account: u32,
    /// Engine.
    pub engine: Incarnation,
    /// Version of its weights; 0 where it has none.
    pub version: Version,
    /// When that was noticed.
    pub at: Instant,
}

/// What a word of an end changed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Noted {
    /// Nothing.
    Known,
    /// It was not known.
    News,
    /// The request was answered whole by weights of that version: who tells should know.
    Refuted(Version),
}

/// How a request stands.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Standing {
    /// Nothing counts against it.
    Clear,
    /// An engine ended under it, and whatever else ran there is as likely to have ended it: it is sent to one engine at a time.
    Noted,
    /// Engines ended under it, fewer than hold it back: it is sent to one at a time, where no other such request runs.
    Suspect,
    /// It is sent no more.
    Held,
}

/// What is known against a request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Case {
    /// Hash of its client account.
    pub account: u32,
    /// Engines that ended under it.
    pub ends: Vec<End>,
    /// Newest version of weights by which it was answered whole.
    pub cleared: Option<Version>,
    /// Engines that do not count any more, by an operator's word.
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

    /// Ends that nothing refutes.
    fn standing_ends(&self) -> impl Iterator<Item = &End> {
        self.ends.iter().filter(|end| {
            let is_refuted = self.cleared.is_some_and(|cleared| cleared >= end.version);
            !is_refuted && !self.pardoned.contains(&end.engine)
        })
    }

    fn last(&self) -> Instant {
        let times = self.ends.iter().map(|end| end.at);
        times.max().unwrap_or_default()
    }

    /// A number that is the same where the same is known.
    fn digest(&self, mark: Mark) -> u64 {
        let ends = self.ends.iter().map(|end| order::mix(end.engine.0));
        let pardoned = self.pardoned.iter().map(|one| order::mix(!one.0));
        let all = ends.chain(pardoned).fold(0, |all, one| all ^ one);
        let cleared = self.cleared.map_or(0, |version| version.0 + 1);
        order::mix(all ^ order::hash(&mark) ^ order::mix(cleared))
    }
}

/// Requests that were answered whole lately.
#[derive(Debug, Clone, Default)]
struct Finished {
    versions: HashMap<Mark, Version>,
    order: VecDeque<Mark>,
}

impl Finished {
    fn note(&mut self, mark: Mark, version: Version) {
        if let Some(known) = self.versions.get_mut(&mark) {
            *known = version.max(*known);
            return;
        }
        if self.order.len() >= MOST_FINISHED
            && let Some(oldest) = self.order.pop_front()
        {
            self.versions.remove(&oldest);
        }
        self.order.push_back(mark);
        self.versions.insert(mark, version);
    }
}

/// All requests against which something is known.
#[derive(Debug, Clone, Default)]
pub struct Suspects {
    /// In order, so that the same word brings the same course.
    cases: BTreeMap<Mark, Case>,
    finished: Finished,
    /// Engines that ended, when, and of how many.
    ended: VecDeque<Ended>,
    /// Requests that are held back: what is known decides, not the order in which it came.
    held: BTreeSet<Mark>,
    /// When the first word that was not judged will have had time.
    unjudged: Option<Instant>,
}

#[derive(Debug, Clone, Copy)]
struct Ended {
    engine: Incarnation,
    at: Instant,
    of: usize,
}

impl Suspects {
    /// Takes word that an engine, one `of` so many of its service, ended while it ran a request.
    pub fn note_end(&mut self, end: End, of: usize) -> Noted {
        if !self.ended.iter().any(|known| known.engine == end.engine) {
            self.ended.truncate(RECENT_ENDS - 1);
            self.ended.push_front(Ended {
                engine: end.engine,
                at: end.at,
                of,
            });
        }
        let finished = self.finished.versions.get(&end.mark).copied();
        let case = self.cases.get(&end.mark);
        let cleared = finished.max(case.and_then(|case| case.cleared));
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
        if case.ends.len() >= KEPT_ENDS {
            return Noted::Known;
        }
        case.ends.push(end);
        // The next one that comes does not put off this one.
        let ripe_at = end.at.after_millis(JUDGED_AFTER_MILLIS);
        self.unjudged = Some(self.unjudged.map_or(ripe_at, |known| known.min(ripe_at)));
        Noted::News
    }

    /// When there is something to judge next, as far as word has come.
    pub const fn judges_at(&self) -> Option<Instant> {
        self.unjudged
    }

    /// Finds the requests that are held back; gives those that were not before. Ends count once their word has had time
    /// to come from all gateways that had requests there.
    ///
    /// An engine is ended by one request, so whatever ran beside one that is held back is not blamed for that engine. First
    /// comes the one with most ends beside which no other ran, then the one with most ends, then that beside which fewest ran.
    pub fn judge(&mut self, now: Instant) -> Vec<Mark> {
        let ends = self.cases.values().flat_map(|case| &case.ends);
        let ripe_at = ends.map(|end| end.at.after_millis(JUDGED_AFTER_MILLIS));
        self.unjudged = ripe_at.filter(|at| !at.has_passed(now)).min();
        let ripe = |end: &&End| end.at.after_millis(JUDGED_AFTER_MILLIS).has_passed(now);
        let may_be = |case: &&Case| {
            case.standing_ends()
                .filter(ripe)
                .nth(HELD_FROM - 1)
                .is_some()
        };
        let mut ran: BTreeMap<Incarnation, Vec<Mark>> = BTreeMap::new();
        for (mark, case) in &self.cases {
            if case.standing_ends().nth(GRAVE_FROM - 1).is_some() {
                for end in case.standing_ends() {
                    ran.entry(end.engine).or_default().push(*mark);
                }
            }
        }
        let beside = |end: &End| ran.get(&end.engine).map_or(0, |marks| marks.len() - 1);
        let none = BTreeSet::new();
        let mut marks = Vec::new();
        for (mark, case) in self.cases.iter().filter(|(_, case)| may_be(case)) {
            let alone = case.standing_ends().filter(|end| beside(end) == 0).count();
            let blamed = self.blamed(case, &none, now);
            let company: usize = case.standing_ends().map(beside).sum();
            marks.push((Reverse((alone, blamed)), company, *mark));
        }
        marks.sort_unstable();
        let mut explained = BTreeSet::new();
        let mut held = BTreeSet::new();
        for (.., mark) in marks {
            let case = &self.cases[&mark];
            let is_blamed = self.blamed(case, &explained, now) >= HELD_FROM;
            if is_blamed || case.standing_ends().nth(HELD_ANYWAY - 1).is_some() {
                explained.extend(case.standing_ends().map(|end| end.engine));
                held.insert(mark);
            }
        }
        let new = held.difference(&self.held).copied().collect();
        self.held = held;
        new
    }

    /// Makes room for one more request of `account`; false where there is none.
    fn make_room(&mut self, account: u32) -> bool {
        let of_account = |case: &Case| case.account == account;
        let own = self.cases.values().filter(|case| of_account(case)).count();
        if own >= MOST_MARKS / ACCOUNT_PART {
            return self.drop_oldest(of_account);
        }
        self.cases.len() < MOST_MARKS || self.drop_oldest(|_| true)
    }

    /// Drops the request under which fewest engines ended, and longest ago, of those that `may_go` and are not held back.
    fn drop_oldest(&mut self, may_go: impl Fn(&Case) -> bool) -> bool {
        let going = self
            .cases
            .iter()
            .filter(|(mark, case)| may_go(case) && self.standing(**mark) != Standing::Held);
        let oldest = going.min_by_key(|(mark, case)| (case.ends.len(), case.last(), **mark));
        let Some(oldest) = oldest.map(|(mark, _)| *mark) else {
            return false;
        };
        self.cases.remove(&oldest);
        true
    }

    /// Notes that a request was answered whole by weights of `version`; true where something was known against it
    /// that this refutes.
    pub fn note_finished(&mut self, mark: Mark, version: Version) -> bool {
        self.finished.note(mark, version);
        self.note_cleared(mark, version)
    }

    /// Takes word that a request was answered whole by weights of `version`; true where that refutes something.
    pub fn note_cleared(&mut self, mark: Mark, version: Version) -> bool {
        let Some(case) = self.cases.get_mut(&mark) else {
            return false;
        };
        let is_news = case.cleared < Some(version);
        case.cleared = case.cleared.max(Some(version));
        if is_news {
            self.forget_judgement(mark);
        }
        is_news
    }

    /// Lets a request go again by an operator's word; gives the engines that do not count any more.
    pub fn pardon(&mut self, mark: Mark) -> Vec<Incarnation> {
        let Some(case) = self.cases.get_mut(&mark) else {
            return Vec::new();
        };
        let engines: Vec<Incarnation> = case.ends.iter().map(|end| end.engine).collect();
        case.pardoned.extend(&engines);
        self.forget_judgement(mark);
        engines
    }

    /// Takes word that `engine` does not count against a request any more; true where that was not known.
    pub fn note_pardoned(&mut self, mark: Mark, account: u32, engine: Incarnation) -> bool {
        if !self.cases.contains_key(&mark) && !self.make_room(account) {
            return false;
        }
        let case = self.cases.entry(mark);
        let case = case.or_insert_with(|| Case::new(account));
        let is_news = case.pardoned.len() < KEPT_ENDS && case.pardoned.insert(engine);
        if is_news {
            self.forget_judgement(mark);
        }
        is_news
    }

    /// Judges anew soon: what one request is not blamed for any more, another one may be.
    fn forget_judgement(&mut self, mark: Mark) {
        let case = self.cases.get(&mark);
        if case.is_none_or(|case| case.standing_ends().nth(HELD_FROM - 1).is_none()) {
            self.held.remove(&mark);
        }
        self.unjudged = Some(Instant::default());
    }

    /// How a request stands.
    pub fn standing(&self, mark: Mark) -> Standing {
        // Nothing is known against nearly all requests.
        let Some(case) = self.cases.get(&mark) else {
            return Standing::Clear;
        };
        if self.held.contains(&mark) {
            return Standing::Held;
        }
        let alone = case.standing_ends().filter(|end| !self.is_mass(end));
        match alone.take(GRAVE_FROM).count() {
            0 => Standing::Clear,
            ends if ends < GRAVE_FROM => Standing::Noted,
            _ => Standing::Suspect,
        }
    }

    /// Engines that a request is blamed for: not for those that are `explained`, and not for what struck many at once.
    fn blamed(&self, case: &Case, explained: &BTreeSet<Incarnation>, now: Instant) -> usize {
        let ripe = |end: &&End| end.at.after_millis(JUDGED_AFTER_MILLIS).has_passed(now);
        let ends = case.standing_ends().filter(ripe);
        let ends = ends.filter(|end| !explained.contains(&end.engine) && !self.is_mass(end));
        ends.count()
    }

    fn is_mass(&self, end: &End) -> bool {
        let near = |ended: &&Ended| {
            ended
                .at
                .millis_since(end.at)
                .max(end.at.millis_since(ended.at))
                <= TOGETHER_MILLIS
        };
        let together = self.ended.iter().filter(near);
        let (count, of) = together.fold((0, 0), |(count, of), ended| (count + 1, of.max(ended.of)));
        count >= LEAST_MASS.max(of / MASS_PART)
    }

    /// Requests that others should know of even where they missed each word: those with two engines and more.
    pub fn grave(&self) -> impl Iterator<Item = (Mark, &Case)> {
        let all = self.cases.iter().map(|(mark, case)| (*mark, case));
        all.filter(|(_, case)| {
            let standing = case.standing_ends().count();
            standing >= GRAVE_FROM || !case.pardoned.is_empty()
        })
    }

    /// A number that is the same at gateways which know the same of these; 0 for none.
    pub fn digest(&self) -> u64 {
        self.grave()
            .fold(0, |all, (mark, case)| all ^ case.digest(mark))
    }

    /// What is known against a request.
    pub fn case(&self, mark: Mark) -> Option<&Case> {
        self.cases.get(&mark)
    }

    /// Requests that are held back, with what is known against them.
    pub fn held(&self) -> impl Iterator<Item = (Mark, &Case)> {
        let all = self.cases.iter().map(|(mark, case)| (*mark, case));
        all.filter(|(mark, _)| self.held.contains(mark))
    }

    /// Requests against which something is known.
    pub fn count(&self) -> usize {
        self.cases.len()
    }
}
