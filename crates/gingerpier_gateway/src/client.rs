//! HTTP client with one persistent connection to a server.
//!
//! A long response may take any time while data arrives. When it stalls, a client with a probe
//! request sends the probe over a new connection. If the server responds to the probe while the
//! response stays silent, the connection is dead; otherwise the path is slow, and another request
//! would only add load.

use {
    crate::{
        clock, compression,
        error::{Error, Step as Phase},
    },
    bytes::{Bytes, BytesMut},
    gingerpier_base::Instant,
    gingerpier_http1::{
        body::{Decoder, Framing, Part},
        connection::{Connection, Whole},
        head::Response,
        writer::Message,
    },
    gingerpier_serving::platform_api::ApiRequest,
    std::{cell::Cell, net::SocketAddr, rc::Rc},
};

/// Largest response body in bytes.
pub const MAX_RESPONSE_BYTES: usize = 8 * 1024 * 1024;

/// Longest time for a whole response of an engine of this machine.
const MAX_ENGINE_RESPONSE_MILLIS: u64 = 1_000;

/// Time without data after which a response counts as stalled.
const STALL_MILLIS: u64 = 800;

/// Time without data after which a request fails even if the path seems slow.
const MAX_SILENCE_MILLIS: u64 = 5_000;

/// Timeout for a probe.
const PROBE_TIMEOUT_MILLIS: u64 = 1_500;

/// Least interval between probes.
const PROBE_INTERVAL_MILLIS: u64 = 250;

/// HTTP client with one persistent connection to a server.
pub struct Client {
    peer: SocketAddr,
    connection: Option<Connection>,
    accepts_compression: bool,
    /// Largest response body that is accepted.
    pub max_body_bytes: usize,
    /// Longest time for a whole response; `None` without a limit while data arrives.
    max_response_millis: Option<u64>,
    /// Set to the time at which data of a successful response last arrived.
    last_received: Option<Rc<Cell<Option<Instant>>>>,
    /// Request that tells a dead connection from a slow path.
    probe: Option<ApiRequest>,
}

impl Client {
    /// Client of `peer`.
    pub const fn new(peer: SocketAddr) -> Self {
        Self {
            peer,
            connection: None,
            accepts_compression: false,
            max_body_bytes: MAX_RESPONSE_BYTES,
            max_response_millis: None,
            last_received: None,
            probe: None,
        }
    }

    /// Client of an engine of this machine, whose responses are short and may never end.
    pub const fn of_engine(peer: SocketAddr) -> Self {
        let mut client = Self::new(peer);
        client.max_response_millis = Some(MAX_ENGINE_RESPONSE_MILLIS);
        client
    }

    /// Client that records in `last_received` when data of a successful response last arrived.
    pub fn recording(peer: SocketAddr, last_received: Rc<Cell<Option<Instant>>>) -> Self {
        let mut client = Self::new(peer);
        client.last_received = Some(last_received);
        client
    }

    /// Client of another gateway, which accepts compressed responses.
    pub fn accepting_compression(peer: SocketAddr) -> Self {
        let mut client = Self::new(peer);
        client.accepts_compression = true;
        client
    }

    /// Adds a `probe` request that tells a dead connection from a slow path.
    pub fn with_probe(mut self, probe: ApiRequest) -> Self {
        self.probe = Some(probe);
        self
    }

    /// Server address.
    pub const fn peer(&self) -> SocketAddr {
        self.peer
    }

    /// Sends a call and reads its response, which has to begin within `millis`, or later if the
    /// path is found to be slow.
    ///
    /// # Errors
    ///
    /// If the server can't be reached or doesn't respond in time. The next call opens a new
    /// connection.
    pub async fn call(&mut self, call: &ApiRequest, millis: u64) -> Result<Whole, Error> {
        let (peer, probe) = (self.peer, self.probe.clone());
        let sent_at = clock::now();
        let last = Cell::new(None);
        let limit = self.max_response_millis;
        let limit = limit.map(|millis| sent_at.after_millis(millis));
        let exchange = self.exchange(call, &last);
        tokio::pin!(exchange);
        let timeout_error = Error::Timeout {
            step: Phase::Exchange,
            peer,
        };
        loop {
            let previous = last.get();
            let deadline = match previous {
                Some(last_received) => last_received.after_millis(STALL_MILLIS),
                None => sent_at.after_millis(millis),
            };
            let deadline = limit.map_or(deadline, |limit| limit.min(deadline));
            if let Some(response) = clock::before(deadline, &mut exchange).await {
                return response;
            }
            if limit.is_some_and(|limit| limit.has_passed(clock::now())) {
                return Err(timeout_error);
            }
            if last.get() != previous {
                continue;
            }
            let Some(probe) = probe.as_ref() else {
                return Err(timeout_error);
            };
            // Data that arrives in the meantime cancels the probe.
            let has_responded = tokio::select! {
                biased;
                response = &mut exchange => return response,
                has_responded = responds_to_probe(peer, probe) => has_responded,
            };
            let silence_millis = clock::now().millis_since(last.get().unwrap_or(sent_at));
            if last.get() == previous && (has_responded || silence_millis > MAX_SILENCE_MILLIS) {
                return Err(timeout_error);
            }
        }
    }

    /// Sends a call and reads its response; sets `last` whenever data arrives.
    async fn exchange(
        &mut self,
        call: &ApiRequest,
        last: &Cell<Option<Instant>>,
    ) -> Result<Whole, Error> {
        let peer = self.peer;
        let idle = self.connection.take();
        let request = match self.accepts_compression {
            true => encode_accepting_compression(call, peer),
            false => encode(call, peer),
        };
        let (mut connection, head) = send_request(peer, idle, request).await?;
        last.set(Some(clock::now()));
        let body = self.read_body(&mut connection, &head, last).await?;
        let response = Whole { head, body };
        if response.head.keeps_alive() && connection.input.is_empty() {
            self.connection = Some(connection);
        }
        Ok(response)
    }

    async fn read_body(
        &self,
        connection: &mut Connection,
        head: &Response,
        last: &Cell<Option<Instant>>,
    ) -> Result<Bytes, Error> {
        let peer = self.peer;
        let step = Phase::Exchange;
        let http_error = |cause| Error::Http { step, peer, cause };
        let framing = head.framing().map_err(http_error)?;
        if matches!(framing, Framing::Length(length) if length > self.max_body_bytes as u64) {
            return Err(http_error(gingerpier_http1::error::Error::BodyTooLong));
        }
        let mut decoder = Decoder::new(framing);
        let mut body = BytesMut::new();
        loop {
            match connection.part(&mut decoder).await.map_err(http_error)? {
                // Of a body that ends early with its connection, nothing can be decoded.
                Part::End | Part::Closed => return Ok(body.freeze()),
                Part::Data(data) => body.extend_from_slice(&data),
            }
            let now = Some(clock::now());
            last.set(now);
            // An error response doesn't confirm the server's data.
            if let Some(last_received) = self.last_received.as_ref().filter(|_| head.status == 200)
            {
                last_received.set(now);
            }
            if body.len() > self.max_body_bytes {
                return Err(http_error(gingerpier_http1::error::Error::BodyTooLong));
            }
        }
    }
}

/// True if `peer` responds to a probe on a new connection; false once the next probe may be sent.
async fn responds_to_probe(peer: SocketAddr, probe: &ApiRequest) -> bool {
    let sent_at = clock::now();
    let deadline = sent_at.after_millis(PROBE_TIMEOUT_MILLIS);
    let result = clock::before(deadline, send_request(peer, None, encode(probe, peer))).await;
    let has_responded = result.is_some_and(|result| result.is_ok());
    if !has_responded {
        clock::until(sent_at.after_millis(PROBE_INTERVAL_MILLIS)).await;
    }
    has_responded
}

/// Sends a call on an idle connection, or else on a new one, and reads the head of its response.
///
/// # Errors
///
/// If the peer can't be reached or sends no response.
pub async fn response_head(
    peer: SocketAddr,
    idle: Option<Connection>,
    call: &ApiRequest,
) -> Result<Response, Error> {
    if idle.is_some()
        && let Ok((_, head)) = send_request(peer, idle, encode(call, peer)).await
    {
        return Ok(head);
    }
    let (_, head) = send_request(peer, None, encode(call, peer)).await?;
    Ok(head)
}

/// Encodes a call as an HTTP request.
pub fn encode(call: &ApiRequest, host: SocketAddr) -> Vec<u8> {
    let message = start_message(call, host);
    if call.body.is_empty() {
        return message.end();
    }
    message
        .field(b"content-type", b"application/json")
        .body(&call.body)
}

/// Encodes a call without a body whose response may be compressed.
fn encode_accepting_compression(call: &ApiRequest, host: SocketAddr) -> Vec<u8> {
    start_message(call, host)
        .field(b"accept-encoding", compression::ENCODING.as_bytes())
        .end()
}

fn start_message(call: &ApiRequest, host: SocketAddr) -> Message {
    let message = Message::request(call.method.as_bytes(), call.target.as_str().as_bytes())
        .field(b"host", host.to_string().as_bytes());
    let fields = call.fields.iter();
    fields.fold(message, |message, (name, value)| {
        message.field(name.as_bytes(), value.as_bytes())
    })
}

/// Sends a request and reads the head of its response.
async fn send_request(
    peer: SocketAddr,
    idle: Option<Connection>,
    request: Vec<u8>,
) -> Result<(Connection, Response), Error> {
    let mut connection = match idle {
        Some(connection) if connection.is_idle() => connection,
        _ => Connection::connect(peer).await.map_err(|cause| Error::Io {
            step: Phase::Connect,
            peer,
            cause,
        })?,
    };
    let step = Phase::Exchange;
    let written = connection.write(&request).await;
    written.map_err(|cause| Error::Io { step, peer, cause })?;
    let head = connection.response().await;
    let head = head.map_err(|cause| Error::Http { step, peer, cause })?;
    Ok((connection, head))
}
