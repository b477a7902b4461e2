//! Deduplication of attempts at a backend server, with proof that an attempt did not run.
//!
//! Entry boxes number their attempts. The backend server records each attempt; when it removes old
//! records it raises the sender's minimum number and refuses all attempts below. However late a
//! duplicate arrives, an attempt starts at most once, and never after it was refused or revoked.

use {
    gingerpier_base::{Instant, place::Incarnation},
    minicbor::{Decode, Encode},
    std::collections::BTreeMap,
};

/// Identifies one attempt to run a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Encode, Decode)]
#[cbor(map)]
pub struct AttemptKey {
    /// Process run of the entry box that sends the attempt.
    #[n(0)]
    pub entry: Incarnation,
    /// Increasing number at that process run.
    #[n(1)]
    pub number: u64,
}

/// Why an attempt was not started.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Encode, Decode)]
#[cbor(index_only)]
pub enum Refusal {
    /// Addressed to another run of this process.
    #[n(0)]
    OtherIncarnation,
    /// Revoked before it arrived.
    #[n(1)]
    Revoked,
    /// Below the minimum number, because older records were removed.
    #[n(2)]
    Stale,
    /// The backend server or the engine is shutting down.
    #[n(3)]
    Leaving,
    /// The engine hasn't loaded the requested version completely.
    #[n(4)]
    OtherVersion,
    /// The engine's queue is full.
    #[n(5)]
    Full,
    /// The engine or service doesn't exist at this backend server.
    #[n(6)]
    NoEngine,
    /// The engine could not be reached.
    #[n(7)]
    Unreachable,
}

impl Refusal {
    /// True if no copy of the attempt has started or ever will.
    ///
    /// False for [`Self::OtherIncarnation`], as the attempt may have started in the other run, and
    /// for [`Self::Stale`], as its record may have been removed.
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

/// Response to an attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Admission {
    /// Start the attempt.
    Start,
    /// Refuse the attempt.
    Refuse(Refusal),
    /// Ignore the message: the attempt was already started.
    Duplicate,
}

/// Response to a revocation.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Encode, Decode)]
#[cbor(index_only)]
pub enum Revocation {
    /// The attempt has not started and never will.
    #[n(0)]
    NotRun,
    /// The attempt was started and may have run.
    #[n(1)]
    Started,
    /// Not known: addressed to another run of this process, or the record was removed.
    #[n(2)]
    Unknown,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum State {
    Running,
    Ended { expires_at: Instant },
    Revoked { expires_at: Instant },
}

#[derive(Debug, Default)]
struct Sender {
    min_number: u64,
    attempts: BTreeMap<u64, State>,
}

/// Attempts received by one run of a backend server's process.
#[derive(Debug)]
pub struct Deduplicator {
    incarnation: Incarnation,
    /// Time for which finished, refused and revoked attempts are recorded.
    retention_millis: u64,
    senders: BTreeMap<Incarnation, Sender>,
}

impl Deduplicator {
    /// Creates a deduplicator for the process run `incarnation`, without any attempts.
    pub const fn new(incarnation: Incarnation, retention_millis: u64) -> Self {
        Self {
            incarnation,
            retention_millis,
            senders: BTreeMap::new(),
        }
    }

    /// Process run to which attempts must be addressed.
    pub const fn incarnation(&self) -> Incarnation {
        self.incarnation
    }

    /// Decides whether to start an attempt addressed to the process run `addressed`; `ready` is the
    /// refusal of an attempt that the engine can't run.
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
        let expires_at = now.after_millis(self.retention_millis);
        let sender = self.senders.entry(key.entry).or_default();
        if key.number < sender.min_number {
            return Admission::Refuse(Refusal::Stale);
        }
        match (sender.attempts.get(&key.number), ready) {
            (Some(State::Revoked { .. }), _) => Admission::Refuse(Refusal::Revoked),
            (Some(_), _) => Admission::Duplicate,
            (None, Err(refusal)) => {
                // A duplicate of a refused attempt must not start once the engine is ready.
                sender
                    .attempts
                    .insert(key.number, State::Revoked { expires_at });
                Admission::Refuse(refusal)
            }
            (None, Ok(())) => {
                sender.attempts.insert(key.number, State::Running);
                Admission::Start
            }
        }
    }

    /// Revokes an attempt so that it never starts.
    pub fn revoke(&mut self, key: AttemptKey, addressed: Incarnation, now: Instant) -> Revocation {
        if addressed != self.incarnation {
            return Revocation::Unknown;
        }
        let expires_at = now.after_millis(self.retention_millis);
        let sender = self.senders.entry(key.entry).or_default();
        if key.number < sender.min_number && !sender.attempts.contains_key(&key.number) {
            return Revocation::Unknown;
        }
        match sender.attempts.get(&key.number) {
            Some(State::Running | State::Ended { .. }) => Revocation::Started,
            Some(State::Revoked { .. }) => Revocation::NotRun,
            None => {
                sender
                    .attempts
                    .insert(key.number, State::Revoked { expires_at });
                Revocation::NotRun
            }
        }
    }

    /// Records that a started attempt ended, successfully or not.
    pub fn record_end(&mut self, key: AttemptKey, now: Instant) {
        let expires_at = now.after_millis(self.retention_millis);
        if let Some(sender) = self.senders.get_mut(&key.entry) {
            sender
                .attempts
                .insert(key.number, State::Ended { expires_at });
        }
    }

    /// Records that a started attempt did not reach the engine and never will.
    pub fn record_not_run(&mut self, key: AttemptKey, now: Instant) {
        let expires_at = now.after_millis(self.retention_millis);
        if let Some(sender) = self.senders.get_mut(&key.entry) {
            sender
                .attempts
                .insert(key.number, State::Revoked { expires_at });
        }
    }

    /// Number of running attempts.
    pub fn running_count(&self) -> usize {
        self.senders.values().map(Sender::running_count).sum()
    }

    /// Removes expired records and raises the minimum numbers of their senders.
    pub fn remove_expired(&mut self, now: Instant) {
        for sender in self.senders.values_mut() {
            sender.remove_expired(now);
        }
    }

    /// Number of recorded attempts.
    pub fn record_count(&self) -> usize {
        self.senders
            .values()
            .map(|sender| sender.attempts.len())
            .sum()
    }
}

impl Sender {
    fn running_count(&self) -> usize {
        self.attempts
            .values()
            .filter(|state| **state == State::Running)
            .count()
    }

    fn remove_expired(&mut self, now: Instant) {
        let mut min_number = self.min_number;
        self.attempts.retain(|number, state| match state {
            State::Running => true,
            State::Ended { expires_at } | State::Revoked { expires_at } => {
                let is_retained = !expires_at.has_passed(now);
                if !is_retained {
                    min_number = min_number.max(number + 1);
                }
                is_retained
            }
        });
        self.min_number = min_number;
    }
}
