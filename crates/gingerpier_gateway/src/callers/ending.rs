//! How requests end: final answers, and what is noted of them.

use {
    super::{
        After,
        answer::{self, Refusal},
        attempt::{Aftermath, Cause, Failed},
        forward::{Course, Whole},
        stream::Progress,
    },
    crate::{
        clock, log,
        metrics::{Ended, Ending, Fate, Reason, Refusal as Refused},
        state::State,
    },
    gingerpier_http1::{connection::Connection, head::Request},
    gingerpier_serving::{course::Next, fleet::EngineKey},
    std::ops::Range,
};

/// Shortest and longest time after which a caller may come again, in seconds, where all engines
/// are full: what runs there ends within about a second.
const RETRY_FULL: Range<f64> = 0.6..1.6;

/// The same where no engine could run the request at all: engines that restart or wait for weights
/// take longer, and a caller that finds none again is lost.
const RETRY_NO_ENGINE: Range<f64> = 1.0..1.9;

/// The same for a request that is held back until an operator lets it go: nobody waits for that, so coming back is of no use.
const RETRY_HELD: f64 = 3_600.0;

/// Milliseconds that an engine rests after it refused a request.
const FULL_REST_MILLIS: u64 = 60;

impl Course<'_, '_> {
    pub(super) fn note_failed(&mut self, engine: EngineKey, failed: Failed) {
        self.cause = Some(failed.cause);
        let now = clock::now();
        let mut fleet = self.state.fleet.borrow_mut();
        let engine = fleet.engine_mut(engine);
        match failed.cause {
            Cause::Unreachable => {
                engine.note_failure(now);
                // It may come back cold before its entry says so.
                engine.warmth.note_doubt(now);
            }
            Cause::Broken => engine.note_failure(now),
            Cause::Silent => engine.note_silence(now),
            Cause::Garbled | Cause::EngineFailed => engine.note_trouble(),
            Cause::Full | Cause::Elsewhere => engine.rest(now.after_millis(FULL_REST_MILLIS)),
        }
    }

    /// Logs an attempt that brought no whole answer.
    pub(super) fn log_failed(
        &self,
        engine: EngineKey,
        failed: Failed,
        aftermath: Option<Aftermath>,
    ) {
        let now = clock::now();
        let fleet = self.state.fleet.borrow();
        let engine = fleet.engine(engine);
        if log::allows_request_line() {
            tracing::info!(
                id = self.call.id(self.state.dialect.names()),
                engine = engine.record.id,
                cause = ?failed.cause,
                failure = ?failed.failure,
                mark = %self.call.mark,
                aftermath = ?aftermath,
                report_age = ?engine.report_age(now),
                attempts = self.standing.attempts,
                "attempt failed"
            );
        }
    }

    pub(super) async fn finish(
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
        if ending == Ending::Refused {
            // Who is barred for its own sake says nothing of a lack of engines.
            if self.barred.is_none() {
                let work = self.call.work();
                self.state
                    .note_refused(work, self.call.visit, self.wait_millis(), clock::now());
            }
            let reason = match (self.barred, self.found_engine) {
                (Some(reason), _) => reason,
                (None, true) => Reason::Full,
                (None, false) => Reason::NoEngine,
            };
            let refusals = &self.state.metrics.refusals;
            refusals.get_or_create(&Refused { reason }).inc();
        }
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
        if self.barred == Some(Reason::Held) {
            return RETRY_HELD;
        }
        let left = self.call.caller_deadline.millis_since(clock::now());
        let most = left as f64 / 1_000.0 / 3.0;
        let range = match self.found_engine {
            true => RETRY_FULL,
            false => RETRY_NO_ENGINE,
        };
        // Whoever comes back should be told from new callers, where that takes no longer than a return may.
        let apart = self.state.told_apart_millis(&self.call.rules().name);
        let apart = apart.map_or(0.0, |millis| millis as f64 / 1_000.0);
        let start = match apart < range.end {
            true => range.start.max(apart),
            false => range.start,
        };
        let spread = range.end - range.start;
        (start + fastrand::f64() * spread).min(most)
    }

    pub(super) fn note_done(&self, progress: &Progress) -> After {
        self.log(Ending::Answered, progress);
        After::Keep
    }

    pub(super) fn note_left(&self) -> After {
        self.log(Ending::Left, &Progress::default());
        After::Close
    }

    /// Counts it among those of its route and size, where it went to model engines.
    fn count_by_size(&self, ending: Ending) {
        let Some(band) = self.call.band else { return };
        let fate = Fate {
            route: self.call.rules().name.clone(),
            size: band.to_string(),
            ending,
        };
        let fates = &self.state.metrics.fates;
        fates.get_or_create(&fate).inc();
    }

    fn log(&self, ending: Ending, progress: &Progress) {
        let requests = &self.state.metrics.requests;
        requests.get_or_create(&Ended { ending }).inc();
        self.count_by_size(ending);
        if !log::allows_request_line() {
            return;
        }
        let now = clock::now();
        // A census looks at every engine, so not every line has one.
        let lacks_engine = ending == Ending::Refused && self.barred.is_none();
        let has_census = lacks_engine && log::allows_census();
        let engines = has_census.then(|| self.census());
        let fleet = self.state.fleet.borrow();
        let engine = self.tried.last().map(|key| fleet.engine(*key));
        tracing::info!(
            id = self.call.id(self.state.dialect.names()),
            outcome = ?ending,
            mark = %self.call.mark,
            route = self.call.rules().name,
            configuration = self.call.configuration.version,
            engine = engine.map(|engine| engine.record.id.as_str()),
            report_age = ?engine.and_then(|engine| engine.report_age(now)),
            attempts = self.standing.attempts,
            cause = ?self.cause,
            barred = self.barred.map(tracing::field::debug),
            predicted = self.predicted_millis as u64,
            first = ?progress.first_millis(self.call.received),
            events = progress.count(),
            pause = progress.longest_pause(),
            beside = self.seen.map(|seen| seen.requests as u64),
            unread = self.seen.map(|seen| seen.unread_tokens),
            prompt = self.call.prompt_tokens,
            size = self.call.band.map(tracing::field::display),
            bound = self.shortfall.map(|short| short.bound as u64),
            queue = self.shortfall.map(|short| short.parts.queue as u64),
            passes = self.shortfall.map(|short| short.parts.passes as u64),
            others = self.shortfall.map(|short| short.parts.others as u64),
            own = self.shortfall.map(|short| short.parts.own as u64),
            error = self.shortfall.map(|short| short.error as u64),
            visit = ?self.call.visit,
            took = now.millis_since(self.call.received),
            engines = engines.map(tracing::field::display),
            "request"
        );
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
        .get_or_create(&Ended { ending })
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
