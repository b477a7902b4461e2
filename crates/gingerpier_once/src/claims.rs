//! Claims on tickets: the issuer of a ticket grants at most one execution of its request.
//!
//! A claim on an expired ticket gets [`Verdict::Unknown`], so removing its record never allows a
//! second execution.

use {
    crate::ticket::Ticket,
    gingerpier_base::{Instant, order, place::Incarnation},
    minicbor::{Decode, Encode},
    std::collections::BTreeMap,
};

/// Response to a claim.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Encode, Decode)]
pub enum Verdict {
    /// The claimant has the exclusive right to run the request; the number identifies this grant.
    #[n(0)]
    Granted(#[n(0)] u32),
    /// Another claim was granted and is not settled.
    #[n(1)]
    Running,
    /// The request ran and its response was complete.
    #[n(2)]
    Answered,
    /// The request may have run.
    #[n(3)]
    Unknown,
    /// The signature is invalid; the request has not run under this ticket.
    #[n(4)]
    Forged,
}

/// Final outcome of a granted claim, as reported by its holder.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Encode, Decode)]
#[cbor(index_only)]
pub enum Settlement {
    /// The request ran and its response was complete.
    #[n(0)]
    Answered,
    /// The request certainly did not run; the holder doesn't use the grant again.
    #[n(1)]
    NotRun,
    /// The request may have run.
    #[n(2)]
    Unknown,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum State {
    Running {
        holder: Incarnation,
    },
    Answered,
    /// Certainly not run; may be granted again.
    Claimable,
    Unknown,
}

#[derive(Debug, Clone, Copy)]
struct Record {
    grant: u32,
    state: State,
}

/// Claims on the tickets that one run of an entry box process issued.
#[derive(Debug)]
pub struct Claims {
    owner: Incarnation,
    secret: u64,
    /// Lifetime of a ticket.
    retention_millis: u64,
    last_number: u64,
    records: BTreeMap<(Instant, u64), Record>,
}

impl Claims {
    /// Creates the claims of the process `owner`, which signs its tickets with `secret`.
    pub const fn new(owner: Incarnation, secret: u64, retention_millis: u64) -> Self {
        Self {
            owner,
            secret,
            retention_millis,
            last_number: 0,
            records: BTreeMap::new(),
        }
    }

    /// Issues a ticket that is valid from `now`.
    pub fn issue(&mut self, now: Instant) -> Ticket {
        self.last_number += 1;
        let number = self.last_number;
        Ticket {
            owner: self.owner,
            issued: now,
            number,
            seal: self.signature(now, number),
        }
    }

    /// Claims the right to run the request of `ticket` for the entry box process `holder`.
    pub fn claim(&mut self, ticket: Ticket, holder: Incarnation, now: Instant) -> Verdict {
        if ticket.owner != self.owner {
            return Verdict::Unknown;
        }
        if ticket.seal != self.signature(ticket.issued, ticket.number) {
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
        let record = self.records.entry(key).or_insert(Record {
            grant: 0,
            state: State::Claimable,
        });
        match record.state {
            State::Running { .. } => Verdict::Running,
            State::Answered => Verdict::Answered,
            State::Unknown => Verdict::Unknown,
            State::Claimable => {
                record.grant += 1;
                record.state = State::Running { holder };
                Verdict::Granted(record.grant)
            }
        }
    }

    /// Records the outcome of a grant; ignored unless `grant` is the current one and not settled.
    pub fn settle(&mut self, ticket: Ticket, grant: u32, settlement: Settlement) {
        let Some(record) = self.records.get_mut(&(ticket.issued, ticket.number)) else {
            return;
        };
        if record.grant != grant || !matches!(record.state, State::Running { .. }) {
            return;
        }
        record.state = match settlement {
            Settlement::Answered => State::Answered,
            Settlement::NotRun => State::Claimable,
            Settlement::Unknown => State::Unknown,
        };
    }

    /// Marks all requests granted to the lost entry box process `holder` as possibly run.
    pub fn record_holder_lost(&mut self, holder: Incarnation) {
        for record in self.records.values_mut() {
            if record.state == (State::Running { holder }) {
                record.state = State::Unknown;
            }
        }
    }

    /// Removes expired tickets.
    pub fn remove_expired(&mut self, now: Instant) {
        let retention_millis = self.retention_millis;
        while let Some(oldest) = self.records.first_entry() {
            if !oldest
                .key()
                .0
                .after_millis(retention_millis)
                .has_passed(now)
            {
                break;
            }
            oldest.remove();
        }
    }

    /// Number of recorded tickets.
    pub fn len(&self) -> usize {
        self.records.len()
    }

    /// True if no ticket is recorded.
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }

    fn signature(&self, issued: Instant, number: u64) -> u64 {
        order::mix(self.secret ^ order::mix(number ^ order::mix(issued.as_millis() ^ self.secret)))
    }
}
