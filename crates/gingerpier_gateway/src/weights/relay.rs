//! A gateway that carries weights for its zone.

use {
    super::{Carriers, GatewayPlace, fetch, sources::Task},
    crate::{clock, state::State, weights},
    gingerpier_base::order,
    gingerpier_serving::{dialect::Named, engine::Engine, report::Version},
    gingerpier_weights::{
        Holders, Route,
        plan::{ReplicaKey, Source},
    },
    std::{collections::BTreeSet, net::SocketAddr, rc::Rc},
};

/// Milliseconds from the start within which a gateway carries nothing: what it knows of other
/// gateways by then would make it ask the origin for what is already on its way.
const SETTLE_MILLIS: u64 = 400;

/// Milliseconds between looks at what is to be carried.
const LOOK_MILLIS: u64 = 25;

/// Chunks of other gateways on their way at once.
const LINK_TURNS: usize = 8;

/// Milliseconds that another gateway may take for one chunk.
const PATIENCE_MILLIS: u64 = 5_000;

/// Chunks asked for at once.
const WINDOW: usize = 16;

/// Questions to the origin at once.
const ORIGIN_TURNS: usize = 1;

/// Milliseconds without a chunk of an older version after which the next one no longer waits
/// for it.
const STALLED_MILLIS: u64 = 700;

/// Share of a version's chunks from which on it comes to its end before a newer one: what is left
/// takes less time than the newer one would lose by starting over.
const WORTH_FINISHING: f64 = 0.5;

/// Milliseconds after weights were first heard of from which on others may hold chunks of them: before, whoever
/// is the first to take a chunk would only ask in vain.
const HELD_AFTER_MILLIS: u64 = 1_000;

/// Most loaders of which some are asked for chunks before the origin: each is asked for one chunk in 16 then.
const MOST_HOLDERS: usize = 32;

/// A version on its way here.
struct Work {
    named: Named,
    task: actix_rt::task::JoinHandle<Named>,
}

/// Carries what is named and not yet held by all engines, and what loaders ask for.
pub async fn keep(state: Rc<State>) {
    let mut works: Vec<Work> = Vec::new();
    clock::pause(SETTLE_MILLIS).await;
    loop {
        clock::pause(LOOK_MILLIS).await;
        let asked = state.carrier.asked.borrow_mut().take();
        let named = state
            .named()
            .into_iter()
            .filter(|named| is_needed(&state, named));
        let wanted: Vec<Named> = asked.into_iter().chain(named).collect();
        for named in wanted {
            let is_known = works.iter().any(|work| work.named == named);
            let has_number = named.version > Version::default();
            if has_number && !is_known && may_be_had(&state, &named) {
                carry(&state, &mut works, named);
            }
        }
        drop_outdated(&state, &works);
        drop_not_to_be_had(&state, &mut works);
    }
}

fn carry(state: &Rc<State>, works: &mut Vec<Work>, named: Named) {
    tracing::info!(
        model = named.model,
        version = named.version.0,
        "weights carried"
    );
    let under_way = works
        .iter()
        .filter(|work| work.named.version < named.version && !work.task.is_finished());
    let mut older: Option<Named> = None;
    for work in under_way {
        if state.carrier.held_share(&work.named) < WORTH_FINISHING {
            state.carrier.give_up(&work.named, &work.task);
        } else {
            older = Some(work.named.clone());
        }
    }
    state.carrier.wanted.borrow_mut().push(named.clone());
    let own = state.clone();
    let wanted = named.clone();
    let task = actix_rt::spawn(async move {
        if let Some(older) = older {
            wait_for(&own, &older).await;
        }
        fetch::fetch(&own.carrier, || task(&own, &wanted)).await
    });
    works.push(Work { named, task });
}

/// Waits while chunks of `older` come: two versions at once would only share the origin's link,
/// and neither would be whole before it may go down.
async fn wait_for(state: &State, older: &Named) {
    let mut held = state.carrier.held_count(older);
    loop {
        let deadline = clock::now().after_millis(STALLED_MILLIS);
        while state.carrier.held_count(older) == held {
            if state.carrier.is_complete(older) || deadline.has_passed(clock::now()) {
                return;
            }
            clock::pause(LOOK_MILLIS).await;
        }
        held = state.carrier.held_count(older);
    }
}

/// Gives up what is still on its way of versions older than one that is whole here.
fn drop_outdated(state: &State, works: &[Work]) {
    let whole = works.iter().filter(|work| work.task.is_finished());
    let Some(newest) = whole.map(|work| work.named.version).max() else {
        return;
    };
    let under_way = works.iter().filter(|work| !work.task.is_finished());
    for work in under_way.filter(|work| work.named.version < newest) {
        state.carrier.give_up(&work.named, &work.task);
    }
}

fn may_be_had(state: &State, named: &Named) -> bool {
    state.known_origin(&named.model).may_be_had(named.version)
}

/// Gives up versions of which nothing came and which the origin does not have: while one is on its way, older ones
/// that are to be had would be refused to loaders for good.
fn drop_not_to_be_had(state: &State, works: &mut Vec<Work>) {
    works.retain(|work| {
        let is_empty = state.carrier.held_count(&work.named) == 0;
        let is_over = is_empty && !may_be_had(state, &work.named);
        if is_over {
            state.carrier.give_up(&work.named, &work.task);
        }
        !is_over
    });
}

/// True where some engine lacks `named`: what all hold already needs nobody to carry it.
fn is_needed(state: &State, named: &Named) -> bool {
    let fleet = state.fleet.borrow();
    let now = clock::now();
    let held = fleet
        .listed()
        .filter_map(|(_, engine)| engine.version_of(&named.model, now));
    held.min().is_some_and(|least| least < named.version)
}

fn known_carriers(state: &State, version: Version) -> Carriers {
    let own = GatewayPlace {
        address: state.settings.peers,
        zone: state.settings.zone.clone(),
    };
    let mut known = state.living_gateways();
    known.insert(own);
    weights::carriers(known.into_iter(), &state.settings.regions, version)
}

/// Loaders that are asked for chunks of `named` before the origin: those whose engines serve it, or else, once it
/// has been on its way for a while, all that may hold a part; of the own zone where there are any.
fn holders(state: &State, named: &Named) -> Vec<SocketAddr> {
    let now = clock::now();
    let fleet = state.fleet.borrow();
    let listed: Vec<&Engine> = fleet
        .listed()
        .map(|(_, engine)| engine)
        .filter(|engine| engine.version_of(&named.model, now).is_some())
        .collect();
    let serves = |engine: &&Engine| engine.version_of(&named.model, now) == Some(named.version);
    let mut chosen: Vec<&Engine> = listed.iter().copied().filter(serves).collect();
    if chosen.is_empty() {
        if !state.may_be_held(named, HELD_AFTER_MILLIS) {
            return Vec::new();
        }
        chosen = listed;
    }
    let is_near = |engine: &&Engine| engine.record.zone == state.settings.zone;
    if chosen.iter().any(&is_near) {
        chosen.retain(is_near);
    }
    let port = state.settings.peers.port();
    let places = chosen.iter().map(|engine| engine.record.address.ip());
    let places: BTreeSet<SocketAddr> = places.map(|ip| SocketAddr::new(ip, port)).collect();
    let mut places: Vec<SocketAddr> = places.into_iter().collect();
    order::sort_by_score(named.version.0, &mut places, order::hash);
    places.truncate(MOST_HOLDERS);
    places
}

fn task(state: &State, named: &Named) -> Task {
    let own = state.settings.peers;
    let carriers = known_carriers(state, named.version);
    let is_own = |address: &SocketAddr| *address == own;
    let relay_count = carriers.addresses.len();
    let mut peers = carriers.addresses;
    let own_key = peers.iter().position(is_own);
    peers.extend(holders(state, named));
    let holder_keys = relay_count..peers.len();
    let route = match own_key {
        Some(key) => Route::Relay {
            relays: carriers.relays,
            own: ReplicaKey(key as u32),
            holders: Holders(holder_keys.map(|key| ReplicaKey(key as u32)).collect()),
        },
        // Loaders that know fewer gateways asked for it.
        None => Route::Leaf {
            relays: carriers.relays,
            zone: weights::zone_number(&state.settings.zone),
            rest: vec![Source::Origin],
        },
    };
    let origin = state
        .configuration()
        .and_then(|configuration| configuration.origin());
    Task {
        named: named.clone(),
        route,
        peers,
        origin,
        window: WINDOW,
        patience_millis: PATIENCE_MILLIS,
        origin_turns: ORIGIN_TURNS,
        link_turns: LINK_TURNS,
        begins: None,
    }
}
