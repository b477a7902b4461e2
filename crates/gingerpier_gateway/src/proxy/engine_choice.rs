//! Selection of the engine for a request, and migration of streams between engines.

use {
    super::{
        attempt::{AttemptError, Cause},
        forward::Forwarder,
        stream::Progress,
    },
    crate::{clock, log},
    gingerpier_admission::{
        return_detection::Visit,
        selection::{self, AvailabilityCounts, Choice, Criteria, Cutover},
        sharing::demand::Shortfall,
        shedding,
    },
    gingerpier_base::Instant,
    gingerpier_serving::{fleet::EngineKey, report::Version, retry::Failure, suspects::Status},
};

/// Milliseconds for which streams stay on an engine that stopped accepting requests; short ones end
/// by then.
const MIGRATE_AFTER_MILLIS: u64 = 450;

/// Share of the route's longest pause within which the other engine's first event is predicted;
/// leaves as much time again for an error of the prediction.
const MAX_PREDICTED_PAUSE_SHARE: f64 = 0.5;

/// Time before the cutover to a newer version from which streams no longer migrate, as one that is
/// delayed would start after it. The longest time seen from a migration to the start was 2.1 s,
/// behind a narrow link; 1.2 s lie between the cutover and the operators' bound.
const MIGRATION_LEAD_MILLIS: u64 = 2_000;

/// Time after a cutover at which a request that still waits at an engine with older weights is
/// withdrawn. Requests are sent so that they start before the cutover, but the load that a gateway
/// knows may be outdated: some waited 2.4 s and started after the weights had expired.
const WITHDRAW_AFTER_CUTOVER_MILLIS: u64 = 500;

/// Error of an attempt that is withdrawn before its engine's weights expire.
pub const OUTDATED: AttemptError = AttemptError {
    failure: Failure::Unknown,
    cause: Cause::Outdated,
};

impl Forwarder<'_, '_> {
    /// True if another engine could run the request now.
    pub fn can_retry(&mut self, progress: &Progress) -> bool {
        self.may_resume(progress) && self.choose_engine(progress).is_some()
    }

    /// True if the request may be sent to another engine while its outcome is unknown.
    fn may_resume(&self, progress: &Progress) -> bool {
        let is_idempotent = self.retry_state.repeat.is_idempotent();
        let has_attempts = self.retry_state.attempts < self.retry_state.max_attempts;
        is_idempotent && has_attempts && !progress.is_committed()
    }

    /// Engine that a stream is to be handed over to, as `engine` waits to load new weights; spends
    /// a retry from the budget.
    ///
    /// An engine that waits runs below its full speed until its last stream ends, which costs more
    /// than processing one prompt again on another engine.
    pub fn migration_target(
        &mut self,
        engine: EngineKey,
        progress: &Progress,
    ) -> Option<EngineKey> {
        let now = clock::now();
        let blocked_millis = self.state.fleet.borrow().engine(engine).blocked_millis(now);
        // Keeps the check cheap, as it runs for each event of each stream.
        let blocked_millis = blocked_millis.filter(|millis| *millis >= MIGRATE_AFTER_MILLIS)?;
        let latest_start = now.after_millis(MIGRATION_LEAD_MILLIS);
        let would_be_late =
            selection::min_version(&self.cutovers(), latest_start) > progress.version();
        if would_be_late || self.is_suspected() || !self.may_resume(progress) {
            return None;
        }
        let target = self.choose_other_engine(progress)?;
        let max_pause_millis = self.request.route_settings().max_pause_millis as f64;
        if self.predicted_millis > max_pause_millis * MAX_PREDICTED_PAUSE_SHARE {
            return None;
        }
        if !self.spend_retry(now) {
            return None;
        }
        self.log_migration(engine, blocked_millis, progress);
        Some(target)
    }

    /// Engine that a stream is to be handed over to, as its own is silent; spends a retry from the
    /// budget.
    pub fn stall_target(&mut self, progress: &Progress) -> Option<EngineKey> {
        if self.is_suspected() || !self.may_resume(progress) {
            return None;
        }
        let target = self.choose_other_engine(progress)?;
        self.spend_retry(clock::now()).then_some(target)
    }

    /// Chooses an engine for an offer; one that has refused the stream gets no other one.
    fn choose_other_engine(&mut self, progress: &Progress) -> Option<EngineKey> {
        let tried_count = self.tried.len();
        self.tried.extend_from_slice(&self.declined);
        let chosen = self.choose_engine(progress);
        self.tried.truncate(tried_count);
        chosen
    }

    fn spend_retry(&self, now: Instant) -> bool {
        let service = &self.request.service_settings().name;
        self.state.spend_retry(service, now)
    }

    /// True if the request is suspected of crashing engines, so that it runs on one at a time.
    pub fn is_suspected(&self) -> bool {
        let suspects = self.state.suspect_state.suspects.borrow();
        suspects.status(self.request.fingerprint) != Status::Clear
            || self.state.holds_part(&self.request.shared_parts)
    }

    fn log_migration(&self, engine: EngineKey, blocked_millis: u64, progress: &Progress) {
        if !log::allows_request_line() {
            return;
        }
        let now = clock::now();
        let fleet = self.state.fleet.borrow();
        let engine = fleet.engine(engine);
        tracing::info!(
            id = self.request.attempt_id(self.state.platform_api.header_names()),
            engine = engine.record.id,
            blocked_millis,
            report_age = ?engine.report_age(now),
            version = progress.version().0,
            events = progress.event_count(),
            "stream is offered to another engine, as its own waits to load weights"
        );
    }

    fn cutovers(&self) -> Vec<Cutover> {
        let model = self.request.model.as_deref();
        model.map_or_else(Vec::new, |model| self.state.cutovers(model))
    }

    /// Latency target for the next event.
    fn target_millis(&self, progress: &Progress) -> u64 {
        match progress.has_begun() {
            true => self.request.route_settings().max_pause_millis,
            false => self.request.route_settings().target_millis,
        }
    }

    /// Share of the latency target that the predicted first event may use.
    ///
    /// A request that failed on an engine counts as one that retries after a refusal. Requests
    /// that waited for startup get the lowest share, as many of them resume at once.
    fn target_share(&self, now: Instant) -> f64 {
        if self.has_waited {
            return shedding::MIN_TARGET_SHARE;
        }
        let visit = match self.retry_state.attempts {
            0 => self.request.visit,
            _ => Visit::Returned,
        };
        self.state
            .target_share(self.request.traffic_class(), visit, now)
    }

    /// Queueing time that the latency target leaves beside the request's own prompt; `None` unless
    /// a candidate engine runs models.
    pub(super) fn slack_millis(&self) -> Option<f64> {
        let target_millis = self.request.route_settings().target_millis as f64;
        let own_millis = self
            .own_millis
            .filter(|_| self.request.engine_model().is_some())?;
        Some(selection::slack_millis(target_millis, own_millis))
    }

    fn criteria<'d>(
        &'d self,
        cutovers: &'d [Cutover],
        progress: &Progress,
        now: Instant,
    ) -> Criteria<'d> {
        let request = self.request;
        let service = &request.service_settings().name;
        Criteria {
            service,
            engine_model: request.engine_model(),
            model: request.model.as_deref(),
            cutovers,
            resume_version: progress.has_begun().then(|| progress.version()),
            prompt_tokens: request.prompt_tokens,
            target_millis: self.target_millis(progress),
            target_share: self.target_share(now),
            fairness: self.state.fairness(request.traffic_class(), now),
            allowed_regions: request.regions,
            cold_limits: self.state.cold_limits(request.service_settings()),
            zone: &self.state.settings.zone,
            gateway_count: self.state.zones.borrow().gateway_count(),
            other_arrivals_per_milli: self.state.peer_arrivals_per_milli(service, now),
            overtaking_per_milli: self.state.overtaking_per_milli(
                request.traffic_class(),
                request.rank,
                now,
            ),
            tried_engines: &self.tried,
            may_crash_engine: self.is_trial,
        }
    }

    /// Counts the service's engines by the reason for which they can't run the request.
    pub(super) fn availability_counts(&self) -> AvailabilityCounts {
        let now = clock::now();
        let cutovers = self.cutovers();
        let criteria = self.criteria(&cutovers, &Progress::default(), now);
        selection::count_availability(&self.state.fleet.borrow(), &criteria, now)
    }

    pub(super) fn choose_engine(&mut self, progress: &Progress) -> Option<EngineKey> {
        let now = clock::now();
        let cutovers = self.cutovers();
        let fleet = self.state.fleet.borrow();
        let criteria = self.criteria(&cutovers, progress, now);
        let choice = selection::choose(&fleet, &criteria, now, self.random);
        let choice = match choice {
            Choice::Full(_) if self.may_use_grants() => {
                let granted = self
                    .state
                    .choose_granted(&fleet, &criteria, now, self.random);
                self.is_granted = granted.is_some();
                granted.unwrap_or(choice)
            }
            choice => choice,
        };
        self.has_candidate = choice != Choice::NoEngine;
        self.refusal = None;
        self.own_millis = None;
        match choice {
            Choice::Send {
                engine,
                predicted_millis,
                own_millis,
            } => {
                self.predicted_millis = predicted_millis;
                self.own_millis = Some(own_millis);
                self.engine_load = Some(fleet.engine(engine).estimated_load(now));
                Some(engine)
            }
            Choice::Full(refusal) => {
                self.predicted_millis = refusal.predicted_millis();
                self.own_millis = Some(refusal.components.own_prompt_millis);
                self.refusal = Some(refusal);
                None
            }
            Choice::NoEngine => None,
        }
    }

    /// True if the request may be sent to an engine beyond the admission bound with a grant of the
    /// engine's zone: one grant serves one attempt, and a suspected request runs as a trial.
    fn may_use_grants(&self) -> bool {
        let is_first = self.retry_state.attempts == 0;
        is_first && !self.is_trial && self.request.engine_model().is_some()
    }

    /// Counts the request in this gateway's demand for a service with engines.
    pub(super) fn record_arrival(&self) {
        if self.request.engine_model().is_some() {
            let service = &self.request.service_settings().name;
            self.state.record_arrival(service, clock::now());
        }
    }

    /// Counts a request that is refused, as all engines are full.
    pub(super) fn record_shortfall(&self) {
        if self.retry_state.attempts == 0 {
            self.record_arrival();
        }
        if self.request.engine_model().is_some() {
            let service = &self.request.service_settings().name;
            self.state
                .record_shortfall(service, Shortfall::Refused, clock::now());
        }
    }

    /// Only version that may run the request: the one that a resumed stream started with, or the
    /// engine's current one once a version is mandatory; 0 for any.
    pub(super) fn required_version(&self, engine: EngineKey, progress: &Progress) -> Version {
        if progress.has_begun() {
            return progress.version();
        }
        let now = clock::now();
        let min_version = selection::min_version(&self.cutovers(), now);
        let fleet = self.state.fleet.borrow();
        let model = self.request.model.as_deref();
        let loaded = model.and_then(|model| fleet.engine(engine).loaded_version(model, now));
        loaded
            .filter(|loaded| min_version > Version::default() && *loaded >= min_version)
            .unwrap_or_default()
    }

    /// Time at which the request is withdrawn from `engine` unless it has started; `None` if the
    /// engine's weights don't expire.
    pub(super) fn withdraw_at(&self, engine: EngineKey) -> Option<Instant> {
        // An ordinary service may name a model, but its engines load no weights.
        self.request.engine_model()?;
        let fleet = self.state.fleet.borrow();
        let model = self.request.model.as_deref()?;
        let loaded = fleet.engine(engine).loaded_version(model, clock::now())?;
        let cutovers = self.cutovers();
        let newer = cutovers
            .iter()
            .filter(|cutover| cutover.version > loaded)
            .map(|cutover| cutover.at);
        Some(newer.min()?.after_millis(WITHDRAW_AFTER_CUTOVER_MILLIS))
    }

    /// True if a newer version than the engine's is released.
    pub(super) fn is_outdated(&self, engine: EngineKey) -> bool {
        let fleet = self.state.fleet.borrow();
        let model = self.request.model.as_deref();
        let loaded =
            model.and_then(|model| fleet.engine(engine).loaded_version(model, clock::now()));
        loaded.is_some_and(|loaded| {
            self.cutovers()
                .iter()
                .any(|cutover| cutover.version > loaded)
        })
    }
}
