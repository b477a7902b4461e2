//! A line that can't be read, with the place and what was expected there.

use displaydoc::Display;

/// line {line}, column {column}: {found} where {expected} was expected
#[derive(Debug, Clone, PartialEq, Eq, Display)]
pub struct Error {
    /// Line, from 1.
    pub line: usize,
    /// Column, from 1.
    pub column: usize,
    /// What stands there.
    pub found: String,
    /// What would have been right.
    pub expected: String,
}

impl std::error::Error for Error {}
