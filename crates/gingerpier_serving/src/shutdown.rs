//! Phases of a planned shutdown.
//!
//! A stopping gateway accepts requests until the load balancer has noticed, refuses them for a while instead of closing its
//! port, and then waits for those in progress. What isn't complete by then gets a final response before the process ends.

use gingerpier_base::Instant;

/// Time for which requests are accepted: covers two health checks of the load balancer, and leaves accepted requests time
/// to finish.
const ACCEPT_MILLIS: u64 = 2_800;

/// Time after that for which requests are refused even if none is in progress.
const REFUSE_MILLIS: u64 = 1_200;

/// Time before the latest end at which requests in progress get their final responses.
const CUTOFF_MARGIN_MILLIS: u64 = 600;

/// Time before the latest end at which the process ends by itself.
const END_MARGIN_MILLIS: u64 = 300;

/// Ends of the phases of a shutdown.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Schedule {
    /// Requests are accepted until then.
    pub accepts_until: Instant,
    /// The process stays at least until then, to refuse requests.
    pub refuses_until: Instant,
    /// Requests in progress get their final responses then.
    pub cutoff: Instant,
    /// The process ends then at the latest.
    pub ends_by: Instant,
}

impl Schedule {
    /// Schedule of a shutdown that begins at `now` and may take `within_millis`. If that is short, the phases shrink alike.
    pub fn new(now: Instant, within_millis: u64) -> Self {
        let cutoff_millis = within_millis.saturating_sub(CUTOFF_MARGIN_MILLIS);
        let full_millis = ACCEPT_MILLIS + REFUSE_MILLIS;
        let usable_millis = cutoff_millis.min(full_millis);
        Self {
            accepts_until: now.after_millis(ACCEPT_MILLIS * usable_millis / full_millis),
            refuses_until: now.after_millis(usable_millis),
            cutoff: now.after_millis(cutoff_millis),
            ends_by: now.after_millis(within_millis.saturating_sub(END_MARGIN_MILLIS)),
        }
    }
}
