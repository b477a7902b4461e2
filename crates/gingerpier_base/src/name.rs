//! Checked names of boxes, zones, models, versions and accounts.
//!
//! A name is cheap to clone and is safe in a path, a log line, a metric label and a key of the
//! key-value service.

use {
    displaydoc::Display,
    minicbor::{Decode, Decoder, Encode, Encoder, decode, encode},
    std::{borrow::Borrow, fmt, str::FromStr, sync::Arc},
};

/// The longest name, in bytes.
pub const MAX_LENGTH: usize = 63;

/// A checked name: lower-case letters, digits, `.`, `_` and `-`, first a letter or digit.
#[derive(Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Name(Arc<str>);

/// Text that is no name.
#[derive(Debug, Clone, PartialEq, Eq, Display)]
pub enum Error {
    /// a name is 1 to 63 characters long, `{0}` is not
    Length(String),
    /// `{text}`: character {column} is `{found}`; a name has lower-case letters, digits, `.`, `_` and `-`, and starts with a letter or digit
    Character {
        /// The text refused.
        text: String,
        /// Column, from 1.
        column: usize,
        /// Character refused.
        found: char,
    },
}

impl std::error::Error for Error {}

impl Name {
    /// Text of the name.
    pub fn as_str(&self) -> &str {
        &self.0
    }
}

fn allowed(index: usize, character: char) -> bool {
    match character {
        'a'..='z' | '0'..='9' => true,
        '.' | '_' | '-' => index > 0,
        _ => false,
    }
}

impl FromStr for Name {
    type Err = Error;

    fn from_str(text: &str) -> Result<Self, Error> {
        if text.is_empty() || text.len() > MAX_LENGTH {
            return Err(Error::Length(text.to_owned()));
        }
        for (index, found) in text.chars().enumerate() {
            if !allowed(index, found) {
                return Err(Error::Character {
                    text: text.to_owned(),
                    column: index + 1,
                    found,
                });
            }
        }
        Ok(Self(Arc::from(text)))
    }
}

impl fmt::Display for Name {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(&self.0)
    }
}

impl fmt::Debug for Name {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(&self.0)
    }
}

impl Borrow<str> for Name {
    fn borrow(&self) -> &str {
        &self.0
    }
}

impl<C> Encode<C> for Name {
    fn encode<W: encode::Write>(
        &self,
        encoder: &mut Encoder<W>,
        _: &mut C,
    ) -> Result<(), encode::Error<W::Error>> {
        encoder.str(&self.0)?.ok()
    }
}

impl<'b, C> Decode<'b, C> for Name {
    fn decode(decoder: &mut Decoder<'b>, _: &mut C) -> Result<Self, decode::Error> {
        decoder
            .str()?
            .parse()
            .map_err(|error: Error| decode::Error::message(error.to_string()))
    }
}

impl serde::Serialize for Name {
    fn serialize<S: serde::Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.serialize_str(&self.0)
    }
}

impl<'de> serde::Deserialize<'de> for Name {
    fn deserialize<D: serde::Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        let text = String::deserialize(deserializer)?;
        text.parse().map_err(serde::de::Error::custom)
    }
}
