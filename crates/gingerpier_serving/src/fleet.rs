//! Engines, who they are.
//!
//! An engine is known by the id of its incarnation, never by its address. An engine that ended may
//! stay listed for a while beside the one that took its address.

use {
    crate::{engine::Engine, mirror::Revision, report::Report},
    gingerpier_base::Instant,
    std::{collections::HashMap, net::SocketAddr},
};

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
    /// Id of this incarnation.
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
    /// What it held and did when it was listed.
    pub report: Report,
}

/// All engines known.
#[derive(Debug, Clone, Default)]
pub struct Fleet {
    engines: Vec<Engine>,
    by_id: HashMap<String, EngineKey>,
    by_service: HashMap<String, Vec<EngineKey>>,
    /// Engine that was listed last at each address.
    by_address: HashMap<SocketAddr, EngineKey>,
}

impl Fleet {
    /// Takes what the platform lists of an engine at `revision`.
    pub fn list(&mut self, record: Record, revision: Revision) -> EngineKey {
        let key = match self.by_id.get(&record.id).copied() {
            Some(key) => self.relist(key, record, revision),
            None => self.add(record, revision),
        };
        self.settle_address(key);
        key
    }

    fn relist(&mut self, key: EngineKey, record: Record, revision: Revision) -> EngineKey {
        let engine = &mut self.engines[key.0 as usize];
        // Leaving is a one-way state.
        let state = match engine.record.state {
            State::Draining => State::Draining,
            State::Ready => record.state,
        };
        engine.record = Record { state, ..record };
        engine.revision = revision;
        engine.lapses_at = None;
        if engine.is_gone {
            engine.is_gone = false;
            let service = engine.record.service.clone();
            self.by_service.entry(service).or_default().push(key);
        }
        key
    }

    fn add(&mut self, record: Record, revision: Revision) -> EngineKey {
        let key = EngineKey(self.engines.len() as u32);
        self.by_id.insert(record.id.clone(), key);
        let service = record.service.clone();
        self.by_service.entry(service).or_default().push(key);
        self.engines.push(Engine::new(record, revision));
        key
    }

    /// Of the engines at one address, only the one that was listed last is there: an engine that
    /// ended stays listed for a while, and its address may be taken again meanwhile.
    fn settle_address(&mut self, key: EngineKey) {
        let address = self.engine(key).record.address;
        let holder = self.by_address.get(&address).copied().unwrap_or(key);
        let is_newer = self.engine(key).revision >= self.engine(holder).revision;
        let (newer, older) = if is_newer {
            (key, holder)
        } else {
            (holder, key)
        };
        self.engine_mut(older).is_replaced = true;
        self.engine_mut(newer).is_replaced = false;
        self.by_address.insert(address, newer);
    }

    /// Takes an engine off the list.
    pub fn unlist(&mut self, id: &str) -> Option<EngineKey> {
        let key = self.by_id.get(id).copied()?;
        let engine = &mut self.engines[key.0 as usize];
        engine.is_gone = true;
        engine.lapses_at = None;
        if let Some(keys) = self.by_service.get_mut(&engine.record.service) {
            keys.retain(|other| *other != key);
        }
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

    /// All engines that are listed.
    pub fn listed(&self) -> impl Iterator<Item = (EngineKey, &Engine)> {
        let all = self.engines.iter().enumerate();
        all.filter(|(_, engine)| !engine.is_gone)
            .map(|(index, engine)| (EngineKey(index as u32), engine))
    }

    /// The listed engine at `address`; the one that was listed last, where an address was reused.
    pub fn at_address(&self, address: SocketAddr) -> Option<EngineKey> {
        let key = self.by_address.get(&address).copied()?;
        (!self.engine(key).is_gone).then_some(key)
    }
}
