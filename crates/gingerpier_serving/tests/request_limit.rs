//! Guards against gateways that together exceed an engine's request limit, leave it idle, or never
//! notice its end.

use {
    gingerpier_base::{Instant, order},
    gingerpier_serving::{
        request_limit::{self, Schedule, WINDOW_MILLIS},
        signals::{RequestLimit, SignalState, Signals},
    },
    proptest::prelude::*,
};

const fn at(millis: u64) -> Instant {
    Instant::from_millis(millis)
}

fn limited_to(per_second: f64) -> Signals {
    Signals {
        request_limit: RequestLimit::PerSecond(per_second),
        ..Signals::default()
    }
}

proptest! {
    /// Guards against shares that exceed the bound at any phase, or that use little of the limit.
    #[test]
    fn owners_keep_the_bound_in_every_window(gateways in 1..3_000_u32, per_second in 0.5..200.0_f64) {
        let schedule = Schedule::new(per_second, gateways);
        let owners = f64::from(schedule.owners);
        let interval = schedule.owner_interval_millis;
        let each = (WINDOW_MILLIS / interval + 1) as f64;
        let most = owners * each;
        prop_assert!(most <= request_limit::max_per_window(per_second), "{owners} owners, {each} each");
        let rate = owners * 1_000.0 / interval as f64;
        prop_assert!(rate >= 0.7 * per_second && rate <= per_second + 0.01, "{rate} of {per_second} a second");
    }

    /// Guards against values in a response that stop an engine from being used for good.
    #[test]
    fn every_field_value_has_a_bounded_effect(bytes in proptest::collection::vec(any::<u8>(), 0..12)) {
        let limit = RequestLimit::parse(std::iter::once(&bytes[..]));
        let mut state = SignalState::default();
        state.record(&Signals { request_limit: limit, ..Signals::default() }, Some(at(0)), at(1), 1.0);
        if let Some(per_second) = state.request_limit() {
            prop_assert!(per_second.is_finite() && per_second >= 0.0);
            state.set_interval(Schedule::new(per_second, 1).owner_interval_millis);
        }
        prop_assert!(state.allows_request(at(60_000)));
    }
}

#[test]
fn unusable_values_change_no_limit() {
    for text in ["", "-1", "NaN", "inf", "1e999", "soon", "1,5", "\u{661}"] {
        let limit = RequestLimit::parse(std::iter::once(text.as_bytes()));
        assert_eq!(limit, RequestLimit::Invalid, "{text}");
    }
    let mut state = SignalState::default();
    state.record(&limited_to(2.0), Some(at(0)), at(10), 0.0);
    let invalid = Signals {
        request_limit: RequestLimit::Invalid,
        ..Signals::default()
    };
    assert!(!state.record(&invalid, Some(at(20)), at(30), 0.0).limit);
    assert_eq!(state.request_limit(), Some(2.0));
}

#[test]
fn a_response_that_was_overtaken_does_not_end_a_limit() {
    let mut state = SignalState::default();
    state.record(&limited_to(2.0), Some(at(100)), at(200), 0.0);
    let unlimited = Signals::default();
    assert!(!state.record(&unlimited, Some(at(150)), at(300), 0.0).limit);
    assert!(
        !state.record(&unlimited, None, at(300), 0.0).limit,
        "a late response"
    );
    assert_eq!(state.request_limit(), Some(2.0));
    assert!(state.record(&unlimited, Some(at(250)), at(350), 0.0).limit);
    assert!(state.allows_request(at(350)));
}

#[test]
fn nothing_is_sent_before_the_share_is_known() {
    let mut state = SignalState::default();
    assert!(state.allows_request(at(0)));
    state.record(&limited_to(2.0), Some(at(0)), at(100), 0.5);
    assert!(!state.allows_request(at(100_000)));
    state.set_interval(1_000);
    assert!(
        !state.allows_request(at(1_500)),
        "its phase delays the first request"
    );
    assert!(state.allows_request(at(1_600)));
    state.record_sent(at(1_600));
    assert!(!state.allows_request(at(2_599)));
    assert!(state.allows_request(at(2_600)));
}

/// A gateway of the simulation.
struct Gateway {
    state: SignalState,
    /// Number of gateways that it knows, and the time from which that is so.
    known: u32,
    next_known: (u64, u32),
    next_request_at: u64,
}

/// Times of the requests at an engine that states a limit in all its responses.
fn simulate(seed: u64, gateways: u32, per_second: f64, end: u64) -> Vec<u64> {
    let mut rng = fastrand::Rng::with_seed(seed);
    let subject = order::mix(seed);
    let mut members: Vec<Gateway> = (0..gateways)
        .map(|_| Gateway {
            state: SignalState::default(),
            known: gateways,
            // A third of them leaves at the middle, which each notices at a different time.
            next_known: (end / 2 + rng.u64(..1_500), gateways - gateways / 3),
            next_request_at: rng.u64(..1_000),
        })
        .collect();
    let ranks = [gateways, gateways - gateways / 3].map(|known| {
        let score = |other: u32| order::mix(subject ^ order::hash(&other));
        let ahead = |own: u32| {
            (0..known)
                .filter(|other| score(*other) > score(own))
                .count()
        };
        (0..gateways).map(ahead).collect::<Vec<usize>>()
    });
    let mut arrivals = Vec::new();
    for now in (0..end).step_by(5) {
        for index in 0..members.len() {
            let has_left = now >= end / 2 && index as u32 >= gateways - gateways / 3;
            let member = &mut members[index];
            if has_left || now < member.next_request_at {
                continue;
            }
            if now >= member.next_known.0 {
                member.known = member.next_known.1;
            }
            let limit = member.state.request_limit();
            if let Some(limit) = limit {
                let schedule = Schedule::new(limit, member.known);
                let ahead = ranks[usize::from(member.known < gateways)][index];
                member
                    .state
                    .set_interval(match ahead < schedule.owners as usize {
                        true => schedule.owner_interval_millis,
                        false => schedule.probe_interval_millis,
                    });
            }
            member.next_request_at = now + 10 + rng.u64(..50);
            if member.state.allows_request(at(now)) {
                member.state.record_sent(at(now));
                arrivals.push(now);
                let signals = limited_to(per_second);
                member
                    .state
                    .record(&signals, Some(at(now)), at(now + 5), rng.f64());
            }
        }
    }
    arrivals
}

#[test]
fn gateways_of_any_number_keep_the_limit_and_use_it() {
    const END_MILLIS: u64 = 120_000;
    for gateways in [1, 3, 7, 40, 300] {
        for per_second in [0.5, 1.0, 2.3, 20.0] {
            for seed in 0..10 {
                let arrivals = simulate(seed, gateways, per_second, END_MILLIS);
                let within = |first: u64| {
                    let window = first..first + WINDOW_MILLIS;
                    arrivals.iter().filter(|at| window.contains(at)).count()
                };
                let counted = arrivals.iter().filter(|at| **at >= 3_000);
                let most = counted
                    .map(|first| within(*first))
                    .max()
                    .unwrap_or_default();
                let allowed = per_second * 4.0 * 1.5 + 5.0;
                let case = format!("{gateways} gateways, {per_second} a second, seed {seed}");
                assert!(
                    most as f64 <= allowed,
                    "{case}: {most} in 4 s, allowed {allowed}"
                );
                let used = arrivals.len() as f64 / (per_second * END_MILLIS as f64 / 1_000.0);
                assert!(used >= 0.7, "{case}: {used} of the limit is used");
                if seed == 0 {
                    println!("{case}: most {most}, used {used:.2}");
                }
            }
        }
    }
}
