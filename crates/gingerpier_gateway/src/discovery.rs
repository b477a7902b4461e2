//! How a gateway that starts finds others of its zone.
//!
//! Gateways that the settings name as seeds are asked for names, and learn that the asker is there: after a
//! restart of everything they know nobody either, and those that ask them meet so. Where no seed answers,
//! the list of engines is read from the store, which is small beside a configuration, and the loaders of those
//! machines name the gateways that want reports of them.

use {
    crate::{
        clock,
        message::{self, Datagram, Member, Names},
        state::State,
        store,
    },
    gingerpier_serving::dialect::{Fact, Scope},
    std::{net::SocketAddr, rc::Rc},
    tokio::net::UdpSocket,
};

/// Milliseconds between greetings.
const HELLO_EVERY_MILLIS: u64 = 50;

/// Milliseconds without a name after which the list of engines is read.
const SEEDS_MILLIS: u64 = 150;

/// Most milliseconds of the pause after the list could not be read, or named nobody: an answer may be old.
const RETRY_MILLIS: u64 = 1_000;

/// Gateways that one answer names: more would not fit into a datagram.
const MOST_NAMED: usize = 32;

/// Greets seeds until the first copy of the store is there.
pub async fn greet(state: Rc<State>, socket: Rc<UdpSocket>) {
    let own = state.settings.peers;
    let hello = message::encode(&Datagram::Hello(Member {
        address: own.to_string(),
        zone: state.settings.zone.clone(),
        probe: None,
    }));
    let seeds = state.settings.seeds.iter();
    let seeds = seeds.map(|seed| SocketAddr::new(seed.ip(), own.port()));
    let seeds: Vec<SocketAddr> = seeds.filter(|seed| *seed != own).collect();
    while state.configuration().is_none() {
        for seed in &seeds {
            // A datagram that can't be sent is as good as lost; the next one follows.
            let _ = socket.try_send_to(&hello, *seed);
        }
        clock::pause(HELLO_EVERY_MILLIS).await;
    }
}

/// Answers a gateway that starts with the names of others of its zone.
pub fn answer(state: &State, socket: &UdpSocket, from: SocketAddr, member: Member) {
    let now = clock::now();
    let mut zones = state.zones.borrow_mut();
    let own = (state.settings.zone.as_str(), state.settings.peers);
    let known = zones.living(now).filter(|one| *one != own).chain([own]);
    let named = named(known, &member, from);
    if let Ok(address) = member.address.parse() {
        zones.note_member(&member.zone, address, now);
    }
    drop(zones);
    let names = message::encode(&Datagram::Names(Names {
        gateways: named,
        probe: None,
    }));
    // A datagram that can't be sent is as good as lost; the asker greets again.
    let _ = socket.try_send_to(&names, from);
}

/// Some of the `known` gateways of the zone of `member`, which greeted from `from`.
fn named<'a>(
    known: impl Iterator<Item = (&'a str, SocketAddr)>,
    member: &Member,
    from: SocketAddr,
) -> Vec<Member> {
    let near = known.filter(|(zone, address)| *zone == member.zone && *address != from);
    let mut near: Vec<Member> = near
        .map(|(zone, address)| Member {
            address: address.to_string(),
            zone: zone.to_owned(),
            probe: None,
        })
        .collect();
    fastrand::shuffle(&mut near);
    near.truncate(MOST_NAMED);
    near
}

/// Reads the list of engines where nobody has named another gateway of this zone.
pub async fn look(state: Rc<State>) {
    clock::pause(SEEDS_MILLIS).await;
    let mut client = store::client(state.settings.store, state.dialect);
    while is_lost(&state) {
        state.metrics.store_calls.inc();
        match store::read_all(&mut client, state.dialect, Scope::Engines, true).await {
            Ok(copy) => {
                let records = copy.items.iter().filter_map(|item| state.items.read(item));
                let near = records.filter_map(|fact| match fact {
                    Fact::Engine(record) if record.zone == state.settings.zone => {
                        Some(record.address.ip())
                    }
                    _ => None,
                });
                *state.first_loaders.borrow_mut() = near.collect();
                tracing::info!(
                    loaders = state.first_loaders.borrow().len(),
                    "list of engines read, to find other gateways"
                );
                if !state.first_loaders.borrow().is_empty() {
                    return;
                }
                clock::pause(RETRY_MILLIS).await;
            }
            Err(error) => {
                state.note_store_failure(&error);
                clock::pause(fastrand::u64(..RETRY_MILLIS)).await;
            }
        }
    }
}

/// True while this gateway knows neither a configuration nor another gateway.
fn is_lost(state: &State) -> bool {
    state.configuration().is_none() && state.neighbours().is_empty()
}
