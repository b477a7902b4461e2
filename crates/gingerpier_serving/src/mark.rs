//! What makes two requests the same one, whoever brings them and wherever they come.
//!
//! A caller whose request failed comes back with a new id, on a new connection, at any gateway. What stays is where the
//! request goes, who asks and what is asked.

use std::fmt;

/// Bytes of a mark: enough that nobody makes two requests with one mark on purpose.
pub const LENGTH: usize = 16;

/// Bytes of a mark that logs show.
const SHOWN: usize = 4;

/// Digest of a request, the same each time that it comes.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Mark(pub [u8; LENGTH]);

/// What a request is known by.
#[derive(Debug, Clone, Copy)]
pub struct Subject<'a> {
    /// Host: the same path is another thing at another host.
    pub host: &'a str,
    /// Path with its query, which may be all that tells requests without a body apart.
    pub target: &'a [u8],
    /// Client account, not its key, which may be renewed between two tries; empty where there are none.
    pub account: &'a str,
    /// Body.
    pub body: &'a [u8],
}

impl Mark {
    /// Mark of a request. Its id and time left differ with each try, and its other headers may; so they are left out.
    pub fn of(subject: &Subject<'_>) -> Self {
        let host = subject.host.to_ascii_lowercase();
        let parts = [
            host.as_bytes(),
            subject.target,
            subject.account.as_bytes(),
            subject.body,
        ];
        let mut hasher = blake3::Hasher::new();
        for part in parts {
            // Lengths keep parts from running into each other.
            hasher.update(&(part.len() as u64).to_le_bytes());
            hasher.update(part);
        }
        let mut bytes = [0; LENGTH];
        bytes.copy_from_slice(&hasher.finalize().as_bytes()[..LENGTH]);
        Self(bytes)
    }

    /// True where its text begins with `prefix`.
    pub fn begins_with(&self, prefix: &str) -> bool {
        let whole: String = self.0.iter().map(|byte| format!("{byte:02x}")).collect();
        whole.starts_with(prefix)
    }
}

/// A short prefix, as logs show it.
impl fmt::Display for Mark {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        for byte in &self.0[..SHOWN] {
            write!(formatter, "{byte:02x}")?;
        }
        Ok(())
    }
}

impl fmt::Debug for Mark {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        fmt::Display::fmt(self, formatter)
    }
}
