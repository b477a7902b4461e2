//! Snapshots of the mirror as they are sent to other gateways, made once for all who ask for the same.
//!
//! A configuration of a megabyte takes a gateway with a quarter of a core some 0.2 s to compress, and a dozen
//! others of its zone ask for it within a few milliseconds.

use {
    crate::{
        compression,
        message::{self, SharedItem, Snapshot},
    },
    bytes::Bytes,
    gingerpier_serving::mirror::{Mirror, Revision},
    std::cell::RefCell,
};

/// Snapshots that are kept: the newest changes, and whole copies for those that start.
const MOST_KEPT: usize = 3;

/// Bytes of a message.
#[derive(Debug, Clone)]
pub struct Packed {
    /// Bytes.
    pub bytes: Bytes,
    /// True where they are compressed.
    pub is_compressed: bool,
}

/// What a snapshot tells.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct Span {
    after: Revision,
    at: Revision,
    /// What the mirror held: pages of a copy are newer than the revision that it reaches to.
    change_count: u64,
    may_compress: bool,
}

/// Snapshots that were made lately.
#[derive(Debug, Default)]
pub struct Snapshots {
    made: RefCell<Vec<(Span, Packed)>>,
}

impl Snapshots {
    /// What `mirror` knows behind `after`, or all of it where the changes since are not known.
    pub fn pack(&self, mirror: &Mirror, after: Revision, may_compress: bool) -> Packed {
        let span = Span {
            after,
            at: mirror.at(),
            change_count: mirror.change_count(),
            may_compress,
        };
        let mut made = self.made.borrow_mut();
        if let Some((_, packed)) = made.iter().find(|(known, _)| *known == span) {
            return packed.clone();
        }
        let packed = pack(mirror, span);
        made.insert(0, (span, packed.clone()));
        made.truncate(MOST_KEPT);
        packed
    }
}

fn pack(mirror: &Mirror, span: Span) -> Packed {
    let changes = mirror.changes_after(span.after);
    let is_changes = changes.is_some();
    let items = changes.unwrap_or_else(|| mirror.items().collect());
    let body = message::encode(&Snapshot {
        at: span.at.0,
        items: items.into_iter().map(SharedItem::new).collect(),
        is_changes,
    });
    let shrunk = span.may_compress.then(|| compression::shrink(&body));
    match shrunk.flatten() {
        Some(shrunk) => Packed {
            bytes: shrunk.into(),
            is_compressed: true,
        },
        None => Packed {
            bytes: body.into(),
            is_compressed: false,
        },
    }
}
