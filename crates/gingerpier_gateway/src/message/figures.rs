//! Messages that tell loaders what they need of the configuration and of the engines.

use {
    super::{DigestHeld, Naming},
    minicbor::{Decode, Encode},
    std::net::SocketAddr,
};

/// Figures of engines, as operators give them.
#[derive(Debug, Clone, PartialEq, Encode, Decode)]
#[cbor(map)]
pub struct EngineFigures {
    /// Requests that run at once.
    #[n(0)]
    pub slots: u32,
    /// Token steps of one pass.
    #[n(1)]
    pub stride: u32,
    /// Milliseconds of one token step.
    #[n(2)]
    pub step_millis: f64,
    /// Milliseconds that each running request adds to a step.
    #[n(3)]
    pub per_request_millis: f64,
    /// Milliseconds that 1,000 tokens of context add to a step.
    #[n(4)]
    pub per_thousand_tokens_millis: f64,
    /// Prompt tokens read in a millisecond.
    #[n(5)]
    pub read_per_milli: f64,
    /// Most prompt tokens that one pass reads.
    #[n(6)]
    pub read_at_once: Option<u32>,
    /// Mean tokens of a prompt.
    #[n(7)]
    pub usual_prompt: u32,
    /// Mean tokens of an answer.
    #[n(8)]
    pub usual_answer: u32,
    /// Tokens that the memory of an engine holds.
    #[n(9)]
    pub memory_tokens: u64,
    /// Models.
    #[n(10)]
    pub models: Vec<String>,
}

/// Where weights come from.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Encode, Decode)]
#[cbor(map)]
pub struct OriginFigures {
    /// Address.
    #[n(0)]
    pub address: SocketAddr,
    /// Bits a second that its link carries; 0 where that is not known.
    #[n(1)]
    pub link_bits_per_second: u64,
    /// Connections that it takes.
    #[n(2)]
    pub max_connections: u32,
}

/// What a service is.
#[derive(Debug, Clone, PartialEq, Encode, Decode)]
pub enum ServiceFigures {
    /// Model engines.
    #[n(0)]
    Engines(#[n(0)] EngineFigures),
    /// Origin of weights.
    #[n(1)]
    Origin(#[n(0)] OriginFigures),
}

/// A service that loaders need to know.
#[derive(Debug, Clone, PartialEq, Encode, Decode)]
#[cbor(map)]
pub struct ToldService {
    /// Name.
    #[n(0)]
    pub name: String,
    /// Most connections of one engine.
    #[n(1)]
    pub max_connections: u32,
    /// What it is.
    #[n(2)]
    pub figures: ServiceFigures,
}

/// An engine that loaders need to know.
#[derive(Debug, Clone, PartialEq, Eq, Encode, Decode)]
pub struct ToldEngine {
    /// Address.
    #[n(0)]
    pub address: SocketAddr,
    /// Place of its service among those of the message.
    #[n(1)]
    pub service: u32,
    /// Place of its zone among those of the message.
    #[n(2)]
    pub zone: u32,
    /// Weights that it holds.
    #[n(3)]
    pub held: Vec<DigestHeld>,
}

/// What a loader needs to know of the configuration and of the engines, from a gateway.
#[derive(Debug, Clone, PartialEq, Encode, Decode)]
#[cbor(map)]
pub struct Figures {
    /// Version of the configuration.
    #[n(0)]
    pub version: u64,
    /// What it says of engines and origins of weights, as the digest of subscriptions.
    #[n(1)]
    pub weights_digest: u64,
    /// Services of engines and of origins.
    #[n(2)]
    pub services: Vec<ToldService>,
    /// Zones that engines name by their places here.
    #[n(3)]
    pub zones: Vec<String>,
    /// Models that engines name by their places here.
    #[n(4)]
    pub models: Vec<String>,
    /// Engines.
    #[n(5)]
    pub engines: Vec<ToldEngine>,
    /// Weights that operators named.
    #[cbor(n(6), default)]
    pub named: Vec<Naming>,
}
