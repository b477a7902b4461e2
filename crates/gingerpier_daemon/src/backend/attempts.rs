//! Requests at the door: admitted once, run at the engine, answered whole or not as whole.

use {
    super::{Backend, engines::Slot},
    crate::clock,
    bytes::Bytes,
    futures_util::future::Either,
    gingerpier_base::{Digest, place::Incarnation},
    gingerpier_link::{Link, Stream},
    gingerpier_once::dedup::{Admission, AttemptKey, Deduplicator, Refusal, Revocation},
    gingerpier_services::engine::{
        ADAPTER_HEADER, ATTEMPT_HEADER, PRIORITY_HEADER, RESUME_HEADER, Run, WEIGHTS_HEADER,
    },
    gingerpier_services::exchange::Answer,
    gingerpier_wire::{
        Reply,
        frame::{Attempt, Head},
    },
    http::{Method, StatusCode, header},
    std::{cell::RefCell, collections::BTreeMap, pin::pin, rc::Rc, time::Duration},
    tokio::sync::oneshot,
};

/// Milliseconds for which an attempt that ended is remembered.
const RETENTION_MILLIS: u64 = 600_000;
/// The longest body of a request that a door takes.
const LONGEST_BODY: u32 = 64 << 20;

/// Attempts seen by this process.
pub struct Attempts {
    deduplicator: RefCell<Deduplicator>,
    cancels: RefCell<BTreeMap<AttemptKey, oneshot::Sender<()>>>,
}

impl Attempts {
    /// None seen yet by the process run `incarnation`.
    pub fn new(incarnation: Incarnation) -> Self {
        let deduplicator = RefCell::new(Deduplicator::new(incarnation, RETENTION_MILLIS));
        Self {
            deduplicator,
            cancels: RefCell::default(),
        }
    }

    /// Attempts running.
    pub fn running(&self) -> usize {
        self.deduplicator.borrow().running_count()
    }

    /// Forgets attempts that ended long ago.
    pub fn sweep(&self) {
        self.deduplicator.borrow_mut().remove_expired(clock::now());
    }

    /// Shuts the door to an attempt, and ends it where it runs.
    pub fn revoke(&self, key: AttemptKey, addressed: Incarnation) -> Revocation {
        let revocation = self
            .deduplicator
            .borrow_mut()
            .revoke(key, addressed, clock::now());
        if let Some(cancel) = self.cancels.borrow_mut().remove(&key) {
            // An attempt that ends at this moment does not listen any more.
            let _ = cancel.send(());
        }
        revocation
    }

    fn admit(&self, attempt: &Attempt, ready: Result<(), Refusal>) -> Admission {
        let Attempt { key, addressed, .. } = attempt;
        self.deduplicator
            .borrow_mut()
            .admit(*key, *addressed, ready, clock::now())
    }

    fn start(&self, key: AttemptKey) -> oneshot::Receiver<()> {
        let (cancel, cancelled) = oneshot::channel();
        self.cancels.borrow_mut().insert(key, cancel);
        cancelled
    }

    fn end(&self, key: AttemptKey) {
        self.cancels.borrow_mut().remove(&key);
        self.deduplicator.borrow_mut().record_end(key, clock::now());
    }

    fn turn_back(&self, key: AttemptKey) {
        self.cancels.borrow_mut().remove(&key);
        self.deduplicator
            .borrow_mut()
            .record_not_run(key, clock::now());
    }
}

/// How an attempt that was let in came out.
enum Outcome {
    /// The engine never took it.
    TurnedBack(Refusal),
    /// It ran; the answer was whole.
    Whole(u64),
    /// It ran, or may have; the answer is not whole.
    Broken(String),
}

impl Backend {
    /// Serves an attempt; `link` is where it came from.
    pub async fn serve_attempt(&self, mut stream: Stream, attempt: Attempt, link: &Link) {
        if attempt.body_length > LONGEST_BODY {
            let refused = Reply::Refused {
                refusal: Refusal::Full,
                others: None,
            };
            self.reply(&mut stream, &refused).await;
            return;
        }
        let Ok(body) = stream.receive_exact(attempt.body_length as usize).await else {
            return;
        };
        let slot = self.slot(&attempt.engine).cloned();
        let ready = match &slot {
            None => Err(Refusal::NoEngine),
            Some(_) if self.takes_no_work() => Err(Refusal::Leaving),
            Some(slot) => slot.readiness(&attempt),
        };
        match (self.attempts.admit(&attempt, ready), slot) {
            (Admission::Start, Some(slot)) => {
                self.run_attempt(&mut stream, &attempt, body.into(), &slot, link)
                    .await;
            }
            (Admission::Duplicate, _) => self.reply(&mut stream, &Reply::Duplicate).await,
            (Admission::Refuse(refusal), slot) => {
                tracing::debug!(event = "attempt_refused", request = attempt.request,
                    engine = %attempt.engine, refusal = ?refusal);
                let others = slot.map(|slot| slot.others(attempt.key.entry));
                self.reply(&mut stream, &Reply::Refused { refusal, others })
                    .await;
            }
            (Admission::Start, None) => unreachable!("an attempt starts only at an engine"),
        }
        stream.finish();
        stream.peer_stopped().await;
    }

    async fn run_attempt(
        &self,
        stream: &mut Stream,
        attempt: &Attempt,
        body: Bytes,
        slot: &Rc<Slot>,
        link: &Link,
    ) {
        let cancelled = self.attempts.start(attempt.key);
        let working = slot.work(attempt.key.entry);
        let outcome = {
            let running = pin!(self.run_at_engine(stream, attempt, body, slot));
            let over = pin!(async {
                futures_util::future::select(pin!(cancelled), pin!(link.closed())).await;
            });
            match futures_util::future::select(running, over).await {
                Either::Left((outcome, _)) => outcome,
                Either::Right(_) => {
                    self.cancel_at_engine(attempt, slot).await;
                    Outcome::Broken("revoked".to_owned())
                }
            }
        };
        drop(working);
        let others = Some(slot.others(attempt.key.entry));
        let last = match outcome {
            Outcome::TurnedBack(refusal) => {
                self.attempts.turn_back(attempt.key);
                Reply::Refused { refusal, others }
            }
            Outcome::Whole(bytes) => {
                self.attempts.end(attempt.key);
                Reply::End { bytes, others }
            }
            Outcome::Broken(why) => {
                self.attempts.end(attempt.key);
                tracing::warn!(event = "attempt_broken", request = attempt.request,
                    engine = %attempt.engine, why);
                Reply::Broken { why }
            }
        };
        self.reply(stream, &last).await;
        self.touch();
    }

    async fn cancel_at_engine(&self, attempt: &Attempt, slot: &Rc<Slot>) {
        let name = attempt_name(attempt.key);
        if let Err(error) = slot.client.cancel(&name, clock::now()).await {
            tracing::debug!(event = "cancel_failed", request = attempt.request, %error);
        }
    }

    async fn run_at_engine(
        &self,
        stream: &mut Stream,
        attempt: &Attempt,
        body: Bytes,
        slot: &Rc<Slot>,
    ) -> Outcome {
        let Some(run) = to_run(attempt, body) else {
            return Outcome::TurnedBack(Refusal::NoEngine);
        };
        let patience = Duration::from_millis(attempt.millis_left);
        let mut answer = match slot.client.run(run, patience).await {
            Ok(answer) => answer,
            Err(error) if error.had_no_effect() => {
                tracing::warn!(event = "engine_unreachable", request = attempt.request, %error);
                return Outcome::TurnedBack(Refusal::Unreachable);
            }
            Err(error) => return Outcome::Broken(error.to_string()),
        };
        let busy = matches!(
            answer.status,
            StatusCode::TOO_MANY_REQUESTS | StatusCode::SERVICE_UNAVAILABLE
        );
        if busy && attempt.weights.is_some() {
            return Outcome::TurnedBack(Refusal::Full);
        }
        if let Err(why) = check_version(attempt, &answer) {
            return Outcome::Broken(why);
        }
        if !has_end_mark(&answer) {
            return Outcome::Broken("the engine's answer has no mark of its end".to_owned());
        }
        let head = Reply::Head(Head {
            status: answer.status.as_u16(),
            content_type: answer
                .header(header::CONTENT_TYPE.as_str())
                .map(str::to_owned),
            weights: attempt.weights,
        });
        if let Err(error) = stream.send(&head).await {
            return Outcome::Broken(error.to_string());
        }
        pass_body(stream, &mut answer).await
    }

    /// Sends a frame; a peer that is gone finds out in its own way.
    async fn reply(&self, stream: &mut Stream, reply: &Reply) {
        if let Err(error) = stream.send(reply).await {
            tracing::debug!(event = "reply_lost", %error);
        }
    }
}

fn attempt_name(key: AttemptKey) -> String {
    format!("{}-{}", key.entry, key.number)
}

fn to_run(attempt: &Attempt, body: Bytes) -> Option<Run> {
    let mut headers = vec![
        (ATTEMPT_HEADER, attempt_name(attempt.key)),
        (PRIORITY_HEADER, attempt.priority.to_string()),
    ];
    if let Some(weights) = attempt.weights {
        headers.push((WEIGHTS_HEADER, weights.to_string()));
    }
    if let Some(adapter) = attempt.adapter {
        headers.push((ADAPTER_HEADER, adapter.to_string()));
    }
    if let Some(parts) = attempt.resume_after {
        headers.push((RESUME_HEADER, parts.to_string()));
    }
    Some(Run {
        method: Method::from_bytes(attempt.method.as_bytes()).ok()?,
        path: attempt.path.clone(),
        content_type: attempt.content_type.clone(),
        headers,
        body,
    })
}

/// An answer must come from the version that the request was admitted for.
fn check_version(attempt: &Attempt, answer: &Answer) -> Result<(), String> {
    let Some(weights) = attempt.weights.filter(|_| answer.status.is_success()) else {
        return Ok(());
    };
    let named = |name| {
        answer
            .header(name)
            .and_then(|text| text.parse::<Digest>().ok())
    };
    if named(WEIGHTS_HEADER) != Some(weights) {
        return Err(format!("the answer is not of the version {weights}"));
    }
    if attempt.adapter.is_some() && named(ADAPTER_HEADER) != attempt.adapter {
        return Err("the answer is not of the adapter asked for".to_owned());
    }
    Ok(())
}

/// True where the answer's end can be told from a connection that broke.
fn has_end_mark(answer: &Answer) -> bool {
    answer.headers.contains_key(header::CONTENT_LENGTH)
        || answer.headers.contains_key(header::TRANSFER_ENCODING)
        || answer.status == StatusCode::NO_CONTENT
}

async fn pass_body(stream: &mut Stream, answer: &mut Answer) -> Outcome {
    let mut bytes = 0;
    loop {
        let part = match answer.part().await {
            Ok(Some(part)) => part,
            Ok(None) => return Outcome::Whole(bytes),
            Err(error) => return Outcome::Broken(error.to_string()),
        };
        if part.is_empty() {
            continue;
        }
        bytes += part.len() as u64;
        let length = part.len() as u32;
        let sent = match stream.send(&Reply::Body { length }).await {
            Ok(()) => stream.send_held(part).await,
            Err(error) => Err(error),
        };
        if let Err(error) = sent {
            return Outcome::Broken(error.to_string());
        }
    }
}
