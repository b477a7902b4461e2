//! A request that is allowed, with what routing needs to know of it.

use {
    super::answer::Refusal,
    crate::state::{State, Work},
    bytes::Bytes,
    gingerpier_base::Instant,
    gingerpier_http1::{
        head::{self, Request},
        writer::Message,
    },
    gingerpier_serving::{
        configuration::{
            Configuration, Route, RouteKey, Service, ServiceKey, ServiceKind, TenantKey,
        },
        dialect::Names,
        engine::Engine,
        mark::{Mark, Subject},
        region::Homes,
        report::Version,
        returns::Visit,
        sizes::Band,
    },
    std::rc::Rc,
};

/// Field by which a caller asks whether to send its body; it is answered here.
const EXPECT: &str = "expect";

/// A request that is allowed.
pub struct Call<'a> {
    /// Its head.
    pub request: &'a Request,
    /// Its body.
    pub body: &'a Bytes,
    /// Configuration that allows it.
    pub configuration: Rc<Configuration>,
    /// Its route.
    pub route: RouteKey,
    /// Service that takes it.
    pub service: ServiceKey,
    /// Tenant, where keys are needed.
    pub tenant: Option<String>,
    /// Regions in which it may be served.
    pub homes: Homes,
    /// Model, where one is named.
    pub model: Option<String>,
    /// Tokens of its prompt.
    pub prompt_tokens: u64,
    /// How large its prompt is among those of its route, where that is known.
    pub band: Option<Band>,
    /// When its head was whole.
    pub received: Instant,
    /// When its caller stops waiting.
    pub caller_deadline: Instant,
    /// When a final answer is due at the latest.
    pub deadline: Instant,
    /// Whether its caller was refused before.
    pub visit: Visit,
    /// What it is known by when it comes again.
    pub mark: Mark,
}

impl<'a> Call<'a> {
    /// Reads what routing needs.
    ///
    /// # Errors
    ///
    /// Where the request is not allowed.
    pub fn read(
        state: &State,
        request: &'a Request,
        body: &'a Bytes,
        received: Instant,
    ) -> Result<Self, Refusal> {
        let names = state.dialect.names();
        if state.has_left.get() {
            return Err(Refusal::Leaving);
        }
        let configuration = state.configuration().ok_or(Refusal::NoConfiguration)?;
        let fields = &request.fields;
        let target = std::str::from_utf8(request.target()).map_err(|_| Refusal::Malformed)?;
        let path = target.split('?').next().unwrap_or_default();
        let host = fields.text("host").ok_or(Refusal::Malformed)?;
        let route = configuration.find(host, path).ok_or(Refusal::NoRoute)?;
        let rules = configuration.route(route);
        let tenant = tenant(&configuration, rules, fields.text(names.key))?;
        if fields.get(names.attempt).is_none() {
            return Err(Refusal::NoAttempt);
        }
        let service = configuration
            .draw(route, fastrand::u64(..))
            .ok_or(Refusal::NoRoute)?;
        let told_wait = fields.number(names.deadline);
        let visit = state.note_visit(&rules.name, told_wait, received);
        let wait = told_wait.unwrap_or(rules.timeout_millis);
        let caller_deadline = received.after_millis(wait);
        let deadline = received.after_millis(wait.min(rules.timeout_millis));
        let prompt_tokens = fields
            .text(names.tokens)
            .and_then(|text| text.split(',').next()?.trim().parse().ok())
            .unwrap_or_default();
        let band = state.note_size(&rules.name, prompt_tokens);
        let name = tenant.map(|key| configuration.tenant(key).name.clone());
        let mark = Mark::of(&Subject {
            host,
            target: request.target(),
            account: name.as_deref().unwrap_or_default(),
            body,
        });
        Ok(Self {
            request,
            body,
            route,
            service,
            homes: configuration.homes(route, tenant),
            tenant: name,
            model: fields.text(names.model).map(str::to_owned),
            prompt_tokens,
            band,
            received,
            caller_deadline,
            deadline,
            visit,
            mark,
            configuration,
        })
    }

    /// Its route.
    pub fn rules(&self) -> &Route {
        self.configuration.route(self.route)
    }

    /// Its service.
    pub fn target(&self) -> &Service {
        self.configuration.service(self.service)
    }

    /// Work that it is part of.
    pub fn work(&self) -> Work<'_> {
        Work {
            service: &self.target().name,
            homes: self.homes,
        }
    }

    /// How engines of its service work, where they run models.
    pub fn engines(&self) -> Option<&gingerpier_serving::configuration::EngineModel> {
        match &self.target().kind {
            ServiceKind::Engines(model) => Some(model),
            _ => None,
        }
    }

    /// Id of the caller's attempt, as text for logs.
    pub fn id(&self, names: &Names) -> &str {
        self.request.fields.text(names.attempt).unwrap_or_default()
    }

    /// The request as it goes to `engine` at `now`.
    pub fn bytes(&self, names: &Names, engine: &Engine, sending: &Sending<'_>) -> Vec<u8> {
        let request = self.request;
        let mut message = Message::request(request.method(), request.target());
        for (name, value) in request.fields.iter() {
            if !is_own(name, names, request) {
                message = message.field(name, value);
            }
        }
        let left = self.deadline.millis_since(sending.now);
        message = message
            .number(names.deadline, left)
            .field(names.expect_engine.as_bytes(), engine.record.id.as_bytes());
        if let Some(tenant) = &self.tenant {
            message = message.field(names.tenant.as_bytes(), tenant.as_bytes());
        }
        if sending.expect_version > Version::default() {
            message = message.number(names.expect_version, sending.expect_version.0);
        }
        let last_event = sending
            .last_event
            .or_else(|| request.fields.get(names.last_event));
        if let Some(last_event) = last_event {
            message = message.field(names.last_event.as_bytes(), last_event);
        }
        if self.body.is_empty() && request.method() == b"GET" {
            return message.end();
        }
        message.body(self.body)
    }
}

/// What differs between attempts of one request.
#[derive(Debug, Clone, Copy)]
pub struct Sending<'a> {
    /// Now.
    pub now: Instant,
    /// Version that alone may run it; 0 for any.
    pub expect_version: Version,
    /// Last event that the caller has from an earlier attempt.
    pub last_event: Option<&'a [u8]>,
    /// True where only a new connection will do: that it comes up in time shows that the request
    /// will not wait on its way until the engine's weights are due.
    pub wants_new_connection: bool,
}

fn tenant(
    configuration: &Configuration,
    route: &Route,
    key: Option<&str>,
) -> Result<Option<TenantKey>, Refusal> {
    if !configuration.needs_keys() {
        return Ok(None);
    }
    let tenant = key.and_then(|key| configuration.tenant_of(key));
    if tenant.is_none() && !route.is_public {
        return Err(Refusal::NoKey);
    }
    Ok(tenant)
}

fn is_own(name: &[u8], names: &Names, request: &Request) -> bool {
    let is = |other: &str| name.eq_ignore_ascii_case(other.as_bytes());
    let set = [
        names.deadline,
        names.key,
        names.tenant,
        names.expect_engine,
        names.expect_version,
        names.last_event,
        names.priority,
        EXPECT,
    ];
    let named =
        std::str::from_utf8(name).is_ok_and(|name| request.fields.lists("connection", name));
    head::is_of_connection(name) || set.into_iter().any(is) || named
}
