//! Messages with which gateways tell each other of the store.

use {
    gingerpier_serving::mirror::{Item, Revision},
    minicbor::{Decode, Encode},
};

/// An item of the store, as a peer knows it.
#[derive(Debug, Clone, PartialEq, Eq, Encode, Decode)]
#[cbor(map)]
pub struct SharedItem {
    /// Key.
    #[n(0)]
    pub key: String,
    /// Revision.
    #[n(1)]
    pub revision: u64,
    /// Value; empty where the key is gone.
    #[cbor(n(2), with = "minicbor::bytes")]
    pub value: Vec<u8>,
    /// True where the key is gone.
    #[cbor(n(3), default)]
    pub is_gone: bool,
}

/// What a gateway knows of the store: all of it, or what changed behind a revision.
#[derive(Debug, Clone, PartialEq, Eq, Encode, Decode)]
#[cbor(map)]
pub struct Snapshot {
    /// Revision up to which it is known.
    #[n(0)]
    pub at: u64,
    /// Items.
    #[n(1)]
    pub items: Vec<SharedItem>,
    /// True where the items are changes, not all that there is.
    #[cbor(n(2), default)]
    pub is_changes: bool,
}

impl SharedItem {
    /// Item to be told.
    pub fn new(item: Item) -> Self {
        Self {
            key: item.key,
            revision: item.revision.0,
            is_gone: item.value.is_none(),
            value: item.value.map(|value| value.to_vec()).unwrap_or_default(),
        }
    }

    /// The item that was told.
    pub fn item(self) -> Item {
        Item {
            key: self.key,
            revision: Revision(self.revision),
            value: (!self.is_gone).then(|| self.value.into()),
        }
    }
}
