//! Calls to the platform's store.

use {
    crate::{
        client::{Client, MAX_ANSWER_BYTES},
        clock,
        error::{Error, Step as At},
        items::slim,
        relay,
        state::State,
    },
    gingerpier_base::Instant,
    gingerpier_http1::connection::Whole,
    gingerpier_serving::{
        dialect::{Call, Dialect, Page, Scope, Watched},
        mirror::{Item, Revision},
        outage::MOST_PAUSE_MILLIS,
        watching::{Step, Watching},
    },
    std::{net::SocketAddr, rc::Rc},
};

/// Milliseconds within which the answer to a read begins where the way is sound.
const READ_MILLIS: u64 = 1_500;

/// Milliseconds that a gateway's watch waits. With the pause behind it, its word is never older
/// than what others of its zone accept.
const WATCH_MILLIS: u64 = 600;

/// Milliseconds that a watch waits after one that brought nothing although the store was ahead.
const DEAF_WATCH_MILLIS: u64 = 50;

/// Bytes of an item beside its value, in the store's answers.
const ITEM_BYTES: usize = 120;

/// Bytes of a watch's answer that are never too many: the largest value that the store takes, a megabyte
/// in base64, and half as much again.
const LEAST_LONG_BYTES: usize = 2 * 1024 * 1024;

/// A key behind all others.
const LAST_KEY: &str = "~";

/// Milliseconds between watches, so that many changes cost one call.
const PAUSE_MILLIS: u64 = 400;

/// Milliseconds between questions to a gateway that watches.
const BATCH_MILLIS: u64 = 20;

/// Most milliseconds of the pause after a first failed call; it doubles with each one that follows.
const RETRY_MILLIS: u64 = 500;

/// Most times that the pause after a failed call doubles.
const MOST_DOUBLINGS: u32 = 2;

/// Milliseconds after which pages that were read are not worth keeping: the store remembers what changed
/// since for 20 s, and less at times.
const KEPT_MILLIS: u64 = 8_000;

/// Milliseconds beyond its wait within which the answer to a watch begins.
const WATCH_SLACK_MILLIS: u64 = 600;

/// A copy of the store, as far as its pages have come.
#[derive(Debug, Default)]
pub struct Copy {
    /// Items.
    pub items: Vec<Item>,
    /// Revision that all of them are at least as new as: that of the first page. Pages are no snapshot, and
    /// whatever changed behind the first one comes with the next watch.
    pub at: Revision,
    /// Revision of the last page.
    pub newest_at: Revision,
    /// When the first page was asked for; none before that.
    begun: Option<Instant>,
}

impl Copy {
    /// Reads the pages that are missing; gives when the first of all was asked for. What came stays where one
    /// can't be had, so that a next try goes on from there.
    ///
    /// # Errors
    ///
    /// Where a page can't be had.
    pub async fn read(
        &mut self,
        client: &mut Client,
        dialect: &dyn Dialect,
        scope: Scope,
        stale: bool,
    ) -> Result<Instant, Error> {
        let oldest = self.begun.map(|begun| begun.after_millis(KEPT_MILLIS));
        if oldest.is_some_and(|oldest| oldest.has_passed(clock::now())) {
            *self = Self::default();
        }
        loop {
            let begun = *self.begun.get_or_insert_with(clock::now);
            let is_first = self.items.is_empty();
            let after = self.items.last().map_or("", |item| item.key.as_str());
            let call = dialect.list(scope, after, stale);
            let whole = client.call(&call, READ_MILLIS).await?;
            let page = read_page(client.peer(), dialect, &whole)?;
            if is_first {
                self.at = page.at;
            }
            self.newest_at = page.at;
            let items = page.items.into_iter();
            self.items.extend(items.map(|item| slim(dialect, item)));
            if !page.has_more {
                return Ok(begun);
            }
        }
    }
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
    let mut copy = Copy::default();
    copy.read(client, dialect, scope, stale).await?;
    Ok(copy)
}

/// Client of the store at `peer` that tells a dead connection from a slow way.
pub fn client(peer: SocketAddr, dialect: &dyn Dialect) -> Client {
    Client::new(peer).patient(small_question(dialect))
}

/// An empty page, which may be old: it costs a tenth of a call.
fn small_question(dialect: &dyn Dialect) -> Call {
    dialect.list(Scope::Everything, LAST_KEY, true)
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
        peer: client.peer(),
        what,
    })
}

/// What a gateway's questions to the store go on from.
struct Asking {
    client: Client,
    /// A copy that is being read.
    copy: Copy,
    /// True where changes behind the mirror's revision are not enough, and everything has to be read.
    needs_copy: bool,
    /// True where the last watch brought nothing although the store is ahead.
    is_deaf: bool,
    /// Calls that failed in a row.
    failures: u32,
}

/// Keeps a gateway's mirror up to date, from the store or from a gateway of its zone that watches
/// the store.
pub async fn follow(state: Rc<State>) {
    let mut watching = Watching::new(state.settings.control, clock::now());
    let client = Client::noting(state.settings.store, state.store_heard.clone());
    let mut asking = Asking {
        client: client.patient(small_question(state.dialect)),
        copy: Copy::default(),
        needs_copy: false,
        is_deaf: false,
        failures: 0,
    };
    let mut watcher: Option<Client> = None;
    let mut last = None;
    loop {
        let has_copy = state.mirror.borrow().at() > Revision::default();
        let step = watching.next(&state.neighbours(), has_copy, clock::now());
        let kind = std::mem::discriminant(&step);
        if last.replace(kind) != Some(kind) && matches!(step, Step::Store | Step::Probe) {
            tracing::info!(?step, has_copy, age = ?state.contact_age(), "store is asked by this gateway");
        }
        match step {
            Step::Store => ask_store(&state, &mut asking).await,
            Step::Probe => probe(&state, &mut asking, &mut watching).await,
            Step::Wait(until) => clock::until(until).await,
            Step::FirstCopy(member) => {
                if !relay::ask_first_copy(&state, member).await {
                    watching.note_without_copy(member);
                }
            }
            Step::Member(member) => {
                let known = watcher.take().filter(|client| client.peer() == member);
                let mut client = known.unwrap_or_else(|| follow_member(member));
                let most_age = watching.most_age_millis(member, clock::now());
                match relay::ask_watcher(&state, &mut client, most_age).await {
                    Ok(()) => {
                        watcher = Some(client);
                        // What it told reaches as far as a read of everything would.
                        asking.needs_copy = false;
                        clock::pause(BATCH_MILLIS).await;
                    }
                    Err(failure) => {
                        tracing::info!(watcher = %member, ?failure, age = ?state.contact_age(), "gateway that watches the store is passed over");
                        watching.note_failure(member, failure, clock::now());
                    }
                }
            }
        }
    }
}

fn follow_member(member: SocketAddr) -> Client {
    tracing::info!(watcher = %member, "store is followed through a gateway");
    Client::of_gateway(member)
}

/// Asks the store for news, or for everything.
async fn ask_store(state: &State, asking: &mut Asking) {
    let has_copy = state.mirror.borrow().at() > Revision::default();
    let current_at = if has_copy && !asking.needs_copy {
        watch_once(state, asking).await
    } else {
        read_once(state, asking).await.map(Some)
    };
    match current_at {
        Ok(current_at) => {
            asking.failures = 0;
            // What is deaf, or has to be read anew, is no word of what the store holds.
            if let Some(current_at) = current_at {
                state.note_contact(0);
                state.note_fresh(current_at);
                clock::pause(PAUSE_MILLIS).await;
            }
        }
        Err(error) => {
            state.note_store_failure(&error);
            asking.pause_after_failure().await;
        }
    }
}

/// Asks the store how far it is, where other gateways are meant to watch it.
async fn probe(state: &State, asking: &mut Asking, watching: &mut Watching) {
    let asked = clock::now();
    let is_current = is_current(state, &mut asking.client).await;
    let millis = clock::now().millis_since(asked);
    let is_ahead = matches!(is_current, Ok(false));
    if is_current.is_ok() {
        asking.failures = 0;
    }
    watching.note_probe(is_ahead, millis, clock::now());
    match is_current {
        Ok(true) => {
            state.note_contact(0);
            state.note_fresh(asked);
            clock::pause(PAUSE_MILLIS).await;
        }
        Ok(false) => {}
        Err(error) => {
            state.note_store_failure(&error);
            asking.pause_after_failure().await;
        }
    }
}

impl Asking {
    /// Waits longer after each call that failed, and each time differently: whoever fails at the same moment
    /// does not come back at the same moment.
    async fn pause_after_failure(&mut self) {
        let most = RETRY_MILLIS << self.failures.min(MOST_DOUBLINGS);
        let most = most.min(MOST_PAUSE_MILLIS);
        self.failures += 1;
        clock::pause(fastrand::u64(BATCH_MILLIS..most)).await;
    }
}

/// Reads everything; gives a moment at which the store held nothing else.
async fn read_once(state: &State, asking: &mut Asking) -> Result<Instant, Error> {
    state.metrics.store_calls.inc();
    let Asking { client, copy, .. } = asking;
    let begun = copy
        .read(client, state.dialect, Scope::Everything, false)
        .await?;
    let copy = std::mem::take(&mut asking.copy);
    state.note_store_answer(copy.newest_at);
    state.replace(copy.items, copy.at);
    asking.needs_copy = false;
    asking.is_deaf = false;
    Ok(begun)
}

/// One watch; gives a moment at which the store held nothing but what is known now, where one is known. A
/// call that fails loses nothing: the next one goes on from the same revision.
async fn watch_once(state: &State, asking: &mut Asking) -> Result<Option<Instant>, Error> {
    state.metrics.store_calls.inc();
    let after = state.mirror.borrow().at();
    let asked = clock::now();
    let client = &mut asking.client;
    client.most_bytes = longest_watch(state);
    // What the last watch did not bring is there already.
    let wait = match asking.is_deaf {
        true => DEAF_WATCH_MILLIS,
        false => WATCH_MILLIS,
    };
    let watched = watch(client, state.dialect, Scope::Everything, after, wait).await;
    client.most_bytes = MAX_ANSWER_BYTES;
    let is_too_long = |error: &Error| matches!(error, Error::Http { what, .. } if *what == gingerpier_http1::error::Error::BodyTooLong);
    if watched.as_ref().is_err_and(is_too_long) {
        tracing::info!(
            after = after.0,
            "a watch brings more than a whole copy, which is read instead"
        );
        asking.needs_copy = true;
        return Ok(None);
    }
    match watched? {
        Watched::HistoryGone => asking.needs_copy = true,
        Watched::Changes(page) if page.items.is_empty() => {
            let asked = clock::now();
            let is_behind = !is_current(state, &mut asking.client).await?;
            // Something may have changed between the two answers: the next watch brings it at once. One that
            // still brings nothing is deaf.
            asking.needs_copy = is_behind && asking.is_deaf;
            asking.is_deaf = is_behind;
            return Ok((!is_behind).then_some(asked));
        }
        Watched::Changes(page) => {
            asking.is_deaf = false;
            state.note_store_answer(page.at);
            state.apply_writes(page.items, page.at);
            return Ok(Some(asked));
        }
    }
    Ok(None)
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
    let page = read_page(client.peer(), state.dialect, &whole)?;
    state.note_store_answer(page.at);
    Ok(page.at <= state.mirror.borrow().at())
}
