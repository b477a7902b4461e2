//! What gateways tell each other of how long callers wait.

use minicbor::{Decode, Encode};

/// How long callers of a route wait at their first try.
#[derive(Debug, Clone, PartialEq, Eq, Encode, Decode)]
#[cbor(map)]
pub struct RouteWaits {
    /// Route.
    #[n(0)]
    pub route: String,
    /// Least milliseconds.
    #[n(1)]
    pub least: u64,
    /// Most milliseconds.
    #[n(2)]
    pub most: u64,
}

/// The same for all routes of which it was learnt.
#[derive(Debug, Clone, PartialEq, Eq, Encode, Decode)]
#[cbor(map)]
pub struct Waits {
    /// Routes.
    #[n(0)]
    pub routes: Vec<RouteWaits>,
}
