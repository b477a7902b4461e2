//! Tests that under overload, requests with little slack aren't always refused in favor of those
//! with much.

use {
    gingerpier_admission::{
        fairness::{Adjustment, SlackStats},
        return_detection::Visit,
        selection::{self, Choice, Criteria},
        shedding::{self, Controller},
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
        Revision::new(1),
    );
    fleet.engine_mut(key).record_report(report, at(0));
    fleet
}

/// Returns the highest number of running requests at which the engine still admits a request.
fn max_running_at_admission(
    fairness: Adjustment,
    target_share: f64,
    prompt_tokens: u64,
    target_millis: u64,
) -> u32 {
    let model = model();
    let criteria = Criteria {
        service: "s",
        engine_model: Some(&model),
        model: Some("m"),
        cutovers: &[],
        resume_version: None,
        prompt_tokens,
        target_millis,
        target_share,
        fairness,
        zone: "z",
        gateway_count: 1,
        other_arrivals_per_milli: 0.0,
        overtaking_per_milli: 0.0,
        tried_engines: &[],
        may_crash_engine: false,
        allowed_regions: RegionSet::ALL,
        cold_limits: ColdLimits::NEVER_COLD,
    };
    let is_admitted = |active: &u32| {
        let choice = selection::choose(&fleet(*active), &criteria, at(0), 0);
        matches!(choice, Choice::Send { .. })
    };
    (0..40).take_while(is_admitted).last().unwrap_or_default()
}

const FIRST_ATTEMPT_SHARE: f64 = shedding::TARGET_SHARE;

#[test]
fn under_overload_refusal_does_not_depend_on_prompt_or_target() {
    let inactive = Adjustment::default();
    let active = Adjustment {
        weight: 1.0,
        common_slack_millis: 200.0,
    };
    let all = [
        (100, 500),
        (979, 500),
        (3_500, 500),
        (979, 400),
        (3_500, 400),
    ];
    let limits = |even| {
        all.map(|(prompt, target)| {
            max_running_at_admission(even, FIRST_ATTEMPT_SHARE, prompt, target)
        })
    };
    let individual = limits(inactive);
    assert!(
        individual[0] > individual[2],
        "{individual:?}: without overload, small prompts have more slack"
    );
    let equalized = limits(active);
    assert!(
        equalized.iter().all(|limit| *limit == equalized[0]),
        "{equalized:?}"
    );
    assert!(equalized[0] >= 16, "{equalized:?}: every slot can be used");
}

/// Creates a controller after 100 first attempts in one second, of which one in
/// `refusal_interval` was refused.
fn controller_after_refusals(
    refusal_interval: u64,
    slack_millis: impl Fn(u64) -> f64,
) -> Controller {
    let mut controller = Controller::default();
    for step in 0..100 {
        let is_refused = step % refusal_interval == 0;
        controller.record(
            Visit::First,
            is_refused,
            Some(slack_millis(step)),
            at(10 * step),
        );
    }
    controller
}

#[test]
fn fairness_applies_only_during_overload() {
    let calm = controller_after_refusals(1_000, |_| 300.0);
    assert!(calm.fairness(at(1_000)).weight < 0.2, "a single refusal");
    let mut overloaded = controller_after_refusals(2, |_| 300.0);
    assert_eq!(overloaded.fairness(at(1_000)).weight, 1.0);
    for step in 0..300 {
        overloaded.record(Visit::First, false, Some(300.0), at(1_000 + 10 * step));
    }
    assert!(
        overloaded.fairness(at(4_000)).weight < 0.3,
        "no refusal for 3 s"
    );
}

/// Guards against idle capacity caused by a few requests without slack.
#[test]
fn few_requests_without_slack_do_not_lower_the_common_slack() {
    let slack_millis = |step| if step % 20 == 0 { -2_000.0 } else { 300.0 };
    let even = controller_after_refusals(2, slack_millis).fairness(at(1_000));
    assert!(even.common_slack_millis > 80.0, "{even:?}");
    assert!(even.common_slack_millis < 300.0, "{even:?}");
}

#[test]
fn no_common_slack_from_too_few_requests() {
    let mut stats = SlackStats::default();
    for step in 0..4 {
        stats.record(300.0, at(step));
    }
    assert_eq!(stats.common_slack_millis(), None);
    // Samples older than the time constant have little weight.
    for step in 0..100 {
        stats.record(300.0, at(10 + step));
    }
    for step in 0..40 {
        stats.record(100.0, at(12_000 + 100 * step));
    }
    assert!(
        stats
            .common_slack_millis()
            .is_some_and(|common| common < 150.0)
    );
}
