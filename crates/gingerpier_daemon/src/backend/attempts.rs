//! Attempts at a backend server: deduplicated, run at an engine, and their responses relayed.

use {
    super::{Backend, upstreams::Upstream},
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

/// Time for which a finished attempt is remembered, to recognize duplicates.
const RETENTION_MILLIS: u64 = 600_000;
/// Limit on the size of a request body.
const MAX_BODY_BYTES: u32 = 64 << 20;

/// Attempts that this process has received.
pub struct Attempts {
    deduplicator: RefCell<Deduplicator>,
    cancel_senders: RefCell<BTreeMap<AttemptKey, oneshot::Sender<()>>>,
}

impl Attempts {
    /// Creates the state for the process run `incarnation`.
    pub fn new(incarnation: Incarnation) -> Self {
        let deduplicator = RefCell::new(Deduplicator::new(incarnation, RETENTION_MILLIS));
        Self {
            deduplicator,
            cancel_senders: RefCell::default(),
        }
    }

    /// Returns the number of running attempts.
    pub fn running_count(&self) -> usize {
        self.deduplicator.borrow().running_count()
    }

    /// Removes expired records of finished attempts.
    pub fn remove_expired(&self) {
        self.deduplicator.borrow_mut().remove_expired(clock::now());
    }

    /// Keeps an attempt from starting, and cancels it if it runs.
    pub fn revoke(&self, key: AttemptKey, addressed: Incarnation) -> Revocation {
        let revocation = self
            .deduplicator
            .borrow_mut()
            .revoke(key, addressed, clock::now());
        if let Some(cancel) = self.cancel_senders.borrow_mut().remove(&key) {
            // The attempt may have just ended.
            let _ = cancel.send(());
        }
        revocation
    }

    fn admit(&self, attempt: &Attempt, readiness: Result<(), Refusal>) -> Admission {
        let Attempt { key, addressed, .. } = attempt;
        self.deduplicator
            .borrow_mut()
            .admit(*key, *addressed, readiness, clock::now())
    }

    fn register_cancel(&self, key: AttemptKey) -> oneshot::Receiver<()> {
        let (cancel, cancelled) = oneshot::channel();
        self.cancel_senders.borrow_mut().insert(key, cancel);
        cancelled
    }

    fn record_end(&self, key: AttemptKey) {
        self.cancel_senders.borrow_mut().remove(&key);
        self.deduplicator.borrow_mut().record_end(key, clock::now());
    }

    fn record_not_run(&self, key: AttemptKey) {
        self.cancel_senders.borrow_mut().remove(&key);
        self.deduplicator
            .borrow_mut()
            .record_not_run(key, clock::now());
    }
}

/// Result of an admitted attempt.
enum Outcome {
    /// The request didn't run.
    NotRun(Refusal),
    /// It ran and its response was relayed completely; holds the length of the body in bytes.
    Complete(u64),
    /// It may have run, and its response is incomplete; holds the reason.
    Incomplete(String),
}

impl Backend {
    /// Serves an attempt that was received on `link`.
    pub async fn serve_attempt(&self, mut stream: Stream, attempt: Attempt, link: &Link) {
        if attempt.body_length > MAX_BODY_BYTES {
            let reply = Reply::Refused {
                refusal: Refusal::Full,
                others: None,
            };
            self.reply(&mut stream, &reply).await;
            return;
        }
        let Ok(body) = stream.receive_exact(attempt.body_length as usize).await else {
            return;
        };
        let upstream = self.upstream(&attempt.engine).cloned();
        let readiness = match &upstream {
            None => Err(Refusal::NoEngine),
            Some(_) if self.refuses_new_requests() => Err(Refusal::Leaving),
            Some(upstream) => upstream.readiness(&attempt),
        };
        match (self.attempts.admit(&attempt, readiness), upstream) {
            (Admission::Start, Some(upstream)) => {
                self.run_attempt(&mut stream, &attempt, body.into(), &upstream, link)
                    .await;
            }
            (Admission::Duplicate, _) => self.reply(&mut stream, &Reply::Duplicate).await,
            (Admission::Refuse(refusal), upstream) => {
                tracing::debug!(event = "attempt_refused", request = attempt.request,
                    engine = %attempt.engine, refusal = ?refusal);
                let load_from_others =
                    upstream.map(|upstream| upstream.load_from_others(attempt.key.entry));
                self.reply(
                    &mut stream,
                    &Reply::Refused {
                        refusal,
                        others: load_from_others,
                    },
                )
                .await;
            }
            (Admission::Start, None) => {
                unreachable!("the deduplicator starts no attempt without an engine")
            }
        }
        stream.finish();
        stream.wait_until_stopped().await;
    }

    async fn run_attempt(
        &self,
        stream: &mut Stream,
        attempt: &Attempt,
        body: Bytes,
        upstream: &Rc<Upstream>,
        link: &Link,
    ) {
        let cancelled = self.attempts.register_cancel(attempt.key);
        let load_guard = upstream.start_request(attempt.key.entry);
        let outcome = {
            let run = pin!(self.run_at_engine(stream, attempt, body, upstream));
            let cancelled_or_disconnected = pin!(async {
                futures_util::future::select(pin!(cancelled), pin!(link.closed())).await;
            });
            match futures_util::future::select(run, cancelled_or_disconnected).await {
                Either::Left((outcome, _)) => outcome,
                Either::Right(_) => {
                    self.cancel_at_engine(attempt, upstream).await;
                    Outcome::Incomplete("revoked".to_owned())
                }
            }
        };
        drop(load_guard);
        let load_from_others = Some(upstream.load_from_others(attempt.key.entry));
        let last_reply = match outcome {
            Outcome::NotRun(refusal) => {
                self.attempts.record_not_run(attempt.key);
                Reply::Refused {
                    refusal,
                    others: load_from_others,
                }
            }
            Outcome::Complete(bytes) => {
                self.attempts.record_end(attempt.key);
                Reply::End {
                    bytes,
                    others: load_from_others,
                }
            }
            Outcome::Incomplete(why) => {
                self.attempts.record_end(attempt.key);
                tracing::warn!(event = "attempt_broken", request = attempt.request,
                    engine = %attempt.engine, why);
                Reply::Broken { why }
            }
        };
        self.reply(stream, &last_reply).await;
        self.notify_status_changed();
    }

    async fn cancel_at_engine(&self, attempt: &Attempt, upstream: &Rc<Upstream>) {
        let id = attempt_id(attempt.key);
        if let Err(error) = upstream.client.cancel(&id, clock::now()).await {
            tracing::debug!(event = "cancel_failed", request = attempt.request, %error);
        }
    }

    async fn run_at_engine(
        &self,
        stream: &mut Stream,
        attempt: &Attempt,
        body: Bytes,
        upstream: &Rc<Upstream>,
    ) -> Outcome {
        let Some(run) = to_run(attempt, body) else {
            return Outcome::NotRun(Refusal::NoEngine);
        };
        let timeout = Duration::from_millis(attempt.millis_left);
        let mut response = match upstream.client.run(run, timeout).await {
            Ok(response) => response,
            Err(error) if error.had_no_effect() => {
                tracing::warn!(event = "engine_unreachable", request = attempt.request, %error);
                return Outcome::NotRun(Refusal::Unreachable);
            }
            Err(error) => return Outcome::Incomplete(error.to_string()),
        };
        let is_overloaded = matches!(
            response.status,
            StatusCode::TOO_MANY_REQUESTS | StatusCode::SERVICE_UNAVAILABLE
        );
        if is_overloaded && attempt.weights.is_some() {
            return Outcome::NotRun(Refusal::Full);
        }
        if let Err(reason) = check_version(attempt, &response) {
            return Outcome::Incomplete(reason);
        }
        if !has_detectable_end(&response) {
            return Outcome::Incomplete("the engine's answer has no mark of its end".to_owned());
        }
        let head = Reply::Head(Head {
            status: response.status.as_u16(),
            content_type: response
                .header(header::CONTENT_TYPE.as_str())
                .map(str::to_owned),
            weights: attempt.weights,
        });
        if let Err(error) = stream.send(&head).await {
            return Outcome::Incomplete(error.to_string());
        }
        relay_body(stream, &mut response).await
    }

    /// Sends a reply; the peer detects a lost one by itself.
    async fn reply(&self, stream: &mut Stream, reply: &Reply) {
        if let Err(error) = stream.send(reply).await {
            tracing::debug!(event = "reply_lost", %error);
        }
    }
}

fn attempt_id(key: AttemptKey) -> String {
    format!("{}-{}", key.entry, key.number)
}

fn to_run(attempt: &Attempt, body: Bytes) -> Option<Run> {
    let mut headers = vec![
        (ATTEMPT_HEADER, attempt_id(attempt.key)),
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

/// Checks that the response comes from the version that the request was admitted for.
fn check_version(attempt: &Attempt, response: &Answer) -> Result<(), String> {
    let Some(weights) = attempt.weights.filter(|_| response.status.is_success()) else {
        return Ok(());
    };
    let parse_header = |name| {
        response
            .header(name)
            .and_then(|text| text.parse::<Digest>().ok())
    };
    if parse_header(WEIGHTS_HEADER) != Some(weights) {
        return Err(format!("the answer is not of the version {weights}"));
    }
    if attempt.adapter.is_some() && parse_header(ADAPTER_HEADER) != attempt.adapter {
        return Err("the answer is not of the adapter asked for".to_owned());
    }
    Ok(())
}

/// Returns true if the end of the response can be told from a broken connection.
fn has_detectable_end(response: &Answer) -> bool {
    response.headers.contains_key(header::CONTENT_LENGTH)
        || response.headers.contains_key(header::TRANSFER_ENCODING)
        || response.status == StatusCode::NO_CONTENT
}

async fn relay_body(stream: &mut Stream, response: &mut Answer) -> Outcome {
    let mut bytes = 0;
    loop {
        let chunk = match response.part().await {
            Ok(Some(chunk)) => chunk,
            Ok(None) => return Outcome::Complete(bytes),
            Err(error) => return Outcome::Incomplete(error.to_string()),
        };
        if chunk.is_empty() {
            continue;
        }
        bytes += chunk.len() as u64;
        let length = chunk.len() as u32;
        let sent = match stream.send(&Reply::Body { length }).await {
            Ok(()) => stream.send_shared(chunk).await,
            Err(error) => Err(error),
        };
        if let Err(error) = sent {
            return Outcome::Incomplete(error.to_string());
        }
    }
}
