//! Chunks and manifests given to peers.

use {
    super::{Backend, pace::PART_BYTES, weights::Weights},
    crate::{clock, lateness::Sieve},
    bytes::Bytes,
    gingerpier_base::{Digest, Instant},
    gingerpier_link::{Error, Stream},
    gingerpier_wire::Reply,
    std::{cell::Cell, pin::pin, rc::Rc},
};

/// Milliseconds between words, to a peer or to the fetch here, that a chunk will still come.
pub(super) const PENDING_MILLIS: u64 = 300;
/// Milliseconds between words on one link while anything is awaited on it: peers judge this box by all
/// that it sends them, so what is left of their stall is for a process that does not run. One word for
/// a link, not for each question, keeps the traffic at 10 small packets a second.
const LINK_WORD_MILLIS: u64 = 100;
/// Milliseconds of delay of a word from which it is logged; less is usual on a busy machine.
const LATE_WORD_MILLIS: u64 = 100;
/// Milliseconds for which another box's ask is kept waiting.
pub(super) const WAIT_MILLIS: u64 = 25_000;

/// When the peer of a link was last sent anything on weights.
#[derive(Default)]
pub(super) struct Voice(Cell<Instant>);

/// Milliseconds for which a box waits to hear that it is to hold what a peer asks for: the peer may
/// have heard before it. A few times what a change takes to all boxes of a zone, and far less than
/// reading from the origin what the peer would have from here.
const HEARING_MILLIS: u64 = 1_000;

/// A peer's question, and when the peer is next told that it is still waited for.
///
/// One count goes on through all that a question waits for, so that the peer never waits for a word
/// twice as long as it should.
struct Waiting {
    stream: Stream,
    voice: Rc<Voice>,
    asked_at: Instant,
    tell_at: Instant,
}

impl Waiting {
    fn new(stream: Stream, voice: Rc<Voice>) -> Self {
        let asked_at = clock::now();
        Self {
            stream,
            voice,
            asked_at,
            tell_at: asked_at.after_millis(PENDING_MILLIS),
        }
    }

    /// When a word is due: for this question, or for the link, whichever comes first.
    fn due(&self) -> Instant {
        let Voice(said_at) = &*self.voice;
        let silent_since = said_at.get().max(self.asked_at);
        self.tell_at
            .min(silent_since.after_millis(LINK_WORD_MILLIS))
    }

    /// Notes that the peer was sent something on this question.
    fn said(&mut self) {
        let now = clock::now();
        self.voice.0.set(now);
        self.tell_at = now.after_millis(PENDING_MILLIS);
    }

    /// Tells the peer, where that is due, that what it asked for will still come.
    async fn tell(&mut self) -> Result<(), Error> {
        let (due, begun) = (self.due(), clock::now());
        if due.has_passed(begun) {
            self.stream.send(&Reply::Pending).await?;
            let now = clock::now();
            self.note(begun.millis_since(due), now.millis_since(begun), now);
            self.said();
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
        clock::before(self.due(), work).await
    }

    /// Output of `work`; the peer is told meanwhile that what it asked for will come.
    async fn until<F: Future>(&mut self, work: F) -> Result<F::Output, Error> {
        let mut work = pin!(work);
        loop {
            if let Some(output) = self.before_word(&mut work).await {
                return Ok(output);
            }
            self.tell().await?;
        }
    }
}

impl Backend {
    /// Serves a manifest to a peer, which is told to wait while it is on its way here.
    pub(super) async fn serve_manifest(
        &self,
        stream: Stream,
        voice: Rc<Voice>,
        version: Digest,
        wait: bool,
    ) {
        let mut waiting = Waiting::new(stream, voice);
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
    pub(super) async fn serve_chunk(
        &self,
        stream: Stream,
        voice: Rc<Voice>,
        version: Digest,
        index: u32,
        offset: u32,
        wait: bool,
    ) {
        let held = |weights: &Weights| {
            let manifest = weights.manifest(version)?.manifest;
            weights.chunk(*manifest.chunks.get(index as usize)?)
        };
        let mut waiting = Waiting::new(stream, voice);
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
        let _turn = waiting.until(self.send_turns.acquire()).await?;
        let length = rest.len() as u32;
        let mut part = rest.split_to(rest.len().min(PART_BYTES));
        // Words can be said only before the chunk begins, so it begins with its first bytes.
        waiting.until(self.send_pace.pass(part.len())).await?;
        waiting.stream.send(&Reply::Chunk { length }).await?;
        while !part.is_empty() {
            self.process.metrics.weights_given.inc_by(part.len() as u64);
            waiting.stream.send_held(part).await?;
            waiting.said();
            part = rest.split_to(rest.len().min(PART_BYTES));
            self.send_pace.pass(part.len()).await;
        }
        Ok(())
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

    /// Waits until `look` finds something, as long as this box expects the version itself, or may
    /// still hear that it is to hold it.
    async fn wait_for<T, F>(&self, waiting: &mut Waiting, version: Digest, look: F) -> Option<T>
    where
        F: Fn(&Weights) -> Option<T>,
    {
        let mut arrivals = self.weights.arrivals();
        let begun = clock::now();
        let deadline: Instant = begun.after_millis(WAIT_MILLIS);
        let heard_by = begun.after_millis(HEARING_MILLIS);
        loop {
            if let Some(found) = look(&self.weights) {
                return Some(found);
            }
            let now = clock::now();
            let is_awaited = self.expects(version) || !heard_by.has_passed(now);
            if !is_awaited || deadline.has_passed(now) {
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
