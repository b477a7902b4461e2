//! Tests of prompt size classes.

use gingerpier_admission::sizes::{Band, Sizes};

#[test]
fn size_is_relative_to_the_same_route() {
    let mut sizes = Sizes::default();
    for tokens in [500, 1_500, 1_000, 1_000] {
        sizes.record("long", tokens);
        sizes.record("short", tokens / 10);
    }
    let classify = |sizes: &mut Sizes, tokens| sizes.record("long", tokens);
    assert_eq!(classify(&mut sizes, 300), Some(Band::Small));
    assert_eq!(classify(&mut sizes, 900), Some(Band::Usual));
    assert_eq!(classify(&mut sizes, 1_500), Some(Band::Large));
    assert_eq!(classify(&mut sizes, 4_000), Some(Band::Largest));
    assert_eq!(sizes.record("short", 900), Some(Band::Largest));
    assert_eq!(classify(&mut sizes, 0), None, "no prompt");
}

#[test]
fn number_of_routes_is_bounded() {
    let mut sizes = Sizes::default();
    for route in 0..1_000 {
        let route = format!("r{route}");
        if sizes.is_full_for(&route) {
            sizes = Sizes::default();
        }
        sizes.record(&route, 1_000);
        assert!(!sizes.is_full_for(&route), "a known route stays");
    }
    assert!(!sizes.is_full_for("new"), "of 1,000 routes, 232 are kept");
}
