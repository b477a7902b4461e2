//! Computes the commands that bring the engines' assignments in line with the catalogue.

use {
    crate::engine::EngineState,
    gingerpier_base::{Instant, Name, order},
    gingerpier_catalogue::{
        Catalogue, Command, ModelKey, VersionKey,
        model::{Assignment, Contract, Model, Rollout},
    },
    std::collections::{BTreeMap, BTreeSet},
};

/// Parameters of the planner.
#[derive(Debug, Clone, Copy)]
pub struct Policy {
    /// Time in milliseconds for which an assigned engine may be unusable before it is replaced;
    /// default 10,000.
    pub replacement_delay_millis: u64,
    /// Share of a contract's engines that may load weights at the same time, in percent; default
    /// 34.
    pub max_loading_percent: u32,
}

impl Default for Policy {
    fn default() -> Self {
        Self {
            replacement_delay_millis: 10_000,
            max_loading_percent: 34,
        }
    }
}

/// Proposes assignments and rollout steps.
#[derive(Debug)]
pub struct Planner {
    policy: Policy,
    /// Assigned engines that are unusable, with the time at which each is replaced.
    replacement_deadlines: BTreeMap<Name, Instant>,
}

/// State of one planning round.
struct Round<'a> {
    catalogue: &'a Catalogue,
    engine_states: BTreeMap<&'a Name, &'a EngineState>,
    /// Engines that are assigned before or by this round.
    assigned: BTreeSet<Name>,
    commands: Vec<Command>,
    policy: Policy,
}

impl Planner {
    /// Creates a planner without unusable engines.
    pub const fn new(policy: Policy) -> Self {
        Self {
            policy,
            replacement_deadlines: BTreeMap::new(),
        }
    }

    /// Returns the commands to propose; empty if nothing has to change.
    pub fn plan(
        &mut self,
        catalogue: &Catalogue,
        engine_states: &[EngineState],
        now: Instant,
    ) -> Vec<Command> {
        let engine_states: BTreeMap<&Name, &EngineState> = engine_states
            .iter()
            .map(|state| (&state.engine, state))
            .collect();
        let expired = self.expired(catalogue, &engine_states, now);
        let mut round = Round {
            catalogue,
            engine_states,
            assigned: catalogue.assignments().keys().cloned().collect(),
            commands: Vec::new(),
            policy: self.policy,
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

    /// Assigned engines that have been unusable beyond their deadline.
    fn expired(
        &mut self,
        catalogue: &Catalogue,
        engine_states: &BTreeMap<&Name, &EngineState>,
        now: Instant,
    ) -> Vec<Name> {
        let is_usable = |engine: &Name| {
            engine_states
                .get(engine)
                .is_some_and(|state| state.is_usable)
        };
        self.replacement_deadlines
            .retain(|engine, _| catalogue.assignments().contains_key(engine) && !is_usable(engine));
        let unusable = catalogue
            .assignments()
            .iter()
            .filter(|(engine, _)| !is_usable(engine));
        for (engine, assignment) in unusable {
            // Engines of a backend server that an operator withdrew are replaced at once.
            let is_withdrawn = catalogue.withdrawal(&assignment.server).is_some();
            let timeout_millis = if is_withdrawn {
                0
            } else {
                self.policy.replacement_delay_millis
            };
            let deadline = now.after_millis(timeout_millis);
            let current_deadline = self
                .replacement_deadlines
                .entry(engine.clone())
                .or_insert(deadline);
            *current_deadline = (*current_deadline).min(deadline);
        }
        let expired = self
            .replacement_deadlines
            .iter()
            .filter(|(_, deadline)| deadline.has_passed(now));
        expired.map(|(engine, _)| engine.clone()).collect()
    }
}

/// Engines assigned to one contract, with their versions.
struct Replicas<'a> {
    zone: &'a Name,
    engines: Vec<(Name, VersionKey)>,
}

impl Round<'_> {
    fn plan_model(&mut self, key: ModelKey, model: &Model) {
        self.unassign_unneeded_engines(key, model);
        let mut are_contracts_ready = true;
        for contract in &model.contracts {
            are_contracts_ready &= self.plan_contract(key, model, contract);
        }
        if let Some(rollout) = model.rollout.as_ref().filter(|_| are_contracts_ready) {
            self.propose_advance(model, rollout);
        }
    }

    /// Unassigns the model's engines in zones without a contract, or all of them if no version is
    /// wanted.
    fn unassign_unneeded_engines(&mut self, key: ModelKey, model: &Model) {
        let is_unwanted = model.live.is_empty() && model.rollout.is_none();
        let is_served = |zone: &Name| {
            model
                .contracts
                .iter()
                .any(|contract| contract.zone == *zone)
        };
        let unneeded = self
            .engines_of(key)
            .filter(|(_, assignment)| is_unwanted || !is_served(&assignment.zone));
        let unneeded: Vec<Name> = unneeded.map(|(engine, _)| engine.clone()).collect();
        for engine in unneeded {
            self.unassign(&engine);
        }
    }

    fn engines_of(&self, key: ModelKey) -> impl Iterator<Item = (&Name, &Assignment)> {
        let catalogue = self.catalogue;
        let assignments = catalogue.assignments().iter();
        assignments
            .filter(move |(_, assignment)| catalogue.version(assignment.version).model == key)
            .filter(|(engine, _)| self.assigned.contains(*engine))
    }

    /// Proposes assignments for one contract; returns true once the current rollout step is ready
    /// there.
    fn plan_contract(&mut self, key: ModelKey, model: &Model, contract: &Contract) -> bool {
        let mut replicas = self.replicas(key, &contract.zone);
        let live = model.live.first().copied();
        let rollout = model.rollout.as_ref();
        let Some(initial_version) = live.or(rollout.map(|rollout| rollout.to)) else {
            return false;
        };
        self.adjust_replica_count(&mut replicas, model, contract, initial_version);
        let Some(rollout) = rollout else {
            self.assign_version(&replicas, initial_version, replicas.engines.len());
            return false;
        };
        let percent = if live.is_none() && !rollout.paused {
            100
        } else {
            rollout.required_percent()
        };
        let wanted = (contract.replicas as usize * percent as usize).div_ceil(100);
        self.assign_version(&replicas, rollout.to, wanted);
        let ready_engines = replicas.engines.iter().filter(|(engine, version)| {
            *version == rollout.to && self.is_ready(engine, rollout.to)
        });
        ready_engines.count() >= wanted
    }

    fn replicas<'a>(&self, key: ModelKey, zone: &'a Name) -> Replicas<'a> {
        let assignments = self
            .engines_of(key)
            .filter(|(_, assignment)| assignment.zone == *zone);
        let engines = assignments
            .map(|(engine, assignment)| (engine.clone(), assignment.version))
            .collect();
        Replicas { zone, engines }
    }

    /// Assigns or unassigns engines until their number matches the contract.
    fn adjust_replica_count(
        &mut self,
        replicas: &mut Replicas<'_>,
        model: &Model,
        contract: &Contract,
        version: VersionKey,
    ) {
        let wanted = contract.replicas as usize;
        while replicas.engines.len() > wanted {
            if let Some((engine, _)) = replicas.engines.pop() {
                self.unassign(&engine);
            }
        }
        let missing_count = wanted - replicas.engines.len();
        for engine in self.free_engines(replicas.zone, model, missing_count) {
            self.assign(&engine, version);
            self.assigned.insert(engine.clone());
            // The proposed engine counts as ready only in a later round, once it has loaded the
            // version.
            replicas.engines.push((engine, version));
        }
    }

    /// Selects usable unassigned engines by the model's rendezvous order.
    fn free_engines(&self, zone: &Name, model: &Model, count: usize) -> Vec<Name> {
        let free = self.engine_states.values().filter(|state| {
            state.is_usable
                && state.zone == *zone
                && state.kind == model.kind
                && !self.assigned.contains(&state.engine)
        });
        let mut free: Vec<Name> = free.map(|state| state.engine.clone()).collect();
        order::sort_by_score(order::hash(&model.name), &mut free, order::hash);
        free.truncate(count);
        free
    }

    /// Assigns `to` to engines until `wanted` have it, within the limit on concurrent loads.
    fn assign_version(&mut self, replicas: &Replicas<'_>, to: VersionKey, wanted: usize) {
        let assigned_count = replicas
            .engines
            .iter()
            .filter(|(_, version)| *version == to)
            .count();
        let loading_engines = replicas
            .engines
            .iter()
            .filter(|(engine, version)| self.is_usable(engine) && !self.is_ready(engine, *version));
        let max_loading =
            (replicas.engines.len() * self.policy.max_loading_percent as usize).div_ceil(100);
        let free_slots = max_loading.saturating_sub(loading_engines.count());
        let count = wanted.saturating_sub(assigned_count).min(free_slots);
        let candidates = replicas
            .engines
            .iter()
            .filter(|(engine, version)| *version != to && self.is_usable(engine));
        let selected: Vec<Name> = candidates
            .map(|(engine, _)| engine.clone())
            .take(count)
            .collect();
        for engine in selected {
            self.assign(&engine, to);
        }
    }

    /// Advances an adapter's rollout once all engines of its base version have loaded it.
    fn plan_adapter(&mut self, model: &Model, base: ModelKey) {
        let Some(rollout) = model.rollout.as_ref().filter(|rollout| !rollout.paused) else {
            return;
        };
        let version = self.catalogue.version(rollout.to);
        let is_served = |zone: &Name| {
            model
                .contracts
                .iter()
                .any(|contract| contract.zone == *zone)
        };
        let mut engine_count = 0;
        let mut ready_count = 0;
        let base_engines = self
            .engines_of(base)
            .filter(|(_, assignment)| Some(assignment.version) == version.base);
        for (engine, assignment) in
            base_engines.filter(|(_, assignment)| is_served(&assignment.zone))
        {
            engine_count += 1;
            let has_adapter =
                |state: &&EngineState| state.loaded_adapters.contains(&version.manifest);
            let is_base_ready = self.is_ready(engine, assignment.version);
            ready_count += usize::from(
                is_base_ready && self.engine_states.get(engine).is_some_and(has_adapter),
            );
        }
        if engine_count > 0 && ready_count == engine_count {
            self.propose_advance(model, rollout);
        }
    }

    fn propose_advance(&mut self, model: &Model, rollout: &Rollout) {
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
        let Some(state) = self.engine_states.get(engine) else {
            return;
        };
        let (server, zone) = (state.server.clone(), state.zone.clone());
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
        if self.assigned.remove(engine) {
            self.commands.push(Command::Unassign {
                engine: engine.clone(),
            });
        }
    }

    fn is_usable(&self, engine: &Name) -> bool {
        self.engine_states
            .get(engine)
            .is_some_and(|state| state.is_usable)
    }

    fn is_ready(&self, engine: &Name, version: VersionKey) -> bool {
        let manifest = self.catalogue.version(version).manifest;
        let state = self.engine_states.get(engine);
        state.is_some_and(|state| state.is_usable && state.loaded_weights == Some(manifest))
    }
}
