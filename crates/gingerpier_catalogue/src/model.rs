//! What the catalogue holds: models, versions, contracts with accounts, assignments.

use {
    crate::key::{ModelKey, Revision, VersionKey},
    gingerpier_base::{Digest, Name},
    minicbor::{Decode, Encode},
};

/// A model, or an adapter on one.
#[derive(Debug, Clone, PartialEq, Eq, Encode, Decode)]
#[cbor(map)]
pub struct Model {
    /// Its name.
    #[n(0)]
    pub name: Name,
    /// Kind of engine that runs it.
    #[n(1)]
    pub kind: Name,
    /// Model that an adapter belongs to.
    #[n(2)]
    pub base: Option<ModelKey>,
    /// Versions that take traffic: at most one, and for an adapter one for each base version.
    #[n(3)]
    pub live: Vec<VersionKey>,
    /// Version that was live before, for `go back`.
    #[n(4)]
    pub previous: Option<VersionKey>,
    /// Rollout under way.
    #[n(5)]
    pub rollout: Option<Rollout>,
    /// Where and for whom it is served.
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
    /// Its name within the model.
    #[n(1)]
    pub name: Name,
    /// Digest of its manifest.
    #[n(2)]
    pub manifest: Digest,
    /// Size of its weights, in bytes.
    #[n(3)]
    pub bytes: u64,
    /// Folder below the origin's root.
    #[n(4)]
    pub source: String,
    /// Base version that an adapter's version belongs to.
    #[n(5)]
    pub base: Option<VersionKey>,
    /// True once deleted; keys are not used again.
    #[n(6)]
    pub deleted: bool,
}

/// Service of a model in an availability zone.
#[derive(Debug, Clone, PartialEq, Eq, Encode, Decode)]
#[cbor(map)]
pub struct Contract {
    /// Availability zone.
    #[n(0)]
    pub zone: Name,
    /// Engines that hold the model there.
    #[n(1)]
    pub replicas: u32,
    /// Client accounts that may use it; all, where empty.
    #[n(2)]
    pub accounts: Vec<Name>,
}

/// A version on its way into service.
#[derive(Debug, Clone, PartialEq, Eq, Encode, Decode)]
#[cbor(map)]
pub struct Rollout {
    /// Version to serve.
    #[n(0)]
    pub to: VersionKey,
    /// Shares of the replicas, in percent.
    #[n(1)]
    pub steps: Vec<u8>,
    /// Steps complete; the version takes traffic from the first on.
    #[n(2)]
    pub reached: u32,
    /// Held by an operator.
    #[n(3)]
    pub paused: bool,
    /// Revision that started it.
    #[n(4)]
    pub since: Revision,
}

impl Rollout {
    /// Share of the replicas that should hold the version now, in percent.
    pub fn wanted_percent(&self) -> u8 {
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

    /// True once the version may take traffic.
    pub const fn takes_traffic(&self) -> bool {
        self.reached > 0
    }
}

/// A client account's terms.
#[derive(Debug, Clone, PartialEq, Eq, Encode, Decode)]
#[cbor(map)]
pub struct Account {
    /// Its name.
    #[n(0)]
    pub name: Name,
    /// Digest of the token its callers send.
    #[n(1)]
    pub key: Digest,
    /// Requests a second over all entry boxes.
    #[n(2)]
    pub rate: u32,
    /// 0 is served first.
    #[n(3)]
    pub priority: u8,
}

/// Version that an engine is to hold.
#[derive(Debug, Clone, PartialEq, Eq, Encode, Decode)]
#[cbor(map)]
pub struct Assignment {
    /// Base version.
    #[n(0)]
    pub version: VersionKey,
    /// Revision of the assignment: the fence of the order to load it.
    #[n(1)]
    pub fence: Revision,
    /// Backend server of the engine.
    #[n(2)]
    pub server: Name,
    /// Availability zone of the engine.
    #[n(3)]
    pub zone: Name,
}

/// Operators' word on a backend server.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Encode, Decode)]
#[cbor(index_only)]
pub enum Withdrawal {
    /// No new work.
    #[n(0)]
    Drain,
    /// No new work, then the process ends; not taken back.
    #[n(1)]
    Stop,
}
