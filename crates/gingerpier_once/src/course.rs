//! The course of one request at an entry box: when to try, try again, give up, and what to say.
//!
//! Three outcomes are kept apart: answered, not run (proved at the door), and unknown. A request
//! that must not run twice is only tried again after proof that the try before did not run. A
//! request given up on is answered at once; nothing waits for a revocation's answer then.

use {
    crate::door::{AttemptKey, Refusal, Revocation},
    gingerpier_base::Instant,
};

/// Whether a request may run more than once.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Repetition {
    /// Running it twice does no harm.
    Harmless,
    /// It must run at most once.
    Forbidden,
}

/// What happened.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Event {
    /// An engine was found for the next attempt.
    Chosen,
    /// No engine may take it now; one may from the instant on.
    NoneFree(Instant),
    /// The door refused the attempt.
    Refused(Refusal),
    /// The door refused an attempt that was to run at once or not at all; it costs no try.
    Bounced,
    /// The answer's first part came.
    Head,
    /// The answer came to its end.
    End,
    /// The engine failed, or the answer broke off, with the door still there.
    Broken,
    /// The door can't be reached, and it is not known what it saw.
    LinkLost,
    /// The door's word on a revocation.
    Revoked(Revocation),
    /// The caller went away.
    CallerGone,
    /// Time passed.
    Tick,
}

/// What to do.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Action {
    /// Choose an engine, another one than before where there is one.
    Choose,
    /// Send the attempt to the engine chosen.
    Send(AttemptKey),
    /// Ask the door to shut out the attempt, and to end it if it runs.
    Revoke(AttemptKey),
    /// Ask for the rest of the answer at another engine of the same version.
    Resume,
    /// Final: the request did not run.
    SayNotRun(Reason),
    /// Final: the request may have run.
    SayUnknown(Reason),
    /// Final: the answer broke off after its first part; it must not look whole.
    BreakOff(Reason),
    /// Final: the answer was whole.
    Done,
}

/// Why a request was given up.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Reason {
    /// No engine may take it now; come back at the instant.
    NoneFree(Instant),
    /// Its deadline passed.
    Deadline,
    /// The tries or the retry budget were used up.
    Retries,
    /// The door could not be asked.
    LinkLost,
    /// The engine failed while it ran.
    Broken,
    /// Nobody waits for the answer.
    CallerGone,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Phase {
    Choosing,
    Sent(AttemptKey),
    Revoking(AttemptKey),
    Answering(AttemptKey),
    Over,
}

/// Course of one request.
#[derive(Debug)]
pub struct Course {
    repetition: Repetition,
    deadline: Instant,
    tries_left: u32,
    can_resume: bool,
    phase: Phase,
    /// True once some attempt may have run.
    may_have_run: bool,
    begun: bool,
}

impl Course {
    /// Course of a request that is given up at `deadline` or after `tries` attempts.
    pub const fn new(
        repetition: Repetition,
        deadline: Instant,
        tries: u32,
        can_resume: bool,
    ) -> Self {
        Self {
            repetition,
            deadline,
            tries_left: tries,
            can_resume,
            phase: Phase::Choosing,
            may_have_run: false,
            begun: false,
        }
    }

    /// True where an attempt may have run.
    pub const fn may_have_run(&self) -> bool {
        self.may_have_run
    }

    /// Notes that what came of the answer can't be gone on with elsewhere.
    pub const fn forbid_resuming(&mut self) {
        self.can_resume = false;
    }

    /// Attempt under way.
    pub const fn attempt(&self) -> Option<AttemptKey> {
        match self.phase {
            Phase::Sent(key) | Phase::Revoking(key) | Phase::Answering(key) => Some(key),
            Phase::Choosing | Phase::Over => None,
        }
    }

    /// Takes an event; `key` numbers the next attempt, should one be sent.
    ///
    /// Two actions at most follow: a revocation may precede a final word.
    pub fn step(&mut self, event: Event, key: AttemptKey, now: Instant) -> [Option<Action>; 2] {
        if self.phase == Phase::Over {
            return [None, None];
        }
        if event == Event::CallerGone {
            return self.give_up(Reason::CallerGone);
        }
        // The end of an answer that came in time counts even when seen late.
        if event != Event::End && self.deadline.has_passed(now) {
            return self.give_up(Reason::Deadline);
        }
        match (self.phase, event) {
            (Phase::Choosing, Event::Chosen) => self.send(key),
            (Phase::Choosing, Event::NoneFree(at)) => self.give_up(Reason::NoneFree(at)),
            (Phase::Sent(_), Event::Refused(refusal)) if refusal.proves_not_run() => {
                self.try_again()
            }
            (Phase::Sent(_), Event::Refused(_)) => self.after_loss(Reason::LinkLost),
            (Phase::Sent(_), Event::Bounced) => {
                self.tries_left += 1;
                self.try_again()
            }
            (Phase::Sent(sent), Event::Head) => {
                self.may_have_run = true;
                self.begun = true;
                self.phase = Phase::Answering(sent);
                [None, None]
            }
            (Phase::Answering(_), Event::End) => {
                self.phase = Phase::Over;
                [Some(Action::Done), None]
            }
            (Phase::Sent(sent), Event::LinkLost) => {
                self.phase = Phase::Revoking(sent);
                [Some(Action::Revoke(sent)), None]
            }
            (Phase::Revoking(_), Event::Revoked(Revocation::NotRun)) => self.try_again(),
            (Phase::Revoking(_), Event::Revoked(_)) => self.after_loss(Reason::Broken),
            (Phase::Revoking(_), Event::LinkLost) => self.after_loss(Reason::LinkLost),
            (Phase::Sent(_) | Phase::Answering(_), Event::Broken) => {
                self.after_loss(Reason::Broken)
            }
            (Phase::Answering(_), Event::LinkLost) => self.after_loss(Reason::LinkLost),
            // The rest of a resumed answer was refused: another engine may still have room.
            (Phase::Answering(_), Event::Refused(_)) => self.after_loss(Reason::Broken),
            _ => [None, None],
        }
    }

    fn send(&mut self, key: AttemptKey) -> [Option<Action>; 2] {
        self.tries_left = self.tries_left.saturating_sub(1);
        self.phase = Phase::Sent(key);
        [Some(Action::Send(key)), None]
    }

    /// The attempt before is proved not to have run.
    fn try_again(&mut self) -> [Option<Action>; 2] {
        if self.tries_left == 0 {
            return self.give_up_unsent(Reason::Retries);
        }
        self.phase = Phase::Choosing;
        [
            Some(if self.begun {
                Action::Resume
            } else {
                Action::Choose
            }),
            None,
        ]
    }

    /// The attempt may have run, or did in part.
    fn after_loss(&mut self, reason: Reason) -> [Option<Action>; 2] {
        self.may_have_run = true;
        let may_repeat = self.repetition == Repetition::Harmless && self.tries_left > 0;
        if may_repeat && (!self.begun || self.can_resume) {
            self.phase = Phase::Choosing;
            return [
                Some(if self.begun {
                    Action::Resume
                } else {
                    Action::Choose
                }),
                None,
            ];
        }
        self.give_up_unsent(reason)
    }

    /// Final word at once; a revocation goes out before it where an attempt is under way.
    fn give_up(&mut self, reason: Reason) -> [Option<Action>; 2] {
        let Some(attempt) = self.attempt() else {
            return self.give_up_unsent(reason);
        };
        self.may_have_run = true;
        let [last, _] = self.give_up_unsent(reason);
        [Some(Action::Revoke(attempt)), last]
    }

    fn give_up_unsent(&mut self, reason: Reason) -> [Option<Action>; 2] {
        self.phase = Phase::Over;
        let last = match (self.begun, self.may_have_run) {
            (true, _) => Action::BreakOff(reason),
            (false, true) => Action::SayUnknown(reason),
            (false, false) => Action::SayNotRun(reason),
        };
        [Some(last), None]
    }
}
