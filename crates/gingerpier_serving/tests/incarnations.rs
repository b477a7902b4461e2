//! Tests of engines that restart under the same id.
//!
//! Guards against state of a former incarnation (draining, load, failures, weights) that is applied
//! to the new one, with messages that arrive late, repeatedly and in any order.

use {
    gingerpier_base::Instant,
    gingerpier_serving::{
        fleet::{Fleet, Record, State},
        mirror::Revision,
        report::{Born, Held, Report, Version},
    },
    proptest::prelude::*,
    std::net::SocketAddr,
};

const ID: &str = "e";

fn address() -> SocketAddr {
    SocketAddr::from(([10, 0, 0, 1], 80))
}

fn at(millis: u64) -> Instant {
    Instant::from_millis(100_000 + millis)
}

fn held(version: u64) -> Vec<Held> {
    let held = Held {
        model: "m".to_owned(),
        version: Version(version),
    };
    if version > 0 { vec![held] } else { Vec::new() }
}

fn report(born: Option<u64>, version: u64) -> Report {
    Report {
        start_time: born.map(Born),
        loaded: held(version),
        slowdown: 1.0,
        ..Report::default()
    }
}

fn record(born: Option<u64>, state: State, version: u64) -> Record {
    Record {
        id: ID.to_owned(),
        service: "s".to_owned(),
        address: address(),
        zone: "z".to_owned(),
        state,
        slots: 16,
        cold_millis: 0,
        report: report(born, version),
    }
}

#[test]
fn draining_engine_is_open_after_a_restart() {
    let mut fleet = Fleet::default();
    let old = fleet.list(record(Some(10), State::Draining, 1), Revision::new(1));
    assert!(!fleet.engine(old).is_open(at(0)));
    let new = fleet.list(record(Some(20), State::Ready, 1), Revision::new(2));
    assert!(fleet.engine(new).is_open(at(0)));
    assert!(!fleet.engine(old).is_open(at(0)));
    assert_eq!(fleet.find(ID), Some(new));
    assert_eq!(fleet.of_service("s").count(), 1);
}

#[test]
fn engine_without_start_time_is_identified_by_its_id() {
    let mut fleet = Fleet::default();
    let key = fleet.list(record(None, State::Draining, 1), Revision::new(1));
    fleet.list(record(None, State::Ready, 1), Revision::new(2));
    assert!(!fleet.engine(key).is_open(at(0)), "draining is final");
    // An engine that begins to report its start time is the same incarnation.
    assert_eq!(
        fleet.resolve_incarnation(address(), Some(Born(5))),
        Some(key)
    );
    assert_eq!(fleet.resolve_incarnation(address(), None), Some(key));
    assert_eq!(fleet.resolve_incarnation(address(), Some(Born(4))), None);
}

#[test]
fn new_incarnation_inherits_no_state() {
    let mut fleet = Fleet::default();
    let old = fleet.list(record(Some(10), State::Ready, 3), Revision::new(1));
    let engine = fleet.engine_mut(old);
    engine.record_report(report(Some(10), 3), at(0));
    engine.record_sent(900, at(0));
    engine.record_timeout(at(0));
    let new = fleet
        .resolve_incarnation(address(), Some(Born(11)))
        .expect("the engine is listed");
    assert_ne!(new, old);
    let engine = fleet.engine(new);
    assert!(engine.is_open(at(10)), "no backoff");
    assert_eq!(
        engine.loaded_version("m", at(10)),
        None,
        "no weights are loaded"
    );
    assert_eq!(engine.load.in_flight, 0);
    assert!(!engine.is_suspect());
    // The end of a former request isn't attributed to the new incarnation.
    fleet.engine_mut(old).record_end(900, true);
    assert_eq!(fleet.engine(new).load.in_flight, 0);
}

#[test]
fn engine_with_a_clock_set_back_is_accepted_eventually() {
    let mut fleet = Fleet::default();
    let old = fleet.list(record(Some(1_000), State::Ready, 1), Revision::new(1));
    fleet
        .engine_mut(old)
        .record_report(report(Some(1_000), 1), at(0));
    fleet.list(record(Some(500), State::Ready, 2), Revision::new(2));
    assert_eq!(fleet.find(ID), Some(old), "the entry may be stale");
    // The known incarnation still reports, so the entry was stale.
    assert!(fleet.accept_contested(at(100)).is_empty());
    assert!(fleet.accept_contested(at(60_000)).is_empty());
    // The known incarnation no longer reports.
    fleet.list(record(Some(500), State::Ready, 2), Revision::new(3));
    assert!(fleet.accept_contested(at(60_000)).is_empty());
    assert_eq!(fleet.accept_contested(at(75_000)), [ID]);
    let key = fleet.find(ID).expect("the engine is known");
    assert_eq!(fleet.engine(key).start_time(), Some(Born(500)));
    assert!(fleet.engine(key).is_open(at(75_000)));
}

#[test]
fn entry_of_an_unconfigured_service_replaces_no_engine() {
    let mut fleet = Fleet::default();
    fleet.set_services(["s".to_owned()].into_iter());
    let key = fleet.list(record(Some(1), State::Ready, 1), Revision::new(1));
    let other = Record {
        id: "other".to_owned(),
        service: "unknown".to_owned(),
        ..record(Some(9), State::Ready, 1)
    };
    fleet.list(other, Revision::new(2));
    assert_eq!(fleet.at_address(address()), Some(key));
    assert!(fleet.engine(key).is_open(at(0)));
    // Once the other service is configured, the engine listed last is the current one.
    fleet.set_services(["s".to_owned(), "unknown".to_owned()].into_iter());
    assert!(!fleet.engine(key).is_open(at(0)));
}

/// Message about the engine and the index of its incarnation.
#[derive(Debug, Clone, Copy)]
enum Message {
    Entry(usize),
    Report(usize),
    ForwardedReport(usize),
}

fn message() -> impl Strategy<Value = Message> {
    let index = 0..3_usize;
    prop_oneof![
        index.clone().prop_map(Message::Entry),
        index.clone().prop_map(Message::Report),
        index.prop_map(Message::ForwardedReport),
    ]
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::default() })]

    /// Once the last incarnation is known, messages of former ones must not close it, change its
    /// weights or count as its own. The first two incarnations drain.
    #[test]
    fn stale_messages_of_former_incarnations_change_nothing(messages in prop::collection::vec(message(), 1..40)) {
        let start_times = [100, 200, 300];
        let mut fleet = Fleet::default();
        fleet.list(record(Some(start_times[0]), State::Ready, 1), Revision::new(1));
        let mut newest_index = 0;
        let mut revision = 1;
        for (step, message) in messages.into_iter().enumerate() {
            let now = at(step as u64 * 10);
            // Each incarnation holds a different version.
            let version = |index: usize| index as u64 + 1;
            let index = match message {
                Message::Entry(index) => {
                    revision += 1;
                    let state = if index < 2 && step % 2 == 0 { State::Draining } else { State::Ready };
                    fleet.list(record(Some(start_times[index]), state, version(index)), Revision::new(revision));
                    index
                }
                Message::Report(index) => {
                    if let Some(key) = fleet.resolve_incarnation(address(), Some(Born(start_times[index]))) {
                        fleet.engine_mut(key).record_report(report(Some(start_times[index]), version(index)), now);
                    }
                    index
                }
                Message::ForwardedReport(index) => {
                    if let Some(key) = fleet.resolve_incarnation(address(), Some(Born(start_times[index]))) {
                        fleet.engine_mut(key).record_forwarded_report(report(Some(start_times[index]), version(index)), now);
                    }
                    index
                }
            };
            newest_index = newest_index.max(index);
            let key = fleet.find(ID).expect("the engine is known");
            let engine = fleet.engine(key);
            prop_assert_eq!(engine.start_time(), Some(Born(start_times[newest_index])));
            prop_assert_eq!(fleet.at_address(address()), Some(key));
            if let Some(held) = engine.loaded_version("m", now) {
                prop_assert_eq!(held, Version(version(newest_index)));
            }
            if newest_index == 2 {
                prop_assert!(engine.is_open(now), "the last incarnation does not drain");
            }
            let open_count = fleet.of_service("s").filter(|(_, engine)| engine.is_open(now)).count();
            prop_assert!(open_count <= 1, "at most one incarnation is open");
        }
    }
}
