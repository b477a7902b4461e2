//! A gateway: the product's own state, and the calls that the gateway's I/O makes of it.

use {
    crate::{
        deployment::Deployment,
        sharing::{Part, Sharing},
        zoning::{Placement, Policy},
    },
    gingerpier_admission::{
        accounts,
        arrivals::Arrivals,
        return_detection::Visit,
        selection::{self, Choice, Criteria},
        sharing::placement,
        shedding::Controller,
    },
    gingerpier_base::Instant,
    gingerpier_serving::{
        budget::{Budget, Limits},
        engine,
        fleet::{EngineKey, Fleet, Record, State},
        mirror::Revision,
        region::RegionSet,
        report::{Held, Report, Version},
        warmup,
    },
};

/// Retries for each request, and beyond that in a window.
const RETRIES: (f64, u32) = (0.1, 24);

/// Milliseconds of a window of the retry budget.
const WINDOW_MILLIS: u64 = 10_000;

/// A gateway.
#[derive(Debug, Clone)]
pub struct Gateway {
    zone: usize,
    fleet: Fleet,
    arrivals: Arrivals,
    budget: Budget,
    shedding: Controller,
    /// Sharing between client accounts.
    pub accounts: accounts::Controller,
    /// Gateways that it knows of, itself included.
    known_gateways: usize,
    /// Demand and grants; none without zoning.
    pub sharing: Option<Sharing>,
    /// Counts its incarnations.
    pub life: u32,
}

/// Name of the incarnation `life` of an engine.
fn name(engine: usize, life: u32) -> String {
    format!("{engine}/{life}")
}

/// Name of a zone.
pub fn zone_name(zone: usize) -> String {
    format!("z{zone}")
}

impl Gateway {
    /// A gateway that knows nothing but the list of engines, given by their incarnations.
    pub fn new(
        index: usize,
        deployment: &Deployment,
        lives: &[Option<u32>],
        life: u32,
        now: Instant,
    ) -> Self {
        let limits = Limits {
            ratio: RETRIES.0,
            extra: RETRIES.1,
            window_millis: WINDOW_MILLIS,
            gateways: deployment.gateways as u32,
        };
        let mut gateway = Self {
            // Without zoning, only the first gateway of each zone prefers that zone's engines.
            zone: match deployment.zoning {
                Some(_) => deployment.zone_of_gateway(index),
                None => index,
            },
            fleet: Fleet::default(),
            arrivals: Arrivals::default(),
            budget: Budget::new(limits),
            shedding: Controller::new(deployment.way),
            accounts: accounts::Controller::default(),
            known_gateways: 1,
            sharing: deployment.zoning.as_ref().map(|zoning| {
                let zone = deployment.zone_of_gateway(index);
                Sharing::new(index, zone, zoning.gateways[zone], now)
            }),
            life,
        };
        for (engine, life) in lives.iter().enumerate() {
            if let Some(life) = life {
                gateway.list(deployment, engine, *life);
            }
        }
        gateway
    }

    /// Takes an engine that is listed.
    pub fn list(&mut self, deployment: &Deployment, engine: usize, life: u32) {
        let record = Record {
            id: name(engine, life),
            service: crate::SERVICE.to_owned(),
            address: ([10, 0, 0, engine as u8], 80).into(),
            zone: zone_name(deployment.zone_of_engine(engine)),
            state: State::Ready,
            slots: deployment.model.slots,
            cold_millis: 0,
            report: Report {
                loaded: vec![Held {
                    model: crate::MODEL.to_owned(),
                    version: Version(1),
                }],
                slowdown: 1.0,
                ..Report::default()
            },
        };
        self.fleet.list(record, Revision::new(u64::from(life) + 1));
    }

    /// Takes an engine off the list.
    pub fn unlist(&mut self, engine: usize, life: u32) {
        self.fleet.unlist(&name(engine, life));
    }

    /// Takes an engine's report, which names other gateways, too.
    pub fn note_report(&mut self, at: ReportOf, report: Report, gateways: usize, now: Instant) {
        self.known_gateways = self.known_gateways.max(gateways);
        let Some(key) = self.fleet.find(&name(at.engine, at.life)) else {
            return;
        };
        let engine = self.fleet.engine_mut(key);
        match at.is_direct {
            true => engine.record_report(report, now),
            false => engine.record_forwarded_report(report, now),
        }
    }

    /// Reports of the engines in `zone`, with their age in milliseconds.
    pub fn reports_of_zone(&self, zone: usize, now: Instant) -> Vec<(ReportOf, Report, u64)> {
        let name = zone_name(zone);
        let engines = self.fleet.of_service(crate::SERVICE);
        let own = engines.filter(|(_, engine)| engine.record.zone == name);
        let report = |(key, engine): (EngineKey, &engine::Engine)| {
            let report = engine.fresh_report(now)?.clone();
            let (engine_index, life) = self.place_of(key);
            let of = ReportOf {
                engine: engine_index,
                life,
                is_direct: false,
            };
            Some((of, report, engine.report_age(now)?))
        };
        own.filter_map(report).collect()
    }

    /// Sets whether the engines of `zone` get no new requests.
    pub fn set_evacuated(&mut self, zone: usize, is_evacuated: bool, now: Instant) {
        self.fleet
            .set_evacuated(&zone_name(zone), is_evacuated, now);
    }

    /// Chooses an engine for a request.
    pub fn choose(&self, ask: &Ask<'_>, now: Instant) -> Choice {
        let zone = zone_name(self.zone);
        let criteria = self.criteria(ask, &zone, now);
        selection::choose(&self.fleet, &criteria, now, ask.draw)
    }

    /// Chooses an engine of `granting_zone` for a request that exceeds the bound elsewhere.
    pub fn choose_granted(
        &self,
        ask: &Ask<'_>,
        granting_zone: &str,
        placement: Placement,
        now: Instant,
    ) -> Option<Choice> {
        let zone = zone_name(self.zone);
        let criteria = self.criteria(ask, &zone, now);
        let others = match placement {
            Placement::TwoDrawn => ask.tried.to_vec(),
            Placement::LeastLoaded => self.all_but_least_loaded(ask, granting_zone, now),
        };
        let criteria = Criteria {
            tried_engines: &others,
            ..criteria
        };
        placement::choose(&self.fleet, &criteria, granting_zone, now, ask.draw)
    }

    /// Chooses an engine of this gateway's zone for a request of another gateway, and counts it there where `counts`. A
    /// gateway that `places_all` requests of its zone expects no others.
    pub fn place(
        &mut self,
        ask: &Ask<'_>,
        tried: &[(usize, u32)],
        (places_all, counts): (bool, bool),
        now: Instant,
    ) -> Choice {
        let zone = zone_name(self.zone);
        let engines = self.fleet.of_service(crate::SERVICE);
        let others = engines.filter(|(key, engine)| {
            engine.record.zone != zone || tried.contains(&self.place_of(*key))
        });
        let others: Vec<EngineKey> = others.map(|(key, _)| key).collect();
        let criteria = self.criteria(ask, &zone, now);
        let criteria = Criteria {
            tried_engines: &others,
            other_arrivals_per_milli: match places_all {
                true => 0.0,
                false => criteria.other_arrivals_per_milli,
            },
            gateway_count: match places_all {
                true => 1,
                false => criteria.gateway_count,
            },
            ..criteria
        };
        let choice = selection::choose(&self.fleet, &criteria, now, ask.draw);
        if counts && let Choice::Send { engine, .. } = choice {
            self.fleet.engine_mut(engine).record_sent(ask.prompt, now);
        }
        choice
    }

    /// Key of an engine, where it is listed here.
    pub fn key_of(&self, (engine, life): (usize, u32)) -> Option<EngineKey> {
        self.fleet.find(&name(engine, life))
    }

    fn all_but_least_loaded(&self, ask: &Ask<'_>, zone: &str, now: Instant) -> Vec<EngineKey> {
        let engines = self.fleet.of_service(crate::SERVICE);
        let own = engines.filter(|(key, engine)| {
            engine.record.zone == zone && engine.is_open(now) && !ask.tried.contains(key)
        });
        let least =
            own.min_by(|(_, one), (_, other)| one.occupancy(now).total_cmp(&other.occupancy(now)));
        let least = least.map(|(key, _)| key);
        let all = self.fleet.of_service(crate::SERVICE).map(|(key, _)| key);
        all.filter(|key| Some(*key) != least).collect()
    }

    fn criteria<'a>(&self, ask: &'a Ask<'_>, zone: &'a str, now: Instant) -> Criteria<'a> {
        let others = (self.known_gateways - 1) as f64;
        Criteria {
            service: crate::SERVICE,
            engine_model: Some(&ask.deployment.model),
            model: Some(crate::MODEL),
            cutovers: &[],
            resume_version: None,
            prompt_tokens: ask.prompt,
            target_millis: ask.target_millis,
            target_share: self.shedding.target_share(ask.visit, now),
            fairness: self.shedding.fairness(now),
            zone,
            gateway_count: self.known_gateways as u32,
            other_arrivals_per_milli: self.arrivals.per_milli(now) * others,
            overtaking_per_milli: 0.0,
            tried_engines: ask.tried,
            may_crash_engine: false,
            allowed_regions: RegionSet::ALL,
            cold_limits: warmup::ColdLimits::NEVER_COLD,
        }
    }

    /// Demand and grants of a digest that is due.
    pub fn poll_digest(
        &mut self,
        is_sender: bool,
        policy: &Policy,
        deployment: &Deployment,
        now: Instant,
    ) -> Option<Part> {
        let sharing = self.sharing.as_mut()?;
        let view = (&self.fleet, &deployment.model, deployment.zones);
        sharing.poll_digest(is_sender, policy, view, now)
    }

    /// Notes a request that was sent to an engine; `is_first` where it is no retry.
    pub fn note_sent(&mut self, key: EngineKey, prompt: u64, is_first: bool, now: Instant) {
        if is_first {
            self.arrivals.record(now);
            self.budget.record_first_attempt(now);
        }
        self.fleet.engine_mut(key).record_sent(prompt, now);
    }

    /// Notes whether a caller was refused, and how many milliseconds it could wait behind others.
    pub fn note_fate(&mut self, visit: Visit, is_refused: bool, wait: Option<f64>, now: Instant) {
        self.shedding.record(visit, is_refused, wait, now);
    }

    /// Takes one retry.
    pub fn take_retry(&mut self, now: Instant) -> bool {
        self.budget.try_spend(now)
    }

    /// An engine, to be changed.
    pub fn engine_mut(&mut self, key: EngineKey) -> &mut engine::Engine {
        self.fleet.engine_mut(key)
    }

    /// Which engine of the model a key stands for, and which incarnation.
    ///
    /// # Panics
    ///
    /// Where the engine was not listed here.
    pub fn place_of(&self, key: EngineKey) -> (usize, u32) {
        let id = &self.fleet.engine(key).record.id;
        let (engine, life) = id.split_once('/').expect("a name of this model");
        (
            engine.parse().expect("a number"),
            life.parse().expect("a number"),
        )
    }
}

/// Where a report comes from.
#[derive(Debug, Clone, Copy)]
pub struct ReportOf {
    /// Engine.
    pub engine: usize,
    /// Its incarnation.
    pub life: u32,
    /// True where it came from the engine's own machine.
    pub is_direct: bool,
}

/// What a gateway is asked.
#[derive(Debug)]
pub struct Ask<'a> {
    /// Deployment.
    pub deployment: &'a Deployment,
    /// Milliseconds that are left of the target.
    pub target_millis: u64,
    /// Tokens of the prompt.
    pub prompt: u64,
    /// Whether the caller was refused before, or an attempt failed.
    pub visit: Visit,
    /// Engines that it went to already.
    pub tried: &'a [EngineKey],
    /// Drawn number.
    pub draw: u64,
}
