//! When an engine is ordered to take new weights.
//!
//! An engine that takes weights lets its work end first and takes nothing new meanwhile, so all
//! engines at once would leave callers with nobody. Engines that serve older weights are ordered
//! in waves; an engine without weights has nothing to lose and is ordered at once.

use {
    crate::report::Version,
    gingerpier_base::{Instant, order},
};

/// Weights that operators named, and when this process learnt of them.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct NamedAt {
    /// Version.
    pub version: Version,
    /// When it was learnt.
    pub at: Instant,
}

/// Times of a change of weights.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Terms {
    /// Milliseconds from the naming within which every engine must have been ordered.
    pub within_millis: u64,
    /// Milliseconds from the naming before which weights are seldom there.
    pub earliest_millis: u64,
    /// Milliseconds that an engine's work takes to end.
    pub drain_millis: u64,
    /// Milliseconds kept free at the end.
    pub margin_millis: u64,
}

/// Place of an engine among those of its zone.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Place {
    /// Engines ahead of it.
    pub rank: u32,
    /// Engines of the zone.
    pub count: u32,
}

/// Place of `own` among `members`, the same at every process that knows the same members; it
/// differs by version, so that no engine is always last.
pub fn place(own: u64, members: &[u64], version: Version) -> Place {
    let score = |member: u64| (order::score(version.0, member), member);
    let ahead = members
        .iter()
        .filter(|member| score(**member) > score(own))
        .count();
    Place {
        rank: ahead as u32,
        count: (members.len() as u32).max(1),
    }
}

/// When an engine that holds `held` is ordered to take `target`, one of `named`.
///
/// Where versions were named so close together that the older one is still due, the engines that
/// went by way of the older one come last: the others have nothing that may serve.
pub fn order_at(
    held: Option<Version>,
    target: NamedAt,
    named: &[NamedAt],
    place: Place,
    terms: &Terms,
) -> Instant {
    let Some(held) = held else {
        return target.at;
    };
    let unmet = named.iter().filter(|named| named.version > held);
    let oldest = unmet.map(|named| named.at).min().unwrap_or(target.at);
    let last = terms.within_millis.saturating_sub(terms.margin_millis);
    let is_between = |named: &&NamedAt| named.version == held;
    let came_by_way = named
        .iter()
        .find(is_between)
        .is_some_and(|between| between.at.after_millis(last) > target.at);
    let later = if came_by_way { place.count / 2 } else { 0 };
    let rank = (place.rank + later).min(place.count.saturating_sub(1));
    let spread = last.saturating_sub(terms.earliest_millis);
    let step = spread / u64::from(place.count.max(1));
    let wave = terms.earliest_millis + step * u64::from(rank);
    target.at.after_millis(wave).min(oldest.after_millis(last))
}

/// True where an engine still takes `older` although `newer` was named meanwhile: half of the
/// engines do, where `newer` can't be there long enough before `older` is due.
pub fn goes_by_way_of(older: NamedAt, newer: NamedAt, place: Place, terms: &Terms) -> bool {
    let there = newer
        .at
        .after_millis(terms.earliest_millis + terms.drain_millis);
    let due = older.at.after_millis(terms.within_millis);
    there > due && place.rank < place.count.div_ceil(2)
}
