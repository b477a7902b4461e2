//! What holds under any load and after any trigger, on one deployment that is like a real one and on drawn ones.

use gingerpier_admission::prediction;
use gingerpier_overload::{
    Deployment, callers,
    pattern::Pattern,
    play::{self, drain_millis, warm_millis},
    world::World,
};

/// Deployments that are drawn: a debug build plays 200 in two minutes.
const DRAWN: u64 = 40;

/// Threads that play them.
const THREADS: u64 = 4;

/// Least part of the best goodput that is left under any load.
const LEAST_OF_BEST: f64 = 0.9;

/// Least part of the goodput of a calm run after a trigger.
const LEAST_OF_CALM: f64 = 0.95;

/// Part of the capacity at which nobody may be refused.
const LIGHT_LOAD: f64 = 1.0 / 3.0;

/// Milliseconds from the end of a trigger until all is well again.
const RECOVERY_MILLIS: f64 = 5_000.0;

/// Plays a deployment without a trigger; gives the goodput of what came in so many milliseconds: usual answers
/// in time a second.
fn steady(deployment: &Deployment, load: f64, millis: f64) -> (f64, World) {
    let played = play::play(deployment, load, Pattern::Steady, millis);
    println!("load {load}: {:?}", played.fates);
    (played.goodput, played.world)
}

/// Mean goodput of the usual deployment at `load`, over seeds.
fn usual_goodput(load: f64) -> f64 {
    let seeds = 1..=3;
    let all = seeds.map(|seed| {
        let deployment = Deployment::usual(seed);
        steady(&deployment, load, 8_000.0).0
    });
    all.sum::<f64>() / 3.0
}

#[test]
fn goodput_does_not_bend_under_overload() {
    let goodput: Vec<f64> = [1.0, 2.0, 3.0, 4.0].map(usual_goodput).to_vec();
    println!("goodput at 1 to 4 times the capacity: {goodput:.1?}");
    let best = goodput.iter().copied().fold(0.0, f64::max);
    let least = goodput.iter().copied().fold(f64::MAX, f64::min);
    assert!(
        goodput[1..].iter().all(|one| *one >= LEAST_OF_BEST * best),
        "{least:.1} of {best:.1}"
    );
}

/// Goodput from 5 s after a trigger on, as a part of that of a calm run.
fn after_trigger(deployment: &Deployment, load: f64, pattern: Pattern, millis: f64) -> f64 {
    let trigger = pattern.trigger(deployment, warm_millis(deployment));
    let trigger = trigger.expect("a trigger");
    let from = trigger.until + RECOVERY_MILLIS;
    let times = from..from + millis;
    let until = times.end + drain_millis(deployment);
    let goodput = |trigger| {
        let world = World::play(deployment, load, trigger, until);
        callers::share_of_worth(&world.callers, deployment, &times)
    };
    goodput(Some(trigger)) / goodput(None)
}

#[test]
fn nothing_stays_of_a_trigger() {
    let patterns = Pattern::ALL
        .into_iter()
        .filter(|one| *one != Pattern::Steady);
    for (load, pattern) in patterns.flat_map(|pattern| [(0.8, pattern), (1.5, pattern)]) {
        let parts = (1..=4).map(|seed| {
            let deployment = Deployment::usual(seed);
            after_trigger(&deployment, load, pattern, 8_000.0)
        });
        let part = parts.sum::<f64>() / 4.0;
        println!("load {load}, {pattern}: {part:.3} of the calm goodput");
        assert!(part >= LEAST_OF_CALM, "load {load}, {pattern}: {part:.3}");
    }
}

#[test]
fn nobody_is_refused_while_engines_are_free() {
    for seed in 1..=3 {
        let deployment = Deployment::usual(seed);
        let (_, world) = steady(&deployment, LIGHT_LOAD, 8_000.0);
        assert_eq!(world.worst.refused_free, 0, "seed {seed}");
    }
}

/// Requests above an engine's slots that its reports' age explains.
fn explained(deployment: &Deployment, load: f64) -> f64 {
    // What waits for a slot and still has its first event in time.
    let in_time = deployment.target_millis as f64 / prediction::mean_work_millis(&deployment.model);
    // What comes before gateways hear of it, at an engine that is the best one for all of them.
    let age = deployment.far_report_every_millis as f64 + 2.0 * deployment.far_millis;
    let unseen = load * deployment.capacity_per_milli() * age;
    in_time + unseen
}

#[test]
fn no_engine_is_over_its_slots_by_more_than_reports_explain() {
    for load in [1.0, 4.0] {
        let deployment = Deployment::usual(1);
        let (_, world) = steady(&deployment, load, 8_000.0);
        let bound = explained(&deployment, load);
        println!(
            "load {load}: {} above the slots, {bound:.0} explained",
            world.worst.above_slots
        );
        assert!(world.worst.above_slots as f64 <= bound);
    }
}

/// What is broken on a drawn deployment.
fn broken(seed: u64) -> Vec<String> {
    let deployment = Deployment::drawn(seed);
    let millis = 500.0 / deployment.capacity_per_milli();
    let mut broken = Vec::new();
    let (one, _) = steady(&deployment, 1.0, millis);
    let (four, world) = steady(&deployment, 4.0, millis);
    if four < LEAST_OF_BEST * one {
        broken.push(format!("goodput {four:.1} of {one:.1}"));
    }
    if world.worst.above_slots as f64 > explained(&deployment, 4.0) {
        broken.push(format!("{} above the slots", world.worst.above_slots));
    }
    let (_, light) = steady(&deployment, LIGHT_LOAD, millis);
    if light.worst.refused_free > 0 {
        broken.push(format!(
            "{} refused at a light load",
            light.worst.refused_free
        ));
    }
    let part = after_trigger(&deployment, 0.8, Pattern::All, millis);
    if part < LEAST_OF_CALM {
        broken.push(format!("{part:.2} after a trigger"));
    }
    broken
}

#[test]
fn drawn_deployments_keep_all_of_this() {
    let threads = (0..THREADS).map(|thread| {
        std::thread::spawn(move || {
            let seeds = (0..DRAWN).filter(|seed| seed % THREADS == thread);
            let all = seeds.map(|seed| (seed, broken(seed)));
            all.filter(|(_, broken)| !broken.is_empty())
                .collect::<Vec<_>>()
        })
    });
    let threads: Vec<_> = threads.collect();
    let mut all: Vec<_> = threads
        .into_iter()
        .flat_map(|thread| thread.join().expect("no panic"))
        .collect();
    all.sort();
    for (seed, broken) in &all {
        println!("{seed}: {}", broken.join("; "));
    }
    assert!(all.is_empty(), "{} of {DRAWN} deployments", all.len());
}
