//! Errors of calls to the platform's services.

use {displaydoc::Display, gingerpier_base::Instant};

/// Operation that failed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
pub enum Step {
    /// reading a key
    ReadKey,
    /// writing keys
    WriteKeys,
    /// holding a lease
    Lease,
    /// watching
    Watch,
    /// reading the box list
    ReadBoxList,
    /// reading a manifest
    ReadManifest,
    /// reading weights
    ReadWeights,
    /// asking an engine
    AskEngine,
    /// giving an engine weights
    GiveWeights,
    /// ordering an engine
    OrderEngine,
    /// running a request
    Run,
}

/// Cause of an error.
#[derive(Debug, Clone, PartialEq, Eq, Display)]
pub enum Fault {
    /// it can't be reached
    Unreachable,
    /// it refuses calls for now
    Busy(Instant),
    /// no answer came: {0}
    Unanswered(String),
    /// it refuses: {0}
    Refused(String),
    /// it does not have it
    Missing,
    /// its answer can't be read: {0}
    Unreadable(String),
}

/// {step}, {peer}: {fault}
#[derive(Debug, Clone, PartialEq, Eq, Display)]
pub struct Error {
    /// Operation that failed.
    pub step: Step,
    /// URL of the service.
    pub peer: String,
    /// Cause.
    pub fault: Fault,
}

impl std::error::Error for Error {}

impl Error {
    /// Creates an error of `step` at the URL `peer`.
    pub fn new(step: Step, peer: &str, fault: Fault) -> Self {
        Self {
            step,
            peer: peer.to_owned(),
            fault,
        }
    }

    /// True if the call certainly had no effect; false if it may have had one.
    pub const fn had_no_effect(&self) -> bool {
        match self.fault {
            Fault::Unreachable | Fault::Busy(_) | Fault::Refused(_) | Fault::Missing => true,
            Fault::Unanswered(_) | Fault::Unreadable(_) => false,
        }
    }
}
