//! What goes wrong at the desk.

use {displaydoc::Display, std::path::PathBuf};

/// A failure, with what to do where that can be said.
#[derive(Debug, Display)]
pub enum Error {
    /// reading {path}: {what}
    Read {
        /// File.
        path: PathBuf,
        /// What happened.
        what: std::io::Error,
    },
    /// writing {path}: {what}
    Write {
        /// File.
        path: PathBuf,
        /// What happened.
        what: std::io::Error,
    },
    /// {path}: the path is no text that a manifest can hold
    Path {
        /// File.
        path: PathBuf,
    },
    /// {0} holds no files
    Empty(PathBuf),
    /// {0}
    Settings(gingerpier_daemon::error::Error),
    /// {0} is not for an operator's desk; its role is not `operator`
    Role(PathBuf),
    /// {0}
    Statement(gingerpier_language::Error),
    /// {0}
    Link(gingerpier_link::Error),
    /// {0}
    Name(gingerpier_base::name::Error),
    /// no entry box answers: {0}
    NoEntry(String),
    /// gateway {gateway} does not answer: {what}
    NoGateway {
        /// Its control address.
        gateway: std::net::SocketAddr,
        /// What happened.
        what: String,
    },
}

impl std::error::Error for Error {}

impl From<gingerpier_daemon::error::Error> for Error {
    fn from(error: gingerpier_daemon::error::Error) -> Self {
        Self::Settings(error)
    }
}

impl From<gingerpier_link::Error> for Error {
    fn from(error: gingerpier_link::Error) -> Self {
        Self::Link(error)
    }
}
