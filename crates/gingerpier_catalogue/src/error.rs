//! Errors of commands and records.

use {crate::key::Revision, displaydoc::Display, gingerpier_base::Name};

/// Error of a command or record; the catalogue is unchanged.
#[derive(Debug, Clone, PartialEq, Eq, Display)]
pub enum Error {
    /// there is no model `{0}`; `show models` lists them
    UnknownModel(Name),
    /// model `{model}` has no version `{version}`; `show versions of {model}` lists them
    UnknownVersion {
        /// Model or adapter.
        model: Name,
        /// Version in the command.
        version: Name,
    },
    /// there is no client account `{0}`; `show accounts` lists them
    UnknownAccount(Name),
    /// `{0}` already exists; choose another name
    Exists(Name),
    /// the base of an adapter must be a model, but `{0}` is an adapter
    BaseIsAdapter(Name),
    /// `{0}` is an adapter: specify its base version with `base VERSION`
    BaseMissing(Name),
    /// `{0}` is not an adapter: omit `base`
    BaseUnwanted(Name),
    /// steps must be ascending percentages that end with 100, such as `steps 10,50,100`
    Steps,
    /// `{model}` is being rolled out to `{to}` since revision {since}; wait, `go back {model}`, or add `replacing`
    RolloutActive {
        /// Model or adapter.
        model: Name,
        /// Target version of the active rollout.
        to: Name,
        /// Revision that started the rollout.
        since: Revision,
    },
    /// `{0}` has no rollout in progress
    NoRollout(Name),
    /// `{model}` already serves `{version}`
    AlreadyLive {
        /// Model or adapter.
        model: Name,
        /// Version in the command.
        version: Name,
    },
    /// `{0}` has no previous version to go back to
    NoEarlier(Name),
    /// the rollout of `{0}` is no longer at this step
    StepMoved(Name),
    /// `{0}` is in use: it is live, being rolled out, assigned to an engine, or referenced by other objects
    InUse(Name),
    /// `{0}` has been commanded to stop, which cannot be undone
    Stopping(Name),
    /// `{0}` is not drained
    NotDrained(Name),
    /// the rollout of `{0}` is already paused
    AlreadyPaused(Name),
    /// the rollout of `{0}` is not paused
    NotPaused(Name),
    /// engine `{0}` has no assigned version
    NotAssigned(Name),
    /// `{0}` is an adapter: it is loaded with its base and cannot be assigned to an engine
    AdapterAssigned(Name),
    /// record has revision {got}, which does not follow revision {have}
    NotNext {
        /// Current revision of the catalogue.
        have: Revision,
        /// Revision of the record.
        got: Revision,
    },
    /// stored state cannot be decoded: {0}
    Unreadable(String),
}

impl std::error::Error for Error {}
