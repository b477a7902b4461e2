//! Compressed bodies are restored exactly, and malformed or oversized input is rejected.

use gingerpier_gateway::compression;

const MAX_BYTES: usize = 1024 * 1024;

fn encoded_routes(count: usize) -> Vec<u8> {
    let route = |number: usize| {
        let id = gingerpier_base::order::mix(number as u64);
        format!(r#"{{"name":"r-{id:x}","host":"h.example","timeoutMs":6000,"maxAttempts":2}}"#)
    };
    (0..count).map(route).collect::<String>().into_bytes()
}

#[test]
fn a_configuration_compresses_to_less_than_a_third_and_is_restored() {
    let body = encoded_routes(4_000);
    let compressed = compression::compress(&body).expect("a body above the compression threshold");
    assert!(
        compressed.len() * 3 < body.len(),
        "{} of {}",
        compressed.len(),
        body.len()
    );
    assert_eq!(
        compression::decompress(&compressed, MAX_BYTES).expect("valid input"),
        body
    );
}

#[test]
fn short_bodies_are_not_compressed() {
    assert_eq!(compression::compress(&encoded_routes(10)), None);
}

#[test]
fn truncated_oversized_and_malformed_input_is_rejected() {
    let body = encoded_routes(1_000);
    let compressed = compression::compress(&body).expect("a body above the compression threshold");
    assert!(compression::decompress(&compressed, body.len() - 1).is_err());
    assert_ne!(
        compression::decompress(&compressed[..compressed.len() / 2], MAX_BYTES).ok(),
        Some(body)
    );
    assert!(compression::decompress(b"\xff\xff\xff\xff plain text", MAX_BYTES).is_err());
}
