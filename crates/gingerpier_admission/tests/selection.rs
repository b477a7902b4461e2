//! Tests that a request is refused only if no engine is within the admission bound.

mod common;

use {
    common::{at, model},
    gingerpier_admission::selection::{self, Choice, Criteria},
    gingerpier_serving::{
        configuration::EngineModel,
        fleet::{EngineKey, Fleet},
        mirror::Revision,
        report::Report,
    },
};

fn add_engine(fleet: &mut Fleet, zone: &str, pending_prompt_tokens: u64) -> EngineKey {
    let report = Report {
        memory_used_tokens: pending_prompt_tokens,
        pending_prompt_tokens,
        ..common::report(1)
    };
    let number = fleet.listed().count() as u8;
    let record = common::record(number, zone, 12, report.clone());
    let key = fleet.list(record, Revision::new(1));
    fleet.engine_mut(key).record_report(report, at(0));
    key
}

fn criteria(model: &EngineModel, gateway_count: u32) -> Criteria<'_> {
    Criteria {
        gateway_count,
        ..common::criteria(model)
    }
}

/// Guards against requests to other zones while an engine of the own zone is within the bound.
#[test]
fn cost_ranks_engines() {
    let model = model();
    let mut fleet = Fleet::default();
    let own = add_engine(&mut fleet, "z", 3_000);
    add_engine(&mut fleet, "y", 2_500);
    let choice = selection::choose(&fleet, &criteria(&model, 6), at(0), 1);
    assert!(matches!(choice, Choice::Send { engine, .. } if engine == own));
}
