//! Proposals for the catalogue.

use {
    crate::engine::View,
    gingerpier_base::{Instant, Name, order},
    gingerpier_catalogue::{
        Catalogue, Command, ModelKey, VersionKey,
        model::{Assignment, Contract, Model, Rollout},
    },
    std::collections::{BTreeMap, BTreeSet},
};

/// How the planner behaves.
#[derive(Debug, Clone, Copy)]
pub struct Terms {
    /// Milliseconds for which an engine may be missing before its place is given away; default
    /// 10,000.
    pub missing_millis: u64,
    /// Engines of a contract that may be loading at once while a version is live, in percent;
    /// default 34.
    pub moving_percent: u32,
}

impl Default for Terms {
    fn default() -> Self {
        Self {
            missing_millis: 10_000,
            moving_percent: 34,
        }
    }
}

/// Compares what is asked for with what is there.
#[derive(Debug)]
pub struct Planner {
    terms: Terms,
    /// Engines that hold an assignment and can't be used, with the deadline of their return.
    missing: BTreeMap<Name, Instant>,
}

/// Everything that one round of planning looks at.
struct Round<'a> {
    catalogue: &'a Catalogue,
    views: BTreeMap<&'a Name, &'a View>,
    /// Engines that hold or are given an assignment in this round.
    taken: BTreeSet<Name>,
    commands: Vec<Command>,
    terms: Terms,
}

impl Planner {
    /// Planner that has seen nothing.
    pub const fn new(terms: Terms) -> Self {
        Self {
            terms,
            missing: BTreeMap::new(),
        }
    }

    /// Proposes commands; empty where nothing is to be done.
    pub fn plan(&mut self, catalogue: &Catalogue, views: &[View], now: Instant) -> Vec<Command> {
        let views: BTreeMap<&Name, &View> = views.iter().map(|view| (&view.engine, view)).collect();
        let expired = self.expired(catalogue, &views, now);
        let mut round = Round {
            catalogue,
            views,
            taken: catalogue.assignments().keys().cloned().collect(),
            commands: Vec::new(),
            terms: self.terms,
        };
        for engine in expired {
            round.unassign(&engine);
        }
        for (key, model) in catalogue.models() {
            match model.base {
                None => round.plan_model(key, model),
                Some(base) => round.plan_adapter(model, base),
            }
        }
        round.commands
    }

    /// Assigned engines that have been unusable for too long.
    fn expired(
        &mut self,
        catalogue: &Catalogue,
        views: &BTreeMap<&Name, &View>,
        now: Instant,
    ) -> Vec<Name> {
        let usable = |engine: &Name| views.get(engine).is_some_and(|view| view.usable);
        self.missing
            .retain(|engine, _| catalogue.assignments().contains_key(engine) && !usable(engine));
        let unusable = catalogue
            .assignments()
            .iter()
            .filter(|(engine, _)| !usable(engine));
        for (engine, held) in unusable {
            // An operator's word needs no waiting.
            let withdrawn = catalogue.withdrawal(&held.server).is_some();
            let patience = if withdrawn {
                0
            } else {
                self.terms.missing_millis
            };
            let deadline = now.after_millis(patience);
            let known = self.missing.entry(engine.clone()).or_insert(deadline);
            *known = (*known).min(deadline);
        }
        let passed = self
            .missing
            .iter()
            .filter(|(_, deadline)| deadline.has_passed(now));
        passed.map(|(engine, _)| engine.clone()).collect()
    }
}

/// Engines of one contract that keep their place.
struct Seats<'a> {
    zone: &'a Name,
    engines: Vec<(Name, VersionKey)>,
}

impl Round<'_> {
    fn plan_model(&mut self, key: ModelKey, model: &Model) {
        self.end_contracts(key, model);
        let mut wanted_ready = true;
        for contract in &model.contracts {
            wanted_ready &= self.plan_contract(key, model, contract);
        }
        if let Some(rollout) = model.rollout.as_ref().filter(|_| wanted_ready) {
            self.advance(model, rollout);
        }
    }

    /// Frees engines in zones that no longer serve the model, or all where no version is wanted.
    fn end_contracts(&mut self, key: ModelKey, model: &Model) {
        let idle = model.live.is_empty() && model.rollout.is_none();
        let served = |zone: &Name| {
            model
                .contracts
                .iter()
                .any(|contract| contract.zone == *zone)
        };
        let ended = self
            .holders(key)
            .filter(|(_, held)| idle || !served(&held.zone));
        let ended: Vec<Name> = ended.map(|(engine, _)| engine.clone()).collect();
        for engine in ended {
            self.unassign(&engine);
        }
    }

    fn holders(&self, key: ModelKey) -> impl Iterator<Item = (&Name, &Assignment)> {
        let catalogue = self.catalogue;
        let assigned = catalogue.assignments().iter();
        assigned
            .filter(move |(_, held)| catalogue.version(held.version).model == key)
            .filter(|(engine, _)| self.taken.contains(*engine))
    }

    /// Brings one contract nearer to what is asked for; true once the step's share is ready.
    fn plan_contract(&mut self, key: ModelKey, model: &Model, contract: &Contract) -> bool {
        let mut seats = self.seats(key, &contract.zone);
        let live = model.live.first().copied();
        let rollout = model.rollout.as_ref();
        let Some(first) = live.or(rollout.map(|rollout| rollout.to)) else {
            return false;
        };
        self.fill_seats(&mut seats, model, contract, first);
        let Some(rollout) = rollout else {
            self.switch(&seats, first, seats.engines.len());
            return false;
        };
        let percent = if live.is_none() && !rollout.paused {
            100
        } else {
            rollout.wanted_percent()
        };
        let wanted = (contract.replicas as usize * percent as usize).div_ceil(100);
        self.switch(&seats, rollout.to, wanted);
        let ready = seats.engines.iter().filter(|(engine, version)| {
            *version == rollout.to && self.is_ready(engine, rollout.to)
        });
        ready.count() >= wanted
    }

    fn seats<'a>(&self, key: ModelKey, zone: &'a Name) -> Seats<'a> {
        let held = self.holders(key).filter(|(_, held)| held.zone == *zone);
        let engines = held
            .map(|(engine, held)| (engine.clone(), held.version))
            .collect();
        Seats { zone, engines }
    }

    /// Assigns free engines where there are too few, and frees engines where there are too many.
    fn fill_seats(
        &mut self,
        seats: &mut Seats<'_>,
        model: &Model,
        contract: &Contract,
        version: VersionKey,
    ) {
        let wanted = contract.replicas as usize;
        while seats.engines.len() > wanted {
            if let Some((engine, _)) = seats.engines.pop() {
                self.unassign(&engine);
            }
        }
        let missing = wanted - seats.engines.len();
        for engine in self.free_engines(seats.zone, model, missing) {
            self.assign(&engine, version);
            self.taken.insert(engine.clone());
            // Given away in this round, so not yet ready; it counts from the next round on.
            seats.engines.push((engine, version));
        }
    }

    /// Free engines in the model's rendezvous order.
    fn free_engines(&self, zone: &Name, model: &Model, count: usize) -> Vec<Name> {
        let free = self.views.values().filter(|view| {
            view.usable
                && view.zone == *zone
                && view.kind == model.kind
                && !self.taken.contains(&view.engine)
        });
        let mut free: Vec<Name> = free.map(|view| view.engine.clone()).collect();
        order::sort_by_score(order::hash(&model.name), &mut free, order::hash);
        free.truncate(count);
        free
    }

    /// Moves engines to `to` until `wanted` hold it, few at a time while others serve.
    fn switch(&mut self, seats: &Seats<'_>, to: VersionKey, wanted: usize) {
        let on_target = seats
            .engines
            .iter()
            .filter(|(_, version)| *version == to)
            .count();
        let moving = seats
            .engines
            .iter()
            .filter(|(engine, version)| self.is_usable(engine) && !self.is_ready(engine, *version));
        let most = (seats.engines.len() * self.terms.moving_percent as usize).div_ceil(100);
        let room = most.saturating_sub(moving.count());
        let count = wanted.saturating_sub(on_target).min(room);
        let others = seats
            .engines
            .iter()
            .filter(|(engine, version)| *version != to && self.is_usable(engine));
        let next: Vec<Name> = others
            .map(|(engine, _)| engine.clone())
            .take(count)
            .collect();
        for engine in next {
            self.assign(&engine, to);
        }
    }

    /// An adapter is held wherever its base version is; its rollout only waits for that.
    fn plan_adapter(&mut self, model: &Model, base: ModelKey) {
        let Some(rollout) = model.rollout.as_ref().filter(|rollout| !rollout.paused) else {
            return;
        };
        let version = self.catalogue.version(rollout.to);
        let served = |zone: &Name| model.contracts.iter().any(|held| held.zone == *zone);
        let mut holders = 0;
        let mut ready = 0;
        let on_base = self
            .holders(base)
            .filter(|(_, held)| Some(held.version) == version.base);
        for (engine, held) in on_base.filter(|(_, held)| served(&held.zone)) {
            holders += 1;
            let adapted = |view: &&View| view.adapters.contains(&version.manifest);
            let whole = self.is_ready(engine, held.version);
            ready += usize::from(whole && self.views.get(engine).is_some_and(adapted));
        }
        if holders > 0 && ready == holders {
            self.advance(model, rollout);
        }
    }

    fn advance(&mut self, model: &Model, rollout: &Rollout) {
        if rollout.paused || model.contracts.is_empty() {
            return;
        }
        let version = self.catalogue.version(rollout.to).name.clone();
        let reached = rollout.reached;
        self.commands.push(Command::Advance {
            model: model.name.clone(),
            version,
            reached,
        });
    }

    fn assign(&mut self, engine: &Name, version: VersionKey) {
        let Some(view) = self.views.get(engine) else {
            return;
        };
        let (server, zone) = (view.server.clone(), view.zone.clone());
        let version = self.catalogue.version(version);
        let model = self.catalogue.model(version.model).name.clone();
        let version = version.name.clone();
        let engine = engine.clone();
        self.commands.push(Command::Assign {
            engine,
            server,
            zone,
            model,
            version,
        });
    }

    fn unassign(&mut self, engine: &Name) {
        if self.taken.remove(engine) {
            self.commands.push(Command::Unassign {
                engine: engine.clone(),
            });
        }
    }

    fn is_usable(&self, engine: &Name) -> bool {
        self.views.get(engine).is_some_and(|view| view.usable)
    }

    fn is_ready(&self, engine: &Name, version: VersionKey) -> bool {
        let manifest = self.catalogue.version(version).manifest;
        let view = self.views.get(engine);
        view.is_some_and(|view| view.usable && view.weights == Some(manifest))
    }
}
