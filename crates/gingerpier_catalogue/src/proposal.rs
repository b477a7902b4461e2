//! Writes a change to the key-value service at most once, even if responses are lost.
//!
//! The write is a compare-and-swap on the store revision of the head key, so at most one of several
//! copies of a write takes effect. After a lost response the head is read retry: if it is unchanged,
//! the write is retried; otherwise the catalogue shows by the request's identity whether this write
//! changed it.
//!
//! ```
//! use gingerpier_catalogue::proposal::{Action, Event, Proposal};
//!
//! let mut proposal = Proposal::new(3);
//! assert_eq!(proposal.step(Event::Read { head: 7, accepted: false }), Action::Write { head: 7 });
//! // The response is lost; the head is read retry and the log contains the identity.
//! assert_eq!(proposal.step(Event::Lost), Action::Read);
//! assert_eq!(proposal.step(Event::Read { head: 8, accepted: true }), Action::Accepted);
//! ```

/// Result of the last action.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Event {
    /// The head was read and the catalogue updated to it.
    Read {
        /// Store revision of the head key.
        head: u64,
        /// True if the request has already been accepted, by its identity.
        accepted: bool,
    },
    /// The write took effect.
    Written,
    /// The head had changed; the write had no effect.
    Moved,
    /// No response: the write may have taken effect, or may take effect later.
    Lost,
    /// The key-value service refused the call, which had no effect.
    Refused,
    /// The commands are not valid for the current catalogue.
    Invalid,
}

/// Next action of the caller.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Action {
    /// Read the head and update the catalogue to it.
    Read,
    /// Write if the head is unchanged.
    Write {
        /// Expected store revision of the head key.
        head: u64,
    },
    /// Final: accepted.
    Accepted,
    /// Final: not accepted, and cannot take effect later.
    Rejected,
    /// Final: the key-value service is unavailable; nothing was written.
    Unavailable,
    /// Final: a write was sent, and it is unknown whether it took effect.
    Unknown,
}

/// State of one request that is being written to the key-value service.
#[derive(Debug, Clone, Copy)]
pub struct Proposal {
    attempts_left: u32,
    /// Expected head of a write whose response was lost.
    uncertain_head: Option<u64>,
    written_head: Option<u64>,
}

impl Proposal {
    /// Creates a proposal that ends after `max_attempts` unsuccessful calls.
    pub const fn new(max_attempts: u32) -> Self {
        Self {
            attempts_left: max_attempts,
            uncertain_head: None,
            written_head: None,
        }
    }

    /// Handles an event and returns the next action; the first event must be a read.
    pub const fn step(&mut self, event: Event) -> Action {
        match event {
            Event::Written => Action::Accepted,
            Event::Read { accepted: true, .. } => Action::Accepted,
            Event::Read {
                head,
                accepted: false,
            } => {
                // The head has changed without this request, so earlier writes can no longer take
                // effect.
                if matches!(self.uncertain_head, Some(uncertain) if uncertain != head) {
                    self.uncertain_head = None;
                }
                self.written_head = Some(head);
                Action::Write { head }
            }
            Event::Moved => {
                // The read shows whether a copy of this write or another write changed the head.
                self.retry()
            }
            Event::Lost => {
                if self.uncertain_head.is_none() {
                    self.uncertain_head = self.written_head;
                }
                self.retry()
            }
            Event::Refused => self.retry(),
            Event::Invalid => match self.uncertain_head {
                None => Action::Rejected,
                Some(_) => Action::Unknown,
            },
        }
    }

    const fn retry(&mut self) -> Action {
        self.attempts_left = self.attempts_left.saturating_sub(1);
        if self.attempts_left > 0 {
            return Action::Read;
        }
        match self.uncertain_head {
            None => Action::Unavailable,
            Some(_) => Action::Unknown,
        }
    }
}
