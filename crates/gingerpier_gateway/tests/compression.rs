//! Compressed bodies: whole again, bounded, and never mistaken.

use gingerpier_gateway::compression;

const MOST: usize = 1024 * 1024;

fn routes(count: usize) -> Vec<u8> {
    let route = |number: usize| {
        let mixed = gingerpier_base::order::mix(number as u64);
        format!(r#"{{"name":"r-{mixed:x}","host":"h.example","timeoutMs":6000,"maxAttempts":2}}"#)
    };
    (0..count).map(route).collect::<String>().into_bytes()
}

#[test]
fn a_configuration_shrinks_to_less_than_a_third_and_is_whole_again() {
    let body = routes(4_000);
    let shrunk = compression::shrink(&body).expect("it is long");
    assert!(
        shrunk.len() * 3 < body.len(),
        "{} of {}",
        shrunk.len(),
        body.len()
    );
    assert_eq!(compression::expand(&shrunk, MOST).expect("whole"), body);
}

#[test]
fn short_bodies_stay_as_they_are() {
    assert_eq!(compression::shrink(&routes(10)), None);
}

#[test]
fn what_is_cut_too_long_or_not_compressed_is_no_body() {
    let body = routes(1_000);
    let shrunk = compression::shrink(&body).expect("it is long");
    assert!(compression::expand(&shrunk, body.len() - 1).is_err());
    assert_ne!(
        compression::expand(&shrunk[..shrunk.len() / 2], MOST).ok(),
        Some(body)
    );
    assert!(compression::expand(b"\xff\xff\xff\xff plain text", MOST).is_err());
}
