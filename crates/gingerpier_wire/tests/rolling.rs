//! Compatibility of frames between processes of different versions during a rolling upgrade.

use {
    gingerpier_base::place::{Incarnation, Role, Zone},
    gingerpier_wire::{
        Reply, Request, codec,
        frame::{Hello, Status},
    },
    minicbor::{Decode, Encode},
    proptest::prelude::*,
};

/// `Status` as written by an older process, without the field `confirmed`.
#[derive(Encode, Decode)]
#[cbor(map)]
struct OlderStatus {
    #[n(0)]
    revision: u64,
    #[n(1)]
    leaving: bool,
    #[n(2)]
    engines: Vec<u8>,
    #[n(3)]
    chunk_bytes: u64,
}

/// `Hello` as written by a newer process, with an unknown field.
#[derive(Encode)]
#[cbor(map)]
struct NewerHello {
    #[n(0)]
    name: &'static str,
    #[n(1)]
    role: Role,
    #[n(2)]
    zone: Zone,
    #[n(3)]
    incarnation: Incarnation,
    #[n(4)]
    address: &'static str,
    #[n(5)]
    leaving: bool,
    #[n(99)]
    unknown: Vec<String>,
}

#[test]
fn missing_field_of_older_process_gets_its_default() {
    let older = OlderStatus {
        revision: 7,
        leaving: false,
        engines: Vec::new(),
        chunk_bytes: 1,
    };
    let bytes = minicbor::to_vec(older).expect("frame encodes");
    let decoded: Status = codec::decode(&bytes).expect("frame decodes");
    assert_eq!((decoded.revision.0, decoded.confirmed), (7, false));
}

#[test]
fn unknown_field_of_newer_process_is_ignored() {
    let zone = Zone {
        region: "r".parse().expect("valid name"),
        name: "z".parse().expect("valid name"),
    };
    let newer = NewerHello {
        name: "b1",
        role: Role::Backend,
        zone,
        incarnation: Incarnation(1),
        address: "127.0.0.1:1",
        leaving: false,
        unknown: vec!["x".to_owned()],
    };
    let bytes = minicbor::to_vec(newer).expect("frame encodes");
    let decoded: Hello = codec::decode(&bytes).expect("frame decodes");
    assert_eq!(decoded.name.as_str(), "b1");
}

#[test]
fn oversized_frame_is_refused_by_its_length_prefix() {
    assert!(codec::length(u32::MAX.to_be_bytes()).is_err());
}

proptest! {
    #[test]
    fn decoding_arbitrary_bytes_never_panics(bytes in prop::collection::vec(any::<u8>(), 0..512)) {
        let _ = codec::decode::<Request>(&bytes);
        let _ = codec::decode::<Reply>(&bytes);
    }
}
