//! Handover of a running stream to another engine.
//!
//! A stream is offered to a second engine if its own is silent, or waits to load weights. The first
//! engine's response is read on until the second one has accepted, so an offer that fails costs the
//! caller nothing.
//!
//! The second engine resumes after the last event that the caller has. Events that a loading engine
//! sends meanwhile are held back: they are dropped once the second engine accepts, and released if
//! it refuses or takes too long. An engine that was silent keeps the stream as soon as it sends an
//! event.

use {
    super::{
        attempt::{self, AttemptError, InFlight, PendingResponse},
        forward::Forwarder,
        request::AttemptOptions,
        stream::{self, Batch, Progress},
    },
    crate::{clock, log},
    gingerpier_base::Instant,
    gingerpier_serving::{engine::Engine, events::Position, fleet::EngineKey, retry::Failure},
    std::pin::Pin,
};

/// Quarters of the route's longest pause after which the other engine takes too long, so that
/// events that were held back still arrive within the pause.
const EXPIRY_PAUSE_QUARTERS: u64 = 3;

type Sending<'a> = Pin<Box<dyn Future<Output = Result<PendingResponse, AttemptError>> + 'a>>;

/// Why a request is offered to another engine.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Reason {
    /// Its engine waits to load weights.
    Loading,
    /// Its engine sent nothing before the stall deadline.
    Silent,
}

/// An offer of a request to another engine.
pub struct Handover<'a> {
    /// Why it is made.
    pub reason: Reason,
    /// The other engine.
    pub engine: EngineKey,
    /// Counts the request in the other engine's load.
    pub in_flight: InFlight,
    /// Position after which the other engine resumes.
    pub position: Position,
    sending: Sending<'a>,
    begun: Instant,
    /// Time at which the other engine takes too long.
    expires_at: Instant,
    /// Events that arrived from the first engine since then, as HTTP chunks.
    held: Vec<u8>,
}

impl Handover<'_> {
    /// True if the offer stays open after the first engine sent this.
    pub(super) const fn outlasts(&self, batch: &Batch) -> bool {
        match (batch, self.reason) {
            (Batch::End, _) | (Batch::Events, Reason::Silent) => false,
            (Batch::Events, Reason::Loading) | (Batch::Error(_), _) => true,
        }
    }

    /// Holds back events, which leaves `events` empty.
    pub fn hold(&mut self, events: &mut Vec<u8>) {
        self.held.append(events);
    }

    /// Ends the offer; returns the events that were held back.
    pub fn into_held(self) -> Vec<u8> {
        self.held
    }
}

/// Completes with the other engine's response; never without a handover.
pub(super) async fn response(
    handover: &mut Option<Handover<'_>>,
) -> Result<PendingResponse, AttemptError> {
    match handover {
        Some(handover) => handover.sending.as_mut().await,
        None => std::future::pending().await,
    }
}

/// Time at which the other engine takes too long.
pub(super) fn expires_at(handover: Option<&Handover<'_>>) -> Option<Instant> {
    handover.map(|handover| handover.expires_at)
}

/// Completes once the other engine takes too long; never without a bound.
pub(super) async fn expiry(expires_at: Option<Instant>) {
    match expires_at {
        Some(expires_at) => clock::until(expires_at).await,
        None => std::future::pending().await,
    }
}

impl<'a> Forwarder<'a, '_> {
    /// Offers the request to `engine`.
    pub(super) fn begin_handover(
        &mut self,
        engine: EngineKey,
        reason: Reason,
        progress: &Progress,
    ) -> Handover<'a> {
        let (state, request) = (self.state, self.request);
        self.retry_state.attempts += 1;
        let position = progress.position();
        let last_event_id = position.last_id().cloned();
        let required_version = self.required_version(engine, progress);
        let needs_new_connection = self.is_outdated(engine);
        let begun = clock::now();
        let sending = async move {
            let options = AttemptOptions {
                now: begun,
                required_version,
                last_event_id: last_event_id.as_deref(),
                needs_new_connection,
            };
            attempt::send(state, request, engine, &options).await
        };
        Handover {
            reason,
            engine,
            in_flight: InFlight::new(state, engine, request.prompt_tokens),
            position,
            sending: Box::pin(sending),
            begun,
            expires_at: self.offer_expiry(engine, reason, begun),
            held: Vec::new(),
        }
    }

    /// Time by which `engine` has to accept what it is offered at `begun`; at most the time at which
    /// the request is withdrawn, as it must not start after the engine's weights expire.
    fn offer_expiry(&self, engine: EngineKey, reason: Reason, begun: Instant) -> Instant {
        let max_pause_millis = self.request.route_settings().max_pause_millis;
        let expires_at = match reason {
            Reason::Loading => begun.after_millis(max_pause_millis * EXPIRY_PAUSE_QUARTERS / 4),
            Reason::Silent => stream::first_event_deadline(self.request, begun),
        };
        let withdraw_at = self.withdraw_at(engine);
        withdraw_at.map_or(expires_at, |withdraw_at| expires_at.min(withdraw_at))
    }

    /// Checks whether the response of the other engine continues the stream.
    ///
    /// # Errors
    ///
    /// If the engine refused, failed, or runs another version.
    pub(super) fn check_accepted(
        &self,
        response: Result<PendingResponse, AttemptError>,
        progress: &Progress,
    ) -> Result<PendingResponse, AttemptError> {
        let response = response?;
        self.check_stream_head(&response.head)?;
        let version = self.response_version(&response.head);
        match !progress.has_begun() || version == progress.version() {
            true => Ok(response),
            false => Err(attempt::invalid_response()),
        }
    }

    /// Records that the other engine runs the request from now on.
    pub(super) fn complete_handover(&mut self, handover: &Handover<'_>) {
        self.sent_at = Some(handover.begun);
        self.log_handover(handover, "request handed over");
        self.tried.push(handover.engine);
        self.current = Some(handover.engine);
    }

    /// Records that the other engine didn't accept the request. One that confirms that it didn't
    /// run it takes no attempt.
    pub(super) fn fail_handover(&mut self, handover: &Handover<'_>, error: AttemptError) {
        self.record_failure(handover.engine, error);
        self.log_failure(handover.engine, error, None);
        match error.failure {
            Failure::NotRun => {
                self.retry_state.attempts -= 1;
                self.declined.push(handover.engine);
            }
            Failure::Unknown => self.tried.push(handover.engine),
        }
        self.log_handover(
            handover,
            "request stays on its engine; the other one did not accept it",
        );
    }

    /// Records that the offer is withdrawn, as the request goes on at its engine.
    pub(super) fn withdraw_handover(&mut self, handover: &Handover<'_>) {
        self.tried.push(handover.engine);
        self.log_handover(
            handover,
            "request stays on its engine; the offer is withdrawn",
        );
    }

    fn log_handover(&self, handover: &Handover<'_>, message: &'static str) {
        if !log::allows_request_line() {
            return;
        }
        let fleet = self.state.fleet.borrow();
        let id_of = |engine: &'_ Engine| engine.record.id.clone();
        tracing::info!(
            id = self
                .request
                .attempt_id(self.state.platform_api.header_names()),
            engine = self.current.map(|engine| id_of(fleet.engine(engine))),
            other = id_of(fleet.engine(handover.engine)),
            took = clock::now().millis_since(handover.begun),
            held_bytes = handover.held.len(),
            "{message}"
        );
    }
}
