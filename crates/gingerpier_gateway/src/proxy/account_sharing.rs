//! Capacity sharing between client accounts, for services that run models.

use {super::forward::Forwarder, crate::clock, gingerpier_admission::return_detection::Visit};

impl Forwarder<'_, '_> {
    /// Records the arrival of the request; true if its client account exceeds its part.
    ///
    /// Requests without a client account count as one account.
    pub(super) fn exceeds_account_part(&self) -> bool {
        let request = self.request;
        let account = request.account.as_deref().unwrap_or_default();
        request.engine_model().is_some()
            && self
                .state
                .exceeds_account_part(request.traffic_class(), account, clock::now())
    }

    /// Records the pressure of the engine that the first attempt is sent to.
    pub(super) fn record_account_pressure(&self) {
        let (Some(slack_millis), Some(own_millis)) = (self.slack_millis(), self.own_millis) else {
            return;
        };
        let pressure = (self.predicted_millis - own_millis) / slack_millis.max(1.0);
        let traffic_class = self.request.traffic_class();
        self.state
            .record_account_pressure(traffic_class, pressure, clock::now());
    }

    /// Records a refusal if it shows a shortage: returning callers are refused by a stricter bound,
    /// which does not.
    pub(super) fn record_account_shortage(&self) {
        let is_full = self.refusal.is_some() && self.request.engine_model().is_some();
        if is_full && self.request.visit != Visit::Returned {
            let traffic_class = self.request.traffic_class();
            self.state
                .record_account_shortage(traffic_class, clock::now());
        }
    }
}
