//! Requests that may end the engines which run them: whether one goes on, and what is learnt of the engine that it went to.

use {
    super::{
        attempt::{self, Aftermath, Cause, Failed},
        forward::{Course, left},
        stream::Progress,
    },
    crate::{clock, state::State, suspects},
    gingerpier_http1::connection::Connection,
    gingerpier_serving::{
        fleet::{self, EngineKey},
        suspects::{End, Incarnation, Standing},
        trials::{SETTLE_MILLIS, Trial},
    },
    std::{collections::HashSet, rc::Rc},
};

/// Part of the time within which a first event has its full worth for which a request waits for another trial of it.
const PATIENCE_PART: u64 = 8;

/// Milliseconds between looks at whether another trial is over.
const LOOK_MILLIS: u64 = 20;

/// Milliseconds after a broken connection at which is looked again whether its engine has ended: some start again within
/// a second, and a way that is cut tells nothing at first.
const LATER_MILLIS: [u64; 3] = [300, 700, 1_500];

/// A trial of this gateway that is under way; it is over with its value.
pub struct UnderWay {
    state: Rc<State>,
    trial: Trial,
}

impl UnderWay {
    fn begin(state: &Rc<State>, trial: Trial) -> Self {
        state
            .knowledge
            .trials
            .borrow_mut()
            .note_begun(trial, clock::now());
        state.tell_trial(&trial, false);
        Self {
            state: state.clone(),
            trial,
        }
    }

    fn goes_on(&self) -> bool {
        let trials = self.state.knowledge.trials.borrow();
        trials.goes_on(&self.trial, clock::now())
    }
}

impl Drop for UnderWay {
    fn drop(&mut self) {
        let Trial { mark, by, .. } = self.trial;
        self.state.knowledge.trials.borrow_mut().note_over(mark, by);
        self.state.tell_trial(&self.trial, true);
    }
}

/// Whether a request may be sent to an engine.
pub enum Gate {
    /// It may, to any.
    Open,
    /// It may end the engine that runs it, and goes to that one.
    Trial(EngineKey, UnderWay),
    /// It may end the engine that runs it, and there is none for it.
    Full,
    /// Too many engines ended under it.
    Held,
    /// It runs somewhere else, and may end that engine.
    Busy,
    /// Its caller left.
    Left,
}

impl Course<'_, '_> {
    /// Decides whether the request may be sent now: asked before each try.
    pub(super) async fn gate(&mut self, caller: &mut Connection, progress: &Progress) -> Gate {
        let state = self.state;
        let mark = self.call.mark;
        let patience = self.call.rules().target_millis / PATIENCE_PART;
        let patience = clock::now().after_millis(patience);
        loop {
            let standing = state.knowledge.suspects.borrow().standing(mark);
            self.is_trial = standing == Standing::Suspect;
            match standing {
                Standing::Clear => return Gate::Open,
                Standing::Held => return Gate::Held,
                Standing::Noted | Standing::Suspect => {}
            }
            let now = clock::now();
            let is_taken = state.knowledge.trials.borrow().is_on_trial(mark, now);
            if is_taken && patience.has_passed(now) {
                return Gate::Busy;
            }
            if is_taken {
                tokio::select! {
                    biased;
                    () = left(caller) => return Gate::Left,
                    () = clock::pause(LOOK_MILLIS) => continue,
                }
            }
            let alone = self.choose_alone(progress);
            // After one end it is most likely innocent: it does not wait for an engine of its own.
            let is_alone = alone.is_some() || self.is_trial;
            let chosen = match is_alone {
                true => alone,
                false => self.choose(progress),
            };
            let Some(engine) = chosen else {
                return Gate::Full;
            };
            let under_way = UnderWay::begin(state, self.trial_at(engine, is_alone));
            tokio::select! {
                biased;
                () = left(caller) => return Gate::Left,
                () = clock::pause(SETTLE_MILLIS) => {}
            }
            let is_as_before = state.knowledge.suspects.borrow().standing(mark) == standing;
            if is_as_before && under_way.goes_on() {
                return Gate::Trial(engine, under_way);
            }
        }
    }

    fn trial_at(&self, engine: EngineKey, is_alone: bool) -> Trial {
        let fleet = self.state.fleet.borrow();
        let engine = fleet.engine(engine);
        Trial {
            by: self.state.settings.peers,
            mark: self.call.mark,
            engine: is_alone.then(|| Incarnation::of(&engine.record, engine.born())),
        }
    }

    /// An engine at which no other trial is under way.
    fn choose_alone(&mut self, progress: &Progress) -> Option<EngineKey> {
        let now = clock::now();
        let on_trial: HashSet<Incarnation> = {
            let trials = self.state.knowledge.trials.borrow();
            trials.engines(now).collect()
        };
        let mut avoided = self.tried.clone();
        {
            let fleet = self.state.fleet.borrow();
            let engines = fleet.present(&self.call.target().name);
            let taken = engines.filter(|(_, engine)| {
                on_trial.contains(&Incarnation::of(&engine.record, engine.born()))
            });
            avoided.extend(taken.map(|(key, _)| key));
        }
        let tried = std::mem::replace(&mut self.tried, avoided);
        let chosen = self.choose(progress);
        self.tried = tried;
        chosen
    }

    /// Looks what became of an engine that broke a connection, and notes where it has ended under the request.
    pub(super) async fn look_after(
        &self,
        key: EngineKey,
        failed: Failed,
        progress: &Progress,
    ) -> Option<Aftermath> {
        if failed.cause != Cause::Broken {
            return None;
        }
        let (address, end) = {
            let fleet = self.state.fleet.borrow();
            let engine = fleet.engine(key);
            // One that was leaving ends of itself.
            if engine.is_gone || engine.record.state == fleet::State::Draining {
                return None;
            }
            let now = clock::now();
            let model = self.call.model.as_deref();
            let held = model.and_then(|model| engine.version_of(model, now));
            let end = End {
                mark: self.call.mark,
                account: suspects::account(self.call.tenant.as_deref()),
                engine: Incarnation::of(&engine.record, engine.born()),
                version: held.unwrap_or_default().max(progress.version()),
                at: now,
            };
            (engine.record.address, end)
        };
        let aftermath = attempt::aftermath(address).await;
        match aftermath {
            Aftermath::Ended => self.state.note_end(end, self.state.engine_count()),
            Aftermath::Alive | Aftermath::Unknown => {
                let state = self.state.clone();
                actix_rt::spawn(async move { look_again(&state, key, end).await });
            }
        }
        Some(aftermath)
    }
}

/// Looks later whether an engine has ended: late evidence counts, too.
async fn look_again(state: &State, key: EngineKey, end: End) {
    for millis in LATER_MILLIS {
        clock::pause(millis).await;
        let (address, has_started_again) = {
            let fleet = state.fleet.borrow();
            let record = &fleet.engine(key).record;
            (record.address, fleet.find(&record.id) != Some(key))
        };
        if has_started_again || attempt::aftermath(address).await == Aftermath::Ended {
            state.note_end(end, state.engine_count());
            return;
        }
    }
}
