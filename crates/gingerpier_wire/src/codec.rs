//! Frame encoding: a length of four bytes in big-endian order, then CBOR.

use {
    displaydoc::Display,
    minicbor::{Decode, Encode},
};

/// Size of the length prefix, in bytes.
pub const LENGTH_BYTES: usize = 4;
/// Maximum size of a frame without its length prefix, in bytes.
pub const MAX_FRAME_BYTES: usize = 4 << 20;

/// Error of encoding or decoding a frame.
#[derive(Debug, Clone, PartialEq, Eq, Display)]
pub enum Error {
    /// the frame has {0} bytes, and the longest has 4194304
    TooLong(usize),
    /// the frame can't be decoded: {0}
    Decode(String),
}

impl std::error::Error for Error {}

/// Encodes a frame with its length prefix.
///
/// # Errors
///
/// Returns an error if the frame exceeds [`MAX_FRAME_BYTES`].
///
/// # Panics
///
/// Never: encoding into memory is infallible.
pub fn encode<T: Encode<()>>(frame: &T) -> Result<Vec<u8>, Error> {
    let mut bytes = vec![0; LENGTH_BYTES];
    minicbor::encode(frame, &mut bytes)
        .unwrap_or_else(|error| unreachable!("encoding a frame into memory: {error}"));
    let length = bytes.len() - LENGTH_BYTES;
    check_length(length)?;
    bytes[..LENGTH_BYTES].copy_from_slice(&(length as u32).to_be_bytes());
    Ok(bytes)
}

/// Decodes the length prefix of a frame, in bytes.
///
/// # Errors
///
/// Returns an error if the length exceeds [`MAX_FRAME_BYTES`].
pub fn length(header: [u8; LENGTH_BYTES]) -> Result<usize, Error> {
    let length = u32::from_be_bytes(header) as usize;
    check_length(length)?;
    Ok(length)
}

/// Decodes a frame without its length prefix.
///
/// # Errors
///
/// Returns an error if the bytes are not a valid frame of this type.
pub fn decode<'b, T: Decode<'b, ()>>(bytes: &'b [u8]) -> Result<T, Error> {
    minicbor::decode(bytes).map_err(|error| Error::Decode(error.to_string()))
}

const fn check_length(length: usize) -> Result<(), Error> {
    if length > MAX_FRAME_BYTES {
        Err(Error::TooLong(length))
    } else {
        Ok(())
    }
}
