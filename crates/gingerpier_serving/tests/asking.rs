//! Whom loaders ask: never the store all at once, never the store where a gateway answers, and never
//! nobody for ever.

use {
    gingerpier_base::Instant,
    gingerpier_serving::asking::{Asking, Heard, Knowledge, MANY_GATEWAYS, Source, Step},
    proptest::prelude::*,
    std::net::SocketAddr,
};

/// Loaders of a zone at the largest site that is known.
const ZONE_LOADERS: usize = 41;

/// Most calls of the store in any 100 ms that count as few: 204 loaders at once made 204.
const FEW_CALLS: usize = 10;

/// Milliseconds between looks in these tests.
const STEP_MILLIS: u64 = 10;

/// Longest pause after a failure, in milliseconds.
const MOST_PAUSE_MILLIS: u64 = 16_000;

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

fn heard(gateways: &[SocketAddr], knowledge: Knowledge) -> Heard<'_> {
    Heard {
        gateways,
        seeds: &[],
        near_count: gateways.len(),
        knowledge,
    }
}

/// When `asking` asks the store first, where it hears nobody.
fn first_call(mut asking: Asking) -> u64 {
    let nobody = heard(&[], Knowledge::Nothing);
    match asking.next(&nobody, at(0)) {
        Step::Wait(until) => {
            assert_eq!(asking.next(&nobody, until), Step::Store);
            until.as_millis()
        }
        other => panic!("{other:?} at the start"),
    }
}

/// Most of `times` that lie within 100 ms.
fn most_at_once(mut times: Vec<u64>) -> usize {
    times.sort_unstable();
    let within = |(index, first): (usize, &u64)| {
        let later = times[index..].iter();
        later.take_while(|time| **time < first + 100).count()
    };
    times.iter().enumerate().map(within).max().unwrap_or(0)
}

/// Loaders of a site, which start at once.
fn site(zones: usize, zone_loaders: usize, offset: usize) -> Vec<Asking> {
    let zone = |zone| (0..zone_loaders).map(move |number| loader(zone, offset + number));
    let all = (0..zones).flat_map(zone);
    all.map(|own| Asking::new(own, zones, at(0))).collect()
}

#[test]
fn few_of_the_largest_site_ask_the_store_at_once() {
    let times: Vec<u64> = site(5, ZONE_LOADERS, 10)
        .into_iter()
        .map(first_call)
        .collect();
    let most = most_at_once(times.clone());
    assert!(most <= FEW_CALLS, "{most} calls in 100 ms");
    assert!(times.iter().all(|time| (2_000..12_000).contains(time)));
}

#[test]
fn a_loader_that_hears_few_watches_weights_and_one_that_hears_many_watches_nothing() {
    for count in 0..6 {
        let mut asking = Asking::new(loader(1, 1), 3, at(0));
        let near = gateways(count);
        let heard = heard(&near, Knowledge::Enough);
        let later = |asking: &mut Asking| asking.next(&heard, at(10_000));
        assert!(matches!(asking.next(&heard, at(0)), Step::Wait(_)));
        match count < MANY_GATEWAYS {
            true => assert_eq!(later(&mut asking), Step::Weights),
            false => assert!(matches!(later(&mut asking), Step::Wait(_))),
        }
    }
}

#[test]
fn what_is_outdated_is_asked_for_at_once_and_loaders_share_the_gateways() {
    let near = gateways(3);
    let mut asked: Vec<SocketAddr> = Vec::new();
    for mut asking in site(1, ZONE_LOADERS, 1) {
        asking.next(&heard(&near, Knowledge::Enough), at(0));
        match asking.next(&heard(&near, Knowledge::Outdated), at(10)) {
            Step::Gateway(gateway) => asked.push(gateway),
            other => panic!("{other:?} where gateways know more"),
        }
    }
    for gateway in near {
        assert!(asked.iter().filter(|one| **one == gateway).count() > 3);
    }
}

#[test]
fn each_gateway_is_tried_before_the_store_and_the_store_before_nobody() {
    let near = gateways(3);
    let lost = heard(&near, Knowledge::Nothing);
    let mut asking = Asking::new(loader(1, 1), 1, at(0));
    let mut tried = Vec::new();
    let mut now = at(0);
    loop {
        match asking.next(&lost, now) {
            Step::Gateway(gateway) => {
                tried.push(gateway);
                asking.note_failure(Source::Gateway, now, u64::MAX);
            }
            Step::Store => break,
            Step::Wait(until) => now = until,
            Step::Weights => panic!("many gateways are near"),
        }
    }
    tried.sort_unstable();
    tried.dedup();
    assert_eq!(tried, near);
    asking.note_failure(Source::Store, now, 0);
    assert!(matches!(asking.next(&lost, at(60_000)), Step::Gateway(_)));
}

#[test]
fn pauses_grow_from_half_a_second_to_sixteen() {
    let mut asking = Asking::new(loader(1, 1), 1, at(0));
    let nobody = heard(&[], Knowledge::Nothing);
    let now = at(100_000);
    assert!(matches!(asking.next(&nobody, now), Step::Store));
    let mut pauses = Vec::new();
    for _ in 0..8 {
        // The draw that gives the longest pause of each range.
        let draw = pauses
            .last()
            .map_or(500, |last: &u64| (last * 2).min(16_000));
        asking.note_failure(Source::Store, now, draw);
        match asking.next(&nobody, now) {
            Step::Wait(until) => pauses.push(until.millis_since(now)),
            other => panic!("{other:?} right after a failure"),
        }
    }
    assert_eq!(
        pauses,
        [500, 1_000, 2_000, 4_000, 8_000, 16_000, 16_000, 16_000]
    );
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(500))]

    /// Without a gateway, loaders that start at once ask the store a few at a time, whoever they are.
    #[test]
    fn loaders_that_start_at_once_ask_the_store_a_few_at_a_time(
        zones in 1_usize..6,
        zone_loaders in 1..=ZONE_LOADERS,
        offset in 0_usize..200,
    ) {
        let times: Vec<u64> = site(zones, zone_loaders, offset).into_iter().map(first_call).collect();
        prop_assert!(times.iter().all(|time| *time >= 2_000));
        prop_assert!(times.iter().all(|time| *time <= 2_000 + 2_000 * zones as u64));
        prop_assert!(most_at_once(times) <= FEW_CALLS);
    }

    /// Where a gateway is heard within 2 s and answers, no loader asks the store for the figures.
    #[test]
    fn a_gateway_that_is_heard_in_time_keeps_loaders_off_the_store(
        from in 0_u64..2_000,
        count in 1_usize..6,
        zones in 1_usize..6,
        answer_millis in 0_u64..3_000,
    ) {
        let near = gateways(count);
        for mut asking in site(zones, 8, 10) {
            let mut knowledge = Knowledge::Nothing;
            let mut now = 0;
            while now < 20_000 {
                let known = if now >= from { &near[..] } else { &[] };
                match asking.next(&heard(known, knowledge), at(now)) {
                    Step::Gateway(_) => {
                        now += answer_millis;
                        knowledge = Knowledge::Enough;
                        asking.note_answer(Source::Gateway);
                    }
                    Step::Store => prop_assert!(false, "asked the store at {}", now),
                    Step::Weights => prop_assert!(count < MANY_GATEWAYS),
                    Step::Wait(_) => {}
                }
                now += STEP_MILLIS;
            }
            prop_assert_eq!(knowledge, Knowledge::Enough);
        }
    }

    /// Whatever is heard and whoever fails: a loader that lacks the figures asks somebody again and
    /// again, and the store among them.
    #[test]
    fn nobody_waits_for_ever(
        number in 0_usize..250,
        zones in 1_usize..6,
        phases in proptest::collection::vec((0_usize..5, 0_u64..8_000), 0..12),
        draws in proptest::collection::vec(any::<u64>(), 1..40),
        count in 0_usize..5,
    ) {
        let mut asking = Asking::new(loader(1, number), zones, at(0));
        let mut now = 0;
        let mut draws = draws.into_iter().cycle();
        let mut run = |until: u64, count: usize, now: &mut u64| {
            let near = gateways(count);
            let (mut longest, mut last, mut store_calls) = (0, *now, 0);
            while *now < until {
                let source = match asking.next(&heard(&near, Knowledge::Nothing), at(*now)) {
                    Step::Gateway(_) => Some(Source::Gateway),
                    Step::Store => Some(Source::Store),
                    Step::Weights => Some(Source::Weights),
                    Step::Wait(until) => {
                        assert!(until > at(*now), "a wait that is over");
                        None
                    }
                };
                if let Some(source) = source {
                    store_calls += usize::from(source == Source::Store);
                    longest = longest.max(*now - last);
                    last = *now;
                    let draw = draws.next().expect("a cycle");
                    asking.note_failure(source, at(*now), draw);
                }
                *now += STEP_MILLIS;
            }
            (longest.max(*now - last), store_calls)
        };
        for (count, millis) in phases {
            let until = now + millis;
            run(until, count, &mut now);
        }
        // The end of a pause and the wait without gateways may follow each other.
        let quiet = 2_000 + 2_000 * zones as u64;
        let (longest, store_calls) = run(now + 200_000, count, &mut now);
        prop_assert!(longest <= MOST_PAUSE_MILLIS + quiet + STEP_MILLIS, "{} ms", longest);
        prop_assert!(store_calls > 0);
    }
}

#[test]
fn a_loader_that_starts_asks_seeds_at_once_and_the_store_no_sooner_than_without_them() {
    let own = "10.0.0.9:7700".parse().expect("an address");
    let seeds = ["10.0.0.1:7700", "10.0.0.2:7700"].map(|seed| seed.parse().expect("an address"));
    let start = Instant::from_millis(60_000);
    let mut asking = Asking::new(own, 3, start);
    let heard = Heard {
        gateways: &[],
        seeds: &seeds,
        near_count: 0,
        knowledge: Knowledge::Nothing,
    };
    let mut asked = std::collections::BTreeSet::new();
    let mut store_at = None;
    for millis in (0..20_000).step_by(10) {
        let now = start.after_millis(millis);
        match asking.next(&heard, now) {
            Step::Gateway(seed) => {
                asked.insert(seed);
                asking.note_failure(Source::Gateway, now, 300);
            }
            Step::Store => {
                store_at = store_at.or(Some(millis));
                asking.note_failure(Source::Store, now, 4_000);
            }
            Step::Weights => asking.note_failure(Source::Weights, now, 4_000),
            Step::Wait(_) => {}
        }
    }
    assert_eq!(asked.len(), seeds.len());
    let store_at = store_at.expect("seeds that are down do not keep it from the store");
    assert!((2_000..9_000).contains(&store_at), "{store_at}");
    let mut asking = Asking::new(own, 3, start);
    assert!(matches!(asking.next(&heard, start), Step::Gateway(_)));
    asking.note_answer(Source::Gateway);
    let knowing = Heard {
        knowledge: Knowledge::Enough,
        ..heard
    };
    assert!(matches!(asking.next(&knowing, start), Step::Wait(_)));
}
