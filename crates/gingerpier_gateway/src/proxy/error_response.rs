//! Error responses that the gateway generates itself.

use {
    gingerpier_http1::{head::Request, writer::Message},
    gingerpier_serving::platform_api::HeaderNames,
};

/// Why a request gets an error response from the gateway instead of an engine's response.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum ErrorResponse {
    /// The request head is not valid HTTP or lacks a required field.
    Malformed,
    /// The request head exceeds the configured limit.
    HeadTooLong,
    /// The request body exceeds the configured limit.
    BodyTooLong,
    /// The field with the attempt id is missing.
    MissingAttemptId,
    /// No route matches the host and path.
    NoRoute,
    /// The API key is missing or unknown on a route that is not public.
    InvalidKey,
    /// The gateway has not loaded a configuration yet.
    NoConfiguration,
    /// The gateway is shutting down and accepts no more requests.
    ShuttingDown,
    /// No engine ran the request or ever will, so that it is safe to retry.
    NotRun {
        /// Seconds after which the caller may retry.
        retry_after: f64,
    },
    /// An attempt failed after the engine may have run the request.
    Failed,
    /// The deadline passed after the engine may have run the request.
    TimedOut,
}

/// Retry delay for callers of a gateway without a configuration.
const UNCONFIGURED_RETRY_SECONDS: f64 = 0.5;

impl ErrorResponse {
    /// HTTP status code.
    pub const fn status(self) -> u16 {
        match self {
            Self::Malformed | Self::MissingAttemptId => 400,
            Self::HeadTooLong => 431,
            Self::BodyTooLong => 413,
            Self::NoRoute => 404,
            Self::InvalidKey => 401,
            Self::NoConfiguration | Self::ShuttingDown | Self::NotRun { .. } => 503,
            Self::Failed => 502,
            Self::TimedOut => 504,
        }
    }

    /// Seconds after which the caller may retry; `None` if a retry is not suggested.
    pub const fn retry_after(self) -> Option<f64> {
        match self {
            Self::NoConfiguration => Some(UNCONFIGURED_RETRY_SECONDS),
            Self::ShuttingDown => Some(0.0),
            Self::NotRun { retry_after } => Some(retry_after),
            _ => None,
        }
    }
}

/// Encodes a response without request fields, after which the connection closes.
pub fn encode_closing(error: ErrorResponse) -> Vec<u8> {
    Message::response(error.status())
        .field(b"connection", b"close")
        .body(b"")
}

/// Encodes the response to `request`; `closes` announces that the connection closes after it.
pub fn encode(
    error: ErrorResponse,
    request: &Request,
    header_names: &HeaderNames,
    closes: bool,
) -> Vec<u8> {
    let mut message = Message::response(error.status());
    if let Some(attempt_id) = request.fields.get(header_names.attempt) {
        message = message.field(header_names.attempt.as_bytes(), attempt_id);
    }
    if let Some(seconds) = error.retry_after() {
        message = message.field(
            header_names.retry_after.as_bytes(),
            format!("{seconds:.2}").as_bytes(),
        );
    }
    if closes {
        message = message.field(b"connection", b"close");
    }
    message.body(b"")
}
