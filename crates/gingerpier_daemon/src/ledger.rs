//! The catalogue in force at one process, and the latest records.
//!
//! Whatever comes, from the key-value service or a peer, the revision only rises.

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

/// Records kept in memory for peers that are a little behind.
const TAIL_RECORDS: usize = 256;

/// From whom the last rise came.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Origin {
    /// Key-value service.
    KeyValue,
    /// A process of this zone.
    OwnZone,
    /// A process of another zone.
    OtherZone,
}

/// Catalogue and tail of one process.
pub struct Ledger {
    catalogue: RefCell<Rc<Catalogue>>,
    tail: RefCell<VecDeque<Rc<Record>>>,
    origin: Cell<Origin>,
    revision: watch::Sender<Revision>,
}

impl Default for Ledger {
    fn default() -> Self {
        Self {
            catalogue: RefCell::default(),
            tail: RefCell::default(),
            origin: Cell::new(Origin::KeyValue),
            revision: watch::Sender::new(Revision::default()),
        }
    }
}

impl Ledger {
    /// Catalogue in force.
    pub fn catalogue(&self) -> Rc<Catalogue> {
        self.catalogue.borrow().clone()
    }

    /// Revision in force.
    pub fn revision(&self) -> Revision {
        *self.revision.borrow()
    }

    /// Waits on rises of the revision.
    pub fn subscribe(&self) -> watch::Receiver<Revision> {
        self.revision.subscribe()
    }

    /// From whom the last rise came.
    pub fn origin(&self) -> Origin {
        self.origin.get()
    }

    /// Takes a record, if it is the one that follows; true if taken.
    pub fn take_record(&self, record: &Record, origin: Origin) -> bool {
        let mut next = Catalogue::clone(&self.catalogue.borrow());
        if let Err(error) = next.apply(record) {
            if record.revision == self.revision().next() {
                tracing::error!(event = "record_refused", revision = record.revision.0, %error);
            }
            return false;
        }
        let mut tail = self.tail.borrow_mut();
        tail.push_back(Rc::new(record.clone()));
        if tail.len() > TAIL_RECORDS {
            tail.pop_front();
        }
        drop(tail);
        self.put_in_force(next, origin);
        true
    }

    /// Takes a snapshot, if it is newer; true if taken.
    pub fn take_snapshot(&self, bytes: &[u8], origin: Origin) -> bool {
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
        self.tail.borrow_mut().clear();
        self.put_in_force(snapshot, origin);
        true
    }

    /// Takes what a peer knows.
    pub fn take_inform(&self, inform: &Inform, origin: Origin) {
        if let Some(snapshot) = &inform.snapshot {
            self.take_snapshot(snapshot, origin);
        }
        for record in &inform.records {
            self.take_record(record, origin);
        }
    }

    /// What a peer at `revision` lacks.
    pub fn since(&self, revision: Revision) -> Inform {
        let mut inform = Inform {
            revision: self.revision(),
            ..Inform::default()
        };
        if revision >= inform.revision {
            return inform;
        }
        let tail = self.tail.borrow();
        let next = revision.next();
        match tail.front() {
            Some(first) if first.revision <= next => {
                let missing = tail.iter().filter(|record| record.revision >= next);
                inform.records = missing.map(|record| Record::clone(record)).collect();
            }
            _ => inform.snapshot = Some(self.catalogue.borrow().to_snapshot()),
        }
        inform
    }

    /// Who accepted the latest change, and when, as far as the tail tells.
    pub fn last_entry(&self) -> Option<Entry> {
        self.tail
            .borrow()
            .back()
            .and_then(|record| record.entries.last().cloned())
    }

    fn put_in_force(&self, catalogue: Catalogue, origin: Origin) {
        let revision = catalogue.revision();
        self.catalogue.replace(Rc::new(catalogue));
        self.origin.set(origin);
        self.revision.send_replace(revision);
        tracing::info!(event = "in_force", revision = revision.0);
    }
}
