//! A caller's request as the entry box carries it.

use {
    super::{Entry, fleet::Offer, tickets::Grant},
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

/// What is asked for.
#[derive(Debug, Clone)]
pub enum Target {
    /// A model or adapter.
    Model(ModelKey),
    /// A plain service.
    Service(Name),
}

/// The version that a request was admitted for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Admitted {
    /// Version that answers: the model's, or the adapter's.
    pub version: VersionKey,
    /// Manifest of the base.
    pub weights: Digest,
    /// Manifest of the adapter.
    pub adapter: Option<Digest>,
}

/// A request.
pub struct Job {
    /// Identifier, through every hop.
    pub request: String,
    /// Client account.
    pub account: Name,
    /// Its limits.
    pub account_key: AccountKey,
    /// Its priority.
    pub priority: u8,
    /// What is asked for.
    pub target: Target,
    /// HTTP method.
    pub method: String,
    /// HTTP path and query, as the engine gets it.
    pub path: String,
    /// HTTP content type.
    pub content_type: Option<String>,
    /// Body.
    pub body: Bytes,
    /// Hash of the prompt's start.
    pub prefix: Option<u64>,
    /// Whether it may run more than once.
    pub idempotency: Idempotency,
    /// Right under which it runs.
    pub grant: Option<Grant>,
    /// When it is given up.
    pub deadline: Instant,
}

/// The first word to the caller.
#[derive(Debug)]
pub enum Word {
    /// The answer begins.
    Head {
        /// HTTP status.
        status: u16,
        /// HTTP content type.
        content_type: Option<String>,
        /// `model@version` that answers.
        version: Option<String>,
    },
    /// Did not run.
    NotRun(Reason),
    /// May have run.
    Unknown(Reason),
}

/// A part of an answer, or its end.
pub enum Part {
    /// Bytes.
    Bytes(Bytes),
    /// The answer is whole.
    End,
    /// The answer broke off.
    Broken,
}

/// The way back to the caller.
pub struct Outlet {
    /// For the first word.
    pub word: Option<oneshot::Sender<Word>>,
    /// For the parts that follow.
    pub parts: mpsc::Sender<Part>,
}

impl Outlet {
    /// Says the first word.
    pub fn say(&mut self, word: Word) {
        if let Some(sender) = self.word.take() {
            // The caller may have gone away.
            let _ = sender.send(word);
        }
    }

    /// Waits until the caller goes away.
    pub async fn abandoned(&mut self) {
        match &mut self.word {
            Some(word) => word.closed().await,
            None => self.parts.closed().await,
        }
    }

    /// Passes a part on; false where the caller has gone away.
    pub async fn pass(&self, part: Part) -> bool {
        self.parts.send(part).await.is_ok()
    }
}

/// How long a caller is asked to stay away, where no better is known.
const DEFAULT_RETURN: Duration = Duration::from_secs(1);

/// When a caller is asked to come back.
pub fn come_back_after(reason: Reason, now: Instant) -> Duration {
    match reason {
        Reason::NoneFree(at) => Duration::from_millis(at.millis_since(now).max(1)),
        _ => DEFAULT_RETURN,
    }
}

impl Entry {
    /// Zones that may serve `account` with a model, nearest first.
    pub fn zones_for(&self, contracts: &[Contract], account: &Name) -> Vec<Name> {
        let allowed = |contract: &&Contract| {
            contract.accounts.is_empty() || contract.accounts.contains(account)
        };
        let zones = contracts
            .iter()
            .filter(allowed)
            .map(|contract| contract.zone.clone());
        self.nearest_first(zones.collect())
    }

    /// Zones by nearness: this one, others of the region, the rest.
    pub fn nearest_first(&self, mut zones: Vec<Name>) -> Vec<Name> {
        let own = &self.process.hello.zone;
        let members = self.members.borrow();
        let region = |zone: &Name| {
            let mut known = members.iter().map(|(_, member)| &member.zone);
            known
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

    /// Pools that may serve a job, nearest first, and the version that it is admitted for.
    ///
    /// Where two versions take traffic, each gets it in proportion to the engines that hold it
    /// and were not tried yet.
    pub fn pools_for(
        &self,
        job: &Job,
        held: Option<Admitted>,
        tried: &[EngineKey],
    ) -> (Option<Admitted>, Vec<PoolKey>) {
        let key = match &job.target {
            Target::Service(name) => {
                let offer = Offer::Service(name.clone());
                return (None, self.pools_of(&offer, &self.all_zones()));
            }
            Target::Model(key) => *key,
        };
        let catalogue = self.process.catalogue_state.catalogue();
        let zones = self.zones_for(&catalogue.model(key).contracts, &job.account);
        let mut admitted: Vec<Admitted> = match held {
            Some(held) => vec![held],
            None => catalogue
                .open_versions(key)
                .map(|open| admitted(&catalogue, open))
                .collect(),
        };
        let pools = |admitted: &Admitted| {
            let offer = Offer::WeightsCache(admitted.adapter.unwrap_or(admitted.weights));
            self.pools_of(&offer, &zones)
        };
        let mut sets: Vec<Vec<PoolKey>> = admitted.iter().map(pools).collect();
        match self.fleet.borrow_mut().router().select_pools(&sets, tried) {
            Some(drawn) => (Some(admitted.swap_remove(drawn)), sets.swap_remove(drawn)),
            None => (None, Vec::new()),
        }
    }

    fn all_zones(&self) -> Vec<Name> {
        let fleet = self.fleet.borrow();
        let mut zones: Vec<Name> = fleet
            .engines()
            .map(|(_, engine)| engine.zone.name.clone())
            .collect();
        drop(fleet);
        zones.sort();
        zones.dedup();
        self.nearest_first(zones)
    }

    fn pools_of(&self, offer: &Offer, zones: &[Name]) -> Vec<PoolKey> {
        let fleet = self.fleet.borrow();
        zones
            .iter()
            .filter_map(|zone| fleet.pool(offer, zone))
            .collect()
    }
}

fn admitted(catalogue: &Catalogue, version: VersionKey) -> Admitted {
    let held = catalogue.version(version);
    let base = held.base.map(|base| catalogue.version(base).manifest);
    match base {
        None => Admitted {
            version,
            weights: held.manifest,
            adapter: None,
        },
        Some(weights) => Admitted {
            version,
            weights,
            adapter: Some(held.manifest),
        },
    }
}
