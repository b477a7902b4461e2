//! Registry of the known engines.
//!
//! An engine is identified by its id and start time. A restarted engine has the same id but none of
//! the former state, so it is a new incarnation with its own key. The entry of a stopped engine may
//! remain in the store next to that of a new engine at the same address. Anyone can write entries,
//! so those of services that aren't configured are ignored.

use {
    crate::{
        engine::Engine,
        mirror::Revision,
        region::{RegionSet, Regions},
        report::{Born, Report},
    },
    gingerpier_base::Instant,
    std::{
        collections::{HashMap, HashSet},
        net::SocketAddr,
    },
};

/// Time after which an entry with an earlier start time is accepted instead of regarded as stale;
/// several times the interval at which engines write their entries. An engine writes its entry
/// about every 1.2 s.
const CONTESTED_MILLIS: u64 = 10_000;

/// Time for which an evacuation that a restored store lacks stays in force; longer than for engines,
/// as operators have no heartbeat that writes it again.
const EVACUATION_REWRITE_MILLIS: u64 = 10_000;

/// Key of an engine incarnation within its [`Fleet`]; never reused.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct EngineKey(pub u32);

/// Lifecycle state in an entry.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum State {
    /// Accepts new requests.
    Ready,
    /// Accepts no new requests and stops when the running ones are complete.
    Draining,
}

/// Entry of an engine in the store.
#[derive(Debug, Clone, PartialEq)]
pub struct Record {
    /// Engine id; all incarnations share it.
    pub id: String,
    /// Service name.
    pub service: String,
    /// Address for requests.
    pub address: SocketAddr,
    /// Availability zone.
    pub zone: String,
    /// Lifecycle state.
    pub state: State,
    /// Number of requests that run concurrently.
    pub slots: u32,
    /// Remaining warm-up time; 0 if warm or not reported.
    pub cold_millis: u64,
    /// Status report within the entry.
    pub report: Report,
}

/// Order of two incarnations of an engine by their start time.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum StartComparison {
    /// Same incarnation, or a start time is unknown.
    Same,
    /// Later than the known incarnation, which has therefore ended.
    Later,
    /// Earlier than the known incarnation: a stale message.
    Earlier,
}

impl StartComparison {
    fn compare(reported: Option<Born>, known: Option<Born>) -> Self {
        match (reported, known) {
            (Some(reported), Some(known)) if reported > known => Self::Later,
            (Some(reported), Some(known)) if reported < known => Self::Earlier,
            _ => Self::Same,
        }
    }
}

/// Entry with an earlier start time than the known incarnation.
#[derive(Debug, Clone)]
struct ContestedEntry {
    record: Record,
    revision: Revision,
    /// Time of the first check.
    first_checked_at: Option<Instant>,
}

/// All engines that were ever listed, with indexes over the current ones.
#[derive(Debug, Clone, Default)]
pub struct Fleet {
    engines: Vec<Engine>,
    by_id: HashMap<String, EngineKey>,
    by_service: HashMap<String, Vec<EngineKey>>,
    /// Listed engines at each address, and the latest one even if it isn't listed anymore.
    by_address: HashMap<SocketAddr, Vec<EngineKey>>,
    /// Configured services; `None` accepts all.
    services: Option<HashSet<String>>,
    regions: Regions,
    /// Zones whose engines get no requests.
    evacuated: HashSet<String>,
    /// Evacuated zones whose entry is missing, and when their evacuation ends.
    missing_evacuations: HashMap<String, Instant>,
    contested: HashMap<String, ContestedEntry>,
}

impl Fleet {
    /// Creates an empty registry with the regions of a deployment.
    pub fn with_regions(regions: Regions) -> Self {
        Self {
            regions,
            ..Self::default()
        }
    }

    /// Sets whether `zone` is evacuated; returns true if it was not before. Engines of a zone that
    /// becomes available again may be cold.
    pub fn set_evacuated(&mut self, zone: &str, is_evacuated: bool, now: Instant) -> bool {
        self.missing_evacuations.remove(zone);
        let is_changed = match is_evacuated {
            true => self.evacuated.insert(zone.to_owned()),
            false => self.evacuated.remove(zone),
        };
        if !is_changed {
            return false;
        }
        for engine in &mut self.engines {
            if engine.record.zone != zone {
                continue;
            }
            engine.is_evacuated = is_evacuated;
            if !is_evacuated {
                engine.warmup.record_possible_cooling(now);
            }
        }
        true
    }

    /// Marks the entry of an evacuated zone as missing in a restored store: the evacuation ends unless
    /// operators write it again in time.
    pub fn mark_evacuation_missing(&mut self, zone: &str, now: Instant) {
        if self.evacuated.contains(zone) {
            let until = now.after_millis(EVACUATION_REWRITE_MILLIS);
            self.missing_evacuations.insert(zone.to_owned(), until);
        }
    }

    /// Ends the evacuations whose entries were not written again in time, and returns their zones.
    pub fn end_missing_evacuations(&mut self, now: Instant) -> Vec<String> {
        let missing = self.missing_evacuations.iter();
        let ended = missing.filter(|(_, until)| until.has_passed(now));
        let ended: Vec<String> = ended.map(|(zone, _)| zone.clone()).collect();
        for zone in &ended {
            self.set_evacuated(zone, false, now);
        }
        ended
    }

    /// Updates an engine's region and evacuation state from its zone.
    fn update_location(&mut self, key: EngineKey) {
        let engine = &mut self.engines[key.0 as usize];
        engine.region = self.regions.of_zone(&engine.record.zone);
        engine.is_evacuated = self.evacuated.contains(&engine.record.zone);
    }

    /// Adds or updates an engine from its entry at a store revision.
    pub fn list(&mut self, record: Record, revision: Revision) -> EngineKey {
        let Some(key) = self.by_id.get(&record.id).copied() else {
            return self.add(record, revision);
        };
        let comparison =
            StartComparison::compare(record.report.start_time, self.engine(key).start_time);
        if comparison == StartComparison::Earlier {
            let entry = ContestedEntry {
                record,
                revision,
                first_checked_at: None,
            };
            self.contested.insert(entry.record.id.clone(), entry);
            return key;
        }
        self.contested.remove(&record.id);
        match comparison {
            StartComparison::Later => self.replace(key, record, revision),
            StartComparison::Same | StartComparison::Earlier => self.relist(key, record, revision),
        }
    }

    fn relist(&mut self, key: EngineKey, record: Record, revision: Revision) -> EngineKey {
        let engine = &mut self.engines[key.0 as usize];
        // An incarnation never returns from draining to ready.
        let state = match engine.record.state {
            State::Draining => State::Draining,
            State::Ready => record.state,
        };
        let former_address = engine.record.address;
        engine.start_time = engine.start_time.or(record.report.start_time);
        engine.record = Record { state, ..record };
        engine.revision = revision;
        engine.expires_at = None;
        self.update_location(key);
        let engine = &mut self.engines[key.0 as usize];
        let address = engine.record.address;
        if engine.is_removed {
            engine.is_removed = false;
            let service = engine.record.service.clone();
            self.by_service.entry(service).or_default().push(key);
        }
        if address != former_address
            && let Some(former_keys) = self.by_address.get_mut(&former_address)
        {
            former_keys.retain(|other| *other != key);
        }
        let address_keys = self.by_address.entry(address).or_default();
        if !address_keys.contains(&key) {
            address_keys.push(key);
        }
        self.update_replaced(address);
        key
    }

    fn add(&mut self, record: Record, revision: Revision) -> EngineKey {
        let key = EngineKey(self.engines.len() as u32);
        let address = record.address;
        self.by_id.insert(record.id.clone(), key);
        let service = record.service.clone();
        self.by_service.entry(service).or_default().push(key);
        self.by_address.entry(address).or_default().push(key);
        self.engines.push(Engine::new(record, revision));
        self.update_location(key);
        self.update_replaced(address);
        key
    }

    /// Replaces an incarnation by a later one with a new key, so that no load, failures or weights
    /// carry over.
    fn replace(&mut self, key: EngineKey, record: Record, revision: Revision) -> EngineKey {
        self.remove(key);
        self.add(record, revision)
    }

    /// Returns the incarnation at `address` that a message with this start time belongs to; `None`
    /// if it has ended or isn't listed. A later incarnation replaces the known one even before its
    /// entry arrives.
    pub fn resolve_incarnation(
        &mut self,
        address: SocketAddr,
        start_time: Option<Born>,
    ) -> Option<EngineKey> {
        let key = self.at_address(address)?;
        match StartComparison::compare(start_time, self.engine(key).start_time) {
            StartComparison::Earlier => None,
            StartComparison::Same => {
                let engine = self.engine_mut(key);
                engine.start_time = engine.start_time.or(start_time);
                Some(key)
            }
            StartComparison::Later => {
                let engine = self.engine(key);
                let revision = engine.revision;
                let record = Record {
                    state: State::Ready,
                    report: Report {
                        start_time,
                        ..Report::default()
                    },
                    ..engine.record.clone()
                };
                Some(self.replace(key, record, revision))
            }
        }
    }

    /// Accepts entries with an earlier start time whose known incarnation no longer reports, as the
    /// engine's clock may have been set back. Returns the ids of these engines.
    pub fn accept_contested(&mut self, now: Instant) -> Vec<String> {
        let mut accepted = Vec::new();
        let mut contested = std::mem::take(&mut self.contested);
        contested.retain(|id, entry| {
            let Some(key) = self.by_id.get(id).copied() else {
                return false;
            };
            if self.engine(key).fresh_report(now).is_some() {
                return false;
            }
            let first_checked_at = *entry.first_checked_at.get_or_insert(now);
            if !first_checked_at
                .after_millis(CONTESTED_MILLIS)
                .has_passed(now)
            {
                return true;
            }
            accepted.push(id.clone());
            self.replace(key, entry.record.clone(), entry.revision);
            false
        });
        self.contested = contested;
        accepted
    }

    /// Sets the configured services. Engines of other services don't replace those at the same
    /// address.
    pub fn set_services(&mut self, names: impl Iterator<Item = String>) {
        let names: HashSet<String> = names.collect();
        if self.services.as_ref() == Some(&names) {
            return;
        }
        self.services = Some(names);
        let addresses: Vec<SocketAddr> = self.by_address.keys().copied().collect();
        for address in addresses {
            self.update_replaced(address);
        }
    }

    /// Marks all engines at `address` but the most recently listed one as replaced.
    fn update_replaced(&mut self, address: SocketAddr) {
        let Some(address_keys) = self.by_address.get_mut(&address) else {
            return;
        };
        let engines = &mut self.engines;
        let services = self.services.as_ref();
        let is_configured = |engine: &Engine| {
            services.is_none_or(|services| services.contains(&engine.record.service))
        };
        let configured = address_keys.iter().copied();
        let configured = configured.filter(|key| is_configured(&engines[key.0 as usize]));
        let latest = configured.max_by_key(|key| (engines[key.0 as usize].revision, *key));
        for key in address_keys.iter() {
            engines[key.0 as usize].is_replaced = Some(*key) != latest;
        }
        // The latest engine is kept even if it isn't listed anymore, so that earlier ones stay
        // replaced.
        address_keys.retain(|key| Some(*key) == latest || !engines[key.0 as usize].is_removed);
    }

    fn remove(&mut self, key: EngineKey) {
        let engine = &mut self.engines[key.0 as usize];
        engine.is_removed = true;
        engine.expires_at = None;
        if let Some(keys) = self.by_service.get_mut(&engine.record.service) {
            keys.retain(|other| *other != key);
        }
    }

    /// Removes an engine from the listed ones.
    pub fn unlist(&mut self, id: &str) -> Option<EngineKey> {
        let key = self.by_id.get(id).copied()?;
        self.contested.remove(id);
        self.remove(key);
        Some(key)
    }

    /// Marks an entry as missing: a ready engine is removed at `until` unless its entry returns, a
    /// draining one immediately.
    pub fn mark_missing(&mut self, id: &str, until: Instant) {
        let Some(key) = self.find(id) else { return };
        let engine = self.engine_mut(key);
        match engine.is_draining() {
            false => engine.expires_at = Some(until),
            true => {
                self.unlist(id);
            }
        }
    }

    /// Removes the engines whose missing entries have expired, and returns them.
    pub fn remove_expired(&mut self, now: Instant) -> Vec<EngineKey> {
        let is_expired = |engine: &Engine| engine.expires_at.is_some_and(|at| at.has_passed(now));
        let expired = self.listed().filter(|(_, engine)| is_expired(engine));
        let expired: Vec<EngineKey> = expired.map(|(key, _)| key).collect();
        for key in &expired {
            let id = self.engine(*key).record.id.clone();
            self.unlist(&id);
        }
        expired
    }

    /// Key of the current incarnation of an engine.
    pub fn find(&self, id: &str) -> Option<EngineKey> {
        self.by_id.get(id).copied()
    }

    /// Engine with this key.
    pub fn engine(&self, key: EngineKey) -> &Engine {
        &self.engines[key.0 as usize]
    }

    /// Mutable reference to the engine with this key.
    pub fn engine_mut(&mut self, key: EngineKey) -> &mut Engine {
        &mut self.engines[key.0 as usize]
    }

    /// Listed engines of a service, including replaced ones.
    pub fn of_service<'a>(
        &'a self,
        service: &str,
    ) -> impl Iterator<Item = (EngineKey, &'a Engine)> + use<'a> {
        let keys = self.by_service.get(service).map_or(&[][..], Vec::as_slice);
        keys.iter().map(|key| (*key, self.engine(*key)))
    }

    /// Listed engines of a service that aren't replaced by a newer one at the same address.
    pub fn current_of_service<'a>(
        &'a self,
        service: &str,
    ) -> impl Iterator<Item = (EngineKey, &'a Engine)> + use<'a> {
        self.of_service(service)
            .filter(|(_, engine)| !engine.is_replaced)
    }

    /// Earliest time from which an engine of a service accepts a request of this gateway again
    /// after it has signalled otherwise; `None` if no engine has.
    pub fn opens_at(&self, service: &str, regions: RegionSet, now: Instant) -> Option<Instant> {
        let may_open = |engine: &Engine| {
            regions.contains(engine.region) && !engine.is_draining() && !engine.is_evacuated
        };
        self.current_of_service(service)
            .filter(|(_, engine)| may_open(engine))
            .filter_map(|(_, engine)| engine.signals.opens_at(now))
            .min()
    }

    /// All listed engines.
    pub fn listed(&self) -> impl Iterator<Item = (EngineKey, &Engine)> {
        let all = self.engines.iter().enumerate();
        all.filter(|(_, engine)| !engine.is_removed)
            .map(|(index, engine)| (EngineKey(index as u32), engine))
    }

    /// All engines, including removed ones.
    pub fn all_engines(&self) -> impl Iterator<Item = &Engine> {
        self.engines.iter()
    }

    /// Listed engine at `address` that isn't replaced.
    pub fn at_address(&self, address: SocketAddr) -> Option<EngineKey> {
        let mut address_keys = self.by_address.get(&address)?.iter().copied();
        let key = address_keys.find(|key| !self.engine(*key).is_replaced)?;
        (!self.engine(key).is_removed).then_some(key)
    }
}
