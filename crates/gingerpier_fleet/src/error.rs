//! What goes wrong when a fleet is started or asked.

use displaydoc::Display;

/// A failure of the harness, not of what it tests.
#[derive(Debug, Display)]
pub enum Error {
    /// {step}, {peer}: {what}
    Step {
        /// What was being done.
        step: &'static str,
        /// With which process, file or URL.
        peer: String,
        /// What happened.
        what: String,
    },
    /// `{what}` did not come about in {seconds} s; last seen: {last}
    Late {
        /// What was waited for.
        what: String,
        /// Seconds waited.
        seconds: u64,
        /// What was seen last.
        last: String,
    },
}

impl std::error::Error for Error {}

impl Error {
    /// Failure of a step.
    pub fn new(step: &'static str, peer: impl ToString, what: impl ToString) -> Self {
        Self::Step {
            step,
            peer: peer.to_string(),
            what: what.to_string(),
        }
    }
}
