//! State machine that fetches one version to one process.
//!
//! It requests a window of chunks in increasing order, so that all replicas work on the same part
//! of the version and the origin serves few chunks at a time. Each attempt has a stall deadline,
//! which progress extends, and a total deadline. When one passes, or the source fails or sends
//! corrupt data, the next source of the route is used.
//!
//! Any message of a peer extends the stall deadlines of all requests to it. A request that gets no
//! message of its own for two stall periods is cancelled nevertheless.
//!
//! If this process was not scheduled for some time, all deadlines are extended by it, because data
//! that arrived meanwhile is still unread; see [`Fetch::record_poll`].

use {
    crate::{
        plan::{Plan, ReplicaKey, Source},
        route::{Holders, Route},
    },
    gingerpier_base::Instant,
    std::collections::{BTreeMap, BTreeSet},
};

/// Parameters of a fetch.
#[derive(Debug, Clone, Copy)]
pub struct Policy {
    /// Chunks fetched concurrently; default 24.
    pub window: usize,
    /// Time in milliseconds without progress before the next source is used; default 2,000.
    pub stall_millis: u64,
    /// Timeout of one attempt in milliseconds; default 30,000.
    pub attempt_timeout_millis: u64,
    /// Delay in milliseconds before a chunk's sources are tried again after all have failed;
    /// default 1,000. Doubles with each consecutive failed round, up to three times.
    pub backoff_millis: u64,
    /// Maximum concurrent requests to the origin; default 24.
    ///
    /// The lowest chunks are requested first, because a chunk that is fetched long before the
    /// replicas' windows reach it has a single holder and is lost with it.
    pub max_origin_requests: usize,
}

impl Default for Policy {
    fn default() -> Self {
        Self {
            window: 24,
            stall_millis: 2_000,
            attempt_timeout_millis: 30_000,
            backoff_millis: 1_000,
            max_origin_requests: 24,
        }
    }
}

impl Policy {
    /// Stall deadline of a request that made progress `now`.
    const fn request_stall_deadline(&self, now: Instant) -> Instant {
        now.after_millis(REQUEST_STALLS * self.stall_millis)
    }
}

/// Limit of concurrent requests to peers, per chunk of the window; more than one because of chunks
/// that other replicas request from this process.
const PEER_REQUESTS_PER_WINDOW_CHUNK: usize = 4;

/// Minimum limit of concurrent requests to peers.
const MIN_PEER_REQUESTS: usize = 4;

/// Delay in milliseconds of a poll from which this process counts as not scheduled.
const LATE_POLL_MILLIS: u64 = 100;

/// Stall periods without any message on a request after which it is cancelled, although its source
/// sends messages on others.
const REQUEST_STALLS: u64 = 2;

/// Maximum doublings of the delay between rounds; bounds the requests sent while no source has a
/// chunk.
const MAX_BACKOFF_DOUBLINGS: u32 = 3;

/// Increase of the limit of concurrent requests to peers for each received chunk.
const PEER_REQUESTS_INCREMENT: usize = 2;

/// Output of the state machine.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Action {
    /// Request `chunk` from `source`; the response is reported with the number `attempt`.
    Request {
        /// Requested chunk.
        chunk: u32,
        /// Source to send the request to.
        source: Source,
        /// Attempt number.
        attempt: u64,
    },
    /// Cancel the attempt.
    Cancel {
        /// Requested chunk.
        chunk: u32,
        /// Source of the cancelled attempt.
        source: Source,
        /// Attempt number.
        attempt: u64,
    },
    /// All chunks are present.
    Complete,
}

/// Result of an attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Outcome {
    /// The chunk was received and its digest is correct.
    Held,
    /// The source can't provide the chunk.
    Failed,
    /// The received data doesn't match the chunk's digest.
    Corrupt,
    /// The source is overloaded; holds the earliest time of a retry.
    Refused(Instant),
}

#[derive(Debug, Clone, Copy)]
struct Attempt {
    number: u64,
    source: Source,
    /// Extended by any response of the source; for peers, at most to `request_stall_deadline`.
    stall_deadline: Instant,
    /// Extended only by responses to this request.
    request_stall_deadline: Instant,
    total_deadline: Instant,
}

#[derive(Debug, Clone, Copy, Default)]
struct Chunk {
    /// Sources that failed in this round.
    failed_sources: usize,
    /// Consecutive rounds in which all sources failed.
    failed_rounds: u32,
    /// Earliest time of the next attempt.
    retry_at: Instant,
    attempt: Option<Attempt>,
}

/// Progress of one version's fetch.
#[derive(Debug)]
pub struct Fetch {
    policy: Policy,
    route: Route,
    is_cached: Vec<bool>,
    cached_count: u32,
    /// Lowest chunk that the window has not reached.
    next_chunk: u32,
    /// Chunks that are being fetched.
    open_chunks: BTreeMap<u32, Chunk>,
    /// Replicas that sent corrupt data; skipped while other sources are left.
    corrupt_replicas: BTreeSet<ReplicaKey>,
    last_attempt: u64,
    /// Limit of concurrent requests to peers: halved after a stall, increased with each received
    /// chunk.
    max_peer_requests: usize,
    source_buffer: Vec<Source>,
}

impl Fetch {
    /// Creates a fetch along the trees of `plan`, by the replica `own`.
    pub fn new(policy: Policy, plan: Plan, own: ReplicaKey, chunk_count: u32) -> Self {
        let holders = Holders::default();
        Self::with_route(policy, Route::Tree { plan, own, holders }, chunk_count)
    }

    /// Creates a fetch of `chunk_count` chunks along `route`.
    pub fn with_route(policy: Policy, route: Route, chunk_count: u32) -> Self {
        Self {
            policy,
            route,
            is_cached: vec![false; chunk_count as usize],
            cached_count: 0,
            next_chunk: 0,
            open_chunks: BTreeMap::new(),
            corrupt_replicas: BTreeSet::new(),
            last_attempt: 0,
            max_peer_requests: PEER_REQUESTS_PER_WINDOW_CHUNK * policy.window,
            source_buffer: Vec::new(),
        }
    }

    /// Marks a chunk as present, for example because another version contains it.
    pub fn record_cached(&mut self, chunk: u32) {
        let is_cached = &mut self.is_cached[chunk as usize];
        self.cached_count += u32::from(!*is_cached);
        *is_cached = true;
    }

    /// Number of chunks that are present.
    pub const fn cached_count(&self) -> u32 {
        self.cached_count
    }

    /// Number of chunks of the version.
    pub fn chunk_count(&self) -> u32 {
        self.is_cached.len() as u32
    }

    /// True if all chunks are present.
    pub fn is_complete(&self) -> bool {
        self.cached_count == self.chunk_count()
    }

    /// Replicas that sent corrupt data.
    pub fn corrupt_replicas(&self) -> impl Iterator<Item = ReplicaKey> {
        self.corrupt_replicas.iter().copied()
    }

    /// Replaces the plan; attempts in flight continue.
    ///
    /// Clears the corrupt sources, because replica keys are only valid within one plan.
    pub fn replan(&mut self, plan: Plan, own: ReplicaKey) {
        let holders = Holders::default();
        self.route = Route::Tree { plan, own, holders };
        self.corrupt_replicas.clear();
        for chunk in self.open_chunks.values_mut() {
            chunk.failed_sources = 0;
        }
    }

    /// Cancels stalled attempts, starts new ones, and appends the resulting actions.
    pub fn poll(&mut self, now: Instant, actions: &mut Vec<Action>) {
        self.fill_window();
        let chunks: Vec<u32> = self.open_chunks.keys().copied().collect();
        for chunk in chunks {
            self.cancel_stalled(chunk, now, actions);
            self.request_chunk(chunk, now, actions);
        }
        if self.is_complete() {
            actions.push(Action::Complete);
        }
    }

    /// Extends all deadlines by the delay of a poll that was due at `due`, if it is more than 100
    /// ms.
    pub fn record_poll(&mut self, due: Instant, now: Instant) {
        let late_millis = now.millis_since(due);
        if late_millis <= LATE_POLL_MILLIS {
            return;
        }
        for attempt in self
            .open_chunks
            .values_mut()
            .filter_map(|chunk| chunk.attempt.as_mut())
        {
            attempt.stall_deadline = attempt.stall_deadline.after_millis(late_millis);
            attempt.request_stall_deadline =
                attempt.request_stall_deadline.after_millis(late_millis);
            attempt.total_deadline = attempt.total_deadline.after_millis(late_millis);
        }
    }

    /// Fetches `chunk` ahead of the window, because another replica requested it.
    pub fn request_ahead(&mut self, chunk: u32) {
        let is_valid = (chunk as usize) < self.is_cached.len();
        if is_valid
            && !self.is_cached[chunk as usize]
            && self.open_chunks.len() < 4 * self.policy.window
        {
            self.open_chunks.entry(chunk).or_default();
        }
    }

    /// Records that the source of `attempt` sent data, or reported that it is waiting for the chunk
    /// itself.
    pub fn record_progress(&mut self, chunk: u32, attempt: u64, now: Instant) {
        let stall_deadline = now.after_millis(self.policy.stall_millis);
        let request_stall_deadline = self.policy.request_stall_deadline(now);
        if let Some(current) = self.attempt_mut(chunk, attempt) {
            current.stall_deadline = stall_deadline;
            current.request_stall_deadline = request_stall_deadline;
        }
    }

    /// Extends the stall deadlines of all requests to the origin after it sent data for any of
    /// them.
    pub fn record_origin_message(&mut self, now: Instant) {
        let stall_deadline = now.after_millis(self.policy.stall_millis);
        let attempts = self
            .open_chunks
            .values_mut()
            .filter_map(|chunk| chunk.attempt.as_mut());
        for attempt in attempts.filter(|attempt| attempt.source == Source::Origin) {
            attempt.stall_deadline = stall_deadline;
        }
    }

    /// Extends the stall deadlines of all requests to `peer` after a message on any of them, but
    /// not beyond their request stall deadlines.
    pub fn record_peer_message(&mut self, peer: ReplicaKey, now: Instant) {
        let stall_deadline = now.after_millis(self.policy.stall_millis);
        let attempts = self
            .open_chunks
            .values_mut()
            .filter_map(|chunk| chunk.attempt.as_mut());
        for attempt in attempts.filter(|attempt| attempt.source.replica() == Some(peer)) {
            attempt.stall_deadline = stall_deadline.min(attempt.request_stall_deadline);
        }
    }

    /// Records the result of an attempt. The result of a cancelled attempt is ignored unless the
    /// chunk was received.
    pub fn record_outcome(&mut self, chunk: u32, attempt: u64, outcome: Outcome, now: Instant) {
        if outcome == Outcome::Held {
            self.record_cached(chunk);
            self.open_chunks.remove(&chunk);
            self.reset_backoff(now);
            self.max_peer_requests = (self.max_peer_requests + PEER_REQUESTS_INCREMENT)
                .min(PEER_REQUESTS_PER_WINDOW_CHUNK * self.policy.window);
            return;
        }
        let Some(current) = self.attempt_mut(chunk, attempt).copied() else {
            return;
        };
        if let (Outcome::Corrupt, Source::Replica(source) | Source::Holder(source)) =
            (outcome, current.source)
        {
            self.corrupt_replicas.insert(source);
        }
        let Some(state) = self.open_chunks.get_mut(&chunk) else {
            return;
        };
        state.attempt = None;
        match outcome {
            // An overloaded source is retried, not skipped.
            Outcome::Refused(until) => {
                state.retry_at = until;
                state.failed_rounds = 0;
            }
            // Data from the origin may be corrupted in transit, so the origin is retried, not
            // skipped.
            Outcome::Corrupt if current.source == Source::Origin => {
                state.retry_at = now.after_millis(self.policy.backoff_millis);
            }
            _ => state.failed_sources += 1,
        }
    }

    /// Retries all chunks without delay after any source provided one.
    fn reset_backoff(&mut self, now: Instant) {
        let delayed = self
            .open_chunks
            .values_mut()
            .filter(|chunk| chunk.failed_rounds > 0);
        for chunk in delayed {
            chunk.failed_rounds = 0;
            chunk.retry_at = chunk.retry_at.min(now);
        }
    }

    fn attempt_mut(&mut self, chunk: u32, number: u64) -> Option<&mut Attempt> {
        let attempt = self.open_chunks.get_mut(&chunk)?.attempt.as_mut()?;
        (attempt.number == number).then_some(attempt)
    }

    fn fill_window(&mut self) {
        // Chunks requested ahead of the window don't count, or they would block it.
        while self.open_chunks.range(..self.next_chunk).count() < self.policy.window
            && (self.next_chunk as usize) < self.is_cached.len()
        {
            if !self.is_cached[self.next_chunk as usize] {
                self.open_chunks.entry(self.next_chunk).or_default();
            }
            self.next_chunk += 1;
        }
    }

    fn cancel_stalled(&mut self, chunk: u32, now: Instant, actions: &mut Vec<Action>) {
        let Some(state) = self.open_chunks.get_mut(&chunk) else {
            return;
        };
        let Some(attempt) = state.attempt else { return };
        if attempt.stall_deadline.has_passed(now) || attempt.total_deadline.has_passed(now) {
            state.attempt = None;
            state.failed_sources += 1;
            // A silent peer indicates a congested link. The origin doesn't, as it may be down, and
            // neither do peers that report that they are waiting.
            let is_silent = attempt.stall_deadline.has_passed(now);
            if is_silent && attempt.source != Source::Origin {
                let active_count = self.active_attempt_count();
                self.max_peer_requests = (active_count / 2).max(MIN_PEER_REQUESTS);
            }
            let Attempt { number, source, .. } = attempt;
            actions.push(Action::Cancel {
                chunk,
                source,
                attempt: number,
            });
        }
    }

    /// Limit of concurrent requests to peers.
    pub const fn max_peer_requests(&self) -> usize {
        self.max_peer_requests
    }

    /// Sets the limit of concurrent requests to peers, for example to that of an earlier fetch over
    /// the same link.
    pub fn set_max_peer_requests(&mut self, max_peer_requests: usize) {
        self.max_peer_requests = max_peer_requests.clamp(
            MIN_PEER_REQUESTS,
            PEER_REQUESTS_PER_WINDOW_CHUNK * self.policy.window,
        );
    }

    /// Halves the concurrent requests to peers after a slow transfer indicated a congested link.
    /// Cancels the requests for the highest chunks; they are sent again later.
    pub fn halve_peer_requests(&mut self, actions: &mut Vec<Action>) {
        self.max_peer_requests = (self.active_attempt_count() / 2).max(MIN_PEER_REQUESTS);
        let mut surplus = self
            .active_attempt_count()
            .saturating_sub(self.max_peer_requests);
        for (chunk, state) in self.open_chunks.iter_mut().rev() {
            if surplus == 0 {
                return;
            }
            if let Some(attempt) = state.attempt.take() {
                surplus -= 1;
                actions.push(Action::Cancel {
                    chunk: *chunk,
                    source: attempt.source,
                    attempt: attempt.number,
                });
            }
        }
    }

    fn active_attempt_count(&self) -> usize {
        self.active_attempts().count()
    }

    /// True if the limit of requests to peers is reached. Requests to the origin have a limit of
    /// their own, so that they don't wait behind requests to peers.
    fn is_at_peer_limit(&self) -> bool {
        let attempts = self.active_attempts();
        let peer_attempts = attempts.filter(|attempt| attempt.source != Source::Origin);
        peer_attempts.count() >= self.max_peer_requests
    }

    fn origin_request_count(&self) -> usize {
        let attempts = self.active_attempts();
        let origin_attempts = attempts.filter(|attempt| attempt.source == Source::Origin);
        origin_attempts.count()
    }

    fn active_attempts(&self) -> impl Iterator<Item = Attempt> {
        self.open_chunks.values().filter_map(|chunk| chunk.attempt)
    }

    fn request_chunk(&mut self, chunk: u32, now: Instant, actions: &mut Vec<Action>) {
        let is_at_peer_limit = self.is_at_peer_limit();
        let origin_requests = self.origin_request_count();
        let Some(state) = self.open_chunks.get_mut(&chunk) else {
            return;
        };
        if state.attempt.is_some() || !state.retry_at.has_passed(now) {
            return;
        }
        self.route.sources(chunk, &mut self.source_buffer);
        let corrupt_replicas = &self.corrupt_replicas;
        let is_eligible = |source: &&Source| match source {
            Source::Replica(key) | Source::Holder(key) => !corrupt_replicas.contains(key),
            Source::Origin => true,
        };
        let Some(source) = self
            .source_buffer
            .iter()
            .filter(is_eligible)
            .nth(state.failed_sources)
            .copied()
        else {
            // If only corrupt sources are left, they are tried again: their data may have been
            // corrupted in transit.
            let has_tried_source = state.failed_sources > 0;
            state.failed_sources = 0;
            let doublings = state.failed_rounds.min(MAX_BACKOFF_DOUBLINGS);
            state.retry_at = now.after_millis(self.policy.backoff_millis << doublings);
            state.failed_rounds += 1;
            if !has_tried_source {
                self.corrupt_replicas.clear();
            }
            return;
        };
        let is_limited = match source {
            Source::Origin => origin_requests >= self.policy.max_origin_requests,
            Source::Replica(_) | Source::Holder(_) => is_at_peer_limit,
        };
        if is_limited {
            return;
        }
        self.last_attempt += 1;
        let number = self.last_attempt;
        state.attempt = Some(Attempt {
            number,
            source,
            stall_deadline: now.after_millis(self.policy.stall_millis),
            request_stall_deadline: self.policy.request_stall_deadline(now),
            total_deadline: now.after_millis(self.policy.attempt_timeout_millis),
        });
        actions.push(Action::Request {
            chunk,
            source,
            attempt: number,
        });
    }
}
