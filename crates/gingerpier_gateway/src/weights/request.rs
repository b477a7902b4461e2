//! A request for one chunk to one source.

use {
    super::{
        Distributor, cache,
        peers::{Mode, PeerRequest},
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
    gingerpier_serving::platform_api::{ApiRequest, ModelVersion},
    gingerpier_weights::{fetch::Outcome, plan::Source},
    std::{cell::RefCell, net::SocketAddr, rc::Rc},
    tokio::sync::{Semaphore, SemaphorePermit, mpsc::UnboundedSender},
};

/// Transfer time of a chunk from a peer above which this machine's link counts as saturated.
/// Loaders send one chunk at a time.
const SLOW_TRANSFER_MILLIS: u64 = 400;

/// Backoff after a source refused a request.
const REFUSAL_BACKOFF_MILLIS: u64 = 300;

/// Longest wait for a permit between two progress events.
const PERMIT_WAIT_MILLIS: u64 = 300;

/// Connect timeout.
const CONNECT_TIMEOUT_MILLIS: u64 = 300;

/// Progress of a chunk request.
pub enum Event {
    /// Data arrived, or the request still waits for its source.
    Progress {
        /// Chunk index.
        chunk: u32,
        /// Attempt id.
        attempt: u64,
    },
    /// The request ended.
    End {
        /// Chunk index.
        chunk: u32,
        /// Attempt id.
        attempt: u64,
        /// Result.
        outcome: Outcome,
        /// Source of the chunk.
        source: Source,
    },
    /// A chunk took long to transfer from a peer.
    SlowTransfer,
}

/// A request for one chunk to one source.
pub struct ChunkRequest {
    /// Receives the chunk.
    pub distributor: Rc<Distributor>,
    /// Concurrency limits.
    pub sources: Rc<Sources>,
    /// Weights version.
    pub model_version: ModelVersion,
    /// Connections of this fetch.
    pub pool: Rc<RefCell<Pool<SocketAddr>>>,
    /// Receives the events of this request.
    pub sender: UnboundedSender<Event>,
    /// Chunk index.
    pub chunk: u32,
    /// Source of the chunk.
    pub source: Source,
    /// Attempt id.
    pub attempt: u64,
    /// Address of the source.
    pub address: SocketAddr,
    /// Time at which the request fails.
    pub deadline: Instant,
}

impl ChunkRequest {
    /// Runs the request and sends its end event.
    pub async fn run(self) {
        let outcome = clock::before(self.deadline, self.fetch()).await;
        let end = Event::End {
            chunk: self.chunk,
            attempt: self.attempt,
            outcome: outcome.unwrap_or(Outcome::Failed),
            source: self.source,
        };
        // The receiver is gone once the fetch has ended.
        let _ = self.sender.send(end);
    }

    fn call(&self, mode: Mode) -> ApiRequest {
        if self.source == Source::Origin {
            return self
                .distributor
                .platform_api
                .chunk(&self.model_version, self.chunk);
        }
        let peer_request = PeerRequest {
            model_version: self.model_version.clone(),
            chunk: Some(self.chunk),
            mode,
        };
        ApiRequest::get(peer_request.target())
    }

    /// Regular chunk size of the version.
    fn chunk_bytes(&self) -> u64 {
        let chunk_cache = self.distributor.chunk_cache.borrow();
        let chunk_set = chunk_cache.get(&self.model_version.model, self.model_version.version);
        chunk_set.map_or(0, |chunk_set| chunk_set.manifest.chunk_bytes)
    }

    fn send_progress(&self) {
        let progress = Event::Progress {
            chunk: self.chunk,
            attempt: self.attempt,
        };
        // The receiver is gone once the fetch has ended.
        let _ = self.sender.send(progress);
    }

    /// Waits for a permit for the origin or for this machine's link.
    async fn acquire_permit(&self) -> Option<SemaphorePermit<'_>> {
        if self.source != Source::Origin {
            return self.wait_for_permit(&self.sources.link_permits).await;
        }
        while let Some(delay) = self
            .sources
            .origin_delay_millis(self.chunk, self.chunk_bytes())
        {
            clock::pause(delay.min(PERMIT_WAIT_MILLIS)).await;
            self.send_progress();
        }
        self.wait_for_permit(&self.sources.origin_permits).await
    }

    async fn wait_for_permit<'s>(&self, permits: &'s Semaphore) -> Option<SemaphorePermit<'s>> {
        loop {
            let deadline = clock::now().after_millis(PERMIT_WAIT_MILLIS);
            let permit = clock::before(deadline, permits.acquire()).await;
            if let Some(permit) = permit {
                return permit.ok();
            }
            self.send_progress();
        }
    }

    async fn fetch(&self) -> Outcome {
        if let Source::Replica(_) = self.source {
            // Waiting without a transfer keeps the number of concurrent transfers small.
            if let Err(outcome) = self.wait_until_available().await {
                return outcome;
            }
        }
        let _permit = self.acquire_permit().await;
        let mode = match self.source {
            Source::Holder(_) => Mode::Now,
            _ => Mode::Wait,
        };
        match self.exchange(&self.call(mode)).await {
            Ok((head, body)) if head.status == 200 => self.check(body),
            Ok((head, _)) if matches!(head.status, 429 | 503) => {
                Outcome::Refused(clock::now().after_millis(REFUSAL_BACKOFF_MILLIS))
            }
            Ok((head, _)) => {
                tracing::info!(chunk = self.chunk, source = %self.address, status = head.status, "source doesn't have the chunk");
                Outcome::Failed
            }
            Err(error) => {
                tracing::info!(chunk = self.chunk, source = %self.address, cause = %error, "chunk transfer failed");
                Outcome::Failed
            }
        }
    }

    async fn wait_until_available(&self) -> Result<(), Outcome> {
        let probe = self.call(Mode::Presence);
        loop {
            let Ok((head, _)) = self.exchange(&probe).await else {
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
        let Some(manifest) = self.distributor.manifest(&self.model_version) else {
            return Outcome::Failed;
        };
        if !cache::matches_digest(&manifest, self.chunk, &body) {
            return Outcome::Corrupt;
        }
        self.distributor
            .insert_chunk(&self.model_version, self.chunk, body);
        Outcome::Held
    }

    async fn connect(&self) -> Result<Connection, Error> {
        let idle = self.pool.borrow_mut().take(&self.address);
        if let Some(connection) = idle {
            return Ok(connection);
        }
        let peer = self.address;
        let step = Step::Connect;
        let deadline = clock::now().after_millis(CONNECT_TIMEOUT_MILLIS);
        let connected = clock::before(deadline, Connection::connect(peer)).await;
        let connected = connected.ok_or(Error::Timeout { step, peer })?;
        let connection = connected.map_err(|cause| Error::Io { step, peer, cause })?;
        connection.use_small_buffers();
        Ok(connection)
    }

    async fn exchange(&self, call: &ApiRequest) -> Result<(Response, Bytes), Error> {
        let peer = self.address;
        let http_error = |cause| Error::Http {
            step: Step::Exchange,
            peer,
            cause,
        };
        let mut connection = self.connect().await?;
        let request = client::encode(call, peer);
        connection
            .write(&request)
            .await
            .map_err(|cause| Error::Io {
                step: Step::Exchange,
                peer,
                cause,
            })?;
        let head = connection.response().await.map_err(http_error)?;
        let started = clock::now();
        let mut decoder = Decoder::new(head.framing().map_err(http_error)?);
        let mut body = BytesMut::new();
        loop {
            let part = connection.part(&mut decoder).await.map_err(http_error)?;
            self.send_progress();
            match part {
                Part::Data(data) => body.extend_from_slice(&data),
                // Digests show whether a body that ends with its connection is whole.
                Part::End | Part::Closed => break,
            }
        }
        let is_slow = clock::now().millis_since(started) > SLOW_TRANSFER_MILLIS;
        if is_slow && self.source != Source::Origin {
            let _ = self.sender.send(Event::SlowTransfer);
        }
        self.pool.borrow_mut().put(peer, connection, &head);
        Ok((head, body.freeze()))
    }
}
