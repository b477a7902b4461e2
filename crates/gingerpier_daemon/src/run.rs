//! From a settings file to a running daemon.

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
/// Lists every mistake in it.
pub fn settings(path: &Path) -> Result<Settings, Error> {
    let text = std::fs::read_to_string(path).map_err(|what| Error::ReadSettings {
        path: path.to_owned(),
        what,
    })?;
    gingerpier_settings::read(&text).map_err(|problems| Error::Settings {
        path: path.to_owned(),
        problems,
    })
}

/// Runs the daemon of a settings file until it is told to stop.
///
/// # Errors
///
/// Where it can't start.
pub fn run(path: &Path) -> Result<(), Error> {
    let settings = settings(path)?;
    actix_rt::System::new().block_on(async {
        match settings {
            Settings::Gateway(settings) => gingerpier_gateway::gateway::run(*settings, &Platform)
                .await
                .map_err(Error::Hosted),
            Settings::Loader(settings) => gingerpier_gateway::loader::run(*settings, &Platform)
                .await
                .map_err(Error::Hosted),
            other => run_own(path, other).await,
        }
    })
}

async fn run_own(path: &Path, settings: Settings) -> Result<(), Error> {
    log::start();
    match settings {
        Settings::Entry(settings) => Entry::run(*settings).await,
        Settings::Backend(settings) => Backend::run(*settings).await,
        Settings::Operator(_) | Settings::Gateway(_) | Settings::Loader(_) => Err(Error::Role {
            path: path.to_owned(),
        }),
    }
}
