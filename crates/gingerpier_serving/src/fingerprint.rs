//! Fingerprint by which retries of the same request are recognized.
//!
//! A client retries with a new request id, on a new connection and at any gateway; destination,
//! client account and body stay the same.

use std::fmt;

/// Length of a fingerprint in bytes; long enough against deliberate collisions.
pub const LENGTH_BYTES: usize = 16;

/// Bytes of a fingerprint that logs show.
const DISPLAYED_BYTES: usize = 4;

/// Digest of a request that is equal for all its retries.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Fingerprint(pub [u8; LENGTH_BYTES]);

/// Parts of a request that are equal for all its retries.
#[derive(Debug, Clone, Copy)]
pub struct Input<'a> {
    /// Host, compared without case.
    pub host: &'a str,
    /// Path and query.
    pub target: &'a [u8],
    /// Client account, not its API key, which may be rotated between retries; empty if there is
    /// none.
    pub account: &'a str,
    /// Body.
    pub body: &'a [u8],
}

impl Fingerprint {
    /// Computes the fingerprint. Request id, deadline and other headers are left out, as they may
    /// differ between retries.
    pub fn of(input: &Input<'_>) -> Self {
        let host = input.host.to_ascii_lowercase();
        let parts = [
            host.as_bytes(),
            input.target,
            input.account.as_bytes(),
            input.body,
        ];
        let mut hasher = blake3::Hasher::new();
        for part in parts {
            // The length prefix keeps adjacent parts apart.
            hasher.update(&(part.len() as u64).to_le_bytes());
            hasher.update(part);
        }
        let mut bytes = [0; LENGTH_BYTES];
        bytes.copy_from_slice(&hasher.finalize().as_bytes()[..LENGTH_BYTES]);
        Self(bytes)
    }

    /// Returns true if the hexadecimal form begins with `prefix`.
    pub fn has_prefix(&self, prefix: &str) -> bool {
        let hexadecimal: String = self.0.iter().map(|byte| format!("{byte:02x}")).collect();
        hexadecimal.starts_with(prefix)
    }
}

/// Writes a short hexadecimal prefix for logs.
impl fmt::Display for Fingerprint {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        for byte in &self.0[..DISPLAYED_BYTES] {
            write!(formatter, "{byte:02x}")?;
        }
        Ok(())
    }
}

impl fmt::Debug for Fingerprint {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        fmt::Display::fmt(self, formatter)
    }
}
