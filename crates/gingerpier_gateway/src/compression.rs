//! Compression of bodies between gateways.
//!
//! Configurations are large texts that compress to a fifth or less.

use {
    flate2::{
        Compression,
        read::{DeflateDecoder, DeflateEncoder},
    },
    std::io::{self, Read},
};

/// Content coding in header fields.
pub const ENCODING: &str = "deflate";

/// Shorter bodies fit into a few packets and aren't compressed.
const MIN_BYTES: usize = 4 * 1024;

/// Compresses `body`; none if it is short.
pub fn compress(body: &[u8]) -> Option<Vec<u8>> {
    if body.len() < MIN_BYTES {
        return None;
    }
    let mut compressed = Vec::with_capacity(body.len() / 4);
    let mut encoder = DeflateEncoder::new(body, Compression::fast());
    match encoder.read_to_end(&mut compressed) {
        Ok(_) => Some(compressed),
        Err(error) => {
            tracing::warn!(cause = %error, "compression failed; sending the body uncompressed");
            None
        }
    }
}

/// Decompresses to at most `max_bytes`.
///
/// # Errors
///
/// If the input is malformed or decompresses to more than `max_bytes`.
pub fn decompress(compressed: &[u8], max_bytes: usize) -> io::Result<Vec<u8>> {
    let mut body = Vec::with_capacity(compressed.len() * 4);
    let mut decoder = DeflateDecoder::new(compressed).take(max_bytes as u64 + 1);
    decoder.read_to_end(&mut body)?;
    if body.len() > max_bytes {
        return Err(io::Error::other("decompressed body exceeds the size limit"));
    }
    Ok(body)
}
