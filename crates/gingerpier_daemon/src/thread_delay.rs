//! Measures delays of the process's only thread and logs their cause.
//!
//! A delay of this thread delays all responses to peers. The kernel's scheduling statistics tell
//! whether the thread was running, waiting for a processor or blocked in a call.

use {
    crate::{clock, metrics::Metrics},
    gingerpier_base::Instant,
    std::{cell::RefCell, fs, rc::Rc, time::Duration},
};

/// Interval between measurements; short against the time after which peers consider a box stalled.
const INTERVAL_MILLIS: u64 = 50;
/// Delay from which a warning is logged.
const LOG_DELAY_MILLIS: u64 = 100;
/// Minimum interval between two log lines of one throttle.
const LOG_INTERVAL_MILLIS: u64 = 500;
/// Kernel statistics of this thread: nanoseconds on a processor, then nanoseconds in the run queue.
const SCHEDSTAT_PATH: &str = "/proc/thread-self/schedstat";

/// Limits a log message to one line per [`LOG_INTERVAL_MILLIS`] and counts the suppressed ones.
#[derive(Debug, Default)]
pub struct LogThrottle(RefCell<ThrottleState>);

#[derive(Debug, Default)]
struct ThrottleState {
    next_line_at: Instant,
    suppressed: u64,
}

impl LogThrottle {
    /// Returns how many lines were suppressed since the last one if another may be logged now, or
    /// `None` and counts it as suppressed.
    pub fn allow(&self, now: Instant) -> Option<u64> {
        let mut state = self.0.borrow_mut();
        if !state.next_line_at.has_passed(now) {
            state.suppressed += 1;
            return None;
        }
        state.next_line_at = now.after_millis(LOG_INTERVAL_MILLIS);
        Some(std::mem::take(&mut state.suppressed))
    }
}

/// Scheduling times of this thread since it started.
#[derive(Debug, Clone, Copy, Default)]
struct ThreadTimes {
    running: Duration,
    runnable: Duration,
}

impl ThreadTimes {
    /// Returns zeros if the system has no scheduling statistics.
    fn read() -> Self {
        let text = fs::read_to_string(SCHEDSTAT_PATH).unwrap_or_default();
        let mut numbers = text
            .split_whitespace()
            .map_while(|field| field.parse().ok());
        let mut next_duration = || Duration::from_nanos(numbers.next().unwrap_or_default());
        Self {
            running: next_duration(),
            runnable: next_duration(),
        }
    }

    fn since(self, earlier: Self) -> Self {
        Self {
            running: self.running.saturating_sub(earlier.running),
            runnable: self.runnable.saturating_sub(earlier.runnable),
        }
    }
}

/// Measures the delay of timers on the calling thread until the future is dropped.
pub async fn monitor(metrics: Rc<Metrics>) {
    let log_throttle = LogThrottle::default();
    loop {
        let before = ThreadTimes::read();
        let due = clock::now().after_millis(INTERVAL_MILLIS);
        clock::pause(INTERVAL_MILLIS).await;
        let now = clock::now();
        let late_millis = now.millis_since(due);
        metrics.timer_delay.observe(late_millis as f64 / 1_000.0);
        if late_millis < LOG_DELAY_MILLIS {
            continue;
        }
        if let Some(left_out) = log_throttle.allow(now) {
            let ThreadTimes { running, runnable } = ThreadTimes::read().since(before);
            let accounted_millis = (running + runnable).as_millis() as u64;
            tracing::warn!(
                event = "process_late",
                late_millis,
                worked_millis = running.as_millis() as u64,
                queued_millis = runnable.as_millis() as u64,
                blocked_millis = late_millis.saturating_sub(accounted_millis),
                left_out
            );
        }
    }
}
