//! Answers of this system, which no engine gave.

use {
    gingerpier_http1::{head::Request, writer::Message},
    gingerpier_serving::dialect::Names,
};

/// Why a request gets no engine's answer.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Refusal {
    /// Its head is no head.
    Malformed,
    /// Its head is too long.
    HeadTooLong,
    /// Its body is too long.
    BodyTooLong,
    /// It lacks its id.
    NoAttempt,
    /// No route fits.
    NoRoute,
    /// Its key is unknown.
    NoKey,
    /// This process knows no configuration yet.
    NoConfiguration,
    /// This process is stopping and takes no more requests.
    Leaving,
    /// It has not run and never will; it may come again after so many seconds.
    NotRun {
        /// Seconds.
        retry_after: f64,
    },
    /// It may have run.
    Failed,
    /// Its time is up, and it may have run.
    TimedOut,
}

/// Seconds after which a caller of a process without a configuration may come again.
const UNCONFIGURED_SECONDS: f64 = 0.5;

impl Refusal {
    /// Status of the answer.
    pub const fn status(self) -> u16 {
        match self {
            Self::Malformed | Self::NoAttempt => 400,
            Self::HeadTooLong => 431,
            Self::BodyTooLong => 413,
            Self::NoRoute => 404,
            Self::NoKey => 401,
            Self::NoConfiguration | Self::Leaving | Self::NotRun { .. } => 503,
            Self::Failed => 502,
            Self::TimedOut => 504,
        }
    }

    /// Seconds after which to come again.
    pub const fn retry_after(self) -> Option<f64> {
        match self {
            Self::NoConfiguration => Some(UNCONFIGURED_SECONDS),
            Self::Leaving => Some(0.0),
            Self::NotRun { retry_after } => Some(retry_after),
            _ => None,
        }
    }
}

/// Answer after which the connection ends.
pub fn closing(refusal: Refusal) -> Vec<u8> {
    Message::response(refusal.status())
        .field(b"connection", b"close")
        .body(b"")
}

/// Answer to `request`; `closes` where the connection ends behind it.
pub fn refusal(refusal: Refusal, request: &Request, names: &Names, closes: bool) -> Vec<u8> {
    let mut message = Message::response(refusal.status());
    if let Some(attempt) = request.fields.get(names.attempt) {
        message = message.field(names.attempt.as_bytes(), attempt);
    }
    if let Some(seconds) = refusal.retry_after() {
        message = message.field(
            names.retry_after.as_bytes(),
            format!("{seconds:.2}").as_bytes(),
        );
    }
    if closes {
        message = message.field(b"connection", b"close");
    }
    message.body(b"")
}
