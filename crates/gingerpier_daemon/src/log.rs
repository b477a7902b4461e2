//! Logs: one line of key=value pairs for each event, on standard error.

use tracing_subscriber::{EnvFilter, layer::SubscriberExt, util::SubscriberInitExt};

/// Environment variable that sets the level, as in `debug` or `gingerpier_daemon=debug`.
const LEVEL_VARIABLE: &str = "GINGERPIER_LOG";

/// Starts logging.
pub fn start() {
    let level = EnvFilter::try_from_env(LEVEL_VARIABLE);
    let level = level.unwrap_or_else(|_| EnvFilter::new("info,quinn=error,actix=error"));
    let lines = tracing_logfmt::builder()
        .with_target(false)
        .layer()
        .with_writer(std::io::stderr);
    let lines = tracing_subscriber::Layer::with_filter(lines, level);
    // A process that embeds the daemon may log already; its choice stands.
    let _ = tracing_subscriber::registry().with(lines).try_init();
}
