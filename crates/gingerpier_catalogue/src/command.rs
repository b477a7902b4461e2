//! Commands of operators and of the planner.
//!
//! Commands are stored in the key-value service: field numbers are never reused, and new fields are
//! optional.

use {
    gingerpier_base::{Digest, Name},
    minicbor::{Decode, Encode},
};

/// A change to the configuration.
#[derive(Debug, Clone, PartialEq, Eq, Encode, Decode)]
#[cbor(map)]
pub enum Command {
    /// Creates a model.
    #[n(0)]
    CreateModel {
        /// Name; must be unused.
        #[n(0)]
        model: Name,
        /// Kind of engine that runs the model.
        #[n(1)]
        kind: Name,
    },
    /// Creates an adapter, which is loaded on the engines of its base model.
    #[n(16)]
    CreateAdapter {
        /// Name; must be unused.
        #[n(0)]
        model: Name,
        /// Base model of the adapter.
        #[n(1)]
        base: Name,
    },
    /// Creates a version of a model or adapter.
    #[n(1)]
    CreateVersion {
        /// Model or adapter.
        #[n(0)]
        model: Name,
        /// Name, unique within the model.
        #[n(1)]
        version: Name,
        /// Digest of the version's manifest.
        #[n(2)]
        manifest: Digest,
        /// Size of the weights, in bytes.
        #[n(3)]
        bytes: u64,
        /// Path of the folder, relative to the origin's root.
        #[n(4)]
        source: String,
        /// Base version that an adapter's version requires; none for a model.
        #[n(5)]
        base: Option<Name>,
    },
    /// Creates a client account, or replaces the settings of an existing one.
    #[n(2)]
    SetAccount {
        /// Name of the account.
        #[n(0)]
        account: Name,
        /// Digest of the bearer token of the account.
        #[n(1)]
        key: Digest,
        /// Rate limit in requests per second, over all entry boxes.
        #[n(2)]
        rate: u32,
        /// Priority; 0 is the highest.
        #[n(3)]
        priority: u8,
    },
    /// Sets replicas and accounts of a model in a zone; 0 replicas removes it from the zone.
    #[n(3)]
    Serve {
        /// Model or adapter.
        #[n(0)]
        model: Name,
        /// Availability zone.
        #[n(1)]
        zone: Name,
        /// Number of engines that load the model in the zone.
        #[n(2)]
        replicas: u32,
        /// Client accounts that may use the model; empty for all accounts.
        #[n(3)]
        accounts: Vec<Name>,
    },
    /// Starts a stepwise rollout of a version.
    #[n(4)]
    RollOut {
        /// Model or adapter.
        #[n(0)]
        model: Name,
        /// Target version.
        #[n(1)]
        version: Name,
        /// Percentage of the replicas for each step, ascending to 100.
        #[n(2)]
        steps: Vec<u8>,
        /// True to replace a rollout in progress.
        #[n(3)]
        replacing: bool,
    },
    /// Pauses a rollout.
    #[n(5)]
    Pause {
        /// Model or adapter.
        #[n(0)]
        model: Name,
    },
    /// Resumes a paused rollout.
    #[n(6)]
    Resume {
        /// Model or adapter.
        #[n(0)]
        model: Name,
    },
    /// Rolls back to the previous version.
    #[n(7)]
    GoBack {
        /// Model or adapter.
        #[n(0)]
        model: Name,
    },
    /// Drains a backend server: no new requests, running requests complete.
    #[n(8)]
    Drain {
        /// Backend server.
        #[n(0)]
        server: Name,
    },
    /// Cancels a drain.
    #[n(9)]
    Undrain {
        /// Backend server.
        #[n(0)]
        server: Name,
    },
    /// Drains a backend server, then stops its process.
    #[n(10)]
    Stop {
        /// Backend server.
        #[n(0)]
        server: Name,
    },
    /// Assigns a version to an engine; sent by the planner.
    #[n(11)]
    Assign {
        /// Engine.
        #[n(0)]
        engine: Name,
        /// Backend server of the engine.
        #[n(1)]
        server: Name,
        /// Base model.
        #[n(2)]
        model: Name,
        /// Version to load.
        #[n(3)]
        version: Name,
        /// Availability zone of the engine.
        #[n(4)]
        zone: Name,
    },
    /// Removes the assignment of an engine; sent by the planner.
    #[n(12)]
    Unassign {
        /// Engine.
        #[n(0)]
        engine: Name,
    },
    /// Completes a step of a rollout; sent by the planner.
    #[n(13)]
    Advance {
        /// Model or adapter.
        #[n(0)]
        model: Name,
        /// Target version of the rollout.
        #[n(1)]
        version: Name,
        /// Number of steps completed before this one.
        #[n(2)]
        reached: u32,
    },
    /// Deletes a version that is not in use.
    #[n(14)]
    DeleteVersion {
        /// Model or adapter.
        #[n(0)]
        model: Name,
        /// Version to remove.
        #[n(1)]
        version: Name,
    },
    /// Deletes a client account.
    #[n(15)]
    DeleteAccount {
        /// Account to remove.
        #[n(0)]
        account: Name,
    },
}
