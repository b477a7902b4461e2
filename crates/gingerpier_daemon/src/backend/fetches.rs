//! Fetches of versions: the plan's asks carried out, chunks checked, partial chunks kept.

use {
    super::{Backend, engines::Progress, pace::PART_BYTES, weights::HeldManifest},
    crate::{
        clock,
        metrics::{PeerLabel, SourceLabel},
    },
    actix_rt::task::JoinHandle,
    bytes::{Bytes, BytesMut},
    gingerpier_base::{Digest, Instant, Name, order},
    gingerpier_link::Stream,
    gingerpier_platform::{Error, Fault, weight_source},
    gingerpier_weights::{
        Fetch, Manifest, Plan,
        fetch::{Action, Outcome, Terms},
        plan::{Replica, ReplicaKey, Source},
    },
    gingerpier_wire::{Reply, Request, frame::Peer},
    std::{
        cell::{Cell, RefCell},
        collections::{BTreeMap, BTreeSet},
        pin::pin,
        rc::{Rc, Weak},
        time::Duration,
    },
    tokio::sync::{SemaphorePermit, mpsc},
};

/// Milliseconds between looks at deadlines.
const LOOK_MILLIS: u64 = 50;
/// Milliseconds between words that a chunk is still awaited here too.
const PENDING_MILLIS: u64 = 300;
/// Milliseconds for which another box's ask is kept waiting.
const WAIT_MILLIS: u64 = 25_000;
/// Milliseconds before a manifest is asked for again.
const MANIFEST_PAUSE_MILLIS: u64 = 500;
/// Time for each part of the origin's answer.
const ORIGIN_PATIENCE: Duration = Duration::from_secs(5);
/// The longest manifest taken from a peer.
const LONGEST_MANIFEST: u32 = gingerpier_weights::manifest::MAX_BYTES as u32;

/// A version that is being fetched, or is here.
pub struct Fetching {
    version: Digest,
    machine: RefCell<Option<Fetch>>,
    complete: RefCell<Option<Rc<Manifest>>>,
    trouble: RefCell<Option<String>>,
    origin_bytes: Cell<u64>,
    peer_bytes: Cell<u64>,
    partial: RefCell<BTreeMap<u32, Partial>>,
    /// Boxes of the plan, by the plan's keys.
    replicas: RefCell<Vec<Peer>>,
}

/// Bytes of a chunk that came before its source failed.
#[derive(Default)]
struct Partial {
    bytes: BytesMut,
    /// Sources that they came from.
    sources: BTreeSet<Source>,
}

struct Ended {
    chunk: u32,
    attempt: u64,
    outcome: Outcome,
}

/// Asks under way; one that is dropped takes nothing any more.
#[derive(Default)]
struct Asks(BTreeMap<u64, JoinHandle<()>>);

impl Asks {
    fn start(&mut self, ask: Ask, ended: mpsc::UnboundedSender<Ended>) {
        let (chunk, attempt) = (ask.chunk, ask.attempt);
        let task = actix_rt::spawn(async move {
            let outcome = ask.carry_out().await;
            // The fetch may be over by now.
            let _ = ended.send(Ended {
                chunk,
                attempt,
                outcome,
            });
        });
        self.0.insert(attempt, task);
    }

    fn drop(&mut self, attempt: u64) {
        if let Some(task) = self.0.remove(&attempt) {
            task.abort();
        }
    }
}

impl Drop for Asks {
    fn drop(&mut self) {
        for task in self.0.values() {
            task.abort();
        }
    }
}

/// Where a version's weights come from at the origin.
struct Origin {
    client: weight_source::Client,
    folder: String,
}

impl Fetching {
    /// How far it is.
    pub fn progress(&self) -> Progress {
        let machine = self.machine.borrow();
        Progress {
            held: machine.as_ref().map_or(0, Fetch::held_count),
            wanted: machine.as_ref().map_or(0, Fetch::chunk_count),
            origin_bytes: self.origin_bytes.get(),
            peer_bytes: self.peer_bytes.get(),
        }
    }

    /// What is in the way, if anything.
    pub fn trouble(&self) -> Option<String> {
        self.trouble.borrow().clone()
    }

    /// The manifest, once all chunks are here.
    pub fn complete(&self) -> Option<Rc<Manifest>> {
        self.complete.borrow().clone()
    }

    fn progress_at(&self, chunk: u32, attempt: u64) {
        if let Some(machine) = self.machine.borrow_mut().as_mut() {
            machine.progress(chunk, attempt, clock::now());
        }
    }

    fn want(&self, chunk: u32) {
        if let Some(machine) = self.machine.borrow_mut().as_mut() {
            machine.want(chunk);
        }
    }
}

impl Backend {
    /// Fetch of a version that an engine here is assigned; starts it where it is new.
    ///
    /// # Errors
    ///
    /// Where the version does not fit into the memory for chunks.
    pub fn fetch(&self, version: Digest) -> Result<Rc<Fetching>, String> {
        let catalogue = self.process.ledger.catalogue();
        let key = catalogue.version_of_digest(version);
        let key = key.ok_or_else(|| format!("no version has the manifest {version}"))?;
        self.weights
            .reserve(version, catalogue.version(key).bytes)?;
        if let Some(fetching) = self.weights.fetching(version) {
            return Ok(fetching);
        }
        let fetching = Rc::new(Fetching {
            version,
            machine: RefCell::new(None),
            complete: RefCell::new(None),
            trouble: RefCell::new(None),
            origin_bytes: Cell::new(0),
            peer_bytes: Cell::new(0),
            partial: RefCell::default(),
            replicas: RefCell::default(),
        });
        self.weights.add_fetch(version, fetching.clone());
        let url = self.settings.weights.origin.clone();
        let client = weight_source::Client::new(self.process.http.clone(), url, ORIGIN_PATIENCE);
        let origin = Rc::new(Origin {
            client,
            folder: catalogue.version(key).source.clone(),
        });
        let this = self.strong();
        let weak = Rc::downgrade(&fetching);
        actix_rt::spawn(async move {
            if let Some(this) = this {
                this.run_fetch(weak, origin).await;
            }
        });
        Ok(fetching)
    }

    /// Runs until the version is complete, or dropped for want of room.
    async fn run_fetch(self: Rc<Self>, weak: Weak<Fetching>, origin: Rc<Origin>) {
        let Some(manifest) = self.await_manifest(&weak, &origin).await else {
            return;
        };
        let (sender, mut ended) = mpsc::unbounded_channel();
        let mut asks = Asks::default();
        let mut actions = Vec::new();
        loop {
            let Some(fetching) = weak.upgrade() else {
                return;
            };
            self.follow_plan(&fetching, &manifest);
            if let Some(machine) = fetching.machine.borrow_mut().as_mut() {
                machine.poll(clock::now(), &mut actions);
            }
            for action in actions.drain(..) {
                match action {
                    Action::Ask {
                        chunk,
                        source,
                        attempt,
                    } => {
                        let ask = Ask {
                            backend: self.clone(),
                            fetching: fetching.clone(),
                            origin: origin.clone(),
                            manifest: manifest.clone(),
                            chunk,
                            source,
                            attempt,
                            taken: Cell::new(0),
                        };
                        asks.start(ask, sender.clone());
                    }
                    Action::Drop {
                        chunk,
                        source,
                        attempt,
                    } => {
                        asks.drop(attempt);
                        let source = fetching.describe(source);
                        tracing::warn!(event = "source_stalled", weights = %fetching.version, chunk, source);
                    }
                    Action::Complete => {
                        tracing::info!(event = "version_complete", weights = %fetching.version,
                            origin_bytes = fetching.origin_bytes.get(),
                            peer_bytes = fetching.peer_bytes.get());
                        fetching.complete.replace(Some(manifest));
                        self.touch();
                        return;
                    }
                }
            }
            drop(fetching);
            let next = actix_rt::time::timeout(Duration::from_millis(LOOK_MILLIS), ended.recv());
            if let Ok(Some(Ended {
                chunk,
                attempt,
                outcome,
            })) = next.await
            {
                asks.drop(attempt);
                let Some(fetching) = weak.upgrade() else {
                    return;
                };
                if let Some(machine) = fetching.machine.borrow_mut().as_mut() {
                    machine.end(chunk, attempt, outcome, clock::now());
                }
            }
        }
    }

    /// Takes a new plan where the replicas have changed.
    fn follow_plan(&self, fetching: &Fetching, manifest: &Manifest) {
        let replicas = self.replicas(fetching.version);
        let known = fetching.machine.borrow().is_some();
        if known && *fetching.replicas.borrow() == replicas {
            return;
        }
        let (plan, me) = self.plan(fetching.version, &replicas);
        let mut machine = fetching.machine.borrow_mut();
        match machine.as_mut() {
            Some(machine) => machine.replan(plan, me),
            None => {
                let count = manifest.chunks.len() as u32;
                let mut made = Fetch::new(self.fetch_terms(), plan, me, count);
                let held = manifest.chunks.iter().enumerate();
                for (index, _) in held.filter(|(_, digest)| self.weights.chunk(**digest).is_some())
                {
                    made.note_held(index as u32);
                }
                *machine = Some(made);
            }
        }
        fetching.replicas.replace(replicas);
    }

    fn fetch_terms(&self) -> Terms {
        let settings = &self.settings.weights;
        Terms {
            window: settings.window as usize,
            stall_millis: settings.stall.0,
            ..Terms::default()
        }
    }

    /// Boxes that are to hold a version, this one among them, in the order of their names.
    fn replicas(&self, version: Digest) -> Vec<Peer> {
        let catalogue = self.process.ledger.catalogue();
        let Some(key) = catalogue.version_of_digest(version) else {
            return Vec::new();
        };
        let names: BTreeSet<&Name> = catalogue.holders(key).map(|held| &held.server).collect();
        let mut replicas = self.book.boxes_named(&names);
        let me = &self.process.hello;
        if !replicas.iter().any(|peer| peer.name == me.name) {
            replicas.push(Peer {
                name: me.name.clone(),
                role: me.role,
                zone: me.zone.clone(),
                address: me.address.clone(),
                listing: gingerpier_membership::Listing::Live,
                incarnation: Some(me.incarnation),
            });
        }
        replicas.sort_by(|a, b| a.name.cmp(&b.name));
        replicas
    }

    fn plan(&self, version: Digest, replicas: &[Peer]) -> (Plan, ReplicaKey) {
        let mut points = Vec::with_capacity(replicas.len());
        for peer in replicas {
            points.push(Replica {
                identity: order::hash(&peer.name),
                region: order::hash(&peer.zone.region),
                zone: order::hash(&peer.zone),
            });
        }
        let plan = Plan::new(
            order::hash(&version),
            &points,
            self.settings.weights.fan_out,
        );
        let me = replicas
            .iter()
            .position(|peer| peer.name == self.process.hello.name);
        (plan, ReplicaKey(me.unwrap_or_default() as u32))
    }

    /// The manifest comes by the tree of chunk 0, so that the origin gives it once.
    async fn await_manifest(&self, weak: &Weak<Fetching>, origin: &Origin) -> Option<Rc<Manifest>> {
        loop {
            let version = weak.upgrade()?.version;
            if let Some(held) = self.weights.manifest(version) {
                return Some(held.manifest);
            }
            let replicas = self.replicas(version);
            let (plan, me) = self.plan(version, &replicas);
            let mut sources = Vec::new();
            plan.sources(me, 0, &mut sources);
            let mut last = None;
            let mut again_at = clock::now().after_millis(MANIFEST_PAUSE_MILLIS);
            for source in sources {
                match self.manifest_from(version, source, &replicas, origin).await {
                    Ok(held) => {
                        weak.upgrade()?.trouble.replace(None);
                        self.weights.put_manifest(version, held.clone());
                        return Some(held.manifest);
                    }
                    Err(Failure::Failed(trouble)) => last = Some(trouble),
                    Err(Failure::Busy(until)) => {
                        again_at = until;
                        last = Some("the origin asks to come back later".to_owned());
                    }
                }
            }
            weak.upgrade()?.trouble.replace(last);
            actix_rt::time::sleep(clock::left(again_at)).await;
        }
    }

    async fn manifest_from(
        &self,
        version: Digest,
        source: Source,
        replicas: &[Peer],
        origin: &Origin,
    ) -> Result<HeldManifest, Failure> {
        let (Source::Replica(key) | Source::Holder(key)) = source else {
            let read = origin
                .client
                .manifest(&origin.folder, version, clock::now())
                .await;
            let (manifest, bytes) = read?;
            return Ok(HeldManifest {
                manifest: Rc::new(manifest),
                bytes,
            });
        };
        let peer = replicas
            .get(key.0 as usize)
            .ok_or_else(|| "the plan has moved on".to_owned())?;
        let wait = matches!(source, Source::Replica(_));
        let link = self.link_to(peer).await?;
        let mut stream = link.open().await?;
        let bytes = async {
            stream.send(&Request::ManifestOf { version, wait }).await?;
            stream.finish();
            loop {
                match stream.receive::<Reply>().await? {
                    Reply::Pending => {}
                    Reply::Chunk { length } if length <= LONGEST_MANIFEST => {
                        return stream.receive_exact(length as usize).await.map(Some);
                    }
                    _ => return Ok(None),
                }
            }
        };
        let bytes = actix_rt::time::timeout(Duration::from_millis(WAIT_MILLIS), bytes).await;
        let bytes = bytes.map_err(|_| format!("{} gave no manifest in time", peer.name))?;
        let bytes = bytes.map_err(|error: gingerpier_link::Error| Failure::from(error))?;
        let bytes = bytes.ok_or_else(|| format!("{} does not have the manifest", peer.name))?;
        let manifest = Manifest::from_bytes(&bytes, version).map_err(|error| error.to_string())?;
        Ok(HeldManifest {
            manifest: Rc::new(manifest),
            bytes: bytes.into(),
        })
    }

    /// Serves a manifest to a peer, which is told to wait while it is on its way here.
    pub async fn serve_manifest(&self, mut stream: Stream, version: Digest, wait: bool) {
        let found = match self.weights.manifest(version) {
            None if wait => {
                self.wait_for(&mut stream, version, |weights| weights.manifest(version))
                    .await
            }
            found => found,
        };
        let served = async {
            let Some(held) = found else {
                return stream.send(&Reply::NotHeld).await;
            };
            stream
                .send(&Reply::Chunk {
                    length: held.bytes.len() as u32,
                })
                .await?;
            stream.send_held(held.bytes).await
        };
        finish(served.await, stream).await;
    }

    /// Serves a chunk to a peer; with `wait`, the peer is told to wait while the chunk is on its
    /// way here.
    pub async fn serve_chunk(
        &self,
        mut stream: Stream,
        version: Digest,
        index: u32,
        offset: u32,
        wait: bool,
    ) {
        let held = |weights: &super::weights::Weights| {
            let manifest = weights.manifest(version)?.manifest;
            weights.chunk(*manifest.chunks.get(index as usize)?)
        };
        let found = match held(&self.weights) {
            None if wait => {
                if let Some(fetching) = self.weights.fetching(version) {
                    fetching.want(index);
                }
                self.wait_for(&mut stream, version, held).await
            }
            found => found,
        };
        let served = async {
            let rest = found.filter(|chunk| offset as usize <= chunk.len());
            let Some(rest) = rest.map(|chunk| chunk.slice(offset as usize..)) else {
                return stream.send(&Reply::NotHeld).await;
            };
            self.send_paced(&mut stream, rest).await
        };
        finish(served.await, stream).await;
    }

    async fn send_paced(
        &self,
        stream: &mut Stream,
        mut rest: Bytes,
    ) -> Result<(), gingerpier_link::Error> {
        // Whole chunks one after another reach those who wait for them, and pass them on, sooner
        // than many at once.
        let _turn = self.send_turn(stream).await?;
        stream
            .send(&Reply::Chunk {
                length: rest.len() as u32,
            })
            .await?;
        while !rest.is_empty() {
            let part = rest.split_to(rest.len().min(PART_BYTES));
            self.send_pace.pass(part.len()).await;
            self.process.metrics.weights_given.inc_by(part.len() as u64);
            stream.send_held(part).await?;
        }
        Ok(())
    }

    /// Waits for a turn to send; the peer is told meanwhile that its chunk will come.
    async fn send_turn(
        &self,
        stream: &mut Stream,
    ) -> Result<Option<SemaphorePermit<'_>>, gingerpier_link::Error> {
        let mut turn = pin!(self.send_turns.acquire());
        loop {
            let pause = Duration::from_millis(PENDING_MILLIS);
            match actix_rt::time::timeout(pause, &mut turn).await {
                Ok(turn) => return Ok(turn.ok()),
                Err(_) => stream.send(&Reply::Pending).await?,
            }
        }
    }

    /// True where this box fetches the version, or will as soon as it looks at its engines, or
    /// has not yet heard of the version that its peer asks for.
    fn expects(&self, version: Digest) -> bool {
        let catalogue = self.process.ledger.catalogue();
        let Some(key) = catalogue.version_of_digest(version) else {
            return true;
        };
        let mut holders = catalogue.holders(key);
        holders.any(|held| held.server == self.process.hello.name)
    }

    /// Waits until `look` finds something, as long as this box expects the version itself.
    async fn wait_for<T, F>(&self, stream: &mut Stream, version: Digest, look: F) -> Option<T>
    where
        F: Fn(&super::weights::Weights) -> Option<T>,
    {
        let mut arrivals = self.weights.arrivals();
        let deadline: Instant = clock::now().after_millis(WAIT_MILLIS);
        let mut tell_at = clock::now().after_millis(PENDING_MILLIS);
        loop {
            if let Some(found) = look(&self.weights) {
                return Some(found);
            }
            if !self.expects(version) || deadline.has_passed(clock::now()) {
                return None;
            }
            // Other chunks come all the time; the peer is told by the clock, not by their pauses.
            if tell_at.has_passed(clock::now()) {
                stream.send(&Reply::Pending).await.ok()?;
                tell_at = clock::now().after_millis(PENDING_MILLIS);
            }
            // Without an arrival, the look is taken all the same.
            let _ = actix_rt::time::timeout(clock::left(tell_at), arrivals.changed()).await;
        }
    }
}

async fn finish(served: Result<(), gingerpier_link::Error>, mut stream: Stream) {
    match served {
        Ok(()) => {
            stream.finish();
            stream.peer_stopped().await;
        }
        Err(error) => tracing::debug!(event = "peer_left", %error),
    }
}

impl Fetching {
    fn peer(&self, source: Source) -> Option<Peer> {
        match source {
            Source::Replica(key) | Source::Holder(key) => {
                self.replicas.borrow().get(key.0 as usize).cloned()
            }
            Source::Origin => None,
        }
    }

    fn describe(&self, source: Source) -> String {
        self.peer(source)
            .map_or_else(|| "origin".to_owned(), |peer| peer.name.to_string())
    }
}

/// One ask of one source for one chunk.
struct Ask {
    backend: Rc<Backend>,
    fetching: Rc<Fetching>,
    origin: Rc<Origin>,
    manifest: Rc<Manifest>,
    chunk: u32,
    source: Source,
    attempt: u64,
    /// Bytes that this ask has brought.
    taken: Cell<usize>,
}

/// Why an ask brought no chunk.
enum Failure {
    Busy(Instant),
    Failed(String),
}

impl From<String> for Failure {
    fn from(why: String) -> Self {
        Self::Failed(why)
    }
}

impl From<Error> for Failure {
    fn from(error: Error) -> Self {
        match error.fault {
            Fault::Busy(until) => Self::Busy(until),
            _ => Self::Failed(error.to_string()),
        }
    }
}

impl From<gingerpier_link::Error> for Failure {
    fn from(error: gingerpier_link::Error) -> Self {
        Self::Failed(error.to_string())
    }
}

impl Ask {
    async fn carry_out(&self) -> Outcome {
        let read = match self.source {
            Source::Origin => self.read_origin().await,
            Source::Replica(_) => self.read_peer(true).await,
            Source::Holder(_) => self.read_peer(false).await,
        };
        match read {
            Ok(()) => {
                self.keep_pace().await;
                self.check()
            }
            Err(Failure::Busy(until)) => Outcome::Refused(until),
            Err(Failure::Failed(why)) => {
                let source = self.fetching.describe(self.source);
                tracing::debug!(event = "source_failed", chunk = self.chunk, source, why);
                Outcome::Failed
            }
        }
    }

    fn held(&self) -> u32 {
        let partial = self.fetching.partial.borrow();
        partial
            .get(&self.chunk)
            .map_or(0, |partial| partial.bytes.len() as u32)
    }

    /// Lets whole chunks through one after another, in the order in which they came, so that the
    /// first can be used and passed on while the rest waits.
    async fn keep_pace(&self) {
        let length = self.taken.get();
        let mut passing = pin!(self.backend.receive_pace.pass(length));
        loop {
            let pause = Duration::from_millis(PENDING_MILLIS);
            match actix_rt::time::timeout(pause, &mut passing).await {
                Ok(()) => return,
                Err(_) => self.fetching.progress_at(self.chunk, self.attempt),
            }
        }
    }

    fn take(&self, part: &[u8]) {
        self.taken.set(self.taken.get() + part.len());
        self.fetching.progress_at(self.chunk, self.attempt);
        let length = part.len() as u64;
        let (source, count) = match self.fetching.peer(self.source) {
            None => ("origin", &self.fetching.origin_bytes),
            Some(peer) if peer.zone == self.backend.process.hello.zone => {
                ("own_zone", &self.fetching.peer_bytes)
            }
            Some(_) => ("other_zone", &self.fetching.peer_bytes),
        };
        count.set(count.get() + length);
        let label = SourceLabel {
            source: source.to_owned(),
        };
        self.backend
            .process
            .metrics
            .weights_taken
            .get_or_create(&label)
            .inc_by(length);
        let mut partial = self.fetching.partial.borrow_mut();
        let partial = partial.entry(self.chunk).or_default();
        let room = self.manifest.chunk_length(self.chunk) as usize - partial.bytes.len();
        partial
            .bytes
            .extend_from_slice(&part[..part.len().min(room)]);
        partial.sources.insert(self.source);
    }

    async fn read_origin(&self) -> Result<(), Failure> {
        let Origin { client, folder } = &*self.origin;
        let offset = self.held();
        let take = async |part: Bytes| self.take(&part);
        let now = clock::now();
        client
            .chunk(folder, &self.manifest, self.chunk, offset, now, take)
            .await?;
        Ok(())
    }

    async fn read_peer(&self, wait: bool) -> Result<(), Failure> {
        let peer = self.fetching.peer(self.source);
        let peer = peer.ok_or_else(|| Failure::Failed("the plan has moved on".to_owned()))?;
        let link = self.backend.link_to(&peer).await?;
        let mut stream = link.open().await?;
        let offset = self.held();
        let (version, index) = (self.fetching.version, self.chunk);
        stream
            .send(&Request::Chunk {
                version,
                index,
                offset,
                wait,
            })
            .await?;
        stream.finish();
        let mut left = loop {
            match stream.receive::<Reply>().await? {
                Reply::Pending => self.fetching.progress_at(self.chunk, self.attempt),
                Reply::Chunk { length } => {
                    self.fetching.progress_at(self.chunk, self.attempt);
                    break length as usize;
                }
                other => return Err(Failure::Failed(format!("{other:?}"))),
            }
        };
        while left > 0 {
            let part = stream.receive_some(left.min(PART_BYTES)).await?;
            left -= part.len();
            self.take(&part);
        }
        Ok(())
    }

    /// A chunk is used and passed on only after its digest was found right.
    fn check(&self) -> Outcome {
        let Some(partial) = self.fetching.partial.borrow_mut().remove(&self.chunk) else {
            return Outcome::Failed;
        };
        let wanted = self.manifest.chunks[self.chunk as usize];
        let chunk = partial.bytes.freeze();
        if Digest::of(&chunk) == wanted {
            self.backend.weights.put_chunk(wanted, chunk);
            return Outcome::Held;
        }
        let peer = self.fetching.describe(self.source);
        tracing::warn!(event = "chunk_corrupt", weights = %self.fetching.version,
            chunk = self.chunk, source = peer, sources = partial.sources.len());
        let label = PeerLabel { peer };
        self.backend
            .process
            .metrics
            .chunks_corrupt
            .get_or_create(&label)
            .inc();
        // Bytes of several sources: none of them can be blamed for sure.
        if partial.sources.len() > 1 {
            Outcome::Failed
        } else {
            Outcome::Corrupt
        }
    }
}
