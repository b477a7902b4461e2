//! Metrics of a process in the OpenMetrics text format.

use {
    gingerpier_http::{Listener, answer},
    prometheus_client::{
        encoding::{EncodeLabelSet, text::encode},
        metrics::{counter::Counter, family::Family, gauge::Gauge, histogram::Histogram},
        registry::{Registry, Unit},
    },
    std::rc::Rc,
};

/// Histogram bounds in seconds.
const FIRST_PART_BOUNDS_SECONDS: [f64; 10] =
    [0.002, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1.0, 2.0];

/// Histogram bounds in seconds, up to delays longer than the stall deadline of a transfer.
const DELAY_BOUNDS_SECONDS: [f64; 8] = [0.002, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1.0];

/// Labels of a finished request.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct OutcomeLabel {
    /// `answered`, `not_run`, `unknown` or `broken_off`.
    pub outcome: String,
    /// Client account.
    pub account: String,
}

/// Label of the source of weights.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct SourceLabel {
    /// `origin`, `own_zone` or `other_zone`.
    pub source: String,
}

/// Label of a peer.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct PeerLabel {
    /// Name of a box, or `origin`.
    pub peer: String,
}

/// Metrics of one process; metrics of the other role stay zero.
pub struct Metrics {
    registry: Registry,
    /// Finished requests.
    pub requests: Family<OutcomeLabel, Counter>,
    /// Attempts after the first of a request.
    pub retries: Counter,
    /// Seconds from a request to the first part of its response.
    pub time_to_first_part: Histogram,
    /// Requests in progress.
    pub in_flight: Gauge,
    /// Current revision of the catalogue.
    pub revision: Gauge,
    /// Bytes of weights received.
    pub weights_received: Family<SourceLabel, Counter>,
    /// Bytes of weights sent to peers.
    pub weights_sent: Counter,
    /// Received chunks that don't match their digest.
    pub chunks_corrupt: Family<PeerLabel, Counter>,
    /// Orders to engines withheld because of a newer fence at the engine, or an unconfirmed
    /// revision.
    pub orders_withheld: Counter,
    /// Calls of the key-value service.
    pub key_value_calls: Counter,
    /// Seconds by which timers fired late.
    pub timer_delay: Histogram,
    /// Bytes sent on links, with transport overhead.
    pub link_sent: Gauge,
    /// Bytes received on links, with transport overhead.
    pub link_received: Gauge,
}

impl Default for Metrics {
    fn default() -> Self {
        let mut registry = Registry::with_prefix("gingerpier");
        let time_to_first_part = Histogram::new(FIRST_PART_BOUNDS_SECONDS);
        let mut metrics = Self {
            registry: Registry::default(),
            requests: Family::default(),
            retries: Counter::default(),
            time_to_first_part,
            in_flight: Gauge::default(),
            revision: Gauge::default(),
            weights_received: Family::default(),
            weights_sent: Counter::default(),
            chunks_corrupt: Family::default(),
            orders_withheld: Counter::default(),
            key_value_calls: Counter::default(),
            timer_delay: Histogram::new(DELAY_BOUNDS_SECONDS),
            link_sent: Gauge::default(),
            link_received: Gauge::default(),
        };
        metrics.register(&mut registry);
        metrics.registry = registry;
        metrics
    }
}

impl Metrics {
    fn register(&self, registry: &mut Registry) {
        registry.register(
            "requests",
            "Requests ended, by outcome",
            self.requests.clone(),
        );
        registry.register("retries", "Attempts after the first", self.retries.clone());
        registry.register_with_unit(
            "first_part",
            "Time to an answer's first part",
            Unit::Seconds,
            self.time_to_first_part.clone(),
        );
        registry.register(
            "in_flight_requests",
            "Requests in flight",
            self.in_flight.clone(),
        );
        registry.register("revision", "Revision in force", self.revision.clone());
        registry.register_with_unit(
            "weights_taken",
            "Weights taken, by source",
            Unit::Bytes,
            self.weights_received.clone(),
        );
        registry.register_with_unit(
            "weights_given",
            "Weights given to peers",
            Unit::Bytes,
            self.weights_sent.clone(),
        );
        registry.register_with_unit(
            "link_sent",
            "Sent on links",
            Unit::Bytes,
            self.link_sent.clone(),
        );
        registry.register_with_unit(
            "link_received",
            "Received on links",
            Unit::Bytes,
            self.link_received.clone(),
        );
        registry.register_with_unit(
            "turn_delay",
            "Time by which turns of the process's thread were late",
            Unit::Seconds,
            self.timer_delay.clone(),
        );
        registry.register(
            "chunks_corrupt",
            "Chunks that came wrong",
            self.chunks_corrupt.clone(),
        );
        registry.register(
            "orders_withheld",
            "Orders refused for a stale fence or withheld for want of a confirmed one",
            self.orders_withheld.clone(),
        );
        registry.register(
            "key_value_calls",
            "Calls of the key-value service",
            self.key_value_calls.clone(),
        );
    }

    /// Encodes all metrics as text.
    pub fn to_text(&self) -> String {
        let mut text = String::new();
        match encode(&mut text, &self.registry) {
            Ok(()) => text,
            Err(error) => format!("# the metrics can't be written: {error}\n"),
        }
    }

    /// Serves `GET /metrics` until the future is dropped.
    pub async fn serve(self: Rc<Self>, listener: Listener) {
        let handler = move |request: actix_http::Request| {
            let metrics = self.clone();
            async move {
                match request.path() {
                    "/metrics" => answer::text(200, metrics.to_text().trim_end()),
                    _ => answer::text(404, "metrics are at /metrics"),
                }
            }
        };
        listener.serve(handler).await;
    }
}
