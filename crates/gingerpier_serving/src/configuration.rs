//! What the operators want: routes, services, tenants and limits, indexed for requests.

use {
    crate::region::{Homes, Regions},
    gingerpier_base::order,
    std::{collections::HashMap, net::SocketAddr},
};

/// Key of a route within its configuration.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct RouteKey(pub u32);

/// Key of a service within its configuration.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct ServiceKey(pub u32);

/// Key of a tenant within its configuration.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct TenantKey(pub u32);

/// How often a request may run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Repeat {
    /// As often as needed.
    Safe,
    /// At most once.
    Once,
    /// A stream that another engine may go on with.
    ResumableStream,
    /// A stream that runs at most once.
    StreamOnce,
}

impl Repeat {
    /// True where a second run does no harm.
    pub const fn is_idempotent(self) -> bool {
        matches!(self, Self::Safe | Self::ResumableStream)
    }

    /// True for streams of events.
    pub const fn is_stream(self) -> bool {
        matches!(self, Self::ResumableStream | Self::StreamOnce)
    }
}

/// A service that takes part of a route's requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Target {
    /// Service.
    pub service: ServiceKey,
    /// Share of the requests, against the other targets.
    pub weight: u32,
}

/// A route.
#[derive(Debug, Clone, PartialEq)]
pub struct Route {
    /// Name.
    pub name: String,
    /// Host that the request names.
    pub host: String,
    /// Start of the path; begins and ends with a slash.
    pub prefix: String,
    /// How often a request may run.
    pub repeat: Repeat,
    /// Longest that a request is held, in milliseconds.
    pub timeout_millis: u64,
    /// Time within which an answer has its full worth, in milliseconds.
    pub target_millis: u64,
    /// Longest pause between events of a stream with which it keeps its worth, in milliseconds.
    pub pause_millis: u64,
    /// Rank; 0 is the highest.
    pub priority: u8,
    /// Services.
    pub targets: Vec<Target>,
    /// Most engines that one request may go to.
    pub max_attempts: u32,
    /// True where no key is needed.
    pub is_public: bool,
    /// Regions in which alone its requests may be served; any where it names none.
    pub regions: Vec<String>,
}

/// What a service is.
#[derive(Debug, Clone, PartialEq)]
pub enum ServiceKind {
    /// An ordinary service.
    Plain,
    /// Model engines.
    Engines(Box<EngineModel>),
    /// Origin of weights.
    Origin(Origin),
}

/// Where weights come from.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Origin {
    /// Address.
    pub address: SocketAddr,
    /// Bits a second that its link carries; 0 where that is not known.
    pub link_bits_per_second: u64,
    /// Connections that it takes from all loaders.
    pub max_connections: u32,
}

/// A service.
#[derive(Debug, Clone, PartialEq)]
pub struct Service {
    /// Name.
    pub name: String,
    /// Most connections of one engine.
    pub max_connections: u32,
    /// Requests a second that one of its engines bears while it is cold; 0 where they never are.
    pub cold_per_second: f64,
    /// What it is.
    pub kind: ServiceKind,
}

/// How engines of a service work.
#[derive(Debug, Clone, PartialEq)]
pub struct EngineModel {
    /// Requests that run at once.
    pub slots: u32,
    /// Token steps of one pass.
    pub stride: u32,
    /// Milliseconds of one token step.
    pub step_millis: f64,
    /// Milliseconds that each running request adds to a step.
    pub per_request_millis: f64,
    /// Milliseconds that 1,000 tokens of context add to a step.
    pub per_thousand_tokens_millis: f64,
    /// Prompt tokens read in a millisecond.
    pub read_per_milli: f64,
    /// Most prompt tokens that one pass reads; none where that is not known.
    pub read_at_once: Option<u32>,
    /// Mean tokens of a prompt.
    pub usual_prompt: u32,
    /// Mean tokens of an answer.
    pub usual_answer: u32,
    /// Tokens that the memory of an engine holds.
    pub memory_tokens: u64,
    /// Models.
    pub models: Vec<String>,
}

/// A tenant.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Tenant {
    /// Name.
    pub name: String,
    /// Rank of its requests, where it has one.
    pub priority: Option<u8>,
    /// Keys that its callers may carry.
    pub keys: Vec<String>,
    /// Regions in which alone its requests may be served; any where it names none.
    pub regions: Vec<String>,
}

/// Bounds on callers.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Limits {
    /// Longest head, in bytes.
    pub max_head_bytes: usize,
    /// Longest body, in bytes.
    pub max_body_bytes: usize,
    /// Longest time for a head, in milliseconds.
    pub head_timeout_millis: u64,
    /// Longest rest of a connection, in milliseconds.
    pub idle_timeout_millis: u64,
}

impl Default for Limits {
    /// 16 KiB of head within 3 s, 4 MiB of body, 15 s of rest.
    fn default() -> Self {
        Self {
            max_head_bytes: 16 * 1024,
            max_body_bytes: 4 * 1024 * 1024,
            head_timeout_millis: 3_000,
            idle_timeout_millis: 15_000,
        }
    }
}

/// The part of a configuration that says what stands behind routes: all that loaders need of it.
#[derive(Debug, Clone, Default)]
pub struct Services {
    /// Version of the configuration.
    pub version: u64,
    list: Vec<Service>,
    /// Digest as it was told; none where it is to be counted here.
    told_digest: Option<u64>,
}

impl Services {
    /// Services of a configuration.
    pub const fn new(version: u64, list: Vec<Service>) -> Self {
        Self {
            version,
            list,
            told_digest: None,
        }
    }

    /// Services that another process told of, with the digest as that one counts it.
    pub const fn told(version: u64, list: Vec<Service>, weights_digest: u64) -> Self {
        Self {
            version,
            list,
            told_digest: Some(weights_digest),
        }
    }

    /// Services, in the order of their keys.
    pub fn list(&self) -> &[Service] {
        &self.list
    }

    /// What loaders need: engines' services and the origin, without ordinary services.
    pub fn for_loaders(&self) -> Self {
        let is_needed = |service: &&Service| !matches!(service.kind, ServiceKind::Plain);
        let needed = self.list.iter().filter(is_needed).cloned();
        Self::told(self.version, needed.collect(), self.weights_digest())
    }

    /// Engines' services.
    pub fn engines(&self) -> impl Iterator<Item = (&Service, &EngineModel)> {
        self.list.iter().filter_map(|service| match &service.kind {
            ServiceKind::Engines(engines) => Some((service, &**engines)),
            ServiceKind::Origin(_) | ServiceKind::Plain => None,
        })
    }

    /// Where weights come from, if anywhere.
    pub fn origin(&self) -> Option<Origin> {
        self.list.iter().find_map(|service| match service.kind {
            ServiceKind::Origin(origin) => Some(origin),
            _ => None,
        })
    }

    /// Digest of what loaders of weights need to know: engines' services and the origin.
    pub fn weights_digest(&self) -> u64 {
        if let Some(told) = self.told_digest {
            return told;
        }
        let engines = self.engines();
        let known: Vec<_> = engines
            .map(|(service, engines)| (&service.name, &engines.models))
            .collect();
        let origin = self.origin();
        let link = origin.map(|origin| (origin.link_bits_per_second, origin.max_connections));
        order::hash(&(known, origin.map(|origin| origin.address), link))
    }
}

/// A whole configuration.
#[derive(Debug, Clone, Default)]
pub struct Configuration {
    /// Its version.
    pub version: u64,
    /// Bounds on callers.
    pub limits: Limits,
    routes: Vec<Route>,
    services: Services,
    tenants: Vec<Tenant>,
    /// Homes of routes and of tenants, by their keys.
    route_homes: Vec<Homes>,
    tenant_homes: Vec<Homes>,
    by_host: HashMap<String, Vec<RouteKey>>,
    by_key: HashMap<String, TenantKey>,
}

impl Configuration {
    /// Configuration of these parts, indexed.
    pub fn new(
        version: u64,
        limits: Limits,
        routes: Vec<Route>,
        services: Vec<Service>,
        tenants: Vec<Tenant>,
    ) -> Self {
        let mut by_host: HashMap<String, Vec<RouteKey>> = HashMap::new();
        for (index, route) in routes.iter().enumerate() {
            let host = route.host.to_ascii_lowercase();
            by_host
                .entry(host)
                .or_default()
                .push(RouteKey(index as u32));
        }
        for keys in by_host.values_mut() {
            let length = |key: &RouteKey| routes[key.0 as usize].prefix.len();
            keys.sort_by_key(|key| std::cmp::Reverse(length(key)));
        }
        let mut by_key = HashMap::new();
        for (index, tenant) in tenants.iter().enumerate() {
            for key in &tenant.keys {
                by_key.insert(key.clone(), TenantKey(index as u32));
            }
        }
        // Until the regions are known, what is bound to any is served nowhere.
        let unknown = Regions::default();
        let mut configuration = Self {
            version,
            limits,
            routes,
            services: Services::new(version, services),
            tenants,
            route_homes: Vec::new(),
            tenant_homes: Vec::new(),
            by_host,
            by_key,
        };
        configuration.locate(&unknown);
        configuration
    }

    /// Resolves the names of regions to which routes and tenants are bound.
    pub fn locate(&mut self, regions: &Regions) {
        let routes = self.routes.iter();
        self.route_homes = routes.map(|route| regions.homes(&route.regions)).collect();
        let tenants = self.tenants.iter();
        self.tenant_homes = tenants
            .map(|tenant| regions.homes(&tenant.regions))
            .collect();
    }

    /// Regions in which a request of `route` and `tenant` may be served: those that both allow.
    pub fn homes(&self, route: RouteKey, tenant: Option<TenantKey>) -> Homes {
        let of_route = self.route_homes[route.0 as usize];
        tenant.map_or(of_route, |tenant| {
            of_route.and(self.tenant_homes[tenant.0 as usize])
        })
    }

    /// What is bound to regions, by its name, with the names of these.
    pub fn bound(&self) -> impl Iterator<Item = (&str, &[String])> {
        let routes = self.routes.iter();
        let routes = routes.map(|route| (route.name.as_str(), route.regions.as_slice()));
        let tenants = self.tenants.iter();
        let tenants = tenants.map(|tenant| (tenant.name.as_str(), tenant.regions.as_slice()));
        routes.chain(tenants)
    }

    /// Route with the longest prefix of `path` at `host`; a port in `host` does not count.
    pub fn find(&self, host: &str, path: &str) -> Option<RouteKey> {
        let host = host.split(':').next().unwrap_or_default();
        let keys = match self.by_host.get(host) {
            Some(keys) => keys,
            None => self.by_host.get(&host.to_ascii_lowercase())?,
        };
        keys.iter()
            .copied()
            .find(|key| path.starts_with(&self.route(*key).prefix))
    }

    /// A route.
    pub fn route(&self, key: RouteKey) -> &Route {
        &self.routes[key.0 as usize]
    }

    /// A service.
    pub fn service(&self, key: ServiceKey) -> &Service {
        &self.services.list[key.0 as usize]
    }

    /// Services, in the order of their keys.
    pub fn services(&self) -> &[Service] {
        self.services.list()
    }

    /// The services as a part of their own.
    pub const fn services_part(&self) -> &Services {
        &self.services
    }

    /// Where weights come from, if anywhere.
    pub fn origin(&self) -> Option<Origin> {
        self.services.origin()
    }

    /// Digest of what loaders of weights need to know.
    pub fn weights_digest(&self) -> u64 {
        self.services.weights_digest()
    }

    /// True where requests need a key.
    pub fn needs_keys(&self) -> bool {
        !self.tenants.is_empty()
    }

    /// Tenant that holds `key`.
    pub fn tenant_of(&self, key: &str) -> Option<TenantKey> {
        self.by_key.get(key).copied()
    }

    /// A tenant.
    pub fn tenant(&self, key: TenantKey) -> &Tenant {
        &self.tenants[key.0 as usize]
    }

    /// Service that takes a request whose draw is `draw`, any number.
    pub fn draw(&self, route: RouteKey, draw: u64) -> Option<ServiceKey> {
        let targets = &self.route(route).targets;
        let total: u64 = targets.iter().map(|target| u64::from(target.weight)).sum();
        if total == 0 {
            return targets.first().map(|target| target.service);
        }
        let mut left = draw % total;
        for target in targets {
            let weight = u64::from(target.weight);
            if left < weight {
                return Some(target.service);
            }
            left -= weight;
        }
        None
    }
}
