//! Load shedding by traffic class.
//!
//! Requests that are bound to regions compete only for the engines there, so each set of regions of
//! a service is a class of its own.

use {
    super::State,
    gingerpier_admission::{fairness::Adjustment, return_detection::Visit, shedding::Controller},
    gingerpier_base::Instant,
    gingerpier_serving::region::RegionSet,
    std::collections::HashMap,
};

/// Most traffic classes of one service; the service's classes are reset beyond that.
const MAX_CLASSES_PER_SERVICE: usize = 64;

/// Requests that compete for the same engines.
#[derive(Debug, Clone, Copy)]
pub struct TrafficClass<'a> {
    /// Name of the service.
    pub service: &'a str,
    /// Regions in which the requests may be served.
    pub regions: RegionSet,
}

/// Load shedding controllers by service and set of regions.
pub(super) type SheddingTable = ClassTable<Controller>;

/// Values by service and set of regions.
#[derive(Debug)]
pub(super) struct ClassTable<T>(HashMap<String, Vec<(RegionSet, T)>>);

impl<T> Default for ClassTable<T> {
    fn default() -> Self {
        Self(HashMap::new())
    }
}

impl<T: Default> ClassTable<T> {
    pub(super) fn find(&self, traffic_class: TrafficClass<'_>) -> Option<&T> {
        let mut classes = self.0.get(traffic_class.service)?.iter();
        let (_, controller) = classes.find(|(regions, _)| *regions == traffic_class.regions)?;
        Some(controller)
    }

    pub(super) fn entry(&mut self, traffic_class: TrafficClass<'_>) -> &mut T {
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
            classes.push((traffic_class.regions, T::default()));
            classes.len() - 1
        });
        &mut classes[index].1
    }
}

impl State {
    /// Records a refused request; `slack_millis` is the time that it could have queued; `None` if
    /// unknown.
    pub fn record_refusal(
        &self,
        traffic_class: TrafficClass<'_>,
        visit: Visit,
        slack_millis: Option<f64>,
        now: Instant,
    ) {
        self.return_detector.borrow_mut().record_refusal(now);
        self.record_admission(traffic_class, visit, (true, slack_millis), now);
    }

    pub(super) fn record_admission(
        &self,
        traffic_class: TrafficClass<'_>,
        visit: Visit,
        (is_refused, slack_millis): (bool, Option<f64>),
        now: Instant,
    ) {
        let mut all = self.shedding.borrow_mut();
        all.entry(traffic_class)
            .record(visit, is_refused, slack_millis, now);
    }

    /// Adjustment that gives all requests of the class the same slack under overload.
    pub fn fairness(&self, traffic_class: TrafficClass<'_>, now: Instant) -> Adjustment {
        let all = self.shedding.borrow();
        let controller = all.find(traffic_class);
        controller
            .map(|controller| controller.fairness(now))
            .unwrap_or_default()
    }

    /// Share of the target that the predicted first event of a request may use.
    pub fn target_share(&self, traffic_class: TrafficClass<'_>, visit: Visit, now: Instant) -> f64 {
        let all = self.shedding.borrow();
        let controller = all.find(traffic_class).copied().unwrap_or_default();
        controller.target_share(visit, now)
    }
}
