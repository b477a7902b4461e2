//! The catalogue and its state transitions.
//!
//! Transitions are deterministic: they depend only on the catalogue and the command, so that all
//! processes compute the same state.

use {
    crate::{
        command::Command,
        error::Error,
        key::{ModelKey, Revision, VersionKey},
        model::{Account, Assignment, Contract, Model, Rollout, Version, Withdrawal},
        record::{Entry, Identity, Record},
    },
    gingerpier_base::{Digest, Name},
    minicbor::{Decode, Encode},
    std::collections::{BTreeMap, VecDeque},
};

/// Number of recent accepted requests whose identities are kept to detect retries.
pub const MAX_RECENT_ACCEPTANCES: usize = 1_024;

/// The configuration at one revision.
#[derive(Debug, Clone, PartialEq, Eq, Default, Encode, Decode)]
#[cbor(map)]
pub struct Catalogue {
    #[n(0)]
    revision: Revision,
    #[n(1)]
    models: Vec<Model>,
    #[n(2)]
    versions: Vec<Version>,
    #[n(3)]
    accounts: Vec<Account>,
    #[n(4)]
    assignments: BTreeMap<Name, Assignment>,
    #[n(5)]
    withdrawals: BTreeMap<Name, Withdrawal>,
    #[n(6)]
    recent_acceptances: VecDeque<Acceptance>,
}

/// An accepted request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Encode, Decode)]
#[cbor(map)]
pub struct Acceptance {
    /// Identity of the request.
    #[n(0)]
    pub identity: Identity,
    /// Revision at which the request was accepted.
    #[n(1)]
    pub revision: Revision,
}

/// Rollout steps in percent if an operator specifies none.
const DEFAULT_STEPS: [u8; 1] = [100];

/// Queries.
impl Catalogue {
    /// Current revision.
    pub const fn revision(&self) -> Revision {
        self.revision
    }

    /// Models and adapters with their keys.
    pub fn models(&self) -> impl Iterator<Item = (ModelKey, &Model)> {
        self.models
            .iter()
            .enumerate()
            .map(|(index, model)| (ModelKey(index as u32), model))
    }

    /// Model with `key`.
    ///
    /// # Panics
    ///
    /// Panics if `key` does not exist in this catalogue.
    pub fn model(&self, key: ModelKey) -> &Model {
        &self.models[key.0 as usize]
    }

    /// Key of the model or adapter with `name`.
    ///
    /// # Errors
    ///
    /// Returns an error if there is no such model.
    pub fn model_key_by_name(&self, name: &Name) -> Result<ModelKey, Error> {
        let index = self.models.iter().position(|model| model.name == *name);
        let index = index.ok_or_else(|| Error::UnknownModel(name.clone()))?;
        Ok(ModelKey(index as u32))
    }

    /// Versions that are not deleted, with their keys.
    pub fn versions(&self) -> impl Iterator<Item = (VersionKey, &Version)> {
        let keyed = self.versions.iter().enumerate();
        keyed
            .filter(|(_, version)| !version.deleted)
            .map(|(index, version)| (VersionKey(index as u32), version))
    }

    /// Version with `key`.
    ///
    /// # Panics
    ///
    /// Panics if `key` does not exist in this catalogue.
    pub fn version(&self, key: VersionKey) -> &Version {
        &self.versions[key.0 as usize]
    }

    /// Key of the version of `model` with `name`.
    ///
    /// # Errors
    ///
    /// Returns an error if the model has no such version.
    pub fn version_key_by_name(&self, model: ModelKey, name: &Name) -> Result<VersionKey, Error> {
        let found = self
            .versions()
            .find(|(_, version)| version.model == model && version.name == *name);
        let unknown = || Error::UnknownVersion {
            model: self.model(model).name.clone(),
            version: name.clone(),
        };
        found.map(|(key, _)| key).ok_or_else(unknown)
    }

    /// Key of the version whose manifest has `digest`.
    pub fn version_by_digest(&self, digest: Digest) -> Option<VersionKey> {
        self.versions()
            .find(|(_, version)| version.manifest == digest)
            .map(|(key, _)| key)
    }

    /// Display name, as `model@version`.
    pub fn label(&self, key: VersionKey) -> String {
        let version = self.version(key);
        format!("{}@{}", self.model(version.model).name, version.name)
    }

    /// Client accounts.
    pub fn accounts(&self) -> &[Account] {
        &self.accounts
    }

    /// Account whose bearer token has `digest`.
    pub fn account_by_key(&self, digest: Digest) -> Option<&Account> {
        self.accounts.iter().find(|account| account.key == digest)
    }

    /// Assignments by engine.
    pub const fn assignments(&self) -> &BTreeMap<Name, Assignment> {
        &self.assignments
    }

    /// Withdrawal of `server`, if any.
    pub fn withdrawal(&self, server: &Name) -> Option<Withdrawal> {
        self.withdrawals.get(server).copied()
    }

    /// Backend servers that operators have withdrawn.
    pub const fn withdrawals(&self) -> &BTreeMap<Name, Withdrawal> {
        &self.withdrawals
    }

    /// Revision at which the request with `identity` was accepted, among the last [`MAX_RECENT_ACCEPTANCES`].
    pub fn accepted(&self, identity: Identity) -> Option<Revision> {
        let found = self
            .recent_acceptances
            .iter()
            .rev()
            .find(|acceptance| acceptance.identity == identity);
        found.map(|acceptance| acceptance.revision)
    }

    /// Versions of `model` that may receive traffic: the live ones and the target of a rollout.
    pub fn open_versions(&self, model: ModelKey) -> impl Iterator<Item = VersionKey> {
        let model = self.model(model);
        let rollout = model
            .rollout
            .iter()
            .filter(|rollout| rollout.receives_traffic());
        let to = rollout
            .map(|rollout| rollout.to)
            .filter(|to| !model.live.contains(to));
        model.live.iter().copied().chain(to)
    }

    /// Adapter versions that engines with base version `base` in `zone` must load.
    pub fn required_adapters(&self, base: VersionKey, zone: &Name) -> Vec<VersionKey> {
        let base_model = self.version(base).model;
        let is_served = |model: &&Model| {
            model.base == Some(base_model)
                && model
                    .contracts
                    .iter()
                    .any(|contract| contract.zone == *zone)
        };
        let mut adapters = Vec::new();
        for model in self.models.iter().filter(is_served) {
            let rollout_target = model.rollout.iter().map(|rollout| rollout.to);
            for version in model.live.iter().copied().chain(rollout_target) {
                if self.version(version).base == Some(base) && !adapters.contains(&version) {
                    adapters.push(version);
                }
            }
        }
        adapters
    }

    /// Assignments of the engines that must load `version`; for an adapter, the assignments of its
    /// base version in the zones where the adapter is served.
    pub fn holders(&self, version: VersionKey) -> impl Iterator<Item = &Assignment> {
        let requested = self.version(version);
        let base = requested.base.unwrap_or(version);
        let contracts = &self.model(requested.model).contracts;
        let is_base = requested.base.is_none();
        self.assignments.values().filter(move |assignment| {
            let is_served = contracts
                .iter()
                .any(|contract| contract.zone == assignment.zone);
            assignment.version == base && (is_base || is_served)
        })
    }

    /// Encodes a snapshot, which is stored in the key-value service and sent to peers.
    ///
    /// # Panics
    ///
    /// Never: encoding into memory is infallible.
    pub fn to_snapshot(&self) -> Vec<u8> {
        minicbor::to_vec(self)
            .unwrap_or_else(|error| unreachable!("encoding a snapshot into memory: {error}"))
    }

    /// Decodes a snapshot.
    ///
    /// # Errors
    ///
    /// Returns an error if the bytes are not a valid snapshot.
    pub fn from_snapshot(bytes: &[u8]) -> Result<Self, Error> {
        minicbor::decode(bytes).map_err(|error| Error::Unreadable(error.to_string()))
    }
}

/// State transitions.
impl Catalogue {
    /// Applies the next record.
    ///
    /// # Errors
    ///
    /// Returns an error if the record does not have the next revision or a command is invalid; the catalogue
    /// is then unchanged.
    pub fn apply(&mut self, record: &Record) -> Result<(), Error> {
        if record.revision != self.revision.next() {
            return Err(Error::NotNext {
                have: self.revision,
                got: record.revision,
            });
        }
        let mut next = self.clone();
        next.revision = record.revision;
        for entry in &record.entries {
            next.apply_entry(entry)?;
        }
        *self = next;
        Ok(())
    }

    /// Replaces the catalogue by a newer snapshot; returns true if it was replaced.
    pub fn replace_if_newer(&mut self, snapshot: Self) -> bool {
        let newer = snapshot.revision > self.revision;
        if newer {
            *self = snapshot;
        }
        newer
    }

    /// Returns the catalogue after `commands` at the next revision, without changing this one.
    ///
    /// # Errors
    ///
    /// Returns an error if a command is invalid.
    pub fn preview_commands(&self, commands: &[Command]) -> Result<Self, Error> {
        let mut next = self.clone();
        next.revision = self.revision.next();
        for command in commands {
            next.execute(command)?;
        }
        Ok(next)
    }

    fn apply_entry(&mut self, entry: &Entry) -> Result<(), Error> {
        for command in &entry.commands {
            self.execute(command)?;
        }
        self.recent_acceptances.push_back(Acceptance {
            identity: entry.identity,
            revision: self.revision,
        });
        if self.recent_acceptances.len() > MAX_RECENT_ACCEPTANCES {
            self.recent_acceptances.pop_front();
        }
        Ok(())
    }

    fn execute(&mut self, command: &Command) -> Result<(), Error> {
        match command {
            Command::CreateModel { model, kind } => self.create_model(model, kind.clone(), None),
            Command::CreateAdapter { model, base } => self.create_adapter(model, base),
            Command::CreateVersion {
                model,
                version,
                manifest,
                bytes,
                source,
                base,
            } => {
                let new_version = NewVersion {
                    name: version,
                    manifest: *manifest,
                    bytes: *bytes,
                    source,
                };
                self.create_version(model, new_version, base)
            }
            Command::SetAccount {
                account,
                key,
                rate,
                priority,
            } => {
                self.set_account(Account {
                    name: account.clone(),
                    key: *key,
                    rate: *rate,
                    priority: *priority,
                });
                Ok(())
            }
            Command::Serve {
                model,
                zone,
                replicas,
                accounts,
            } => self.serve(model, zone, *replicas, accounts),
            Command::RollOut {
                model,
                version,
                steps,
                replacing,
            } => self.roll_out(model, version, steps, *replacing),
            Command::Pause { model } => self.set_paused(model, true),
            Command::Resume { model } => self.set_paused(model, false),
            Command::GoBack { model } => self.go_back(model),
            Command::Drain { server } => self.set_withdrawal(server, Withdrawal::Drain),
            Command::Stop { server } => self.set_withdrawal(server, Withdrawal::Stop),
            Command::Undrain { server } => self.undrain(server),
            Command::Assign {
                engine,
                server,
                zone,
                model,
                version,
            } => {
                let version = self.base_version(model, version)?;
                let (server, zone) = (server.clone(), zone.clone());
                let assignment = Assignment {
                    version,
                    fence: self.revision,
                    server,
                    zone,
                };
                self.assignments.insert(engine.clone(), assignment);
                Ok(())
            }
            Command::Unassign { engine } => self.unassign(engine),
            Command::Advance {
                model,
                version,
                reached,
            } => self.advance(model, version, *reached),
            Command::DeleteVersion { model, version } => self.delete_version(model, version),
            Command::DeleteAccount { account } => self.delete_account(account),
        }
    }

    fn model_mut(&mut self, key: ModelKey) -> &mut Model {
        &mut self.models[key.0 as usize]
    }

    fn create_model(
        &mut self,
        name: &Name,
        kind: Name,
        base: Option<ModelKey>,
    ) -> Result<(), Error> {
        if self.model_key_by_name(name).is_ok() {
            return Err(Error::Exists(name.clone()));
        }
        self.models.push(Model {
            name: name.clone(),
            kind,
            base,
            live: Vec::new(),
            previous: None,
            rollout: None,
            contracts: Vec::new(),
        });
        Ok(())
    }

    fn create_adapter(&mut self, name: &Name, base: &Name) -> Result<(), Error> {
        let base_key = self.model_key_by_name(base)?;
        let base_model = self.model(base_key);
        if base_model.base.is_some() {
            return Err(Error::BaseIsAdapter(base.clone()));
        }
        let kind = base_model.kind.clone();
        self.create_model(name, kind, Some(base_key))
    }

    fn create_version(
        &mut self,
        model: &Name,
        new_version: NewVersion<'_>,
        base: &Option<Name>,
    ) -> Result<(), Error> {
        let key = self.model_key_by_name(model)?;
        if self.version_key_by_name(key, new_version.name).is_ok() {
            return Err(Error::Exists(new_version.name.clone()));
        }
        let base = match (self.model(key).base, base) {
            (None, None) => None,
            (None, Some(_)) => return Err(Error::BaseUnwanted(model.clone())),
            (Some(_), None) => return Err(Error::BaseMissing(model.clone())),
            (Some(base_model), Some(base)) => Some(self.version_key_by_name(base_model, base)?),
        };
        self.versions.push(Version {
            model: key,
            name: new_version.name.clone(),
            manifest: new_version.manifest,
            bytes: new_version.bytes,
            source: new_version.source.to_owned(),
            base,
            deleted: false,
        });
        Ok(())
    }

    fn set_account(&mut self, account: Account) {
        match self
            .accounts
            .iter_mut()
            .find(|existing| existing.name == account.name)
        {
            Some(existing) => *existing = account,
            None => self.accounts.push(account),
        }
    }

    fn serve(
        &mut self,
        model: &Name,
        zone: &Name,
        replicas: u32,
        accounts: &[Name],
    ) -> Result<(), Error> {
        let key = self.model_key_by_name(model)?;
        for account in accounts {
            if !self
                .accounts
                .iter()
                .any(|existing| existing.name == *account)
            {
                return Err(Error::UnknownAccount(account.clone()));
            }
        }
        let contracts = &mut self.model_mut(key).contracts;
        contracts.retain(|contract| contract.zone != *zone);
        if replicas > 0 {
            contracts.push(Contract {
                zone: zone.clone(),
                replicas,
                accounts: accounts.to_vec(),
            });
        }
        Ok(())
    }

    fn roll_out(
        &mut self,
        model: &Name,
        version: &Name,
        steps: &[u8],
        replacing: bool,
    ) -> Result<(), Error> {
        let key = self.model_key_by_name(model)?;
        let to = self.version_key_by_name(key, version)?;
        let steps = if steps.is_empty() {
            &DEFAULT_STEPS
        } else {
            steps
        };
        if !steps.is_sorted_by(|a, b| a < b) || steps[0] == 0 || steps.last() != Some(&100) {
            return Err(Error::Steps);
        }
        let current = self.model(key);
        if let Some(active) = current.rollout.as_ref().filter(|_| !replacing) {
            return Err(Error::RolloutActive {
                model: model.clone(),
                to: self.version(active.to).name.clone(),
                since: active.since,
            });
        }
        if current.live.contains(&to) && current.rollout.is_none() {
            return Err(Error::AlreadyLive {
                model: model.clone(),
                version: version.clone(),
            });
        }
        let steps = steps.to_vec();
        let since = self.revision;
        self.model_mut(key).rollout = Some(Rollout {
            to,
            steps,
            reached: 0,
            paused: false,
            since,
        });
        Ok(())
    }

    fn set_paused(&mut self, model: &Name, paused: bool) -> Result<(), Error> {
        let key = self.model_key_by_name(model)?;
        let rollout = self.model_mut(key).rollout.as_mut();
        let rollout = rollout.ok_or_else(|| Error::NoRollout(model.clone()))?;
        match (rollout.paused, paused) {
            (true, true) => return Err(Error::AlreadyPaused(model.clone())),
            (false, false) => return Err(Error::NotPaused(model.clone())),
            _ => rollout.paused = paused,
        }
        Ok(())
    }

    /// Rolls out the live version if a rollout is in progress, otherwise the previous version.
    fn go_back(&mut self, model: &Name) -> Result<(), Error> {
        let key = self.model_key_by_name(model)?;
        let current = self.model(key);
        let target = match &current.rollout {
            Some(rollout) => self.live_with_same_base(current, rollout.to),
            None => current.previous,
        };
        let replaces_rollout = current.rollout.is_some();
        let since = self.revision;
        let rollout = target.map(|to| Rollout {
            to,
            steps: DEFAULT_STEPS.to_vec(),
            reached: 0,
            paused: false,
            since,
        });
        if rollout.is_none() && !replaces_rollout {
            return Err(Error::NoEarlier(model.clone()));
        }
        self.model_mut(key).rollout = rollout;
        Ok(())
    }

    fn live_with_same_base(&self, model: &Model, version: VersionKey) -> Option<VersionKey> {
        let base = self.version(version).base;
        model
            .live
            .iter()
            .copied()
            .find(|live| self.version(*live).base == base)
    }

    fn set_withdrawal(&mut self, server: &Name, withdrawal: Withdrawal) -> Result<(), Error> {
        let current = self.withdrawals.get(server);
        if current == Some(&Withdrawal::Stop) && withdrawal == Withdrawal::Drain {
            return Err(Error::Stopping(server.clone()));
        }
        self.withdrawals.insert(server.clone(), withdrawal);
        Ok(())
    }

    fn undrain(&mut self, server: &Name) -> Result<(), Error> {
        match self.withdrawals.get(server) {
            None => Err(Error::NotDrained(server.clone())),
            Some(Withdrawal::Stop) => Err(Error::Stopping(server.clone())),
            Some(Withdrawal::Drain) => {
                self.withdrawals.remove(server);
                Ok(())
            }
        }
    }

    fn base_version(&self, model: &Name, version: &Name) -> Result<VersionKey, Error> {
        let key = self.model_key_by_name(model)?;
        if self.model(key).base.is_some() {
            return Err(Error::AdapterAssigned(model.clone()));
        }
        self.version_key_by_name(key, version)
    }

    fn unassign(&mut self, engine: &Name) -> Result<(), Error> {
        let assignment = self.assignments.remove(engine);
        assignment
            .map(|_| ())
            .ok_or_else(|| Error::NotAssigned(engine.clone()))
    }

    fn advance(&mut self, model: &Name, version: &Name, reached: u32) -> Result<(), Error> {
        let key = self.model_key_by_name(model)?;
        let to = self.version_key_by_name(key, version)?;
        let rollout = self.model_mut(key).rollout.as_mut();
        let rollout = rollout.ok_or_else(|| Error::NoRollout(model.clone()))?;
        if rollout.to != to || rollout.reached != reached {
            return Err(Error::StepMoved(model.clone()));
        }
        rollout.reached += 1;
        if rollout.reached as usize == rollout.steps.len() {
            self.complete_rollout(key, to);
        }
        Ok(())
    }

    fn complete_rollout(&mut self, key: ModelKey, to: VersionKey) {
        let replaced = self.live_with_same_base(self.model(key), to);
        let model = self.model_mut(key);
        model.rollout = None;
        if replaced == Some(to) {
            return;
        }
        model.live.retain(|live| Some(*live) != replaced);
        model.live.push(to);
        model.previous = replaced.or(model.previous);
    }

    fn delete_version(&mut self, model: &Name, version: &Name) -> Result<(), Error> {
        let key = self.model_key_by_name(model)?;
        let version_key = self.version_key_by_name(key, version)?;
        let current = self.model(key);
        let is_rolling_out = current
            .rollout
            .as_ref()
            .is_some_and(|rollout| rollout.to == version_key);
        let is_assigned = self
            .assignments
            .values()
            .any(|assignment| assignment.version == version_key);
        let is_base = self
            .versions()
            .any(|(_, other)| other.base == Some(version_key));
        if current.live.contains(&version_key) || is_rolling_out || is_assigned || is_base {
            return Err(Error::InUse(version.clone()));
        }
        let model = self.model_mut(key);
        model.previous = model.previous.filter(|previous| *previous != version_key);
        self.versions[version_key.0 as usize].deleted = true;
        Ok(())
    }

    fn delete_account(&mut self, account: &Name) -> Result<(), Error> {
        let permits_account = |contract: &Contract| contract.accounts.contains(account);
        if self
            .models
            .iter()
            .any(|model| model.contracts.iter().any(permits_account))
        {
            return Err(Error::InUse(account.clone()));
        }
        let previous_count = self.accounts.len();
        self.accounts.retain(|existing| existing.name != *account);
        if self.accounts.len() == previous_count {
            return Err(Error::UnknownAccount(account.clone()));
        }
        Ok(())
    }
}

/// Attributes of a version to create.
struct NewVersion<'a> {
    name: &'a Name,
    manifest: Digest,
    bytes: u64,
    source: &'a str,
}
