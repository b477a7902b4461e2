//! Chunks and manifests given to peers.

use {
    super::{Backend, pace::PART_BYTES, weights::Weights},
    crate::{clock, lateness::Sieve},
    bytes::Bytes,
    gingerpier_base::{Digest, Instant},
    gingerpier_link::{Error, Stream},
    gingerpier_wire::Reply,
    std::pin::pin,
    tokio::sync::SemaphorePermit,
};

/// Milliseconds between words, to a peer or to the fetch here, that a chunk will still come.
pub(super) const PENDING_MILLIS: u64 = 300;
/// Milliseconds of delay of a word from which it is logged; less is usual on a busy machine.
const LATE_WORD_MILLIS: u64 = 100;
/// Milliseconds for which another box's ask is kept waiting.
pub(super) const WAIT_MILLIS: u64 = 25_000;

/// A peer's question, and when the peer is next told that it is still waited for.
///
/// One count goes on through all that a question waits for, so that the peer never waits for a word
/// twice as long as it should.
struct Waiting {
    stream: Stream,
    tell_at: Instant,
}

impl Waiting {
    fn new(stream: Stream) -> Self {
        Self {
            stream,
            tell_at: clock::now().after_millis(PENDING_MILLIS),
        }
    }

    /// Tells the peer, where that is due, that what it asked for will still come.
    async fn tell(&mut self) -> Result<(), Error> {
        let begun = clock::now();
        if self.tell_at.has_passed(begun) {
            self.stream.send(&Reply::Pending).await?;
            let now = clock::now();
            let (late_millis, sent_millis) =
                (begun.millis_since(self.tell_at), now.millis_since(begun));
            self.note(late_millis, sent_millis, now);
            self.tell_at = now.after_millis(PENDING_MILLIS);
        }
        Ok(())
    }

    /// Logs a word that was begun late, or took long to send.
    fn note(&self, late_millis: u64, sent_millis: u64, now: Instant) {
        thread_local! { static LINES: Sieve = Sieve::default(); }
        if late_millis.max(sent_millis) < LATE_WORD_MILLIS {
            return;
        }
        if let Some(left_out) = LINES.with(|lines| lines.pass(now)) {
            let peer = self.stream.peer();
            tracing::warn!(event = "word_late", %peer, late_millis, sent_millis, left_out);
        }
    }

    /// Output of `work`, where it comes before the peer is to be told.
    async fn before_word<F: Future>(&self, work: F) -> Option<F::Output> {
        let left = clock::left(self.tell_at);
        actix_rt::time::timeout(left, work).await.ok()
    }
}

impl Backend {
    /// Serves a manifest to a peer, which is told to wait while it is on its way here.
    pub async fn serve_manifest(&self, stream: Stream, version: Digest, wait: bool) {
        let mut waiting = Waiting::new(stream);
        let found = match self.weights.manifest(version) {
            None if wait => {
                self.wait_for(&mut waiting, version, |weights| weights.manifest(version))
                    .await
            }
            found => found,
        };
        let mut stream = waiting.stream;
        let served = async {
            let Some(held) = found else {
                return stream.send(&Reply::NotHeld).await;
            };
            stream
                .send(&Reply::Chunk {
                    length: held.bytes.len() as u32,
                })
                .await?;
            stream.send_held(held.bytes).await
        };
        finish(served.await, stream).await;
    }

    /// Serves a chunk to a peer; with `wait`, the peer is told to wait while the chunk is on its
    /// way here.
    pub async fn serve_chunk(
        &self,
        stream: Stream,
        version: Digest,
        index: u32,
        offset: u32,
        wait: bool,
    ) {
        let held = |weights: &Weights| {
            let manifest = weights.manifest(version)?.manifest;
            weights.chunk(*manifest.chunks.get(index as usize)?)
        };
        let mut waiting = Waiting::new(stream);
        let found = match held(&self.weights) {
            None if wait => {
                if let Some(fetching) = self.weights.fetching(version) {
                    fetching.want(index);
                }
                self.wait_for(&mut waiting, version, held).await
            }
            found => found,
        };
        let served = async {
            let rest = found.filter(|chunk| offset as usize <= chunk.len());
            let Some(rest) = rest.map(|chunk| chunk.slice(offset as usize..)) else {
                return waiting.stream.send(&Reply::NotHeld).await;
            };
            self.send_paced(&mut waiting, rest).await
        };
        finish(served.await, waiting.stream).await;
    }

    async fn send_paced(&self, waiting: &mut Waiting, mut rest: Bytes) -> Result<(), Error> {
        // Whole chunks one after another reach those who wait for them, and pass them on, sooner
        // than many at once.
        let _turn = self.send_turn(waiting).await?;
        let stream = &mut waiting.stream;
        stream
            .send(&Reply::Chunk {
                length: rest.len() as u32,
            })
            .await?;
        while !rest.is_empty() {
            let part = rest.split_to(rest.len().min(PART_BYTES));
            self.send_pace.pass(part.len()).await;
            self.process.metrics.weights_given.inc_by(part.len() as u64);
            stream.send_held(part).await?;
        }
        Ok(())
    }

    /// Waits for a turn to send; the peer is told meanwhile that its chunk will come.
    async fn send_turn(&self, waiting: &mut Waiting) -> Result<Option<SemaphorePermit<'_>>, Error> {
        let mut turn = pin!(self.send_turns.acquire());
        loop {
            if let Some(turn) = waiting.before_word(&mut turn).await {
                return Ok(turn.ok());
            }
            waiting.tell().await?;
        }
    }

    /// True where this box fetches the version, or will as soon as it looks at its engines, or
    /// has not yet heard of the version that its peer asks for.
    fn expects(&self, version: Digest) -> bool {
        let catalogue = self.process.ledger.catalogue();
        let Some(key) = catalogue.version_of_digest(version) else {
            return true;
        };
        let mut holders = catalogue.holders(key);
        holders.any(|held| held.server == self.process.hello.name)
    }

    /// Waits until `look` finds something, as long as this box expects the version itself.
    async fn wait_for<T, F>(&self, waiting: &mut Waiting, version: Digest, look: F) -> Option<T>
    where
        F: Fn(&Weights) -> Option<T>,
    {
        let mut arrivals = self.weights.arrivals();
        let deadline: Instant = clock::now().after_millis(WAIT_MILLIS);
        loop {
            if let Some(found) = look(&self.weights) {
                return Some(found);
            }
            if !self.expects(version) || deadline.has_passed(clock::now()) {
                return None;
            }
            // Other chunks come all the time; the peer is told by the clock, not by their pauses.
            waiting.tell().await.ok()?;
            // Without an arrival, the look is taken all the same.
            let _ = waiting.before_word(arrivals.changed()).await;
        }
    }
}

async fn finish(served: Result<(), Error>, mut stream: Stream) {
    match served {
        Ok(()) => {
            stream.finish();
            stream.peer_stopped().await;
        }
        Err(error) => tracing::debug!(event = "peer_left", %error),
    }
}
