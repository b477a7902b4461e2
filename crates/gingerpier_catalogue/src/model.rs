//! Objects of the catalogue: models, versions, contracts, accounts, assignments.

use {
    crate::key::{ModelKey, Revision, VersionKey},
    gingerpier_base::{Digest, Name},
    minicbor::{Decode, Encode},
};

/// A model, or an adapter of a model.
#[derive(Debug, Clone, PartialEq, Eq, Encode, Decode)]
#[cbor(map)]
pub struct Model {
    /// Unique name.
    #[n(0)]
    pub name: Name,
    /// Kind of engine that runs the model.
    #[n(1)]
    pub kind: Name,
    /// Base model; none unless this is an adapter.
    #[n(2)]
    pub base: Option<ModelKey>,
    /// Versions that receive traffic: at most one, or for an adapter one per base version.
    #[n(3)]
    pub live: Vec<VersionKey>,
    /// Previous live version, the target of `go back`.
    #[n(4)]
    pub previous: Option<VersionKey>,
    /// Rollout in progress.
    #[n(5)]
    pub rollout: Option<Rollout>,
    /// Zones in which the model is served.
    #[n(6)]
    pub contracts: Vec<Contract>,
}

/// A version of a model or adapter.
#[derive(Debug, Clone, PartialEq, Eq, Encode, Decode)]
#[cbor(map)]
pub struct Version {
    /// Model or adapter.
    #[n(0)]
    pub model: ModelKey,
    /// Name, unique within the model.
    #[n(1)]
    pub name: Name,
    /// Digest of the manifest.
    #[n(2)]
    pub manifest: Digest,
    /// Size of the weights, in bytes.
    #[n(3)]
    pub bytes: u64,
    /// Path of the folder, relative to the origin's root.
    #[n(4)]
    pub source: String,
    /// Base version that an adapter's version requires; none for a model.
    #[n(5)]
    pub base: Option<VersionKey>,
    /// True if deleted; the key is not reused.
    #[n(6)]
    pub deleted: bool,
}

/// Replicas and permitted accounts of a model in an availability zone.
#[derive(Debug, Clone, PartialEq, Eq, Encode, Decode)]
#[cbor(map)]
pub struct Contract {
    /// Availability zone.
    #[n(0)]
    pub zone: Name,
    /// Number of engines that load the model in the zone.
    #[n(1)]
    pub replicas: u32,
    /// Client accounts that may use the model; empty for all accounts.
    #[n(2)]
    pub accounts: Vec<Name>,
}

/// A stepwise rollout of a version.
#[derive(Debug, Clone, PartialEq, Eq, Encode, Decode)]
#[cbor(map)]
pub struct Rollout {
    /// Target version.
    #[n(0)]
    pub to: VersionKey,
    /// Percentage of the replicas for each step, ascending to 100.
    #[n(1)]
    pub steps: Vec<u8>,
    /// Number of completed steps; the version receives traffic after the first.
    #[n(2)]
    pub reached: u32,
    /// True if paused by an operator.
    #[n(3)]
    pub paused: bool,
    /// Revision that started the rollout.
    #[n(4)]
    pub since: Revision,
}

impl Rollout {
    /// Percentage of the replicas that the current step requires to load the version.
    pub fn required_percent(&self) -> u8 {
        let reached = self.reached as usize;
        let index = if self.paused {
            reached.checked_sub(1)
        } else {
            Some(reached)
        };
        index
            .and_then(|index| self.steps.get(index))
            .copied()
            .unwrap_or(0)
    }

    /// True if the version may receive traffic.
    pub const fn receives_traffic(&self) -> bool {
        self.reached > 0
    }
}

/// Credentials and limits of a client account.
#[derive(Debug, Clone, PartialEq, Eq, Encode, Decode)]
#[cbor(map)]
pub struct Account {
    /// Unique name.
    #[n(0)]
    pub name: Name,
    /// Digest of the bearer token of the account.
    #[n(1)]
    pub key: Digest,
    /// Rate limit in requests per second, over all entry boxes.
    #[n(2)]
    pub rate: u32,
    /// Priority; 0 is the highest.
    #[n(3)]
    pub priority: u8,
}

/// Assignment of a version to an engine.
#[derive(Debug, Clone, PartialEq, Eq, Encode, Decode)]
#[cbor(map)]
pub struct Assignment {
    /// Assigned version of a base model.
    #[n(0)]
    pub version: VersionKey,
    /// Revision of the assignment; used as the fence of the load order.
    #[n(1)]
    pub fence: Revision,
    /// Backend server of the engine.
    #[n(2)]
    pub server: Name,
    /// Availability zone of the engine.
    #[n(3)]
    pub zone: Name,
}

/// Operators' command to take a backend server out of service.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Encode, Decode)]
#[cbor(index_only)]
pub enum Withdrawal {
    /// No new requests.
    #[n(0)]
    Drain,
    /// No new requests, then the process stops; cannot be undone.
    #[n(1)]
    Stop,
}
