//! Brings the chunks of a version here, from other processes and the origin.

use {
    super::{
        Carrier,
        holding::{self, Holding},
        peers::{Mode, Question},
    },
    crate::{
        clock,
        error::{Error, Step},
        pool::Pool,
        store,
    },
    actix_rt::task::JoinHandle,
    bytes::{Bytes, BytesMut},
    gingerpier_base::Instant,
    gingerpier_http1::{
        body::{Decoder, Part},
        connection::{Connection, Whole},
        head::Response,
    },
    gingerpier_serving::{
        configuration::Origin,
        dialect::{Call, Manifest, Named},
    },
    gingerpier_weights::{
        fetch::{Action, Fetch, Outcome, Terms},
        plan::{Plan, ReplicaKey, Source},
    },
    std::{cell::RefCell, collections::HashMap, net::SocketAddr, rc::Rc},
    tokio::sync::{
        Semaphore, SemaphorePermit,
        mpsc::{UnboundedReceiver, UnboundedSender, unbounded_channel},
    },
};

/// How chunks are fetched.
const TERMS: Terms = Terms {
    window: 24,
    stall_millis: 1_200,
    patience_millis: 4_000,
    pause_millis: 100,
};

/// Milliseconds between looks at stalled attempts.
const TICK_MILLIS: u64 = 50;

/// Milliseconds that a manifest may take from one source.
const MANIFEST_MILLIS: u64 = 700;

/// Milliseconds for which a peer that waits for the manifest itself is waited for.
const MANIFEST_WAIT_MILLIS: u64 = 900;

/// Part of the time of a chunk on the origin's link after which the next one is asked for.
const ORIGIN_PACE: f64 = 0.94;

/// Milliseconds from the first to the last byte of a chunk of another loader above which this
/// process's link is narrow: loaders send one chunk at a time.
const SLOW_MILLIS: u64 = 400;

/// Milliseconds between two narrowings.
const NARROW_EVERY_MILLIS: u64 = 300;

/// Milliseconds before a source that refused is asked again.
const REFUSED_MILLIS: u64 = 300;

/// Milliseconds for which a turn at the origin is waited for at once.
const TURN_MILLIS: u64 = 300;

/// Reads of a manifest at the origin before the next source is asked.
const MANIFEST_READS: u32 = 4;

/// Milliseconds that a connection may take to come up.
const CONNECT_MILLIS: u64 = 300;

/// Wrong chunks from the origin after which its manifest is doubted.
const DOUBTS: u32 = 6;

/// What happened to an attempt.
enum Event {
    Progress {
        chunk: u32,
        attempt: u64,
    },
    End {
        chunk: u32,
        attempt: u64,
        outcome: Outcome,
        source: Source,
    },
    Slow,
}

/// From whom chunks are taken.
pub enum Route {
    /// By trees over the replicas.
    Tree(Plan),
    /// From these, best first, whatever the chunk.
    Fixed(Vec<Source>),
}

/// A version to fetch, and from whom.
pub struct Task {
    /// Version; 0 for what the origin has.
    pub named: Named,
    /// From whom.
    pub route: Route,
    /// This process among the replicas.
    pub own: ReplicaKey,
    /// Addresses of the replicas, by key.
    pub peers: Vec<SocketAddr>,
    /// Origin.
    pub origin: Option<Origin>,
    /// Chunks asked for at once. Each holds a connection, and a peer that is asked by many takes
    /// only so many new ones.
    pub window: usize,
    /// Milliseconds that one source may take for one chunk while it says that it waits itself.
    pub patience_millis: u64,
    /// Questions to the origin at once.
    pub origin_turns: usize,
    /// Chunks of other processes on their way at once.
    pub link_turns: usize,
    /// When the origin's link is free for the first chunk, where all begin together.
    pub begins: Option<Instant>,
}

/// Replicas and how they are reached.
struct Sources {
    peers: Vec<SocketAddr>,
    origin: Option<Origin>,
    begins: Option<Instant>,
    origin_turns: Semaphore,
    link_turns: Semaphore,
}

impl Sources {
    fn address(&self, source: Source) -> Option<SocketAddr> {
        match source {
            Source::Origin => self.origin.map(|origin| origin.address),
            Source::Replica(key) | Source::Holder(key) => self.peers.get(key.0 as usize).copied(),
        }
    }

    /// Milliseconds until `chunk` is to be asked for at the origin. Whoever is first to take a
    /// chunk asks at the time when the link is free for it, so that early chunks come soon and
    /// go round while later ones are still on their way in.
    fn wait_for(&self, chunk: u32, bytes: u64) -> Option<u64> {
        let (begins, origin) = self.begins.zip(self.origin)?;
        let each = (bytes * 8_000) as f64 / origin.link_bits_per_second.max(1) as f64;
        let at = begins.after_millis((f64::from(chunk) * each * ORIGIN_PACE) as u64);
        let wait = at.millis_since(clock::now());
        (origin.link_bits_per_second > 0 && wait > 0).then_some(wait)
    }
}

/// Brings a whole version here; gives the version that it turned out to be.
pub async fn fetch(carrier: &Rc<Carrier>, task: Task) -> Named {
    let sources = Rc::new(Sources {
        peers: task.peers,
        origin: task.origin,
        begins: task.begins,
        origin_turns: Semaphore::new(task.origin_turns),
        link_turns: Semaphore::new(task.link_turns),
    });
    let order = match &task.route {
        Route::Tree(plan) => {
            let mut order = Vec::new();
            plan.sources(task.own, 0, &mut order);
            order
        }
        Route::Fixed(order) => order.clone(),
    };
    let named = hold_manifest(carrier, &sources, &order, &task.named).await;
    take_shared(carrier, &named);
    take_laid(carrier, &named).await;
    let terms = Terms {
        window: task.window,
        patience_millis: task.patience_millis,
        ..TERMS
    };
    let work = Work::new(
        carrier.clone(),
        sources,
        terms,
        task.route,
        task.own,
        named.clone(),
    );
    work.run().await;
    named
}

/// Chunks that this process is the first to take.
fn entries(route: &Route, own: ReplicaKey, count: u32) -> Vec<u32> {
    let Route::Tree(plan) = route else {
        return Vec::new();
    };
    let mut sources = Vec::new();
    let mut enters = |chunk: &u32| {
        plan.sources(own, *chunk, &mut sources);
        sources.first() == Some(&Source::Origin)
    };
    (0..count).filter(|chunk| enters(chunk)).collect()
}

async fn hold_manifest(
    carrier: &Rc<Carrier>,
    sources: &Rc<Sources>,
    order: &[Source],
    named: &Named,
) -> Named {
    loop {
        if carrier
            .holdings
            .borrow()
            .get(&named.model, named.version)
            .is_some()
        {
            return named.clone();
        }
        for source in order {
            let Some(address) = sources.address(*source) else {
                continue;
            };
            let bytes = match source {
                Source::Origin => origin_manifest(carrier, address, named).await,
                _ => peer_manifest(address, named).await,
            };
            let manifest = bytes.and_then(|bytes| {
                let manifest = carrier.dialect.read_manifest(200, &bytes).ok()?;
                Some((manifest, bytes))
            });
            if let Some((manifest, bytes)) = manifest {
                return note_manifest(carrier, manifest, bytes, address);
            }
            tracing::info!(version = named.version.0, source = %address, "manifest not had");
        }
        clock::pause(TERMS.pause_millis).await;
    }
}

fn note_manifest(carrier: &Carrier, manifest: Manifest, bytes: Bytes, source: SocketAddr) -> Named {
    let named = Named {
        model: manifest.model.clone(),
        version: manifest.version,
    };
    let chunks = manifest.digests.len();
    tracing::info!(model = named.model, version = named.version.0, chunks, %source, "manifest taken");
    let holding = Holding::new(manifest, bytes);
    carrier.holdings.borrow_mut().add(holding);
    carrier.arrived.notify_waiters();
    named
}

async fn call(address: SocketAddr, call: &Call, millis: u64) -> Option<Whole> {
    store::Client::new(address).call(call, millis).await.ok()
}

/// Manifest of the origin, read until it came twice the same: it may be spoilt on its way, and
/// everything else is checked against it.
async fn origin_manifest(carrier: &Carrier, address: SocketAddr, named: &Named) -> Option<Bytes> {
    let question = carrier.dialect.manifest(named);
    let mut seen: Vec<Bytes> = Vec::new();
    for _ in 0..MANIFEST_READS {
        let Some(whole) = call(address, &question, MANIFEST_MILLIS).await else {
            continue;
        };
        if carrier
            .dialect
            .read_manifest(whole.head.status, &whole.body)
            .is_err()
        {
            continue;
        }
        if seen.contains(&whole.body) {
            return Some(whole.body);
        }
        seen.push(whole.body);
    }
    None
}

async fn peer_manifest(address: SocketAddr, named: &Named) -> Option<Bytes> {
    let question = Question {
        named: named.clone(),
        chunk: None,
        mode: Mode::Wait,
    };
    let deadline = clock::now().after_millis(MANIFEST_WAIT_MILLIS);
    loop {
        let whole = call(address, &Call::get(question.target()), MANIFEST_MILLIS).await?;
        match whole.head.status {
            200 => return Some(whole.body),
            202 if !deadline.has_passed(clock::now()) => {}
            _ => return None,
        }
    }
}

/// Takes chunks that another version here has, too.
fn take_shared(carrier: &Carrier, named: &Named) {
    let shared = carrier
        .holdings
        .borrow_mut()
        .share(&named.model, named.version);
    if shared > 0 {
        tracing::info!(
            version = named.version.0,
            shared,
            "chunks of another version taken"
        );
    }
}

/// Takes what lies at the engine already.
async fn take_laid(carrier: &Rc<Carrier>, named: &Named) {
    let Some(manifest) = manifest_of(carrier, named) else {
        return;
    };
    let served = carrier.served.borrow().clone();
    if served.is_some_and(|served| served != *named) {
        // What lies there is what the engine was last given: another version.
        return;
    }
    let Some(engine) = carrier.engine else { return };
    let mut client = store::Client::new(engine);
    for chunk in 0..manifest.digests.len() as u32 {
        let question = carrier.dialect.laid_chunk(&named.model, chunk);
        let Ok(whole) = client.call(&question, MANIFEST_MILLIS).await else {
            return;
        };
        let is_here = whole.head.status == 200;
        if is_here && holding::is_right(&manifest, chunk, &whole.body) {
            put(carrier, named, chunk, whole.body);
        } else if chunk == 0 {
            return;
        }
    }
}

fn manifest_of(carrier: &Carrier, named: &Named) -> Option<Rc<Manifest>> {
    let holdings = carrier.holdings.borrow();
    let holding = holdings.get(&named.model, named.version)?;
    Some(holding.manifest.clone())
}

fn put(carrier: &Carrier, named: &Named, chunk: u32, bytes: Bytes) {
    let mut holdings = carrier.holdings.borrow_mut();
    if let Some(holding) = holdings.get_mut(&named.model, named.version) {
        holding.put(chunk, bytes);
        carrier.arrived.notify_waiters();
    }
}

/// A fetch under way.
struct Work {
    carrier: Rc<Carrier>,
    sources: Rc<Sources>,
    named: Named,
    fetch: Fetch,
    pool: Rc<RefCell<Pool<SocketAddr>>>,
    sender: UnboundedSender<Event>,
    events: UnboundedReceiver<Event>,
    patience_millis: u64,
    /// Questions under way, by attempt.
    asking: HashMap<u64, JoinHandle<()>>,
    /// What narrowing asks for.
    actions: Vec<Action>,
    narrowed: Instant,
    doubts: u32,
    from_origin: u32,
}

impl Drop for Work {
    fn drop(&mut self) {
        // A fetch that was given up must not go on taking the link.
        for task in self.asking.values() {
            task.abort();
        }
    }
}

impl Work {
    fn new(
        carrier: Rc<Carrier>,
        sources: Rc<Sources>,
        terms: Terms,
        route: Route,
        replica: ReplicaKey,
        named: Named,
    ) -> Self {
        let manifest = manifest_of(&carrier, &named);
        let count = manifest.map_or(0, |manifest| manifest.digests.len());
        let own = entries(&route, replica, count as u32);
        let mut fetch = match route {
            Route::Tree(plan) => Fetch::new(terms, plan, replica, count as u32),
            Route::Fixed(order) => Fetch::fixed(terms, order, count as u32),
        };
        let holdings = carrier.holdings.borrow();
        if let Some(holding) = holdings.get(&named.model, named.version) {
            for chunk in 0..count as u32 {
                if holding.chunk(chunk).is_some() {
                    fetch.note_held(chunk);
                }
            }
        }
        drop(holdings);
        // What enters here is asked for ahead of the window: the origin's link must not rest while
        // everyone waits for the chunks of one window to go round.
        for chunk in own {
            fetch.want(chunk);
        }
        if let Some(width) = carrier.width.get() {
            fetch.start_with(width);
        }
        let (sender, events) = unbounded_channel();
        Self {
            carrier,
            sources,
            named,
            fetch,
            pool: Rc::default(),
            sender,
            events,
            patience_millis: terms.patience_millis,
            asking: HashMap::new(),
            actions: Vec::new(),
            narrowed: Instant::default(),
            doubts: 0,
            from_origin: 0,
        }
    }

    async fn run(mut self) {
        let started = clock::now();
        loop {
            let mut actions = std::mem::take(&mut self.actions);
            self.fetch.poll(clock::now(), &mut actions);
            for action in actions {
                match action {
                    Action::Ask {
                        chunk,
                        source,
                        attempt,
                    } => self.ask(chunk, source, attempt),
                    Action::Drop {
                        chunk,
                        source,
                        attempt,
                    } => {
                        tracing::info!(chunk, ?source, "question for a chunk dropped");
                        if let Some(task) = self.asking.remove(&attempt) {
                            task.abort();
                        }
                    }
                    Action::Complete => {
                        let took = clock::now().millis_since(started);
                        self.carrier.width.set(Some(self.fetch.width()));
                        tracing::info!(
                            version = self.named.version.0,
                            took,
                            from_origin = self.from_origin,
                            "weights complete"
                        );
                        return;
                    }
                }
            }
            let tick = clock::now().after_millis(TICK_MILLIS);
            if let Some(Some(event)) = clock::before(tick, self.events.recv()).await {
                self.note(event);
                while let Ok(event) = self.events.try_recv() {
                    self.note(event);
                }
            }
        }
    }

    fn note(&mut self, event: Event) {
        let now = clock::now();
        match event {
            Event::Slow
                if self
                    .narrowed
                    .after_millis(NARROW_EVERY_MILLIS)
                    .has_passed(now) =>
            {
                self.narrowed = now;
                self.fetch.narrow(&mut self.actions);
                tracing::info!(
                    width = self.fetch.width(),
                    "chunks come slowly: fewer at once"
                );
            }
            Event::Slow => {}
            Event::Progress { chunk, attempt } => self.fetch.progress(chunk, attempt, now),
            Event::End {
                chunk,
                attempt,
                outcome,
                source,
            } => {
                self.asking.remove(&attempt);
                if outcome == Outcome::Corrupt {
                    tracing::warn!(chunk, ?source, "chunk has another digest");
                    self.doubts += u32::from(source == Source::Origin);
                }
                if !matches!(outcome, Outcome::Held | Outcome::Corrupt) {
                    tracing::info!(chunk, ?source, ?outcome, "chunk not had");
                }
                self.from_origin += u32::from(outcome == Outcome::Held && source == Source::Origin);
                self.fetch.end(chunk, attempt, outcome, now);
                if self.doubts > DOUBTS {
                    tracing::error!("many chunks of the origin do not fit the manifest");
                    self.doubts = 0;
                }
            }
        }
    }

    fn ask(&mut self, chunk: u32, source: Source, attempt: u64) {
        let Some(address) = self.sources.address(source) else {
            let outcome = Outcome::Failed;
            let end = Event::End {
                chunk,
                attempt,
                outcome,
                source,
            };
            // The receiver is this fetch itself.
            let _ = self.sender.send(end);
            return;
        };
        let asking = Asking {
            carrier: self.carrier.clone(),
            named: self.named.clone(),
            sources: self.sources.clone(),
            pool: self.pool.clone(),
            sender: self.sender.clone(),
            chunk,
            source,
            attempt,
            address,
            deadline: clock::now().after_millis(self.patience_millis),
        };
        self.asking.insert(attempt, actix_rt::spawn(asking.run()));
    }
}

/// One question for one chunk.
struct Asking {
    carrier: Rc<Carrier>,
    sources: Rc<Sources>,
    named: Named,
    pool: Rc<RefCell<Pool<SocketAddr>>>,
    sender: UnboundedSender<Event>,
    chunk: u32,
    source: Source,
    attempt: u64,
    address: SocketAddr,
    deadline: Instant,
}

impl Asking {
    async fn run(self) {
        let outcome = clock::before(self.deadline, self.bring()).await;
        let end = Event::End {
            chunk: self.chunk,
            attempt: self.attempt,
            outcome: outcome.unwrap_or(Outcome::Failed),
            source: self.source,
        };
        // A fetch that is over needs nothing more.
        let _ = self.sender.send(end);
    }

    fn question(&self, mode: Mode) -> Call {
        if self.source == Source::Origin {
            return self.carrier.dialect.chunk(&self.named, self.chunk);
        }
        let question = Question {
            named: self.named.clone(),
            chunk: Some(self.chunk),
            mode,
        };
        Call::get(question.target())
    }

    /// Bytes of a usual chunk.
    fn chunk_bytes(&self) -> u64 {
        let holdings = self.carrier.holdings.borrow();
        let holding = holdings.get(&self.named.model, self.named.version);
        holding.map_or(0, |holding| holding.manifest.chunk_bytes)
    }

    fn note_progress(&self) {
        let progress = Event::Progress {
            chunk: self.chunk,
            attempt: self.attempt,
        };
        // A fetch that is over needs nothing more.
        let _ = self.sender.send(progress);
    }

    /// A turn at the origin, or on this machine's link.
    async fn turn(&self) -> Option<SemaphorePermit<'_>> {
        if self.source != Source::Origin {
            return self.wait_for_turn(&self.sources.link_turns).await;
        }
        while let Some(wait) = self.sources.wait_for(self.chunk, self.chunk_bytes()) {
            clock::pause(wait.min(TURN_MILLIS)).await;
            self.note_progress();
        }
        self.wait_for_turn(&self.sources.origin_turns).await
    }

    async fn wait_for_turn<'s>(&self, turns: &'s Semaphore) -> Option<SemaphorePermit<'s>> {
        loop {
            let deadline = clock::now().after_millis(TURN_MILLIS);
            let turn = clock::before(deadline, turns.acquire()).await;
            if let Some(turn) = turn {
                return turn.ok();
            }
            self.note_progress();
        }
    }

    async fn bring(&self) -> Outcome {
        if let Source::Replica(_) = self.source {
            // What is on its way at once stays little, whatever many sources have.
            if let Err(outcome) = self.wait_for_presence().await {
                return outcome;
            }
        }
        let _turn = self.turn().await;
        let mode = match self.source {
            Source::Holder(_) => Mode::Now,
            _ => Mode::Wait,
        };
        match self.exchange(&self.question(mode)).await {
            Ok((head, body)) if head.status == 200 => self.check(body),
            Ok((head, _)) if matches!(head.status, 429 | 503) => {
                Outcome::Refused(clock::now().after_millis(REFUSED_MILLIS))
            }
            _ => Outcome::Failed,
        }
    }

    async fn wait_for_presence(&self) -> Result<(), Outcome> {
        let question = self.question(Mode::Presence);
        loop {
            let Ok((head, _)) = self.exchange(&question).await else {
                return Err(Outcome::Failed);
            };
            match head.status {
                204 => return Ok(()),
                202 => {}
                _ => return Err(Outcome::Failed),
            }
        }
    }

    fn check(&self, body: Bytes) -> Outcome {
        let Some(manifest) = manifest_of(&self.carrier, &self.named) else {
            return Outcome::Failed;
        };
        if !holding::is_right(&manifest, self.chunk, &body) {
            return Outcome::Corrupt;
        }
        put(&self.carrier, &self.named, self.chunk, body);
        Outcome::Held
    }

    async fn connect(&self) -> Result<Connection, Error> {
        let resting = self.pool.borrow_mut().take(&self.address);
        if let Some(connection) = resting {
            return Ok(connection);
        }
        let peer = self.address;
        let step = Step::Connect;
        let deadline = clock::now().after_millis(CONNECT_MILLIS);
        let connected = clock::before(deadline, Connection::connect(peer)).await;
        let connected = connected.ok_or(Error::Late { step, peer })?;
        let connection = connected.map_err(|what| Error::Io { step, peer, what })?;
        connection.use_small_buffers();
        Ok(connection)
    }

    async fn exchange(&self, question: &Call) -> Result<(Response, Bytes), Error> {
        let peer = self.address;
        let http = |what| Error::Http {
            step: Step::Exchange,
            peer,
            what,
        };
        let mut connection = self.connect().await?;
        let request = store::bytes_of(question, peer);
        connection.write(&request).await.map_err(|what| Error::Io {
            step: Step::Exchange,
            peer,
            what,
        })?;
        let head = connection.response().await.map_err(http)?;
        let begun = clock::now();
        let mut decoder = Decoder::new(head.framing().map_err(http)?);
        let mut body = BytesMut::new();
        loop {
            let part = connection.part(&mut decoder).await.map_err(http)?;
            self.note_progress();
            match part {
                Part::Data(data) => body.extend_from_slice(&data),
                Part::End => break,
            }
        }
        let is_slow = clock::now().millis_since(begun) > SLOW_MILLIS;
        if is_slow && self.source != Source::Origin {
            let _ = self.sender.send(Event::Slow);
        }
        self.pool.borrow_mut().put(peer, connection, &head);
        Ok((head, body.freeze()))
    }
}
