//! Loader: updates the weights of the engine on its machine and reports the engine's load to
//! gateways.

mod activation;
pub mod report;
pub mod sync;
pub mod update;
mod versions;
mod wait_log;

use {
    crate::{
        clock,
        error::{Error, Step},
        items::Parser,
        log, message,
        weights::{Distributor, GatewayLocation, peers},
    },
    gingerpier_admission::backlog::Backlog,
    gingerpier_base::{Instant, order},
    gingerpier_serving::{
        configuration::{Origin, Services},
        fleet::Fleet,
        loader_polling::{Knowledge, View},
        mirror::Revision,
        platform_api::PlatformApi,
        release::Releases,
        report::Report,
        unreleased::OriginFallback,
        update_schedule::ReleaseTime,
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

/// A gateway that subscribed to load reports.
#[derive(Debug, Clone)]
pub struct Subscriber {
    /// Availability zone.
    pub zone: String,
    /// Timestamp of its last subscription message, by its own clock.
    pub timestamp_millis: u64,
    /// Time of its last subscription message.
    pub last_seen: Instant,
    /// True once the gateway list was sent to it.
    pub has_gateway_list: bool,
    /// Configuration version known to it.
    pub configuration_version: u64,
    /// Digest of the engines and origins in that configuration.
    pub weights_digest: u64,
    /// Unreleased versions that it reports as available.
    pub unreleased: Vec<message::UnreleasedVersion>,
}

/// A machine with an engine of the same service.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Peer {
    /// IP address of the machine.
    pub ip: IpAddr,
    /// Availability zone.
    pub zone: String,
}

impl Peer {
    /// Stable id in distribution plans.
    pub fn identity(&self) -> u64 {
        order::hash(&self.ip)
    }
}

/// State of a loader.
pub struct Loader {
    /// Settings.
    pub settings: Settings,
    /// Addresses of the seed gateways for loaders.
    seeds: Vec<SocketAddr>,
    /// Adapter to the deployment platform.
    pub platform_api: &'static dyn PlatformApi,
    /// Parser of store items.
    pub item_parser: Parser,
    /// Chunk cache and transfers.
    pub distributor: Rc<Distributor>,
    /// Subscribed gateways by address.
    pub subscribers: RefCell<BTreeMap<SocketAddr, Subscriber>>,
    /// Last report of the engine; none while it doesn't respond.
    pub report: RefCell<Option<Report>>,
    /// Estimate of unread prompt tokens.
    backlog: RefCell<Backlog>,
    /// Held while chunks are staged at the engine and until it has loaded them.
    pub engine_lock: Mutex<()>,
    /// True while an order is about to be sent.
    is_order_pending: Cell<bool>,
    /// Notified when a report has to be sent at once.
    pub urgent_report: Notify,
    /// Store revision up to which releases are known.
    revision: Cell<Revision>,
    fleet: RefCell<Fleet>,
    services: RefCell<Option<Services>>,
    releases: RefCell<HashMap<String, Releases>>,
    /// Versions whose chunks are all cached, and since when.
    complete_versions: RefCell<Vec<ReleaseTime>>,
    /// Decides when to fetch from the origin without a known version.
    origin_fallback: RefCell<OriginFallback>,
}

impl Loader {
    /// Creates a loader without any data.
    pub fn new(settings: Settings, platform_api: &'static dyn PlatformApi) -> Self {
        let link = settings.link_bits_per_second;
        let distributor = Rc::new(Distributor::for_engine(platform_api, settings.engine, link));
        Self {
            seeds: Self::seeds(&settings),
            settings,
            platform_api,
            item_parser: Parser::new(platform_api),
            distributor,
            engine_lock: Mutex::new(()),
            subscribers: RefCell::default(),
            report: RefCell::default(),
            backlog: RefCell::default(),
            is_order_pending: Cell::new(false),
            urgent_report: Notify::new(),
            revision: Cell::default(),
            fleet: RefCell::default(),
            services: RefCell::default(),
            releases: RefCell::default(),
            complete_versions: RefCell::default(),
            origin_fallback: RefCell::default(),
        }
    }

    /// Model of the engine; none until the services are known.
    pub fn model(&self) -> Option<String> {
        let fleet = self.fleet.borrow();
        let services = self.services.borrow();
        let own = fleet.at_address(self.settings.engine);
        let own = own.map(|key| &fleet.engine(key).record.service);
        services.as_ref()?.engines().find_map(|(service, engines)| {
            let is_candidate = own.is_none_or(|own| *own == service.name);
            engines.models.first().filter(|_| is_candidate).cloned()
        })
    }

    /// Prompt tokens that the engine has admitted but not yet read, estimated from `report`.
    pub fn unread_tokens(&self, report: &Report) -> u64 {
        let services = self.services.borrow();
        let Some((_, engines)) = services.iter().flat_map(Services::engines).next() else {
            return 0;
        };
        self.backlog
            .borrow_mut()
            .update(report, engines, clock::now())
    }

    /// Resets the estimate of unread tokens after an engine restart.
    pub fn reset_backlog(&self) {
        *self.backlog.borrow_mut() = Backlog::default();
    }

    /// Origin of weights.
    pub fn origin(&self) -> Option<Origin> {
        self.services.borrow().as_ref().and_then(Services::origin)
    }

    /// Machines with engines of the same service, this one first.
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
        let service = service.or_else(|| self.first_service());
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

    /// Sets the service names of `fleet`, if known.
    pub fn set_fleet_services(&self, fleet: &mut Fleet) {
        let services = self.services.borrow();
        if let Some(services) = services.as_ref() {
            let names = services.engines().map(|(service, _)| service.name.clone());
            fleet.set_services(names);
        }
    }

    fn first_service(&self) -> Option<String> {
        let services = self.services.borrow();
        let (service, _) = services.as_ref()?.engines().next()?;
        Some(service.name.clone())
    }

    /// Replaces the services unless a newer version is known. Services without a version always
    /// replace the known ones.
    pub fn update_services(&self, services: Services) {
        let mut known = self.services.borrow_mut();
        let last = known.as_ref().map_or(0, |known| known.version);
        if services.version > 0 && services.version < last {
            return;
        }
        let version = services.version;
        tracing::info!(version, last, "figures taken");
        *known = Some(services);
    }

    /// Subscribed gateways.
    pub fn gateways(&self) -> Vec<GatewayLocation> {
        let subscribers = self.subscribers.borrow();
        let location = |(address, subscriber): (&SocketAddr, &Subscriber)| GatewayLocation {
            address: *address,
            zone: subscriber.zone.clone(),
        };
        subscribers.iter().map(location).collect()
    }

    /// Whether the known services are as new as those of the gateways.
    pub fn knowledge(&self) -> Knowledge {
        let services = self.services.borrow();
        let Some(services) = services.as_ref() else {
            return Knowledge::Nothing;
        };
        let known = services.weights_digest();
        let subscribers = self.subscribers.borrow();
        let newest = subscribers
            .values()
            .max_by_key(|subscriber| subscriber.configuration_version);
        let is_current = newest.is_none_or(|newest| {
            newest.weights_digest == known || newest.configuration_version <= services.version
        });
        match is_current {
            true => Knowledge::Enough,
            false => Knowledge::Outdated,
        }
    }

    /// Gateways to poll for the configuration: those with its newest version, preferably in this
    /// zone. A starting gateway subscribes before it knows any.
    pub fn informed_gateways(&self) -> Vec<SocketAddr> {
        let subscribers = self.subscribers.borrow();
        let versions = subscribers
            .values()
            .map(|subscriber| subscriber.configuration_version);
        let newest = versions.max();
        let informed = subscribers.iter().filter(|(_, subscriber)| {
            Some(subscriber.configuration_version) == newest && subscriber.weights_digest != 0
        });
        let (own_zone, other_zones): (Vec<_>, Vec<_>) =
            informed.partition(|(_, subscriber)| subscriber.zone == self.settings.zone);
        let chosen = if own_zone.is_empty() {
            other_zones
        } else {
            own_zone
        };
        chosen.into_iter().map(|(address, _)| *address).collect()
    }

    fn seeds(settings: &Settings) -> Vec<SocketAddr> {
        let port = settings.peers.port();
        let seeds = settings.seeds.iter();
        seeds.map(|seed| SocketAddr::new(seed.ip(), port)).collect()
    }

    /// Gateways known to this loader; `informed_gateways` may be polled.
    pub fn view<'t>(&'t self, informed_gateways: &'t [SocketAddr]) -> View<'t> {
        View {
            gateways: informed_gateways,
            seeds: &self.seeds,
            zone_gateway_count: self.zone_gateway_count(),
            knowledge: self.knowledge(),
        }
    }

    /// Number of subscribed gateways in this zone.
    pub fn zone_gateway_count(&self) -> usize {
        let subscribers = self.subscribers.borrow();
        let values = subscribers.values();
        values
            .filter(|subscriber| subscriber.zone == self.settings.zone)
            .count()
    }

    /// True while an order is about to be sent.
    pub fn is_order_pending(&self) -> bool {
        self.is_order_pending.get()
    }

    /// Sets whether an order is about to be sent; reports a change at once.
    pub fn set_order_pending(&self, is_order_pending: bool) {
        if self.is_order_pending.replace(is_order_pending) != is_order_pending {
            self.urgent_report.notify_one();
        }
    }

    /// True if the engine responds and carries out no order.
    pub fn is_engine_idle(&self) -> bool {
        let report = self.report.borrow();
        report.as_ref().is_some_and(|report| !report.is_busy)
    }
}

/// Runs a loader until it receives SIGTERM.
///
/// # Errors
///
/// If a socket can't be bound or a signal handler can't be installed.
pub async fn run(settings: Settings, platform_api: &'static dyn PlatformApi) -> Result<(), Error> {
    let log_buffer = log::start();
    let peer = settings.peers;
    let bind_error = |step| move |cause| Error::Io { step, peer, cause };
    let listener = TcpListener::bind(peer).await;
    let listener = listener.map_err(bind_error(Step::ListenPeers))?;
    let socket = UdpSocket::bind(peer).await;
    let socket = Rc::new(socket.map_err(bind_error(Step::ListenPeers))?);
    let terminate = signal(SignalKind::terminate());
    let mut terminate = terminate.map_err(bind_error(Step::Signals))?;
    let hangup = signal(SignalKind::hangup());
    let mut hangup = hangup.map_err(bind_error(Step::Signals))?;
    tracing::info!(name = settings.name, zone = settings.zone, engine = %settings.engine, "loader starts");
    let loader = Rc::new(Loader::new(settings, platform_api));
    actix_rt::spawn(clock::watch());
    actix_rt::spawn(sync::run(loader.clone()));
    actix_rt::spawn(peers::serve(loader.distributor.clone(), listener));
    actix_rt::spawn(report::receive_subscriptions(
        loader.clone(),
        socket.clone(),
    ));
    actix_rt::spawn(report::run(loader.clone(), socket));
    actix_rt::spawn(wait_log::run(loader.clone()));
    actix_rt::spawn(update::run(loader));
    loop {
        tokio::select! {
            _ = terminate.recv() => break,
            _ = hangup.recv() => tracing::info!("SIGHUP received; changed settings take effect at the next start"),
        }
    }
    tracing::info!("loader stops");
    log::flush(&log_buffer);
    Ok(())
}
