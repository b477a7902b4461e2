//! Asks of sources for chunks, carried out and checked.

use {
    super::{
        Backend,
        fetches::{Fetching, Origin},
        pace::PART_BYTES,
        serving::PENDING_MILLIS,
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

pub(super) struct Ended {
    pub(super) chunk: u32,
    pub(super) attempt: u64,
    pub(super) outcome: Outcome,
}

/// Asks under way; one that is dropped takes nothing any more.
#[derive(Default)]
pub(super) struct Asks(BTreeMap<u64, JoinHandle<()>>);

impl Asks {
    pub(super) fn start(&mut self, ask: Ask, ended: mpsc::UnboundedSender<Ended>) {
        let (chunk, attempt) = (ask.chunk, ask.attempt);
        let task = actix_rt::spawn(async move {
            let outcome = ask.carry_out().await;
            // The fetch may be over by now.
            let _ = ended.send(Ended {
                chunk,
                attempt,
                outcome,
            });
        });
        self.0.insert(attempt, task);
    }

    pub(super) fn drop(&mut self, attempt: u64) {
        if let Some(task) = self.0.remove(&attempt) {
            task.abort();
        }
    }
}

impl Drop for Asks {
    fn drop(&mut self) {
        for task in self.0.values() {
            task.abort();
        }
    }
}

/// One ask of one source for one chunk.
pub(super) struct Ask {
    pub(super) backend: Rc<Backend>,
    pub(super) fetching: Rc<Fetching>,
    pub(super) origin: Rc<Origin>,
    pub(super) manifest: Rc<Manifest>,
    pub(super) chunk: u32,
    pub(super) source: Source,
    pub(super) attempt: u64,
    /// Bytes that this ask has brought.
    pub(super) taken: Cell<usize>,
}

/// Why an ask brought no chunk.
pub(super) enum Failure {
    Busy(Instant),
    Failed(String),
}

impl From<String> for Failure {
    fn from(why: String) -> Self {
        Self::Failed(why)
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

impl Ask {
    async fn carry_out(&self) -> Outcome {
        let read = match self.source {
            Source::Origin => self.read_origin().await,
            Source::Replica(_) => self.read_peer(true).await,
            Source::Holder(_) => self.read_peer(false).await,
        };
        match read {
            Ok(()) => {
                self.keep_pace().await;
                self.check()
            }
            Err(Failure::Busy(until)) => Outcome::Refused(until),
            Err(Failure::Failed(why)) => {
                let source = self.fetching.describe(self.source);
                tracing::debug!(event = "source_failed", chunk = self.chunk, source, why);
                Outcome::Failed
            }
        }
    }

    fn held(&self) -> u32 {
        let partial = self.fetching.partial.borrow();
        partial
            .get(&self.chunk)
            .map_or(0, |partial| partial.bytes.len() as u32)
    }

    /// Lets whole chunks through one after another, in the order in which they came, so that the
    /// first can be used and passed on while the rest waits.
    async fn keep_pace(&self) {
        let length = self.taken.get();
        let mut passing = pin!(self.backend.receive_pace.pass(length));
        loop {
            let pause = Duration::from_millis(PENDING_MILLIS);
            match actix_rt::time::timeout(pause, &mut passing).await {
                Ok(()) => return,
                Err(_) => self.fetching.progress_at(self.chunk, self.attempt),
            }
        }
    }

    /// Notes that the source sent something.
    fn heard(&self) {
        self.fetching.heard(self.source, self.chunk, self.attempt);
    }

    fn take(&self, part: &[u8]) {
        self.taken.set(self.taken.get() + part.len());
        self.heard();
        let length = part.len() as u64;
        let (source, count) = match self.fetching.peer(self.source) {
            None => ("origin", &self.fetching.origin_bytes),
            Some(peer) if peer.zone == self.backend.process.hello.zone => {
                ("own_zone", &self.fetching.peer_bytes)
            }
            Some(_) => ("other_zone", &self.fetching.peer_bytes),
        };
        count.set(count.get() + length);
        let label = SourceLabel {
            source: source.to_owned(),
        };
        self.backend
            .process
            .metrics
            .weights_taken
            .get_or_create(&label)
            .inc_by(length);
        let mut partial = self.fetching.partial.borrow_mut();
        let partial = partial.entry(self.chunk).or_default();
        let room = self.manifest.chunk_length(self.chunk) as usize - partial.bytes.len();
        partial
            .bytes
            .extend_from_slice(&part[..part.len().min(room)]);
        partial.sources.insert(self.source);
    }

    async fn read_origin(&self) -> Result<(), Failure> {
        let Origin { client, folder } = &*self.origin;
        let offset = self.held();
        let take = async |part: Bytes| self.take(&part);
        let now = clock::now();
        client
            .chunk(folder, &self.manifest, self.chunk, offset, now, take)
            .await?;
        Ok(())
    }

    async fn read_peer(&self, wait: bool) -> Result<(), Failure> {
        let peer = self.fetching.peer(self.source);
        let peer = peer.ok_or_else(|| Failure::Failed("the plan has moved on".to_owned()))?;
        let link = self.backend.link_to(&peer).await?;
        let mut stream = link.open().await?;
        let offset = self.held();
        let (version, index) = (self.fetching.version, self.chunk);
        stream
            .send(&Request::Chunk {
                version,
                index,
                offset,
                wait,
            })
            .await?;
        stream.finish();
        let mut left = loop {
            match stream.receive::<Reply>().await? {
                Reply::Pending => self.heard(),
                Reply::Chunk { length } => {
                    self.heard();
                    break length as usize;
                }
                other => return Err(Failure::Failed(format!("{other:?}"))),
            }
        };
        while left > 0 {
            let part = stream.receive_some(left.min(PART_BYTES)).await?;
            left -= part.len();
            self.take(&part);
        }
        Ok(())
    }

    /// A chunk is used and passed on only after its digest was found right.
    fn check(&self) -> Outcome {
        let Some(partial) = self.fetching.partial.borrow_mut().remove(&self.chunk) else {
            return Outcome::Failed;
        };
        let wanted = self.manifest.chunks[self.chunk as usize];
        let chunk = partial.bytes.freeze();
        if Digest::of(&chunk) == wanted {
            self.backend.weights.put_chunk(wanted, chunk);
            return Outcome::Held;
        }
        let peer = self.fetching.describe(self.source);
        tracing::warn!(event = "chunk_corrupt", weights = %self.fetching.version,
            chunk = self.chunk, source = peer, sources = partial.sources.len());
        let label = PeerLabel { peer };
        self.backend
            .process
            .metrics
            .chunks_corrupt
            .get_or_create(&label)
            .inc();
        // Bytes of several sources: none of them can be blamed for sure.
        if partial.sources.len() > 1 {
            Outcome::Failed
        } else {
            Outcome::Corrupt
        }
    }
}
