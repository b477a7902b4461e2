//! State of a gateway, shared by its tasks on one thread.

mod engines;
mod placement;
mod priority;
mod release;
mod restored;
mod sharing;
mod shedding;
mod signals;
mod store_contact;
mod unreleased;

pub use {shedding::TrafficClass, unreleased::configured_models};

use {
    crate::{
        buffers::{self, Quota},
        clock,
        items::{Parser, strip_unused_value},
        metrics::{Direction, Metrics, SlowLabels},
        pool::Pool,
        snapshots::Snapshots,
        suspects::SuspectState,
        weights::{Distributor, GatewayLocation},
    },
    gingerpier_admission::{
        arrivals::Arrivals,
        return_detection::{Detector, Visit},
        sizes::{Band, Sizes},
    },
    gingerpier_base::Instant,
    gingerpier_serving::{
        budget::{Budget, Limits},
        configuration::Configuration,
        fleet::{EngineKey, Fleet},
        mirror::{Changes, Item, Mirror, Revision},
        outage::{Absence, Outage},
        platform_api::{Content, PlatformApi},
        region::Regions,
        release::{Freshness, Releases},
        report::Version,
        shutdown::Schedule,
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

/// State of a gateway.
pub struct State {
    /// Settings from the settings file.
    pub settings: Settings,
    /// Adapter to the deployment platform.
    pub platform_api: &'static dyn PlatformApi,
    /// Parser of the store's items.
    pub item_parser: Parser,
    /// Local copy of the store.
    pub mirror: RefCell<Mirror>,
    /// Known engines and their load.
    pub fleet: RefCell<Fleet>,
    /// Retry budgets by service.
    pub retry_budgets: RefCell<HashMap<String, Budget>>,
    /// Idle connections to engines.
    pub pool: RefCell<Pool<EngineKey>>,
    /// Memory for bodies of requests.
    pub request_quota: Rc<Quota>,
    /// Memory for responses that are buffered.
    pub response_quota: Rc<Quota>,
    /// Metrics of this process.
    pub metrics: Metrics,
    /// Membership of the gateways and exchange of digests between zones.
    pub zones: RefCell<Exchange>,
    /// Notified when the mirror changes.
    pub mirror_changed: Notify,
    /// Notified when a known version of weights changes.
    pub release_changed: Notify,
    /// Engine machines of the own zone, known before a configuration is loaded.
    pub bootstrap_loaders: RefCell<BTreeSet<IpAddr>>,
    /// Encoded store snapshots for other gateways.
    pub snapshots: Snapshots,
    /// Requests that are suspected of crashing engines.
    pub suspect_state: SuspectState,
    /// Distribution of weights through this gateway.
    pub distributor: Rc<Distributor>,
    /// Phases of the planned shutdown, once one has begun.
    shutdown: Cell<Option<Schedule>>,
    /// Notified when a termination signal arrives.
    stopping: Notify,
    /// True once the stopping gateway refuses new requests.
    pub is_closed: Cell<bool>,
    /// Notified when the stopping gateway starts to refuse new requests, which closes idle
    /// connections.
    pub closing: Notify,
    /// Number of requests in progress.
    pub active_requests: Cell<u32>,
    configuration: RefCell<Option<Rc<Configuration>>>,
    arrivals: RefCell<HashMap<String, Arrivals>>,
    return_detector: RefCell<Detector>,
    prompt_sizes: RefCell<Sizes>,
    shedding: RefCell<shedding::SheddingTable>,
    priorities: RefCell<priority::Priorities>,
    sharing: RefCell<sharing::Sharing>,
    regions: Regions,
    releases: RefCell<HashMap<String, Releases>>,
    /// Version that the origin offers, by model.
    origin_versions: RefCell<HashMap<String, Version>>,
    /// Names of fields in engines' responses that were logged as unknown.
    unknown_fields: RefCell<Vec<Vec<u8>>>,
    /// Revision of the mirror when a full copy was last ignored, which is logged once.
    ignored_copy_at: Cell<Option<Revision>>,
    last_contact: Cell<Option<Instant>>,
    freshness: Cell<Freshness>,
    outage: Cell<Outage>,
    /// When bytes of a store response last arrived, as a large response takes seconds.
    pub store_received_at: Rc<Cell<Option<Instant>>>,
    started: Instant,
    /// When the last tick was recorded.
    last_tick: Cell<Instant>,
    running_since: Cell<Instant>,
}

impl State {
    /// Creates the state of a process that starts now.
    pub fn new(settings: Settings, platform_api: &'static dyn PlatformApi) -> Self {
        let started = clock::now();
        let metrics = Metrics::default();
        let quota = |limit, direction| {
            let gauge = metrics.held_bytes.get_or_create(&SlowLabels { direction });
            Quota::new(limit, gauge.clone())
        };
        let regions = settings.regions.iter();
        let regions =
            Regions::new(regions.map(|entry| (entry.zone.as_str(), entry.region.as_str())));
        let zones = settings.regions.iter().map(|entry| entry.zone.as_str());
        let zones = Exchange::new(settings.peers, &settings.zone, zones, started)
            .in_incarnation(clock::stamp().as_unix_millis());
        let sharing = sharing::Sharing::new(&settings.zone, started);
        Self {
            settings,
            platform_api,
            item_parser: Parser::new(platform_api),
            mirror: RefCell::default(),
            fleet: RefCell::new(Fleet::with_regions(regions.clone())),
            retry_budgets: RefCell::default(),
            pool: RefCell::default(),
            request_quota: quota(buffers::MAX_REQUEST_BYTES, Direction::Request),
            response_quota: quota(buffers::MAX_RESPONSE_BYTES, Direction::Response),
            metrics,
            zones: RefCell::new(zones),
            mirror_changed: Notify::new(),
            release_changed: Notify::new(),
            bootstrap_loaders: RefCell::default(),
            snapshots: Snapshots::default(),
            suspect_state: SuspectState::default(),
            distributor: Rc::new(Distributor::new(platform_api)),
            shutdown: Cell::new(None),
            stopping: Notify::new(),
            is_closed: Cell::new(false),
            closing: Notify::new(),
            active_requests: Cell::new(0),
            configuration: RefCell::default(),
            arrivals: RefCell::default(),
            return_detector: RefCell::new(Detector::new(started)),
            prompt_sizes: RefCell::default(),
            shedding: RefCell::default(),
            priorities: RefCell::default(),
            sharing: RefCell::new(sharing),
            regions,
            releases: RefCell::default(),
            origin_versions: RefCell::default(),
            unknown_fields: RefCell::default(),
            ignored_copy_at: Cell::new(None),
            last_contact: Cell::new(None),
            freshness: Cell::default(),
            outage: Cell::default(),
            store_received_at: Rc::default(),
            started,
            last_tick: Cell::new(started),
            running_since: Cell::new(started),
        }
    }

    /// Configuration in force; `None` until one is loaded.
    pub fn configuration(&self) -> Option<Rc<Configuration>> {
        self.configuration.borrow().clone()
    }

    /// Start time of this process.
    pub const fn started(&self) -> Instant {
        self.started
    }

    /// True if the gateway is ready for new connections.
    pub fn is_ready(&self) -> bool {
        let is_configured = self.configuration.borrow().is_some();
        is_configured && !self.is_stopping()
    }

    /// Applies changes up to revision `at` from another gateway; keys may have been deleted and
    /// written again in between.
    pub fn apply_changes(&self, changes: Changes, at: Revision) {
        let changes = self.slim(changes);
        let changes = self.mirror.borrow_mut().apply(changes, at);
        self.handle_changes(changes, |item| Absence::Event(item.revision));
    }

    /// Applies all writes up to revision `at` from a watch of the store.
    pub fn apply_writes(&self, writes: Changes, at: Revision) {
        let writes = self.slim(writes);
        let changes = self.mirror.borrow_mut().apply_writes(writes, at);
        self.handle_changes(changes, |item| Absence::Event(item.revision));
    }

    fn slim(&self, items: Changes) -> Changes {
        let items = items.into_iter();
        items
            .map(|item| strip_unused_value(self.platform_api, item))
            .collect()
    }

    /// Replaces the mirror with a full copy of the store at revision `at`.
    pub fn replace_mirror(&self, mut items: Vec<Item>, at: Revision) {
        let known = self.mirror.borrow().revision();
        if at < known && self.ignored_copy_at.replace(Some(known)) != Some(known) {
            tracing::warn!(
                era = at.era,
                revision = at.number,
                known_era = known.era,
                known = known.number,
                "full copy is older than the replica; ignored"
            );
        }
        let absence = match at.era > known.era && known > Revision::default() {
            true => {
                self.record_new_era(known, at);
                self.keep_newer(&mut items, at);
                Absence::Restored
            }
            false => Absence::Listed,
        };
        let changes = self.mirror.borrow_mut().replace(items, at);
        self.handle_changes(changes, |_| absence);
    }

    fn handle_changes(&self, changes: Changes, deletion: impl Fn(&Item) -> Absence) {
        for item in changes {
            match item.value {
                Some(_) => self.handle_item(&item),
                None => self.handle_deletion(&item, deletion(&item)),
            }
        }
        let at = self.mirror.borrow().revision();
        self.metrics.revision.set(at.number as i64);
        self.mirror_changed.notify_waiters();
    }

    fn handle_item(&self, item: &Item) {
        match self.item_parser.parse(item) {
            Some(Content::Configuration(configuration)) => self.apply_configuration(*configuration),
            Some(Content::Engine(record)) => self.list_engine(*record, item.revision),
            Some(Content::Weights(release)) => self.record_release(&release),
            Some(Content::Evacuation(zone)) => self.set_evacuated(&zone, true, item.revision),
            Some(Content::Manifest(manifest)) => self.record_kept_manifest(*manifest, item),
            Some(Content::Holds(bytes)) => self.apply_holds(&bytes),
            Some(Content::Other) => {}
            None => self.drop_unreadable(item),
        }
    }

    fn apply_configuration(&self, mut configuration: Configuration) {
        let mut current = self.configuration.borrow_mut();
        let old = current.as_ref().map(|current| current.version);
        // A configuration without a version number is newer than any before it.
        let is_numbered = configuration.version > 0;
        if is_numbered && old.is_some_and(|old| old >= configuration.version) {
            return;
        }
        tracing::info!(version = configuration.version, ?old, "configuration taken");
        configuration.resolve_regions(&self.regions);
        self.log_unknown_regions(&configuration);
        self.metrics.configuration.set(configuration.version as i64);
        let services = configuration.services().iter();
        let names = services.map(|service| service.name.clone());
        self.fleet.borrow_mut().set_services(names);
        self.priorities.borrow_mut().configure(&configuration);
        *current = Some(Rc::new(configuration));
    }

    /// Records the first attempt of a request for arrival rates, retry budgets and load shedding.
    ///
    /// `slack_millis` is the time that the request could queue and still meet its target; `None` if
    /// unknown.
    pub fn record_request(
        &self,
        traffic_class: TrafficClass<'_>,
        visit: Visit,
        slack_millis: Option<f64>,
        now: Instant,
    ) {
        self.record_admission(traffic_class, visit, (false, slack_millis), now);
        let service = traffic_class.service;
        let mut arrivals = self.arrivals.borrow_mut();
        match arrivals.get_mut(service) {
            Some(service_arrivals) => service_arrivals.record(now),
            None => arrivals.entry(service.to_owned()).or_default().record(now),
        }
        self.with_budget(service, |budget| budget.record_first_attempt(now));
    }

    /// Records a request of `route`, whose caller waits `timeout_millis`; returns whether the
    /// caller was refused before.
    pub fn record_visit(&self, route: &str, timeout_millis: Option<u64>, now: Instant) -> Visit {
        self.return_detector
            .borrow_mut()
            .classify(route, timeout_millis, now)
    }

    /// Records the prompt length of a request of `route`; returns its size class among them.
    pub fn record_prompt_size(&self, route: &str, prompt_tokens: u64) -> Option<Band> {
        let mut sizes = self.prompt_sizes.borrow_mut();
        // Bounds the routes and their counters, which change with the configuration.
        if sizes.is_full_for(route) {
            *sizes = Sizes::default();
            self.metrics.endings_by_route.clear();
        }
        sizes.record(route, prompt_tokens)
    }

    /// Begins a planned shutdown.
    pub fn stop(&self, schedule: Schedule) {
        self.shutdown.set(Some(schedule));
        self.stopping.notify_waiters();
    }

    /// True once a termination signal arrived.
    pub fn is_stopping(&self) -> bool {
        self.shutdown.get().is_some()
    }

    /// True once requests in progress have to end.
    pub fn is_cut_off(&self) -> bool {
        let schedule = self.shutdown.get();
        schedule.is_some_and(|schedule| schedule.cutoff.has_passed(clock::now()))
    }

    /// Completes once requests in progress have to end, as the gateway stops.
    pub async fn cutoff(&self) {
        let stopping = self.stopping.notified();
        if !self.is_stopping() {
            stopping.await;
        }
        if let Some(schedule) = self.shutdown.get() {
            clock::until(schedule.cutoff).await;
        }
    }

    /// Shortest retry delay after which returning callers of `route` can be distinguished from new
    /// ones; `None` while that is unknown.
    pub fn recognizable_retry_millis(&self, route: &str) -> Option<u64> {
        self.return_detector
            .borrow()
            .recognizable_after_millis(route)
    }

    /// Estimates the requests per millisecond that other gateways send to `service`, from this
    /// gateway's own rate.
    pub fn peer_arrivals_per_milli(&self, service: &str, now: Instant) -> f64 {
        let other_gateways = f64::from(self.zones.borrow().gateway_count() - 1);
        let arrivals = self.arrivals.borrow();
        arrivals.get(service).map_or(0.0, |own_arrivals| {
            own_arrivals.per_milli(now) * other_gateways
        })
    }

    /// Spends one retry from the budget of `service`; returns false if none is left.
    pub fn spend_retry(&self, service: &str, now: Instant) -> bool {
        let is_granted = self.with_budget(service, |budget| budget.try_spend(now));
        if is_granted {
            self.metrics.retries.inc();
        }
        is_granted
    }

    fn with_budget<T>(&self, service: &str, change: impl FnOnce(&mut Budget) -> T) -> T {
        let mut budgets = self.retry_budgets.borrow_mut();
        if let Some(budget) = budgets.get_mut(service) {
            budget.record_gateway_count(self.gateway_count());
            return change(budget);
        }
        let limits = Limits {
            ratio: self.settings.retry_ratio,
            extra: self.settings.retry_extra,
            window_millis: self.settings.retry_window.0,
            gateways: self.gateway_count(),
        };
        change(
            budgets
                .entry(service.to_owned())
                .or_insert_with(|| Budget::new(limits)),
        )
    }

    /// Gateways of all zones that are alive.
    pub fn alive_gateways(&self) -> BTreeSet<GatewayLocation> {
        let zones = self.zones.borrow();
        let alive = zones.alive(clock::now());
        let location = |(zone, address): (&str, SocketAddr)| GatewayLocation {
            address,
            zone: zone.to_owned(),
        };
        alive.map(location).collect()
    }

    /// Control addresses of the other live gateways of this zone.
    pub fn neighbour_addresses(&self) -> Vec<SocketAddr> {
        let port = self.settings.control.port();
        let neighbours = self.zones.borrow().neighbours();
        let control_address = |peer: SocketAddr| SocketAddr::new(peer.ip(), port);
        neighbours.into_iter().map(control_address).collect()
    }

    /// Estimated number of gateways that share a budget, with a margin against overspending.
    fn gateway_count(&self) -> u32 {
        /// Assumed number if fewer are known, as just after a start.
        const MIN_GATEWAYS: u32 = 12;
        (self.zones.borrow().gateway_count() + 2).max(MIN_GATEWAYS)
    }
}
