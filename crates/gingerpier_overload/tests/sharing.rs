//! Requirements of `docs/design/hard-load.md`, part A, on the deployments P and O with one zone evacuated: all zones are
//! served alike, and nearly as much is served in time as by a single gateway that gets the reports of all engines.
//!
//! Loads are parts of what the engines of the open zones can run by `prediction::mean_work_millis`. A full engine runs
//! about 1.17 times as much, as the longest answers are cut; from 1.2 on requests have to be refused.

use {
    gingerpier_overload::{
        Deployment,
        incident::What,
        shares::{self, Share, Shares},
        zoning::{self, Asked, Policy},
    },
    rayon::prelude::{IntoParallelIterator, ParallelIterator},
};

/// Largest difference between the served shares of two zones.
const MAX_SPREAD: f64 = 0.02;

/// Least goodput, as a part of that of a single gateway.
const LEAST_GOODPUT: f64 = 0.97;

/// Least served share where nothing is short.
const NOTHING_LOST: f64 = 0.999;

/// Seeds; chance makes goodput differ by some 2% between two of them.
const SEEDS: u64 = 4;

/// Milliseconds from the evacuation until requests are counted.
const SETTLE_MILLIS: f64 = 5_000.0;

/// Milliseconds in which requests are counted.
const COUNTED_MILLIS: f64 = 20_000.0;

/// Loads at which nothing is short.
const ENOUGH: [f64; 3] = [0.75, 0.9, 1.05];

/// Loads at which requests have to be refused.
const SHORT: [f64; 2] = [1.2, 1.35];

/// One gateway of each zone places its requests in a shortage: the alternative to grants that the model was built for.
const ASKED: Policy = Policy {
    asked: Some(Asked::FirstInShortage),
    ..Policy::DIGESTS
};

/// Mean result over seeds.
struct Mean {
    name: &'static str,
    load: f64,
    served: Vec<f64>,
    goodput: f64,
    /// Goodput of a single gateway.
    single: f64,
}

impl Mean {
    fn spread(&self) -> f64 {
        let most = self.served.iter().copied().fold(0.0, f64::max);
        most - self.served.iter().copied().fold(1.0, f64::min)
    }

    fn part_of_single(&self) -> f64 {
        self.goodput / self.single
    }

    fn text(&self) -> String {
        format!(
            "{} at {}: served {:.3?}, goodput {:.1} of {:.1} ({:.3})",
            self.name,
            self.load,
            self.served,
            self.goodput,
            self.single,
            self.part_of_single()
        )
    }
}

/// Plays a deployment with zone 0 evacuated, and a single gateway, at a load of the engines that are left.
fn play(seed: u64, deployment: fn(u64) -> Deployment, policy: Policy, load: f64) -> (Shares, f64) {
    let mut deployment = deployment(seed);
    let (single, factor) = zoning::with_single_gateway(&deployment, &[0]);
    let settled = (SETTLE_MILLIS, COUNTED_MILLIS);
    let alone = shares::play_incident(&single, load, &[], settled.0, settled.1);
    deployment.zoning.as_mut().expect("zones").policy = policy;
    let what = [What::Evacuated(0)];
    let own = shares::play_incident(&deployment, load / factor, &what, settled.0, settled.1);
    (own, alone.goodput)
}

fn mean(name: &'static str, deployment: fn(u64) -> Deployment, policy: Policy, load: f64) -> Mean {
    let seeds = (1..=SEEDS).into_par_iter();
    let plays: Vec<_> = seeds
        .map(|seed| play(seed, deployment, policy, load))
        .collect();
    let over = |part: &dyn Fn(&(Shares, f64)) -> f64| {
        plays.iter().map(part).sum::<f64>() / plays.len() as f64
    };
    let zones = 0..plays[0].0.zones.len();
    let mean = Mean {
        name,
        load,
        served: zones
            .map(|zone| over(&|(shares, _)| Share::served_share(&shares.zones[zone])))
            .collect(),
        goodput: over(&|(shares, _)| shares.goodput),
        single: over(&|(_, single)| *single),
    };
    println!("{}", mean.text());
    mean
}

fn means(policy: Policy, loads: &[f64]) -> Vec<Mean> {
    let p = loads.iter();
    let p = p.map(|load| mean("P", zoning::deployment_p, policy, *load));
    let o = loads.iter();
    let o = o.map(|load| mean("O", zoning::deployment_o, policy, *load));
    p.chain(o).collect()
}

fn too_uneven(means: &[Mean]) -> Vec<String> {
    let uneven = means.iter().filter(|mean| mean.spread() > MAX_SPREAD);
    uneven.map(Mean::text).collect()
}

fn too_little(means: &[Mean]) -> Vec<String> {
    let little = means.iter();
    let little = little.filter(|mean| mean.part_of_single() < LEAST_GOODPUT);
    little.map(Mean::text).collect()
}

/// Guards against the fault that `zones.rs` shows, where no engine is short: a zone's gateways refuse requests because
/// the reports of other zones' engines are old.
#[test]
fn grants_share_evenly_where_nothing_is_short() {
    let means = means(Policy::GRANTS, &ENOUGH);
    assert_eq!(too_uneven(&means), Vec::<String>::new());
    assert_eq!(too_little(&means), Vec::<String>::new());
}

/// Guards against an uneven split of too few engines.
#[test]
fn grants_share_evenly_in_a_shortage() {
    let means = means(Policy::GRANTS, &SHORT);
    assert_eq!(too_uneven(&means), Vec::<String>::new());
}

/// Guards against grants that let engines get so full that answers are late.
#[test]
fn grants_keep_the_goodput_in_a_shortage() {
    let means = means(Policy::GRANTS, &SHORT);
    assert_eq!(too_little(&means), Vec::<String>::new());
}

/// Guards against the fault of `zones.rs` with placement by a gateway of the other zone in place of grants.
#[test]
fn asked_zones_share_evenly_where_nothing_is_short() {
    let means = means(ASKED, &ENOUGH);
    assert_eq!(too_uneven(&means), Vec::<String>::new());
    assert_eq!(too_little(&means), Vec::<String>::new());
    let least = means.iter().flat_map(|mean| &mean.served);
    assert!(least.copied().fold(1.0, f64::min) >= NOTHING_LOST);
}

/// Guards against an uneven split of too few engines.
#[test]
fn asked_zones_share_evenly_in_a_shortage() {
    let means = means(ASKED, &SHORT);
    assert_eq!(too_uneven(&means), Vec::<String>::new());
}

/// Guards against late answers in a shortage.
#[test]
fn asked_zones_keep_the_goodput_in_a_shortage() {
    let means = means(ASKED, &SHORT);
    assert_eq!(too_little(&means), Vec::<String>::new());
}

fn two_to_five_zones(policy: Policy, load: f64) -> [Mean; 3] {
    let two = |seed| zoning::alike_zones(seed, vec![12; 2]);
    let four = |seed| zoning::alike_zones(seed, vec![8; 4]);
    let five = |seed| zoning::alike_zones(seed, vec![8; 5]);
    [
        mean("2 zones", two, policy, load),
        mean("4 zones", four, policy, load),
        mean("5 zones", five, policy, load),
    ]
}

/// Guards against a rule that only holds for three zones.
#[test]
fn grants_share_evenly_among_two_to_five_zones() {
    let means = two_to_five_zones(Policy::GRANTS, 0.9);
    assert_eq!(too_uneven(&means), Vec::<String>::new());
}

/// Guards against a rule that only holds for three zones.
#[test]
fn two_to_five_asked_zones_share_evenly() {
    for load in [0.9, 1.2] {
        let means = two_to_five_zones(ASKED, load);
        assert_eq!(too_uneven(&means), Vec::<String>::new());
    }
}

/// Guards against harm from sharing where all zones have enough engines.
#[test]
fn nothing_changes_where_no_zone_is_short() {
    for policy in [Policy::GRANTS, ASKED] {
        let mut deployment = zoning::deployment_p(1);
        deployment.zoning.as_mut().expect("zones").policy = policy;
        let calm = shares::play_incident(&deployment, 0.9, &[], SETTLE_MILLIS, COUNTED_MILLIS);
        println!("{calm}");
        assert_eq!(calm.all.refused_tries, 0, "{policy:?}");
    }
}
