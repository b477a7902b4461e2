//! A connection to a server that is asked again and again.
//!
//! A long answer takes the time that it needs for as long as bytes come. Where none come, silence says little
//! by itself: the server may be slow, the link full, or the connection dead. A client that was given a small
//! question asks it on a connection of its own then. Where that is answered while the long answer still says
//! nothing, the connection is dead; else the way is slow, and to ask anew would only fill it with an answer
//! more.

use {
    crate::{
        clock, compression,
        error::{Error, Step as At},
    },
    bytes::{Bytes, BytesMut},
    gingerpier_base::Instant,
    gingerpier_http1::{
        body::{Decoder, Framing, Part},
        connection::{Connection, Whole},
        head::Response,
        writer::Message,
    },
    gingerpier_serving::dialect::Call,
    std::{cell::Cell, net::SocketAddr, rc::Rc},
};

/// Longest answer, in bytes.
pub const MAX_ANSWER_BYTES: usize = 8 * 1024 * 1024;

/// Milliseconds without a byte after which the silence of an answer is looked into.
const STALL_MILLIS: u64 = 800;

/// Milliseconds without a byte after which an answer is given up, whatever else is known: a connection may
/// be dead for good.
const MOST_SILENCE_MILLIS: u64 = 5_000;

/// Milliseconds that a small answer may take.
const SMALL_MILLIS: u64 = 1_500;

/// Milliseconds from a small question that failed, which it may have done at once, to the next one.
const SMALL_AGAIN_MILLIS: u64 = 250;

/// A connection to a server that is asked again and again.
pub struct Client {
    peer: SocketAddr,
    connection: Option<Connection>,
    takes_compressed: bool,
    /// Longest body that is taken.
    pub most_bytes: usize,
    /// When bytes of an answer that was granted came last, where somebody wants to know.
    heard: Option<Rc<Cell<Option<Instant>>>>,
    /// Small question that tells a dead connection from a slow way.
    small: Option<Call>,
}

impl Client {
    /// Client of `peer`.
    pub const fn new(peer: SocketAddr) -> Self {
        Self {
            peer,
            connection: None,
            takes_compressed: false,
            most_bytes: MAX_ANSWER_BYTES,
            heard: None,
            small: None,
        }
    }

    /// Client that notes in `heard` when bytes of an answer that was granted came last.
    pub fn noting(peer: SocketAddr, heard: Rc<Cell<Option<Instant>>>) -> Self {
        let mut client = Self::new(peer);
        client.heard = Some(heard);
        client
    }

    /// Client of another gateway, which may compress what it answers.
    pub fn of_gateway(peer: SocketAddr) -> Self {
        let mut client = Self::new(peer);
        client.takes_compressed = true;
        client
    }

    /// The same, with a `small` question that tells a dead connection from a slow way.
    pub fn patient(mut self, small: Call) -> Self {
        self.small = Some(small);
        self
    }

    /// Server that it asks.
    pub const fn peer(&self) -> SocketAddr {
        self.peer
    }

    /// Sends a call and reads its answer, which has to begin within `millis`, or later where the way is
    /// seen to be slow. A long one takes the time that it needs for as long as bytes come.
    ///
    /// # Errors
    ///
    /// Where the peer can't be reached or does not answer; the next call connects anew.
    pub async fn call(&mut self, call: &Call, millis: u64) -> Result<Whole, Error> {
        let (peer, small) = (self.peer, self.small.clone());
        let asked = clock::now();
        let last = Cell::new(None);
        let exchange = self.exchange(call, &last);
        tokio::pin!(exchange);
        let late = Error::Late {
            step: At::Exchange,
            peer,
        };
        loop {
            let known = last.get();
            let patience = match known {
                Some(heard) => heard.after_millis(STALL_MILLIS),
                None => asked.after_millis(millis),
            };
            if let Some(whole) = clock::before(patience, &mut exchange).await {
                return whole;
            }
            if last.get() != known {
                continue;
            }
            let Some(small) = small.as_ref() else {
                return Err(late);
            };
            // What comes meanwhile ends the question.
            let is_answered = tokio::select! {
                biased;
                whole = &mut exchange => return whole,
                is_answered = is_answered(peer, small) => is_answered,
            };
            let silent = clock::now().millis_since(last.get().unwrap_or(asked));
            if last.get() == known && (is_answered || silent > MOST_SILENCE_MILLIS) {
                return Err(late);
            }
        }
    }

    /// Sends a call and reads its answer; notes in `last` when bytes of it came last.
    async fn exchange(
        &mut self,
        call: &Call,
        last: &Cell<Option<Instant>>,
    ) -> Result<Whole, Error> {
        let peer = self.peer;
        let resting = self.connection.take();
        let request = match self.takes_compressed {
            true => bytes_of_compressible(call, peer),
            false => bytes_of(call, peer),
        };
        let (mut connection, head) = begin(peer, resting, request).await?;
        last.set(Some(clock::now()));
        let body = self.read_body(&mut connection, &head, last).await?;
        let whole = Whole { head, body };
        if whole.head.keeps_alive() && connection.input.is_empty() {
            self.connection = Some(connection);
        }
        Ok(whole)
    }

    async fn read_body(
        &self,
        connection: &mut Connection,
        head: &Response,
        last: &Cell<Option<Instant>>,
    ) -> Result<Bytes, Error> {
        let peer = self.peer;
        let step = At::Exchange;
        let http = |what| Error::Http { step, peer, what };
        let framing = head.framing().map_err(http)?;
        if matches!(framing, Framing::Length(length) if length > self.most_bytes as u64) {
            return Err(http(gingerpier_http1::error::Error::BodyTooLong));
        }
        let mut decoder = Decoder::new(framing);
        let mut body = BytesMut::new();
        loop {
            match connection.part(&mut decoder).await.map_err(http)? {
                Part::End => return Ok(body.freeze()),
                Part::Data(data) => body.extend_from_slice(&data),
            }
            let now = Some(clock::now());
            last.set(now);
            // A refusal says nothing of what is in force.
            if let Some(heard) = self.heard.as_ref().filter(|_| head.status == 200) {
                heard.set(now);
            }
            if body.len() > self.most_bytes {
                return Err(http(gingerpier_http1::error::Error::BodyTooLong));
            }
        }
    }
}

/// True where `peer` answers a small question on a new connection; false once it may be asked again.
async fn is_answered(peer: SocketAddr, small: &Call) -> bool {
    let asked = clock::now();
    let deadline = asked.after_millis(SMALL_MILLIS);
    let answer = clock::before(deadline, begin(peer, None, bytes_of(small, peer))).await;
    let is_answered = answer.is_some_and(|answer| answer.is_ok());
    if !is_answered {
        clock::until(asked.after_millis(SMALL_AGAIN_MILLIS)).await;
    }
    is_answered
}

/// Bytes of a call.
pub fn bytes_of(call: &Call, host: SocketAddr) -> Vec<u8> {
    let message = Message::request(call.method.as_bytes(), call.target.as_bytes())
        .field(b"host", host.to_string().as_bytes());
    if call.body.is_empty() {
        return message.end();
    }
    message
        .field(b"content-type", b"application/json")
        .body(&call.body)
}

/// Bytes of a call without a body, whose answer may come compressed.
fn bytes_of_compressible(call: &Call, host: SocketAddr) -> Vec<u8> {
    Message::request(call.method.as_bytes(), call.target.as_bytes())
        .field(b"host", host.to_string().as_bytes())
        .field(b"accept-encoding", compression::NAME.as_bytes())
        .end()
}

/// Sends a call and reads the head of its answer.
async fn begin(
    peer: SocketAddr,
    resting: Option<Connection>,
    request: Vec<u8>,
) -> Result<(Connection, Response), Error> {
    let mut connection = match resting {
        Some(connection) if connection.is_idle() => connection,
        _ => Connection::connect(peer).await.map_err(|what| Error::Io {
            step: At::Connect,
            peer,
            what,
        })?,
    };
    let step = At::Exchange;
    let written = connection.write(&request).await;
    written.map_err(|what| Error::Io { step, peer, what })?;
    let head = connection.response().await;
    let head = head.map_err(|what| Error::Http { step, peer, what })?;
    Ok((connection, head))
}
