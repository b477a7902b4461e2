//! Cache of encoded snapshots, which are created once for all gateways that request the same.
//!
//! Compressing a large configuration is slow, and the gateways of a zone request it at nearly the
//! same time.

use {
    crate::{
        compression,
        message::{self, Snapshot, StoreItem},
    },
    bytes::Bytes,
    gingerpier_serving::mirror::{Mirror, Revision},
    std::cell::RefCell,
};

/// Cached snapshots: the latest changes, and full copies for starting gateways.
const MAX_CACHED: usize = 3;

/// An encoded snapshot.
#[derive(Debug, Clone)]
pub struct EncodedSnapshot {
    /// Encoded message.
    pub bytes: Bytes,
    /// True if `bytes` is compressed.
    pub is_compressed: bool,
}

/// Identifies the content and encoding of a snapshot.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct SnapshotKey {
    after: Revision,
    revision: Revision,
    /// Changes of the mirror so far; the pages of a full copy may be newer than `at`.
    change_count: u64,
    may_compress: bool,
}

/// Recently created snapshots.
#[derive(Debug, Default)]
pub struct Snapshots {
    recent: RefCell<Vec<(SnapshotKey, EncodedSnapshot)>>,
}

impl Snapshots {
    /// Encodes the changes of `mirror` after `after`, or its full content if those changes are
    /// unknown.
    pub fn encode(&self, mirror: &Mirror, after: Revision, may_compress: bool) -> EncodedSnapshot {
        let key = SnapshotKey {
            after,
            revision: mirror.revision(),
            change_count: mirror.change_count(),
            may_compress,
        };
        let mut recent = self.recent.borrow_mut();
        if let Some((_, encoded)) = recent.iter().find(|(existing, _)| *existing == key) {
            return encoded.clone();
        }
        let encoded = encode(mirror, key);
        recent.insert(0, (key, encoded.clone()));
        recent.truncate(MAX_CACHED);
        encoded
    }
}

fn encode(mirror: &Mirror, key: SnapshotKey) -> EncodedSnapshot {
    let changes = mirror.changes_after(key.after);
    let is_changes = changes.is_some();
    let items = changes.unwrap_or_else(|| mirror.items().collect());
    let body = message::encode(&Snapshot {
        era: key.revision.era,
        revision: key.revision.number,
        items: items.into_iter().map(StoreItem::new).collect(),
        is_changes,
    });
    let compressed = key.may_compress.then(|| compression::compress(&body));
    match compressed.flatten() {
        Some(compressed) => EncodedSnapshot {
            bytes: compressed.into(),
            is_compressed: true,
        },
        None => EncodedSnapshot {
            bytes: body.into(),
            is_compressed: false,
        },
    }
}
