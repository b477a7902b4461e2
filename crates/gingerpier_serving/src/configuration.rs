//! Operator configuration of routes, services, client accounts and limits, indexed for request
//! routing.

use {
    crate::region::{RegionSet, Regions},
    gingerpier_base::order,
    std::{collections::HashMap, net::SocketAddr},
};

/// Key of a route within its configuration.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct RouteKey(pub u32);

/// Key of a service within its configuration.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct ServiceKey(pub u32);

/// Key of a client account within its configuration.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct AccountKey(pub u32);

/// How often a request may run, and whether its response is a stream.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Repeat {
    /// Idempotent: any number of times.
    Safe,
    /// At most once.
    Once,
    /// Stream that another engine can resume.
    ResumableStream,
    /// Stream that runs at most once.
    StreamOnce,
}

impl Repeat {
    /// True if running twice is harmless.
    pub const fn is_idempotent(self) -> bool {
        matches!(self, Self::Safe | Self::ResumableStream)
    }

    /// True if the response is an event stream.
    pub const fn is_stream(self) -> bool {
        matches!(self, Self::ResumableStream | Self::StreamOnce)
    }
}

/// Service that receives a part of a route's requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Target {
    /// Key of the service.
    pub service: ServiceKey,
    /// Weight relative to the route's other targets.
    pub weight: u32,
}

/// Route from a host and path prefix to services.
#[derive(Debug, Clone, PartialEq)]
pub struct Route {
    /// Route name.
    pub name: String,
    /// Value of the `Host` header.
    pub host: String,
    /// Path prefix; begins and ends with a slash.
    pub prefix: String,
    /// How often a request may run.
    pub repeat: Repeat,
    /// Limit of the total request time.
    pub timeout_millis: u64,
    /// Target of the response time.
    pub target_millis: u64,
    /// Target of the longest pause between two events of a stream.
    pub max_pause_millis: u64,
    /// Priority; 0 is the highest.
    pub priority: u8,
    /// Weighted services.
    pub targets: Vec<Target>,
    /// Limit of the attempts per request.
    pub max_attempts: u32,
    /// True if no API key is required.
    pub is_public: bool,
    /// Regions in which requests may run; empty for no restriction.
    pub regions: Vec<String>,
}

/// Kind of a service.
#[derive(Debug, Clone, PartialEq)]
pub enum ServiceKind {
    /// Ordinary service.
    Plain,
    /// Engines of language models.
    Engines(Box<EngineModel>),
    /// Origin server of weights.
    Origin(Origin),
}

/// Origin server that weights are fetched from.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Origin {
    /// Server address.
    pub address: SocketAddr,
    /// Bandwidth of its link; 0 if unknown.
    pub link_bits_per_second: u64,
    /// Limit of the connections of all loaders together.
    pub max_connections: u32,
}

/// Service that requests are sent to.
#[derive(Debug, Clone, PartialEq)]
pub struct Service {
    /// Service name.
    pub name: String,
    /// Limit of the connections to one engine.
    pub max_connections: u32,
    /// Sustained requests per second of a cold engine; 0 if engines are never cold.
    pub cold_per_second: f64,
    /// Kind of the service.
    pub kind: ServiceKind,
}

/// Performance model of a service's engines.
#[derive(Debug, Clone, PartialEq)]
pub struct EngineModel {
    /// Number of requests that run concurrently.
    pub slots: u32,
    /// Token steps per pass.
    pub stride: u32,
    /// Base duration of a token step.
    pub step_millis: f64,
    /// Additional duration of a step per running request.
    pub per_request_millis: f64,
    /// Additional duration of a step per 1,000 context tokens of each running request.
    pub per_thousand_tokens_millis: f64,
    /// Prompt tokens that are processed per millisecond.
    pub prompt_tokens_per_milli: f64,
    /// Limit of the prompt tokens that are processed per pass; `None` if unknown.
    pub max_prompt_tokens_per_pass: Option<u32>,
    /// Mean prompt length in tokens.
    pub mean_prompt_tokens: u32,
    /// Mean response length in tokens.
    pub mean_answer_tokens: u32,
    /// Memory capacity of an engine in tokens.
    pub memory_tokens: u64,
    /// Names of the models.
    pub models: Vec<String>,
}

/// Client account.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Account {
    /// Account name.
    pub name: String,
    /// Priority of its requests; `None` to use the route's.
    pub priority: Option<u8>,
    /// API keys.
    pub keys: Vec<String>,
    /// Regions in which its requests may run; empty for no restriction.
    pub regions: Vec<String>,
}

/// Limits for client connections.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Limits {
    /// Largest request head.
    pub max_head_bytes: usize,
    /// Largest request body.
    pub max_body_bytes: usize,
    /// Longest time in which a request head is received.
    pub head_timeout_millis: u64,
    /// Longest idle time of a connection.
    pub idle_timeout_millis: u64,
}

impl Default for Limits {
    /// 16 KiB heads within 3 s, 4 MiB bodies, 15 s idle time.
    fn default() -> Self {
        Self {
            max_head_bytes: 16 * 1024,
            max_body_bytes: 4 * 1024 * 1024,
            head_timeout_millis: 3_000,
            idle_timeout_millis: 15_000,
        }
    }
}

/// Services of a configuration, without its routes and accounts; all that weight loaders need.
#[derive(Debug, Clone, Default)]
pub struct Services {
    /// Version of the configuration.
    pub version: u64,
    list: Vec<Service>,
    /// Digest from the process that sent the services; `None` to compute it.
    received_digest: Option<u64>,
}

impl Services {
    /// Creates the services of a local configuration.
    pub const fn new(version: u64, list: Vec<Service>) -> Self {
        Self {
            version,
            list,
            received_digest: None,
        }
    }

    /// Creates the services received from another process, with the digest that it computed.
    pub const fn received(version: u64, list: Vec<Service>, weights_digest: u64) -> Self {
        Self {
            version,
            list,
            received_digest: Some(weights_digest),
        }
    }

    /// Services in the order of their keys.
    pub fn list(&self) -> &[Service] {
        &self.list
    }

    /// Copy for loaders: only the origin and the services with engines.
    pub fn for_loaders(&self) -> Self {
        let is_for_loaders = |service: &&Service| !matches!(service.kind, ServiceKind::Plain);
        let selected = self.list.iter().filter(is_for_loaders).cloned();
        Self::received(self.version, selected.collect(), self.weights_digest())
    }

    /// Services with engines and their performance models.
    pub fn engines(&self) -> impl Iterator<Item = (&Service, &EngineModel)> {
        self.list.iter().filter_map(|service| match &service.kind {
            ServiceKind::Engines(engines) => Some((service, &**engines)),
            ServiceKind::Origin(_) | ServiceKind::Plain => None,
        })
    }

    /// Origin server of weights, if configured.
    pub fn origin(&self) -> Option<Origin> {
        self.list.iter().find_map(|service| match service.kind {
            ServiceKind::Origin(origin) => Some(origin),
            _ => None,
        })
    }

    /// Digest of the settings that affect weight loaders.
    pub fn weights_digest(&self) -> u64 {
        if let Some(received) = self.received_digest {
            return received;
        }
        let engines = self.engines();
        let engine_models: Vec<_> = engines
            .map(|(service, engines)| (&service.name, &engines.models))
            .collect();
        let origin = self.origin();
        let link = origin.map(|origin| (origin.link_bits_per_second, origin.max_connections));
        order::hash(&(engine_models, origin.map(|origin| origin.address), link))
    }
}

/// Complete configuration.
#[derive(Debug, Clone, Default)]
pub struct Configuration {
    /// Configuration version.
    pub version: u64,
    /// Limits for client connections.
    pub limits: Limits,
    routes: Vec<Route>,
    services: Services,
    accounts: Vec<Account>,
    /// Resolved regions of routes and accounts, by key.
    route_regions: Vec<RegionSet>,
    account_regions: Vec<RegionSet>,
    by_host: HashMap<String, Vec<RouteKey>>,
    by_key: HashMap<String, AccountKey>,
}

impl Configuration {
    /// Creates a configuration and its indexes.
    pub fn new(
        version: u64,
        limits: Limits,
        routes: Vec<Route>,
        services: Vec<Service>,
        accounts: Vec<Account>,
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
        for (index, account) in accounts.iter().enumerate() {
            for key in &account.keys {
                by_key.insert(key.clone(), AccountKey(index as u32));
            }
        }
        // Until the regions are resolved, restricted routes and accounts match no region.
        let no_regions = Regions::default();
        let mut configuration = Self {
            version,
            limits,
            routes,
            services: Services::new(version, services),
            accounts,
            route_regions: Vec::new(),
            account_regions: Vec::new(),
            by_host,
            by_key,
        };
        configuration.resolve_regions(&no_regions);
        configuration
    }

    /// Resolves the region names of routes and accounts.
    pub fn resolve_regions(&mut self, regions: &Regions) {
        let routes = self.routes.iter();
        self.route_regions = routes
            .map(|route| regions.resolve(&route.regions))
            .collect();
        let accounts = self.accounts.iter();
        self.account_regions = accounts
            .map(|account| regions.resolve(&account.regions))
            .collect();
    }

    /// Regions that both the route and the account allow.
    pub fn allowed_regions(&self, route: RouteKey, account: Option<AccountKey>) -> RegionSet {
        let route_regions = self.route_regions[route.0 as usize];
        account.map_or(route_regions, |account| {
            route_regions.intersection(self.account_regions[account.0 as usize])
        })
    }

    /// Names of all routes and accounts with their allowed regions.
    pub fn restrictions(&self) -> impl Iterator<Item = (&str, &[String])> {
        let routes = self.routes.iter();
        let routes = routes.map(|route| (route.name.as_str(), route.regions.as_slice()));
        let accounts = self.accounts.iter();
        let accounts = accounts.map(|account| (account.name.as_str(), account.regions.as_slice()));
        routes.chain(accounts)
    }

    /// Finds the route with the longest matching prefix at `host`, ignoring the port.
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

    /// Route with this key.
    pub fn route(&self, key: RouteKey) -> &Route {
        &self.routes[key.0 as usize]
    }

    /// Service with this key.
    pub fn service(&self, key: ServiceKey) -> &Service {
        &self.services.list[key.0 as usize]
    }

    /// Routes in the order of their keys.
    pub fn routes(&self) -> &[Route] {
        &self.routes
    }

    /// Client accounts in the order of their keys.
    pub fn accounts(&self) -> &[Account] {
        &self.accounts
    }

    /// Services in the order of their keys.
    pub fn services(&self) -> &[Service] {
        self.services.list()
    }

    /// Services without routes and accounts.
    pub const fn services_part(&self) -> &Services {
        &self.services
    }

    /// Origin server of weights, if configured.
    pub fn origin(&self) -> Option<Origin> {
        self.services.origin()
    }

    /// Digest of the settings that affect weight loaders.
    pub fn weights_digest(&self) -> u64 {
        self.services.weights_digest()
    }

    /// True if requests to non-public routes require an API key.
    pub fn requires_keys(&self) -> bool {
        !self.accounts.is_empty()
    }

    /// Account of an API key.
    pub fn account_of(&self, key: &str) -> Option<AccountKey> {
        self.by_key.get(key).copied()
    }

    /// Account with this key.
    pub fn account(&self, key: AccountKey) -> &Account {
        &self.accounts[key.0 as usize]
    }

    /// Selects a service by weight; `draw` is a random number.
    pub fn pick_service(&self, route: RouteKey, draw: u64) -> Option<ServiceKey> {
        let targets = &self.route(route).targets;
        let total: u64 = targets.iter().map(|target| u64::from(target.weight)).sum();
        if total == 0 {
            return targets.first().map(|target| target.service);
        }
        let mut remaining = draw % total;
        for target in targets {
            let weight = u64::from(target.weight);
            if remaining < weight {
                return Some(target.service);
            }
            remaining -= weight;
        }
        None
    }
}
