//! Tests of the detection of returning callers.

use {
    gingerpier_admission::return_detection::{Detector, Visit},
    gingerpier_base::Instant,
    proptest::prelude::*,
};

const ROUTE: &str = "r";

const fn at(millis: u64) -> Instant {
    Instant::from_millis(100_000 + millis)
}

/// Returns a pseudo-random number from 0 to 999.
const fn random(step: u64) -> u64 {
    gingerpier_base::order::mix(step) % 1_000
}

/// Creates a detector that has seen one request every 20 ms for `millis`, without refusals.
fn trained_detector(millis: u64, patience: impl Fn(u64) -> u64) -> Detector {
    let mut detector = Detector::new(at(0));
    for step in 0..millis / 20 {
        detector.classify(ROUTE, Some(patience(step)), at(20 * step));
    }
    detector
}

#[test]
fn first_submissions_with_random_patience_are_not_returning() {
    let mut detector = trained_detector(10_000, |step| 5_000 + random(step));
    let misclassified = (0..1_000).filter(|step| {
        let patience = 5_000 + random(step + 50_000);
        detector.classify(ROUTE, Some(patience), at(10_000 + step)) == Visit::Returned
    });
    let misclassified = misclassified.count();
    assert!(
        misclassified <= 30,
        "{misclassified} of 1,000 first submissions"
    );
}

#[test]
fn returning_callers_are_recognized_after_the_reported_delay() {
    let mut detector = trained_detector(10_000, |step| 5_000 + random(step));
    let recognizable_after = detector.recognizable_after_millis(ROUTE).expect("a range");
    assert!(
        (1_000..1_300).contains(&recognizable_after),
        "{recognizable_after}"
    );
    let recognized = (0..1_000).filter(|step| {
        let patience = 5_000 + random(step + 50_000) - recognizable_after;
        detector.record_refusal(at(10_000 + step));
        detector.classify(ROUTE, Some(patience), at(10_000 + step)) == Visit::Returned
    });
    let recognized = recognized.count();
    assert!(recognized >= 970, "{recognized} of 1,000 returning callers");
}

#[test]
fn equal_patience_is_distinguished_immediately() {
    let mut detector = trained_detector(10_000, |_| 6_000);
    assert_eq!(
        detector.classify(ROUTE, Some(6_000), at(10_000)),
        Visit::First
    );
    assert_eq!(
        detector.classify(ROUTE, Some(5_400), at(10_000)),
        Visit::Returned
    );
}

#[test]
fn few_returning_callers_do_not_distort_the_learned_range() {
    let patience = |step: u64| match step % 50 {
        0 => 4_000,
        _ => 5_000 + random(step),
    };
    let mut detector = trained_detector(20_000, patience);
    assert_eq!(
        detector.classify(ROUTE, Some(4_000), at(20_000)),
        Visit::Returned
    );
    assert_eq!(
        detector.classify(ROUTE, Some(5_500), at(20_000)),
        Visit::First
    );
}

#[test]
fn no_range_is_learned_at_a_high_refusal_rate() {
    let mut detector = Detector::new(at(0));
    for step in 0..1_000 {
        let patience = 3_000 + random(step);
        let visit = detector.classify(ROUTE, Some(patience), at(20 * step));
        assert_eq!(visit, Visit::Unknown);
        if step % 4 == 0 {
            detector.record_refusal(at(20 * step));
        }
    }
}

/// Creates a detector under overload from its start: a third of the requests is refused and
/// returns after 0.6 to 1.6 s.
fn detector_trained_under_overload(patience: impl Fn(u64) -> u64) -> Detector {
    let mut detector = Detector::new(at(0));
    for step in 0..600 {
        let retry_delay = 600 + random(step + 90_000);
        let patience = match step % 3 {
            0 => patience(step) - retry_delay,
            _ => patience(step),
        };
        detector.classify(ROUTE, Some(patience), at(20 * step));
        if step % 3 == 1 {
            detector.record_refusal(at(20 * step));
        }
    }
    detector
}

/// Guards against a gateway that starts under lasting overload and never recognizes returning
/// callers.
#[test]
fn equal_patience_is_learned_under_lasting_overload() {
    let mut detector = detector_trained_under_overload(|_| 6_000);
    assert_eq!(
        detector.classify(ROUTE, Some(6_000), at(12_000)),
        Visit::First
    );
    assert_eq!(
        detector.classify(ROUTE, Some(5_990), at(12_000)),
        Visit::First
    );
    let correct = (0..600).filter(|step| {
        let now = at(12_000 + 20 * step);
        let (patience, visit) = match step % 3 {
            0 => (6_000 - 600 - random(*step), Visit::Returned),
            _ => (6_000, Visit::First),
        };
        detector.record_refusal(now);
        detector.classify(ROUTE, Some(patience), now) == visit
    });
    let correct = correct.count();
    assert!(correct >= 590, "{correct} of 600");
}

#[test]
fn two_patience_peaks_are_not_learned_under_overload() {
    let patience = |step: u64| if step % 5 < 2 { 6_000 } else { 3_000 };
    let mut detector = detector_trained_under_overload(patience);
    for patience in [6_000, 3_000, 2_000] {
        assert_eq!(
            detector.classify(ROUTE, Some(patience), at(12_000)),
            Visit::Unknown
        );
    }
}

#[test]
fn random_patience_is_not_learned_under_overload() {
    let mut detector = detector_trained_under_overload(|step| 5_000 + random(step));
    for patience in [5_900, 5_100, 4_000] {
        assert_eq!(
            detector.classify(ROUTE, Some(patience), at(12_000)),
            Visit::Unknown
        );
    }
}

#[test]
fn samples_under_overload_do_not_replace_the_learned_range() {
    let mut detector = trained_detector(10_000, |step| 5_000 + random(step));
    for step in 0..400 {
        detector.record_refusal(at(10_000 + 20 * step));
        detector.classify(ROUTE, Some(6_000), at(10_000 + 20 * step));
    }
    let visit = detector.classify(ROUTE, Some(5_100), at(18_000));
    assert_eq!(visit, Visit::First);
}

#[test]
fn patience_of_two_groups_marks_no_caller_as_returning() {
    // One in five callers has a fifth of the others' patience.
    let patience = |step: u64| match step % 5 {
        0 => 1_000 + random(step) / 10,
        _ => 5_900 + random(step) / 10,
    };
    let mut detector = trained_detector(20_000, patience);
    let returned_count = (0..500).filter(|step| {
        detector.classify(ROUTE, Some(patience(*step)), at(20_000 + step)) == Visit::Returned
    });
    assert_eq!(returned_count.count(), 0);
}

#[test]
fn changed_patience_is_learned_again() {
    let mut detector = trained_detector(10_000, |step| 5_000 + random(step));
    let mut returned_count = 0;
    for step in 0..400 {
        let patience = 2_000 + random(step) / 2;
        let visit = detector.classify(ROUTE, Some(patience), at(10_000 + 20 * step));
        returned_count += u32::from(visit == Visit::Returned);
    }
    assert!(returned_count <= 128, "{returned_count} of 400");
    assert_eq!(
        detector.classify(ROUTE, Some(2_250), at(18_000)),
        Visit::First
    );
}

#[test]
fn missing_patience_affects_only_its_own_request() {
    let mut detector = trained_detector(10_000, |_| 6_000);
    for patience in [None, Some(0)] {
        assert_eq!(
            detector.classify(ROUTE, patience, at(10_000)),
            Visit::Unknown
        );
    }
    assert_eq!(
        detector.classify(ROUTE, Some(u64::MAX / 2), at(10_000)),
        Visit::First
    );
    assert_eq!(
        detector.classify(ROUTE, Some(6_000), at(10_000)),
        Visit::First
    );
}

proptest! {
    #[test]
    fn any_patience_is_accepted_without_panic(patiences in proptest::collection::vec(any::<u32>(), 0..400)) {
        let mut detector = Detector::new(at(0));
        for (step, patience) in patiences.iter().enumerate() {
            detector.classify(ROUTE, Some(u64::from(*patience)), at(5_000 + 10 * step as u64));
        }
        detector.recognizable_after_millis(ROUTE);
    }
}
