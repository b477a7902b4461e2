//! Old and new processes understand each other while boxes are replaced.

use {
    gingerpier_base::place::{Incarnation, Role, Zone},
    gingerpier_wire::{
        Reply, Request, codec,
        frame::{Hello, Status},
    },
    minicbor::{Decode, Encode},
    proptest::prelude::*,
};

/// A status as an older process writes it: without the field `confirmed`.
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

/// A greeting as a later process may write it: with fields that are not known here.
#[derive(Encode)]
#[cbor(map)]
struct LaterHello {
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
    unheard_of: Vec<String>,
}

#[test]
fn a_field_that_an_older_process_does_not_write_has_its_default() {
    let older = OlderStatus {
        revision: 7,
        leaving: false,
        engines: Vec::new(),
        chunk_bytes: 1,
    };
    let bytes = minicbor::to_vec(older).expect("it is written");
    let read: Status = codec::decode(&bytes).expect("it is read");
    assert_eq!((read.revision.0, read.confirmed), (7, false));
}

#[test]
fn a_field_that_a_later_process_writes_is_passed_over() {
    let zone = Zone {
        region: "r".parse().expect("a name"),
        name: "z".parse().expect("a name"),
    };
    let later = LaterHello {
        name: "b1",
        role: Role::Backend,
        zone,
        incarnation: Incarnation(1),
        address: "127.0.0.1:1",
        leaving: false,
        unheard_of: vec!["x".to_owned()],
    };
    let bytes = minicbor::to_vec(later).expect("it is written");
    let read: Hello = codec::decode(&bytes).expect("it is read");
    assert_eq!(read.name.as_str(), "b1");
}

#[test]
fn a_frame_that_is_too_long_is_refused_by_its_length_alone() {
    assert!(codec::length(u32::MAX.to_be_bytes()).is_err());
}

proptest! {
    #[test]
    fn no_bytes_upset_the_reader(bytes in prop::collection::vec(any::<u8>(), 0..512)) {
        let _ = codec::decode::<Request>(&bytes);
        let _ = codec::decode::<Reply>(&bytes);
    }
}
