//! Tests of prompt size classes.

use gingerpier_serving::sizes::{Band, Sizes};

#[test]
fn a_size_is_told_against_the_requests_of_the_same_route() {
    let mut sizes = Sizes::default();
    for tokens in [500, 1_500, 1_000, 1_000] {
        sizes.note("long", tokens);
        sizes.note("short", tokens / 10);
    }
    let of = |sizes: &mut Sizes, tokens| sizes.note("long", tokens);
    assert_eq!(of(&mut sizes, 300), Some(Band::Small));
    assert_eq!(of(&mut sizes, 900), Some(Band::Usual));
    assert_eq!(of(&mut sizes, 1_500), Some(Band::Large));
    assert_eq!(of(&mut sizes, 4_000), Some(Band::Largest));
    assert_eq!(sizes.note("short", 900), Some(Band::Largest));
    assert_eq!(of(&mut sizes, 0), None, "no prompt");
}

#[test]
fn what_is_kept_of_routes_does_not_grow_with_configurations() {
    let mut sizes = Sizes::default();
    for route in 0..1_000 {
        let route = format!("r{route}");
        if sizes.is_full_for(&route) {
            sizes = Sizes::default();
        }
        sizes.note(&route, 1_000);
        assert!(!sizes.is_full_for(&route), "a route that is known stays");
    }
    assert!(!sizes.is_full_for("new"), "1,000 routes came, 232 are kept");
}
