//! Access to the key-value service: reads, watches and commits changes.
//!
//! Keys under the deployment's prefix: `head` (the latest revision), `record/N` (the log, which
//! is the audit trail), `snapshot` (the catalogue at some revision), `planner` (who plans, under
//! a lease). Every change is one compare-and-swap on `head`.

use {
    super::Entry,
    crate::{catalogue_state::UpdateSource, clock},
    awc::Client as Http,
    gingerpier_base::order,
    gingerpier_catalogue::{
        Catalogue, Entry as LogEntry, Error as RuleError, Record, Revision,
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

/// Failed calls before a change is given up.
const MAX_FAILURES: u32 = 4;
/// Delay before a retry, multiplied by the number of failed calls.
const RETRY_DELAY_MILLIS: u64 = 100;
/// Limit on the changes committed by one write.
const MAX_BATCH_CHANGES: usize = 64;
/// Revisions between two snapshots.
const SNAPSHOT_INTERVAL_REVISIONS: u64 = 64;
/// Interval between attempts to watch, and between checks whether this entry box should.
const WATCH_RETRY_MILLIS: u64 = 1_000;
/// Timeout of a watch without events, after which it is restarted.
const WATCH_TIMEOUT: Duration = Duration::from_secs(30);

/// Value of the key `head`.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Encode, Decode)]
#[cbor(map)]
struct Head {
    /// Latest revision.
    #[n(0)]
    revision: Revision,
}

/// Position of the log: the value of `head` and the version of the key.
#[derive(Debug, Clone, Copy, Default)]
struct HeadPosition {
    revision: Revision,
    /// Modification revision of `head`; 0 if the key doesn't exist.
    changed: u64,
}

/// Result of a submitted change.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum SubmitResult {
    /// The change was committed.
    Accepted {
        /// Revision that contains the change.
        revision: Revision,
        /// True if the same change had been committed before.
        repeated: bool,
    },
    /// The catalogue's rules refuse the change.
    Refused(RuleError),
    /// The key-value service is unreachable; nothing was written.
    Unavailable(String),
    /// The response to a write was lost, and its result can't be read now.
    Unknown(String),
}

/// Condition for a planner's write: its lease key is unchanged.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Fence {
    /// Modification revision of the planner's key.
    pub changed: u64,
}

struct PendingChange {
    entry: LogEntry,
    fence: Option<Fence>,
    result_sender: oneshot::Sender<SubmitResult>,
}

/// Client of the key-value service with the queue of changes.
pub struct Store {
    client: Client,
    prefix: String,
    records_kept: u64,
    max_watchers: usize,
    is_reachable: Cell<bool>,
    sender: mpsc::UnboundedSender<PendingChange>,
    receiver: RefCell<Option<mpsc::UnboundedReceiver<PendingChange>>>,
}

impl Store {
    /// Creates the client from an entry box's settings.
    pub fn new(settings: &Settings, http: Http) -> Self {
        let timeout = Duration::from_millis(settings.patience.0);
        let (sender, receiver) = mpsc::unbounded_channel();
        Self {
            client: Client::new(http, settings.url.clone(), timeout),
            prefix: settings.prefix.clone(),
            records_kept: settings.records_kept,
            max_watchers: settings.watchers as usize,
            is_reachable: Cell::new(false),
            sender,
            receiver: RefCell::new(Some(receiver)),
        }
    }

    /// Returns true if the service responded to the last call.
    pub fn is_reachable(&self) -> bool {
        self.is_reachable.get()
    }

    /// Returns the client of the service.
    pub const fn client(&self) -> &Client {
        &self.client
    }

    /// Returns a key with the deployment's prefix.
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

    /// Records whether the service responded, and returns the result unchanged.
    ///
    /// # Errors
    ///
    /// Returns the error of the call.
    pub fn record_result<T>(&self, result: Result<T, Error>) -> Result<T, Error> {
        let responded = match &result {
            Ok(_) => true,
            Err(error) => matches!(error.fault, Fault::Refused(_) | Fault::Missing),
        };
        if self.is_reachable.replace(responded) != responded {
            tracing::warn!(event = "key_value_service", reachable = responded);
        }
        result
    }
}

impl Entry {
    /// Spawns the tasks that watch `head` and commit changes.
    pub fn spawn_store_tasks(self: Rc<Self>) {
        let receiver = self.store.receiver.borrow_mut().take();
        let Some(receiver) = receiver else { return };
        actix_rt::spawn(self.clone().commit_changes(receiver));
        actix_rt::spawn(self.watch_head());
    }

    /// Queues a change and waits for its result.
    pub async fn submit(&self, entry: LogEntry, fence: Option<Fence>) -> SubmitResult {
        let (result_sender, result_receiver) = oneshot::channel();
        let process_ended = || SubmitResult::Unknown("the process ends".to_owned());
        if self
            .store
            .sender
            .send(PendingChange {
                entry,
                fence,
                result_sender,
            })
            .is_err()
        {
            return process_ended();
        }
        result_receiver.await.unwrap_or_else(|_| process_ended())
    }

    /// Reads the latest revision from the service; returns it once the catalogue has reached it.
    pub async fn read_confirmed_revision(&self) -> Option<Revision> {
        match self.refresh().await {
            Ok(head_position) => Some(head_position.revision),
            Err(error) => {
                tracing::debug!(event = "no_confirmation", %error);
                None
            }
        }
    }

    /// Reads `head` and brings the catalogue up to it.
    async fn refresh(&self) -> Result<HeadPosition, Error> {
        let head_position = self.read_head().await?;
        if head_position.revision > self.process.catalogue_state.revision() {
            self.read_records().await?;
        }
        if head_position.revision > self.process.catalogue_state.revision() {
            self.read_snapshot().await?;
            self.read_records().await?;
        }
        if head_position.revision > self.process.catalogue_state.revision() {
            let key = self.store.key("record/");
            let fault = Fault::Unreadable(format!(
                "records up to {} are missing",
                head_position.revision
            ));
            return Err(Error::new(gingerpier_services::Step::ReadKey, &key, fault));
        }
        Ok(head_position)
    }

    async fn read_head(&self) -> Result<HeadPosition, Error> {
        let key = self.store.key("head");
        self.process.metrics.key_value_calls.inc();
        let stored = self
            .store
            .record_result(self.store.client.get(&key, clock::now()).await)?;
        let Some(item) = stored else {
            return Ok(HeadPosition::default());
        };
        let head: Head = decode(&item)?;
        Ok(HeadPosition {
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
            .record_result(self.store.client.range(&range, clock::now()).await)?;
        for item in &items {
            let record: Record = decode(item)?;
            self.process
                .catalogue_state
                .apply_record(&record, UpdateSource::KeyValue);
        }
        Ok(())
    }

    async fn read_snapshot(&self) -> Result<(), Error> {
        let key = self.store.key("snapshot");
        self.process.metrics.key_value_calls.inc();
        let stored = self
            .store
            .record_result(self.store.client.get(&key, clock::now()).await)?;
        if let Some(item) = stored {
            self.process
                .catalogue_state
                .install_snapshot(&item.value, UpdateSource::KeyValue);
        }
        Ok(())
    }

    /// Returns the latest records, oldest first.
    ///
    /// # Errors
    ///
    /// Fails if the service can't be read.
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
            .record_result(self.store.client.range(&range, clock::now()).await)?;
        items.iter().map(decode).collect()
    }

    async fn watch_head(self: Rc<Self>) {
        loop {
            let zone = self.process.hello.zone.name.clone();
            let should_watch = self.rank(order::hash(&zone), Some(&zone)) < self.store.max_watchers;
            let outcome = if should_watch {
                self.watch_once().await
            } else {
                Ok(())
            };
            if let Err(error) = outcome {
                tracing::debug!(event = "watch_lost", %error);
            }
            clock::pause(WATCH_RETRY_MILLIS).await;
        }
    }

    async fn watch_once(&self) -> Result<(), Error> {
        let head_position = self.refresh().await?;
        let key = self.store.key("head");
        self.process.metrics.key_value_calls.inc();
        let watch = self
            .store
            .client
            .watch(&key, head_position.changed + 1, clock::now())
            .await;
        let mut watch = self.store.record_result(watch)?;
        while watch.changed(WATCH_TIMEOUT, clock::now()).await? {
            self.refresh().await?;
        }
        Ok(())
    }

    async fn commit_changes(self: Rc<Self>, mut receiver: mpsc::UnboundedReceiver<PendingChange>) {
        let mut next = None;
        loop {
            let first = match next.take() {
                Some(pending) => pending,
                None => match receiver.recv().await {
                    Some(pending) => pending,
                    None => return,
                },
            };
            let mut batch = vec![first];
            while batch.len() < MAX_BATCH_CHANGES {
                let Ok(pending) = receiver.try_recv() else {
                    break;
                };
                if pending.fence != batch[0].fence {
                    next = Some(pending);
                    break;
                }
                batch.push(pending);
            }
            self.commit_batch(batch).await;
        }
    }

    /// Commits a batch by one write, as the proposal's state machine directs.
    async fn commit_batch(&self, mut batch: Vec<PendingChange>) {
        let mut proposal = Proposal::new(MAX_FAILURES);
        let mut action = Action::Read;
        let mut failures = 0;
        let mut last_error = String::new();
        let mut head_position = HeadPosition::default();
        loop {
            let event = match action {
                Action::Read => match self.refresh().await {
                    Ok(position) => {
                        head_position = position;
                        self.resolve_committed(&mut batch);
                        Event::Read {
                            head: head_position.changed,
                            accepted: batch.is_empty(),
                        }
                    }
                    Err(error) => {
                        last_error = error.to_string();
                        Event::Refused
                    }
                },
                Action::Write { .. } => match self.commit(&mut batch, head_position).await {
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
                    self.resolve_committed(&mut batch);
                    return;
                }
                Action::Rejected => return,
                Action::Unavailable => {
                    send_result_to_all(batch, &SubmitResult::Unavailable(last_error));
                    return;
                }
                Action::Unknown => {
                    send_result_to_all(batch, &SubmitResult::Unknown(last_error));
                    return;
                }
            };
            if matches!(event, Event::Refused | Event::Lost) {
                failures += 1;
                clock::pause(RETRY_DELAY_MILLIS * failures).await;
            }
            action = proposal.step(event);
        }
    }

    /// Reports success for changes that the catalogue already contains.
    fn resolve_committed(&self, batch: &mut Vec<PendingChange>) {
        let catalogue = self.process.catalogue_state.catalogue();
        let mut remaining = Vec::with_capacity(batch.len());
        for pending in batch.drain(..) {
            match catalogue.accepted(pending.entry.identity) {
                Some(revision) => send_result(
                    pending,
                    SubmitResult::Accepted {
                        revision,
                        repeated: true,
                    },
                ),
                None => remaining.push(pending),
            }
        }
        *batch = remaining;
    }

    async fn commit(
        &self,
        batch: &mut Vec<PendingChange>,
        head_position: HeadPosition,
    ) -> Result<Event, Error> {
        let catalogue = self.process.catalogue_state.catalogue();
        if catalogue.revision() != head_position.revision {
            // A peer has sent a later revision since `head` was read.
            return Ok(Event::Moved);
        }
        let Some((record, next)) = build_record(&catalogue, batch) else {
            return Ok(Event::Invalid);
        };
        let change = self.build_write(&record, &next, head_position, batch[0].fence);
        self.process.metrics.key_value_calls.inc();
        if !self
            .store
            .record_result(self.store.client.commit(&change, clock::now()).await)?
        {
            if batch[0].fence.is_some() && self.read_head().await?.changed == head_position.changed
            {
                // `head` is unchanged, so the planner's key has changed: another planner holds the
                // lease.
                send_result_to_all(
                    std::mem::take(batch),
                    &SubmitResult::Unavailable("fenced".to_owned()),
                );
                return Ok(Event::Invalid);
            }
            return Ok(Event::Moved);
        }
        self.process
            .catalogue_state
            .apply_record(&record, UpdateSource::KeyValue);
        for pending in batch.drain(..) {
            send_result(
                pending,
                SubmitResult::Accepted {
                    revision: record.revision,
                    repeated: false,
                },
            );
        }
        Ok(Event::Written)
    }

    fn build_write(
        &self,
        record: &Record,
        next: &Catalogue,
        head_position: HeadPosition,
        fence: Option<Fence>,
    ) -> Change {
        let store = &self.store;
        let head = Head {
            revision: record.revision,
        };
        let mut change = Change::default()
            .guard(&store.key("head"), head_position.changed)
            .put(&store.key("head"), encode(&head))
            .put(&store.record_key(record.revision), encode(record));
        if let Some(fence) = fence {
            change = change.guard(&store.key("planner"), fence.changed);
        }
        if record
            .revision
            .0
            .is_multiple_of(SNAPSHOT_INTERVAL_REVISIONS)
        {
            change = change.put(&store.key("snapshot"), next.to_snapshot());
            let oldest_kept = record
                .revision
                .0
                .saturating_sub(store.records_kept.max(SNAPSHOT_INTERVAL_REVISIONS));
            let first = store.record_key(Revision(0));
            change = change.remove(Range {
                first,
                end: store.record_key(Revision(oldest_kept)),
            });
        }
        change
    }
}

/// Builds a record from the changes that the catalogue's rules allow; reports the refusal of the
/// others.
fn build_record(
    catalogue: &Catalogue,
    batch: &mut Vec<PendingChange>,
) -> Option<(Record, Catalogue)> {
    let revision = catalogue.revision().next();
    let mut entries: Vec<LogEntry> = Vec::new();
    let mut allowed = Vec::new();
    let mut built = None;
    for pending in batch.drain(..) {
        entries.push(pending.entry.clone());
        let record = Record {
            revision,
            entries: entries.clone(),
        };
        let mut next = catalogue.clone();
        match next.apply(&record) {
            Ok(()) => {
                allowed.push(pending);
                built = Some((record, next));
            }
            Err(refusal) => {
                entries.pop();
                send_result(pending, SubmitResult::Refused(refusal));
            }
        }
    }
    *batch = allowed;
    built
}

fn send_result(pending: PendingChange, result: SubmitResult) {
    // The submitter may have ended; the result stands.
    let _ = pending.result_sender.send(result);
}

fn send_result_to_all(batch: Vec<PendingChange>, result: &SubmitResult) {
    for pending in batch {
        send_result(pending, result.clone());
    }
}

fn encode<T: Encode<()>>(value: &T) -> Vec<u8> {
    minicbor::to_vec(value).unwrap_or_else(|error| unreachable!("writing to memory: {error}"))
}

fn decode<T: for<'b> Decode<'b, ()>>(item: &Item) -> Result<T, Error> {
    let unreadable = |error: minicbor::decode::Error| {
        let fault = Fault::Unreadable(error.to_string());
        Error::new(gingerpier_services::Step::ReadKey, &item.key, fault)
    };
    minicbor::decode(&item.value).map_err(unreadable)
}
