//! What gateways tell each other of the store: those that watch it to the others of their zone,
//! and all to one that the store does not answer.

use {
    crate::{
        client::{Client, MAX_ANSWER_BYTES},
        clock, compression,
        message::{self, SharedItem, Snapshot},
        metrics::Kind,
        state::State,
    },
    futures_util::future::join_all,
    gingerpier_base::Instant,
    gingerpier_http1::{
        connection::{Connection, Whole},
        head::Request,
        writer::Message,
    },
    gingerpier_serving::{
        dialect::Call,
        mirror::Revision,
        outage::Return,
        watching::{self, Failure},
    },
    std::{net::SocketAddr, rc::Rc},
    tokio::net::TcpListener,
};

/// Path of a snapshot.
const SNAPSHOT_PATH: &str = "/snapshot";

/// Path of the metrics.
const METRICS_PATH: &str = "/metrics";

/// Path of the requests that are held back, and before the marks of those that are to be let go.
const HELD_PATH: &str = "/held";
const RELEASE_PATH: &str = "/release/";

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

/// Field with the [`Ages`] of a snapshot, apart from it: the snapshot is the same for all who ask.
const AGES_FIELD: &str = "ages-millis";

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
    if target == HELD_PATH {
        return Message::response(200).body(state.held_text().as_bytes());
    }
    if let Some(mark) = target.strip_prefix(RELEASE_PATH) {
        let is_named = request.method() == b"POST" && !mark.is_empty();
        let released = if is_named { state.release(mark) } else { 0 };
        let status = if released > 0 { 200 } else { 404 };
        return Message::response(status).body(format!("released={released}\n").as_bytes());
    }
    let Some(question) = Question::parse(target) else {
        return Message::response(404).body(b"");
    };
    let came = clock::now();
    wait_for_news(state, &question).await;
    let takes_compressed = request.fields.lists("accept-encoding", compression::NAME);
    let packed = state
        .snapshots
        .pack(&state.mirror.borrow(), question.after, takes_compressed);
    state
        .metrics
        .note_message(Kind::Snapshot, packed.bytes.len());
    let ages = Ages {
        word: state.word_age(),
        fresh: state.fresh_age(),
        held: clock::now().millis_since(came),
        last_return: ReturnAge::of(state),
    };
    let answer = Message::response(200).field(AGES_FIELD.as_bytes(), ages.text().as_bytes());
    match packed.is_compressed {
        true => answer
            .field(b"content-encoding", compression::NAME.as_bytes())
            .body(&packed.bytes),
        false => answer.body(&packed.bytes),
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

/// Asks a gateway that watches the store for news, and takes it.
///
/// # Errors
///
/// Where its word does not count: it does not answer, or the store's last word there is older than
/// `most_age` milliseconds.
pub async fn ask_watcher(state: &State, client: &mut Client, most_age: u64) -> Result<(), Failure> {
    let question = Question {
        after: state.mirror.borrow().at(),
        wait_millis: WAIT_MILLIS,
    };
    let told = exchange(client, &question, WAIT_MILLIS + SLACK_MILLIS).await;
    let told = told.ok_or(Failure::Silent)?;
    let age = told.ages.word;
    note_outage(state, &told);
    take(state, told);
    if age > most_age {
        return Err(Failure::Old);
    }
    state.note_contact(age);
    Ok(())
}

/// Asks another gateway for a first copy of the store; false where it has none.
pub async fn ask_first_copy(state: &State, peer: SocketAddr) -> bool {
    let age = ask(state, peer).await;
    if let Some(age) = age {
        state.note_contact(age);
    }
    age.is_some()
}

/// How old what a gateway tells is, in milliseconds when it is told.
#[derive(Debug, Clone, Copy)]
struct Ages {
    /// Since the store's last word.
    word: u64,
    /// Since this was certainly all that the store held; none where that is not known.
    fresh: Option<u64>,
    /// For which the question was held until the answer was made.
    held: u64,
    /// The store's last return; none where it was not away lately.
    last_return: Option<ReturnAge>,
}

/// The store's last return, as told.
#[derive(Debug, Clone, Copy)]
struct ReturnAge {
    /// Milliseconds for which entries that lapsed may still come back.
    left: u64,
    /// Revision at which the store was found.
    revision: Revision,
}

impl ReturnAge {
    fn of(state: &State) -> Option<Self> {
        let last = state.last_return()?;
        Some(Self {
            left: last.until.millis_since(clock::now()),
            revision: last.revision,
        })
    }
}

impl Ages {
    fn text(self) -> String {
        let fresh = self
            .fresh
            .map_or_else(String::new, |fresh| fresh.to_string());
        let last_return = self.last_return.map_or_else(String::new, |last| {
            format!(",{},{}", last.left, last.revision.0)
        });
        format!("{},{fresh},{}{last_return}", self.word, self.held)
    }

    fn parse(text: &[u8]) -> Option<Self> {
        let mut parts = std::str::from_utf8(text).ok()?.split(',');
        let mut next = || parts.next();
        Some(Self {
            word: next()?.parse().ok()?,
            fresh: next()?.parse().ok(),
            held: next()?.parse().ok()?,
            last_return: next().zip(next()).and_then(|(left, revision)| {
                Some(ReturnAge {
                    left: left.parse().ok()?,
                    revision: Revision(revision.parse().ok()?),
                })
            }),
        })
    }
}

/// What another gateway told.
struct Told {
    snapshot: Snapshot,
    ages: Ages,
    /// When it was asked.
    asked: Instant,
}

async fn exchange(client: &mut Client, question: &Question, millis: u64) -> Option<Told> {
    let call = Call::get(question.target());
    let asked = clock::now();
    let whole = client.call(&call, millis).await.ok()?;
    if whole.head.status != 200 {
        return None;
    }
    let told = read_told(&whole, asked);
    if told.is_none() {
        tracing::warn!(peer = %client.peer(), "a gateway's snapshot is not understood");
    }
    told
}

fn read_told(whole: &Whole, asked: Instant) -> Option<Told> {
    let fields = &whole.head.fields;
    let ages = Ages::parse(fields.get(AGES_FIELD)?)?;
    let snapshot = match fields.lists("content-encoding", compression::NAME) {
        true => message::decode(&compression::expand(&whole.body, MAX_ANSWER_BYTES).ok()?),
        false => message::decode(&whole.body),
    };
    Some(Told {
        snapshot: snapshot?,
        ages,
        asked,
    })
}

/// Notes whether the store was away, before anything that it lacks is taken for gone.
fn note_outage(state: &State, told: &Told) {
    let ages = &told.ages;
    // The answer was made so long after the question at least.
    let made = told.asked.after_millis(ages.held);
    let answered = ages
        .fresh
        .map(|fresh| Instant::from_millis(made.as_millis().saturating_sub(fresh)));
    let last_return = ages.last_return.map(|last| Return {
        revision: last.revision,
        until: made.after_millis(last.left),
    });
    state.note_told_outage(answered, last_return);
}

fn take(state: &State, told: Told) {
    let at = Revision(told.snapshot.at);
    let items = told.snapshot.items.into_iter();
    let items = items.map(SharedItem::item).collect();
    if told.snapshot.is_changes {
        state.apply(items, at);
    } else {
        state.replace(items, at);
    }
    state.note_told(told.asked, told.ages.fresh, told.ages.held);
}

/// Asks peers for as long as the store does not answer. Their answers are waited for: a large one takes
/// its time, and another one beside it only makes both take longer.
pub async fn follow(state: Rc<State>) {
    loop {
        clock::pause(ASK_EVERY_MILLIS).await;
        if !state.lacks_contact() {
            continue;
        }
        let asks = peers(&state).into_iter().map(|peer| ask(&state, peer));
        join_all(asks).await;
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

/// Takes what another gateway knows and this one does not; gives the milliseconds since the store's last word
/// there, where there was any of it.
async fn ask(state: &State, peer: SocketAddr) -> Option<u64> {
    let after = state.mirror.borrow().at();
    let question = Question {
        after,
        wait_millis: 0,
    };
    let mut client = Client::of_gateway(peer);
    let told = exchange(&mut client, &question, ANSWER_MILLIS).await?;
    note_outage(state, &told);
    if told.snapshot.at <= after.0 {
        return None;
    }
    let age = told.ages.word;
    tracing::info!(%peer, at = told.snapshot.at, had = after.0, age, "snapshot taken from a gateway");
    take(state, told);
    Some(age)
}
