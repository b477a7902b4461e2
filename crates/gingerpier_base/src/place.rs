//! Where a process is and what it does there.

use {
    crate::name::Name,
    minicbor::{Decode, Encode},
    std::fmt,
};

/// What a process of the system does.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Encode, Decode)]
#[cbor(index_only)]
pub enum Role {
    /// On an entry box: callers, operators, routing, a share of control.
    #[n(0)]
    Entry,
    /// On a backend server: the only door to its engines and plain services.
    #[n(1)]
    Backend,
    /// At an operator's desk.
    #[n(2)]
    Operator,
}

impl Role {
    /// Word used in settings, certificates and logs.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Entry => "entry",
            Self::Backend => "backend",
            Self::Operator => "operator",
        }
    }

    /// Role named by `word`.
    pub fn from_word(word: &str) -> Option<Self> {
        [Self::Entry, Self::Backend, Self::Operator]
            .into_iter()
            .find(|role| role.as_str() == word)
    }
}

impl fmt::Display for Role {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(self.as_str())
    }
}

/// An availability zone within its region.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Encode, Decode)]
#[cbor(map)]
pub struct Zone {
    /// Region that holds the zone.
    #[n(0)]
    pub region: Name,
    /// Availability zone.
    #[n(1)]
    pub name: Name,
}

/// One run of one process; a restart gets a new one.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Encode, Decode)]
#[cbor(transparent)]
pub struct Incarnation(#[n(0)] pub u64);

impl fmt::Display for Incarnation {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{:016x}", self.0)
    }
}
