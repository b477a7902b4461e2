//! Source order of relays and leaves: balanced shares, one copy from the origin, no cycles between
//! different views.

use {
    gingerpier_base::order,
    gingerpier_weights::{
        Holders, Relays, Route,
        plan::{Replica, ReplicaKey, Source},
    },
    proptest::prelude::*,
    std::collections::{BTreeMap, BTreeSet},
};

const VERSION_HASH: u64 = 7;

const CHUNK_COUNT: u32 = 96;

fn relay(number: u64) -> Replica {
    Replica {
        identity: order::mix(number + 1),
        region: order::mix(1_000 + number % 3),
        zone: order::mix(2_000 + number % 6),
    }
}

fn relay_sources(relays: &Relays, own: u32, chunk: u32) -> Vec<Source> {
    let mut sources = Vec::new();
    relays.relay_sources(ReplicaKey(own), chunk, &mut sources);
    sources
}

#[test]
fn chunk_is_fetched_from_origin_once_and_crosses_each_region_link_once() {
    let all: Vec<Replica> = (0..12).map(relay).collect();
    let relays = Relays::new(VERSION_HASH, all.clone());
    let mut origin_relays = BTreeMap::new();
    for chunk in 0..CHUNK_COUNT {
        let mut crossings = 0;
        let mut origin_fetches = 0;
        for own in 0..12 {
            match relay_sources(&relays, own, chunk)[0] {
                Source::Origin => {
                    origin_fetches += 1;
                    *origin_relays.entry(own).or_insert(0) += 1;
                }
                Source::Replica(from) => {
                    let own_location = all[own as usize].region;
                    crossings += u32::from(all[from.0 as usize].region != own_location);
                }
                Source::Holder(_) => panic!("a holder must not be the first source"),
            }
        }
        assert_eq!((origin_fetches, crossings), (1, 2), "chunk {chunk}");
    }
    let is_head = |own: &u32| relays.is_head(ReplicaKey(*own));
    let head_keys: Vec<u32> = (0..12).filter(is_head).collect();
    assert_eq!(origin_relays.keys().copied().collect::<Vec<_>>(), head_keys);
    for (own, origin_fetches) in &origin_relays {
        let zone = all[*own as usize].zone;
        let heads = head_keys
            .iter()
            .filter(|key| all[**key as usize].zone == zone);
        let mean_fetches = CHUNK_COUNT as usize / 6 / heads.count();
        assert!(
            2 * origin_fetches <= 5 * mean_fetches,
            "relay {own} fetches {origin_fetches} chunks from the origin, mean {mean_fetches}"
        );
    }
}

/// Relays in five zones of `zone_size` relays, each zone in a region of its own.
fn relays_in_five_zones(zone_size: u64) -> Vec<Replica> {
    let replica = |number: u64| Replica {
        identity: order::mix(number + 1),
        region: order::mix(1_000 + number % 5),
        zone: order::mix(2_000 + number % 5),
    };
    (0..5 * zone_size).map(replica).collect()
}

#[test]
fn few_relays_use_the_origin_and_none_sends_many_copies() {
    for (subject, zone_size) in [(0, 15), (1, 15), (2, 30), (3, 30), (4, 80)] {
        let all = relays_in_five_zones(zone_size);
        let relays = Relays::new(subject, all.clone());
        let mut origin_relays = BTreeSet::new();
        let mut sent_chunks = BTreeMap::<u32, u32>::new();
        let mut crossings = 0;
        for chunk in 0..CHUNK_COUNT {
            for own in 0..all.len() as u32 {
                match relay_sources(&relays, own, chunk)[0] {
                    Source::Origin => {
                        origin_relays.insert(own);
                    }
                    Source::Replica(from) => {
                        *sent_chunks.entry(from.0).or_default() += 1;
                        let own_location = all[own as usize].zone;
                        crossings += u32::from(all[from.0 as usize].zone != own_location);
                    }
                    Source::Holder(_) => panic!("a holder must not be the first source"),
                }
            }
        }
        assert_eq!(
            crossings,
            4 * CHUNK_COUNT,
            "each chunk must reach each other zone once"
        );
        let max_sent = sent_chunks.values().max().copied().unwrap_or_default();
        // At 40 Mbit/s, three copies of a small model take 1.4 s, and its origin sends one in 2.6
        // s.
        assert!(
            max_sent <= 3 * CHUNK_COUNT,
            "{max_sent} chunks sent by one relay of {zone_size} in its zone"
        );
        // The origin accepts 48 connections; a relay holds one, and reads the manifest over
        // another.
        assert!(
            origin_relays.len() <= 48 * 2 / 3,
            "{} relays use the origin with {zone_size} per zone",
            origin_relays.len()
        );
    }
}

#[test]
fn leaf_tries_relays_of_its_zone_before_first_relays_of_others() {
    let relays = Relays::new(VERSION_HASH, (0..12).map(relay).collect());
    let mut first_relays = BTreeSet::new();
    for chunk in 0..CHUNK_COUNT {
        let route = Route::Leaf {
            relays: relays.clone(),
            zone: relay(0).zone,
            fallbacks: vec![Source::Holder(ReplicaKey(12))],
        };
        let mut sources = Vec::new();
        route.sources(chunk, &mut sources);
        let Source::Replica(first) = sources[0] else {
            panic!("a relay must be the first source")
        };
        first_relays.insert(first.0);
        let mut own = vec![sources[0], sources[1]];
        own.sort_unstable();
        let zone = [0, 6].map(|key| Source::Replica(ReplicaKey(key)));
        assert_eq!(own, zone, "relays 0 and 6 share the zone");
        assert_eq!(sources.len(), 2 + 5 + 1);
        assert!(route.origin_chunks(CHUNK_COUNT).is_empty());
    }
    assert_eq!(
        first_relays.len(),
        2,
        "chunks must be spread over both relays"
    );
}

#[test]
fn added_relay_changes_only_its_own_share_of_chunks() {
    let before = Relays::new(VERSION_HASH, (0..9).map(relay).collect());
    let after = Relays::new(VERSION_HASH, (0..10).map(relay).collect());
    let first = |relays: &Relays, own, chunk| relay_sources(relays, own, chunk)[0];
    let moved = |own: u32| {
        let changed = |chunk: &u32| first(&before, own, *chunk) != first(&after, own, *chunk);
        (0..CHUNK_COUNT).filter(changed).count()
    };
    for own in 0..9 {
        // Two relays share the zone of the added one, which fetches about half of their chunks.
        let max_moved = CHUNK_COUNT as usize * 3 / 4;
        assert!(
            moved(own) < max_moved,
            "{} chunks of relay {own} changed their source",
            moved(own)
        );
    }
}

proptest! {
    /// Following the first sources from process to process, each with its own view of the relays,
    /// visits no process twice.
    #[test]
    fn processes_with_different_views_never_wait_in_a_cycle(
        views in proptest::collection::vec(any::<u16>(), 12),
        chunk in 0..CHUNK_COUNT,
        start in 0_u64..12,
    ) {
        let mut current = start;
        let mut visited = BTreeSet::new();
        loop {
            prop_assert!(visited.insert(current), "cycle through process {current}");
            let is_known = |other: &u64| *other == current || views[current as usize] & (1 << *other) != 0;
            let known: Vec<u64> = (0..12).filter(is_known).collect();
            let own = known.iter().position(|other| *other == current).expect("own key");
            let relays = Relays::new(VERSION_HASH, known.iter().copied().map(relay).collect());
            match relay_sources(&relays, own as u32, chunk)[0] {
                Source::Replica(next) => current = known[next.0 as usize],
                _ => break,
            }
        }
    }
}

#[test]
fn restarted_relay_tries_deputies_and_holders_before_the_origin() {
    let relays = Relays::new(VERSION_HASH, (0..12).map(relay).collect());
    let route = |own: u32, holders: Vec<ReplicaKey>| Route::Relay {
        relays: relays.clone(),
        own: ReplicaKey(own),
        holders: Holders(holders),
    };
    let mut sources = Vec::new();
    for chunk in 0..CHUNK_COUNT {
        for own in 0..12 {
            let route_without_holders = route(own, Vec::new());
            route_without_holders.sources(chunk, &mut sources);
            let is_entry = sources[0] == Source::Origin;
            let deputy = sources.get(1).copied();
            let route = route(own, vec![ReplicaKey(20), ReplicaKey(21)]);
            route.sources(chunk, &mut sources);
            let origin_chunks = route.origin_chunks(CHUNK_COUNT);
            assert_eq!(
                origin_chunks.contains(&chunk),
                is_entry,
                "chunk {chunk}, relay {own}"
            );
            let origin_index = sources.iter().position(|source| *source == Source::Origin);
            let sources_before_origin =
                &sources[..origin_index.expect("the origin must be a source")];
            for key in [20, 21] {
                assert!(sources_before_origin.contains(&Source::Holder(ReplicaKey(key))));
            }
            if is_entry {
                assert_eq!(
                    Some(sources[0]),
                    deputy,
                    "the relay that fetches the chunk without this one must come first"
                );
            }
        }
    }
}
