//! Requests that may end the engines which run them, and which of them are sent no more.
//!
//! When an engine ends, each request that ran there is a suspect, and at most one of them is guilty. What is kept is a set:
//! which request ran at which engine when that ended. Gateways tell each other of it and unite what they know, so that order,
//! loss and repetition of messages do not matter. A whole answer to the same request from any engine refutes what is known
//! against it. From the third engine on it is held back.
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
//! for engine in 0..3 {
//!     let at = Instant::from_millis(engine * 500);
//!     let engine = Incarnation(engine);
//!     suspects.note_end(End { mark, account: 0, engine, version: Version(1), at }, 12);
//! }
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
    std::collections::{HashMap, HashSet, VecDeque},
};

/// Engines that ended under a request from which on it is held back. Innocent requests are beside a guilty one about once in
/// a life; operators allow a request three engines.
pub const MOST_ENDS: usize = 3;

/// Milliseconds within which ends count as one event: what strikes several engines at once is noticed within a few
/// round trips of 3 to 10 ms.
const TOGETHER_MILLIS: u64 = 50;

/// Least number of engines, and part of all engines of a service, that ended together for a cause of their own: a zone, a
/// rack, a loss of power. Guilty requests end them one by one.
const LEAST_MASS: usize = 3;
const MASS_PART: usize = 8;

/// Ends that are remembered to tell which of them came together.
const RECENT_ENDS: usize = 256;

/// Requests against which something is known: some 220 bytes each, so half a megabyte.
const MOST_MARKS: usize = 2_048;

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
    /// It was not known, and the request is held back from now on.
    Held,
    /// The request was answered whole by weights of that version: others should know.
    Refuted(Version),
}

/// How a request stands.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Standing {
    /// Nothing counts against it.
    Clear,
    /// Engines ended under it, fewer than hold it back.
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
    pub pardoned: HashSet<Incarnation>,
}

impl Case {
    fn new(account: u32) -> Self {
        Self {
            account,
            ends: Vec::new(),
            cleared: None,
            pardoned: HashSet::new(),
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
    cases: HashMap<Mark, Case>,
    finished: Finished,
    /// Engines that ended, when, and of how many.
    ended: VecDeque<Ended>,
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
        let was = self.standing(end.mark);
        let case = self.cases.get(&end.mark);
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
        if let Some(version) = self.finished.versions.get(&end.mark).copied()
            && version >= end.version
        {
            case.cleared = case.cleared.max(Some(version));
            return Noted::Refuted(version);
        }
        match self.standing(end.mark) {
            Standing::Held if was != Standing::Held => Noted::Held,
            _ => Noted::News,
        }
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

    /// Drops the request that ended an engine longest ago, of those that `may_go` and are not held back.
    fn drop_oldest(&mut self, may_go: impl Fn(&Case) -> bool) -> bool {
        let going = self
            .cases
            .iter()
            .filter(|(mark, case)| may_go(case) && self.standing(**mark) != Standing::Held);
        let oldest = going.min_by_key(|(mark, case)| (case.last(), **mark));
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
        is_news
    }

    /// Lets a request go again by an operator's word; gives the engines that do not count any more.
    pub fn pardon(&mut self, mark: Mark) -> Vec<Incarnation> {
        let Some(case) = self.cases.get_mut(&mark) else {
            return Vec::new();
        };
        let engines: Vec<Incarnation> = case.ends.iter().map(|end| end.engine).collect();
        case.pardoned.extend(&engines);
        engines
    }

    /// Takes word that `engine` does not count against a request any more; true where that was not known.
    pub fn note_pardoned(&mut self, mark: Mark, account: u32, engine: Incarnation) -> bool {
        if !self.cases.contains_key(&mark) && !self.make_room(account) {
            return false;
        }
        let case = self.cases.entry(mark);
        let case = case.or_insert_with(|| Case::new(account));
        case.pardoned.len() < KEPT_ENDS && case.pardoned.insert(engine)
    }

    /// How a request stands.
    pub fn standing(&self, mark: Mark) -> Standing {
        // Nothing is known against nearly all requests.
        let Some(case) = self.cases.get(&mark) else {
            return Standing::Clear;
        };
        match self.events(case) {
            0 => Standing::Clear,
            events if events < MOST_ENDS => Standing::Suspect,
            _ => Standing::Held,
        }
    }

    /// Events in which engines ended under a request; what struck many engines at once does not count.
    fn events(&self, case: &Case) -> usize {
        let alone = case.standing_ends().filter(|end| !self.is_mass(end));
        let mut times: Vec<Instant> = alone.map(|end| end.at).collect();
        times.sort_unstable();
        let mut last: Option<Instant> = None;
        times.retain(|at| {
            let is_new = last.is_none_or(|last| at.millis_since(last) > TOGETHER_MILLIS);
            last = if is_new { Some(*at) } else { last };
            is_new
        });
        times.len()
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
        all.filter(|(_, case)| case.ends.len() + 1 >= MOST_ENDS || !case.pardoned.is_empty())
    }

    /// A number that is the same at gateways which know the same of these; 0 for none.
    pub fn digest(&self) -> u64 {
        self.grave()
            .fold(0, |all, (mark, case)| all ^ case.digest(mark))
    }

    /// Requests that are held back, with what is known against them.
    pub fn held(&self) -> impl Iterator<Item = (Mark, &Case)> {
        let all = self.cases.iter().map(|(mark, case)| (*mark, case));
        all.filter(|(mark, _)| self.standing(*mark) == Standing::Held)
    }

    /// Requests against which something is known.
    pub fn count(&self) -> usize {
        self.cases.len()
    }
}
