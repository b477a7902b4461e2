//! A gateway asks the origin what it has, where engines lack weights that nobody named.

use {
    super::manifest,
    crate::{
        client::Client,
        clock,
        state::{State, models},
    },
    gingerpier_base::order,
    gingerpier_serving::{
        dialect::Named,
        report::Version,
        unnamed::{Search, Seen},
    },
    std::{collections::HashMap, rc::Rc},
};

/// Milliseconds between looks, each of which passes over all engines of the services without named weights.
const LOOK_MILLIS: u64 = 200;

/// Asks where it is this gateway's turn.
pub async fn keep(state: Rc<State>) {
    let mut searches: HashMap<String, Search> = HashMap::new();
    loop {
        clock::pause(LOOK_MILLIS).await;
        let Some(configuration) = state.configuration() else {
            continue;
        };
        let Some(origin) = configuration.origin() else {
            continue;
        };
        for (service, model) in models(&configuration) {
            if state.newest_named(model).is_some() {
                searches.remove(model);
                continue;
            }
            let seen = look(&state, service, model);
            let search = searches.entry(model.to_owned()).or_default();
            if !search.is_due(&seen, clock::now()) {
                continue;
            }
            let newest = Named {
                model: model.to_owned(),
                version: Version::default(),
            };
            tracing::info!(model, ?seen, origin = %origin.address, "origin is asked what it has");
            let mut client = Client::new(origin.address);
            match manifest::ask_origin(&state.carrier, &mut client, &newest).await {
                Some(found) => {
                    search.note_found(clock::now());
                    state.note_found(found);
                }
                None => {
                    search.note_failure(clock::now(), fastrand::u64(..));
                    tracing::warn!(model, origin = %origin.address, "origin does not say what it has");
                }
            }
        }
    }
}

fn look(state: &State, service: &str, model: &str) -> Seen {
    let known = state.known_weights(service, model);
    let carried = state.carrier.carried(model);
    Seen {
        is_lacking: state.lacks_weights(service, model),
        is_known: known.wanted().is_some() || carried.is_known,
        is_whole: known.wanted().is_some_and(|version| {
            let model = model.to_owned();
            state.carrier.is_complete(&Named { model, version })
        }),
        chunks: carried.chunks,
        rank: rank(state, model),
    }
}

/// Gateways of this zone that ask before this one.
fn rank(state: &State, model: &str) -> u32 {
    let subject = order::hash(model);
    let score = |address| order::score(subject, order::hash(&address));
    let own = score(state.settings.peers);
    let neighbours = state.zones.borrow().neighbours();
    let ahead = neighbours.into_iter().filter(|other| score(*other) > own);
    ahead.count() as u32
}
