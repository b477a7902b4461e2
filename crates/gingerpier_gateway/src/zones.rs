//! Digests of this zone for gateways of other zones, and theirs for the gateways of this one.

use {
    crate::{
        clock,
        message::{self, Datagram, Digest, DigestEngine, DigestHeld},
        metrics::Kind,
        state::State,
    },
    gingerpier_base::Instant,
    gingerpier_serving::{
        engine::Engine,
        report::{Born, Report},
        zones::{Heading, Reception},
    },
    std::{net::SocketAddr, rc::Rc},
    tokio::net::UdpSocket,
};

/// Milliseconds between looks at whether a digest is due.
const LOOK_MILLIS: u64 = 25;

/// Engines in one part: some 30 bytes each, so that a part fits into a datagram beside its gateways.
const ENGINES_A_PART: usize = 24;

/// Gateways in one part, some 12 bytes each.
const GATEWAYS_A_PART: usize = 32;

/// Most parts of one digest: what crosses between zones stays bounded, whatever their size.
const MOST_PARTS: usize = 4;

/// Models that a digest names.
const MOST_MODELS: usize = 8;

/// Sends digests of this zone where it is this gateway's turn.
pub async fn tell(state: Rc<State>, socket: Rc<UdpSocket>) {
    let mut turn = 0;
    loop {
        clock::pause(LOOK_MILLIS).await;
        let now = clock::now();
        let receivers = state.zones.borrow_mut().poll(now);
        if receivers.is_empty() {
            continue;
        }
        turn += 1;
        for part in parts(&state, turn, now) {
            let bytes = message::encode(&Datagram::Digest(part));
            for receiver in &receivers {
                state.metrics.note_message(Kind::Digest, bytes.len());
                // A datagram that can't be sent is as good as lost; the next one follows.
                let _ = socket.try_send_to(&bytes, *receiver);
            }
        }
    }
}

/// Takes a digest of another zone, and passes it on to the gateways of this one.
pub fn take(state: &State, socket: &UdpSocket, digest: Digest) {
    let now = clock::now();
    let heading = Heading {
        zone: &digest.zone,
        sender: digest.sender,
        stamp: digest.stamp,
        part: digest.part,
        gateway_count: digest.gateway_count,
    };
    let was_heard = state.zones.borrow().is_heard(&digest.zone, now);
    if state.zones.borrow_mut().take(&heading, now) == Reception::Old {
        return;
    }
    if !was_heard {
        tracing::info!(zone = digest.zone, sender = %digest.sender, "zone is heard through its gateways");
    }
    note(state, &digest, now);
    if digest.is_passed_on {
        return;
    }
    let passed_on = Digest {
        is_passed_on: true,
        ..digest
    };
    let bytes = message::encode(&Datagram::Digest(passed_on));
    for neighbour in state.zones.borrow().neighbours() {
        state
            .metrics
            .note_message(Kind::DigestPassedOn, bytes.len());
        // A datagram that can't be sent is as good as lost; the next one follows.
        let _ = socket.try_send_to(&bytes, neighbour);
    }
}

fn note(state: &State, digest: &Digest, now: Instant) {
    let mut zones = state.zones.borrow_mut();
    zones.note_member(&digest.zone, digest.sender, now);
    for gateway in &digest.gateways {
        zones.note_member(&digest.zone, *gateway, now);
    }
    let mut fleet = state.fleet.borrow_mut();
    for told in &digest.engines {
        let report = report_of(told, digest);
        let known = fleet.at_address(told.address);
        let Some(key) = fleet.incarnation(told.address, report.born) else {
            continue;
        };
        if known != Some(key) {
            fleet.engine_mut(key).warmth.note_doubt(now);
        }
        let age = u64::from(told.age);
        let at = Instant::from_millis(now.as_millis().saturating_sub(age));
        fleet.engine_mut(key).note_passed_on(report, at);
    }
}

fn report_of(told: &DigestEngine, digest: &Digest) -> Report {
    let held = told
        .held
        .iter()
        .filter_map(|held| held.held(&digest.models));
    let after = told.born_after.checked_sub(1);
    Report {
        born: after.map(|after| Born(digest.first_born.saturating_add(after))),
        held: held.collect(),
        is_busy: told.is_busy,
        sequence: 0,
        queued: told.queued,
        active: told.active,
        memory_used: 0,
        memory_total: 0,
        unread_tokens: told.unread_tokens,
        pace: f64::from(told.pace) / 1_000.0,
    }
}

/// The digest of this zone, by parts; at each `turn` other gateways where not all of them fit in.
fn parts(state: &State, turn: usize, now: Instant) -> Vec<Digest> {
    let fleet = state.fleet.borrow();
    let own_zone = &state.settings.zone;
    let mut engines: Vec<(&Engine, &Report)> = fleet
        .listed()
        .filter(|(_, engine)| engine.record.zone == *own_zone)
        .filter_map(|(_, engine)| Some((engine, engine.fresh_report(now)?)))
        .collect();
    // Where not all fit in, others want to know of those that have most room.
    engines.sort_by_key(|(_, report)| (report.is_busy, report.queued + report.active));
    engines.truncate(ENGINES_A_PART * MOST_PARTS);
    let zones = state.zones.borrow();
    let gateways: Vec<SocketAddr> = {
        let own = std::iter::once(state.settings.peers);
        own.chain(zones.neighbours()).collect()
    };
    let part_count = engines.len().div_ceil(ENGINES_A_PART).max(1);
    let gateway_parts = gateways.chunks(GATEWAYS_A_PART).count();
    let part = |number: usize| {
        let told = engines.chunks(ENGINES_A_PART).nth(number);
        let mut models = Vec::new();
        let told = told.unwrap_or_default();
        let births = told.iter().filter_map(|(engine, _)| engine.born());
        let first_born = births.min().map_or(0, |born| born.0);
        let told = told.iter().map(|(engine, report)| DigestEngine {
            born_after: engine.born().map_or(0, |born| born.0 - first_born + 1),
            ..told_of(engine, report, &mut models, now)
        });
        let engines = told.collect();
        let gateway_part = (turn * part_count + number) % gateway_parts.max(1);
        let gateways = gateways.chunks(GATEWAYS_A_PART).nth(gateway_part);
        Digest {
            zone: own_zone.clone(),
            sender: state.settings.peers,
            stamp: now.as_millis(),
            part: number as u32,
            gateway_count: zones.zone_count(own_zone),
            models,
            engines,
            gateways: gateways.unwrap_or_default().to_vec(),
            is_passed_on: false,
            first_born,
        }
    };
    (0..part_count).map(part).collect()
}

fn told_of(
    engine: &Engine,
    report: &Report,
    models: &mut Vec<String>,
    now: Instant,
) -> DigestEngine {
    let held = report.held.iter();
    let held = held.filter_map(|held| DigestHeld::new(held, models, MOST_MODELS));
    DigestEngine {
        address: engine.record.address,
        age: engine.report_age(now).unwrap_or_default() as u32,
        held: held.collect(),
        is_busy: report.is_busy,
        queued: report.queued,
        active: report.active,
        unread_tokens: report.unread_tokens,
        pace: (report.pace * 1_000.0) as u32,
        born_after: 0,
    }
}
