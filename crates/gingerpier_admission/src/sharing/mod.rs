//! Capacity sharing between zones.
//!
//! Where engines of another zone are known only from digests, their load is known too late to fill
//! them up to the admission bound. A zone that refuses requests therefore states its demand
//! ([`demand`]) in its digests, and a digest sender of each other zone grants it a rate of requests
//! ([`granter`]). A gateway whose best engine exceeds the bound sends the request to a granting
//! zone, limited by its part of the grant ([`grantee`]), to the less loaded of two random engines
//! there ([`placement`]).
//!
//! Nothing is stored: demand and grants expire when no message renews them.

pub mod belief;
pub mod demand;
pub mod grantee;
pub mod granter;
pub mod placement;

/// Maximum services in one message.
pub const MAX_SERVICES: usize = 16;

/// Demand of a gateway or of a zone for one service, in requests per second.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub struct Demand {
    /// Requests that arrived.
    pub arrivals: f64,
    /// Requests that were refused for lack of capacity.
    pub refusals: f64,
    /// Requests that were sent to another zone with a grant, and refused otherwise.
    pub granted: f64,
}

impl Demand {
    /// Returns the fraction of the arrived requests that was refused.
    pub fn refused_share(&self) -> f64 {
        match self.arrivals > 0.0 {
            true => (self.refusals / self.arrivals).clamp(0.0, 1.0),
            false => 0.0,
        }
    }

    /// Returns the rate of requests that would be refused without grants.
    pub fn shortfall(&self) -> f64 {
        self.refusals + self.granted
    }

    /// Returns the sum of two demands.
    #[must_use]
    pub fn plus(&self, other: &Self) -> Self {
        Self {
            arrivals: self.arrivals + other.arrivals,
            refusals: self.refusals + other.refusals,
            granted: self.granted + other.granted,
        }
    }
}

/// Demand for one service.
#[derive(Debug, Clone, PartialEq)]
pub struct ServiceDemand {
    /// Service name.
    pub service: String,
    /// Demand for it.
    pub demand: Demand,
}

/// Rate of requests that a zone may send to the zone of the sender.
#[derive(Debug, Clone, PartialEq)]
pub struct Grant {
    /// Zone that may send the requests.
    pub zone: String,
    /// Service name.
    pub service: String,
    /// Requests per second.
    pub per_second: f64,
    /// Shortfall of the zone by which its gateways divide the grant, in requests per second.
    pub zone_shortfall: f64,
}
