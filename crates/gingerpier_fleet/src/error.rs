//! Errors of the test harness.

use displaydoc::Display;

/// Error of the harness, or a condition that was not met in time.
#[derive(Debug, Display)]
pub enum Error {
    /// {step}, {peer}: {cause}
    Step {
        /// Operation that failed.
        step: &'static str,
        /// Process, file or URL.
        peer: String,
        /// Cause.
        cause: String,
    },
    /// timed out after {seconds} s waiting until {condition}; last state: {last}
    Timeout {
        /// Awaited condition.
        condition: String,
        /// Timeout, in seconds.
        seconds: u64,
        /// Last observed state.
        last: String,
    },
}

impl std::error::Error for Error {}

impl Error {
    /// Creates an error of an operation.
    pub fn new(step: &'static str, peer: impl ToString, cause: impl ToString) -> Self {
        Self::Step {
            step,
            peer: peer.to_string(),
            cause: cause.to_string(),
        }
    }
}
