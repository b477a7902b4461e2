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
    assert_eq!(taken, 10 + 8);
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
