//! Tests of the prediction for requests that more urgent ones overtake in an engine's queue.

use {
    gingerpier_admission::{
        fairness::Adjustment,
        selection::{self, Choice, Criteria},
    },
    gingerpier_base::Instant,
    gingerpier_serving::{
        configuration::EngineModel,
        fleet::{Fleet, Record, State},
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
        slots: 16,
        stride: 5,
        step_millis: 9.27,
        per_request_millis: 0.0232,
        per_thousand_tokens_millis: 0.0322,
        prompt_tokens_per_milli: 20.7,
        max_prompt_tokens_per_pass: Some(2_048),
        mean_prompt_tokens: 979,
        mean_answer_tokens: 92,
        memory_tokens: 317_000,
        models: vec!["m".to_owned()],
    }
}

/// Creates a fleet of one engine with `active` running requests.
fn fleet(active: u32) -> Fleet {
    let report = Report {
        loaded: vec![Held {
            model: "m".to_owned(),
            version: Version(1),
        }],
        active,
        slowdown: 1.0,
        ..Report::default()
    };
    let mut fleet = Fleet::default();
    let key = fleet.list(
        Record {
            id: "e".to_owned(),
            service: "s".to_owned(),
            address: ([10, 0, 0, 1], 80).into(),
            zone: "z".to_owned(),
            state: State::Ready,
            slots: 16,
            cold_millis: 0,
            report: report.clone(),
        },
        Revision(1),
    );
    fleet.engine_mut(key).record_report(report, at(0));
    fleet
}

/// Returns the prediction at an engine with `requests` requests.
fn predicted_millis(requests: u32, overtaking_per_milli: f64) -> f64 {
    let model = model();
    let criteria = Criteria {
        service: "s",
        engine_model: Some(&model),
        model: Some("m"),
        cutovers: &[],
        resume_version: None,
        prompt_tokens: 900,
        target_millis: 100_000,
        target_share: 1.0,
        fairness: Adjustment::default(),
        zone: "z",
        gateway_count: 1,
        other_arrivals_per_milli: 0.0,
        overtaking_per_milli,
        tried_engines: &[],
        may_crash_engine: false,
        allowed_regions: RegionSet::ALL,
        cold_limits: ColdLimits::NEVER_COLD,
    };
    match selection::choose(&fleet(requests), &criteria, at(0), 0) {
        Choice::Send {
            predicted_millis, ..
        } => predicted_millis,
        other => panic!("{other:?}"),
    }
}

/// Guards against less urgent requests that are admitted to a queue in which more urgent ones
/// overtake them, so that they are late.
#[test]
fn a_queued_request_waits_longer_if_others_overtake_it() {
    let alone = predicted_millis(20, 0.0);
    let few = predicted_millis(20, 0.002);
    let many = predicted_millis(20, 0.004);
    assert!(
        alone * 1.05 < few && few * 1.05 < many,
        "{alone} {few} {many}"
    );
    // A rate beyond the engine's capacity still gives a bounded prediction.
    assert!(predicted_millis(20, 10.0) < 10.0 * alone);
}

/// Guards against longer predictions, and so refusals, where an engine has a free slot and nothing
/// can overtake.
#[test]
fn without_a_queue_nothing_overtakes() {
    for requests in [0, 8, 15] {
        let alone = predicted_millis(requests, 0.0);
        assert_eq!(
            predicted_millis(requests, 0.01),
            alone,
            "{requests} requests"
        );
    }
}
