//! Messages about capacity that zones share.

use {
    gingerpier_admission::sharing,
    minicbor::{Decode, Encode},
    std::net::SocketAddr,
};

/// Units of an encoded rate per request per second.
const RATE_SCALE: f64 = 1_000.0;

/// Demand for one service, in requests per 1,000 seconds.
#[derive(Debug, Clone, PartialEq, Eq, Encode, Decode)]
pub struct ServiceDemand {
    /// Service name.
    #[n(0)]
    pub service: String,
    /// Requests that arrived.
    #[n(1)]
    pub arrivals: u32,
    /// Requests that were refused for lack of capacity.
    #[n(2)]
    pub refusals: u32,
    /// Requests that were sent to another zone with a grant.
    #[n(3)]
    pub granted: u32,
}

/// Demand of a gateway, for the digest senders of its zone.
#[derive(Debug, Clone, PartialEq, Eq, Encode, Decode)]
#[cbor(map)]
pub struct Demand {
    /// Gateway that reports it.
    #[n(0)]
    pub sender: SocketAddr,
    /// Send time in milliseconds of the sender's own clock.
    #[n(1)]
    pub timestamp_millis: u64,
    /// Demand per service.
    #[n(2)]
    pub services: Vec<ServiceDemand>,
}

/// Rate that the zone of a digest grants to another one, in requests per 1,000 seconds.
#[derive(Debug, Clone, PartialEq, Eq, Encode, Decode)]
pub struct Grant {
    /// Zone that may send the requests.
    #[n(0)]
    pub zone: String,
    /// Service name.
    #[n(1)]
    pub service: String,
    /// Granted rate.
    #[n(2)]
    pub rate: u32,
    /// Shortfall of the zone by which its gateways divide the grant.
    #[n(3)]
    pub zone_shortfall: u32,
}

fn encode_rate(per_second: f64) -> u32 {
    (per_second * RATE_SCALE) as u32
}

fn decode_rate(rate: u32) -> f64 {
    f64::from(rate) / RATE_SCALE
}

impl ServiceDemand {
    /// Encodes the demand for a service.
    pub fn new(entry: sharing::ServiceDemand) -> Self {
        Self {
            service: entry.service,
            arrivals: encode_rate(entry.demand.arrivals),
            refusals: encode_rate(entry.demand.refusals),
            granted: encode_rate(entry.demand.granted),
        }
    }

    /// Decodes the demand.
    pub fn decode(self) -> sharing::ServiceDemand {
        sharing::ServiceDemand {
            service: self.service,
            demand: sharing::Demand {
                arrivals: decode_rate(self.arrivals),
                refusals: decode_rate(self.refusals),
                granted: decode_rate(self.granted),
            },
        }
    }
}

impl Grant {
    /// Encodes a grant.
    pub fn new(grant: sharing::Grant) -> Self {
        Self {
            zone: grant.zone,
            service: grant.service,
            rate: encode_rate(grant.per_second),
            zone_shortfall: encode_rate(grant.zone_shortfall),
        }
    }

    /// Decodes the grant.
    pub fn decode(self) -> sharing::Grant {
        sharing::Grant {
            zone: self.zone,
            service: self.service,
            per_second: decode_rate(self.rate),
            zone_shortfall: decode_rate(self.zone_shortfall),
        }
    }
}
