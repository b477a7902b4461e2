//! Calls to the platform's store.

use {
    crate::{
        clock, compression,
        error::{Error, Step as At},
        relay,
        state::State,
    },
    bytes::{Bytes, BytesMut},
    gingerpier_base::Instant,
    gingerpier_http1::{
        body::{Decoder, Framing, Part},
        connection::{Connection, Whole},
        head::Response,
        writer::Message,
    },
    gingerpier_serving::{
        dialect::{Call, Dialect, Page, Scope, Watched},
        mirror::{Item, Revision},
        watching::{Step, Watching},
    },
    std::{cell::Cell, net::SocketAddr, rc::Rc},
};

/// Longest answer, in bytes.
pub const MAX_ANSWER_BYTES: usize = 8 * 1024 * 1024;

/// Milliseconds without a byte after which an answer is given up.
const STALL_MILLIS: u64 = 800;

/// Milliseconds within which the answer to a read begins.
const READ_MILLIS: u64 = 1_500;

/// Milliseconds that a gateway's watch waits. With the pause behind it, its word is never older
/// than what others of its zone accept.
const WATCH_MILLIS: u64 = 600;

/// Bytes of an item beside its value, in the store's answers.
const ITEM_BYTES: usize = 120;

/// Bytes of a watch's answer that are never too many: 0.1 s of a link of 20 Mbit/s.
const LEAST_LONG_BYTES: usize = 256 * 1024;

/// A key behind all others.
const LAST_KEY: &str = "~";

/// Milliseconds between watches, so that many changes cost one call.
const PAUSE_MILLIS: u64 = 400;

/// Milliseconds between questions to a gateway that watches.
const BATCH_MILLIS: u64 = 20;

/// Milliseconds after a failed call.
const RETRY_MILLIS: u64 = 250;

/// Milliseconds beyond its wait within which the answer to a watch begins.
const WATCH_SLACK_MILLIS: u64 = 600;

/// A connection to a server that is asked again and again.
pub struct Client {
    peer: SocketAddr,
    connection: Option<Connection>,
    takes_compressed: bool,
    /// Longest body that is taken.
    most_bytes: usize,
    /// When bytes of an answer that was granted came last, where somebody wants to know.
    heard: Option<Rc<Cell<Option<Instant>>>>,
}

impl Client {
    /// Client of `peer`.
    pub const fn new(peer: SocketAddr) -> Self {
        Self {
            peer,
            connection: None,
            takes_compressed: false,
            most_bytes: MAX_ANSWER_BYTES,
            heard: None,
        }
    }

    /// Client that notes in `heard` when bytes of an answer that was granted came last.
    pub fn noting(peer: SocketAddr, heard: Rc<Cell<Option<Instant>>>) -> Self {
        let mut client = Self::new(peer);
        client.heard = Some(heard);
        client
    }

    /// Client of another gateway, which may compress what it answers.
    pub fn of_gateway(peer: SocketAddr) -> Self {
        let mut client = Self::new(peer);
        client.takes_compressed = true;
        client
    }

    /// Server that it asks.
    pub const fn peer(&self) -> SocketAddr {
        self.peer
    }

    /// Sends a call and reads its answer, which has to begin within `millis`. A long one takes the
    /// time that it needs for as long as bytes come.
    ///
    /// # Errors
    ///
    /// Where the peer can't be reached or does not answer; the next call connects anew.
    pub async fn call(&mut self, call: &Call, millis: u64) -> Result<Whole, Error> {
        let peer = self.peer;
        let deadline = clock::now().after_millis(millis);
        let resting = self.connection.take();
        let request = match self.takes_compressed {
            true => bytes_of_compressible(call, peer),
            false => bytes_of(call, peer),
        };
        let begun = clock::before(deadline, begin(peer, resting, request)).await;
        let step = At::Exchange;
        let (mut connection, head) = begun.ok_or(Error::Late { step, peer })??;
        let body = self.read_body(&mut connection, &head).await?;
        let whole = Whole { head, body };
        if whole.head.keeps_alive() && connection.input.is_empty() {
            self.connection = Some(connection);
        }
        Ok(whole)
    }

    async fn read_body(
        &self,
        connection: &mut Connection,
        head: &Response,
    ) -> Result<Bytes, Error> {
        let peer = self.peer;
        let step = At::Exchange;
        let http = |what| Error::Http { step, peer, what };
        let framing = head.framing().map_err(http)?;
        if matches!(framing, Framing::Length(length) if length > self.most_bytes as u64) {
            return Err(http(gingerpier_http1::error::Error::BodyTooLong));
        }
        let mut decoder = Decoder::new(framing);
        let mut body = BytesMut::new();
        loop {
            let stalled = clock::now().after_millis(STALL_MILLIS);
            let part = clock::before(stalled, connection.part(&mut decoder)).await;
            match part.ok_or(Error::Late { step, peer })?.map_err(http)? {
                Part::End => return Ok(body.freeze()),
                Part::Data(data) => body.extend_from_slice(&data),
            }
            // A refusal says nothing of what is in force.
            if let Some(heard) = self.heard.as_ref().filter(|_| head.status == 200) {
                heard.set(Some(clock::now()));
            }
            if body.len() > self.most_bytes {
                return Err(http(gingerpier_http1::error::Error::BodyTooLong));
            }
        }
    }
}

/// Bytes of a call.
pub fn bytes_of(call: &Call, host: SocketAddr) -> Vec<u8> {
    let message = Message::request(call.method.as_bytes(), call.target.as_bytes())
        .field(b"host", host.to_string().as_bytes());
    if call.body.is_empty() {
        return message.end();
    }
    message
        .field(b"content-type", b"application/json")
        .body(&call.body)
}

/// Bytes of a call without a body, whose answer may come compressed.
fn bytes_of_compressible(call: &Call, host: SocketAddr) -> Vec<u8> {
    Message::request(call.method.as_bytes(), call.target.as_bytes())
        .field(b"host", host.to_string().as_bytes())
        .field(b"accept-encoding", compression::NAME.as_bytes())
        .end()
}

/// Sends a call and reads the head of its answer.
async fn begin(
    peer: SocketAddr,
    resting: Option<Connection>,
    request: Vec<u8>,
) -> Result<(Connection, Response), Error> {
    let mut connection = match resting {
        Some(connection) if connection.is_idle() => connection,
        _ => Connection::connect(peer).await.map_err(|what| Error::Io {
            step: At::Connect,
            peer,
            what,
        })?,
    };
    let step = At::Exchange;
    let written = connection.write(&request).await;
    written.map_err(|what| Error::Io { step, peer, what })?;
    let head = connection.response().await;
    let head = head.map_err(|what| Error::Http { step, peer, what })?;
    Ok((connection, head))
}

/// A whole copy of the store.
pub struct Copy {
    /// Items.
    pub items: Vec<Item>,
    /// Revision that all of them are at least as new as.
    pub at: Revision,
}

/// Reads a whole copy of what `scope` covers.
///
/// # Errors
///
/// Where a page can't be had.
pub async fn read_all(
    client: &mut Client,
    dialect: &dyn Dialect,
    scope: Scope,
    stale: bool,
) -> Result<Copy, Error> {
    let mut items: Vec<Item> = Vec::new();
    let mut at = None;
    loop {
        let after = items.last().map_or("", |item| item.key.as_str()).to_owned();
        let call = dialect.list(scope, &after, stale);
        let whole = client.call(&call, READ_MILLIS).await?;
        let page = read_page(client.peer, dialect, &whole)?;
        // Pages are no snapshot: whatever changed behind the first one comes with the next watch.
        let at = *at.get_or_insert(page.at);
        items.extend(page.items);
        if !page.has_more {
            return Ok(Copy { items, at });
        }
    }
}

fn read_page(peer: SocketAddr, dialect: &dyn Dialect, whole: &Whole) -> Result<Page, Error> {
    let page = dialect.read_list(whole.head.status, &whole.body);
    page.map_err(|what| Error::Answer {
        step: At::Read,
        peer,
        what,
    })
}

/// Watches for changes behind `after`.
///
/// # Errors
///
/// Where the watch can't be had.
pub async fn watch(
    client: &mut Client,
    dialect: &dyn Dialect,
    scope: Scope,
    after: Revision,
    millis: u64,
) -> Result<Watched, Error> {
    let call = dialect.watch(scope, after, millis);
    let whole = client.call(&call, millis + WATCH_SLACK_MILLIS).await?;
    let watched = dialect.read_watch(whole.head.status, &whole.body);
    watched.map_err(|what| Error::Answer {
        step: At::Read,
        peer: client.peer,
        what,
    })
}

/// Keeps a gateway's mirror up to date, from the store or from a gateway of its zone that watches
/// the store.
pub async fn follow(state: Rc<State>) {
    let mut watching = Watching::new(state.settings.control);
    let mut store = Client::noting(state.settings.store, state.store_heard.clone());
    let mut watcher: Option<Client> = None;
    let mut in_step = false;
    loop {
        match watching.next(state.neighbours().into_iter(), clock::now()) {
            Step::Store => in_step = ask_store(&state, &mut store, in_step).await,
            Step::Member(member) => {
                let known = watcher.take().filter(|client| client.peer == member);
                let mut client = known.unwrap_or_else(|| follow_member(member));
                if relay::ask_watcher(&state, &mut client).await {
                    watcher = Some(client);
                    // What it told reaches as far as a read of everything would.
                    in_step = true;
                    clock::pause(BATCH_MILLIS).await;
                } else {
                    tracing::warn!(watcher = %member, age = ?state.contact_age(), "gateway that watches the store does not answer");
                    watching.note_failure(member, clock::now());
                }
            }
        }
    }
}

fn follow_member(member: SocketAddr) -> Client {
    tracing::info!(watcher = %member, "store is followed through a gateway");
    Client::of_gateway(member)
}

/// Asks the store for news, or for everything; false where everything has to be read next.
async fn ask_store(state: &State, store: &mut Client, in_step: bool) -> bool {
    let step = if in_step {
        watch_once(state, store).await
    } else {
        read_once(state, store).await
    };
    match step {
        Ok(next) => {
            state.note_contact(0);
            if next {
                clock::pause(PAUSE_MILLIS).await;
            }
            next
        }
        Err(error) => {
            state.note_store_failure(&error);
            clock::pause(RETRY_MILLIS + fastrand::u64(..RETRY_MILLIS)).await;
            false
        }
    }
}

async fn read_once(state: &State, client: &mut Client) -> Result<bool, Error> {
    state.metrics.store_calls.inc();
    let copy = read_all(client, state.dialect, Scope::Everything, false).await?;
    state.replace(copy.items, copy.at);
    Ok(true)
}

/// One watch; false where a whole read has to follow.
async fn watch_once(state: &State, client: &mut Client) -> Result<bool, Error> {
    state.metrics.store_calls.inc();
    let after = state.mirror.borrow().at();
    client.most_bytes = longest_watch(state);
    let watched = watch(
        client,
        state.dialect,
        Scope::Everything,
        after,
        WATCH_MILLIS,
    )
    .await;
    client.most_bytes = MAX_ANSWER_BYTES;
    let is_too_long = |error: &Error| matches!(error, Error::Http { what, .. } if *what == gingerpier_http1::error::Error::BodyTooLong);
    if watched.as_ref().is_err_and(is_too_long) {
        tracing::info!(
            after = after.0,
            "a watch brings more than a whole copy, which is read instead"
        );
        return Ok(false);
    }
    match watched? {
        Watched::HistoryGone => Ok(false),
        Watched::Changes(page) if page.items.is_empty() => is_current(state, client).await,
        Watched::Changes(page) => {
            state.apply(page.items, page.at);
            Ok(true)
        }
    }
}

/// Bytes of a watch's answer above which a whole copy is shorter: each version of a configuration that
/// was written since would be in it.
fn longest_watch(state: &State) -> usize {
    let mirror = state.mirror.borrow();
    let values = mirror.items().filter_map(|item| item.value);
    let copy: usize = values.map(|value| value.len() * 4 / 3 + ITEM_BYTES).sum();
    (copy * 3 / 2).max(LEAST_LONG_BYTES)
}

/// True where nothing changed behind what is known. A watch that hears nothing may be deaf; an
/// empty page tells how far the store is, and costs no bytes.
async fn is_current(state: &State, client: &mut Client) -> Result<bool, Error> {
    state.metrics.store_calls.inc();
    let call = state.dialect.list(Scope::Everything, LAST_KEY, false);
    let whole = client.call(&call, READ_MILLIS).await?;
    let page = read_page(client.peer, state.dialect, &whole)?;
    Ok(page.at <= state.mirror.borrow().at())
}
