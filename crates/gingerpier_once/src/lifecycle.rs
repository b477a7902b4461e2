//! State machine of one request at an entry box: attempts, retries and the final result.
//!
//! It distinguishes three results: answered, certainly not run, and unknown. A request that isn't
//! idempotent is retried only after the backend server confirmed that the previous attempt did not
//! run. A request that is aborted gets its result at once, without waiting for the response to a
//! revocation.

use {
    crate::dedup::{AttemptKey, Refusal, Revocation},
    gingerpier_base::Instant,
};

/// Whether a request may run more than once.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Idempotency {
    /// The request is idempotent.
    Idempotent,
    /// The request must run at most once.
    NonIdempotent,
}

/// Input of the state machine.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Event {
    /// An engine was selected for the next attempt.
    EngineSelected,
    /// No engine can accept the request now; holds the earliest time of a retry.
    NoneFree(Instant),
    /// The backend server refused the attempt.
    Refused(Refusal),
    /// The backend server refused an attempt that was not allowed to queue; not counted as an
    /// attempt.
    QueueingRefused,
    /// The head of the response arrived.
    ResponseStarted,
    /// The response is complete.
    ResponseFinished,
    /// The engine failed or truncated the response; the backend server is still reachable.
    Broken,
    /// The backend server is unreachable, and may or may not have received the attempt.
    LinkLost,
    /// The backend server's response to a revocation.
    Revoked(Revocation),
    /// The caller disconnected.
    CallerGone,
    /// Timer event that checks the deadline.
    Tick,
}

/// Output of the state machine.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Action {
    /// Select an engine, preferably one that was not tried.
    SelectEngine,
    /// Send the attempt to the selected engine.
    Send(AttemptKey),
    /// Ask the backend server to refuse the attempt, or to cancel it if it runs.
    Revoke(AttemptKey),
    /// Request the rest of the response from another engine of the same version.
    Resume,
    /// Final: report that the request did not run.
    ReportNotRun(Reason),
    /// Final: report that the request may have run.
    ReportUnknown(Reason),
    /// Final: terminate the started response so that the caller sees it as incomplete.
    AbortResponse(Reason),
    /// Final: the response is complete.
    Complete,
}

/// Why a request failed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Reason {
    /// No engine can accept the request now; holds the earliest time of a retry.
    NoneFree(Instant),
    /// The deadline passed.
    Deadline,
    /// The attempts or the retry budget are exhausted.
    Retries,
    /// The backend server became unreachable.
    LinkLost,
    /// The engine failed during execution.
    Broken,
    /// The caller disconnected.
    CallerGone,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Phase {
    SelectingEngine,
    Sent(AttemptKey),
    Revoking(AttemptKey),
    Responding(AttemptKey),
    Finished,
}

/// State of one request.
#[derive(Debug)]
pub struct Lifecycle {
    idempotency: Idempotency,
    deadline: Instant,
    attempts_left: u32,
    can_resume: bool,
    phase: Phase,
    /// Set once any attempt may have run.
    may_have_run: bool,
    has_response_started: bool,
}

impl Lifecycle {
    /// Creates the state of a request that fails at `deadline` or after `max_attempts`
    /// attempts; `can_resume` allows continuing a truncated response at another engine.
    pub const fn new(
        idempotency: Idempotency,
        deadline: Instant,
        max_attempts: u32,
        can_resume: bool,
    ) -> Self {
        Self {
            idempotency,
            deadline,
            attempts_left: max_attempts,
            can_resume,
            phase: Phase::SelectingEngine,
            may_have_run: false,
            has_response_started: false,
        }
    }

    /// True if any attempt may have run.
    pub const fn may_have_run(&self) -> bool {
        self.may_have_run
    }

    /// Disables continuing a truncated response at another engine.
    pub const fn disable_resume(&mut self) {
        self.can_resume = false;
    }

    /// Current attempt, if one was sent.
    pub const fn attempt(&self) -> Option<AttemptKey> {
        match self.phase {
            Phase::Sent(key) | Phase::Revoking(key) | Phase::Responding(key) => Some(key),
            Phase::SelectingEngine | Phase::Finished => None,
        }
    }

    /// Processes an event; `key` identifies the next attempt if one is sent.
    ///
    /// Returns at most two actions: a revocation may precede a final one.
    pub fn step(&mut self, event: Event, key: AttemptKey, now: Instant) -> [Option<Action>; 2] {
        if self.phase == Phase::Finished {
            return [None, None];
        }
        if event == Event::CallerGone {
            return self.abort(Reason::CallerGone);
        }
        // A complete response is delivered even if it is processed after the deadline.
        if event != Event::ResponseFinished && self.deadline.has_passed(now) {
            return self.abort(Reason::Deadline);
        }
        match (self.phase, event) {
            (Phase::SelectingEngine, Event::EngineSelected) => self.send(key),
            (Phase::SelectingEngine, Event::NoneFree(at)) => self.abort(Reason::NoneFree(at)),
            (Phase::Sent(_), Event::Refused(refusal)) if refusal.proves_not_run() => self.retry(),
            (Phase::Sent(_), Event::Refused(_)) => self.handle_loss(Reason::LinkLost),
            (Phase::Sent(_), Event::QueueingRefused) => {
                self.attempts_left += 1;
                self.retry()
            }
            (Phase::Sent(sent), Event::ResponseStarted) => {
                self.may_have_run = true;
                self.has_response_started = true;
                self.phase = Phase::Responding(sent);
                [None, None]
            }
            (Phase::Responding(_), Event::ResponseFinished) => {
                self.phase = Phase::Finished;
                [Some(Action::Complete), None]
            }
            (Phase::Sent(sent), Event::LinkLost) => {
                self.phase = Phase::Revoking(sent);
                [Some(Action::Revoke(sent)), None]
            }
            (Phase::Revoking(_), Event::Revoked(Revocation::NotRun)) => self.retry(),
            (Phase::Revoking(_), Event::Revoked(_)) => self.handle_loss(Reason::Broken),
            (Phase::Revoking(_), Event::LinkLost) => self.handle_loss(Reason::LinkLost),
            (Phase::Sent(_) | Phase::Responding(_), Event::Broken) => {
                self.handle_loss(Reason::Broken)
            }
            (Phase::Responding(_), Event::LinkLost) => self.handle_loss(Reason::LinkLost),
            // The attempt to resume was refused; another engine may accept it.
            (Phase::Responding(_), Event::Refused(_)) => self.handle_loss(Reason::Broken),
            _ => [None, None],
        }
    }

    fn send(&mut self, key: AttemptKey) -> [Option<Action>; 2] {
        self.attempts_left = self.attempts_left.saturating_sub(1);
        self.phase = Phase::Sent(key);
        [Some(Action::Send(key)), None]
    }

    /// Retries after an attempt that certainly did not run.
    fn retry(&mut self) -> [Option<Action>; 2] {
        if self.attempts_left == 0 {
            return self.fail(Reason::Retries);
        }
        self.phase = Phase::SelectingEngine;
        [
            Some(if self.has_response_started {
                Action::Resume
            } else {
                Action::SelectEngine
            }),
            None,
        ]
    }

    /// Handles the loss of an attempt that may have run: retries if the request is idempotent,
    /// otherwise fails.
    fn handle_loss(&mut self, reason: Reason) -> [Option<Action>; 2] {
        self.may_have_run = true;
        let can_retry = self.idempotency == Idempotency::Idempotent && self.attempts_left > 0;
        if can_retry && (!self.has_response_started || self.can_resume) {
            self.phase = Phase::SelectingEngine;
            return [
                Some(if self.has_response_started {
                    Action::Resume
                } else {
                    Action::SelectEngine
                }),
                None,
            ];
        }
        self.fail(reason)
    }

    /// Fails at once, with a revocation first if an attempt was sent.
    fn abort(&mut self, reason: Reason) -> [Option<Action>; 2] {
        let Some(attempt) = self.attempt() else {
            return self.fail(reason);
        };
        self.may_have_run = true;
        let [final_action, _] = self.fail(reason);
        [Some(Action::Revoke(attempt)), final_action]
    }

    fn fail(&mut self, reason: Reason) -> [Option<Action>; 2] {
        self.phase = Phase::Finished;
        let final_action = match (self.has_response_started, self.may_have_run) {
            (true, _) => Action::AbortResponse(reason),
            (false, true) => Action::ReportUnknown(reason),
            (false, false) => Action::ReportNotRun(reason),
        };
        [Some(final_action), None]
    }
}
