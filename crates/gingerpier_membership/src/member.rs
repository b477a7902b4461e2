//! A box and the state from which its liveness is derived.

use {
    gingerpier_base::{
        Instant, Name,
        place::{Incarnation, Role, Zone},
    },
    minicbor::{Decode, Encode},
};

/// Key of a box; not reused after the box is removed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct BoxKey(pub u32);

/// Status of a box in the box list.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Encode, Decode)]
#[cbor(index_only)]
pub enum Listing {
    /// Not listed.
    #[n(0)]
    Absent,
    /// In service.
    #[n(1)]
    Live,
    /// Scheduled for removal.
    #[n(2)]
    Leaving,
}

/// Whether a box gets new requests, derived from its listing and link.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Encode, Decode)]
#[cbor(index_only)]
pub enum Liveness {
    /// Accepts new requests.
    #[n(0)]
    Alive,
    /// Unreachable or recently reconnected: gets no new requests from this process.
    #[n(1)]
    Suspect,
    /// Shutting down: gets no new requests from any process.
    #[n(2)]
    Leaving,
    /// Neither listed nor connected.
    #[n(3)]
    Gone,
}

impl Liveness {
    /// Name used in tables and logs.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Alive => "alive",
            Self::Suspect => "suspect",
            Self::Leaving => "leaving",
            Self::Gone => "gone",
        }
    }
}

/// State of this process's link to a box.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Link {
    /// Not connected.
    Down,
    /// Connected.
    Up {
        /// Process run at the other end.
        incarnation: Incarnation,
        /// End of the reconnect backoff; no new requests before.
        usable_from: Instant,
    },
}

/// A box of the deployment.
#[derive(Debug, Clone)]
pub struct Member {
    /// Unique name; a replacement box gets another.
    pub name: Name,
    /// Role of the box's process.
    pub role: Role,
    /// Availability zone and its region.
    pub zone: Zone,
    /// Address for connections from other processes of the deployment.
    pub address: String,
    /// Status in the box list.
    pub listing: Listing,
    /// Link from this process.
    pub link: Link,
    /// Process run that is known to be shutting down.
    pub leaving: Option<Incarnation>,
    /// Number of recent disconnects; determines the reconnect backoff.
    pub disconnects: u32,
    /// Time of the last disconnect.
    pub disconnected_at: Instant,
}
