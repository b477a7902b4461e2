//! Simulation tests of region restrictions, zone evacuation and cold engines.
//!
//! Gateways receive changes late and at different times. Guards against requests outside their
//! regions, requests to zones that were evacuated long ago, and more requests per second to a cold
//! engine than its limit.

use {
    gingerpier_admission::{
        fairness::Adjustment,
        selection::{self, Choice, Criteria},
        shedding,
    },
    gingerpier_base::{Instant, order},
    gingerpier_serving::{
        configuration::{
            Account, Configuration, Limits, Repeat, Route, RouteKey, Service, ServiceKey,
            ServiceKind, Target,
        },
        fleet::{EngineKey, Fleet, Record, State},
        mirror::Revision,
        region::{MAX_REGIONS, RegionSet, Regions},
        report::Report,
        warmup::{ColdLimits, Warmup},
        zones::Exchange,
    },
    proptest::prelude::*,
    std::{collections::HashMap, net::SocketAddr},
};

const ZONES: [&str; 3] = ["a", "b", "c"];
const REGION_NAMES: [&str; 3] = ["ra", "rb", "rc"];

/// Number of engines per zone.
const ENGINES_PER_ZONE: usize = 3;

/// Longest delay until a gateway receives a change; half of the shortest bound that operators set.
const MAX_DELAY_MILLIS: u64 = 2_000;

/// Duration of a simulation.
const SIMULATION_MILLIS: u64 = 12_000;

/// Duration of a simulation step.
const STEP_MILLIS: u64 = 5;

fn regions() -> Regions {
    Regions::new(ZONES.into_iter().zip(REGION_NAMES))
}

const fn at(millis: u64) -> Instant {
    Instant::from_millis(100_000 + millis)
}

fn record(zone: usize, number: usize, cold_millis: u64) -> Record {
    Record {
        id: format!("e{zone}-{number}"),
        service: "s".to_owned(),
        address: SocketAddr::from(([10, 1, zone as u8, number as u8], 80)),
        zone: ZONES[zone].to_owned(),
        state: State::Ready,
        slots: 8,
        cold_millis,
        report: Report::default(),
    }
}

fn criteria(
    allowed_regions: RegionSet,
    cold_limits: ColdLimits,
    gateway_count: u32,
) -> Criteria<'static> {
    Criteria {
        service: "s",
        engine_model: None,
        model: None,
        cutovers: &[],
        resume_version: None,
        prompt_tokens: 0,
        target_millis: 500,
        target_share: shedding::TARGET_SHARE,
        fairness: Adjustment::default(),
        allowed_regions,
        cold_limits,
        zone: "a",
        gateway_count,
        other_arrivals_per_milli: 0.0,
        overtaking_per_milli: 0.0,
        tried_engines: &[],
        may_crash_engine: false,
    }
}

fn names(names: &[&str]) -> Vec<String> {
    names.iter().map(|name| (*name).to_owned()).collect()
}

#[test]
fn route_and_account_restrictions_are_intersected() {
    let route = |name: &str, homes: &[&str]| Route {
        name: name.to_owned(),
        host: "h".to_owned(),
        prefix: format!("/{name}/"),
        repeat: Repeat::Safe,
        timeout_millis: 1_000,
        target_millis: 500,
        max_pause_millis: 200,
        priority: 1,
        targets: vec![Target {
            service: ServiceKey(0),
            weight: 1,
        }],
        max_attempts: 1,
        is_public: false,
        regions: names(homes),
    };
    let account = |name: &str, homes: &[&str]| Account {
        name: name.to_owned(),
        priority: None,
        keys: vec![name.to_owned()],
        regions: names(homes),
    };
    let service = Service {
        name: "s".to_owned(),
        max_connections: 1,
        cold_per_second: 0.0,
        kind: ServiceKind::Plain,
    };
    let routes = vec![
        route("any", &[]),
        route("ab", &["ra", "rb"]),
        route("lost", &["mars"]),
    ];
    let accounts = vec![
        account("any", &[]),
        account("bc", &["rb", "rc"]),
        account("c", &["rc"]),
    ];
    let mut configuration =
        Configuration::new(1, Limits::default(), routes, vec![service], accounts);
    let regions = regions();
    let allowed = |configuration: &Configuration, route: u32, key: &str| -> Vec<&str> {
        let homes = configuration.allowed_regions(RouteKey(route), configuration.account_of(key));
        let is_allowed = |zone: &&str| homes.contains(regions.of_zone(zone));
        ZONES.into_iter().filter(is_allowed).collect()
    };
    assert!(
        allowed(&configuration, 1, "any").is_empty(),
        "before regions are resolved"
    );
    configuration.resolve_regions(&regions);
    assert_eq!(allowed(&configuration, 0, "any"), ZONES);
    assert_eq!(
        configuration.allowed_regions(RouteKey(0), None),
        RegionSet::ALL
    );
    assert_eq!(allowed(&configuration, 1, "any"), ["a", "b"]);
    assert_eq!(allowed(&configuration, 0, "bc"), ["b", "c"]);
    assert_eq!(allowed(&configuration, 1, "bc"), ["b"]);
    assert!(allowed(&configuration, 1, "c").is_empty());
    assert!(
        allowed(&configuration, 2, "any").is_empty(),
        "an unknown region"
    );
}

#[test]
fn regions_beyond_the_limit_allow_nothing() {
    let names: Vec<String> = (0..MAX_REGIONS + 2)
        .map(|number| format!("r{number}"))
        .collect();
    let regions = Regions::new(names.iter().map(|name| (name.as_str(), name.as_str())));
    for (number, name) in names.iter().enumerate() {
        let homes = regions.resolve(std::slice::from_ref(name));
        let admitted = names
            .iter()
            .filter(|zone| homes.contains(regions.of_zone(zone)));
        assert_eq!(
            admitted.count(),
            usize::from(number < MAX_REGIONS),
            "{name}"
        );
        assert!(!homes.contains(None));
    }
    assert_ne!(regions.resolve(&names), RegionSet::ALL);
}

#[test]
fn cold_engine_is_limited_until_it_reports_warm_or_times_out() {
    let limits = ColdLimits {
        per_second: 26.0,
        overshoot: 1.5,
        allowance: 5.0,
    };
    let mut warmup = Warmup::from_entry(2_000, at(0));
    assert!(
        !warmup.allows_request(&limits, 9, at(10)),
        "this gateway is not an owner"
    );
    assert!(
        warmup.allows_request(&ColdLimits::NEVER_COLD, 9, at(10)),
        "engines of the service are never cold"
    );
    warmup.set_owned(true);
    assert!(warmup.allows_request(&limits, 9, at(10)));
    warmup.record_sent(at(10));
    assert!(!warmup.allows_request(&limits, 9, at(20)));
    assert!(
        warmup.allows_request(&limits, 9, at(10 + 350)),
        "its interval is 9 / 26 s"
    );
    warmup.set_owned(false);
    assert!(warmup.allows_request(&limits, 9, at(2_000)));
    // Doubtful after a connection failure, until an entry that was written later.
    warmup.record_possible_cooling(at(3_000));
    warmup.record_sent(at(3_000));
    assert!(!warmup.allows_request(&limits, 100, at(3_500)));
    warmup.update_from_entry(0, at(3_500));
    assert!(
        !warmup.allows_request(&limits, 100, at(3_600)),
        "the entry may be from before the failure"
    );
    warmup.update_from_entry(0, at(4_500));
    assert!(warmup.allows_request(&limits, 100, at(4_500)));
    // No entries arrive while the store is unavailable.
    warmup.record_possible_cooling(at(5_000));
    warmup.record_sent(at(10_900));
    assert!(!warmup.allows_request(&limits, 100, at(10_950)));
    assert!(warmup.allows_request(&limits, 100, at(11_000)));
}

proptest! {
    /// Guards against limits that the owners exceed together.
    #[test]
    fn owners_stay_below_any_limit(gateways in 1..2_000_u32, per_second in 0.5..200.0_f64, overshoot in 1.0..3.0_f64, allowance in 0.0..20.0_f64) {
        let limits = ColdLimits { per_second, overshoot, allowance };
        let owners = limits.owner_count(gateways) as f64;
        let each = (1_000.0 / limits.owner_interval_millis(gateways)).floor() + 1.0;
        // One request per second is the lowest possible number.
        prop_assert!(owners * each <= limits.max_per_second().max(1.0), "{owners} owners, {each} each: {limits:?}");
        prop_assert!(owners / (limits.owner_interval_millis(gateways) / 1_000.0) >= per_second.min(limits.max_per_second()) * 0.3);
    }
}

/// Change that each gateway receives at a different time.
#[derive(Debug, Clone, Copy)]
enum Change {
    /// An engine's entry reports it as cold until this time.
    Listed {
        zone: usize,
        number: usize,
        cold_until: u64,
    },
    /// A zone is evacuated or available again.
    Evacuated { zone: usize, is_evacuated: bool },
}

impl Change {
    /// Identifies the engine or zone that changes.
    const fn key(self) -> (usize, Option<usize>) {
        match self {
            Self::Listed { zone, number, .. } => (zone, Some(number)),
            Self::Evacuated { zone, .. } => (zone, None),
        }
    }
}

/// How gateways send requests to cold engines.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Policy {
    /// As implemented, only through owners.
    Owners,
    /// Without any limit.
    Unlimited,
    /// With every gateway as an owner of every engine.
    AllOwners,
}

struct Gateway {
    fleet: Fleet,
    exchange: Exchange,
    /// Changes in transit, with their arrival time and revision.
    in_transit: Vec<(u64, u32, Change)>,
    /// Revision of the latest change to each engine and zone.
    latest_revisions: HashMap<(usize, Option<usize>), u32>,
}

/// Result of a simulation.
#[derive(Debug, Default)]
struct Outcome {
    outside_regions: usize,
    in_evacuated_zones: usize,
    max_per_second: usize,
    /// Number of requests to cold engines and the total cold time, each after all gateways knew.
    cold_requests: u32,
    cold_millis: u64,
    refused: usize,
}

struct Simulation {
    rng: fastrand::Rng,
    limits: ColdLimits,
    policy: Policy,
    gateways: Vec<Gateway>,
    /// Time until which each engine is cold and since when, and time at which each zone was
    /// evacuated.
    cold_until: [[u64; ENGINES_PER_ZONE]; ZONES.len()],
    cold_since: [[u64; ENGINES_PER_ZONE]; ZONES.len()],
    evacuated_at: [Option<u64>; ZONES.len()],
    cold_arrivals: Vec<(usize, usize, u64)>,
    outcome: Outcome,
    revision: u32,
    /// Number of requests per step.
    requests_per_step: f64,
}

impl Simulation {
    fn new(seed: u64, policy: Policy) -> Self {
        let mut rng = fastrand::Rng::with_seed(seed);
        let count = rng.usize(2..40);
        let address =
            |number: usize| SocketAddr::from(([10, 0, number as u8 % 3, number as u8], 7700));
        let gateway = |number: usize| {
            let mut exchange =
                Exchange::new(address(number), ZONES[number % 3], ZONES.into_iter(), at(0));
            for other in 0..count {
                exchange.record_member(ZONES[other % 3], address(other), at(0));
            }
            Gateway {
                fleet: Fleet::with_regions(regions()),
                exchange,
                in_transit: Vec::new(),
                latest_revisions: HashMap::new(),
            }
        };
        let gateways = (0..count).map(gateway).collect();
        let limits = ColdLimits {
            per_second: rng.f64() * 30.0 + 2.0,
            overshoot: 1.0 + rng.f64(),
            allowance: rng.f64() * 8.0,
        };
        Self {
            requests_per_step: rng.f64() * 3.0,
            rng,
            limits,
            policy,
            gateways,
            cold_until: Default::default(),
            cold_since: Default::default(),
            evacuated_at: Default::default(),
            cold_arrivals: Vec::new(),
            outcome: Outcome::default(),
            revision: 1,
        }
    }

    /// Sends a change to all gateways with random delays; a third of them receives it late.
    fn broadcast(&mut self, now: u64, change: Change) {
        self.revision += 1;
        for gateway in &mut self.gateways {
            let max_delay = if self.rng.u8(..3) == 0 {
                MAX_DELAY_MILLIS
            } else {
                MAX_DELAY_MILLIS / 4
            };
            let arrives = now + self.rng.u64(20..max_delay);
            gateway.in_transit.push((arrives, self.revision, change));
        }
    }

    fn run(mut self) -> Outcome {
        for zone in 0..ZONES.len() {
            for number in 0..ENGINES_PER_ZONE {
                self.broadcast(
                    0,
                    Change::Listed {
                        zone,
                        number,
                        cold_until: 0,
                    },
                );
            }
        }
        let mut pending_requests = 0.0;
        for now in (0..SIMULATION_MILLIS).step_by(STEP_MILLIS as usize) {
            self.apply_random_change(now);
            self.deliver(now);
            let is_cold = |index: usize| {
                self.is_known_cold(index / ENGINES_PER_ZONE, index % ENGINES_PER_ZONE, now)
            };
            let cold = (0..ZONES.len() * ENGINES_PER_ZONE).filter(|index| {
                is_cold(*index) && self.evacuated_at[*index / ENGINES_PER_ZONE].is_none()
            });
            self.outcome.cold_millis += cold.count() as u64 * STEP_MILLIS;
            pending_requests += if now > MAX_DELAY_MILLIS {
                self.requests_per_step
            } else {
                0.0
            };
            while pending_requests >= 1.0 {
                pending_requests -= 1.0;
                self.send_request(now);
            }
        }
        self.outcome.max_per_second = self.max_per_second();
        self.outcome
    }

    /// Randomly makes a zone or an engine cold, evacuates a zone or makes it available again.
    fn apply_random_change(&mut self, now: u64) {
        if now <= MAX_DELAY_MILLIS || self.rng.u64(..1_500 / STEP_MILLIS) > 0 {
            return;
        }
        let zone = self.rng.usize(..ZONES.len());
        match self.rng.u8(..3) {
            0 => self.turn_cold(now, zone, ENGINES_PER_ZONE),
            1 => self.turn_cold(now, zone, 1),
            _ => {
                let is_evacuated = self.evacuated_at[zone].is_none();
                self.evacuated_at[zone] = is_evacuated.then_some(now);
                if !is_evacuated {
                    // Engines of an evacuated zone are cold before the zone is available again.
                    self.turn_cold(now, zone, ENGINES_PER_ZONE);
                }
                self.broadcast(now, Change::Evacuated { zone, is_evacuated });
            }
        }
    }

    fn turn_cold(&mut self, now: u64, zone: usize, count: usize) {
        for number in 0..count {
            let cold_until = now + self.rng.u64(1_000..5_000);
            self.cold_since[zone][number] = now;
            self.cold_until[zone][number] = cold_until;
            self.broadcast(
                now,
                Change::Listed {
                    zone,
                    number,
                    cold_until,
                },
            );
        }
    }

    fn deliver(&mut self, now: u64) {
        let instant = at(now);
        let limits = self.limits;
        let (policy, count) = (self.policy, self.gateways.len() as u32);
        let mut alive_members = Vec::new();
        if now.is_multiple_of(1_000) {
            alive_members.extend(
                self.gateways
                    .iter()
                    .flat_map(|gateway| gateway.exchange.alive(instant))
                    .map(|(zone, address)| (zone.to_owned(), address)),
            );
        }
        for gateway in &mut self.gateways {
            for (zone, address) in &alive_members {
                gateway.exchange.record_member(zone, *address, instant);
            }
            let (mut arrived, in_transit): (Vec<_>, Vec<_>) = gateway
                .in_transit
                .drain(..)
                .partition(|(arrives, ..)| *arrives <= now);
            gateway.in_transit = in_transit;
            arrived.sort_by_key(|(_, revision, _)| *revision);
            for (_, revision, change) in arrived {
                // Ignores stale revisions, as the mirror does.
                let latest_revision = gateway.latest_revisions.entry(change.key()).or_default();
                if *latest_revision > revision {
                    continue;
                }
                *latest_revision = revision;
                match change {
                    Change::Listed {
                        zone,
                        number,
                        cold_until,
                    } => {
                        let cold_millis = cold_until.saturating_sub(now);
                        let key = gateway.fleet.list(
                            record(zone, number, cold_millis),
                            Revision::new(u64::from(revision)),
                        );
                        gateway
                            .fleet
                            .engine_mut(key)
                            .warmup
                            .update_from_entry(cold_millis, instant);
                    }
                    Change::Evacuated { zone, is_evacuated } => {
                        gateway
                            .fleet
                            .set_evacuated(ZONES[zone], is_evacuated, instant);
                    }
                }
            }
            if !now.is_multiple_of(250) {
                continue;
            }
            let keys: Vec<EngineKey> = gateway
                .fleet
                .current_of_service("s")
                .map(|(key, _)| key)
                .collect();
            for key in keys {
                let subject = order::hash(&gateway.fleet.engine(key).record.address);
                let is_owned = policy == Policy::AllOwners
                    || gateway
                        .exchange
                        .is_among(subject, limits.owner_count(count), instant);
                gateway.fleet.engine_mut(key).warmup.set_owned(is_owned);
            }
        }
    }

    fn send_request(&mut self, now: u64) {
        let instant = at(now);
        let gateway = self.rng.usize(..self.gateways.len());
        let region_index = self.rng.usize(..8);
        let homes = match REGION_NAMES.get(region_index) {
            Some(name) => regions().resolve(&names(&[name])),
            None => RegionSet::ALL,
        };
        let cold = match self.policy {
            Policy::Unlimited => ColdLimits::NEVER_COLD,
            Policy::Owners | Policy::AllOwners => self.limits,
        };
        let criteria = criteria(homes, cold, self.gateways.len() as u32);
        let random = self.rng.u64(..);
        let fleet = &mut self.gateways[gateway].fleet;
        let Choice::Send { engine, .. } = selection::choose(fleet, &criteria, instant, random)
        else {
            self.outcome.refused += 1;
            return;
        };
        fleet.engine_mut(engine).record_sent(0, instant);
        fleet.engine_mut(engine).record_end(0, true);
        let ip = match fleet.engine(engine).record.address.ip() {
            std::net::IpAddr::V4(ip) => ip.octets(),
            std::net::IpAddr::V6(_) => panic!("engines have IPv4 addresses"),
        };
        let (zone, number) = (usize::from(ip[2]), usize::from(ip[3]));
        self.outcome.outside_regions +=
            usize::from(region_index < ZONES.len() && region_index != zone);
        let is_late = |since: u64| now > since + MAX_DELAY_MILLIS;
        self.outcome.in_evacuated_zones +=
            usize::from(self.evacuated_at[zone].is_some_and(is_late));
        if self.is_known_cold(zone, number, now) {
            self.outcome.cold_requests += 1;
            self.cold_arrivals.push((zone, number, now));
        }
    }

    /// Returns true if an engine is cold and all gateways know.
    fn is_known_cold(&self, zone: usize, number: usize, now: u64) -> bool {
        let is_known = now > self.cold_since[zone][number] + MAX_DELAY_MILLIS;
        is_known && now < self.cold_until[zone][number]
    }

    /// Returns the highest number of requests that a cold engine received within one second.
    fn max_per_second(&self) -> usize {
        let mut by_engine: HashMap<(usize, usize), Vec<u64>> = HashMap::new();
        for (zone, number, sent) in &self.cold_arrivals {
            by_engine.entry((*zone, *number)).or_default().push(*sent);
        }
        let max_in_window = |times: &Vec<u64>| {
            let count_within = |(index, first): (usize, &u64)| {
                times.partition_point(|other| *other < first + 1_000) - index
            };
            times.iter().enumerate().map(count_within).max()
        };
        by_engine
            .values()
            .filter_map(max_in_window)
            .max()
            .unwrap_or_default()
    }
}

/// Number of simulations as implemented; the variants run a quarter of them.
const SEEDS: u64 = 200;

#[test]
fn no_request_runs_outside_its_regions_or_in_an_evacuated_zone() {
    for seed in 0..SEEDS {
        let outcome = Simulation::new(seed, Policy::Owners).run();
        assert_eq!(
            (outcome.outside_regions, outcome.in_evacuated_zones),
            (0, 0),
            "seed {seed}: {outcome:?}"
        );
    }
}

#[test]
fn cold_engines_stay_within_their_limit() {
    for seed in 0..SEEDS {
        let simulation = Simulation::new(seed, Policy::Owners);
        let limit = simulation.limits.max_per_second().max(1.0);
        let outcome = simulation.run();
        assert!(
            outcome.max_per_second as f64 <= limit,
            "seed {seed}: {outcome:?}, limit {limit}"
        );
    }
}

#[test]
fn limit_is_exceeded_without_owners() {
    for policy in [Policy::AllOwners, Policy::Unlimited] {
        let is_exceeded = |seed: &u64| {
            let simulation = Simulation::new(*seed, policy);
            let limit = simulation.limits.max_per_second().max(1.0);
            simulation.run().max_per_second as f64 > limit
        };
        let exceeded = (0..SEEDS / 4).filter(is_exceeded).count();
        println!(
            "{policy:?}: limit exceeded in {exceeded} of {} simulations",
            SEEDS / 4
        );
        assert!(exceeded > 0, "{policy:?}: the limit was never exceeded");
    }
}

#[test]
fn cold_engines_are_used() {
    let (mut sustained, mut sent) = (0.0, 0);
    for seed in 0..SEEDS {
        let mut simulation = Simulation::new(seed, Policy::Owners);
        // Enough requests to use every engine.
        simulation.requests_per_step = 3.0;
        let per_second = simulation.limits.per_second;
        let outcome = simulation.run();
        sustained += per_second * outcome.cold_millis as f64 / 1_000.0;
        sent += outcome.cold_requests;
    }
    // Owners learn of their role up to half a second late, and intervals start with a request.
    let used_share = f64::from(sent) / sustained;
    println!("sent {sent} of {sustained:.0} requests that cold engines sustain");
    assert!(used_share > 0.5, "{used_share}");
}
