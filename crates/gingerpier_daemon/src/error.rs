//! Why a daemon does not start, or ends.

use {displaydoc::Display, std::path::PathBuf};

/// A failure of the whole process.
#[derive(Debug, Display)]
pub enum Error {
    /// reading {path}: {what}
    ReadSettings {
        /// File.
        path: PathBuf,
        /// What happened.
        what: std::io::Error,
    },
    /// {path} has mistakes:
    /// {problems}
    Settings {
        /// File.
        path: PathBuf,
        /// Mistakes.
        problems: gingerpier_settings::Problems,
    },
    /// {path} is for an operator's desk; a daemon's role is entry or backend
    Role {
        /// File.
        path: PathBuf,
    },
    /// the keys in {keys} are for {found}, and the settings are for {wanted}
    Identity {
        /// Folder of keys.
        keys: PathBuf,
        /// Whom they are for.
        found: String,
        /// Whom the settings are for.
        wanted: String,
    },
    /// {0}
    Hosted(gingerpier_gateway::error::Error),
    /// {0}
    Link(gingerpier_link::Error),
    /// listening on {address}: {what}
    Listen {
        /// Address.
        address: std::net::SocketAddr,
        /// What happened.
        what: std::io::Error,
    },
}

impl std::error::Error for Error {}

impl From<gingerpier_link::Error> for Error {
    fn from(error: gingerpier_link::Error) -> Self {
        Self::Link(error)
    }
}
