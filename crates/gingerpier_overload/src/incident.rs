//! Incidents of zones, gateways and kinds of requests.

/// What happens.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum What {
    /// Engines of a zone get no new requests; open ones finish.
    Evacuated(usize),
    /// Engines and gateways of a zone end; they begin again at the end.
    ZoneLost(usize),
    /// A zone exchanges nothing with the others.
    Partitioned(usize),
    /// A gateway ends; it begins again at the end.
    GatewayKilled(usize),
    /// A gateway's process doesn't run.
    GatewayFrozen(usize),
    /// All gateways begin without knowledge, at the begin only.
    Restarted,
    /// So many times as many requests of a kind.
    Burst {
        /// Kind.
        kind: usize,
        /// Multiple of its usual number.
        factor: f64,
    },
}

/// An incident and its time, in milliseconds.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Incident {
    /// What happens.
    pub what: What,
    /// When it begins.
    pub from: f64,
    /// When it ends.
    pub until: f64,
}
