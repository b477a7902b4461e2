//! Metrics of a process, in the OpenMetrics text form, with their units in their names.

use {
    gingerpier_http::{Listener, answer},
    prometheus_client::{
        encoding::{EncodeLabelSet, text::encode},
        metrics::{counter::Counter, family::Family, gauge::Gauge, histogram::Histogram},
        registry::{Registry, Unit},
    },
    std::rc::Rc,
};

/// Bounds of the time to an answer's first part, in seconds.
const FIRST_PART_BOUNDS: [f64; 10] = [0.002, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1.0, 2.0];

/// Bounds of the delay of the thread's turns, in seconds: from a usual one to one that outlasts a stall.
const DELAY_BOUNDS: [f64; 8] = [0.002, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1.0];

/// How a request ended.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct OutcomeLabel {
    /// `answered`, `not_run`, `unknown` or `broken_off`.
    pub outcome: String,
    /// Client account.
    pub account: String,
}

/// Where bytes of weights came from.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct SourceLabel {
    /// `origin`, `own_zone` or `other_zone`.
    pub source: String,
}

/// A box that did wrong.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct PeerLabel {
    /// Its name.
    pub peer: String,
}

/// Metrics of one process; those of the other role stay at zero.
pub struct Metrics {
    registry: Registry,
    /// Requests ended.
    pub requests: Family<OutcomeLabel, Counter>,
    /// Attempts sent again.
    pub retries: Counter,
    /// Seconds to an answer's first part.
    pub first_part: Histogram,
    /// Requests in flight.
    pub in_flight: Gauge,
    /// Revision in force.
    pub revision: Gauge,
    /// Bytes of weights taken.
    pub weights_taken: Family<SourceLabel, Counter>,
    /// Bytes of weights given to peers.
    pub weights_given: Counter,
    /// Chunks that came wrong.
    pub chunks_corrupt: Family<PeerLabel, Counter>,
    /// Orders refused for a stale fence, or not given for want of a confirmed one.
    pub orders_withheld: Counter,
    /// Calls of the key-value service.
    pub key_value_calls: Counter,
    /// Seconds by which turns of the process's one thread were late.
    pub turn_delay: Histogram,
    /// Bytes sent on links, with all that the transport adds.
    pub link_sent: Gauge,
    /// Bytes received on links, with all that the transport adds.
    pub link_received: Gauge,
}

impl Default for Metrics {
    fn default() -> Self {
        let mut registry = Registry::with_prefix("gingerpier");
        let first_part = Histogram::new(FIRST_PART_BOUNDS);
        let mut metrics = Self {
            registry: Registry::default(),
            requests: Family::default(),
            retries: Counter::default(),
            first_part,
            in_flight: Gauge::default(),
            revision: Gauge::default(),
            weights_taken: Family::default(),
            weights_given: Counter::default(),
            chunks_corrupt: Family::default(),
            orders_withheld: Counter::default(),
            key_value_calls: Counter::default(),
            turn_delay: Histogram::new(DELAY_BOUNDS),
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
            self.first_part.clone(),
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
            self.weights_taken.clone(),
        );
        registry.register_with_unit(
            "weights_given",
            "Weights given to peers",
            Unit::Bytes,
            self.weights_given.clone(),
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
            self.turn_delay.clone(),
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

    /// All metrics as text.
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
