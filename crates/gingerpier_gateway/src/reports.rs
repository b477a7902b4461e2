//! Reports of engines' load, as datagrams from loaders.

use {
    crate::{
        clock,
        message::{self, Datagram, Load, Member, Subscribe, Weights},
        state::State,
        weights::GatewayPlace,
    },
    gingerpier_base::Instant,
    gingerpier_serving::configuration::ServiceKind,
    std::{collections::BTreeSet, net::SocketAddr, rc::Rc},
    tokio::net::UdpSocket,
};

/// Milliseconds between subscriptions.
const SUBSCRIBE_EVERY_MILLIS: u64 = 500;

/// Milliseconds between looks for loaders while none is known.
const LOOK_MILLIS: u64 = 20;

/// Longest datagram.
const MAX_DATAGRAM: usize = 1400;

/// Subscribes at the loaders of all engines, again and again.
pub async fn subscribe(state: Rc<State>, socket: Rc<UdpSocket>) {
    let port = state.settings.peers.port();
    loop {
        let message = message::encode(&Datagram::Subscribe(subscription(&state)));
        let loaders = loaders(&state, port);
        for loader in &loaders {
            // A datagram that can't be sent is as good as lost; the next one follows.
            let _ = socket.try_send_to(&message, *loader);
        }
        let pause = match loaders.is_empty() {
            true => LOOK_MILLIS,
            false => SUBSCRIBE_EVERY_MILLIS,
        };
        clock::pause(pause).await;
    }
}

fn subscription(state: &State) -> Subscribe {
    let configuration = state.configuration();
    let named = state.named().into_iter().map(|named| Weights {
        model: named.model,
        version: named.version.0,
    });
    Subscribe {
        zone: state.settings.zone.clone(),
        named: named.collect(),
        stamp: clock::now().as_millis(),
        configuration: configuration.as_ref().map_or(0, |known| known.version),
        weights_digest: configuration.map_or(0, |known| known.weights_digest()),
    }
}

fn loaders(state: &State, port: u16) -> BTreeSet<SocketAddr> {
    let Some(configuration) = state.configuration() else {
        return BTreeSet::new();
    };
    let fleet = state.fleet.borrow();
    let services = configuration.services().iter();
    let engines = services.filter(|service| matches!(service.kind, ServiceKind::Engines(_)));
    engines
        .flat_map(|service| fleet.of_service(&service.name))
        .map(|(_, engine)| SocketAddr::new(engine.record.address.ip(), port))
        .collect()
}

/// Takes reports.
pub async fn take(state: Rc<State>, socket: Rc<UdpSocket>) {
    let mut bytes = [0; MAX_DATAGRAM];
    loop {
        let Ok((length, _)) = socket.recv_from(&mut bytes).await else {
            clock::pause(1).await;
            continue;
        };
        if let Some(Datagram::Load(load)) = message::decode(&bytes[..length]) {
            note(&state, &load);
        }
    }
}

fn place(member: &Member) -> Option<GatewayPlace> {
    Some(GatewayPlace {
        address: member.address.parse().ok()?,
        zone: member.zone.clone(),
    })
}

fn note(state: &State, load: &Load) {
    if !load.gateways.is_empty() {
        state.note_gateways(load.gateways.iter().filter_map(place));
    }
    let Ok(address) = load.engine.parse() else {
        return;
    };
    let mut fleet = state.fleet.borrow_mut();
    if let Some(key) = fleet.at_address(address) {
        let engine = fleet.engine_mut(key);
        engine.note_report(load.report(), clock::now());
        if load.echo > 0 {
            engine.note_echo(Instant::from_millis(load.echo));
        }
    }
}
