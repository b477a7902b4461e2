//! The way to the key-value service: reading, watching, and getting changes accepted.
//!
//! Keys under the deployment's prefix: `head` (the latest revision), `record/N` (the log, which
//! is the audit trail), `snapshot` (the catalogue at some revision), `planner` (who plans, under
//! a lease). Every change is one compare-and-swap on `head`.

use {
    super::Entry,
    crate::{catalogue_state::Origin, clock},
    awc::Client as Http,
    gingerpier_base::order,
    gingerpier_catalogue::{
        Catalogue, Entry as LogEntry, Error as Refusal, Record, Revision,
        proposal::{Action, Event, Proposal},
    },
    gingerpier_services::{
        Error, Fault,
        key_value::{Change, Client, Item, Range},
    },
    gingerpier_settings::entry::KeyValue as Settings,
    minicbor::{Decode, Encode},
    std::{
        cell::{Cell, RefCell},
        rc::Rc,
        time::Duration,
    },
    tokio::sync::{mpsc, oneshot},
};

/// Calls that bring no progress before a change is given up.
const TRIES: u32 = 4;
/// Milliseconds before a call is made again, for each call that failed before.
const RETRY_MILLIS: u64 = 100;
/// Changes accepted by one write at most.
const MOST_IN_BATCH: usize = 64;
/// Revisions between two snapshots.
const SNAPSHOT_EVERY: u64 = 64;
/// Milliseconds between looks by an entry box that does not watch, or lost its watch.
const LOOK_MILLIS: u64 = 1_000;
/// Time for a watch to wait before it is begun anew.
const WATCH_PATIENCE: Duration = Duration::from_secs(30);

/// What `head` holds.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Encode, Decode)]
#[cbor(map)]
struct Head {
    /// Latest revision.
    #[n(0)]
    revision: Revision,
}

/// Where `head` stands in the key-value service.
#[derive(Debug, Clone, Copy, Default)]
struct Stand {
    revision: Revision,
    /// Service's revision of the key; 0 where there is none yet.
    changed: u64,
}

/// What became of a change.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Verdict {
    /// Accepted.
    Accepted {
        /// Revision that it made.
        revision: Revision,
        /// True where an earlier copy of it had been accepted.
        repeated: bool,
    },
    /// Refused by the catalogue's rules.
    Refused(Refusal),
    /// The key-value service can't be reached; nothing was written.
    Unavailable(String),
    /// A write's answer was lost, and what became of it can't be found out now.
    Unknown(String),
}

/// A condition under which a planner's change may be written.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Fence {
    /// Service's revision of the planner's key.
    pub changed: u64,
}

struct Pending {
    entry: LogEntry,
    fence: Option<Fence>,
    verdict: oneshot::Sender<Verdict>,
}

/// The key-value service, as one entry box uses it.
pub struct Store {
    client: Client,
    prefix: String,
    records_kept: u64,
    watchers: usize,
    reachable: Cell<bool>,
    queue: mpsc::UnboundedSender<Pending>,
    queued: RefCell<Option<mpsc::UnboundedReceiver<Pending>>>,
}

impl Store {
    /// Store of an entry box's settings.
    pub fn new(settings: &Settings, http: Http) -> Self {
        let patience = Duration::from_millis(settings.patience.0);
        let (queue, queued) = mpsc::unbounded_channel();
        Self {
            client: Client::new(http, settings.url.clone(), patience),
            prefix: settings.prefix.clone(),
            records_kept: settings.records_kept,
            watchers: settings.watchers as usize,
            reachable: Cell::new(false),
            queue,
            queued: RefCell::new(Some(queued)),
        }
    }

    /// True where the last call of the service was answered.
    pub fn is_reachable(&self) -> bool {
        self.reachable.get()
    }

    /// Client of the service.
    pub const fn client(&self) -> &Client {
        &self.client
    }

    /// Key below the deployment's prefix.
    pub fn key(&self, name: &str) -> String {
        format!("{}/{name}", self.prefix)
    }

    fn record_key(&self, revision: Revision) -> String {
        self.key(&format!("record/{:016x}", revision.0))
    }

    fn records_from(&self, revision: Revision) -> Range {
        let end = Range::below(&self.key("record/")).end;
        Range {
            first: self.record_key(revision),
            end,
        }
    }

    /// Notes how a call went, and passes its result on.
    ///
    /// # Errors
    ///
    /// The call's own.
    pub fn note<T>(&self, result: Result<T, Error>) -> Result<T, Error> {
        let answered = match &result {
            Ok(_) => true,
            Err(error) => matches!(error.fault, Fault::Refused(_) | Fault::Missing),
        };
        if self.reachable.replace(answered) != answered {
            tracing::warn!(event = "key_value_service", reachable = answered);
        }
        result
    }
}

impl Entry {
    /// Watches, and gets changes accepted, for as long as the process runs.
    pub fn spawn_store_tasks(self: Rc<Self>) {
        let queued = self.store.queued.borrow_mut().take();
        let Some(queued) = queued else { return };
        actix_rt::spawn(self.clone().accept_changes(queued));
        actix_rt::spawn(self.watch_head());
    }

    /// Asks for a change to be accepted.
    pub async fn submit(&self, entry: LogEntry, fence: Option<Fence>) -> Verdict {
        let (verdict, decided) = oneshot::channel();
        let ended = || Verdict::Unknown("the process ends".to_owned());
        if self
            .store
            .queue
            .send(Pending {
                entry,
                fence,
                verdict,
            })
            .is_err()
        {
            return ended();
        }
        decided.await.unwrap_or_else(|_| ended())
    }

    /// The latest revision by the service's own word, once the ledger has reached it.
    pub async fn store_confirmation(&self) -> Option<Revision> {
        match self.refresh().await {
            Ok(stand) => Some(stand.revision),
            Err(error) => {
                tracing::debug!(event = "no_confirmation", %error);
                None
            }
        }
    }

    /// Reads the head, and brings the ledger up to it.
    async fn refresh(&self) -> Result<Stand, Error> {
        let stand = self.read_head().await?;
        if stand.revision > self.process.catalogue_state.revision() {
            self.read_records().await?;
        }
        if stand.revision > self.process.catalogue_state.revision() {
            self.read_snapshot().await?;
            self.read_records().await?;
        }
        if stand.revision > self.process.catalogue_state.revision() {
            let key = self.store.key("record/");
            let fault = Fault::Unreadable(format!("records up to {} are missing", stand.revision));
            return Err(Error::new(gingerpier_services::Step::ReadKey, &key, fault));
        }
        Ok(stand)
    }

    async fn read_head(&self) -> Result<Stand, Error> {
        let key = self.store.key("head");
        self.process.metrics.key_value_calls.inc();
        let read = self
            .store
            .note(self.store.client.get(&key, clock::now()).await)?;
        let Some(item) = read else {
            return Ok(Stand::default());
        };
        let head: Head = decode(&item)?;
        Ok(Stand {
            revision: head.revision,
            changed: item.changed,
        })
    }

    async fn read_records(&self) -> Result<(), Error> {
        let range = self
            .store
            .records_from(self.process.catalogue_state.revision().next());
        self.process.metrics.key_value_calls.inc();
        let items = self
            .store
            .note(self.store.client.range(&range, clock::now()).await)?;
        for item in &items {
            let record: Record = decode(item)?;
            self.process
                .catalogue_state
                .apply_record(&record, Origin::KeyValue);
        }
        Ok(())
    }

    async fn read_snapshot(&self) -> Result<(), Error> {
        let key = self.store.key("snapshot");
        self.process.metrics.key_value_calls.inc();
        let read = self
            .store
            .note(self.store.client.get(&key, clock::now()).await)?;
        if let Some(item) = read {
            self.process
                .catalogue_state
                .install_snapshot(&item.value, Origin::KeyValue);
        }
        Ok(())
    }

    /// The latest records, oldest first: the audit trail.
    ///
    /// # Errors
    ///
    /// Where the service can't be reached.
    pub async fn read_audit(&self, last: u32) -> Result<Vec<Record>, Error> {
        let first = self
            .process
            .catalogue_state
            .revision()
            .0
            .saturating_sub(u64::from(last))
            + 1;
        let range = self.store.records_from(Revision(first));
        self.process.metrics.key_value_calls.inc();
        let items = self
            .store
            .note(self.store.client.range(&range, clock::now()).await)?;
        items.iter().map(decode).collect()
    }

    async fn watch_head(self: Rc<Self>) {
        loop {
            let zone = self.process.hello.zone.name.clone();
            let watches = self.rank(order::hash(&zone), Some(&zone)) < self.store.watchers;
            let watched = if watches {
                self.watch_once().await
            } else {
                Ok(())
            };
            if let Err(error) = watched {
                tracing::debug!(event = "watch_lost", %error);
            }
            clock::pause(LOOK_MILLIS).await;
        }
    }

    async fn watch_once(&self) -> Result<(), Error> {
        let stand = self.refresh().await?;
        let key = self.store.key("head");
        self.process.metrics.key_value_calls.inc();
        let watch = self
            .store
            .client
            .watch(&key, stand.changed + 1, clock::now())
            .await;
        let mut watch = self.store.note(watch)?;
        while watch.changed(WATCH_PATIENCE, clock::now()).await? {
            self.refresh().await?;
        }
        Ok(())
    }

    async fn accept_changes(self: Rc<Self>, mut queued: mpsc::UnboundedReceiver<Pending>) {
        let mut next = None;
        loop {
            let first = match next.take() {
                Some(pending) => pending,
                None => match queued.recv().await {
                    Some(pending) => pending,
                    None => return,
                },
            };
            let mut batch = vec![first];
            while batch.len() < MOST_IN_BATCH {
                let Ok(pending) = queued.try_recv() else {
                    break;
                };
                if pending.fence != batch[0].fence {
                    next = Some(pending);
                    break;
                }
                batch.push(pending);
            }
            self.accept_batch(batch).await;
        }
    }

    /// Gets a batch accepted by one write, following the proposal's word at each step.
    async fn accept_batch(&self, mut batch: Vec<Pending>) {
        let mut proposal = Proposal::new(TRIES);
        let mut action = Action::Read;
        let mut failures = 0;
        let mut last_error = String::new();
        let mut stand = Stand::default();
        loop {
            let event = match action {
                Action::Read => match self.refresh().await {
                    Ok(read) => {
                        stand = read;
                        self.answer_repeats(&mut batch);
                        Event::Read {
                            head: stand.changed,
                            accepted: batch.is_empty(),
                        }
                    }
                    Err(error) => {
                        last_error = error.to_string();
                        Event::Refused
                    }
                },
                Action::Write { .. } => match self.write(&mut batch, stand).await {
                    Ok(event) => event,
                    Err(error) => {
                        last_error = error.to_string();
                        if error.had_no_effect() {
                            Event::Refused
                        } else {
                            Event::Lost
                        }
                    }
                },
                Action::Accepted => {
                    self.answer_repeats(&mut batch);
                    return;
                }
                Action::Rejected => return,
                Action::Unavailable => {
                    decide_all(batch, &Verdict::Unavailable(last_error));
                    return;
                }
                Action::Unknown => {
                    decide_all(batch, &Verdict::Unknown(last_error));
                    return;
                }
            };
            if matches!(event, Event::Refused | Event::Lost) {
                failures += 1;
                clock::pause(RETRY_MILLIS * failures).await;
            }
            action = proposal.step(event);
        }
    }

    /// Answers those of a batch that the catalogue shows to be accepted.
    fn answer_repeats(&self, batch: &mut Vec<Pending>) {
        let catalogue = self.process.catalogue_state.catalogue();
        let mut rest = Vec::with_capacity(batch.len());
        for pending in batch.drain(..) {
            match catalogue.accepted(pending.entry.identity) {
                Some(revision) => decide(
                    pending,
                    Verdict::Accepted {
                        revision,
                        repeated: true,
                    },
                ),
                None => rest.push(pending),
            }
        }
        *batch = rest;
    }

    async fn write(&self, batch: &mut Vec<Pending>, stand: Stand) -> Result<Event, Error> {
        let catalogue = self.process.catalogue_state.catalogue();
        if catalogue.revision() != stand.revision {
            // The ledger has heard of a later revision from a peer meanwhile.
            return Ok(Event::Moved);
        }
        let Some((record, next)) = draft(&catalogue, batch) else {
            return Ok(Event::Invalid);
        };
        let change = self.write_of(&record, &next, stand, batch[0].fence);
        self.process.metrics.key_value_calls.inc();
        if !self
            .store
            .note(self.store.client.commit(&change, clock::now()).await)?
        {
            if batch[0].fence.is_some() && self.read_head().await?.changed == stand.changed {
                // It was the planner's key that moved: the fence has passed to another.
                decide_all(
                    std::mem::take(batch),
                    &Verdict::Unavailable("fenced".to_owned()),
                );
                return Ok(Event::Invalid);
            }
            return Ok(Event::Moved);
        }
        self.process
            .catalogue_state
            .apply_record(&record, Origin::KeyValue);
        for pending in batch.drain(..) {
            decide(
                pending,
                Verdict::Accepted {
                    revision: record.revision,
                    repeated: false,
                },
            );
        }
        Ok(Event::Written)
    }

    fn write_of(
        &self,
        record: &Record,
        next: &Catalogue,
        stand: Stand,
        fence: Option<Fence>,
    ) -> Change {
        let store = &self.store;
        let head = Head {
            revision: record.revision,
        };
        let mut change = Change::default()
            .guard(&store.key("head"), stand.changed)
            .put(&store.key("head"), encode(&head))
            .put(&store.record_key(record.revision), encode(record));
        if let Some(fence) = fence {
            change = change.guard(&store.key("planner"), fence.changed);
        }
        if record.revision.0.is_multiple_of(SNAPSHOT_EVERY) {
            change = change.put(&store.key("snapshot"), next.to_snapshot());
            let oldest_kept = record
                .revision
                .0
                .saturating_sub(store.records_kept.max(SNAPSHOT_EVERY));
            let first = store.record_key(Revision(0));
            change = change.remove(Range {
                first,
                end: store.record_key(Revision(oldest_kept)),
            });
        }
        change
    }
}

/// The record of those of a batch that the catalogue's rules allow; the others are told why not.
fn draft(catalogue: &Catalogue, batch: &mut Vec<Pending>) -> Option<(Record, Catalogue)> {
    let revision = catalogue.revision().next();
    let mut entries: Vec<LogEntry> = Vec::new();
    let mut kept = Vec::new();
    let mut drafted = None;
    for pending in batch.drain(..) {
        entries.push(pending.entry.clone());
        let record = Record {
            revision,
            entries: entries.clone(),
        };
        let mut next = catalogue.clone();
        match next.apply(&record) {
            Ok(()) => {
                kept.push(pending);
                drafted = Some((record, next));
            }
            Err(refusal) => {
                entries.pop();
                decide(pending, Verdict::Refused(refusal));
            }
        }
    }
    *batch = kept;
    drafted
}

fn decide(pending: Pending, verdict: Verdict) {
    // Whoever asked may have gone away; the change stands all the same.
    let _ = pending.verdict.send(verdict);
}

fn decide_all(batch: Vec<Pending>, verdict: &Verdict) {
    for pending in batch {
        decide(pending, verdict.clone());
    }
}

fn encode<T: Encode<()>>(value: &T) -> Vec<u8> {
    minicbor::to_vec(value).unwrap_or_else(|error| unreachable!("writing to memory: {error}"))
}

fn decode<T: for<'b> Decode<'b, ()>>(item: &Item) -> Result<T, Error> {
    let unreadable = |what: minicbor::decode::Error| {
        let fault = Fault::Unreadable(what.to_string());
        Error::new(gingerpier_services::Step::ReadKey, &item.key, fault)
    };
    minicbor::decode(&item.value).map_err(unreadable)
}
