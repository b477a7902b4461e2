//! Ranks of requests, and refusals in favor of more urgent ones.

use {
    super::{
        State,
        shedding::{ClassTable, TrafficClass},
    },
    gingerpier_admission::priority::{Controller, Outcome, Rank, Ranks},
    gingerpier_base::Instant,
    gingerpier_serving::configuration::{AccountKey, Configuration, RouteKey, ServiceKey},
};

/// Ranks of the configuration in force, and the controllers of their traffic classes.
#[derive(Debug, Default)]
pub(super) struct Priorities {
    /// Ranks by service key; `None` for services whose requests have equal priorities.
    ranks: Vec<Option<Ranks>>,
    controllers: ClassTable<Controller>,
}

impl Priorities {
    /// Adopts a new configuration. Counts of ranks with another meaning are dropped.
    pub(super) fn configure(&mut self, configuration: &Configuration) {
        let services = 0..configuration.services().len() as u32;
        let ranks: Vec<_> = services
            .map(|key| Ranks::of_service(configuration, ServiceKey(key)))
            .collect();
        if ranks != self.ranks {
            *self = Self {
                ranks,
                controllers: ClassTable::default(),
            };
        }
    }
}

impl State {
    /// Rank of a request under the configuration in force; `None` if requests to the service have
    /// equal priorities.
    pub fn rank(
        &self,
        configuration: &Configuration,
        service: ServiceKey,
        route: RouteKey,
        account: Option<AccountKey>,
    ) -> Option<Rank> {
        let priorities = self.priorities.borrow();
        let ranks = priorities.ranks.get(service.0 as usize)?.as_ref()?;
        let account_priority = account.and_then(|key| configuration.account(key).priority);
        Some(ranks.rank(account_priority, configuration.route(route).priority))
    }

    /// True if a request should be refused in favor of more urgent ones.
    pub fn yields(&self, traffic_class: TrafficClass<'_>, rank: Rank, now: Instant) -> bool {
        let mut priorities = self.priorities.borrow_mut();
        let controller = priorities.controllers.entry(traffic_class);
        controller.yields(rank, fastrand::f64(), now)
    }

    /// Estimated rate of the requests at all gateways that are more urgent than `rank`, in requests
    /// per millisecond.
    pub fn overtaking_per_milli(
        &self,
        traffic_class: TrafficClass<'_>,
        rank: Option<Rank>,
        now: Instant,
    ) -> f64 {
        let Some(rank) = rank else { return 0.0 };
        let priorities = self.priorities.borrow();
        let Some(controller) = priorities.controllers.find(traffic_class) else {
            return 0.0;
        };
        let arrivals = self.arrivals.borrow();
        let own_arrivals = arrivals.get(traffic_class.service);
        let own_per_milli = own_arrivals.map_or(0.0, |own| own.per_milli(now));
        let gateways = f64::from(self.zones.borrow().gateway_count());
        own_per_milli * gateways * controller.more_urgent_share(rank)
    }

    /// Records how a request with a rank ended.
    pub fn record_outcome(
        &self,
        traffic_class: TrafficClass<'_>,
        rank: Rank,
        outcome: Outcome,
        now: Instant,
    ) {
        // Callers refused for their rank come back as those refused for lack of capacity do.
        if outcome == Outcome::Yielded {
            self.return_detector.borrow_mut().record_refusal(now);
        }
        let mut priorities = self.priorities.borrow_mut();
        let controller = priorities.controllers.entry(traffic_class);
        controller.record(rank, outcome, now);
    }
}
