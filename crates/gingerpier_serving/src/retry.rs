//! Decision after a failed attempt of a request.

use {crate::configuration::Repeat, gingerpier_base::Instant};

/// Type of a failed attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Failure {
    /// The engine confirmed that it didn't run the request, or no byte was sent.
    NotRun,
    /// The request may have run.
    Unknown,
}

/// Action action for a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Action {
    /// Send it to another engine.
    Retry,
    /// Respond that the request hasn't run and never will.
    Refuse,
    /// Respond that the request may have run.
    Fail,
    /// Respond that the deadline has passed.
    TimeOut,
}

/// Retry state of a request.
#[derive(Debug, Clone, Copy)]
pub struct RetryState {
    /// Whether it may run more than once.
    pub repeat: Repeat,
    /// Number of attempts so far.
    pub attempts: u32,
    /// Limit of the attempts.
    pub max_attempts: u32,
    /// True if any attempt may have run.
    pub may_have_run: bool,
    /// Earlier one of the caller's deadline and the route's timeout.
    pub deadline: Instant,
}

/// Remaining time below which no further attempt is made.
const MIN_REMAINING_MILLIS: u64 = 20;

impl RetryState {
    /// Records a failed attempt and returns the next action. `take_retry` takes a retry from the budget;
    /// it is only called if everything else permits a retry.
    pub fn record_failure<F>(&mut self, failure: Failure, now: Instant, take_retry: F) -> Action
    where
        F: FnOnce() -> bool,
    {
        self.may_have_run |= failure == Failure::Unknown;
        if self.deadline.has_passed(now) {
            return self.timeout_action();
        }
        let may_run_again = !self.may_have_run || self.repeat.is_idempotent();
        let has_time = self.deadline.millis_since(now) >= MIN_REMAINING_MILLIS;
        if may_run_again && has_time && self.attempts < self.max_attempts && take_retry() {
            return Action::Retry;
        }
        self.final_action()
    }

    /// Returns the final action if no other engine is available.
    pub const fn final_action(&self) -> Action {
        if self.may_have_run {
            Action::Fail
        } else {
            Action::Refuse
        }
    }

    /// Returns the final action after the deadline.
    pub const fn timeout_action(&self) -> Action {
        if self.may_have_run {
            Action::TimeOut
        } else {
            Action::Refuse
        }
    }
}
