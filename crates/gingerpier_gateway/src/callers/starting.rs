//! Requests that come while this process starts, and does not know yet what can be served.
//!
//! Callers are sent here before this process is ready where few others are, as after a loss of power of everything.
//! Most of them have one try left: one that is refused then has nothing. What is missing (the configuration, the
//! engines, word of their weights) is there within about a second, so such a request waits for it, for a bounded time
//! from the start on. Later a process knows what it can't serve, and refuses it at once.

use {
    super::forward::left,
    crate::{clock, state::State},
    gingerpier_http1::connection::Connection,
};

/// Milliseconds from the start of the process within which a request may wait. After a loss of power of 116 machines
/// configurations were there after 0.5 s and engines on the right weights after 1.0 s; the rest is for places that those
/// who come then leave.
const START_MILLIS: u64 = 2_000;

/// Milliseconds between looks at whether it can be served now.
const LOOK_MILLIS: u64 = 25;

/// What became of a wait.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Waited {
    /// It is worth another look.
    Again,
    /// The process has had its time to start, or is stopping.
    InVain,
    /// The caller left.
    Left,
}

/// Waits a moment, where this process is starting.
pub async fn wait(state: &State, caller: &mut Connection) -> Waited {
    let now = clock::now();
    let until = state.started().after_millis(START_MILLIS);
    if until.has_passed(now) || state.is_stopping.get() {
        return Waited::InVain;
    }
    tokio::select! {
        biased;
        () = left(caller) => Waited::Left,
        () = clock::pause(LOOK_MILLIS) => Waited::Again,
    }
}
