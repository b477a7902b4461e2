//! Errors that keep a daemon from starting, or end it.

use {displaydoc::Display, std::path::PathBuf};

/// Error of the whole process.
#[derive(Debug, Display)]
pub enum Error {
    /// reading {path}: {cause}
    ReadSettings {
        /// Settings file.
        path: PathBuf,
        /// Cause.
        cause: std::io::Error,
    },
    /// {path} has mistakes:
    /// {problems}
    Settings {
        /// Settings file.
        path: PathBuf,
        /// All errors found.
        problems: gingerpier_settings::Problems,
    },
    /// {path} is for an operator's desk; a daemon's role is entry or backend
    Role {
        /// Settings file.
        path: PathBuf,
    },
    /// the keys in {keys} are for {actual}, and the settings are for {expected}
    Identity {
        /// Directory of keys and certificates.
        keys: PathBuf,
        /// Identity in the certificate.
        actual: String,
        /// Identity in the settings.
        expected: String,
    },
    /// {0}
    Gateway(gingerpier_gateway::error::Error),
    /// {0}
    Link(gingerpier_link::Error),
    /// listening on {address}: {cause}
    Listen {
        /// Address.
        address: std::net::SocketAddr,
        /// Cause.
        cause: std::io::Error,
    },
}

impl std::error::Error for Error {}

impl From<gingerpier_link::Error> for Error {
    fn from(error: gingerpier_link::Error) -> Self {
        Self::Link(error)
    }
}
