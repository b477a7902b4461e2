//! Brings the chunks of a version here, from other processes and the origin.

use {
    super::{
        Carrier,
        asking::{Asking, Event},
        holding, manifest,
        sources::{Sources, Task},
    },
    crate::{client::Client, clock, pool::Pool},
    actix_rt::task::JoinHandle,
    gingerpier_base::Instant,
    gingerpier_serving::dialect::Named,
    gingerpier_weights::{
        fetch::{Action, Fetch, Outcome, Terms},
        plan::Source,
    },
    std::{cell::RefCell, collections::HashMap, net::SocketAddr, rc::Rc},
    tokio::sync::mpsc::{UnboundedReceiver, UnboundedSender, unbounded_channel},
};

/// Milliseconds that the engine may take for a chunk that lies there.
const ENGINE_MILLIS: u64 = 700;

/// Chunks asked for at the origin at once by one process: the next one waits while one comes.
const ORIGIN_AT_ONCE: usize = 2;

/// How chunks are fetched.
const TERMS: Terms = Terms {
    window: 24,
    stall_millis: 1_200,
    patience_millis: 4_000,
    pause_millis: 100,
    origin_at_once: ORIGIN_AT_ONCE,
};

/// Milliseconds between looks at stalled attempts.
const TICK_MILLIS: u64 = 50;

/// Milliseconds without a chunk after which the sources are looked at anew.
const OUTDATED_MILLIS: u64 = 700;

/// Milliseconds between two narrowings.
const NARROW_EVERY_MILLIS: u64 = 300;

/// Wrong chunks from the origin after which its manifest is doubted.
const DOUBTS: u32 = 6;

/// Brings a whole version here along what `task` says; gives the version that it turned out to be.
///
/// `task` is asked anew where nothing has come for a while and it names other sources by then:
/// those that were known at first may be gone.
pub async fn fetch(carrier: &Rc<Carrier>, task: impl Fn() -> Task) -> Named {
    loop {
        let along = task();
        tokio::select! {
            named = fetch_along(carrier, &along) => return named,
            () = until_outdated(carrier, &along, &task) => {
                tracing::info!(version = along.named.version.0, "fetch goes on along other sources");
            }
        }
    }
}

/// Returns once nothing has come for a while and `task` names other sources than `along`.
async fn until_outdated(carrier: &Carrier, along: &Task, task: &impl Fn() -> Task) {
    let mut held = carrier.held_count(&along.named);
    loop {
        clock::pause(OUTDATED_MILLIS).await;
        let now_held = carrier.held_count(&along.named);
        let now = task();
        let has_changed = now.peers != along.peers || now.origin != along.origin;
        if now_held == held && has_changed {
            return;
        }
        held = now_held;
    }
}

async fn fetch_along(carrier: &Rc<Carrier>, task: &Task) -> Named {
    let sources = Rc::new(Sources::new(task));
    loop {
        let named = manifest::hold(carrier, &sources, &task.route, &task.named).await;
        take_shared(carrier, &named);
        take_laid(carrier, &named).await;
        let work = Work::new(carrier.clone(), sources.clone(), task, named.clone());
        if work.run().await == Ended::Complete {
            return named;
        }
        // The manifest is what can be wrong where right sources give wrong chunks.
        let mut holdings = carrier.holdings.borrow_mut();
        holdings.remove(&named.model, named.version);
    }
}

/// How a fetch ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Ended {
    /// Every chunk is here.
    Complete,
    /// The origin's own chunks do not fit the manifest.
    Doubted,
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
    let Some(manifest) = carrier.manifest(named) else {
        return;
    };
    let served = carrier.served.borrow().clone();
    if served.is_some_and(|served| served != *named) {
        // What lies there is what the engine was last given: another version.
        return;
    }
    let Some(engine) = carrier.engine else { return };
    let mut client = Client::new(engine);
    for chunk in 0..manifest.digests.len() as u32 {
        let question = carrier.dialect.laid_chunk(&named.model, chunk);
        let Ok(whole) = client.call(&question, ENGINE_MILLIS).await else {
            return;
        };
        let is_here = whole.head.status == 200;
        if is_here && holding::is_right(&manifest, chunk, &whole.body) {
            carrier.put(named, chunk, whole.body);
        } else if chunk == 0 {
            return;
        }
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
    fn new(carrier: Rc<Carrier>, sources: Rc<Sources>, task: &Task, named: Named) -> Self {
        let terms = Terms {
            window: task.window,
            patience_millis: task.patience_millis,
            ..TERMS
        };
        let manifest = carrier.manifest(&named);
        let count = manifest.map_or(0, |manifest| manifest.digests.len());
        let own = task.route.entries(count as u32);
        let mut fetch = Fetch::along(terms, task.route.clone(), count as u32);
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

    async fn run(mut self) -> Ended {
        let started = clock::now();
        let mut look_at = started;
        loop {
            let mut actions = std::mem::take(&mut self.actions);
            let now = clock::now();
            self.fetch.note_look(look_at, now);
            self.fetch.poll(now, &mut actions);
            look_at = now.after_millis(TICK_MILLIS);
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
                        return Ended::Complete;
                    }
                }
            }
            if self.doubts > DOUBTS {
                tracing::error!("chunks of the origin do not fit the manifest; it is taken anew");
                return Ended::Doubted;
            }
            if let Some(Some(event)) = clock::before(look_at, self.events.recv()).await {
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
