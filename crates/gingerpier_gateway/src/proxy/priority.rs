//! Refusal of a request in favor of more urgent ones, and what its outcome counts for its rank.

use {
    super::forward::Forwarder,
    crate::{clock, metrics::Reason},
    gingerpier_admission::{priority::Outcome, return_detection::Visit},
};

impl Forwarder<'_, '_> {
    /// True if the request is to be refused before any engine gets it, as more urgent requests lack
    /// capacity.
    ///
    /// Callers that return after a refusal are not refused for their rank again.
    pub(super) fn yields(&self) -> bool {
        let is_first = self.retry_state.attempts == 0 && !self.has_waited;
        let has_returned = self.request.visit == Visit::Returned;
        let rank = self.request.rank.filter(|_| is_first && !has_returned);
        rank.is_some_and(|rank| {
            let traffic_class = self.request.traffic_class();
            self.state.yields(traffic_class, rank, clock::now())
        })
    }

    /// Records that the first event came `millis` after the request.
    pub(super) fn record_served(&self, millis: u64) {
        let is_on_time = millis <= self.request.route_settings().target_millis;
        self.record_outcome(match (self.request.visit, is_on_time) {
            (Visit::Returned, _) => Outcome::OnRetry,
            (Visit::First | Visit::Unknown, true) => Outcome::OnTime,
            (Visit::First | Visit::Unknown, false) => Outcome::Late,
        });
    }

    /// Records a refusal. Further refusals of the same request and those for other reasons than
    /// capacity say nothing about the shares of the capacity.
    pub(super) fn record_refused(&self, reason: Reason) {
        let outcome = match reason {
            _ if self.request.visit == Visit::Returned => return,
            Reason::Full => Outcome::Full,
            Reason::Priority => Outcome::Yielded,
            Reason::NoEngine | Reason::Held | Reason::OnTrial => return,
        };
        self.record_outcome(outcome);
    }

    /// Records that the deadline passed before the first event.
    pub(super) fn record_timeout(&self) {
        if self.request.visit != Visit::Returned {
            self.record_outcome(Outcome::Failed);
        }
    }

    fn record_outcome(&self, outcome: Outcome) {
        if let Some(rank) = self.request.rank {
            let traffic_class = self.request.traffic_class();
            self.state
                .record_outcome(traffic_class, rank, outcome, clock::now());
        }
    }
}
