//! Messages with the part of the configuration and the engines that loaders need.

use {
    super::{IndexedVersion, ReportedRelease},
    minicbor::{Decode, Encode},
    std::net::SocketAddr,
};

/// Performance model of engines, as configured by operators.
#[derive(Debug, Clone, PartialEq, Encode, Decode)]
#[cbor(map)]
pub struct EngineParameters {
    /// Requests that run concurrently.
    #[n(0)]
    pub slots: u32,
    /// Token steps per pass.
    #[n(1)]
    pub stride: u32,
    /// Duration of one token step.
    #[n(2)]
    pub step_millis: f64,
    /// Duration that each running request adds to a step.
    #[n(3)]
    pub per_request_millis: f64,
    /// Duration that 1,000 tokens of context add to a step.
    #[n(4)]
    pub per_thousand_tokens_millis: f64,
    /// Prompt tokens read per millisecond.
    #[n(5)]
    pub read_per_milli: f64,
    /// Limit on prompt tokens read in one pass.
    #[n(6)]
    pub read_at_once: Option<u32>,
    /// Mean prompt length in tokens.
    #[n(7)]
    pub usual_prompt: u32,
    /// Mean response length in tokens.
    #[n(8)]
    pub usual_answer: u32,
    /// Memory capacity of an engine in tokens.
    #[n(9)]
    pub memory_tokens: u64,
    /// Model names.
    #[n(10)]
    pub models: Vec<String>,
}

/// Origin server of weights.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Encode, Decode)]
#[cbor(map)]
pub struct OriginParameters {
    /// Server address.
    #[n(0)]
    pub address: SocketAddr,
    /// Link bandwidth; 0 if unknown.
    #[n(1)]
    pub link_bits_per_second: u64,
    /// Limit on concurrent connections.
    #[n(2)]
    pub max_connections: u32,
}

/// Kind of a service.
#[derive(Debug, Clone, PartialEq, Encode, Decode)]
pub enum ServiceParameters {
    /// Model engines.
    #[n(0)]
    Engines(#[n(0)] EngineParameters),
    /// Origin of weights.
    #[n(1)]
    Origin(#[n(0)] OriginParameters),
}

/// A service that loaders need.
#[derive(Debug, Clone, PartialEq, Encode, Decode)]
#[cbor(map)]
pub struct ServiceEntry {
    /// Service name.
    #[n(0)]
    pub name: String,
    /// Limit on concurrent connections per engine.
    #[n(1)]
    pub max_connections: u32,
    /// Kind and parameters.
    #[n(2)]
    pub parameters: ServiceParameters,
}

/// An engine that loaders need.
#[derive(Debug, Clone, PartialEq, Eq, Encode, Decode)]
pub struct EngineEntry {
    /// Engine address.
    #[n(0)]
    pub address: SocketAddr,
    /// Index into the services of the message.
    #[n(1)]
    pub service: u32,
    /// Index into the zones of the message.
    #[n(2)]
    pub zone: u32,
    /// Loaded weights.
    #[n(3)]
    pub loaded: Vec<IndexedVersion>,
}

/// Configuration and engines for a loader, sent by a gateway.
#[derive(Debug, Clone, PartialEq, Encode, Decode)]
#[cbor(map)]
pub struct ConfigurationPart {
    /// Configuration version.
    #[n(0)]
    pub version: u64,
    /// Digest of the engines and origins in the configuration, equal to that in subscriptions.
    #[n(1)]
    pub weights_digest: u64,
    /// Engine and origin services.
    #[n(2)]
    pub services: Vec<ServiceEntry>,
    /// Zone names; engines refer to them by index.
    #[n(3)]
    pub zones: Vec<String>,
    /// Model names; engines refer to them by index.
    #[n(4)]
    pub models: Vec<String>,
    /// Known engines.
    #[n(5)]
    pub engines: Vec<EngineEntry>,
    /// Released versions.
    #[cbor(n(6), default)]
    pub releases: Vec<ReportedRelease>,
}
