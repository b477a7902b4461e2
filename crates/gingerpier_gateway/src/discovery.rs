//! Discovery of other gateways in the availability zone by a starting gateway.
//!
//! A starting gateway sends hellos to its seeds, which reply with gateways that they know and learn
//! about the sender. Without a reply, it reads the engine list from the store, and subscribes to
//! the loaders of these engines, which list other subscribers.

use {
    crate::{
        clock,
        message::{self, Datagram, GatewayList, Member},
        state::State,
        store,
    },
    gingerpier_serving::platform_api::{Content, Scope},
    std::{net::SocketAddr, rc::Rc},
    tokio::net::UdpSocket,
};

/// Interval between hellos.
const HELLO_INTERVAL_MILLIS: u64 = 50;

/// Time without a known gateway after which the engine list is read.
const SEED_TIMEOUT_MILLIS: u64 = 150;

/// Pause after an engine list without engines of this zone, which may be stale, and longest pause
/// after a failed read.
const MAX_RETRY_PAUSE_MILLIS: u64 = 1_000;

/// Gateways in one reply; limited by the datagram size.
const MAX_LISTED: usize = 32;

/// Sends hellos to seeds until a configuration is known.
pub async fn send_hellos(state: Rc<State>, socket: Rc<UdpSocket>) {
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
            // A lost datagram is replaced by the next hello.
            let _ = socket.try_send_to(&hello, *seed);
        }
        clock::pause(HELLO_INTERVAL_MILLIS).await;
    }
}

/// Replies to a hello with other gateways of the sender's zone.
pub fn reply_to_hello(state: &State, socket: &UdpSocket, from: SocketAddr, member: Member) {
    let now = clock::now();
    let mut zones = state.zones.borrow_mut();
    let own = (state.settings.zone.as_str(), state.settings.peers);
    let known = zones
        .alive(now)
        .filter(|gateway| *gateway != own)
        .chain([own]);
    let listed = select_gateways(known, &member, from);
    if let Ok(address) = member.address.parse() {
        zones.record_member(&member.zone, address, now);
    }
    drop(zones);
    let reply = message::encode(&Datagram::GatewayList(GatewayList {
        gateways: listed,
        probe: None,
    }));
    // A lost datagram is replaced by the reply to the next hello.
    let _ = socket.try_send_to(&reply, from);
}

/// Random selection of `known` gateways in the zone of `member`, without the sender `from`.
fn select_gateways<'a>(
    known: impl Iterator<Item = (&'a str, SocketAddr)>,
    member: &Member,
    from: SocketAddr,
) -> Vec<Member> {
    let in_zone = known.filter(|(zone, address)| *zone == member.zone && *address != from);
    let mut members: Vec<Member> = in_zone
        .map(|(zone, address)| Member {
            address: address.to_string(),
            zone: zone.to_owned(),
            probe: None,
        })
        .collect();
    fastrand::shuffle(&mut members);
    members.truncate(MAX_LISTED);
    members
}

/// Reads the engine list until another gateway or a loader of this zone is known.
pub async fn find_loaders(state: Rc<State>) {
    clock::pause(SEED_TIMEOUT_MILLIS).await;
    let mut client = store::client(state.settings.store, state.platform_api);
    while is_isolated(&state) {
        state.metrics.store_calls.inc();
        match store::read_full(&mut client, state.platform_api, Scope::Engines, true).await {
            Ok(copy) => {
                let records = copy
                    .items
                    .iter()
                    .filter_map(|item| state.item_parser.parse(item));
                let loaders = records.filter_map(|fact| match fact {
                    Content::Engine(record) if record.zone == state.settings.zone => {
                        Some(record.address.ip())
                    }
                    _ => None,
                });
                *state.bootstrap_loaders.borrow_mut() = loaders.collect();
                tracing::info!(
                    loaders = state.bootstrap_loaders.borrow().len(),
                    "engine list read to discover gateways"
                );
                if !state.bootstrap_loaders.borrow().is_empty() {
                    return;
                }
                clock::pause(MAX_RETRY_PAUSE_MILLIS).await;
            }
            Err(error) => {
                state.record_store_failure(&error);
                clock::pause(fastrand::u64(..MAX_RETRY_PAUSE_MILLIS)).await;
            }
        }
    }
}

/// True while neither a configuration nor another gateway is known.
fn is_isolated(state: &State) -> bool {
    state.configuration().is_none() && state.neighbour_addresses().is_empty()
}
