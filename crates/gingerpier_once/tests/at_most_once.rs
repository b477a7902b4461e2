//! Runs random schedules of the specification `spec/at_most_once.pml` on the state machines: two
//! entry boxes, a backend server that restarts, and messages that are duplicated, delayed or lost.

use {
    gingerpier_base::{Instant, place::Incarnation},
    gingerpier_once::{
        Claims, Deduplicator, Lifecycle, Ticket,
        claims::{Settlement, Verdict},
        dedup::{Admission, AttemptKey, Refusal, Revocation},
        lifecycle::{Action, Event, Idempotency},
    },
    proptest::prelude::*,
};

const NOW: Instant = Instant::from_millis(1_000);

/// Message with an attempt, in transit to the backend server.
#[derive(Clone, Copy)]
struct Message {
    holder: usize,
    key: AttemptKey,
    addressed: Incarnation,
}

struct Holder {
    entry: Incarnation,
    grant: Option<u32>,
    lifecycle: Lifecycle,
    attempts: u64,
    addressed: Incarnation,
    reported_not_run: bool,
    is_finished: bool,
}

struct Simulation {
    claims: Claims,
    ticket: Ticket,
    deduplicator: Deduplicator,
    holders: Vec<Holder>,
    network: Vec<Message>,
    /// Holder of each attempt that ran.
    executions: Vec<usize>,
    /// Key of each attempt that ran.
    executed_attempts: Vec<AttemptKey>,
}

impl Simulation {
    fn new() -> Self {
        let mut claims = Claims::new(Incarnation(100), 7, 600_000);
        let ticket = claims.issue(NOW);
        let holder = |entry| Holder {
            entry: Incarnation(entry),
            grant: None,
            lifecycle: Lifecycle::new(
                Idempotency::NonIdempotent,
                NOW.after_millis(60_000),
                3,
                true,
            ),
            attempts: 0,
            addressed: Incarnation(1),
            reported_not_run: false,
            is_finished: false,
        };
        Self {
            claims,
            ticket,
            deduplicator: Deduplicator::new(Incarnation(1), 600_000),
            holders: vec![holder(100), holder(101)],
            network: Vec::new(),
            executions: Vec::new(),
            executed_attempts: Vec::new(),
        }
    }

    fn start(&mut self, index: usize) {
        let entry = self.holders[index].entry;
        match self.claims.claim(self.ticket, entry, NOW) {
            Verdict::Granted(grant) => {
                self.holders[index].grant = Some(grant);
                self.handle_event(index, Event::EngineSelected, true);
            }
            _ => self.holders[index].is_finished = true,
        }
    }

    fn handle_event(&mut self, index: usize, event: Event, duplicate: bool) {
        let holder = &mut self.holders[index];
        holder.attempts += 1;
        let key = AttemptKey {
            entry: holder.entry,
            number: holder.attempts,
        };
        let actions = holder.lifecycle.step(event, key, NOW);
        for action in actions.into_iter().flatten() {
            self.perform(index, action, duplicate);
        }
    }

    fn perform(&mut self, index: usize, action: Action, duplicate: bool) {
        match action {
            Action::SelectEngine | Action::Resume => {
                self.handle_event(index, Event::EngineSelected, duplicate)
            }
            Action::Send(key) => {
                let addressed = self.deduplicator.incarnation();
                self.holders[index].addressed = addressed;
                let message = Message {
                    holder: index,
                    key,
                    addressed,
                };
                self.network
                    .extend(std::iter::repeat_n(message, 1 + usize::from(duplicate)));
            }
            Action::Revoke(key) => {
                let addressed = self.holders[index].addressed;
                let revocation = self.deduplicator.revoke(key, addressed, NOW);
                self.handle_event(index, Event::Revoked(revocation), duplicate);
            }
            Action::ReportNotRun(_) => {
                self.holders[index].reported_not_run = true;
                self.finish(index, Settlement::NotRun);
            }
            Action::ReportUnknown(_) | Action::AbortResponse(_) => {
                self.finish(index, Settlement::Unknown)
            }
            Action::Complete => self.finish(index, Settlement::Answered),
        }
    }

    fn finish(&mut self, index: usize, settlement: Settlement) {
        self.holders[index].is_finished = true;
        if let Some(grant) = self.holders[index].grant {
            self.claims.settle(self.ticket, grant, settlement);
        }
    }

    /// Delivers one message; `is_reply_delivered` is false if a refusal is lost on its way back.
    fn deliver(&mut self, message_index: usize, is_ready: bool, is_reply_delivered: bool) {
        if self.network.is_empty() {
            return;
        }
        let message = self.network.swap_remove(message_index % self.network.len());
        let ready = if is_ready { Ok(()) } else { Err(Refusal::Full) };
        match self
            .deduplicator
            .admit(message.key, message.addressed, ready, NOW)
        {
            Admission::Start => {
                self.executions.push(message.holder);
                self.executed_attempts.push(message.key);
            }
            Admission::Refuse(refusal) => {
                let is_current =
                    self.holders[message.holder].lifecycle.attempt() == Some(message.key);
                if is_reply_delivered && is_current {
                    self.handle_event(message.holder, Event::Refused(refusal), false);
                }
            }
            Admission::Duplicate => {}
        }
    }

    fn restart_backend(&mut self) {
        let incarnation = Incarnation(self.deduplicator.incarnation().0 + 1);
        self.deduplicator = Deduplicator::new(incarnation, 600_000);
    }

    fn assert_at_most_once(&self) {
        assert!(
            self.executions.len() <= 1,
            "the request ran {} times",
            self.executions.len()
        );
        for holder in &self.executions {
            assert!(
                !self.holders[*holder].reported_not_run,
                "the request ran but was reported as not run"
            );
        }
    }
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(4_000))]

    #[test]
    fn attempt_runs_at_most_once_and_not_run_is_never_false(
        steps in prop::collection::vec((0..7u8, any::<u8>(), any::<bool>(), any::<bool>()), 1..40),
    ) {
        let mut simulation = Simulation::new();
        for (step, message_index, first_flag, second_flag) in steps {
            let index = usize::from(first_flag);
            let started = simulation.holders[index].grant.is_some();
            match step {
                0 if !started && !simulation.holders[index].is_finished => simulation.start(index),
                1..=3 => simulation.deliver(usize::from(message_index), first_flag, second_flag),
                4 => simulation.restart_backend(),
                5 if started => simulation.handle_event(index, Event::LinkLost, second_flag),
                6 if started => simulation.handle_event(index, Event::CallerGone, second_flag),
                _ => {}
            }
            simulation.assert_at_most_once();
        }
        while !simulation.network.is_empty() {
            simulation.deliver(0, true, true);
            simulation.assert_at_most_once();
        }
    }
}

#[test]
fn refusal_after_restart_is_no_proof_that_attempt_did_not_run() {
    let mut simulation = Simulation::new();
    simulation.start(0);
    let message = simulation.network[0];
    simulation.network.push(message);
    simulation.deliver(0, true, true);
    simulation.restart_backend();
    simulation.deliver(0, true, true);
    assert!(simulation.holders[0].is_finished && !simulation.holders[0].reported_not_run);
    simulation.assert_at_most_once();
}

#[test]
fn late_duplicate_is_refused_after_its_record_is_removed() {
    let mut deduplicator = Deduplicator::new(Incarnation(1), 10);
    let key = |number| AttemptKey {
        entry: Incarnation(9),
        number,
    };
    assert_eq!(
        deduplicator.admit(key(5), Incarnation(1), Ok(()), NOW),
        Admission::Start
    );
    deduplicator.record_end(key(5), NOW);
    deduplicator.remove_expired(NOW.after_millis(20));
    assert_eq!(deduplicator.record_count(), 0);
    for number in [5, 4] {
        let admission =
            deduplicator.admit(key(number), Incarnation(1), Ok(()), NOW.after_millis(30));
        assert_eq!(admission, Admission::Refuse(Refusal::Stale));
    }
    assert_eq!(
        deduplicator.revoke(key(5), Incarnation(1), NOW),
        Revocation::Unknown
    );
}
