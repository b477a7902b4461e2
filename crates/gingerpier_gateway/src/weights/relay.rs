//! Relays weights through a gateway to the loaders of its availability zone.

use {
    super::{GatewayLocation, RelaySet, fetch, sources::FetchSpec},
    crate::{clock, state::State, weights},
    gingerpier_base::order,
    gingerpier_serving::{engine::Engine, platform_api::ModelVersion, report::Version},
    gingerpier_weights::{
        Holders, Route,
        plan::{ReplicaKey, Source},
    },
    std::{collections::BTreeSet, net::SocketAddr, rc::Rc},
};

/// Delay after startup. Before other gateways are known, this one would fetch chunks from the
/// origin that others already fetch.
const STARTUP_DELAY_MILLIS: u64 = 400;

/// Interval between checks for versions to fetch.
const POLL_INTERVAL_MILLIS: u64 = 25;

/// Concurrent chunk transfers from other gateways.
const MAX_PEER_TRANSFERS: usize = 8;

/// Time limit for one chunk from another gateway.
const CHUNK_TIMEOUT_MILLIS: u64 = 5_000;

/// Concurrent chunk requests.
const WINDOW: usize = 16;

/// Concurrent requests to the origin.
const MAX_ORIGIN_REQUESTS: usize = 1;

/// Time without a new chunk of an older version after which a newer one stops waiting for it.
const OLDER_STALL_MILLIS: u64 = 700;

/// Fraction of cached chunks from which an older version is completed before a newer one starts.
/// The rest takes less time than the newer version would lose by starting over.
const MIN_FRACTION_TO_FINISH: f64 = 0.5;

/// Delay after a version is first known before loaders are requested for its chunks, as none can
/// have them earlier.
const HOLDER_DELAY_MILLIS: u64 = 1_000;

/// Limit on loaders in a route; a fetch requests only some of them for each chunk. Each of them is
/// then asked for one chunk in 16.
const MAX_HOLDERS: usize = 32;

/// A running fetch of a version.
struct FetchTask {
    model_version: ModelVersion,
    task: actix_rt::task::JoinHandle<ModelVersion>,
}

/// Fetches released versions that some engine lacks, and versions that loaders request.
pub async fn run(state: Rc<State>) {
    let mut fetches: Vec<FetchTask> = Vec::new();
    clock::pause(STARTUP_DELAY_MILLIS).await;
    loop {
        clock::pause(POLL_INTERVAL_MILLIS).await;
        let requested = state.distributor.requested_version.borrow_mut().take();
        let released = state
            .newest_releases()
            .into_iter()
            .filter(|model_version| is_needed(&state, model_version));
        let wanted: Vec<ModelVersion> = requested.into_iter().chain(released).collect();
        for model_version in wanted {
            let is_started = fetches
                .iter()
                .any(|fetch_task| fetch_task.model_version == model_version);
            let has_version = model_version.version > Version::default();
            if has_version && !is_started && is_obtainable(&state, &model_version) {
                start_fetch(&state, &mut fetches, model_version);
            }
        }
        cancel_outdated(&state, &fetches);
        cancel_unobtainable(&state, &mut fetches);
    }
}

fn start_fetch(state: &Rc<State>, fetches: &mut Vec<FetchTask>, model_version: ModelVersion) {
    tracing::info!(
        model = model_version.model,
        version = model_version.version.0,
        "weights carried"
    );
    let running = fetches.iter().filter(|fetch_task| {
        fetch_task.model_version.version < model_version.version && !fetch_task.task.is_finished()
    });
    let mut older: Option<ModelVersion> = None;
    for fetch_task in running {
        if state.distributor.cached_fraction(&fetch_task.model_version) < MIN_FRACTION_TO_FINISH {
            state
                .distributor
                .cancel_fetch(&fetch_task.model_version, &fetch_task.task);
        } else {
            older = Some(fetch_task.model_version.clone());
        }
    }
    state
        .distributor
        .fetching
        .borrow_mut()
        .push(model_version.clone());
    let task_state = state.clone();
    let target = model_version.clone();
    let task = actix_rt::spawn(async move {
        if let Some(older) = older {
            wait_for_older(&task_state, &older).await;
        }
        fetch::fetch(&task_state.distributor, || fetch_spec(&task_state, &target)).await
    });
    fetches.push(FetchTask {
        model_version,
        task,
    });
}

/// Waits while chunks of `older` keep arriving, so that two versions don't share the origin's link.
async fn wait_for_older(state: &State, older: &ModelVersion) {
    let mut last_count = state.distributor.cached_count(older);
    loop {
        let deadline = clock::now().after_millis(OLDER_STALL_MILLIS);
        while state.distributor.cached_count(older) == last_count {
            if state.distributor.is_complete(older) || deadline.has_passed(clock::now()) {
                return;
            }
            clock::pause(POLL_INTERVAL_MILLIS).await;
        }
        last_count = state.distributor.cached_count(older);
    }
}

/// Cancels fetches of versions older than a complete one.
fn cancel_outdated(state: &State, fetches: &[FetchTask]) {
    let finished = fetches
        .iter()
        .filter(|fetch_task| fetch_task.task.is_finished());
    let Some(newest) = finished
        .map(|fetch_task| fetch_task.model_version.version)
        .max()
    else {
        return;
    };
    let running = fetches
        .iter()
        .filter(|fetch_task| !fetch_task.task.is_finished());
    for fetch_task in running.filter(|fetch_task| fetch_task.model_version.version < newest) {
        state
            .distributor
            .cancel_fetch(&fetch_task.model_version, &fetch_task.task);
    }
}

fn is_obtainable(state: &State, model_version: &ModelVersion) -> bool {
    state
        .available_versions(&model_version.model)
        .may_be_available(model_version.version)
}

/// Cancels fetches without a single chunk whose version the origin doesn't have. Such a fetch makes
/// requests for older versions fail.
fn cancel_unobtainable(state: &State, fetches: &mut Vec<FetchTask>) {
    fetches.retain(|fetch_task| {
        let is_empty = state.distributor.cached_count(&fetch_task.model_version) == 0;
        let is_unobtainable = is_empty && !is_obtainable(state, &fetch_task.model_version);
        if is_unobtainable {
            state
                .distributor
                .cancel_fetch(&fetch_task.model_version, &fetch_task.task);
        }
        !is_unobtainable
    });
}

/// True if some engine lacks `model_version`.
fn is_needed(state: &State, model_version: &ModelVersion) -> bool {
    let fleet = state.fleet.borrow();
    let now = clock::now();
    let versions = fleet
        .listed()
        .filter_map(|(_, engine)| engine.loaded_version(&model_version.model, now));
    versions
        .min()
        .is_some_and(|least| least < model_version.version)
}

fn known_relays(state: &State, version: Version) -> RelaySet {
    let own = GatewayLocation {
        address: state.settings.peers,
        zone: state.settings.zone.clone(),
    };
    let mut known = state.alive_gateways();
    known.insert(own);
    weights::relay_set(known.into_iter(), &state.settings.regions, version)
}

/// Loaders to request chunks of `model_version` from before the origin: those whose engines serve
/// it, else all that may have some of its chunks. Prefers loaders in the own zone.
fn holder_addresses(state: &State, model_version: &ModelVersion) -> Vec<SocketAddr> {
    let now = clock::now();
    let fleet = state.fleet.borrow();
    let listed: Vec<&Engine> = fleet
        .listed()
        .map(|(_, engine)| engine)
        .filter(|engine| engine.loaded_version(&model_version.model, now).is_some())
        .collect();
    let serves = |engine: &&Engine| {
        engine.loaded_version(&model_version.model, now) == Some(model_version.version)
    };
    let mut chosen: Vec<&Engine> = listed.iter().copied().filter(serves).collect();
    if chosen.is_empty() {
        if !state.may_be_distributed(model_version, HOLDER_DELAY_MILLIS) {
            return Vec::new();
        }
        chosen = listed;
    }
    let is_in_own_zone = |engine: &&Engine| engine.record.zone == state.settings.zone;
    if chosen.iter().any(&is_in_own_zone) {
        chosen.retain(is_in_own_zone);
    }
    let port = state.settings.peers.port();
    let addresses = chosen.iter().map(|engine| engine.record.address.ip());
    let addresses: BTreeSet<SocketAddr> = addresses.map(|ip| SocketAddr::new(ip, port)).collect();
    let mut addresses: Vec<SocketAddr> = addresses.into_iter().collect();
    order::sort_by_score(model_version.version.0, &mut addresses, order::hash);
    addresses.truncate(MAX_HOLDERS);
    addresses
}

fn fetch_spec(state: &State, model_version: &ModelVersion) -> FetchSpec {
    let own = state.settings.peers;
    let relay_set = known_relays(state, model_version.version);
    let is_own = |address: &SocketAddr| *address == own;
    let relay_count = relay_set.addresses.len();
    let mut peers = relay_set.addresses;
    let own_key = peers.iter().position(is_own);
    peers.extend(holder_addresses(state, model_version));
    let holder_keys = relay_count..peers.len();
    let route = match own_key {
        Some(key) => Route::Relay {
            relays: relay_set.relays,
            own: ReplicaKey(key as u32),
            holders: Holders(holder_keys.map(|key| ReplicaKey(key as u32)).collect()),
        },
        // A loader that knows fewer gateways requested the version here.
        None => Route::Leaf {
            relays: relay_set.relays,
            zone: weights::zone_hash(&state.settings.zone),
            fallbacks: vec![Source::Origin],
        },
    };
    let origin = state
        .configuration()
        .and_then(|configuration| configuration.origin());
    FetchSpec {
        model_version: model_version.clone(),
        route,
        peers,
        origin,
        window: WINDOW,
        attempt_timeout_millis: CHUNK_TIMEOUT_MILLIS,
        origin_concurrency: MAX_ORIGIN_REQUESTS,
        link_concurrency: MAX_PEER_TRANSFERS,
        origin_start: None,
    }
}
