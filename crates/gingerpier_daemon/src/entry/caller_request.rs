//! A caller's request, the parts of its response, and the pools that may serve it.

use {
    super::{Entry, fleet::Workload, tickets::Grant},
    bytes::Bytes,
    gingerpier_base::{Digest, Instant, Name},
    gingerpier_catalogue::{Catalogue, ModelKey, VersionKey, model::Contract},
    gingerpier_once::lifecycle::{Idempotency, Reason},
    gingerpier_routing::{
        limits::AccountKey,
        router::{EngineKey, PoolKey},
    },
    std::time::Duration,
    tokio::sync::{mpsc, oneshot},
};

/// What the request is for.
#[derive(Debug, Clone)]
pub enum Target {
    /// Model or adapter.
    Model(ModelKey),
    /// Plain service.
    Service(Name),
}

/// Version that a request was admitted for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct AdmittedVersion {
    /// Version that responds: the model's, or the adapter's.
    pub version: VersionKey,
    /// Manifest digest of the base weights.
    pub weights: Digest,
    /// Manifest digest of the adapter.
    pub adapter: Option<Digest>,
}

/// Authenticated request of a caller.
pub struct CallerRequest {
    /// Request identifier, the same in all processes.
    pub request: String,
    /// Client account of the caller.
    pub account: Name,
    /// Key of the account's limits.
    pub account_key: AccountKey,
    /// Priority of the account.
    pub priority: u8,
    /// Model or service that is requested.
    pub target: Target,
    /// HTTP method.
    pub method: String,
    /// HTTP path and query, as sent to the engine.
    pub path: String,
    /// HTTP content type.
    pub content_type: Option<String>,
    /// Body.
    pub body: Bytes,
    /// Hash of the start of the prompt.
    pub prefix_hash: Option<u64>,
    /// Whether the request may run more than once.
    pub idempotency: Idempotency,
    /// Grant of the request's ticket.
    pub grant: Option<Grant>,
    /// Deadline for the end of the response.
    pub deadline: Instant,
}

/// First message to the caller.
#[derive(Debug)]
pub enum ResponseStart {
    /// The response starts.
    Head {
        /// HTTP status.
        status: u16,
        /// HTTP content type.
        content_type: Option<String>,
        /// `model@version` that responds.
        version: Option<String>,
    },
    /// The request didn't run.
    NotRun(Reason),
    /// The request may have run.
    Unknown(Reason),
}

/// Part of a response body, or its end.
pub enum BodyPart {
    /// Data.
    Bytes(Bytes),
    /// The response is complete.
    End,
    /// The response was aborted.
    Aborted,
}

/// Channels to the task that responds to the caller.
pub struct ResponseSender {
    /// Sender of the first message; taken when that is sent.
    pub start: Option<oneshot::Sender<ResponseStart>>,
    /// Sender of the body.
    pub body_parts: mpsc::Sender<BodyPart>,
}

impl ResponseSender {
    /// Sends the first message, once.
    pub fn send_start(&mut self, start: ResponseStart) {
        if let Some(sender) = self.start.take() {
            // The caller may have disconnected.
            let _ = sender.send(start);
        }
    }

    /// Waits until the caller disconnects.
    pub async fn caller_disconnected(&mut self) {
        match &mut self.start {
            Some(start) => start.closed().await,
            None => self.body_parts.closed().await,
        }
    }

    /// Sends a part of the body; returns false if the caller has disconnected.
    pub async fn send_part(&self, part: BodyPart) -> bool {
        self.body_parts.send(part).await.is_ok()
    }
}

/// Retry delay if no better one is known.
const DEFAULT_RETRY_AFTER: Duration = Duration::from_secs(1);

/// Returns the delay after which a caller should retry.
pub fn retry_after(reason: Reason, now: Instant) -> Duration {
    match reason {
        Reason::NoneFree(at) => Duration::from_millis(at.millis_since(now).max(1)),
        _ => DEFAULT_RETRY_AFTER,
    }
}

impl Entry {
    /// Returns the zones whose contracts allow `account`, sorted by distance.
    pub fn allowed_zones(&self, contracts: &[Contract], account: &Name) -> Vec<Name> {
        let allowed = |contract: &&Contract| {
            contract.accounts.is_empty() || contract.accounts.contains(account)
        };
        let zones = contracts
            .iter()
            .filter(allowed)
            .map(|contract| contract.zone.clone());
        self.sort_by_distance(zones.collect())
    }

    /// Sorts zones by distance: this zone, others of its region, the rest.
    pub fn sort_by_distance(&self, mut zones: Vec<Name>) -> Vec<Name> {
        let own = &self.process.hello.zone;
        let members = self.members.borrow();
        let region = |zone: &Name| {
            let mut known_zones = members.iter().map(|(_, member)| &member.zone);
            known_zones
                .find(|known| known.name == *zone)
                .map(|known| known.region.clone())
        };
        let distance = |zone: &Name| match zone {
            zone if *zone == own.name => 0,
            zone if region(zone).as_ref() == Some(&own.region) => 1,
            _ => 2,
        };
        zones.sort_by_cached_key(distance);
        zones
    }

    /// Returns the pools that may serve a request, nearest first, and the version it is admitted
    /// for.
    ///
    /// If two versions accept requests, each is chosen in proportion to its engines that weren't
    /// tried yet. With `required`, only that version is considered.
    pub fn pools_for(
        &self,
        caller_request: &CallerRequest,
        required: Option<AdmittedVersion>,
        tried: &[EngineKey],
    ) -> (Option<AdmittedVersion>, Vec<PoolKey>) {
        let key = match &caller_request.target {
            Target::Service(name) => {
                let workload = Workload::Service(name.clone());
                return (None, self.pools_of(&workload, &self.zones_with_engines()));
            }
            Target::Model(key) => *key,
        };
        let catalogue = self.process.catalogue_state.catalogue();
        let zones = self.allowed_zones(&catalogue.model(key).contracts, &caller_request.account);
        let mut admitted_versions: Vec<AdmittedVersion> = match required {
            Some(required) => vec![required],
            None => catalogue
                .open_versions(key)
                .map(|open| admitted_version(&catalogue, open))
                .collect(),
        };
        let pools = |admitted_version: &AdmittedVersion| {
            let workload =
                Workload::Weights(admitted_version.adapter.unwrap_or(admitted_version.weights));
            self.pools_of(&workload, &zones)
        };
        let mut pool_sets: Vec<Vec<PoolKey>> = admitted_versions.iter().map(pools).collect();
        match self
            .fleet
            .borrow_mut()
            .router()
            .select_pools(&pool_sets, tried)
        {
            Some(selected) => (
                Some(admitted_versions.swap_remove(selected)),
                pool_sets.swap_remove(selected),
            ),
            None => (None, Vec::new()),
        }
    }

    fn zones_with_engines(&self) -> Vec<Name> {
        let fleet = self.fleet.borrow();
        let mut zones: Vec<Name> = fleet
            .engines()
            .map(|(_, engine)| engine.zone.name.clone())
            .collect();
        drop(fleet);
        zones.sort();
        zones.dedup();
        self.sort_by_distance(zones)
    }

    fn pools_of(&self, workload: &Workload, zones: &[Name]) -> Vec<PoolKey> {
        let fleet = self.fleet.borrow();
        zones
            .iter()
            .filter_map(|zone| fleet.pool(workload, zone))
            .collect()
    }
}

fn admitted_version(catalogue: &Catalogue, version: VersionKey) -> AdmittedVersion {
    let version_entry = catalogue.version(version);
    let base = version_entry
        .base
        .map(|base| catalogue.version(base).manifest);
    match base {
        None => AdmittedVersion {
            version,
            weights: version_entry.manifest,
            adapter: None,
        },
        Some(weights) => AdmittedVersion {
            version,
            weights,
            adapter: Some(version_entry.manifest),
        },
    }
}
