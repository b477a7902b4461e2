//! One replica's fetch of one version.
//!
//! The machine keeps a window of chunks under way, in rising order, so that every replica works
//! on the same part of the version and the origin's link carries few chunks at a time. Each
//! chunk has a deadline that moves on with progress and a last deadline that does not; where
//! either passes, or the source fails or sends wrong bytes, the next source of the plan is taken.
//!
//! A peer that sends anything on one question is not stalled on its others, unless it never mentions
//! them: whether its process runs and its link carries shows at all its questions together.
//!
//! Deadlines measure the sources, so time in which this process itself did not run does not count:
//! what they sent meanwhile has not been read yet. Whoever drives the fetch tells when a look was due.

use {
    crate::{
        plan::{Plan, ReplicaKey, Source},
        route::{Holders, Route},
    },
    gingerpier_base::Instant,
    std::collections::{BTreeMap, BTreeSet},
};

/// How a fetch behaves.
#[derive(Debug, Clone, Copy)]
pub struct Terms {
    /// Chunks under way at once; default 24.
    pub window: usize,
    /// Milliseconds without progress before the next source is taken; default 2,000.
    pub stall_millis: u64,
    /// Milliseconds that one source may take for one chunk; default 30,000.
    pub patience_millis: u64,
    /// Milliseconds before the first source is asked again once all have failed; default 1,000. They double
    /// with each round in which nothing came.
    pub pause_millis: u64,
    /// Chunks asked for at the origin at once, the lowest first; default 24.
    ///
    /// Others ask for chunks in rising order. What comes out of order stays with whoever took it in, and is lost
    /// where that one ends: after six tenths of those who took them in were killed, 126 chunks left the origin where
    /// about 48 were missing. Played alone, the order did not change that.
    pub origin_at_once: usize,
}

impl Default for Terms {
    fn default() -> Self {
        Self {
            window: 24,
            stall_millis: 2_000,
            patience_millis: 30_000,
            pause_millis: 1_000,
            origin_at_once: 24,
        }
    }
}

impl Terms {
    /// When a question that was last mentioned `now` counts as forgotten.
    const fn forgotten_at(&self, now: Instant) -> Instant {
        now.after_millis(FORGOTTEN_STALLS * self.stall_millis)
    }
}

/// Attempts at once, for each chunk of the window: what others wait for here comes on top.
const WIDTHS: usize = 4;

/// Least attempts at once.
const LEAST_WIDTH: usize = 4;

/// Milliseconds by which a look at deadlines may be late before this process counts as not having
/// run: more than a busy machine's usual delay, and far less than a stall.
const LATE_MILLIS: u64 = 100;

/// Stalls after which a question that its source never mentions counts as forgotten, although the
/// source speaks on others: words on each question are due at least once in a stall.
const FORGOTTEN_STALLS: u64 = 2;

/// Doublings of the pause between rounds. Where a version was given up by those who took it in, 76 processes that each
/// asked all of 40 sources for 24 chunks every 100 ms sent 16,000 questions a second for it.
const MOST_DOUBLINGS: u32 = 3;

/// Attempts more for each chunk that came.
const WIDENING: usize = 2;

/// What to do next.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Action {
    /// Ask `source` for `chunk`; answers carry `attempt`.
    Ask {
        /// Chunk wanted.
        chunk: u32,
        /// Whom to ask.
        source: Source,
        /// Number of the attempt.
        attempt: u64,
    },
    /// Drop the attempt: it stalled.
    Drop {
        /// Chunk wanted.
        chunk: u32,
        /// Source that stalled.
        source: Source,
        /// Number of the attempt.
        attempt: u64,
    },
    /// Every chunk is held.
    Complete,
}

/// How an attempt ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Outcome {
    /// The chunk is held, and its digest is right.
    Held,
    /// The source can't give it.
    Failed,
    /// The source gave other bytes.
    Corrupt,
    /// The source asks to be left alone until the instant.
    Refused(Instant),
}

#[derive(Debug, Clone, Copy)]
struct Attempt {
    number: u64,
    source: Source,
    /// Until when the source may be silent; never after `forgotten_deadline`, but for the origin.
    stall_deadline: Instant,
    /// Until when the source may be silent on this question.
    forgotten_deadline: Instant,
    last_deadline: Instant,
}

#[derive(Debug, Clone, Copy, Default)]
struct Chunk {
    /// Sources passed over so far in this round.
    passed: usize,
    /// Rounds in a row in which all sources failed.
    rounds: u32,
    /// No attempt before this.
    not_before: Instant,
    attempt: Option<Attempt>,
}

/// A fetch under way.
#[derive(Debug)]
pub struct Fetch {
    terms: Terms,
    route: Route,
    held: Vec<bool>,
    held_count: u32,
    /// Lowest chunk that has not been started.
    next: u32,
    open: BTreeMap<u32, Chunk>,
    /// Replicas that sent wrong bytes; they are passed over.
    blamed: BTreeSet<ReplicaKey>,
    attempts: u64,
    /// Attempts that may be under way at once: halved by each stall, one more for each chunk.
    width: usize,
    scratch: Vec<Source>,
}

impl Fetch {
    /// Fetch by `own` of a version of `chunk_count` chunks.
    pub fn new(terms: Terms, plan: Plan, own: ReplicaKey, chunk_count: u32) -> Self {
        let holders = Holders::default();
        Self::along(terms, Route::Tree { plan, own, holders }, chunk_count)
    }

    /// Fetch of a version of `chunk_count` chunks along `route`.
    pub fn along(terms: Terms, route: Route, chunk_count: u32) -> Self {
        Self {
            terms,
            route,
            held: vec![false; chunk_count as usize],
            held_count: 0,
            next: 0,
            open: BTreeMap::new(),
            blamed: BTreeSet::new(),
            attempts: 0,
            width: WIDTHS * terms.window,
            scratch: Vec::new(),
        }
    }

    /// Notes a chunk that is here already, shared with another version.
    pub fn note_held(&mut self, chunk: u32) {
        let held = &mut self.held[chunk as usize];
        self.held_count += u32::from(!*held);
        *held = true;
    }

    /// Chunks held.
    pub const fn held_count(&self) -> u32 {
        self.held_count
    }

    /// Chunks of the version.
    pub fn chunk_count(&self) -> u32 {
        self.held.len() as u32
    }

    /// True once every chunk is held.
    pub fn is_complete(&self) -> bool {
        self.held_count == self.chunk_count()
    }

    /// Replicas that sent wrong bytes.
    pub fn blamed(&self) -> impl Iterator<Item = ReplicaKey> {
        self.blamed.iter().copied()
    }

    /// Takes a new plan; attempts under way go on, and the next ones follow it.
    ///
    /// Keys of the old plan mean nothing in the new one, so blame is given anew.
    pub fn replan(&mut self, plan: Plan, own: ReplicaKey) {
        let holders = Holders::default();
        self.route = Route::Tree { plan, own, holders };
        self.blamed.clear();
        for chunk in self.open.values_mut() {
            chunk.passed = 0;
        }
    }

    /// Opens chunks, takes next sources where deadlines passed, and writes what to do.
    pub fn poll(&mut self, now: Instant, actions: &mut Vec<Action>) {
        self.open_window();
        let open: Vec<u32> = self.open.keys().copied().collect();
        for chunk in open {
            self.drop_stalled(chunk, now, actions);
            self.ask(chunk, now, actions);
        }
        if self.is_complete() {
            actions.push(Action::Complete);
        }
    }

    /// Notes that a look that was due at `due` is taken `now`: where it is late, all deadlines move by
    /// as much.
    pub fn note_look(&mut self, due: Instant, now: Instant) {
        let lost_millis = now.millis_since(due);
        if lost_millis <= LATE_MILLIS {
            return;
        }
        for attempt in self
            .open
            .values_mut()
            .filter_map(|chunk| chunk.attempt.as_mut())
        {
            attempt.stall_deadline = attempt.stall_deadline.after_millis(lost_millis);
            attempt.forgotten_deadline = attempt.forgotten_deadline.after_millis(lost_millis);
            attempt.last_deadline = attempt.last_deadline.after_millis(lost_millis);
        }
    }

    /// Starts `chunk` ahead of the window, because another replica waits for it here.
    pub fn want(&mut self, chunk: u32) {
        let known = (chunk as usize) < self.held.len();
        if known && !self.held[chunk as usize] && self.open.len() < 4 * self.terms.window {
            self.open.entry(chunk).or_default();
        }
    }

    /// Notes that the source of `attempt` sent bytes, or said that it is still waiting itself.
    pub fn progress(&mut self, chunk: u32, attempt: u64, now: Instant) {
        let stall_deadline = now.after_millis(self.terms.stall_millis);
        let forgotten_deadline = self.terms.forgotten_at(now);
        if let Some(under_way) = self.attempt_mut(chunk, attempt) {
            under_way.stall_deadline = stall_deadline;
            under_way.forgotten_deadline = forgotten_deadline;
        }
    }

    /// Notes that the origin sent bytes of some chunk: what else was asked of it is not stalled, but
    /// waits behind them on the origin's link.
    pub fn origin_sent(&mut self, now: Instant) {
        let stall_deadline = now.after_millis(self.terms.stall_millis);
        let attempts = self
            .open
            .values_mut()
            .filter_map(|chunk| chunk.attempt.as_mut());
        for attempt in attempts.filter(|attempt| attempt.source == Source::Origin) {
            attempt.stall_deadline = stall_deadline;
        }
    }

    /// Notes that a peer sent something on any question: it runs, and its link carries, so its other
    /// questions are not stalled. One that it never mentions is given up all the same.
    pub fn peer_sent(&mut self, peer: ReplicaKey, now: Instant) {
        let stall_deadline = now.after_millis(self.terms.stall_millis);
        let attempts = self
            .open
            .values_mut()
            .filter_map(|chunk| chunk.attempt.as_mut());
        for attempt in attempts.filter(|attempt| attempt.source.replica() == Some(peer)) {
            attempt.stall_deadline = stall_deadline.min(attempt.forgotten_deadline);
        }
    }

    /// Notes the end of an attempt; a late one of a dropped attempt counts only where it brought
    /// the chunk.
    pub fn end(&mut self, chunk: u32, attempt: u64, outcome: Outcome, now: Instant) {
        if outcome == Outcome::Held {
            self.note_held(chunk);
            self.open.remove(&chunk);
            self.end_pauses(now);
            self.width = (self.width + WIDENING).min(WIDTHS * self.terms.window);
            return;
        }
        let Some(under_way) = self.attempt_mut(chunk, attempt).copied() else {
            return;
        };
        if let (Outcome::Corrupt, Source::Replica(source) | Source::Holder(source)) =
            (outcome, under_way.source)
        {
            self.blamed.insert(source);
        }
        let Some(state) = self.open.get_mut(&chunk) else {
            return;
        };
        state.attempt = None;
        match outcome {
            // The source is right but busy: it is asked again, not passed over.
            Outcome::Refused(until) => {
                state.not_before = until;
                state.rounds = 0;
            }
            // The origin's bytes can be spoilt on the way; it is asked again after a pause.
            Outcome::Corrupt if under_way.source == Source::Origin => {
                state.not_before = now.after_millis(self.terms.pause_millis);
            }
            _ => state.passed += 1,
        }
    }

    /// Whoever gave a chunk may give others, too: what waits after rounds in vain is asked for again at once.
    fn end_pauses(&mut self, now: Instant) {
        let waiting = self.open.values_mut().filter(|chunk| chunk.rounds > 0);
        for chunk in waiting {
            chunk.rounds = 0;
            chunk.not_before = chunk.not_before.min(now);
        }
    }

    fn attempt_mut(&mut self, chunk: u32, number: u64) -> Option<&mut Attempt> {
        let attempt = self.open.get_mut(&chunk)?.attempt.as_mut()?;
        (attempt.number == number).then_some(attempt)
    }

    fn open_window(&mut self) {
        // What was wanted ahead of the window does not count, or the window would stand still.
        while self.open.range(..self.next).count() < self.terms.window
            && (self.next as usize) < self.held.len()
        {
            if !self.held[self.next as usize] {
                self.open.entry(self.next).or_default();
            }
            self.next += 1;
        }
    }

    fn drop_stalled(&mut self, chunk: u32, now: Instant, actions: &mut Vec<Action>) {
        let Some(state) = self.open.get_mut(&chunk) else {
            return;
        };
        let Some(attempt) = state.attempt else { return };
        if attempt.stall_deadline.has_passed(now) || attempt.last_deadline.has_passed(now) {
            state.attempt = None;
            state.passed += 1;
            // Whatever comes over a narrow link has to wait behind what was asked for. An origin
            // that is down says nothing of this link, nor does a peer that says that it waits.
            let is_silent = attempt.stall_deadline.has_passed(now);
            if is_silent && attempt.source != Source::Origin {
                let under_way = self.under_way();
                self.width = (under_way / 2).max(LEAST_WIDTH);
            }
            let Attempt { number, source, .. } = attempt;
            actions.push(Action::Drop {
                chunk,
                source,
                attempt: number,
            });
        }
    }

    /// Attempts that may be under way at once.
    pub const fn width(&self) -> usize {
        self.width
    }

    /// Starts with fewer attempts at once, as an earlier fetch over the same link ended.
    pub fn start_with(&mut self, width: usize) {
        self.width = width.clamp(LEAST_WIDTH, WIDTHS * self.terms.window);
    }

    /// Notes that a chunk took long on its way although its source gave it at once: the link is
    /// narrow. Half of the attempts end, the latest chunks first, and are made again later.
    pub fn narrow(&mut self, actions: &mut Vec<Action>) {
        self.width = (self.under_way() / 2).max(LEAST_WIDTH);
        let mut surplus = self.under_way().saturating_sub(self.width);
        for (chunk, state) in self.open.iter_mut().rev() {
            if surplus == 0 {
                return;
            }
            if let Some(attempt) = state.attempt.take() {
                surplus -= 1;
                actions.push(Action::Drop {
                    chunk: *chunk,
                    source: attempt.source,
                    attempt: attempt.number,
                });
            }
        }
    }

    fn under_way(&self) -> usize {
        self.attempts_under_way().count()
    }

    /// True where no more may be asked of peers. The origin gives turns of its own, and has to be
    /// asked also while all peers wait for it.
    fn is_full(&self) -> bool {
        let attempts = self.attempts_under_way();
        let at_peers = attempts.filter(|attempt| attempt.source != Source::Origin);
        at_peers.count() >= self.width
    }

    fn at_origin(&self) -> usize {
        let attempts = self.attempts_under_way();
        let at_origin = attempts.filter(|attempt| attempt.source == Source::Origin);
        at_origin.count()
    }

    fn attempts_under_way(&self) -> impl Iterator<Item = Attempt> {
        self.open.values().filter_map(|chunk| chunk.attempt)
    }

    fn ask(&mut self, chunk: u32, now: Instant, actions: &mut Vec<Action>) {
        let is_full = self.is_full();
        let at_origin = self.at_origin();
        let Some(state) = self.open.get_mut(&chunk) else {
            return;
        };
        if state.attempt.is_some() || !state.not_before.has_passed(now) {
            return;
        }
        self.route.sources(chunk, &mut self.scratch);
        let blamed = &self.blamed;
        let trusted = |source: &&Source| match source {
            Source::Replica(key) | Source::Holder(key) => !blamed.contains(key),
            Source::Origin => true,
        };
        let Some(source) = self
            .scratch
            .iter()
            .filter(trusted)
            .nth(state.passed)
            .copied()
        else {
            // Where nobody else is left, those that sent wrong bytes are asked again: what they sent may have been spoilt
            // on its way, and a fetch without sources would wait for good.
            let has_asked = state.passed > 0;
            state.passed = 0;
            let doublings = state.rounds.min(MOST_DOUBLINGS);
            state.not_before = now.after_millis(self.terms.pause_millis << doublings);
            state.rounds += 1;
            if !has_asked {
                self.blamed.clear();
            }
            return;
        };
        let is_held_up = match source {
            Source::Origin => at_origin >= self.terms.origin_at_once,
            Source::Replica(_) | Source::Holder(_) => is_full,
        };
        if is_held_up {
            return;
        }
        self.attempts += 1;
        let number = self.attempts;
        state.attempt = Some(Attempt {
            number,
            source,
            stall_deadline: now.after_millis(self.terms.stall_millis),
            forgotten_deadline: self.terms.forgotten_at(now),
            last_deadline: now.after_millis(self.terms.patience_millis),
        });
        actions.push(Action::Ask {
            chunk,
            source,
            attempt: number,
        });
    }
}
