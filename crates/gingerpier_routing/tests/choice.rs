//! The router's choices, one rule a test.

use {
    gingerpier_base::Instant,
    gingerpier_routing::router::{Ask, EngineKey, Policy, PoolKey, Refusal, Router},
};

const NOW: Instant = Instant::from_millis(1_000);

fn pool_of(router: &mut Router, engines: usize, capacity: u32) -> (PoolKey, Vec<EngineKey>) {
    let pool = router.add_pool();
    let engines: Vec<EngineKey> = (0..engines).map(|_| router.add_engine(capacity)).collect();
    for engine in &engines {
        router.join(pool, *engine);
    }
    (pool, engines)
}

fn ask<'a>(pools: &'a [PoolKey], tried: &'a [EngineKey]) -> Ask<'a> {
    Ask {
        pools,
        prefix: None,
        tried,
        now: NOW,
    }
}

#[test]
fn a_request_refused_by_one_version_goes_on_to_the_other() {
    let mut router = Router::new(Policy::default(), 1);
    let (old, shut) = pool_of(&mut router, 2, 4);
    let (new, _) = pool_of(&mut router, 1, 4);
    for _ in 0..100 {
        assert_eq!(router.draw_pools(&[vec![old], vec![new]], &shut), Some(1));
    }
}

#[test]
fn versions_get_traffic_in_proportion_to_their_engines() {
    let mut router = Router::new(Policy::default(), 1);
    let (old, _) = pool_of(&mut router, 3, 4);
    let (new, _) = pool_of(&mut router, 1, 4);
    let sets = [vec![old], vec![new]];
    let drawn = (0..4_000)
        .filter(|_| router.draw_pools(&sets, &[]) == Some(1))
        .count();
    assert!(
        (800..1_200).contains(&drawn),
        "{drawn} of 4000 to a quarter of the engines"
    );
}

#[test]
fn a_full_zone_spills_over_and_the_other_keeps_room_for_its_own() {
    let mut router = Router::new(Policy::default(), 1);
    let (near, _) = pool_of(&mut router, 1, 10);
    let (far, _) = pool_of(&mut router, 1, 10);
    let pools = [near, far];
    let mut taken = 0;
    while let Ok(engine) = router.choose(ask(&pools, &[])) {
        router.started(engine);
        taken += 1;
    }
    // Ten run near and eight far; then ten queue near, and two more run far.
    assert_eq!(
        (
            taken,
            router.in_flight(EngineKey(0)),
            router.in_flight(EngineKey(1))
        ),
        (30, 20, 10)
    );
    assert!(
        router.choose(ask(&[far], &[])).is_ok(),
        "the far zone's own requests find room"
    );
}

#[test]
fn a_refusal_says_when_to_come_back() {
    let mut router = Router::new(Policy::default(), 1);
    let (pool, engines) = pool_of(&mut router, 1, 1);
    router.started(engines[0]);
    router.started(engines[0]);
    let Err(Refusal::Full(at)) = router.choose(ask(&[pool], &[])) else {
        panic!("not refused")
    };
    assert!(at > NOW);
}

#[test]
fn a_prefix_keeps_its_engine_until_that_is_clearly_busier() {
    let mut router = Router::new(Policy::default(), 1);
    let (pool, _) = pool_of(&mut router, 8, 100);
    let pools = [pool];
    let with_prefix = Ask {
        prefix: Some(77),
        ..ask(&pools, &[])
    };
    let home = router.choose(with_prefix).expect("an engine is free");
    assert!((0..20).all(|_| router.choose(with_prefix) == Ok(home)));
    for _ in 0..20 {
        router.started(home);
    }
    assert_ne!(router.choose(with_prefix), Ok(home));
}

#[test]
fn an_older_report_changes_nothing() {
    let mut router = Router::new(Policy::default(), 1);
    let (_, engines) = pool_of(&mut router, 1, 4);
    router.report(engines[0], 3, 4, Instant::from_millis(20));
    router.report(engines[0], 0, 4, Instant::from_millis(10));
    assert_eq!(router.load(engines[0]), 3);
}

#[test]
fn what_a_door_told_counts_until_it_is_old() {
    let mut router = Router::new(Policy::default(), 1);
    let (pool, engines) = pool_of(&mut router, 2, 10);
    router.observe(engines[0], 5, NOW);
    router.observe(engines[1], 1, NOW);
    let pools = [pool];
    assert!((0..20).all(|_| router.choose(ask(&pools, &[])) == Ok(engines[1])));
    // Long after, neither is known to be busier than the other.
    let later = Ask {
        now: NOW.after_millis(10_000),
        ..ask(&pools, &[])
    };
    let first = (0..100)
        .filter(|_| router.choose(later) == Ok(engines[0]))
        .count();
    assert!(
        (20..80).contains(&first),
        "{first} of 100 to the one that was busier"
    );
}
