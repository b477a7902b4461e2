//! Messages between gateways and loaders, in CBOR with numbered fields.

mod figures;
mod snapshot;
mod suspects;

pub use {
    figures::{EngineFigures, Figures, OriginFigures, ServiceFigures, ToldEngine, ToldService},
    snapshot::{SharedItem, Snapshot},
    suspects::{Suspects, ToldCleared, ToldEnd, ToldPardon, ToldTrial},
};
use {
    gingerpier_serving::report::{Born, Held, Report, Version},
    minicbor::{Decode, Encode},
    std::net::SocketAddr,
};

/// Weights of a model.
#[derive(Debug, Clone, PartialEq, Eq, Encode, Decode)]
#[cbor(map)]
pub struct Weights {
    /// Model.
    #[n(0)]
    pub model: String,
    /// Version.
    #[n(1)]
    pub version: u64,
}

/// Weights of a model that operators named.
#[derive(Debug, Clone, PartialEq, Eq, Encode, Decode)]
#[cbor(map)]
pub struct Naming {
    /// Model.
    #[n(0)]
    pub model: String,
    /// Version.
    #[n(1)]
    pub version: u64,
    /// Milliseconds since the earliest moment at which they can have been named.
    #[cbor(n(2), default)]
    pub age: u64,
}

/// Weights that nobody named.
#[derive(Debug, Clone, PartialEq, Eq, Encode, Decode)]
#[cbor(map)]
pub struct Unnamed {
    /// Model.
    #[n(0)]
    pub model: String,
    /// Version.
    #[n(1)]
    pub version: u64,
    /// True where the origin was found to have them; else an engine is said to hold them.
    #[n(2)]
    pub is_found: bool,
}

/// A gateway asks a loader for reports, and tells what weights are named.
#[derive(Debug, Clone, PartialEq, Eq, Encode, Decode)]
#[cbor(map)]
pub struct Subscribe {
    /// Zone of the gateway.
    #[n(0)]
    pub zone: String,
    /// Weights that operators named, as far as the gateway knows.
    #[n(1)]
    pub named: Vec<Naming>,
    /// When the gateway sent this, in milliseconds of its own clock.
    #[cbor(n(2), default)]
    pub stamp: u64,
    /// Version of the configuration that the gateway knows; 0 for none.
    #[cbor(n(3), default)]
    pub configuration: u64,
    /// What that says of engines and origins of weights, as a digest.
    #[cbor(n(4), default)]
    pub weights_digest: u64,
    /// Weights that are to be had although nobody named them, as far as the gateway knows.
    #[cbor(n(5), default)]
    pub unnamed: Vec<Unnamed>,
}

/// A gateway.
#[derive(Debug, Clone, PartialEq, Eq, Encode, Decode)]
#[cbor(map)]
pub struct Member {
    /// Address for peers.
    #[n(0)]
    pub address: String,
    /// Zone.
    #[n(1)]
    pub zone: String,
    /// What it tells of its zone, where it asks whether the hearer lives.
    #[cbor(n(2), default)]
    pub probe: Option<Probe>,
}

/// What a gateway tells another of its zone with a probe, or with the answer to one.
#[derive(Debug, Clone, PartialEq, Eq, Encode, Decode)]
#[cbor(map)]
pub struct Probe {
    /// Incarnation of the sender.
    #[n(0)]
    pub incarnation: u64,
    /// News of gateways of the zone.
    #[n(1)]
    pub news: Vec<ToldMember>,
}

/// News of a gateway.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Encode, Decode)]
pub struct ToldMember {
    /// Address.
    #[n(0)]
    pub address: SocketAddr,
    /// Incarnation.
    #[n(1)]
    pub incarnation: u64,
    /// True where it is gone.
    #[n(2)]
    pub is_gone: bool,
}

/// A loader reports its engine's state.
#[derive(Debug, Clone, PartialEq, Encode, Decode)]
#[cbor(map)]
pub struct Load {
    /// Address of the engine.
    #[n(0)]
    pub engine: String,
    /// Weights that it holds.
    #[n(1)]
    pub held: Vec<Weights>,
    /// True while it carries out an order, or is about to get one.
    #[n(2)]
    pub is_busy: bool,
    /// Requests that wait.
    #[n(3)]
    pub queued: u32,
    /// Requests that run.
    #[n(4)]
    pub active: u32,
    /// Tokens in its memory.
    #[n(5)]
    pub memory_used: u64,
    /// Tokens that its memory holds.
    #[n(6)]
    pub memory_total: u64,
    /// How slow it is, in thousandths; 1,000 is usual.
    #[n(7)]
    pub pace: u32,
    /// Gateways that the loader heard from.
    #[n(8)]
    pub gateways: Vec<Member>,
    /// Stamp of the last word that came from the gateway which gets this; 0 for none.
    #[cbor(n(9), default)]
    pub echo: u64,
    /// Prompt tokens that it has admitted and not yet read, as far as can be told.
    #[cbor(n(10), default)]
    pub unread_tokens: u64,
    /// When the engine started, in Unix milliseconds of its own; 0 where it does not tell.
    #[cbor(n(11), default)]
    pub born: u64,
}

/// Weights that an engine of a digest holds.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Encode, Decode)]
pub struct DigestHeld {
    /// Place of the model among those of the digest.
    #[n(0)]
    pub model: u32,
    /// Version.
    #[n(1)]
    pub version: u64,
}

/// An engine in a digest.
#[derive(Debug, Clone, PartialEq, Eq, Encode, Decode)]
pub struct DigestEngine {
    /// Address.
    #[n(0)]
    pub address: SocketAddr,
    /// Milliseconds since its report.
    #[n(1)]
    pub age: u32,
    /// Weights that it holds.
    #[n(2)]
    pub held: Vec<DigestHeld>,
    /// True while it carries out an order, or is about to get one.
    #[n(3)]
    pub is_busy: bool,
    /// Requests that wait.
    #[n(4)]
    pub queued: u32,
    /// Requests that run.
    #[n(5)]
    pub active: u32,
    /// Prompt tokens that it has admitted and not yet read.
    #[n(6)]
    pub unread_tokens: u64,
    /// How slow it is, in thousandths; 1,000 is usual.
    #[n(7)]
    pub pace: u32,
    /// Milliseconds from the first start that the digest tells of to its own, and one more; 0 where that is not known.
    #[cbor(n(8), default)]
    pub born_after: u64,
}

/// A part of what gateways of one zone tell those of the others.
#[derive(Debug, Clone, PartialEq, Eq, Encode, Decode)]
#[cbor(map)]
pub struct Digest {
    /// Zone.
    #[n(0)]
    pub zone: String,
    /// Gateway that made it.
    #[n(1)]
    pub sender: SocketAddr,
    /// Milliseconds of the sender's own clock.
    #[n(2)]
    pub stamp: u64,
    /// Part.
    #[n(3)]
    pub part: u32,
    /// Gateways of the zone.
    #[n(4)]
    pub gateway_count: u32,
    /// Models that engines name by their places here.
    #[n(5)]
    pub models: Vec<String>,
    /// Engines.
    #[n(6)]
    pub engines: Vec<DigestEngine>,
    /// Some of the gateways.
    #[n(7)]
    pub gateways: Vec<SocketAddr>,
    /// True where a gateway of the hearer's own zone passed it on.
    #[n(8)]
    pub is_passed_on: bool,
    /// First start of its engines, in Unix milliseconds; 0 where none is known.
    #[cbor(n(9), default)]
    pub first_born: u64,
}

/// One datagram.
#[derive(Debug, Clone, PartialEq, Encode, Decode)]
pub enum Datagram {
    /// From a gateway.
    #[n(0)]
    Subscribe(#[n(0)] Subscribe),
    /// From a loader.
    #[n(1)]
    Load(#[n(0)] Load),
    /// Between gateways.
    #[n(2)]
    Digest(#[n(0)] Digest),
    /// From a gateway that starts, to one that may know others of its zone.
    #[n(3)]
    Hello(#[n(0)] Member),
    /// Gateways that somebody knows.
    #[n(4)]
    Names(#[n(0)] Names),
    /// Between gateways.
    #[n(5)]
    Suspects(#[n(0)] Suspects),
}

/// Gateways, where there is nothing else to tell.
#[derive(Debug, Clone, PartialEq, Eq, Encode, Decode)]
#[cbor(map)]
pub struct Names {
    /// Gateways.
    #[n(0)]
    pub gateways: Vec<Member>,
    /// The answer to a probe.
    #[cbor(n(1), default)]
    pub probe: Option<Probe>,
}

impl DigestHeld {
    /// What tells of `held`, whose model is named among `models`, at most `most` of them; nothing where there
    /// is no more room.
    pub fn new(held: &Held, models: &mut Vec<String>, most: usize) -> Option<Self> {
        let known = models.iter().position(|model| *model == held.model);
        if known.is_none() && models.len() >= most {
            return None;
        }
        let model = known.unwrap_or_else(|| {
            models.push(held.model.clone());
            models.len() - 1
        });
        Some(Self {
            model: model as u32,
            version: held.version.0,
        })
    }

    /// The weights that it tells of; nothing where `models` does not name the model.
    pub fn held(&self, models: &[String]) -> Option<Held> {
        Some(Held {
            model: models.get(self.model as usize)?.clone(),
            version: Version(self.version),
        })
    }
}

impl Load {
    /// Load of the engine at `engine`, from its report.
    pub fn new(engine: String, report: &Report) -> Self {
        let held = report.held.iter().map(|held| Weights {
            model: held.model.clone(),
            version: held.version.0,
        });
        Self {
            engine,
            held: held.collect(),
            is_busy: report.is_busy,
            queued: report.queued,
            active: report.active,
            memory_used: report.memory_used,
            memory_total: report.memory_total,
            pace: (report.pace * 1_000.0) as u32,
            gateways: Vec::new(),
            echo: 0,
            unread_tokens: report.unread_tokens,
            born: report.born.map_or(0, |born| born.0),
        }
    }

    /// The report in it.
    pub fn report(&self) -> Report {
        let held = self.held.iter().map(|weights| Held {
            model: weights.model.clone(),
            version: Version(weights.version),
        });
        Report {
            born: (self.born > 0).then_some(Born(self.born)),
            held: held.collect(),
            is_busy: self.is_busy,
            sequence: 0,
            queued: self.queued,
            active: self.active,
            memory_used: self.memory_used,
            memory_total: self.memory_total,
            pace: f64::from(self.pace) / 1_000.0,
            unread_tokens: self.unread_tokens,
        }
    }
}

/// Bytes of a message.
pub fn encode<T: Encode<()>>(message: &T) -> Vec<u8> {
    // Writing into memory can't fail.
    minicbor::to_vec(message).unwrap_or_default()
}

/// Message in `bytes`; nothing where it is none.
pub fn decode<T: for<'b> Decode<'b, ()>>(bytes: &[u8]) -> Option<T> {
    minicbor::decode(bytes).ok()
}
