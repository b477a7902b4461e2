//! One question for one chunk.

use {
    super::{
        Carrier, holding,
        peers::{Mode, Question},
        sources::Sources,
    },
    crate::{
        client, clock,
        error::{Error, Step},
        pool::Pool,
    },
    bytes::{Bytes, BytesMut},
    gingerpier_base::Instant,
    gingerpier_http1::{
        body::{Decoder, Part},
        connection::Connection,
        head::Response,
    },
    gingerpier_serving::dialect::{Call, Named},
    gingerpier_weights::{fetch::Outcome, plan::Source},
    std::{cell::RefCell, net::SocketAddr, rc::Rc},
    tokio::sync::{Semaphore, SemaphorePermit, mpsc::UnboundedSender},
};

/// Milliseconds from the first to the last byte of a chunk of another loader above which this
/// process's link is narrow: loaders send one chunk at a time.
const SLOW_MILLIS: u64 = 400;

/// Milliseconds before a source that refused is asked again.
const REFUSED_MILLIS: u64 = 300;

/// Milliseconds for which a turn at the origin is waited for at once.
const TURN_MILLIS: u64 = 300;

/// Milliseconds that a connection may take to come up.
const CONNECT_MILLIS: u64 = 300;

/// What happened to an attempt.
pub enum Event {
    /// Bytes came, or word that the source waits itself.
    Progress {
        /// Chunk.
        chunk: u32,
        /// Number of the attempt.
        attempt: u64,
    },
    /// It ended.
    End {
        /// Chunk.
        chunk: u32,
        /// Number of the attempt.
        attempt: u64,
        /// How.
        outcome: Outcome,
        /// Who was asked.
        source: Source,
    },
    /// A chunk took long on its way.
    Slow,
}

/// One question for one chunk.
pub struct Asking {
    /// Where the chunk is held.
    pub carrier: Rc<Carrier>,
    /// Turns.
    pub sources: Rc<Sources>,
    /// Weights.
    pub named: Named,
    /// Connections of this fetch.
    pub pool: Rc<RefCell<Pool<SocketAddr>>>,
    /// Whom to tell.
    pub sender: UnboundedSender<Event>,
    /// Chunk.
    pub chunk: u32,
    /// Who is asked.
    pub source: Source,
    /// Number of the attempt.
    pub attempt: u64,
    /// Its address.
    pub address: SocketAddr,
    /// When it ends at the latest.
    pub deadline: Instant,
}

impl Asking {
    /// Asks, and tells how it ended.
    pub async fn run(self) {
        let outcome = clock::before(self.deadline, self.bring()).await;
        let end = Event::End {
            chunk: self.chunk,
            attempt: self.attempt,
            outcome: outcome.unwrap_or(Outcome::Failed),
            source: self.source,
        };
        // A fetch that is over needs nothing more.
        let _ = self.sender.send(end);
    }

    fn question(&self, mode: Mode) -> Call {
        if self.source == Source::Origin {
            return self.carrier.dialect.chunk(&self.named, self.chunk);
        }
        let question = Question {
            named: self.named.clone(),
            chunk: Some(self.chunk),
            mode,
        };
        Call::get(question.target())
    }

    /// Bytes of a usual chunk.
    fn chunk_bytes(&self) -> u64 {
        let holdings = self.carrier.holdings.borrow();
        let holding = holdings.get(&self.named.model, self.named.version);
        holding.map_or(0, |holding| holding.manifest.chunk_bytes)
    }

    fn note_progress(&self) {
        let progress = Event::Progress {
            chunk: self.chunk,
            attempt: self.attempt,
        };
        // A fetch that is over needs nothing more.
        let _ = self.sender.send(progress);
    }

    /// A turn at the origin, or on this machine's link.
    async fn turn(&self) -> Option<SemaphorePermit<'_>> {
        if self.source != Source::Origin {
            return self.wait_for_turn(&self.sources.link_turns).await;
        }
        while let Some(wait) = self.sources.wait_for(self.chunk, self.chunk_bytes()) {
            clock::pause(wait.min(TURN_MILLIS)).await;
            self.note_progress();
        }
        self.wait_for_turn(&self.sources.origin_turns).await
    }

    async fn wait_for_turn<'s>(&self, turns: &'s Semaphore) -> Option<SemaphorePermit<'s>> {
        loop {
            let deadline = clock::now().after_millis(TURN_MILLIS);
            let turn = clock::before(deadline, turns.acquire()).await;
            if let Some(turn) = turn {
                return turn.ok();
            }
            self.note_progress();
        }
    }

    async fn bring(&self) -> Outcome {
        if let Source::Replica(_) = self.source {
            // What is on its way at once stays little, whatever many sources have.
            if let Err(outcome) = self.wait_for_presence().await {
                return outcome;
            }
        }
        let _turn = self.turn().await;
        let mode = match self.source {
            Source::Holder(_) => Mode::Now,
            _ => Mode::Wait,
        };
        match self.exchange(&self.question(mode)).await {
            Ok((head, body)) if head.status == 200 => self.check(body),
            Ok((head, _)) if matches!(head.status, 429 | 503) => {
                Outcome::Refused(clock::now().after_millis(REFUSED_MILLIS))
            }
            Ok((head, _)) => {
                tracing::info!(chunk = self.chunk, source = %self.address, status = head.status, "chunk not there");
                Outcome::Failed
            }
            Err(error) => {
                tracing::info!(chunk = self.chunk, source = %self.address, cause = %error, "chunk did not come");
                Outcome::Failed
            }
        }
    }

    async fn wait_for_presence(&self) -> Result<(), Outcome> {
        let question = self.question(Mode::Presence);
        loop {
            let Ok((head, _)) = self.exchange(&question).await else {
                return Err(Outcome::Failed);
            };
            match head.status {
                204 => return Ok(()),
                202 => {}
                _ => return Err(Outcome::Failed),
            }
        }
    }

    fn check(&self, body: Bytes) -> Outcome {
        let Some(manifest) = self.carrier.manifest(&self.named) else {
            return Outcome::Failed;
        };
        if !holding::is_right(&manifest, self.chunk, &body) {
            return Outcome::Corrupt;
        }
        self.carrier.put(&self.named, self.chunk, body);
        Outcome::Held
    }

    async fn connect(&self) -> Result<Connection, Error> {
        let resting = self.pool.borrow_mut().take(&self.address);
        if let Some(connection) = resting {
            return Ok(connection);
        }
        let peer = self.address;
        let step = Step::Connect;
        let deadline = clock::now().after_millis(CONNECT_MILLIS);
        let connected = clock::before(deadline, Connection::connect(peer)).await;
        let connected = connected.ok_or(Error::Late { step, peer })?;
        let connection = connected.map_err(|what| Error::Io { step, peer, what })?;
        connection.use_small_buffers();
        Ok(connection)
    }

    async fn exchange(&self, question: &Call) -> Result<(Response, Bytes), Error> {
        let peer = self.address;
        let http = |what| Error::Http {
            step: Step::Exchange,
            peer,
            what,
        };
        let mut connection = self.connect().await?;
        let request = client::bytes_of(question, peer);
        connection.write(&request).await.map_err(|what| Error::Io {
            step: Step::Exchange,
            peer,
            what,
        })?;
        let head = connection.response().await.map_err(http)?;
        let begun = clock::now();
        let mut decoder = Decoder::new(head.framing().map_err(http)?);
        let mut body = BytesMut::new();
        loop {
            let part = connection.part(&mut decoder).await.map_err(http)?;
            self.note_progress();
            match part {
                Part::Data(data) => body.extend_from_slice(&data),
                Part::End => break,
            }
        }
        let is_slow = clock::now().millis_since(begun) > SLOW_MILLIS;
        if is_slow && self.source != Source::Origin {
            let _ = self.sender.send(Event::Slow);
        }
        self.pool.borrow_mut().put(peer, connection, &head);
        Ok((head, body.freeze()))
    }
}
