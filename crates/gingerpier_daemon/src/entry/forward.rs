//! Forwards one request: selects an engine, sends attempts, relays the response and retries.

use {
    super::{
        Entry,
        caller_request::{
            AdmittedVersion, BodyPart, CallerRequest, ResponseSender, ResponseStart, Target,
        },
    },
    crate::{clock, metrics::OutcomeLabel},
    bytes::{Bytes, BytesMut},
    gingerpier_base::{Name, place::Incarnation},
    gingerpier_link::{Link, Stream},
    gingerpier_membership::{BoxKey, Member},
    gingerpier_once::{
        claims::Settlement,
        dedup::{self, AttemptKey, Revocation},
        lifecycle::{Action, Event, Lifecycle, Reason},
    },
    gingerpier_routing::router::{Criteria, EngineKey, Refusal},
    gingerpier_wire::{
        Reply, Request,
        frame::{Attempt, Head},
    },
    std::{pin::pin, rc::Rc},
    tokio::sync::mpsc,
};

/// Limit on engines that refuse a request because it can't start at once, before it may be queued.
const MAX_QUEUEING_REFUSALS: usize = 6;
/// Timeout of a backend server's response to a revocation.
const REVOKE_TIMEOUT_MILLIS: u64 = 3_000;
/// Interval between checks for a re-established link.
const LINK_POLL_MILLIS: u64 = 50;
/// Bytes read from a link at once.
const READ_BYTES: usize = 64 << 10;
/// Retry delay of the caller if no engine has the version.
const RETRY_AFTER_MILLIS: u64 = 1_000;
/// End of an event in an event stream.
const EVENT_END: &[u8] = b"\n\n";
/// Content type of an event stream.
const EVENT_STREAM: &str = "text/event-stream";

/// Engine chosen for an attempt, with its backend server.
#[derive(Debug, Clone)]
struct EngineChoice {
    engine: EngineKey,
    name: Name,
    server: BoxKey,
    incarnation: Incarnation,
    admitted: Option<AdmittedVersion>,
}

/// Part of the response that was forwarded to the caller.
#[derive(Default)]
struct ForwardedResponse {
    has_head: bool,
    event_count: u64,
    /// Bytes of an incomplete event.
    incomplete_event: BytesMut,
    is_event_stream: bool,
}

/// State of one request while it is forwarded.
struct Forwarder {
    entry: Rc<Entry>,
    caller_request: CallerRequest,
    response_sender: ResponseSender,
    lifecycle: Lifecycle,
    /// Engines that got an attempt; not selected again.
    tried: Vec<EngineKey>,
    /// Engines that could not start the request at once; not selected again while others may.
    refused_queueing: Vec<EngineKey>,
    /// True while only an engine that can start the request at once is accepted.
    avoids_queueing: bool,
    choice: Option<EngineChoice>,
    forwarded: ForwardedResponse,
    attempts: u32,
}

impl Entry {
    /// Forwards a request until its response ends.
    pub async fn forward(
        self: Rc<Self>,
        caller_request: CallerRequest,
        response_sender: ResponseSender,
    ) {
        self.record_request_start();
        self.budget.borrow_mut().record_first_attempt();
        let resumable = matches!(caller_request.target, Target::Model(_));
        let max_attempts = self.settings.requests.tries;
        let lifecycle = Lifecycle::new(
            caller_request.idempotency,
            caller_request.deadline,
            max_attempts,
            resumable,
        );
        let forwarder = Forwarder {
            entry: self.clone(),
            caller_request,
            response_sender,
            lifecycle,
            tried: Vec::new(),
            refused_queueing: Vec::new(),
            avoids_queueing: true,
            choice: None,
            forwarded: ForwardedResponse::default(),
            attempts: 0,
        };
        forwarder.run().await;
        self.record_request_end();
    }
}

impl Forwarder {
    async fn run(mut self) {
        let mut actions = [Some(Action::SelectEngine), None];
        loop {
            let mut event = None;
            for action in actions.into_iter().flatten() {
                match self.execute(action).await {
                    Some(next) => event = Some(next),
                    None => continue,
                }
            }
            let Some(event) = event else { break };
            actions = self.step(event);
        }
        let account = self.caller_request.account_key;
        self.entry.limits.borrow_mut().record_request_end(account);
    }

    fn step(&mut self, event: Event) -> [Option<Action>; 2] {
        let entry = self.entry.process.hello.incarnation;
        let key = AttemptKey {
            entry,
            number: self.entry.process.next_attempt(),
        };
        self.lifecycle.step(event, key, clock::now())
    }

    /// Executes an action of the lifecycle; returns the resulting event, or `None` after a final
    /// action.
    async fn execute(&mut self, action: Action) -> Option<Event> {
        match action {
            Action::SelectEngine | Action::Resume => Some(self.select_engine()),
            Action::Send(key) => Some(self.attempt(key).await),
            Action::Revoke(key) => self.revoke(key).await,
            Action::ReportNotRun(reason) => {
                self.settle(Settlement::NotRun).await;
                self.record_outcome("not_run", Some(reason));
                self.response_sender
                    .send_start(ResponseStart::NotRun(reason));
                None
            }
            Action::ReportUnknown(reason) => {
                self.settle(Settlement::Unknown).await;
                self.record_outcome("unknown", Some(reason));
                self.response_sender
                    .send_start(ResponseStart::Unknown(reason));
                None
            }
            Action::AbortResponse(reason) => {
                self.settle(Settlement::Unknown).await;
                self.record_outcome("broken_off", Some(reason));
                self.response_sender.send_part(BodyPart::Aborted).await;
                None
            }
            Action::Complete => {
                self.settle(Settlement::Answered).await;
                self.record_outcome("answered", None);
                self.response_sender.send_part(BodyPart::End).await;
                None
            }
        }
    }

    async fn settle(&self, settlement: Settlement) {
        if let Some(grant) = self.caller_request.grant {
            self.entry.settle(grant, settlement).await;
        }
    }

    fn record_outcome(&self, outcome: &str, reason: Option<Reason>) {
        let account = self.caller_request.account.to_string();
        let label = OutcomeLabel {
            outcome: outcome.to_owned(),
            account,
        };
        self.entry
            .process
            .metrics
            .requests
            .get_or_create(&label)
            .inc();
        let reason = reason.map(|reason| format!("{reason:?}"));
        tracing::info!(event = "request_ended", request = self.caller_request.request, outcome,
            account = %self.caller_request.account, attempts = self.attempts, reason);
    }

    fn select_engine(&mut self) -> Event {
        let now = clock::now();
        // Only attempts after one that may have run use the retry budget, as a refusal costs
        // little.
        if self.lifecycle.may_have_run() {
            if !self.entry.budget.borrow_mut().try_spend() {
                return Event::NoneFree(now.after_millis(RETRY_AFTER_MILLIS));
            }
            self.entry.process.metrics.retries.inc();
        }
        if self.avoids_queueing {
            let excluded = [self.tried.as_slice(), &self.refused_queueing].concat();
            if let Ok(event) = self.select_engine_except(&excluded) {
                return event;
            }
            self.avoids_queueing = false;
        }
        let tried = self.tried.clone();
        match self.select_engine_except(&tried) {
            Ok(event) => event,
            Err(Refusal::Full(at)) => Event::NoneFree(at),
            // All engines were tried; the caller should retry later.
            Err(Refusal::NoEngine) => Event::NoneFree(now.after_millis(RETRY_AFTER_MILLIS)),
        }
    }

    fn select_engine_except(&mut self, excluded: &[EngineKey]) -> Result<Event, Refusal> {
        // After the response has started, only the same version may continue it.
        let required_version = self.choice.as_ref().and_then(|choice| choice.admitted);
        let required_version = required_version.filter(|_| self.forwarded.has_head);
        let (admitted, pools) =
            self.entry
                .pools_for(&self.caller_request, required_version, excluded);
        let now = clock::now();
        let criteria = Criteria {
            pools: &pools,
            prefix_hash: self.caller_request.prefix_hash,
            tried: excluded,
            now,
        };
        let chosen = self.entry.fleet.borrow_mut().router().choose(criteria)?;
        Ok(self.accept_choice(chosen, admitted))
    }

    fn accept_choice(&mut self, engine: EngineKey, admitted: Option<AdmittedVersion>) -> Event {
        let none_free = Event::NoneFree(clock::now().after_millis(RETRY_AFTER_MILLIS));
        let fleet = self.entry.fleet.borrow();
        let Some(known_engine) = fleet.engine(engine) else {
            return none_free;
        };
        let members = self.entry.members.borrow();
        let incarnation = members
            .get(known_engine.server)
            .and_then(Member::incarnation);
        let Some(incarnation) = incarnation else {
            return none_free;
        };
        self.choice = Some(EngineChoice {
            engine,
            name: known_engine.status.name.clone(),
            server: known_engine.server,
            incarnation,
            admitted,
        });
        Event::EngineSelected
    }

    /// Sends an attempt and relays its response; returns the event that ended it.
    async fn attempt(&mut self, key: AttemptKey) -> Event {
        let Some(choice) = self.choice.clone() else {
            return Event::LinkLost;
        };
        self.attempts += 1;
        let Some(link) = self.entry.links.get(choice.server) else {
            return Event::LinkLost;
        };
        self.entry
            .fleet
            .borrow_mut()
            .router()
            .record_request_start(choice.engine);
        let event = self.run_attempt(key, &choice, &link).await;
        self.entry
            .fleet
            .borrow_mut()
            .router()
            .record_request_end(choice.engine);
        if event == Event::Refused(dedup::Refusal::Full) && self.avoids_queueing {
            self.refused_queueing.push(choice.engine);
            self.avoids_queueing = self.refused_queueing.len() < MAX_QUEUEING_REFUSALS;
            return Event::QueueingRefused;
        }
        self.tried.push(choice.engine);
        event
    }

    async fn run_attempt(&mut self, key: AttemptKey, choice: &EngineChoice, link: &Link) -> Event {
        let mut reader = ResponseReader::spawn(
            self.attempt_frame(key, choice),
            self.caller_request.body.clone(),
            link.clone(),
        );
        loop {
            let deadline = clock::until(self.caller_request.deadline);
            let message = {
                let next = pin!(reader.next());
                let deadline_passed = pin!(deadline);
                let caller_gone = pin!(self.response_sender.caller_disconnected());
                tokio::select! {
                    biased;
                    message = next => message,
                    () = caller_gone => return Event::CallerGone,
                    () = deadline_passed => return Event::Tick,
                }
            };
            if let Some(event) = self.handle_message(message, choice).await {
                return event;
            }
        }
    }

    fn attempt_frame(&self, key: AttemptKey, choice: &EngineChoice) -> Attempt {
        Attempt {
            key,
            addressed: choice.incarnation,
            request: self.caller_request.request.clone(),
            engine: choice.name.clone(),
            weights: choice.admitted.map(|admitted| admitted.weights),
            adapter: choice.admitted.and_then(|admitted| admitted.adapter),
            method: self.caller_request.method.clone(),
            path: self.caller_request.path.clone(),
            content_type: self.caller_request.content_type.clone(),
            millis_left: clock::left(self.caller_request.deadline).as_millis() as u64,
            body_length: self.caller_request.body.len() as u32,
            priority: self.caller_request.priority,
            resume_after: self
                .forwarded
                .has_head
                .then_some(self.forwarded.event_count),
            at_once: self.avoids_queueing,
        }
    }

    /// Handles a message of the backend server; returns an event if the attempt has ended.
    async fn handle_message(&mut self, message: Message, choice: &EngineChoice) -> Option<Event> {
        match message {
            Message::Head(head) => self.handle_head(head, choice),
            Message::Bytes(bytes) => {
                (!self.forward_bytes(bytes).await).then_some(Event::CallerGone)
            }
            Message::End => {
                // Data after the last event is part of the response.
                let remaining = self.forwarded.incomplete_event.split().freeze();
                let caller_gone = !remaining.is_empty()
                    && !self
                        .response_sender
                        .send_part(BodyPart::Bytes(remaining))
                        .await;
                Some(if caller_gone {
                    Event::CallerGone
                } else {
                    Event::ResponseFinished
                })
            }
            Message::Event(event) => Some(event),
            Message::Load(others) => {
                let mut fleet = self.entry.fleet.borrow_mut();
                fleet
                    .router()
                    .record_observed_load(choice.engine, others, clock::now());
                None
            }
        }
    }

    fn handle_head(&mut self, head: Head, choice: &EngineChoice) -> Option<Event> {
        let expected_weights = choice.admitted.map(|admitted| admitted.weights);
        if (200..300).contains(&head.status) && head.weights != expected_weights {
            return Some(Event::Broken);
        }
        if self.forwarded.has_head {
            // The response of a resumed request must be its continuation.
            self.step(Event::ResponseStarted);
            return (head.status != 200).then_some(Event::Broken);
        }
        self.forwarded.has_head = true;
        self.forwarded.is_event_stream = head
            .content_type
            .as_deref()
            .is_some_and(|kind| kind.starts_with(EVENT_STREAM));
        if !self.forwarded.is_event_stream {
            self.lifecycle.disable_resume();
        }
        let catalogue = self.entry.process.catalogue_state.catalogue();
        let version = choice
            .admitted
            .map(|admitted| catalogue.label(admitted.version));
        let Head {
            status,
            content_type,
            ..
        } = head;
        let timeout_millis = self.entry.settings.requests.patience.0;
        let remaining = clock::left(self.caller_request.deadline).as_secs_f64();
        self.entry
            .process
            .metrics
            .time_to_first_part
            .observe(timeout_millis as f64 / 1e3 - remaining);
        self.response_sender.send_start(ResponseStart::Head {
            status,
            content_type,
            version,
        });
        self.step(Event::ResponseStarted);
        None
    }

    /// Forwards data; of event streams only complete events, so that another engine can resume
    /// behind the last one. Returns false if the caller has disconnected.
    async fn forward_bytes(&mut self, bytes: Bytes) -> bool {
        if !self.forwarded.is_event_stream {
            return self.response_sender.send_part(BodyPart::Bytes(bytes)).await;
        }
        self.forwarded.incomplete_event.extend_from_slice(&bytes);
        let Some(last_event_end) = rfind(&self.forwarded.incomplete_event, EVENT_END) else {
            return true;
        };
        let events = self
            .forwarded
            .incomplete_event
            .split_to(last_event_end + EVENT_END.len())
            .freeze();
        self.forwarded.event_count += count(&events, EVENT_END);
        self.response_sender
            .send_part(BodyPart::Bytes(events))
            .await
    }

    /// Revokes an attempt; doesn't wait for the response if the request has ended.
    async fn revoke(&mut self, key: AttemptKey) -> Option<Event> {
        // Incomplete events are not forwarded.
        self.forwarded.incomplete_event.clear();
        let choice = self.choice.clone()?;
        let revocation = revoke_at_server(self.entry.clone(), key, choice.clone());
        if self.lifecycle.attempt().is_none() {
            actix_rt::spawn(revocation);
            return None;
        }
        let mut revocation = pin!(revocation);
        let deadline = clock::until(self.caller_request.deadline);
        tokio::select! {
            biased;
            event = &mut revocation => Some(event),
            () = self.response_sender.caller_disconnected() => Some(Event::CallerGone),
            () = deadline => Some(Event::Tick),
        }
    }
}

async fn revoke_at_server(entry: Rc<Entry>, key: AttemptKey, choice: EngineChoice) -> Event {
    let deadline = clock::now().after_millis(REVOKE_TIMEOUT_MILLIS);
    while !deadline.has_passed(clock::now()) {
        if let Some(link) = entry
            .links
            .get(choice.server)
            .filter(|link| !link.is_closed())
        {
            let response = send_revocation(&link, key, choice.incarnation);
            match clock::before(deadline, response).await {
                Some(Ok(revocation)) => return Event::Revoked(revocation),
                Some(Err(error)) => tracing::debug!(event = "revocation_lost", %error),
                None => return Event::LinkLost,
            }
        }
        clock::pause(LINK_POLL_MILLIS).await;
    }
    Event::LinkLost
}

async fn send_revocation(
    link: &Link,
    key: AttemptKey,
    addressed: Incarnation,
) -> Result<Revocation, gingerpier_link::Error> {
    let mut stream = link.open().await?;
    stream.send(&Request::Revoke { key, addressed }).await?;
    stream.finish();
    match stream.receive::<Reply>().await? {
        Reply::Revoked(revocation) => Ok(revocation),
        _ => Ok(Revocation::Unknown),
    }
}

/// Message of a backend server about an attempt.
enum Message {
    /// Number of requests of other entry boxes at the engine.
    Load(u32),
    Head(Head),
    Bytes(Bytes),
    /// The response is complete.
    End,
    /// The attempt ended otherwise.
    Event(Event),
}

/// Receives the response in a separate task, so that waiting for a message can be cancelled without
/// losing one.
struct ResponseReader {
    messages: mpsc::Receiver<Message>,
    task: actix_rt::task::JoinHandle<()>,
}

impl Drop for ResponseReader {
    fn drop(&mut self) {
        self.task.abort();
    }
}

impl ResponseReader {
    fn spawn(attempt: Attempt, body: Bytes, link: Link) -> Self {
        let (sender, messages) = mpsc::channel(4);
        let task = actix_rt::spawn(async move {
            let last_message = match exchange(attempt, body, &link, &sender).await {
                Ok(last_message) => last_message,
                Err(error) => {
                    tracing::debug!(event = "attempt_lost", %error);
                    Message::Event(Event::LinkLost)
                }
            };
            // The request may have ended.
            let _ = sender.send(last_message).await;
        });
        Self { messages, task }
    }

    async fn next(&mut self) -> Message {
        self.messages
            .recv()
            .await
            .unwrap_or(Message::Event(Event::LinkLost))
    }
}

/// Sends an attempt and receives its response; returns the last message.
async fn exchange(
    attempt: Attempt,
    body: Bytes,
    link: &Link,
    messages: &mpsc::Sender<Message>,
) -> Result<Message, gingerpier_link::Error> {
    let mut stream = link.open().await?;
    stream.send(&Request::Attempt(attempt)).await?;
    stream.send_shared(body).await?;
    stream.finish();
    let mut bytes = 0;
    loop {
        match stream.receive::<Reply>().await? {
            Reply::Refused { refusal, others } => {
                send_load(messages, others).await;
                return Ok(Message::Event(Event::Refused(refusal)));
            }
            Reply::Head(head) => drop(messages.send(Message::Head(head)).await),
            Reply::Body { length } => {
                bytes += u64::from(length);
                receive_body(&mut stream, length as usize, messages).await?;
            }
            // A different length means that data was lost.
            Reply::End {
                bytes: sent,
                others,
            } if sent == bytes => {
                send_load(messages, others).await;
                return Ok(Message::End);
            }
            _ => return Ok(Message::Event(Event::Broken)),
        }
    }
}

async fn send_load(messages: &mpsc::Sender<Message>, others: Option<u32>) {
    if let Some(others) = others {
        drop(messages.send(Message::Load(others)).await);
    }
}

async fn receive_body(
    stream: &mut Stream,
    mut remaining: usize,
    messages: &mpsc::Sender<Message>,
) -> Result<(), gingerpier_link::Error> {
    while remaining > 0 {
        let part = stream.receive_some(remaining.min(READ_BYTES)).await?;
        remaining -= part.len();
        drop(messages.send(Message::Bytes(part)).await);
    }
    Ok(())
}

fn rfind(bytes: &[u8], pattern: &[u8]) -> Option<usize> {
    bytes
        .windows(pattern.len())
        .rposition(|window| window == pattern)
}

fn count(bytes: &[u8], pattern: &[u8]) -> u64 {
    bytes
        .windows(pattern.len())
        .filter(|window| *window == pattern)
        .count() as u64
}
