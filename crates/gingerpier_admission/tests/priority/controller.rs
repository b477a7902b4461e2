//! Tests of the controller with given outcomes.

use {
    gingerpier_admission::priority::{Controller, MAX_RANKS, Outcome, Rank},
    gingerpier_base::Instant,
    proptest::prelude::*,
};

const fn at(millis: u64) -> Instant {
    Instant::from_millis(50_000 + millis)
}

/// Records a second in which the first rank is refused half of the time and the second one never.
fn shortage() -> (Controller, u64) {
    let mut controller = Controller::default();
    for step in 0..40 {
        let now = at(step * 50);
        let outcome = match step % 2 {
            0 => Outcome::Full,
            _ => Outcome::OnTime,
        };
        controller.record(Rank::new(0), outcome, now);
        controller.record(Rank::new(1), Outcome::OnTime, now);
    }
    (controller, 39 * 50)
}

/// Guards against a controller that is idle in a shortage, or that refuses the most urgent rank.
#[test]
fn only_less_urgent_ranks_yield() {
    let (controller, end) = shortage();
    assert!(controller.probability(Rank::new(1), at(end)) > 0.2);
    assert_eq!(controller.probability(Rank::new(0), at(end)), 0.0);
}

/// Guards against a probability that is kept without further refusals.
#[test]
fn the_probability_is_zero_a_second_after_the_last_refusal() {
    let (mut controller, end) = shortage();
    assert!(controller.probability(Rank::new(1), at(end + 300)) > 0.2);
    assert_eq!(controller.probability(Rank::new(1), at(end + 1_000)), 0.0);
    assert!(!controller.yields(Rank::new(1), 0.0, at(end + 1_000)));
}

/// Guards against refusals of less urgent requests that count as a shortage of more urgent ones.
#[test]
fn refusals_of_less_urgent_ranks_are_no_shortage() {
    let mut controller = Controller::default();
    for step in 0..100 {
        let now = at(step * 20);
        controller.record(Rank::new(0), Outcome::Late, now);
        controller.record(Rank::new(1), Outcome::OnTime, now);
        controller.record(Rank::new(2), Outcome::Full, now);
        for rank in 0..3 {
            assert_eq!(controller.probability(Rank::new(rank), now), 0.0);
        }
    }
}

/// Guards against a rank that is starved for a more urgent one that can't be served at all, such as
/// one whose target no engine meets.
#[test]
fn a_minimum_share_is_kept_if_yielding_does_not_help() {
    let mut controller = Controller::default();
    let mut rng = fastrand::Rng::with_seed(1);
    let (mut served, mut all) = (0.0, 0.0);
    for step in 0..2_000 {
        let now = at(step * 100);
        controller.record(Rank::new(0), Outcome::Full, now);
        let outcome = match controller.yields(Rank::new(1), rng.f64(), now) {
            true => Outcome::Yielded,
            false => Outcome::OnTime,
        };
        controller.record(Rank::new(1), outcome, now);
        if step >= 1_000 {
            served += f64::from(u8::from(outcome == Outcome::OnTime));
            all += 1.0;
        }
    }
    // A quarter of the mean share that is possible, which is a half.
    let share = served / all;
    assert!((0.125..0.5).contains(&share), "{share}");
}

/// Guards against a shortage that is assumed, or that goes on, while fewer than 1% of the more
/// urgent requests are refused.
#[test]
fn few_refusals_of_many_requests_are_no_shortage() {
    let rare = |controller: &mut Controller, start: u64| {
        for step in 0..30_000 {
            let now = at(start + step);
            let outcome = match step % 200 {
                0 => Outcome::Full,
                _ => Outcome::Late,
            };
            controller.record(Rank::new(0), outcome, now);
            controller.record(Rank::new(1), Outcome::OnTime, now);
        }
        controller.probability(Rank::new(1), at(start + 30_000))
    };
    assert_eq!(rare(&mut Controller::default(), 0), 0.0);
    let (mut controller, end) = shortage();
    assert_eq!(rare(&mut controller, end), 0.0);
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(64))]

    /// Guards against unbounded state, invalid probabilities, and refusals without any shortage, for
    /// any sequence of outcomes and any clock steps.
    #[test]
    fn probabilities_are_valid_and_need_refusals_of_more_urgent_ranks(
        events in prop::collection::vec((0_u8..12, 0_u8..6, 0_u64..3_000), 1..400),
    ) {
        let outcomes = [
            Outcome::OnTime,
            Outcome::Late,
            Outcome::OnRetry,
            Outcome::Full,
            Outcome::Yielded,
            Outcome::Failed,
        ];
        let mut controller = Controller::default();
        let mut last_refusals = [None; MAX_RANKS];
        let mut millis = 0;
        for (rank, outcome, pause) in events {
            // Mostly dense, with a few pauses.
            millis += if pause > 2_900 { pause } else { pause % 40 };
            let rank = Rank::new(rank);
            controller.record(rank, outcomes[outcome as usize], at(millis));
            if outcomes[outcome as usize] == Outcome::Full {
                last_refusals[rank.index()] = Some(millis);
            }
            for other in 0..MAX_RANKS {
                let probability = controller.probability(Rank::new(other as u8), at(millis));
                prop_assert!((0.0..=1.0).contains(&probability));
                let is_recent = |last: &Option<u64>| last.is_some_and(|last| millis < last + 1_000);
                if !last_refusals[..other].iter().any(is_recent) {
                    prop_assert_eq!(probability, 0.0);
                }
            }
        }
    }

    /// Guards against starving a rank: whatever part of the most urgent rank admission serves, and
    /// a fifth or more of the others, each of these keeps a quarter of the mean share.
    #[test]
    fn every_rank_keeps_a_minimum_share(
        most_urgent in 0.0_f64..1.0,
        others in prop::collection::vec(0.2_f64..1.0, 1..4),
        per_second in 2.0_f64..100.0,
        seed in any::<u64>(),
    ) {
        let admitted = [vec![most_urgent], others].concat();
        let mut rng = fastrand::Rng::with_seed(seed);
        let mut controller = Controller::default();
        let mut served = vec![(0.0, 0.0); admitted.len()];
        let mut millis = 0.0;
        for _ in 0..4_000 {
            millis += 1_000.0 / per_second / admitted.len() as f64;
            let index = rng.usize(..admitted.len());
            let (rank, now) = (Rank::new(index as u8), at(millis as u64));
            let draw = rng.f64();
            let outcome = if controller.yields(rank, draw, now) {
                Outcome::Yielded
            } else if rng.f64() < admitted[index] {
                Outcome::OnTime
            } else {
                Outcome::Full
            };
            controller.record(rank, outcome, now);
            served[index].0 += f64::from(u8::from(outcome == Outcome::OnTime));
            served[index].1 += 1.0;
        }
        let shares: Vec<f64> = served.iter().map(|(served, all)| served / all).collect();
        let mean = shares.iter().sum::<f64>() / shares.len() as f64;
        for share in &shares[1..] {
            prop_assert!(*share >= 0.25 * mean, "{:?} admitted {:?}", shares, admitted);
        }
    }
}
