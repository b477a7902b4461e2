//! What gateways tell each other while the store does not answer one of them.

use {
    crate::{
        clock,
        message::{self, SharedItem, Snapshot},
        state::State,
        store::Client,
    },
    gingerpier_http1::{connection::Connection, head::Request, writer::Message},
    gingerpier_serving::{
        dialect::Call,
        mirror::{Item, Revision},
    },
    std::{net::SocketAddr, rc::Rc},
    tokio::net::TcpListener,
};

/// Path of a snapshot.
const SNAPSHOT_PATH: &str = "/snapshot";

/// Path of the metrics.
const METRICS_PATH: &str = "/metrics";

/// Milliseconds between questions to peers.
const ASK_EVERY_MILLIS: u64 = 300;

/// Milliseconds that a peer may take.
const ANSWER_MILLIS: u64 = 500;

/// Peers asked at once.
const ASKED: usize = 2;

/// Longest head of a question.
const MAX_HEAD: usize = 4096;

/// Milliseconds that a connection may rest.
const REST_MILLIS: u64 = 10_000;

/// Serves snapshots and metrics.
pub async fn serve(state: Rc<State>, listener: TcpListener) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                let state = state.clone();
                actix_rt::spawn(async move { answer(&state, Connection::new(stream)).await });
            }
            Err(_) => clock::pause(ASK_EVERY_MILLIS).await,
        }
    }
}

async fn answer(state: &State, mut connection: Connection) {
    let rest = clock::now().after_millis(REST_MILLIS);
    while let Some(Some(request)) = clock::before(rest, read_head(&mut connection)).await {
        let reply = reply(state, &request);
        if connection.write(&reply).await.is_err() {
            return;
        }
    }
}

/// Reads the head of a request without a body; nothing where the peer is done or wrong.
pub async fn read_head(connection: &mut Connection) -> Option<Request> {
    loop {
        match Request::parse(&mut connection.input, MAX_HEAD) {
            Ok(Some(request)) => return Some(request),
            Ok(None) => {}
            Err(_) => return None,
        }
        if !connection.read().await.ok()? {
            return None;
        }
    }
}

fn reply(state: &State, request: &Request) -> Vec<u8> {
    let target = std::str::from_utf8(request.target()).unwrap_or_default();
    if target == METRICS_PATH {
        return Message::response(200).body(state.metrics.text().as_bytes());
    }
    let Some(query) = target.strip_prefix(SNAPSHOT_PATH) else {
        return Message::response(404).body(b"");
    };
    let after = query
        .strip_prefix("?after=")
        .and_then(|text| text.parse().ok());
    let mirror = state.mirror.borrow();
    if mirror.at() <= Revision(after.unwrap_or_default()) {
        return Message::response(204).end();
    }
    let shared = mirror.items().map(|item| SharedItem {
        key: item.key,
        revision: item.revision.0,
        value: item.value.map(|value| value.to_vec()).unwrap_or_default(),
    });
    let snapshot = Snapshot {
        at: mirror.at().0,
        items: shared.collect(),
    };
    Message::response(200).body(&message::encode(&snapshot))
}

/// Asks peers for as long as the store does not answer.
pub async fn follow(state: Rc<State>) {
    loop {
        clock::pause(ASK_EVERY_MILLIS).await;
        if !state.lacks_contact() {
            continue;
        }
        for peer in peers(&state) {
            let state = state.clone();
            actix_rt::spawn(async move { ask(&state, peer).await });
        }
    }
}

fn peers(state: &State) -> Vec<SocketAddr> {
    let own = state.settings.control;
    let heard = state.gateways.borrow();
    let heard = heard
        .keys()
        .map(|peer| SocketAddr::new(peer.address.ip(), own.port()));
    let seeds = state.settings.seeds.iter().copied();
    let mut peers: Vec<SocketAddr> = heard.chain(seeds).filter(|peer| *peer != own).collect();
    peers.sort_unstable();
    peers.dedup();
    fastrand::shuffle(&mut peers);
    peers.truncate(ASKED);
    peers
}

async fn ask(state: &State, peer: SocketAddr) {
    let after = state.mirror.borrow().at();
    let call = Call::get(format!("{SNAPSHOT_PATH}?after={}", after.0));
    let Ok(whole) = Client::new(peer).call(&call, ANSWER_MILLIS).await else {
        return;
    };
    if whole.head.status != 200 {
        return;
    }
    let Some(snapshot) = message::decode::<Snapshot>(&whole.body) else {
        tracing::warn!(%peer, "a gateway's snapshot is not understood");
        return;
    };
    let items = snapshot.items.into_iter().map(|item| Item {
        key: item.key,
        revision: Revision(item.revision),
        value: Some(item.value.into()),
    });
    tracing::info!(%peer, at = snapshot.at, had = after.0, "snapshot taken from a gateway");
    state.replace(items.collect(), Revision(snapshot.at));
}
