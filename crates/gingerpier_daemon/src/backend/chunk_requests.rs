//! Requests for chunks to peers and the origin, and the verification of received chunks.

use {
    super::{
        Backend,
        fetches::{Origin, VersionFetch},
        pacing::PART_BYTES,
        weights_server::PENDING_INTERVAL_MILLIS,
    },
    crate::{
        clock,
        metrics::{PeerLabel, SourceLabel},
    },
    actix_rt::task::JoinHandle,
    bytes::Bytes,
    gingerpier_base::{Digest, Instant},
    gingerpier_services::{Error, Fault},
    gingerpier_weights::{Manifest, fetch::Outcome, plan::Source},
    gingerpier_wire::{Reply, Request},
    std::{cell::Cell, collections::BTreeMap, pin::pin, rc::Rc, time::Duration},
    tokio::sync::mpsc,
};

/// Result of a request for a chunk.
pub(super) struct FinishedRequest {
    pub(super) chunk: u32,
    pub(super) attempt: u64,
    pub(super) outcome: Outcome,
}

/// Running requests; dropping them cancels all.
#[derive(Default)]
pub(super) struct ChunkRequests(BTreeMap<u64, JoinHandle<()>>);

impl ChunkRequests {
    pub(super) fn start(
        &mut self,
        request: ChunkRequest,
        finished: mpsc::UnboundedSender<FinishedRequest>,
    ) {
        let (chunk, attempt) = (request.chunk, request.attempt);
        let task = actix_rt::spawn(async move {
            let outcome = request.run().await;
            // The fetch may have ended.
            let _ = finished.send(FinishedRequest {
                chunk,
                attempt,
                outcome,
            });
        });
        self.0.insert(attempt, task);
    }

    pub(super) fn cancel(&mut self, attempt: u64) {
        if let Some(task) = self.0.remove(&attempt) {
            task.abort();
        }
    }
}

impl Drop for ChunkRequests {
    fn drop(&mut self) {
        for task in self.0.values() {
            task.abort();
        }
    }
}

/// Request for one chunk to one source.
pub(super) struct ChunkRequest {
    pub(super) backend: Rc<Backend>,
    pub(super) fetch: Rc<VersionFetch>,
    pub(super) origin: Rc<Origin>,
    pub(super) manifest: Rc<Manifest>,
    pub(super) chunk: u32,
    pub(super) source: Source,
    pub(super) attempt: u64,
    /// Bytes received by this request.
    pub(super) received_bytes: Cell<usize>,
}

/// Error of a request to a source.
pub(super) enum Failure {
    /// The source is overloaded; holds the earliest time of a retry.
    Busy(Instant),
    Failed(String),
}

impl From<String> for Failure {
    fn from(reason: String) -> Self {
        Self::Failed(reason)
    }
}

impl From<Error> for Failure {
    fn from(error: Error) -> Self {
        match error.fault {
            Fault::Busy(until) => Self::Busy(until),
            _ => Self::Failed(error.to_string()),
        }
    }
}

impl From<gingerpier_link::Error> for Failure {
    fn from(error: gingerpier_link::Error) -> Self {
        Self::Failed(error.to_string())
    }
}

impl ChunkRequest {
    async fn run(&self) -> Outcome {
        let read = match self.source {
            Source::Origin => self.read_from_origin().await,
            Source::Replica(_) => self.read_from_peer(true).await,
            Source::Holder(_) => self.read_from_peer(false).await,
        };
        match read {
            Ok(()) => {
                self.await_receive_rate().await;
                self.verify()
            }
            Err(Failure::Busy(until)) => Outcome::Refused(until),
            Err(Failure::Failed(why)) => {
                let source = self.fetch.describe(self.source);
                tracing::debug!(event = "source_failed", chunk = self.chunk, source, why);
                Outcome::Failed
            }
        }
    }

    fn partial_length(&self) -> u32 {
        let partial = self.fetch.partial_chunks.borrow();
        partial
            .get(&self.chunk)
            .map_or(0, |partial| partial.bytes.len() as u32)
    }

    /// Delays completed chunks to keep the receive rate, in the order of their arrival. Reports
    /// progress meanwhile, as the source is not at fault.
    async fn await_receive_rate(&self) {
        let length = self.received_bytes.get();
        let mut acquire = pin!(self.backend.receive_pacer.acquire(length));
        loop {
            let interval = Duration::from_millis(PENDING_INTERVAL_MILLIS);
            match actix_rt::time::timeout(interval, &mut acquire).await {
                Ok(()) => return,
                Err(_) => self.fetch.record_progress(self.chunk, self.attempt),
            }
        }
    }

    /// Records a message of the source, for the detection of stalls.
    fn record_message(&self) {
        self.fetch
            .record_message(self.source, self.chunk, self.attempt);
    }

    fn store_part(&self, part: &[u8]) {
        self.received_bytes
            .set(self.received_bytes.get() + part.len());
        self.record_message();
        let length = part.len() as u64;
        let (source, count) = match self.fetch.peer(self.source) {
            None => ("origin", &self.fetch.origin_bytes),
            Some(peer) if peer.zone == self.backend.process.hello.zone => {
                ("own_zone", &self.fetch.peer_bytes)
            }
            Some(_) => ("other_zone", &self.fetch.peer_bytes),
        };
        count.set(count.get() + length);
        let label = SourceLabel {
            source: source.to_owned(),
        };
        self.backend
            .process
            .metrics
            .weights_received
            .get_or_create(&label)
            .inc_by(length);
        let mut partial = self.fetch.partial_chunks.borrow_mut();
        let partial = partial.entry(self.chunk).or_default();
        let capacity = self.manifest.chunk_length(self.chunk) as usize - partial.bytes.len();
        partial
            .bytes
            .extend_from_slice(&part[..part.len().min(capacity)]);
        partial.sources.insert(self.source);
    }

    async fn read_from_origin(&self) -> Result<(), Failure> {
        let Origin { client, folder } = &*self.origin;
        let offset = self.partial_length();
        let store_part = async |part: Bytes| self.store_part(&part);
        let now = clock::now();
        client
            .chunk(folder, &self.manifest, self.chunk, offset, now, store_part)
            .await?;
        Ok(())
    }

    async fn read_from_peer(&self, wait: bool) -> Result<(), Failure> {
        let peer = self.fetch.peer(self.source);
        let peer = peer.ok_or_else(|| Failure::Failed("the plan has moved on".to_owned()))?;
        let link = self.backend.connect_to(&peer).await?;
        let mut stream = link.open().await?;
        let offset = self.partial_length();
        let (version, index) = (self.fetch.version, self.chunk);
        stream
            .send(&Request::Chunk {
                version,
                index,
                offset,
                wait,
            })
            .await?;
        stream.finish();
        let mut remaining = loop {
            match stream.receive::<Reply>().await? {
                Reply::Pending => self.record_message(),
                Reply::Chunk { length } => {
                    self.record_message();
                    break length as usize;
                }
                other => return Err(Failure::Failed(format!("{other:?}"))),
            }
        };
        while remaining > 0 {
            let part = stream.receive_some(remaining.min(PART_BYTES)).await?;
            remaining -= part.len();
            self.store_part(&part);
        }
        Ok(())
    }

    /// Caches a complete chunk if its digest matches.
    fn verify(&self) -> Outcome {
        let Some(partial) = self.fetch.partial_chunks.borrow_mut().remove(&self.chunk) else {
            return Outcome::Failed;
        };
        let expected_digest = self.manifest.chunks[self.chunk as usize];
        let chunk = partial.bytes.freeze();
        if Digest::of(&chunk) == expected_digest {
            self.backend.weights.insert_chunk(expected_digest, chunk);
            return Outcome::Held;
        }
        let peer = self.fetch.describe(self.source);
        tracing::warn!(event = "chunk_corrupt", weights = %self.fetch.version,
            chunk = self.chunk, source = peer, sources = partial.sources.len());
        let label = PeerLabel { peer };
        self.backend
            .process
            .metrics
            .chunks_corrupt
            .get_or_create(&label)
            .inc();
        // The corrupt bytes can't be attributed if several sources contributed.
        if partial.sources.len() > 1 {
            Outcome::Failed
        } else {
            Outcome::Corrupt
        }
    }
}
