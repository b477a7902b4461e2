//! Tests of demand reports, grants and their use.

use {
    gingerpier_admission::sharing::{
        Demand, Grant, ServiceDemand,
        belief::{Beliefs, Change},
        demand::{Counter, Shortfall, Total},
        grantee::{Grantee, Share},
        granter::{Capacity, Granter},
    },
    gingerpier_base::{Instant, order},
    std::net::SocketAddr,
};

const fn at(millis: u64) -> Instant {
    Instant::from_millis(100_000 + millis)
}

fn gateway(index: u8) -> SocketAddr {
    ([10, 0, 0, index], 7_000).into()
}

fn demand(arrivals: f64, refusals: f64) -> Demand {
    Demand {
        arrivals,
        refusals,
        granted: 0.0,
    }
}

fn entry(demand: Demand) -> Vec<ServiceDemand> {
    vec![ServiceDemand {
        service: "s".to_owned(),
        demand,
    }]
}

fn grant(per_second: f64, zone_shortfall: f64) -> Vec<Grant> {
    vec![Grant {
        zone: "z".to_owned(),
        service: "s".to_owned(),
        per_second,
        zone_shortfall,
    }]
}

const fn capacity(per_second: f64, own_demand: Demand) -> Capacity<'static> {
    Capacity {
        service: "s",
        per_second,
        own_demand,
    }
}

/// Runs a granter for `millis` from `start` with constant demand of zone `z`.
fn run(granter: &mut Granter, demand: Demand, own: Demand, start: u64, millis: u64) {
    for time in (start..start + millis).step_by(100) {
        granter.record_demand("z", entry(demand), at(time));
        granter.update(&[capacity(100.0, own)], 3, at(time));
    }
}

fn granted(granter: &Granter, millis: u64) -> f64 {
    let grants = granter.grants(at(millis));
    grants.iter().map(|grant| grant.per_second).sum()
}

/// Guards against traffic of gateways that refuse nothing, and against reports that are too
/// frequent.
#[test]
fn demand_is_reported_only_after_a_shortfall() {
    let senders = [gateway(1), gateway(2)];
    let mut counter = Counter::default();
    for millis in 0..1_000 {
        counter.record_arrival("s", at(millis));
        assert_eq!(counter.poll(gateway(2), &senders, at(millis)), None);
    }
    counter.record_shortfall("s", Shortfall::Refused, at(1_000));
    let report = counter.poll(gateway(2), &senders, at(1_000));
    let report = report.expect("a request was refused");
    assert_eq!(report.receivers, [gateway(1)]);
    assert!(report.is_for_own, "the gateway is a digest sender itself");
    assert!(report.services[0].demand.arrivals > 600.0);
    assert_eq!(report.services[0].demand.refusals, 1.0);
    assert_eq!(counter.poll(gateway(2), &senders, at(1_249)), None);
    assert!(counter.poll(gateway(2), &senders, at(1_250)).is_some());
    let last = counter.poll(gateway(2), &senders, at(2_999));
    let last = last.expect("reports continue for 2 s");
    assert_eq!(
        last.services[0].demand.shortfall(),
        0.0,
        "the end is stated"
    );
    assert_eq!(counter.poll(gateway(2), &senders, at(3_250)), None);
}

/// Guards against an unbounded number of services from a changing configuration.
#[test]
fn counted_services_are_bounded() {
    let mut counter = Counter::default();
    for index in 0..100 {
        counter.record_shortfall(&format!("s{index}"), Shortfall::Refused, at(0));
    }
    let report = counter.poll(gateway(1), &[gateway(2)], at(0));
    assert_eq!(report.expect("requests were refused").services.len(), 16);
    counter.retain(|service| service == "other");
    counter.record_shortfall("other", Shortfall::Refused, at(1));
    assert_eq!(counter.demand("other", at(1)).refusals, 1.0);
}

/// Guards against late and repeated reports, and against demand that outlives its gateway.
#[test]
fn zone_demand_sums_the_latest_reports_and_expires() {
    let mut total = Total::default();
    total.record(gateway(1), 10, entry(demand(20.0, 4.0)), at(0));
    total.record(gateway(2), 10, entry(demand(20.0, 2.0)), at(100));
    total.record(gateway(2), 9, entry(demand(90.0, 90.0)), at(200));
    total.record(gateway(2), 10, entry(demand(90.0, 90.0)), at(900));
    assert_eq!(total.demand("s", 2, at(900)), demand(40.0, 6.0));
    let with_silent = total.demand("s", 4, at(900));
    assert_eq!(with_silent, demand(80.0, 6.0), "silent gateways count");
    assert_eq!(total.demand("s", 2, at(1_050)).refusals, 2.0);
    assert_eq!(total.services(2, at(1_100)), []);
    total.record(gateway(2), 1, entry(demand(5.0, 1.0)), at(1_100));
    let restarted = total.demand("s", 1, at(1_100));
    assert_eq!(restarted.refusals, 1.0, "a restarted gateway counts");
}

/// Guards against a zone that is helped although it is served better than the granting one.
#[test]
fn grants_follow_the_difference_of_refused_shares() {
    let mut granter = Granter::new(at(0));
    run(
        &mut granter,
        demand(100.0, 30.0),
        demand(100.0, 5.0),
        0,
        3_000,
    );
    let raised = granted(&granter, 3_000);
    assert!((1.0..50.0).contains(&raised), "granted {raised}");
    run(
        &mut granter,
        demand(100.0, 10.0),
        demand(100.0, 10.0),
        3_000,
        1_000,
    );
    assert_eq!(granted(&granter, 4_000), raised, "equal shares");
    run(
        &mut granter,
        demand(100.0, 5.0),
        demand(100.0, 30.0),
        4_000,
        3_000,
    );
    assert!(granted(&granter, 7_000) < 0.2 * raised);
}

/// Guards against grants before the own gateways have reported their demand.
#[test]
fn nothing_is_granted_in_the_first_second() {
    let mut granter = Granter::new(at(0));
    run(
        &mut granter,
        demand(100.0, 90.0),
        Demand::default(),
        0,
        1_000,
    );
    assert_eq!(granted(&granter, 999), 0.0);
    run(
        &mut granter,
        demand(100.0, 90.0),
        Demand::default(),
        1_000,
        200,
    );
    assert!(granted(&granter, 1_200) > 0.0);
}

/// Guards against more than half of the capacity from one of two senders.
#[test]
fn one_sender_grants_at_most_half_of_the_capacity() {
    let mut granter = Granter::new(at(0));
    for time in (0..60_000).step_by(100) {
        for zone in ["x", "y", "z"] {
            granter.record_demand(zone, entry(demand(500.0, 400.0)), at(time));
        }
        granter.update(&[capacity(100.0, Demand::default())], 4, at(time));
        assert!(granted(&granter, time) <= 50.0 + 1e-9);
    }
    assert!(granted(&granter, 59_900) > 49.0);
    granter.update(&[capacity(10.0, Demand::default())], 4, at(60_000));
    assert!(granted(&granter, 60_000) <= 5.0 + 1e-9, "engines were lost");
    granter.update(&[], 4, at(60_100));
    assert_eq!(granted(&granter, 60_100), 0.0, "no engine is open");
}

/// Guards against grants that outlast the shortage of a zone, or its link.
#[test]
fn grants_decay_without_shortfall_or_demand() {
    for is_silent in [false, true] {
        let mut granter = Granter::new(at(0));
        run(
            &mut granter,
            demand(100.0, 50.0),
            Demand::default(),
            0,
            5_000,
        );
        assert!(granted(&granter, 4_900) > 1.0);
        let end = if is_silent { 4_900 + 1_200 } else { 5_000 };
        for time in (5_000..end + 1_000).step_by(100) {
            if !is_silent {
                granter.record_demand("z", entry(demand(100.0, 0.0)), at(time));
            }
            granter.update(&[capacity(100.0, Demand::default())], 3, at(time));
        }
        granter.update(&[capacity(100.0, Demand::default())], 3, at(end + 1_000));
        assert_eq!(granted(&granter, end + 1_000), 0.0);
    }
}

/// Guards against grants from before a freeze, and against a new grant from old demand.
#[test]
fn frozen_granter_starts_from_zero() {
    let mut granter = Granter::new(at(0));
    run(
        &mut granter,
        demand(100.0, 50.0),
        Demand::default(),
        0,
        5_000,
    );
    assert_eq!(granted(&granter, 8_000), 0.0, "before the next update, too");
    granter.update(&[capacity(100.0, Demand::default())], 3, at(8_000));
    run(
        &mut granter,
        demand(100.0, 50.0),
        Demand::default(),
        8_000,
        1_000,
    );
    assert_eq!(granted(&granter, 8_900), 0.0);
}

/// Guards against grants of digests that arrive late or twice.
#[test]
fn newest_digest_of_a_sender_decides() {
    let mut grantee = Grantee::new("z");
    let rate = |grantee: &Grantee, millis| grantee.granted_per_second("y", "s", at(millis));
    grantee.record("y", gateway(1), 5, grant(10.0, 20.0), at(0));
    grantee.record("y", gateway(1), 4, grant(90.0, 20.0), at(100));
    grantee.record("y", gateway(1), 5, grant(10.0, 20.0), at(700));
    assert_eq!(rate(&grantee, 799), 10.0);
    assert_eq!(
        rate(&grantee, 800),
        0.0,
        "a repeated digest prolongs nothing"
    );
    grantee.record("y", gateway(1), 4, grant(90.0, 20.0), at(1_900));
    assert_eq!(rate(&grantee, 1_900), 0.0, "late, after the expiry");
    grantee.record("y", gateway(1), 1, grant(7.0, 20.0), at(2_000));
    assert_eq!(rate(&grantee, 2_000), 7.0, "the sender restarted");
    grantee.record("y", gateway(1), 2, Vec::new(), at(2_100));
    assert_eq!(rate(&grantee, 2_100), 0.0, "withdrawn");
}

/// Guards against the sum of more than two senders, as each grants up to half of the capacity.
#[test]
fn first_two_valid_senders_count() {
    let mut grantee = Grantee::new("z");
    let mut senders: Vec<SocketAddr> = (1..=3).map(gateway).collect();
    senders.sort_by_key(|sender| std::cmp::Reverse(order::hash(sender)));
    let rates = [1.0, 10.0, 100.0];
    for (sender, rate) in senders.iter().zip(rates) {
        let lead = if rate == 1.0 { 0 } else { 500 };
        grantee.record("y", *sender, 1, grant(rate, 20.0), at(lead));
    }
    assert_eq!(grantee.granted_per_second("y", "s", at(500)), 11.0);
    let succeeded = grantee.granted_per_second("y", "s", at(900));
    assert_eq!(succeeded, 110.0, "the next one takes over");
}

/// Guards against a gateway that uses the part of the others, and against bursts.
#[test]
fn gateway_uses_its_part_of_a_grant() {
    let used = |own: f64, gateway_count| {
        let mut grantee = Grantee::new("z");
        let mut used = 0;
        for time in 0..10_000 {
            if time % 100 == 0 {
                grantee.record("y", gateway(1), time + 1, grant(40.0, 20.0), at(time));
            }
            let share = Share {
                own_demand: demand(10.0, own),
                gateway_count,
            };
            used += u32::from(grantee.take("y", "s", &share, at(time)));
        }
        f64::from(used) / 10.0
    };
    assert!(
        (used(5.0, 10) - 10.0).abs() < 0.3,
        "a quarter of the shortfall"
    );
    assert!(
        (used(20.0, 10) - 12.0).abs() < 0.3,
        "three equal parts at most"
    );
    assert!((used(20.0, 2) - 40.0).abs() < 0.3, "the grant at most");
    assert_eq!(used(0.0, 10), 0.0);
    let mut grantee = Grantee::new("z");
    let share = Share {
        own_demand: demand(10.0, 20.0),
        gateway_count: 1,
    };
    grantee.record("y", gateway(1), 1, grant(40.0, 20.0), at(0));
    assert!(!grantee.take("y", "s", &share, at(0)), "no token at first");
    let burst = (0..100).filter(|_| grantee.take("y", "s", &share, at(799)));
    assert_eq!(burst.count(), 10, "250 ms of the rate");
}

/// Guards against grants that are addressed to another zone, and against rates that aren't numbers.
#[test]
fn invalid_grants_are_ignored() {
    let mut grantee = Grantee::new("z");
    for (stamp, rate) in [(1, f64::NAN), (2, f64::INFINITY), (3, -1.0)] {
        grantee.record("y", gateway(1), stamp, grant(rate, 20.0), at(0));
        assert_eq!(grantee.granting_zones("s", at(0)).count(), 0);
    }
    let mut other = Grantee::new("elsewhere");
    other.record("y", gateway(1), 1, grant(5.0, 20.0), at(0));
    assert_eq!(other.granting_zones("s", at(0)).count(), 0);
}

/// Guards against a log line with each update of a grant that comes and goes.
#[test]
fn begin_and_end_of_a_grant_are_stated_once() {
    let subject = || ("z".to_owned(), "s".to_owned());
    let mut beliefs = Beliefs::default();
    let mut changes = Vec::new();
    for time in (0..10_000).step_by(100) {
        let is_granted = time < 5_000 && time % 300 == 0;
        changes.extend(beliefs.update(is_granted.then(subject).into_iter(), at(time)));
    }
    assert_eq!(
        changes,
        [Change::Begun(subject()), Change::Ended(subject())]
    );
}
