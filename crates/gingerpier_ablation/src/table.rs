//! The table: mechanisms, and the days on which each of them is taken out.

use {
    crate::error::Error,
    serde::Deserialize,
    std::{collections::BTreeSet, path::Path},
};

/// Name of the code as it is, among the mechanisms.
pub const NOTHING: &str = "none";

/// A table.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Table {
    /// Mechanisms.
    pub mechanism: Vec<Mechanism>,
    /// Days.
    pub day: Vec<Day>,
}

/// A mechanism. Its patch is the file with its name and the ending `patch`, beside the table.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Mechanism {
    /// Name.
    pub name: String,
    /// What it does.
    pub what: String,
    /// What is done in its place.
    pub without: String,
    /// Lines of code that it takes.
    pub lines: u32,
}

/// A day of a site.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Day {
    /// Site.
    pub site: String,
    /// Day, by its name at the site, or a file of the repository that holds it.
    pub day: String,
    /// Seeds.
    pub seeds: Vec<u64>,
}

impl Table {
    /// Reads a table.
    ///
    /// # Errors
    ///
    /// Where it is not understood, or names something twice.
    pub fn parse(text: &str) -> Result<Self, Error> {
        let table: Self = toml::from_str(text).map_err(|cause| Error::Table(cause.to_string()))?;
        let mut names = BTreeSet::from([NOTHING]);
        for mechanism in &table.mechanism {
            if !names.insert(&mechanism.name) {
                let what = format!("mechanism {} is there twice", mechanism.name);
                return Err(Error::Table(what));
            }
        }
        let mut days = BTreeSet::new();
        for day in &table.day {
            if !days.insert((&day.site, day.name())) {
                let what = format!("day {} of site {} is there twice", day.name(), day.site);
                return Err(Error::Table(what));
            }
        }
        Ok(table)
    }
}

impl Day {
    /// Name of the day, as journal entries tell it.
    pub fn name(&self) -> &str {
        let stem = Path::new(&self.day).file_stem();
        stem.and_then(|stem| stem.to_str()).unwrap_or(&self.day)
    }
}
