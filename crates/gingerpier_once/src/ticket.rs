//! Tickets: keys under which a caller may come again.

use {
    displaydoc::Display,
    gingerpier_base::{Instant, place::Incarnation},
    minicbor::{Decode, Encode},
    std::{fmt, str::FromStr},
};

/// A key that carries its owner and its time of issue by the owner's own clock.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Encode, Decode)]
#[cbor(map)]
pub struct Ticket {
    /// The run of the entry box process that issued it.
    #[n(0)]
    pub owner: Incarnation,
    /// When, by the owner's clock; compared with nothing else.
    #[n(1)]
    pub issued: Instant,
    /// Number of the ticket at its owner.
    #[n(2)]
    pub number: u64,
    /// Proof that the owner issued it.
    #[n(3)]
    pub seal: u64,
}

/// a key for a request that must not run twice is a ticket from `POST /v1/tickets`, and `{0}` is none
#[derive(Debug, Clone, PartialEq, Eq, Display)]
pub struct Error(pub String);

impl std::error::Error for Error {}

impl fmt::Display for Ticket {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self {
            owner,
            issued,
            number,
            seal,
        } = self;
        write!(
            formatter,
            "{owner}-{:x}-{number:x}-{seal:016x}",
            issued.as_millis()
        )
    }
}

impl FromStr for Ticket {
    type Err = Error;

    fn from_str(text: &str) -> Result<Self, Error> {
        let mut parts = text
            .split('-')
            .map(|part| u64::from_str_radix(part, 16).ok());
        let mut part = || parts.next().flatten();
        let ticket = (|| {
            Some(Self {
                owner: Incarnation(part()?),
                issued: Instant::from_millis(part()?),
                number: part()?,
                seal: part()?,
            })
        })();
        let whole = ticket.filter(|_| parts.next().is_none());
        whole.ok_or_else(|| Error(text.to_owned()))
    }
}
