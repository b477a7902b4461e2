//! Replica of the platform's store, whose revision only rises.
//!
//! Items come from a full read, from a watch or from a peer. Older input than the replica changes
//! nothing, so a stale read or a peer that was cut off can't undo a newer write.
//!
//! A store that comes back from an older copy gives revisions out again, so its revisions are ordered
//! by its era first: a full copy of a newer era replaces the replica, although its number is lower.
//! Until then nothing of that era is applied, as what it changed before is unknown.
//!
//! Engines rewrite their entries as a heartbeat. Rewrites of an equal value are not changes: they
//! are neither parsed again nor sent to followers, so traffic grows with changes and not with the
//! number of items.

use std::{collections::BTreeMap, rc::Rc};

/// Revision of the store, ordered by its era first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default)]
pub struct Revision {
    /// Era of the store: how often it has come back from an older copy.
    pub era: u64,
    /// Number within the era; a later era gives numbers of an earlier one out again.
    pub number: u64,
}

impl Revision {
    /// Creates a revision of the first era.
    pub const fn new(number: u64) -> Self {
        Self { era: 0, number }
    }

    /// Returns the revision with the same number in `era`.
    pub const fn in_era(self, era: u64) -> Self {
        Self { era, ..self }
    }
}

/// Item of the store.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Item {
    /// Key.
    pub key: String,
    /// Revision of the last write.
    pub revision: Revision,
    /// Value; none if the key was deleted.
    pub value: Option<Rc<[u8]>>,
}

/// Items that changed, deletions included.
pub type Changes = Vec<Item>;

/// Deletions kept for followers.
const MAX_DELETIONS: usize = 2_000;

/// An item of the replica's era; numbers alone take less memory than revisions.
#[derive(Debug, Clone)]
struct StoredItem {
    /// Number of the last write's revision.
    number: u64,
    /// Number of the revision at which the value last changed.
    changed_at: u64,
    value: Rc<[u8]>,
}

/// Origin of changes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Source {
    /// A watch of the store, without gaps.
    Gapless,
    /// A copy or a peer: a key may have been deleted and written again in between.
    WithGaps,
    /// A copy of a newer era: each item is a change, as the order of the revisions of different
    /// items may have changed, too.
    NewEra,
}

/// Replica of the store.
#[derive(Debug, Clone, Default)]
pub struct Mirror {
    revision: Revision,
    /// Revision from which on all deletions are known.
    deletions_known_since: Revision,
    items: BTreeMap<String, StoredItem>,
    /// Keys deleted in this era, with the number of the deletion's revision.
    deletions: BTreeMap<String, u64>,
    /// Effective changes so far.
    change_count: u64,
}

impl Mirror {
    /// Returns the revision up to which the replica is complete.
    pub const fn revision(&self) -> Revision {
        self.revision
    }

    /// Returns the number of effective changes so far, as a version of the content within this
    /// process.
    pub const fn change_count(&self) -> u64 {
        self.change_count
    }

    /// Returns all items.
    pub fn items(&self) -> impl Iterator<Item = Item> {
        self.items.iter().map(|(key, stored)| Item {
            key: key.clone(),
            revision: self.revision_of(stored.number),
            value: Some(stored.value.clone()),
        })
    }

    const fn revision_of(&self, number: u64) -> Revision {
        Revision::new(number).in_era(self.revision.era)
    }

    /// Returns the revision of the last write of an existing item.
    pub fn item_revision(&self, key: &str) -> Option<Revision> {
        let stored = self.items.get(key)?;
        Some(self.revision_of(stored.number))
    }

    /// Returns the changes after revision `after`, without rewrites of equal values; none if the
    /// history doesn't reach back that far and a full copy is needed.
    pub fn changes_after(&self, after: Revision) -> Option<Changes> {
        if after < self.deletions_known_since {
            return None;
        }
        let stored = self
            .items
            .iter()
            .filter(|(_, stored)| self.revision_of(stored.changed_at) > after);
        let stored = stored.map(|(key, stored)| Item {
            key: key.clone(),
            revision: self.revision_of(stored.number),
            value: Some(stored.value.clone()),
        });
        let deletions = self.deletions.iter().map(|(key, number)| Item {
            key: key.clone(),
            revision: self.revision_of(*number),
            value: None,
        });
        Some(
            stored
                .chain(deletions.filter(|item| item.revision > after))
                .collect(),
        )
    }

    /// Applies changes up to revision `at` that may have gaps; returns the effective ones.
    pub fn apply(&mut self, changes: Changes, at: Revision) -> Changes {
        self.apply_from(Source::WithGaps, changes, at)
    }

    /// Applies all writes up to revision `at`, without gaps, as a watch delivers them; returns the
    /// effective ones.
    pub fn apply_writes(&mut self, writes: Changes, at: Revision) -> Changes {
        self.apply_from(Source::Gapless, writes, at)
    }

    fn apply_from(&mut self, source: Source, changes: Changes, at: Revision) -> Changes {
        // Changes of another era don't continue this replica.
        if at.era != self.revision.era {
            return Vec::new();
        }
        let changes = changes.into_iter();
        let effective = changes
            .filter(|item| self.apply_item(source, item))
            .collect();
        self.drop_oldest_deletions();
        self.revision = self.revision.max(at);
        effective
    }

    /// Replaces the content by a full copy at revision `at`; returns the effective changes,
    /// deletions included. Ignores a copy older than the replica.
    pub fn replace(&mut self, items: Vec<Item>, at: Revision) -> Changes {
        if at < self.revision {
            return Vec::new();
        }
        let missing_keys: Vec<String> = {
            let present: std::collections::BTreeSet<&str> =
                items.iter().map(|item| item.key.as_str()).collect();
            let is_absent = |key: &&String| !present.contains(key.as_str());
            self.items.keys().filter(is_absent).cloned().collect()
        };
        let deletions = missing_keys.into_iter().map(|key| Item {
            key,
            revision: at,
            value: None,
        });
        let changes = items.into_iter().chain(deletions).collect();
        // Keys may have been written and deleted between the replica's revision and this copy.
        self.deletions_known_since = at;
        let source = match at.era > self.revision.era {
            true => {
                self.begin_era(at.era);
                Source::NewEra
            }
            false => Source::WithGaps,
        };
        self.apply_from(source, changes, at)
    }

    /// Makes all known revisions older than those of `era`.
    fn begin_era(&mut self, era: u64) {
        self.revision = Revision::new(0).in_era(era);
        self.deletions.clear();
        for stored in self.items.values_mut() {
            stored.number = 0;
            stored.changed_at = 0;
        }
    }

    fn apply_item(&mut self, source: Source, item: &Item) -> bool {
        let Revision { era, number } = item.revision;
        let stored_number = self.items.get(&item.key).map(|stored| stored.number);
        let deletion_number = self.deletions.get(&item.key).copied();
        let newest_number = stored_number.max(deletion_number).unwrap_or_default();
        // A key may be deleted at the very revision up to which a copy was read.
        let is_newer = era == self.revision.era
            && (number > newest_number || (item.value.is_none() && number == newest_number));
        if !is_newer {
            return false;
        }
        if let (Some(stored), Some(value)) = (self.items.get_mut(&item.key), &item.value)
            && stored.value == *value
            && source != Source::NewEra
        {
            stored.number = number;
            // A follower that saw the deletion must learn that the key is back.
            if source == Source::WithGaps {
                stored.changed_at = number;
            }
            return false;
        }
        self.change_count += 1;
        match &item.value {
            Some(value) => {
                let stored = StoredItem {
                    number,
                    changed_at: number,
                    value: value.clone(),
                };
                self.deletions.remove(&item.key);
                self.items.insert(item.key.clone(), stored);
            }
            None => {
                // A follower may hold a key that was never here, and needs the deletion too.
                self.deletions.insert(item.key.clone(), number);
                return self.items.remove(&item.key).is_some();
            }
        }
        true
    }

    /// Drops the oldest deletions beyond [`MAX_DELETIONS`]; changes before the last one dropped are
    /// then no longer complete.
    fn drop_oldest_deletions(&mut self) {
        while self.deletions.len() > MAX_DELETIONS {
            let oldest = self.deletions.iter().min_by_key(|(_, number)| **number);
            let Some((key, number)) = oldest.map(|(key, number)| (key.clone(), *number)) else {
                return;
            };
            self.deletions.remove(&key);
            let dropped_at = self.revision_of(number);
            self.deletions_known_since = self.deletions_known_since.max(dropped_at);
        }
    }
}
