//! Guards against requests that keep crashing engines, and against innocent requests that are held
//! back, with lost messages, network partitions and restarts.
//!
//! Simulates gateways, engines and callers with known causes of crashes. The code under test
//! decides; the simulation handles messages as the processes do: a crash is broadcast at once and
//! twice again, a digest is compared with another gateway each second, and a request with a case
//! runs as a trial.
//!
//! With each of two rules disabled, the simulation must fail: replication between zones, and
//! refutation by complete responses.

mod model;

use {
    gingerpier_base::Instant,
    gingerpier_serving::{
        fingerprint::{Fingerprint, Input},
        report::Version,
        suspects::{Crash, Incarnation, ReportOutcome, Status, Suspects},
        trials::{CONFLICT_WINDOW_MILLIS, TRIAL_TIMEOUT_MILLIS, Trial, Trials},
    },
    model::{Disabled, Outcome, Policy, Scenario, simulate},
    std::net::SocketAddr,
};

/// Seeds per scenario.
const SEEDS: u64 = 500;

/// Runs in the table.
const TABLE_RUNS: usize = 1_000;

/// Maximum median of engines that a crashing request crashes: those that hold it back, and one in
/// flight.
const MAX_MEDIAN_CRASHES: usize = 5;

fn crash_at(fingerprint: Fingerprint, engine: u64, millis: u64) -> Crash {
    Crash {
        fingerprint,
        carrier: None,
        account: 1,
        engine: Incarnation(engine),
        version: Version(1),
        at: Instant::from_millis(millis),
    }
}

/// Evaluates after all reports have settled.
fn evaluate(suspects: &mut Suspects) -> Vec<Fingerprint> {
    suspects.evaluate(Instant::from_millis(1_000_000))
}

fn fingerprint(number: u8) -> Fingerprint {
    Fingerprint([number; 16])
}

fn simulate_all(disabled: Disabled, policy: Policy) -> impl Iterator<Item = Outcome> {
    (0..SEEDS).flat_map(move |seed| {
        [Scenario::CommonFailures, Scenario::Calm]
            .map(|scenario| simulate(seed, scenario, disabled, policy))
    })
}

#[test]
fn a_crashing_request_crashes_few_engines_and_no_innocent_one_is_held_back() {
    let mut ended: Vec<usize> = Vec::new();
    for outcome in simulate_all(Disabled::Nothing, Policy::Attribution) {
        assert!(outcome.late_sends <= 3, "{outcome:?}");
        assert_eq!(outcome.held_innocents, 0, "{outcome:?}");
        ended.extend(outcome.ended);
    }
    ended.sort_unstable();
    let median = ended[ended.len() / 2];
    assert!(median <= MAX_MEDIAN_CRASHES, "median {median}");
}

#[test]
fn the_simulation_fails_without_replication_between_zones() {
    let mut outcomes = simulate_all(Disabled::Replication, Policy::Attribution);
    assert!(outcomes.any(|outcome| outcome.late_sends > 3));
}

#[test]
fn the_simulation_fails_without_refutation_by_responses() {
    let mut outcomes = simulate_all(Disabled::Refutation, Policy::Attribution);
    assert!(outcomes.any(|outcome| outcome.held_innocents > 0));
}

/// Prints the results of each policy on the same seeds.
#[test]
#[ignore = "prints a table; run by hand"]
fn compare_policies() {
    for policy in [Policy::Attribution, Policy::CrashCount, Policy::Likelihood] {
        let mut ended = Vec::new();
        let (mut held, mut late_runs) = (0, 0);
        for outcome in simulate_all(Disabled::Nothing, policy).take(TABLE_RUNS) {
            held += outcome.held_innocents;
            late_runs += usize::from(outcome.late_sends > 3);
            ended.extend(outcome.ended);
        }
        ended.sort_unstable();
        let (median, max_crashes) = (ended[ended.len() / 2], ended[ended.len() - 1]);
        println!(
            "{policy:?}: held innocents {held}, runs over the bound {late_runs}, crashes median {median}, most {max_crashes}"
        );
    }
}

#[test]
fn fingerprints_are_equal_for_retries_only() {
    let input = Input {
        host: "h.example",
        target: b"/a/b",
        account: "t",
        body: b"body",
    };
    let same = Input {
        host: "H.example",
        ..input
    };
    assert_eq!(Fingerprint::of(&input), Fingerprint::of(&same));
    let others = [
        Input {
            host: "i.example",
            ..input
        },
        Input {
            target: b"/a/b?c",
            ..input
        },
        Input {
            account: "u",
            ..input
        },
        Input {
            body: b"bodz",
            ..input
        },
        // Content moved to the neighbouring part.
        Input {
            target: b"/a/bt",
            account: "",
            ..input
        },
    ];
    for other in others {
        assert_ne!(Fingerprint::of(&input), Fingerprint::of(&other));
    }
}

#[test]
fn four_separate_crashes_hold_a_request_back() {
    let mut suspects = Suspects::default();
    assert_eq!(
        suspects.record_crash(crash_at(fingerprint(1), 1, 0), 12),
        ReportOutcome::New
    );
    assert_eq!(
        suspects.record_crash(crash_at(fingerprint(1), 1, 10), 12),
        ReportOutcome::Known,
        "reported twice"
    );
    assert_eq!(suspects.status(fingerprint(1)), Status::SingleCrash);
    suspects.record_crash(crash_at(fingerprint(1), 2, 300), 12);
    suspects.record_crash(crash_at(fingerprint(1), 3, 600), 12);
    assert!(evaluate(&mut suspects).is_empty());
    assert_eq!(
        suspects.record_crash(crash_at(fingerprint(1), 4, 900), 12),
        ReportOutcome::New
    );
    assert_eq!(
        suspects.status(fingerprint(1)),
        Status::Suspect,
        "not evaluated yet"
    );
    assert_eq!(evaluate(&mut suspects), [fingerprint(1)]);
    assert_eq!(suspects.status(fingerprint(1)), Status::Held);
    assert_eq!(suspects.status(fingerprint(2)), Status::Clear);
}

#[test]
fn continuous_crashes_do_not_postpone_the_evaluation() {
    let mut suspects = Suspects::default();
    let mut held = Vec::new();
    for millis in 0..200 {
        suspects.record_crash(crash_at(fingerprint(2), 1_000 + millis, millis), 5_000);
        if millis % 30 == 0 {
            suspects.record_crash(crash_at(fingerprint(1), millis, millis), 5_000);
        }
        let now = Instant::from_millis(millis);
        if suspects
            .evaluation_due_at()
            .is_some_and(|at| at.has_passed(now))
        {
            held.extend(suspects.evaluate(now));
        }
    }
    assert!(held.contains(&fingerprint(1)), "{held:?}");
}

#[test]
fn a_common_failure_holds_a_request_back_only_from_five_crashes() {
    let mut suspects = Suspects::default();
    for engine in 0..4 {
        suspects.record_crash(crash_at(fingerprint(1), engine, 1_000 + engine), 12);
    }
    assert!(
        evaluate(&mut suspects).is_empty(),
        "a common failure of a third of all engines"
    );
    suspects.record_crash(crash_at(fingerprint(1), 4, 1_004), 12);
    assert_eq!(evaluate(&mut suspects), [fingerprint(1)]);
}

#[test]
fn requests_beside_a_crashing_one_are_not_held_back() {
    let mut suspects = Suspects::default();
    // Request 1 crashes engines 1 to 4, request 2 crashes 5 to 8; request 3 ran at one of each and
    // at two later ones.
    for (request, engines) in [(1, 1..5), (2, 5..9)] {
        for engine in engines {
            suspects.record_crash(crash_at(fingerprint(request), engine, engine * 300), 12);
        }
    }
    for engine in [1, 5, 9, 10] {
        suspects.record_crash(crash_at(fingerprint(3), engine, engine * 300), 12);
    }
    evaluate(&mut suspects);
    let standings = [1, 2, 3].map(|request| suspects.status(fingerprint(request)));
    assert_eq!(standings, [Status::Held, Status::Held, Status::Suspect]);
}

#[test]
fn a_complete_response_refutes_crashes_up_to_its_version() {
    let mut suspects = Suspects::default();
    suspects.record_completion(fingerprint(1), Version(1));
    let noted = suspects.record_crash(crash_at(fingerprint(1), 1, 0), 12);
    assert_eq!(
        noted,
        ReportOutcome::Refuted(Version(1)),
        "the reporter should be told"
    );
    for engine in 2..6 {
        let crash = Crash {
            version: Version(2),
            ..crash_at(fingerprint(1), engine, engine * 300)
        };
        suspects.record_crash(crash, 12);
    }
    assert_eq!(
        evaluate(&mut suspects),
        [fingerprint(1)],
        "the response was from older weights"
    );
    assert!(suspects.record_refutation(fingerprint(1), Version(2)));
    assert_eq!(suspects.status(fingerprint(1)), Status::Clear);
}

#[test]
fn a_dismissal_lasts_until_four_more_crashes() {
    let mut suspects = Suspects::default();
    for engine in 0..4 {
        suspects.record_crash(crash_at(fingerprint(1), engine, engine * 300), 12);
    }
    let dismissed = suspects.dismiss(fingerprint(1));
    assert_eq!(suspects.status(fingerprint(1)), Status::Clear);
    for engine in 4..8 {
        suspects.record_crash(crash_at(fingerprint(1), engine, engine * 300), 12);
    }
    assert_eq!(evaluate(&mut suspects), [fingerprint(1)]);
    // The dismissal may arrive before the crashes.
    let mut other = Suspects::default();
    for engine in dismissed {
        assert!(other.record_dismissal(fingerprint(1), 1, engine));
    }
    for engine in 0..4 {
        other.record_crash(crash_at(fingerprint(1), engine, engine * 300), 12);
    }
    assert!(evaluate(&mut other).is_empty());
    assert_eq!(other.status(fingerprint(1)), Status::Clear);
}

#[test]
fn a_flooding_account_evicts_only_its_own_cases_and_none_held_back() {
    let mut suspects = Suspects::default();
    for engine in 0..4 {
        suspects.record_crash(crash_at(fingerprint(1), engine, engine * 300), 12);
    }
    evaluate(&mut suspects);
    let other = Crash {
        account: 2,
        ..crash_at(fingerprint(2), 9, 2_000)
    };
    suspects.record_crash(other, 12);
    for number in 0..5_000_u64 {
        let mut bytes = [0; 16];
        bytes[..8].copy_from_slice(&(number + 1_000).to_le_bytes());
        suspects.record_crash(
            crash_at(Fingerprint(bytes), 100 + number, 3_000 + number * 100),
            12,
        );
    }
    assert_eq!(suspects.status(fingerprint(1)), Status::Held);
    assert_eq!(
        suspects.status(fingerprint(2)),
        Status::SingleCrash,
        "a case of another account"
    );
    assert!(suspects.count() <= 1_024);
}

#[test]
fn digests_are_equal_in_any_order_of_reports() {
    let crashes: Vec<Crash> = (0..3)
        .map(|engine| crash_at(fingerprint(1), engine, engine * 300))
        .collect();
    let (mut one, mut other) = (Suspects::default(), Suspects::default());
    assert_eq!(one.digest(), 0);
    for crash in &crashes {
        one.record_crash(*crash, 12);
    }
    for crash in crashes.iter().rev() {
        other.record_crash(*crash, 12);
    }
    assert_eq!(one.digest(), other.digest());
    other.record_refutation(fingerprint(1), Version(1));
    assert_ne!(one.digest(), other.digest());
}

#[test]
fn the_lower_of_two_simultaneous_trials_continues() {
    let at = Instant::from_millis;
    let trial = |last, request, engine| Trial {
        gateway: SocketAddr::from(([10, 0, 0, last], 1)),
        fingerprint: fingerprint(request),
        engine: Some(Incarnation(engine)),
    };
    let (lower, higher) = (trial(1, 1, 7), trial(2, 1, 8));
    let mut trials = Trials::default();
    trials.record_start(higher, at(0));
    trials.record_start(lower, at(CONFLICT_WINDOW_MILLIS - 1));
    assert!(
        trials.may_continue(&lower, at(CONFLICT_WINDOW_MILLIS - 1)),
        "same request"
    );
    assert!(!trials.may_continue(&higher, at(CONFLICT_WINDOW_MILLIS - 1)));
    trials.record_end(lower.fingerprint, lower.gateway);
    assert!(trials.may_continue(&higher, at(CONFLICT_WINDOW_MILLIS)));
    let beside = trial(1, 2, 8);
    trials.record_start(beside, at(CONFLICT_WINDOW_MILLIS));
    assert!(
        !trials.may_continue(&beside, at(CONFLICT_WINDOW_MILLIS)),
        "the engine is reserved for another trial"
    );
    assert!(trials.is_on_trial(fingerprint(1), at(30)));
    assert!(
        !trials.is_on_trial(fingerprint(1), at(TRIAL_TIMEOUT_MILLIS)),
        "the trial timed out"
    );
}
