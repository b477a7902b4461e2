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
    /// `{0}` exists already; choose another name
    Exists(Name),
    /// an adapter's base must be a model, and `{0}` is itself an adapter
    BaseIsAdapter(Name),
    /// `{0}` is an adapter: name the base version it belongs to with `base VERSION`
    BaseMissing(Name),
    /// `{0}` is no adapter: leave out `base`
    BaseUnwanted(Name),
    /// steps are percentages that rise to 100, as in `steps 10,50,100`
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
    /// `{0}` has no rollout under way
    NoRollout(Name),
    /// `{model}` serves `{version}` already
    AlreadyLive {
        /// Model or adapter.
        model: Name,
        /// Version in the command.
        version: Name,
    },
    /// `{0}` has no version before this one to go back to
    NoEarlier(Name),
    /// the rollout of `{0}` has moved on
    StepMoved(Name),
    /// `{0}` is in use: it is live, rolled out, assigned, or the base of another
    InUse(Name),
    /// `{0}` was commanded to stop, which is not taken back
    Stopping(Name),
    /// `{0}` is not drained
    NotDrained(Name),
    /// `{0}` is held already
    AlreadyPaused(Name),
    /// `{0}` is not held
    NotPaused(Name),
    /// engine `{0}` has no version assigned
    NotAssigned(Name),
    /// an adapter is held wherever its base is; `{0}` is not assigned to engines
    AdapterAssigned(Name),
    /// record {got} does not follow revision {have}
    NotNext {
        /// Current revision of the catalogue.
        have: Revision,
        /// Revision of the record.
        got: Revision,
    },
    /// the stored state can't be read: {0}
    Unreadable(String),
}

impl std::error::Error for Error {}
