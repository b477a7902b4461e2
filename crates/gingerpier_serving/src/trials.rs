//! Requests that may end the engines which run them run one at a time, and from the second end on none beside another one.
//!
//! A gateway tells the others before it sends such a request where it is to run, and waits a moment for word of another trial of
//! the same request or at the same engine. Of two that begin at once the lower one goes on. So an engine that ends under a trial
//! was ended by that request, or by one of which nothing was known.

use {
    crate::{mark::Mark, suspects::Incarnation},
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

/// A request on trial.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct Trial {
    /// Gateway.
    pub by: SocketAddr,
    /// Request.
    pub mark: Mark,
    /// Engine, where no other request of this kind may run beside it.
    pub engine: Option<Incarnation>,
}

/// Trials under way, as far as a gateway knows.
#[derive(Debug, Clone, Default)]
pub struct Trials {
    running: HashMap<(Mark, SocketAddr), Running>,
}

#[derive(Debug, Clone, Copy)]
struct Running {
    trial: Trial,
    since: Instant,
}

impl Running {
    const fn is_over(&self, now: Instant) -> bool {
        now.millis_since(self.since) >= TRIAL_MILLIS
    }

    /// True once other gateways had the time to tell of a trial of the same moment: it goes before any that begins now.
    const fn is_settled(&self, now: Instant) -> bool {
        now.millis_since(self.since) >= SETTLE_MILLIS
    }
}

impl Trials {
    fn under_way(&self, now: Instant) -> impl Iterator<Item = &Running> {
        self.running.values().filter(move |one| !one.is_over(now))
    }

    /// True where a trial of a request is under way.
    pub fn is_on_trial(&self, mark: Mark, now: Instant) -> bool {
        self.under_way(now).any(|one| one.trial.mark == mark)
    }

    /// Engines at which trials are under way.
    pub fn engines(&self, now: Instant) -> impl Iterator<Item = Incarnation> {
        self.under_way(now).filter_map(|one| one.trial.engine)
    }

    /// True where `trial`, which has begun, may go on: no other of the same request or at the same engine goes before it.
    pub fn goes_on(&self, trial: &Trial, now: Instant) -> bool {
        let same = |one: &&Running| {
            let is_beside = trial.engine.is_some() && one.trial.engine == trial.engine;
            one.trial.mark == trial.mark || is_beside
        };
        let others = self.under_way(now).filter(same);
        let mut others = others.filter(|one| one.trial != *trial);
        !others.any(|one| one.is_settled(now) || one.trial < *trial)
    }

    /// Takes word that a trial begins.
    pub fn note_begun(&mut self, trial: Trial, now: Instant) {
        if self.running.len() >= MOST_TRIALS {
            self.running.retain(|_, one| !one.is_over(now));
        }
        if self.running.len() < MOST_TRIALS {
            let running = Running { trial, since: now };
            self.running.insert((trial.mark, trial.by), running);
        }
    }

    /// Takes word that the trial of a request at gateway `by` is over.
    pub fn note_over(&mut self, mark: Mark, by: SocketAddr) {
        self.running.remove(&(mark, by));
    }
}
