//! Grants that are believed to be in force, for log lines.

use {gingerpier_base::Instant, std::collections::BTreeMap};

/// Time without a grant after which it counts as ended: a grant near 0 comes and goes with each
/// update, and the number of log lines must be bounded.
const END_MILLIS: u64 = 2_000;

/// Zone and service of a grant.
pub type Subject = (String, String);

/// A grant that began or ended.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Change {
    /// The grant began.
    Begun(Subject),
    /// It ended.
    Ended(Subject),
}

/// Grants that are believed to be in force, with the time of their end unless they are renewed.
#[derive(Debug, Clone, Default)]
pub struct Beliefs(BTreeMap<Subject, Instant>);

impl Beliefs {
    /// Updates the beliefs from the grants in force and returns the changes.
    pub fn update(&mut self, current: impl Iterator<Item = Subject>, now: Instant) -> Vec<Change> {
        let mut changes = Vec::new();
        for subject in current {
            let ends_at = now.after_millis(END_MILLIS);
            if self.0.insert(subject.clone(), ends_at).is_none() {
                changes.push(Change::Begun(subject));
            }
        }
        self.0.retain(|subject, ends_at| {
            let is_kept = !ends_at.has_passed(now);
            if !is_kept {
                changes.push(Change::Ended(subject.clone()));
            }
            is_kept
        });
        changes
    }
}
