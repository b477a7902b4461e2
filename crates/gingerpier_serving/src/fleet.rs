//! Engines, who they are.
//!
//! An engine is known by its id and by when it started, never by its address alone. It may start again under its id: it
//! holds and knows nothing of before then, so it is another engine here, with a key of its own. An engine that ended may
//! stay listed for a while beside the one that took its address. Entries of services that nobody named, which anybody may
//! write, name no engine.

use {
    crate::{
        engine::Engine,
        mirror::Revision,
        region::Regions,
        report::{Born, Report},
    },
    gingerpier_base::Instant,
    std::{
        collections::{HashMap, HashSet},
        net::SocketAddr,
    },
};

/// Milliseconds for which an entry that tells of an earlier start counts as late word. An engine writes its entry about
/// every 1.2 s, so the one that is there has written several times by then.
const DOUBT_MILLIS: u64 = 10_000;

/// Key of an engine within its [`Fleet`]; keys are not reused.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct EngineKey(pub u32);

/// Whether an engine takes new work.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum State {
    /// It does.
    Ready,
    /// It is leaving.
    Draining,
}

/// What the platform lists of an engine.
#[derive(Debug, Clone, PartialEq)]
pub struct Record {
    /// Id of the engine; with when it started, that of an incarnation.
    pub id: String,
    /// Service.
    pub service: String,
    /// Address.
    pub address: SocketAddr,
    /// Zone.
    pub zone: String,
    /// Whether it takes new work.
    pub state: State,
    /// Requests that it runs at once.
    pub slots: u32,
    /// Milliseconds for which it is still cold; 0 where it is warm or does not tell.
    pub cold_millis: u64,
    /// What it held and did when it was listed.
    pub report: Report,
}

/// How an incarnation that is told of stands to the one that is known.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Told {
    /// It is the same, as far as can be told.
    Same,
    /// It started later: the known one has ended.
    Later,
    /// It started earlier: the word is late.
    Earlier,
}

impl Told {
    fn of(told: Option<Born>, known: Option<Born>) -> Self {
        match (told, known) {
            (Some(told), Some(known)) if told > known => Self::Later,
            (Some(told), Some(known)) if told < known => Self::Earlier,
            _ => Self::Same,
        }
    }
}

/// An entry of an incarnation that started earlier than the known one.
#[derive(Debug, Clone)]
struct Doubt {
    record: Record,
    revision: Revision,
    /// When it was first looked at.
    since: Option<Instant>,
}

/// All engines known.
#[derive(Debug, Clone, Default)]
pub struct Fleet {
    engines: Vec<Engine>,
    by_id: HashMap<String, EngineKey>,
    by_service: HashMap<String, Vec<EngineKey>>,
    /// Engines at each address: those that are listed, and the one that was listed last.
    by_address: HashMap<SocketAddr, Vec<EngineKey>>,
    /// Services that engines may be of; all where none are known.
    services: Option<HashSet<String>>,
    regions: Regions,
    /// Zones whose engines are to get no requests.
    evacuated: HashSet<String>,
    doubts: HashMap<String, Doubt>,
}

impl Fleet {
    /// Fleet of a deployment with these `regions`.
    pub fn of(regions: Regions) -> Self {
        Self {
            regions,
            ..Self::default()
        }
    }

    /// Takes whether the engines of `zone` are to get no requests. Those of a zone that is taken back may have turned cold.
    pub fn set_evacuated(&mut self, zone: &str, is_evacuated: bool, now: Instant) {
        let is_news = match is_evacuated {
            true => self.evacuated.insert(zone.to_owned()),
            false => self.evacuated.remove(zone),
        };
        if !is_news {
            return;
        }
        for engine in &mut self.engines {
            if engine.record.zone != zone {
                continue;
            }
            engine.is_evacuated = is_evacuated;
            if !is_evacuated {
                engine.warmth.note_doubt(now);
            }
        }
    }

    /// Region and evacuation of an engine's zone.
    fn place(&mut self, key: EngineKey) {
        let engine = &mut self.engines[key.0 as usize];
        engine.region = self.regions.of_zone(&engine.record.zone);
        engine.is_evacuated = self.evacuated.contains(&engine.record.zone);
    }

    /// Takes what the platform lists of an engine at `revision`.
    pub fn list(&mut self, record: Record, revision: Revision) -> EngineKey {
        let Some(key) = self.by_id.get(&record.id).copied() else {
            return self.add(record, revision);
        };
        let told = Told::of(record.report.born, self.engine(key).born);
        if told == Told::Earlier {
            let doubt = Doubt {
                record,
                revision,
                since: None,
            };
            self.doubts.insert(doubt.record.id.clone(), doubt);
            return key;
        }
        self.doubts.remove(&record.id);
        match told {
            Told::Later => self.replace(key, record, revision),
            Told::Same | Told::Earlier => self.relist(key, record, revision),
        }
    }

    fn relist(&mut self, key: EngineKey, record: Record, revision: Revision) -> EngineKey {
        let engine = &mut self.engines[key.0 as usize];
        // Leaving is a one-way state of an incarnation.
        let state = match engine.record.state {
            State::Draining => State::Draining,
            State::Ready => record.state,
        };
        let last = engine.record.address;
        engine.born = engine.born.or(record.report.born);
        engine.record = Record { state, ..record };
        engine.revision = revision;
        engine.lapses_at = None;
        self.place(key);
        let engine = &mut self.engines[key.0 as usize];
        let address = engine.record.address;
        if engine.is_gone {
            engine.is_gone = false;
            let service = engine.record.service.clone();
            self.by_service.entry(service).or_default().push(key);
        }
        if address != last
            && let Some(there) = self.by_address.get_mut(&last)
        {
            there.retain(|other| *other != key);
        }
        let here = self.by_address.entry(address).or_default();
        if !here.contains(&key) {
            here.push(key);
        }
        self.settle_address(address);
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
        self.place(key);
        self.settle_address(address);
        key
    }

    /// Puts another incarnation in the place of the one at `key`. It has a key of its own, so nothing that was learnt
    /// of the one before counts for it: not its load, its failures, what it held, or that it was leaving.
    fn replace(&mut self, key: EngineKey, record: Record, revision: Revision) -> EngineKey {
        self.remove(key);
        self.add(record, revision)
    }

    /// Engine at `address` that a word of the incarnation `born` is about; none where it has ended, or none is listed
    /// there. An incarnation that started later than the known one takes its place, as what it lists comes later.
    pub fn incarnation(&mut self, address: SocketAddr, born: Option<Born>) -> Option<EngineKey> {
        let key = self.at_address(address)?;
        match Told::of(born, self.engine(key).born) {
            Told::Earlier => None,
            Told::Same => {
                let engine = self.engine_mut(key);
                engine.born = engine.born.or(born);
                Some(key)
            }
            Told::Later => {
                let engine = self.engine(key);
                let revision = engine.revision;
                let record = Record {
                    state: State::Ready,
                    report: Report {
                        born,
                        ..Report::default()
                    },
                    ..engine.record.clone()
                };
                Some(self.replace(key, record, revision))
            }
        }
    }

    /// Takes incarnations for the true ones that are listed although they started earlier than those that were known,
    /// where these have said nothing for long: a clock may have been set back between two starts. Gives their ids.
    pub fn settle_doubts(&mut self, now: Instant) -> Vec<String> {
        let mut settled = Vec::new();
        let mut doubts = std::mem::take(&mut self.doubts);
        doubts.retain(|id, doubt| {
            let Some(key) = self.by_id.get(id).copied() else {
                return false;
            };
            if self.engine(key).fresh_report(now).is_some() {
                return false;
            }
            let since = *doubt.since.get_or_insert(now);
            if !since.after_millis(DOUBT_MILLIS).has_passed(now) {
                return true;
            }
            settled.push(id.clone());
            self.replace(key, doubt.record.clone(), doubt.revision);
            false
        });
        self.doubts = doubts;
        settled
    }

    /// Takes the names of services that engines may be of. Entries of others name no engine, whatever address they give.
    pub fn set_services(&mut self, names: impl Iterator<Item = String>) {
        let names: HashSet<String> = names.collect();
        if self.services.as_ref() == Some(&names) {
            return;
        }
        self.services = Some(names);
        let addresses: Vec<SocketAddr> = self.by_address.keys().copied().collect();
        for address in addresses {
            self.settle_address(address);
        }
    }

    /// Of the engines at one address, only the one that was listed last is there: an engine that
    /// ended stays listed for a while, and its address may be taken again meanwhile.
    fn settle_address(&mut self, address: SocketAddr) {
        let Some(here) = self.by_address.get_mut(&address) else {
            return;
        };
        let engines = &mut self.engines;
        let services = self.services.as_ref();
        let is_named = |engine: &Engine| {
            services.is_none_or(|services| services.contains(&engine.record.service))
        };
        let named = here.iter().copied();
        let named = named.filter(|key| is_named(&engines[key.0 as usize]));
        let last = named.max_by_key(|key| (engines[key.0 as usize].revision, *key));
        for key in here.iter() {
            engines[key.0 as usize].is_replaced = Some(*key) != last;
        }
        // The last one is remembered also when it has gone: those before it have ended all the same.
        here.retain(|key| Some(*key) == last || !engines[key.0 as usize].is_gone);
    }

    fn remove(&mut self, key: EngineKey) {
        let engine = &mut self.engines[key.0 as usize];
        engine.is_gone = true;
        engine.lapses_at = None;
        if let Some(keys) = self.by_service.get_mut(&engine.record.service) {
            keys.retain(|other| *other != key);
        }
    }

    /// Takes an engine off the list.
    pub fn unlist(&mut self, id: &str) -> Option<EngineKey> {
        let key = self.by_id.get(id).copied()?;
        self.doubts.remove(id);
        self.remove(key);
        Some(key)
    }

    /// Notes that an engine's entry is missing: unless it is back before `until`, it is gone. One that said
    /// that it leaves is gone at once.
    pub fn lapse(&mut self, id: &str, until: Instant) {
        let Some(key) = self.find(id) else { return };
        let engine = self.engine_mut(key);
        match engine.record.state {
            State::Ready => engine.lapses_at = Some(until),
            State::Draining => {
                self.unlist(id);
            }
        }
    }

    /// Takes engines off whose entries are still missing; gives them.
    pub fn expire(&mut self, now: Instant) -> Vec<EngineKey> {
        let is_over = |engine: &Engine| engine.lapses_at.is_some_and(|at| at.has_passed(now));
        let over = self.listed().filter(|(_, engine)| is_over(engine));
        let over: Vec<EngineKey> = over.map(|(key, _)| key).collect();
        for key in &over {
            let id = self.engine(*key).record.id.clone();
            self.unlist(&id);
        }
        over
    }

    /// Key of the engine with `id`.
    pub fn find(&self, id: &str) -> Option<EngineKey> {
        self.by_id.get(id).copied()
    }

    /// An engine.
    pub fn engine(&self, key: EngineKey) -> &Engine {
        &self.engines[key.0 as usize]
    }

    /// An engine, to be changed.
    pub fn engine_mut(&mut self, key: EngineKey) -> &mut Engine {
        &mut self.engines[key.0 as usize]
    }

    /// Engines of `service` that are listed.
    pub fn of_service<'a>(
        &'a self,
        service: &str,
    ) -> impl Iterator<Item = (EngineKey, &'a Engine)> + use<'a> {
        let keys = self.by_service.get(service).map_or(&[][..], Vec::as_slice);
        keys.iter().map(|key| (*key, self.engine(*key)))
    }

    /// Those of them that are there: an engine that ended may stay listed beside the one that took its address.
    pub fn present<'a>(
        &'a self,
        service: &str,
    ) -> impl Iterator<Item = (EngineKey, &'a Engine)> + use<'a> {
        self.of_service(service)
            .filter(|(_, engine)| !engine.is_replaced)
    }

    /// All engines that are listed.
    pub fn listed(&self) -> impl Iterator<Item = (EngineKey, &Engine)> {
        let all = self.engines.iter().enumerate();
        all.filter(|(_, engine)| !engine.is_gone)
            .map(|(index, engine)| (EngineKey(index as u32), engine))
    }

    /// All engines that were ever known.
    pub fn known(&self) -> impl Iterator<Item = &Engine> {
        self.engines.iter()
    }

    /// The listed engine at `address`; the one that was listed last, where an address was reused.
    pub fn at_address(&self, address: SocketAddr) -> Option<EngineKey> {
        let mut here = self.by_address.get(&address)?.iter().copied();
        let key = here.find(|key| !self.engine(*key).is_replaced)?;
        (!self.engine(key).is_gone).then_some(key)
    }
}
