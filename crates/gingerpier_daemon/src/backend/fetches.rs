//! Fetches of versions: runs the plan's requests and keeps partial chunks.

use {
    super::{
        Backend,
        chunk_requests::{ChunkRequest, ChunkRequests, Failure, FinishedRequest},
        upstreams::Progress,
        weights_cache::CachedManifest,
        weights_server::MAX_WAIT_MILLIS,
    },
    crate::clock,
    bytes::BytesMut,
    gingerpier_base::{Digest, Instant, Name, order},
    gingerpier_catalogue::Revision,
    gingerpier_services::weight_source,
    gingerpier_weights::{
        Fetch, Manifest, Plan,
        fetch::{Action, Policy},
        plan::{Replica, ReplicaKey, Source},
    },
    gingerpier_wire::{Reply, Request, frame::Peer},
    std::{
        cell::{Cell, RefCell},
        collections::{BTreeMap, BTreeSet},
        rc::{Rc, Weak},
        time::Duration,
    },
    tokio::sync::mpsc,
};

/// Interval between checks of deadlines.
const POLL_INTERVAL_MILLIS: u64 = 50;
/// Delay before a manifest is requested again.
const MANIFEST_RETRY_MILLIS: u64 = 500;
/// Timeout of each part of the origin's response.
const ORIGIN_TIMEOUT: Duration = Duration::from_secs(5);
/// Limit on the size of a manifest from a peer.
const MAX_MANIFEST_BYTES: u32 = gingerpier_weights::manifest::MAX_BYTES as u32;

/// Fetch of a version, running or complete.
pub struct VersionFetch {
    pub(super) version: Digest,
    /// Scheduler of requests; `None` until the manifest is known.
    pub(super) scheduler: RefCell<Option<Fetch>>,
    /// The manifest, once all chunks are cached.
    pub(super) complete: RefCell<Option<Rc<Manifest>>>,
    /// Error that delays the fetch.
    pub(super) error: RefCell<Option<String>>,
    pub(super) origin_bytes: Cell<u64>,
    pub(super) peer_bytes: Cell<u64>,
    /// Partial chunks by index.
    pub(super) partial_chunks: RefCell<BTreeMap<u32, PartialChunk>>,
    /// Inputs of the current plan.
    plan_inputs: Cell<Option<PlanInputs>>,
    /// Time of the last message of each source in the current plan.
    pub(super) last_message_at: RefCell<BTreeMap<Source, Instant>>,
    /// Replicas of the current plan, in the order of its keys.
    pub(super) replicas: RefCell<Vec<Peer>>,
}

/// Inputs of a plan; equal inputs produce the same plan.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct PlanInputs {
    revision: Revision,
    directory_generation: u64,
}

/// Received part of a chunk; a request to another source resumes behind it.
#[derive(Default)]
pub(super) struct PartialChunk {
    pub(super) bytes: BytesMut,
    /// Sources that sent parts of it.
    pub(super) sources: BTreeSet<Source>,
}

/// Location of a version's weights at the origin.
pub(super) struct Origin {
    pub(super) client: weight_source::Client,
    pub(super) folder: String,
}

impl VersionFetch {
    /// Returns the progress of the fetch.
    pub fn progress(&self) -> Progress {
        let state = self.scheduler.borrow();
        Progress {
            cached_chunks: state.as_ref().map_or(0, Fetch::cached_count),
            total_chunks: state.as_ref().map_or(0, Fetch::chunk_count),
            origin_bytes: self.origin_bytes.get(),
            peer_bytes: self.peer_bytes.get(),
        }
    }

    /// Returns the error that delays the fetch, if any.
    pub fn error(&self) -> Option<String> {
        self.error.borrow().clone()
    }

    /// Returns the manifest if all chunks are cached.
    pub fn complete(&self) -> Option<Rc<Manifest>> {
        self.complete.borrow().clone()
    }

    pub(super) fn record_progress(&self, chunk: u32, attempt: u64) {
        if let Some(state) = self.scheduler.borrow_mut().as_mut() {
            state.record_progress(chunk, attempt, clock::now());
        }
    }

    /// Records that `source` sent a message about `chunk`.
    pub(super) fn record_message(&self, source: Source, chunk: u32, attempt: u64) {
        let now = clock::now();
        self.last_message_at.borrow_mut().insert(source, now);
        if let Some(state) = self.scheduler.borrow_mut().as_mut() {
            state.record_progress(chunk, attempt, now);
            match source.replica() {
                Some(peer) => state.record_peer_message(peer, now),
                None => state.record_origin_message(now),
            }
        }
    }

    pub(super) fn request_ahead(&self, chunk: u32) {
        if let Some(state) = self.scheduler.borrow_mut().as_mut() {
            state.request_ahead(chunk);
        }
    }
}

impl Backend {
    /// Returns the fetch of a version; starts it if there is none.
    ///
    /// # Errors
    ///
    /// Fails if the version is unknown or doesn't fit into the cache.
    pub fn fetch(&self, version: Digest) -> Result<Rc<VersionFetch>, String> {
        let catalogue = self.process.catalogue_state.catalogue();
        let key = catalogue.version_by_digest(version);
        let key = key.ok_or_else(|| format!("no version has the manifest {version}"))?;
        self.weights
            .reserve(version, catalogue.version(key).bytes)?;
        if let Some(fetch) = self.weights.fetch(version) {
            return Ok(fetch);
        }
        let fetch = Rc::new(VersionFetch {
            version,
            scheduler: RefCell::new(None),
            complete: RefCell::new(None),
            error: RefCell::new(None),
            origin_bytes: Cell::new(0),
            peer_bytes: Cell::new(0),
            partial_chunks: RefCell::default(),
            last_message_at: RefCell::default(),
            replicas: RefCell::default(),
            plan_inputs: Cell::new(None),
        });
        self.weights.insert_fetch(version, fetch.clone());
        let url = self.settings.weights.origin.clone();
        let client = weight_source::Client::new(self.process.http.clone(), url, ORIGIN_TIMEOUT);
        let origin = Rc::new(Origin {
            client,
            folder: catalogue.version(key).source.clone(),
        });
        let backend = self.to_rc();
        let weak_fetch = Rc::downgrade(&fetch);
        actix_rt::spawn(async move {
            if let Some(backend) = backend {
                backend.run_fetch(weak_fetch, origin).await;
            }
        });
        Ok(fetch)
    }

    /// Runs until the version is complete or dropped from the cache.
    async fn run_fetch(self: Rc<Self>, weak_fetch: Weak<VersionFetch>, origin: Rc<Origin>) {
        let Some(manifest) = self.fetch_manifest(&weak_fetch, &origin).await else {
            return;
        };
        let (finished_sender, mut finished_receiver) = mpsc::unbounded_channel();
        let mut requests = ChunkRequests::default();
        let mut actions = Vec::new();
        let mut next_poll_at = clock::now();
        loop {
            let Some(fetch) = weak_fetch.upgrade() else {
                return;
            };
            self.update_plan(&fetch, &manifest);
            let now = clock::now();
            if let Some(state) = fetch.scheduler.borrow_mut().as_mut() {
                state.record_poll(next_poll_at, now);
                state.poll(now, &mut actions);
            }
            next_poll_at = now.after_millis(POLL_INTERVAL_MILLIS);
            for action in actions.drain(..) {
                match action {
                    Action::Request {
                        chunk,
                        source,
                        attempt,
                    } => {
                        let request = ChunkRequest {
                            backend: self.clone(),
                            fetch: fetch.clone(),
                            origin: origin.clone(),
                            manifest: manifest.clone(),
                            chunk,
                            source,
                            attempt,
                            received_bytes: Cell::new(0),
                        };
                        requests.start(request, finished_sender.clone());
                    }
                    Action::Cancel {
                        chunk,
                        source,
                        attempt,
                    } => {
                        requests.cancel(attempt);
                        self.log_stall(&fetch, chunk, source, now);
                    }
                    Action::Complete => {
                        tracing::info!(event = "version_complete", weights = %fetch.version,
                            origin_bytes = fetch.origin_bytes.get(),
                            peer_bytes = fetch.peer_bytes.get());
                        fetch.complete.replace(Some(manifest));
                        self.notify_status_changed();
                        return;
                    }
                }
            }
            drop(fetch);
            let next = clock::before(next_poll_at, finished_receiver.recv());
            if let Some(Some(FinishedRequest {
                chunk,
                attempt,
                outcome,
            })) = next.await
            {
                requests.cancel(attempt);
                let Some(fetch) = weak_fetch.upgrade() else {
                    return;
                };
                if let Some(state) = fetch.scheduler.borrow_mut().as_mut() {
                    state.record_outcome(chunk, attempt, outcome, clock::now());
                }
            }
        }
    }

    /// Logs a cancelled request, with data that tells a silent source from a lossy link and from
    /// one lost request.
    fn log_stall(&self, fetch: &VersionFetch, chunk: u32, source: Source, now: Instant) {
        let message_at = fetch.last_message_at.borrow().get(&source).copied();
        let heard_millis_ago = message_at.map(|at| now.millis_since(at));
        let link = fetch
            .peer(source)
            .and_then(|peer| self.existing_link(&peer.name));
        let path = link.map(|link| link.path());
        let (rtt_micros, lost_packets) = path
            .map(|path| (path.rtt.as_micros() as u64, path.lost_packets))
            .unzip();
        let source = fetch.describe(source);
        tracing::warn!(event = "source_stalled", weights = %fetch.version, chunk, source,
            heard_millis_ago, rtt_micros, lost_packets);
    }

    /// Updates the plan if the replicas have changed.
    fn update_plan(&self, fetch: &VersionFetch, manifest: &Manifest) {
        let plan_inputs = PlanInputs {
            revision: self.process.catalogue_state.revision(),
            directory_generation: self.directory.generation(),
        };
        if fetch.plan_inputs.replace(Some(plan_inputs)) == Some(plan_inputs) {
            return;
        }
        let replicas = self.replicas(fetch.version);
        let has_state = fetch.scheduler.borrow().is_some();
        if has_state && *fetch.replicas.borrow() == replicas {
            return;
        }
        let (plan, own_index) = self.plan(fetch.version, &replicas);
        let mut state = fetch.scheduler.borrow_mut();
        match state.as_mut() {
            Some(state) => state.replan(plan, own_index),
            None => {
                let chunk_count = manifest.chunks.len() as u32;
                let mut new_state = Fetch::new(self.fetch_policy(), plan, own_index, chunk_count);
                let cached = manifest.chunks.iter().enumerate();
                for (index, _) in
                    cached.filter(|(_, digest)| self.weights.chunk(**digest).is_some())
                {
                    new_state.record_cached(index as u32);
                }
                *state = Some(new_state);
            }
        }
        // Keys are valid within one plan only.
        fetch.last_message_at.take();
        fetch.replicas.replace(replicas);
    }

    fn fetch_policy(&self) -> Policy {
        let settings = &self.settings.weights;
        Policy {
            window: settings.window as usize,
            stall_millis: settings.stall.0,
            ..Policy::default()
        }
    }

    /// Returns the boxes that are assigned a version, including this one, sorted by name.
    fn replicas(&self, version: Digest) -> Vec<Peer> {
        let catalogue = self.process.catalogue_state.catalogue();
        let Some(key) = catalogue.version_by_digest(version) else {
            return Vec::new();
        };
        let names: BTreeSet<&Name> = catalogue
            .holders(key)
            .map(|assignment| &assignment.server)
            .collect();
        let mut replicas = self.directory.available_peers(&names);
        let own = &self.process.hello;
        if !replicas.iter().any(|peer| peer.name == own.name) {
            replicas.push(Peer {
                name: own.name.clone(),
                role: own.role,
                zone: own.zone.clone(),
                address: own.address.clone(),
                listing: gingerpier_membership::Listing::Live,
                incarnation: Some(own.incarnation),
            });
        }
        replicas.sort_by(|a, b| a.name.cmp(&b.name));
        replicas
    }

    fn plan(&self, version: Digest, replicas: &[Peer]) -> (Plan, ReplicaKey) {
        let mut plan_replicas = Vec::with_capacity(replicas.len());
        for peer in replicas {
            plan_replicas.push(Replica {
                identity: order::hash(&peer.name),
                region: order::hash(&peer.zone.region),
                zone: order::hash(&peer.zone),
            });
        }
        let plan = Plan::new(
            order::hash(&version),
            &plan_replicas,
            self.settings.weights.fan_out,
        );
        let own_index = replicas
            .iter()
            .position(|peer| peer.name == self.process.hello.name);
        (plan, ReplicaKey(own_index.unwrap_or_default() as u32))
    }

    /// Fetches the manifest along the distribution tree of chunk 0, so that the origin sends it
    /// once.
    async fn fetch_manifest(
        &self,
        weak_fetch: &Weak<VersionFetch>,
        origin: &Origin,
    ) -> Option<Rc<Manifest>> {
        loop {
            let version = weak_fetch.upgrade()?.version;
            if let Some(cached) = self.weights.manifest(version) {
                return Some(cached.manifest);
            }
            let replicas = self.replicas(version);
            let (plan, own_index) = self.plan(version, &replicas);
            let mut sources = Vec::new();
            plan.sources(own_index, 0, &mut sources);
            let mut last_error = None;
            let mut retry_at = clock::now().after_millis(MANIFEST_RETRY_MILLIS);
            for source in sources {
                match self
                    .request_manifest(version, source, &replicas, origin)
                    .await
                {
                    Ok(cached) => {
                        weak_fetch.upgrade()?.error.replace(None);
                        self.weights.insert_manifest(version, cached.clone());
                        return Some(cached.manifest);
                    }
                    Err(Failure::Failed(error)) => last_error = Some(error),
                    Err(Failure::Busy(until)) => {
                        retry_at = until;
                        last_error = Some("the origin asks to come back later".to_owned());
                    }
                }
            }
            weak_fetch.upgrade()?.error.replace(last_error);
            clock::until(retry_at).await;
        }
    }

    async fn request_manifest(
        &self,
        version: Digest,
        source: Source,
        replicas: &[Peer],
        origin: &Origin,
    ) -> Result<CachedManifest, Failure> {
        let (Source::Replica(key) | Source::Holder(key)) = source else {
            let read = origin
                .client
                .manifest(&origin.folder, version, clock::now())
                .await;
            let (manifest, bytes) = read?;
            return Ok(CachedManifest {
                manifest: Rc::new(manifest),
                bytes,
            });
        };
        let peer = replicas
            .get(key.0 as usize)
            .ok_or_else(|| "the plan has moved on".to_owned())?;
        let wait = matches!(source, Source::Replica(_));
        let link = self.connect_to(peer).await?;
        let mut stream = link.open().await?;
        let bytes = async {
            stream.send(&Request::ManifestOf { version, wait }).await?;
            stream.finish();
            loop {
                match stream.receive::<Reply>().await? {
                    Reply::Pending => {}
                    Reply::Chunk { length } if length <= MAX_MANIFEST_BYTES => {
                        return stream.receive_exact(length as usize).await.map(Some);
                    }
                    _ => return Ok(None),
                }
            }
        };
        let bytes = actix_rt::time::timeout(Duration::from_millis(MAX_WAIT_MILLIS), bytes).await;
        let bytes = bytes.map_err(|_| format!("{} gave no manifest in time", peer.name))?;
        let bytes = bytes.map_err(|error: gingerpier_link::Error| Failure::from(error))?;
        let bytes = bytes.ok_or_else(|| format!("{} does not have the manifest", peer.name))?;
        let manifest = Manifest::from_bytes(&bytes, version).map_err(|error| error.to_string())?;
        Ok(CachedManifest {
            manifest: Rc::new(manifest),
            bytes: bytes.into(),
        })
    }
}

impl VersionFetch {
    pub(super) fn peer(&self, source: Source) -> Option<Peer> {
        match source {
            Source::Replica(key) | Source::Holder(key) => {
                self.replicas.borrow().get(key.0 as usize).cloned()
            }
            Source::Origin => None,
        }
    }

    pub(super) fn describe(&self, source: Source) -> String {
        self.peer(source)
            .map_or_else(|| "origin".to_owned(), |peer| peer.name.to_string())
    }
}
