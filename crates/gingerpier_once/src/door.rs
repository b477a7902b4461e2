//! The door of a backend server: what may start, and proof of what did not.
//!
//! Entry boxes number their attempts. The door remembers each attempt it saw; forgetting raises
//! the entry box's floor, and whatever is below the floor is refused. A frame may therefore be as
//! late as it likes: it starts once, or it is refused, and what was refused or revoked before it
//! started never starts later.

use {
    gingerpier_base::{Instant, place::Incarnation},
    minicbor::{Decode, Encode},
    std::collections::BTreeMap,
};

/// One try to run one request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Encode, Decode)]
#[cbor(map)]
pub struct AttemptKey {
    /// The run of the entry box process that sends it.
    #[n(0)]
    pub entry: Incarnation,
    /// Its number at that process, rising.
    #[n(1)]
    pub number: u64,
}

/// Why this copy of an attempt did not start.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Encode, Decode)]
#[cbor(index_only)]
pub enum Refusal {
    /// Meant for an earlier run of this process.
    #[n(0)]
    OtherIncarnation,
    /// Revoked before it came.
    #[n(1)]
    Revoked,
    /// Too late: numbers this low are no longer taken.
    #[n(2)]
    Stale,
    /// The backend server, or the engine, takes no new work.
    #[n(3)]
    Leaving,
    /// The engine does not hold the version that was asked for, complete.
    #[n(4)]
    OtherVersion,
    /// The engine's queue is full.
    #[n(5)]
    Full,
    /// There is no such engine or service here.
    #[n(6)]
    NoEngine,
    /// The engine could not be reached at all.
    #[n(7)]
    Unreachable,
}

impl Refusal {
    /// True where no copy of the attempt has started, and none ever will.
    ///
    /// What a later run of the process refuses may have started in the earlier one, and what is
    /// below the floor may have been forgotten.
    pub const fn proves_not_run(self) -> bool {
        match self {
            Self::OtherIncarnation | Self::Stale => false,
            Self::Revoked
            | Self::Leaving
            | Self::OtherVersion
            | Self::Full
            | Self::NoEngine
            | Self::Unreachable => true,
        }
    }
}

/// Answer to an attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Admission {
    /// Starts now.
    Start,
    /// Refused; it has not run.
    Refuse(Refusal),
    /// A second copy of an attempt that started; this copy does nothing.
    Duplicate,
}

/// Answer to a revocation.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Encode, Decode)]
#[cbor(index_only)]
pub enum Revocation {
    /// It had not started, and never will.
    #[n(0)]
    NotRun,
    /// It had started; it may have run.
    #[n(1)]
    Started,
    /// The question was for an earlier run of this process, which can't be asked any more.
    #[n(2)]
    Unknown,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum State {
    Running,
    Ended { forget_at: Instant },
    Revoked { forget_at: Instant },
}

#[derive(Debug, Default)]
struct Sender {
    floor: u64,
    attempts: BTreeMap<u64, State>,
}

/// Attempts seen by one run of one backend server's process.
#[derive(Debug)]
pub struct Door {
    incarnation: Incarnation,
    /// Milliseconds for which an attempt that ended is remembered.
    retention_millis: u64,
    senders: BTreeMap<Incarnation, Sender>,
}

impl Door {
    /// Door of the process run `incarnation`.
    pub const fn new(incarnation: Incarnation, retention_millis: u64) -> Self {
        Self {
            incarnation,
            retention_millis,
            senders: BTreeMap::new(),
        }
    }

    /// Run of the process.
    pub const fn incarnation(&self) -> Incarnation {
        self.incarnation
    }

    /// Takes an attempt; `ready` says whether what it asks for can start.
    pub fn admit(
        &mut self,
        key: AttemptKey,
        addressed: Incarnation,
        ready: Result<(), Refusal>,
        now: Instant,
    ) -> Admission {
        if addressed != self.incarnation {
            return Admission::Refuse(Refusal::OtherIncarnation);
        }
        let forget_at = now.after_millis(self.retention_millis);
        let sender = self.senders.entry(key.entry).or_default();
        if key.number < sender.floor {
            return Admission::Refuse(Refusal::Stale);
        }
        match (sender.attempts.get(&key.number), ready) {
            (Some(State::Revoked { .. }), _) => Admission::Refuse(Refusal::Revoked),
            (Some(_), _) => Admission::Duplicate,
            (None, Err(refusal)) => {
                // A second copy of a refused attempt must not start once the engine is ready.
                sender
                    .attempts
                    .insert(key.number, State::Revoked { forget_at });
                Admission::Refuse(refusal)
            }
            (None, Ok(())) => {
                sender.attempts.insert(key.number, State::Running);
                Admission::Start
            }
        }
    }

    /// Shuts the door to an attempt.
    pub fn revoke(&mut self, key: AttemptKey, addressed: Incarnation, now: Instant) -> Revocation {
        if addressed != self.incarnation {
            return Revocation::Unknown;
        }
        let forget_at = now.after_millis(self.retention_millis);
        let sender = self.senders.entry(key.entry).or_default();
        if key.number < sender.floor && !sender.attempts.contains_key(&key.number) {
            return Revocation::Unknown;
        }
        match sender.attempts.get(&key.number) {
            Some(State::Running | State::Ended { .. }) => Revocation::Started,
            Some(State::Revoked { .. }) => Revocation::NotRun,
            None => {
                sender
                    .attempts
                    .insert(key.number, State::Revoked { forget_at });
                Revocation::NotRun
            }
        }
    }

    /// Notes that an attempt ended, however it did.
    pub fn end(&mut self, key: AttemptKey, now: Instant) {
        let forget_at = now.after_millis(self.retention_millis);
        if let Some(sender) = self.senders.get_mut(&key.entry) {
            sender
                .attempts
                .insert(key.number, State::Ended { forget_at });
        }
    }

    /// Notes that an attempt which was let in did not reach the engine, and will not.
    pub fn turn_back(&mut self, key: AttemptKey, now: Instant) {
        let forget_at = now.after_millis(self.retention_millis);
        if let Some(sender) = self.senders.get_mut(&key.entry) {
            sender
                .attempts
                .insert(key.number, State::Revoked { forget_at });
        }
    }

    /// Attempts running.
    pub fn running(&self) -> usize {
        self.senders.values().map(Sender::running).sum()
    }

    /// Forgets attempts that ended long ago, and raises floors over them.
    pub fn sweep(&mut self, now: Instant) {
        for sender in self.senders.values_mut() {
            sender.sweep(now);
        }
    }

    /// Attempts remembered.
    pub fn remembered(&self) -> usize {
        self.senders
            .values()
            .map(|sender| sender.attempts.len())
            .sum()
    }
}

impl Sender {
    fn running(&self) -> usize {
        self.attempts
            .values()
            .filter(|state| **state == State::Running)
            .count()
    }

    fn sweep(&mut self, now: Instant) {
        let mut floor = self.floor;
        self.attempts.retain(|number, state| match state {
            State::Running => true,
            State::Ended { forget_at } | State::Revoked { forget_at } => {
                let kept = !forget_at.has_passed(now);
                if !kept {
                    floor = floor.max(number + 1);
                }
                kept
            }
        });
        self.floor = floor;
    }
}
