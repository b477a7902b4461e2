//! What requests that end engines cost all others: their marks, a look at each, and a judgement when an engine ended.
//!
//! `cargo bench --bench suspects [-- --check]`

use {
    gingerpier_base::Instant,
    gingerpier_benches::{bounds::Report, options::Options},
    gingerpier_serving::{
        fingerprint::{Fingerprint, Input},
        report::Version,
        suspects::{Crash, Incarnation, Suspects},
    },
    std::{hint::black_box, time},
};

/// Bytes of a usual body, and of a large one.
const BODY: usize = 700;
const LARGE_BODY: usize = 1 << 20;

const ROUNDS: u64 = 100_000;

/// Requests that ran at engines which ended, as many as are kept.
const CASES: u64 = 1_024;

fn mark(number: u64) -> Fingerprint {
    let mut bytes = [0; 16];
    bytes[..8].copy_from_slice(&number.to_le_bytes());
    Fingerprint(bytes)
}

fn nanos(rounds: u64, mut work: impl FnMut(u64)) -> f64 {
    let started = time::Instant::now();
    for round in 0..rounds {
        work(round);
    }
    started.elapsed().as_nanos() as f64 / rounds as f64
}

fn hash(body: &[u8]) -> Fingerprint {
    Fingerprint::of(&Input {
        host: "h.example",
        target: b"/a/b/c",
        account: "t",
        body: black_box(body),
    })
}

/// All that can be known: each engine that ended had 16 requests.
fn full() -> Suspects {
    let mut suspects = Suspects::default();
    for number in 0..CASES {
        let engine = number / 16;
        let end = Crash {
            fingerprint: mark(number),
            carrier: None,
            account: (number % 64) as u32,
            engine: Incarnation(engine),
            version: Version(1),
            at: Instant::from_millis(engine * 100),
        };
        suspects.record_crash(end, 500);
    }
    suspects
}

fn main() {
    let options = Options::read();
    let mut report = Report::new("suspects", options.check());
    let body = vec![7; BODY];
    let large = vec![7; LARGE_BODY];
    let mark_ns = nanos(ROUNDS, |_| {
        black_box(hash(&body));
    });
    let large_ns = nanos(100, |_| {
        black_box(hash(&large));
    });
    let mut suspects = full();
    let finished_ns = nanos(ROUNDS, |round| {
        suspects.record_completion(mark(1_000_000 + round), Version(1));
    });
    let look_ns = nanos(ROUNDS, |round| {
        black_box(suspects.status(mark(1_000_000 + round)));
    });
    let judge_ns = nanos(100, |_| {
        black_box(suspects.evaluate(Instant::from_millis(1_000_000)));
    });
    report.line(
        "",
        &[
            ("mark_ns", mark_ns),
            ("gigabytes_a_second", LARGE_BODY as f64 / large_ns),
            ("finished_ns", finished_ns),
            ("look_ns", look_ns),
            ("judge_us", judge_ns / 1_000.0),
        ],
    );
    report.end();
}
