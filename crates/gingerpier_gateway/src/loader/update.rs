//! Keeps the engine at the current release of its model.

use {
    super::{
        Loader,
        activation::{self, Announcement, OrderOutcome},
        sync,
    },
    crate::{
        clock,
        weights::{self, fetch, sources::FetchSpec},
    },
    gingerpier_base::{Instant, order},
    gingerpier_serving::{
        platform_api::ModelVersion,
        report::Version,
        update_schedule::{self, Bound, Position},
    },
    gingerpier_weights::{
        Holders, Route,
        plan::{Plan, Replica, ReplicaKey, Source},
    },
    std::{net::SocketAddr, rc::Rc},
};

/// Fan-out of the distribution tree of a chunk.
const TREE_FAN_OUT: u32 = 3;

/// Limit on concurrent requests to the origin.
const MAX_ORIGIN_REQUESTS: usize = 2;

/// Time limit for one chunk from a gateway that is still waiting for it. Outlasts a short origin
/// outage, as a request to another gateway would make the origin send a second copy.
const GATEWAY_CHUNK_TIMEOUT_MILLIS: u64 = 10_000;

/// Time limit for one chunk from another loader that is still waiting for it.
const TREE_CHUNK_TIMEOUT_MILLIS: u64 = 4_000;

/// Concurrent chunk requests to gateways.
const GATEWAY_WINDOW: usize = 24;

/// Concurrent chunk requests to other loaders.
const TREE_WINDOW: usize = 24;

/// Concurrent transfers from gateways. A single one can fill this machine's link, where it delays
/// requests for the engine.
const MAX_GATEWAY_TRANSFERS: usize = 2;

/// Concurrent transfers from other loaders.
const MAX_TREE_TRANSFERS: usize = 6;

/// Other loaders to request chunks from.
const MAX_HOLDERS: usize = 4;

/// Time after a release by which manifests are available.
const MANIFEST_DELAY_MILLIS: u64 = 300;

/// Time that an engine may take to start before its target version is fetched without its report.
/// After a common restart, the engine may turn out to have the same version as others.
const ENGINE_STARTUP_MILLIS: u64 = 500;

/// Interval between checks of the loaded version.
const POLL_INTERVAL_MILLIS: u64 = 50;

/// Interval between refreshes of the engine list during a fetch from the origin without any
/// gateway.
const REFRESH_INTERVAL_MILLIS: u64 = 5_000;

/// Pause after a failed round.
const RETRY_PAUSE_MILLIS: u64 = 200;

/// Backoff after an accepted order that failed; doubles with each failure in a row. The weights may
/// crash the engine.
const FAILURE_BACKOFF_MILLIS: u64 = 500;

/// Limit on doublings of the backoff. Limits the backoff to 16 s, so that an engine that crashed
/// repeatedly of another cause is tried again.
const MAX_BACKOFF_DOUBLINGS: u32 = 5;

/// Fraction of cached chunks from which a version is completed despite a newer release. Lower than
/// at gateways, which fetch ahead.
const MIN_FRACTION_TO_FINISH: f64 = 0.25;

/// A running update of the engine to a version.
struct Update {
    model_version: ModelVersion,
    task: actix_rt::task::JoinHandle<()>,
}

impl Update {
    fn is_running(&self) -> bool {
        !self.task.is_finished()
    }
}

/// Fetches and activates the target version whenever the engine lacks it; runs forever.
pub async fn run(loader: Rc<Loader>) {
    let mut updates: Vec<Update> = Vec::new();
    let mut startup_deadline: Option<Instant> = None;
    let mut last_refresh = clock::now();
    loop {
        clock::pause(POLL_INTERVAL_MILLIS).await;
        updates.retain(Update::is_running);
        cancel_outdated(&loader, &updates);
        if has_only_origin(&loader, &updates) {
            let next_refresh = last_refresh.after_millis(REFRESH_INTERVAL_MILLIS);
            if next_refresh.has_passed(clock::now()) {
                sync::refresh_engines(&loader).await;
                last_refresh = clock::now();
            }
        }
        // A running engine reports its version first; while it is down, fetching may start anyway.
        let is_engine_up = loader.report.borrow().is_some();
        let Some(target) = loader.target() else {
            continue;
        };
        // Without a known version, the engine may have the version that others will report.
        let has_version = target.version > Version::default();
        let now = clock::now();
        if has_version {
            startup_deadline.get_or_insert(now.after_millis(ENGINE_STARTUP_MILLIS));
        }
        let is_startup_over =
            startup_deadline.is_some_and(|startup_deadline| startup_deadline.has_passed(now));
        if !is_engine_up && !is_startup_over {
            continue;
        }
        if !is_missing(&loader, &updates, &target) {
            continue;
        }
        sync::refresh_engines(&loader).await;
        // The refresh may have revealed versions of other engines.
        let Some(target) = loader.target() else {
            continue;
        };
        if !is_missing(&loader, &updates, &target) {
            continue;
        }
        for update in &updates {
            if loader.distributor.cached_fraction(&update.model_version) < MIN_FRACTION_TO_FINISH {
                loader
                    .distributor
                    .cancel_fetch(&update.model_version, &update.task);
            }
        }
        let loaded = loader.loaded_version(&target.model);
        tracing::info!(version = target.version.0, held = ?loaded, "weights wanted");
        loader
            .distributor
            .fetching
            .borrow_mut()
            .push(target.clone());
        let task = actix_rt::spawn(fetch_and_activate(loader.clone(), target.clone()));
        updates.push(Update {
            model_version: target,
            task,
        });
    }
}

/// True if the engine lacks `target` and no update to it is running.
fn is_missing(loader: &Loader, updates: &[Update], target: &ModelVersion) -> bool {
    let loaded = loader.loaded_version(&target.model);
    let is_loaded = loaded.is_some_and(|loaded| loaded >= target.version);
    !is_loaded && updates.iter().all(|update| update.model_version != *target)
}

/// True while the origin's newest version is being fetched and no gateway is known.
fn has_only_origin(loader: &Loader, updates: &[Update]) -> bool {
    let has_no_version = |update: &Update| update.model_version.version == Version::default();
    loader.subscribers.borrow().is_empty() && updates.iter().any(has_no_version)
}

/// Cancels fetches of versions older than a complete one.
fn cancel_outdated(loader: &Loader, updates: &[Update]) {
    let newest = loader.newest_complete();
    let is_outdated = |update: &&Update| Some(update.model_version.version) < newest;
    for update in updates.iter().filter(is_outdated) {
        if !loader.is_complete(update.model_version.version) {
            loader
                .distributor
                .cancel_fetch(&update.model_version, &update.task);
        }
    }
}

fn update_bound(loader: &Loader) -> Bound {
    weights::update_bound(loader.settings.version_within.0)
}

async fn fetch_and_activate(loader: Rc<Loader>, target: ModelVersion) {
    let model_version = fetch::fetch(&loader.distributor, || fetch_spec(&loader, &target)).await;
    loader.mark_complete(model_version.version);
    let mut failures = 0;
    loop {
        wait_until_order_allowed(&loader, &model_version).await;
        // The engine's staging area has room for one version.
        let _guard = loader.engine_lock.lock().await;
        let is_loaded = loader
            .loaded_version(&model_version.model)
            .is_some_and(|loaded| loaded >= model_version.version);
        if is_loaded || loader.newest_complete() > Some(model_version.version) {
            return;
        }
        if !is_order_allowed(&loader, &model_version) {
            // Another order was carried out in the meantime.
            continue;
        }
        let announcement = Announcement::send(&loader, &model_version).await;
        let verification = activation::stage_chunks(&loader, &model_version).await;
        let outcome = match verification {
            Some(verification) => {
                activation::order_start(&loader, &model_version, &announcement, verification).await
            }
            None => OrderOutcome::NotAccepted,
        };
        drop(announcement);
        match outcome {
            OrderOutcome::Loaded => return,
            OrderOutcome::Expired => {}
            OrderOutcome::NotAccepted => clock::pause(RETRY_PAUSE_MILLIS).await,
            OrderOutcome::Failed => {
                let pause = FAILURE_BACKOFF_MILLIS << failures.min(MAX_BACKOFF_DOUBLINGS);
                failures += 1;
                tracing::warn!(
                    version = model_version.version.0,
                    vain = failures,
                    pause,
                    "engine did not load the ordered weights; retrying"
                );
                clock::pause(pause).await;
            }
        }
    }
}

/// Fetches from gateways, or through trees of loaders if no gateway is known.
fn fetch_spec(loader: &Loader, model_version: &ModelVersion) -> FetchSpec {
    let port = loader.settings.peers.port();
    let peers = loader.peers();
    let loaders = peers.iter().map(|peer| SocketAddr::new(peer.ip, port));
    let origin = loader.origin();
    let connections = origin.map_or(0, |origin| origin.max_connections as usize);
    let origin_concurrency = (connections / peers.len()).clamp(1, MAX_ORIGIN_REQUESTS);
    let tree_spec = FetchSpec {
        model_version: model_version.clone(),
        route: Route::Tree {
            plan: tree_plan(loader, &peers, model_version),
            own: ReplicaKey(0),
            holders: serving_loaders(loader, &peers, model_version),
        },
        peers: loaders.clone().collect(),
        window: TREE_WINDOW,
        attempt_timeout_millis: TREE_CHUNK_TIMEOUT_MILLIS,
        origin,
        origin_concurrency,
        link_concurrency: MAX_TREE_TRANSFERS,
        origin_start: coordinated_start(loader, model_version),
    };
    let gateways = loader.gateways();
    // Gateways only relay numbered versions; the origin's newest is fetched without them.
    let has_no_version = model_version.version == Version::default();
    if gateways.is_empty() || has_no_version || !loader.settings.weights_from_gateways {
        return tree_spec;
    }
    let relay_set = weights::relay_set(
        gateways.into_iter(),
        &loader.settings.regions,
        model_version.version,
    );
    let first_holder_key = relay_set.addresses.len();
    let holders = loaders.skip(1).take(MAX_HOLDERS);
    let addresses: Vec<SocketAddr> = relay_set.addresses.into_iter().chain(holders).collect();
    let holder_keys = first_holder_key..addresses.len();
    // Only gateways fetch from the origin, as many loaders would divide its bandwidth.
    let rest = holder_keys.map(|key| Source::Holder(ReplicaKey(key as u32)));
    FetchSpec {
        route: Route::Leaf {
            relays: relay_set.relays,
            zone: weights::zone_hash(&loader.settings.zone),
            fallbacks: rest.collect(),
        },
        peers: addresses,
        window: GATEWAY_WINDOW,
        attempt_timeout_millis: GATEWAY_CHUNK_TIMEOUT_MILLIS,
        link_concurrency: MAX_GATEWAY_TRANSFERS,
        origin_start: None,
        ..tree_spec
    }
}

/// Loaders whose engines serve `model_version`.
fn serving_loaders(
    loader: &Loader,
    peers: &[super::Peer],
    model_version: &ModelVersion,
) -> Holders {
    let serving = loader.machines_serving(model_version);
    let keys = (1..peers.len()).filter(|key| serving.contains(&peers[*key].ip));
    Holders(keys.map(|key| ReplicaKey(key as u32)).collect())
}

fn tree_plan(loader: &Loader, peers: &[super::Peer], model_version: &ModelVersion) -> Plan {
    let replicas: Vec<Replica> = peers
        .iter()
        .map(|peer| Replica {
            identity: peer.identity(),
            region: weights::region_hash(&loader.settings.regions, &peer.zone),
            zone: weights::zone_hash(&peer.zone),
        })
        .collect();
    Plan::new(order::mix(model_version.version.0), &replicas, TREE_FAN_OUT)
}

/// Time of the first origin request for a recent release.
fn coordinated_start(loader: &Loader, model_version: &ModelVersion) -> Option<Instant> {
    let first_known = loader.first_known_at(model_version)?;
    let first_request = first_known.after_millis(MANIFEST_DELAY_MILLIS);
    (clock::now().millis_since(first_known) < MANIFEST_DELAY_MILLIS).then_some(first_request)
}

/// True once the engine may be ordered to load `model_version`. While it carries out another order,
/// its next version is unknown.
fn is_order_allowed(loader: &Loader, model_version: &ModelVersion) -> bool {
    let loaded = loader.loaded_version(&model_version.model);
    let releases = loader.release_times(&model_version.model);
    let complete_at = loader.complete_since(loaded);
    let order_at = update_schedule::order_at(
        loaded,
        &releases,
        complete_at,
        own_position(loader),
        &update_bound(loader),
    );
    loader.is_engine_idle() && order_at.has_passed(clock::now())
}

async fn wait_until_order_allowed(loader: &Loader, model_version: &ModelVersion) {
    while !is_order_allowed(loader, model_version) {
        clock::pause(POLL_INTERVAL_MILLIS).await;
    }
}

fn own_position(loader: &Loader) -> Position {
    let peers = loader.peers();
    let members: Vec<u64> = peers.iter().map(super::Peer::identity).collect();
    // This process comes first in its list of peers.
    update_schedule::position(peers[0].identity(), &members)
}
