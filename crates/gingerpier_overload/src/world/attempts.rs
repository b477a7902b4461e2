//! The course of a caller's request: it comes, goes to an engine or is refused, and ends.

use {
    super::{Attempt, Event, FirstEvent, Try, Word, World, incidents},
    crate::{
        callers::{Caller, Outcome},
        deployment,
        engine::Job,
        gateway::Ask,
    },
    gingerpier_admission::{
        return_detection::Visit,
        selection::{self, Choice},
    },
    std::ops::Range,
};

/// Engines that one request may go to.
const MOST_ATTEMPTS: usize = 2;

/// Milliseconds after which a caller of full engines may come again.
const RETRY_FULL: Range<f64> = 600.0..1_600.0;

/// The same where no engine could run the request.
const RETRY_NO_ENGINE: Range<f64> = 1_000.0..1_900.0;

/// Milliseconds between looks at whether a caller that is held can be sent.
const HOLD_LOOK_MILLIS: f64 = 10.0;

/// Milliseconds that an engine rests after it refused a request.
const FULL_REST_MILLIS: u64 = 60;

/// Least milliseconds to a first event after which another engine may be asked, and times the target.
const PATIENCE: (u64, u64) = (1_200, 3);

/// Milliseconds until an engine that is silent, with no other to go to, is looked at again.
const LOOK_MILLIS: f64 = 300.0;

impl World {
    pub(super) fn arrive(&mut self, gateway: usize) {
        let burst = match self.trigger {
            Some(trigger) if self.is_triggered() => trigger.burst,
            _ => 1.0,
        };
        let factors = &self.conditions.kind_factors;
        let growth = self.deployment.growth(factors);
        let per_milli = self.deployment.capacity_per_milli() * self.load * burst * growth;
        let per_milli = per_milli * self.deployment.accounts.rate_factor(self.now);
        let mean = match &self.deployment.zoning {
            Some(zoning) => 1.0 / (per_milli * zoning.share_of_gateway(gateway)),
            None => self.gateways.len() as f64 / per_milli,
        };
        let pause = self.draw.pause(mean);
        let factors = &self.conditions.kind_factors;
        let kind = self.deployment.kind(factors, &mut self.draw);
        self.after(pause, Event::Arrival(gateway));
        let accounts = &self.deployment.accounts;
        let account = accounts.draw(&mut self.account_draw, self.now);
        let zone = self.deployment.zone_of_gateway(gateway);
        let Some(gateway) = self.accepting(gateway) else {
            return;
        };
        let model = &self.deployment.model;
        let usual_prompt = f64::from(model.mean_prompt_tokens) * self.deployment.kinds[kind].prompt;
        let usual_answer = f64::from(model.mean_answer_tokens) * self.deployment.kinds[kind].answer;
        let caller = Caller {
            came_at: self.now,
            tried_at: self.now,
            gateway,
            account,
            kind,
            zone,
            prompt: deployment::tokens(&mut self.draw, usual_prompt as u32),
            answer: deployment::tokens(&mut self.draw, usual_answer as u32),
            is_impatient: self.draw.share() < self.deployment.impatient_share,
            tries: 0,
            first_at: None,
            held_until: None,
            visit: Visit::First,
            tried: Vec::new(),
            attempt: None,
            outcome: Outcome::Open,
        };
        self.callers.push(caller);
        self.attempt_first(self.callers.len() - 1);
    }

    /// A caller's try, at a gateway that may be another than before.
    pub(super) fn attempt_first(&mut self, index: usize) {
        let gateways = self.gateways.len();
        let caller = &mut self.callers[index];
        caller.visit = match caller.tries {
            0 => Visit::First,
            _ => Visit::Returned,
        };
        caller.tries += 1;
        caller.tried_at = self.now;
        caller.tried.clear();
        caller.held_until = None;
        if caller.tries > 1 {
            let draw = self.draw.number();
            caller.gateway = match &self.deployment.zoning {
                Some(zoning) => zoning.other_gateway(caller.gateway, draw),
                None => (caller.gateway + 1 + (draw % gateways as u64) as usize) % gateways,
            };
            let Some(gateway) = self.accepting(self.callers[index].gateway) else {
                self.callers[index].outcome = Outcome::Lost;
                return;
            };
            self.callers[index].gateway = gateway;
        }
        let now = self.instant();
        let gateway = self.callers[index].gateway;
        if let Some(sharing) = &mut self.gateways[gateway].sharing {
            sharing.note_arrival(now);
        }
        if self.exceeds_account_part(index) {
            return self.retry_later(index, &RETRY_FULL);
        }
        self.send(index, true);
        let gap = self.deployment.gap_millis() as f64;
        self.after(gap, Event::Leave(index));
    }

    pub(super) fn choose(&mut self, index: usize) -> Choice {
        let draw = self.draw.number();
        let ask = self.ask(index, draw);
        let gateway = self.callers[index].gateway;
        self.gateways[gateway].choose(&ask, self.instant())
    }

    pub(super) fn ask(&self, index: usize, draw: u64) -> Ask<'_> {
        let caller = &self.callers[index];
        let held = match caller.held_until {
            Some(_) if caller.tried.is_empty() => self.now - caller.tried_at,
            _ => 0.0,
        };
        Ask {
            deployment: &self.deployment,
            target_millis: (self.deployment.target_of(caller.kind) - held).max(0.0) as u64,
            prompt: caller.prompt,
            visit: match caller.tried.is_empty() {
                true => caller.visit,
                false => Visit::Returned,
            },
            tried: &caller.tried,
            draw,
        }
    }

    pub(super) fn send(&mut self, index: usize, is_first: bool) {
        let (choice, is_granted, placed) = match is_first {
            true => self.choose_or_grant(index),
            false => (self.choose(index), false, None),
        };
        let (key, predicted, own) = match choice {
            Choice::Send {
                engine,
                predicted_millis,
                own_millis,
            } => (engine, predicted_millis, own_millis),
            Choice::Full(_) if self.holds(index) => {
                return self.after(HOLD_LOOK_MILLIS, Event::Again(index));
            }
            Choice::Full(refusal) => {
                let wait = self.wait_of(index, refusal.components.own_prompt_millis);
                self.record_account_refusal(index);
                return self.refuse(index, &RETRY_FULL, Some(wait));
            }
            Choice::NoEngine => return self.refuse(index, &RETRY_NO_ENGINE, None),
        };
        let wait = self.wait_of(index, own);
        let now = self.instant();
        let caller = &mut self.callers[index];
        let gateway = &mut self.gateways[caller.gateway];
        gateway.note_sent(key, caller.prompt, is_first, now);
        if is_first {
            gateway.note_fate(caller.visit, false, Some(wait), now);
            let pressure = (predicted - own) / wait.max(1.0);
            gateway.accounts.record_admission(pressure, now);
            self.tries.push(Try {
                at: self.now,
                gateway: caller.gateway,
                is_refused: false,
                is_granted,
            });
        }
        let (engine, engine_life) = gateway.place_of(key);
        let caller_gateway = caller.gateway;
        caller.tried.push(key);
        caller.attempt = Some(self.attempts.len());
        self.attempts.push(Attempt {
            caller: index,
            gateway: caller.gateway,
            gateway_life: gateway.life,
            key,
            engine,
            engine_life,
            sent_at: self.now,
            predicted,
            is_granted,
            placed: placed.filter(|placed| placed.gateway != caller_gateway),
            is_waiting: true,
            is_over: false,
        });
        let attempt = self.attempts.len() - 1;
        let way = match is_granted {
            true => self.way(attempt) + self.question_millis(caller_gateway, engine),
            false => self.way(attempt),
        };
        self.after(way, Event::Reach(attempt));
        let patience = PATIENCE.0.max(PATIENCE.1 * self.deployment.target_millis);
        self.after(patience as f64, Event::Patience(attempt));
    }

    /// True where the gateway holds a caller a little longer.
    fn holds(&mut self, index: usize) -> bool {
        let until = self.now + self.deployment.hold_millis;
        let caller = &mut self.callers[index];
        let until = *caller.held_until.get_or_insert(until);
        self.now + HOLD_LOOK_MILLIS <= until
    }

    /// Milliseconds that a caller could wait behind others, where its own prompt takes `own`.
    fn wait_of(&self, index: usize, own: f64) -> f64 {
        let target = self.deployment.target_of(self.callers[index].kind);
        selection::slack_millis(target, own)
    }

    pub(super) fn refuse(&mut self, index: usize, pause: &Range<f64>, wait: Option<f64>) {
        let slots = self.engines.len() * self.deployment.model.slots as usize;
        let taken: usize = self.engines.iter().map(|engine| engine.running.len()).sum();
        if 2 * taken < slots && self.engines.iter().all(|engine| engine.queue.is_empty()) {
            self.worst.refused_free += 1;
        }
        let now = self.instant();
        let caller = &mut self.callers[index];
        self.gateways[caller.gateway].note_fate(caller.visit, true, wait, now);
        if caller.tried.is_empty() {
            self.tries.push(Try {
                at: self.now,
                gateway: caller.gateway,
                is_refused: true,
                is_granted: false,
            });
        }
        self.retry_later(index, pause);
    }

    /// A refused caller tries again later, once.
    fn retry_later(&mut self, index: usize, pause: &Range<f64>) {
        let caller = &mut self.callers[index];
        caller.attempt = None;
        if caller.first_at.is_some() || caller.tries > 1 {
            caller.outcome = Outcome::Refused;
            return;
        }
        let left = caller.came_at + self.deployment.timeout_millis() as f64 - self.now;
        let pause = match caller.is_impatient {
            true => 1.0,
            false => self.draw.between(pause.start, pause.end).min(left / 3.0),
        };
        self.after(pause, Event::Try(index));
    }

    pub(super) fn way(&self, attempt: usize) -> f64 {
        let attempt = &self.attempts[attempt];
        self.deployment.way_millis(attempt.gateway, attempt.engine)
    }

    pub(super) fn reach(&mut self, attempt: usize) {
        let Attempt {
            caller,
            engine,
            engine_life,
            is_over,
            ..
        } = self.attempts[attempt];
        if is_over {
            return;
        }
        let caller = &self.callers[caller];
        let job = Job {
            attempt,
            prompt: caller.prompt,
            unread: caller.prompt as f64,
            answer: caller.answer,
            written: 0,
            deadline: caller.tried_at + self.deployment.timeout_millis() as f64,
        };
        let way = self.way(attempt);
        if self.is_cut_off(attempt) {
            return self.after(
                incidents::CONNECT_TIMEOUT_MILLIS,
                Event::Word(attempt, Word::Broken),
            );
        }
        let there = &mut self.engines[engine];
        if !there.is_up || there.life != engine_life {
            return self.after(way, Event::Word(attempt, Word::Broken));
        }
        if !there.take(job) {
            return self.after(way, Event::Word(attempt, Word::Full));
        }
        let above = there
            .requests()
            .saturating_sub(self.deployment.model.slots as usize);
        self.worst.above_slots = self.worst.above_slots.max(above);
        self.begin_pass(engine);
    }

    /// The attempt, where its gateway still has it.
    pub(super) fn open(&self, attempt: usize) -> Option<Attempt> {
        let known = self.attempts[attempt];
        let is_there = self.gateways[known.gateway].life == known.gateway_life;
        (!known.is_over && is_there).then_some(known)
    }

    pub(super) fn end(&mut self, attempt: usize) {
        self.tell_placer(attempt, true);
        let known = &mut self.attempts[attempt];
        known.is_over = true;
        let prompt = self.callers[known.caller].prompt;
        let engine = self.gateways[known.gateway].engine_mut(known.key);
        engine.record_end(prompt, known.is_waiting);
    }

    pub(super) fn hear_word(&mut self, attempt: usize, word: Word) {
        let Some(known) = self.open(attempt) else {
            return;
        };
        let now = self.instant();
        let caller = &mut self.callers[known.caller];
        let engine = self.gateways[known.gateway].engine_mut(known.key);
        match word {
            Word::First => {
                engine.record_first_event(caller.prompt);
                engine.record_lateness(self.now - known.sent_at - known.predicted);
                self.attempts[attempt].is_waiting = false;
                caller.first_at = caller.first_at.or(Some(self.now));
                self.first_events.push(FirstEvent {
                    sent_at: known.sent_at,
                    gateway: known.gateway,
                    engine: known.engine,
                    predicted: known.predicted,
                    is_granted: known.is_granted,
                    actual: self.now - known.sent_at,
                });
                self.tell_placer(attempt, false);
            }
            Word::Last => {
                engine.record_success();
                caller.outcome = Outcome::Served;
                self.end(attempt);
            }
            Word::Full => {
                engine.back_off_until(now.after_millis(FULL_REST_MILLIS));
                self.fail(attempt);
            }
            Word::Broken => {
                engine.record_failure(now);
                self.fail(attempt);
            }
            Word::TimedOut => {
                caller.outcome = Outcome::Lost;
                self.end(attempt);
            }
        }
    }

    /// What follows an attempt that brought no whole answer.
    pub(super) fn fail(&mut self, attempt: usize) {
        self.end(attempt);
        let Attempt {
            caller, gateway, ..
        } = self.attempts[attempt];
        let can_move = matches!(self.choose(caller), Choice::Send { .. });
        let has_attempts = self.callers[caller].tried.len() < MOST_ATTEMPTS;
        let now = self.instant();
        if can_move && has_attempts && self.gateways[gateway].take_retry(now) {
            return self.send(caller, false);
        }
        self.refuse(caller, &RETRY_FULL, None);
    }

    /// An engine that shows nothing for long: another one may do better.
    pub(super) fn look(&mut self, attempt: usize) {
        let Some(known) = self.open(attempt).filter(|known| known.is_waiting) else {
            return;
        };
        let has_attempts = self.callers[known.caller].tried.len() < MOST_ATTEMPTS;
        if !has_attempts || !matches!(self.choose(known.caller), Choice::Send { .. }) {
            return self.after(LOOK_MILLIS, Event::Patience(attempt));
        }
        let now = self.instant();
        self.gateways[known.gateway]
            .engine_mut(known.key)
            .record_timeout(now);
        let way = self.way(attempt);
        self.after(way, Event::Cancel(attempt));
        self.end(attempt);
        if self.gateways[known.gateway].take_retry(now) {
            self.send(known.caller, false);
        } else {
            self.callers[known.caller].outcome = Outcome::Lost;
        }
    }

    pub(super) fn leave(&mut self, index: usize) {
        let caller = &self.callers[index];
        let is_waiting = caller.outcome == Outcome::Open && caller.first_at.is_none();
        let has_waited = self.now - caller.tried_at + 1.0 > self.deployment.gap_millis() as f64;
        let Some(attempt) = caller.attempt.filter(|_| is_waiting && has_waited) else {
            return;
        };
        self.callers[index].outcome = Outcome::Lost;
        if self.open(attempt).is_some() {
            let way = self.way(attempt);
            self.after(way, Event::Cancel(attempt));
            self.end(attempt);
        }
    }
}
