//! Tickets: idempotency keys issued by entry boxes.

use {
    displaydoc::Display,
    gingerpier_base::{Instant, place::Incarnation},
    minicbor::{Decode, Encode},
    std::{fmt, str::FromStr},
};

/// Idempotency key that identifies its issuer.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Encode, Decode)]
#[cbor(map)]
pub struct Ticket {
    /// Process run of the entry box that issued the ticket.
    #[n(0)]
    pub owner: Incarnation,
    /// Time of issue by the owner's clock; not comparable with other clocks.
    #[n(1)]
    pub issued: Instant,
    /// Serial number at the owner.
    #[n(2)]
    pub number: u64,
    /// Keyed hash by which the owner verifies that it issued the ticket.
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
        let mut next_part = || parts.next().flatten();
        let ticket = (|| {
            Some(Self {
                owner: Incarnation(next_part()?),
                issued: Instant::from_millis(next_part()?),
                number: next_part()?,
                seal: next_part()?,
            })
        })();
        let complete = ticket.filter(|_| parts.next().is_none());
        complete.ok_or_else(|| Error(text.to_owned()))
    }
}
