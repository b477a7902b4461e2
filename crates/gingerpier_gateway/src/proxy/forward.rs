//! Forwarding of one request to engines, with retries, until the caller has a final response.

use {
    super::{
        attempt::{self, AttemptError, Cause, InFlight, PendingResponse},
        buffered::BufferedResponse,
        caller::{Caller, WriteError},
        engine_choice,
        request::{AttemptOptions, RoutedRequest},
        startup::{self, StartupWait},
        stream::{self, Progress},
        trial::Access,
    },
    crate::{clock, metrics::Reason, state::State},
    gingerpier_admission::selection::Refusal,
    gingerpier_base::Instant,
    gingerpier_http1::{
        body::Framing,
        head::{self, Response},
        writer::Message,
    },
    gingerpier_serving::{
        engine::EstimatedLoad,
        fleet::EngineKey,
        report::Version,
        retry::{Action, Failure, RetryState},
    },
    std::rc::Rc,
};

/// Bytes from which no more is read of what a caller sends before it has the response to its
/// current request; one read may exceed them.
const MAX_PIPELINED_BYTES: usize = 1024;

/// How an attempt ended.
pub enum AttemptOutcome {
    /// The caller has the complete response.
    Completed,
    /// The caller closed its connection.
    Disconnected,
    /// The request's deadline passed before its engine's response was complete, or the gateway stops.
    TimedOut,
    /// The caller didn't read its response in time.
    Stalled,
    /// The request was put on hold meanwhile, as engines crashed while they ran it.
    Held,
    /// No complete response arrived.
    Failed(AttemptError),
    /// The engine returned a response with an error status.
    ErrorStatus(BufferedResponse),
}

impl From<WriteError> for AttemptOutcome {
    fn from(error: WriteError) -> Self {
        match error {
            WriteError::Disconnected => Self::Disconnected,
            WriteError::Stalled | WriteError::TimedOut | WriteError::Conflict => Self::Stalled,
        }
    }
}

/// Completes once the caller closes its connection.
pub async fn disconnected(caller: &mut Caller) {
    while caller.input().len() < MAX_PIPELINED_BYTES {
        if !matches!(caller.read().await, Ok(true)) {
            return;
        }
    }
    std::future::pending().await
}

/// State of one request while it is forwarded.
pub struct Forwarder<'a, 'c> {
    /// State of the gateway.
    pub state: &'a Rc<State>,
    /// The request.
    pub request: &'a RoutedRequest<'c>,
    pub(super) retry_state: RetryState,
    /// Engines that may have run the request, in order.
    pub(super) tried: Vec<EngineKey>,
    /// Engine that the request was sent to last, or that a stream was handed over to.
    pub(super) current: Option<EngineKey>,
    /// Engines that refused an offer of the stream.
    pub(super) declined: Vec<EngineKey>,
    /// Predicted time to the first event on the engine chosen last.
    pub(super) predicted_millis: f64,
    /// Part of the prediction for the request's own prompt; `None` if no engine can run it.
    pub(super) own_millis: Option<f64>,
    pub(super) sent_at: Option<Instant>,
    /// Cause of the last failed attempt.
    pub(super) cause: Option<Cause>,
    /// Body framing of the last response whose head was read.
    pub(super) framing: Option<Framing>,
    /// True if the last choice found an engine that can run the request, even if it is full.
    pub(super) has_candidate: bool,
    /// True if the request waited for the gateway's startup.
    pub(super) has_waited: bool,
    /// Why the request itself may not be sent; `None` if only engines decide.
    pub(super) refusal_reason: Option<Reason>,
    /// True if the request is suspected of crashing engines.
    pub(super) is_trial: bool,
    /// Random number that spreads choices among engines that are equally good.
    pub(super) random: u64,
    /// Known load of the engine chosen last.
    pub(super) engine_load: Option<EstimatedLoad>,
    /// Why the last choice found all engines full.
    pub(super) refusal: Option<Refusal>,
    /// True if the request was sent with a grant of another zone.
    pub(super) is_granted: bool,
}

/// Forwards a request to engines until its caller has a final response.
pub async fn forward(state: &Rc<State>, caller: &mut Caller, request: &RoutedRequest<'_>) {
    let route_settings = request.route_settings();
    let mut forwarder = Forwarder {
        state,
        request,
        retry_state: RetryState {
            repeat: route_settings.repeat,
            attempts: 0,
            max_attempts: route_settings.max_attempts,
            may_have_run: false,
            deadline: request.deadline,
        },
        tried: Vec::new(),
        current: None,
        declined: Vec::new(),
        predicted_millis: 0.0,
        own_millis: None,
        sent_at: None,
        cause: None,
        framing: None,
        has_candidate: true,
        has_waited: false,
        refusal_reason: None,
        is_trial: false,
        random: fastrand::u64(..),
        engine_load: None,
        refusal: None,
        is_granted: false,
    };
    forwarder.run(caller).await;
}

impl Forwarder<'_, '_> {
    async fn run(&mut self, caller: &mut Caller) {
        let mut progress = Progress::default();
        let mut fallback = None;
        loop {
            // The trial ends when its guard is dropped, after the attempt.
            let (engine, _trial) = match self.admit(caller, &progress).await {
                Access::Unrestricted if self.yields() => {
                    let reason = Reason::Priority;
                    return self.abort(caller, reason, &progress, fallback).await;
                }
                Access::Unrestricted => (self.choose_engine(&progress), None),
                Access::Trial(engine, trial) => (Some(engine), Some(trial)),
                Access::Unavailable => (None, None),
                Access::Held => return self.abort(caller, Reason::Held, &progress, fallback).await,
                Access::OnTrial => {
                    let reason = Reason::OnTrial;
                    return self.abort(caller, reason, &progress, fallback).await;
                }
                Access::Disconnected => return self.finish_disconnected(caller),
            };
            let Some(engine) = engine else {
                match self.wait_for_startup(caller).await {
                    StartupWait::Retry => continue,
                    StartupWait::Expired => {}
                    StartupWait::Disconnected => return self.finish_disconnected(caller),
                }
                let next = self.retry_state.final_action();
                return self.finish(caller, next, &progress, fallback).await;
            };
            if self.state.is_cut_off() {
                let next = self.retry_state.final_action();
                return self.finish(caller, next, &progress, fallback).await;
            }
            self.record_attempt(engine);
            let outcome = self.attempt(caller, engine, &mut progress).await;
            let error = match outcome {
                AttemptOutcome::Completed => return self.finish_completed(caller, &progress),
                AttemptOutcome::Disconnected => return self.finish_disconnected(caller),
                AttemptOutcome::Stalled => return self.finish_stalled(caller, &progress),
                AttemptOutcome::TimedOut => {
                    self.retry_state.may_have_run = true;
                    let next = Action::TimeOut;
                    return self.finish(caller, next, &progress, fallback).await;
                }
                AttemptOutcome::Held => {
                    self.retry_state.may_have_run = true;
                    return self.abort(caller, Reason::Held, &progress, fallback).await;
                }
                AttemptOutcome::Failed(error) => error,
                AttemptOutcome::ErrorStatus(response) => {
                    fallback = Some(response);
                    AttemptError {
                        failure: Failure::Unknown,
                        cause: Cause::EngineFailed,
                    }
                }
            };
            // The stream may have been handed over.
            let engine = self.current.unwrap_or(engine);
            self.record_failure(engine, error);
            let aftermath = self.check_for_crash(engine, error, &progress).await;
            self.log_failure(engine, error, aftermath);
            let now = clock::now();
            let can_retry = !progress.is_committed() && self.choose_engine(&progress).is_some();
            let spend_retry = || {
                can_retry
                    && self
                        .state
                        .spend_retry(&self.request.service_settings().name, now)
            };
            let mut retry_state = self.retry_state;
            let next = retry_state.record_failure(error.failure, now, spend_retry);
            self.retry_state = retry_state;
            if next != Action::Retry {
                return self.finish(caller, next, &progress, fallback).await;
            }
        }
    }

    /// Ends a request that may not be sent to any further engine.
    async fn abort(
        &mut self,
        caller: &mut Caller,
        reason: Reason,
        progress: &Progress,
        fallback: Option<BufferedResponse>,
    ) {
        self.refusal_reason = Some(reason);
        let next = self.retry_state.final_action();
        self.finish(caller, next, progress, fallback).await;
    }

    /// Waits one poll interval if no engine is known yet because the gateway is starting.
    ///
    /// A request that has waited before goes on waiting while engines are full.
    async fn wait_for_startup(&mut self, caller: &mut Caller) -> StartupWait {
        let is_first = self.retry_state.attempts == 0;
        let has_time = !self.request.deadline.has_passed(clock::now());
        if !is_first || !has_time || (self.has_candidate && !self.has_waited) {
            return StartupWait::Expired;
        }
        self.has_waited = true;
        startup::wait(self.state, caller).await
    }

    fn record_attempt(&mut self, engine: EngineKey) {
        if self.retry_state.attempts == 0 {
            let traffic_class = self.request.traffic_class();
            self.record_arrival();
            self.state.record_request(
                traffic_class,
                self.request.visit,
                self.slack_millis(),
                clock::now(),
            );
        }
        self.retry_state.attempts += 1;
        self.sent_at = Some(clock::now());
        self.tried.push(engine);
        self.current = Some(engine);
    }

    async fn attempt(
        &mut self,
        caller: &mut Caller,
        engine: EngineKey,
        progress: &mut Progress,
    ) -> AttemptOutcome {
        let state = self.state;
        let request = self.request;
        let mut in_flight = InFlight::new(state, engine, request.prompt_tokens);
        let last_event_id = progress.last_event_id().cloned();
        let options = AttemptOptions {
            now: clock::now(),
            required_version: self.required_version(engine, progress),
            last_event_id: last_event_id.as_deref(),
            needs_new_connection: self.is_outdated(engine),
        };
        let mut stall_deadline = stream::first_event_deadline(request, options.now);
        let withdraw_at = self.withdraw_at(engine);
        let sending = attempt::send(state, request, engine, &options);
        let held = state.until_held(request.fingerprint, &request.shared_parts);
        let cutoff = state.cutoff();
        tokio::pin!(sending, held, cutoff);
        let response = loop {
            tokio::select! {
                biased;
                response = &mut sending => break response,
                () = disconnected(caller) => return AttemptOutcome::Disconnected,
                () = clock::until(request.deadline) => return AttemptOutcome::TimedOut,
                () = &mut cutoff => return AttemptOutcome::TimedOut,
                () = &mut held => return AttemptOutcome::Held,
                () = withdrawal(withdraw_at) => {
                    return AttemptOutcome::Failed(engine_choice::OUTDATED);
                }
                () = clock::until(stall_deadline) => {
                    if self.can_retry(progress) {
                        return AttemptOutcome::Failed(stream::STALLED);
                    }
                    stall_deadline = stream::recheck_deadline();
                }
            }
        };
        match response {
            Err(error) => AttemptOutcome::Failed(error),
            Ok(response) => {
                self.handle_response(caller, response, progress, &mut in_flight)
                    .await
            }
        }
    }

    async fn handle_response(
        &mut self,
        caller: &mut Caller,
        response: PendingResponse,
        progress: &mut Progress,
        in_flight: &mut InFlight,
    ) -> AttemptOutcome {
        self.framing = Some(response.framing);
        let head = &response.head;
        let is_refused = self.is_refused(head);
        if !is_refused && !self.retry_state.repeat.is_idempotent() {
            self.request.body.release();
        }
        if is_success(head) {
            if is_refused || !self.is_authentic(head) {
                return AttemptOutcome::Failed(attempt::invalid_response());
            }
            if self.retry_state.repeat.is_stream() {
                return stream::forward(self, caller, response, progress, in_flight).await;
            }
        }
        self.forward_response(caller, response, is_refused, progress, in_flight)
            .await
    }

    /// True if the engine confirms that it didn't run the request.
    fn is_refused(&self, head: &Response) -> bool {
        let header_names = self.state.platform_api.header_names();
        head.status == 421 || head.fields.get(header_names.not_run).is_some()
    }

    /// True if the engine signed the response, and nobody encoded its body.
    fn is_authentic(&self, head: &Response) -> bool {
        let header_names = self.state.platform_api.header_names();
        let is_signed = head.fields.get(header_names.signature).is_some();
        is_signed && head.fields.get("content-encoding").is_none()
    }

    /// Checks that the response begins a stream.
    ///
    /// # Errors
    ///
    /// If the engine refused the request or failed.
    pub(super) fn check_stream_head(&self, head: &Response) -> Result<(), AttemptError> {
        match (self.is_refused(head), is_success(head)) {
            (true, false) => Err(refused_by_engine(head.status)),
            (false, false) => Err(AttemptError {
                failure: Failure::Unknown,
                cause: Cause::EngineFailed,
            }),
            (false, true) if self.is_authentic(head) => Ok(()),
            (_, true) => Err(attempt::invalid_response()),
        }
    }

    /// Weights version that the engine names in a response.
    pub(super) fn response_version(&self, head: &Response) -> Version {
        let header_names = self.state.platform_api.header_names();
        Version(head.fields.number(header_names.version).unwrap_or_default())
    }

    /// Records that the engine with this response head ran the request to its end.
    pub(super) fn record_completion(&self, head: &Response) {
        let version = self.response_version(head);
        self.state
            .record_completion(self.request.fingerprint, version);
        // An error response says nothing of what the engine would have done with the prompt.
        if is_success(head) {
            let parts = &self.request.shared_parts;
            self.state.record_part_completions(parts, version);
        }
    }

    pub(super) fn record_success(&self, engine: EngineKey) {
        let mut fleet = self.state.fleet.borrow_mut();
        fleet.engine_mut(engine).record_success();
    }

    /// Head of an engine's response for the caller, without body framing.
    pub fn response_head(&self, response: &Response) -> Message {
        let mut message = Message::response(response.status);
        for (name, value) in response.fields.iter() {
            if !head::is_of_connection(name) {
                message = message.field(name, value);
            }
        }
        if self.closes_connection() {
            message = message.field(b"connection", b"close");
        }
        message
    }

    /// True once the request has to end. A wait with a deadline doesn't see it pass while data is always ready.
    pub(super) fn has_expired(&self) -> bool {
        self.request.deadline.has_passed(clock::now()) || self.state.is_cut_off()
    }

    pub(super) fn closes_connection(&self) -> bool {
        self.state.is_stopping() || !self.request.head.keeps_alive()
    }

    /// Records the time to the first bytes of a response and its deviation from the prediction.
    pub fn record_first_bytes(&self) {
        let now = clock::now();
        let millis = now.millis_since(self.request.received);
        self.state.metrics.first_byte_millis.observe(millis as f64);
        self.record_served(millis);
        if let (Some(engine), Some(sent_at)) = (self.current, self.sent_at) {
            let lateness_millis = now.millis_since(sent_at) as f64 - self.predicted_millis;
            let mut fleet = self.state.fleet.borrow_mut();
            fleet.engine_mut(engine).record_lateness(lateness_millis);
        }
    }
}

const fn is_success(head: &Response) -> bool {
    matches!(head.status, 200..300)
}

/// Completes at `deadline`; never without one.
async fn withdrawal(deadline: Option<Instant>) {
    match deadline {
        Some(deadline) => clock::until(deadline).await,
        None => std::future::pending().await,
    }
}

/// Error of an attempt that the engine refused with `status`.
pub(super) const fn refused_by_engine(status: u16) -> AttemptError {
    AttemptError {
        failure: Failure::NotRun,
        cause: if status == 421 {
            Cause::Elsewhere
        } else {
            Cause::Full
        },
    }
}
