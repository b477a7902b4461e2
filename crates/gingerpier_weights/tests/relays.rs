//! Relays without I/O: shares of the chunks, one copy from the origin, views that differ.

use {
    gingerpier_base::order,
    gingerpier_weights::{
        Relays, Route,
        plan::{Replica, ReplicaKey, Source},
    },
    proptest::prelude::*,
    std::collections::{BTreeMap, BTreeSet},
};

const SUBJECT: u64 = 7;

const CHUNKS: u32 = 96;

fn relay(number: u64) -> Replica {
    Replica {
        identity: order::mix(number + 1),
        region: order::mix(1_000 + number % 3),
        zone: order::mix(2_000 + number % 6),
    }
}

fn sources_of(relays: &Relays, own: u32, chunk: u32) -> Vec<Source> {
    let mut sources = Vec::new();
    relays.sources_of_relay(ReplicaKey(own), chunk, &mut sources);
    sources
}

#[test]
fn each_chunk_enters_once_and_crosses_each_region_link_once() {
    let all: Vec<Replica> = (0..12).map(relay).collect();
    let relays = Relays::new(SUBJECT, all.clone());
    let mut entries = BTreeMap::new();
    for chunk in 0..CHUNKS {
        let mut crossings = 0;
        let mut entered = 0;
        for own in 0..12 {
            match sources_of(&relays, own, chunk)[0] {
                Source::Origin => {
                    entered += 1;
                    *entries.entry(own).or_insert(0) += 1;
                }
                Source::Replica(from) => {
                    let here = all[own as usize].region;
                    crossings += u32::from(all[from.0 as usize].region != here);
                }
                Source::Holder(_) => panic!("a last resort comes first"),
            }
        }
        assert_eq!((entered, crossings), (1, 2), "chunk {chunk}");
    }
    let most = entries.values().max().expect("there are some");
    assert!(entries.len() == 12 && *most <= 20, "{entries:?}");
}

#[test]
fn a_leaf_asks_everyone_of_its_zone_and_then_the_others_firsts() {
    let relays = Relays::new(SUBJECT, (0..12).map(relay).collect());
    let mut firsts = BTreeSet::new();
    for chunk in 0..CHUNKS {
        let route = Route::Leaf {
            relays: relays.clone(),
            zone: relay(0).zone,
            rest: vec![Source::Holder(ReplicaKey(12))],
        };
        let mut sources = Vec::new();
        route.sources(chunk, &mut sources);
        let Source::Replica(first) = sources[0] else {
            panic!("a relay comes first")
        };
        firsts.insert(first.0);
        let mut own = vec![sources[0], sources[1]];
        own.sort_unstable();
        let zone = [0, 6].map(|key| Source::Replica(ReplicaKey(key)));
        assert_eq!(own, zone, "relays 0 and 6 are of the zone");
        assert_eq!(sources.len(), 2 + 5 + 1);
        assert!(route.entries(CHUNKS).is_empty());
    }
    assert_eq!(firsts.len(), 2, "chunks are shared out");
}

#[test]
fn a_relay_more_takes_only_its_own_share() {
    let before = Relays::new(SUBJECT, (0..9).map(relay).collect());
    let after = Relays::new(SUBJECT, (0..10).map(relay).collect());
    let first = |relays: &Relays, own, chunk| sources_of(relays, own, chunk)[0];
    let moved = |own: u32| {
        let changed = |chunk: &u32| first(&before, own, *chunk) != first(&after, own, *chunk);
        (0..CHUNKS).filter(changed).count()
    };
    for own in 0..9 {
        // Two relays are of the zone of the tenth: it takes about half of their chunks.
        let most = CHUNKS as usize * 3 / 4;
        assert!(moved(own) < most, "{} chunks of relay {own}", moved(own));
    }
}

proptest! {
    /// Every process knows some relays, itself among them; whoever follows first sources from
    /// process to process, each by its own view, ends at the origin.
    #[test]
    fn processes_with_different_views_never_wait_in_a_circle(
        views in proptest::collection::vec(any::<u16>(), 12),
        chunk in 0..CHUNKS,
        start in 0_u64..12,
    ) {
        let mut at = start;
        let mut seen = BTreeSet::new();
        loop {
            prop_assert!(seen.insert(at), "{at} is waited for twice");
            let knows = |other: &u64| *other == at || views[at as usize] & (1 << *other) != 0;
            let known: Vec<u64> = (0..12).filter(knows).collect();
            let own = known.iter().position(|other| *other == at).expect("itself");
            let relays = Relays::new(SUBJECT, known.iter().copied().map(relay).collect());
            match sources_of(&relays, own as u32, chunk)[0] {
                Source::Replica(next) => at = known[next.0 as usize],
                _ => break,
            }
        }
    }
}
