//! Cost of selecting an engine for one request, with idle, mixed and full engines.

use {
    gingerpier_admission::{
        fairness::Adjustment,
        selection::{self, Criteria},
        shedding,
    },
    gingerpier_base::Instant,
    gingerpier_benches::{bounds::Report as Figures, options::Options},
    gingerpier_serving::{
        configuration::EngineModel,
        fleet::{Fleet, Record, State},
        mirror::Revision,
        region::RegionSet,
        report::{Held, Report, Version},
        warmup::ColdLimits,
    },
    std::hint::black_box,
};

const ZONES: u32 = 3;

/// Decisions of one measurement, divided by the number of engines.
const ENGINE_VISITS: u32 = 600_000;

/// Measurements of which the shortest counts, as other processes disturb the others.
const RUNS: usize = 40;

fn model() -> EngineModel {
    EngineModel {
        slots: 12,
        stride: 7,
        step_millis: 7.4,
        per_request_millis: 0.02,
        per_thousand_tokens_millis: 0.03,
        prompt_tokens_per_milli: 31.9,
        max_prompt_tokens_per_pass: Some(2_048),
        mean_prompt_tokens: 900,
        mean_answer_tokens: 110,
        memory_tokens: 317_000,
        models: vec!["m".to_owned()],
    }
}

fn fleet(engines: u32, active: impl Fn(u32) -> u32, now: Instant) -> Fleet {
    let mut fleet = Fleet::default();
    for index in 0..engines {
        let report = Report {
            loaded: vec![Held {
                model: "m".to_owned(),
                version: Version(1),
            }],
            active: active(index),
            slowdown: 1.0,
            ..Report::default()
        };
        let record = Record {
            id: format!("e{index}"),
            service: "s".to_owned(),
            address: ([10, 0, (index >> 8) as u8, index as u8], 80).into(),
            zone: format!("z{}", index % ZONES),
            state: State::Ready,
            slots: 12,
            cold_millis: 0,
            report: report.clone(),
        };
        let key = fleet.list(record, Revision::new(1));
        fleet.engine_mut(key).record_report(report, now);
    }
    fleet
}

/// Nanoseconds of one decision.
fn decision_nanos(engines: u32, active: impl Fn(u32) -> u32) -> f64 {
    let now = Instant::from_millis(100_000);
    let fleet = fleet(engines, active, now);
    let model = model();
    let criteria = Criteria {
        service: "s",
        engine_model: Some(&model),
        model: Some("m"),
        cutovers: &[],
        resume_version: None,
        prompt_tokens: 900,
        target_millis: 400,
        target_share: shedding::TARGET_SHARE,
        fairness: Adjustment::default(),
        allowed_regions: RegionSet::ALL,
        cold_limits: ColdLimits::NEVER_COLD,
        zone: "z0",
        gateway_count: 29,
        other_arrivals_per_milli: 0.5,
        overtaking_per_milli: 0.0,
        tried_engines: &[],
        may_crash_engine: false,
    };
    let decisions = ENGINE_VISITS / engines;
    let measure = |_| {
        let start = std::time::Instant::now();
        for draw in 0..decisions {
            black_box(selection::choose(&fleet, &criteria, now, draw.into()));
        }
        start.elapsed().as_nanos() as f64 / f64::from(decisions)
    };
    (0..RUNS).map(measure).fold(f64::INFINITY, f64::min)
}

fn main() {
    let options = Options::read();
    let mut figures = Figures::new("selection", options.check());
    for engines in [45, 300, 3_000] {
        figures.line(
            &format!("scenario=engines_{engines}"),
            &[
                ("idle_ns", decision_nanos(engines, |_| 1)),
                ("mixed_ns", decision_nanos(engines, |index| index * 7 % 20)),
                ("full_ns", decision_nanos(engines, |_| 30)),
            ],
        );
    }
    figures.end();
}
