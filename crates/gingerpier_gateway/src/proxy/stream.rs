//! Forwarding of event streams, with resumption on another engine after the last complete event.
//!
//! A stream whose engine failed resumes with the next attempt. One whose engine waits to load
//! weights is handed over while its response is read on.

use {
    super::{
        attempt::{self, AttemptError, Cause, InFlight, PendingResponse},
        caller,
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
        head::Response,
        writer::{self, LAST_CHUNK},
    },
    gingerpier_serving::{
        events::{Position, Splitter},
        report::Version,
        retry::Failure,
    },
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
    /// Reads until at least one complete event arrives or the stream ends; appends the events to
    /// `output` as HTTP chunks.
    async fn read_events(&mut self, progress: &mut Progress, output: &mut Vec<u8>) -> Batch {
        loop {
            loop {
                match self.decoder.decode(&mut self.connection.input) {
                    Ok(Some(Part::Data(data))) => {
                        if let Some(events) = progress.splitter.push(&data) {
                            writer::chunk(output, &events);
                        }
                        if progress.splitter.pending_bytes() > MAX_EVENT_BYTES {
                            progress.is_committed = true;
                            writer::chunk(output, &progress.splitter.finish());
                        }
                    }
                    Ok(Some(Part::End)) => return Batch::End,
                    Ok(None) => break,
                    Err(error) => return Batch::Error(attempt::from_http(error)),
                }
            }
            if !output.is_empty() {
                return Batch::Events;
            }
            match self.connection.read().await {
                Ok(true) => {}
                Ok(false) => {
                    return match self.decoder.close() {
                        Ok(()) => Batch::End,
                        Err(error) => Batch::Error(attempt::from_http(error)),
                    };
                }
                Err(_) => {
                    return Batch::Error(attempt::from_http(gingerpier_http1::error::Error::Cut));
                }
            }
        }
    }
}

/// What happened next to a stream.
enum Step {
    /// Its engine sent something.
    Read(Batch),
    /// The engine that it is offered to responded.
    HandoverResponse(Result<PendingResponse, AttemptError>),
    /// The engine that it is offered to takes too long.
    HandoverExpired,
    /// Its engine sent no event in time.
    Stalled,
}

/// Forwards a stream until it ends or fails.
pub async fn forward(
    forwarder: &mut Forwarder<'_, '_>,
    caller: &mut Connection,
    response: PendingResponse,
    progress: &mut Progress,
    in_flight: &mut InFlight,
) -> AttemptOutcome {
    let mut upstream = Upstream::from(response);
    let mut unread = Unread::default();
    let mut head_bytes = Vec::new();
    if !progress.has_begun {
        progress.version = forwarder.response_version(&upstream.head);
        head_bytes = forwarder
            .response_head(&upstream.head)
            .field(b"transfer-encoding", b"chunked")
            .end();
    }
    let held = forwarder.state.until_held(forwarder.request.fingerprint);
    tokio::pin!(held);
    let mut events = Vec::new();
    let mut handover: Option<Handover<'_>> = None;
    let mut was_offered = false;
    // Error of the engine, while another one may still accept the stream.
    let mut failed: Option<AttemptError> = None;
    let mut stall_deadline = first_event_deadline(forwarder.request, clock::now());
    loop {
        let expires_at = handover::expires_at(handover.as_ref());
        let step = tokio::select! {
            biased;
            batch = upstream.read_events(progress, &mut events), if failed.is_none() => {
                Step::Read(batch)
            }
            () = disconnected(caller) => return AttemptOutcome::Disconnected,
            () = clock::until(forwarder.request.deadline) => return AttemptOutcome::TimedOut,
            () = &mut held => return AttemptOutcome::Held,
            response = handover::response(&mut handover) => Step::HandoverResponse(response),
            () = handover::expiry(expires_at) => Step::HandoverExpired,
            () = clock::until(stall_deadline) => Step::Stalled,
        };
        let batch = match step {
            Step::Read(batch) => {
                if let Some(pending) = &mut handover
                    && pending.outlasts(&batch)
                    && !progress.is_committed
                {
                    let now = clock::now();
                    pending.hold(&mut events);
                    stall_deadline = now.after_millis(EVENT_GAP_TIMEOUT_MILLIS);
                    if let Batch::Error(error) = batch {
                        failed = Some(unread.attribute(error, now));
                    }
                    continue;
                }
                if let Some(pending) = handover.take() {
                    // The engine goes on or has finished, or no other one can continue.
                    forwarder.withdraw_handover(&pending);
                    let new_events = std::mem::replace(&mut events, pending.into_held());
                    events.extend(new_events);
                }
                batch
            }
            Step::HandoverResponse(response) => {
                let Some(pending) = handover.take() else {
                    continue;
                };
                match forwarder.check_accepted(response, progress.version) {
                    Ok(response) => {
                        if let Some(error) = failed.take() {
                            forwarder.record_failure(in_flight.engine, error);
                            forwarder.log_failure(in_flight.engine, error, None);
                        }
                        forwarder.complete_handover(&pending);
                        progress.splitter.rewind(pending.position);
                        *in_flight = pending.in_flight;
                        upstream = response.into();
                        unread = Unread::default();
                        stall_deadline = clock::now().after_millis(EVENT_GAP_TIMEOUT_MILLIS);
                        continue;
                    }
                    Err(error) => {
                        forwarder.fail_handover(&pending, error);
                        events = pending.into_held();
                        failed.map_or(Batch::Events, Batch::Error)
                    }
                }
            }
            Step::HandoverExpired => {
                let Some(pending) = handover.take() else {
                    continue;
                };
                forwarder.withdraw_handover(&pending);
                events = pending.into_held();
                failed.map_or(Batch::Events, Batch::Error)
            }
            Step::Stalled if forwarder.is_suspected() && forwarder.can_retry(progress) => {
                // A suspected request runs on one engine at a time.
                progress.splitter.discard();
                return AttemptOutcome::Failed(STALLED);
            }
            Step::Stalled => {
                if handover.is_none()
                    && let Some(target) = forwarder.stall_target(progress)
                {
                    forwarder.record_failure(in_flight.engine, STALLED);
                    forwarder.log_failure(in_flight.engine, STALLED, None);
                    handover = Some(forwarder.begin_handover(target, Reason::Silent, progress));
                }
                stall_deadline = recheck_deadline();
                continue;
            }
        };
        if matches!(batch, Batch::End) {
            let rest = progress.splitter.finish();
            writer::chunk(&mut events, &rest);
            events.extend_from_slice(LAST_CHUNK);
        }
        if !events.is_empty() {
            if !head_bytes.is_empty() {
                // One packet carries the head and the first event.
                head_bytes.append(&mut events);
                events = std::mem::take(&mut head_bytes);
            }
            if progress.record_events(clock::now()) {
                forwarder.record_first_bytes();
            }
            in_flight.record_first_event();
            let begun = clock::now();
            let written = caller::write(caller, &events, forwarder.request.deadline).await;
            if let Err(error) = written {
                return error.into();
            }
            events = Vec::new();
            let now = clock::now();
            unread.record_write(begun, now);
            stall_deadline = now.after_millis(EVENT_GAP_TIMEOUT_MILLIS);
        }
        match batch {
            Batch::Events => {
                if !was_offered
                    && let Some(target) = forwarder.migration_target(in_flight.engine, progress)
                {
                    was_offered = true;
                    handover = Some(forwarder.begin_handover(target, Reason::Loading, progress));
                }
            }
            Batch::End => {
                forwarder.record_completion(&upstream.head);
                let mut fleet = forwarder.state.fleet.borrow_mut();
                fleet.engine_mut(in_flight.engine).record_success();
                if upstream.is_request_sent {
                    let mut pool = forwarder.state.pool.borrow_mut();
                    pool.put(in_flight.engine, upstream.connection, &upstream.head);
                }
                return AttemptOutcome::Completed;
            }
            Batch::Error(error) => {
                progress.splitter.discard();
                return AttemptOutcome::Failed(unread.attribute(error, clock::now()));
            }
        }
    }
}
