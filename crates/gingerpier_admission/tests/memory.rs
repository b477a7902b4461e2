//! Guards against requests that are sent to engines whose memory can't hold their prompts, where
//! they would wait until others end.

#[expect(dead_code, reason = "other tests use the rest")]
mod common;

use {
    gingerpier_admission::selection::{self, Availability, Choice, Criteria},
    gingerpier_base::Instant,
    gingerpier_serving::{
        configuration::EngineModel,
        fleet::{EngineKey, Fleet},
        mirror::Revision,
        report::Report,
    },
};

const TOTAL_TOKENS: u64 = 10_000;

const fn at(millis: u64) -> Instant {
    Instant::from_millis(millis)
}

fn model() -> EngineModel {
    EngineModel {
        slots: 16,
        stride: 7,
        step_millis: 9.27,
        per_request_millis: 0.0232,
        per_thousand_tokens_millis: 0.0322,
        prompt_tokens_per_milli: 20.7,
        max_prompt_tokens_per_pass: Some(2_048),
        mean_prompt_tokens: 979,
        mean_answer_tokens: 92,
        memory_tokens: TOTAL_TOKENS,
        models: vec!["m".to_owned()],
    }
}

fn report(active: u32, used: u64, total: u64) -> Report {
    Report {
        memory_used_tokens: used,
        memory_total_tokens: total,
        ..common::report(active)
    }
}

/// Creates a fleet with an engine for each report.
fn fleet(reports: &[Report]) -> (Fleet, Vec<EngineKey>) {
    let mut fleet = Fleet::default();
    let mut list = |(number, report): (u8, &Report)| {
        let record = common::record(number, "z", 16, report.clone());
        let key = fleet.list(record, Revision::new(1));
        fleet.engine_mut(key).record_report(report.clone(), at(0));
        key
    };
    let keys = (1..).zip(reports).map(&mut list).collect();
    (fleet, keys)
}

/// Passes the criteria of a request with `prompt_tokens` to `decide`.
fn with_criteria<T>(prompt_tokens: u64, decide: impl FnOnce(&Criteria<'_>) -> T) -> T {
    let model = model();
    decide(&Criteria {
        prompt_tokens,
        target_millis: 500,
        ..common::criteria(&model)
    })
}

fn choose(fleet: &Fleet, prompt_tokens: u64) -> Choice {
    with_criteria(prompt_tokens, |criteria| {
        selection::choose(fleet, criteria, at(10), 0)
    })
}

fn selected(choice: Choice) -> Option<EngineKey> {
    match choice {
        Choice::Send { engine, .. } => Some(engine),
        Choice::Full(_) | Choice::NoEngine => None,
    }
}

#[test]
fn a_prompt_that_exceeds_the_free_memory_is_refused_as_for_a_full_engine() {
    let (fleet, keys) = fleet(&[report(1, 9_500, TOTAL_TOKENS)]);
    assert_eq!(selected(choose(&fleet, 500)), Some(keys[0]));
    let Choice::Full(refusal) = choose(&fleet, 501) else {
        panic!("the engine exists and is full");
    };
    assert!(refusal.predicted_millis().is_finite());
    let counts = with_criteria(501, |criteria| {
        selection::count_availability(&fleet, criteria, at(10))
    });
    assert_eq!(counts.count(Availability::Full), 1);
}

#[test]
fn an_engine_with_memory_is_chosen_even_if_it_is_slower() {
    let idle_without = report(0, TOTAL_TOKENS, TOTAL_TOKENS);
    let busy_with = report(6, 2_000, TOTAL_TOKENS);
    let (fleet, keys) = fleet(&[idle_without, busy_with]);
    assert_eq!(selected(choose(&fleet, 900)), Some(keys[1]));
}

#[test]
fn prompts_sent_since_the_report_use_memory_until_it_counts_them() {
    let (mut fleet, keys) = fleet(&[report(1, 8_000, TOTAL_TOKENS)]);
    assert!(selected(choose(&fleet, 900)).is_some());
    fleet.engine_mut(keys[0]).record_sent(1_500, at(5));
    assert_eq!(selected(choose(&fleet, 900)), None);
    assert!(selected(choose(&fleet, 400)).is_some());
}

#[test]
fn an_engine_that_reports_no_capacity_is_not_limited() {
    let (fleet, keys) = fleet(&[report(1, 50_000, 0)]);
    assert_eq!(selected(choose(&fleet, 900)), Some(keys[0]));
}
