//! The clock by which processes measure, read at their edges only.
//!
//! A machine may be suspended for seconds. Its steady clock stands meanwhile, and timers with it, while everything else goes
//! on: leases run out, engines leave, callers give up. So instants are taken from the clock that counts that time, and
//! whoever waits looks again as soon as [`watch`] has noticed that the machine woke up.
//!
//! ```
//! let before = gingerpier_clock::now();
//! gingerpier_clock::suspend(5_000);
//! assert!(gingerpier_clock::now().millis_since(before) >= 5_000);
//! ```

use {
    gingerpier_base::Instant,
    rustix::time::{ClockId, Timespec, clock_gettime},
    std::{
        cell::Cell,
        sync::LazyLock,
        time::{Duration, SystemTime, UNIX_EPOCH},
    },
    tokio::sync::Notify,
};

/// Milliseconds of the clock before its first reading, so that deadlines can lie before it.
const HEAD_START_MILLIS: u64 = 60_000;

/// Milliseconds between looks at whether the machine was suspended: a tenth of the least time after which a machine that was
/// away has to know it.
const WATCH_EVERY_MILLIS: u64 = 250;

/// Milliseconds by which the two clocks go apart from which on the machine was suspended: far above what lies between two
/// readings, and below all bounds on being in touch.
const SUSPENDED_MILLIS: u64 = 200;

/// Tells who waits that the machine woke up.
static WOKE: Notify = Notify::const_new();

static START: LazyLock<u64> = LazyLock::new(|| millis(ClockId::Boottime));

thread_local! {
    /// Time for which the machine was suspended, as far as this thread is made to believe.
    static PRETENDED_MILLIS: Cell<u64> = const { Cell::new(0) };
}

fn millis(clock: ClockId) -> u64 {
    let Timespec { tv_sec, tv_nsec } = clock_gettime(clock);
    tv_sec as u64 * 1_000 + tv_nsec as u64 / 1_000_000
}

/// Now.
pub fn now() -> Instant {
    let elapsed = millis(ClockId::Boottime).saturating_sub(*START);
    Instant::from_millis(HEAD_START_MILLIS + elapsed + PRETENDED_MILLIS.get())
}

/// Present wall-clock time, for people.
pub fn stamp() -> gingerpier_base::Stamp {
    let since = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default();
    gingerpier_base::Stamp::from_unix_millis(since.as_millis() as u64)
}

/// Time left until `deadline`.
pub fn left(deadline: Instant) -> Duration {
    Duration::from_millis(deadline.millis_since(now()))
}

/// Waits until `deadline`.
pub async fn until(deadline: Instant) {
    loop {
        tokio::select! {
            biased;
            () = tokio::time::sleep(left(deadline)) => {}
            () = WOKE.notified() => {}
        }
        if deadline.has_passed(now()) {
            return;
        }
    }
}

/// Waits `millis` milliseconds from now.
pub async fn pause(millis: u64) {
    until(now().after_millis(millis)).await;
}

/// Output of `work`, where it comes before `deadline`.
pub async fn before<F: Future>(deadline: Instant, work: F) -> Option<F::Output> {
    tokio::select! {
        biased;
        output = work => Some(output),
        () = until(deadline) => None,
    }
}

/// Milliseconds for which the machine was suspended since it started.
fn suspended_millis() -> u64 {
    let apart = millis(ClockId::Boottime).saturating_sub(millis(ClockId::Monotonic));
    apart + PRETENDED_MILLIS.get()
}

/// Notices, for as long as the process runs, that the machine was suspended, and has all who wait look at their deadlines.
pub async fn watch() {
    let mut known = suspended_millis();
    loop {
        tokio::time::sleep(Duration::from_millis(WATCH_EVERY_MILLIS)).await;
        let seen = suspended_millis();
        let millis = seen.saturating_sub(known);
        if millis >= SUSPENDED_MILLIS {
            tracing::warn!(millis, "machine was suspended, what was known is as old");
            WOKE.notify_waiters();
        }
        known = seen;
    }
}

/// Has this thread believe that the machine was suspended for `millis` milliseconds just now; for tests and models.
pub fn suspend(millis: u64) {
    PRETENDED_MILLIS.set(PRETENDED_MILLIS.get() + millis);
}
