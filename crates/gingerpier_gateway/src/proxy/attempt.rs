//! One attempt of a request at one engine, until the head of the response is read.

use {
    super::request::{AttemptOptions, RoutedRequest},
    crate::{client, clock, state::State},
    gingerpier_base::Instant,
    gingerpier_http1::{
        body::{Decoder, Framing},
        connection::Connection,
        error::Error,
        head::Response,
    },
    gingerpier_serving::{
        configuration::Repeat, fleet::EngineKey, platform_api::HeaderNames, retry::Failure,
    },
    std::rc::Rc,
};

/// Connect timeout.
const CONNECT_TIMEOUT_MILLIS: u64 = 300;

/// Responses to earlier requests that are discarded on one connection.
const MAX_STALE_RESPONSES: u32 = 2;

/// Status with which another engine at the same address may respond.
const MISDIRECTED_STATUS: u16 = 421;

/// Longest body of a discarded response.
const MAX_STALE_RESPONSE_BYTES: usize = 256 * 1024;

/// Longest body that is copied behind the head, so that both are sent in one packet.
const ONE_WRITE_BYTES: usize = 8 * 1024;

/// Why an attempt got no usable response.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct AttemptError {
    /// Whether the engine may have run the request.
    pub failure: Failure,
    /// What went wrong.
    pub cause: Cause,
}

/// What went wrong with an attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Cause {
    /// No connection to the engine could be established.
    Unreachable,
    /// The connection broke before the response was complete.
    Broken,
    /// The response is invalid.
    Garbled,
    /// The engine refused the request without running it.
    Full,
    /// The address belongs to another incarnation or weights version than expected.
    Elsewhere,
    /// The engine sent nothing before the stall deadline.
    Silent,
    /// The engine's weights expired before the first event.
    Outdated,
    /// The engine returned an error status.
    EngineFailed,
    /// The engine aborted a response that was left unread, as the caller didn't read it.
    Unread,
}

/// Guard that counts a request in its engine's load until it is dropped.
pub struct InFlight {
    state: Rc<State>,
    /// The engine that runs the request.
    pub engine: EngineKey,
    prompt_tokens: u64,
    awaits_first_event: bool,
    sent_at: Instant,
    slowdown: f64,
}

impl InFlight {
    /// Adds a request with `prompt_tokens` to the load of `engine`.
    pub fn new(state: &Rc<State>, engine: EngineKey, prompt_tokens: u64) -> Self {
        let sent_at = clock::now();
        let mut fleet = state.fleet.borrow_mut();
        let slowdown = fleet.engine(engine).sharing_slowdown();
        fleet.engine_mut(engine).record_sent(prompt_tokens, sent_at);
        Self {
            state: state.clone(),
            engine,
            prompt_tokens,
            awaits_first_event: true,
            sent_at,
            slowdown,
        }
    }

    /// Updates the engine's speed estimate from a complete response that is not a stream.
    pub fn record_response(&self) {
        let elapsed_millis = clock::now().millis_since(self.sent_at) as f64;
        let mut fleet = self.state.fleet.borrow_mut();
        fleet
            .engine_mut(self.engine)
            .record_work(elapsed_millis, self.slowdown);
    }

    /// Removes the prompt from the engine's unread tokens at the first event of the stream.
    pub fn record_first_event(&mut self) {
        if std::mem::replace(&mut self.awaits_first_event, false) {
            let mut fleet = self.state.fleet.borrow_mut();
            fleet
                .engine_mut(self.engine)
                .record_first_event(self.prompt_tokens);
        }
    }
}

impl Drop for InFlight {
    fn drop(&mut self) {
        let mut fleet = self.state.fleet.borrow_mut();
        fleet
            .engine_mut(self.engine)
            .record_end(self.prompt_tokens, self.awaits_first_event);
    }
}

/// An engine's response whose head has been read.
pub struct PendingResponse {
    /// Connection on which the body follows.
    pub connection: Connection,
    /// Response head.
    pub head: Response,
    /// Framing of the response body.
    pub framing: Framing,
    /// True if the whole request was written, so that the connection can be reused.
    pub is_request_sent: bool,
}

/// Sends a request to an engine and reads the head of the response.
///
/// # Errors
///
/// Fails if no valid head arrives; the error says whether the request may have run.
pub async fn send(
    state: &State,
    request: &RoutedRequest<'_>,
    engine: EngineKey,
    options: &AttemptOptions<'_>,
) -> Result<PendingResponse, AttemptError> {
    let header_names = state.platform_api.header_names();
    let (address, bytes) = {
        let fleet = state.fleet.borrow();
        let engine = fleet.engine(engine);
        (
            engine.record.address,
            request.encode(header_names, engine, options),
        )
    };
    // The engine may be closing an idle connection, which leaves it unknown whether a request ran.
    // Requests that must not run twice therefore get a new connection.
    let idle = match request.route_settings().repeat {
        _ if options.needs_new_connection => None,
        Repeat::Safe | Repeat::ResumableStream => state.pool.borrow_mut().take(&engine),
        Repeat::Once | Repeat::StreamOnce => None,
    };
    let is_new = idle.is_none();
    let mut connection = match idle {
        Some(connection) => connection,
        None => connect(address, options.now).await?,
    };
    let is_request_sent = write_request(&mut connection, bytes, &request.body.bytes()).await;
    let is_request_sent = is_request_sent.map_err(|_| broken_connection())?;
    let expected_id = request
        .head
        .fields
        .get(header_names.attempt)
        .unwrap_or_default();
    for _ in 0..=MAX_STALE_RESPONSES {
        let head = connection.response().await.map_err(from_http)?;
        let framing = head.framing().map_err(from_http)?;
        let response_id = head.fields.get(header_names.attempt);
        let is_expected = response_id.map_or(is_new, |response_id| response_id == expected_id);
        if head.status != MISDIRECTED_STATUS {
            let sent_at = is_expected.then_some(options.now);
            state.record_signals(engine, &head, sent_at);
        }
        if is_expected {
            return Ok(PendingResponse {
                connection,
                head,
                framing,
                is_request_sent,
            });
        }
        // Discards the response to an earlier request on this connection.
        let stale_body = connection
            .body(Decoder::new(framing), MAX_STALE_RESPONSE_BYTES)
            .await;
        stale_body.map_err(from_http)?;
    }
    Err(invalid_response())
}

/// Writes a request head and its body; true once all is written, false if the response began first.
async fn write_request(
    connection: &mut Connection,
    mut head: Vec<u8>,
    body: &[u8],
) -> std::io::Result<bool> {
    if body.len() <= ONE_WRITE_BYTES {
        head.extend_from_slice(body);
        return connection.write_while_reading(&head).await;
    }
    // A long body is not copied, as it would take its memory twice while the engine doesn't read.
    Ok(
        connection.write_while_reading(&head).await?
            && connection.write_while_reading(body).await?,
    )
}

/// Whether the process of an engine that broke a connection is still running.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Aftermath {
    /// Nothing listens at the engine's address any more.
    Ended,
    /// The engine accepts connections, so that only the one connection broke.
    Alive,
    /// The probe got no result; the network path may be down.
    Unknown,
}

/// Timeout of a connection probe, which covers several round trips between regions.
const PROBE_TIMEOUT_MILLIS: u64 = 100;

/// Time for which a probe connection must stay open: a crashing engine resets its connections
/// before its port closes.
const PROBE_OPEN_MILLIS: u64 = 30;

/// Time within which an engine has to respond to show that it didn't crash.
const CONFIRM_TIMEOUT_MILLIS: u64 = 200;

/// Checks whether a response is complete that ended with its connection and has no other end: the
/// engine has to respond to a further request, as an open connection may be that of a proxy.
///
/// # Errors
///
/// If the engine crashed, or nothing shows that it didn't.
pub async fn confirm_end(state: &State, engine: EngineKey) -> Result<(), AttemptError> {
    let address = state.fleet.borrow().engine(engine).record.address;
    let idle = state.pool.borrow_mut().take(&engine);
    // A report takes no slot of the engine. Engines without reports respond as well.
    let call = state.platform_api.report();
    let deadline = clock::now().after_millis(CONFIRM_TIMEOUT_MILLIS);
    let responded = clock::before(deadline, client::response_head(address, idle, &call)).await;
    let is_alive = responded
        .and_then(Result::ok)
        .is_some_and(|head| is_of_engine(&head, state.platform_api.header_names()));
    match is_alive {
        true => Ok(()),
        false => Err(broken_connection()),
    }
}

/// False for a response that a proxy may send in place of an engine that it can't reach.
fn is_of_engine(head: &Response, header_names: &HeaderNames) -> bool {
    let may_be_of_proxy = matches!(head.status, 429 | 502 | 503 | 504);
    !may_be_of_proxy || head.fields.get(header_names.not_run).is_some()
}

/// Probes with a new connection whether an engine still listens at `address`.
pub async fn probe_engine(address: std::net::SocketAddr) -> Aftermath {
    let now = clock::now();
    let connected = clock::before(
        now.after_millis(PROBE_TIMEOUT_MILLIS),
        Connection::connect(address),
    );
    let mut connection = match connected.await {
        Some(Ok(connection)) => connection,
        Some(Err(error)) if error.kind() == std::io::ErrorKind::ConnectionRefused => {
            return Aftermath::Ended;
        }
        Some(Err(_)) | None => return Aftermath::Unknown,
    };
    let open_until = clock::now().after_millis(PROBE_OPEN_MILLIS);
    match clock::before(open_until, connection.read()).await {
        Some(Ok(false) | Err(_)) => Aftermath::Ended,
        Some(Ok(true)) | None => Aftermath::Alive,
    }
}

async fn connect(address: std::net::SocketAddr, now: Instant) -> Result<Connection, AttemptError> {
    let deadline = now.after_millis(CONNECT_TIMEOUT_MILLIS);
    let connected = clock::before(deadline, Connection::connect(address)).await;
    connected.and_then(Result::ok).ok_or(AttemptError {
        failure: Failure::NotRun,
        cause: Cause::Unreachable,
    })
}

const fn broken_connection() -> AttemptError {
    AttemptError {
        failure: Failure::Unknown,
        cause: Cause::Broken,
    }
}

/// Error for a response that is not valid.
pub const fn invalid_response() -> AttemptError {
    AttemptError {
        failure: Failure::Unknown,
        cause: Cause::Garbled,
    }
}

/// Converts an HTTP error on the engine's connection.
pub const fn from_http(error: Error) -> AttemptError {
    match error {
        Error::Cut => broken_connection(),
        _ => invalid_response(),
    }
}
