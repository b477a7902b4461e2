//! Errors of startup and of exchanges with peers.

use {displaydoc::Display, gingerpier_serving::platform_api, std::net::SocketAddr};

/// Operation that failed.
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
    Parse,
}

/// Failed operation at a peer or at an own address.
#[derive(Debug, Display)]
pub enum Error {
    /// {step} at {peer}: {cause}
    Io {
        /// Operation.
        step: Step,
        /// Peer, or own address of a listener.
        peer: SocketAddr,
        /// Cause.
        cause: std::io::Error,
    },
    /// {step} at {peer}: {cause}
    Http {
        /// Operation.
        step: Step,
        /// Peer.
        peer: SocketAddr,
        /// Cause.
        cause: gingerpier_http1::error::Error,
    },
    /// {step} at {peer}: {cause}
    Response {
        /// Operation.
        step: Step,
        /// Peer.
        peer: SocketAddr,
        /// Cause.
        cause: platform_api::Error,
    },
    /// list after key {key:?}, page {page}: {cause}
    Page {
        /// Last key of the page before; empty for the first page.
        key: String,
        /// Number of the page, from 1.
        page: usize,
        /// Cause.
        cause: Box<Self>,
    },
    /// {step} at {peer}: no answer in time
    Timeout {
        /// Operation.
        step: Step,
        /// Peer.
        peer: SocketAddr,
    },
}

impl std::error::Error for Error {}
