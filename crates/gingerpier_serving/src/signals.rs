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

use {crate::request_limit::Pace, gingerpier_base::Instant};

/// Longest time for which an engine's rejection counts.
pub const MAX_RETRY_DELAY_MILLIS: u64 = 3_600_000;

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
    /// True if the engine is about to leave.
    pub is_draining: bool,
    /// Time for which the engine rejects requests of this gateway, in milliseconds.
    pub retry_delay_millis: Option<u64>,
}

/// True if a response field with this value says that the engine is about to leave.
pub fn is_draining(value: Option<&[u8]>) -> bool {
    value.is_some_and(|value| value.trim_ascii() != b"0")
}

/// Parses the retry delay of a rejected request, in seconds; `None` if it is no decimal number,
/// negative or infinite. Long delays are cut to [`MAX_RETRY_DELAY_MILLIS`].
pub fn parse_retry_delay_millis(value: &[u8]) -> Option<u64> {
    let millis = parse_number(value)? * 1_000.0;
    Some((millis.ceil() as u64).min(MAX_RETRY_DELAY_MILLIS))
}

/// Request limit that is in force at an engine.
#[derive(Debug, Clone, Copy, PartialEq)]
struct LimitState {
    per_second: f64,
    /// Time of the latest response with a limit.
    received_at: Instant,
    pace: Pace,
}

/// Signals of one engine that are in force.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub struct SignalState {
    limit: Option<LimitState>,
    is_draining: bool,
    rejects_until: Option<Instant>,
}

/// What a response changed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct Changes {
    /// The request limit began, changed or ended.
    pub limit: bool,
    /// The engine is about to leave.
    pub draining: bool,
    /// The engine rejects requests for longer than known before.
    pub retry_delay: bool,
}

impl SignalState {
    /// Limit of the requests from all gateways together, in requests per second.
    pub fn request_limit(&self) -> Option<f64> {
        self.limit.map(|limit| limit.per_second)
    }

    /// True once the engine has said that it is about to leave.
    pub const fn is_draining(&self) -> bool {
        self.is_draining
    }

    /// Sets the minimum interval between requests of this gateway while the engine has a limit.
    pub const fn set_interval(&mut self, millis: u64) {
        if let Some(limit) = &mut self.limit {
            limit.pace.set_interval(millis);
        }
    }

    /// Records a request as sent.
    pub const fn record_sent(&mut self, now: Instant) {
        if let Some(limit) = &mut self.limit {
            limit.pace.record_sent(now);
        }
    }

    /// True while the engine rejects requests of this gateway.
    pub fn is_rejecting(&self, now: Instant) -> bool {
        self.rejects_until
            .is_some_and(|until| !until.has_passed(now))
    }

    /// Time from which this gateway may send a request; `None` if it may now, or if its share in a
    /// limit is not known yet.
    pub fn opens_at(&self, now: Instant) -> Option<Instant> {
        let next_at = match self.limit {
            Some(limit) => Some(limit.pace.next_at()?),
            None => None,
        };
        let opens_at = self.rejects_until.max(next_at);
        opens_at.filter(|opens_at| !opens_at.has_passed(now))
    }

    /// True if the limit lets this gateway send a request now.
    pub fn allows_request(&self, now: Instant) -> bool {
        self.limit
            .is_none_or(|limit| limit.pace.allows_request(now))
    }

    /// Records the signals of the response to a request that was sent at `sent_at`, `None` if
    /// unknown. `phase` is a random number from 0 to 1.
    ///
    /// Responses may overtake each other, so a limit only ends with the response to a request that
    /// was sent after the limit was received.
    pub fn record(
        &mut self,
        signals: &Signals,
        sent_at: Option<Instant>,
        now: Instant,
        phase: f64,
    ) -> Changes {
        // One more, as `now` is a whole number of milliseconds.
        let rejects_until = signals
            .retry_delay_millis
            .map(|millis| now.after_millis(millis + 1));
        let changes = Changes {
            limit: self.record_limit(signals, sent_at, now, phase),
            draining: signals.is_draining && !self.is_draining,
            retry_delay: rejects_until > self.rejects_until,
        };
        self.is_draining |= signals.is_draining;
        self.rejects_until = self.rejects_until.max(rejects_until);
        changes
    }

    fn record_limit(
        &mut self,
        signals: &Signals,
        sent_at: Option<Instant>,
        now: Instant,
        phase: f64,
    ) -> bool {
        let former = self.request_limit();
        match (signals.request_limit, &mut self.limit) {
            (RequestLimit::PerSecond(per_second), Some(limit)) => {
                limit.per_second = per_second;
                limit.received_at = now;
            }
            (RequestLimit::PerSecond(per_second), None) => {
                self.limit = Some(LimitState {
                    per_second,
                    received_at: now,
                    pace: Pace::new(now, phase),
                });
            }
            (RequestLimit::Unlimited, Some(limit))
                if sent_at.is_some_and(|sent_at| sent_at > limit.received_at) =>
            {
                self.limit = None;
            }
            (RequestLimit::Unlimited | RequestLimit::Invalid, _) => {}
        }
        self.request_limit() != former
    }
}

/// Parses a decimal number that is finite and not negative.
fn parse_number(value: &[u8]) -> Option<f64> {
    let number: f64 = std::str::from_utf8(value).ok()?.trim().parse().ok()?;
    (number.is_finite() && number >= 0.0).then_some(number)
}
