//! Engine selection by version, zone, prefix and load.

use {
    gingerpier_base::Instant,
    gingerpier_routing::router::{Criteria, EngineKey, Policy, PoolKey, Refusal, Router},
};

const NOW: Instant = Instant::from_millis(1_000);

fn add_pool_with_engines(
    router: &mut Router,
    engines: usize,
    capacity: u32,
) -> (PoolKey, Vec<EngineKey>) {
    let pool = router.add_pool();
    let engines: Vec<EngineKey> = (0..engines).map(|_| router.add_engine(capacity)).collect();
    for engine in &engines {
        router.add_to_pool(pool, *engine);
    }
    (pool, engines)
}

fn criteria<'a>(pools: &'a [PoolKey], tried: &'a [EngineKey]) -> Criteria<'a> {
    Criteria {
        pools,
        prefix_hash: None,
        tried,
        now: NOW,
    }
}

#[test]
fn retry_uses_other_version_when_all_engines_of_one_were_tried() {
    let mut router = Router::new(Policy::default(), 1);
    let (old, tried_engines) = add_pool_with_engines(&mut router, 2, 4);
    let (new, _) = add_pool_with_engines(&mut router, 1, 4);
    for _ in 0..100 {
        assert_eq!(
            router.select_pools(&[vec![old], vec![new]], &tried_engines),
            Some(1)
        );
    }
}

#[test]
fn traffic_is_split_in_proportion_to_engine_counts() {
    let mut router = Router::new(Policy::default(), 1);
    let (old, _) = add_pool_with_engines(&mut router, 3, 4);
    let (new, _) = add_pool_with_engines(&mut router, 1, 4);
    let sets = [vec![old], vec![new]];
    let selected_count = (0..4_000)
        .filter(|_| router.select_pools(&sets, &[]) == Some(1))
        .count();
    assert!(
        (800..1_200).contains(&selected_count),
        "{selected_count} of 4000 requests went to a quarter of the engines"
    );
}

#[test]
fn spillover_leaves_capacity_for_requests_of_the_other_zone() {
    let mut router = Router::new(Policy::default(), 1);
    let (near, _) = add_pool_with_engines(&mut router, 1, 10);
    let (far, _) = add_pool_with_engines(&mut router, 1, 10);
    let pools = [near, far];
    let mut admitted = 0;
    while let Ok(engine) = router.choose(criteria(&pools, &[])) {
        router.record_request_start(engine);
        admitted += 1;
    }
    // First 10 requests run in the near zone and 8 in the far zone; then 10 queue in the near zone
    // and 2 more run in the far zone.
    assert_eq!(
        (
            admitted,
            router.in_flight(EngineKey(0)),
            router.in_flight(EngineKey(1))
        ),
        (30, 20, 10)
    );
    assert!(
        router.choose(criteria(&[far], &[])).is_ok(),
        "the far zone still accepts its own requests"
    );
}

#[test]
fn refusal_includes_time_of_retry() {
    let mut router = Router::new(Policy::default(), 1);
    let (pool, engines) = add_pool_with_engines(&mut router, 1, 1);
    router.record_request_start(engines[0]);
    router.record_request_start(engines[0]);
    let Err(Refusal::Full(at)) = router.choose(criteria(&[pool], &[])) else {
        panic!("expected Refusal::Full")
    };
    assert!(at > NOW);
}

#[test]
fn prefix_affinity_ends_when_engine_is_overloaded() {
    let mut router = Router::new(Policy::default(), 1);
    let (pool, _) = add_pool_with_engines(&mut router, 8, 100);
    let pools = [pool];
    let with_prefix = Criteria {
        prefix_hash: Some(77),
        ..criteria(&pools, &[])
    };
    let prefix_engine = router.choose(with_prefix).expect("an engine has capacity");
    assert!((0..20).all(|_| router.choose(with_prefix) == Ok(prefix_engine)));
    for _ in 0..20 {
        router.record_request_start(prefix_engine);
    }
    assert_ne!(router.choose(with_prefix), Ok(prefix_engine));
}

#[test]
fn older_load_report_is_ignored() {
    let mut router = Router::new(Policy::default(), 1);
    let (_, engines) = add_pool_with_engines(&mut router, 1, 4);
    router.record_load_report(engines[0], 3, 4, Instant::from_millis(20));
    router.record_load_report(engines[0], 0, 4, Instant::from_millis(10));
    assert_eq!(router.load(engines[0]), 3);
}

#[test]
fn observed_load_is_ignored_once_stale() {
    let mut router = Router::new(Policy::default(), 1);
    let (pool, engines) = add_pool_with_engines(&mut router, 2, 10);
    router.record_observed_load(engines[0], 5, NOW);
    router.record_observed_load(engines[1], 1, NOW);
    let pools = [pool];
    assert!((0..20).all(|_| router.choose(criteria(&pools, &[])) == Ok(engines[1])));
    // Both reports are stale by now.
    let later = Criteria {
        now: NOW.after_millis(10_000),
        ..criteria(&pools, &[])
    };
    let first_engine_count = (0..100)
        .filter(|_| router.choose(later) == Ok(engines[0]))
        .count();
    assert!(
        (20..80).contains(&first_engine_count),
        "{first_engine_count} of 100 requests went to the engine with the higher stale load"
    );
}
