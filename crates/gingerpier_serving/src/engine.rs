//! One engine: what it does, how it fared lately, and whether it takes new work.
//!
//! What it says of its load is a hint with an age; this gateway's own requests are counted exactly.

use {
    crate::{
        fleet::{Record, State},
        mirror::Revision,
        region::RegionKey,
        report::{Born, Report, Version},
        warmth::{Terms, Warmth},
    },
    gingerpier_base::Instant,
    std::collections::VecDeque,
};

/// Milliseconds that a report may have been under way.
const TRANSIT_MILLIS: u64 = 4;

/// Milliseconds after which a report no longer counts.
const REPORT_LIFE_MILLIS: u64 = 1_500;

/// Gateways of a zone, where reports are missing.
const USUAL_GATEWAYS: f64 = 2.5;

/// Milliseconds that an engine rests after its first failure.
const FIRST_REST_MILLIS: u64 = 250;

/// Failures in a row after which the rest grows no more.
const MOST_DOUBLINGS: u32 = 3;

/// Weight of one outcome in the share of failures.
const FAILURE_WEIGHT: f64 = 0.15;

/// Weight of one answer in the work of its engine.
const WORK_WEIGHT: f64 = 0.1;

/// Weight of one first event in the lateness of its engine.
const LATENESS_WEIGHT: f64 = 0.2;

/// Milliseconds of lateness that predictions may be wrong by.
const LATENESS_FREE_MILLIS: f64 = 120.0;

/// Most milliseconds of lateness that count of one first event.
const MOST_LATENESS_MILLIS: f64 = 1_500.0;

/// Age of a report, in milliseconds, up to which the next one is not overdue.
const REPORT_DUE_MILLIS: u64 = 350;

/// The same for a report that gateways of the engine's zone pass on: digests come every 250 ms on
/// average, by turns of two senders, and one may be lost.
const PASSED_ON_DUE_MILLIS: u64 = 900;

/// Milliseconds since a gateway's last word that its hearer told of, up to which nothing is amiss:
/// two turns of subscriptions, of which one may be lost.
const HEARD_DUE_MILLIS: u64 = 1_100;

/// Milliseconds of silence above which an engine is tried with one request at a time.
const TRIAL_SILENCE_MILLIS: u64 = 100;

/// Milliseconds of lateness above which an engine is suspect.
const SUSPECT_LATENESS_MILLIS: f64 = 400.0;

/// Milliseconds that an engine rests after it was silent.
const SILENCE_REST_MILLIS: u64 = 1_000;

/// Requests of this gateway at one engine.
#[derive(Debug, Clone, Default)]
pub struct Load {
    /// Requests under way.
    pub in_flight: u32,
    /// Requests without a first event.
    pub waiting: u32,
    /// Prompt tokens of those.
    pub waiting_tokens: u64,
    sent: VecDeque<Sent>,
}

/// A request that no report tells of yet.
#[derive(Debug, Clone, Copy)]
struct Sent {
    at: Instant,
    prompt_tokens: u64,
}

/// Requests of all gateways at one engine, as far as this one knows.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Seen {
    /// Requests that run or wait.
    pub requests: f64,
    /// Prompt tokens that were admitted and not yet read.
    pub unread_tokens: u64,
}

/// One engine.
#[derive(Debug, Clone)]
pub struct Engine {
    /// What is listed of it.
    pub record: Record,
    /// This gateway's requests there.
    pub load: Load,
    /// Last word from the engine's own machine, and when it came.
    pub report: Option<(Report, Instant)>,
    /// True once it is no longer listed.
    pub is_gone: bool,
    /// When it counts as gone unless it is listed again; none while its entry is there.
    pub(crate) lapses_at: Option<Instant>,
    /// Revision at which it was listed last.
    pub(crate) revision: Revision,
    /// True where another engine was listed at its address later: it has ended. So it is where nobody named its service.
    pub(crate) is_replaced: bool,
    /// When this incarnation started, as far as it was told.
    pub(crate) born: Option<Born>,
    /// Region of its zone, where it is known.
    pub(crate) region: Option<RegionKey>,
    /// True while its zone is to get no requests.
    pub(crate) is_evacuated: bool,
    /// How warm it is.
    pub warmth: Warmth,
    rests_until: Instant,
    failures_in_row: u32,
    failure_share: f64,
    lateness: f64,
    error_millis: f64,
    /// Milliseconds that one request takes when it does not wait; none until one was answered.
    work_millis: Option<f64>,
    /// True from a request of which nothing came until one that was answered.
    is_suspect: bool,
    /// When this gateway said what its machine heard last.
    heard: Option<Instant>,
    /// Age of the last report up to which the next one is not overdue, in milliseconds.
    report_due_millis: u64,
    /// Since when it takes nothing, as an order is coming or under way.
    closed_since: Option<Instant>,
}

impl Engine {
    pub(crate) fn new(record: Record, revision: Revision) -> Self {
        Self {
            born: record.report.born,
            record,
            load: Load::default(),
            report: None,
            is_gone: false,
            lapses_at: None,
            revision,
            is_replaced: false,
            region: None,
            is_evacuated: false,
            warmth: Warmth::default(),
            rests_until: Instant::default(),
            failures_in_row: 0,
            failure_share: 0.0,
            lateness: 0.0,
            error_millis: 0.0,
            work_millis: None,
            is_suspect: false,
            heard: None,
            report_due_millis: REPORT_DUE_MILLIS,
            closed_since: None,
        }
    }

    /// When this incarnation started, as far as it was told.
    pub const fn born(&self) -> Option<Born> {
        self.born
    }

    /// The newest report that still counts.
    pub fn fresh_report(&self, now: Instant) -> Option<&Report> {
        let (report, at) = self.report.as_ref()?;
        (now.millis_since(*at) <= REPORT_LIFE_MILLIS).then_some(report)
    }

    /// Age of the newest report in milliseconds.
    pub fn report_age(&self, now: Instant) -> Option<u64> {
        self.report.as_ref().map(|(_, at)| now.millis_since(*at))
    }

    /// What is known of its weights and orders.
    pub fn latest(&self, now: Instant) -> &Report {
        self.fresh_report(now).unwrap_or(&self.record.report)
    }

    /// Version of `model` that it holds.
    pub fn version_of(&self, model: &str, now: Instant) -> Option<Version> {
        let held = self.latest(now).held.iter();
        held.filter(|held| held.model == model)
            .map(|held| held.version)
            .max()
    }

    /// True where its entry has been missing for too long.
    pub(crate) fn has_lapsed(&self, now: Instant) -> bool {
        self.lapses_at.is_some_and(|at| at.has_passed(now))
    }

    /// True where it may be sent new work.
    pub fn is_open(&self, now: Instant) -> bool {
        let is_there = !self.is_gone && !self.is_replaced && !self.has_lapsed(now);
        is_there
            && !self.is_evacuated
            && self.record.state == State::Ready
            && self.rests_until.has_passed(now)
    }

    /// True where one of `gateways` may send it a request now, as far as it is cold.
    pub fn is_warm_for(&self, terms: &Terms, gateways: u32, now: Instant) -> bool {
        self.warmth.admits(terms, gateways, now)
    }

    /// What all gateways have there, as far as known.
    pub fn seen(&self, now: Instant) -> Seen {
        let load = &self.load;
        match self.fresh_report(now) {
            Some(report) => {
                let sent: u64 = load.sent.iter().map(|sent| sent.prompt_tokens).sum();
                let requests = report.active + report.queued + load.sent.len() as u32;
                Seen {
                    requests: f64::from(requests.max(load.in_flight)),
                    unread_tokens: (report.unread_tokens + sent).max(load.waiting_tokens),
                }
            }
            None => Seen {
                requests: f64::from(load.in_flight) * USUAL_GATEWAYS,
                unread_tokens: (load.waiting_tokens as f64 * USUAL_GATEWAYS) as u64,
            },
        }
    }

    /// Requests of all gateways at this engine, as far as known.
    pub fn occupancy(&self, now: Instant) -> f64 {
        self.seen(now).requests
    }

    /// Share of recent requests that failed there, from 0 to 1.
    pub const fn failure_share(&self) -> f64 {
        self.failure_share
    }

    /// Milliseconds by which first events came later than predicted, lately.
    pub const fn lateness(&self) -> f64 {
        self.lateness
    }

    /// Milliseconds by which first events came later than predicted, on average; below zero where they came
    /// earlier.
    pub const fn error_millis(&self) -> f64 {
        self.error_millis
    }

    /// Milliseconds that one request takes here when it does not wait, as measured.
    pub const fn work_millis(&self) -> Option<f64> {
        self.work_millis
    }

    /// How many times longer than alone a request takes beside this gateway's others.
    pub fn crowding(&self) -> f64 {
        1.0 + f64::from(self.load.in_flight) / f64::from(self.record.slots.max(1))
    }

    /// Notes that a request, sent at some `crowding`, was answered after `millis`.
    pub fn note_work(&mut self, millis: f64, crowding: f64) {
        let alone = millis / crowding.max(1.0);
        let known = self.work_millis.unwrap_or(alone);
        self.work_millis = Some(known + (alone - known) * WORK_WEIGHT);
    }

    /// Milliseconds by which word from or to the engine's machine is overdue: a machine that
    /// stands still or whose link is choked is silent first.
    pub fn silence(&self, now: Instant) -> u64 {
        let age = self.report_age(now).unwrap_or_default();
        let overdue = age.saturating_sub(self.report_due_millis);
        let unheard = self.heard.map_or(0, |heard| now.millis_since(heard));
        overdue.max(unheard.saturating_sub(HEARD_DUE_MILLIS))
    }

    /// Notes that the engine's machine has heard what this gateway said at `heard`.
    pub fn note_echo(&mut self, heard: Instant) {
        self.heard = self.heard.max(Some(heard));
    }

    /// Notes by how many milliseconds a first event came later than predicted.
    pub fn note_lateness(&mut self, millis: f64) {
        let error = millis.clamp(-MOST_LATENESS_MILLIS, MOST_LATENESS_MILLIS);
        self.error_millis += (error - self.error_millis) * LATENESS_WEIGHT;
        let late = (millis - LATENESS_FREE_MILLIS).clamp(0.0, MOST_LATENESS_MILLIS);
        self.lateness += (late - self.lateness) * LATENESS_WEIGHT;
    }

    /// Takes a report that came from the engine's machine.
    pub fn note_report(&mut self, report: Report, now: Instant) {
        self.report_due_millis = REPORT_DUE_MILLIS;
        self.take_report(report, now);
    }

    /// Takes a report as of `at` that a gateway of the engine's zone passed on; one that is older than
    /// what is known changes nothing.
    pub fn note_passed_on(&mut self, report: Report, at: Instant) {
        if self.report.as_ref().is_some_and(|(_, last)| *last >= at) {
            return;
        }
        self.report_due_millis = PASSED_ON_DUE_MILLIS;
        // Its machine is not asked from here, so nothing is to be heard of that.
        self.heard = None;
        self.take_report(report, at);
    }

    fn take_report(&mut self, report: Report, at: Instant) {
        let sent = &mut self.load.sent;
        while sent
            .front()
            .is_some_and(|sent| at.millis_since(sent.at) > TRANSIT_MILLIS)
        {
            sent.pop_front();
        }
        self.closed_since = match (report.is_busy, self.closed_since) {
            (true, None) => Some(at),
            (true, since) => since,
            (false, _) => None,
        };
        self.report = Some((report, at));
    }

    /// Milliseconds for which it has taken nothing because of an order; none where it takes work.
    pub fn closed_millis(&self, now: Instant) -> Option<u64> {
        self.closed_since.map(|since| now.millis_since(since))
    }

    /// Notes a request sent there with `tokens` of prompt.
    pub fn note_sent(&mut self, tokens: u64, now: Instant) {
        self.warmth.note_sent(now);
        self.load.in_flight += 1;
        self.load.waiting += 1;
        self.load.waiting_tokens += tokens;
        self.load.sent.push_back(Sent {
            at: now,
            prompt_tokens: tokens,
        });
        while self
            .load
            .sent
            .front()
            .is_some_and(|sent| now.millis_since(sent.at) > REPORT_LIFE_MILLIS)
        {
            self.load.sent.pop_front();
        }
    }

    /// Notes the first event of a request sent with `tokens`.
    pub fn note_first(&mut self, tokens: u64) {
        self.load.waiting = self.load.waiting.saturating_sub(1);
        self.load.waiting_tokens = self.load.waiting_tokens.saturating_sub(tokens);
    }

    /// Notes the end of a request; `waiting` where it had no first event.
    pub fn note_end(&mut self, tokens: u64, waiting: bool) {
        self.load.in_flight = self.load.in_flight.saturating_sub(1);
        if waiting {
            self.note_first(tokens);
        }
    }

    /// Notes that it answered as it should.
    pub fn note_success(&mut self) {
        self.failures_in_row = 0;
        self.is_suspect = false;
        self.failure_share *= 1.0 - FAILURE_WEIGHT;
    }

    /// Notes that it could not be reached or broke an answer off: it rests.
    pub fn note_failure(&mut self, now: Instant) {
        let rest = FIRST_REST_MILLIS << self.failures_in_row.min(MOST_DOUBLINGS);
        self.rests_until = now.after_millis(rest);
        self.failures_in_row += 1;
        self.failure_share += (1.0 - self.failure_share) * FAILURE_WEIGHT;
    }

    /// Notes that nothing came of a request for too long.
    pub fn note_silence(&mut self, now: Instant) {
        self.note_failure(now);
        self.note_lateness(MOST_LATENESS_MILLIS);
        self.is_suspect = true;
        self.rest(now.after_millis(SILENCE_REST_MILLIS));
    }

    /// True from a request of which nothing came until one that was answered, and where first
    /// events come much later than predicted.
    pub fn is_suspect(&self) -> bool {
        self.is_suspect || self.lateness > SUSPECT_LATENESS_MILLIS
    }

    /// True where one request at a time shows whether the engine is well again.
    pub fn is_on_trial(&self, now: Instant) -> bool {
        self.load.waiting > 0 && (self.is_suspect || self.silence(now) > TRIAL_SILENCE_MILLIS)
    }

    /// Notes an answer that tells of trouble, while the engine is well otherwise.
    pub fn note_trouble(&mut self) {
        self.failure_share += (1.0 - self.failure_share) * FAILURE_WEIGHT;
    }

    /// Notes that it takes nothing for now.
    pub fn rest(&mut self, until: Instant) {
        self.rests_until = self.rests_until.max(until);
    }
}
