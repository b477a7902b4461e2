//! Engines and plain services of the box, and the supervisors of engines.
//!
//! A supervisor polls its engine and compares the loaded version with the one that the catalogue
//! assigns. It fetches a new version while the engine serves the old one, drains the engine and
//! orders it to load the new version.
//!
//! Each order carries the current catalogue revision as its fence. An engine that doesn't check
//! fences gets no orders until the key-value service has confirmed the revision to this process, as
//! an earlier run of the process may have sent orders for a later revision.

use {
    super::Backend,
    crate::clock,
    awc::Client as Http,
    gingerpier_base::{Digest, Instant, Name, place::Incarnation},
    gingerpier_catalogue::VersionKey,
    gingerpier_once::dedup::Refusal,
    gingerpier_services::{
        Error,
        engine::{Client, Order, Status as ReportedStatus, What},
        exchange,
    },
    gingerpier_settings::{Backend as Settings, backend},
    gingerpier_weights::Manifest,
    gingerpier_wire::frame::{Attempt, EngineStatus, Phase},
    std::{
        cell::{Cell, RefCell},
        collections::BTreeMap,
        rc::Rc,
        time::Duration,
    },
};

/// Interval between polls of an engine.
const POLL_INTERVAL_MILLIS: u64 = 200;
/// Timeout of an engine's response to an order or a status request.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(5);
/// Time for running requests to end before other weights are loaded.
const DRAIN_TIMEOUT_MILLIS: u64 = 60_000;
/// Requests sent to an engine at once, running and queued, in percent of its capacity.
const MAX_REQUESTS_PERCENT: u32 = 200;

/// Kind of an upstream.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Kind {
    /// Engine that serves a model.
    Model {
        /// True if the engine refuses orders with a stale fence itself.
        checks_fences: bool,
    },
    /// Service without weights.
    Plain,
}

/// Engine or plain service of the box that requests are sent to.
pub struct Upstream {
    /// Name, unique in the deployment.
    pub name: Name,
    /// Kind of engine as in the settings, or name of the service.
    pub kind_name: Name,
    /// Whether this server manages its weights.
    pub kind: Kind,
    /// HTTP client of the engine or service.
    pub client: Client,
    state: RefCell<State>,
    /// Running requests by the entry box process that sent them.
    running_requests: RefCell<BTreeMap<Incarnation, u32>>,
    /// True while the upstream is drained to load other weights.
    is_draining: Cell<bool>,
}

/// Last known state of an upstream and of its supervisor.
#[derive(Default)]
struct State {
    is_reachable: bool,
    last_status: ReportedStatus,
    /// Loaded base weights.
    weights: Option<Digest>,
    /// Loaded adapters.
    adapters: Vec<Digest>,
    assigned: Option<Digest>,
    progress: Progress,
    /// Error that keeps the assigned versions from being loaded.
    error: Option<String>,
}

/// Progress of the fetch of a version.
#[derive(Debug, Clone, Copy, Default)]
pub struct Progress {
    /// Number of cached chunks.
    pub cached_chunks: u32,
    /// Number of chunks of the version.
    pub total_chunks: u32,
    /// Bytes received from the origin.
    pub origin_bytes: u64,
    /// Bytes received from peers.
    pub peer_bytes: u64,
}

/// Guard that counts a running request until it is dropped.
pub struct RunningRequest {
    upstream: Rc<Upstream>,
    entry: Incarnation,
}

impl Drop for RunningRequest {
    fn drop(&mut self) {
        let mut running_requests = self.upstream.running_requests.borrow_mut();
        if let Some(count) = running_requests.get_mut(&self.entry) {
            *count -= 1;
            if *count == 0 {
                running_requests.remove(&self.entry);
            }
        }
    }
}

impl Upstream {
    /// Creates the upstreams that the settings list.
    pub fn all(settings: &Settings, http: &Http) -> Vec<Rc<Self>> {
        let exchange = exchange::Client::default();
        let engines = settings
            .engines
            .iter()
            .map(|engine| Self::engine(engine, http, &exchange));
        let services = settings
            .services
            .iter()
            .map(|service| Self::service(service, http, &exchange));
        engines.chain(services).map(Rc::new).collect()
    }

    fn engine(engine: &backend::Engine, http: &Http, exchange: &exchange::Client) -> Self {
        let client = Client::new(
            http.clone(),
            exchange.clone(),
            engine.url.clone(),
            RESPONSE_TIMEOUT,
        );
        let kind = Kind::Model {
            checks_fences: engine.checks_fences,
        };
        Self::new(&engine.name, &engine.kind, kind, client, State::default())
    }

    fn service(service: &backend::Service, http: &Http, exchange: &exchange::Client) -> Self {
        let client = Client::new(
            http.clone(),
            exchange.clone(),
            service.url.clone(),
            RESPONSE_TIMEOUT,
        );
        let last_status = ReportedStatus {
            capacity: service.capacity,
            ..ReportedStatus::default()
        };
        let state = State {
            is_reachable: true,
            last_status,
            ..State::default()
        };
        Self::new(&service.name, &service.service, Kind::Plain, client, state)
    }

    fn new(name: &Name, kind_name: &Name, kind: Kind, client: Client, state: State) -> Self {
        Self {
            name: name.clone(),
            kind_name: kind_name.clone(),
            kind,
            client,
            state: RefCell::new(state),
            running_requests: RefCell::default(),
            is_draining: Cell::new(false),
        }
    }

    /// Counts a request of an entry box process until the guard is dropped.
    pub fn start_request(self: &Rc<Self>, entry: Incarnation) -> RunningRequest {
        *self.running_requests.borrow_mut().entry(entry).or_default() += 1;
        RunningRequest {
            upstream: self.clone(),
            entry,
        }
    }

    fn running_count(&self) -> u32 {
        self.running_requests.borrow().values().sum()
    }

    /// Checks whether an attempt may start now.
    ///
    /// # Errors
    ///
    /// Returns the reason for the refusal.
    pub fn readiness(&self, attempt: &Attempt) -> Result<(), Refusal> {
        let Attempt {
            weights,
            adapter,
            at_once,
            ..
        } = attempt;
        let state = self.state.borrow();
        if self.is_draining.get() {
            return Err(Refusal::Leaving);
        }
        if !state.is_reachable {
            return Err(Refusal::Unreachable);
        }
        if self.kind != Kind::Plain {
            let has_adapter = adapter.is_none_or(|adapter| state.adapters.contains(&adapter));
            if weights.is_none() || state.weights != *weights || !has_adapter {
                return Err(Refusal::OtherVersion);
            }
        }
        let percent = if *at_once { 100 } else { MAX_REQUESTS_PERCENT };
        let max_requests = state.last_status.capacity * percent / 100;
        if self.running_count() >= max_requests.max(1) {
            Err(Refusal::Full)
        } else {
            Ok(())
        }
    }

    /// Returns the number of running requests that other entry box processes sent.
    ///
    /// All requests to the engine pass through this process, so the count is exact.
    pub fn load_from_others(&self, entry: Incarnation) -> u32 {
        let own = self
            .running_requests
            .borrow()
            .get(&entry)
            .copied()
            .unwrap_or(0);
        self.running_count() - own
    }

    /// Returns the status to report to the entry box process `entry`.
    pub fn status(&self, entry: Incarnation) -> EngineStatus {
        let state = self.state.borrow();
        EngineStatus {
            name: self.name.clone(),
            kind: self.kind_name.clone(),
            plain: self.kind == Kind::Plain,
            phase: self.phase(&state),
            weights: state.weights,
            adapters: state.adapters.clone(),
            others: self.load_from_others(entry),
            capacity: state.last_status.capacity,
            chunks_held: state.progress.cached_chunks,
            chunks_wanted: state.progress.total_chunks,
            origin_bytes: state.progress.origin_bytes,
            peer_bytes: state.progress.peer_bytes,
            trouble: state.error.clone(),
        }
    }

    fn phase(&self, state: &State) -> Phase {
        match (self.kind, state.weights) {
            _ if !state.is_reachable => Phase::Down,
            _ if self.is_draining.get() => Phase::Draining,
            (Kind::Plain, _) => Phase::Ready,
            (_, Some(_)) => Phase::Ready,
            (_, None) if state.assigned.is_some() => Phase::Loading,
            (_, None) => Phase::Empty,
        }
    }

    fn set_error(&self, error: Option<String>) {
        let mut state = self.state.borrow_mut();
        if state.error != error {
            if let Some(trouble) = &error {
                tracing::warn!(event = "engine_trouble", engine = %self.name, trouble);
            }
            state.error = error;
        }
    }
}

/// Versions that the catalogue assigns to an engine.
#[derive(Debug, Clone, PartialEq, Eq)]
struct DesiredVersions {
    base: VersionKey,
    weights: Digest,
    adapters: Vec<Digest>,
}

fn parse_digest(text: &str) -> Option<Digest> {
    text.parse().ok()
}

impl Backend {
    /// Spawns the supervisor of an engine; plain services need none.
    pub fn spawn_engine_supervisor(self: Rc<Self>, upstream: Rc<Upstream>) {
        if upstream.kind == Kind::Plain {
            return;
        }
        actix_rt::spawn(async move {
            loop {
                self.poll_engine(&upstream).await;
                self.notify_status_changed();
                clock::pause(POLL_INTERVAL_MILLIS).await;
            }
        });
    }

    async fn poll_engine(&self, upstream: &Upstream) {
        let status = upstream.client.status(clock::now()).await;
        let desired = self.desired_versions(upstream);
        self.record_status(upstream, status, desired.as_ref());
        let Some(desired) = desired else { return };
        if !upstream.state.borrow().is_reachable {
            return;
        }
        if let Err(error) = self.reconcile(upstream, &desired).await {
            upstream.set_error(Some(error));
        }
        upstream.is_draining.set(false);
    }

    fn desired_versions(&self, upstream: &Upstream) -> Option<DesiredVersions> {
        let catalogue = self.process.catalogue_state.catalogue();
        let base = catalogue.assignments().get(&upstream.name)?.version;
        let zone = &self.process.hello.zone.name;
        let adapters = catalogue.required_adapters(base, zone);
        let adapters = adapters
            .iter()
            .map(|key| catalogue.version(*key).manifest)
            .collect();
        Some(DesiredVersions {
            base,
            weights: catalogue.version(base).manifest,
            adapters,
        })
    }

    /// Updates the state from a poll; a loaded version counts only while a version is assigned.
    fn record_status(
        &self,
        upstream: &Upstream,
        status: Result<ReportedStatus, Error>,
        desired: Option<&DesiredVersions>,
    ) {
        let mut state = upstream.state.borrow_mut();
        state.assigned = desired.map(|desired| desired.weights);
        match status {
            Ok(status) => {
                state.is_reachable = true;
                let loaded = status.weights.as_deref().and_then(parse_digest);
                state.weights = loaded.filter(|_| desired.is_some());
                state.adapters = status
                    .adapters
                    .iter()
                    .filter_map(|text| parse_digest(text))
                    .collect();
                state.last_status = status;
            }
            Err(error) => {
                if std::mem::replace(&mut state.is_reachable, false) {
                    tracing::warn!(event = "engine_down", engine = %upstream.name, %error);
                }
                state.weights = None;
                state.adapters.clear();
            }
        }
    }

    async fn reconcile(
        &self,
        upstream: &Upstream,
        desired: &DesiredVersions,
    ) -> Result<(), String> {
        self.unassign_other_versions(desired);
        if upstream.state.borrow().weights != Some(desired.weights) {
            let Some(manifest) = self.cached_manifest(upstream, desired.weights)? else {
                return Ok(());
            };
            self.check_fence(upstream)?;
            self.drain_upstream(upstream).await;
            return self
                .load_weights(upstream, desired, desired.weights, &manifest, None)
                .await;
        }
        upstream.set_error(None);
        for adapter in &desired.adapters {
            if upstream.state.borrow().adapters.contains(adapter) {
                continue;
            }
            if let Some(manifest) = self.cached_manifest(upstream, *adapter)? {
                self.check_fence(upstream)?;
                let base = Some(desired.weights);
                self.load_weights(upstream, desired, *adapter, &manifest, base)
                    .await?;
            }
        }
        self.unload_adapters(upstream, desired).await
    }

    async fn unload_adapters(
        &self,
        upstream: &Upstream,
        desired: &DesiredVersions,
    ) -> Result<(), String> {
        let loaded = upstream.state.borrow().adapters.clone();
        for adapter in loaded
            .into_iter()
            .filter(|loaded| !desired.adapters.contains(loaded))
        {
            self.check_fence(upstream)?;
            self.send_order(
                upstream,
                What::DropAdapter {
                    weights: adapter.to_string(),
                },
            )
            .await?;
        }
        Ok(())
    }

    /// Marks versions that no engine of the box is assigned as unassigned in the cache.
    fn unassign_other_versions(&self, desired: &DesiredVersions) {
        let assigned = self
            .upstreams
            .iter()
            .filter_map(|upstream| self.desired_versions(upstream));
        let mut assigned: Vec<Digest> = assigned
            .flat_map(|desired| [vec![desired.weights], desired.adapters].concat())
            .collect();
        assigned.push(desired.weights);
        self.weights.unassign_all_but(&assigned);
    }

    /// Returns the manifest if all chunks are cached; starts the fetch of a new version.
    fn cached_manifest(
        &self,
        upstream: &Upstream,
        weights: Digest,
    ) -> Result<Option<Rc<Manifest>>, String> {
        let fetch = self.fetch(weights)?;
        upstream.state.borrow_mut().progress = fetch.progress();
        if let Some(error) = fetch.error() {
            return Err(error);
        }
        Ok(fetch.complete())
    }

    /// Checks that no earlier run of this process can have sent an order with a later fence.
    fn check_fence(&self, upstream: &Upstream) -> Result<(), String> {
        let revision = self.process.catalogue_state.revision().0;
        let engine_fence = upstream.state.borrow().last_status.fence;
        let checks_fences = matches!(
            upstream.kind,
            Kind::Model {
                checks_fences: true
            }
        );
        let reason = if engine_fence > revision {
            format!(
                "the engine has seen fence {engine_fence}, and revision {revision} is in force here"
            )
        } else if !checks_fences && !self.is_confirmed() {
            "the key-value service has not confirmed the revision in force here".to_owned()
        } else {
            return Ok(());
        };
        self.process.metrics.orders_withheld.inc();
        Err(reason)
    }

    /// Stops new requests and waits until the running ones end, or for a limited time.
    async fn drain_upstream(&self, upstream: &Upstream) {
        upstream.is_draining.set(true);
        self.notify_status_changed();
        let deadline: Instant = clock::now().after_millis(DRAIN_TIMEOUT_MILLIS);
        while upstream.running_count() > 0 && !deadline.has_passed(clock::now()) {
            clock::pause(POLL_INTERVAL_MILLIS / 10).await;
        }
    }

    async fn load_weights(
        &self,
        upstream: &Upstream,
        desired: &DesiredVersions,
        weights: Digest,
        manifest: &Manifest,
        base: Option<Digest>,
    ) -> Result<(), String> {
        let prepare = What::Prepare {
            weights: weights.to_string(),
            manifest: to_hex(&manifest.to_bytes()),
            base: base.map(|base| base.to_string()),
        };
        let name = weights.to_string();
        self.send_order(upstream, prepare).await?;
        for (index, digest) in manifest.chunks.iter().enumerate() {
            if self.desired_versions(upstream).as_ref() != Some(desired) {
                return Err("another version was assigned meanwhile".to_owned());
            }
            let chunk = self.weights.chunk(*digest);
            let chunk = chunk.ok_or_else(|| format!("chunk {index} is no longer held"))?;
            let fence = self.process.catalogue_state.revision().0;
            let sent = upstream
                .client
                .give(&name, index as u32, fence, chunk, clock::now())
                .await;
            sent.map_err(|error| error.to_string())?;
        }
        self.send_order(upstream, What::Activate { weights: name })
            .await?;
        tracing::info!(event = "activated", engine = %upstream.name, weights = %weights);
        Ok(())
    }

    async fn send_order(&self, upstream: &Upstream, what: What) -> Result<(), String> {
        let order = Order {
            fence: self.process.catalogue_state.revision().0,
            what,
        };
        let sent = upstream.client.order(&order, clock::now()).await;
        sent.map_err(|error| error.to_string())
    }
}

fn to_hex(bytes: &[u8]) -> String {
    use std::fmt::Write;
    let mut text = String::with_capacity(bytes.len() * 2);
    for byte in bytes {
        // Writing to a string never fails.
        let _ = write!(text, "{byte:02x}");
    }
    text
}
