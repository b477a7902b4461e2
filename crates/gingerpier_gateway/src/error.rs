//! Why a daemon can't start or an exchange with a peer failed.

use {displaydoc::Display, gingerpier_serving::dialect, std::net::SocketAddr};

/// What was being done.
#[derive(Debug, Display, Clone, Copy, PartialEq, Eq)]
pub enum Step {
    /// listen for callers
    ListenCallers,
    /// listen for readiness
    ListenReadiness,
    /// listen for other gateways
    ListenControl,
    /// listen for peers
    ListenPeers,
    /// take signals
    Signals,
    /// connect
    Connect,
    /// exchange
    Exchange,
    /// read the answer
    Read,
}

/// A failure at a peer or an address.
#[derive(Debug, Display)]
pub enum Error {
    /// {step} at {peer}: {what}
    Io {
        /// Step.
        step: Step,
        /// Peer or own address.
        peer: SocketAddr,
        /// Cause.
        what: std::io::Error,
    },
    /// {step} at {peer}: {what}
    Http {
        /// Step.
        step: Step,
        /// Peer.
        peer: SocketAddr,
        /// Cause.
        what: gingerpier_http1::error::Error,
    },
    /// {step} at {peer}: {what}
    Answer {
        /// Step.
        step: Step,
        /// Peer.
        peer: SocketAddr,
        /// Cause.
        what: dialect::Error,
    },
    /// {step} at {peer}: no answer in time
    Late {
        /// Step.
        step: Step,
        /// Peer.
        peer: SocketAddr,
    },
}

impl std::error::Error for Error {}
