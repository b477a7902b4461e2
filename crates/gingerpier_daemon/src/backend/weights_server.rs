//! Serves chunks and manifests to peers.

use {
    super::{Backend, pacing::PART_BYTES, weights_cache::WeightsCache},
    crate::{clock, thread_delay::LogThrottle},
    bytes::Bytes,
    gingerpier_base::{Digest, Instant},
    gingerpier_link::{Error, Stream},
    gingerpier_wire::Reply,
    std::{cell::Cell, pin::pin, rc::Rc},
};

/// Interval of `Pending` replies on a request that waits for data.
pub(super) const PENDING_INTERVAL_MILLIS: u64 = 300;
/// Interval of `Pending` replies on a link with waiting requests; well below the stall deadline of
/// peers, which judge this box by all messages on the link.
const LINK_PENDING_INTERVAL_MILLIS: u64 = 100;
/// Delay of a `Pending` reply from which it is logged.
const LOG_DELAY_MILLIS: u64 = 100;
/// Limit on the time that a peer's request waits for data.
pub(super) const MAX_WAIT_MILLIS: u64 = 25_000;

/// Time at which data or a `Pending` reply was last sent on a link.
#[derive(Default)]
pub(super) struct LastSent(Cell<Instant>);

/// Time for which a request for a version that isn't assigned here waits, as the peer may have
/// received the assignment earlier.
const ASSIGNMENT_DELAY_MILLIS: u64 = 1_000;

/// A peer's request that waits for data, with the time of its next `Pending` reply.
///
/// One schedule covers all stages of a request, so that no gap between replies exceeds the
/// interval.
struct WaitingRequest {
    stream: Stream,
    last_sent: Rc<LastSent>,
    received_at: Instant,
    pending_at: Instant,
}

impl WaitingRequest {
    fn new(stream: Stream, last_sent: Rc<LastSent>) -> Self {
        let received_at = clock::now();
        Self {
            stream,
            last_sent,
            received_at,
            pending_at: received_at.after_millis(PENDING_INTERVAL_MILLIS),
        }
    }

    /// Returns when the next `Pending` reply is due for this request or for the link.
    fn due(&self) -> Instant {
        let LastSent(sent_at) = &*self.last_sent;
        let last_sent_at = sent_at.get().max(self.received_at);
        self.pending_at
            .min(last_sent_at.after_millis(LINK_PENDING_INTERVAL_MILLIS))
    }

    /// Records that data or a reply was sent on this request.
    fn record_sent(&mut self) {
        let now = clock::now();
        self.last_sent.0.set(now);
        self.pending_at = now.after_millis(PENDING_INTERVAL_MILLIS);
    }

    /// Sends a `Pending` reply if one is due.
    async fn send_pending(&mut self) -> Result<(), Error> {
        let (due, started_at) = (self.due(), clock::now());
        if due.has_passed(started_at) {
            self.stream.send(&Reply::Pending).await?;
            let now = clock::now();
            self.log_delay(
                started_at.millis_since(due),
                now.millis_since(started_at),
                now,
            );
            self.record_sent();
        }
        Ok(())
    }

    /// Logs a `Pending` reply that was late or took long to send.
    fn log_delay(&self, late_millis: u64, sent_millis: u64, now: Instant) {
        thread_local! { static LOG_THROTTLE: LogThrottle = LogThrottle::default(); }
        if late_millis.max(sent_millis) < LOG_DELAY_MILLIS {
            return;
        }
        if let Some(left_out) = LOG_THROTTLE.with(|log_throttle| log_throttle.allow(now)) {
            let peer = self.stream.peer();
            tracing::warn!(event = "word_late", %peer, late_millis, sent_millis, left_out);
        }
    }

    /// Returns the output of `work` if it completes before the next reply is due.
    async fn before_pending<F: Future>(&self, work: F) -> Option<F::Output> {
        clock::before(self.due(), work).await
    }

    /// Returns the output of `work`; sends `Pending` replies until it completes.
    async fn keep_alive_until<F: Future>(&mut self, work: F) -> Result<F::Output, Error> {
        let mut work = pin!(work);
        loop {
            if let Some(output) = self.before_pending(&mut work).await {
                return Ok(output);
            }
            self.send_pending().await?;
        }
    }
}

impl Backend {
    /// Serves a manifest to a peer; with `wait`, waits for one that is being fetched.
    pub(super) async fn serve_manifest(
        &self,
        stream: Stream,
        last_sent: Rc<LastSent>,
        version: Digest,
        wait: bool,
    ) {
        let mut request = WaitingRequest::new(stream, last_sent);
        let data = match self.weights.manifest(version) {
            None if wait => {
                self.wait_for(&mut request, version, |weights| weights.manifest(version))
                    .await
            }
            data => data,
        };
        let mut stream = request.stream;
        let result = async {
            let Some(cached) = data else {
                return stream.send(&Reply::NotHeld).await;
            };
            stream
                .send(&Reply::Chunk {
                    length: cached.bytes.len() as u32,
                })
                .await?;
            stream.send_shared(cached.bytes).await
        };
        finish_response(result.await, stream).await;
    }

    /// Serves a chunk from `offset` on to a peer; with `wait`, waits for one that is being fetched.
    pub(super) async fn serve_chunk(
        &self,
        stream: Stream,
        last_sent: Rc<LastSent>,
        version: Digest,
        index: u32,
        offset: u32,
        wait: bool,
    ) {
        let cached = |weights: &WeightsCache| {
            let manifest = weights.manifest(version)?.manifest;
            weights.chunk(*manifest.chunks.get(index as usize)?)
        };
        let mut request = WaitingRequest::new(stream, last_sent);
        let data = match cached(&self.weights) {
            None if wait => {
                if let Some(fetch) = self.weights.fetch(version) {
                    fetch.request_ahead(index);
                }
                self.wait_for(&mut request, version, cached).await
            }
            data => data,
        };
        let result = async {
            let remaining = data.filter(|chunk| offset as usize <= chunk.len());
            let Some(remaining) = remaining.map(|chunk| chunk.slice(offset as usize..)) else {
                return request.stream.send(&Reply::NotHeld).await;
            };
            self.send_paced(&mut request, remaining).await
        };
        finish_response(result.await, request.stream).await;
    }

    async fn send_paced(
        &self,
        request: &mut WaitingRequest,
        mut remaining: Bytes,
    ) -> Result<(), Error> {
        // Few chunks at once complete earlier at the peers, which can then forward them.
        let _permit = request
            .keep_alive_until(self.send_permits.acquire())
            .await?;
        let length = remaining.len() as u32;
        let mut part = remaining.split_to(remaining.len().min(PART_BYTES));
        // No `Pending` reply may follow the `Chunk` header, so the header is sent together with the
        // first bytes.
        request
            .keep_alive_until(self.send_pacer.acquire(part.len()))
            .await?;
        request.stream.send(&Reply::Chunk { length }).await?;
        while !part.is_empty() {
            self.process.metrics.weights_sent.inc_by(part.len() as u64);
            request.stream.send_shared(part).await?;
            request.record_sent();
            part = remaining.split_to(remaining.len().min(PART_BYTES));
            self.send_pacer.acquire(part.len()).await;
        }
        Ok(())
    }

    /// Returns true if the version is assigned to this box, or not known here yet.
    fn is_expected(&self, version: Digest) -> bool {
        let catalogue = self.process.catalogue_state.catalogue();
        let Some(key) = catalogue.version_by_digest(version) else {
            return true;
        };
        let mut holders = catalogue.holders(key);
        holders.any(|assignment| assignment.server == self.process.hello.name)
    }

    /// Waits until `lookup` finds something; gives up if the version isn't expected here, or after
    /// a limited time.
    async fn wait_for<T, F>(
        &self,
        request: &mut WaitingRequest,
        version: Digest,
        lookup: F,
    ) -> Option<T>
    where
        F: Fn(&WeightsCache) -> Option<T>,
    {
        let mut arrivals = self.weights.arrivals();
        let started_at = clock::now();
        let deadline: Instant = started_at.after_millis(MAX_WAIT_MILLIS);
        let assigned_by = started_at.after_millis(ASSIGNMENT_DELAY_MILLIS);
        loop {
            if let Some(data) = lookup(&self.weights) {
                return Some(data);
            }
            let now = clock::now();
            let may_arrive = self.is_expected(version) || !assigned_by.has_passed(now);
            if !may_arrive || deadline.has_passed(now) {
                return None;
            }
            // Arrivals of other chunks must not postpone the reply.
            request.send_pending().await.ok()?;
            // `lookup` is also repeated without an arrival.
            let _ = request.before_pending(arrivals.changed()).await;
        }
    }
}

async fn finish_response(result: Result<(), Error>, mut stream: Stream) {
    match result {
        Ok(()) => {
            stream.finish();
            stream.wait_until_stopped().await;
        }
        Err(error) => tracing::debug!(event = "peer_left", %error),
    }
}
