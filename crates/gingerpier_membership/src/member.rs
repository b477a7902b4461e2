//! One box, and the evidence on it.

use {
    gingerpier_base::{
        Instant, Name,
        place::{Incarnation, Role, Zone},
    },
    minicbor::{Decode, Encode},
};

/// Key of a box; not used again after the box is gone.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct BoxKey(pub u32);

/// The box list's word on a box.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Encode, Decode)]
#[cbor(index_only)]
pub enum Listing {
    /// Not in the list.
    #[n(0)]
    Absent,
    /// In service.
    #[n(1)]
    Live,
    /// About to be taken away.
    #[n(2)]
    Leaving,
}

/// What the evidence comes to.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Encode, Decode)]
#[cbor(index_only)]
pub enum Standing {
    /// Takes work.
    #[n(0)]
    Alive,
    /// Can't be reached, or not yet trusted again: gets no new work from here.
    #[n(1)]
    Suspect,
    /// Gets no new work from anyone.
    #[n(2)]
    Leaving,
    /// Neither listed nor linked.
    #[n(3)]
    Gone,
}

impl Standing {
    /// Word used in tables and logs.
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
    /// No connection.
    Down,
    /// Connected; trusted from the instant on.
    Up {
        /// Run of the process at the other end.
        incarnation: Incarnation,
        /// No new work before this.
        trusted_from: Instant,
    },
}

/// A box of the system.
#[derive(Debug, Clone)]
pub struct Member {
    /// Its name; a replaced box has another.
    pub name: Name,
    /// What its process does.
    pub role: Role,
    /// Where it is.
    pub zone: Zone,
    /// Address of its process for other processes of the system.
    pub address: String,
    /// Box list's word.
    pub listing: Listing,
    /// Own link's word.
    pub link: Link,
    /// Run of the process that is known to leave.
    pub leaving: Option<Incarnation>,
    /// Times that the link went down lately.
    pub falls: u32,
    /// When the link went down last.
    pub fell_at: Instant,
}
