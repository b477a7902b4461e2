//! Log of accepted changes in the key-value service, which is also the audit trail.

use {
    crate::{command::Command, key::Revision},
    gingerpier_base::Stamp,
    minicbor::{Decode, Encode},
    std::fmt,
};

/// Identity of an operator's request, chosen by the client and equal in all retries.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Encode, Decode)]
#[cbor(map)]
pub struct Identity {
    #[n(0)]
    high: u64,
    #[n(1)]
    low: u64,
}

impl Identity {
    /// Creates an identity from a random number.
    pub const fn from_u128(value: u128) -> Self {
        Self {
            high: (value >> 64) as u64,
            low: value as u64,
        }
    }

    /// Parses 32 hexadecimal digits.
    pub fn from_hex(text: &str) -> Option<Self> {
        (text.len() == 32).then(|| u128::from_str_radix(text, 16).ok().map(Self::from_u128))?
    }
}

impl fmt::Display for Identity {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{:016x}{:016x}", self.high, self.low)
    }
}

/// An operator's request; its commands are applied atomically.
#[derive(Debug, Clone, PartialEq, Eq, Encode, Decode)]
#[cbor(map)]
pub struct Entry {
    /// Identity that detects retries.
    #[n(0)]
    pub identity: Identity,
    /// Operator, or planner.
    #[n(1)]
    pub author: String,
    /// Time of the request, by the clock of the entry box that received it.
    #[n(2)]
    pub stamp: Stamp,
    /// Statement text.
    #[n(3)]
    pub text: String,
    /// Parsed commands.
    #[n(4)]
    pub commands: Vec<Command>,
}

/// Entries accepted by one write to the key-value service.
#[derive(Debug, Clone, PartialEq, Eq, Encode, Decode)]
#[cbor(map)]
pub struct Record {
    /// Revision of the catalogue after the record.
    #[n(0)]
    pub revision: Revision,
    /// Entries, in order of application.
    #[n(1)]
    pub entries: Vec<Entry>,
}
