//! The latest catalogue known to a process, with its most recent records.
//!
//! Updates from the key-value service or from peers never lower the revision.

use {
    gingerpier_catalogue::{Catalogue, Entry, Record, Revision},
    gingerpier_wire::frame::Inform,
    std::{
        cell::{Cell, RefCell},
        collections::VecDeque,
        rc::Rc,
    },
    tokio::sync::watch,
};

/// Records kept for peers that are a few revisions behind; older peers get a snapshot.
const MAX_RECENT_RECORDS: usize = 256;

/// Where the update to the current revision came from.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum UpdateSource {
    /// The key-value service.
    KeyValue,
    /// A process of the same zone.
    OwnZone,
    /// A process of another zone.
    OtherZone,
}

/// Replica of the catalogue in one process.
pub struct CatalogueState {
    catalogue: RefCell<Rc<Catalogue>>,
    recent_records: RefCell<VecDeque<Rc<Record>>>,
    /// Source of the current revision.
    update_source: Cell<UpdateSource>,
    revision: watch::Sender<Revision>,
}

impl Default for CatalogueState {
    fn default() -> Self {
        Self {
            catalogue: RefCell::default(),
            recent_records: RefCell::default(),
            update_source: Cell::new(UpdateSource::KeyValue),
            revision: watch::Sender::new(Revision::default()),
        }
    }
}

impl CatalogueState {
    /// Returns the current catalogue.
    pub fn catalogue(&self) -> Rc<Catalogue> {
        self.catalogue.borrow().clone()
    }

    /// Returns the current revision.
    pub fn revision(&self) -> Revision {
        *self.revision.borrow()
    }

    /// Returns a receiver of new revisions.
    pub fn subscribe(&self) -> watch::Receiver<Revision> {
        self.revision.subscribe()
    }

    /// Returns the source of the current revision.
    pub fn update_source(&self) -> UpdateSource {
        self.update_source.get()
    }

    /// Applies a record if it is the next revision; returns true if it was applied.
    pub fn apply_record(&self, record: &Record, update_source: UpdateSource) -> bool {
        let mut next = Catalogue::clone(&self.catalogue.borrow());
        if let Err(error) = next.apply(record) {
            if record.revision == self.revision().next() {
                tracing::error!(event = "record_refused", revision = record.revision.0, %error);
            }
            return false;
        }
        let mut recent_records = self.recent_records.borrow_mut();
        recent_records.push_back(Rc::new(record.clone()));
        if recent_records.len() > MAX_RECENT_RECORDS {
            recent_records.pop_front();
        }
        drop(recent_records);
        self.publish(next, update_source);
        true
    }

    /// Replaces the catalogue by a snapshot if that is newer; returns true if it was replaced.
    pub fn install_snapshot(&self, bytes: &[u8], update_source: UpdateSource) -> bool {
        let snapshot = match Catalogue::from_snapshot(bytes) {
            Ok(snapshot) => snapshot,
            Err(error) => {
                tracing::error!(event = "snapshot_refused", %error);
                return false;
            }
        };
        if snapshot.revision() <= self.revision() {
            return false;
        }
        self.recent_records.borrow_mut().clear();
        self.publish(snapshot, update_source);
        true
    }

    /// Applies the snapshot and the records that a peer sent.
    pub fn apply_inform(&self, update: &Inform, update_source: UpdateSource) {
        if let Some(snapshot) = &update.snapshot {
            self.install_snapshot(snapshot, update_source);
        }
        for record in &update.records {
            self.apply_record(record, update_source);
        }
    }

    /// Returns the records after `revision`, or a snapshot if they aren't kept any more.
    pub fn changes_since(&self, revision: Revision) -> Inform {
        let mut update = Inform {
            revision: self.revision(),
            ..Inform::default()
        };
        if revision >= update.revision {
            return update;
        }
        let recent_records = self.recent_records.borrow();
        let next = revision.next();
        match recent_records.front() {
            Some(first) if first.revision <= next => {
                let missing = recent_records
                    .iter()
                    .filter(|record| record.revision >= next);
                update.records = missing.map(|record| Record::clone(record)).collect();
            }
            _ => update.snapshot = Some(self.catalogue.borrow().to_snapshot()),
        }
        update
    }

    /// Returns the latest change, if its record is kept.
    pub fn last_entry(&self) -> Option<Entry> {
        self.recent_records
            .borrow()
            .back()
            .and_then(|record| record.entries.last().cloned())
    }

    fn publish(&self, catalogue: Catalogue, update_source: UpdateSource) {
        let revision = catalogue.revision();
        self.catalogue.replace(Rc::new(catalogue));
        self.update_source.set(update_source);
        self.revision.send_replace(revision);
        tracing::info!(event = "in_force", revision = revision.0);
    }
}
