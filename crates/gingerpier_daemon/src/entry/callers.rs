//! HTTP API for callers: models, plain services and tickets.

use {
    super::{
        Entry,
        caller_request::{
            BodyPart, CallerRequest, ResponseSender, ResponseStart, Target, retry_after,
        },
        tickets::Grant,
    },
    crate::{clock, metrics::OutcomeLabel},
    actix_http::{HttpMessage, Method, Request, header},
    bytes::Bytes,
    futures_util::stream,
    gingerpier_base::{Digest, Instant, Name, order},
    gingerpier_catalogue::model::Account,
    gingerpier_http::{Answer, Listener, answer, body},
    gingerpier_once::{
        Ticket,
        claims::Verdict,
        lifecycle::{Idempotency, Reason},
    },
    gingerpier_routing::limits::AccountKey,
    serde::{Deserialize, Serialize},
    serde_json::json,
    std::{io, rc::Rc, time::Duration},
    tokio::sync::{mpsc, oneshot},
};

/// Response header with the outcome of a request: `answered`, `not-run` or `unknown`.
pub const OUTCOME_HEADER: &str = "gingerpier-outcome";
/// Request and response header with the request identifier.
pub const REQUEST_HEADER: &str = "gingerpier-request-id";
/// Response header with the `model@version` that responded.
pub const VERSION_HEADER: &str = "gingerpier-version";
/// Request header, `yes` or `no`: whether the request may run more than once.
pub const IDEMPOTENT_HEADER: &str = "gingerpier-repeatable";
/// Request header with a ticket.
pub const TICKET_HEADER: &str = "idempotency-key";
/// Request header with the timeout of the request in milliseconds.
pub const TIMEOUT_HEADER: &str = "gingerpier-patience-millis";
/// Response header with the retry delay in milliseconds, beside `Retry-After` in whole seconds.
pub const RETRY_AFTER_HEADER: &str = "gingerpier-retry-after-millis";

/// Limit on the tickets issued by one request.
const MAX_TICKETS: u32 = 1_000;
/// Length of the prompt's start that is hashed to route similar prompts to the same engines.
const PREFIX_BYTES: usize = 256;
/// Limit on buffered parts of a response to a slow caller.
const MAX_BUFFERED_PARTS: usize = 16;
/// Path prefix of plain services.
const SERVICES_PATH: &str = "/services/";

/// Error response that this entry box generates.
struct ErrorResponse {
    status: u16,
    outcome: &'static str,
    message: String,
    retry_after: Option<Duration>,
}

impl ErrorResponse {
    fn not_run(status: u16, message: impl ToString) -> Self {
        Self {
            status,
            outcome: "not-run",
            message: message.to_string(),
            retry_after: None,
        }
    }
}

#[derive(Deserialize)]
struct ModelRequest {
    model: Name,
    #[serde(default)]
    prompt: serde_json::Value,
    #[serde(default)]
    messages: serde_json::Value,
}

#[derive(Default, Deserialize, Serialize)]
struct TicketRequest {
    #[serde(default)]
    count: Option<u32>,
}

impl Entry {
    /// Spawns the server for callers.
    pub fn spawn_caller_server(self: Rc<Self>, listener: Listener) {
        actix_rt::spawn(listener.serve(move |request| {
            let entry = self.clone();
            async move { entry.serve_caller(request).await }
        }));
    }

    async fn serve_caller(self: Rc<Self>, request: Request) -> Answer {
        let request_id = header_value(&request, REQUEST_HEADER).filter(|id| is_identifier(id));
        let id = request_id.unwrap_or_else(|| format!("{:016x}", fastrand::u64(..)));
        match self.clone().route_caller(request, &id).await {
            Ok(answer) => answer,
            Err(error_response) => {
                let label = OutcomeLabel {
                    outcome: error_response.outcome.replace('-', "_"),
                    account: "refused".to_owned(),
                };
                self.process.metrics.requests.get_or_create(&label).inc();
                tracing::info!(
                    event = "request_refused",
                    request = id,
                    status = error_response.status,
                    outcome = error_response.outcome,
                    why = error_response.message
                );
                build_error_response(&error_response, &id)
            }
        }
    }

    async fn route_caller(
        self: Rc<Self>,
        request: Request,
        id: &str,
    ) -> Result<Answer, ErrorResponse> {
        let path = request.path().to_owned();
        if path == "/healthz" {
            let status = if self.process.is_leaving() { 503 } else { 200 };
            return Ok(answer::text(
                status,
                if status == 200 { "serving" } else { "leaving" },
            ));
        }
        if self.process.is_leaving() {
            let retry_after = Some(Duration::from_millis(1));
            let message = "this entry box is leaving; another one serves at once".to_owned();
            return Err(ErrorResponse {
                status: 503,
                outcome: "not-run",
                message,
                retry_after,
            });
        }
        let account = self.account(&request)?;
        match (request.method(), path.as_str()) {
            (&Method::POST, "/v1/tickets") => self.issue_tickets(request).await,
            (&Method::GET, "/v1/models") => Ok(self.list_models(&account)),
            (&Method::POST, path) if path.starts_with("/v1/") => {
                self.serve_model(request, &account, id).await
            }
            (_, path) if path.starts_with(SERVICES_PATH) => {
                self.serve_service(request, &account, id).await
            }
            _ => Err(ErrorResponse::not_run(
                404,
                "callers ask /v1/..., /v1/tickets, /v1/models or /services/NAME/...",
            )),
        }
    }

    fn account(&self, request: &Request) -> Result<Account, ErrorResponse> {
        let token = header_value(request, header::AUTHORIZATION.as_str());
        let token = token
            .as_deref()
            .and_then(|value| value.strip_prefix("Bearer "));
        let message = "a client account's token is wanted, as in `Authorization: Bearer TOKEN`";
        let token = token.ok_or_else(|| ErrorResponse::not_run(401, message))?;
        let catalogue = self.process.catalogue_state.catalogue();
        let account = catalogue.account_by_key(Digest::of(token.as_bytes()));
        account
            .cloned()
            .ok_or_else(|| ErrorResponse::not_run(401, "no client account has this token"))
    }

    async fn issue_tickets(&self, mut request: Request) -> Result<Answer, ErrorResponse> {
        let body_bytes = body::read(&mut request, 1_024).await.map_err(body_error)?;
        let parsed = if body_bytes.is_empty() {
            TicketRequest::default()
        } else {
            serde_json::from_slice(&body_bytes)
                .map_err(|error| ErrorResponse::not_run(400, format!("the body: {error}")))?
        };
        let count = parsed.count.unwrap_or(1).min(MAX_TICKETS);
        let mut claims = self.claims.borrow_mut();
        let now = clock::now();
        let tickets: Vec<String> = (0..count).map(|_| claims.issue(now).to_string()).collect();
        let lifetime_millis = self.settings.requests.ticket_life.0;
        Ok(answer::json(
            200,
            &json!({ "tickets": tickets, "good_for_millis": lifetime_millis }),
        ))
    }

    fn list_models(&self, account: &Account) -> Answer {
        let catalogue = self.process.catalogue_state.catalogue();
        let accessible = catalogue.models().filter(|(key, model)| {
            catalogue.open_versions(*key).next().is_some()
                && !self
                    .allowed_zones(&model.contracts, &account.name)
                    .is_empty()
        });
        let data: Vec<_> = accessible
            .map(|(_, model)| json!({ "id": model.name, "object": "model" }))
            .collect();
        answer::json(200, &json!({ "object": "list", "data": data }))
    }

    async fn read_body(&self, request: &mut Request) -> Result<Bytes, ErrorResponse> {
        let max_bytes = self.settings.requests.longest_body.0 as usize;
        body::read(request, max_bytes).await.map_err(body_error)
    }

    async fn serve_model(
        self: Rc<Self>,
        mut request: Request,
        account: &Account,
        id: &str,
    ) -> Result<Answer, ErrorResponse> {
        let body_bytes = self.read_body(&mut request).await?;
        let parsed: ModelRequest = serde_json::from_slice(&body_bytes)
            .map_err(|error| ErrorResponse::not_run(400, format!("the body: {error}")))?;
        let catalogue = self.process.catalogue_state.catalogue();
        let model = catalogue.model_key_by_name(&parsed.model);
        let model = model.map_err(|error| ErrorResponse::not_run(404, error))?;
        if self
            .allowed_zones(&catalogue.model(model).contracts, &account.name)
            .is_empty()
        {
            let message = format!("`{}` is not served to this client account", parsed.model);
            return Err(ErrorResponse::not_run(403, message));
        }
        let prefix_hash = prompt_prefix_hash(&parsed);
        // Running a model twice has no side effects.
        let idempotency = idempotency(&request, Idempotency::Idempotent)?;
        let target = Target::Model(model);
        let path = request.uri().to_string();
        let caller_request = self.caller_request(
            &request,
            account,
            id,
            target,
            path,
            body_bytes,
            idempotency,
            prefix_hash,
        )?;
        self.run_caller_request(&request, caller_request).await
    }

    async fn serve_service(
        self: Rc<Self>,
        mut request: Request,
        account: &Account,
        id: &str,
    ) -> Result<Answer, ErrorResponse> {
        let body_bytes = self.read_body(&mut request).await?;
        let uri = request.uri().to_string();
        let rest = &uri[SERVICES_PATH.len()..];
        let (name, path) = rest.split_once('/').unwrap_or((rest, ""));
        let name: Name = name
            .parse()
            .map_err(|error| ErrorResponse::not_run(400, error))?;
        let is_safe = matches!(
            *request.method(),
            Method::GET | Method::HEAD | Method::OPTIONS
        );
        let default = if is_safe {
            Idempotency::Idempotent
        } else {
            Idempotency::NonIdempotent
        };
        let idempotency = idempotency(&request, default)?;
        let target = Target::Service(name);
        let path = format!("/{path}");
        let caller_request = self.caller_request(
            &request,
            account,
            id,
            target,
            path,
            body_bytes,
            idempotency,
            None,
        )?;
        self.run_caller_request(&request, caller_request).await
    }

    #[expect(clippy::too_many_arguments, reason = "each is a part of one request")]
    fn caller_request(
        &self,
        request: &Request,
        account: &Account,
        id: &str,
        target: Target,
        path: String,
        body: Bytes,
        idempotency: Idempotency,
        prefix_hash: Option<u64>,
    ) -> Result<CallerRequest, ErrorResponse> {
        Ok(CallerRequest {
            request: id.to_owned(),
            account: account.name.clone(),
            account_key: self.account_key(&account.name, account.rate),
            priority: account.priority,
            target,
            method: request.method().to_string(),
            path,
            content_type: header_value(request, header::CONTENT_TYPE.as_str()),
            body,
            prefix_hash,
            idempotency,
            grant: None,
            deadline: self.deadline(request)?,
        })
    }

    fn deadline(&self, request: &Request) -> Result<Instant, ErrorResponse> {
        let max_timeout_millis = self.settings.requests.patience.0;
        let timeout_millis = header_value(request, TIMEOUT_HEADER).map(|text| text.parse::<u64>());
        let timeout_millis = timeout_millis.transpose().map_err(|_| {
            ErrorResponse::not_run(
                400,
                format!("{TIMEOUT_HEADER} is a whole number of milliseconds"),
            )
        })?;
        Ok(clock::now().after_millis(
            timeout_millis
                .unwrap_or(max_timeout_millis)
                .min(max_timeout_millis),
        ))
    }

    /// Admits and forwards a request; returns its response, whose body is streamed.
    async fn run_caller_request(
        self: Rc<Self>,
        request: &Request,
        mut caller_request: CallerRequest,
    ) -> Result<Answer, ErrorResponse> {
        self.admit(caller_request.account_key)?;
        let grant_result = self.grant(request, &caller_request).await;
        let checked_grant = grant_result.inspect_err(|_| {
            self.limits
                .borrow_mut()
                .record_request_end(caller_request.account_key);
        });
        caller_request.grant = checked_grant?;
        let id = caller_request.request.clone();
        let (start, start_receiver) = oneshot::channel();
        let (body_parts, body_receiver) = mpsc::channel(MAX_BUFFERED_PARTS);
        let response_sender = ResponseSender {
            start: Some(start),
            body_parts,
        };
        actix_rt::spawn(self.forward(caller_request, response_sender));
        match start_receiver.await {
            Ok(ResponseStart::Head {
                status,
                content_type,
                version,
            }) => Ok(streamed_response(
                &id,
                status,
                content_type,
                version,
                body_receiver,
            )),
            Ok(ResponseStart::NotRun(reason)) => Err(final_error(reason, "not-run")),
            Ok(ResponseStart::Unknown(reason)) => Err(final_error(reason, "unknown")),
            Err(_) => Err(final_error(Reason::LinkLost, "unknown")),
        }
    }

    fn admit(&self, account: AccountKey) -> Result<(), ErrorResponse> {
        let utilization = self.utilization();
        let now = clock::now();
        let admitted = self.limits.borrow_mut().admit(account, utilization, now);
        admitted.map_err(|at| ErrorResponse {
            status: 429,
            outcome: "not-run",
            message: "the client account is over its limit or its share".to_owned(),
            retry_after: Some(Duration::from_millis(at.millis_since(now).max(1))),
        })
    }

    /// Claims the ticket of a request that must not run twice.
    async fn grant(
        &self,
        request: &Request,
        caller_request: &CallerRequest,
    ) -> Result<Option<Grant>, ErrorResponse> {
        let Some(key) = header_value(request, TICKET_HEADER) else {
            return Ok(None);
        };
        if caller_request.idempotency == Idempotency::Idempotent {
            return Ok(None);
        }
        let ticket: Ticket = key
            .parse()
            .map_err(|error| ErrorResponse::not_run(400, error))?;
        let conflict = |outcome, message: &str| ErrorResponse {
            status: 409,
            outcome,
            message: message.to_owned(),
            retry_after: None,
        };
        match self.claim(ticket).await {
            Verdict::Granted(number) => Ok(Some(Grant { ticket, number })),
            Verdict::Running => Err(conflict(
                "unknown",
                "an earlier try with this ticket runs now",
            )),
            Verdict::Answered => Err(conflict(
                "answered",
                "an earlier try with this ticket ran and was answered",
            )),
            Verdict::Unknown => Err(conflict(
                "unknown",
                "an earlier try with this ticket may have run, and its owner can't tell",
            )),
            Verdict::Forged => Err(ErrorResponse::not_run(
                400,
                "the ticket was not issued here",
            )),
        }
    }
}

fn header_value(request: &Request, name: &str) -> Option<String> {
    Some(request.headers().get(name)?.to_str().ok()?.to_owned())
}

fn is_identifier(text: &str) -> bool {
    let allowed = |byte: u8| byte.is_ascii_alphanumeric() || byte == b'-' || byte == b'_';
    !text.is_empty() && text.len() <= 64 && text.bytes().all(allowed)
}

fn body_error(error: body::Error) -> ErrorResponse {
    ErrorResponse::not_run(error.status(), error)
}

fn idempotency(request: &Request, default: Idempotency) -> Result<Idempotency, ErrorResponse> {
    match header_value(request, IDEMPOTENT_HEADER).as_deref() {
        None => Ok(default),
        Some("yes") => Ok(Idempotency::Idempotent),
        Some("no") => Ok(Idempotency::NonIdempotent),
        Some(_) => Err(ErrorResponse::not_run(
            400,
            format!("{IDEMPOTENT_HEADER} is `yes` or `no`"),
        )),
    }
}

/// Returns the hash of the prompt's start, by which engines with a cached prefix are found.
fn prompt_prefix_hash(parsed: &ModelRequest) -> Option<u64> {
    let text = match (&parsed.prompt, &parsed.messages) {
        (serde_json::Value::String(prompt), _) => prompt.clone(),
        (_, messages) if messages.is_array() => messages.to_string(),
        _ => return None,
    };
    let end = text.len().min(PREFIX_BYTES);
    Some(order::hash(&text.as_bytes()[..end]))
}

fn final_error(reason: Reason, outcome: &'static str) -> ErrorResponse {
    let (status, message) = match reason {
        Reason::NoneFree(_) => (503, "no engine may take the request now"),
        Reason::Deadline => (504, "the deadline of the request has passed"),
        Reason::Retries => (503, "all tries were refused"),
        Reason::LinkLost => (502, "the backend server was lost while it had the request"),
        Reason::Broken => (502, "the engine failed while it had the request"),
        Reason::CallerGone => (499, "the caller went away"),
    };
    let retry_after = Some(retry_after(reason, clock::now()));
    ErrorResponse {
        status,
        outcome,
        message: message.to_owned(),
        retry_after,
    }
}

fn build_error_response(error_response: &ErrorResponse, id: &str) -> Answer {
    let ErrorResponse {
        status,
        outcome,
        message,
        retry_after,
    } = error_response;
    let mut builder = answer::build(*status);
    builder.insert_header((OUTCOME_HEADER, *outcome));
    builder.insert_header((REQUEST_HEADER, id));
    builder.insert_header((header::CONTENT_TYPE, "application/json"));
    let delay_millis = retry_after.map(|retry_after| retry_after.as_millis() as u64);
    if let Some(delay_millis) = delay_millis {
        builder.insert_header((
            header::RETRY_AFTER,
            delay_millis.div_ceil(1_000).to_string(),
        ));
        builder.insert_header((RETRY_AFTER_HEADER, delay_millis.to_string()));
    }
    let error = json!({
        "outcome": outcome,
        "message": message,
        "request": id,
        "retry_after_millis": delay_millis,
    });
    builder
        .body(json!({ "error": error }).to_string())
        .map_into_boxed_body()
}

fn streamed_response(
    id: &str,
    status: u16,
    content_type: Option<String>,
    version: Option<String>,
    body_receiver: mpsc::Receiver<BodyPart>,
) -> Answer {
    let mut builder = answer::build(status);
    builder.insert_header((REQUEST_HEADER, id));
    if let Some(content_type) = content_type {
        builder.insert_header((header::CONTENT_TYPE, content_type));
    }
    if let Some(version) = version {
        builder.insert_header((VERSION_HEADER, version));
    }
    let body_parts = stream::unfold(Some(body_receiver), |body_receiver| async {
        let mut body_receiver = body_receiver?;
        match body_receiver.recv().await {
            Some(BodyPart::Bytes(bytes)) => Some((Ok(bytes), Some(body_receiver))),
            Some(BodyPart::End) => None,
            // Ends the connection without the end of the body, so that the caller detects the
            // abort.
            Some(BodyPart::Aborted) | None => {
                Some((Err(io::Error::other("the answer broke off")), None))
            }
        }
    });
    answer::stream(builder, body_parts)
}
