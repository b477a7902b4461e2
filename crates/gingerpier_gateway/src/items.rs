//! Items of the store, read through the platform's dialect, with a log line for what they lack.

use {
    gingerpier_serving::{
        dialect::{Dialect, Error, Fact, Omission, Subject},
        mirror::Item,
    },
    std::{
        cell::{Cell, RefCell},
        collections::BTreeSet,
    },
};

/// Omissions that are remembered as told: a configuration of thousands of routes may lack the same
/// field in each.
const MOST_TOLD: usize = 100;

/// Entries of engines that can't be read which are told of one by one, each once a revision; others are only counted.
/// Another writer may leave thousands of them. What operators write is always told of.
const MOST_UNREAD_TOLD: usize = 100;

/// Longest entry of an engine that is read, in bytes: some 300 are usual.
const MOST_ENTRY_BYTES: usize = 64 * 1024;

/// `item` without a value that nobody here can make use of: 10,000 entries of another writer would else cost each process
/// their bytes.
pub fn slim(dialect: &dyn Dialect, item: Item) -> Item {
    let Some(value) = &item.value else {
        return item;
    };
    let is_of_use = match dialect.subject(&item.key) {
        Subject::Configuration | Subject::Weights(_) | Subject::Evacuation(_) => true,
        Subject::Engine(_) => {
            let is_short = value.len() <= MOST_ENTRY_BYTES;
            is_short && dialect.fact(&item.key, value).is_ok()
        }
        Subject::Other => false,
    };
    match is_of_use {
        true => item,
        false => Item {
            value: Some([].into()),
            ..item
        },
    }
}

/// Reads items, and tells once of each thing that is missing.
pub struct Reader {
    dialect: &'static dyn Dialect,
    told: RefCell<BTreeSet<Omission>>,
    /// Keys and revisions of items that could not be read, as far as they were told of.
    unread: RefCell<BTreeSet<(String, u64)>>,
    left_out: Cell<u64>,
}

impl Reader {
    /// Reader of items in the words of `dialect`.
    pub const fn new(dialect: &'static dyn Dialect) -> Self {
        Self {
            dialect,
            told: RefCell::new(BTreeSet::new()),
            unread: RefCell::new(BTreeSet::new()),
            left_out: Cell::new(0),
        }
    }

    /// Items that could not be read so far.
    pub const fn left_out(&self) -> u64 {
        self.left_out.get()
    }

    /// What `item` says; nothing, and a log line, where it can't be understood. What was in force
    /// stays so then.
    pub fn read(&self, item: &Item) -> Option<Fact> {
        let value = item.value.as_ref()?;
        let revision = item.revision.0;
        match self.dialect.fact(&item.key, value) {
            Ok(reading) => {
                for omission in reading.omissions {
                    self.tell(&item.key, revision, omission);
                }
                Some(reading.fact)
            }
            Err(error) => {
                self.note_unread(&item.key, revision, &error);
                None
            }
        }
    }

    fn note_unread(&self, key: &str, revision: u64, error: &Error) {
        let mut unread = self.unread.borrow_mut();
        if unread.contains(&(key.to_owned(), revision)) {
            return;
        }
        self.left_out.set(self.left_out.get() + 1);
        let is_entry = matches!(self.dialect.subject(key), Subject::Engine(_));
        if unread.len() < MOST_UNREAD_TOLD || !is_entry {
            if unread.len() < MOST_UNREAD_TOLD {
                unread.insert((key.to_owned(), revision));
            }
            tracing::error!(key, revision, cause = %error, "item not understood");
        }
    }

    fn tell(&self, key: &str, revision: u64, omission: Omission) {
        let mut told = self.told.borrow_mut();
        if told.len() >= MOST_TOLD || told.contains(&omission) {
            return;
        }
        let instead = omission.instead;
        tracing::warn!(
            key,
            revision,
            place = omission.place,
            what = omission.what,
            instead,
            "missing or unknown"
        );
        told.insert(omission);
    }
}
