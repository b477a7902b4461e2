//! Operators' items that a restored store holds in an older version, or lacks, until they are written
//! again.
//!
//! A gateway never falls back to an older configuration or release. Its mirror keeps the newer ones,
//! too, as starting gateways take their first copy from there.

use {
    super::State,
    gingerpier_serving::{
        mirror::{Item, Revision},
        platform_api::{Content, ItemKind},
    },
};

impl State {
    /// Replaces configurations and releases of a copy at `at` by known newer ones. They keep the
    /// revisions of the copy, so that each later write replaces them.
    pub(super) fn keep_newer(&self, items: &mut Vec<Item>, at: Revision) {
        for known in self.mirror.borrow().items() {
            let Some(version) = self.operator_version(&known) else {
                continue;
            };
            match items.iter_mut().find(|item| item.key == known.key) {
                Some(item) if self.operator_version(item) < Some(version) => {
                    item.value = known.value;
                }
                Some(_) => {}
                None => items.push(Item {
                    revision: at,
                    ..known
                }),
            }
        }
    }

    /// Returns the version of a configuration or release; none for other items, and for invalid ones.
    fn operator_version(&self, item: &Item) -> Option<u64> {
        let value = item.value.as_ref()?;
        match self.platform_api.item_kind(&item.key) {
            ItemKind::Configuration | ItemKind::Weights(_) => {}
            ItemKind::Engine(_)
            | ItemKind::Evacuation(_)
            | ItemKind::Manifest(_)
            | ItemKind::Holds
            | ItemKind::Other => return None,
        }
        match self.platform_api.parse_item(&item.key, value).ok()?.content {
            Content::Configuration(configuration) => Some(configuration.version),
            Content::Weights(release) => Some(release.version.0),
            Content::Engine(_)
            | Content::Evacuation(_)
            | Content::Manifest(_)
            | Content::Holds(_)
            | Content::Other => None,
        }
    }
}
