//! The course of one request: engines, retries and the final answer.

use {
    super::{
        After,
        answer::{self, Refusal},
        attempt::{self, Begun, Cause, Failed, Sent},
        call::{Call, Sending},
        stream::{self, Progress},
    },
    crate::{
        clock, log,
        metrics::{Ended as EndedLabel, Ending},
        state::State,
    },
    bytes::Bytes,
    gingerpier_base::Instant,
    gingerpier_http1::{
        connection::Connection,
        head::{Request, Response},
        writer::Message,
    },
    gingerpier_serving::{
        admission::{self, Choice, Demand, Due},
        course::{Failure, Next, Standing},
        fleet::EngineKey,
        report::Version,
    },
    std::rc::Rc,
};

/// Longest body of an answer that is no stream, in bytes.
const MAX_ANSWER_BYTES: usize = 4 * 1024 * 1024;

/// Bytes that a caller may send ahead of its answer.
const MAX_AHEAD_BYTES: usize = 64 * 1024;

/// Fields of an answer that concern one connection.
const CONNECTION_FIELDS: [&str; 8] = [
    "connection",
    "keep-alive",
    "proxy-connection",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
    "content-length",
];

/// Shortest and longest time after which a refused caller may come again, in seconds.
const RETRY_AFTER: std::ops::Range<f64> = 0.25..0.9;

/// How an attempt ended.
pub enum Ended {
    /// The caller has its whole answer.
    Done,
    /// The caller left.
    Left,
    /// The time of the request is up.
    TimedOut,
    /// It brought nothing whole.
    Failed(Failed),
    /// The engine failed, and this is its answer.
    Answered(Whole),
}

/// An engine's whole answer.
pub struct Whole {
    /// Head.
    pub head: Response,
    /// Body.
    pub body: Bytes,
}

/// Waits until the caller's connection ends.
pub async fn left(caller: &mut Connection) {
    while caller.input.len() < MAX_AHEAD_BYTES {
        if !matches!(caller.read().await, Ok(true)) {
            return;
        }
    }
    std::future::pending().await
}

/// A request on its way.
pub struct Course<'a, 'c> {
    /// State of the process.
    pub state: &'a Rc<State>,
    /// The request.
    pub call: &'a Call<'c>,
    standing: Standing,
    tried: Vec<EngineKey>,
    predicted_millis: f64,
    sent_at: Option<Instant>,
    cause: Option<Cause>,
}

/// Sends a request to engines until its caller has a final answer.
pub async fn forward(state: &Rc<State>, caller: &mut Connection, call: &Call<'_>) -> After {
    let rules = call.rules();
    let mut course = Course {
        state,
        call,
        standing: Standing {
            repeat: rules.repeat,
            attempts: 0,
            max_attempts: rules.max_attempts,
            may_have_run: false,
            deadline: call.deadline,
        },
        tried: Vec::new(),
        predicted_millis: 0.0,
        sent_at: None,
        cause: None,
    };
    course.run(caller).await
}

impl Course<'_, '_> {
    async fn run(&mut self, caller: &mut Connection) -> After {
        let mut progress = Progress::default();
        let mut fallback = None;
        loop {
            let Some(engine) = self.choose(&progress) else {
                let next = self.standing.give_up();
                return self.finish(caller, next, &progress, fallback).await;
            };
            self.note_attempt(engine);
            let ended = self.attempt(caller, engine, &mut progress).await;
            let failed = match ended {
                Ended::Done => return self.note_done(&progress),
                Ended::Left => return self.note_left(),
                Ended::TimedOut => {
                    self.standing.may_have_run = true;
                    let next = Next::TimeOut;
                    return self.finish(caller, next, &progress, fallback).await;
                }
                Ended::Failed(failed) => failed,
                Ended::Answered(whole) => {
                    fallback = Some(whole);
                    Failed {
                        failure: Failure::Unknown,
                        cause: Cause::EngineFailed,
                    }
                }
            };
            self.note_failed(engine, failed);
            let now = clock::now();
            let can_move = self.choose(&progress).is_some();
            let pay = || can_move && self.state.take_retry(&self.call.target().name, now);
            let mut standing = self.standing;
            let next = standing.after(failed.failure, now, pay);
            self.standing = standing;
            if next != Next::TryAnother {
                return self.finish(caller, next, &progress, fallback).await;
            }
        }
    }

    fn note_attempt(&mut self, engine: EngineKey) {
        if self.standing.attempts == 0 {
            let service = &self.call.target().name;
            self.state.note_request(service, clock::now());
        }
        self.standing.attempts += 1;
        self.sent_at = Some(clock::now());
        self.tried.push(engine);
    }

    /// True where another engine could take the request now.
    pub fn can_move(&mut self, progress: &Progress) -> bool {
        let repeat = self.standing.repeat.is_idempotent();
        let has_attempts = self.standing.attempts < self.standing.max_attempts;
        repeat && has_attempts && self.choose(progress).is_some()
    }

    fn due(&self) -> Vec<Due> {
        let model = self.call.model.as_deref();
        model.map_or_else(Vec::new, |model| self.state.due(model))
    }

    fn choose(&mut self, progress: &Progress) -> Option<EngineKey> {
        let call = self.call;
        let now = clock::now();
        let due = self.due();
        let demand = Demand {
            service: &call.target().name,
            engines: call.engines(),
            model: call.model.as_deref(),
            due: &due,
            goes_on_with: progress.has_begun().then(|| progress.version()),
            prompt_tokens: call.prompt_tokens,
            target_millis: call.rules().target_millis,
            has_returned: call.has_returned || self.standing.attempts > 0,
            zone: &self.state.settings.zone,
            tried: &self.tried,
        };
        let fleet = self.state.fleet.borrow();
        match admission::choose(&fleet, &demand, now, self.state.identity) {
            Choice::Send {
                engine,
                predicted_millis,
            } => {
                self.predicted_millis = predicted_millis;
                Some(engine)
            }
            Choice::Full { predicted_millis } => {
                self.predicted_millis = predicted_millis;
                None
            }
            Choice::NoEngine => None,
        }
    }

    async fn attempt(
        &mut self,
        caller: &mut Connection,
        engine: EngineKey,
        progress: &mut Progress,
    ) -> Ended {
        let state = self.state;
        let call = self.call;
        let mut sent = Sent::new(state, engine, call.prompt_tokens);
        let last_event = progress.last_event().cloned();
        let sending = Sending {
            now: clock::now(),
            expect_version: self.expect_version(engine, progress),
            last_event: last_event.as_deref(),
            wants_new_connection: self.is_outdated(engine),
        };
        let mut patience = stream::first_patience(call, sending.now);
        let begin = attempt::begin(state, call, engine, &sending);
        tokio::pin!(begin);
        let begun = loop {
            tokio::select! {
                biased;
                begun = &mut begin => break begun,
                () = left(caller) => return Ended::Left,
                () = clock::until(call.deadline) => return Ended::TimedOut,
                () = clock::until(patience) => {
                    if self.can_move(progress) {
                        return Ended::Failed(stream::SILENT);
                    }
                    patience = stream::next_patience();
                }
            }
        };
        match begun {
            Err(failed) => Ended::Failed(failed),
            Ok(begun) => self.take(caller, begun, progress, &mut sent).await,
        }
    }

    /// Version that alone may run the request: that of the stream which goes on, or that which
    /// the engine is known to hold once some version came due.
    fn expect_version(&self, engine: EngineKey, progress: &Progress) -> Version {
        if progress.has_begun() {
            return progress.version();
        }
        let now = clock::now();
        let least = admission::least_version(&self.due(), now);
        let fleet = self.state.fleet.borrow();
        let model = self.call.model.as_deref();
        let held = model.and_then(|model| fleet.engine(engine).version_of(model, now));
        held.filter(|held| least > Version::default() && *held >= least)
            .unwrap_or_default()
    }

    /// True where newer weights than the engine's were named.
    fn is_outdated(&self, engine: EngineKey) -> bool {
        let fleet = self.state.fleet.borrow();
        let model = self.call.model.as_deref();
        let held = model.and_then(|model| fleet.engine(engine).version_of(model, clock::now()));
        held.is_some_and(|held| self.due().iter().any(|due| due.version > held))
    }

    async fn take(
        &mut self,
        caller: &mut Connection,
        begun: Begun,
        progress: &mut Progress,
        sent: &mut Sent,
    ) -> Ended {
        let names = self.state.dialect.names();
        let head = &begun.head;
        let is_refused = head.status == 421 || head.fields.get(names.not_run).is_some();
        let is_success = (200..300).contains(&head.status);
        if is_success {
            let is_sealed = head.fields.get(names.seal).is_some();
            if is_refused || !is_sealed || head.fields.get("content-encoding").is_some() {
                return Ended::Failed(attempt::garbled());
            }
            if self.standing.repeat.is_stream() {
                return stream::relay(self, caller, begun, progress, sent).await;
            }
        }
        let engine = sent.engine;
        match self.read_whole(caller, begun, engine).await {
            Err(ended) => ended,
            Ok(whole) if is_refused => Ended::Failed(refused(whole.head.status)),
            Ok(whole) => self.pass(caller, whole, engine, progress).await,
        }
    }

    async fn read_whole(
        &mut self,
        caller: &mut Connection,
        begun: Begun,
        engine: EngineKey,
    ) -> Result<Whole, Ended> {
        let Begun {
            mut connection,
            head,
            decoder,
            is_sent,
        } = begun;
        let body = tokio::select! {
            biased;
            body = connection.body(decoder, MAX_ANSWER_BYTES) => body,
            () = left(caller) => return Err(Ended::Left),
            () = clock::until(self.call.deadline) => return Err(Ended::TimedOut),
        };
        let body = body.map_err(|error| Ended::Failed(attempt::failed(error)))?;
        if is_sent {
            let mut pool = self.state.pool.borrow_mut();
            pool.put(engine, connection, &head);
        }
        Ok(Whole { head, body })
    }

    /// Passes an engine's whole answer on, or keeps it where another engine may do better.
    async fn pass(
        &mut self,
        caller: &mut Connection,
        whole: Whole,
        engine: EngineKey,
        progress: &mut Progress,
    ) -> Ended {
        let status = whole.head.status;
        if status >= 500 || matches!(status, 408 | 429) || progress.has_begun() {
            return Ended::Answered(whole);
        }
        self.note_success(engine);
        self.note_first();
        match self.write_whole(caller, &whole).await {
            true => Ended::Done,
            false => Ended::Left,
        }
    }

    fn note_success(&self, engine: EngineKey) {
        let mut fleet = self.state.fleet.borrow_mut();
        fleet.engine_mut(engine).note_success();
    }

    async fn write_whole(&self, caller: &mut Connection, whole: &Whole) -> bool {
        let bytes = self.head_of(&whole.head).body(&whole.body);
        let written = clock::before(self.call.deadline.after_millis(500), caller.write(&bytes));
        matches!(written.await, Some(Ok(())))
    }

    /// Head of an engine's answer, as it goes to the caller; its length is still to be told.
    pub fn head_of(&self, head: &Response) -> Message {
        let mut message = Message::response(head.status);
        for (name, value) in head.fields.iter() {
            let is = |other: &str| name.eq_ignore_ascii_case(other.as_bytes());
            if !CONNECTION_FIELDS.into_iter().any(is) {
                message = message.field(name, value);
            }
        }
        if self.closes() {
            message = message.field(b"connection", b"close");
        }
        message
    }

    fn closes(&self) -> bool {
        self.state.is_stopping.get() || !self.call.request.keeps_alive()
    }

    /// Notes the first bytes of an answer, and whether they came as predicted.
    pub fn note_first(&self) {
        let now = clock::now();
        let millis = now.millis_since(self.call.received);
        self.state.metrics.first.observe(millis as f64);
        if let (Some(engine), Some(sent)) = (self.tried.last(), self.sent_at) {
            let late = now.millis_since(sent) as f64 - self.predicted_millis;
            let mut fleet = self.state.fleet.borrow_mut();
            fleet.engine_mut(*engine).note_lateness(late);
        }
    }

    fn note_failed(&mut self, engine: EngineKey, failed: Failed) {
        self.cause = Some(failed.cause);
        let now = clock::now();
        let mut fleet = self.state.fleet.borrow_mut();
        let engine = fleet.engine_mut(engine);
        match failed.cause {
            Cause::Unreachable | Cause::Broken => engine.note_failure(now),
            Cause::Silent => engine.note_silence(now),
            Cause::Garbled | Cause::EngineFailed => engine.note_trouble(),
            Cause::Full | Cause::Elsewhere => engine.rest(now.after_millis(FULL_REST_MILLIS)),
        }
        if log::allows_request_line() {
            tracing::info!(
                id = self.call.id(self.state.dialect.names()),
                engine = engine.record.id,
                cause = ?failed.cause,
                failure = ?failed.failure,
                report_age = ?engine.report_age(now),
                attempts = self.standing.attempts,
                "attempt failed"
            );
        }
    }

    async fn finish(
        &mut self,
        caller: &mut Connection,
        next: Next,
        progress: &Progress,
        fallback: Option<Whole>,
    ) -> After {
        if progress.has_begun() {
            self.log(Ending::Failed, progress);
            return After::Close;
        }
        if let Some(whole) = fallback.filter(|whole| may_pass(whole.head.status)) {
            self.log(Ending::Answered, progress);
            return match self.write_whole(caller, &whole).await {
                true => After::Keep,
                false => After::Close,
            };
        }
        let (refusal, ending) = match next {
            Next::Fail | Next::TryAnother => (Refusal::Failed, Ending::Failed),
            Next::TimeOut => (Refusal::TimedOut, Ending::TimedOut),
            Next::Refuse => (
                Refusal::NotRun {
                    retry_after: self.retry_after(),
                },
                Ending::Refused,
            ),
        };
        self.log(ending, progress);
        let names = self.state.dialect.names();
        let bytes = answer::refusal(refusal, self.call.request, names, self.closes());
        match caller.write(&bytes).await {
            Ok(()) => After::Keep,
            Err(_) => After::Close,
        }
    }

    /// Seconds after which the caller may come again: within a third of what it has left.
    fn retry_after(&self) -> f64 {
        let left = self.call.caller_deadline.millis_since(clock::now());
        let most = left as f64 / 1_000.0 / 3.0;
        let spread = RETRY_AFTER.end - RETRY_AFTER.start;
        (RETRY_AFTER.start + fastrand::f64() * spread).min(most)
    }

    fn note_done(&self, progress: &Progress) -> After {
        self.log(Ending::Answered, progress);
        After::Keep
    }

    fn note_left(&self) -> After {
        self.log(Ending::Left, &Progress::default());
        After::Close
    }

    fn log(&self, ending: Ending, progress: &Progress) {
        let requests = &self.state.metrics.requests;
        requests.get_or_create(&EndedLabel { ending }).inc();
        if !log::allows_request_line() {
            return;
        }
        let now = clock::now();
        let fleet = self.state.fleet.borrow();
        let engine = self.tried.last().map(|key| fleet.engine(*key));
        tracing::info!(
            id = self.call.id(self.state.dialect.names()),
            outcome = ?ending,
            route = self.call.rules().name,
            configuration = self.call.configuration.version,
            engine = engine.map(|engine| engine.record.id.as_str()),
            report_age = ?engine.and_then(|engine| engine.report_age(now)),
            attempts = self.standing.attempts,
            cause = ?self.cause,
            predicted = self.predicted_millis as u64,
            first = ?progress.first_millis(self.call.received),
            events = progress.count(),
            returned = self.call.has_returned,
            took = now.millis_since(self.call.received),
            "request"
        );
    }
}

/// Milliseconds that an engine rests after it refused a request.
const FULL_REST_MILLIS: u64 = 60;

const fn refused(status: u16) -> Failed {
    Failed {
        failure: Failure::NotRun,
        cause: if status == 421 {
            Cause::Elsewhere
        } else {
            Cause::Full
        },
    }
}

/// True where an engine's failure may go to the caller as it is: not where its status would
/// promise that the request has not run.
const fn may_pass(status: u16) -> bool {
    !matches!(status, 408 | 421 | 429 | 503)
}

/// Refuses a request that is not allowed.
pub async fn refuse(
    state: &State,
    caller: &mut Connection,
    request: &Request,
    refusal: Refusal,
) -> After {
    let names = state.dialect.names();
    let ending = match refusal {
        Refusal::NoConfiguration | Refusal::Leaving => Ending::Refused,
        _ => Ending::Denied,
    };
    state
        .metrics
        .requests
        .get_or_create(&EndedLabel { ending })
        .inc();
    if log::allows_request_line() {
        let configuration = state.configuration();
        tracing::info!(
            id = request.fields.text(names.attempt),
            host = request.fields.text("host"),
            target = std::str::from_utf8(request.target()).unwrap_or_default(),
            status = refusal.status(),
            configuration = configuration.map(|configuration| configuration.version),
            "request denied"
        );
    }
    let closes = state.is_stopping.get() || !request.keeps_alive();
    let bytes = answer::refusal(refusal, request, names, closes);
    match caller.write(&bytes).await {
        Ok(()) => After::Keep,
        Err(_) => After::Close,
    }
}

/// Instant by which an attempt has to show something.
pub type Patience = Instant;
