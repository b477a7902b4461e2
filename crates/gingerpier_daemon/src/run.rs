//! Starts a daemon from its settings file.

use {
    crate::{backend::Backend, entry::Entry, error::Error, log},
    gingerpier_platform::Platform,
    gingerpier_settings::Settings,
    std::path::Path,
};

/// Reads and checks a settings file.
///
/// # Errors
///
/// Fails if the file can't be read or has errors, and lists all of them.
pub fn read_settings(path: &Path) -> Result<Settings, Error> {
    let text = std::fs::read_to_string(path).map_err(|cause| Error::ReadSettings {
        path: path.to_owned(),
        cause,
    })?;
    gingerpier_settings::read(&text).map_err(|problems| Error::Settings {
        path: path.to_owned(),
        problems,
    })
}

/// Runs the daemon that a settings file describes until it is stopped.
///
/// # Errors
///
/// Fails if the daemon can't start.
pub fn run(path: &Path) -> Result<(), Error> {
    let settings = read_settings(path)?;
    actix_rt::System::new().block_on(async {
        match settings {
            Settings::Gateway(settings) => gingerpier_gateway::gateway::run(*settings, &Platform)
                .await
                .map_err(Error::Gateway),
            Settings::Loader(settings) => gingerpier_gateway::loader::run(*settings, &Platform)
                .await
                .map_err(Error::Gateway),
            other => run_daemon(path, other).await,
        }
    })
}

async fn run_daemon(path: &Path, settings: Settings) -> Result<(), Error> {
    log::init();
    match settings {
        Settings::Entry(settings) => Entry::run(*settings).await,
        Settings::Backend(settings) => Backend::run(*settings).await,
        Settings::Operator(_) | Settings::Gateway(_) | Settings::Loader(_) => Err(Error::Role {
            path: path.to_owned(),
        }),
    }
}
