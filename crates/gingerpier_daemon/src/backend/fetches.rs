//! Fetches of versions: the plan's asks carried out, chunks checked, partial chunks kept.

use {
    super::{
        Backend,
        asks::{Ask, Asks, Ended, Failure},
        engines::Progress,
        serving::WAIT_MILLIS,
        weights::HeldManifest,
    },
    crate::clock,
    bytes::BytesMut,
    gingerpier_base::{Digest, Instant, Name, order},
    gingerpier_catalogue::Revision,
    gingerpier_services::weight_source,
    gingerpier_weights::{
        Fetch, Manifest, Plan,
        fetch::{Action, Policy},
        plan::{Replica, ReplicaKey, Source},
    },
    gingerpier_wire::{Reply, Request, frame::Peer},
    std::{
        cell::{Cell, RefCell},
        collections::{BTreeMap, BTreeSet},
        rc::{Rc, Weak},
        time::Duration,
    },
    tokio::sync::mpsc,
};

/// Milliseconds between looks at deadlines.
const LOOK_MILLIS: u64 = 50;
/// Milliseconds before a manifest is asked for again.
const MANIFEST_PAUSE_MILLIS: u64 = 500;
/// Time for each part of the origin's answer.
const ORIGIN_PATIENCE: Duration = Duration::from_secs(5);
/// The longest manifest taken from a peer.
const LONGEST_MANIFEST: u32 = gingerpier_weights::manifest::MAX_BYTES as u32;

/// A version that is being fetched, or is here.
pub struct Fetching {
    pub(super) version: Digest,
    pub(super) machine: RefCell<Option<Fetch>>,
    pub(super) complete: RefCell<Option<Rc<Manifest>>>,
    pub(super) trouble: RefCell<Option<String>>,
    pub(super) origin_bytes: Cell<u64>,
    pub(super) peer_bytes: Cell<u64>,
    pub(super) partial: RefCell<BTreeMap<u32, Partial>>,
    /// What the plan was made from.
    basis: Cell<Option<Basis>>,
    /// When each source last sent anything, by the plan's keys.
    pub(super) heard: RefCell<BTreeMap<Source, Instant>>,
    /// Boxes of the plan, by the plan's keys.
    pub(super) replicas: RefCell<Vec<Peer>>,
}

/// What a plan is made from; the same basis makes the same plan.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct Basis {
    revision: Revision,
    boxes: u64,
}

/// Bytes of a chunk that came before its source failed.
#[derive(Default)]
pub(super) struct Partial {
    pub(super) bytes: BytesMut,
    /// Sources that they came from.
    pub(super) sources: BTreeSet<Source>,
}

/// Where a version's weights come from at the origin.
pub(super) struct Origin {
    pub(super) client: weight_source::Client,
    pub(super) folder: String,
}

impl Fetching {
    /// How far it is.
    pub fn progress(&self) -> Progress {
        let machine = self.machine.borrow();
        Progress {
            held: machine.as_ref().map_or(0, Fetch::cached_count),
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

    pub(super) fn progress_at(&self, chunk: u32, attempt: u64) {
        if let Some(machine) = self.machine.borrow_mut().as_mut() {
            machine.record_progress(chunk, attempt, clock::now());
        }
    }

    /// Notes that `source` sent something on `chunk`.
    pub(super) fn heard(&self, source: Source, chunk: u32, attempt: u64) {
        let now = clock::now();
        self.heard.borrow_mut().insert(source, now);
        if let Some(machine) = self.machine.borrow_mut().as_mut() {
            machine.record_progress(chunk, attempt, now);
            match source.replica() {
                Some(peer) => machine.record_peer_message(peer, now),
                None => machine.record_origin_message(now),
            }
        }
    }

    pub(super) fn want(&self, chunk: u32) {
        if let Some(machine) = self.machine.borrow_mut().as_mut() {
            machine.request_ahead(chunk);
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
            heard: RefCell::default(),
            replicas: RefCell::default(),
            basis: Cell::new(None),
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
        let mut look_at = clock::now();
        loop {
            let Some(fetching) = weak.upgrade() else {
                return;
            };
            self.follow_plan(&fetching, &manifest);
            let now = clock::now();
            if let Some(machine) = fetching.machine.borrow_mut().as_mut() {
                machine.record_poll(look_at, now);
                machine.poll(now, &mut actions);
            }
            look_at = now.after_millis(LOOK_MILLIS);
            for action in actions.drain(..) {
                match action {
                    Action::Request {
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
                    Action::Cancel {
                        chunk,
                        source,
                        attempt,
                    } => {
                        asks.drop(attempt);
                        self.log_stall(&fetching, chunk, source, now);
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
            let next = clock::before(look_at, ended.recv());
            if let Some(Some(Ended {
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
                    machine.record_outcome(chunk, attempt, outcome, clock::now());
                }
            }
        }
    }

    /// One line for a source that was given up, with what tells a silent source from a lossy link and
    /// from one question that was forgotten.
    fn log_stall(&self, fetching: &Fetching, chunk: u32, source: Source, now: Instant) {
        let heard_at = fetching.heard.borrow().get(&source).copied();
        let heard_millis_ago = heard_at.map(|at| now.millis_since(at));
        let link = fetching
            .peer(source)
            .and_then(|peer| self.held_link(&peer.name));
        let path = link.map(|link| link.path());
        let (rtt_micros, lost_packets) = path
            .map(|path| (path.rtt.as_micros() as u64, path.lost_packets))
            .unzip();
        let source = fetching.describe(source);
        tracing::warn!(event = "source_stalled", weights = %fetching.version, chunk, source,
            heard_millis_ago, rtt_micros, lost_packets);
    }

    /// Takes a new plan where the replicas have changed.
    fn follow_plan(&self, fetching: &Fetching, manifest: &Manifest) {
        let basis = Basis {
            revision: self.process.ledger.revision(),
            boxes: self.book.generation(),
        };
        if fetching.basis.replace(Some(basis)) == Some(basis) {
            return;
        }
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
                let mut made = Fetch::new(self.fetch_policy(), plan, me, count);
                let held = manifest.chunks.iter().enumerate();
                for (index, _) in held.filter(|(_, digest)| self.weights.chunk(**digest).is_some())
                {
                    made.record_cached(index as u32);
                }
                *machine = Some(made);
            }
        }
        // The keys of the old plan mean nothing in the new one.
        fetching.heard.take();
        fetching.replicas.replace(replicas);
    }

    fn fetch_policy(&self) -> Policy {
        let settings = &self.settings.weights;
        Policy {
            window: settings.window as usize,
            stall_millis: settings.stall.0,
            ..Policy::default()
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
            clock::until(again_at).await;
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
}

impl Fetching {
    pub(super) fn peer(&self, source: Source) -> Option<Peer> {
        match source {
            Source::Replica(key) | Source::Holder(key) => {
                self.replicas.borrow().get(key.0 as usize).cloned()
            }
            Source::Origin => None,
        }
    }

    pub(super) fn describe(&self, source: Source) -> String {
        self.peer(source)
            .map_or_else(|| "origin".to_owned(), |peer| peer.name.to_string())
    }
}
