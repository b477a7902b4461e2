//! One attempt at one engine, up to the head of its answer.

use {
    super::call::{Call, Sending},
    crate::{clock, state::State},
    gingerpier_base::Instant,
    gingerpier_http1::{body::Decoder, connection::Connection, error::Error, head::Response},
    gingerpier_serving::{configuration::Repeat, course::Failure, fleet::EngineKey},
    std::rc::Rc,
};

/// Milliseconds that a connection may take to come up.
const CONNECT_MILLIS: u64 = 300;

/// Surplus answers that are passed over on one connection.
const MAX_SURPLUS: u32 = 2;

/// Longest surplus answer, in bytes.
const MAX_SURPLUS_BYTES: usize = 256 * 1024;

/// Why an attempt brought no answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Failed {
    /// What is known of the request.
    pub failure: Failure,
    /// What happened.
    pub cause: Cause,
}

/// What happened to an attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Cause {
    /// The engine could not be reached.
    Unreachable,
    /// The connection broke.
    Broken,
    /// The engine answered something else.
    Garbled,
    /// The engine refused it unrun.
    Full,
    /// Another incarnation or version answers there.
    Elsewhere,
    /// Nothing came for too long.
    Silent,
    /// The engine failed.
    EngineFailed,
}

/// Counts a request at its engine for as long as it is there.
pub struct Sent {
    state: Rc<State>,
    /// Engine.
    pub engine: EngineKey,
    tokens: u64,
    is_waiting: bool,
    at: Instant,
    crowding: f64,
}

impl Sent {
    /// Counts a request with `tokens` of prompt at `engine`.
    pub fn new(state: &Rc<State>, engine: EngineKey, tokens: u64) -> Self {
        let at = clock::now();
        let mut fleet = state.fleet.borrow_mut();
        let crowding = fleet.engine(engine).crowding();
        fleet.engine_mut(engine).note_sent(tokens, at);
        Self {
            state: state.clone(),
            engine,
            tokens,
            is_waiting: true,
            at,
            crowding,
        }
    }

    /// Notes the whole answer of an ordinary service.
    pub fn note_answer(&self) {
        let took = clock::now().millis_since(self.at) as f64;
        let mut fleet = self.state.fleet.borrow_mut();
        fleet.engine_mut(self.engine).note_work(took, self.crowding);
    }

    /// Notes its first event.
    pub fn note_first(&mut self) {
        if std::mem::replace(&mut self.is_waiting, false) {
            let mut fleet = self.state.fleet.borrow_mut();
            fleet.engine_mut(self.engine).note_first(self.tokens);
        }
    }
}

impl Drop for Sent {
    fn drop(&mut self) {
        let mut fleet = self.state.fleet.borrow_mut();
        fleet
            .engine_mut(self.engine)
            .note_end(self.tokens, self.is_waiting);
    }
}

/// A connection on which an engine's answer has begun.
pub struct Begun {
    /// Connection.
    pub connection: Connection,
    /// Head of the answer.
    pub head: Response,
    /// Body of the answer.
    pub decoder: Decoder,
    /// True where all of the request was sent, so that the connection may serve another.
    pub is_sent: bool,
}

/// Sends a request to an engine and reads the head of its answer.
///
/// # Errors
///
/// Says whether the request may have run.
pub async fn begin(
    state: &State,
    call: &Call<'_>,
    engine: EngineKey,
    sending: &Sending<'_>,
) -> Result<Begun, Failed> {
    let names = state.dialect.names();
    let (address, bytes) = {
        let fleet = state.fleet.borrow();
        let engine = fleet.engine(engine);
        (engine.record.address, call.bytes(names, engine, sending))
    };
    // The engine may be closing a connection that rests: what must not run twice never goes there.
    let resting = match call.rules().repeat {
        _ if sending.wants_new_connection => None,
        Repeat::Safe | Repeat::ResumableStream => state.pool.borrow_mut().take(&engine),
        Repeat::Once | Repeat::StreamOnce => None,
    };
    let is_new = resting.is_none();
    let mut connection = match resting {
        Some(connection) => connection,
        None => connect(address, sending.now).await?,
    };
    let is_sent = connection.write_while_reading(&bytes).await;
    let is_sent = is_sent.map_err(|_| broken())?;
    let expected = call.request.fields.get(names.attempt).unwrap_or_default();
    for _ in 0..=MAX_SURPLUS {
        let head = connection.response().await.map_err(failed)?;
        let framing = head.framing().map_err(failed)?;
        let decoder = Decoder::new(framing);
        let answers = head.fields.get(names.attempt);
        let is_ours = answers.map_or(is_new, |answers| answers == expected);
        if is_ours {
            return Ok(Begun {
                connection,
                head,
                decoder,
                is_sent,
            });
        }
        // A surplus answer of an earlier request: ours comes behind it.
        let surplus = connection.body(decoder, MAX_SURPLUS_BYTES).await;
        surplus.map_err(failed)?;
    }
    Err(garbled())
}

/// Whether an engine that broke a connection has ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Aftermath {
    /// Nobody answers at its address any more.
    Ended,
    /// It takes connections: it broke off one answer, or a link or a peer did.
    Alive,
    /// Neither is known: the way there may be cut.
    Unknown,
}

/// Milliseconds within which a refusal comes back from an address where nobody listens: a round trip between regions,
/// many times over.
const AFTERMATH_MILLIS: u64 = 100;

/// Milliseconds for which a new connection has to stay: an engine that ends breaks its connections before its port is closed.
const STAYS_MILLIS: u64 = 30;

/// Asks the machine at `address`, by a new connection, whether somebody still listens there.
pub async fn aftermath(address: std::net::SocketAddr) -> Aftermath {
    let now = clock::now();
    let connected = clock::before(
        now.after_millis(AFTERMATH_MILLIS),
        Connection::connect(address),
    );
    let mut connection = match connected.await {
        Some(Ok(connection)) => connection,
        Some(Err(error)) if error.kind() == std::io::ErrorKind::ConnectionRefused => {
            return Aftermath::Ended;
        }
        Some(Err(_)) | None => return Aftermath::Unknown,
    };
    let stays = clock::now().after_millis(STAYS_MILLIS);
    match clock::before(stays, connection.read()).await {
        Some(Ok(false) | Err(_)) => Aftermath::Ended,
        Some(Ok(true)) | None => Aftermath::Alive,
    }
}

async fn connect(address: std::net::SocketAddr, now: Instant) -> Result<Connection, Failed> {
    let deadline = now.after_millis(CONNECT_MILLIS);
    let connected = clock::before(deadline, Connection::connect(address)).await;
    connected.and_then(Result::ok).ok_or(Failed {
        failure: Failure::NotRun,
        cause: Cause::Unreachable,
    })
}

const fn broken() -> Failed {
    Failed {
        failure: Failure::Unknown,
        cause: Cause::Broken,
    }
}

/// An answer that is none.
pub const fn garbled() -> Failed {
    Failed {
        failure: Failure::Unknown,
        cause: Cause::Garbled,
    }
}

/// What an error on the engine's connection means.
pub const fn failed(error: Error) -> Failed {
    match error {
        Error::Cut => broken(),
        _ => garbled(),
    }
}
