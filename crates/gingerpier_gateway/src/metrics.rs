//! Counters and histograms, served as text.

use prometheus_client::{
    encoding::{EncodeLabelSet, EncodeLabelValue, text},
    metrics::{counter::Counter, family::Family, gauge::Gauge, histogram::Histogram},
    registry::Registry,
};

/// How a request ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, EncodeLabelValue)]
pub enum Ending {
    /// An engine's whole answer went to the caller.
    Answered,
    /// It was refused before it ran.
    Refused,
    /// It failed, and may have run.
    Failed,
    /// Its time was up.
    TimedOut,
    /// Its caller left.
    Left,
    /// It is not allowed.
    Denied,
}

/// Label of an ending.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct Ended {
    /// Ending.
    pub ending: Ending,
}

/// Label of requests of one route and size that ended alike.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct Fate {
    /// Route.
    pub route: String,
    /// How large its prompt was among those of the route.
    pub size: String,
    /// Ending.
    pub ending: Ending,
}

/// Why a request was refused.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, EncodeLabelValue)]
pub enum Reason {
    /// No engine could run it.
    NoEngine,
    /// All engines that could run it would have been too late.
    Full,
    /// Engines ended under it, so that it is sent no more.
    Held,
    /// It may end engines, and runs at another one.
    OnTrial,
}

/// Label of a reason.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct Refusal {
    /// Reason.
    pub reason: Reason,
}

/// Label of engines that stand alike.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct Engines {
    /// Service.
    pub service: String,
    /// What keeps them from taking a usual request.
    pub standing: String,
}

/// A kind of message between processes of the system.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, EncodeLabelValue)]
pub enum Kind {
    /// A question to a loader for reports.
    Subscription,
    /// A report of a loader.
    Report,
    /// A digest of this zone for another.
    Digest,
    /// A digest of another zone for gateways of this one.
    DigestPassedOn,
    /// An answer that tells of the store.
    Snapshot,
    /// Word of requests that ended engines.
    Suspects,
    /// A probe of a gateway of the own zone, or the answer to one.
    Probe,
}

/// Label of a kind.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct Message {
    /// Kind.
    pub kind: Kind,
}

/// Metrics of one process.
pub struct Metrics {
    registry: Registry,
    /// Requests by ending.
    pub requests: Family<Ended, Counter>,
    /// Requests with prompts by route, size and ending.
    pub fates: Family<Fate, Counter>,
    /// Refused requests by reason.
    pub refusals: Family<Refusal, Counter>,
    /// Listed engines by service and by what keeps them from taking a usual request.
    pub engines: Family<Engines, Gauge>,
    /// Requests under which engines ended, as far as known.
    pub suspects: Gauge,
    /// Those of them that are held back.
    pub held: Gauge,
    /// Items of the store that could not be read, so far.
    pub left_out: Gauge,
    /// Attempts at engines beyond the first.
    pub retries: Counter,
    /// Calls to the store.
    pub store_calls: Counter,
    /// Messages between processes, sent or (reports) received.
    pub messages: Family<Message, Counter>,
    /// Their bytes, without the headers of the network.
    pub message_bytes: Family<Message, Counter>,
    /// Revision of the store that is in force.
    pub revision: Gauge,
    /// Version of the configuration in force.
    pub configuration: Gauge,
    /// Milliseconds to the first bytes of an answer.
    pub first: Histogram,
}

impl Default for Metrics {
    fn default() -> Self {
        let mut registry = Registry::with_prefix("gingerpier");
        let requests = Family::<Ended, Counter>::default();
        let fates = Family::<Fate, Counter>::default();
        let refusals = Family::<Refusal, Counter>::default();
        let engines = Family::<Engines, Gauge>::default();
        let left_out = Gauge::default();
        let suspects = Gauge::default();
        let held = Gauge::default();
        let retries = Counter::default();
        let store_calls = Counter::default();
        let messages = Family::<Message, Counter>::default();
        let message_bytes = Family::<Message, Counter>::default();
        let revision = Gauge::default();
        let configuration = Gauge::default();
        let bounds = [25.0, 50.0, 100.0, 200.0, 400.0, 800.0, 1_600.0, 3_200.0];
        let first = Histogram::new(bounds);
        registry.register("requests", "Requests by ending", requests.clone());
        registry.register("fates", "Requests by route, size, ending", fates.clone());
        registry.register("refusals", "Refused requests", refusals.clone());
        registry.register("engines", "Listed engines by standing", engines.clone());
        registry.register(
            "suspects",
            "Requests under which engines ended",
            suspects.clone(),
        );
        registry.register("held", "Requests that are held back", held.clone());
        registry.register("items_left_out", "Items not understood", left_out.clone());
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
        registry.register("first_millis", "Time to first bytes", first.clone());
        Self {
            registry,
            requests,
            fates,
            refusals,
            engines,
            left_out,
            suspects,
            held,
            retries,
            store_calls,
            messages,
            message_bytes,
            revision,
            configuration,
            first,
        }
    }
}

impl Metrics {
    /// Counts a message of `bytes` bytes.
    pub fn note_message(&self, kind: Kind, bytes: usize) {
        let label = Message { kind };
        self.messages.get_or_create(&label).inc();
        self.message_bytes
            .get_or_create(&label)
            .inc_by(bytes as u64);
    }

    /// All metrics as text.
    pub fn text(&self) -> String {
        let mut text = String::new();
        // Writing into a text can't fail.
        let _ = text::encode(&mut text, &self.registry);
        text
    }
}
