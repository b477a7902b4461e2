//! Requests that arrive while the gateway starts and its configuration or engines are still unknown.
//!
//! After a full outage, callers may reach a gateway before it is ready and have one retry left, so
//! that a refusal would be final. Such requests wait for a bounded time after process start; later
//! ones are refused at once.

use {
    super::{caller::Caller, forward::disconnected},
    crate::{clock, state::State},
};

/// Time after process start within which requests may wait; covers loading the configuration and
/// the engines' state after a full outage. After a power loss of 116 machines, configurations were
/// loaded after 0.5 s and engines had the right weights after 1.0 s.
const STARTUP_WINDOW_MILLIS: u64 = 2_000;

/// Interval at which a waiting request is tried again.
const POLL_INTERVAL_MILLIS: u64 = 25;

/// Result of a wait for startup.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StartupWait {
    /// The request should be tried again.
    Retry,
    /// The startup window is over, or the gateway is stopping.
    Expired,
    /// The caller closed its connection.
    Disconnected,
}

/// Waits one poll interval while the gateway is starting.
pub async fn wait(state: &State, caller: &mut Caller) -> StartupWait {
    let now = clock::now();
    let window_end = state.started().after_millis(STARTUP_WINDOW_MILLIS);
    if window_end.has_passed(now) || state.is_stopping() {
        return StartupWait::Expired;
    }
    tokio::select! {
        biased;
        () = disconnected(caller) => StartupWait::Disconnected,
        () = clock::pause(POLL_INTERVAL_MILLIS) => StartupWait::Retry,
    }
}
