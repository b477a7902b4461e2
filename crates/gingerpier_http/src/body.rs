//! Bodies of requests, within bounds of length and time.

use {
    actix_http::Request,
    actix_rt::time::timeout,
    bytes::{Bytes, BytesMut},
    displaydoc::Display,
    futures_util::StreamExt,
    serde::de::DeserializeOwned,
    std::time::Duration,
};

/// Time for each part of a body.
const PATIENCE: Duration = Duration::from_secs(10);

/// A body that can't be used.
#[derive(Debug, Clone, PartialEq, Eq, Display)]
pub enum Error {
    /// the body is longer than {0} bytes
    TooLong(usize),
    /// the body broke off: {0}
    BrokeOff(String),
    /// the body did not come in time
    TooSlow,
    /// the body is not what is expected here: {0}
    Unreadable(String),
}

impl std::error::Error for Error {}

impl Error {
    /// HTTP status for the error.
    pub const fn status(&self) -> u16 {
        match self {
            Self::TooLong(_) => 413,
            Self::TooSlow => 408,
            Self::BrokeOff(_) | Self::Unreadable(_) => 400,
        }
    }
}

/// Reads the body of `request`, `longest` bytes at most.
///
/// # Errors
///
/// Where the body is too long, too slow, or breaks off.
pub async fn read(request: &mut Request, longest: usize) -> Result<Bytes, Error> {
    let mut payload = request.take_payload();
    let mut body = BytesMut::new();
    loop {
        match timeout(PATIENCE, payload.next()).await {
            Ok(None) => return Ok(body.freeze()),
            Ok(Some(Ok(part))) if body.len() + part.len() > longest => {
                return Err(Error::TooLong(longest));
            }
            Ok(Some(Ok(part))) => body.extend_from_slice(&part),
            Ok(Some(Err(error))) => return Err(Error::BrokeOff(error.to_string())),
            Err(_) => return Err(Error::TooSlow),
        }
    }
}

/// Reads the body of `request` as JSON.
///
/// # Errors
///
/// Where the body can't be had, or is something else.
pub async fn json<T: DeserializeOwned>(request: &mut Request, longest: usize) -> Result<T, Error> {
    let body = read(request, longest).await?;
    serde_json::from_slice(&body).map_err(|error| Error::Unreadable(error.to_string()))
}
