//! Tests that a request is refused only if no engine is within the admission bound.

use {
    gingerpier_admission::{
        fairness::Adjustment,
        selection::{self, Choice, Criteria},
        shedding,
    },
    gingerpier_base::Instant,
    gingerpier_serving::{
        configuration::EngineModel,
        fleet::{EngineKey, Fleet, Record, State},
        mirror::Revision,
        region::RegionSet,
        report::{Held, Report, Version},
        warmup::ColdLimits,
    },
};

const fn at(millis: u64) -> Instant {
    Instant::from_millis(100_000 + millis)
}

fn model() -> EngineModel {
    EngineModel {
        slots: 12,
        stride: 7,
        step_millis: 7.4,
        per_request_millis: 0.0,
        per_thousand_tokens_millis: 0.0,
        prompt_tokens_per_milli: 31.9,
        max_prompt_tokens_per_pass: None,
        mean_prompt_tokens: 900,
        mean_answer_tokens: 110,
        memory_tokens: 317_000,
        models: vec!["m".to_owned()],
    }
}

fn add_engine(fleet: &mut Fleet, zone: &str, pending_prompt_tokens: u64) -> EngineKey {
    let report = Report {
        loaded: vec![Held {
            model: "m".to_owned(),
            version: Version(1),
        }],
        active: 1,
        memory_used_tokens: pending_prompt_tokens,
        pending_prompt_tokens,
        slowdown: 1.0,
        ..Report::default()
    };
    let index = fleet.listed().count() as u8;
    let record = Record {
        id: format!("e{index}"),
        service: "s".to_owned(),
        address: ([10, 0, 0, index], 80).into(),
        zone: zone.to_owned(),
        state: State::Ready,
        slots: 12,
        cold_millis: 0,
        report: report.clone(),
    };
    let key = fleet.list(record, Revision(1));
    fleet.engine_mut(key).record_report(report, at(0));
    key
}

fn criteria(model: &EngineModel, gateway_count: u32) -> Criteria<'_> {
    Criteria {
        service: "s",
        engine_model: Some(model),
        model: Some("m"),
        cutovers: &[],
        resume_version: None,
        prompt_tokens: 900,
        target_millis: 400,
        target_share: shedding::TARGET_SHARE,
        fairness: Adjustment::default(),
        allowed_regions: RegionSet::ALL,
        cold_limits: ColdLimits::NEVER_COLD,
        zone: "z",
        gateway_count,
        other_arrivals_per_milli: 0.0,
        tried_engines: &[],
        may_crash_engine: false,
    }
}

/// Guards against refusals while an engine of another zone is within the bound of 340 ms: the cost
/// of 60 ms for the other zone ranked the engine of the own zone first, which is beyond the bound.
#[test]
fn engines_within_the_bound_rank_before_cheaper_ones() {
    let model = model();
    for (gateway_count, min_sent) in [(6, 200), (29, 60)] {
        let mut sent = 0;
        for draw in 0..200 {
            let mut fleet = Fleet::default();
            // About 353 ms and 322 ms.
            add_engine(&mut fleet, "z", 7_900);
            let within = add_engine(&mut fleet, "y", 6_900);
            let criteria = criteria(&model, gateway_count);
            let choice = selection::choose(&fleet, &criteria, at(0), draw);
            if let Choice::Send { engine, .. } = choice {
                assert_eq!(engine, within);
                sent += 1;
            }
        }
        // With many gateways, the bound is lower for an engine outside of the sampled subset.
        assert!(
            sent >= min_sent,
            "{sent} of 200 with {gateway_count} gateways"
        );
    }
}

/// Guards against requests to other zones while an engine of the own zone is within the bound.
#[test]
fn cost_ranks_engines_within_the_bound() {
    let model = model();
    let mut fleet = Fleet::default();
    let own = add_engine(&mut fleet, "z", 3_000);
    add_engine(&mut fleet, "y", 2_500);
    let choice = selection::choose(&fleet, &criteria(&model, 6), at(0), 1);
    assert!(matches!(choice, Choice::Send { engine, .. } if engine == own));
}
