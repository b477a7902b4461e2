//! Metrics of a gateway, served in the Prometheus text format.

use {
    prometheus_client::{
        encoding::{EncodeLabelSet, EncodeLabelValue, LabelValueEncoder, text},
        metrics::{counter::Counter, family::Family, gauge::Gauge, histogram::Histogram},
        registry::Registry,
    },
    std::{
        fmt::{self, Write},
        sync::atomic::AtomicU64,
    },
};

/// Value of a label, which may hold any characters; the library doesn't escape them.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct Label(String);

impl From<&str> for Label {
    fn from(text: &str) -> Self {
        Self(text.to_owned())
    }
}

impl EncodeLabelValue for Label {
    fn encode(&self, encoder: &mut LabelValueEncoder<'_>) -> fmt::Result {
        self.0.chars().try_for_each(|character| match character {
            '\\' => encoder.write_str("\\\\"),
            '"' => encoder.write_str("\\\""),
            '\n' => encoder.write_str("\\n"),
            other => encoder.write_char(other),
        })
    }
}

/// How a request ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, EncodeLabelValue)]
pub enum Ending {
    /// The caller received an engine's complete response.
    Answered,
    /// No engine ran the request, and the response says so.
    Refused,
    /// An attempt failed after the engine may have run the request.
    Failed,
    /// The deadline passed.
    TimedOut,
    /// The caller closed its connection.
    Left,
    /// The caller stopped reading its response.
    Stalled,
    /// The request is invalid, unauthenticated or matches no route.
    Denied,
}

/// Labels of a request counter.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct EndingLabels {
    /// How the requests ended.
    pub ending: Ending,
}

/// Labels of a request counter by route and prompt size.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct RouteEndingLabels {
    /// Name of the route.
    pub route: Label,
    /// Size class of the prompt among the requests of the route.
    pub size: Label,
    /// How the requests ended.
    pub ending: Ending,
}

/// Why a request was refused.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, EncodeLabelValue)]
pub enum Reason {
    /// No engine can run the request.
    NoEngine,
    /// All engines that can run the request are predicted to miss its latency target.
    Full,
    /// The request is on hold, as engines crashed while they ran it.
    Held,
    /// The request is suspected of crashing engines, and another trial of it is running.
    OnTrial,
    /// The request yields to more urgent requests, which lack capacity.
    Priority,
}

/// Labels of a refusal counter.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct RefusalLabels {
    /// Why the requests were refused.
    pub reason: Reason,
}

/// Labels of a rate granted to another zone.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct GrantLabels {
    /// Zone that may send the requests.
    pub zone: Label,
    /// Name of the service.
    pub service: Label,
}

/// Labels of a counter by zone.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct ZoneLabels {
    /// Name of the zone.
    pub zone: Label,
}

/// Direction of a message between a caller and the gateway.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, EncodeLabelValue)]
pub enum Direction {
    /// From the caller: bodies of requests.
    Request,
    /// To the caller: responses.
    Response,
}

/// Labels of metrics about slow callers.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct SlowLabels {
    /// Direction of the bytes.
    pub direction: Direction,
}

/// Labels of an engine gauge.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct EngineLabels {
    /// Name of the service.
    pub service: Label,
    /// Availability of the engines for a usual request.
    pub standing: Label,
}

/// Kind of a message between processes.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, EncodeLabelValue)]
pub enum MessageKind {
    /// Subscription of a gateway at a loader.
    Subscription,
    /// Load report of a loader.
    Report,
    /// Digest of this zone's engines for another zone.
    Digest,
    /// Digest of another zone's engines, forwarded to gateways of this zone.
    DigestPassedOn,
    /// Store snapshot for another gateway.
    Snapshot,
    /// Update on requests that are suspected of crashing engines.
    Suspects,
    /// Liveness probe of a gateway of the own zone, or a response to one.
    Probe,
    /// Demand of a gateway for the digest senders of its zone.
    Demand,
}

/// Labels of a message counter.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct MessageLabels {
    /// Kind of the messages.
    pub kind: MessageKind,
}

/// Metrics of one process.
pub struct Metrics {
    registry: Registry,
    /// Requests by how they ended.
    pub requests: Family<EndingLabels, Counter>,
    /// Requests with a known prompt size by route, size class and how they ended.
    pub endings_by_route: Family<RouteEndingLabels, Counter>,
    /// Refused requests by reason.
    pub refusals: Family<RefusalLabels, Counter>,
    /// Requests per second that this gateway grants to other zones.
    pub issued_grants: Family<GrantLabels, Gauge<f64, AtomicU64>>,
    /// Requests sent to another zone with its grant, by that zone.
    pub granted_requests: Family<ZoneLabels, Counter>,
    /// Connections closed as their callers read or sent too slowly.
    pub slow_callers: Family<SlowLabels, Counter>,
    /// Bytes reserved for callers beyond what each connection may hold.
    pub held_bytes: Family<SlowLabels, Gauge>,
    /// Listed engines by service and by availability for a usual request.
    pub engines: Family<EngineLabels, Gauge>,
    /// Number of requests that are suspected of crashing engines.
    pub suspect_requests: Gauge,
    /// Number of suspected requests that are on hold.
    pub held_requests: Gauge,
    /// Store items that could not be parsed, since process start.
    pub unparsed_items: Gauge,
    /// Attempts beyond the first of each request.
    pub retries: Counter,
    /// Calls to the store.
    pub store_calls: Counter,
    /// Messages between processes, by kind; sent ones, and received load reports.
    pub messages: Family<MessageLabels, Counter>,
    /// Payload bytes of these messages, without network headers.
    pub message_bytes: Family<MessageLabels, Counter>,
    /// Revision of the store that the mirror has reached.
    pub revision: Gauge,
    /// Version of the configuration in force.
    pub configuration: Gauge,
    /// Milliseconds from a request to the first bytes of its response.
    pub first_byte_millis: Histogram,
}

impl Default for Metrics {
    fn default() -> Self {
        let mut registry = Registry::with_prefix("gingerpier");
        let requests = Family::<EndingLabels, Counter>::default();
        let endings_by_route = Family::<RouteEndingLabels, Counter>::default();
        let refusals = Family::<RefusalLabels, Counter>::default();
        let issued_grants = Family::<GrantLabels, Gauge<f64, AtomicU64>>::default();
        let granted_requests = Family::<ZoneLabels, Counter>::default();
        let slow_callers = Family::<SlowLabels, Counter>::default();
        let held_bytes = Family::<SlowLabels, Gauge>::default();
        let engines = Family::<EngineLabels, Gauge>::default();
        let unparsed_items = Gauge::default();
        let suspect_requests = Gauge::default();
        let held_requests = Gauge::default();
        let retries = Counter::default();
        let store_calls = Counter::default();
        let messages = Family::<MessageLabels, Counter>::default();
        let message_bytes = Family::<MessageLabels, Counter>::default();
        let revision = Gauge::default();
        let configuration = Gauge::default();
        let bounds = [25.0, 50.0, 100.0, 200.0, 400.0, 800.0, 1_600.0, 3_200.0];
        let first_byte_millis = Histogram::new(bounds);
        registry.register("requests", "Requests by ending", requests.clone());
        registry.register(
            "fates",
            "Requests by route, size, ending",
            endings_by_route.clone(),
        );
        registry.register("refusals", "Refused requests", refusals.clone());
        registry.register(
            "issued_grants",
            "Requests per second granted to other zones",
            issued_grants.clone(),
        );
        registry.register(
            "granted_requests",
            "Requests sent with a grant of another zone",
            granted_requests.clone(),
        );
        registry.register(
            "slow_callers",
            "Connections closed for slow reading or sending",
            slow_callers.clone(),
        );
        registry.register("held_bytes", "Bytes held for callers", held_bytes.clone());
        registry.register("engines", "Listed engines by standing", engines.clone());
        registry.register(
            "suspects",
            "Requests under which engines ended",
            suspect_requests.clone(),
        );
        registry.register("held", "Requests that are held back", held_requests.clone());
        registry.register(
            "items_left_out",
            "Items not understood",
            unparsed_items.clone(),
        );
        registry.register("retries", "Attempts beyond the first", retries.clone());
        registry.register("store_calls", "Calls to the store", store_calls.clone());
        registry.register("messages", "Messages between processes", messages.clone());
        registry.register("message_bytes", "Bytes of them", message_bytes.clone());
        registry.register("revision", "Revision in force", revision.clone());
        registry.register(
            "configuration",
            "Configuration in force",
            configuration.clone(),
        );
        registry.register(
            "first_millis",
            "Time to first bytes",
            first_byte_millis.clone(),
        );
        Self {
            registry,
            requests,
            endings_by_route,
            refusals,
            issued_grants,
            granted_requests,
            slow_callers,
            held_bytes,
            engines,
            unparsed_items,
            suspect_requests,
            held_requests,
            retries,
            store_calls,
            messages,
            message_bytes,
            revision,
            configuration,
            first_byte_millis,
        }
    }
}

impl Metrics {
    /// Counts a message of `bytes` bytes.
    pub fn record_message(&self, kind: MessageKind, bytes: usize) {
        let labels = MessageLabels { kind };
        self.messages.get_or_create(&labels).inc();
        self.message_bytes
            .get_or_create(&labels)
            .inc_by(bytes as u64);
    }

    /// Encodes all metrics in the Prometheus text format.
    pub fn text(&self) -> String {
        let mut text = String::new();
        // Writing into a string never fails.
        let _ = text::encode(&mut text, &self.registry);
        text
    }
}
