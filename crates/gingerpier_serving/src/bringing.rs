//! When an engine is ordered to take new weights.
//!
//! An engine that takes weights lets its work end first and takes nothing new meanwhile, so all
//! engines at once would leave callers with nobody. Engines that serve older weights are ordered
//! one after the other; an engine without weights has nothing to lose and is ordered at once.
//!
//! Weights that are whole are never given up for newer ones that are still on their way: what
//! they come from may go down at any moment, and an engine whose weights came due serves nothing.

use {
    crate::report::Version,
    gingerpier_base::{Instant, order},
};

/// Weights that operators named, and from when on their bound counts.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct NamedAt {
    /// Version.
    pub version: Version,
    /// From when on.
    pub at: Instant,
}

/// Times of a change of weights.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Terms {
    /// Milliseconds from the naming within which every engine must have been ordered.
    pub within_millis: u64,
    /// Milliseconds kept free at the end.
    pub margin_millis: u64,
}

/// Milliseconds between the word that an order is coming and the first change at the engine.
/// Gateways hear it, and what waits at the engine begins meanwhile: a machine that stands still
/// later on keeps no request back that would begin on the older weights when it wakes. The engine
/// loses nothing by it, as what runs takes longer to end.
const QUIET_MILLIS: u64 = 450;

/// Milliseconds between the word that an order is coming and the order.
const NOTICE_MILLIS: u64 = 650;

/// How long an engine may serve the weights that it holds.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Tenure {
    /// It holds none.
    Empty,
    /// Nothing newer was named.
    Unbounded,
    /// Until the instant, from which on gateways send it nothing.
    Until(Instant),
}

/// What comes between the word that an order is coming and the order.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Notice {
    /// Until when nothing is changed at the engine.
    pub quiet_until: Instant,
    /// When the order may be given.
    pub order_at: Instant,
}

/// Notice given `now` of an order. An engine that takes nothing any more has nothing that waits, and all others are
/// as idle as it where weights came late for everybody: there, each needless wait keeps callers from all engines.
pub fn notice(tenure: Tenure, now: Instant) -> Notice {
    let due = match tenure {
        Tenure::Empty => now,
        Tenure::Unbounded => now.after_millis(NOTICE_MILLIS),
        Tenure::Until(due) => due.max(now),
    };
    Notice {
        quiet_until: now.after_millis(QUIET_MILLIS).min(due),
        order_at: now.after_millis(NOTICE_MILLIS).min(due),
    }
}

/// Place of an engine among all that are to take new weights.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Place {
    /// Engines ahead of it.
    pub rank: u32,
    /// Engines.
    pub count: u32,
}

/// Place of `own` among `members`, the same at every process that knows the same members. It is
/// the same for all versions, so that an engine that takes two of them rests between.
pub fn place(own: u64, members: &[u64]) -> Place {
    let score = |member: u64| (order::mix(member), member);
    let ahead = members
        .iter()
        .filter(|member| score(**member) > score(own))
        .count();
    Place {
        rank: ahead as u32,
        count: (members.len() as u32).max(1),
    }
}

/// When an engine that holds `held` is ordered to take newer weights.
///
/// The oldest of the `named` versions that it lacks sets the turn, as it comes due first. Turns
/// are spread evenly from `complete_at`, when weights that will do were whole beside the engine,
/// to the last moment at which an order keeps the bound. What the engine takes at its turn is
/// the newest version that is whole by then.
pub fn order_at(
    held: Option<Version>,
    named: &[NamedAt],
    complete_at: Instant,
    place: Place,
    terms: &Terms,
) -> Instant {
    let unmet = named.iter().filter(|named| Some(named.version) > held);
    let Some(oldest) = unmet.map(|named| named.at).min().filter(|_| held.is_some()) else {
        return complete_at;
    };
    let last = oldest.after_millis(terms.within_millis.saturating_sub(terms.margin_millis));
    let spread = last.millis_since(complete_at);
    let wave = spread * u64::from(place.rank) / u64::from(place.count.max(1));
    complete_at.after_millis(wave)
}
