//! Accepted changes, as kept in the key-value service: the audit trail is the log itself.

use {
    crate::{command::Command, key::Revision},
    gingerpier_base::Stamp,
    minicbor::{Decode, Encode},
    std::fmt,
};

/// Identity of one operator's request, chosen by the asker and kept over retries.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Encode, Decode)]
#[cbor(map)]
pub struct Identity {
    #[n(0)]
    high: u64,
    #[n(1)]
    low: u64,
}

impl Identity {
    /// Identity from a random number.
    pub const fn from_u128(value: u128) -> Self {
        Self {
            high: (value >> 64) as u64,
            low: value as u64,
        }
    }

    /// Identity from 32 hexadecimal digits.
    pub fn from_hex(text: &str) -> Option<Self> {
        (text.len() == 32).then(|| u128::from_str_radix(text, 16).ok().map(Self::from_u128))?
    }
}

impl fmt::Display for Identity {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{:016x}{:016x}", self.high, self.low)
    }
}

/// One operator's request: all of its commands take effect, or none.
#[derive(Debug, Clone, PartialEq, Eq, Encode, Decode)]
#[cbor(map)]
pub struct Entry {
    /// Identity by which a repeat is recognised.
    #[n(0)]
    pub identity: Identity,
    /// Who asked.
    #[n(1)]
    pub author: String,
    /// When, by the clock of the entry box that took it.
    #[n(2)]
    pub stamp: Stamp,
    /// What was asked, as written.
    #[n(3)]
    pub text: String,
    /// What was asked, as parsed.
    #[n(4)]
    pub commands: Vec<Command>,
}

/// The entries that one write to the key-value service accepted.
#[derive(Debug, Clone, PartialEq, Eq, Encode, Decode)]
#[cbor(map)]
pub struct Record {
    /// Revision that the record makes.
    #[n(0)]
    pub revision: Revision,
    /// Entries, in order.
    #[n(1)]
    pub entries: Vec<Entry>,
}
