//! Engines and plain services of the box, and the orders they are given.
//!
//! An engine's supervisor compares the version assigned in the catalogue with what the engine
//! reports. Weights are fetched while the engine goes on with what it holds; then its work is let
//! end, and it is ordered to load. Every order carries the revision in force here as its fence.
//! Until the key-value service has confirmed, through an entry box and after this process
//! started, a revision that the ledger has reached, no order is given to an engine that does not
//! check fences itself: an earlier run of this process may have obeyed a later one.

use {
    super::Backend,
    crate::clock,
    awc::Client as Http,
    gingerpier_base::{Digest, Instant, Name, place::Incarnation},
    gingerpier_catalogue::VersionKey,
    gingerpier_once::dedup::Refusal,
    gingerpier_services::{
        Error,
        engine::{Client, Order, Status as Reported, What},
        exchange,
    },
    gingerpier_settings::{Backend as Settings, backend},
    gingerpier_weights::Manifest,
    gingerpier_wire::frame::{Attempt, EngineStatus, Phase},
    std::{
        cell::{Cell, RefCell},
        collections::BTreeMap,
        rc::Rc,
        time::Duration,
    },
};

/// Milliseconds between looks at an engine.
const LOOK_MILLIS: u64 = 200;
/// Time for an engine's answer to an order or a question.
const PATIENCE: Duration = Duration::from_secs(5);
/// Milliseconds for running requests to end before an engine is loaded anew.
const SWITCH_MILLIS: u64 = 60_000;
/// Requests that an engine is given at once, in percent of what it runs at once.
const QUEUE_PERCENT: u32 = 200;

/// What stands behind a slot.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Kind {
    /// Model engine.
    Model {
        /// True where it refuses stale fences itself.
        checks_fences: bool,
    },
    /// Plain service.
    Plain,
}

/// An engine or plain service of the box.
pub struct Slot {
    /// Its name.
    pub name: Name,
    /// Kind of models, or name of the service.
    pub class: Name,
    /// What it is.
    pub kind: Kind,
    /// Client of it.
    pub client: Client,
    state: RefCell<State>,
    /// Requests running, by the entry box process that sent them.
    work: RefCell<BTreeMap<Incarnation, u32>>,
    /// True while no new request may start.
    shut: Cell<bool>,
}

#[derive(Default)]
struct State {
    reached: bool,
    reported: Reported,
    weights: Option<Digest>,
    adapters: Vec<Digest>,
    assigned: Option<Digest>,
    progress: Progress,
    trouble: Option<String>,
}

/// How far a version's weights are.
#[derive(Debug, Clone, Copy, Default)]
pub struct Progress {
    /// Chunks held.
    pub held: u32,
    /// Chunks wanted.
    pub wanted: u32,
    /// Bytes taken from the origin.
    pub origin_bytes: u64,
    /// Bytes taken from peers.
    pub peer_bytes: u64,
}

/// A running request; its end is noted when this is dropped.
pub struct Work {
    slot: Rc<Slot>,
    entry: Incarnation,
}

impl Drop for Work {
    fn drop(&mut self) {
        let mut work = self.slot.work.borrow_mut();
        if let Some(count) = work.get_mut(&self.entry) {
            *count -= 1;
            if *count == 0 {
                work.remove(&self.entry);
            }
        }
    }
}

impl Slot {
    /// Slots of a box's settings.
    pub fn all(settings: &Settings, http: &Http) -> Vec<Rc<Self>> {
        let exchange = exchange::Client::default();
        let engines = settings
            .engines
            .iter()
            .map(|engine| Self::engine(engine, http, &exchange));
        let services = settings
            .services
            .iter()
            .map(|service| Self::service(service, http, &exchange));
        engines.chain(services).map(Rc::new).collect()
    }

    fn engine(engine: &backend::Engine, http: &Http, exchange: &exchange::Client) -> Self {
        let client = Client::new(http.clone(), exchange.clone(), engine.url.clone(), PATIENCE);
        let kind = Kind::Model {
            checks_fences: engine.checks_fences,
        };
        Self::new(&engine.name, &engine.kind, kind, client, State::default())
    }

    fn service(service: &backend::Service, http: &Http, exchange: &exchange::Client) -> Self {
        let client = Client::new(
            http.clone(),
            exchange.clone(),
            service.url.clone(),
            PATIENCE,
        );
        let reported = Reported {
            capacity: service.capacity,
            ..Reported::default()
        };
        let state = State {
            reached: true,
            reported,
            ..State::default()
        };
        Self::new(&service.name, &service.service, Kind::Plain, client, state)
    }

    fn new(name: &Name, class: &Name, kind: Kind, client: Client, state: State) -> Self {
        Self {
            name: name.clone(),
            class: class.clone(),
            kind,
            client,
            state: RefCell::new(state),
            work: RefCell::default(),
            shut: Cell::new(false),
        }
    }

    /// Notes a request that starts.
    pub fn work(self: &Rc<Self>, entry: Incarnation) -> Work {
        *self.work.borrow_mut().entry(entry).or_default() += 1;
        Work {
            slot: self.clone(),
            entry,
        }
    }

    fn running(&self) -> u32 {
        self.work.borrow().values().sum()
    }

    /// Whether an attempt may start now.
    ///
    /// # Errors
    ///
    /// Says why it may not.
    pub fn readiness(&self, attempt: &Attempt) -> Result<(), Refusal> {
        let Attempt {
            weights,
            adapter,
            at_once,
            ..
        } = attempt;
        let state = self.state.borrow();
        if self.shut.get() {
            return Err(Refusal::Leaving);
        }
        if !state.reached {
            return Err(Refusal::Unreachable);
        }
        if self.kind != Kind::Plain {
            let adapted = adapter.is_none_or(|adapter| state.adapters.contains(&adapter));
            if weights.is_none() || state.weights != *weights || !adapted {
                return Err(Refusal::OtherVersion);
            }
        }
        let percent = if *at_once { 100 } else { QUEUE_PERCENT };
        let most = state.reported.capacity * percent / 100;
        if self.running() >= most.max(1) {
            Err(Refusal::Full)
        } else {
            Ok(())
        }
    }

    /// Requests at the engine that are not the asker's.
    ///
    /// Every request comes through this door, so the count is exact, and never late as the
    /// engine's own report is.
    pub fn others(&self, asker: Incarnation) -> u32 {
        let own = self.work.borrow().get(&asker).copied().unwrap_or(0);
        self.running() - own
    }

    /// Status as the entry box process `asker` should see it.
    pub fn status(&self, asker: Incarnation) -> EngineStatus {
        let state = self.state.borrow();
        EngineStatus {
            name: self.name.clone(),
            kind: self.class.clone(),
            plain: self.kind == Kind::Plain,
            phase: self.phase(&state),
            weights: state.weights,
            adapters: state.adapters.clone(),
            others: self.others(asker),
            capacity: state.reported.capacity,
            chunks_held: state.progress.held,
            chunks_wanted: state.progress.wanted,
            origin_bytes: state.progress.origin_bytes,
            peer_bytes: state.progress.peer_bytes,
            trouble: state.trouble.clone(),
        }
    }

    fn phase(&self, state: &State) -> Phase {
        match (self.kind, state.weights) {
            _ if !state.reached => Phase::Down,
            _ if self.shut.get() => Phase::Draining,
            (Kind::Plain, _) => Phase::Ready,
            (_, Some(_)) => Phase::Ready,
            (_, None) if state.assigned.is_some() => Phase::Loading,
            (_, None) => Phase::Empty,
        }
    }

    fn set_trouble(&self, trouble: Option<String>) {
        let mut state = self.state.borrow_mut();
        if state.trouble != trouble {
            if let Some(trouble) = &trouble {
                tracing::warn!(event = "engine_trouble", engine = %self.name, trouble);
            }
            state.trouble = trouble;
        }
    }
}

/// What an engine is to hold.
#[derive(Debug, Clone, PartialEq, Eq)]
struct Wanted {
    base: VersionKey,
    weights: Digest,
    adapters: Vec<Digest>,
}

fn parse(text: &str) -> Option<Digest> {
    text.parse().ok()
}

impl Backend {
    /// Supervises an engine for as long as the process runs.
    pub fn install_engine(self: Rc<Self>, slot: Rc<Slot>) {
        if slot.kind == Kind::Plain {
            return;
        }
        actix_rt::spawn(async move {
            loop {
                self.look_at(&slot).await;
                self.touch();
                clock::pause(LOOK_MILLIS).await;
            }
        });
    }

    async fn look_at(&self, slot: &Slot) {
        let reported = slot.client.status(clock::now()).await;
        let wanted = self.wanted(slot);
        self.note_report(slot, reported, wanted.as_ref());
        let Some(wanted) = wanted else { return };
        if !slot.state.borrow().reached {
            return;
        }
        if let Err(trouble) = self.bring_to(slot, &wanted).await {
            slot.set_trouble(Some(trouble));
        }
        slot.shut.set(false);
    }

    fn wanted(&self, slot: &Slot) -> Option<Wanted> {
        let catalogue = self.process.ledger.catalogue();
        let base = catalogue.assignments().get(&slot.name)?.version;
        let zone = &self.process.hello.zone.name;
        let adapters = catalogue.adapters_on(base, zone);
        let adapters = adapters
            .iter()
            .map(|key| catalogue.version(*key).manifest)
            .collect();
        Some(Wanted {
            base,
            weights: catalogue.version(base).manifest,
            adapters,
        })
    }

    /// An engine counts as holding a version only while the version is the one assigned, or the
    /// one it held before, and it reports it whole itself.
    fn note_report(&self, slot: &Slot, reported: Result<Reported, Error>, wanted: Option<&Wanted>) {
        let mut state = slot.state.borrow_mut();
        state.assigned = wanted.map(|wanted| wanted.weights);
        match reported {
            Ok(reported) => {
                state.reached = true;
                let held = reported.weights.as_deref().and_then(parse);
                state.weights = held.filter(|_| wanted.is_some());
                state.adapters = reported
                    .adapters
                    .iter()
                    .filter_map(|text| parse(text))
                    .collect();
                state.reported = reported;
            }
            Err(error) => {
                if std::mem::replace(&mut state.reached, false) {
                    tracing::warn!(event = "engine_down", engine = %slot.name, %error);
                }
                state.weights = None;
                state.adapters.clear();
            }
        }
    }

    async fn bring_to(&self, slot: &Slot, wanted: &Wanted) -> Result<(), String> {
        self.release_others(wanted);
        if slot.state.borrow().weights != Some(wanted.weights) {
            let Some(manifest) = self.fetched(slot, wanted.weights)? else {
                return Ok(());
            };
            self.check_authority(slot)?;
            self.empty(slot).await;
            return self
                .load(slot, wanted, wanted.weights, &manifest, None)
                .await;
        }
        slot.set_trouble(None);
        for adapter in &wanted.adapters {
            if slot.state.borrow().adapters.contains(adapter) {
                continue;
            }
            if let Some(manifest) = self.fetched(slot, *adapter)? {
                self.check_authority(slot)?;
                let base = Some(wanted.weights);
                self.load(slot, wanted, *adapter, &manifest, base).await?;
            }
        }
        self.drop_adapters(slot, wanted).await
    }

    async fn drop_adapters(&self, slot: &Slot, wanted: &Wanted) -> Result<(), String> {
        let held = slot.state.borrow().adapters.clone();
        for adapter in held
            .into_iter()
            .filter(|held| !wanted.adapters.contains(held))
        {
            self.check_authority(slot)?;
            self.order(
                slot,
                What::DropAdapter {
                    weights: adapter.to_string(),
                },
            )
            .await?;
        }
        Ok(())
    }

    /// Notes versions that no engine here is assigned any more.
    fn release_others(&self, wanted: &Wanted) {
        let needed = self.slots.iter().filter_map(|slot| self.wanted(slot));
        let mut needed: Vec<Digest> = needed
            .flat_map(|wanted| [vec![wanted.weights], wanted.adapters].concat())
            .collect();
        needed.push(wanted.weights);
        self.weights.release_all_but(&needed);
    }

    /// The version's manifest once all its chunks are here; starts the fetch where it is new.
    fn fetched(&self, slot: &Slot, weights: Digest) -> Result<Option<Rc<Manifest>>, String> {
        let fetch = self.fetch(weights)?;
        slot.state.borrow_mut().progress = fetch.progress();
        if let Some(trouble) = fetch.trouble() {
            return Err(trouble);
        }
        Ok(fetch.complete())
    }

    /// Orders may be given only under a fence that no earlier run of this process can have
    /// passed.
    fn check_authority(&self, slot: &Slot) -> Result<(), String> {
        let revision = self.process.ledger.revision().0;
        let seen = slot.state.borrow().reported.fence;
        let checks_fences = matches!(
            slot.kind,
            Kind::Model {
                checks_fences: true
            }
        );
        let withheld = if seen > revision {
            format!("the engine has seen fence {seen}, and revision {revision} is in force here")
        } else if !checks_fences && !self.is_confirmed() {
            "the key-value service has not confirmed the revision in force here".to_owned()
        } else {
            return Ok(());
        };
        self.process.metrics.orders_withheld.inc();
        Err(withheld)
    }

    /// Lets running requests end before the engine is loaded anew.
    async fn empty(&self, slot: &Slot) {
        slot.shut.set(true);
        self.touch();
        let deadline: Instant = clock::now().after_millis(SWITCH_MILLIS);
        while slot.running() > 0 && !deadline.has_passed(clock::now()) {
            clock::pause(LOOK_MILLIS / 10).await;
        }
    }

    async fn load(
        &self,
        slot: &Slot,
        wanted: &Wanted,
        weights: Digest,
        manifest: &Manifest,
        base: Option<Digest>,
    ) -> Result<(), String> {
        let prepare = What::Prepare {
            weights: weights.to_string(),
            manifest: to_hex(&manifest.to_bytes()),
            base: base.map(|base| base.to_string()),
        };
        let name = weights.to_string();
        self.order(slot, prepare).await?;
        for (index, digest) in manifest.chunks.iter().enumerate() {
            if self.wanted(slot).as_ref() != Some(wanted) {
                return Err("another version was assigned meanwhile".to_owned());
            }
            let chunk = self.weights.chunk(*digest);
            let chunk = chunk.ok_or_else(|| format!("chunk {index} is no longer held"))?;
            let fence = self.process.ledger.revision().0;
            let given = slot
                .client
                .give(&name, index as u32, fence, chunk, clock::now())
                .await;
            given.map_err(|error| error.to_string())?;
        }
        self.order(slot, What::Activate { weights: name }).await?;
        tracing::info!(event = "activated", engine = %slot.name, weights = %weights);
        Ok(())
    }

    async fn order(&self, slot: &Slot, what: What) -> Result<(), String> {
        let order = Order {
            fence: self.process.ledger.revision().0,
            what,
        };
        let taken = slot.client.order(&order, clock::now()).await;
        taken.map_err(|error| error.to_string())
    }
}

fn to_hex(bytes: &[u8]) -> String {
    use std::fmt::Write;
    let mut text = String::with_capacity(bytes.len() * 2);
    for byte in bytes {
        // Writing to a string can't fail.
        let _ = write!(text, "{byte:02x}");
    }
    text
}
