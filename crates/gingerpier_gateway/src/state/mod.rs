//! What a gateway knows, shared by its tasks on one thread.

mod contact;
mod engines;
mod naming;
mod places;
mod unnamed;
mod work;

pub use {unnamed::models, work::Work};

use {
    crate::{
        clock,
        items::{Reader, slim},
        metrics::Metrics,
        pool::Pool,
        snapshots::Snapshots,
        suspects::Knowledge,
        weights::{Carrier, GatewayPlace},
    },
    gingerpier_base::Instant,
    gingerpier_serving::{
        arrivals::Arrivals,
        budget::{Budget, Terms},
        configuration::Configuration,
        dialect::{Dialect, Fact},
        fleet::{EngineKey, Fleet},
        mirror::{Changes, Item, Mirror, Revision},
        naming::{Freshness, Namings},
        outage::{Absence, Outage},
        region::Regions,
        report::Version,
        returns::{Returns, Visit},
        sizes::{Band, Sizes},
        zones::Exchange,
    },
    gingerpier_settings::Gateway as Settings,
    std::{
        cell::{Cell, RefCell},
        collections::{BTreeSet, HashMap},
        net::{IpAddr, SocketAddr},
        rc::Rc,
    },
    tokio::sync::Notify,
};

/// What a gateway knows.
pub struct State {
    /// Settings.
    pub settings: Settings,
    /// Words of the platform.
    pub dialect: &'static dyn Dialect,
    /// Reader of the store's items.
    pub items: Reader,
    /// Store as far as known.
    pub mirror: RefCell<Mirror>,
    /// Engines.
    pub fleet: RefCell<Fleet>,
    /// Retries.
    pub budget: RefCell<HashMap<String, Budget>>,
    /// Connections to engines.
    pub pool: RefCell<Pool<EngineKey>>,
    /// Metrics.
    pub metrics: Metrics,
    /// Gateways of all zones, and what they tell each other.
    pub zones: RefCell<Exchange>,
    /// Tells those who wait that the mirror has changed.
    pub news: Notify,
    /// Tells that operators named weights.
    pub naming: Notify,
    /// Machines of engines of the own zone, for a gateway that knows no configuration yet.
    pub first_loaders: RefCell<BTreeSet<IpAddr>>,
    /// Snapshots that are told to other gateways.
    pub snapshots: Snapshots,
    /// Requests that ended engines.
    pub knowledge: Knowledge,
    /// Weights that this gateway carries.
    pub carrier: Rc<Carrier>,
    /// True once the process is to stop.
    pub is_stopping: Cell<bool>,
    /// True once a stopping process takes no more requests.
    pub has_left: Cell<bool>,
    /// Tells connections at rest that no more requests are taken.
    pub leaving: Notify,
    /// Requests under way.
    pub active: Cell<u32>,
    configuration: RefCell<Option<Rc<Configuration>>>,
    arrivals: RefCell<HashMap<String, Arrivals>>,
    returns: RefCell<Returns>,
    sizes: RefCell<Sizes>,
    precedence: RefCell<work::Shortage>,
    regions: Regions,
    namings: RefCell<HashMap<String, Namings>>,
    /// Newest version of each model that the origin was found to have.
    found: RefCell<HashMap<String, Version>>,
    contact: Cell<Option<Instant>>,
    fresh: Cell<Freshness>,
    outage: Cell<Outage>,
    /// When bytes of an answer of the store came last: a large one takes a second or more.
    pub store_heard: Rc<Cell<Option<Instant>>>,
    started: Instant,
    /// When the process was last seen to run, and from when on it has run without a standstill.
    ran_at: Cell<Instant>,
    running_since: Cell<Instant>,
}

impl State {
    /// State of a process that starts now.
    pub fn new(settings: Settings, dialect: &'static dyn Dialect) -> Self {
        let started = clock::now();
        let regions = settings.regions.iter();
        let regions = Regions::new(regions.map(|one| (one.zone.as_str(), one.region.as_str())));
        let zones = settings.regions.iter().map(|one| one.zone.as_str());
        let zones = Exchange::new(settings.peers, &settings.zone, zones, started)
            .in_incarnation(clock::stamp().as_unix_millis());
        Self {
            settings,
            dialect,
            items: Reader::new(dialect),
            mirror: RefCell::default(),
            fleet: RefCell::new(Fleet::of(regions.clone())),
            budget: RefCell::default(),
            pool: RefCell::default(),
            metrics: Metrics::default(),
            zones: RefCell::new(zones),
            news: Notify::new(),
            naming: Notify::new(),
            first_loaders: RefCell::default(),
            snapshots: Snapshots::default(),
            knowledge: Knowledge::default(),
            carrier: Rc::new(Carrier::new(dialect)),
            is_stopping: Cell::new(false),
            has_left: Cell::new(false),
            leaving: Notify::new(),
            active: Cell::new(0),
            configuration: RefCell::default(),
            arrivals: RefCell::default(),
            returns: RefCell::new(Returns::new(started)),
            sizes: RefCell::default(),
            precedence: RefCell::default(),
            regions,
            namings: RefCell::default(),
            found: RefCell::default(),
            contact: Cell::new(None),
            fresh: Cell::default(),
            outage: Cell::default(),
            store_heard: Rc::default(),
            started,
            ran_at: Cell::new(started),
            running_since: Cell::new(started),
        }
    }

    /// Configuration in force.
    pub fn configuration(&self) -> Option<Rc<Configuration>> {
        self.configuration.borrow().clone()
    }

    /// When this process started.
    pub const fn started(&self) -> Instant {
        self.started
    }

    /// True where new connections are welcome.
    pub fn is_ready(&self) -> bool {
        let knows = self.configuration.borrow().is_some();
        knows && !self.is_stopping.get()
    }

    /// Takes changes of the store up to `at`, as another gateway tells them.
    pub fn apply(&self, changes: Changes, at: Revision) {
        let changes = self.slim(changes);
        let news = self.mirror.borrow_mut().apply(changes, at);
        self.take(news, |item| Absence::Event(item.revision));
    }

    /// Takes all writes up to `at`, as a watch of the store brings them.
    pub fn apply_writes(&self, writes: Changes, at: Revision) {
        let writes = self.slim(writes);
        let news = self.mirror.borrow_mut().apply_writes(writes, at);
        self.take(news, |item| Absence::Event(item.revision));
    }

    fn slim(&self, items: Changes) -> Changes {
        let items = items.into_iter();
        items.map(|item| slim(self.dialect, item)).collect()
    }

    /// Takes a whole copy of the store as of `at`.
    pub fn replace(&self, items: Vec<Item>, at: Revision) {
        let news = self.mirror.borrow_mut().replace(items, at);
        self.take(news, |_| Absence::Listed);
    }

    fn take(&self, news: Changes, absence: impl Fn(&Item) -> Absence) {
        for item in news {
            match item.value {
                Some(_) => self.take_item(&item),
                None => self.take_absence(&item, absence(&item)),
            }
        }
        let at = self.mirror.borrow().at();
        self.metrics.revision.set(at.0 as i64);
        self.news.notify_waiters();
    }

    fn take_item(&self, item: &Item) {
        match self.items.read(item) {
            Some(Fact::Configuration(configuration)) => self.configure(*configuration),
            Some(Fact::Engine(record)) => self.list(*record, item.revision),
            Some(Fact::Weights(named)) => self.note_named(&named),
            Some(Fact::Evacuation(zone)) => self.evacuate(&zone, true, item.revision),
            Some(Fact::Other) => {}
            None => self.list_nothing(item),
        }
    }

    fn configure(&self, mut configuration: Configuration) {
        let mut current = self.configuration.borrow_mut();
        let old = current.as_ref().map(|current| current.version);
        // A configuration without a version is as new as the revision that brought it here.
        let is_numbered = configuration.version > 0;
        if is_numbered && old.is_some_and(|old| old >= configuration.version) {
            return;
        }
        tracing::info!(version = configuration.version, ?old, "configuration taken");
        configuration.locate(&self.regions);
        self.tell_unknown_regions(&configuration);
        self.metrics.configuration.set(configuration.version as i64);
        let services = configuration.services().iter();
        let names = services.map(|service| service.name.clone());
        self.fleet.borrow_mut().set_services(names);
        *current = Some(Rc::new(configuration));
    }

    /// Notes a request of `work` that is sent for the first time.
    /// Its caller could `wait` so many milliseconds behind others, where that is known.
    pub fn note_request(&self, work: Work<'_>, visit: Visit, wait: Option<f64>, now: Instant) {
        self.note_fate(work, visit, (false, wait), now);
        let service = work.service;
        let mut arrivals = self.arrivals.borrow_mut();
        match arrivals.get_mut(service) {
            Some(known) => known.note(now),
            None => arrivals.entry(service.to_owned()).or_default().note(now),
        }
        self.with_budget(service, |budget| budget.note_request(now));
    }

    /// Takes a request of `route` whose caller says that it will wait `wait` milliseconds; tells whether it was
    /// refused before.
    pub fn note_visit(&self, route: &str, wait: Option<u64>, now: Instant) -> Visit {
        self.returns.borrow_mut().take(route, wait, now)
    }

    /// Notes the prompt of a request of `route`; tells how large it is among those.
    pub fn note_size(&self, route: &str, prompt_tokens: u64) -> Option<Band> {
        let mut sizes = self.sizes.borrow_mut();
        // Neither the routes nor the counters by route may grow for as long as configurations come.
        if sizes.is_full_for(route) {
            *sizes = Sizes::default();
            self.metrics.fates.clear();
        }
        sizes.note(route, prompt_tokens)
    }

    /// Milliseconds after which a caller of `route` that comes back can be told from new ones, where that is known.
    pub fn told_apart_millis(&self, route: &str) -> Option<u64> {
        self.returns.borrow().told_apart_millis(route)
    }

    /// Requests that other gateways send to `service` in a millisecond: each about as many as this
    /// one.
    pub fn others_per_milli(&self, service: &str, now: Instant) -> f64 {
        let others = f64::from(self.zones.borrow().gateway_count() - 1);
        let arrivals = self.arrivals.borrow();
        arrivals
            .get(service)
            .map_or(0.0, |own| own.per_milli(now) * others)
    }

    /// Takes one retry for `service`; false where none is left.
    pub fn take_retry(&self, service: &str, now: Instant) -> bool {
        let paid = self.with_budget(service, |budget| budget.take(now));
        if paid {
            self.metrics.retries.inc();
        }
        paid
    }

    fn with_budget<T>(&self, service: &str, change: impl FnOnce(&mut Budget) -> T) -> T {
        let mut budgets = self.budget.borrow_mut();
        if let Some(budget) = budgets.get_mut(service) {
            budget.note_members(self.gateway_count());
            return change(budget);
        }
        let terms = Terms {
            ratio: self.settings.retry_ratio,
            extra: self.settings.retry_extra,
            window_millis: self.settings.retry_window.0,
            members: self.gateway_count(),
        };
        change(
            budgets
                .entry(service.to_owned())
                .or_insert_with(|| Budget::new(terms)),
        )
    }

    /// Gateways that were heard of lately.
    pub fn living_gateways(&self) -> BTreeSet<GatewayPlace> {
        let zones = self.zones.borrow();
        let living = zones.living(clock::now());
        let place = |(zone, address): (&str, SocketAddr)| GatewayPlace {
            address,
            zone: zone.to_owned(),
        };
        living.map(place).collect()
    }

    /// Where other gateways of this zone that were heard of lately answer gateways.
    pub fn neighbours(&self) -> Vec<SocketAddr> {
        let port = self.settings.control.port();
        let neighbours = self.zones.borrow().neighbours();
        let control = |peer: SocketAddr| SocketAddr::new(peer.ip(), port);
        neighbours.into_iter().map(control).collect()
    }

    /// Gateways to count on when shares are made, on the safe side.
    fn gateway_count(&self) -> u32 {
        /// Gateways to expect where fewer have been heard of.
        const LEAST: u32 = 12;
        (self.zones.borrow().gateway_count() + 2).max(LEAST)
    }
}
