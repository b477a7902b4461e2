//! Requests that may end the engines which run them run at one engine at a time, of all engines of all gateways.
//!
//! A gateway tells the others before it sends such a request, and waits a moment for word of another that does the same.
//! Where both begin at once, the lower address goes on.

use {
    crate::mark::Mark,
    gingerpier_base::Instant,
    std::{collections::HashMap, net::SocketAddr},
};

/// Milliseconds from the word of a trial until it begins: another gateway's word of the same moment comes within them, over
/// the longest ways between regions (3 to 10 ms) and a turn of a busy process.
pub const SETTLE_MILLIS: u64 = 20;

/// Milliseconds after which a trial is over for others that heard nothing of its end: its gateway may have died. Longer than
/// nearly all requests take.
pub const TRIAL_MILLIS: u64 = 3_000;

/// Trials that are kept; a request beyond them runs without one.
const MOST_TRIALS: usize = 512;

#[derive(Debug, Clone, Copy)]
struct Trial {
    by: SocketAddr,
    since: Instant,
}

/// Trials under way, as far as a gateway knows.
#[derive(Debug, Clone, Default)]
pub struct Trials {
    running: HashMap<Mark, Trial>,
}

impl Trials {
    /// Whose trial of a request is under way.
    pub fn owner(&self, mark: Mark, now: Instant) -> Option<SocketAddr> {
        let trial = self.running.get(&mark)?;
        (now.millis_since(trial.since) < TRIAL_MILLIS).then_some(trial.by)
    }

    /// Takes word that gateway `by` begins a trial.
    pub fn note_begun(&mut self, mark: Mark, by: SocketAddr, now: Instant) {
        let known = self.running.get(&mark).copied();
        let stays = known.is_some_and(|known| {
            let age = now.millis_since(known.since);
            let is_settled = age >= SETTLE_MILLIS;
            age < TRIAL_MILLIS && (is_settled || known.by < by)
        });
        if stays {
            return;
        }
        if self.running.len() >= MOST_TRIALS {
            self.running
                .retain(|_, trial| now.millis_since(trial.since) < TRIAL_MILLIS);
        }
        if self.running.len() < MOST_TRIALS || known.is_some() {
            self.running.insert(mark, Trial { by, since: now });
        }
    }

    /// Takes word that the trial of gateway `by` is over.
    pub fn note_over(&mut self, mark: Mark, by: SocketAddr) {
        if self.running.get(&mark).is_some_and(|trial| trial.by == by) {
            self.running.remove(&mark);
        }
    }
}
