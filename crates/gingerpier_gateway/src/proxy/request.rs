//! Routing and authentication of a request, and its encoding for an engine.

use {
    super::{body::Body, error_response::ErrorResponse},
    crate::state::{State, TrafficClass},
    gingerpier_admission::{priority::Rank, return_detection::Visit, sizes::Band},
    gingerpier_base::Instant,
    gingerpier_http1::{
        head::{self, Request},
        writer::Message,
    },
    gingerpier_serving::{
        configuration::{
            AccountKey, Configuration, Route, RouteKey, Service, ServiceKey, ServiceKind,
        },
        engine::Engine,
        fingerprint::{Fingerprint, Input},
        platform_api::HeaderNames,
        region::RegionSet,
        report::Version,
    },
    std::rc::Rc,
};

/// Field that the gateway itself handles and doesn't forward.
const EXPECT: &str = "expect";

/// An authenticated request with its route and service.
pub struct RoutedRequest<'a> {
    /// Request head.
    pub head: &'a Request,
    /// Request body.
    pub body: &'a Body,
    /// Configuration in force when the request arrived; the keys below refer to it.
    pub configuration: Rc<Configuration>,
    /// Route that matches the host and path.
    pub route: RouteKey,
    /// Service picked by weight from the route's targets.
    pub service: ServiceKey,
    /// Name of the client account; `None` for a request without a known key.
    pub account: Option<String>,
    /// Regions in which the request may be served.
    pub regions: RegionSet,
    /// Model that the request names.
    pub model: Option<String>,
    /// Prompt length that the caller declares; 0 if it declares none.
    pub prompt_tokens: u64,
    /// Size class of the prompt among the requests of its route.
    pub band: Option<Band>,
    /// When the request head was complete.
    pub received: Instant,
    /// When the caller stops waiting for a response.
    pub caller_deadline: Instant,
    /// The earlier of the caller's deadline and the route's timeout.
    pub deadline: Instant,
    /// Whether the caller retries after a refusal.
    pub visit: Visit,
    /// Rank among the priorities of the service; `None` if all are equal.
    pub rank: Option<Rank>,
    /// Fingerprint that is equal for retries of the same request.
    pub fingerprint: Fingerprint,
    /// Fingerprints of the parts of the prompt that other requests may share.
    pub shared_parts: Vec<Fingerprint>,
}

impl<'a> RoutedRequest<'a> {
    /// Authenticates a request and finds its route and service.
    ///
    /// # Errors
    ///
    /// The response for a request that is invalid or that the configuration doesn't allow.
    pub fn read(
        state: &State,
        head: &'a Request,
        body: &'a Body,
        received: Instant,
    ) -> Result<Self, ErrorResponse> {
        let header_names = state.platform_api.header_names();
        if state.is_closed.get() {
            return Err(ErrorResponse::ShuttingDown);
        }
        let configuration = state
            .configuration()
            .ok_or(ErrorResponse::NoConfiguration)?;
        let fields = &head.fields;
        let (route, account_key) = identify(&configuration, head, header_names)?;
        let route_settings = configuration.route(route);
        let host = fields.text("host").unwrap_or_default();
        let service = configuration
            .pick_service(route, fastrand::u64(..))
            .ok_or(ErrorResponse::NoRoute)?;
        let caller_timeout_millis = fields.number(header_names.deadline);
        let visit = state.record_visit(&route_settings.name, caller_timeout_millis, received);
        let timeout_millis = caller_timeout_millis.unwrap_or(route_settings.timeout_millis);
        let caller_deadline = received.after_millis(timeout_millis);
        let deadline = received.after_millis(timeout_millis.min(route_settings.timeout_millis));
        let prompt_tokens = fields
            .text(header_names.tokens)
            .and_then(|text| text.split(',').next()?.trim().parse().ok())
            .unwrap_or_default();
        let band = state.record_prompt_size(&route_settings.name, prompt_tokens);
        let account = account_key.map(|key| configuration.account(key).name.clone());
        let fingerprint = Fingerprint::of(&Input {
            host,
            target: head.target(),
            account: account.as_deref().unwrap_or_default(),
            body: &body.bytes(),
        });
        let model = fields.text(header_names.model);
        let shared_parts = fields.text(header_names.prompt_parts).map(|list| {
            let service = &configuration.service(service).name;
            Fingerprint::of_shared_parts(service, model.unwrap_or_default(), list)
        });
        Ok(Self {
            head,
            body,
            route,
            service,
            regions: configuration.allowed_regions(route, account_key),
            rank: state.rank(&configuration, service, route, account_key),
            account,
            model: model.map(str::to_owned),
            prompt_tokens,
            band,
            received,
            caller_deadline,
            deadline,
            visit,
            fingerprint,
            shared_parts: shared_parts.unwrap_or_default(),
            configuration,
        })
    }

    /// Settings of the route.
    pub fn route_settings(&self) -> &Route {
        self.configuration.route(self.route)
    }

    /// Settings of the service.
    pub fn service_settings(&self) -> &Service {
        self.configuration.service(self.service)
    }

    /// Class of requests with which this one competes for engines.
    pub fn traffic_class(&self) -> TrafficClass<'_> {
        TrafficClass {
            service: &self.service_settings().name,
            regions: self.regions,
        }
    }

    /// Performance model of the service's engines; `None` if the service doesn't run models.
    pub fn engine_model(&self) -> Option<&gingerpier_serving::configuration::EngineModel> {
        match &self.service_settings().kind {
            ServiceKind::Engines(model) => Some(model),
            _ => None,
        }
    }

    /// Attempt id that the caller set.
    pub fn attempt_id(&self, header_names: &HeaderNames) -> &str {
        self.head
            .fields
            .text(header_names.attempt)
            .unwrap_or_default()
    }

    /// Encodes the request head for `engine`, with the gateway's own fields in place of the caller's.
    pub fn encode(
        &self,
        header_names: &HeaderNames,
        engine: &Engine,
        options: &AttemptOptions<'_>,
    ) -> Vec<u8> {
        let head = self.head;
        let mut message = Message::request(head.method(), head.target());
        for (name, value) in head.fields.iter() {
            if !is_withheld(name, header_names, head) {
                message = message.field(name, value);
            }
        }
        let remaining_millis = self.deadline.millis_since(options.now);
        message = message
            .number(header_names.deadline, remaining_millis)
            .field(
                header_names.expect_engine.as_bytes(),
                engine.record.id.as_bytes(),
            );
        if let Some(account) = &self.account {
            message = message.field(header_names.account.as_bytes(), account.as_bytes());
        }
        if let Some(rank) = self.rank {
            message = message.number(header_names.priority, rank.index() as u64);
        }
        if options.required_version > Version::default() {
            message = message.number(header_names.expect_version, options.required_version.0);
        }
        let last_event_id = options
            .last_event_id
            .or_else(|| head.fields.get(header_names.last_event));
        if let Some(last_event_id) = last_event_id {
            message = message.field(header_names.last_event.as_bytes(), last_event_id);
        }
        let body = self.body.bytes();
        if body.is_empty() && head.method() == b"GET" {
            return message.end();
        }
        message.number("content-length", body.len() as u64).end()
    }
}

/// Parameters that differ between attempts of one request.
#[derive(Debug, Clone, Copy)]
pub struct AttemptOptions<'a> {
    /// When the attempt starts.
    pub now: Instant,
    /// Only weights version that may run the request; 0 for any.
    pub required_version: Version,
    /// Id of the last event that the caller received from an earlier attempt.
    pub last_event_id: Option<&'a [u8]>,
    /// True if no pooled connection may be used: a timely connect shows that the request reaches
    /// the engine before its weights become outdated.
    pub needs_new_connection: bool,
}

/// What the head of a request entitles it to before its body is read.
#[derive(Debug, Clone, Copy)]
pub struct Claim {
    /// Route that its memory is for; `None` if unknown.
    pub route: Option<RouteKey>,
    /// Time that the route and the caller give it.
    pub timeout_millis: u64,
}

/// Checks by the head alone whether a request may hold memory for its body.
///
/// # Errors
///
/// The response for a request that is invalid or that the configuration doesn't allow.
pub fn claim(state: &State, head: &Request) -> Result<Claim, ErrorResponse> {
    let header_names = state.platform_api.header_names();
    let caller_timeout_millis = head.fields.number(header_names.deadline);
    let Some(configuration) = state.configuration() else {
        // The request may wait for the gateway's startup.
        return Ok(Claim {
            route: None,
            timeout_millis: caller_timeout_millis.unwrap_or(u64::MAX),
        });
    };
    let (route, _) = identify(&configuration, head, header_names)?;
    let timeout_millis = configuration.route(route).timeout_millis;
    Ok(Claim {
        route: Some(route),
        timeout_millis: caller_timeout_millis.map_or(timeout_millis, |own| own.min(timeout_millis)),
    })
}

/// Finds the route and the client account of a request.
fn identify(
    configuration: &Configuration,
    head: &Request,
    header_names: &HeaderNames,
) -> Result<(RouteKey, Option<AccountKey>), ErrorResponse> {
    let fields = &head.fields;
    let target = std::str::from_utf8(head.target()).map_err(|_| ErrorResponse::Malformed)?;
    let path = target.split('?').next().unwrap_or_default();
    let host = fields.text("host").ok_or(ErrorResponse::Malformed)?;
    let route = configuration
        .find(host, path)
        .ok_or(ErrorResponse::NoRoute)?;
    let key = fields.text(header_names.key);
    let account = authenticate(configuration, configuration.route(route), key)?;
    if fields.get(header_names.attempt).is_none() {
        return Err(ErrorResponse::MissingAttemptId);
    }
    Ok((route, account))
}

/// Finds the client account of `key`; `None` on a public route or if keys are not required.
fn authenticate(
    configuration: &Configuration,
    route_settings: &Route,
    key: Option<&str>,
) -> Result<Option<AccountKey>, ErrorResponse> {
    if !configuration.requires_keys() {
        return Ok(None);
    }
    let account = key.and_then(|key| configuration.account_of(key));
    if account.is_none() && !route_settings.is_public {
        return Err(ErrorResponse::InvalidKey);
    }
    Ok(account)
}

/// True for a field of the caller that doesn't go to the engine: a hop-by-hop field, or one that
/// the gateway sets itself.
fn is_withheld(name: &[u8], header_names: &HeaderNames, head: &Request) -> bool {
    let matches_name = |other: &str| name.eq_ignore_ascii_case(other.as_bytes());
    let gateway_fields = [
        header_names.deadline,
        header_names.key,
        header_names.account,
        header_names.expect_engine,
        header_names.expect_version,
        header_names.last_event,
        header_names.priority,
        EXPECT,
    ];
    let is_connection_option =
        std::str::from_utf8(name).is_ok_and(|name| head.fields.lists("connection", name));
    head::is_of_connection(name)
        || gateway_fields.into_iter().any(matches_name)
        || is_connection_option
}
