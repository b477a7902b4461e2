//! Forwarding of event streams, with resumption on another engine after the last complete event.
//!
//! A stream whose engine failed resumes with the next attempt. One whose engine waits to load
//! weights is handed over while its response is read on.

use {
    super::{
        attempt::{self, AttemptError, Cause, InFlight, PendingResponse},
        caller::{Caller, WriteError},
        forward::{AttemptOutcome, Forwarder, disconnected},
        handover::{self, Handover, Reason},
        request::RoutedRequest,
    },
    crate::clock,
    bytes::Bytes,
    gingerpier_base::Instant,
    gingerpier_http1::{
        body::{Decoder, Part},
        connection::Connection,
        error::Error,
        head::Response,
        writer::{self, LAST_CHUNK},
    },
    gingerpier_serving::{
        events::{Position, Splitter},
        fleet::EngineKey,
        report::Version,
        retry::Failure,
    },
    std::pin::Pin,
};

/// Timeout for the next event, after which a stream may resume on another engine.
const EVENT_GAP_TIMEOUT_MILLIS: u64 = 1_200;

/// Shortest timeout for the first event.
const MIN_FIRST_EVENT_TIMEOUT_MILLIS: u64 = 1_200;

/// Timeout for the first event, in latency targets of the route.
const FIRST_EVENT_TIMEOUT_TARGETS: u64 = 3;

/// Interval at which a stalled request looks again for another engine.
const RECHECK_INTERVAL_MILLIS: u64 = 300;

/// Longest event that is held until it is complete, in bytes; of a longer one the caller gets the
/// beginning, after which the stream can't resume on another engine.
const MAX_EVENT_BYTES: usize = 8 * 1024;

/// Time for which a response has to be left unread before its abort is attributed to that. Engines
/// wait for some seconds.
const UNREAD_MILLIS: u64 = 500;

/// Time after which an abort is no longer attributed to an earlier pause; covers the forwarding of
/// what the kernel had received before the abort.
const UNREAD_EFFECT_MILLIS: u64 = 2_000;

/// Media type of a response that consists of events.
const EVENT_STREAM: &[u8] = b"text/event-stream";

/// Instant at which an attempt without a new event counts as stalled.
pub type StallDeadline = Instant;

/// Error of an attempt whose engine sends nothing.
pub const STALLED: AttemptError = AttemptError {
    failure: Failure::Unknown,
    cause: Cause::Silent,
};

/// Events that were forwarded to the caller so far, across attempts.
#[derive(Debug, Default)]
pub struct Progress {
    splitter: Splitter,
    has_begun: bool,
    is_committed: bool,
    version: Version,
    first_event_at: Option<Instant>,
    last_event_at: Option<Instant>,
    longest_gap_millis: u64,
}

impl Progress {
    /// True once a response head and an event went to the caller.
    pub const fn has_begun(&self) -> bool {
        self.has_begun
    }

    /// True once the caller has a part of a response that no other engine can continue.
    pub const fn is_committed(&self) -> bool {
        self.is_committed
    }

    /// Records that the caller gets a part of a response that no other engine can continue.
    pub const fn commit(&mut self) {
        self.is_committed = true;
        self.has_begun = true;
    }

    /// Weights version that the stream started with.
    pub const fn version(&self) -> Version {
        self.version
    }

    /// Position after the last event that was forwarded.
    pub fn position(&self) -> Position {
        self.splitter.position().clone()
    }

    /// Id of the last event that was forwarded.
    pub fn last_event_id(&self) -> Option<&Bytes> {
        self.splitter.last_id()
    }

    /// Number of events that were forwarded.
    pub const fn event_count(&self) -> u64 {
        self.splitter.count()
    }

    /// Longest time between events so far.
    pub const fn longest_gap_millis(&self) -> u64 {
        self.longest_gap_millis
    }

    /// Records events at `now`; returns true for the first ones of the stream.
    fn record_events(&mut self, now: Instant) -> bool {
        let gap_millis = self
            .last_event_at
            .map_or(0, |last_event_at| now.millis_since(last_event_at));
        self.longest_gap_millis = self.longest_gap_millis.max(gap_millis);
        self.last_event_at = Some(now);
        self.has_begun = true;
        let is_first = self.first_event_at.is_none();
        self.first_event_at = self.first_event_at.or(Some(now));
        is_first
    }

    /// Milliseconds from `received` to the first event.
    pub fn first_event_millis(&self, received: Instant) -> Option<u64> {
        self.first_event_at
            .map(|first_event_at| first_event_at.millis_since(received))
    }
}

/// Tells whether an engine may have aborted a response because it was left unread.
#[derive(Debug, Default)]
pub struct Unread {
    ended_at: Option<Instant>,
}

impl Unread {
    /// Records a write to the caller, during which nothing was read from the engine.
    pub fn record_write(&mut self, begun: Instant, now: Instant) {
        if now.millis_since(begun) >= UNREAD_MILLIS {
            self.ended_at = Some(now);
        }
    }

    /// Error of the attempt, whose cause is not the engine if its response was just left unread.
    pub fn attribute(&self, error: AttemptError, now: Instant) -> AttemptError {
        let is_unread = self
            .ended_at
            .is_some_and(|at| !at.after_millis(UNREAD_EFFECT_MILLIS).has_passed(now));
        match error.cause {
            Cause::Broken if is_unread => AttemptError {
                cause: Cause::Unread,
                ..error
            },
            _ => error,
        }
    }
}

/// Stall deadline for the first event of an attempt that starts at `now`.
pub fn first_event_deadline(request: &RoutedRequest<'_>, now: Instant) -> StallDeadline {
    let timeout_millis = FIRST_EVENT_TIMEOUT_TARGETS * request.route_settings().target_millis;
    now.after_millis(timeout_millis.max(MIN_FIRST_EVENT_TIMEOUT_MILLIS))
}

/// Stall deadline of an attempt that has stalled while no other engine is available.
pub fn recheck_deadline() -> StallDeadline {
    clock::now().after_millis(RECHECK_INTERVAL_MILLIS)
}

/// Result of reading a part of a stream.
pub(super) enum Batch {
    Events,
    End,
    Error(AttemptError),
}

/// Check whether a response is complete that ended with its connection.
type Confirmation<'a> = Pin<Box<dyn Future<Output = Result<(), AttemptError>> + 'a>>;

/// Completes with the result of the check; never without one.
async fn confirmed(confirmation: &mut Option<Confirmation<'_>>) -> Result<(), AttemptError> {
    match confirmation {
        Some(confirmation) => confirmation.as_mut().await,
        None => std::future::pending().await,
    }
}

/// Response that a stream is read from.
struct Upstream {
    connection: Connection,
    head: Response,
    decoder: Decoder,
    is_request_sent: bool,
}

impl From<PendingResponse> for Upstream {
    fn from(response: PendingResponse) -> Self {
        Self {
            connection: response.connection,
            head: response.head,
            decoder: Decoder::new(response.framing),
            is_request_sent: response.is_request_sent,
        }
    }
}

impl Upstream {
    /// True if the response has events; one that names another type has none.
    fn is_event_stream(&self) -> bool {
        let content_type = self.head.fields.get("content-type");
        content_type.is_none_or(|text| {
            let media_type = text.split(|byte| *byte == b';').next().unwrap_or_default();
            media_type.trim_ascii().eq_ignore_ascii_case(EVENT_STREAM)
        })
    }

    /// Step that the end of the connection leads to.
    fn close(&mut self, progress: &Progress) -> Step {
        match self.decoder.close() {
            Ok(Part::Closed) if self.is_event_stream() && progress.splitter.is_inside_event() => {
                Step::failed(Error::Cut)
            }
            Ok(Part::Closed) => Step::Closed,
            Ok(_) => Step::Read(Batch::End),
            Err(error) => Step::failed(error),
        }
    }

    /// Reads until at least one complete event arrives or the stream ends; appends the events to
    /// `output` as HTTP chunks.
    async fn read_events(&mut self, progress: &mut Progress, output: &mut Vec<u8>) -> Step {
        loop {
            loop {
                match self.decoder.decode(&mut self.connection.input) {
                    Ok(Some(Part::Data(data))) => {
                        if let Some(events) = progress.splitter.push(&data) {
                            writer::chunk(output, &events);
                        }
                        if progress.splitter.pending_bytes() > MAX_EVENT_BYTES {
                            progress.is_committed = true;
                            writer::chunk(output, &progress.splitter.flush());
                        }
                    }
                    Ok(Some(Part::End)) => return Step::Read(Batch::End),
                    Ok(Some(Part::Closed)) => return Step::Closed,
                    Ok(None) => break,
                    Err(error) => return Step::failed(error),
                }
            }
            if !output.is_empty() {
                return Step::Read(Batch::Events);
            }
            match self.connection.read().await {
                Ok(true) => {}
                Ok(false) => return self.close(progress),
                Err(_) => return Step::failed(Error::Cut),
            }
        }
    }
}

/// What happened next to a stream.
enum Step {
    /// Its engine sent something.
    Read(Batch),
    /// Its engine closed the connection, and the response has no other end.
    Closed,
    /// Whether a response is complete whose engine closed the connection.
    Confirmed(Result<(), AttemptError>),
    /// The engine that it is offered to responded.
    HandoverResponse(Result<PendingResponse, AttemptError>),
    /// The engine that it is offered to takes too long.
    HandoverExpired,
    /// Its engine sent no event in time.
    Stalled,
}

impl Step {
    const fn failed(error: Error) -> Self {
        Self::Read(Batch::Error(attempt::from_http(error)))
    }
}

/// A stream that is forwarded, and the engine that it may be handed over to.
struct Relay<'r, 'a, 'c> {
    forwarder: &'r mut Forwarder<'a, 'c>,
    progress: &'r mut Progress,
    in_flight: &'r mut InFlight,
    upstream: Upstream,
    unread: Unread,
    /// True once the engine sent an event.
    has_events: bool,
    /// Response head, until the caller has it.
    head_bytes: Vec<u8>,
    handover: Option<Handover<'a>>,
    /// Check of a response that ended with its connection.
    confirmation: Option<Confirmation<'a>>,
    /// True once the stream was offered because its engine waits to load weights.
    was_offered: bool,
    /// Error of the engine, while another one may still accept the stream.
    failed: Option<AttemptError>,
    /// True once the engine's silence was recorded, until it sends something.
    is_stalled: bool,
    stall_deadline: StallDeadline,
}

/// Forwards a stream until it ends or fails.
pub async fn forward(
    forwarder: &mut Forwarder<'_, '_>,
    caller: &mut Caller,
    response: PendingResponse,
    progress: &mut Progress,
    in_flight: &mut InFlight,
) -> AttemptOutcome {
    // A part that an engine writes on is refuted by a complete response if it is harmless.
    let held = forwarder
        .state
        .until_held(forwarder.request.fingerprint, &[]);
    let state = forwarder.state.clone();
    let cutoff = state.cutoff();
    tokio::pin!(held, cutoff);
    let deadline = forwarder.request.deadline;
    let mut relay = Relay::new(forwarder, response, progress, in_flight);
    let mut events = Vec::new();
    loop {
        if relay.forwarder.has_expired() {
            return AttemptOutcome::TimedOut;
        }
        let expires_at = handover::expires_at(relay.handover.as_ref());
        let step = tokio::select! {
            biased;
            step = relay.upstream.read_events(relay.progress, &mut events),
                if relay.is_reading() => step,
            () = disconnected(caller) => return AttemptOutcome::Disconnected,
            () = clock::until(deadline) => return AttemptOutcome::TimedOut,
            () = &mut cutoff => return AttemptOutcome::TimedOut,
            () = &mut held => return AttemptOutcome::Held,
            result = confirmed(&mut relay.confirmation) => Step::Confirmed(result),
            response = handover::response(&mut relay.handover) => Step::HandoverResponse(response),
            () = handover::expiry(expires_at) => Step::HandoverExpired,
            () = clock::until(relay.stall_deadline),
                if relay.confirmation.is_none() => Step::Stalled,
        };
        let batch = match step {
            Step::Read(batch) => relay.handle_read(batch, &mut events),
            Step::Closed => {
                relay.begin_confirmation();
                None
            }
            Step::Confirmed(result) => {
                relay.confirmation = None;
                let batch = result.map_or_else(Batch::Error, |()| Batch::End);
                relay.handle_read(batch, &mut events)
            }
            Step::HandoverResponse(response) => relay.handle_response(response, &mut events),
            Step::HandoverExpired => relay.handle_expiry(&mut events),
            Step::Stalled if relay.leaves_when_stalled() => return relay.fail(STALLED),
            Step::Stalled => {
                relay.handle_stall();
                None
            }
        };
        let Some(batch) = batch else {
            continue;
        };
        if let Err(error) = relay
            .write(caller, &batch, std::mem::take(&mut events))
            .await
        {
            return error.into();
        }
        match batch {
            Batch::Events => relay.offer_if_loading(),
            Batch::End => return relay.complete(),
            Batch::Error(error) => return relay.fail(error),
        }
    }
}

impl<'r, 'a, 'c> Relay<'r, 'a, 'c> {
    fn new(
        forwarder: &'r mut Forwarder<'a, 'c>,
        response: PendingResponse,
        progress: &'r mut Progress,
        in_flight: &'r mut InFlight,
    ) -> Self {
        let stall_deadline = first_event_deadline(forwarder.request, clock::now());
        let mut relay = Self {
            forwarder,
            progress,
            in_flight,
            upstream: response.into(),
            unread: Unread::default(),
            has_events: false,
            head_bytes: Vec::new(),
            handover: None,
            confirmation: None,
            was_offered: false,
            failed: None,
            is_stalled: false,
            stall_deadline,
        };
        relay.take_head();
        relay
    }

    /// Takes version and response head from the engine that runs the stream, unless the caller has
    /// a part of the response.
    fn take_head(&mut self) {
        if self.progress.has_begun {
            return;
        }
        let head = &self.upstream.head;
        self.progress.version = self.forwarder.response_version(head);
        let response_head = self.forwarder.response_head(head);
        let response_head = response_head.field(b"transfer-encoding", b"chunked");
        self.head_bytes = response_head.end();
    }

    /// True while more is expected from the engine.
    const fn is_reading(&self) -> bool {
        self.failed.is_none() && self.confirmation.is_none()
    }

    fn begin_confirmation(&mut self) {
        let (state, engine) = (self.forwarder.state, self.in_flight.engine);
        self.confirmation = Some(Box::pin(attempt::confirm_end(state, engine)));
    }

    /// Returns what of `batch` is to be forwarded now, with its `events`; `None` while another
    /// engine may accept the stream.
    fn handle_read(&mut self, batch: Batch, events: &mut Vec<u8>) -> Option<Batch> {
        self.is_stalled = false;
        self.has_events |= !events.is_empty();
        if let Some(pending) = &mut self.handover
            && pending.outlasts(&batch)
            && !self.progress.is_committed
        {
            pending.hold(events);
            let now = clock::now();
            self.stall_deadline = now.after_millis(EVENT_GAP_TIMEOUT_MILLIS);
            if let Batch::Error(error) = batch {
                self.failed = Some(self.unread.attribute(error, now));
            }
            return None;
        }
        if let Some(pending) = self.handover.take() {
            // The engine goes on or has finished, or no other one can continue.
            self.forwarder.withdraw_handover(&pending);
            let new_events = std::mem::replace(events, pending.into_held());
            events.extend(new_events);
        }
        Some(match batch {
            Batch::Error(error) => Batch::Error(self.unread.attribute(error, clock::now())),
            batch => batch,
        })
    }

    /// Switches to the other engine if it accepted the stream; otherwise returns what is to be
    /// forwarded of the first one.
    fn handle_response(
        &mut self,
        response: Result<PendingResponse, AttemptError>,
        events: &mut Vec<u8>,
    ) -> Option<Batch> {
        let pending = self.handover.take()?;
        let accepted = self.forwarder.check_accepted(response, self.progress);
        match accepted {
            Ok(response) => {
                self.switch(pending, response);
                None
            }
            Err(error) => {
                self.forwarder.fail_handover(&pending, error);
                *events = pending.into_held();
                Some(self.remaining_batch())
            }
        }
    }

    /// Ends an offer that the other engine did not accept in time. Only one that is silent for as
    /// long as an attempt may be has failed.
    fn handle_expiry(&mut self, events: &mut Vec<u8>) -> Option<Batch> {
        let reason = self.handover.as_ref()?.reason;
        if reason == Reason::Silent {
            return self.handle_response(Err(STALLED), events);
        }
        let pending = self.handover.take()?;
        self.forwarder.withdraw_handover(&pending);
        *events = pending.into_held();
        Some(self.remaining_batch())
    }

    /// What is to be forwarded of the first engine once no other one accepted the stream.
    fn remaining_batch(&mut self) -> Batch {
        self.failed.take().map_or(Batch::Events, Batch::Error)
    }

    fn switch(&mut self, pending: Handover<'a>, response: PendingResponse) {
        if let Some(error) = self.failed.take() {
            let engine = self.in_flight.engine;
            self.forwarder.record_failure(engine, error);
            self.forwarder.log_failure(engine, error, None);
        }
        self.forwarder.complete_handover(&pending);
        self.forwarder.framing = Some(response.framing);
        self.progress.splitter.rewind(pending.position);
        *self.in_flight = pending.in_flight;
        self.upstream = response.into();
        self.confirmation = None;
        self.take_head();
        self.unread = Unread::default();
        self.has_events = false;
        self.stall_deadline = clock::now().after_millis(EVENT_GAP_TIMEOUT_MILLIS);
    }

    /// True if the stream leaves its silent engine without an offer, as a suspected request runs on
    /// one engine at a time.
    fn leaves_when_stalled(&mut self) -> bool {
        let is_alone = self.handover.is_none();
        is_alone && self.forwarder.is_suspected() && self.forwarder.can_retry(self.progress)
    }

    /// Offers the stream to another engine, as its own is silent.
    fn handle_stall(&mut self) {
        self.stall_deadline = recheck_deadline();
        if self.handover.is_some() {
            return;
        }
        let Some(target) = self.forwarder.stall_target(self.progress) else {
            return;
        };
        if !std::mem::replace(&mut self.is_stalled, true) {
            let engine = self.in_flight.engine;
            self.forwarder.record_failure(engine, STALLED);
            self.forwarder.log_failure(engine, STALLED, None);
        }
        self.offer(target, Reason::Silent);
    }

    /// Offers the stream to another engine, once, if its own waits to load weights.
    fn offer_if_loading(&mut self) {
        if self.was_offered || self.handover.is_some() {
            return;
        }
        let engine = self.in_flight.engine;
        if let Some(target) = self.forwarder.migration_target(engine, self.progress) {
            self.was_offered = true;
            self.offer(target, Reason::Loading);
        }
    }

    fn offer(&mut self, engine: EngineKey, reason: Reason) {
        let handover = self.forwarder.begin_handover(engine, reason, self.progress);
        self.handover = Some(handover);
    }

    /// Writes events to the caller, after the response head if it hasn't got that yet.
    async fn write(
        &mut self,
        caller: &mut Caller,
        batch: &Batch,
        mut events: Vec<u8>,
    ) -> Result<(), WriteError> {
        if matches!(batch, Batch::End) {
            let rest = self.progress.splitter.finish();
            writer::chunk(&mut events, &rest);
            events.extend_from_slice(LAST_CHUNK);
        }
        if events.is_empty() {
            return Ok(());
        }
        let is_first = !self.head_bytes.is_empty();
        if is_first {
            // One packet carries the head and the first event.
            self.head_bytes.append(&mut events);
            events = std::mem::take(&mut self.head_bytes);
        }
        if self.progress.record_events(clock::now()) {
            self.forwarder.record_first_bytes();
        }
        self.in_flight.record_first_event();
        let begun = clock::now();
        let deadline = self.forwarder.request.deadline;
        match is_first {
            true => caller.begin(&events, deadline).await?,
            false => caller.proceed(&events, deadline).await?,
        }
        if matches!(batch, Batch::End) {
            caller.complete();
        }
        let now = clock::now();
        self.unread.record_write(begun, now);
        self.stall_deadline = now.after_millis(EVENT_GAP_TIMEOUT_MILLIS);
        Ok(())
    }

    fn complete(self) -> AttemptOutcome {
        // An engine that resumed after the last event has written nothing that could crash it.
        if self.has_events {
            self.forwarder.record_completion(&self.upstream.head);
        }
        let mut fleet = self.forwarder.state.fleet.borrow_mut();
        fleet.engine_mut(self.in_flight.engine).record_success();
        if self.upstream.is_request_sent {
            let mut pool = self.forwarder.state.pool.borrow_mut();
            let Upstream {
                connection, head, ..
            } = self.upstream;
            pool.put(self.in_flight.engine, connection, &head);
        }
        AttemptOutcome::Completed
    }

    fn fail(self, error: AttemptError) -> AttemptOutcome {
        self.progress.splitter.discard();
        AttemptOutcome::Failed(error)
    }
}
