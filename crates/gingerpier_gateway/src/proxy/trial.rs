//! Isolation of requests that are suspected of crashing engines.
//!
//! A suspected request runs as a trial: on one engine at a time, without another suspected request
//! beside it, so that a further crash identifies the request.

use {
    super::{
        attempt::{self, Aftermath, AttemptError, Cause},
        caller::Caller,
        forward::{Forwarder, disconnected},
        stream::Progress,
    },
    crate::{clock, state::State, suspects},
    gingerpier_base::order,
    gingerpier_serving::{
        fleet::EngineKey,
        suspects::{Crash, Incarnation, Status},
        trials::{CONFLICT_WINDOW_MILLIS, Trial},
    },
    std::{collections::HashSet, iter, rc::Rc},
};

/// Divisor of the latency target for the time that a request waits for another trial of it to end.
const WAIT_DIVISOR: u64 = 8;

/// Interval between checks whether the other trial is over.
const POLL_INTERVAL_MILLIS: u64 = 20;

/// Delays of the further checks whether an engine crashed after it broke a connection: some engines
/// restart within a second, and an interrupted network path hides the crash at first.
const RECHECK_DELAYS_MILLIS: [u64; 3] = [300, 700, 1_500];

/// Guard of a trial that this gateway runs; announces the trial's end when it is dropped.
pub struct TrialGuard {
    state: Rc<State>,
    trial: Trial,
}

impl TrialGuard {
    fn begin(state: &Rc<State>, trial: Trial) -> Self {
        state
            .suspect_state
            .trials
            .borrow_mut()
            .record_start(trial, clock::now());
        state.announce_trial(&trial, false);
        Self {
            state: state.clone(),
            trial,
        }
    }

    /// True if this trial wins over concurrent ones of other gateways.
    fn has_precedence(&self) -> bool {
        let trials = self.state.suspect_state.trials.borrow();
        trials.may_continue(&self.trial, clock::now())
    }
}

impl Drop for TrialGuard {
    fn drop(&mut self) {
        let Trial {
            fingerprint,
            gateway,
            ..
        } = self.trial;
        self.state
            .suspect_state
            .trials
            .borrow_mut()
            .record_end(fingerprint, gateway);
        self.state.announce_trial(&self.trial, true);
    }
}

/// Whether and where a request may be sent.
pub enum Access {
    /// The request is not suspected and may go to any engine.
    Unrestricted,
    /// The request may go to this engine only, as a trial.
    Trial(EngineKey, TrialGuard),
    /// No engine is available for a trial.
    Unavailable,
    /// The request is on hold, as too many engines crashed while they ran it.
    Held,
    /// Another trial of the same request is still running.
    OnTrial,
    /// The caller closed its connection.
    Disconnected,
}

impl Forwarder<'_, '_> {
    /// Decides before each attempt whether the request may be sent, and starts its trial.
    pub(super) async fn admit(&mut self, caller: &mut Caller, progress: &Progress) -> Access {
        let state = self.state;
        let fingerprint = self.request.fingerprint;
        let wait_millis = self.request.route_settings().target_millis / WAIT_DIVISOR;
        let wait_deadline = clock::now().after_millis(wait_millis);
        loop {
            if state.holds_part(&self.request.shared_parts) {
                return Access::Held;
            }
            let status = state.suspect_state.suspects.borrow().status(fingerprint);
            self.is_trial = status == Status::Suspect;
            match status {
                Status::Clear => return Access::Unrestricted,
                Status::Held => return Access::Held,
                Status::SingleCrash | Status::Suspect => {}
            }
            let now = clock::now();
            let is_on_trial = state
                .suspect_state
                .trials
                .borrow()
                .is_on_trial(fingerprint, now);
            if is_on_trial && wait_deadline.has_passed(now) {
                return Access::OnTrial;
            }
            if is_on_trial {
                tokio::select! {
                    biased;
                    () = disconnected(caller) => return Access::Disconnected,
                    () = clock::pause(POLL_INTERVAL_MILLIS) => continue,
                }
            }
            let exclusive = self.choose_exclusive_engine(progress);
            // After a single crash the request is probably harmless and may share an engine with
            // another trial.
            let is_exclusive = exclusive.is_some() || self.is_trial;
            let chosen = match is_exclusive {
                true => exclusive,
                false => self.choose_engine(progress),
            };
            let Some(engine) = chosen else {
                return Access::Unavailable;
            };
            let trial = TrialGuard::begin(state, self.new_trial(engine, is_exclusive));
            tokio::select! {
                biased;
                () = disconnected(caller) => return Access::Disconnected,
                () = clock::pause(CONFLICT_WINDOW_MILLIS) => {}
            }
            let is_unchanged = state.suspect_state.suspects.borrow().status(fingerprint) == status;
            if is_unchanged && trial.has_precedence() && self.is_available(engine) {
                return Access::Trial(engine, trial);
            }
        }
    }

    /// True if the engine still accepts a request of this gateway.
    fn is_available(&self, engine: EngineKey) -> bool {
        let now = clock::now();
        let fleet = self.state.fleet.borrow();
        let engine = fleet.engine(engine);
        engine.is_open(now) && engine.signals.allows_request(now)
    }

    fn new_trial(&self, engine: EngineKey, is_exclusive: bool) -> Trial {
        let fleet = self.state.fleet.borrow();
        let engine = fleet.engine(engine);
        Trial {
            gateway: self.state.settings.peers,
            fingerprint: self.request.fingerprint,
            engine: is_exclusive.then(|| Incarnation::of(&engine.record, engine.start_time())),
        }
    }

    /// Chooses an engine on which no other trial is running.
    fn choose_exclusive_engine(&mut self, progress: &Progress) -> Option<EngineKey> {
        let now = clock::now();
        let with_trial: HashSet<Incarnation> = {
            let trials = self.state.suspect_state.trials.borrow();
            trials.engines(now).collect()
        };
        let mut excluded = self.tried.clone();
        {
            let fleet = self.state.fleet.borrow();
            let engines = fleet.current_of_service(&self.request.service_settings().name);
            let occupied = engines.filter(|(_, engine)| {
                with_trial.contains(&Incarnation::of(&engine.record, engine.start_time()))
            });
            excluded.extend(occupied.map(|(key, _)| key));
        }
        let tried = std::mem::replace(&mut self.tried, excluded);
        let chosen = self.choose_engine(progress);
        self.tried = tried;
        chosen
    }

    /// Checks whether an engine that broke a connection has crashed, and records the crash against
    /// the request; `None` if the failure is no sign of a crash.
    pub(super) async fn check_for_crash(
        &self,
        key: EngineKey,
        error: AttemptError,
        progress: &Progress,
    ) -> Option<Aftermath> {
        if error.cause != Cause::Broken {
            return None;
        }
        let (address, crashes) = {
            let fleet = self.state.fleet.borrow();
            let engine = fleet.engine(key);
            // A draining engine exits on its own.
            if engine.is_removed || engine.is_draining() {
                return None;
            }
            let now = clock::now();
            let model = self.request.model.as_deref();
            let loaded = model.and_then(|model| engine.loaded_version(model, now));
            let crash = Crash {
                fingerprint: self.request.fingerprint,
                carrier: None,
                account: suspects::account_hash(self.request.account.as_deref()),
                engine: Incarnation::of(&engine.record, engine.start_time()),
                version: loaded.unwrap_or_default().max(progress.version()),
                at: now,
            };
            let carrier = Some(order::hash(&self.request.fingerprint));
            let parts = self.request.shared_parts.iter().map(|part| Crash {
                fingerprint: *part,
                carrier,
                ..crash
            });
            let crashes: Vec<Crash> = iter::once(crash).chain(parts).collect();
            (engine.record.address, crashes)
        };
        let aftermath = attempt::probe_engine(address).await;
        match aftermath {
            Aftermath::Ended => self.state.record_crashes(&crashes),
            Aftermath::Alive | Aftermath::Unknown => {
                let state = self.state.clone();
                actix_rt::spawn(async move { recheck_for_crash(&state, key, &crashes).await });
            }
        }
        Some(aftermath)
    }
}

/// Repeats the crash check after delays, and records a crash that shows only then.
async fn recheck_for_crash(state: &State, key: EngineKey, crashes: &[Crash]) {
    for millis in RECHECK_DELAYS_MILLIS {
        clock::pause(millis).await;
        let (address, has_restarted) = {
            let fleet = state.fleet.borrow();
            let record = &fleet.engine(key).record;
            (record.address, fleet.find(&record.id) != Some(key))
        };
        if has_restarted || attempt::probe_engine(address).await == Aftermath::Ended {
            state.record_crashes(crashes);
            return;
        }
    }
}
