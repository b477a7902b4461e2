//! One request driven along its course: chosen, sent, answered, tried again, given up.

use {
    super::{
        Entry,
        job::{Admitted, Job, Outlet, Part, Target, Word},
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

/// Engines that may refuse a request because they could not run it at once, before it is queued.
const MOST_BOUNCES: usize = 6;
/// Milliseconds for a door to answer a revocation.
const REVOKE_MILLIS: u64 = 3_000;
/// Milliseconds between looks for a link that is to come up again.
const LOOK_MILLIS: u64 = 50;
/// Bytes read from a door at once.
const PART_BYTES: usize = 64 << 10;
/// Milliseconds to come back after where no engine holds the version.
const NO_ENGINE_MILLIS: u64 = 1_000;
/// End of an event in an event stream.
const EVENT_END: &[u8] = b"\n\n";
/// Content type of an event stream.
const EVENT_STREAM: &str = "text/event-stream";

/// An engine chosen for an attempt, and the way to it.
#[derive(Debug, Clone)]
struct Choice {
    engine: EngineKey,
    name: Name,
    server: BoxKey,
    incarnation: Incarnation,
    admitted: Option<Admitted>,
}

/// What has been passed on of an answer.
#[derive(Default)]
struct Passed {
    head: bool,
    events: u64,
    /// Bytes of an event whose end has not come.
    pending: BytesMut,
    event_stream: bool,
}

struct Drive {
    entry: Rc<Entry>,
    job: Job,
    outlet: Outlet,
    lifecycle: Lifecycle,
    tried: Vec<EngineKey>,
    /// Engines that could not run it at once, while one is looked for that can.
    bounced: Vec<EngineKey>,
    /// True while an engine is looked for that runs it at once.
    seeking: bool,
    choice: Option<Choice>,
    passed: Passed,
    attempts: u32,
}

impl Entry {
    /// Drives a request to its end.
    pub async fn drive(self: Rc<Self>, job: Job, outlet: Outlet) {
        self.begin_request();
        self.budget.borrow_mut().record_first_attempt();
        let resumable = matches!(job.target, Target::Model(_));
        let tries = self.settings.requests.tries;
        let lifecycle = Lifecycle::new(job.idempotency, job.deadline, tries, resumable);
        let drive = Drive {
            entry: self.clone(),
            job,
            outlet,
            lifecycle,
            tried: Vec::new(),
            bounced: Vec::new(),
            seeking: true,
            choice: None,
            passed: Passed::default(),
            attempts: 0,
        };
        drive.run().await;
        self.end_request();
    }
}

impl Drive {
    async fn run(mut self) {
        let mut actions = [Some(Action::SelectEngine), None];
        loop {
            let mut event = None;
            for action in actions.into_iter().flatten() {
                match self.carry_out(action).await {
                    Some(next) => event = Some(next),
                    None => continue,
                }
            }
            let Some(event) = event else { break };
            actions = self.step(event);
        }
        let account = self.job.account_key;
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

    /// Does what the course says; an event follows unless the word was final.
    async fn carry_out(&mut self, action: Action) -> Option<Event> {
        match action {
            Action::SelectEngine | Action::Resume => Some(self.choose()),
            Action::Send(key) => Some(self.attempt(key).await),
            Action::Revoke(key) => self.revoke(key).await,
            Action::ReportNotRun(reason) => {
                self.settle(Settlement::NotRun).await;
                self.end("not_run", Some(reason));
                self.outlet.say(Word::NotRun(reason));
                None
            }
            Action::ReportUnknown(reason) => {
                self.settle(Settlement::Unknown).await;
                self.end("unknown", Some(reason));
                self.outlet.say(Word::Unknown(reason));
                None
            }
            Action::AbortResponse(reason) => {
                self.settle(Settlement::Unknown).await;
                self.end("broken_off", Some(reason));
                self.outlet.pass(Part::Broken).await;
                None
            }
            Action::Complete => {
                self.settle(Settlement::Answered).await;
                self.end("answered", None);
                self.outlet.pass(Part::End).await;
                None
            }
        }
    }

    async fn settle(&self, settlement: Settlement) {
        if let Some(grant) = self.job.grant {
            self.entry.settle(grant, settlement).await;
        }
    }

    fn end(&self, outcome: &str, reason: Option<Reason>) {
        let account = self.job.account.to_string();
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
        tracing::info!(event = "request_ended", request = self.job.request, outcome,
            account = %self.job.account, attempts = self.attempts, reason);
    }

    fn choose(&mut self) -> Event {
        let now = clock::now();
        // Only a request that may have run costs of the budget: a refusal at the door is cheap.
        if self.lifecycle.may_have_run() {
            if !self.entry.budget.borrow_mut().try_spend() {
                return Event::NoneFree(now.after_millis(NO_ENGINE_MILLIS));
            }
            self.entry.process.metrics.retries.inc();
        }
        if self.seeking {
            let excluded = [self.tried.as_slice(), &self.bounced].concat();
            if let Ok(event) = self.choose_from(&excluded) {
                return event;
            }
            self.seeking = false;
        }
        let tried = self.tried.clone();
        match self.choose_from(&tried) {
            Ok(event) => event,
            Err(Refusal::Full(at)) => Event::NoneFree(at),
            // All engines were tried: a second round is no better than coming back.
            Err(Refusal::NoEngine) => Event::NoneFree(now.after_millis(NO_ENGINE_MILLIS)),
        }
    }

    fn choose_from(&mut self, excluded: &[EngineKey]) -> Result<Event, Refusal> {
        // Once an answer has begun, only the same version may go on with it.
        let held = self.choice.as_ref().and_then(|choice| choice.admitted);
        let held = held.filter(|_| self.passed.head);
        let (admitted, pools) = self.entry.pools_for(&self.job, held, excluded);
        let now = clock::now();
        let criteria = Criteria {
            pools: &pools,
            prefix_hash: self.job.prefix,
            tried: excluded,
            now,
        };
        let chosen = self.entry.fleet.borrow_mut().router().choose(criteria)?;
        Ok(self.take_choice(chosen, admitted))
    }

    fn take_choice(&mut self, engine: EngineKey, admitted: Option<Admitted>) -> Event {
        let later = Event::NoneFree(clock::now().after_millis(NO_ENGINE_MILLIS));
        let fleet = self.entry.fleet.borrow();
        let Some(known) = fleet.engine(engine) else {
            return later;
        };
        let members = self.entry.members.borrow();
        let incarnation = members.get(known.server).and_then(Member::incarnation);
        let Some(incarnation) = incarnation else {
            return later;
        };
        self.choice = Some(Choice {
            engine,
            name: known.status.name.clone(),
            server: known.server,
            incarnation,
            admitted,
        });
        Event::EngineSelected
    }

    /// Sends one attempt and passes its answer on, until something ends it.
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
        let event = self.attempt_over(key, &choice, &link).await;
        self.entry
            .fleet
            .borrow_mut()
            .router()
            .record_request_end(choice.engine);
        if event == Event::Refused(dedup::Refusal::Full) && self.seeking {
            self.bounced.push(choice.engine);
            self.seeking = self.bounced.len() < MOST_BOUNCES;
            return Event::QueueingRefused;
        }
        self.tried.push(choice.engine);
        event
    }

    async fn attempt_over(&mut self, key: AttemptKey, choice: &Choice, link: &Link) -> Event {
        let mut events = Relay::begin(self.frame(key, choice), self.job.body.clone(), link.clone());
        loop {
            let deadline = clock::until(self.job.deadline);
            let told = {
                let next = pin!(events.next());
                let over = pin!(deadline);
                let gone = pin!(self.outlet.abandoned());
                tokio::select! {
                    biased;
                    told = next => told,
                    () = gone => return Event::CallerGone,
                    () = over => return Event::Tick,
                }
            };
            if let Some(event) = self.take_told(told, choice).await {
                return event;
            }
        }
    }

    fn frame(&self, key: AttemptKey, choice: &Choice) -> Attempt {
        Attempt {
            key,
            addressed: choice.incarnation,
            request: self.job.request.clone(),
            engine: choice.name.clone(),
            weights: choice.admitted.map(|admitted| admitted.weights),
            adapter: choice.admitted.and_then(|admitted| admitted.adapter),
            method: self.job.method.clone(),
            path: self.job.path.clone(),
            content_type: self.job.content_type.clone(),
            millis_left: clock::left(self.job.deadline).as_millis() as u64,
            body_length: self.job.body.len() as u32,
            priority: self.job.priority,
            resume_after: self.passed.head.then_some(self.passed.events),
            at_once: self.seeking,
        }
    }

    /// Takes what the door told; gives an event where the attempt is over.
    async fn take_told(&mut self, told: Told, choice: &Choice) -> Option<Event> {
        match told {
            Told::Head(head) => self.take_head(head, choice),
            Told::Bytes(bytes) => (!self.take_bytes(bytes).await).then_some(Event::CallerGone),
            Told::End => {
                // What follows the last event's end belongs to the answer too.
                let rest = self.passed.pending.split().freeze();
                let gone = !rest.is_empty() && !self.outlet.pass(Part::Bytes(rest)).await;
                Some(if gone {
                    Event::CallerGone
                } else {
                    Event::ResponseFinished
                })
            }
            Told::Event(event) => Some(event),
            Told::Load(others) => {
                let mut fleet = self.entry.fleet.borrow_mut();
                fleet
                    .router()
                    .record_observed_load(choice.engine, others, clock::now());
                None
            }
        }
    }

    fn take_head(&mut self, head: Head, choice: &Choice) -> Option<Event> {
        let wanted = choice.admitted.map(|admitted| admitted.weights);
        if (200..300).contains(&head.status) && head.weights != wanted {
            return Some(Event::Broken);
        }
        if self.passed.head {
            // The rest of an answer: only an answer that goes on may follow.
            self.step(Event::ResponseStarted);
            return (head.status != 200).then_some(Event::Broken);
        }
        self.passed.head = true;
        self.passed.event_stream = head
            .content_type
            .as_deref()
            .is_some_and(|kind| kind.starts_with(EVENT_STREAM));
        if !self.passed.event_stream {
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
        let since = self.entry.settings.requests.patience.0;
        let left = clock::left(self.job.deadline).as_secs_f64();
        self.entry
            .process
            .metrics
            .time_to_first_part
            .observe(since as f64 / 1e3 - left);
        self.outlet.say(Word::Head {
            status,
            content_type,
            version,
        });
        self.step(Event::ResponseStarted);
        None
    }

    /// Passes bytes on; of an event stream only whole events, so that another engine can go on
    /// behind the last one. False where the caller has gone away.
    async fn take_bytes(&mut self, bytes: Bytes) -> bool {
        if !self.passed.event_stream {
            return self.outlet.pass(Part::Bytes(bytes)).await;
        }
        self.passed.pending.extend_from_slice(&bytes);
        let Some(whole) = rfind(&self.passed.pending, EVENT_END) else {
            return true;
        };
        let events = self
            .passed
            .pending
            .split_to(whole + EVENT_END.len())
            .freeze();
        self.passed.events += count(&events, EVENT_END);
        self.outlet.pass(Part::Bytes(events)).await
    }

    /// Asks the door to shut out an attempt; where the request is given up already, nothing
    /// waits for the answer.
    async fn revoke(&mut self, key: AttemptKey) -> Option<Event> {
        // Bytes of an event that never ended are not passed on.
        self.passed.pending.clear();
        let choice = self.choice.clone()?;
        let asking = revoke_at_door(self.entry.clone(), key, choice.clone());
        if self.lifecycle.attempt().is_none() {
            actix_rt::spawn(asking);
            return None;
        }
        let mut asking = pin!(asking);
        let deadline = clock::until(self.job.deadline);
        tokio::select! {
            biased;
            event = &mut asking => Some(event),
            () = self.outlet.abandoned() => Some(Event::CallerGone),
            () = deadline => Some(Event::Tick),
        }
    }
}

async fn revoke_at_door(entry: Rc<Entry>, key: AttemptKey, choice: Choice) -> Event {
    let deadline = clock::now().after_millis(REVOKE_MILLIS);
    while !deadline.has_passed(clock::now()) {
        if let Some(link) = entry
            .links
            .get(choice.server)
            .filter(|link| !link.is_closed())
        {
            let asked = revoke_over(&link, key, choice.incarnation);
            match clock::before(deadline, asked).await {
                Some(Ok(revocation)) => return Event::Revoked(revocation),
                Some(Err(error)) => tracing::debug!(event = "revocation_lost", %error),
                None => return Event::LinkLost,
            }
        }
        clock::pause(LOOK_MILLIS).await;
    }
    Event::LinkLost
}

async fn revoke_over(
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

/// What a door told.
enum Told {
    /// Others' work at the engine.
    Load(u32),
    Head(Head),
    Bytes(Bytes),
    End,
    Event(Event),
}

/// Reads a door's answer in a task of its own, so that waiting for the next part can be broken
/// off at any point without losing one.
struct Relay {
    told: mpsc::Receiver<Told>,
    task: actix_rt::task::JoinHandle<()>,
}

impl Drop for Relay {
    fn drop(&mut self) {
        self.task.abort();
    }
}

impl Relay {
    fn begin(attempt: Attempt, body: Bytes, link: Link) -> Self {
        let (sender, told) = mpsc::channel(4);
        let task = actix_rt::spawn(async move {
            let last = match exchange(attempt, body, &link, &sender).await {
                Ok(last) => last,
                Err(error) => {
                    tracing::debug!(event = "attempt_lost", %error);
                    Told::Event(Event::LinkLost)
                }
            };
            // The request may have been given up meanwhile.
            let _ = sender.send(last).await;
        });
        Self { told, task }
    }

    async fn next(&mut self) -> Told {
        self.told
            .recv()
            .await
            .unwrap_or(Told::Event(Event::LinkLost))
    }
}

/// Sends an attempt and reads its answer; gives what ended it.
async fn exchange(
    attempt: Attempt,
    body: Bytes,
    link: &Link,
    told: &mpsc::Sender<Told>,
) -> Result<Told, gingerpier_link::Error> {
    let mut stream = link.open().await?;
    stream.send(&Request::Attempt(attempt)).await?;
    stream.send_held(body).await?;
    stream.finish();
    let mut bytes = 0;
    loop {
        match stream.receive::<Reply>().await? {
            Reply::Refused { refusal, others } => {
                tell_load(told, others).await;
                return Ok(Told::Event(Event::Refused(refusal)));
            }
            Reply::Head(head) => drop(told.send(Told::Head(head)).await),
            Reply::Body { length } => {
                bytes += u64::from(length);
                pass_body(&mut stream, length as usize, told).await?;
            }
            // A door's count that differs from ours is no end.
            Reply::End {
                bytes: sent,
                others,
            } if sent == bytes => {
                tell_load(told, others).await;
                return Ok(Told::End);
            }
            _ => return Ok(Told::Event(Event::Broken)),
        }
    }
}

async fn tell_load(told: &mpsc::Sender<Told>, others: Option<u32>) {
    if let Some(others) = others {
        drop(told.send(Told::Load(others)).await);
    }
}

async fn pass_body(
    stream: &mut Stream,
    mut left: usize,
    told: &mpsc::Sender<Told>,
) -> Result<(), gingerpier_link::Error> {
    while left > 0 {
        let part = stream.receive_some(left.min(PART_BYTES)).await?;
        left -= part.len();
        drop(told.send(Told::Bytes(part)).await);
    }
    Ok(())
}

fn rfind(bytes: &[u8], mark: &[u8]) -> Option<usize> {
    bytes.windows(mark.len()).rposition(|window| window == mark)
}

fn count(bytes: &[u8], mark: &[u8]) -> u64 {
    bytes
        .windows(mark.len())
        .filter(|window| *window == mark)
        .count() as u64
}
