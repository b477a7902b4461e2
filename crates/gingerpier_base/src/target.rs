//! Targets of HTTP requests, built from text that may hold any characters.
//!
//! Names of other programs, such as keys of a store or models, are data: unencoded, a `#` or `&` in one
//! would change which request is sent. Everything but constant paths is therefore encoded here.

use {
    percent_encoding::{AsciiSet, NON_ALPHANUMERIC, percent_decode_str, utf8_percent_encode},
    std::fmt,
};

/// Characters to encode in a path segment: all but the unreserved ones (RFC 3986, section 2.3).
const SEGMENT: &AsciiSet = &NON_ALPHANUMERIC
    .remove(b'-')
    .remove(b'.')
    .remove(b'_')
    .remove(b'~');

/// Characters to encode in a query parameter, in which a slash has no meaning of its own.
const PARAMETER: &AsciiSet = &SEGMENT.remove(b'/');

/// Path and query of a request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Target {
    text: String,
    has_query: bool,
}

impl Target {
    /// Creates a target from a path that needs no encoding.
    pub fn new(path: &'static str) -> Self {
        Self {
            text: path.to_owned(),
            has_query: false,
        }
    }

    /// Adds a path segment; only before the first parameter.
    #[must_use]
    pub fn segment(mut self, segment: &str) -> Self {
        self.text.push('/');
        self.text.extend(utf8_percent_encode(segment, SEGMENT));
        self
    }

    /// Adds the segments of a relative path; only before the first parameter.
    #[must_use]
    pub fn segments(self, path: &str) -> Self {
        path.split('/')
            .fold(self, |target, part| target.segment(part))
    }

    /// Adds a query parameter.
    #[must_use]
    pub fn parameter(mut self, name: &'static str, value: impl fmt::Display) -> Self {
        let separator = match std::mem::replace(&mut self.has_query, true) {
            true => '&',
            false => '?',
        };
        self.text.push(separator);
        self.text.push_str(name);
        self.text.push('=');
        let value = value.to_string();
        self.text.extend(utf8_percent_encode(&value, PARAMETER));
        self
    }

    /// The target as it is sent.
    pub fn as_str(&self) -> &str {
        &self.text
    }
}

impl fmt::Display for Target {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(&self.text)
    }
}

/// Decodes a path segment; `None` if it isn't UTF-8.
pub fn decode_segment(segment: &str) -> Option<String> {
    let decoded = percent_decode_str(segment).decode_utf8();
    decoded.ok().map(|text| text.into_owned())
}
