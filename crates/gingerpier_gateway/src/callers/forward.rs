//! The course of one request: engines, retries and the final answer.

use {
    super::{
        After,
        attempt::{self, Begun, Cause, Failed, Sent},
        call::{Call, Sending},
        starting::{self, Waited},
        stream::{self, Progress},
        trial::Gate,
    },
    crate::{clock, metrics::Reason, state::State},
    bytes::Bytes,
    gingerpier_base::Instant,
    gingerpier_http1::{
        connection::Connection,
        head::{self, Response},
        writer::Message,
    },
    gingerpier_serving::{
        admission::Shortfall,
        course::{Failure, Next, Standing},
        engine::Seen,
        fleet::EngineKey,
        report::Version,
    },
    std::rc::Rc,
};

/// Longest body of an answer that is no stream, in bytes.
const MAX_ANSWER_BYTES: usize = 4 * 1024 * 1024;

/// Bytes that a caller may send ahead of its answer.
const MAX_AHEAD_BYTES: usize = 64 * 1024;

/// How an attempt ended.
pub enum Ended {
    /// The caller has its whole answer.
    Done,
    /// The caller left.
    Left,
    /// The time of the request is up.
    TimedOut,
    /// Engines ended under it elsewhere, so it is to end no other.
    Held,
    /// It is to go on at another engine, and that is paid for.
    Moved,
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
    pub(super) standing: Standing,
    pub(super) tried: Vec<EngineKey>,
    pub(super) predicted_millis: f64,
    /// Of these, for its own prompt; none where no engine could run it.
    pub(super) own_millis: Option<f64>,
    sent_at: Option<Instant>,
    pub(super) cause: Option<Cause>,
    /// True where the last choice found an engine that could run the request.
    pub(super) found_engine: bool,
    /// True where it waited while this process started.
    pub(super) has_waited: bool,
    /// Why it was not sent, where the reason is the request and not the engines.
    pub(super) barred: Option<Reason>,
    /// True where it may end the engine that it goes to.
    pub(super) is_trial: bool,
    /// Number that is drawn for this request, against herds.
    pub(super) draw: u64,
    /// What was known of the load of the engine that was chosen last.
    pub(super) seen: Option<Seen>,
    /// Why the last choice found all engines too full.
    pub(super) shortfall: Option<Shortfall>,
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
        own_millis: None,
        sent_at: None,
        cause: None,
        found_engine: true,
        has_waited: false,
        barred: None,
        is_trial: false,
        draw: fastrand::u64(..),
        seen: None,
        shortfall: None,
    };
    course.run(caller).await
}

impl Course<'_, '_> {
    async fn run(&mut self, caller: &mut Connection) -> After {
        let mut progress = Progress::default();
        let mut fallback = None;
        loop {
            // A trial lasts until its attempt has ended.
            let (engine, _under_way) = match self.gate(caller, &progress).await {
                Gate::Open => (self.choose(&progress), None),
                Gate::Trial(engine, under_way) => (Some(engine), Some(under_way)),
                Gate::Full => (None, None),
                Gate::Held => return self.bar(caller, Reason::Held, &progress, fallback).await,
                Gate::Busy => {
                    let reason = Reason::OnTrial;
                    return self.bar(caller, reason, &progress, fallback).await;
                }
                Gate::Left => return self.note_left(),
            };
            let Some(engine) = engine else {
                match self.wait_for_start(caller).await {
                    Waited::Again => continue,
                    Waited::InVain => {}
                    Waited::Left => return self.note_left(),
                }
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
                Ended::Held => {
                    self.standing.may_have_run = true;
                    return self.bar(caller, Reason::Held, &progress, fallback).await;
                }
                Ended::Moved => continue,
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
            let aftermath = self.look_after(engine, failed, &progress).await;
            self.log_failed(engine, failed, aftermath);
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

    /// Ends a request that is not to be sent, or not any more.
    async fn bar(
        &mut self,
        caller: &mut Connection,
        reason: Reason,
        progress: &Progress,
        fallback: Option<Whole>,
    ) -> After {
        self.barred = Some(reason);
        let next = self.standing.give_up();
        self.finish(caller, next, progress, fallback).await
    }

    /// Waits a moment where no engine was known that could run the request, and this process is starting. Who has
    /// waited for that is late, so it goes on waiting while those that come now take the places.
    async fn wait_for_start(&mut self, caller: &mut Connection) -> Waited {
        let is_first = self.standing.attempts == 0;
        let has_time = !self.call.deadline.has_passed(clock::now());
        if !is_first || !has_time || (self.found_engine && !self.has_waited) {
            return Waited::InVain;
        }
        self.has_waited = true;
        starting::wait(self.state, caller).await
    }

    fn note_attempt(&mut self, engine: EngineKey) {
        if self.standing.attempts == 0 {
            let work = self.call.work();
            self.state
                .note_request(work, self.call.visit, self.wait_millis(), clock::now());
        }
        self.standing.attempts += 1;
        self.sent_at = Some(clock::now());
        self.tried.push(engine);
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
        let held = state.is_held(call.mark);
        tokio::pin!(begin, held);
        let begun = loop {
            tokio::select! {
                biased;
                begun = &mut begin => break begun,
                () = left(caller) => return Ended::Left,
                () = clock::until(call.deadline) => return Ended::TimedOut,
                () = &mut held => return Ended::Held,
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
            Ok(whole) => {
                sent.note_answer();
                self.note_finished(&whole.head);
                self.pass(caller, whole, engine, progress).await
            }
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
            () = self.state.is_held(self.call.mark) => return Err(Ended::Held),
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

    /// Notes that an engine which gave that head ran the request to its end.
    pub(super) fn note_finished(&self, head: &Response) {
        let version = head.fields.number(self.state.dialect.names().version);
        let version = Version(version.unwrap_or_default());
        self.state.note_finished(self.call.mark, version);
    }

    fn note_success(&self, engine: EngineKey) {
        let mut fleet = self.state.fleet.borrow_mut();
        fleet.engine_mut(engine).note_success();
    }

    pub(super) async fn write_whole(&self, caller: &mut Connection, whole: &Whole) -> bool {
        let bytes = self.head_of(&whole.head).body(&whole.body);
        let written = clock::before(self.call.deadline.after_millis(500), caller.write(&bytes));
        matches!(written.await, Some(Ok(())))
    }

    /// Head of an engine's answer, as it goes to the caller; its length is still to be told.
    pub fn head_of(&self, answer: &Response) -> Message {
        let mut message = Message::response(answer.status);
        for (name, value) in answer.fields.iter() {
            if !head::is_of_connection(name) {
                message = message.field(name, value);
            }
        }
        if self.closes() {
            message = message.field(b"connection", b"close");
        }
        message
    }

    pub(super) fn closes(&self) -> bool {
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
}

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
