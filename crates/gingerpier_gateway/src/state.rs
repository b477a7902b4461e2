//! What a gateway knows, shared by its tasks on one thread.

use {
    crate::{
        clock,
        items::Reader,
        message,
        metrics::Metrics,
        pool::Pool,
        snapshots::Snapshots,
        weights::{Carrier, GatewayPlace},
    },
    gingerpier_base::Instant,
    gingerpier_serving::{
        admission::Due,
        arrivals::Arrivals,
        budget::{Budget, Terms},
        configuration::Configuration,
        dialect::{Dialect, Fact, Named, Subject},
        fleet::{EngineKey, Fleet, Record},
        mirror::{Changes, Item, Mirror, Revision},
        naming::{Freshness, Naming, Namings, OWN, Told},
        outage::{Absence, Outage, Return},
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

/// Milliseconds without word from the store after which peers are asked.
const CONTACT_MILLIS: u64 = 900;

/// Milliseconds between two notes that the process runs above which it stood still: far above any work of its own,
/// and below the 3 s in which the bound of named weights counts back from hearing far enough.
const STANDSTILL_MILLIS: u64 = 2_000;

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
    namings: RefCell<HashMap<String, Namings>>,
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
        let zones = settings.regions.iter().map(|one| one.zone.as_str());
        let zones = Exchange::new(settings.peers, &settings.zone, zones, started);
        Self {
            settings,
            dialect,
            items: Reader::new(dialect),
            mirror: RefCell::default(),
            fleet: RefCell::default(),
            budget: RefCell::default(),
            pool: RefCell::default(),
            metrics: Metrics::default(),
            zones: RefCell::new(zones),
            news: Notify::new(),
            naming: Notify::new(),
            first_loaders: RefCell::default(),
            snapshots: Snapshots::default(),
            carrier: Rc::new(Carrier::new(dialect)),
            is_stopping: Cell::new(false),
            has_left: Cell::new(false),
            leaving: Notify::new(),
            active: Cell::new(0),
            configuration: RefCell::default(),
            arrivals: RefCell::default(),
            namings: RefCell::default(),
            contact: Cell::new(None),
            fresh: Cell::default(),
            outage: Cell::default(),
            store_heard: Rc::default(),
            started,
            ran_at: Cell::new(started),
            running_since: Cell::new(started),
        }
    }

    /// Notes that the process runs; gives from when on it has done so without a standstill.
    pub fn note_running(&self) -> Instant {
        let now = clock::now();
        let millis = now.millis_since(self.ran_at.replace(now));
        if millis > STANDSTILL_MILLIS {
            tracing::warn!(millis, "process stood still");
            self.running_since.set(now);
        }
        self.running_since.get()
    }

    /// Configuration in force.
    pub fn configuration(&self) -> Option<Rc<Configuration>> {
        self.configuration.borrow().clone()
    }

    /// True where new connections are welcome.
    pub fn is_ready(&self) -> bool {
        let knows = self.configuration.borrow().is_some();
        knows && !self.is_stopping.get()
    }

    /// Notes a word of the store, as old as `age` milliseconds where another gateway passed it on.
    pub fn note_contact(&self, age: u64) {
        let at = Instant::from_millis(clock::now().as_millis().saturating_sub(age));
        let last = self.contact.get();
        self.contact.set(last.max(Some(at)));
        if last.is_none() {
            tracing::info!(store = %self.settings.store, age, "store reached");
        }
    }

    /// Notes that the store did not answer as it should.
    pub fn note_store_failure(&self, what: &dyn std::fmt::Display) {
        self.with_outage(|outage| outage.note_failure(clock::now()));
        let age = self.contact_age();
        tracing::warn!(store = %self.settings.store, cause = %what, ?age, "store does not answer");
    }

    /// Notes an answer of the store, which is at `revision`.
    pub fn note_store_answer(&self, revision: Revision) {
        let now = clock::now();
        let known = self.last_return();
        self.with_outage(|outage| outage.note_answer(revision, now));
        if let Some(new) = self.last_return().filter(|new| Some(*new) != known) {
            let millis = new.until.millis_since(now);
            tracing::info!(
                revision = revision.0,
                millis,
                "store has returned, lapsed engines are kept"
            );
        }
    }

    /// Notes what another gateway told of the store: when it last answered, and its last return.
    pub fn note_told_outage(&self, answered: Option<Instant>, last_return: Option<Return>) {
        let now = clock::now();
        self.with_outage(|outage| {
            // Whether the store was away is judged by what was known before.
            if let Some(last_return) = last_return {
                outage.note_told(last_return, now);
            }
            if let Some(answered) = answered {
                outage.note_word(answered);
            }
        });
    }

    /// The store's last return, while entries that lapsed before it may come back.
    pub fn last_return(&self) -> Option<Return> {
        self.outage.get().last_return(clock::now())
    }

    fn with_outage(&self, change: impl FnOnce(&mut Outage)) {
        let mut outage = self.outage.get();
        change(&mut outage);
        self.outage.set(outage);
    }

    /// Milliseconds since the store's last word.
    pub fn contact_age(&self) -> Option<u64> {
        // Bytes alone say nothing before anything is known.
        let contact = self.contact.get()?;
        let last = self
            .store_heard
            .get()
            .map_or(contact, |heard| heard.max(contact));
        Some(clock::now().millis_since(last))
    }

    /// Milliseconds since the store's last word, or since this process began to ask for a first one.
    pub fn word_age(&self) -> u64 {
        let heard = self.store_heard.get().max(self.contact.get());
        let last = heard.unwrap_or(self.started).max(self.started);
        clock::now().millis_since(last)
    }

    /// True where the store has been silent for too long.
    pub fn lacks_contact(&self) -> bool {
        self.contact_age().is_none_or(|age| age > CONTACT_MILLIS)
    }

    /// Notes that the mirror holds all that the store held at `asked`.
    pub fn note_fresh(&self, asked: Instant) {
        let mut fresh = self.fresh.get();
        fresh.note_answer(asked);
        self.fresh.set(fresh);
    }

    /// Notes how fresh another gateway's answer was, to a question that was sent at `asked` and that
    /// it held for `held` milliseconds; nothing where it does not tell.
    pub fn note_told(&self, asked: Instant, fresh_age: Option<u64>, held: u64) {
        let Some(age_millis) = fresh_age else { return };
        let told = Told {
            held_millis: held,
            age_millis,
        };
        let mut fresh = self.fresh.get();
        fresh.note_told(asked, told, clock::now());
        self.fresh.set(fresh);
    }

    /// Milliseconds since the mirror certainly held all that the store held.
    pub fn fresh_age(&self) -> Option<u64> {
        self.fresh.get().age(clock::now())
    }

    /// Takes changes of the store up to `at`.
    pub fn apply(&self, changes: Changes, at: Revision) {
        let news = self.mirror.borrow_mut().apply(changes, at);
        self.take(news, |item| Absence::Event(item.revision));
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
            Some(Fact::Other) | None => {}
        }
    }

    fn take_absence(&self, item: &Item, absence: Absence) {
        let Subject::Engine(id) = self.dialect.subject(&item.key) else {
            return;
        };
        let revision = item.revision.0;
        let mut fleet = self.fleet.borrow_mut();
        match self.outage.get().lapses_at(absence, clock::now()) {
            Some(until) => {
                fleet.lapse(&id, until);
                tracing::info!(engine = id, revision, "engine lapsed");
            }
            None => {
                fleet.unlist(&id);
                tracing::info!(engine = id, revision, "engine unlisted");
            }
        }
    }

    /// Takes engines off that lapsed and are not back.
    pub fn expire_engines(&self) {
        let mut fleet = self.fleet.borrow_mut();
        for key in fleet.expire(clock::now()) {
            let id = &fleet.engine(key).record.id;
            tracing::info!(engine = id, "engine unlisted, as it did not come back");
        }
    }

    fn configure(&self, configuration: Configuration) {
        let mut current = self.configuration.borrow_mut();
        let old = current.as_ref().map(|current| current.version);
        // A configuration without a version is as new as the revision that brought it here.
        let is_numbered = configuration.version > 0;
        if is_numbered && old.is_some_and(|old| old >= configuration.version) {
            return;
        }
        tracing::info!(version = configuration.version, ?old, "configuration taken");
        self.metrics.configuration.set(configuration.version as i64);
        *current = Some(Rc::new(configuration));
    }

    fn list(&self, record: Record, revision: Revision) {
        let mut fleet = self.fleet.borrow_mut();
        let id = record.id.clone();
        let state = record.state;
        let known = fleet.find(&id).map(|key| fleet.engine(key).record.state);
        if known != Some(state) {
            let address = record.address;
            tracing::info!(engine = id, %address, service = record.service, ?state, "engine listed");
        }
        fleet.list(record, revision);
    }

    /// Notes weights that operators named.
    pub fn note_named(&self, named: &Named) {
        let now = clock::now();
        let (fresh, within) = (self.fresh.get(), self.settings.version_within.0);
        let earliest = fresh.earliest(within, now);
        let mut namings = self.namings.borrow_mut();
        let known = namings.entry(named.model.clone()).or_default();
        if !known.note(named.version, OWN, earliest, now) {
            return;
        }
        // What is heard may be read before any timer shows a standstill.
        known.note_break(fresh.due_after_break(self.note_running(), within));
        tracing::info!(
            model = named.model,
            version = named.version.0,
            age = now.millis_since(earliest),
            "weights named"
        );
        self.naming.notify_one();
    }

    /// Newest weights named of each model.
    pub fn named(&self) -> Vec<Named> {
        let namings = self.namings.borrow();
        let newest = |(model, known): (&String, &Namings)| {
            Some(Named {
                model: model.clone(),
                version: known.newest()?.version,
            })
        };
        namings.iter().filter_map(newest).collect()
    }

    /// The same as loaders are told.
    pub fn namings(&self) -> Vec<message::Naming> {
        let now = clock::now();
        let namings = self.namings.borrow();
        let newest = |(model, known): (&String, &Namings)| {
            let newest = known.newest()?;
            Some(message::Naming {
                model: model.clone(),
                version: newest.version.0,
                age: now.millis_since(newest.at),
            })
        };
        namings.iter().filter_map(newest).collect()
    }

    /// Versions of `model` that come due, or came due already.
    pub fn due(&self, model: &str) -> Vec<Due> {
        let namings = self.namings.borrow();
        let known = namings.get(model).into_iter().flat_map(Namings::iter);
        known.map(|naming| self.due_of(naming)).collect()
    }

    fn due_of(&self, naming: &Naming) -> Due {
        Due {
            version: naming.version,
            at: naming.due_at(self.settings.version_within.0),
        }
    }

    /// Notes a request for `service` that is sent for the first time.
    pub fn note_request(&self, service: &str, now: Instant) {
        let mut arrivals = self.arrivals.borrow_mut();
        match arrivals.get_mut(service) {
            Some(known) => known.note(now),
            None => arrivals.entry(service.to_owned()).or_default().note(now),
        }
        self.with_budget(service, |budget| budget.note_request(now));
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
        let neighbours = self.zones.borrow().neighbours(clock::now());
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
