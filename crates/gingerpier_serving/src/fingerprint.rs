//! Fingerprints by which retries of the same request, and the same part of different prompts, are
//! recognized.
//!
//! A client retries with a new request id, on a new connection and at any gateway; destination,
//! client account and body stay the same. Prompts name the parts that they share with others.

use std::fmt;

/// Length of a fingerprint in bytes; long enough against deliberate collisions.
pub const LENGTH_BYTES: usize = 16;

/// Shared parts of one prompt that are considered, the first ones; bounds what a request makes
/// gateways remember. Prompts have about three.
pub const MAX_SHARED_PARTS: usize = 16;

/// Keeps fingerprints of parts apart from those of requests.
const PART_LABEL: &[u8] = b"prompt part";

/// Bytes of a fingerprint that logs show.
const DISPLAYED_BYTES: usize = 4;

/// Digest of a request that is equal for all its retries, or of a part of a prompt that is equal in
/// all requests with it.
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
        digest(&[
            host.as_bytes(),
            input.target,
            input.account.as_bytes(),
            input.body,
        ])
    }

    /// Computes the fingerprints of the parts that a prompt may share with others: all but the last
    /// one of `list`, whose entries `ID:TOKENS` are separated by commas. Parts of different models
    /// or services differ.
    pub fn of_shared_parts(service: &str, model: &str, list: &str) -> Vec<Self> {
        let Some((shared, _)) = list.rsplit_once(',') else {
            return Vec::new();
        };
        let mut parts = Vec::new();
        for entry in shared.split(',') {
            let id = entry.split(':').next().unwrap_or_default().trim();
            if id.is_empty() || parts.len() >= MAX_SHARED_PARTS {
                continue;
            }
            let id = id.to_ascii_lowercase();
            let part = digest(&[
                PART_LABEL,
                service.as_bytes(),
                model.as_bytes(),
                id.as_bytes(),
            ]);
            if !parts.contains(&part) {
                parts.push(part);
            }
        }
        parts
    }

    /// Returns true if the hexadecimal form begins with `prefix`.
    pub fn has_prefix(&self, prefix: &str) -> bool {
        let hexadecimal: String = self.0.iter().map(|byte| format!("{byte:02x}")).collect();
        hexadecimal.starts_with(prefix)
    }
}

fn digest(parts: &[&[u8]]) -> Fingerprint {
    let mut hasher = blake3::Hasher::new();
    for part in parts {
        // The length prefix keeps adjacent parts apart.
        hasher.update(&(part.len() as u64).to_le_bytes());
        hasher.update(part);
    }
    let mut bytes = [0; LENGTH_BYTES];
    bytes.copy_from_slice(&hasher.finalize().as_bytes()[..LENGTH_BYTES]);
    Fingerprint(bytes)
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
