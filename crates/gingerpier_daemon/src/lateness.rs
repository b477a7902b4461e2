//! How late the thread of this process gets to its work, and what kept it.
//!
//! All work of a process is done by one thread, so whatever holds it up silences the box for all its
//! peers at once. A task takes short turns; where one is late, the system's count of the thread's
//! time tells the causes apart: it worked, it waited for a processor, or a call did not return.

use {
    crate::{clock, metrics::Metrics},
    gingerpier_base::Instant,
    std::{cell::RefCell, fs, rc::Rc, time::Duration},
};

/// Milliseconds between two turns: a fifth of the least time that a peer waits for a word.
const TURN_MILLIS: u64 = 50;
/// Milliseconds of delay from which a line is logged; less is usual on a busy machine.
const LOGGED_MILLIS: u64 = 100;
/// Milliseconds between two lines about one thing, so that a slow machine is not slowed by them.
const LINE_EVERY_MILLIS: u64 = 500;
/// The system's count of this thread: nanoseconds on a processor and nanoseconds waiting for one.
const THREAD_COUNT: &str = "/proc/thread-self/schedstat";

/// Lets one line through in [`LINE_EVERY_MILLIS`], and counts the others.
#[derive(Debug, Default)]
pub struct Sieve(RefCell<Passed>);

#[derive(Debug, Default)]
struct Passed {
    next_at: Instant,
    left_out: u64,
}

impl Sieve {
    /// Lines left out since the last one, where one more may be written.
    pub fn pass(&self, now: Instant) -> Option<u64> {
        let mut passed = self.0.borrow_mut();
        if !passed.next_at.has_passed(now) {
            passed.left_out += 1;
            return None;
        }
        passed.next_at = now.after_millis(LINE_EVERY_MILLIS);
        Some(std::mem::take(&mut passed.left_out))
    }
}

/// Time of this thread.
#[derive(Debug, Clone, Copy, Default)]
struct Count {
    worked: Duration,
    queued: Duration,
}

impl Count {
    /// Zero on systems that keep no such count.
    fn read() -> Self {
        let text = fs::read_to_string(THREAD_COUNT).unwrap_or_default();
        let mut numbers = text.split_whitespace().map_while(|word| word.parse().ok());
        let mut next = || Duration::from_nanos(numbers.next().unwrap_or_default());
        Self {
            worked: next(),
            queued: next(),
        }
    }

    fn since(self, earlier: Self) -> Self {
        Self {
            worked: self.worked.saturating_sub(earlier.worked),
            queued: self.queued.saturating_sub(earlier.queued),
        }
    }
}

/// Watches the thread that it is called on, for as long as the process runs.
pub async fn watch(metrics: Rc<Metrics>) {
    let sieve = Sieve::default();
    loop {
        let before = Count::read();
        let due = clock::now().after_millis(TURN_MILLIS);
        clock::pause(TURN_MILLIS).await;
        let now = clock::now();
        let late_millis = now.millis_since(due);
        metrics.turn_delay.observe(late_millis as f64 / 1_000.0);
        if late_millis < LOGGED_MILLIS {
            continue;
        }
        if let Some(left_out) = sieve.pass(now) {
            let Count { worked, queued } = Count::read().since(before);
            let known_millis = (worked + queued).as_millis() as u64;
            tracing::warn!(
                event = "process_late",
                late_millis,
                worked_millis = worked.as_millis() as u64,
                queued_millis = queued.as_millis() as u64,
                blocked_millis = late_millis.saturating_sub(known_millis),
                left_out
            );
        }
    }
}
