//! Fetches the chunks of a version from other processes and the origin.

use {
    super::{
        Distributor, cache, manifest,
        request::{ChunkRequest, Event},
        sources::{FetchSpec, Sources},
    },
    crate::{client::Client, clock, pool::Pool},
    actix_rt::task::JoinHandle,
    gingerpier_base::Instant,
    gingerpier_serving::platform_api::ModelVersion,
    gingerpier_weights::{
        fetch::{Action, Fetch, Outcome, Policy},
        plan::Source,
    },
    std::{cell::RefCell, collections::HashMap, net::SocketAddr, rc::Rc},
    tokio::sync::mpsc::{UnboundedReceiver, UnboundedSender, unbounded_channel},
};

/// Timeout for reading a staged chunk from the engine.
const ENGINE_TIMEOUT_MILLIS: u64 = 700;

/// Concurrent chunk requests to the origin: one transfers while the next waits.
const MAX_ORIGIN_REQUESTS: usize = 2;

const POLICY: Policy = Policy {
    window: 24,
    stall_millis: 1_200,
    attempt_timeout_millis: 4_000,
    backoff_millis: 100,
    max_origin_requests: MAX_ORIGIN_REQUESTS,
};

/// Interval between checks for stalled requests.
const POLL_INTERVAL_MILLIS: u64 = 50;

/// Time without a new chunk after which changed sources replace the current ones.
const SOURCE_CHECK_MILLIS: u64 = 700;

/// Least time between two reductions of concurrent peer requests.
const MIN_HALVING_INTERVAL_MILLIS: u64 = 300;

/// Corrupt chunks from the origin after which the manifest itself is fetched again.
const MAX_CORRUPT_ORIGIN_CHUNKS: u32 = 6;

/// Fetches a whole version as `spec` describes and returns the version that was found.
///
/// Evaluates `spec` again when the fetch stalls, and restarts with its sources if they changed.
pub async fn fetch(distributor: &Rc<Distributor>, spec: impl Fn() -> FetchSpec) -> ModelVersion {
    loop {
        let current = spec();
        tokio::select! {
            model_version = fetch_with(distributor, &current) => return model_version,
            () = wait_for_changed_sources(distributor, &current, &spec) => {
                tracing::info!(version = current.model_version.version.0, "fetch restarted with changed sources");
            }
        }
    }
}

/// Returns once no chunk arrived for a while and `spec` has other sources than `current`.
async fn wait_for_changed_sources(
    distributor: &Distributor,
    current: &FetchSpec,
    spec: &impl Fn() -> FetchSpec,
) {
    let mut last_count = distributor.cached_count(&current.model_version);
    loop {
        clock::pause(SOURCE_CHECK_MILLIS).await;
        let count = distributor.cached_count(&current.model_version);
        let latest = spec();
        let has_changed = latest.peers != current.peers || latest.origin != current.origin;
        if count == last_count && has_changed {
            return;
        }
        last_count = count;
    }
}

async fn fetch_with(distributor: &Rc<Distributor>, spec: &FetchSpec) -> ModelVersion {
    let sources = Rc::new(Sources::new(spec));
    loop {
        let model_version =
            manifest::fetch(distributor, &sources, &spec.route, &spec.model_version).await;
        copy_shared_chunks(distributor, &model_version);
        read_staged_chunks(distributor, &model_version).await;
        let download = Download::new(
            distributor.clone(),
            sources.clone(),
            spec,
            model_version.clone(),
        );
        if download.run().await == DownloadEnd::Complete {
            return model_version;
        }
        // If even the origin's chunks mismatch, the manifest is likely corrupt.
        distributor.kept_manifests.remove(&model_version.model);
        let mut chunk_cache = distributor.chunk_cache.borrow_mut();
        chunk_cache.remove(&model_version.model, model_version.version);
    }
}

/// How a download ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum DownloadEnd {
    /// Every chunk is cached.
    Complete,
    /// Chunks from the origin don't match the manifest.
    ManifestSuspect,
}

/// Copies chunks that another cached version shares.
fn copy_shared_chunks(distributor: &Distributor, model_version: &ModelVersion) {
    let shared = distributor
        .chunk_cache
        .borrow_mut()
        .copy_shared_chunks(&model_version.model, model_version.version);
    if shared > 0 {
        tracing::info!(
            version = model_version.version.0,
            shared,
            "chunks reused from another version"
        );
    }
}

/// Reads chunks that are staged at the engine.
async fn read_staged_chunks(distributor: &Rc<Distributor>, model_version: &ModelVersion) {
    let Some(manifest) = distributor.manifest(model_version) else {
        return;
    };
    let served = distributor.served_version.borrow().clone();
    if served.is_some_and(|served| served != *model_version) {
        // The engine's staging area contains another version.
        return;
    }
    let Some(engine) = distributor.engine else {
        return;
    };
    let mut client = Client::of_engine(engine);
    for chunk in 0..manifest.digests.len() as u32 {
        let call = distributor
            .platform_api
            .staged_chunk(&model_version.model, chunk);
        let Ok(response) = client.call(&call, ENGINE_TIMEOUT_MILLIS).await else {
            return;
        };
        let is_present = response.head.status == 200;
        if is_present && cache::matches_digest(&manifest, chunk, &response.body) {
            distributor.insert_chunk(model_version, chunk, response.body);
        } else if chunk == 0 {
            return;
        }
    }
}

/// A running download of a version.
struct Download {
    distributor: Rc<Distributor>,
    sources: Rc<Sources>,
    model_version: ModelVersion,
    fetch: Fetch,
    pool: Rc<RefCell<Pool<SocketAddr>>>,
    sender: UnboundedSender<Event>,
    events: UnboundedReceiver<Event>,
    attempt_timeout_millis: u64,
    /// Running requests by attempt id.
    in_flight: HashMap<u64, JoinHandle<()>>,
    /// Cancellations due to fewer concurrent peer requests, run with the next poll.
    actions: Vec<Action>,
    last_halved: Instant,
    corrupt_origin_chunks: u32,
    chunks_from_origin: u32,
}

impl Drop for Download {
    fn drop(&mut self) {
        // Requests of a canceled fetch must not occupy the link.
        for request in self.in_flight.values() {
            request.abort();
        }
    }
}

impl Download {
    fn new(
        distributor: Rc<Distributor>,
        sources: Rc<Sources>,
        spec: &FetchSpec,
        model_version: ModelVersion,
    ) -> Self {
        let policy = Policy {
            window: spec.window,
            attempt_timeout_millis: spec.attempt_timeout_millis,
            ..POLICY
        };
        let manifest = distributor.manifest(&model_version);
        let count = manifest.map_or(0, |manifest| manifest.digests.len());
        let origin_chunks = spec.route.origin_chunks(count as u32);
        let mut fetch = Fetch::with_route(policy, spec.route.clone(), count as u32);
        let chunk_cache = distributor.chunk_cache.borrow();
        if let Some(chunk_set) = chunk_cache.get(&model_version.model, model_version.version) {
            for chunk in 0..count as u32 {
                if chunk_set.chunk(chunk).is_some() {
                    fetch.record_cached(chunk);
                }
            }
        }
        drop(chunk_cache);
        // Chunks from the origin bypass the window, so that its link never idles.
        for chunk in origin_chunks {
            fetch.request_ahead(chunk);
        }
        if let Some(max_peer_requests) = distributor.sustained_peer_requests.get() {
            fetch.set_max_peer_requests(max_peer_requests);
        }
        let (sender, events) = unbounded_channel();
        Self {
            distributor,
            sources,
            model_version,
            fetch,
            pool: Rc::default(),
            sender,
            events,
            attempt_timeout_millis: policy.attempt_timeout_millis,
            in_flight: HashMap::new(),
            actions: Vec::new(),
            last_halved: Instant::default(),
            corrupt_origin_chunks: 0,
            chunks_from_origin: 0,
        }
    }

    async fn run(mut self) -> DownloadEnd {
        let started = clock::now();
        let mut next_poll = started;
        loop {
            let mut actions = std::mem::take(&mut self.actions);
            let now = clock::now();
            self.fetch.record_poll(next_poll, now);
            self.fetch.poll(now, &mut actions);
            next_poll = now.after_millis(POLL_INTERVAL_MILLIS);
            for action in actions {
                match action {
                    Action::Request {
                        chunk,
                        source,
                        attempt,
                    } => self.start_request(chunk, source, attempt),
                    Action::Cancel {
                        chunk,
                        source,
                        attempt,
                    } => {
                        tracing::info!(chunk, ?source, "chunk request canceled");
                        if let Some(request) = self.in_flight.remove(&attempt) {
                            request.abort();
                        }
                    }
                    Action::Complete => {
                        let took = clock::now().millis_since(started);
                        self.distributor
                            .sustained_peer_requests
                            .set(Some(self.fetch.max_peer_requests()));
                        tracing::info!(
                            version = self.model_version.version.0,
                            took,
                            from_origin = self.chunks_from_origin,
                            "weights complete"
                        );
                        return DownloadEnd::Complete;
                    }
                }
            }
            if self.corrupt_origin_chunks > MAX_CORRUPT_ORIGIN_CHUNKS {
                tracing::error!(
                    "chunks from the origin don't match the manifest; fetching the manifest again"
                );
                return DownloadEnd::ManifestSuspect;
            }
            if let Some(Some(event)) = clock::before(next_poll, self.events.recv()).await {
                self.handle_event(event);
                while let Ok(event) = self.events.try_recv() {
                    self.handle_event(event);
                }
            }
        }
    }

    fn handle_event(&mut self, event: Event) {
        let now = clock::now();
        match event {
            Event::SlowTransfer
                if self
                    .last_halved
                    .after_millis(MIN_HALVING_INTERVAL_MILLIS)
                    .has_passed(now) =>
            {
                self.last_halved = now;
                self.fetch.halve_peer_requests(&mut self.actions);
                tracing::info!(
                    width = self.fetch.max_peer_requests(),
                    "slow chunk transfer; concurrent peer requests halved"
                );
            }
            Event::SlowTransfer => {}
            Event::Progress { chunk, attempt } => self.fetch.record_progress(chunk, attempt, now),
            Event::End {
                chunk,
                attempt,
                outcome,
                source,
            } => {
                self.in_flight.remove(&attempt);
                if outcome == Outcome::Corrupt {
                    tracing::warn!(chunk, ?source, "chunk digest mismatch");
                    self.corrupt_origin_chunks += u32::from(source == Source::Origin);
                }
                if !matches!(outcome, Outcome::Held | Outcome::Corrupt) {
                    tracing::info!(chunk, ?source, ?outcome, "chunk request failed");
                }
                self.chunks_from_origin +=
                    u32::from(outcome == Outcome::Held && source == Source::Origin);
                self.fetch.record_outcome(chunk, attempt, outcome, now);
            }
        }
    }

    fn start_request(&mut self, chunk: u32, source: Source, attempt: u64) {
        let Some(address) = self.sources.address(source) else {
            let outcome = Outcome::Failed;
            let end = Event::End {
                chunk,
                attempt,
                outcome,
                source,
            };
            // The receiver is a field of this download.
            let _ = self.sender.send(end);
            return;
        };
        let request = ChunkRequest {
            distributor: self.distributor.clone(),
            model_version: self.model_version.clone(),
            sources: self.sources.clone(),
            pool: self.pool.clone(),
            sender: self.sender.clone(),
            chunk,
            source,
            attempt,
            address,
            deadline: clock::now().after_millis(self.attempt_timeout_millis),
        };
        self.in_flight
            .insert(attempt, actix_rt::spawn(request.run()));
    }
}
