//! Guards against a replica that ignores a store that came back from an older copy, as its revisions
//! are given out again.

use {
    gingerpier_serving::mirror::{Item, Mirror, Revision},
    proptest::prelude::*,
    std::{collections::BTreeMap, rc::Rc},
};

const FIRST: u64 = 0;

fn item(key: &str, revision: Revision, value: u64) -> Item {
    Item {
        key: key.to_owned(),
        revision,
        value: Some(value.to_be_bytes().as_slice().into()),
    }
}

fn content(mirror: &Mirror) -> Vec<(String, Option<Rc<[u8]>>)> {
    mirror.items().map(|item| (item.key, item.value)).collect()
}

fn follow(follower: &mut Mirror, watcher: &Mirror) {
    match watcher.changes_after(follower.revision()) {
        Some(changes) => follower.apply(changes, watcher.revision()),
        None => follower.replace(watcher.items().collect(), watcher.revision()),
    };
}

/// Replica at 120 of a store that comes back at 90, with what was written again by 96.
fn replica_and_restored_copy() -> (Mirror, Vec<Item>, Revision) {
    let former = |number| Revision::new(number);
    let new = |number| Revision::new(number).in_era(1);
    let mut replica = Mirror::default();
    replica.replace(
        vec![
            item("configuration", former(100), 21),
            item("engine-a", former(50), 1),
            item("engine-b", former(120), 1),
        ],
        former(120),
    );
    let copy = vec![
        item("configuration", new(95), 23),
        item("engine-a", new(96), 2),
    ];
    (replica, copy, new(96))
}

#[test]
fn a_full_copy_of_a_restored_store_replaces_a_replica_with_higher_revisions() {
    let (mut replica, copy, at) = replica_and_restored_copy();
    let changes = replica.replace(copy.clone(), at);
    assert_eq!(changes.len(), 3, "two values and a missing engine");
    assert_eq!(replica.revision(), at);
    let expected: Vec<_> = copy
        .into_iter()
        .map(|item| (item.key, item.value))
        .collect();
    assert_eq!(content(&replica), expected);
}

/// Guards against an engine that stays behind another entry at its address, because only that one
/// got a revision of the new era.
#[test]
fn a_full_copy_of_a_restored_store_reports_items_of_equal_value() {
    let (mut replica, mut copy, at) = replica_and_restored_copy();
    copy.push(item("engine-b", at, 1));
    let changes = replica.replace(copy, at);
    let revisions: Vec<Revision> = changes.iter().map(|item| item.revision).collect();
    assert_eq!(revisions.len(), 3);
    assert!(
        revisions.iter().all(|revision| revision.era == at.era),
        "{revisions:?}"
    );
}

/// Guards against a watch whose revision the restored store has given out again, so that it leaves
/// out what was written before.
#[test]
fn changes_of_a_restored_store_do_not_continue_the_replica() {
    let (mut replica, _, _) = replica_and_restored_copy();
    let before = content(&replica);
    let at = Revision::new(121).in_era(1);
    assert_eq!(replica.apply_writes(vec![item("engine-c", at, 1)], at), []);
    assert_eq!(replica.apply(vec![item("engine-c", at, 1)], at), []);
    assert_eq!(content(&replica), before);
    assert_eq!(replica.revision(), Revision::new(120));
}

/// Guards against a gateway that was cut off and sets others back to the former era.
#[test]
fn a_copy_of_the_former_era_changes_nothing() {
    let (mut replica, copy, at) = replica_and_restored_copy();
    replica.replace(copy, at);
    let before = content(&replica);
    let late = Revision::new(130);
    assert_eq!(
        replica.replace(vec![item("configuration", late, 22)], late),
        []
    );
    assert_eq!(
        replica.apply(vec![item("configuration", late, 22)], late),
        []
    );
    assert_eq!(content(&replica), before);
    assert_eq!(replica.revision(), at);
}

#[test]
fn a_follower_of_the_former_era_gets_a_full_copy() {
    let (mut watcher, copy, at) = replica_and_restored_copy();
    let mut follower = watcher.clone();
    watcher.replace(copy, at);
    assert_eq!(watcher.changes_after(follower.revision()), None);
    follow(&mut follower, &watcher);
    assert_eq!(content(&follower), content(&watcher));
    assert_eq!(follower.revision(), at);
}

#[test]
fn a_follower_of_the_new_era_takes_nothing_from_a_watcher_of_the_former() {
    let (watcher, copy, at) = replica_and_restored_copy();
    let mut follower = watcher.clone();
    follower.replace(copy, at);
    let before = content(&follower);
    follow(&mut follower, &watcher);
    assert_eq!(content(&follower), before);
    assert_eq!(follower.revision(), at);
}

/// Store that can come back from a copy of an earlier state.
#[derive(Debug, Clone, Default)]
struct Store {
    era: u64,
    number: u64,
    items: BTreeMap<u8, (u64, u64)>,
    /// All writes of this era's history: number, key and value.
    history: Vec<(u64, u8, Option<u64>)>,
}

impl Store {
    fn at(&self) -> Revision {
        Revision::new(self.number).in_era(self.era)
    }

    fn write(&mut self, key: u8, value: Option<u64>) {
        self.number += 1;
        match value {
            Some(value) => self.items.insert(key, (self.number, value)),
            None => self.items.remove(&key),
        };
        self.history.push((self.number, key, value));
    }

    fn copy(&self) -> Vec<Item> {
        let items = self.items.iter();
        let revision = |number| Revision::new(number).in_era(self.era);
        items
            .map(|(key, (number, value))| item(&key.to_string(), revision(*number), *value))
            .collect()
    }

    /// Writes after `after`; none if the store doesn't have this revision.
    fn watch(&self, after: u64) -> Option<Vec<Item>> {
        let is_known = after <= self.number;
        let later = self.history.iter().filter(|(number, ..)| *number > after);
        let events = later.map(|(number, key, value)| Item {
            key: key.to_string(),
            revision: Revision::new(*number).in_era(self.era),
            value: value.map(|value| value.to_be_bytes().as_slice().into()),
        });
        is_known.then(|| events.collect())
    }

    fn content(&self) -> Vec<(String, Option<Rc<[u8]>>)> {
        self.copy()
            .into_iter()
            .map(|item| (item.key, item.value))
            .collect()
    }
}

#[derive(Debug, Clone, Copy)]
enum Event {
    Write { key: u8, value: Option<u64> },
    Backup,
    Restore,
    Copy { replica: usize },
    Watch { replica: usize },
    Follow { replica: usize },
}

fn event() -> impl Strategy<Value = Event> {
    let replica = 0_usize..3;
    prop_oneof![
        8 => (0_u8..5, proptest::option::weighted(0.7, 0_u64..3))
            .prop_map(|(key, value)| Event::Write { key, value }),
        1 => Just(Event::Backup),
        1 => Just(Event::Restore),
        2 => replica.clone().prop_map(|replica| Event::Copy { replica }),
        6 => replica.clone().prop_map(|replica| Event::Watch { replica }),
        4 => replica.prop_map(|replica| Event::Follow { replica }),
    ]
}

/// Reads the store as a gateway does: changes after the replica's revision, or a full copy where the
/// store is in another era or doesn't have that revision.
fn watch(store: &Store, replica: &mut Mirror) {
    let after = replica.revision();
    match store.watch(after.number) {
        Some(writes) if after.era == store.era => drop(replica.apply_writes(writes, store.at())),
        Some(_) | None => drop(replica.replace(store.copy(), store.at())),
    }
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(2_000))]

    /// Replicas that read and follow each other in any order, while the store comes back from older
    /// copies, never return to a former era or revision and end equal to the store.
    #[test]
    fn replicas_converge_to_a_store_that_comes_back_from_older_copies(
        events in proptest::collection::vec(event(), 1..80),
    ) {
        let mut store = Store { era: FIRST, ..Store::default() };
        let mut backup = store.clone();
        let mut replicas = [Mirror::default(), Mirror::default(), Mirror::default()];
        for event in events {
            let before: Vec<Revision> = replicas.iter().map(Mirror::revision).collect();
            match event {
                Event::Write { key, value } => store.write(key, value),
                Event::Backup => backup = store.clone(),
                Event::Restore => {
                    let era = store.era + 1;
                    store = Store { era, ..backup.clone() };
                }
                Event::Copy { replica } => {
                    replicas[replica].replace(store.copy(), store.at());
                }
                Event::Watch { replica } => watch(&store, &mut replicas[replica]),
                Event::Follow { replica } => {
                    let watcher = replicas[(replica + 1) % replicas.len()].clone();
                    follow(&mut replicas[replica], &watcher);
                }
            }
            for (replica, before) in replicas.iter().zip(before) {
                prop_assert!(replica.revision() >= before);
                let is_of_era = |item: Item| item.revision.era == replica.revision().era;
                prop_assert!(replica.items().all(is_of_era));
            }
        }
        for replica in &mut replicas {
            watch(&store, replica);
            prop_assert_eq!(content(replica), store.content());
            prop_assert_eq!(replica.revision(), store.at());
        }
    }
}
