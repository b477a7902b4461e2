//! Reads the newest version from the origin when engines lack weights and no release exists.

use {
    super::manifest,
    crate::{
        client::Client,
        clock,
        state::{State, configured_models},
    },
    gingerpier_base::order,
    gingerpier_serving::{
        platform_api::ModelVersion,
        report::Version,
        unreleased::{OriginPoll, Seen},
    },
    std::{collections::HashMap, rc::Rc},
};

/// Interval between checks, each of which scans the engines of services without a released
/// version.
const POLL_INTERVAL_MILLIS: u64 = 200;

/// Requests the origin's newest manifest for each model for which a poll is due.
pub async fn run(state: Rc<State>) {
    let mut origin_polls: HashMap<String, OriginPoll> = HashMap::new();
    loop {
        clock::pause(POLL_INTERVAL_MILLIS).await;
        let Some(configuration) = state.configuration() else {
            continue;
        };
        let Some(origin) = configuration.origin() else {
            continue;
        };
        for (service, model) in configured_models(&configuration) {
            if state.newest_release(model).is_some() {
                origin_polls.remove(model);
                continue;
            }
            let observation = observe(&state, service, model);
            let origin_poll = origin_polls.entry(model.to_owned()).or_default();
            if !origin_poll.is_due(&observation, clock::now()) {
                continue;
            }
            let newest = ModelVersion {
                model: model.to_owned(),
                version: Version::default(),
            };
            tracing::info!(model, seen = ?observation, origin = %origin.address, "requesting the newest manifest from the origin");
            let mut client = Client::new(origin.address);
            match manifest::fetch_from_origin(&state.distributor, &mut client, &newest).await {
                Some(found) => {
                    origin_poll.record_response(clock::now());
                    state.record_origin_version(found);
                }
                None => {
                    origin_poll.record_failure(clock::now(), fastrand::u64(..));
                    tracing::warn!(model, origin = %origin.address, "origin returned no valid manifest");
                }
            }
        }
    }
}

fn observe(state: &State, service: &str, model: &str) -> Seen {
    let known = state.known_versions(service, model);
    let fetch_status = state.distributor.fetch_status(model);
    Seen {
        is_lacking: state.lacks_weights(service, model),
        is_known: known.target().is_some() || fetch_status.is_fetching,
        is_whole: known.target().is_some_and(|version| {
            let model = model.to_owned();
            state
                .distributor
                .is_complete(&ModelVersion { model, version })
        }),
        chunks: fetch_status.chunk_count,
        rank: rank(state, model),
    }
}

/// Number of gateways in this zone that poll the origin for `model` before this one.
fn rank(state: &State, model: &str) -> u32 {
    let subject = order::hash(model);
    let score = |address| order::score(subject, order::hash(&address));
    let own = score(state.settings.peers);
    let neighbours = state.zones.borrow().neighbours();
    let higher_ranked = neighbours.into_iter().filter(|other| score(*other) > own);
    higher_ranked.count() as u32
}
