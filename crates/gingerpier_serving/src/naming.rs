//! From which moment the bound of named weights counts.
//!
//! The bound runs from the store's acknowledgement, which no process sees: it hears of the naming
//! later, over links that may be full and through processes that pause between questions. So it
//! counts from the earliest moment at which the naming can have happened, which is the last one at
//! which what it knew was all that the store held ([`Freshness`]). An answer proves what the store
//! held when the call was sent, and no more: the store may have made it at once, and sent it for
//! seconds. Who hears from another process adds what that one says of itself ([`Told`]).
//!
//! Each of those that tell of a naming knows a moment before which it can't have happened, so the latest of
//! these counts; of the words of one of them, which are repeated, the one that was least on its way.

use {crate::report::Version, gingerpier_base::Instant};

/// Most milliseconds by which a naming is taken to lie before it was heard of. A process that has
/// lacked the store for 3 s is not held to the bound; one that counted further back would close engines
/// before newer weights can be there, which take some 3 s to come to 20 engines.
const MOST_BACK_MILLIS: u64 = 2_000;

/// The bound divided by the most that this takes of it: the rest is for bringing the weights and for
/// engines' turns.
const MOST_BACK_DIVISOR: u64 = 3;

/// Milliseconds before the operators' bound at which older weights serve no more: the longest way seen from the
/// choice of an engine to the start there was 1.4 s, through a queue that had just filled, and a choice reckons
/// with 0.4 s of it; 0.2 s are to spare. That a naming is heard of late is counted by itself.
const VERSION_MARGIN_MILLIS: u64 = 1_200;

/// Milliseconds from the moment at which a process began to run for which older weights may serve behind a naming
/// that may be long past: by then it counts as one that has the store.
const BREAK_GRACE_MILLIS: u64 = 3_000;

/// What another process says of how fresh the knowledge is that it passes on.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Told {
    /// Milliseconds for which it kept the question until it answered.
    pub held_millis: u64,
    /// Milliseconds, when it answered, since what it knows was all that the store held.
    pub age_millis: u64,
}

/// Last moment at which what a process knows was certainly all that the store held.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct Freshness(Option<Instant>);

impl Freshness {
    /// Notes that all was taken in which the store answered to a call that was sent at `asked`.
    pub fn note_answer(&mut self, asked: Instant) {
        self.0 = self.0.max(Some(asked));
    }

    /// Notes that all was taken in which another process answered by `now` to a question that was
    /// sent at `asked`: no earlier than it had kept the question.
    pub fn note_told(&mut self, asked: Instant, told: Told, now: Instant) {
        let answered = asked.after_millis(told.held_millis).min(now);
        let fresh = answered.as_millis().saturating_sub(told.age_millis);
        self.note_answer(Instant::from_millis(fresh));
    }

    /// Milliseconds since that moment; none where there was none.
    pub fn age(self, now: Instant) -> Option<u64> {
        self.0.map(|fresh| now.millis_since(fresh))
    }

    /// Earliest moment at which weights that are heard of only `now` can have been named, as far back
    /// as that counts where the bound is `within_millis`.
    pub fn earliest(self, within_millis: u64, now: Instant) -> Instant {
        let most_back = MOST_BACK_MILLIS.min(within_millis / MOST_BACK_DIVISOR);
        let farthest = Instant::from_millis(now.as_millis().saturating_sub(most_back));
        self.0.map_or(farthest, |fresh| fresh.clamp(farthest, now))
    }

    /// When older weights come due behind a naming that is heard of now, where it may have been made before this
    /// process began to run at `running_since`, at its start or after a standstill; none where it was made later. A
    /// copy that is there already proves nothing: it may be empty, or an old one of a neighbour that is cut off.
    pub fn due_after_break(self, running_since: Instant, within_millis: u64) -> Option<Instant> {
        let back = running_since.after_millis(BREAK_GRACE_MILLIS);
        match self.0 {
            Some(fresh) if fresh >= running_since => None,
            Some(fresh) => Some(back.max(fresh.after_millis(patience(within_millis)))),
            None => Some(back),
        }
    }
}

/// Named weights.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Naming {
    /// Version.
    pub version: Version,
    /// When they were first heard of.
    pub heard: Instant,
    /// Earliest moment at which they can have been named, from which the bound counts.
    pub at: Instant,
    /// When older weights come due where they may have been named before this process began to run.
    pub due_after_break: Option<Instant>,
}

impl Naming {
    /// From when on older weights may start nothing, where the bound is `within_millis`.
    pub fn due_at(&self, within_millis: u64) -> Instant {
        self.due_after_break
            .unwrap_or_else(|| self.at.after_millis(patience(within_millis)))
    }
}

/// Milliseconds from a naming for which older weights serve.
const fn patience(within_millis: u64) -> u64 {
    within_millis.saturating_sub(VERSION_MARGIN_MILLIS)
}

/// Who told of a naming, as any number that is its own.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Teller(pub u64);

/// This process itself, by its own answers of the store.
pub const OWN: Teller = Teller(0);

/// Tellers of one naming that are remembered.
const MOST_TELLERS: usize = 64;

/// A naming, and the earliest moment at which it can have happened by each teller's word.
#[derive(Debug, Clone)]
struct Entry {
    naming: Naming,
    words: Vec<(Teller, Instant)>,
}

impl Entry {
    fn take(&mut self, teller: Teller, earliest: Instant) {
        let place = self.words.iter().position(|(known, _)| *known == teller);
        match place {
            Some(place) => self.words[place].1 = earliest.min(self.words[place].1),
            None if self.words.len() < MOST_TELLERS => self.words.push((teller, earliest)),
            None => return,
        }
        let latest = self.words.iter().map(|(_, earliest)| *earliest).max();
        let heard = self.naming.heard;
        self.naming.at = latest.map_or(heard, |latest| latest.min(heard));
    }
}

/// Weights of one model that were named, by rising version.
#[derive(Debug, Clone, Default)]
pub struct Namings(Vec<Entry>);

impl Namings {
    /// Takes the word of `teller`, heard `now`, that `version` was named at `earliest` or later; true where
    /// it is newer than all that were known.
    pub fn note(
        &mut self,
        version: Version,
        teller: Teller,
        earliest: Instant,
        now: Instant,
    ) -> bool {
        let mut known = self.0.iter_mut();
        if let Some(known) = known.find(|known| known.naming.version == version) {
            known.take(teller, earliest);
            return false;
        }
        if self.newest().is_some_and(|newest| newest.version > version) {
            return false;
        }
        let mut entry = Entry {
            naming: Naming {
                version,
                heard: now,
                at: now,
                due_after_break: None,
            },
            words: Vec::new(),
        };
        entry.take(teller, earliest);
        self.0.push(entry);
        true
    }

    /// Notes when older weights come due behind the newest.
    pub fn note_break(&mut self, due: Option<Instant>) {
        if let Some(newest) = self.0.last_mut() {
            newest.naming.due_after_break = due;
        }
    }

    /// The newest.
    pub fn newest(&self) -> Option<&Naming> {
        self.0.last().map(|entry| &entry.naming)
    }

    /// Each of them.
    pub fn iter(&self) -> impl Iterator<Item = &Naming> {
        self.0.iter().map(|entry| &entry.naming)
    }
}
