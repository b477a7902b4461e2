//! Callers' HTTP: models, plain services, tickets.

use {
    super::{
        Entry,
        job::{Job, Outlet, Part, Target, Word, come_back_after},
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

/// Header that says what became of a request: `answered`, `not-run` or `unknown`.
pub const OUTCOME_HEADER: &str = "gingerpier-outcome";
/// Header with the identifier of a request.
pub const REQUEST_HEADER: &str = "gingerpier-request-id";
/// Header with the `model@version` that answers.
pub const VERSION_HEADER: &str = "gingerpier-version";
/// Header of a caller: `yes` or `no`, whether the request may run more than once.
pub const REPEATABLE_HEADER: &str = "gingerpier-repeatable";
/// Header with a ticket.
pub const KEY_HEADER: &str = "idempotency-key";
/// Header of a caller: milliseconds until it no longer wants the answer.
pub const PATIENCE_HEADER: &str = "gingerpier-patience-millis";
/// Header with the milliseconds to come back after, beside `Retry-After` in whole seconds.
pub const RETURN_HEADER: &str = "gingerpier-retry-after-millis";

/// Tickets given by one call at most.
const MOST_TICKETS: u32 = 1_000;
/// Bytes of a prompt by which requests are kept together.
const PREFIX_BYTES: usize = 256;
/// Parts of an answer that may wait for a slow caller.
const PARTS_WAITING: usize = 16;
/// Path of plain services.
const SERVICES: &str = "/services/";

/// A request refused before anything ran.
struct Refusal {
    status: u16,
    outcome: &'static str,
    why: String,
    come_back: Option<Duration>,
}

impl Refusal {
    fn not_run(status: u16, why: impl ToString) -> Self {
        Self {
            status,
            outcome: "not-run",
            why: why.to_string(),
            come_back: None,
        }
    }
}

#[derive(Deserialize)]
struct Asked {
    model: Name,
    #[serde(default)]
    prompt: serde_json::Value,
    #[serde(default)]
    messages: serde_json::Value,
}

#[derive(Default, Deserialize, Serialize)]
struct TicketsAsked {
    #[serde(default)]
    count: Option<u32>,
}

impl Entry {
    /// Serves callers for as long as the process runs.
    pub fn spawn_caller_server(self: Rc<Self>, listener: Listener) {
        actix_rt::spawn(listener.serve(move |request| {
            let entry = self.clone();
            async move { entry.serve_caller(request).await }
        }));
    }

    async fn serve_caller(self: Rc<Self>, request: Request) -> Answer {
        let named = header_text(&request, REQUEST_HEADER).filter(|id| is_identifier(id));
        let id = named.unwrap_or_else(|| format!("{:016x}", fastrand::u64(..)));
        match self.clone().route_caller(request, &id).await {
            Ok(answer) => answer,
            Err(refusal) => {
                let label = OutcomeLabel {
                    outcome: refusal.outcome.replace('-', "_"),
                    account: "refused".to_owned(),
                };
                self.process.metrics.requests.get_or_create(&label).inc();
                tracing::info!(
                    event = "request_refused",
                    request = id,
                    status = refusal.status,
                    outcome = refusal.outcome,
                    why = refusal.why
                );
                refusal_answer(&refusal, &id)
            }
        }
    }

    async fn route_caller(self: Rc<Self>, request: Request, id: &str) -> Result<Answer, Refusal> {
        let path = request.path().to_owned();
        if path == "/healthz" {
            let status = if self.process.is_leaving() { 503 } else { 200 };
            return Ok(answer::text(
                status,
                if status == 200 { "serving" } else { "leaving" },
            ));
        }
        if self.process.is_leaving() {
            let come_back = Some(Duration::from_millis(1));
            let why = "this entry box is leaving; another one serves at once".to_owned();
            return Err(Refusal {
                status: 503,
                outcome: "not-run",
                why,
                come_back,
            });
        }
        let account = self.account(&request)?;
        match (request.method(), path.as_str()) {
            (&Method::POST, "/v1/tickets") => self.issue_tickets(request).await,
            (&Method::GET, "/v1/models") => Ok(self.list_models(&account)),
            (&Method::POST, path) if path.starts_with("/v1/") => {
                self.serve_model(request, &account, id).await
            }
            (_, path) if path.starts_with(SERVICES) => {
                self.serve_service(request, &account, id).await
            }
            _ => Err(Refusal::not_run(
                404,
                "callers ask /v1/..., /v1/tickets, /v1/models or /services/NAME/...",
            )),
        }
    }

    fn account(&self, request: &Request) -> Result<Account, Refusal> {
        let token = header_text(request, header::AUTHORIZATION.as_str());
        let token = token
            .as_deref()
            .and_then(|value| value.strip_prefix("Bearer "));
        let why = "a client account's token is wanted, as in `Authorization: Bearer TOKEN`";
        let token = token.ok_or_else(|| Refusal::not_run(401, why))?;
        let catalogue = self.process.catalogue_state.catalogue();
        let account = catalogue.account_of_key(Digest::of(token.as_bytes()));
        account
            .cloned()
            .ok_or_else(|| Refusal::not_run(401, "no client account has this token"))
    }

    async fn issue_tickets(&self, mut request: Request) -> Result<Answer, Refusal> {
        let read = body::read(&mut request, 1_024).await.map_err(refuse_body)?;
        let asked = if read.is_empty() {
            TicketsAsked::default()
        } else {
            serde_json::from_slice(&read)
                .map_err(|error| Refusal::not_run(400, format!("the body: {error}")))?
        };
        let count = asked.count.unwrap_or(1).min(MOST_TICKETS);
        let mut claims = self.claims.borrow_mut();
        let now = clock::now();
        let tickets: Vec<String> = (0..count).map(|_| claims.issue(now).to_string()).collect();
        let millis = self.settings.requests.ticket_life.0;
        Ok(answer::json(
            200,
            &json!({ "tickets": tickets, "good_for_millis": millis }),
        ))
    }

    fn list_models(&self, account: &Account) -> Answer {
        let catalogue = self.process.catalogue_state.catalogue();
        let served = catalogue.models().filter(|(key, model)| {
            catalogue.open_versions(*key).next().is_some()
                && !self.zones_for(&model.contracts, &account.name).is_empty()
        });
        let data: Vec<_> = served
            .map(|(_, model)| json!({ "id": model.name, "object": "model" }))
            .collect();
        answer::json(200, &json!({ "object": "list", "data": data }))
    }

    async fn read_body(&self, request: &mut Request) -> Result<Bytes, Refusal> {
        let longest = self.settings.requests.longest_body.0 as usize;
        body::read(request, longest).await.map_err(refuse_body)
    }

    async fn serve_model(
        self: Rc<Self>,
        mut request: Request,
        account: &Account,
        id: &str,
    ) -> Result<Answer, Refusal> {
        let read = self.read_body(&mut request).await?;
        let asked: Asked = serde_json::from_slice(&read)
            .map_err(|error| Refusal::not_run(400, format!("the body: {error}")))?;
        let catalogue = self.process.catalogue_state.catalogue();
        let model = catalogue.model_named(&asked.model);
        let model = model.map_err(|error| Refusal::not_run(404, error))?;
        if self
            .zones_for(&catalogue.model(model).contracts, &account.name)
            .is_empty()
        {
            let why = format!("`{}` is not served to this client account", asked.model);
            return Err(Refusal::not_run(403, why));
        }
        let prefix = prompt_prefix(&asked);
        // A model writes nothing but its answer: to run it twice does no harm by itself.
        let idempotency = idempotency(&request, Idempotency::Idempotent)?;
        let target = Target::Model(model);
        let path = request.uri().to_string();
        let job = self.job(
            &request,
            account,
            id,
            target,
            path,
            read,
            idempotency,
            prefix,
        )?;
        self.run_job(&request, job).await
    }

    async fn serve_service(
        self: Rc<Self>,
        mut request: Request,
        account: &Account,
        id: &str,
    ) -> Result<Answer, Refusal> {
        let read = self.read_body(&mut request).await?;
        let asked = request.uri().to_string();
        let rest = &asked[SERVICES.len()..];
        let (name, path) = rest.split_once('/').unwrap_or((rest, ""));
        let name: Name = name.parse().map_err(|error| Refusal::not_run(400, error))?;
        let safe = matches!(
            *request.method(),
            Method::GET | Method::HEAD | Method::OPTIONS
        );
        let default = if safe {
            Idempotency::Idempotent
        } else {
            Idempotency::NonIdempotent
        };
        let idempotency = idempotency(&request, default)?;
        let target = Target::Service(name);
        let path = format!("/{path}");
        let job = self.job(&request, account, id, target, path, read, idempotency, None)?;
        self.run_job(&request, job).await
    }

    #[expect(clippy::too_many_arguments, reason = "each is a part of one request")]
    fn job(
        &self,
        request: &Request,
        account: &Account,
        id: &str,
        target: Target,
        path: String,
        body: Bytes,
        idempotency: Idempotency,
        prefix: Option<u64>,
    ) -> Result<Job, Refusal> {
        Ok(Job {
            request: id.to_owned(),
            account: account.name.clone(),
            account_key: self.account_key(&account.name, account.rate),
            priority: account.priority,
            target,
            method: request.method().to_string(),
            path,
            content_type: header_text(request, header::CONTENT_TYPE.as_str()),
            body,
            prefix,
            idempotency,
            grant: None,
            deadline: self.deadline(request)?,
        })
    }

    fn deadline(&self, request: &Request) -> Result<Instant, Refusal> {
        let most = self.settings.requests.patience.0;
        let asked = header_text(request, PATIENCE_HEADER).map(|text| text.parse::<u64>());
        let asked = asked.transpose().map_err(|_| {
            Refusal::not_run(
                400,
                format!("{PATIENCE_HEADER} is a whole number of milliseconds"),
            )
        })?;
        Ok(clock::now().after_millis(asked.unwrap_or(most).min(most)))
    }

    /// Admits a job, and gives its answer as it comes.
    async fn run_job(self: Rc<Self>, request: &Request, mut job: Job) -> Result<Answer, Refusal> {
        self.admit(job.account_key)?;
        let granted = self.grant(request, &job).await;
        let settled = granted.inspect_err(|_| {
            self.limits.borrow_mut().record_request_end(job.account_key);
        });
        job.grant = settled?;
        let id = job.request.clone();
        let (word, first) = oneshot::channel();
        let (parts, coming) = mpsc::channel(PARTS_WAITING);
        let outlet = Outlet {
            word: Some(word),
            parts,
        };
        actix_rt::spawn(self.drive(job, outlet));
        match first.await {
            Ok(Word::Head {
                status,
                content_type,
                version,
            }) => Ok(head_answer(&id, status, content_type, version, coming)),
            Ok(Word::NotRun(reason)) => Err(given_up(reason, "not-run")),
            Ok(Word::Unknown(reason)) => Err(given_up(reason, "unknown")),
            Err(_) => Err(given_up(Reason::LinkLost, "unknown")),
        }
    }

    fn admit(&self, account: AccountKey) -> Result<(), Refusal> {
        let demand = self.demand();
        let now = clock::now();
        let admitted = self.limits.borrow_mut().admit(account, demand, now);
        admitted.map_err(|at| Refusal {
            status: 429,
            outcome: "not-run",
            why: "the client account is over its limit or its share".to_owned(),
            come_back: Some(Duration::from_millis(at.millis_since(now).max(1))),
        })
    }

    /// The right to run a request that may not run twice and came with a ticket.
    async fn grant(&self, request: &Request, job: &Job) -> Result<Option<Grant>, Refusal> {
        let Some(key) = header_text(request, KEY_HEADER) else {
            return Ok(None);
        };
        if job.idempotency == Idempotency::Idempotent {
            return Ok(None);
        }
        let ticket: Ticket = key.parse().map_err(|error| Refusal::not_run(400, error))?;
        let refuse = |outcome, why: &str| Refusal {
            status: 409,
            outcome,
            why: why.to_owned(),
            come_back: None,
        };
        match self.claim(ticket).await {
            Verdict::Granted(number) => Ok(Some(Grant { ticket, number })),
            Verdict::Running => Err(refuse(
                "unknown",
                "an earlier try with this ticket runs now",
            )),
            Verdict::Answered => Err(refuse(
                "answered",
                "an earlier try with this ticket ran and was answered",
            )),
            Verdict::Unknown => Err(refuse(
                "unknown",
                "an earlier try with this ticket may have run, and its owner can't tell",
            )),
            Verdict::Forged => Err(Refusal::not_run(400, "the ticket was not issued here")),
        }
    }
}

fn header_text(request: &Request, name: &str) -> Option<String> {
    Some(request.headers().get(name)?.to_str().ok()?.to_owned())
}

fn is_identifier(text: &str) -> bool {
    let allowed = |byte: u8| byte.is_ascii_alphanumeric() || byte == b'-' || byte == b'_';
    !text.is_empty() && text.len() <= 64 && text.bytes().all(allowed)
}

fn refuse_body(error: body::Error) -> Refusal {
    Refusal::not_run(error.status(), error)
}

fn idempotency(request: &Request, default: Idempotency) -> Result<Idempotency, Refusal> {
    match header_text(request, REPEATABLE_HEADER).as_deref() {
        None => Ok(default),
        Some("yes") => Ok(Idempotency::Idempotent),
        Some("no") => Ok(Idempotency::NonIdempotent),
        Some(_) => Err(Refusal::not_run(
            400,
            format!("{REPEATABLE_HEADER} is `yes` or `no`"),
        )),
    }
}

/// Hash of the start of what is asked, so that engines that hold it in their caches are found.
fn prompt_prefix(asked: &Asked) -> Option<u64> {
    let text = match (&asked.prompt, &asked.messages) {
        (serde_json::Value::String(prompt), _) => prompt.clone(),
        (_, messages) if messages.is_array() => messages.to_string(),
        _ => return None,
    };
    let end = text.len().min(PREFIX_BYTES);
    Some(order::hash(&text.as_bytes()[..end]))
}

fn given_up(reason: Reason, outcome: &'static str) -> Refusal {
    let (status, why) = match reason {
        Reason::NoneFree(_) => (503, "no engine may take the request now"),
        Reason::Deadline => (504, "the deadline of the request has passed"),
        Reason::Retries => (503, "all tries were refused"),
        Reason::LinkLost => (502, "the backend server was lost while it had the request"),
        Reason::Broken => (502, "the engine failed while it had the request"),
        Reason::CallerGone => (499, "the caller went away"),
    };
    let come_back = Some(come_back_after(reason, clock::now()));
    Refusal {
        status,
        outcome,
        why: why.to_owned(),
        come_back,
    }
}

fn refusal_answer(refusal: &Refusal, id: &str) -> Answer {
    let Refusal {
        status,
        outcome,
        why,
        come_back,
    } = refusal;
    let mut builder = answer::build(*status);
    builder.insert_header((OUTCOME_HEADER, *outcome));
    builder.insert_header((REQUEST_HEADER, id));
    builder.insert_header((header::CONTENT_TYPE, "application/json"));
    let millis = come_back.map(|come_back| come_back.as_millis() as u64);
    if let Some(millis) = millis {
        builder.insert_header((header::RETRY_AFTER, millis.div_ceil(1_000).to_string()));
        builder.insert_header((RETURN_HEADER, millis.to_string()));
    }
    let error = json!({
        "outcome": outcome,
        "message": why,
        "request": id,
        "retry_after_millis": millis,
    });
    builder
        .body(json!({ "error": error }).to_string())
        .map_into_boxed_body()
}

fn head_answer(
    id: &str,
    status: u16,
    content_type: Option<String>,
    version: Option<String>,
    coming: mpsc::Receiver<Part>,
) -> Answer {
    let mut builder = answer::build(status);
    builder.insert_header((REQUEST_HEADER, id));
    if let Some(content_type) = content_type {
        builder.insert_header((header::CONTENT_TYPE, content_type));
    }
    if let Some(version) = version {
        builder.insert_header((VERSION_HEADER, version));
    }
    let parts = stream::unfold(Some(coming), |coming| async {
        let mut coming = coming?;
        match coming.recv().await {
            Some(Part::Bytes(bytes)) => Some((Ok(bytes), Some(coming))),
            Some(Part::End) => None,
            // The connection is closed without the mark of a body's end.
            Some(Part::Broken) | None => {
                Some((Err(io::Error::other("the answer broke off")), None))
            }
        }
    });
    answer::stream(builder, parts)
}
