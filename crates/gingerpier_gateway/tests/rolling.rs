//! Processes of the previous and the current program version understand each other's messages
//! during a rolling update.
//!
//! The types here copy the previous messages.

use {
    gingerpier_gateway::message::{
        self, Datagram, Demand, Digest, DigestEngine, Grant, IndexedVersion, Load, ReportedRelease,
        ServiceDemand, Snapshot, StoreItem, Subscribe,
    },
    gingerpier_serving::{
        mirror::Revision,
        report::{Born, Held, Report, Version},
    },
    minicbor::{Decode, Encode},
    std::net::SocketAddr,
};

/// An engine in a digest, without a start time.
#[derive(Debug, Clone, PartialEq, Encode, Decode)]
struct PreviousEngine {
    #[n(0)]
    address: SocketAddr,
    #[n(1)]
    age_millis: u32,
    #[n(2)]
    loaded: Vec<IndexedVersion>,
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

/// A digest, without demand and grants.
#[derive(Debug, Clone, PartialEq, Encode, Decode)]
#[cbor(map)]
struct PreviousDigest {
    #[n(0)]
    zone: String,
    #[n(1)]
    sender: SocketAddr,
    #[n(2)]
    timestamp_millis: u64,
    #[n(3)]
    part: u32,
    #[n(4)]
    gateway_count: u32,
    #[n(5)]
    models: Vec<String>,
    #[n(6)]
    engines: Vec<DigestEngine>,
    #[n(7)]
    gateways: Vec<SocketAddr>,
    #[n(8)]
    is_forwarded: bool,
    #[cbor(n(9), default)]
    first_start_millis: u64,
}

/// A snapshot, without an era.
#[derive(Debug, Clone, PartialEq, Encode, Decode)]
#[cbor(map)]
struct PreviousSnapshot {
    #[n(0)]
    revision: u64,
    #[n(1)]
    items: Vec<StoreItem>,
    #[cbor(n(2), default)]
    is_changes: bool,
}

/// A datagram without demand.
#[derive(Debug, Clone, PartialEq, Encode, Decode)]
enum PreviousDatagram {
    #[n(2)]
    Digest(#[n(0)] PreviousDigest),
}

/// A subscription, without unreleased versions.
#[derive(Debug, Clone, PartialEq, Encode, Decode)]
#[cbor(map)]
struct PreviousSubscribe {
    #[n(0)]
    zone: String,
    #[n(1)]
    releases: Vec<ReportedRelease>,
    #[cbor(n(2), default)]
    timestamp_millis: u64,
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
        age_millis: 5,
        loaded: vec![IndexedVersion {
            model: 0,
            version: 3,
        }],
        is_busy: false,
        queued: 1,
        active: 2,
        unread_tokens: 30,
        slowdown_permille: 1_000,
        start_offset_millis: 7,
    }
}

#[test]
fn digests_are_compatible_with_the_previous_program_version() {
    let encoded = message::encode(&engine());
    let previous: PreviousEngine =
        message::decode(&encoded).expect("the previous version skips the new field");
    assert_eq!((previous.address, previous.active), (address(), 2));
    let decoded: DigestEngine =
        message::decode(&message::encode(&previous)).expect("a valid message");
    let expected = DigestEngine {
        start_offset_millis: 0,
        ..engine()
    };
    assert_eq!(decoded, expected);
}

fn service_demand() -> ServiceDemand {
    ServiceDemand {
        service: "models".to_owned(),
        arrivals: 193_000,
        refusals: 46_000,
        granted: 12_000,
    }
}

/// Part of a digest as it is sent while capacity is shared.
fn sharing_digest() -> Digest {
    let grant = |zone: &str| Grant {
        zone: zone.to_owned(),
        service: "models".to_owned(),
        rate: 20_500,
        zone_shortfall: 58_000,
    };
    Digest {
        zone: "north-a".to_owned(),
        sender: address(),
        timestamp_millis: 86_400_000,
        part: 4,
        gateway_count: 10,
        models: Vec::new(),
        engines: Vec::new(),
        gateways: Vec::new(),
        is_forwarded: false,
        first_start_millis: 0,
        demand: Some(vec![service_demand()]),
        grants: Some(vec![grant("north-b"), grant("south-a")]),
    }
}

/// Guards against digests that gateways of the previous program version can't read, and the
/// reverse, while zones share capacity.
#[test]
fn demand_and_grants_are_compatible_with_the_previous_program_version() {
    let digest = sharing_digest();
    let encoded = message::encode(&Datagram::Digest(digest.clone()));
    let decoded: Datagram = message::decode(&encoded).expect("a valid message");
    assert_eq!(decoded, Datagram::Digest(digest.clone()));
    let previous: PreviousDatagram =
        message::decode(&encoded).expect("the previous version skips the new fields");
    let PreviousDatagram::Digest(digest_before) = &previous;
    assert_eq!(digest_before.gateway_count, 10);
    let re_encoded = message::encode(&previous);
    let decoded: Datagram = message::decode(&re_encoded).expect("a valid message");
    let without = Digest {
        demand: None,
        grants: None,
        ..digest
    };
    assert_eq!(decoded, Datagram::Digest(without.clone()));
    assert_eq!(
        message::encode(&Datagram::Digest(without)),
        re_encoded,
        "no bytes without demand and grants"
    );
}

/// Guards against demand that costs more than the traffic that is stated in docs/design/size.md.
#[test]
fn demand_and_grants_are_short() {
    let demand = Datagram::Demand(Demand {
        sender: address(),
        timestamp_millis: 86_400_000,
        services: vec![service_demand()],
    });
    let encoded = message::encode(&demand);
    assert_eq!(message::decode(&encoded), Some(demand));
    assert_eq!(message::decode::<PreviousDatagram>(&encoded), None);
    let digest = message::encode(&Datagram::Digest(sharing_digest()));
    println!(
        "demand {} bytes, sharing part {} bytes",
        encoded.len(),
        digest.len()
    );
    assert!(encoded.len() <= 60, "{} bytes", encoded.len());
    assert!(digest.len() <= 150, "{} bytes", digest.len());
}

#[test]
fn subscriptions_are_compatible_with_the_previous_program_version() {
    let previous = PreviousSubscribe {
        zone: "z".to_owned(),
        releases: Vec::new(),
        timestamp_millis: 1,
        configuration: 2,
        weights_digest: 3,
    };
    let decoded: Subscribe = message::decode(&message::encode(&previous)).expect("a valid message");
    assert_eq!((decoded.timestamp_millis, decoded.unreleased.len()), (1, 0));
    let re_encoded: PreviousSubscribe =
        message::decode(&message::encode(&decoded)).expect("a valid message");
    assert_eq!(re_encoded, previous);
}

#[test]
fn a_load_message_keeps_the_start_time_of_the_engine() {
    let report = Report {
        start_time: Some(Born(1_780_000_000_000)),
        loaded: vec![Held {
            model: "m".to_owned(),
            version: Version(1),
        }],
        slowdown: 1.0,
        ..Report::default()
    };
    let load = Load::new(address().to_string(), &report);
    assert_eq!(load.report(), report);
    let without_start_time = Load {
        start_time_millis: 0,
        ..load
    };
    assert_eq!(without_start_time.report().start_time, None);
}

/// Each start time is sent to every other zone about 4 times per second.
#[test]
fn start_times_add_few_bytes_to_a_digest() {
    let digest = |start_offset_millis: u64, first_start_millis: u64| Digest {
        zone: "z".to_owned(),
        sender: address(),
        timestamp_millis: 1,
        part: 0,
        gateway_count: 1,
        models: vec!["m".to_owned()],
        engines: vec![
            DigestEngine {
                start_offset_millis,
                ..engine()
            };
            24
        ],
        gateways: Vec::new(),
        is_forwarded: false,
        first_start_millis,
        demand: None,
        grants: None,
    };
    let without = message::encode(&digest(0, 0)).len();
    // Engine start times within a day.
    let with = message::encode(&digest(86_400_000, 1_780_000_000_000)).len();
    assert!(
        with - without <= 24 * 5,
        "{without} bytes, {with} with start times"
    );
}

/// Guards against a gateway that can't follow another one while processes are replaced one by one.
#[test]
fn snapshots_without_an_era_are_of_the_first_one() {
    let items = vec![StoreItem {
        key: "configuration".to_owned(),
        revision: 7,
        value: b"{}".to_vec(),
        is_deleted: false,
    }];
    let previous = PreviousSnapshot {
        revision: 9,
        items: items.clone(),
        is_changes: false,
    };
    let current = Snapshot {
        revision: 9,
        items,
        is_changes: false,
        era: 3,
    };
    let received: PreviousSnapshot =
        message::decode(&message::encode(&current)).expect("previous processes read it");
    assert_eq!(received, previous);
    let received: Snapshot =
        message::decode(&message::encode(&previous)).expect("current processes read it");
    assert_eq!(received.at(), Revision::new(9));
    assert_eq!(current.at(), Revision::new(9).in_era(3));
    let items = current.into_items();
    assert_eq!(items[0].revision, Revision::new(7).in_era(3));
}
