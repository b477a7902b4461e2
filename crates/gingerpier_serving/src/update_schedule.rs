//! Schedules when each engine is ordered to load new weights.
//!
//! An engine drains before it loads weights and rejects requests meanwhile, so engines that serve
//! older weights are ordered one after the other. An engine without weights is ordered at once.
//!
//! Complete weights are never dropped in favour of newer ones that are still being fetched: their
//! source may fail at any moment, and an engine with expired weights serves nothing.

use {
    crate::report::Version,
    gingerpier_base::{Instant, order},
};

/// A released version with its release time.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ReleaseTime {
    /// Version.
    pub version: Version,
    /// Release time, from which the bound counts.
    pub at: Instant,
}

/// Time limits of a weight update.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Bound {
    /// Milliseconds from the release within which every engine must be ordered.
    pub within_millis: u64,
    /// Milliseconds of the bound that are reserved for the update itself.
    pub margin_millis: u64,
}

/// Milliseconds from the announcement of an order to the first change at the engine. Gateways stop
/// sending to it meanwhile, and requests queued there start, so that a machine that is suspended
/// later keeps none back to start it on older weights.
const FIRST_CHANGE_DELAY_MILLIS: u64 = 450;

/// Milliseconds from the announcement of an order to the order.
const ORDER_DELAY_MILLIS: u64 = 650;

/// How long an engine may serve its current weights.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Validity {
    /// It has no weights.
    Empty,
    /// No newer version is released.
    Unbounded,
    /// Until this time; from then on gateways send it no requests.
    Until(Instant),
}

/// Period between the announcement of an order and the order.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Notice {
    /// Time before which nothing is changed at the engine.
    pub unchanged_until: Instant,
    /// Earliest time of the order.
    pub order_at: Instant,
}

/// Returns the notice period of an order announced at `now`. There is none for an engine that
/// receives no requests any more: if weights are late everywhere, all other engines are idle too.
pub fn notice(validity: Validity, now: Instant) -> Notice {
    let expires_at = match validity {
        Validity::Empty => now,
        Validity::Unbounded => now.after_millis(ORDER_DELAY_MILLIS),
        Validity::Until(expires_at) => expires_at.max(now),
    };
    Notice {
        unchanged_until: now.after_millis(FIRST_CHANGE_DELAY_MILLIS).min(expires_at),
        order_at: now.after_millis(ORDER_DELAY_MILLIS).min(expires_at),
    }
}

/// Position of an engine in the order of updates.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Position {
    /// Number of engines ahead of it.
    pub rank: u32,
    /// Number of engines.
    pub count: u32,
}

/// Returns the position of `own` among `members`, equal at all processes with the same members. It
/// doesn't depend on the version, so an engine that takes two updates has a pause between them.
pub fn position(own: u64, members: &[u64]) -> Position {
    let score = |member: u64| (order::mix(member), member);
    let ahead = members
        .iter()
        .filter(|member| score(**member) > score(own))
        .count();
    Position {
        rank: ahead as u32,
        count: (members.len() as u32).max(1),
    }
}

/// Returns when an engine that holds version `held` is ordered to load newer weights.
///
/// The oldest of the `releases` versions that it lacks determines the time, as it expires first.
/// Orders are spread evenly from `complete_at`, when suitable weights were complete at the engine,
/// to the last moment that keeps the bound. The engine then loads the newest version that is
/// complete.
pub fn order_at(
    held: Option<Version>,
    releases: &[ReleaseTime],
    complete_at: Instant,
    position: Position,
    bound: &Bound,
) -> Instant {
    let missing = releases
        .iter()
        .filter(|releases| Some(releases.version) > held);
    let Some(oldest_at) = missing
        .map(|releases| releases.at)
        .min()
        .filter(|_| held.is_some())
    else {
        return complete_at;
    };
    let latest_at = oldest_at.after_millis(bound.within_millis.saturating_sub(bound.margin_millis));
    let spread_millis = latest_at.millis_since(complete_at);
    let delay_millis = spread_millis * u64::from(position.rank) / u64::from(position.count.max(1));
    complete_at.after_millis(delay_millis)
}
