//! Regions, and those in which a request may be served.
//!
//! Operators may bind a route or a client account to regions. Their names are resolved once, when a configuration comes
//! into force, so that each choice of an engine compares numbers only.
//!
//! ```
//! use gingerpier_serving::region::{Homes, Regions};
//!
//! let regions = Regions::new([("kochi-a", "kochi"), ("tvm-b", "trivandrum")]);
//! let kochi = regions.homes(&["kochi".to_owned()]);
//! assert!(kochi.admit(regions.of_zone("kochi-a")));
//! assert!(!kochi.admit(regions.of_zone("tvm-b")));
//! assert!(!kochi.admit(regions.of_zone("nowhere")));
//! assert!(Homes::ANYWHERE.admit(regions.of_zone("nowhere")));
//! ```

use std::collections::HashMap;

/// Regions that are told apart; requests that are bound to any beyond these are not served.
pub const MAX_REGIONS: usize = 63;

/// Key of a region within its [`Regions`].
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RegionKey(u8);

/// Regions in which a request may be served, one bit each.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct Homes(u64);

impl Homes {
    /// All regions, and zones of which no region is known.
    pub const ANYWHERE: Self = Self(u64::MAX);

    /// No region.
    pub const NOWHERE: Self = Self(0);

    /// Regions that are in both.
    pub const fn and(self, other: Self) -> Self {
        Self(self.0 & other.0)
    }

    /// True where a request may be served in `region`; none stands for a zone of which no region is known.
    pub fn admit(self, region: Option<RegionKey>) -> bool {
        self == Self::ANYWHERE || region.is_some_and(|region| self.0 & (1 << region.0) != 0)
    }
}

impl Default for Homes {
    fn default() -> Self {
        Self::ANYWHERE
    }
}

/// The regions of a deployment and their zones.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Regions {
    names: Vec<String>,
    of_zone: HashMap<String, RegionKey>,
}

impl Regions {
    /// Regions of these pairs of a zone and its region.
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

    /// Key of the region called `name`.
    pub fn find(&self, name: &str) -> Option<RegionKey> {
        let index = self.names.iter().position(|known| known == name)?;
        u8::try_from(index).ok().map(RegionKey)
    }

    /// Region of a zone.
    pub fn of_zone(&self, zone: &str) -> Option<RegionKey> {
        self.of_zone.get(zone).copied()
    }

    /// Homes of what operators bind to the regions called `names`; anywhere where they bind it to none. A name that is not
    /// known stands for no region here, so what is bound to it alone is served nowhere.
    pub fn homes(&self, names: &[String]) -> Homes {
        if names.is_empty() {
            return Homes::ANYWHERE;
        }
        let known = names.iter().filter_map(|name| self.find(name));
        Homes(known.fold(0, |homes, region| homes | (1 << region.0)))
    }
}
