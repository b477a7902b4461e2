//! Keeps a loader's services, engines and releases up to date. Polls gateways, and the store where
//! no gateway responds.

use {
    super::Loader,
    crate::{client::Client, clock, error::Error, loader_configuration, store},
    gingerpier_base::order,
    gingerpier_serving::{
        fleet::Fleet,
        loader_polling::{Knowledge, Poller, Source, Step},
        mirror::{Item, Revision},
        platform_api::{Content, Scope, WatchResponse},
        release::{LOCAL, Reporter},
    },
    std::{net::SocketAddr, rc::Rc},
};

/// Longest time that a watch waits for changes.
const WATCH_TIMEOUT_MILLIS: u64 = 20_000;

/// Longest time that a watch waits while no gateway reports releases. Bounds the time for which a
/// release in a new era is missed, as a store that has given out the watched revision again responds
/// only at the end.
const LONE_WATCH_TIMEOUT_MILLIS: u64 = 5_000;

/// Pause between watches, which batches changes and limits reads from a store that keeps no
/// history.
const WATCH_PAUSE_MILLIS: u64 = 400;

/// Interval between checks for reachable gateways.
const POLL_INTERVAL_MILLIS: u64 = 100;

/// Gateways polled for engines before the store is.
const MAX_GATEWAY_ATTEMPTS: usize = 2;

/// Polls for configuration and releases forever.
///
/// Loaders read their part of the large configuration from gateways. They watch the store for
/// releases only if few gateways report them, as each watch costs a store call.
pub async fn run(loader: Rc<Loader>) {
    let settings = &loader.settings;
    let mut poller = Poller::new(settings.peers, settings.regions.len(), clock::now());
    let mut client = store::client(settings.store, loader.platform_api);
    let mut is_current = false;
    loop {
        match next_step(&loader, &mut poller) {
            Step::Gateway(gateway) => {
                let result = query_gateway(&loader, gateway).await;
                record_result(&loader, &mut poller, Source::Gateway, result);
            }
            Step::Store => {
                // A newly known gateway sends far less data than the store. The others have
                // already failed.
                let has_no_informed_gateway = loader.informed_gateways().is_empty();
                let result = tokio::select! {
                    result = read_store(&loader, &mut client, Scope::Operators) => result,
                    () = wait_for_informed_gateway(&loader), if has_no_informed_gateway => continue,
                };
                is_current = result.is_ok();
                record_result(&loader, &mut poller, Source::Store, result);
            }
            Step::Weights if !is_current => {
                let result = read_store(&loader, &mut client, Scope::Weights).await;
                is_current = result.is_ok();
                record_store_result(&mut poller, result);
            }
            Step::Weights => {
                let scope = watch_scope(&loader);
                let watched = tokio::select! {
                    watched = watch_store(&loader, &mut client, scope) => Some(watched),
                    () = wait_for_other_step(&loader, &mut poller, scope) => None,
                };
                if let Some(watched) = watched {
                    is_current = matches!(watched, Ok(true));
                    record_store_result(&mut poller, watched.map(drop));
                    clock::pause(WATCH_PAUSE_MILLIS).await;
                }
            }
            Step::Wait(until) => {
                let next_check = clock::now().after_millis(POLL_INTERVAL_MILLIS);
                clock::until(until.min(next_check)).await;
            }
        }
    }
}

fn next_step(loader: &Loader, poller: &mut Poller) -> Step {
    let gateways = loader.informed_gateways();
    poller.next_step(&loader.view(&gateways), clock::now())
}

/// Scope of the store watch. Without any gateway it includes configurations; the next gateway
/// reports those that were written before.
fn watch_scope(loader: &Loader) -> Scope {
    match loader.subscribers.borrow().is_empty() {
        true => Scope::Operators,
        false => Scope::Weights,
    }
}

/// Returns once a gateway with a known configuration exists.
async fn wait_for_informed_gateway(loader: &Loader) {
    while loader.informed_gateways().is_empty() {
        clock::pause(POLL_INTERVAL_MILLIS).await;
    }
}

/// Returns once another step is due or the watch covers configurations needlessly, as all loaders
/// would read the next one at once.
async fn wait_for_other_step(loader: &Loader, poller: &mut Poller, scope: Scope) {
    loop {
        let is_due = matches!(next_step(loader, poller), Step::Gateway(_) | Step::Store);
        let is_too_wide = scope == Scope::Operators && self::watch_scope(loader) == Scope::Weights;
        if is_due || is_too_wide {
            return;
        }
        clock::pause(POLL_INTERVAL_MILLIS).await;
    }
}

/// Records the result of a configuration poll; data older than that of gateways counts as a
/// failure.
fn record_result(loader: &Loader, poller: &mut Poller, source: Source, result: Result<(), Error>) {
    let knowledge = loader.knowledge();
    match &result {
        Ok(()) if knowledge == Knowledge::Enough => return poller.record_response(source),
        Ok(()) => tracing::warn!(
            ?source,
            ?knowledge,
            "service configuration is older than that of known gateways"
        ),
        Err(error) => tracing::warn!(?source, cause = %error, "service configuration not received"),
    }
    poller.record_failure(source, clock::now(), fastrand::u64(..));
}

/// Records the result of a store read or watch for releases.
fn record_store_result(poller: &mut Poller, result: Result<(), Error>) {
    match result {
        Ok(()) => poller.record_response(Source::Weights),
        Err(error) => {
            tracing::warn!(cause = %error, "store does not answer");
            poller.record_failure(Source::Weights, clock::now(), fastrand::u64(..));
        }
    }
}

async fn query_gateway(loader: &Loader, gateway: SocketAddr) -> Result<(), Error> {
    let response = loader_configuration::fetch(gateway).await?;
    loader.update_services(response.services);
    // Kept apart from the gateway's subscriptions, which report more precise ages.
    let reporter = Reporter(!order::hash(&gateway));
    for release in response.releases {
        loader.record_peer_release(release, reporter);
    }
    *loader.fleet.borrow_mut() = response.fleet;
    Ok(())
}

/// Refreshes the engine list from a gateway, or else by a stale store read.
pub async fn refresh_engines(loader: &Loader) {
    let mut gateways = loader.informed_gateways();
    fastrand::shuffle(&mut gateways);
    for gateway in gateways.into_iter().take(MAX_GATEWAY_ATTEMPTS) {
        match query_gateway(loader, gateway).await {
            Ok(()) => return,
            Err(error) => tracing::warn!(cause = %error, "gateway returned no engine list"),
        }
    }
    let mut client = store::client(loader.settings.store, loader.platform_api);
    match store::read_full(&mut client, loader.platform_api, Scope::Engines, true).await {
        Ok(copy) => {
            let mut fleet = Fleet::default();
            loader.set_fleet_services(&mut fleet);
            for item in &copy.items {
                list_engine(loader, &mut fleet, item);
            }
            *loader.fleet.borrow_mut() = fleet;
        }
        Err(error) => tracing::warn!(cause = %error, "engine list not refreshed"),
    }
}

fn list_engine(loader: &Loader, fleet: &mut Fleet, item: &Item) {
    if let Some(Content::Engine(record)) = loader.item_parser.parse(item) {
        fleet.list(*record, item.revision);
    }
}

async fn read_store(loader: &Loader, client: &mut Client, scope: Scope) -> Result<(), Error> {
    let copy = store::read_full(client, loader.platform_api, scope, false).await?;
    apply_items(loader, &copy.items, copy.revision);
    Ok(())
}

/// Watches `scope`; false if the store has lost the history or is in a new era, and has to be read
/// again.
async fn watch_store(loader: &Loader, client: &mut Client, scope: Scope) -> Result<bool, Error> {
    let after = loader.revision.get();
    let wait_millis = match loader.subscribers.borrow().is_empty() {
        true => LONE_WATCH_TIMEOUT_MILLIS,
        false => WATCH_TIMEOUT_MILLIS,
    };
    match store::watch(client, loader.platform_api, scope, after, wait_millis).await? {
        WatchResponse::Compacted => Ok(false),
        WatchResponse::Changes(page) if page.revision.era != after.era => Ok(false),
        WatchResponse::Changes(page) => {
            apply_items(loader, &page.items, page.revision);
            Ok(true)
        }
    }
}

fn apply_items(loader: &Loader, items: &[Item], at: Revision) {
    for item in items {
        match loader.item_parser.parse(item) {
            Some(Content::Configuration(configuration)) => {
                loader.update_services(configuration.services_part().for_loaders());
            }
            // Gateways report when the release deadline began; without gateways no requests start.
            Some(Content::Weights(model_version)) => {
                loader.record_release(&model_version, LOCAL, 0)
            }
            Some(
                Content::Engine(_)
                | Content::Evacuation(_)
                | Content::Manifest(_)
                | Content::Holds(_)
                | Content::Other,
            )
            | None => {}
        }
    }
    loader.revision.set(loader.revision.get().max(at));
}
