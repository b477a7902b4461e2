//! Sharing of store contents between gateways.
//!
//! Gateways that watch the store share it with the others of their zone, and any gateway shares it
//! with one that can't reach the store.

use {
    crate::{
        client::{Client, MAX_RESPONSE_BYTES},
        clock, compression,
        message::{self, Snapshot},
        metrics::MessageKind,
        state::State,
    },
    futures_util::future::join_all,
    gingerpier_base::{Instant, target::Target},
    gingerpier_http1::{
        connection::{Connection, Whole},
        head::Request,
        writer::Message,
    },
    gingerpier_serving::{
        mirror::Revision,
        outage::Recovery,
        platform_api::ApiRequest,
        watching::{self, Failure},
    },
    std::{net::SocketAddr, rc::Rc},
    tokio::net::TcpListener,
};

const SNAPSHOT_PATH: &str = "/snapshot";

const METRICS_PATH: &str = "/metrics";

/// Path that lists held requests.
const HELD_PATH: &str = "/held";

/// Path prefix that dismisses the hold on a request, followed by its fingerprint.
const RELEASE_PATH: &str = "/release/";

/// Interval between polls of peers while the store is unreachable.
const POLL_INTERVAL_MILLIS: u64 = 300;

/// Timeout for a response.
const RESPONSE_TIMEOUT_MILLIS: u64 = 500;

/// Longest time that a request waits for changes.
const MAX_WAIT_MILLIS: u64 = 400;

/// Time that a response may take in addition to the wait.
const WAIT_MARGIN_MILLIS: u64 = 250;

/// Peers polled concurrently.
const MAX_POLLED_PEERS: usize = 2;

/// Largest request head.
const MAX_HEAD_BYTES: usize = 4096;

/// Header field with the [`Ages`] of a snapshot, which keep the body equal for all requests.
const AGES_FIELD: &str = "ages-millis";

/// Request header field with the era of the revision that the sender has; a field, as processes of
/// earlier versions reject further parameters in the query.
const ERA_FIELD: &str = "known-era";

/// Longest time that a connection may stay idle.
const IDLE_TIMEOUT_MILLIS: u64 = 10_000;

/// Serves snapshots, metrics and held requests.
pub async fn serve(state: Rc<State>, listener: TcpListener) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                let state = state.clone();
                actix_rt::spawn(
                    async move { serve_connection(&state, Connection::new(stream)).await },
                );
            }
            Err(_) => clock::pause(POLL_INTERVAL_MILLIS).await,
        }
    }
}

async fn serve_connection(state: &State, mut connection: Connection) {
    let idle_deadline = clock::now().after_millis(IDLE_TIMEOUT_MILLIS);
    while let Some(Some(request)) = clock::before(idle_deadline, read_head(&mut connection)).await {
        let response = build_response(state, &request).await;
        if connection.write(&response).await.is_err() {
            return;
        }
    }
}

/// Reads the head of a request without a body; none if the peer closed the connection or sent an
/// invalid head.
pub async fn read_head(connection: &mut Connection) -> Option<Request> {
    loop {
        match Request::parse(&mut connection.input, MAX_HEAD_BYTES) {
            Ok(Some(request)) => return Some(request),
            Ok(None) => {}
            Err(_) => return None,
        }
        if !connection.read().await.ok()? {
            return None;
        }
    }
}

async fn build_response(state: &State, request: &Request) -> Vec<u8> {
    let target = std::str::from_utf8(request.target()).unwrap_or_default();
    if target == METRICS_PATH {
        return Message::response(200).body(state.metrics.text().as_bytes());
    }
    if target == HELD_PATH {
        return Message::response(200).body(state.held_requests_text().as_bytes());
    }
    if let Some(fingerprint) = target.strip_prefix(RELEASE_PATH) {
        let is_valid = request.method() == b"POST" && !fingerprint.is_empty();
        let released = if is_valid {
            state.dismiss_held(fingerprint)
        } else {
            0
        };
        let status = if released > 0 { 200 } else { 404 };
        return Message::response(status).body(format!("released={released}\n").as_bytes());
    }
    // Processes of earlier versions know no eras and compare numbers only.
    let own_era = state.mirror.borrow().revision().era;
    let era = request.fields.number(ERA_FIELD).unwrap_or(own_era);
    let Some(snapshot_request) = SnapshotRequest::parse(target, era) else {
        return Message::response(404).body(b"");
    };
    let received_at = clock::now();
    wait_for_changes(state, &snapshot_request).await;
    let accepts_compression = request
        .fields
        .lists("accept-encoding", compression::ENCODING);
    let encoded = state.snapshots.encode(
        &state.mirror.borrow(),
        snapshot_request.after,
        accepts_compression,
    );
    state
        .metrics
        .record_message(MessageKind::Snapshot, encoded.bytes.len());
    let ages = Ages {
        last_contact_millis: state.silence_millis(),
        last_current_millis: state.mirror_age_millis(),
        wait_millis: clock::now().millis_since(received_at),
        last_recovery: RecoveryAge::of(state),
    };
    let response = Message::response(200).field(AGES_FIELD.as_bytes(), ages.text().as_bytes());
    match encoded.is_compressed {
        true => response
            .field(b"content-encoding", compression::ENCODING.as_bytes())
            .body(&encoded.bytes),
        false => response.body(&encoded.bytes),
    }
}

/// Returns once a newer revision than requested is known, or the wait time is over.
async fn wait_for_changes(state: &State, snapshot_request: &SnapshotRequest) {
    let deadline = clock::now().after_millis(snapshot_request.wait_millis.min(MAX_WAIT_MILLIS));
    while state.mirror.borrow().revision() <= snapshot_request.after {
        let changes = clock::before(deadline, state.mirror_changed.notified());
        if changes.await.is_none() {
            return;
        }
    }
}

/// A request for a snapshot to another gateway.
#[derive(Debug, Clone, Copy)]
struct SnapshotRequest {
    /// Revision that the sender already has.
    after: Revision,
    /// Longest time to wait for changes.
    wait_millis: u64,
}

impl SnapshotRequest {
    fn target(&self) -> Target {
        Target::new(SNAPSHOT_PATH)
            .parameter("after", self.after.number)
            .parameter("wait", self.wait_millis)
    }

    /// Parses `target`, whose revision is in `era`.
    fn parse(target: &str, era: u64) -> Option<Self> {
        let query = target
            .strip_prefix(SNAPSHOT_PATH)?
            .strip_prefix("?after=")?;
        let (after, wait) = query.split_once("&wait=").unwrap_or((query, "0"));
        Some(Self {
            after: Revision::new(after.parse().ok()?).in_era(era),
            wait_millis: wait.parse().ok()?,
        })
    }
}

/// Requests changes from a gateway that watches the store, and applies them.
///
/// # Errors
///
/// If the gateway doesn't respond, its copy is of an older era of the store than the own one, or its
/// last contact with the store is older than `max_age_millis` milliseconds.
pub async fn poll_watcher(
    state: &State,
    client: &mut Client,
    max_age_millis: u64,
) -> Result<(), Failure> {
    let snapshot_request = SnapshotRequest {
        after: state.mirror.borrow().revision(),
        wait_millis: MAX_WAIT_MILLIS,
    };
    let received = exchange(
        client,
        &snapshot_request,
        MAX_WAIT_MILLIS + WAIT_MARGIN_MILLIS,
    )
    .await;
    let received = received.ok_or(Failure::Silent)?;
    let age = received.ages.last_contact_millis;
    if received.snapshot.era < state.mirror.borrow().revision().era {
        return Err(Failure::Old);
    }
    record_outage(state, &received);
    apply_snapshot(state, received);
    if age > max_age_millis {
        return Err(Failure::Old);
    }
    state.record_contact(age);
    Ok(())
}

/// Requests a first copy of the store from another gateway; false if it has none.
pub async fn fetch_first_copy(state: &State, peer: SocketAddr) -> bool {
    let age = fetch_snapshot(state, peer).await;
    if let Some(age) = age {
        state.record_contact(age);
    }
    age.is_some()
}

/// Ages of a snapshot in milliseconds at the time of the response.
#[derive(Debug, Clone, Copy)]
struct Ages {
    /// Time since the last contact with the store.
    last_contact_millis: u64,
    /// Time since the snapshot was certainly up to date; none if unknown.
    last_current_millis: Option<u64>,
    /// Time for which the request waited.
    wait_millis: u64,
    /// Last recovery of the store from an outage; none without a recent outage.
    last_recovery: Option<RecoveryAge>,
}

/// Last recovery of the store from an outage.
#[derive(Debug, Clone, Copy)]
struct RecoveryAge {
    /// Remaining time in which missing entries may still be written again.
    remaining_millis: u64,
    /// Revision at the recovery.
    revision: Revision,
}

impl RecoveryAge {
    fn of(state: &State) -> Option<Self> {
        let last = state.last_recovery()?;
        Some(Self {
            remaining_millis: last.until.millis_since(clock::now()),
            revision: last.revision,
        })
    }
}

impl Ages {
    fn text(self) -> String {
        let last_current = self
            .last_current_millis
            .map_or_else(String::new, |age| age.to_string());
        let last_recovery = self.last_recovery.map_or_else(String::new, |last| {
            let Revision { era, number } = last.revision;
            format!(",{},{number},{era}", last.remaining_millis)
        });
        format!(
            "{},{last_current},{}{last_recovery}",
            self.last_contact_millis, self.wait_millis
        )
    }

    fn parse(text: &[u8]) -> Option<Self> {
        let mut parts = std::str::from_utf8(text).ok()?.split(',');
        let mut next = || parts.next();
        Some(Self {
            last_contact_millis: next()?.parse().ok()?,
            last_current_millis: next()?.parse().ok(),
            wait_millis: next()?.parse().ok()?,
            last_recovery: next().zip(next()).and_then(|(remaining_millis, revision)| {
                // Processes without eras are in the first one.
                let era = next().map_or(Some(0), |era| era.parse().ok())?;
                Some(RecoveryAge {
                    remaining_millis: remaining_millis.parse().ok()?,
                    revision: Revision::new(revision.parse().ok()?).in_era(era),
                })
            }),
        })
    }
}

/// A snapshot received from another gateway.
struct ReceivedSnapshot {
    snapshot: Snapshot,
    ages: Ages,
    /// Time at which the request was sent.
    sent_at: Instant,
}

async fn exchange(
    client: &mut Client,
    snapshot_request: &SnapshotRequest,
    timeout_millis: u64,
) -> Option<ReceivedSnapshot> {
    let call = ApiRequest::get(snapshot_request.target())
        .with_field(ERA_FIELD, snapshot_request.after.era.to_string());
    let sent_at = clock::now();
    let response = client.call(&call, timeout_millis).await.ok()?;
    if response.head.status != 200 {
        return None;
    }
    let received = decode_snapshot(&response, sent_at);
    if received.is_none() {
        tracing::warn!(peer = %client.peer(), "invalid snapshot from a gateway");
    }
    received
}

fn decode_snapshot(response: &Whole, sent_at: Instant) -> Option<ReceivedSnapshot> {
    let fields = &response.head.fields;
    let ages = Ages::parse(fields.get(AGES_FIELD)?)?;
    let snapshot = match fields.lists("content-encoding", compression::ENCODING) {
        true => message::decode(&compression::decompress(&response.body, MAX_RESPONSE_BYTES).ok()?),
        false => message::decode(&response.body),
    };
    Some(ReceivedSnapshot {
        snapshot: snapshot?,
        ages,
        sent_at,
    })
}

/// Records an outage of the store before entries that are missing since then count as removed.
fn record_outage(state: &State, received: &ReceivedSnapshot) {
    let ages = &received.ages;
    // The response was created at least this long after the request.
    let created_at = received.sent_at.after_millis(ages.wait_millis);
    let confirmed_at = ages
        .last_current_millis
        .map(|age| Instant::from_millis(created_at.as_millis().saturating_sub(age)));
    let last_recovery = ages.last_recovery.map(|last| Recovery {
        revision: last.revision,
        until: created_at.after_millis(last.remaining_millis),
    });
    state.record_peer_outage(confirmed_at, last_recovery);
}

fn apply_snapshot(state: &State, received: ReceivedSnapshot) {
    let at = received.snapshot.at();
    let is_changes = received.snapshot.is_changes;
    let items = received.snapshot.into_items();
    if is_changes {
        state.apply_changes(items, at);
    } else {
        state.replace_mirror(items, at);
    }
    state.record_peer_freshness(
        received.sent_at,
        received.ages.last_current_millis,
        received.ages.wait_millis,
    );
}

/// Polls peers while the store is unreachable. Waits for all responses, as concurrent transfers of
/// large ones would slow each other down.
pub async fn run(state: Rc<State>) {
    loop {
        clock::pause(POLL_INTERVAL_MILLIS).await;
        if !state.has_stale_contact() {
            continue;
        }
        let polls = choose_peers(&state)
            .into_iter()
            .map(|peer| fetch_snapshot(&state, peer));
        join_all(polls).await;
    }
}

/// Gateways to poll: those of the own zone, or those of all zones if this gateway watches the store
/// for its zone. That limits transfers of a large configuration between regions.
fn choose_peers(state: &State) -> Vec<SocketAddr> {
    let own = state.settings.control;
    let zone_peers = state.neighbour_addresses();
    let mut peers: Vec<SocketAddr> = match watching::is_watcher(own, zone_peers.iter().copied()) {
        true => {
            let reachable = state.alive_gateways().into_iter();
            let reachable =
                reachable.map(|gateway| SocketAddr::new(gateway.address.ip(), own.port()));
            reachable
                .chain(state.settings.seeds.iter().copied())
                .collect()
        }
        false => zone_peers,
    };
    peers.retain(|peer| *peer != own);
    peers.sort_unstable();
    peers.dedup();
    fastrand::shuffle(&mut peers);
    peers.truncate(MAX_POLLED_PEERS);
    peers
}

/// Applies a newer snapshot of another gateway; returns the age of its last contact with the store,
/// or none if it has nothing newer.
async fn fetch_snapshot(state: &State, peer: SocketAddr) -> Option<u64> {
    let after = state.mirror.borrow().revision();
    let snapshot_request = SnapshotRequest {
        after,
        wait_millis: 0,
    };
    let mut client = Client::accepting_compression(peer);
    let received = exchange(&mut client, &snapshot_request, RESPONSE_TIMEOUT_MILLIS).await?;
    record_outage(state, &received);
    let at = received.snapshot.at();
    if at <= after {
        return None;
    }
    let age = received.ages.last_contact_millis;
    tracing::info!(%peer, era = at.era, at = at.number, had_era = after.era, had = after.number, age, "snapshot taken from a gateway");
    apply_snapshot(state, received);
    Some(age)
}
