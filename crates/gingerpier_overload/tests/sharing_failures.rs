//! What fails while zones share engines: the table "Failure behavior" of `docs/design/hard-load.md`. Zone 0 of deployment
//! P is evacuated, and its requests are more than the engines of the others can run beside their own.

use {
    gingerpier_overload::{
        incident::{Incident, What},
        play,
        shares::Shares,
        world::World,
        zoning::{self, Asked, Policy},
    },
    rayon::prelude::{IntoParallelIterator, ParallelIterator},
};

/// Part of the capacity of all engines; 1.2 of that of the open ones.
const LOAD: f64 = 0.8;

/// Milliseconds from the evacuation until something fails.
const FAILS_AFTER: f64 = 8_000.0;

/// Milliseconds for which it fails.
const FAILS_FOR: f64 = 3_000.0;

/// Milliseconds from the end of a failure until all is as before: the longest is the detection of a dead gateway.
const RECOVERY: f64 = 5_000.0;

/// Milliseconds that are counted after that.
const COUNTED: f64 = 10_000.0;

/// Milliseconds for which a grant is valid, with the longest way and the interval of digests.
const GRANT_ENDS: f64 = 1_000.0;

/// Least goodput after a failure, as a part of that without one.
const LEAST_OF_CALM: f64 = 0.95;

/// Largest growth of the difference between zones.
const MAX_SPREAD_GROWTH: f64 = 0.02;

/// Seeds.
const SEEDS: u64 = 6;

/// Gateways that send the digests of zone 1.
const SENDERS: [usize; 2] = [10, 11];

const POLICIES: [Policy; 2] = [
    Policy::GRANTS,
    Policy {
        asked: Some(Asked::FirstInShortage),
        ..Policy::DIGESTS
    },
];

/// A play, and when something fails in it.
struct Played {
    world: World,
    fails_at: f64,
    after: Shares,
}

fn play(policy: Policy, seed: u64, failures: &[What]) -> Played {
    let mut deployment = zoning::deployment_p(seed);
    deployment.zoning.as_mut().expect("zones").policy = policy;
    let from = play::warm_millis(&deployment);
    let fails_at = from + FAILS_AFTER;
    let recovered = fails_at + FAILS_FOR + RECOVERY;
    let counted = recovered..recovered + COUNTED;
    let until = counted.end + play::drain_millis(&deployment);
    let mut incidents = vec![Incident {
        what: What::Evacuated(0),
        from,
        until,
    }];
    incidents.extend(failures.iter().map(|what| Incident {
        what: *what,
        from: fails_at,
        until: fails_at + FAILS_FOR,
    }));
    let world = World::play_with(&deployment, LOAD, None, incidents, until);
    Played {
        after: Shares::of(&world, &deployment, &counted),
        world,
        fails_at,
    }
}

fn plays(policy: Policy, failures: &[What]) -> Vec<Played> {
    let seeds = (1..=SEEDS).into_par_iter();
    seeds.map(|seed| play(policy, seed, failures)).collect()
}

fn mean(plays: &[Played], part: impl Fn(&Shares) -> f64) -> f64 {
    plays.iter().map(|play| part(&play.after)).sum::<f64>() / plays.len() as f64
}

/// Difference between the zones' served shares, each over all seeds.
fn spread(plays: &[Played]) -> f64 {
    let served = [0, 1, 2].map(|zone| mean(plays, |after| after.zones[zone].served_share()));
    served.into_iter().fold(0.0, f64::max) - served.into_iter().fold(1.0, f64::min)
}

/// Guards against state of before a failure that harms after it, and against sharing that doesn't begin again.
fn assert_recovers(failures: &[What], policies: &[Policy]) {
    for policy in policies.iter().copied() {
        let calm = plays(policy, &[]);
        let failed = plays(policy, failures);
        let goodput = |plays: &[Played]| mean(plays, |after| after.goodput);
        let part = goodput(&failed) / goodput(&calm);
        let growth = spread(&failed) - spread(&calm);
        println!(
            "{failures:?}, asked {:?}: goodput {part:.3} of calm, spread {growth:+.3}",
            policy.asked
        );
        assert!(part >= LEAST_OF_CALM, "{policy:?}: {part:.3}");
        assert!(growth <= MAX_SPREAD_GROWTH, "{policy:?}: {growth:.3}");
    }
}

/// Requests that were sent to engines of `zone` with a grant, from so many milliseconds after the failure on.
fn granted(played: &Played, zone: usize, after: std::ops::Range<f64>) -> usize {
    let deployment = zoning::deployment_p(1);
    let events = played.world.first_events.iter();
    let granted = events.filter(|event| {
        event.is_granted
            && deployment.zone_of_engine(event.engine) == zone
            && after.contains(&(event.sent_at - played.fails_at))
    });
    granted.count()
}

#[test]
fn a_granting_gateway_is_killed() {
    assert_recovers(&[What::GatewayKilled(SENDERS[0])], &POLICIES);
}

#[test]
fn a_granting_gateway_is_frozen_and_resumes() {
    assert_recovers(&[What::GatewayFrozen(SENDERS[0])], &POLICIES);
}

#[test]
fn all_gateways_restart() {
    assert_recovers(&[What::Restarted], &POLICIES);
}

#[test]
fn the_evacuated_zone_is_partitioned() {
    assert_recovers(&[What::Partitioned(0)], &POLICIES);
}

#[test]
fn a_granting_zone_is_partitioned() {
    assert_recovers(&[What::Partitioned(1)], &[Policy::GRANTS]);
}

#[test]
fn a_granting_zone_is_lost() {
    assert_recovers(&[What::ZoneLost(1)], &[Policy::GRANTS]);
}

#[test]
fn an_asked_zone_is_partitioned() {
    assert_recovers(&[What::Partitioned(1)], &POLICIES[1..]);
}

#[test]
fn an_asked_zone_is_lost() {
    assert_recovers(&[What::ZoneLost(1)], &POLICIES[1..]);
}

/// Guards against grants that outlive their gateways.
#[test]
fn grants_expire_where_nobody_renews_them() {
    let killed = SENDERS.map(What::GatewayKilled);
    let frozen = SENDERS.map(What::GatewayFrozen);
    for failures in [&killed[..], &frozen[..], &[What::Partitioned(0)][..]] {
        let played = play(Policy::GRANTS, 1, failures);
        let before = granted(&played, 1, -2_000.0..0.0);
        // The next senders begin 2.5 s after their last sign of life.
        let expired = granted(&played, 1, GRANT_ENDS..2_500.0);
        println!("{failures:?}: {before} granted in 2 s before, {expired} after they expired");
        assert!(before > 0);
        assert_eq!(expired, 0, "{failures:?}");
    }
}

/// Guards against harm to zones that have enough engines of their own, while the one that hasn't can't be reached.
#[test]
fn other_zones_lose_nothing_in_a_partition() {
    for policy in POLICIES {
        let deployment = zoning::deployment_p(1);
        let played = play(policy, 1, &[What::Partitioned(0)]);
        // What was admitted before fills engines for about a second.
        let times = played.fails_at + 1_500.0..played.fails_at + FAILS_FOR;
        let shares = Shares::of(&played.world, &deployment, &times);
        println!("{shares}");
        // All open engines are cut off from zone 0.
        assert!(shares.zones[0].refused_share() > 0.999);
        for zone in &shares.zones[1..] {
            assert!(zone.served_share() >= 0.999, "{policy:?}");
        }
    }
}
