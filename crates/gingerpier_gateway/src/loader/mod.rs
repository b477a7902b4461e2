//! The loader: weights for the engine of its own machine, and reports of its load.

pub mod bring;
mod change;
pub mod follow;
pub mod report;
mod versions;
mod waiting;

use {
    crate::{
        clock,
        error::{Error, Step},
        items::Reader,
        log, message,
        weights::{Carrier, GatewayPlace, peers},
    },
    gingerpier_base::{Instant, order},
    gingerpier_serving::{
        asking::{Heard, Knowledge},
        backlog::Backlog,
        bringing::NamedAt,
        configuration::{Origin, Services},
        dialect::Dialect,
        fleet::Fleet,
        mirror::Revision,
        naming::Namings,
        report::Report,
        unnamed::Patience,
    },
    gingerpier_settings::Loader as Settings,
    std::{
        cell::{Cell, RefCell},
        collections::{BTreeMap, BTreeSet, HashMap},
        net::{IpAddr, SocketAddr},
        rc::Rc,
    },
    tokio::{
        net::{TcpListener, UdpSocket},
        signal::unix::{SignalKind, signal},
        sync::{Mutex, Notify},
    },
};

/// A gateway that wants reports.
#[derive(Debug, Clone)]
pub struct Subscriber {
    /// Its zone.
    pub zone: String,
    /// Stamp of its last word, by its own clock.
    pub stamp: u64,
    /// When it last asked.
    pub at: Instant,
    /// True once it was told of gateways.
    pub has_gateways: bool,
    /// Version of the configuration that it knows.
    pub configuration: u64,
    /// What that says of engines and origins, as a digest.
    pub weights_digest: u64,
    /// Weights that it says are to be had although nobody named them.
    pub unnamed: Vec<message::Unnamed>,
}

/// A machine with an engine of the same service.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Peer {
    /// Address of its machine.
    pub ip: IpAddr,
    /// Zone.
    pub zone: String,
}

impl Peer {
    /// Number that names it in plans.
    pub fn identity(&self) -> u64 {
        order::hash(&self.ip)
    }
}

/// What a loader knows.
pub struct Loader {
    /// Settings.
    pub settings: Settings,
    /// Where gateways that the settings name answer loaders.
    seeds: Vec<SocketAddr>,
    /// Words of the platform.
    pub dialect: &'static dyn Dialect,
    /// Reader of the store's items.
    pub items: Reader,
    /// Chunks held and on their way.
    pub carrier: Rc<Carrier>,
    /// Gateways that want reports.
    pub subscribers: RefCell<BTreeMap<SocketAddr, Subscriber>>,
    /// Last report of the engine.
    pub report: RefCell<Option<Report>>,
    /// Prompts that the engine has yet to read.
    backlog: RefCell<Backlog>,
    /// Held while chunks are laid at the engine and until it has taken them.
    pub engine_turn: Mutex<()>,
    /// True while an order is about to be given.
    is_ordering: Cell<bool>,
    /// Tells that gateways have to hear something at once.
    pub news: Notify,
    /// Revision of the store up to which named weights are known.
    at: Cell<Revision>,
    fleet: RefCell<Fleet>,
    services: RefCell<Option<Services>>,
    namings: RefCell<HashMap<String, Namings>>,
    /// Versions whose chunks are all here, and since when.
    complete: RefCell<Vec<NamedAt>>,
    /// How long others are waited for, where no weights are known.
    patience: RefCell<Patience>,
}

impl Loader {
    /// Loader that starts now.
    pub fn new(settings: Settings, dialect: &'static dyn Dialect) -> Self {
        let link = settings.link_bits_per_second;
        let carrier = Rc::new(Carrier::beside(dialect, settings.engine, link));
        Self {
            seeds: Self::seeds(&settings),
            settings,
            dialect,
            items: Reader::new(dialect),
            carrier,
            engine_turn: Mutex::new(()),
            subscribers: RefCell::default(),
            report: RefCell::default(),
            backlog: RefCell::default(),
            is_ordering: Cell::new(false),
            news: Notify::new(),
            at: Cell::default(),
            fleet: RefCell::default(),
            services: RefCell::default(),
            namings: RefCell::default(),
            complete: RefCell::default(),
            patience: RefCell::default(),
        }
    }

    /// Model that the engine is for.
    pub fn model(&self) -> Option<String> {
        let fleet = self.fleet.borrow();
        let services = self.services.borrow();
        let own = fleet.at_address(self.settings.engine);
        let own = own.map(|key| &fleet.engine(key).record.service);
        services.as_ref()?.engines().find_map(|(service, engines)| {
            let fits = own.is_none_or(|own| *own == service.name);
            engines.models.first().filter(|_| fits).cloned()
        })
    }

    /// Prompt tokens that the engine has yet to read, by its next `report`.
    pub fn unread_tokens(&self, report: &Report) -> u64 {
        let services = self.services.borrow();
        let Some((_, engines)) = services.iter().flat_map(Services::engines).next() else {
            return 0;
        };
        self.backlog
            .borrow_mut()
            .note(report, engines, clock::now())
    }

    /// Forgets what the engine had admitted, as it started again.
    pub fn forget_backlog(&self) {
        *self.backlog.borrow_mut() = Backlog::default();
    }

    /// Where weights come from.
    pub fn origin(&self) -> Option<Origin> {
        self.services.borrow().as_ref().and_then(Services::origin)
    }

    /// Machines with engines for the same model, this one included.
    pub fn peers(&self) -> Vec<Peer> {
        let fleet = self.fleet.borrow();
        let own = self.settings.engine;
        let service = fleet
            .at_address(own)
            .map(|key| fleet.engine(key).record.service.clone());
        let mut known = BTreeSet::new();
        let mut peers = vec![Peer {
            ip: own.ip(),
            zone: self.settings.zone.clone(),
        }];
        known.insert(own.ip());
        let service = service.or_else(|| self.engine_service());
        let Some(service) = service else { return peers };
        for (_, engine) in fleet.of_service(&service) {
            let ip = engine.record.address.ip();
            if known.insert(ip) {
                let zone = engine.record.zone.clone();
                peers.push(Peer { ip, zone });
            }
        }
        peers
    }

    /// Tells `fleet` the services that engines may be of, where they are known.
    pub fn name_services(&self, fleet: &mut Fleet) {
        let services = self.services.borrow();
        if let Some(services) = services.as_ref() {
            let names = services.engines().map(|(service, _)| service.name.clone());
            fleet.set_services(names);
        }
    }

    fn engine_service(&self) -> Option<String> {
        let services = self.services.borrow();
        let (service, _) = services.as_ref()?.engines().next()?;
        Some(service.name.clone())
    }

    /// Takes what operators say of services, unless something newer is known. Those without a version
    /// are as new as the answer that brought them.
    pub fn note_services(&self, services: Services) {
        let mut known = self.services.borrow_mut();
        let last = known.as_ref().map_or(0, |known| known.version);
        if services.version > 0 && services.version < last {
            return;
        }
        let version = services.version;
        tracing::info!(version, last, "figures taken");
        *known = Some(services);
    }

    /// Gateways that asked for reports lately.
    pub fn gateways(&self) -> Vec<GatewayPlace> {
        let subscribers = self.subscribers.borrow();
        let place = |(address, subscriber): (&SocketAddr, &Subscriber)| GatewayPlace {
            address: *address,
            zone: subscriber.zone.clone(),
        };
        subscribers.iter().map(place).collect()
    }

    /// What is known of services, measured by what gateways know.
    pub fn knowledge(&self) -> Knowledge {
        let services = self.services.borrow();
        let Some(services) = services.as_ref() else {
            return Knowledge::Nothing;
        };
        let known = services.weights_digest();
        let subscribers = self.subscribers.borrow();
        let newest = subscribers
            .values()
            .max_by_key(|subscriber| subscriber.configuration);
        let is_enough = newest.is_none_or(|newest| {
            newest.weights_digest == known || newest.configuration <= services.version
        });
        match is_enough {
            true => Knowledge::Enough,
            false => Knowledge::Outdated,
        }
    }

    /// Gateways that may be asked for figures: those with the newest configuration, of this zone where
    /// there are any. One that starts wants reports before it knows a configuration, and can tell nothing.
    pub fn tellers(&self) -> Vec<SocketAddr> {
        let subscribers = self.subscribers.borrow();
        let versions = subscribers.values().map(|one| one.configuration);
        let newest = versions.max();
        let knowing = subscribers
            .iter()
            .filter(|(_, one)| Some(one.configuration) == newest && one.weights_digest != 0);
        let (near, afar): (Vec<_>, Vec<_>) =
            knowing.partition(|(_, one)| one.zone == self.settings.zone);
        let chosen = if near.is_empty() { afar } else { near };
        chosen.into_iter().map(|(address, _)| *address).collect()
    }

    /// Where gateways that the settings name answer loaders.
    fn seeds(settings: &Settings) -> Vec<SocketAddr> {
        let port = settings.peers.port();
        let seeds = settings.seeds.iter();
        seeds.map(|seed| SocketAddr::new(seed.ip(), port)).collect()
    }

    /// What is heard, where `tellers` may be asked.
    pub fn heard<'t>(&'t self, tellers: &'t [SocketAddr]) -> Heard<'t> {
        Heard {
            gateways: tellers,
            seeds: &self.seeds,
            near_count: self.near_gateway_count(),
            knowledge: self.knowledge(),
        }
    }

    /// Gateways of this zone that want reports.
    pub fn near_gateway_count(&self) -> usize {
        let subscribers = self.subscribers.borrow();
        let near = subscribers.values();
        near.filter(|subscriber| subscriber.zone == self.settings.zone)
            .count()
    }

    /// True while an order is about to be given.
    pub fn is_ordering(&self) -> bool {
        self.is_ordering.get()
    }

    /// Notes whether an order is about to be given; gateways hear of it at once.
    pub fn set_ordering(&self, is_ordering: bool) {
        if self.is_ordering.replace(is_ordering) != is_ordering {
            self.news.notify_one();
        }
    }

    /// True where the engine answers and carries out no order.
    pub fn is_engine_free(&self) -> bool {
        let report = self.report.borrow();
        report.as_ref().is_some_and(|report| !report.is_busy)
    }
}

/// Runs a loader until it is told to stop.
///
/// # Errors
///
/// Where it can't start.
pub async fn run(settings: Settings, dialect: &'static dyn Dialect) -> Result<(), Error> {
    let lines = log::start();
    let peer = settings.peers;
    let at = |step| move |what| Error::Io { step, peer, what };
    let listener = TcpListener::bind(peer).await;
    let listener = listener.map_err(at(Step::ListenPeers))?;
    let socket = UdpSocket::bind(peer).await;
    let socket = Rc::new(socket.map_err(at(Step::ListenPeers))?);
    let terminate = signal(SignalKind::terminate());
    let mut terminate = terminate.map_err(at(Step::Signals))?;
    let hangup = signal(SignalKind::hangup());
    let mut hangup = hangup.map_err(at(Step::Signals))?;
    tracing::info!(name = settings.name, zone = settings.zone, engine = %settings.engine, "loader starts");
    let loader = Rc::new(Loader::new(settings, dialect));
    actix_rt::spawn(clock::watch());
    actix_rt::spawn(follow::follow(loader.clone()));
    actix_rt::spawn(peers::serve(loader.carrier.clone(), listener));
    actix_rt::spawn(report::take(loader.clone(), socket.clone()));
    actix_rt::spawn(report::send(loader.clone(), socket));
    actix_rt::spawn(waiting::tell(loader.clone()));
    actix_rt::spawn(bring::keep(loader));
    loop {
        tokio::select! {
            _ = terminate.recv() => break,
            _ = hangup.recv() => tracing::info!("settings changed; they hold from the next start"),
        }
    }
    tracing::info!("loader stops");
    log::flush(&lines);
    Ok(())
}
