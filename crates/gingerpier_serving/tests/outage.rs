//! Guards against engines that are dropped because their entries expired during an outage of the
//! store, and against removed engines that are kept.

use {
    gingerpier_base::Instant,
    gingerpier_serving::{
        fleet::{Fleet, Record, State},
        mirror::Revision,
        outage::{Absence, MAX_RETRY_PAUSE_MILLIS, Outage, Recovery},
        report::Report,
    },
};

fn at(millis: u64) -> Instant {
    Instant::from_millis(millis)
}

fn record(id: &str, state: State) -> Record {
    Record {
        id: id.to_owned(),
        service: "s".to_owned(),
        address: "10.0.0.1:80".parse().expect("an address"),
        zone: "z".to_owned(),
        state,
        slots: 4,
        cold_millis: 0,
        report: Report::default(),
    }
}

/// Returns the state after a response at 1 s, a failed request at `failed` and a response with
/// revision 20 at `answered`.
fn recovered(failed: u64, answered: u64) -> Outage {
    let mut outage = Outage::default();
    outage.record_response(Revision::new(10), at(1_000));
    outage.record_failure(at(failed));
    outage.record_response(Revision::new(20), at(answered));
    outage
}

#[test]
fn deletions_up_to_the_recovery_are_excused_and_later_ones_are_not() {
    let outage = recovered(8_800, 9_000);
    let excused_until = |absence| outage.excused_until(absence, at(9_500));
    assert_eq!(
        excused_until(Absence::Event(Revision::new(20))),
        Some(at(11_000)),
        "deleted during the outage"
    );
    assert_eq!(
        excused_until(Absence::Event(Revision::new(21))),
        None,
        "removed after the recovery"
    );
    assert_eq!(
        excused_until(Absence::Listed),
        Some(at(11_000)),
        "a list has no revisions of missing keys"
    );
}

#[test]
fn entries_still_missing_two_seconds_after_the_recovery_are_removed() {
    let outage = recovered(8_800, 9_000);
    assert_eq!(outage.excused_until(Absence::Listed, at(11_000)), None);
    let expired = Absence::Event(Revision::new(15));
    assert_eq!(outage.excused_until(expired, at(11_000)), None);
}

#[test]
fn a_late_first_response_does_not_extend_the_grace_period() {
    let outage = recovered(8_000, 9_900);
    assert_eq!(
        outage.excused_until(Absence::Listed, at(9_900)),
        Some(at(11_000))
    );
}

#[test]
fn a_failed_request_without_an_outage_excuses_nothing() {
    let outage = recovered(1_400, 1_900);
    assert_eq!(
        outage.excused_until(Absence::Event(Revision::new(20)), at(1_950)),
        None
    );
    let mut outage = Outage::default();
    outage.record_response(Revision::new(10), at(1_000));
    outage.record_failure(at(8_000));
    outage.record_peer_response(at(8_500));
    outage.record_response(Revision::new(20), at(9_000));
    assert_eq!(
        outage.excused_until(Absence::Listed, at(9_100)),
        None,
        "the store responded to a peer, so only this gateway was isolated"
    );
}

#[test]
fn a_quiet_store_is_not_an_outage() {
    let mut outage = Outage::default();
    outage.record_response(Revision::new(10), at(1_000));
    outage.record_response(Revision::new(20), at(9_000));
    assert_eq!(outage.excused_until(Absence::Listed, at(9_000)), None);
}

#[test]
fn recoveries_reported_by_peers_count_and_the_latest_wins() {
    let reported = |revision, until| Recovery {
        revision: Revision::new(revision),
        until: at(until),
    };
    let mut outage = Outage::default();
    outage.record_peer_response(at(1_000));
    outage.record_peer_recovery(reported(20, 11_000), at(9_000));
    outage.record_peer_recovery(reported(12, 10_000), at(9_000));
    let expired = Absence::Event(Revision::new(20));
    assert_eq!(outage.excused_until(expired, at(9_500)), Some(at(11_000)));
    assert_eq!(outage.last_recovery(at(9_500)), Some(reported(20, 11_000)));
    assert_eq!(outage.last_recovery(at(11_000)), None);

    let mut outage = Outage::default();
    outage.record_peer_response(at(8_400));
    outage.record_peer_recovery(reported(20, 11_000), at(9_000));
    assert_eq!(
        outage.excused_until(expired, at(9_500)),
        None,
        "only the peer was isolated"
    );
}

#[test]
fn a_missing_engine_serves_until_its_grace_period_ends() {
    let mut fleet = Fleet::default();
    let key = fleet.list(record("a", State::Ready), Revision::new(1));
    fleet.mark_missing("a", at(11_000));
    assert!(fleet.engine(key).is_open(at(10_999)));
    assert_eq!(fleet.remove_expired(at(10_999)), []);
    assert!(
        !fleet.engine(key).is_open(at(11_000)),
        "the grace period is over"
    );
    assert_eq!(fleet.remove_expired(at(11_000)), [key]);
    assert_eq!(fleet.of_service("s").count(), 0);
    assert_eq!(fleet.remove_expired(at(12_000)), [], "reported once");

    fleet.list(record("a", State::Ready), Revision::new(30));
    assert!(
        fleet.engine(key).is_open(at(12_000)),
        "listed again after the grace period"
    );
    fleet.mark_missing("a", at(20_000));
    fleet.list(record("a", State::Ready), Revision::new(40));
    assert!(
        fleet.engine(key).is_open(at(20_000)),
        "listed again within the grace period"
    );
    assert_eq!(fleet.remove_expired(at(20_000)), []);
}

#[test]
fn a_removed_engine_is_not_kept_by_an_earlier_grace_period() {
    let mut fleet = Fleet::default();
    let key = fleet.list(record("a", State::Ready), Revision::new(1));
    fleet.mark_missing("a", at(11_000));
    fleet.unlist("a");
    assert!(!fleet.engine(key).is_open(at(10_000)));
    // Repeating the report doesn't restore it.
    fleet.mark_missing("a", at(11_000));
    assert!(!fleet.engine(key).is_open(at(10_000)));
}

#[test]
fn a_draining_engine_that_goes_missing_stays_draining() {
    let mut fleet = Fleet::default();
    let key = fleet.list(record("a", State::Draining), Revision::new(1));
    fleet.mark_missing("a", at(11_000));
    assert!(!fleet.engine(key).is_open(at(10_000)));
    fleet.list(record("a", State::Ready), Revision::new(30));
    assert!(!fleet.engine(key).is_open(at(10_000)));
}

#[test]
fn a_missing_engine_whose_address_was_reused_gets_no_requests() {
    let mut fleet = Fleet::default();
    let old = fleet.list(record("a", State::Ready), Revision::new(1));
    fleet.mark_missing("a", at(11_000));
    let new = fleet.list(record("b", State::Ready), Revision::new(22));
    assert!(!fleet.engine(old).is_open(at(10_000)));
    assert!(fleet.engine(new).is_open(at(10_000)));
    assert_eq!(
        fleet.at_address(fleet.engine(new).record.address),
        Some(new)
    );
    fleet.remove_expired(at(11_000));
    assert!(fleet.engine(new).is_open(at(11_000)));
}

/// Guards against a grace period that counts from the failed request and is used up when the
/// recovery is noticed.
#[test]
fn engines_have_two_seconds_after_the_recovery_however_late_it_is_noticed() {
    for pause in (0..=MAX_RETRY_PAUSE_MILLIS).step_by(50) {
        let noticed = 9_000 + pause;
        let until = recovered(9_000, noticed).excused_until(Absence::Listed, at(noticed));
        let until = until.expect("missing entries are excused");
        assert_eq!(until, at(noticed + 2_000), "pause {pause}");
    }
}

/// Guards against running engines that are unlisted because their entries are newer than the copy
/// from which the store came back, without a request that failed.
#[test]
fn entries_that_a_restored_store_lacks_are_excused_without_a_failed_request() {
    let mut outage = Outage::default();
    outage.record_response(Revision::new(120), at(1_000));
    let at_return = Revision::new(96).in_era(1);
    outage.record_new_era(at_return, at(1_200));
    let excused_until = |absence, millis| outage.excused_until(absence, at(millis));
    assert_eq!(excused_until(Absence::Restored, 1_200), Some(at(3_200)));
    assert_eq!(
        excused_until(Absence::Event(at_return), 1_300),
        Some(at(3_200)),
        "expired before the return"
    );
    assert_eq!(
        excused_until(Absence::Event(Revision::new(97).in_era(1)), 1_300),
        None,
        "removed after the return"
    );
    assert_eq!(excused_until(Absence::Restored, 3_200), None);
}

/// Guards against a recovery of the former era, by whose higher revision removals in the new era
/// would be excused.
#[test]
fn a_new_era_ends_the_recovery_of_the_former() {
    let mut outage = recovered(8_800, 9_000);
    outage.record_new_era(Revision::new(5).in_era(1), at(9_100));
    let removed = Absence::Event(Revision::new(15).in_era(1));
    assert_eq!(outage.excused_until(removed, at(9_200)), None);
    assert_eq!(
        outage.excused_until(Absence::Restored, at(9_200)),
        Some(at(11_100))
    );
}

/// Guards against traffic to an evacuated zone while a restored store lacks the evacuation.
#[test]
fn an_evacuation_that_a_restored_store_lacks_ends_only_if_it_is_not_written_again() {
    let mut fleet = Fleet::default();
    let key = fleet.list(record("a", State::Ready), Revision::new(1));
    let is_open = |fleet: &Fleet, millis| fleet.engine(key).is_open(at(millis));
    assert!(fleet.set_evacuated("z", true, at(0)));
    fleet.mark_evacuation_missing("z", at(1_000));
    assert!(fleet.end_missing_evacuations(at(10_999)).is_empty());
    assert!(!is_open(&fleet, 10_999), "may be written again");
    assert!(!fleet.set_evacuated("z", true, at(10_999)), "written again");
    assert!(fleet.end_missing_evacuations(at(30_000)).is_empty());
    assert!(!is_open(&fleet, 30_000));

    fleet.mark_evacuation_missing("z", at(30_000));
    assert_eq!(fleet.end_missing_evacuations(at(40_000)), ["z"]);
    assert!(is_open(&fleet, 40_000), "not written again");
    assert!(fleet.end_missing_evacuations(at(50_000)).is_empty());

    // A removal by operators takes effect at once.
    fleet.set_evacuated("z", true, at(50_000));
    fleet.mark_evacuation_missing("z", at(50_000));
    assert!(fleet.set_evacuated("z", false, at(50_100)));
    assert!(is_open(&fleet, 50_100));
}
