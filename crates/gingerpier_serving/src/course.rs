//! What follows an attempt that brought no whole answer.

use {crate::configuration::Repeat, gingerpier_base::Instant};

/// What is known of a failed attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Failure {
    /// The engine proved that it did not run the request, or no byte of it was sent.
    NotRun,
    /// The request may have run.
    Unknown,
}

/// What to do next.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Next {
    /// Send it to another engine.
    TryAnother,
    /// Tell the caller that it has not run and never will.
    Refuse,
    /// Tell the caller that it may have run.
    Fail,
    /// Tell the caller that time is up.
    TimeOut,
}

/// How a request stands.
#[derive(Debug, Clone, Copy)]
pub struct Standing {
    /// How often it may run.
    pub repeat: Repeat,
    /// Engines that it went to.
    pub attempts: u32,
    /// Most engines that it may go to.
    pub max_attempts: u32,
    /// True once an attempt may have run it.
    pub may_have_run: bool,
    /// When its caller stops waiting or the operators' time is up.
    pub deadline: Instant,
}

/// Least time that another attempt is worth, in milliseconds.
const LEAST_MILLIS: u64 = 20;

impl Standing {
    /// Notes a failure and decides; `pay` takes one retry from the budget and is only called
    /// where everything else allows another attempt.
    pub fn after<F>(&mut self, failure: Failure, now: Instant, pay: F) -> Next
    where
        F: FnOnce() -> bool,
    {
        self.may_have_run |= failure == Failure::Unknown;
        if self.deadline.has_passed(now) {
            return self.timed_out();
        }
        let allowed = !self.may_have_run || self.repeat.is_idempotent();
        let in_time = self.deadline.millis_since(now) >= LEAST_MILLIS;
        if allowed && in_time && self.attempts < self.max_attempts && pay() {
            return Next::TryAnother;
        }
        self.give_up()
    }

    /// Final answer where no further engine can be asked.
    pub const fn give_up(&self) -> Next {
        if self.may_have_run {
            Next::Fail
        } else {
            Next::Refuse
        }
    }

    /// Final answer once the deadline has passed.
    pub const fn timed_out(&self) -> Next {
        if self.may_have_run {
            Next::TimeOut
        } else {
            Next::Refuse
        }
    }
}
