//! Messages between gateways and loaders, encoded in CBOR with numbered fields.

mod configuration;
mod sharing;
mod snapshot;
mod suspects;

pub use {
    configuration::{
        ConfigurationPart, EngineEntry, EngineParameters, OriginParameters, ServiceEntry,
        ServiceParameters,
    },
    sharing::{Demand, Grant, ServiceDemand},
    snapshot::{Snapshot, StoreItem},
    suspects::{CompletionUpdate, CrashUpdate, DismissalUpdate, Suspects, TrialUpdate},
};
use {
    gingerpier_serving::report::{Born, Held, Report, Version},
    minicbor::{Decode, Encode},
    std::net::SocketAddr,
};

/// Loaded weights of a model.
#[derive(Debug, Clone, PartialEq, Eq, Encode, Decode)]
#[cbor(map)]
pub struct LoadedVersion {
    /// Model name.
    #[n(0)]
    pub model: String,
    /// Version number.
    #[n(1)]
    pub version: u64,
}

/// A released version of a model.
#[derive(Debug, Clone, PartialEq, Eq, Encode, Decode)]
#[cbor(map)]
pub struct ReportedRelease {
    /// Model name.
    #[n(0)]
    pub model: String,
    /// Version number.
    #[n(1)]
    pub version: u64,
    /// Milliseconds since the earliest possible time of the release.
    #[cbor(n(2), default)]
    pub age_millis: u64,
}

/// An available version of a model without a release.
#[derive(Debug, Clone, PartialEq, Eq, Encode, Decode)]
#[cbor(map)]
pub struct UnreleasedVersion {
    /// Model name.
    #[n(0)]
    pub model: String,
    /// Version number.
    #[n(1)]
    pub version: u64,
    /// True if the origin has it; false if an engine reports it.
    #[n(2)]
    pub is_found: bool,
}

/// Subscription of a gateway to a loader's reports, with the releases that the gateway knows.
#[derive(Debug, Clone, PartialEq, Eq, Encode, Decode)]
#[cbor(map)]
pub struct Subscribe {
    /// Zone of the gateway.
    #[n(0)]
    pub zone: String,
    /// Releases known to the gateway.
    #[n(1)]
    pub releases: Vec<ReportedRelease>,
    /// Send time in milliseconds of the gateway's own clock.
    #[cbor(n(2), default)]
    pub timestamp_millis: u64,
    /// Configuration version known to the gateway; 0 for none.
    #[cbor(n(3), default)]
    pub configuration_version: u64,
    /// Digest of the engines and origins in that configuration.
    #[cbor(n(4), default)]
    pub weights_digest: u64,
    /// Available versions of models without a release.
    #[cbor(n(5), default)]
    pub unreleased: Vec<UnreleasedVersion>,
}

/// A gateway.
#[derive(Debug, Clone, PartialEq, Eq, Encode, Decode)]
#[cbor(map)]
pub struct Member {
    /// Address for peers.
    #[n(0)]
    pub address: String,
    /// Availability zone.
    #[n(1)]
    pub zone: String,
    /// Set if the message probes whether the recipient is alive.
    #[cbor(n(2), default)]
    pub probe: Option<Probe>,
}

/// Membership state that gateways of a zone exchange with probes and their replies.
#[derive(Debug, Clone, PartialEq, Eq, Encode, Decode)]
#[cbor(map)]
pub struct Probe {
    /// Incarnation of the sender.
    #[n(0)]
    pub incarnation: u64,
    /// Membership updates of the zone.
    #[n(1)]
    pub updates: Vec<MemberUpdate>,
}

/// Membership update of one gateway.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Encode, Decode)]
pub struct MemberUpdate {
    /// Gateway address.
    #[n(0)]
    pub address: SocketAddr,
    /// Incarnation that the update applies to.
    #[n(1)]
    pub incarnation: u64,
    /// True if the gateway is dead.
    #[n(2)]
    pub is_dead: bool,
}

/// State of an engine, reported by its loader.
#[derive(Debug, Clone, PartialEq, Encode, Decode)]
#[cbor(map)]
pub struct Load {
    /// Engine address.
    #[n(0)]
    pub engine: String,
    /// Loaded weights.
    #[n(1)]
    pub loaded: Vec<LoadedVersion>,
    /// True while the engine carries out an order or is about to receive one.
    #[n(2)]
    pub is_busy: bool,
    /// Queued requests.
    #[n(3)]
    pub queued: u32,
    /// Running requests.
    #[n(4)]
    pub active: u32,
    /// Memory in use, in tokens.
    #[n(5)]
    pub memory_used: u64,
    /// Memory capacity in tokens.
    #[n(6)]
    pub memory_total: u64,
    /// Slowdown in thousandths; 1,000 is normal speed.
    #[n(7)]
    pub slowdown_permille: u32,
    /// Some of the gateways that subscribe to the loader.
    #[n(8)]
    pub gateways: Vec<Member>,
    /// Timestamp of the recipient's last subscription; 0 for none.
    #[cbor(n(9), default)]
    pub echoed_timestamp_millis: u64,
    /// Estimate of admitted prompt tokens that aren't read yet.
    #[cbor(n(10), default)]
    pub unread_tokens: u64,
    /// Start time of the engine in Unix milliseconds; 0 if unknown.
    #[cbor(n(11), default)]
    pub start_time_millis: u64,
}

/// Loaded weights of an engine in a digest.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Encode, Decode)]
pub struct IndexedVersion {
    /// Index into the models of the digest.
    #[n(0)]
    pub model: u32,
    /// Version number.
    #[n(1)]
    pub version: u64,
}

/// State of an engine in a digest.
#[derive(Debug, Clone, PartialEq, Eq, Encode, Decode)]
pub struct DigestEngine {
    /// Engine address.
    #[n(0)]
    pub address: SocketAddr,
    /// Milliseconds since its report.
    #[n(1)]
    pub age_millis: u32,
    /// Loaded weights.
    #[n(2)]
    pub loaded: Vec<IndexedVersion>,
    /// True while the engine carries out an order or is about to receive one.
    #[n(3)]
    pub is_busy: bool,
    /// Queued requests.
    #[n(4)]
    pub queued: u32,
    /// Running requests.
    #[n(5)]
    pub active: u32,
    /// Admitted prompt tokens that aren't read yet.
    #[n(6)]
    pub unread_tokens: u64,
    /// Slowdown in thousandths; 1,000 is normal speed.
    #[n(7)]
    pub slowdown_permille: u32,
    /// Start time, as 1 plus the milliseconds since `first_start_millis`; 0 if unknown.
    #[cbor(n(8), default)]
    pub start_offset_millis: u64,
}

/// Part of the state of a zone, sent to gateways of other zones.
#[derive(Debug, Clone, PartialEq, Eq, Encode, Decode)]
#[cbor(map)]
pub struct Digest {
    /// Zone name.
    #[n(0)]
    pub zone: String,
    /// Gateway that created the digest.
    #[n(1)]
    pub sender: SocketAddr,
    /// Creation time in milliseconds of the sender's own clock.
    #[n(2)]
    pub timestamp_millis: u64,
    /// Part number.
    #[n(3)]
    pub part: u32,
    /// Number of gateways in the zone.
    #[n(4)]
    pub gateway_count: u32,
    /// Model names; engines refer to them by index.
    #[n(5)]
    pub models: Vec<String>,
    /// Engines in this part.
    #[n(6)]
    pub engines: Vec<DigestEngine>,
    /// Some of the gateways of the zone.
    #[n(7)]
    pub gateways: Vec<SocketAddr>,
    /// True if a gateway of the recipient's zone forwarded it.
    #[n(8)]
    pub is_forwarded: bool,
    /// Earliest engine start time in Unix milliseconds; 0 if unknown.
    #[cbor(n(9), default)]
    pub first_start_millis: u64,
    /// Demand of the zone; absent without demand.
    #[n(10)]
    pub demand: Option<Vec<ServiceDemand>>,
    /// Grants to other zones; absent without grants.
    #[n(11)]
    pub grants: Option<Vec<Grant>>,
}

/// Content of one datagram.
#[derive(Debug, Clone, PartialEq, Encode, Decode)]
pub enum Datagram {
    /// From a gateway to a loader.
    #[n(0)]
    Subscribe(#[n(0)] Subscribe),
    /// From a loader to a gateway.
    #[n(1)]
    Load(#[n(0)] Load),
    /// From a gateway to one of another zone.
    #[n(2)]
    Digest(#[n(0)] Digest),
    /// From a starting gateway to a possible member of its zone.
    #[n(3)]
    Hello(#[n(0)] Member),
    /// From a gateway or a loader: known gateways.
    #[n(4)]
    GatewayList(#[n(0)] GatewayList),
    /// From a gateway to another one.
    #[n(5)]
    Suspects(#[n(0)] Suspects),
    /// From a gateway to the digest senders of its zone.
    #[n(6)]
    Demand(#[n(0)] Demand),
}

/// List of gateways.
#[derive(Debug, Clone, PartialEq, Eq, Encode, Decode)]
#[cbor(map)]
pub struct GatewayList {
    /// Known gateways.
    #[n(0)]
    pub gateways: Vec<Member>,
    /// Reply to a probe.
    #[cbor(n(1), default)]
    pub probe: Option<Probe>,
}

impl IndexedVersion {
    /// Encodes `loaded` and adds its model to `models`; none if `models` already has `max_models`
    /// others.
    pub fn new(loaded: &Held, models: &mut Vec<String>, max_models: usize) -> Option<Self> {
        let known = models.iter().position(|model| *model == loaded.model);
        if known.is_none() && models.len() >= max_models {
            return None;
        }
        let model = known.unwrap_or_else(|| {
            models.push(loaded.model.clone());
            models.len() - 1
        });
        Some(Self {
            model: model as u32,
            version: loaded.version.0,
        })
    }

    /// Decodes the weights; none if the index is out of range.
    pub fn decode(&self, models: &[String]) -> Option<Held> {
        Some(Held {
            model: models.get(self.model as usize)?.clone(),
            version: Version(self.version),
        })
    }
}

impl Load {
    /// Load message for the `report` of the engine at `engine`.
    pub fn new(engine: String, report: &Report) -> Self {
        let loaded = report.loaded.iter().map(|loaded| LoadedVersion {
            model: loaded.model.clone(),
            version: loaded.version.0,
        });
        Self {
            engine,
            loaded: loaded.collect(),
            is_busy: report.is_busy,
            queued: report.queued,
            active: report.active,
            memory_used: report.memory_used_tokens,
            memory_total: report.memory_total_tokens,
            slowdown_permille: (report.slowdown * 1_000.0) as u32,
            gateways: Vec::new(),
            echoed_timestamp_millis: 0,
            unread_tokens: report.pending_prompt_tokens,
            start_time_millis: report.start_time.map_or(0, |born| born.0),
        }
    }

    /// Decodes the report.
    pub fn report(&self) -> Report {
        let loaded = self.loaded.iter().map(|weights| Held {
            model: weights.model.clone(),
            version: Version(weights.version),
        });
        Report {
            start_time: (self.start_time_millis > 0).then_some(Born(self.start_time_millis)),
            loaded: loaded.collect(),
            is_busy: self.is_busy,
            sequence: 0,
            queued: self.queued,
            active: self.active,
            memory_used_tokens: self.memory_used,
            memory_total_tokens: self.memory_total,
            slowdown: f64::from(self.slowdown_permille) / 1_000.0,
            pending_prompt_tokens: self.unread_tokens,
        }
    }
}

/// Encodes a message.
pub fn encode<T: Encode<()>>(message: &T) -> Vec<u8> {
    // Writing to memory can't fail.
    minicbor::to_vec(message).unwrap_or_default()
}

/// Decodes a message; none if `bytes` is malformed.
pub fn decode<T: for<'b> Decode<'b, ()>>(bytes: &[u8]) -> Option<T> {
    minicbor::decode(bytes).ok()
}
