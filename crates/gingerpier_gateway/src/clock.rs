//! The process's steady clock.

use {
    gingerpier_base::Instant,
    std::{cell::OnceCell, time::Duration},
};

thread_local! {
    static START: OnceCell<std::time::Instant> = const { OnceCell::new() };
}

/// Milliseconds of the clock before its first reading, so that deadlines can lie before it.
const HEAD_START_MILLIS: u64 = 60_000;

fn start() -> std::time::Instant {
    START.with(|start| *start.get_or_init(std::time::Instant::now))
}

/// Now.
pub fn now() -> Instant {
    let elapsed = start().elapsed().as_millis() as u64;
    Instant::from_millis(HEAD_START_MILLIS + elapsed)
}

/// Waits until `deadline`.
pub async fn until(deadline: Instant) {
    let left = deadline.millis_since(now());
    tokio::time::sleep(Duration::from_millis(left)).await;
}

/// Waits `millis` milliseconds from now.
pub async fn pause(millis: u64) {
    tokio::time::sleep(Duration::from_millis(millis)).await;
}

/// Output of `work`, where it comes before `deadline`.
pub async fn before<F: Future>(deadline: Instant, work: F) -> Option<F::Output> {
    let left = deadline.millis_since(now());
    tokio::time::timeout(Duration::from_millis(left), work)
        .await
        .ok()
}
