//! How a change gets into the key-value service: at most once, although answers may be lost.
//!
//! The write is a compare-and-swap on the head's revision in the key-value service, so that of
//! several copies of one write, however late, only one can ever take effect. Where an answer is
//! lost, the head is read again: if it has not moved, the same write is sent again; if it has,
//! the catalogue tells by the request's identity whether it was this write that moved it.
//!
//! ```
//! use gingerpier_catalogue::proposal::{Action, Event, Proposal};
//!
//! let mut proposal = Proposal::new(3);
//! assert_eq!(proposal.step(Event::Read { head: 7, accepted: false }), Action::Write { head: 7 });
//! // The answer is lost; the head is read again, and the identity is found in the log.
//! assert_eq!(proposal.step(Event::Lost), Action::Read);
//! assert_eq!(proposal.step(Event::Read { head: 8, accepted: true }), Action::Accepted);
//! ```

/// What happened.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Event {
    /// The head was read, and the catalogue brought up to it.
    Read {
        /// The key-value service's revision of the head.
        head: u64,
        /// True where the request's identity is among what was accepted.
        accepted: bool,
    },
    /// The write took effect.
    Written,
    /// The head had moved; the write had no effect.
    Moved,
    /// No answer came: the call may have had its effect, or may yet have it.
    Lost,
    /// The service refused the call; it had no effect.
    Refused,
    /// The commands do not apply to the catalogue as it is now.
    Invalid,
}

/// What to do.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Action {
    /// Read the head, and bring the catalogue up to it.
    Read,
    /// Write, where the head is still at this revision of the key-value service.
    Write {
        /// The revision compared.
        head: u64,
    },
    /// Final: accepted.
    Accepted,
    /// Final: not accepted, and it never will be.
    Rejected,
    /// Final: the service could not be reached, and nothing was written.
    Unavailable,
    /// Final: a write was sent, and whether it took effect can't be found out now.
    Unknown,
}

/// One request on its way into the key-value service.
#[derive(Debug, Clone, Copy)]
pub struct Proposal {
    tries_left: u32,
    /// Head compared by a write whose answer was lost.
    in_doubt: Option<u64>,
    sent: Option<u64>,
}

impl Proposal {
    /// Proposal that gives up after `tries` calls that brought no progress.
    pub const fn new(tries: u32) -> Self {
        Self {
            tries_left: tries,
            in_doubt: None,
            sent: None,
        }
    }

    /// Takes an event; the first is a read.
    pub const fn step(&mut self, event: Event) -> Action {
        match event {
            Event::Written => Action::Accepted,
            Event::Read { accepted: true, .. } => Action::Accepted,
            Event::Read {
                head,
                accepted: false,
            } => {
                // A head that moved on without our identity shuts out every write compared
                // with an earlier one.
                if matches!(self.in_doubt, Some(doubted) if doubted != head) {
                    self.in_doubt = None;
                }
                self.sent = Some(head);
                Action::Write { head }
            }
            Event::Moved => {
                // Only a copy of this write, or another's write, can have moved it; the read
                // tells which.
                self.again()
            }
            Event::Lost => {
                if self.in_doubt.is_none() {
                    self.in_doubt = self.sent;
                }
                self.again()
            }
            Event::Refused => self.again(),
            Event::Invalid => match self.in_doubt {
                None => Action::Rejected,
                Some(_) => Action::Unknown,
            },
        }
    }

    const fn again(&mut self) -> Action {
        self.tries_left = self.tries_left.saturating_sub(1);
        if self.tries_left > 0 {
            return Action::Read;
        }
        match self.in_doubt {
            None => Action::Unavailable,
            Some(_) => Action::Unknown,
        }
    }
}
