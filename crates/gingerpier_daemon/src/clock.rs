//! The process's clocks, read at its edges only.

use {
    gingerpier_base::{Instant, Stamp},
    std::{
        sync::LazyLock,
        time::{Duration, SystemTime, UNIX_EPOCH},
    },
};

static START: LazyLock<std::time::Instant> = LazyLock::new(std::time::Instant::now);

/// Present instant; one second at the start, so that no deadline is at zero.
pub fn now() -> Instant {
    Instant::from_millis(START.elapsed().as_millis() as u64 + 1_000)
}

/// Present wall-clock time.
pub fn stamp() -> Stamp {
    let since = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default();
    Stamp::from_unix_millis(since.as_millis() as u64)
}

/// Time left until `deadline`.
pub fn left(deadline: Instant) -> Duration {
    Duration::from_millis(deadline.millis_since(now()))
}

/// Waits `millis` milliseconds.
pub async fn sleep(millis: u64) {
    actix_rt::time::sleep(Duration::from_millis(millis)).await;
}
