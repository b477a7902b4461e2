//! Keeps the manifest of each model's current weights in the platform's store, where it outlasts a
//! crash of all processes and an outage of the origin.

use {
    super::manifest,
    crate::{
        client::Client,
        clock,
        state::{State, configured_models},
        store_writes::{self, Written},
    },
    bytes::Bytes,
    gingerpier_serving::{
        manifest_keeping::{Observed, Schedule},
        platform_api::{Manifest, ModelVersion},
        report::Version,
    },
    std::{cell::RefCell, collections::HashMap, net::SocketAddr, rc::Rc},
};

/// Interval between checks, each of which scans the engines of services without a release.
const POLL_INTERVAL_MILLIS: u64 = 500;

/// Longest manifest that is kept: half of the longest value that the store accepts, as base64 adds
/// a third.
const MAX_MANIFEST_BYTES: usize = 512 * 1024;

/// A manifest from the store.
#[derive(Debug, Clone)]
pub struct KeptManifest {
    /// Manifest.
    pub manifest: Manifest,
    /// Encoded manifest as received from the origin.
    pub bytes: Bytes,
}

/// The newest known manifest of a model.
#[derive(Debug)]
struct Entry {
    kept: KeptManifest,
    /// Version that the store has; none if it came back from a copy without a manifest.
    stored: Option<Version>,
}

/// Manifests from the store, by model. They outlast a store that comes back from an older copy, as
/// the origin may be gone.
#[derive(Debug, Default)]
pub struct KeptManifests(RefCell<HashMap<String, Entry>>);

impl KeptManifests {
    /// Records a manifest that the store has; a newer known one remains available.
    pub fn insert(&self, stored: KeptManifest) {
        let version = stored.manifest.version;
        let model = stored.manifest.model.clone();
        let mut entries = self.0.borrow_mut();
        let newer = entries.remove(&model).map(|entry| entry.kept);
        let newer = newer.filter(|known| known.manifest.version > version);
        let entry = Entry {
            kept: newer.unwrap_or(stored),
            stored: Some(version),
        };
        entries.insert(model, entry);
    }

    /// Records that a restored store lacks the manifest of a model, which remains available.
    pub fn mark_missing(&self, model: &str) {
        if let Some(entry) = self.0.borrow_mut().get_mut(model) {
            entry.stored = None;
        }
    }

    /// Removes the manifest of a model, as it was deleted or its digests turned out to be wrong.
    pub fn remove(&self, model: &str) {
        self.0.borrow_mut().remove(model);
    }

    /// Manifest of exactly this version.
    pub fn get(&self, model_version: &ModelVersion) -> Option<KeptManifest> {
        let entries = self.0.borrow();
        let kept = &entries.get(&model_version.model)?.kept;
        (kept.manifest.version == model_version.version).then(|| kept.clone())
    }

    /// Version of the model's manifest.
    pub fn version(&self, model: &str) -> Option<Version> {
        let entries = self.0.borrow();
        entries.get(model).map(|entry| entry.kept.manifest.version)
    }

    /// Version of the model's manifest that the store has.
    pub fn stored_version(&self, model: &str) -> Option<Version> {
        self.0.borrow().get(model)?.stored
    }
}

/// What became of an attempt to keep a manifest.
enum Attempt {
    /// The store has this manifest, or one that another gateway wrote meanwhile.
    Kept,
    /// The origin or the store gave no usable response.
    Failed,
    /// The manifest is longer than [`MAX_MANIFEST_BYTES`].
    TooLong,
}

/// Writes the manifests that the store lacks.
pub async fn run(state: Rc<State>) {
    let mut schedules: HashMap<String, Schedule> = HashMap::new();
    loop {
        clock::pause(POLL_INTERVAL_MILLIS).await;
        let Some(configuration) = state.configuration() else {
            continue;
        };
        let origin = configuration.origin().map(|origin| origin.address);
        for (service, model) in configured_models(&configuration) {
            let observed = observe(&state, service, model);
            let schedule = schedules.entry(model.to_owned()).or_default();
            let is_due = schedule.is_due(&observed, clock::now());
            let Some(version) = observed.wanted.filter(|_| is_due) else {
                continue;
            };
            let model = model.to_owned();
            match keep(&state, origin, &ModelVersion { model, version }).await {
                Attempt::Kept => schedule.record_response(clock::now()),
                Attempt::Failed => schedule.record_failure(clock::now(), fastrand::u64(..)),
                Attempt::TooLong => schedule.stop(),
            }
        }
    }
}

/// Obtains the manifest of a version and writes it to the store.
async fn keep(state: &State, origin: Option<SocketAddr>, model_version: &ModelVersion) -> Attempt {
    let ModelVersion { model, version } = model_version;
    let version = version.0;
    let Some(bytes) = obtain(state, origin, model_version).await else {
        tracing::info!(model, version, "manifest to keep not obtained");
        return Attempt::Failed;
    };
    let length = bytes.len();
    if length > MAX_MANIFEST_BYTES {
        tracing::warn!(
            model,
            version,
            bytes = length,
            "manifest is too long for the store; recovery depends on the origin"
        );
        return Attempt::TooLong;
    }
    match store_writes::write(state, &state.platform_api.manifest_key(model), &bytes).await {
        Ok(Written::FormerEra) => {
            tracing::info!(
                model,
                version,
                "manifest not written, as the store is in another era than the replica"
            );
            Attempt::Failed
        }
        Ok(Written::Outcome(outcome)) => {
            tracing::info!(
                model,
                version,
                bytes = length,
                ?outcome,
                "manifest written to the store"
            );
            Attempt::Kept
        }
        Err(error) => {
            tracing::warn!(model, version, cause = %error, "manifest not written to the store");
            Attempt::Failed
        }
    }
}

fn observe(state: &State, service: &str, model: &str) -> Observed {
    let known = state.known_versions(service, model);
    let mut observed = Observed {
        wanted: known.named.or(known.held),
        kept: state.distributor.kept_manifests.stored_version(model),
        rank: 0,
    };
    if observed.is_lacking() {
        observed.rank = store_writes::rank(state, model);
    }
    observed
}

/// Manifest of a version, from the chunk cache, an earlier copy of the store or else the origin.
async fn obtain(
    state: &State,
    origin: Option<SocketAddr>,
    model_version: &ModelVersion,
) -> Option<Bytes> {
    if let Some(bytes) = state.distributor.manifest_bytes(model_version) {
        return Some(bytes);
    }
    if let Some(kept) = state.distributor.kept_manifests.get(model_version) {
        return Some(kept.bytes);
    }
    let mut client = Client::new(origin?);
    manifest::read_from_origin(&state.distributor, &mut client, model_version).await
}
