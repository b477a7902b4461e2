//! Load, health and availability of one engine as seen by this gateway.
//!
//! Status reports of the engine are estimates with an age; requests of this gateway are counted
//! exactly.

use {
    crate::{
        fleet::{Record, State},
        mirror::Revision,
        region::RegionKey,
        report::{Born, Report, Version},
        signals::SignalState,
        warmup::{ColdLimits, Warmup},
    },
    gingerpier_base::Instant,
    std::collections::VecDeque,
};

/// Assumed upper bound of a report's transit time.
const MAX_TRANSIT_MILLIS: u64 = 4;

/// Age from which a report is stale.
const REPORT_STALE_MILLIS: u64 = 1_500;

/// Assumed number of gateways with requests at an engine whose report is stale.
const ASSUMED_GATEWAYS: f64 = 2.5;

/// Backoff after the first failure; doubles with each consecutive one.
const INITIAL_BACKOFF_MILLIS: u64 = 250;

/// Limit of the doublings.
const MAX_BACKOFF_DOUBLINGS: u32 = 3;

/// Weight of one result in the average failure rate.
const FAILURE_WEIGHT: f64 = 0.15;

/// Weight of one response in the average request time.
const WORK_WEIGHT: f64 = 0.1;

/// Weight of one first event in the average lateness.
const LATENESS_WEIGHT: f64 = 0.2;

/// Lateness that is within the normal prediction error.
const LATENESS_TOLERANCE_MILLIS: f64 = 120.0;

/// Limit of the lateness of a single first event.
const MAX_LATENESS_MILLIS: f64 = 1_500.0;

/// Age from which the next report of the engine's own box is overdue.
const REPORT_OVERDUE_MILLIS: u64 = 350;

/// Age from which the next report forwarded by gateways in the engine's zone is overdue: forwarding
/// is slower, and one message may be lost.
const FORWARDED_REPORT_OVERDUE_MILLIS: u64 = 900;

/// Time since the last acknowledged message to the engine's box from which the next acknowledgement
/// is overdue; longer than two subscription periods, as one message may be lost.
const ACK_OVERDUE_MILLIS: u64 = 1_100;

/// Overdue time above which an engine gets one request at a time.
const TRIAL_OVERDUE_MILLIS: u64 = 100;

/// Average lateness above which an engine is suspect.
const SUSPECT_LATENESS_MILLIS: f64 = 400.0;

/// Backoff after a request timed out without a response.
const TIMEOUT_BACKOFF_MILLIS: u64 = 1_000;

/// Requests of this gateway at one engine.
#[derive(Debug, Clone, Default)]
pub struct Load {
    /// Requests in flight.
    pub in_flight: u32,
    /// Requests without a first event.
    pub waiting: u32,
    /// Prompt tokens of the requests without a first event.
    pub waiting_tokens: u64,
    unreported: VecDeque<UnreportedRequest>,
}

/// Request that isn't included in a status report yet.
#[derive(Debug, Clone, Copy)]
struct UnreportedRequest {
    sent_at: Instant,
    prompt_tokens: u64,
}

/// Estimated requests of all gateways at one engine.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct EstimatedLoad {
    /// Running and queued requests.
    pub requests: f64,
    /// Prompt tokens that are admitted but not yet processed.
    pub pending_prompt_tokens: u64,
}

/// One incarnation of an engine.
#[derive(Debug, Clone)]
pub struct Engine {
    /// Latest entry of the engine in the store.
    pub record: Record,
    /// Requests of this gateway.
    pub load: Load,
    /// Latest status report and its time.
    pub report: Option<(Report, Instant)>,
    /// True after the entry was removed or has expired.
    pub is_removed: bool,
    /// Time at which a missing entry expires; `None` while the entry exists.
    pub(crate) expires_at: Option<Instant>,
    /// Store revision of the latest entry.
    pub(crate) revision: Revision,
    /// True if a newer engine is listed at the same address, or if the service isn't configured.
    pub is_replaced: bool,
    /// Start time of this incarnation; `None` until known.
    pub(crate) start_time: Option<Born>,
    /// Region of its zone; `None` if unknown.
    pub region: Option<RegionKey>,
    /// True while its zone is evacuated.
    pub is_evacuated: bool,
    /// Warm-up state.
    pub warmup: Warmup,
    /// Signals in its responses to this gateway.
    pub signals: SignalState,
    backoff_until: Instant,
    consecutive_failures: u32,
    failure_rate: f64,
    lateness_millis: f64,
    error_millis: f64,
    /// Average time of a request without queueing; `None` until the first response.
    work_millis: Option<f64>,
    /// True after a request timed out without a response, until the next successful one.
    is_suspect: bool,
    /// Send time of the latest message that the engine's box has acknowledged.
    last_acked_sent_at: Option<Instant>,
    /// Age from which the next report is overdue; depends on how the latest one was received.
    report_overdue_millis: u64,
    /// Time since which the engine accepts no requests because of an order.
    blocked_since: Option<Instant>,
}

impl Engine {
    pub(crate) fn new(record: Record, revision: Revision) -> Self {
        Self {
            start_time: record.report.start_time,
            record,
            load: Load::default(),
            report: None,
            is_removed: false,
            expires_at: None,
            revision,
            is_replaced: false,
            region: None,
            is_evacuated: false,
            warmup: Warmup::default(),
            signals: SignalState::default(),
            backoff_until: Instant::default(),
            consecutive_failures: 0,
            failure_rate: 0.0,
            lateness_millis: 0.0,
            error_millis: 0.0,
            work_millis: None,
            is_suspect: false,
            last_acked_sent_at: None,
            report_overdue_millis: REPORT_OVERDUE_MILLIS,
            blocked_since: None,
        }
    }

    /// Start time of this incarnation; `None` until known.
    pub const fn start_time(&self) -> Option<Born> {
        self.start_time
    }

    /// Latest report, unless it is stale.
    pub fn fresh_report(&self, now: Instant) -> Option<&Report> {
        let (report, at) = self.report.as_ref()?;
        (now.millis_since(*at) <= REPORT_STALE_MILLIS).then_some(report)
    }

    /// Age of the latest report in milliseconds.
    pub fn report_age(&self, now: Instant) -> Option<u64> {
        self.report.as_ref().map(|(_, at)| now.millis_since(*at))
    }

    /// Latest report, or the one in the store entry if that is stale.
    pub fn latest_report(&self, now: Instant) -> &Report {
        self.fresh_report(now).unwrap_or(&self.record.report)
    }

    /// Newest version of `model` that is loaded.
    pub fn loaded_version(&self, model: &str, now: Instant) -> Option<Version> {
        let loaded = self.latest_report(now).loaded.iter();
        loaded
            .filter(|weights| weights.model == model)
            .map(|weights| weights.version)
            .max()
    }

    /// True if the entry has been missing for longer than the grace period.
    pub fn has_expired(&self, now: Instant) -> bool {
        self.expires_at.is_some_and(|at| at.has_passed(now))
    }

    /// True once the entry or a response says that the engine is about to leave.
    pub fn is_draining(&self) -> bool {
        self.record.state == State::Draining || self.signals.is_draining()
    }

    /// True if the engine accepts new requests.
    pub fn is_open(&self, now: Instant) -> bool {
        let is_listed = !self.is_removed && !self.is_replaced && !self.has_expired(now);
        let is_backing_off = !self.backoff_until.has_passed(now) || self.signals.is_rejecting(now);
        is_listed && !self.is_evacuated && !self.is_draining() && !is_backing_off
    }

    /// True if the warm-up limits let one of `gateways` send a request now.
    pub fn is_within_warmup_limits(
        &self,
        limits: &ColdLimits,
        gateways: u32,
        now: Instant,
    ) -> bool {
        self.warmup.allows_request(limits, gateways, now)
    }

    /// Estimates the requests of all gateways at the engine.
    pub fn estimated_load(&self, now: Instant) -> EstimatedLoad {
        let load = &self.load;
        match self.fresh_report(now) {
            Some(report) => {
                let unreported_tokens: u64 = load
                    .unreported
                    .iter()
                    .map(|request| request.prompt_tokens)
                    .sum();
                let reported = report.active.saturating_add(report.queued);
                let requests = reported.saturating_add(load.unreported.len() as u32);
                EstimatedLoad {
                    requests: f64::from(requests.max(load.in_flight)),
                    pending_prompt_tokens: report
                        .pending_prompt_tokens
                        .saturating_add(unreported_tokens)
                        .max(load.waiting_tokens),
                }
            }
            None => EstimatedLoad {
                requests: f64::from(load.in_flight) * ASSUMED_GATEWAYS,
                pending_prompt_tokens: (load.waiting_tokens as f64 * ASSUMED_GATEWAYS) as u64,
            },
        }
    }

    /// Tokens that the engine's memory can still hold, less the prompts that were sent to it since
    /// its last report; `None` if it reports no capacity.
    pub fn free_memory_tokens(&self, now: Instant) -> Option<u64> {
        let report = self.fresh_report(now)?;
        let unreported = self.load.unreported.iter();
        let unreported_tokens: u64 = unreported.map(|request| request.prompt_tokens).sum();
        let used_tokens = report.memory_used_tokens.saturating_add(unreported_tokens);
        (report.memory_total_tokens > 0)
            .then(|| report.memory_total_tokens.saturating_sub(used_tokens))
    }

    /// Estimated number of requests of all gateways.
    pub fn occupancy(&self, now: Instant) -> f64 {
        self.estimated_load(now).requests
    }

    /// Average failure rate of recent requests, from 0 to 1.
    pub const fn failure_rate(&self) -> f64 {
        self.failure_rate
    }

    /// Average lateness of recent first events beyond the normal prediction error, in milliseconds.
    pub const fn lateness_millis(&self) -> f64 {
        self.lateness_millis
    }

    /// Average prediction error of recent first events in milliseconds; positive if they were late.
    pub const fn error_millis(&self) -> f64 {
        self.error_millis
    }

    /// Average time of a request without queueing in milliseconds; `None` until measured.
    pub const fn work_millis(&self) -> Option<f64> {
        self.work_millis
    }

    /// Assumed slowdown of a request by the other requests of this gateway; 1 if there are none.
    pub fn sharing_slowdown(&self) -> f64 {
        1.0 + f64::from(self.load.in_flight) / f64::from(self.record.slots.max(1))
    }

    /// Records the response time of a request that was sent at this slowdown factor.
    pub fn record_work(&mut self, millis: f64, sharing_slowdown: f64) {
        let unshared_millis = millis / sharing_slowdown.max(1.0);
        let average = self.work_millis.unwrap_or(unshared_millis);
        self.work_millis = Some(average + (unshared_millis - average) * WORK_WEIGHT);
    }

    /// True if the latest report was forwarded by gateways of the engine's zone.
    pub const fn has_forwarded_report(&self) -> bool {
        self.report_overdue_millis == FORWARDED_REPORT_OVERDUE_MILLIS
    }

    /// Milliseconds by which a report or an acknowledgement of the engine's box is overdue, such as
    /// after a process pause or on a congested link.
    pub fn overdue_millis(&self, now: Instant) -> u64 {
        let age = self.report_age(now).unwrap_or_default();
        let report_overdue = age.saturating_sub(self.report_overdue_millis);
        let unacked_millis = self
            .last_acked_sent_at
            .map_or(0, |sent_at| now.millis_since(sent_at));
        report_overdue.max(unacked_millis.saturating_sub(ACK_OVERDUE_MILLIS))
    }

    /// Records that the engine's box acknowledged a message that was sent at `sent_at`.
    pub fn record_ack(&mut self, sent_at: Instant) {
        self.last_acked_sent_at = self.last_acked_sent_at.max(Some(sent_at));
    }

    /// Records how many milliseconds a first event came later than predicted; negative if earlier.
    pub fn record_lateness(&mut self, millis: f64) {
        let error = millis.clamp(-MAX_LATENESS_MILLIS, MAX_LATENESS_MILLIS);
        self.error_millis += (error - self.error_millis) * LATENESS_WEIGHT;
        let excess = (millis - LATENESS_TOLERANCE_MILLIS).clamp(0.0, MAX_LATENESS_MILLIS);
        self.lateness_millis += (excess - self.lateness_millis) * LATENESS_WEIGHT;
    }

    /// Records a report that was received from the engine's box.
    pub fn record_report(&mut self, report: Report, now: Instant) {
        self.report_overdue_millis = REPORT_OVERDUE_MILLIS;
        self.apply_report(report, now);
    }

    /// Records a report from `at` that a gateway in the engine's zone forwarded; ignored if a newer
    /// one is known.
    pub fn record_forwarded_report(&mut self, report: Report, at: Instant) {
        if self
            .report
            .as_ref()
            .is_some_and(|(_, latest_at)| *latest_at >= at)
        {
            return;
        }
        self.report_overdue_millis = FORWARDED_REPORT_OVERDUE_MILLIS;
        // Boxes in other zones aren't contacted directly, so they acknowledge no messages.
        self.last_acked_sent_at = None;
        self.apply_report(report, at);
    }

    fn apply_report(&mut self, report: Report, at: Instant) {
        let unreported = &mut self.load.unreported;
        while unreported
            .front()
            .is_some_and(|request| at.millis_since(request.sent_at) > MAX_TRANSIT_MILLIS)
        {
            unreported.pop_front();
        }
        self.blocked_since = match (report.is_busy, self.blocked_since) {
            (true, None) => Some(at),
            (true, since) => since,
            (false, _) => None,
        };
        self.report = Some((report, at));
    }

    /// Time since which the engine accepts no requests because of an order; `None` if it accepts
    /// them.
    pub fn blocked_millis(&self, now: Instant) -> Option<u64> {
        self.blocked_since.map(|since| now.millis_since(since))
    }

    /// Records a request with this prompt length as sent.
    pub fn record_sent(&mut self, tokens: u64, now: Instant) {
        self.warmup.record_sent(now);
        self.signals.record_sent(now);
        self.load.in_flight += 1;
        self.load.waiting += 1;
        self.load.waiting_tokens += tokens;
        self.load.unreported.push_back(UnreportedRequest {
            sent_at: now,
            prompt_tokens: tokens,
        });
        while self
            .load
            .unreported
            .front()
            .is_some_and(|request| now.millis_since(request.sent_at) > REPORT_STALE_MILLIS)
        {
            self.load.unreported.pop_front();
        }
    }

    /// Records the first event of a request with this prompt length.
    pub fn record_first_event(&mut self, tokens: u64) {
        self.load.waiting = self.load.waiting.saturating_sub(1);
        self.load.waiting_tokens = self.load.waiting_tokens.saturating_sub(tokens);
    }

    /// Records the end of a request; `waiting` is true if it had no first event.
    pub fn record_end(&mut self, tokens: u64, waiting: bool) {
        self.load.in_flight = self.load.in_flight.saturating_sub(1);
        if waiting {
            self.record_first_event(tokens);
        }
    }

    /// Records a successful response.
    pub fn record_success(&mut self) {
        self.consecutive_failures = 0;
        self.is_suspect = false;
        self.failure_rate *= 1.0 - FAILURE_WEIGHT;
    }

    /// Records a connection failure or an interrupted response, and backs off.
    pub fn record_failure(&mut self, now: Instant) {
        let backoff =
            INITIAL_BACKOFF_MILLIS << self.consecutive_failures.min(MAX_BACKOFF_DOUBLINGS);
        self.backoff_until = now.after_millis(backoff);
        self.consecutive_failures += 1;
        self.failure_rate += (1.0 - self.failure_rate) * FAILURE_WEIGHT;
    }

    /// Records a request that timed out without a response.
    pub fn record_timeout(&mut self, now: Instant) {
        self.record_failure(now);
        self.record_lateness(MAX_LATENESS_MILLIS);
        self.is_suspect = true;
        self.back_off_until(now.after_millis(TIMEOUT_BACKOFF_MILLIS));
    }

    /// True after a request timed out without a response until the next success, and while first
    /// events are much later than predicted.
    pub fn is_suspect(&self) -> bool {
        self.is_suspect || self.lateness_millis > SUSPECT_LATENESS_MILLIS
    }

    /// True while a request to a suspect or silent engine is pending, so that no other one is sent.
    pub fn is_on_trial(&self, now: Instant) -> bool {
        self.load.waiting > 0
            && (self.is_suspect || self.overdue_millis(now) > TRIAL_OVERDUE_MILLIS)
    }

    /// Records an error response of an engine that is otherwise healthy.
    pub fn record_error_response(&mut self) {
        self.failure_rate += (1.0 - self.failure_rate) * FAILURE_WEIGHT;
    }

    /// Backs off until this time.
    pub fn back_off_until(&mut self, until: Instant) {
        self.backoff_until = self.backoff_until.max(until);
    }
}
