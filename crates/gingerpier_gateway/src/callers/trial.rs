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
        mark::Mark,
        suspects::{End, Incarnation, Standing},
        trials::SETTLE_MILLIS,
    },
    std::rc::Rc,
};

/// Part of the time within which a first event has its full worth for which a request waits for another trial of it.
const PATIENCE_PART: u64 = 8;

/// Milliseconds between looks at whether another trial is over.
const LOOK_MILLIS: u64 = 20;

/// Milliseconds after a broken connection at which is looked again whether its engine has ended: some start again within
/// a second, and a way that is cut tells nothing at first.
const LATER_MILLIS: [u64; 3] = [300, 700, 1_500];

/// A trial of this gateway; it is over with its value.
pub struct Trial {
    state: Rc<State>,
    mark: Mark,
}

impl Drop for Trial {
    fn drop(&mut self) {
        let own = self.state.settings.peers;
        let mut trials = self.state.knowledge.trials.borrow_mut();
        trials.note_over(self.mark, own);
        self.state.tell_trial(self.mark, true);
    }
}

/// Whether a request may be sent to an engine.
pub enum Gate {
    /// It may; as a trial where engines ended under it.
    Open(Option<Trial>),
    /// Too many engines ended under it.
    Held,
    /// It runs somewhere else, and may end that engine.
    Busy,
    /// Its caller left.
    Left,
}

impl Course<'_, '_> {
    /// Decides whether the request may be sent now: asked before each try.
    pub(super) async fn gate(&self, caller: &mut Connection) -> Gate {
        let mark = self.call.mark;
        let knowledge = &self.state.knowledge;
        let patience = self.call.rules().target_millis / PATIENCE_PART;
        let patience = clock::now().after_millis(patience);
        loop {
            match knowledge.suspects.borrow().standing(mark) {
                Standing::Clear => return Gate::Open(None),
                Standing::Held => return Gate::Held,
                Standing::Suspect => {}
            }
            let now = clock::now();
            let is_taken = knowledge.trials.borrow().owner(mark, now).is_some();
            let pause = match is_taken {
                true if patience.has_passed(now) => return Gate::Busy,
                true => LOOK_MILLIS,
                false => SETTLE_MILLIS,
            };
            let trial = (!is_taken).then(|| self.begin_trial());
            tokio::select! {
                biased;
                () = left(caller) => return Gate::Left,
                () = clock::pause(pause) => {}
            }
            let own = self.state.settings.peers;
            let is_own = || knowledge.trials.borrow().owner(mark, clock::now()) == Some(own);
            let is_suspect = knowledge.suspects.borrow().standing(mark) == Standing::Suspect;
            if trial.is_some() && is_own() && is_suspect {
                return Gate::Open(trial);
            }
        }
    }

    fn begin_trial(&self) -> Trial {
        let mark = self.call.mark;
        let own = self.state.settings.peers;
        let mut trials = self.state.knowledge.trials.borrow_mut();
        trials.note_begun(mark, own, clock::now());
        self.state.tell_trial(mark, false);
        Trial {
            state: self.state.clone(),
            mark,
        }
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
