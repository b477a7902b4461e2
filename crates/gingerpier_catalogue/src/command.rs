//! What operators and the planner ask for.
//!
//! The field tags are the format kept in the key-value service: a tag is never given a second
//! meaning, and new fields are optional.

use {
    gingerpier_base::{Digest, Name},
    minicbor::{Decode, Encode},
};

/// A change of the configuration.
#[derive(Debug, Clone, PartialEq, Eq, Encode, Decode)]
#[cbor(map)]
pub enum Command {
    /// A new model.
    #[n(0)]
    CreateModel {
        /// New name.
        #[n(0)]
        model: Name,
        /// Kind of engine that runs it.
        #[n(1)]
        kind: Name,
    },
    /// A new adapter, for the engines of its base.
    #[n(16)]
    CreateAdapter {
        /// New name.
        #[n(0)]
        model: Name,
        /// Model that the adapter belongs to.
        #[n(1)]
        base: Name,
    },
    /// A new version of a model or adapter.
    #[n(1)]
    CreateVersion {
        /// Its model.
        #[n(0)]
        model: Name,
        /// New name within the model.
        #[n(1)]
        version: Name,
        /// Digest of its manifest.
        #[n(2)]
        manifest: Digest,
        /// Size of its weights, in bytes.
        #[n(3)]
        bytes: u64,
        /// Folder below the origin's root.
        #[n(4)]
        source: String,
        /// Base version that an adapter's version belongs to.
        #[n(5)]
        base: Option<Name>,
    },
    /// A new client account, or new terms for one.
    #[n(2)]
    SetAccount {
        /// Name of the account.
        #[n(0)]
        account: Name,
        /// Digest of the token its callers send.
        #[n(1)]
        key: Digest,
        /// Requests a second over all entry boxes.
        #[n(2)]
        rate: u32,
        /// 0 is served first.
        #[n(3)]
        priority: u8,
    },
    /// Where and for whom a model is served; no replicas ends it.
    #[n(3)]
    Serve {
        /// Model or adapter.
        #[n(0)]
        model: Name,
        /// Availability zone.
        #[n(1)]
        zone: Name,
        /// Engines that hold it there.
        #[n(2)]
        replicas: u32,
        /// Client accounts that may use it; all, where empty.
        #[n(3)]
        accounts: Vec<Name>,
    },
    /// Bring a version into service by steps.
    #[n(4)]
    RollOut {
        /// Model or adapter.
        #[n(0)]
        model: Name,
        /// Version to serve.
        #[n(1)]
        version: Name,
        /// Shares of the replicas, in percent, rising to 100.
        #[n(2)]
        steps: Vec<u8>,
        /// Abandons a rollout under way.
        #[n(3)]
        replacing: bool,
    },
    /// Hold a rollout where it is.
    #[n(5)]
    Pause {
        /// Model or adapter.
        #[n(0)]
        model: Name,
    },
    /// Let a held rollout go on.
    #[n(6)]
    Resume {
        /// Model or adapter.
        #[n(0)]
        model: Name,
    },
    /// Return to the version before.
    #[n(7)]
    GoBack {
        /// Model or adapter.
        #[n(0)]
        model: Name,
    },
    /// Give a backend server no new work, and let what runs end.
    #[n(8)]
    Drain {
        /// Backend server.
        #[n(0)]
        server: Name,
    },
    /// Take back a drain.
    #[n(9)]
    Undrain {
        /// Backend server.
        #[n(0)]
        server: Name,
    },
    /// Drain a backend server, then end its process.
    #[n(10)]
    Stop {
        /// Backend server.
        #[n(0)]
        server: Name,
    },
    /// The planner gives an engine a version to hold.
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
        /// Version to hold.
        #[n(3)]
        version: Name,
        /// Availability zone of the engine.
        #[n(4)]
        zone: Name,
    },
    /// The planner frees an engine.
    #[n(12)]
    Unassign {
        /// Engine.
        #[n(0)]
        engine: Name,
    },
    /// The planner has seen a step of a rollout complete.
    #[n(13)]
    Advance {
        /// Model or adapter.
        #[n(0)]
        model: Name,
        /// Version rolled out.
        #[n(1)]
        version: Name,
        /// Steps that were complete before.
        #[n(2)]
        reached: u32,
    },
    /// Remove a version that is neither served nor assigned.
    #[n(14)]
    DeleteVersion {
        /// Its model.
        #[n(0)]
        model: Name,
        /// Version to remove.
        #[n(1)]
        version: Name,
    },
    /// Remove a client account.
    #[n(15)]
    DeleteAccount {
        /// Account to remove.
        #[n(0)]
        account: Name,
    },
}
