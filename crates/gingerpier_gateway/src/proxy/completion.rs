//! Final responses to requests, with their log lines and metrics.

use {
    super::{
        Persistence,
        attempt::{Aftermath, AttemptError, Cause},
        buffered::BufferedResponse,
        caller::{Caller, Sent, WriteError},
        error_response::{self, ErrorResponse},
        forward::Forwarder,
        stream::Progress,
    },
    crate::{
        clock, log,
        metrics::{
            Direction, Ending, EndingLabels, Reason, RefusalLabels, RouteEndingLabels, SlowLabels,
        },
        state::State,
    },
    gingerpier_base::Instant,
    gingerpier_http1::head::Request,
    gingerpier_serving::{fleet::EngineKey, retry::Action},
    std::ops::Range,
};

/// Retry delays for a request that found all engines full. Running requests end within about a
/// second.
const RETRY_AFTER_FULL_SECONDS: Range<f64> = 0.6..1.6;

/// Retry delays for a request that no engine could run: engines that restart or load weights take
/// longer than full ones. A caller that finds no engine again is lost.
const RETRY_AFTER_NO_ENGINE_SECONDS: Range<f64> = 1.0..1.9;

/// Time over which the retries of requests are spread that wait for one engine.
const RETRY_SPREAD_SECONDS: f64 = 0.9;

/// Retry delay for a request that is held until an operator dismisses its crashes.
const RETRY_AFTER_HELD_SECONDS: f64 = 3_600.0;

/// Failure rate of an engine from which a request line names it; below, it ranks the engine hardly lower.
const LOGGED_FAILURE_RATE: f64 = 0.05;

/// Backoff for an engine that refused a request.
const FULL_BACKOFF_MILLIS: u64 = 60;

impl Forwarder<'_, '_> {
    /// Updates the engine's health after a failed attempt.
    pub(super) fn record_failure(&mut self, engine: EngineKey, error: AttemptError) {
        self.cause = Some(error.cause);
        let now = clock::now();
        let mut fleet = self.state.fleet.borrow_mut();
        let engine = fleet.engine_mut(engine);
        match error.cause {
            Cause::Unreachable => {
                engine.record_failure(now);
                // The engine may restart cold before its store entry says so.
                engine.warmup.record_possible_cooling(now);
            }
            // The caller caused it.
            Cause::Unread => {}
            Cause::Broken => engine.record_failure(now),
            Cause::Silent => engine.record_timeout(now),
            Cause::Garbled | Cause::EngineFailed => engine.record_error_response(),
            Cause::Full | Cause::Elsewhere => {
                engine.back_off_until(now.after_millis(FULL_BACKOFF_MILLIS))
            }
            // Its expired weights already exclude the engine.
            Cause::Outdated => {}
        }
    }

    pub(super) fn log_failure(
        &self,
        engine: EngineKey,
        error: AttemptError,
        aftermath: Option<Aftermath>,
    ) {
        let now = clock::now();
        let fleet = self.state.fleet.borrow();
        let engine = fleet.engine(engine);
        if log::allows_request_line() {
            tracing::info!(
                id = self.request.attempt_id(self.state.platform_api.header_names()),
                engine = engine.record.id,
                cause = ?error.cause,
                failure = ?error.failure,
                framing = ?self.framing,
                mark = %self.request.fingerprint,
                parts = ?self.request.shared_parts,
                aftermath = ?aftermath,
                report_age = ?engine.report_age(now),
                attempts = self.retry_state.attempts,
                "attempt failed"
            );
        }
    }

    /// Sends the final response after a failure; `fallback` is an engine's error response that is
    /// forwarded if its status allows it.
    pub(super) async fn finish(
        &mut self,
        caller: &mut Caller,
        next: Action,
        progress: &Progress,
        fallback: Option<BufferedResponse>,
    ) {
        if caller.sent() != Sent::Nothing {
            self.log_ending(Ending::Failed, caller.sent(), progress);
            return;
        }
        if let Some(response) =
            fallback.filter(|response| is_forwardable_failure(response.head.status))
        {
            let written = self.write_buffered(caller, &response).await;
            return self.finish_written(caller, written, Ending::Answered, progress);
        }
        let (error, ending) = match next {
            Action::Fail | Action::Retry => (ErrorResponse::Failed, Ending::Failed),
            Action::TimeOut => (ErrorResponse::TimedOut, Ending::TimedOut),
            Action::Refuse => (
                ErrorResponse::NotRun {
                    retry_after: self.retry_after_seconds(),
                },
                Ending::Refused,
            ),
        };
        if ending == Ending::Refused {
            // A request that is refused for itself is no evidence of a capacity shortage.
            if self.refusal_reason.is_none() {
                let traffic_class = self.request.traffic_class();
                self.state.record_refusal(
                    traffic_class,
                    self.request.visit,
                    self.slack_millis(),
                    clock::now(),
                );
            }
            let reason = self.final_reason();
            self.record_refused(reason);
            if reason == Reason::Full {
                self.record_shortfall();
            }
            let refusals = &self.state.metrics.refusals;
            refusals.get_or_create(&RefusalLabels { reason }).inc();
        }
        if ending == Ending::TimedOut {
            self.record_timeout();
        }
        let header_names = self.state.platform_api.header_names();
        let bytes = error_response::encode(
            error,
            self.request.head,
            header_names,
            self.closes_connection(),
        );
        let written = caller.respond(&bytes).await;
        self.finish_written(caller, written, ending, progress);
    }

    /// Ends a request with `ending` if its response was written.
    fn finish_written(
        &self,
        caller: &Caller,
        written: Result<(), WriteError>,
        ending: Ending,
        progress: &Progress,
    ) {
        match written {
            Ok(()) => self.log_ending(ending, caller.sent(), progress),
            Err(WriteError::Disconnected) => self.finish_disconnected(caller),
            Err(WriteError::Stalled | WriteError::TimedOut | WriteError::Conflict) => {
                self.finish_stalled(caller, progress);
            }
        }
    }

    /// Why the request is refused.
    fn final_reason(&self) -> Reason {
        match (self.refusal_reason, self.has_candidate) {
            (Some(reason), _) => reason,
            (None, true) => Reason::Full,
            (None, false) => Reason::NoEngine,
        }
    }

    /// Time until the first engine accepts requests that its responses have asked not to send.
    fn opens_after_seconds(&self, now: Instant) -> Option<f64> {
        let service = &self.request.service_settings().name;
        let fleet = self.state.fleet.borrow();
        let opens_at = fleet.opens_at(service, self.request.regions, now)?;
        Some(opens_at.millis_since(now) as f64 / 1_000.0)
    }

    /// Random retry delay, at most a third of the caller's remaining time.
    fn retry_after_seconds(&self) -> f64 {
        if self.refusal_reason == Some(Reason::Held) {
            return RETRY_AFTER_HELD_SECONDS;
        }
        let now = clock::now();
        let remaining_millis = self.request.caller_deadline.millis_since(now);
        let max_seconds = remaining_millis as f64 / 1_000.0 / 3.0;
        let range = match self.has_candidate {
            true => RETRY_AFTER_FULL_SECONDS,
            false => match self.opens_after_seconds(now) {
                Some(seconds) => seconds..seconds + RETRY_SPREAD_SECONDS,
                None => RETRY_AFTER_NO_ENGINE_SECONDS,
            },
        };
        // Starts at the delay from which retries are recognizable, if that lies in the range.
        let recognizable = self
            .state
            .recognizable_retry_millis(&self.request.route_settings().name);
        let recognizable = recognizable.map_or(0.0, |millis| millis as f64 / 1_000.0);
        let start = match recognizable < range.end {
            true => range.start.max(recognizable),
            false => range.start,
        };
        let spread = range.end - range.start;
        (start + fastrand::f64() * spread).min(max_seconds)
    }

    pub(super) fn finish_completed(&self, caller: &Caller, progress: &Progress) {
        self.log_ending(Ending::Answered, caller.sent(), progress);
    }

    pub(super) fn finish_disconnected(&self, caller: &Caller) {
        self.log_ending(Ending::Left, caller.sent(), &Progress::default());
    }

    /// Ends a request whose caller didn't read its response in time; the caller sees an incomplete
    /// one.
    pub(super) fn finish_stalled(&self, caller: &Caller, progress: &Progress) {
        let labels = SlowLabels {
            direction: Direction::Response,
        };
        self.state.metrics.slow_callers.get_or_create(&labels).inc();
        self.log_ending(Ending::Stalled, caller.sent(), progress);
    }

    /// Counts the request by route and prompt size; requests without a size class are skipped.
    fn count_by_size(&self, ending: Ending) {
        let Some(bin) = self.request.band else { return };
        let labels = RouteEndingLabels {
            route: self.request.route_settings().name.as_str().into(),
            size: bin.to_string().as_str().into(),
            ending,
        };
        let endings = &self.state.metrics.endings_by_route;
        endings.get_or_create(&labels).inc();
    }

    /// Counts the request by its ending and logs it; `sent` is what the caller has of the response
    /// so far.
    fn log_ending(&self, ending: Ending, sent: Sent, progress: &Progress) {
        let requests = &self.state.metrics.requests;
        requests.get_or_create(&EndingLabels { ending }).inc();
        self.count_by_size(ending);
        if !log::allows_request_line() {
            return;
        }
        let now = clock::now();
        // Counting is rate limited, as it visits every engine.
        let lacks_engine = ending == Ending::Refused && self.refusal_reason.is_none();
        let has_availability_counts = lacks_engine && log::allows_availability_counts();
        let availability_counts = has_availability_counts.then(|| self.availability_counts());
        let fleet = self.state.fleet.borrow();
        let engine = self.current.map(|key| fleet.engine(key));
        tracing::info!(
            id = self.request.attempt_id(self.state.platform_api.header_names()),
            outcome = ?ending,
            sent = ?sent,
            mark = %self.request.fingerprint,
            route = self.request.route_settings().name,
            configuration = self.request.configuration.version,
            engine = engine.map(|engine| engine.record.id.as_str()),
            report_age = ?engine.and_then(|engine| engine.report_age(now)),
            late = engine.map(|engine| engine.lateness_millis() as u64).filter(|millis| *millis > 0),
            failing = engine.map(|engine| engine.failure_rate()).filter(|rate| *rate > LOGGED_FAILURE_RATE),
            attempts = self.retry_state.attempts,
            cause = ?self.cause,
            framing = ?self.framing,
            barred = self.refusal_reason.map(tracing::field::debug),
            predicted = self.predicted_millis as u64,
            first = ?progress.first_event_millis(self.request.received),
            events = progress.event_count(),
            pause = progress.longest_gap_millis(),
            beside = self.engine_load.map(|load| load.requests as u64),
            unread = self.engine_load.map(|load| load.pending_prompt_tokens),
            prompt = self.request.prompt_tokens,
            size = self.request.band.map(tracing::field::display),
            bound = self.refusal.map(|refusal| refusal.bound_millis as u64),
            queue = self.refusal.map(|refusal| refusal.components.queue_millis as u64),
            passes = self.refusal.map(|refusal| refusal.components.pass_millis as u64),
            others = self.refusal.map(|refusal| refusal.components.other_prompts_millis as u64),
            own = self.refusal.map(|refusal| refusal.components.own_prompt_millis as u64),
            error = self.refusal.map(|refusal| refusal.error_millis as u64),
            granted = self.is_granted.then_some(true),
            visit = ?self.request.visit,
            rank = self.request.rank.map(|rank| rank.index()),
            took = now.millis_since(self.request.received),
            engines = availability_counts.map(tracing::field::display),
            "request"
        );
    }
}

/// True if an engine's error response may go to the caller unchanged: not with a status that
/// promises that the request has not run.
const fn is_forwardable_failure(status: u16) -> bool {
    !matches!(status, 408 | 421 | 429 | 503)
}

/// Refuses a request that was not routed; `persistence` is what the connection allows.
pub async fn refuse(
    state: &State,
    caller: &mut Caller,
    head: &Request,
    error: ErrorResponse,
    persistence: Persistence,
) {
    let header_names = state.platform_api.header_names();
    let ending = match error {
        ErrorResponse::NoConfiguration
        | ErrorResponse::ShuttingDown
        | ErrorResponse::NotRun { .. } => Ending::Refused,
        _ => Ending::Denied,
    };
    state
        .metrics
        .requests
        .get_or_create(&EndingLabels { ending })
        .inc();
    if log::allows_request_line() {
        let configuration = state.configuration();
        tracing::info!(
            id = head.fields.text(header_names.attempt),
            host = head.fields.text("host"),
            target = std::str::from_utf8(head.target()).unwrap_or_default(),
            status = error.status(),
            configuration = configuration.map(|configuration| configuration.version),
            "request denied"
        );
    }
    let may_persist = persistence == Persistence::KeepAlive && head.keeps_alive();
    let closes = state.is_stopping() || !may_persist;
    let bytes = error_response::encode(error, head, header_names, closes);
    // A caller that doesn't take its response has its connection closed.
    let _ = caller.respond(&bytes).await;
}
