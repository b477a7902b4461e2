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
    /// Milliseconds from the naming before which no weights can be there.
    pub earliest_millis: u64,
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

/// When an engine that holds `held` is ordered to take the newest of `named`.
pub fn order_at(
    held: Option<Version>,
    named: &[NamedAt],
    place: Place,
    terms: &Terms,
) -> Option<Instant> {
    let newest = named.iter().max_by_key(|named| named.version)?;
    let Some(held) = held else {
        return Some(newest.at);
    };
    let unmet = named.iter().filter(|named| named.version > held);
    let oldest = unmet.min_by_key(|named| named.at)?;
    let spread = terms
        .within_millis
        .saturating_sub(terms.margin_millis + terms.earliest_millis);
    let step = spread / u64::from(place.count.max(1));
    let wave = newest
        .at
        .after_millis(terms.earliest_millis + step * u64::from(place.rank));
    let last = terms.within_millis.saturating_sub(terms.margin_millis);
    Some(wave.min(oldest.at.after_millis(last)))
}
