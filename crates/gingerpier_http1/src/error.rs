//! What is wrong with a message.

use displaydoc::Display;

/// A message that can't be taken.
#[derive(Debug, Display, Clone, Copy, PartialEq, Eq)]
pub enum Error {
    /// the head is not HTTP/1.1
    Head,
    /// the status is not between 100 and 599
    Status,
    /// the head is longer than allowed
    HeadTooLong,
    /// the length of the body is not told in exactly one way
    Framing,
    /// a chunk of the body is malformed
    Chunk,
    /// the body is longer than allowed
    BodyTooLong,
    /// the connection ended inside a message
    Cut,
}

impl std::error::Error for Error {}
