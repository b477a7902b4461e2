//! Compressed bodies between gateways.
//!
//! A configuration may have a megabyte, and a gateway that watches the store tells it to a dozen others
//! over a link of 40 Mbit/s, beside the answers of its callers. Its text shrinks to a fifth or less.

use {
    flate2::{
        Compression,
        read::{DeflateDecoder, DeflateEncoder},
    },
    std::io::{self, Read},
};

/// Name of the encoding in header fields.
pub const NAME: &str = "deflate";

/// Least bytes that are compressed: less fits into a few packets.
const LEAST_BYTES: usize = 4 * 1024;

/// `body` compressed; nothing where it is short.
pub fn shrink(body: &[u8]) -> Option<Vec<u8>> {
    if body.len() < LEAST_BYTES {
        return None;
    }
    let mut shrunk = Vec::with_capacity(body.len() / 4);
    let mut encoder = DeflateEncoder::new(body, Compression::fast());
    match encoder.read_to_end(&mut shrunk) {
        Ok(_) => Some(shrunk),
        Err(error) => {
            tracing::warn!(cause = %error, "a body is sent uncompressed");
            None
        }
    }
}

/// What `shrunk` was made from, at most `most` bytes.
///
/// # Errors
///
/// Where it is not compressed as told, or longer.
pub fn expand(shrunk: &[u8], most: usize) -> io::Result<Vec<u8>> {
    let mut body = Vec::with_capacity(shrunk.len() * 4);
    let mut decoder = DeflateDecoder::new(shrunk).take(most as u64 + 1);
    decoder.read_to_end(&mut body)?;
    if body.len() > most {
        return Err(io::Error::other("a compressed body is too long"));
    }
    Ok(body)
}
