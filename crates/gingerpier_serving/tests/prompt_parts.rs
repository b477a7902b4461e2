//! Parts of prompts that crash engines, without I/O: which are held back, and which are not.

use gingerpier_base::Instant;
use gingerpier_serving::{
    fingerprint::{Fingerprint, MAX_SHARED_PARTS},
    report::Version,
    suspects::{Crash, Incarnation, ReportOutcome, Status, Suspects},
};

const GUILTY: Fingerprint = Fingerprint([1; 16]);
const COMMON: Fingerprint = Fingerprint([2; 16]);
const VERSION: Version = Version(1);

/// Interval between crashes that are separate.
const INTERVAL_MILLIS: u64 = 200;

fn crash(part: Fingerprint, request: u64, engine: u64, millis: u64) -> Crash {
    Crash {
        fingerprint: part,
        carrier: Some(request),
        account: 0,
        engine: Incarnation(engine),
        version: VERSION,
        at: Instant::from_millis(millis),
    }
}

/// Records crashes of engines 0 to `count` under different requests with `parts`.
fn crash_separately(suspects: &mut Suspects, parts: &[Fingerprint], engines: std::ops::Range<u64>) {
    for engine in engines {
        for part in parts {
            suspects.record_crash(crash(*part, engine, engine, engine * INTERVAL_MILLIS), 12);
        }
    }
}

fn evaluate(suspects: &mut Suspects) {
    suspects.evaluate(Instant::from_millis(1_000_000));
}

/// Guards against a part that crashes engines without limit, as its requests all differ.
#[test]
fn a_part_is_held_after_separate_crashes_under_different_requests() {
    let mut suspects = Suspects::default();
    crash_separately(&mut suspects, &[GUILTY], 0..3);
    evaluate(&mut suspects);
    assert!(!suspects.is_held(GUILTY));
    crash_separately(&mut suspects, &[GUILTY], 3..4);
    evaluate(&mut suspects);
    assert!(suspects.is_held(GUILTY));
}

/// Guards against holding a part of which only one request crashes engines.
#[test]
fn a_part_of_one_crashing_request_is_not_held() {
    let mut suspects = Suspects::default();
    let request = Fingerprint([9; 16]);
    for engine in 0..5 {
        let own = crash(GUILTY, 7, engine, engine * INTERVAL_MILLIS);
        suspects.record_crash(own, 12);
        let whole = Crash {
            fingerprint: request,
            carrier: None,
            ..own
        };
        suspects.record_crash(whole, 12);
    }
    evaluate(&mut suspects);
    assert!(!suspects.is_held(GUILTY));
    assert_eq!(suspects.status(request), Status::Held);
}

/// Guards against holding what sound requests share with the crashing ones, before and after their crashes.
#[test]
fn a_complete_response_refutes_each_part_of_its_request() {
    let mut suspects = Suspects::default();
    suspects.record_part_completion(COMMON, VERSION);
    let refuted = suspects.record_crash(crash(COMMON, 0, 0, 0), 12);
    assert_eq!(refuted, ReportOutcome::Refuted(VERSION));
    let late = Fingerprint([3; 16]);
    crash_separately(&mut suspects, &[COMMON, late, GUILTY], 0..8);
    suspects.record_refutation(late, VERSION);
    evaluate(&mut suspects);
    let held = [COMMON, late, GUILTY].map(|part| suspects.is_held(part));
    assert_eq!(held, [false, false, true]);
}

/// Guards against a part that stays on hold although a response that was under way refutes it.
#[test]
fn a_response_under_way_ends_the_hold_of_a_harmless_part() {
    let mut suspects = Suspects::default();
    crash_separately(&mut suspects, &[COMMON, GUILTY], 0..6);
    evaluate(&mut suspects);
    suspects.record_part_completion(COMMON, VERSION);
    evaluate(&mut suspects);
    assert!(!suspects.is_held(COMMON));
    assert!(suspects.is_held(GUILTY));
}

/// Guards against holding a part because many engines lost power at once.
#[test]
fn a_power_loss_does_not_hold_a_part() {
    let mut suspects = Suspects::default();
    for engine in 0..12 {
        suspects.record_crash(crash(COMMON, engine, engine, 1_000 + engine), 12);
    }
    evaluate(&mut suspects);
    assert!(!suspects.is_held(COMMON));
}

/// Guards against crashes in quick succession that all count as one common failure.
#[test]
fn crashes_in_quick_succession_hold_a_part() {
    let mut suspects = Suspects::default();
    for engine in 0..12 {
        suspects.record_crash(crash(GUILTY, engine, engine, engine * 30), 12);
    }
    evaluate(&mut suspects);
    assert!(suspects.is_held(GUILTY));
}

/// Guards against two crashing parts that hide each other, and against blaming requests for what a part explains.
#[test]
fn two_crashing_parts_are_both_held_and_explain_the_crashes_of_requests() {
    let mut suspects = Suspects::default();
    let (other, request) = (Fingerprint([4; 16]), Fingerprint([9; 16]));
    crash_separately(&mut suspects, &[GUILTY, other], 0..4);
    for engine in 0..4 {
        let whole = Crash {
            fingerprint: request,
            carrier: None,
            ..crash(GUILTY, 0, engine, engine * INTERVAL_MILLIS)
        };
        suspects.record_crash(whole, 12);
    }
    evaluate(&mut suspects);
    assert_ne!(suspects.status(request), Status::Held);
    // Only the part that is not on hold still comes.
    let free = if suspects.is_held(GUILTY) {
        other
    } else {
        GUILTY
    };
    crash_separately(&mut suspects, &[free], 4..6);
    evaluate(&mut suspects);
    assert!(suspects.is_held(GUILTY) && suspects.is_held(other));
}

/// Guards against blaming what sound requests share for the crashes of a part that an operator releases.
#[test]
fn a_released_part_leaves_its_crashes_to_no_other_part() {
    let mut suspects = Suspects::default();
    crash_separately(&mut suspects, &[GUILTY, COMMON], 0..4);
    evaluate(&mut suspects);
    assert!(suspects.is_held(GUILTY));
    suspects.dismiss(GUILTY);
    evaluate(&mut suspects);
    let held = [GUILTY, COMMON].map(|part| suspects.is_held(part));
    assert_eq!(held, [false, false]);
}

/// Guards against a hold from the store that is lost because a process doesn't know when the crashes were.
#[test]
fn an_imposed_hold_lasts_until_it_is_refuted_or_released() {
    for release in [false, true] {
        let mut suspects = Suspects::default();
        for engine in 0..4 {
            suspects.record_crash(crash(GUILTY, engine, engine, 0), 12);
        }
        suspects.impose(GUILTY);
        evaluate(&mut suspects);
        assert!(suspects.is_held(GUILTY));
        match release {
            true => drop(suspects.dismiss(GUILTY)),
            false => drop(suspects.record_refutation(GUILTY, VERSION)),
        }
        evaluate(&mut suspects);
        assert!(!suspects.is_held(GUILTY));
    }
}

/// Guards against forgetting what is answered each second because many other parts were answered once.
#[test]
fn parts_that_are_often_answered_are_remembered() {
    let mut suspects = Suspects::default();
    for number in 0..20_000_u128 {
        if number % 1_000 == 0 {
            suspects.record_part_completion(COMMON, VERSION);
        }
        suspects.record_part_completion(Fingerprint((number << 8).to_le_bytes()), VERSION);
    }
    let outcome = suspects.record_crash(crash(COMMON, 0, 0, 0), 12);
    assert_eq!(outcome, ReportOutcome::Refuted(VERSION));
}

/// Guards against blaming the part that belongs to one request alone, against spellings of one id that differ, and
/// against a prompt with parts without number.
#[test]
fn shared_parts_are_all_but_the_last_one() {
    let parts = |list: &str| Fingerprint::of_shared_parts("s", "m", list);
    assert!(parts("").is_empty() && parts("ab:3").is_empty());
    assert_eq!(parts("AB:3,c:1"), parts(" ab:40 ,d:2"));
    assert_eq!(parts("ab:3,ab:3,,cd:1,e:1").len(), 2);
    assert_ne!(
        parts("ab:3,c:1"),
        Fingerprint::of_shared_parts("s", "other", "ab:3,c:1")
    );
    let many: String = (0..1_000).map(|id| format!("{id:x}:1,")).collect();
    assert_eq!(parts(&many).len(), MAX_SHARED_PARTS);
}
