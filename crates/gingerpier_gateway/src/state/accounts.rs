//! Capacity sharing between client accounts by traffic class.

use {
    super::{State, TrafficClass},
    gingerpier_admission::accounts::Controller,
    gingerpier_base::Instant,
    gingerpier_serving::region::RegionSet,
    std::collections::HashMap,
};

/// Most traffic classes of one service, at up to about 10 KB each; the service's classes are reset
/// beyond that.
const MAX_CLASSES_PER_SERVICE: usize = 16;

/// Controllers by service and set of regions.
#[derive(Debug, Default)]
pub(super) struct AccountTable(HashMap<String, Vec<(RegionSet, Controller)>>);

impl AccountTable {
    fn entry(&mut self, traffic_class: TrafficClass<'_>) -> &mut Controller {
        // Allocates the key only for a new service.
        if !self.0.contains_key(traffic_class.service) {
            self.0.insert(traffic_class.service.to_owned(), Vec::new());
        }
        let classes = self
            .0
            .get_mut(traffic_class.service)
            .expect("the service was inserted above");
        let index = classes
            .iter()
            .position(|(regions, _)| *regions == traffic_class.regions);
        let index = index.unwrap_or_else(|| {
            if classes.len() >= MAX_CLASSES_PER_SERVICE {
                classes.clear();
            }
            classes.push((traffic_class.regions, Controller::default()));
            classes.len() - 1
        });
        &mut classes[index].1
    }
}

impl State {
    /// Records the arrival of a request; true if it must be refused because its client account
    /// exceeds its part of a scarce capacity.
    ///
    /// Callers return after such a refusal as after one for lack of capacity, which the detection of
    /// returning callers must know.
    pub fn exceeds_account_part(
        &self,
        traffic_class: TrafficClass<'_>,
        account: &str,
        now: Instant,
    ) -> bool {
        let mut accounts = self.accounts.borrow_mut();
        let probability = accounts.entry(traffic_class).record_arrival(account, now);
        let is_refused = probability > 0.0 && fastrand::f64() < probability;
        if is_refused {
            self.return_detector.borrow_mut().record_refusal(now);
        }
        is_refused
    }

    /// Records a first attempt that is sent to an engine; `pressure` is its predicted queueing time
    /// as a fraction of the longest admissible one.
    pub fn record_account_pressure(
        &self,
        traffic_class: TrafficClass<'_>,
        pressure: f64,
        now: Instant,
    ) {
        let mut accounts = self.accounts.borrow_mut();
        accounts
            .entry(traffic_class)
            .record_admission(pressure, now);
    }

    /// Records that a request found all engines full.
    pub fn record_account_shortage(&self, traffic_class: TrafficClass<'_>, now: Instant) {
        self.accounts
            .borrow_mut()
            .entry(traffic_class)
            .record_refusal(now);
    }
}
