//! The catalogue and the rules by which commands change it.
//!
//! Every rule is deterministic: it looks at the catalogue and the command, never at a clock, a
//! random number or the process it runs in.

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

/// Identities of accepted requests that are remembered, so that a repeat is recognised.
pub const REMEMBERED: usize = 1_024;

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
    remembered: VecDeque<Acceptance>,
}

/// A request that was accepted.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Encode, Decode)]
#[cbor(map)]
pub struct Acceptance {
    /// Identity of the request.
    #[n(0)]
    pub identity: Identity,
    /// Revision that it made.
    #[n(1)]
    pub revision: Revision,
}

/// Rollout steps where an operator gives none.
const DEFAULT_STEPS: [u8; 1] = [100];

/// Reading.
impl Catalogue {
    /// Revision in force.
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

    /// Model of `key`.
    ///
    /// # Panics
    ///
    /// Where `key` is not of this catalogue or an earlier revision of it.
    pub fn model(&self, key: ModelKey) -> &Model {
        &self.models[key.0 as usize]
    }

    /// Model called `name`.
    ///
    /// # Errors
    ///
    /// Where there is none.
    pub fn model_named(&self, name: &Name) -> Result<ModelKey, Error> {
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

    /// Version of `key`.
    ///
    /// # Panics
    ///
    /// Where `key` is not of this catalogue or an earlier revision of it.
    pub fn version(&self, key: VersionKey) -> &Version {
        &self.versions[key.0 as usize]
    }

    /// Version of `model` called `name`.
    ///
    /// # Errors
    ///
    /// Where the model has none of that name.
    pub fn version_named(&self, model: ModelKey, name: &Name) -> Result<VersionKey, Error> {
        let found = self
            .versions()
            .find(|(_, version)| version.model == model && version.name == *name);
        let unknown = || Error::UnknownVersion {
            model: self.model(model).name.clone(),
            version: name.clone(),
        };
        found.map(|(key, _)| key).ok_or_else(unknown)
    }

    /// Version whose manifest has `digest`.
    pub fn version_of_digest(&self, digest: Digest) -> Option<VersionKey> {
        self.versions()
            .find(|(_, version)| version.manifest == digest)
            .map(|(key, _)| key)
    }

    /// `model@version`, for people.
    pub fn label(&self, key: VersionKey) -> String {
        let version = self.version(key);
        format!("{}@{}", self.model(version.model).name, version.name)
    }

    /// Client accounts.
    pub fn accounts(&self) -> &[Account] {
        &self.accounts
    }

    /// Account whose callers send a token of `digest`.
    pub fn account_of_key(&self, digest: Digest) -> Option<&Account> {
        self.accounts.iter().find(|account| account.key == digest)
    }

    /// Assignments by engine.
    pub const fn assignments(&self) -> &BTreeMap<Name, Assignment> {
        &self.assignments
    }

    /// Operators' word on `server`.
    pub fn withdrawal(&self, server: &Name) -> Option<Withdrawal> {
        self.withdrawals.get(server).copied()
    }

    /// Backend servers that operators have withdrawn.
    pub const fn withdrawals(&self) -> &BTreeMap<Name, Withdrawal> {
        &self.withdrawals
    }

    /// Revision at which the request of `identity` was accepted, among the last [`REMEMBERED`].
    pub fn accepted(&self, identity: Identity) -> Option<Revision> {
        let found = self
            .remembered
            .iter()
            .rev()
            .find(|accepted| accepted.identity == identity);
        found.map(|accepted| accepted.revision)
    }

    /// Versions of `model` that may take traffic.
    pub fn open_versions(&self, model: ModelKey) -> impl Iterator<Item = VersionKey> {
        let model = self.model(model);
        let rolled = model
            .rollout
            .iter()
            .filter(|rollout| rollout.takes_traffic());
        let to = rolled
            .map(|rollout| rollout.to)
            .filter(|to| !model.live.contains(to));
        model.live.iter().copied().chain(to)
    }

    /// Adapter versions that an engine holding base version `base` in `zone` is to hold too.
    pub fn adapters_on(&self, base: VersionKey, zone: &Name) -> Vec<VersionKey> {
        let base_model = self.version(base).model;
        let served = |model: &&Model| {
            model.base == Some(base_model)
                && model
                    .contracts
                    .iter()
                    .any(|contract| contract.zone == *zone)
        };
        let mut held = Vec::new();
        for model in self.models.iter().filter(served) {
            let rolled = model.rollout.iter().map(|rollout| rollout.to);
            for version in model.live.iter().copied().chain(rolled) {
                if self.version(version).base == Some(base) && !held.contains(&version) {
                    held.push(version);
                }
            }
        }
        held
    }

    /// Assignments of the engines that are to hold a version: an adapter's are those of its base
    /// in the zones where the adapter is served.
    pub fn holders(&self, version: VersionKey) -> impl Iterator<Item = &Assignment> {
        let held = self.version(version);
        let base = held.base.unwrap_or(version);
        let contracts = &self.model(held.model).contracts;
        let anywhere = held.base.is_none();
        self.assignments.values().filter(move |assignment| {
            let served = contracts
                .iter()
                .any(|contract| contract.zone == assignment.zone);
            assignment.version == base && (anywhere || served)
        })
    }

    /// The catalogue as bytes: the snapshot kept in the key-value service and sent to peers.
    ///
    /// # Panics
    ///
    /// Never: writing to memory can't fail.
    pub fn to_snapshot(&self) -> Vec<u8> {
        minicbor::to_vec(self).unwrap_or_else(|error| unreachable!("writing to memory: {error}"))
    }

    /// Catalogue from the bytes of a snapshot.
    ///
    /// # Errors
    ///
    /// Where the bytes are no snapshot.
    pub fn from_snapshot(bytes: &[u8]) -> Result<Self, Error> {
        minicbor::decode(bytes).map_err(|error| Error::Unreadable(error.to_string()))
    }
}

/// Changing.
impl Catalogue {
    /// Applies the record that follows.
    ///
    /// # Errors
    ///
    /// Where the record does not follow, or one of its commands is refused; the catalogue is
    /// then as it was.
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
            next.take(entry)?;
        }
        *self = next;
        Ok(())
    }

    /// Takes a snapshot in place of what is held, where the snapshot is newer; true if taken.
    pub fn advance_to(&mut self, snapshot: Self) -> bool {
        let newer = snapshot.revision > self.revision;
        if newer {
            *self = snapshot;
        }
        newer
    }

    /// Checks what `commands` would do at the revision that follows, without doing it.
    ///
    /// # Errors
    ///
    /// Where one of them is refused.
    pub fn try_commands(&self, commands: &[Command]) -> Result<Self, Error> {
        let mut next = self.clone();
        next.revision = self.revision.next();
        for command in commands {
            next.execute(command)?;
        }
        Ok(next)
    }

    fn take(&mut self, entry: &Entry) -> Result<(), Error> {
        for command in &entry.commands {
            self.execute(command)?;
        }
        self.remembered.push_back(Acceptance {
            identity: entry.identity,
            revision: self.revision,
        });
        if self.remembered.len() > REMEMBERED {
            self.remembered.pop_front();
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
                let made = NewVersion {
                    name: version,
                    manifest: *manifest,
                    bytes: *bytes,
                    source,
                };
                self.create_version(model, made, base)
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
            Command::Drain { server } => self.withdraw(server, Withdrawal::Drain),
            Command::Stop { server } => self.withdraw(server, Withdrawal::Stop),
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
        if self.model_named(name).is_ok() {
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
        let base_key = self.model_named(base)?;
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
        made: NewVersion<'_>,
        base: &Option<Name>,
    ) -> Result<(), Error> {
        let key = self.model_named(model)?;
        if self.version_named(key, made.name).is_ok() {
            return Err(Error::Exists(made.name.clone()));
        }
        let base = match (self.model(key).base, base) {
            (None, None) => None,
            (None, Some(_)) => return Err(Error::BaseUnwanted(model.clone())),
            (Some(_), None) => return Err(Error::BaseMissing(model.clone())),
            (Some(base_model), Some(base)) => Some(self.version_named(base_model, base)?),
        };
        self.versions.push(Version {
            model: key,
            name: made.name.clone(),
            manifest: made.manifest,
            bytes: made.bytes,
            source: made.source.to_owned(),
            base,
            deleted: false,
        });
        Ok(())
    }

    fn set_account(&mut self, account: Account) {
        match self
            .accounts
            .iter_mut()
            .find(|held| held.name == account.name)
        {
            Some(held) => *held = account,
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
        let key = self.model_named(model)?;
        for account in accounts {
            if !self.accounts.iter().any(|held| held.name == *account) {
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
        let key = self.model_named(model)?;
        let to = self.version_named(key, version)?;
        let steps = if steps.is_empty() {
            &DEFAULT_STEPS
        } else {
            steps
        };
        if !steps.is_sorted_by(|a, b| a < b) || steps[0] == 0 || steps.last() != Some(&100) {
            return Err(Error::Steps);
        }
        let held = self.model(key);
        if let Some(active) = held.rollout.as_ref().filter(|_| !replacing) {
            return Err(Error::RolloutActive {
                model: model.clone(),
                to: self.version(active.to).name.clone(),
                since: active.since,
            });
        }
        if held.live.contains(&to) && held.rollout.is_none() {
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
        let key = self.model_named(model)?;
        let rollout = self.model_mut(key).rollout.as_mut();
        let rollout = rollout.ok_or_else(|| Error::NoRollout(model.clone()))?;
        match (rollout.paused, paused) {
            (true, true) => return Err(Error::AlreadyPaused(model.clone())),
            (false, false) => return Err(Error::NotPaused(model.clone())),
            _ => rollout.paused = paused,
        }
        Ok(())
    }

    /// With a rollout under way, the live version is rolled out again in one step; without one,
    /// the version that was live before.
    fn go_back(&mut self, model: &Name) -> Result<(), Error> {
        let key = self.model_named(model)?;
        let held = self.model(key);
        let back_to = match &held.rollout {
            Some(rollout) => self.live_beside(held, rollout.to),
            None => held.previous,
        };
        let abandons = held.rollout.is_some();
        let since = self.revision;
        let rollout = back_to.map(|to| Rollout {
            to,
            steps: DEFAULT_STEPS.to_vec(),
            reached: 0,
            paused: false,
            since,
        });
        if rollout.is_none() && !abandons {
            return Err(Error::NoEarlier(model.clone()));
        }
        self.model_mut(key).rollout = rollout;
        Ok(())
    }

    fn live_beside(&self, model: &Model, version: VersionKey) -> Option<VersionKey> {
        let base = self.version(version).base;
        model
            .live
            .iter()
            .copied()
            .find(|live| self.version(*live).base == base)
    }

    fn withdraw(&mut self, server: &Name, withdrawal: Withdrawal) -> Result<(), Error> {
        let held = self.withdrawals.get(server);
        if held == Some(&Withdrawal::Stop) && withdrawal == Withdrawal::Drain {
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
        let key = self.model_named(model)?;
        if self.model(key).base.is_some() {
            return Err(Error::AdapterAssigned(model.clone()));
        }
        self.version_named(key, version)
    }

    fn unassign(&mut self, engine: &Name) -> Result<(), Error> {
        let removed = self.assignments.remove(engine);
        removed
            .map(|_| ())
            .ok_or_else(|| Error::NotAssigned(engine.clone()))
    }

    fn advance(&mut self, model: &Name, version: &Name, reached: u32) -> Result<(), Error> {
        let key = self.model_named(model)?;
        let to = self.version_named(key, version)?;
        let rollout = self.model_mut(key).rollout.as_mut();
        let rollout = rollout.ok_or_else(|| Error::NoRollout(model.clone()))?;
        if rollout.to != to || rollout.reached != reached {
            return Err(Error::StepMoved(model.clone()));
        }
        rollout.reached += 1;
        if rollout.reached as usize == rollout.steps.len() {
            self.complete(key, to);
        }
        Ok(())
    }

    fn complete(&mut self, key: ModelKey, to: VersionKey) {
        let replaced = self.live_beside(self.model(key), to);
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
        let key = self.model_named(model)?;
        let version_key = self.version_named(key, version)?;
        let held = self.model(key);
        let rolled = held
            .rollout
            .as_ref()
            .is_some_and(|rollout| rollout.to == version_key);
        let assigned = self
            .assignments
            .values()
            .any(|held| held.version == version_key);
        let based = self
            .versions()
            .any(|(_, other)| other.base == Some(version_key));
        if held.live.contains(&version_key) || rolled || assigned || based {
            return Err(Error::InUse(version.clone()));
        }
        let held = self.model_mut(key);
        held.previous = held.previous.filter(|previous| *previous != version_key);
        self.versions[version_key.0 as usize].deleted = true;
        Ok(())
    }

    fn delete_account(&mut self, account: &Name) -> Result<(), Error> {
        let named = |contract: &Contract| contract.accounts.contains(account);
        if self
            .models
            .iter()
            .any(|model| model.contracts.iter().any(named))
        {
            return Err(Error::InUse(account.clone()));
        }
        let before = self.accounts.len();
        self.accounts.retain(|held| held.name != *account);
        if self.accounts.len() == before {
            return Err(Error::UnknownAccount(account.clone()));
        }
        Ok(())
    }
}

/// What an operator says of a new version.
struct NewVersion<'a> {
    name: &'a Name,
    manifest: Digest,
    bytes: u64,
    source: &'a str,
}
