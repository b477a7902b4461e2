//! Guards against signals of an engine that end too early or never.

use {
    gingerpier_base::Instant,
    gingerpier_serving::signals::{self, MAX_RETRY_DELAY_MILLIS, SignalState, Signals},
};

const fn at(millis: u64) -> Instant {
    Instant::from_millis(millis)
}

const fn rejection(millis: u64) -> Signals {
    Signals {
        retry_delay_millis: Some(millis),
        request_limit: signals::RequestLimit::Unlimited,
        is_draining: false,
    }
}

#[test]
fn retry_delays_are_decimal_numbers_up_to_a_bound() {
    let cases: [(&[u8], Option<u64>); 9] = [
        (b"3", Some(3_000)),
        (b" 0.25 ", Some(250)),
        (b"0", Some(0)),
        (b"1e12", Some(MAX_RETRY_DELAY_MILLIS)),
        (b"-1", None),
        (b"NaN", None),
        (b"inf", None),
        (b"Wed, 21 Oct 2026 07:28:00 GMT", None),
        (b"\xff", None),
    ];
    for (value, millis) in cases {
        assert_eq!(
            signals::parse_retry_delay_millis(value),
            millis,
            "{value:?}"
        );
    }
}

#[test]
fn a_shorter_retry_delay_or_a_success_does_not_end_a_longer_one() {
    let mut state = SignalState::default();
    assert!(
        state
            .record(&rejection(3_000), Some(at(0)), at(10), 0.0)
            .retry_delay
    );
    assert!(
        !state
            .record(&rejection(100), Some(at(0)), at(20), 0.0)
            .retry_delay
    );
    state.record(&Signals::default(), Some(at(0)), at(30), 0.0);
    assert!(state.is_rejecting(at(3_010)));
    assert!(!state.is_rejecting(at(3_011)));
}

#[test]
fn an_engine_that_leaves_does_not_return() {
    let mut state = SignalState::default();
    let leaving = Signals {
        is_draining: signals::is_draining(Some(b"1")),
        ..Signals::default()
    };
    assert!(state.record(&leaving, Some(at(0)), at(10), 0.0).draining);
    assert!(!state.record(&leaving, Some(at(0)), at(20), 0.0).draining);
    state.record(&Signals::default(), Some(at(30)), at(40), 0.0);
    assert!(state.is_draining());
    assert!(!signals::is_draining(Some(b"0")) && !signals::is_draining(None));
}
