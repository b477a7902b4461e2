//! Signals about an engine's state in the heads of its responses.
//!
//! They arrive before the store entry changes, and also while the store is unavailable. They apply
//! to the incarnation that responded.
//!
//! ```
//! use gingerpier_serving::signals::RequestLimit;
//!
//! let parse = |values: &[&[u8]]| RequestLimit::parse(values.iter().copied());
//! assert_eq!(parse(&[]), RequestLimit::Unlimited);
//! assert_eq!(parse(&[b"2.5"]), RequestLimit::PerSecond(2.5));
//! assert_eq!(parse(&[b"3", b"2.5"]), RequestLimit::PerSecond(2.5), "the lowest counts");
//! assert_eq!(parse(&[b"many"]), RequestLimit::Invalid);
//! ```

/// Limit of the requests to an engine from all gateways together.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub enum RequestLimit {
    /// The response has no limit.
    #[default]
    Unlimited,
    /// Requests per second; finite and not negative.
    PerSecond(f64),
    /// The value is not a number, negative or infinite; an earlier limit remains.
    Invalid,
}

impl RequestLimit {
    /// Parses the values of the response field; the lowest of several counts.
    pub fn parse<'a>(values: impl Iterator<Item = &'a [u8]>) -> Self {
        let limits = values.map(|value| parse_number(value).map_or(Self::Invalid, Self::PerSecond));
        limits.fold(Self::Unlimited, |lowest, limit| match (lowest, limit) {
            (Self::PerSecond(first), Self::PerSecond(second)) => Self::PerSecond(first.min(second)),
            (Self::PerSecond(_), _) => lowest,
            _ => limit,
        })
    }
}

/// Signals in the head of one response.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub struct Signals {
    /// Limit of the requests from all gateways together.
    pub request_limit: RequestLimit,
}

/// Signals of one engine that are in force.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub struct SignalState {
    /// Limit in requests per second; `None` if unlimited.
    request_limit: Option<f64>,
}

impl SignalState {
    /// Limit of the requests from all gateways together, in requests per second.
    pub const fn request_limit(&self) -> Option<f64> {
        self.request_limit
    }

    /// Records the signals of a response; returns true if the limit has changed.
    pub fn record(&mut self, signals: &Signals) -> bool {
        let limit = match signals.request_limit {
            RequestLimit::Unlimited => None,
            RequestLimit::PerSecond(limit) => Some(limit),
            RequestLimit::Invalid => self.request_limit,
        };
        std::mem::replace(&mut self.request_limit, limit) != limit
    }
}

/// Parses a decimal number that is finite and not negative.
fn parse_number(value: &[u8]) -> Option<f64> {
    let number: f64 = std::str::from_utf8(value).ok()?.trim().parse().ok()?;
    (number.is_finite() && number >= 0.0).then_some(number)
}
