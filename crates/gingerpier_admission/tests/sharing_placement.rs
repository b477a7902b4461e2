//! Tests of the choice of an engine in a granting zone.

mod common;

use {
    common::{at, model, report},
    gingerpier_admission::{
        selection::{Choice, Criteria},
        sharing::{granter, placement},
    },
    gingerpier_serving::{
        configuration::EngineModel,
        fleet::{EngineKey, Fleet},
        mirror::Revision,
        region::Regions,
        report::{Report, Version},
    },
    std::collections::HashMap,
};

fn fleet() -> Fleet {
    Fleet::with_regions(Regions::new([("y", "north"), ("z", "south")]))
}

fn add_engine(fleet: &mut Fleet, zone: &str, active: u32) -> EngineKey {
    let index = fleet.all_engines().count() as u8;
    let record = common::record(index, zone, 12, report(active));
    let key = fleet.list(record, Revision::new(1));
    fleet.engine_mut(key).record_report(report(active), at(0));
    key
}

fn criteria<'a>(model: &'a EngineModel, tried_engines: &'a [EngineKey]) -> Criteria<'a> {
    Criteria {
        gateway_count: 29,
        tried_engines,
        ..common::criteria(model)
    }
}

fn chosen(fleet: &Fleet, criteria: &Criteria<'_>, draw: u64) -> Option<EngineKey> {
    match placement::choose(fleet, criteria, "y", at(100), draw)? {
        Choice::Send { engine, .. } => Some(engine),
        Choice::Full(_) | Choice::NoEngine => None,
    }
}

/// Guards against all gateways choosing the same engine, and against the most loaded one.
#[test]
fn less_loaded_of_two_random_engines_is_chosen() {
    let mut fleet = fleet();
    let own = add_engine(&mut fleet, "z", 0);
    let engines: Vec<EngineKey> = (0..4)
        .map(|active| add_engine(&mut fleet, "y", active))
        .collect();
    let model = model();
    let mut counts: HashMap<EngineKey, u32> = HashMap::new();
    for draw in 0..6_000 {
        let engine = chosen(&fleet, &criteria(&model, &[]), draw).expect("engines are open");
        *counts.entry(engine).or_default() += 1;
    }
    assert_eq!(counts.get(&own), None, "only engines of the granting zone");
    let count = |key| counts.get(key).copied().unwrap_or_default();
    let counts: Vec<u32> = engines.iter().map(count).collect();
    // Pairs are equally likely, and the engine is the better one of three, two, one and no pair.
    for (count, expected) in counts.iter().zip([3_000_u32, 2_000, 1_000, 0]) {
        assert!(count.abs_diff(expected) < 200, "{counts:?}");
    }
}

/// Guards against requests to engines that may not run them.
#[test]
fn ineligible_engines_are_not_chosen() {
    let model = model();
    let mut fleet = fleet();
    let engine = add_engine(&mut fleet, "y", 1);
    let open = criteria(&model, &[]);
    assert_eq!(chosen(&fleet, &open, 1), Some(engine));
    assert_eq!(
        chosen(&fleet, &criteria(&model, &[engine]), 1),
        None,
        "tried"
    );
    let regions = Regions::new([("y", "north"), ("z", "south")]);
    let south = Criteria {
        allowed_regions: regions.resolve(&["south".to_owned()]),
        ..open
    };
    assert_eq!(chosen(&fleet, &south, 1), None, "another region");
    let other_version = Criteria {
        resume_version: Some(Version(2)),
        ..open
    };
    assert_eq!(chosen(&fleet, &other_version, 1), None, "other weights");
    let stale = placement::choose(&fleet, &open, "y", at(5_000), 1);
    assert_eq!(stale, None, "no recent report");
    fleet.set_evacuated("y", true, at(0));
    assert_eq!(chosen(&fleet, &open, 1), None, "evacuated");
    fleet.set_evacuated("y", false, at(0));
    fleet
        .engine_mut(engine)
        .warmup
        .update_from_entry(5_000, at(0));
    assert_eq!(chosen(&fleet, &open, 1), None, "cold");
}

/// Guards against grants for engines that can't run requests.
#[test]
fn capacity_counts_open_engines_of_the_zone() {
    let model = model();
    let mut fleet = fleet();
    let capacity =
        |fleet: &Fleet, millis| granter::open_capacity(fleet, "s", &model, "y", at(millis));
    add_engine(&mut fleet, "z", 0);
    assert_eq!(capacity(&fleet, 100), 0.0);
    add_engine(&mut fleet, "y", 0);
    let one = capacity(&fleet, 100);
    assert!((10.0..40.0).contains(&one), "{one} per second");
    let second = add_engine(&mut fleet, "y", 0);
    assert!((capacity(&fleet, 100) - 2.0 * one).abs() < 1e-9);
    let slow = Report {
        slowdown: 2.0,
        ..report(0)
    };
    fleet.engine_mut(second).record_report(slow, at(50));
    assert!((capacity(&fleet, 100) - 1.5 * one).abs() < 1e-9);
    assert_eq!(capacity(&fleet, 5_000), 0.0, "no recent report");
    fleet.set_evacuated("y", true, at(0));
    assert_eq!(capacity(&fleet, 100), 0.0, "evacuated");
}
