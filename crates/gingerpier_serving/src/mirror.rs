//! A mirror of what the platform's store holds, whose revision only rises.
//!
//! Items come from a full read, from changes, or from a peer. Whatever is older than what is
//! here changes nothing, so a read that lags or a peer that was cut off can't take back what was
//! in force.
//!
//! Whoever lists an item writes it again and again, to show that it is still there. An item with the same value is no
//! news: it is neither read anew here nor told to those who follow, so that what a follower is told grows with changes
//! and not with the number of items.

use std::{collections::BTreeMap, rc::Rc};

/// A revision of the store.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default)]
pub struct Revision(pub u64);

/// One item.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Item {
    /// Key.
    pub key: String,
    /// Revision of its last change.
    pub revision: Revision,
    /// Value; none where the key is gone.
    pub value: Option<Rc<[u8]>>,
}

/// What changed.
pub type Changes = Vec<Item>;

/// Keys that went that are remembered.
const MOST_GONE: usize = 2_000;

#[derive(Debug, Clone)]
struct Held {
    revision: Revision,
    /// Revision at which its value became what it is.
    changed: Revision,
    value: Rc<[u8]>,
}

/// Where changes come from.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Source {
    /// From the store, none left out.
    Writes,
    /// From a copy or a peer: an item may have gone and come back meanwhile.
    Told,
}

/// What is known of the store.
#[derive(Debug, Clone, Default)]
pub struct Mirror {
    at: Revision,
    /// Revision from which on every key that went is known.
    since: Revision,
    items: BTreeMap<String, Held>,
    /// Revisions at which keys went.
    gone: BTreeMap<String, Revision>,
    /// Changes that were news.
    change_count: u64,
}

impl Mirror {
    /// Revision up to which everything is known.
    pub const fn at(&self) -> Revision {
        self.at
    }

    /// Changes that were news so far: two mirrors of one process that differ have different counts.
    pub const fn change_count(&self) -> u64 {
        self.change_count
    }

    /// Items held.
    pub fn items(&self) -> impl Iterator<Item = Item> {
        self.items.iter().map(|(key, held)| Item {
            key: key.clone(),
            revision: held.revision,
            value: Some(held.value.clone()),
        })
    }

    /// What changed behind `after`, keys that went included, but not what was only written again; none where that is not
    /// known, and only a whole copy tells.
    pub fn changes_after(&self, after: Revision) -> Option<Changes> {
        if after < self.since {
            return None;
        }
        let held = self.items.iter().filter(|(_, held)| held.changed > after);
        let held = held.map(|(key, held)| Item {
            key: key.clone(),
            revision: held.revision,
            value: Some(held.value.clone()),
        });
        let gone = self.gone.iter().map(|(key, revision)| Item {
            key: key.clone(),
            revision: *revision,
            value: None,
        });
        Some(
            held.chain(gone.filter(|item| item.revision > after))
                .collect(),
        )
    }

    /// Takes changes that reach to `at`; gives those that were news. Keys may have gone and come back between them.
    pub fn apply(&mut self, changes: Changes, at: Revision) -> Changes {
        self.apply_from(Source::Told, changes, at)
    }

    /// Takes all writes up to `at` behind what is here, as a watch of the store brings them; gives those that were news.
    pub fn apply_writes(&mut self, writes: Changes, at: Revision) -> Changes {
        self.apply_from(Source::Writes, writes, at)
    }

    fn apply_from(&mut self, source: Source, changes: Changes, at: Revision) -> Changes {
        let changes = changes.into_iter();
        let news = changes.filter(|item| self.take(source, item)).collect();
        self.forget_oldest();
        self.at = self.at.max(at);
        news
    }

    /// Takes a whole copy as of `at`; gives what was news, items that have gone included. An
    /// older copy than what is here changes nothing.
    pub fn replace(&mut self, items: Vec<Item>, at: Revision) -> Changes {
        if at < self.at {
            return Vec::new();
        }
        let missing: Vec<String> = {
            let present: std::collections::BTreeSet<&str> =
                items.iter().map(|item| item.key.as_str()).collect();
            let absent = |key: &&String| !present.contains(key.as_str());
            self.items.keys().filter(absent).cloned().collect()
        };
        let gone = missing.into_iter().map(|key| Item {
            key,
            revision: at,
            value: None,
        });
        let changes = items.into_iter().chain(gone).collect();
        // Keys may have come and gone between what was here and this copy.
        self.since = at;
        self.apply(changes, at)
    }

    fn take(&mut self, source: Source, item: &Item) -> bool {
        let held = self.items.get(&item.key).map(|held| held.revision);
        let gone = self.gone.get(&item.key).copied();
        let newest = held.max(gone).unwrap_or_default();
        // A key may go at the very revision up to which a copy was read.
        let is_news = item.revision > newest || (item.value.is_none() && item.revision == newest);
        if !is_news {
            return false;
        }
        if let (Some(held), Some(value)) = (self.items.get_mut(&item.key), &item.value)
            && held.value == *value
        {
            held.revision = item.revision;
            // Whoever saw it go must be told that it is back.
            if source == Source::Told {
                held.changed = item.revision;
            }
            return false;
        }
        self.change_count += 1;
        match &item.value {
            Some(value) => {
                let held = Held {
                    revision: item.revision,
                    changed: item.revision,
                    value: value.clone(),
                };
                self.gone.remove(&item.key);
                self.items.insert(item.key.clone(), held);
            }
            None => {
                // Others may hold a key that never was here, and are told from here that it went.
                self.gone.insert(item.key.clone(), item.revision);
                return self.items.remove(&item.key).is_some();
            }
        }
        true
    }

    /// Forgets the oldest of too many keys that went: what changed since then is not known whole.
    fn forget_oldest(&mut self) {
        while self.gone.len() > MOST_GONE {
            let oldest = self.gone.iter().min_by_key(|(_, revision)| **revision);
            let Some((key, revision)) = oldest.map(|(key, revision)| (key.clone(), *revision))
            else {
                return;
            };
            self.gone.remove(&key);
            self.since = self.since.max(revision);
        }
    }
}
