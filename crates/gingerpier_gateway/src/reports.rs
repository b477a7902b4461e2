//! Datagrams that a gateway receives, and its subscriptions to loaders' load reports.

use {
    crate::{
        clock, discovery, members,
        message::{self, Datagram, Load, Member, Subscribe},
        metrics::MessageKind,
        state::State,
        suspects, zones,
    },
    gingerpier_base::{Instant, order},
    gingerpier_serving::{configuration::ServiceKind, engine::Engine, report::Report},
    std::{
        collections::{BTreeMap, BTreeSet},
        net::{IpAddr, SocketAddr},
        rc::Rc,
    },
    tokio::net::UdpSocket,
};

/// Interval between subscriptions.
const SUBSCRIBE_INTERVAL_MILLIS: u64 = 500;

/// Interval between subscriptions before a configuration is known: loaders reply with other
/// gateways.
const STARTUP_SUBSCRIBE_INTERVAL_MILLIS: u64 = 100;

/// Interval between checks for loaders while none is known.
const POLL_INTERVAL_MILLIS: u64 = 20;

/// Longest datagram, in bytes.
const MAX_DATAGRAM_BYTES: usize = 1400;

/// Subscribes periodically at the loaders of this zone, and at a sample of the loaders of zones
/// whose gateways send no digests.
pub async fn subscribe(state: Rc<State>, socket: Rc<UdpSocket>) {
    loop {
        let message = message::encode(&Datagram::Subscribe(subscription(&state)));
        let loaders = loaders(&state);
        for loader in &loaders {
            state
                .metrics
                .record_message(MessageKind::Subscription, message.len());
            // A datagram that is not sent counts as lost; the next subscription replaces it.
            let _ = socket.try_send_to(&message, *loader);
        }
        let interval = match (loaders.is_empty(), state.configuration().is_none()) {
            (true, _) => POLL_INTERVAL_MILLIS,
            (false, true) => STARTUP_SUBSCRIBE_INTERVAL_MILLIS,
            (false, false) => SUBSCRIBE_INTERVAL_MILLIS,
        };
        // Loaders learn of a changed release at once.
        let next_subscription = clock::now().after_millis(interval);
        clock::before(next_subscription, state.release_changed.notified()).await;
    }
}

fn subscription(state: &State) -> Subscribe {
    let configuration = state.configuration();
    Subscribe {
        zone: state.settings.zone.clone(),
        releases: state.releases(),
        timestamp_millis: clock::now().as_millis(),
        configuration_version: configuration
            .as_ref()
            .map_or(0, |configuration| configuration.version),
        weights_digest: configuration.map_or(0, |configuration| configuration.weights_digest()),
        unreleased: state.unreleased_versions(),
    }
}

/// Addresses of the loaders to subscribe at.
fn loaders(state: &State) -> BTreeSet<SocketAddr> {
    let port = state.settings.peers.port();
    let Some(configuration) = state.configuration() else {
        let bootstrap = state.bootstrap_loaders.borrow();
        return bootstrap
            .iter()
            .map(|ip| SocketAddr::new(*ip, port))
            .collect();
    };
    let fleet = state.fleet.borrow();
    let services = configuration.services().iter();
    let engines = services.filter(|service| matches!(service.kind, ServiceKind::Engines(_)));
    let mut by_zone: BTreeMap<&str, BTreeSet<IpAddr>> = BTreeMap::new();
    for (_, engine) in engines.flat_map(|service| fleet.of_service(&service.name)) {
        let zone = by_zone.entry(engine.record.zone.as_str()).or_default();
        zone.insert(engine.record.address.ip());
    }
    let chosen = by_zone.into_iter().flat_map(|(zone, machines)| {
        let chosen = match zone == state.settings.zone {
            true => machines.into_iter().collect(),
            false => sample(state, zone, machines),
        };
        chosen.into_iter().map(|ip| SocketAddr::new(ip, port))
    });
    chosen.collect()
}

/// Machines of another zone to subscribe at: a sample that differs between gateways, and none while
/// digests of the zone arrive.
fn sample(state: &State, zone: &str, machines: BTreeSet<IpAddr>) -> Vec<IpAddr> {
    let count = state.zones.borrow().sample_size(zone, clock::now());
    if count == 0 {
        return Vec::new();
    }
    let subject = order::hash(&state.settings.peers);
    let mut chosen: Vec<IpAddr> = machines.into_iter().collect();
    if count >= chosen.len() {
        return chosen;
    }
    order::sort_by_score(subject, &mut chosen, order::hash);
    chosen.truncate(count);
    tracing::info!(
        zone,
        asked = chosen.len(),
        "no digests from a zone; subscribing to some of its engines"
    );
    chosen
}

/// Receives datagrams and dispatches them.
pub async fn receive(state: Rc<State>, socket: Rc<UdpSocket>) {
    let mut bytes = [0; MAX_DATAGRAM_BYTES];
    loop {
        let Ok((length, from)) = socket.recv_from(&mut bytes).await else {
            clock::pause(1).await;
            continue;
        };
        state
            .zones
            .borrow_mut()
            .liveness()
            .record_received(clock::now());
        match message::decode(&bytes[..length]) {
            Some(Datagram::Load(load)) => {
                state.metrics.record_message(MessageKind::Report, length);
                apply_report(&state, &load);
            }
            Some(Datagram::Digest(digest)) => zones::receive_digest(&state, &socket, digest),
            Some(Datagram::Hello(member)) => match &member.probe {
                Some(probe) => members::respond(&state, &socket, from, probe),
                None => discovery::reply_to_hello(&state, &socket, from, member),
            },
            Some(Datagram::GatewayList(names)) => {
                record_gateways(&state, &names.gateways);
                if let Some(probe) = &names.probe {
                    members::apply_updates(&mut state.zones.borrow_mut(), from, probe);
                }
            }
            Some(Datagram::Demand(demand)) => state.record_demand(demand),
            Some(Datagram::Suspects(update)) => suspects::receive(&state, &socket, &update, from),
            Some(Datagram::Subscribe(_)) | None => {}
        }
    }
}

fn apply_report(state: &State, load: &Load) {
    record_gateways(state, &load.gateways);
    let Ok(address) = load.engine.parse() else {
        return;
    };
    let mut fleet = state.fleet.borrow_mut();
    let report = load.report();
    let previous = fleet.at_address(address);
    if let Some(key) = fleet.resolve_incarnation(address, report.start_time) {
        let engine = fleet.engine_mut(key);
        if previous != Some(key) {
            engine.warmup.record_possible_cooling(clock::now());
            tracing::info!(
                engine = engine.record.id,
                born = load.start_time_millis,
                "engine has started again"
            );
        }
        if is_significant(engine, &report, &state.settings.zone) {
            state.zones.borrow_mut().request_early_digest();
        }
        engine.record_report(report, clock::now());
        if load.echoed_timestamp_millis > 0 {
            engine.record_ack(Instant::from_millis(load.echoed_timestamp_millis));
        }
    }
}

/// True if other zones should learn of `report` early: its weights or its order to load some
/// changed.
fn is_significant(engine: &Engine, report: &Report, own_zone: &str) -> bool {
    let previous = engine.latest_report(clock::now());
    let has_changed = previous.is_busy != report.is_busy || previous.loaded != report.loaded;
    has_changed && engine.record.zone == own_zone
}

/// Records gateways that another process named.
pub fn record_gateways(state: &State, gateways: &[Member]) {
    let now = clock::now();
    let mut zones = state.zones.borrow_mut();
    for gateway in gateways {
        match gateway.address.parse() {
            Ok(address) => zones.record_member(&gateway.zone, address, now),
            Err(error) => {
                tracing::warn!(address = gateway.address, cause = %error, "invalid gateway address");
            }
        }
    }
}
