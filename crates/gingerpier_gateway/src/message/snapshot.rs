//! Messages with store contents that gateways exchange.

use {
    gingerpier_serving::mirror::{Item, Revision},
    minicbor::{Decode, Encode},
};

/// A store item.
#[derive(Debug, Clone, PartialEq, Eq, Encode, Decode)]
#[cbor(map)]
pub struct StoreItem {
    /// Store key.
    #[n(0)]
    pub key: String,
    /// Revision of the last change.
    #[n(1)]
    pub revision: u64,
    /// Value; empty if the key is deleted.
    #[cbor(n(2), with = "minicbor::bytes")]
    pub value: Vec<u8>,
    /// True if the key is deleted.
    #[cbor(n(3), default)]
    pub is_deleted: bool,
}

/// Contents of the store, or the changes after a revision.
#[derive(Debug, Clone, PartialEq, Eq, Encode, Decode)]
#[cbor(map)]
pub struct Snapshot {
    /// Revision that this reaches up to.
    #[n(0)]
    pub revision: u64,
    /// Items, or changed items.
    #[n(1)]
    pub items: Vec<StoreItem>,
    /// True if `items` has changes only.
    #[cbor(n(2), default)]
    pub is_changes: bool,
    /// Era of all revisions; processes without eras are in the first one.
    #[cbor(n(3), default)]
    pub era: u64,
}

impl Snapshot {
    /// Revision that this reaches up to.
    pub const fn at(&self) -> Revision {
        Revision::new(self.revision).in_era(self.era)
    }

    /// Decodes the items.
    pub fn into_items(self) -> Vec<Item> {
        let items = self.items.into_iter();
        items.map(|item| item.item(self.era)).collect()
    }
}

impl StoreItem {
    /// Encodes an item.
    pub fn new(item: Item) -> Self {
        Self {
            key: item.key,
            revision: item.revision.number,
            is_deleted: item.value.is_none(),
            value: item.value.map(|value| value.to_vec()).unwrap_or_default(),
        }
    }

    /// Decodes the item of a snapshot in `era`.
    fn item(self, era: u64) -> Item {
        Item {
            key: self.key,
            revision: Revision::new(self.revision).in_era(era),
            value: (!self.is_deleted).then(|| self.value.into()),
        }
    }
}
