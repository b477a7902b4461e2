//! What went wrong on a link: the step, and the peer.

use {displaydoc::Display, std::io};

/// What a process was doing.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
pub enum Step {
    /// reading keys
    ReadKeys,
    /// writing keys
    WriteKeys,
    /// binding
    Bind,
    /// connecting
    Connect,
    /// checking the certificate
    Authenticate,
    /// opening a stream
    Open,
    /// sending
    Send,
    /// receiving
    Receive,
    /// decoding a frame
    Decode,
}

/// {step}, {peer}: {what}
#[derive(Debug, Clone, PartialEq, Eq, Display)]
pub struct Error {
    /// Step that failed.
    pub step: Step,
    /// Peer, or file.
    pub peer: String,
    /// What happened.
    pub what: String,
}

impl std::error::Error for Error {}

impl Error {
    /// Error of `step` with `peer`.
    pub fn new(step: Step, peer: impl ToString, what: impl ToString) -> Self {
        Self {
            step,
            peer: peer.to_string(),
            what: what.to_string(),
        }
    }
}

impl From<Error> for io::Error {
    fn from(error: Error) -> Self {
        Self::other(error)
    }
}
