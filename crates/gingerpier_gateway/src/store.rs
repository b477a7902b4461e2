//! Reads and watches of the platform's store, and the task that keeps a gateway's mirror up to
//! date.

use {
    crate::{
        client::{Client, MAX_RESPONSE_BYTES},
        clock,
        error::{Error, Step as Operation},
        items::strip_unused_value,
        state::State,
        store_sharing,
    },
    gingerpier_base::Instant,
    gingerpier_http1::connection::Whole,
    gingerpier_serving::{
        mirror::{Item, Revision},
        outage::MAX_RETRY_PAUSE_MILLIS,
        platform_api::{self, ApiRequest, Page, PlatformApi, Scope, WatchResponse},
        watching::{Step, WatcherSelection},
    },
    std::{net::SocketAddr, rc::Rc},
};

/// Timeout for the start of a read response.
const READ_TIMEOUT_MILLIS: u64 = 1_500;

/// Longest wait of a gateway's watch: with the pause after it, below the age at which other
/// gateways of the zone treat its copy as stale.
const WATCH_WAIT_MILLIS: u64 = 600;

/// Longest wait of a watch whose predecessor returned nothing although the store had changed.
const MISSED_WATCH_WAIT_MILLIS: u64 = 50;

/// Estimated bytes of an item without its value in a store response.
const ITEM_OVERHEAD_BYTES: usize = 120;

/// Watch response size that is always accepted: covers the largest value that the store accepts,
/// base64 encoded.
const MIN_WATCH_LIMIT_BYTES: usize = 2 * 1024 * 1024;

/// Key that sorts after all others, for reads of the store's revision without items.
const AFTER_LAST_KEY: &str = "~";

/// Pause between watches, which batches changes.
const WATCH_PAUSE_MILLIS: u64 = 400;

/// Pause between polls of a watching gateway.
const POLL_PAUSE_MILLIS: u64 = 20;

/// Longest backoff after the first failed call; doubles with each further one.
const MAX_FIRST_BACKOFF_MILLIS: u64 = 500;

/// Limit of backoff doublings.
const MAX_BACKOFF_DOUBLINGS: u32 = 2;

/// Age at which the pages of a partial copy are discarded: well within the store's change history.
const MAX_PARTIAL_COPY_AGE_MILLIS: u64 = 8_000;

/// Time beyond its wait within which a watch response starts.
const WATCH_SLACK_MILLIS: u64 = 600;

/// Copy of the store, which may be partially read.
#[derive(Debug, Default)]
pub struct FullCopy {
    /// Items that were read.
    pub items: Vec<Item>,
    /// Revision of the first page. Pages are not one snapshot, so a watch has to continue from
    /// here.
    pub revision: Revision,
    /// Revision of the last page.
    pub last_page_revision: Revision,
    /// When the first page was requested.
    started: Option<Instant>,
    /// Last key of each page that was read.
    page_ends: Vec<String>,
    /// Malformed entries that were skipped.
    skipped_count: u32,
}

impl FullCopy {
    /// Reads the missing pages; returns when the first page was requested. Pages are kept on an
    /// error, so the next call resumes after them. Starts again if the store's era changes.
    ///
    /// # Errors
    ///
    /// Fails if a page can't be read.
    pub async fn read(
        &mut self,
        client: &mut Client,
        platform_api: &dyn PlatformApi,
        scope: Scope,
        stale: bool,
    ) -> Result<Instant, Error> {
        let expires = self
            .started
            .map(|started| started.after_millis(MAX_PARTIAL_COPY_AGE_MILLIS));
        if expires.is_some_and(|expires| expires.has_passed(clock::now())) {
            *self = Self::default();
        }
        loop {
            let started = *self.started.get_or_insert_with(clock::now);
            let is_first_page = self.items.is_empty();
            let after = self.items.last().map_or("", |item| item.key.as_str());
            let request = platform_api.list(scope, after, stale);
            let page = read_page(client, platform_api, &request).await;
            let page = page.and_then(|page| self.check_advance(client.peer(), page));
            let page = page.map_err(|cause| Error::Page {
                key: after.to_owned(),
                page: self.page_ends.len() + 1,
                cause: Box::new(cause),
            })?;
            if !is_first_page && page.revision.era != self.revision.era {
                *self = Self::default();
                continue;
            }
            if is_first_page {
                self.revision = page.revision;
            }
            self.last_page_revision = page.revision;
            let last_key = page.items.last().map(|item| item.key.clone());
            self.page_ends.push(last_key.unwrap_or_default());
            self.skipped_count += page.skipped_count;
            let items = page.items.into_iter();
            self.items
                .extend(items.map(|item| strip_unused_value(platform_api, item)));
            if !page.has_more {
                return Ok(started);
            }
        }
    }

    /// Rejects a page after which the list would continue where it has continued before, without end.
    fn check_advance(&self, peer: SocketAddr, page: Page) -> Result<Page, Error> {
        let last_key = page.items.last().map(|item| &item.key);
        let is_repeated = last_key.is_some_and(|key| self.page_ends.contains(key));
        match page.has_more && is_repeated {
            true => Err(Error::Response {
                step: Operation::Parse,
                peer,
                cause: platform_api::Error::Malformed {
                    place: "range".to_owned(),
                    what: "page ends at the same key as an earlier one".to_owned(),
                },
            }),
            false => Ok(page),
        }
    }
}

/// Reads a full copy of `scope`.
///
/// # Errors
///
/// Fails if a page can't be read.
pub async fn read_full(
    client: &mut Client,
    platform_api: &dyn PlatformApi,
    scope: Scope,
    stale: bool,
) -> Result<FullCopy, Error> {
    let mut copy = FullCopy::default();
    copy.read(client, platform_api, scope, stale).await?;
    Ok(copy)
}

/// Creates a client of the store at `peer` that uses a small request to tell a dead connection from
/// a slow network.
pub fn client(peer: SocketAddr, platform_api: &dyn PlatformApi) -> Client {
    Client::new(peer).with_probe(small_request(platform_api))
}

/// Request for an empty page that may be stale, which costs little.
fn small_request(platform_api: &dyn PlatformApi) -> ApiRequest {
    platform_api.list(Scope::Everything, AFTER_LAST_KEY, true)
}

async fn read_page(
    client: &mut Client,
    platform_api: &dyn PlatformApi,
    request: &ApiRequest,
) -> Result<Page, Error> {
    let response = client.call(request, READ_TIMEOUT_MILLIS).await?;
    let page = platform_api.parse_list(response.head.status, &response.body);
    let page = page.map_err(|cause| Error::Response {
        step: Operation::Parse,
        peer: client.peer(),
        cause,
    })?;
    Ok(page.in_era(era(platform_api, &response)))
}

/// Era of the store that sent `response`; 0 on platforms without eras.
pub fn era(platform_api: &dyn PlatformApi, response: &Whole) -> u64 {
    let name = platform_api.header_names().store_era;
    response.head.fields.number(name).unwrap_or_default()
}

/// Watches for changes after revision `after` for up to `millis`.
///
/// # Errors
///
/// Fails if the request fails or the response is invalid.
pub async fn watch(
    client: &mut Client,
    platform_api: &dyn PlatformApi,
    scope: Scope,
    after: Revision,
    millis: u64,
) -> Result<WatchResponse, Error> {
    let request = platform_api.watch(scope, after, millis);
    let response = client.call(&request, millis + WATCH_SLACK_MILLIS).await?;
    let watched = platform_api.parse_watch(response.head.status, &response.body);
    let watched = watched.map_err(|cause| Error::Response {
        step: Operation::Parse,
        peer: client.peer(),
        cause,
    })?;
    Ok(match watched {
        WatchResponse::Changes(page) => {
            WatchResponse::Changes(page.in_era(era(platform_api, &response)))
        }
        WatchResponse::Compacted => WatchResponse::Compacted,
    })
}

/// State of a gateway's polling of the store.
struct Polling {
    client: Client,
    /// Partial copy.
    copy: FullCopy,
    /// True if a watch is not enough and a full copy is needed.
    needs_copy: bool,
    /// True if the last watch returned nothing although the store had changed.
    has_missed_changes: bool,
    /// Revision after which the store last refused a watch, which is logged once.
    refused_after: Option<Revision>,
    /// Consecutive failed calls.
    consecutive_failures: u32,
}

/// Keeps a gateway's mirror up to date, from the store or from a gateway of its zone that watches
/// the store.
pub async fn follow(state: Rc<State>) {
    let mut watching = WatcherSelection::new(state.settings.control, clock::now());
    let client = Client::recording(state.settings.store, state.store_received_at.clone());
    let mut polling = Polling {
        client: client.with_probe(small_request(state.platform_api)),
        copy: FullCopy::default(),
        needs_copy: false,
        has_missed_changes: false,
        refused_after: None,
        consecutive_failures: 0,
    };
    let mut watcher: Option<Client> = None;
    let mut last_kind = None;
    loop {
        let has_copy = state.mirror.borrow().revision() > Revision::default();
        let step = watching.next_step(&state.neighbour_addresses(), has_copy, clock::now());
        let kind = std::mem::discriminant(&step);
        if last_kind.replace(kind) != Some(kind) && matches!(step, Step::Store | Step::Probe) {
            tracing::info!(?step, has_copy, age = ?state.contact_age_millis(), "store is asked by this gateway");
        }
        match step {
            Step::Store => poll_store(&state, &mut polling).await,
            Step::Probe => probe_store(&state, &mut polling, &mut watching).await,
            Step::Wait(until) => clock::until(until).await,
            Step::FirstCopy(member) => {
                if !store_sharing::fetch_first_copy(&state, member).await {
                    watching.record_missing_copy(member);
                }
            }
            Step::Member(member) => {
                let connected = watcher.take().filter(|client| client.peer() == member);
                let mut client = connected.unwrap_or_else(|| watcher_client(member));
                let max_age_millis = watching.max_age_millis(member, clock::now());
                match store_sharing::poll_watcher(&state, &mut client, max_age_millis).await {
                    Ok(()) => {
                        watcher = Some(client);
                        // The response covers as much as a full read of the store.
                        polling.needs_copy = false;
                        clock::pause(POLL_PAUSE_MILLIS).await;
                    }
                    Err(failure) => {
                        tracing::info!(watcher = %member, ?failure, age = ?state.contact_age_millis(), "poll of a watching gateway failed; trying another one");
                        watching.record_failure(member, failure, clock::now());
                    }
                }
            }
        }
    }
}

fn watcher_client(member: SocketAddr) -> Client {
    tracing::info!(watcher = %member, "store is followed through a gateway");
    Client::accepting_compression(member)
}

/// Watches the store for changes, or reads a full copy.
async fn poll_store(state: &State, polling: &mut Polling) {
    let has_copy = state.mirror.borrow().revision() > Revision::default();
    let fresh_at = if has_copy && !polling.needs_copy {
        watch_once(state, polling).await
    } else {
        read_copy(state, polling).await.map(Some)
    };
    match fresh_at {
        Ok(fresh_at) => {
            polling.consecutive_failures = 0;
            // A watch that missed changes, or a pending full read, does not prove freshness.
            if let Some(fresh_at) = fresh_at {
                state.record_contact(0);
                state.record_fresh(fresh_at);
                clock::pause(WATCH_PAUSE_MILLIS).await;
            }
        }
        Err(error) => {
            state.record_store_failure(&error);
            polling.back_off().await;
        }
    }
}

/// Checks the store's revision while other gateways are meant to watch it.
async fn probe_store(state: &State, polling: &mut Polling, watching: &mut WatcherSelection) {
    let requested = clock::now();
    let position = read_position(state, &mut polling.client).await;
    let elapsed_millis = clock::now().millis_since(requested);
    let is_ahead = matches!(position, Ok(Position::Behind | Position::FormerEra));
    if position.is_ok() {
        polling.consecutive_failures = 0;
    }
    watching.record_probe(is_ahead, elapsed_millis, clock::now());
    match position {
        Ok(Position::Current) => {
            state.record_contact(0);
            state.record_fresh(requested);
            clock::pause(WATCH_PAUSE_MILLIS).await;
        }
        Ok(Position::Behind) => {}
        Ok(Position::FormerEra) => polling.needs_copy = true,
        Err(error) => {
            state.record_store_failure(&error);
            polling.back_off().await;
        }
    }
}

impl Polling {
    /// Waits for a random backoff that grows with each failed call, so that gateways do not retry
    /// in step.
    async fn back_off(&mut self) {
        let max_millis =
            MAX_FIRST_BACKOFF_MILLIS << self.consecutive_failures.min(MAX_BACKOFF_DOUBLINGS);
        let max_millis = max_millis.min(MAX_RETRY_PAUSE_MILLIS);
        self.consecutive_failures += 1;
        clock::pause(fastrand::u64(POLL_PAUSE_MILLIS..max_millis)).await;
    }
}

/// Reads a full copy; returns the time as of which it is complete.
async fn read_copy(state: &State, polling: &mut Polling) -> Result<Instant, Error> {
    state.metrics.store_calls.inc();
    let Polling { client, copy, .. } = polling;
    let started = copy
        .read(client, state.platform_api, Scope::Everything, false)
        .await?;
    let copy = std::mem::take(&mut polling.copy);
    tracing::info!(
        pages = copy.page_ends.len(),
        items = copy.items.len(),
        skipped = copy.skipped_count,
        revision = copy.revision.number,
        took = clock::now().millis_since(started),
        "full copy of the store read"
    );
    state.record_store_response(copy.last_page_revision);
    state.replace_mirror(copy.items, copy.revision);
    polling.needs_copy = false;
    polling.has_missed_changes = false;
    Ok(started)
}

/// Runs one watch; returns the time as of which the mirror is complete; `None` if unknown. The
/// mirror keeps its revision on an error, so the next watch resumes there.
async fn watch_once(state: &State, polling: &mut Polling) -> Result<Option<Instant>, Error> {
    state.metrics.store_calls.inc();
    let after = state.mirror.borrow().revision();
    let requested = clock::now();
    let client = &mut polling.client;
    client.max_body_bytes = max_watch_bytes(state);
    // Changes that the last watch missed are already in the store.
    let wait_millis = match polling.has_missed_changes {
        true => MISSED_WATCH_WAIT_MILLIS,
        false => WATCH_WAIT_MILLIS,
    };
    let watched = watch(
        client,
        state.platform_api,
        Scope::Everything,
        after,
        wait_millis,
    )
    .await;
    client.max_body_bytes = MAX_RESPONSE_BYTES;
    let is_too_long = |error: &Error| matches!(error, Error::Http { cause, .. } if *cause == gingerpier_http1::error::Error::BodyTooLong);
    if watched.as_ref().is_err_and(is_too_long) {
        tracing::info!(
            after = after.number,
            "watch response is larger than a full copy; reading a full copy instead"
        );
        polling.needs_copy = true;
        return Ok(None);
    }
    match watched? {
        WatchResponse::Compacted => {
            if polling.refused_after.replace(after) != Some(after) {
                tracing::info!(
                    era = after.era,
                    after = after.number,
                    age = ?state.contact_age_millis(),
                    "store has no history from the replica's revision on; reading a full copy"
                );
            }
            polling.needs_copy = true;
        }
        // Revisions are given out again in a new era, so the changes may leave a gap.
        WatchResponse::Changes(page) if page.revision.era != after.era => {
            polling.needs_copy = true;
        }
        WatchResponse::Changes(page) if page.items.is_empty() => {
            let requested = clock::now();
            let position = read_position(state, &mut polling.client).await?;
            // A change between the two responses is returned by the next watch; a full copy is read
            // if that one misses it, too.
            polling.needs_copy = match position {
                Position::Current => false,
                Position::Behind => polling.has_missed_changes,
                Position::FormerEra => true,
            };
            polling.has_missed_changes = position == Position::Behind;
            return Ok((position == Position::Current).then_some(requested));
        }
        WatchResponse::Changes(page) => {
            polling.has_missed_changes = false;
            state.record_store_response(page.revision);
            state.apply_writes(page.items, page.revision);
            return Ok(Some(requested));
        }
    }
    Ok(None)
}

/// Watch response size above which a full copy is smaller, as a watch includes each superseded
/// version of a value.
fn max_watch_bytes(state: &State) -> usize {
    let mirror = state.mirror.borrow();
    let values = mirror.items().filter_map(|item| item.value);
    let copy_bytes: usize = values
        .map(|value| value.len() * 4 / 3 + ITEM_OVERHEAD_BYTES)
        .sum();
    (copy_bytes * 3 / 2).max(MIN_WATCH_LIMIT_BYTES)
}

/// Position of the mirror relative to the store.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Position {
    /// The mirror has reached the store's revision.
    Current,
    /// The store has later revisions of the same era.
    Behind,
    /// The store is in another era, so that a watch can't continue.
    FormerEra,
}

/// Compares the mirror with the store's revision, which an empty page shows.
async fn read_position(state: &State, client: &mut Client) -> Result<Position, Error> {
    state.metrics.store_calls.inc();
    let request = state
        .platform_api
        .list(Scope::Everything, AFTER_LAST_KEY, false);
    let page = read_page(client, state.platform_api, &request).await?;
    state.record_store_response(page.revision);
    let known = state.mirror.borrow().revision();
    Ok(match page.revision {
        latest if latest.era != known.era => Position::FormerEra,
        latest if latest > known => Position::Behind,
        _ => Position::Current,
    })
}
