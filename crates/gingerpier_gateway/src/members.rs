//! Liveness probes between the gateways of a zone, which carry membership updates.

use {
    crate::{
        clock,
        message::{self, Datagram, GatewayList, Member, MemberUpdate, Probe},
        metrics::MessageKind,
        state::State,
    },
    gingerpier_serving::{liveness::Update, zones::Exchange},
    std::{net::SocketAddr, rc::Rc},
    tokio::net::UdpSocket,
};

/// Interval between checks whether a probe is due.
const POLL_INTERVAL_MILLIS: u64 = 50;

/// Probes other gateways of the own zone.
pub async fn send_probes(state: Rc<State>, socket: Rc<UdpSocket>) {
    loop {
        clock::pause(POLL_INTERVAL_MILLIS).await;
        let now = clock::now();
        let mut zones = state.zones.borrow_mut();
        let members = zones.liveness().poll(now);
        for dead in zones.liveness().take_newly_dead() {
            tracing::info!(gateway = %dead, "gateway is gone");
        }
        for member in members {
            let request = Datagram::Hello(Member {
                address: state.settings.peers.to_string(),
                zone: state.settings.zone.clone(),
                probe: Some(probe_for(&mut zones, member)),
            });
            send(&state, &socket, &request, member);
        }
    }
}

/// Applies a probe of `from` and responds to it.
pub fn respond(state: &State, socket: &UdpSocket, from: SocketAddr, probe: &Probe) {
    let mut zones = state.zones.borrow_mut();
    apply_updates(&mut zones, from, probe);
    let response = Datagram::GatewayList(GatewayList {
        gateways: Vec::new(),
        probe: Some(probe_for(&mut zones, from)),
    });
    send(state, socket, &response, from);
}

/// Applies membership updates of `from`, a gateway of the own zone.
pub fn apply_updates(zones: &mut Exchange, from: SocketAddr, probe: &Probe) {
    let now = clock::now();
    let updates = probe.updates.iter().map(|update| Update {
        member: update.address,
        incarnation: update.incarnation,
        is_dead: update.is_dead,
    });
    let updates: Vec<Update> = updates.collect();
    let liveness = zones.liveness();
    liveness.record_message(from, probe.incarnation, now);
    liveness.apply_updates(&updates, now);
}

fn probe_for(zones: &mut Exchange, receiver: SocketAddr) -> Probe {
    let liveness = zones.liveness();
    let updates = liveness.updates_for(receiver).into_iter();
    let updates = updates.map(|update| MemberUpdate {
        address: update.member,
        incarnation: update.incarnation,
        is_dead: update.is_dead,
    });
    Probe {
        incarnation: liveness.incarnation(),
        updates: updates.collect(),
    }
}

fn send(state: &State, socket: &UdpSocket, message: &Datagram, receiver: SocketAddr) {
    let bytes = message::encode(message);
    state
        .metrics
        .record_message(MessageKind::Probe, bytes.len());
    // A datagram that is not sent counts as lost; the probe is repeated.
    let _ = socket.try_send_to(&bytes, receiver);
}
