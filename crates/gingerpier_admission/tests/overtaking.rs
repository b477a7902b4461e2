//! Tests of the prediction for requests that more urgent ones overtake in an engine's queue.

#[expect(dead_code, reason = "other tests use the rest")]
mod common;

use {
    common::at,
    gingerpier_admission::selection::{self, Choice, Criteria},
    gingerpier_serving::{configuration::EngineModel, fleet::Fleet, mirror::Revision},
};

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
    let report = common::report(active);
    let mut fleet = Fleet::default();
    let key = fleet.list(common::record(1, "z", 16, report.clone()), Revision::new(1));
    fleet.engine_mut(key).record_report(report, at(0));
    fleet
}

/// Returns the prediction at an engine with `requests` requests.
fn predicted_millis(requests: u32, overtaking_per_milli: f64) -> f64 {
    let model = model();
    let criteria = Criteria {
        target_millis: 100_000,
        target_share: 1.0,
        overtaking_per_milli,
        ..common::criteria(&model)
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
