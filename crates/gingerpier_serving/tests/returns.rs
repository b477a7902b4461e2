//! Tests of the detection of returning callers.

use {
    gingerpier_base::Instant,
    gingerpier_serving::returns::{Returns, Visit},
    proptest::prelude::*,
};

const ROUTE: &str = "r";

const fn at(millis: u64) -> Instant {
    Instant::from_millis(100_000 + millis)
}

/// Returns a pseudo-random number from 0 to 999.
const fn drawn(step: u64) -> u64 {
    gingerpier_base::order::mix(step) % 1_000
}

/// Creates a detector that has seen one request every 20 ms for `millis`, without refusals.
fn learnt(millis: u64, wait: impl Fn(u64) -> u64) -> Returns {
    let mut returns = Returns::new(at(0));
    for step in 0..millis / 20 {
        returns.take(ROUTE, Some(wait(step)), at(20 * step));
    }
    returns
}

#[test]
fn drawn_waits_are_no_returns() {
    let mut returns = learnt(10_000, |step| 5_000 + drawn(step));
    let wrong = (0..1_000).filter(|step| {
        let wait = 5_000 + drawn(step + 50_000);
        returns.take(ROUTE, Some(wait), at(10_000 + step)) == Visit::Returned
    });
    let wrong = wrong.count();
    assert!(wrong <= 30, "{wrong} of 1,000 new callers");
}

#[test]
fn who_comes_back_later_than_waits_differ_is_known() {
    let mut returns = learnt(10_000, |step| 5_000 + drawn(step));
    let apart = returns.told_apart_millis(ROUTE).expect("a range");
    assert!((1_000..1_300).contains(&apart), "{apart}");
    let known = (0..1_000).filter(|step| {
        let wait = 5_000 + drawn(step + 50_000) - apart;
        returns.note_refused(at(10_000 + step));
        returns.take(ROUTE, Some(wait), at(10_000 + step)) == Visit::Returned
    });
    let known = known.count();
    assert!(known >= 970, "{known} of 1,000 that came back");
}

#[test]
fn equal_waits_are_told_apart_at_once() {
    let mut returns = learnt(10_000, |_| 6_000);
    assert_eq!(returns.take(ROUTE, Some(6_000), at(10_000)), Visit::First);
    assert_eq!(
        returns.take(ROUTE, Some(5_400), at(10_000)),
        Visit::Returned
    );
}

#[test]
fn a_few_returns_while_waits_are_learnt_change_nothing() {
    let wait = |step: u64| match step % 50 {
        0 => 4_000,
        _ => 5_000 + drawn(step),
    };
    let mut returns = learnt(20_000, wait);
    assert_eq!(
        returns.take(ROUTE, Some(4_000), at(20_000)),
        Visit::Returned
    );
    assert_eq!(returns.take(ROUTE, Some(5_500), at(20_000)), Visit::First);
}

#[test]
fn nothing_is_learnt_while_many_are_refused() {
    let mut returns = Returns::new(at(0));
    for step in 0..1_000 {
        let wait = 3_000 + drawn(step);
        let visit = returns.take(ROUTE, Some(wait), at(20 * step));
        assert_eq!(visit, Visit::Unknown);
        if step % 4 == 0 {
            returns.note_refused(at(20 * step));
        }
    }
}

/// Creates a detector under overload from its start: a third of the requests is refused and
/// returns after 0.6 to 1.6 s.
fn learnt_in_overload(wait: impl Fn(u64) -> u64) -> Returns {
    let mut returns = Returns::new(at(0));
    for step in 0..600 {
        let back = 600 + drawn(step + 90_000);
        let wait = match step % 3 {
            0 => wait(step) - back,
            _ => wait(step),
        };
        returns.take(ROUTE, Some(wait), at(20 * step));
        if step % 3 == 1 {
            returns.note_refused(at(20 * step));
        }
    }
    returns
}

/// Guards against a gateway that starts under lasting overload and never recognizes returning
/// callers.
#[test]
fn equal_waits_are_learnt_also_where_it_is_never_calm() {
    let mut returns = learnt_in_overload(|_| 6_000);
    assert_eq!(returns.take(ROUTE, Some(6_000), at(12_000)), Visit::First);
    assert_eq!(returns.take(ROUTE, Some(5_990), at(12_000)), Visit::First);
    let right = (0..600).filter(|step| {
        let now = at(12_000 + 20 * step);
        let (wait, visit) = match step % 3 {
            0 => (6_000 - 600 - drawn(*step), Visit::Returned),
            _ => (6_000, Visit::First),
        };
        returns.note_refused(now);
        returns.take(ROUTE, Some(wait), now) == visit
    });
    let right = right.count();
    assert!(right >= 590, "{right} of 600");
}

#[test]
fn waits_of_two_kinds_of_callers_tell_nothing_where_it_is_never_calm() {
    let wait = |step: u64| if step % 5 < 2 { 6_000 } else { 3_000 };
    let mut returns = learnt_in_overload(wait);
    for wait in [6_000, 3_000, 2_000] {
        assert_eq!(returns.take(ROUTE, Some(wait), at(12_000)), Visit::Unknown);
    }
}

#[test]
fn drawn_waits_tell_nothing_where_it_is_never_calm() {
    let mut returns = learnt_in_overload(|step| 5_000 + drawn(step));
    for wait in [5_900, 5_100, 4_000] {
        assert_eq!(returns.take(ROUTE, Some(wait), at(12_000)), Visit::Unknown);
    }
}

#[test]
fn what_was_learnt_in_calm_goes_before_what_overload_tells() {
    let mut returns = learnt(10_000, |step| 5_000 + drawn(step));
    for step in 0..400 {
        returns.note_refused(at(10_000 + 20 * step));
        returns.take(ROUTE, Some(6_000), at(10_000 + 20 * step));
    }
    let visit = returns.take(ROUTE, Some(5_100), at(18_000));
    assert_eq!(visit, Visit::First);
}

#[test]
fn waits_that_are_drawn_from_no_range_tell_nothing() {
    // One in five callers has a fifth of the others' patience.
    let wait = |step: u64| match step % 5 {
        0 => 1_000 + drawn(step) / 10,
        _ => 5_900 + drawn(step) / 10,
    };
    let mut returns = learnt(20_000, wait);
    let marked = (0..500).filter(|step| {
        returns.take(ROUTE, Some(wait(*step)), at(20_000 + step)) == Visit::Returned
    });
    assert_eq!(marked.count(), 0);
}

#[test]
fn other_waits_than_before_are_learnt_within_some_hundred_callers() {
    let mut returns = learnt(10_000, |step| 5_000 + drawn(step));
    let mut marked = 0;
    for step in 0..400 {
        let wait = 2_000 + drawn(step) / 2;
        let visit = returns.take(ROUTE, Some(wait), at(10_000 + 20 * step));
        marked += u32::from(visit == Visit::Returned);
    }
    assert!(marked <= 128, "{marked} of 400");
    assert_eq!(returns.take(ROUTE, Some(2_250), at(18_000)), Visit::First);
}

#[test]
fn a_wait_that_is_not_told_costs_its_request_alone() {
    let mut returns = learnt(10_000, |_| 6_000);
    for wait in [None, Some(0)] {
        assert_eq!(returns.take(ROUTE, wait, at(10_000)), Visit::Unknown);
    }
    assert_eq!(
        returns.take(ROUTE, Some(u64::MAX / 2), at(10_000)),
        Visit::First
    );
    assert_eq!(returns.take(ROUTE, Some(6_000), at(10_000)), Visit::First);
}

proptest! {
    #[test]
    fn any_waits_are_borne(waits in proptest::collection::vec(any::<u32>(), 0..400)) {
        let mut returns = Returns::new(at(0));
        for (step, wait) in waits.iter().enumerate() {
            returns.take(ROUTE, Some(u64::from(*wait)), at(5_000 + 10 * step as u64));
        }
        returns.told_apart_millis(ROUTE);
    }
}
