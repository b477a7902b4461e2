//! Sharing of the capacity between client accounts.

use {
    super::{Event, World},
    crate::accounts::AccountRule,
    gingerpier_admission::return_detection::Visit,
    std::collections::HashMap,
};

/// Interval at which gateways of a zone exchange the rates of client accounts.
const EXCHANGE_MILLIS: f64 = 250.0;

impl World {
    /// True if the request is refused because its account exceeds its part.
    pub(super) fn exceeds_account_part(&mut self, index: usize) -> bool {
        if self.deployment.account_rule == AccountRule::None {
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

    pub(super) fn exchange_rates(&mut self) {
        self.after(EXCHANGE_MILLIS, Event::ExchangeRates);
        let now = self.instant();
        let demands: Vec<_> = self
            .gateways
            .iter()
            .map(|gateway| gateway.accounts.demands(now))
            .collect();
        let zones = self.deployment.zones;
        for (index, gateway) in self.gateways.iter_mut().enumerate() {
            let mut peers: HashMap<u64, f64> = HashMap::new();
            let of_zone = demands.iter().enumerate();
            let of_zone =
                of_zone.filter(|(peer, _)| *peer != index && peer % zones == index % zones);
            for (key, demand) in of_zone.flat_map(|(_, demands)| demands) {
                *peers.entry(*key).or_default() += demand;
            }
            gateway.accounts.peers = peers;
        }
    }
}
