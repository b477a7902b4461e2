//! Signals in the heads of engines' responses, and this gateway's share in request limits.

use {
    super::{State, placement::MIN_UPTIME_MILLIS},
    crate::{clock, log},
    gingerpier_base::{Instant, order},
    gingerpier_http1::head::Response,
    gingerpier_serving::{
        engine::Engine,
        fleet::EngineKey,
        request_limit::Schedule,
        signals::{self, Changes, RequestLimit, Signals},
        zones::Exchange,
    },
};

/// Standard fields of responses that carry no signal, in lower case.
const STANDARD_FIELDS: [&str; 7] = [
    "connection",
    "content-length",
    "content-type",
    "date",
    "keep-alive",
    "server",
    "transfer-encoding",
];

/// Most names of unknown fields that are logged.
const MAX_UNKNOWN_FIELDS: usize = 32;

impl State {
    /// Records the signals in the head of a response of `engine` to a request that was sent at
    /// `sent_at`, `None` if unknown.
    pub fn record_signals(&self, engine: EngineKey, head: &Response, sent_at: Option<Instant>) {
        self.log_unknown_fields(engine, head);
        let signals = self.signals_of(head);
        let now = clock::now();
        let mut fleet = self.fleet.borrow_mut();
        let engine = fleet.engine_mut(engine);
        let phase = match signals.request_limit {
            RequestLimit::PerSecond(_) => fastrand::f64(),
            RequestLimit::Unlimited | RequestLimit::Invalid => 0.0,
        };
        let changes = engine.signals.record(&signals, sent_at, now, phase);
        if changes.limit {
            self.update_request_interval(engine, &self.zones.borrow(), now);
        }
        log_changes(engine, &signals, changes, now);
    }

    /// Logs each name of a response field once that is neither standard nor used here.
    fn log_unknown_fields(&self, engine: EngineKey, head: &Response) {
        let used = self.platform_api.header_names().response_fields();
        let mut unknown = self.unknown_fields.borrow_mut();
        for (name, _) in head.fields.iter() {
            let is_name = |known: &&str| name.eq_ignore_ascii_case(known.as_bytes());
            let is_logged = |logged: &Vec<u8>| name.eq_ignore_ascii_case(logged);
            let is_known = used.iter().chain(&STANDARD_FIELDS).any(is_name);
            if is_known || unknown.len() >= MAX_UNKNOWN_FIELDS || unknown.iter().any(is_logged) {
                continue;
            }
            unknown.push(name.to_vec());
            tracing::warn!(
                engine = self.fleet.borrow().engine(engine).record.id,
                field = %String::from_utf8_lossy(name),
                status = head.status,
                "engines send a response field that is not used"
            );
        }
    }

    fn signals_of(&self, head: &Response) -> Signals {
        let names = self.platform_api.header_names();
        let fields = &head.fields;
        let retry_after = fields.get(names.retry_after);
        let rejects = matches!(head.status, 429 | 503);
        Signals {
            request_limit: RequestLimit::parse(fields.all(names.request_limit)),
            is_draining: signals::is_draining(fields.get(names.draining)),
            retry_delay_millis: retry_after
                .filter(|_| rejects)
                .and_then(signals::parse_retry_delay_millis),
        }
    }

    /// Updates this gateway's share in the request limits of all engines.
    pub fn update_request_intervals(&self) {
        let now = clock::now();
        let zones = self.zones.borrow();
        let mut fleet = self.fleet.borrow_mut();
        let has_limit = |engine: &Engine| engine.signals.request_limit().is_some();
        let limited = fleet.listed().filter(|(_, engine)| has_limit(engine));
        let limited: Vec<EngineKey> = limited.map(|(key, _)| key).collect();
        for key in limited {
            self.update_request_interval(fleet.engine_mut(key), &zones, now);
        }
    }

    /// Does nothing until this gateway has run for long enough to know the others.
    fn update_request_interval(&self, engine: &mut Engine, zones: &Exchange, now: Instant) {
        let Some(per_second) = engine.signals.request_limit() else {
            return;
        };
        let counts_from = self.running_since.get().after_millis(MIN_UPTIME_MILLIS);
        if !counts_from.has_passed(now) {
            return;
        }
        let gateways = zones.gateway_count();
        let schedule = Schedule::new(per_second, gateways);
        let owners = schedule.owners;
        let subject = order::hash(&engine.record.address);
        let is_owner = owners == gateways || zones.is_among(subject, owners as usize, now);
        engine.signals.set_interval(match is_owner {
            true => schedule.owner_interval_millis,
            false => schedule.probe_interval_millis,
        });
    }
}

fn log_changes(engine: &Engine, signals: &Signals, changes: Changes, now: Instant) {
    let id = &engine.record.id;
    let report_age = engine.report_age(now);
    if changes.draining {
        tracing::info!(
            engine = id,
            ?report_age,
            "engine signals that it is draining"
        );
    }
    if changes.retry_delay && log::allows_request_line() {
        tracing::info!(
            engine = id,
            retry_delay_millis = signals.retry_delay_millis,
            ?report_age,
            "engine rejects requests until a retry delay is over"
        );
    }
    if changes.limit && log::allows_request_line() {
        tracing::info!(
            engine = id,
            limit = ?engine.signals.request_limit(),
            in_flight = engine.load.in_flight,
            ?report_age,
            "engine changed its request limit"
        );
    }
}
