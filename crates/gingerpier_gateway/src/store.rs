//! Calls to the platform's store.

use {
    crate::{
        clock,
        error::{Error, Step},
        state::State,
    },
    gingerpier_http1::{
        connection::{Connection, Whole},
        writer::Message,
    },
    gingerpier_serving::{
        dialect::{Call, Dialect, Page, Scope, Watched},
        mirror::{Item, Revision},
    },
    std::{net::SocketAddr, rc::Rc},
};

/// Longest answer, in bytes.
const MAX_ANSWER_BYTES: usize = 8 * 1024 * 1024;

/// Milliseconds that a read may take.
const READ_MILLIS: u64 = 1_500;

/// Milliseconds that a gateway's watch waits.
const WATCH_MILLIS: u64 = 1_000;

/// Milliseconds between watches, so that many changes cost one call.
const PAUSE_MILLIS: u64 = 400;

/// Milliseconds after a failed call.
const RETRY_MILLIS: u64 = 250;

/// Milliseconds beyond its wait that a watch may take.
const WATCH_SLACK_MILLIS: u64 = 600;

/// A connection to a server that is asked again and again.
pub struct Client {
    peer: SocketAddr,
    connection: Option<Connection>,
}

impl Client {
    /// Client of `peer`.
    pub const fn new(peer: SocketAddr) -> Self {
        Self {
            peer,
            connection: None,
        }
    }

    /// Sends a call and reads its answer within `millis`.
    ///
    /// # Errors
    ///
    /// Where the peer can't be reached or does not answer; the next call connects anew.
    pub async fn call(&mut self, call: &Call, millis: u64) -> Result<Whole, Error> {
        let peer = self.peer;
        let deadline = clock::now().after_millis(millis);
        let resting = self.connection.take();
        let exchange = exchange(peer, resting, call);
        let step = Step::Exchange;
        let (connection, whole) = clock::before(deadline, exchange)
            .await
            .ok_or(Error::Late { step, peer })??;
        if whole.head.keeps_alive() && connection.input.is_empty() {
            self.connection = Some(connection);
        }
        Ok(whole)
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

async fn exchange(
    peer: SocketAddr,
    resting: Option<Connection>,
    call: &Call,
) -> Result<(Connection, Whole), Error> {
    let mut connection = match resting {
        Some(connection) if connection.is_idle() => connection,
        _ => Connection::connect(peer).await.map_err(|what| Error::Io {
            step: Step::Connect,
            peer,
            what,
        })?,
    };
    let request = bytes_of(call, peer);
    let whole = connection.exchange(&request, MAX_ANSWER_BYTES).await;
    let whole = whole.map_err(|what| Error::Http {
        step: Step::Exchange,
        peer,
        what,
    })?;
    Ok((connection, whole))
}

/// A whole copy of the store.
pub struct Copy {
    /// Items.
    pub items: Vec<Item>,
    /// Revision that all of them are at least as new as.
    pub at: Revision,
}

/// Reads a whole copy.
///
/// # Errors
///
/// Where a page can't be had.
pub async fn read_all(
    client: &mut Client,
    dialect: &dyn Dialect,
    stale: bool,
) -> Result<Copy, Error> {
    let mut items: Vec<Item> = Vec::new();
    let mut at = None;
    loop {
        let after = items.last().map_or("", |item| item.key.as_str()).to_owned();
        let call = dialect.list(&after, stale);
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
        step: Step::Read,
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
        step: Step::Read,
        peer: client.peer,
        what,
    })
}

/// Keeps a gateway's mirror up to date.
pub async fn follow(state: Rc<State>) {
    let mut client = Client::new(state.settings.store);
    let mut in_step = false;
    loop {
        let step = if in_step {
            watch_once(&state, &mut client).await
        } else {
            read_once(&state, &mut client).await
        };
        match step {
            Ok(next) => {
                state.note_contact();
                in_step = next;
                if in_step {
                    clock::pause(PAUSE_MILLIS).await;
                }
            }
            Err(error) => {
                in_step = false;
                state.note_store_failure(&error);
                clock::pause(RETRY_MILLIS + fastrand::u64(..RETRY_MILLIS)).await;
            }
        }
    }
}

async fn read_once(state: &State, client: &mut Client) -> Result<bool, Error> {
    state.metrics.store_calls.inc();
    let copy = read_all(client, state.dialect, false).await?;
    state.replace(copy.items, copy.at);
    Ok(true)
}

/// One watch; false where a whole read has to follow.
async fn watch_once(state: &State, client: &mut Client) -> Result<bool, Error> {
    state.metrics.store_calls.inc();
    let after = state.mirror.borrow().at();
    let watched = watch(
        client,
        state.dialect,
        Scope::Everything,
        after,
        WATCH_MILLIS,
    )
    .await?;
    match watched {
        Watched::HistoryGone => Ok(false),
        Watched::Changes(page) => {
            // Engines write all the time: a watch that hears nothing may be deaf.
            let heard = !page.items.is_empty();
            state.apply(page.items, page.at);
            Ok(heard)
        }
    }
}
