//! Parses store items through the platform API and logs what they lack.

use {
    gingerpier_serving::{
        mirror::{Item, Revision},
        platform_api::{Content, Error, ItemKind, Omission, PlatformApi},
    },
    std::{
        cell::{Cell, RefCell},
        collections::BTreeSet,
    },
};

/// Logged omissions that are remembered; thousands of routes may lack the same field.
const MAX_LOGGED_OMISSIONS: usize = 100;

/// Invalid engine entries that are logged one by one, once per revision; more are only counted.
/// Invalid items of operators are always logged.
const MAX_LOGGED_INVALID: usize = 100;

/// Largest engine entry that is parsed, in bytes.
const MAX_ENTRY_BYTES: usize = 64 * 1024;

/// Clears the value of an item that no process uses, so that foreign or invalid entries take no
/// memory.
pub fn strip_unused_value(platform_api: &dyn PlatformApi, item: Item) -> Item {
    let Some(value) = &item.value else {
        return item;
    };
    let is_used = match platform_api.item_kind(&item.key) {
        ItemKind::Configuration
        | ItemKind::Weights(_)
        | ItemKind::Evacuation(_)
        | ItemKind::Holds => true,
        ItemKind::Engine(_) => {
            let is_short = value.len() <= MAX_ENTRY_BYTES;
            is_short && platform_api.parse_item(&item.key, value).is_ok()
        }
        ItemKind::Manifest(_) => platform_api.parse_item(&item.key, value).is_ok(),
        ItemKind::Other => false,
    };
    match is_used {
        true => item,
        false => Item {
            value: Some([].into()),
            ..item
        },
    }
}

/// Parses store items and logs each omission once.
pub struct Parser {
    platform_api: &'static dyn PlatformApi,
    logged_omissions: RefCell<BTreeSet<Omission>>,
    /// Keys and revisions of invalid items that were logged.
    logged_invalid: RefCell<BTreeSet<(String, Revision)>>,
    invalid_count: Cell<u64>,
}

impl Parser {
    /// Creates a parser that uses `platform_api`.
    pub const fn new(platform_api: &'static dyn PlatformApi) -> Self {
        Self {
            platform_api,
            logged_omissions: RefCell::new(BTreeSet::new()),
            logged_invalid: RefCell::new(BTreeSet::new()),
            invalid_count: Cell::new(0),
        }
    }

    /// Number of invalid items so far.
    pub const fn invalid_count(&self) -> u64 {
        self.invalid_count.get()
    }

    /// Content of `item`; none if it is deleted or invalid. Logs invalid items and missing fields.
    pub fn parse(&self, item: &Item) -> Option<Content> {
        let value = item.value.as_ref()?;
        let revision = item.revision;
        match self.platform_api.parse_item(&item.key, value) {
            Ok(parsed) => {
                for omission in parsed.omissions {
                    self.log_omission(&item.key, revision.number, omission);
                }
                Some(parsed.content)
            }
            Err(error) => {
                self.record_invalid(&item.key, revision, &error);
                None
            }
        }
    }

    fn record_invalid(&self, key: &str, revision: Revision, error: &Error) {
        let mut logged_invalid = self.logged_invalid.borrow_mut();
        if logged_invalid.contains(&(key.to_owned(), revision)) {
            return;
        }
        self.invalid_count.set(self.invalid_count.get() + 1);
        let is_engine_entry = matches!(self.platform_api.item_kind(key), ItemKind::Engine(_));
        if logged_invalid.len() < MAX_LOGGED_INVALID || !is_engine_entry {
            if logged_invalid.len() < MAX_LOGGED_INVALID {
                logged_invalid.insert((key.to_owned(), revision));
            }
            tracing::error!(key, revision = revision.number, cause = %error, "item not understood");
        }
    }

    fn log_omission(&self, key: &str, revision: u64, omission: Omission) {
        let mut logged_omissions = self.logged_omissions.borrow_mut();
        if logged_omissions.len() >= MAX_LOGGED_OMISSIONS || logged_omissions.contains(&omission) {
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
        logged_omissions.insert(omission);
    }
}
