//! Compares ways to share engines between zones while those of one zone are evacuated.

use {
    clap::Parser,
    gingerpier_overload::{
        Deployment,
        incident::What,
        shares::{self, Share, Shares},
        zoning::{self, Asked, Placement, Policy},
    },
    rayon::prelude::{IntoParallelIterator, ParallelIterator},
};

/// Milliseconds from the evacuation until requests are counted.
const SETTLE_MILLIS: f64 = 5_000.0;

/// Compares ways to share engines between zones while those of one zone are evacuated.
#[derive(Debug, Parser)]
struct Options {
    /// Deployments: p or o.
    #[arg(long = "deployment", default_values_t = ["p".to_owned(), "o".to_owned()])]
    deployments: Vec<String>,
    /// Loads, as parts of the capacity of all engines.
    #[arg(long = "load", default_values_t = [0.5, 0.6, 0.7, 0.8, 0.9])]
    loads: Vec<f64>,
    /// Seeds for each.
    #[arg(long, default_value_t = 3)]
    seeds: u64,
    /// Milliseconds that are counted.
    #[arg(long, default_value_t = 20_000.0)]
    millis: f64,
    /// Leaves all zones open.
    #[arg(long)]
    calm: bool,
}

/// Ways to compare.
fn ways() -> Vec<(&'static str, Option<Policy>)> {
    vec![
        ("digests of 500 ms", Some(Policy::DIGESTS)),
        ("digests of 100 ms", Some(Policy::FREQUENT_DIGESTS)),
        ("grants", Some(Policy::GRANTS)),
        (
            "grants, least loaded",
            Some(Policy {
                placement: Placement::LeastLoaded,
                ..Policy::GRANTS
            }),
        ),
        ("asked", Some(Policy::ASKED)),
        (
            "one gateway of a zone is asked",
            Some(Policy {
                asked: Some(Asked::First),
                ..Policy::DIGESTS
            }),
        ),
        (
            "one gateway of a zone is asked in a shortage",
            Some(Policy {
                asked: Some(Asked::FirstInShortage),
                ..Policy::DIGESTS
            }),
        ),
        ("single gateway", None),
    ]
}

fn main() {
    let options = Options::parse();
    println!(
        "| deployment | load | way | served by zone | refused tries by zone | spread | value by zone | goodput | granted | predicted / actual, other zones |"
    );
    println!("| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |");
    for name in &options.deployments {
        for load in &options.loads {
            for (way, policy) in ways() {
                row(&options, name, *load, way, policy);
            }
        }
    }
}

fn row(options: &Options, name: &str, load: f64, way: &str, policy: Option<Policy>) {
    let plays = (1..=options.seeds).into_par_iter().map(|seed| {
        let deployment = match name {
            "o" => zoning::deployment_o(seed),
            _ => zoning::deployment_p(seed),
        };
        play(options, deployment, load, policy)
    });
    let plays: Vec<Shares> = plays.collect();
    let count = plays.len() as f64;
    let mean = |part: &dyn Fn(&Shares) -> f64| plays.iter().map(part).sum::<f64>() / count;
    let zones = |part: fn(&Share) -> f64| {
        let zones = 0..plays[0].zones.len();
        let means = zones.map(|zone| format!("{:.3}", mean(&|play| part(&play.zones[zone]))));
        means.collect::<Vec<_>>().join(" ")
    };
    println!(
        "| {name} | {load} | {way} | {} | {} | {:.3} | {} | {:.1} | {:.3} | {:.0} / {:.0} |",
        zones(Share::served_share),
        zones(Share::refused_share),
        mean(&Shares::spread),
        zones(Share::value_share),
        mean(&|play| play.goodput),
        mean(&|play| play.all.granted_share()),
        mean(&|play| play.other.predicted),
        mean(&|play| play.other.actual),
    );
}

fn play(
    options: &Options,
    mut deployment: Deployment,
    load: f64,
    policy: Option<Policy>,
) -> Shares {
    let what = match options.calm {
        true => vec![],
        false => vec![What::Evacuated(0)],
    };
    match policy {
        Some(policy) => {
            deployment.zoning.as_mut().expect("zones").policy = policy;
            shares::play_incident(&deployment, load, &what, SETTLE_MILLIS, options.millis)
        }
        None => {
            let evacuated: &[usize] = if options.calm { &[] } else { &[0] };
            let (deployment, factor) = zoning::with_single_gateway(&deployment, evacuated);
            let load = load * factor;
            shares::play_incident(&deployment, load, &[], SETTLE_MILLIS, options.millis)
        }
    }
}
