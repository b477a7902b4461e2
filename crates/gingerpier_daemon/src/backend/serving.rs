//! Chunks and manifests given to peers.

use {
    super::{Backend, pace::PART_BYTES, weights::Weights},
    crate::clock,
    bytes::Bytes,
    gingerpier_base::{Digest, Instant},
    gingerpier_link::{Error, Stream},
    gingerpier_wire::Reply,
    std::{pin::pin, time::Duration},
    tokio::sync::SemaphorePermit,
};

/// Milliseconds between words, to a peer or to the fetch here, that a chunk will still come.
pub(super) const PENDING_MILLIS: u64 = 300;
/// Milliseconds for which another box's ask is kept waiting.
pub(super) const WAIT_MILLIS: u64 = 25_000;

impl Backend {
    /// Serves a manifest to a peer, which is told to wait while it is on its way here.
    pub async fn serve_manifest(&self, mut stream: Stream, version: Digest, wait: bool) {
        let found = match self.weights.manifest(version) {
            None if wait => {
                self.wait_for(&mut stream, version, |weights| weights.manifest(version))
                    .await
            }
            found => found,
        };
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
        mut stream: Stream,
        version: Digest,
        index: u32,
        offset: u32,
        wait: bool,
    ) {
        let held = |weights: &Weights| {
            let manifest = weights.manifest(version)?.manifest;
            weights.chunk(*manifest.chunks.get(index as usize)?)
        };
        let found = match held(&self.weights) {
            None if wait => {
                if let Some(fetching) = self.weights.fetching(version) {
                    fetching.want(index);
                }
                self.wait_for(&mut stream, version, held).await
            }
            found => found,
        };
        let served = async {
            let rest = found.filter(|chunk| offset as usize <= chunk.len());
            let Some(rest) = rest.map(|chunk| chunk.slice(offset as usize..)) else {
                return stream.send(&Reply::NotHeld).await;
            };
            self.send_paced(&mut stream, rest).await
        };
        finish(served.await, stream).await;
    }

    async fn send_paced(&self, stream: &mut Stream, mut rest: Bytes) -> Result<(), Error> {
        // Whole chunks one after another reach those who wait for them, and pass them on, sooner
        // than many at once.
        let _turn = self.send_turn(stream).await?;
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
    async fn send_turn(&self, stream: &mut Stream) -> Result<Option<SemaphorePermit<'_>>, Error> {
        let mut turn = pin!(self.send_turns.acquire());
        loop {
            let pause = Duration::from_millis(PENDING_MILLIS);
            match actix_rt::time::timeout(pause, &mut turn).await {
                Ok(turn) => return Ok(turn.ok()),
                Err(_) => stream.send(&Reply::Pending).await?,
            }
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
    async fn wait_for<T, F>(&self, stream: &mut Stream, version: Digest, look: F) -> Option<T>
    where
        F: Fn(&Weights) -> Option<T>,
    {
        let mut arrivals = self.weights.arrivals();
        let deadline: Instant = clock::now().after_millis(WAIT_MILLIS);
        let mut tell_at = clock::now().after_millis(PENDING_MILLIS);
        loop {
            if let Some(found) = look(&self.weights) {
                return Some(found);
            }
            if !self.expects(version) || deadline.has_passed(clock::now()) {
                return None;
            }
            // Other chunks come all the time; the peer is told by the clock, not by their pauses.
            if tell_at.has_passed(clock::now()) {
                stream.send(&Reply::Pending).await.ok()?;
                tell_at = clock::now().after_millis(PENDING_MILLIS);
            }
            // Without an arrival, the look is taken all the same.
            let _ = actix_rt::time::timeout(clock::left(tell_at), arrivals.changed()).await;
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
