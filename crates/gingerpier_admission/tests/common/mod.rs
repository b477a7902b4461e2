//! Engines and criteria that several tests share.

use {
    gingerpier_admission::{fairness::Adjustment, selection::Criteria, shedding},
    gingerpier_base::Instant,
    gingerpier_serving::{
        configuration::EngineModel,
        fleet::{Record, State},
        region::RegionSet,
        report::{Held, Report, Version},
        warmup::ColdLimits,
    },
};

/// Time `millis` after the start of a test; instants of the product are never near zero.
pub const fn at(millis: u64) -> Instant {
    Instant::from_millis(100_000 + millis)
}

/// Model of engines with 12 slots.
pub fn model() -> EngineModel {
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

/// Report of an engine with `active` running requests.
pub fn report(active: u32) -> Report {
    Report {
        loaded: vec![Held {
            model: "m".to_owned(),
            version: Version(1),
        }],
        active,
        slowdown: 1.0,
        ..Report::default()
    }
}

/// Store entry of the engine `number` in `zone`.
pub fn record(number: u8, zone: &str, slots: u32, report: Report) -> Record {
    Record {
        id: format!("e{number}"),
        service: "s".to_owned(),
        address: ([10, 0, 0, number], 80).into(),
        zone: zone.to_owned(),
        state: State::Ready,
        slots,
        cold_millis: 0,
        report,
    }
}

/// Criteria of a usual request at a gateway of zone `z`, the only one.
pub fn criteria(model: &EngineModel) -> Criteria<'_> {
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
        gateway_count: 1,
        other_arrivals_per_milli: 0.0,
        overtaking_per_milli: 0.0,
        tried_engines: &[],
        may_crash_engine: false,
    }
}
