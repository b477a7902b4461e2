//! Exchange of digests between zones: engine loads of this zone for other zones, and the reverse.

use {
    crate::{
        clock,
        message::{self, Datagram, Digest, DigestEngine, Grant, IndexedVersion, ServiceDemand},
        metrics::MessageKind,
        state::State,
    },
    gingerpier_base::Instant,
    gingerpier_serving::{
        engine::Engine,
        report::{Born, Report},
        zones::{Acceptance, Header},
    },
    std::{net::SocketAddr, rc::Rc},
    tokio::net::UdpSocket,
};

/// Interval between checks whether a digest is due.
const POLL_INTERVAL_MILLIS: u64 = 25;

/// Engines in one part of a digest, of about 30 bytes each, to fit into a datagram.
const ENGINES_PER_PART: usize = 24;

/// Gateways in one part of a digest, of about 12 bytes each.
const GATEWAYS_PER_PART: usize = 32;

/// Most parts of one digest, which bounds the traffic between zones.
const MAX_PARTS: usize = 4;

/// Number of the part with demand and grants, which are sent apart from the engines to fit into a
/// datagram.
const SHARING_PART: u32 = MAX_PARTS as u32;

/// Longest part with demand and grants; further grants are left out.
const MAX_SHARING_BYTES: usize = 1_300;

/// Most models that one part names.
const MAX_MODELS: usize = 8;

/// Sends digests of this zone's engines to other zones when it is this gateway's turn.
pub async fn send_digests(state: Rc<State>, socket: Rc<UdpSocket>) {
    let mut turn = 0;
    loop {
        clock::pause(POLL_INTERVAL_MILLIS).await;
        let now = clock::now();
        let receivers = state.zones.borrow_mut().poll(now);
        if receivers.is_empty() {
            continue;
        }
        turn += 1;
        let parts = parts(&state, turn, now).into_iter();
        for part in parts.chain(sharing_part(&state, now)) {
            let bytes = message::encode(&Datagram::Digest(part));
            for receiver in &receivers {
                state
                    .metrics
                    .record_message(MessageKind::Digest, bytes.len());
                // A datagram that is not sent counts as lost; the next digest replaces it.
                let _ = socket.try_send_to(&bytes, *receiver);
            }
        }
    }
}

/// Applies a digest of another zone and forwards it to the gateways of this zone.
pub fn receive_digest(state: &State, socket: &UdpSocket, digest: Digest) {
    let now = clock::now();
    let header = Header {
        zone: &digest.zone,
        sender: digest.sender,
        stamp: digest.timestamp_millis,
        part: digest.part,
        gateway_count: digest.gateway_count,
    };
    let was_reachable = state.zones.borrow().has_recent_digest(&digest.zone, now);
    if state.zones.borrow_mut().accept(&header, now) == Acceptance::Outdated {
        return;
    }
    if !was_reachable {
        tracing::info!(zone = digest.zone, sender = %digest.sender, "receiving digests from the gateways of another zone");
    }
    match digest.part {
        SHARING_PART => state.record_shared(&digest, now),
        _ => apply_digest(state, &digest, now),
    }
    if digest.is_forwarded {
        return;
    }
    let forwarded = Digest {
        is_forwarded: true,
        ..digest
    };
    let bytes = message::encode(&Datagram::Digest(forwarded));
    for neighbour in state.zones.borrow().neighbours() {
        state
            .metrics
            .record_message(MessageKind::DigestPassedOn, bytes.len());
        // A datagram that is not sent counts as lost; the next digest replaces it.
        let _ = socket.try_send_to(&bytes, neighbour);
    }
}

fn apply_digest(state: &State, digest: &Digest, now: Instant) {
    let mut zones = state.zones.borrow_mut();
    zones.record_member(&digest.zone, digest.sender, now);
    for gateway in &digest.gateways {
        zones.record_member(&digest.zone, *gateway, now);
    }
    let mut fleet = state.fleet.borrow_mut();
    for entry in &digest.engines {
        let report = report_from(entry, digest);
        let previous = fleet.at_address(entry.address);
        let Some(key) = fleet.resolve_incarnation(entry.address, report.start_time) else {
            continue;
        };
        if previous != Some(key) {
            fleet.engine_mut(key).warmup.record_possible_cooling(now);
        }
        let age_millis = u64::from(entry.age_millis);
        let at = Instant::from_millis(now.as_millis().saturating_sub(age_millis));
        fleet.engine_mut(key).record_forwarded_report(report, at);
    }
}

fn report_from(entry: &DigestEngine, digest: &Digest) -> Report {
    let loaded = entry
        .loaded
        .iter()
        .filter_map(|weights| weights.decode(&digest.models));
    let start_offset = entry.start_offset_millis.checked_sub(1);
    Report {
        start_time: start_offset
            .map(|offset| Born(digest.first_start_millis.saturating_add(offset))),
        loaded: loaded.collect(),
        is_busy: entry.is_busy,
        sequence: 0,
        queued: entry.queued,
        active: entry.active,
        memory_used_tokens: 0,
        memory_total_tokens: 0,
        pending_prompt_tokens: entry.unread_tokens,
        slowdown: f64::from(entry.slowdown_permille) / 1_000.0,
    }
}

/// Builds the digest of this zone in parts; gateways rotate with `turn` if they do not all fit.
fn parts(state: &State, turn: usize, now: Instant) -> Vec<Digest> {
    let fleet = state.fleet.borrow();
    let own_zone = &state.settings.zone;
    let mut engines: Vec<(&Engine, &Report)> = fleet
        .listed()
        .filter(|(_, engine)| engine.record.zone == *own_zone)
        .filter_map(|(_, engine)| Some((engine, engine.fresh_report(now)?)))
        .collect();
    // Keeps the engines with the most free capacity if they do not all fit.
    engines.sort_by_key(|(_, report)| (report.is_busy, report.queued + report.active));
    engines.truncate(ENGINES_PER_PART * MAX_PARTS);
    let zones = state.zones.borrow();
    let gateways: Vec<SocketAddr> = {
        let own = std::iter::once(state.settings.peers);
        own.chain(zones.neighbours()).collect()
    };
    let part_count = engines.len().div_ceil(ENGINES_PER_PART).max(1);
    let gateway_chunks = gateways.chunks(GATEWAYS_PER_PART).count();
    let part = |index: usize| {
        let chunk = engines.chunks(ENGINES_PER_PART).nth(index);
        let mut models = Vec::new();
        let chunk = chunk.unwrap_or_default();
        let start_times = chunk.iter().filter_map(|(engine, _)| engine.start_time());
        let first_start_millis = start_times.min().map_or(0, |start_time| start_time.0);
        let entries = chunk.iter().map(|(engine, report)| DigestEngine {
            start_offset_millis: engine
                .start_time()
                .map_or(0, |start_time| start_time.0 - first_start_millis + 1),
            ..digest_engine(engine, report, &mut models, now)
        });
        let engines = entries.collect();
        let gateway_chunk = (turn * part_count + index) % gateway_chunks.max(1);
        let gateways = gateways.chunks(GATEWAYS_PER_PART).nth(gateway_chunk);
        Digest {
            zone: own_zone.clone(),
            sender: state.settings.peers,
            timestamp_millis: now.as_millis(),
            part: index as u32,
            gateway_count: zones.zone_count(own_zone),
            models,
            engines,
            gateways: gateways.unwrap_or_default().to_vec(),
            is_forwarded: false,
            first_start_millis,
            demand: None,
            grants: None,
        }
    };
    (0..part_count).map(part).collect()
}

/// Part with the demand and the grants of this zone; `None` if capacity is not shared.
fn sharing_part(state: &State, now: Instant) -> Option<Digest> {
    let (demand, mut grants) = state.shared(now)?;
    grants.sort_by(|one, other| other.per_second.total_cmp(&one.per_second));
    let demand: Vec<_> = demand.into_iter().map(ServiceDemand::new).collect();
    let grants: Vec<_> = grants.into_iter().map(Grant::new).collect();
    let zone = state.settings.zone.clone();
    let gateway_count = state.zones.borrow().zone_count(&zone);
    let mut part = Digest {
        zone,
        sender: state.settings.peers,
        timestamp_millis: now.as_millis(),
        part: SHARING_PART,
        gateway_count,
        models: Vec::new(),
        engines: Vec::new(),
        gateways: Vec::new(),
        is_forwarded: false,
        first_start_millis: 0,
        demand: (!demand.is_empty()).then_some(demand),
        grants: (!grants.is_empty()).then_some(grants),
    };
    while message::encode(&part).len() > MAX_SHARING_BYTES {
        part.grants.as_mut()?.pop()?;
    }
    Some(part)
}

fn digest_engine(
    engine: &Engine,
    report: &Report,
    models: &mut Vec<String>,
    now: Instant,
) -> DigestEngine {
    let loaded = report.loaded.iter();
    let loaded = loaded.filter_map(|weights| IndexedVersion::new(weights, models, MAX_MODELS));
    DigestEngine {
        address: engine.record.address,
        age_millis: engine.report_age(now).unwrap_or_default() as u32,
        loaded: loaded.collect(),
        is_busy: report.is_busy,
        queued: report.queued,
        active: report.active,
        unread_tokens: report.pending_prompt_tokens,
        slowdown_permille: (report.slowdown * 1_000.0) as u32,
        start_offset_millis: 0,
    }
}
