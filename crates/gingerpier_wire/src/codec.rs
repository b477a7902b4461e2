//! A frame as bytes: its length in four bytes, then CBOR.

use {
    displaydoc::Display,
    minicbor::{Decode, Encode},
};

/// Bytes of the length that precedes a frame.
pub const LENGTH_BYTES: usize = 4;
/// The longest frame, in bytes: a snapshot of the configuration with room to spare.
pub const MAX_FRAME_BYTES: usize = 4 << 20;

/// Bytes that are no frame.
#[derive(Debug, Clone, PartialEq, Eq, Display)]
pub enum Error {
    /// the frame has {0} bytes, and the longest has 4194304
    TooLong(usize),
    /// the frame can't be decoded: {0}
    Decode(String),
}

impl std::error::Error for Error {}

/// The frame with its length before it.
///
/// # Errors
///
/// Where the frame is too long.
///
/// # Panics
///
/// Never: writing to memory can't fail.
pub fn encode<T: Encode<()>>(frame: &T) -> Result<Vec<u8>, Error> {
    let mut bytes = vec![0; LENGTH_BYTES];
    minicbor::encode(frame, &mut bytes)
        .unwrap_or_else(|error| unreachable!("writing to memory: {error}"));
    let length = bytes.len() - LENGTH_BYTES;
    check_length(length)?;
    bytes[..LENGTH_BYTES].copy_from_slice(&(length as u32).to_be_bytes());
    Ok(bytes)
}

/// Length of the frame that follows `header`.
///
/// # Errors
///
/// Where the frame would be too long.
pub fn length(header: [u8; LENGTH_BYTES]) -> Result<usize, Error> {
    let length = u32::from_be_bytes(header) as usize;
    check_length(length)?;
    Ok(length)
}

/// The frame of `bytes`, which follow a length.
///
/// # Errors
///
/// Where the bytes are no such frame.
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
