//! Probes between the gateways of a zone, which tell who of them lives.

use {
    crate::{
        clock,
        message::{self, Datagram, Member, Names, Probe, ToldMember},
        metrics::Kind,
        state::State,
    },
    gingerpier_serving::{liveness::News, zones::Exchange},
    std::{net::SocketAddr, rc::Rc},
    tokio::net::UdpSocket,
};

/// Milliseconds between looks at whether a probe is due.
const LOOK_MILLIS: u64 = 50;

/// Probes others of the own zone.
pub async fn probe(state: Rc<State>, socket: Rc<UdpSocket>) {
    loop {
        clock::pause(LOOK_MILLIS).await;
        let now = clock::now();
        let mut zones = state.zones.borrow_mut();
        let members = zones.liveness().poll(now);
        for gone in zones.liveness().take_ended() {
            tracing::info!(gateway = %gone, "gateway is gone");
        }
        for member in members {
            let question = Datagram::Hello(Member {
                address: state.settings.peers.to_string(),
                zone: state.settings.zone.clone(),
                probe: Some(news_for(&mut zones, member)),
            });
            send(&state, &socket, &question, member);
        }
    }
}

/// Takes a probe of `from`, and answers it.
pub fn answer(state: &State, socket: &UdpSocket, from: SocketAddr, probe: &Probe) {
    let mut zones = state.zones.borrow_mut();
    take(&mut zones, from, probe);
    let answer = Datagram::Names(Names {
        gateways: Vec::new(),
        probe: Some(news_for(&mut zones, from)),
    });
    send(state, socket, &answer, from);
}

/// Takes what `from`, a gateway of the own zone, tells of it.
pub fn take(zones: &mut Exchange, from: SocketAddr, probe: &Probe) {
    let now = clock::now();
    let news = probe.news.iter().map(|told| News {
        member: told.address,
        incarnation: told.incarnation,
        is_gone: told.is_gone,
    });
    let news: Vec<News> = news.collect();
    let liveness = zones.liveness();
    liveness.note_alive(from, probe.incarnation, now);
    liveness.take(&news, now);
}

fn news_for(zones: &mut Exchange, receiver: SocketAddr) -> Probe {
    let liveness = zones.liveness();
    let news = liveness.news_for(receiver).into_iter();
    let news = news.map(|one| ToldMember {
        address: one.member,
        incarnation: one.incarnation,
        is_gone: one.is_gone,
    });
    Probe {
        incarnation: liveness.incarnation(),
        news: news.collect(),
    }
}

fn send(state: &State, socket: &UdpSocket, message: &Datagram, receiver: SocketAddr) {
    let bytes = message::encode(message);
    state.metrics.note_message(Kind::Probe, bytes.len());
    // A datagram that can't be sent is as good as lost; it is repeated.
    let _ = socket.try_send_to(&bytes, receiver);
}
