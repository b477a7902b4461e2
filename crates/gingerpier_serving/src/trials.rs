//! Coordinates isolated runs ("trials") of suspect requests across gateways.
//!
//! A gateway announces a trial to the others and waits [`CONFLICT_WINDOW_MILLIS`] for a conflicting
//! announcement: a trial of the same request, or one at the same engine. Of two that start at once,
//! the lower in order continues. A crash during a trial is therefore attributable to that request,
//! or to one without a case.

use {
    crate::{fingerprint::Fingerprint, suspects::Incarnation},
    gingerpier_base::Instant,
    std::{collections::HashMap, net::SocketAddr},
};

/// Milliseconds between the announcement of a trial and its run, longer than a message takes
/// between regions. The longest delay between regions is 3 to 10 ms; a turn of a busy process comes
/// on top.
pub const CONFLICT_WINDOW_MILLIS: u64 = 20;

/// Milliseconds after which a trial without an end message counts as over, as its gateway may have
/// died. Nearly all requests take less.
pub const TRIAL_TIMEOUT_MILLIS: u64 = 3_000;

/// Trials kept; a request beyond them runs without one.
const MAX_TRIALS: usize = 512;

/// An isolated run of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct Trial {
    /// Gateway that runs the trial.
    pub gateway: SocketAddr,
    /// Fingerprint of the request.
    pub fingerprint: Fingerprint,
    /// Engine reserved for the trial; none if the request shares one.
    pub engine: Option<Incarnation>,
}

/// Trials in progress, as far as this gateway knows.
#[derive(Debug, Clone, Default)]
pub struct Trials {
    announced: HashMap<(Fingerprint, SocketAddr), AnnouncedTrial>,
}

#[derive(Debug, Clone, Copy)]
struct AnnouncedTrial {
    trial: Trial,
    announced_at: Instant,
}

impl AnnouncedTrial {
    const fn has_timed_out(&self, now: Instant) -> bool {
        now.millis_since(self.announced_at) >= TRIAL_TIMEOUT_MILLIS
    }

    /// Returns true once a conflicting announcement would have arrived; from then on this trial
    /// takes precedence over new ones.
    const fn has_settled(&self, now: Instant) -> bool {
        now.millis_since(self.announced_at) >= CONFLICT_WINDOW_MILLIS
    }
}

impl Trials {
    fn in_progress(&self, now: Instant) -> impl Iterator<Item = &AnnouncedTrial> {
        self.announced
            .values()
            .filter(move |other| !other.has_timed_out(now))
    }

    /// Returns true if a trial of the request is in progress.
    pub fn is_on_trial(&self, fingerprint: Fingerprint, now: Instant) -> bool {
        self.in_progress(now)
            .any(|other| other.trial.fingerprint == fingerprint)
    }

    /// Returns the engines that are reserved for trials.
    pub fn engines(&self, now: Instant) -> impl Iterator<Item = Incarnation> {
        self.in_progress(now).filter_map(|other| other.trial.engine)
    }

    /// Returns true if `trial`, which was announced, takes precedence over all conflicting ones.
    pub fn may_continue(&self, trial: &Trial, now: Instant) -> bool {
        let conflicts_with = |other: &&AnnouncedTrial| {
            let shares_engine = trial.engine.is_some() && other.trial.engine == trial.engine;
            other.trial.fingerprint == trial.fingerprint || shares_engine
        };
        let conflicting = self.in_progress(now).filter(conflicts_with);
        let mut conflicting = conflicting.filter(|other| other.trial != *trial);
        !conflicting.any(|other| other.has_settled(now) || other.trial < *trial)
    }

    /// Records the start of a trial.
    pub fn record_start(&mut self, trial: Trial, now: Instant) {
        if self.announced.len() >= MAX_TRIALS {
            self.announced.retain(|_, other| !other.has_timed_out(now));
        }
        if self.announced.len() < MAX_TRIALS {
            let announced = AnnouncedTrial {
                trial,
                announced_at: now,
            };
            self.announced
                .insert((trial.fingerprint, trial.gateway), announced);
        }
    }

    /// Records the end of the trial of a request at gateway `gateway`.
    pub fn record_end(&mut self, fingerprint: Fingerprint, gateway: SocketAddr) {
        self.announced.remove(&(fingerprint, gateway));
    }
}
