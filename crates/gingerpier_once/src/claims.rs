//! The owner's book of tickets that were used.
//!
//! A ticket that is not in the book and not too old has never been granted. What is too old is
//! unknown: forgetting never makes a ticket new again.

use {
    crate::ticket::Ticket,
    gingerpier_base::{Instant, order, place::Incarnation},
    minicbor::{Decode, Encode},
    std::collections::BTreeMap,
};

/// Answer to a claim.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Encode, Decode)]
pub enum Verdict {
    /// The asker, and nobody else, may run the request under this grant.
    #[n(0)]
    Granted(#[n(0)] u32),
    /// It was granted before and has not ended.
    #[n(1)]
    Running,
    /// It ran and was answered.
    #[n(2)]
    Answered,
    /// It may have run.
    #[n(3)]
    Unknown,
    /// The ticket was not issued here; it has not run under this ticket.
    #[n(4)]
    Forged,
}

/// What became of a grant, by the word of its holder.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Encode, Decode)]
#[cbor(index_only)]
pub enum Settlement {
    /// It ran, and its answer was whole.
    #[n(0)]
    Answered,
    /// Proved not to have run; the holder will not use the grant.
    #[n(1)]
    NotRun,
    /// It may have run.
    #[n(2)]
    Unknown,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum State {
    Running {
        holder: Incarnation,
    },
    Answered,
    /// Proved not to have run; may be granted again.
    Open,
    Unknown,
}

#[derive(Debug, Clone, Copy)]
struct Held {
    grant: u32,
    state: State,
}

/// Claims on the tickets of one run of one entry box process.
#[derive(Debug)]
pub struct Claims {
    owner: Incarnation,
    secret: u64,
    /// Milliseconds for which a ticket is good.
    retention_millis: u64,
    next: u64,
    held: BTreeMap<(Instant, u64), Held>,
}

impl Claims {
    /// Claims of `owner`, sealed with its `secret`.
    pub const fn new(owner: Incarnation, secret: u64, retention_millis: u64) -> Self {
        Self {
            owner,
            secret,
            retention_millis,
            next: 0,
            held: BTreeMap::new(),
        }
    }

    /// Issues a ticket.
    pub fn issue(&mut self, now: Instant) -> Ticket {
        self.next += 1;
        let number = self.next;
        Ticket {
            owner: self.owner,
            issued: now,
            number,
            seal: self.seal(now, number),
        }
    }

    /// Asks to run the request of `ticket` at the entry box process `holder`.
    pub fn claim(&mut self, ticket: Ticket, holder: Incarnation, now: Instant) -> Verdict {
        if ticket.owner != self.owner {
            return Verdict::Unknown;
        }
        if ticket.seal != self.seal(ticket.issued, ticket.number) {
            return Verdict::Forged;
        }
        if ticket
            .issued
            .after_millis(self.retention_millis)
            .has_passed(now)
        {
            return Verdict::Unknown;
        }
        let key = (ticket.issued, ticket.number);
        let held = self.held.entry(key).or_insert(Held {
            grant: 0,
            state: State::Open,
        });
        match held.state {
            State::Running { .. } => Verdict::Running,
            State::Answered => Verdict::Answered,
            State::Unknown => Verdict::Unknown,
            State::Open => {
                held.grant += 1;
                held.state = State::Running { holder };
                Verdict::Granted(held.grant)
            }
        }
    }

    /// Notes what became of a grant; the word on an earlier grant changes nothing.
    pub fn settle(&mut self, ticket: Ticket, grant: u32, settlement: Settlement) {
        let Some(held) = self.held.get_mut(&(ticket.issued, ticket.number)) else {
            return;
        };
        if held.grant != grant || !matches!(held.state, State::Running { .. }) {
            return;
        }
        held.state = match settlement {
            Settlement::Answered => State::Answered,
            Settlement::NotRun => State::Open,
            Settlement::Unknown => State::Unknown,
        };
    }

    /// Notes that the entry box process `holder` is gone: what it ran may have run.
    pub fn holder_lost(&mut self, holder: Incarnation) {
        for held in self.held.values_mut() {
            if held.state == (State::Running { holder }) {
                held.state = State::Unknown;
            }
        }
    }

    /// Forgets tickets that are too old to be claimed.
    pub fn sweep(&mut self, now: Instant) {
        let retention = self.retention_millis;
        while let Some(first) = self.held.first_entry() {
            if !first.key().0.after_millis(retention).has_passed(now) {
                break;
            }
            first.remove();
        }
    }

    /// Tickets remembered.
    pub fn len(&self) -> usize {
        self.held.len()
    }

    /// True where no ticket is remembered.
    pub fn is_empty(&self) -> bool {
        self.held.is_empty()
    }

    fn seal(&self, issued: Instant, number: u64) -> u64 {
        order::mix(self.secret ^ order::mix(number ^ order::mix(issued.as_millis() ^ self.secret)))
    }
}
