//! Guards against loaders that overload the store, bypass a responsive gateway, or stop polling.

use {
    gingerpier_base::Instant,
    gingerpier_serving::loader_polling::{
        Knowledge, MIN_RELEASE_GATEWAYS, Poller, Source, Step, View,
    },
    proptest::prelude::*,
    std::net::SocketAddr,
};

/// Loaders of a zone at the largest site.
const ZONE_LOADERS: usize = 41;

/// Maximum reads of the store in any 100 ms.
const MAX_READS_IN_100_MILLIS: usize = 10;

/// Milliseconds per step of the tests.
const STEP_MILLIS: u64 = 10;

/// Maximum delay in milliseconds after a failure of the store.
const MAX_BACKOFF_MILLIS: u64 = 16_000;

fn at(millis: u64) -> Instant {
    Instant::from_millis(millis)
}

fn loader(zone: usize, number: usize) -> SocketAddr {
    SocketAddr::from(([10, 20, zone as u8, number as u8], 7_700))
}

fn gateways(count: usize) -> Vec<SocketAddr> {
    let gateway = |number| SocketAddr::from(([10, 30, 0, number as u8], 7_700));
    (0..count).map(gateway).collect()
}

fn view(gateways: &[SocketAddr], knowledge: Knowledge) -> View<'_> {
    View {
        gateways,
        seeds: &[],
        zone_gateway_count: gateways.len(),
        knowledge,
    }
}

/// Returns when `poller` first reads the store without a gateway, in milliseconds.
fn first_read_millis(mut poller: Poller) -> u64 {
    let unreachable = view(&[], Knowledge::Nothing);
    match poller.next_step(&unreachable, at(0)) {
        Step::Wait(until) => {
            assert_eq!(poller.next_step(&unreachable, until), Step::Store);
            until.as_millis()
        }
        other => panic!("{other:?} at the start"),
    }
}

/// Returns the maximum number of `times` within 100 ms.
fn max_in_100_millis(mut times: Vec<u64>) -> usize {
    times.sort_unstable();
    let within = |(index, first): (usize, &u64)| {
        let later = times[index..].iter();
        later.take_while(|time| **time < first + 100).count()
    };
    times.iter().enumerate().map(within).max().unwrap_or(0)
}

/// Creates the loaders of a site, which start at the same time.
fn site(zones: usize, zone_loaders: usize, offset: usize) -> Vec<Poller> {
    let zone = |zone| (0..zone_loaders).map(move |number| loader(zone, offset + number));
    let all = (0..zones).flat_map(zone);
    all.map(|own| Poller::new(own, zones, at(0))).collect()
}

#[test]
fn loaders_of_the_largest_site_do_not_read_the_store_all_at_once() {
    let times: Vec<u64> = site(5, ZONE_LOADERS, 10)
        .into_iter()
        .map(first_read_millis)
        .collect();
    let max_reads = max_in_100_millis(times.clone());
    assert!(
        max_reads <= MAX_READS_IN_100_MILLIS,
        "{max_reads} reads in 100 ms"
    );
    assert!(times.iter().all(|time| (2_000..12_000).contains(time)));
}

#[test]
fn a_loader_watches_releases_only_with_few_gateways() {
    for count in 0..6 {
        let mut poller = Poller::new(loader(1, 1), 3, at(0));
        let zone_gateways = gateways(count);
        let view = view(&zone_gateways, Knowledge::Enough);
        let step_at_10_s = |poller: &mut Poller| poller.next_step(&view, at(10_000));
        assert!(matches!(poller.next_step(&view, at(0)), Step::Wait(_)));
        match count < MIN_RELEASE_GATEWAYS {
            true => assert_eq!(step_at_10_s(&mut poller), Step::Weights),
            false => assert!(matches!(step_at_10_s(&mut poller), Step::Wait(_))),
        }
    }
}

#[test]
fn outdated_loaders_poll_at_once_and_spread_over_the_gateways() {
    let zone_gateways = gateways(3);
    let mut polled: Vec<SocketAddr> = Vec::new();
    for mut poller in site(1, ZONE_LOADERS, 1) {
        poller.next_step(&view(&zone_gateways, Knowledge::Enough), at(0));
        match poller.next_step(&view(&zone_gateways, Knowledge::Outdated), at(10)) {
            Step::Gateway(gateway) => polled.push(gateway),
            other => panic!("{other:?} although gateways have a newer configuration"),
        }
    }
    for gateway in zone_gateways {
        assert!(polled.iter().filter(|one| **one == gateway).count() > 3);
    }
}

#[test]
fn the_store_is_read_only_after_each_gateway_failed() {
    let zone_gateways = gateways(3);
    let without_configuration = view(&zone_gateways, Knowledge::Nothing);
    let mut poller = Poller::new(loader(1, 1), 1, at(0));
    let mut polled_gateways = Vec::new();
    let mut now = at(0);
    loop {
        match poller.next_step(&without_configuration, now) {
            Step::Gateway(gateway) => {
                polled_gateways.push(gateway);
                poller.record_failure(Source::Gateway, now, u64::MAX);
            }
            Step::Store => break,
            Step::Wait(until) => now = until,
            Step::Weights => panic!("enough gateways are in the zone"),
        }
    }
    polled_gateways.sort_unstable();
    polled_gateways.dedup();
    assert_eq!(polled_gateways, zone_gateways);
    poller.record_failure(Source::Store, now, 0);
    assert!(matches!(
        poller.next_step(&without_configuration, at(60_000)),
        Step::Gateway(_)
    ));
}

#[test]
fn backoff_grows_from_half_a_second_to_sixteen() {
    let mut poller = Poller::new(loader(1, 1), 1, at(0));
    let unreachable = view(&[], Knowledge::Nothing);
    let now = at(100_000);
    assert!(matches!(poller.next_step(&unreachable, now), Step::Store));
    let mut delays_millis = Vec::new();
    for _ in 0..8 {
        // The draw that yields the maximum delay.
        let draw = delays_millis
            .last()
            .map_or(500, |last_delay: &u64| (last_delay * 2).min(16_000));
        poller.record_failure(Source::Store, now, draw);
        match poller.next_step(&unreachable, now) {
            Step::Wait(until) => delays_millis.push(until.millis_since(now)),
            other => panic!("{other:?} right after a failure"),
        }
    }
    assert_eq!(
        delays_millis,
        [500, 1_000, 2_000, 4_000, 8_000, 16_000, 16_000, 16_000]
    );
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(500))]

    #[test]
    fn reads_of_the_store_are_spread_at_any_site(
        zones in 1_usize..6,
        zone_loaders in 1..=ZONE_LOADERS,
        offset in 0_usize..200,
    ) {
        let times: Vec<u64> = site(zones, zone_loaders, offset).into_iter().map(first_read_millis).collect();
        prop_assert!(times.iter().all(|time| *time >= 2_000));
        prop_assert!(times.iter().all(|time| *time <= 2_000 + 2_000 * zones as u64));
        prop_assert!(max_in_100_millis(times) <= MAX_READS_IN_100_MILLIS);
    }

    #[test]
    fn a_gateway_within_2_s_prevents_reads_of_the_store(
        reachable_from in 0_u64..2_000,
        count in 1_usize..6,
        zones in 1_usize..6,
        answer_millis in 0_u64..3_000,
    ) {
        let zone_gateways = gateways(count);
        for mut poller in site(zones, 8, 10) {
            let mut knowledge = Knowledge::Nothing;
            let mut now = 0;
            while now < 20_000 {
                let reachable = if now >= reachable_from { &zone_gateways[..] } else { &[] };
                match poller.next_step(&view(reachable, knowledge), at(now)) {
                    Step::Gateway(_) => {
                        now += answer_millis;
                        knowledge = Knowledge::Enough;
                        poller.record_response(Source::Gateway);
                    }
                    Step::Store => prop_assert!(false, "read the store at {}", now),
                    Step::Weights => prop_assert!(count < MIN_RELEASE_GATEWAYS),
                    Step::Wait(_) => {}
                }
                now += STEP_MILLIS;
            }
            prop_assert_eq!(knowledge, Knowledge::Enough);
        }
    }

    #[test]
    fn no_loader_stops_polling(
        number in 0_usize..250,
        zones in 1_usize..6,
        phases in proptest::collection::vec((0_usize..5, 0_u64..8_000), 0..12),
        draws in proptest::collection::vec(any::<u64>(), 1..40),
        count in 0_usize..5,
    ) {
        let mut poller = Poller::new(loader(1, number), zones, at(0));
        let mut now = 0;
        let mut draws = draws.into_iter().cycle();
        let mut run = |until: u64, count: usize, now: &mut u64| {
            let zone_gateways = gateways(count);
            let (mut longest_gap_millis, mut last_poll, mut store_reads) = (0, *now, 0);
            while *now < until {
                let source = match poller.next_step(&view(&zone_gateways, Knowledge::Nothing), at(*now)) {
                    Step::Gateway(_) => Some(Source::Gateway),
                    Step::Store => Some(Source::Store),
                    Step::Weights => Some(Source::Weights),
                    Step::Wait(until) => {
                        assert!(until > at(*now), "a wait that ends in the past");
                        None
                    }
                };
                if let Some(source) = source {
                    store_reads += usize::from(source == Source::Store);
                    longest_gap_millis = longest_gap_millis.max(*now - last_poll);
                    last_poll = *now;
                    let draw = draws.next().expect("a cycle");
                    poller.record_failure(source, at(*now), draw);
                }
                *now += STEP_MILLIS;
            }
            (longest_gap_millis.max(*now - last_poll), store_reads)
        };
        for (count, millis) in phases {
            let until = now + millis;
            run(until, count, &mut now);
        }
        // The end of a backoff and the delay without gateways may follow each other.
        let store_delay_millis = 2_000 + 2_000 * zones as u64;
        let (longest_gap_millis, store_reads) = run(now + 200_000, count, &mut now);
        prop_assert!(longest_gap_millis <= MAX_BACKOFF_MILLIS + store_delay_millis + STEP_MILLIS, "{} ms", longest_gap_millis);
        prop_assert!(store_reads > 0);
    }
}

#[test]
fn seeds_are_polled_at_once_without_an_earlier_read_of_the_store() {
    let own = "10.0.0.9:7700".parse().expect("an address");
    let seeds = ["10.0.0.1:7700", "10.0.0.2:7700"].map(|seed| seed.parse().expect("an address"));
    let start = Instant::from_millis(60_000);
    let mut poller = Poller::new(own, 3, start);
    let view = View {
        gateways: &[],
        seeds: &seeds,
        zone_gateway_count: 0,
        knowledge: Knowledge::Nothing,
    };
    let mut polled = std::collections::BTreeSet::new();
    let mut store_at = None;
    for millis in (0..20_000).step_by(10) {
        let now = start.after_millis(millis);
        match poller.next_step(&view, now) {
            Step::Gateway(seed) => {
                polled.insert(seed);
                poller.record_failure(Source::Gateway, now, 300);
            }
            Step::Store => {
                store_at = store_at.or(Some(millis));
                poller.record_failure(Source::Store, now, 4_000);
            }
            Step::Weights => poller.record_failure(Source::Weights, now, 4_000),
            Step::Wait(_) => {}
        }
    }
    assert_eq!(polled.len(), seeds.len());
    let store_at = store_at.expect("unreachable seeds do not prevent a read of the store");
    assert!((2_000..9_000).contains(&store_at), "{store_at}");
    let mut poller = Poller::new(own, 3, start);
    assert!(matches!(poller.next_step(&view, start), Step::Gateway(_)));
    poller.record_response(Source::Gateway);
    let knowing = View {
        knowledge: Knowledge::Enough,
        ..view
    };
    assert!(matches!(poller.next_step(&knowing, start), Step::Wait(_)));
}
