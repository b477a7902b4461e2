//! Three zones share engines under load, and the engines of one are evacuated: the deployments P and O of
//! `docs/design/hard-load.md`. On the deployment, gateways of the evacuated zone refused 24% of their requests and the
//! others 5% and 3%. They knew the load of engines from digests that were up to 500 ms old, and estimated as many
//! unreported requests there as fill the admission bound.

use gingerpier_overload::{
    Deployment,
    incident::What,
    shares::{self, Shares},
    zoning,
};

/// Least times as often as the others that the gateways of the evacuated zone refuse requests.
const LEAST_TIMES: f64 = 3.0;

/// Refused part of the tries at the evacuated zone's gateways below which there is nothing to compare.
const LEAST_REFUSED: f64 = 0.1;

/// Milliseconds from the evacuation until requests are counted.
const SETTLE_MILLIS: f64 = 3_000.0;

/// Milliseconds in which requests are counted.
const COUNTED_MILLIS: f64 = 15_000.0;

fn evacuated(deployment: &Deployment, load: f64) -> Shares {
    let what = [What::Evacuated(0)];
    shares::play_incident(deployment, load, &what, SETTLE_MILLIS, COUNTED_MILLIS)
}

/// Guards against a model that doesn't show the observed fault, so that it could not show its absence either.
#[test]
fn without_sharing_an_evacuated_zone_is_refused_three_times_as_often() {
    // The other zones' engines can run 0.67 of the capacity: with and without a shortage.
    for load in [0.5, 0.6, 0.8] {
        for (name, deployment) in [
            ("P", zoning::deployment_p(1)),
            ("O", zoning::deployment_o(1)),
        ] {
            let shares = evacuated(&deployment, load);
            println!("{name} at load {load}: {shares}");
            let [own, others @ ..] = &shares.zones[..] else {
                panic!("no zones");
            };
            let others = others.iter().map(|zone| zone.refused_share());
            let most = others.fold(0.0, f64::max);
            assert!(own.refused_share() >= LEAST_REFUSED, "{name} {load}");
            assert!(own.refused_share() >= LEAST_TIMES * most, "{name} {load}");
        }
    }
}

/// Guards against faults of the model itself: where nothing is evacuated, all of this load is served.
#[test]
fn zones_with_enough_engines_refuse_nobody() {
    for deployment in [zoning::deployment_p(1), zoning::deployment_o(1)] {
        let shares = shares::play_incident(&deployment, 0.7, &[], SETTLE_MILLIS, COUNTED_MILLIS);
        println!("{shares}");
        assert_eq!(shares.all.refused_tries, 0);
        assert!(shares.all.served_share() > 0.999);
    }
}
