//! Content digests: BLAKE3 over bytes, written as 64 hexadecimal digits.
//!
//! A digest names a chunk, a manifest and, through the manifest, a whole version of weights.

use {
    displaydoc::Display,
    minicbor::{Decode, Encode},
    std::{fmt, str::FromStr},
};

/// The number of bytes in a digest.
pub const LENGTH: usize = 32;

/// A BLAKE3 digest.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Encode, Decode)]
#[cbor(transparent)]
pub struct Digest(#[cbor(n(0), with = "minicbor::bytes")] [u8; LENGTH]);

/// Text that is no digest.
#[derive(Debug, Clone, PartialEq, Eq, Display)]
pub enum Error {
    /// a digest has 64 hexadecimal digits, this text has {0} characters
    Length(usize),
    /// character {0} is no hexadecimal digit
    Digit(usize),
}

impl std::error::Error for Error {}

impl Digest {
    /// Digest of `bytes`.
    pub fn of(bytes: &[u8]) -> Self {
        Self(*blake3::hash(bytes).as_bytes())
    }

    /// Digest from its raw bytes.
    pub const fn from_bytes(bytes: [u8; LENGTH]) -> Self {
        Self(bytes)
    }

    /// Raw bytes.
    pub const fn as_bytes(&self) -> &[u8; LENGTH] {
        &self.0
    }
}

impl fmt::Display for Digest {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        for byte in self.0 {
            write!(formatter, "{byte:02x}")?;
        }
        Ok(())
    }
}

impl fmt::Debug for Digest {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        fmt::Display::fmt(self, formatter)
    }
}

impl FromStr for Digest {
    type Err = Error;

    fn from_str(text: &str) -> Result<Self, Error> {
        let digits = text.as_bytes();
        if digits.len() != 2 * LENGTH {
            return Err(Error::Length(digits.len()));
        }
        let mut bytes = [0; LENGTH];
        for (index, digit) in digits.iter().enumerate() {
            let value = (*digit as char)
                .to_digit(16)
                .ok_or(Error::Digit(index + 1))?;
            bytes[index / 2] = bytes[index / 2] << 4 | value as u8;
        }
        Ok(Self(bytes))
    }
}
