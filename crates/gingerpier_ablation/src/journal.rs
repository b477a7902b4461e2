//! Journal entries: what came of plays.

use {
    crate::{error::Error, table::Day},
    serde::Deserialize,
    std::{collections::BTreeMap, fs, path::Path},
};

/// Words before the name of a mechanism, in the purpose of a play.
const PURPOSE: &str = "ablation: ";

/// Purpose of plays without `mechanism`.
pub fn purpose(mechanism: &str) -> String {
    format!("{PURPOSE}{mechanism}")
}

/// What came of one play.
#[derive(Debug, Clone, PartialEq)]
pub struct Outcome {
    /// Mechanism that was taken out.
    pub mechanism: String,
    /// Site.
    pub site: String,
    /// Day.
    pub day: String,
    /// Seed.
    pub seed: u64,
    /// Worth.
    pub worth: f64,
    /// Times that rules were broken.
    pub broken: u64,
}

impl Outcome {
    /// True where this is a play of `day` without `mechanism`.
    pub fn is_of(&self, mechanism: &str, day: &Day) -> bool {
        self.mechanism == mechanism && self.site == day.site && self.day == day.name()
    }
}

#[derive(Debug, Default, Deserialize)]
#[serde(default)]
struct Entry {
    why: String,
    head: String,
    site: Option<String>,
    ok: Option<bool>,
    days: Vec<Played>,
}

#[derive(Debug, Deserialize)]
struct Played {
    name: String,
    seed: u64,
    #[serde(rename = "G")]
    worth: Option<f64>,
    rules: BTreeMap<String, u64>,
    fault: Option<serde_json::Value>,
}

/// Outcomes of the plays for ablation that started from the commit `head`, oldest first. Plays that did
/// not end, or ended with a fault of their own, have none.
///
/// # Errors
///
/// Where the folder or one of these entries can't be read.
pub fn outcomes(folder: &Path, head: &str) -> Result<Vec<Outcome>, Error> {
    let io = |cause| Error::Io(folder.to_owned(), cause);
    let files: Result<Vec<_>, _> = fs::read_dir(folder).map_err(io)?.collect();
    let mut paths: Vec<_> = files.map_err(io)?.iter().map(fs::DirEntry::path).collect();
    paths.retain(|path| path.extension().is_some_and(|ending| ending == "json"));
    paths.sort();
    let mut outcomes = Vec::new();
    for path in paths {
        let text = fs::read_to_string(&path).map_err(|cause| Error::Io(path.clone(), cause))?;
        // Entries of other plays are many, and their form may be older.
        if text.contains(PURPOSE) {
            outcomes.extend(read(&text, head).map_err(|cause| Error::Entry(path, cause))?);
        }
    }
    Ok(outcomes)
}

/// Outcomes that one entry tells of.
///
/// # Errors
///
/// Where it is not understood.
pub fn read(text: &str, head: &str) -> Result<Vec<Outcome>, serde_json::Error> {
    let entry: Entry = serde_json::from_str(text)?;
    let is_meant = entry.ok == Some(true) && entry.head == head;
    let (Some(mechanism), Some(site), true) =
        (entry.why.strip_prefix(PURPOSE), entry.site, is_meant)
    else {
        return Ok(Vec::new());
    };
    let sound = entry
        .days
        .into_iter()
        .filter(|played| played.fault.is_none());
    let outcome = |played: Played| {
        Some(Outcome {
            mechanism: mechanism.to_owned(),
            site: site.clone(),
            // A play with a seed of its own tells it behind the name.
            day: played.name.split(' ').next()?.to_owned(),
            seed: played.seed,
            worth: played.worth?,
            broken: played.rules.values().sum(),
        })
    };
    Ok(sound.filter_map(outcome).collect())
}
