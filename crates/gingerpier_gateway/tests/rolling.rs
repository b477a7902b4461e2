//! Processes of an older program and of this one talk to each other while one is replaced by the other.
//!
//! The older messages stand here as they were: a field that is new has to cost only what depends on it.

use {
    gingerpier_gateway::message::{
        self, Digest, DigestEngine, DigestHeld, Load, Naming, Subscribe,
    },
    gingerpier_serving::report::{Born, Held, Report, Version},
    minicbor::{Decode, Encode},
    std::net::SocketAddr,
};

/// An engine of a digest, before its start was told.
#[derive(Debug, Clone, PartialEq, Encode, Decode)]
struct OlderEngine {
    #[n(0)]
    address: SocketAddr,
    #[n(1)]
    age: u32,
    #[n(2)]
    held: Vec<DigestHeld>,
    #[n(3)]
    is_busy: bool,
    #[n(4)]
    queued: u32,
    #[n(5)]
    active: u32,
    #[n(6)]
    unread_tokens: u64,
    #[n(7)]
    pace: u32,
}

/// A word to loaders, before it told of weights that nobody named.
#[derive(Debug, Clone, PartialEq, Encode, Decode)]
#[cbor(map)]
struct OlderSubscribe {
    #[n(0)]
    zone: String,
    #[n(1)]
    named: Vec<Naming>,
    #[cbor(n(2), default)]
    stamp: u64,
    #[cbor(n(3), default)]
    configuration: u64,
    #[cbor(n(4), default)]
    weights_digest: u64,
}

fn address() -> SocketAddr {
    SocketAddr::from(([10, 0, 0, 1], 80))
}

fn engine() -> DigestEngine {
    DigestEngine {
        address: address(),
        age: 5,
        held: vec![DigestHeld {
            model: 0,
            version: 3,
        }],
        is_busy: false,
        queued: 1,
        active: 2,
        unread_tokens: 30,
        pace: 1_000,
        born_after: 7,
    }
}

#[test]
fn a_digest_is_understood_both_ways() {
    let new = message::encode(&engine());
    let older: OlderEngine = message::decode(&new).expect("older programs pass over the new field");
    assert_eq!((older.address, older.active), (address(), 2));
    let known: DigestEngine = message::decode(&message::encode(&older)).expect("understood");
    let expected = DigestEngine {
        born_after: 0,
        ..engine()
    };
    assert_eq!(known, expected);
}

#[test]
fn a_word_to_loaders_is_understood_both_ways() {
    let older = OlderSubscribe {
        zone: "z".to_owned(),
        named: Vec::new(),
        stamp: 1,
        configuration: 2,
        weights_digest: 3,
    };
    let known: Subscribe = message::decode(&message::encode(&older)).expect("understood");
    assert_eq!((known.stamp, known.unnamed.len()), (1, 0));
    let again: OlderSubscribe = message::decode(&message::encode(&known)).expect("understood");
    assert_eq!(again, older);
}

#[test]
fn the_start_of_an_engine_goes_along_with_its_report() {
    let report = Report {
        born: Some(Born(1_780_000_000_000)),
        held: vec![Held {
            model: "m".to_owned(),
            version: Version(1),
        }],
        pace: 1.0,
        ..Report::default()
    };
    let load = Load::new(address().to_string(), &report);
    assert_eq!(load.report(), report);
    let untold = Load { born: 0, ..load };
    assert_eq!(untold.report().born, None);
}

/// Gateways of a zone send each start some 4 times a second to every other zone.
#[test]
fn starts_cost_few_bytes_of_a_digest() {
    let digest = |born_after: u64, first_born: u64| Digest {
        zone: "z".to_owned(),
        sender: address(),
        stamp: 1,
        part: 0,
        gateway_count: 1,
        models: vec!["m".to_owned()],
        engines: vec![
            DigestEngine {
                born_after,
                ..engine()
            };
            24
        ],
        gateways: Vec::new(),
        is_passed_on: false,
        first_born,
    };
    let without = message::encode(&digest(0, 0)).len();
    // Engines that started within a day of each other.
    let with = message::encode(&digest(86_400_000, 1_780_000_000_000)).len();
    assert!(
        with - without <= 24 * 5,
        "{without} bytes, {with} with starts"
    );
}
