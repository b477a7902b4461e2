//! Regions and sets of them in which requests may run.
//!
//! Operators can restrict a route or a client account to regions. Region names are resolved when a
//! configuration is applied, so that engine selection only compares bits.
//!
//! ```
//! use gingerpier_serving::region::{RegionSet, Regions};
//!
//! let regions = Regions::new([("kochi-a", "kochi"), ("tvm-b", "trivandrum")]);
//! let kochi = regions.resolve(&["kochi".to_owned()]);
//! assert!(kochi.contains(regions.of_zone("kochi-a")));
//! assert!(!kochi.contains(regions.of_zone("tvm-b")));
//! assert!(!kochi.contains(regions.of_zone("nowhere")));
//! assert!(RegionSet::ALL.contains(regions.of_zone("nowhere")));
//! ```

use std::collections::HashMap;

/// Limit of the regions; requests that are restricted to others are refused.
pub const MAX_REGIONS: usize = 63;

/// Key of a region within its [`Regions`].
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RegionKey(u8);

/// Set of regions, one bit each.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct RegionSet(u64);

impl RegionSet {
    /// Every region, including the unknown region of an unlisted zone.
    pub const ALL: Self = Self(u64::MAX);

    /// The empty set.
    pub const NONE: Self = Self(0);

    /// Intersection of two sets.
    pub const fn intersection(self, other: Self) -> Self {
        Self(self.0 & other.0)
    }

    /// Returns true if the set contains `region`; `None` is the unknown region of an unlisted zone.
    pub fn contains(self, region: Option<RegionKey>) -> bool {
        self == Self::ALL || region.is_some_and(|region| self.0 & (1 << region.0) != 0)
    }
}

impl Default for RegionSet {
    fn default() -> Self {
        Self::ALL
    }
}

/// Regions of a deployment and the zones in each.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Regions {
    names: Vec<String>,
    of_zone: HashMap<String, RegionKey>,
}

impl Regions {
    /// Creates the regions from pairs of a zone and its region.
    pub fn new<'a>(pairs: impl IntoIterator<Item = (&'a str, &'a str)>) -> Self {
        let mut regions = Self::default();
        for (zone, region) in pairs {
            if let Some(key) = regions.add(region) {
                regions.of_zone.insert(zone.to_owned(), key);
            }
        }
        regions
    }

    fn add(&mut self, name: &str) -> Option<RegionKey> {
        if let Some(key) = self.find(name) {
            return Some(key);
        }
        if self.names.len() >= MAX_REGIONS {
            return None;
        }
        self.names.push(name.to_owned());
        self.find(name)
    }

    /// Key of the region with this name.
    pub fn find(&self, name: &str) -> Option<RegionKey> {
        let index = self.names.iter().position(|known| known == name)?;
        u8::try_from(index).ok().map(RegionKey)
    }

    /// Region of a zone; `None` if unknown.
    pub fn of_zone(&self, zone: &str) -> Option<RegionKey> {
        self.of_zone.get(zone).copied()
    }

    /// Resolves a list of region names; an empty list is no restriction. Unknown names are ignored,
    /// so a list of only unknown names yields the empty set.
    pub fn resolve(&self, names: &[String]) -> RegionSet {
        if names.is_empty() {
            return RegionSet::ALL;
        }
        let known = names.iter().filter_map(|name| self.find(name));
        RegionSet(known.fold(0, |bits, region| bits | (1 << region.0)))
    }
}
