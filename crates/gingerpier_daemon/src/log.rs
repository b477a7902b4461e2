//! Logging of events as `key=value` lines to standard error.

use tracing_subscriber::{EnvFilter, layer::SubscriberExt, util::SubscriberInitExt};

/// Environment variable with the log filter, as in `debug` or `gingerpier_daemon=debug`.
const FILTER_VARIABLE: &str = "GINGERPIER_LOG";

/// Installs the global log subscriber, unless the process already has one.
pub fn init() {
    let filter = EnvFilter::try_from_env(FILTER_VARIABLE);
    let filter = filter.unwrap_or_else(|_| EnvFilter::new("info,quinn=error,actix=error"));
    let layer = tracing_logfmt::builder()
        .with_target(false)
        .layer()
        .with_writer(std::io::stderr);
    let layer = tracing_subscriber::Layer::with_filter(layer, filter);
    // Fails if a process that embeds the daemon has installed its own subscriber.
    let _ = tracing_subscriber::registry().with(layer).try_init();
}
