//! Sharing of the capacity between client accounts.

use {super::World, gingerpier_admission::return_detection::Visit};

impl World {
    /// True if the request is refused because its account exceeds its part.
    pub(super) fn exceeds_account_part(&mut self, index: usize) -> bool {
        if !self.deployment.shares_between_accounts {
            return false;
        }
        let now = self.instant();
        let caller = &self.callers[index];
        let account = caller.account.to_string();
        let gateway = &mut self.gateways[caller.gateway];
        let probability = gateway.accounts.record_arrival(&account, now);
        self.account_draw.share() < probability
    }

    /// Records a refusal for lack of capacity.
    pub(super) fn record_account_refusal(&mut self, index: usize) {
        let now = self.instant();
        let caller = &self.callers[index];
        // A returning caller is refused by a stricter bound, which shows no shortage.
        if caller.visit == Visit::First {
            self.gateways[caller.gateway].accounts.record_refusal(now);
        }
    }
}
