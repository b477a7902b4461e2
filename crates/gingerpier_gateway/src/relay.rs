//! What gateways tell each other of the store: those that watch it to the others of their zone,
//! and all to one that the store does not answer.

use {
    crate::{
        clock, compression,
        message::{self, SharedItem, Snapshot},
        metrics::Kind,
        state::State,
        store::{Client, MAX_ANSWER_BYTES},
    },
    gingerpier_http1::{
        connection::{Connection, Whole},
        head::Request,
        writer::Message,
    },
    gingerpier_serving::{
        dialect::Call,
        mirror::Revision,
        watching::{self, MOST_AGE_MILLIS},
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

/// Milliseconds for which a question is held while there is no news.
const WAIT_MILLIS: u64 = 400;

/// Milliseconds beyond that which an answer may take.
const SLACK_MILLIS: u64 = 250;

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
        let reply = reply(state, &request).await;
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

async fn reply(state: &State, request: &Request) -> Vec<u8> {
    let target = std::str::from_utf8(request.target()).unwrap_or_default();
    if target == METRICS_PATH {
        return Message::response(200).body(state.metrics.text().as_bytes());
    }
    let Some(question) = Question::parse(target) else {
        return Message::response(404).body(b"");
    };
    wait_for_news(state, &question).await;
    let body = message::encode(&snapshot(state, question.after));
    let takes_compressed = request.fields.lists("accept-encoding", compression::NAME);
    let shrunk = takes_compressed
        .then(|| compression::shrink(&body))
        .flatten();
    let sent = shrunk.as_ref().map_or(body.len(), Vec::len);
    state.metrics.note_message(Kind::Snapshot, sent);
    match shrunk {
        Some(shrunk) => Message::response(200)
            .field(b"content-encoding", compression::NAME.as_bytes())
            .body(&shrunk),
        None => Message::response(200).body(&body),
    }
}

/// Returns once more is known than the asker has, or its time is over.
async fn wait_for_news(state: &State, question: &Question) {
    let deadline = clock::now().after_millis(question.wait_millis.min(WAIT_MILLIS));
    while state.mirror.borrow().at() <= question.after {
        let news = clock::before(deadline, state.news.notified());
        if news.await.is_none() {
            return;
        }
    }
}

fn snapshot(state: &State, after: Revision) -> Snapshot {
    let mirror = state.mirror.borrow();
    let changes = mirror.changes_after(after);
    let is_changes = changes.is_some();
    let items = changes.unwrap_or_else(|| mirror.items().collect());
    Snapshot {
        at: mirror.at().0,
        items: items.into_iter().map(SharedItem::new).collect(),
        is_changes,
        age: state.contact_age(),
    }
}

/// What a gateway asks another.
#[derive(Debug, Clone, Copy)]
struct Question {
    /// Revision that it has.
    after: Revision,
    /// Milliseconds for which it waits for news.
    wait_millis: u64,
}

impl Question {
    fn target(&self) -> String {
        format!(
            "{SNAPSHOT_PATH}?after={}&wait={}",
            self.after.0, self.wait_millis
        )
    }

    fn parse(target: &str) -> Option<Self> {
        let query = target
            .strip_prefix(SNAPSHOT_PATH)?
            .strip_prefix("?after=")?;
        let (after, wait) = query.split_once("&wait=").unwrap_or((query, "0"));
        Some(Self {
            after: Revision(after.parse().ok()?),
            wait_millis: wait.parse().ok()?,
        })
    }
}

/// Asks a gateway that watches the store for news, and takes it; false where its word does not
/// count.
pub async fn ask_watcher(state: &State, client: &mut Client) -> bool {
    let question = Question {
        after: state.mirror.borrow().at(),
        wait_millis: WAIT_MILLIS,
    };
    let Some(snapshot) = exchange(client, &question, WAIT_MILLIS + SLACK_MILLIS).await else {
        return false;
    };
    let Some(age) = snapshot.age.filter(|age| *age <= MOST_AGE_MILLIS) else {
        return false;
    };
    take(state, snapshot);
    state.note_contact(age);
    true
}

async fn exchange(client: &mut Client, question: &Question, millis: u64) -> Option<Snapshot> {
    let call = Call::get(question.target());
    let whole = client.call(&call, millis).await.ok()?;
    if whole.head.status != 200 {
        return None;
    }
    let snapshot = read_snapshot(&whole);
    if snapshot.is_none() {
        tracing::warn!(peer = %client.peer(), "a gateway's snapshot is not understood");
    }
    snapshot
}

fn read_snapshot(whole: &Whole) -> Option<Snapshot> {
    if !whole
        .head
        .fields
        .lists("content-encoding", compression::NAME)
    {
        return message::decode(&whole.body);
    }
    let body = compression::expand(&whole.body, MAX_ANSWER_BYTES).ok()?;
    message::decode(&body)
}

fn take(state: &State, snapshot: Snapshot) {
    let at = Revision(snapshot.at);
    let items = snapshot.items.into_iter().map(SharedItem::item).collect();
    if snapshot.is_changes {
        state.apply(items, at);
    } else {
        state.replace(items, at);
    }
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

/// Gateways to ask: those of the own zone, and where this one watches the store for it, those of all
/// zones: a configuration of a megabyte would otherwise cross regions once for each gateway.
fn peers(state: &State) -> Vec<SocketAddr> {
    let own = state.settings.control;
    let near = state.neighbours();
    let mut peers: Vec<SocketAddr> = match watching::is_watcher(own, near.iter().copied()) {
        true => {
            let heard = state.living_gateways().into_iter();
            let heard = heard.map(|place| SocketAddr::new(place.address.ip(), own.port()));
            heard.chain(state.settings.seeds.iter().copied()).collect()
        }
        false => near,
    };
    peers.retain(|peer| *peer != own);
    peers.sort_unstable();
    peers.dedup();
    fastrand::shuffle(&mut peers);
    peers.truncate(ASKED);
    peers
}

async fn ask(state: &State, peer: SocketAddr) {
    let after = state.mirror.borrow().at();
    let question = Question {
        after,
        wait_millis: 0,
    };
    let mut client = Client::of_gateway(peer);
    let Some(snapshot) = exchange(&mut client, &question, ANSWER_MILLIS).await else {
        return;
    };
    if snapshot.at <= after.0 {
        return;
    }
    tracing::info!(%peer, at = snapshot.at, had = after.0, age = ?snapshot.age, "snapshot taken from a gateway");
    take(state, snapshot);
}
