//! Guards against too many readers of the store, none at all, and stale copies.

use {
    gingerpier_base::Instant,
    gingerpier_serving::{
        mirror::{Item, Mirror, Revision},
        watching::{self, Failure, MAX_AGE_MILLIS, Step, WATCHERS, WatcherSelection},
    },
    proptest::prelude::*,
    std::net::SocketAddr,
};

fn member(number: u8) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, number], 8_000))
}

fn members(count: u8) -> Vec<SocketAddr> {
    (0..count).map(member).collect()
}

fn at(millis: u64) -> Instant {
    Instant::from_millis(millis)
}

/// Returns the state of a member that started long ago.
fn settled(own: SocketAddr, all: &[SocketAddr]) -> WatcherSelection {
    let mut watching = WatcherSelection::new(own, at(0));
    let first = watching.next_step(all, true, at(5_000));
    assert!(matches!(first, Step::Store | Step::Member(_)), "{first:?}");
    watching
}

fn watchers(all: &[SocketAddr]) -> Vec<SocketAddr> {
    let watches = |own: &&SocketAddr| watching::is_watcher(**own, all.iter().copied());
    all.iter().filter(watches).copied().collect()
}

fn followers(all: &[SocketAddr]) -> Vec<SocketAddr> {
    let watches = watchers(all);
    let follows = all.iter().filter(|own| !watches.contains(own));
    follows.copied().collect()
}

#[test]
fn designated_watchers_read_the_store_and_the_others_spread_over_them() {
    let all = members(13);
    let step = |own: &SocketAddr| settled(*own, &all).next_step(&all, true, at(5_010));
    let watching: Vec<SocketAddr> = all
        .iter()
        .copied()
        .filter(|own| step(own) == Step::Store)
        .collect();
    assert_eq!(watching.len(), WATCHERS);
    let mut requests = [0; WATCHERS];
    for own in all.iter().filter(|own| !watching.contains(own)) {
        let Step::Member(watcher) = step(own) else {
            panic!("{own} polls a member")
        };
        let index = watching.iter().position(|one| *one == watcher);
        requests[index.expect("the member is a watcher")] += 1;
    }
    assert!(requests.iter().all(|count| *count > 0), "{requests:?}");
}

#[test]
fn watchers_know_their_role() {
    let all = members(13);
    assert_eq!(watchers(&all).len(), WATCHERS);
    assert!(watching::is_watcher(member(1), [].into_iter()), "alone");
}

#[test]
fn a_member_without_neighbours_reads_the_store() {
    let own = member(1);
    let mut watching = settled(own, &[]);
    assert_eq!(watching.next_step(&[], true, at(5_010)), Step::Store);
    assert_eq!(watching.next_step(&[own], true, at(5_020)), Step::Store);
}

#[test]
fn a_lone_starting_member_reads_the_store_within_a_second() {
    let mut watching = WatcherSelection::new(member(1), at(0));
    let step = (0..=100).find_map(|tenth| {
        let step = watching.next_step(&[], false, at(tenth * 10));
        (step == Step::Store).then_some(tenth * 10)
    });
    assert!(step.is_some_and(|millis| millis <= 1_000), "{step:?}");
}

#[test]
fn a_starting_member_asks_all_neighbours_and_only_the_first_reads_the_store() {
    let all = members(13);
    let mut readers = 0;
    for own in &all {
        let others: Vec<SocketAddr> = all.iter().copied().filter(|one| one != own).collect();
        let mut watching = WatcherSelection::new(*own, at(0));
        let mut requests = 0;
        while let Step::FirstCopy(member) = watching.next_step(&others, false, at(10)) {
            assert_ne!(member, *own);
            watching.record_missing_copy(member);
            requests += 1;
        }
        assert_eq!(requests, others.len());
        match watching.next_step(&others, false, at(400)) {
            Step::Store => readers += 1,
            Step::Member(member) => assert!(watchers(&all).contains(&member)),
            other => panic!("{other:?}"),
        }
    }
    assert_eq!(readers, 1, "one reader of a zone without a copy");
}

#[test]
fn unresponsive_members_are_skipped_and_replaced() {
    let all = members(13);
    let is_first_replacement =
        |own: &&SocketAddr| watching::is_watcher(**own, followers(&all).into_iter());
    let followers = followers(&all);
    // A member that isn't next in order.
    let own = *followers
        .iter()
        .find(|own| !is_first_replacement(own))
        .expect("most");
    let mut watching = settled(own, &all);
    let mut skipped = Vec::new();
    let mut now = at(5_010);
    while let Step::Member(member) = watching.next_step(&all, true, now) {
        assert!(
            !skipped.contains(&member),
            "{member} did not respond before"
        );
        skipped.push(member);
        watching.record_failure(member, Failure::Silent, now);
        now = now.after_millis(10);
    }
    assert!(skipped.len() >= WATCHERS);
    // No member ahead is left: it probes the store, and then replaces a watcher.
    assert_eq!(watching.next_step(&all, true, now), Step::Probe);
    watching.record_probe(true, 10, now);
    assert_eq!(watching.next_step(&all, true, now), Step::Store);
    assert_eq!(
        watching.next_step(&all, true, now),
        Step::Probe,
        "one read per probe"
    );
    let later = now.after_millis(10_000);
    assert!(matches!(
        watching.next_step(&all, true, later),
        Step::Member(_)
    ));
}

#[test]
fn a_slow_store_postpones_a_replacement_once() {
    let all = members(13);
    let own = followers(&all)[0];
    let mut watching = settled(own, &all);
    let mut now = at(5_010);
    while let Step::Member(member) = watching.next_step(&all, true, now) {
        watching.record_failure(member, Failure::Old, now);
    }
    assert_eq!(watching.next_step(&all, true, now), Step::Probe);
    watching.record_probe(true, 300, now);
    let Step::Member(member) = watching.next_step(&all, true, now) else {
        panic!("stale members are accepted again")
    };
    assert!(watching.max_age_millis(member, now) > 60_000);
    now = now.after_millis(700);
    assert!(watching.max_age_millis(member, now) <= MAX_AGE_MILLIS);
    while let Step::Member(member) = watching.next_step(&all, true, now) {
        watching.record_failure(member, Failure::Old, now);
    }
    // Nobody else may reach the store, so it becomes a replacement although the store is still
    // slow.
    assert_eq!(watching.next_step(&all, true, now), Step::Probe);
    watching.record_probe(true, 300, now);
    assert_eq!(watching.next_step(&all, true, now), Step::Store);
}

/// Guards against a stale configuration while both watchers are suspended: a slow probe must not
/// cause further requests to members that don't respond.
#[test]
fn a_slow_store_does_not_bring_back_unresponsive_members() {
    let all = members(3);
    let own = followers(&all)[0];
    let mut watching = settled(own, &all);
    let now = at(5_010);
    while let Step::Member(member) = watching.next_step(&all, true, now) {
        watching.record_failure(member, Failure::Silent, now);
    }
    assert_eq!(watching.next_step(&all, true, now), Step::Probe);
    watching.record_probe(true, 340, now);
    assert_eq!(watching.next_step(&all, true, now), Step::Store);
}

#[test]
fn all_members_follow_the_remaining_watcher() {
    let all = members(13);
    let [first, second] = watchers(&all)[..] else {
        panic!("two watchers")
    };
    for own in followers(&all) {
        for (unresponsive, remaining) in [(first, second), (second, first)] {
            let mut watching = settled(own, &all);
            watching.record_failure(unresponsive, Failure::Silent, at(5_010));
            assert_eq!(
                watching.next_step(&all, true, at(5_010)),
                Step::Member(remaining)
            );
        }
    }
}

/// Returns how many members read the store in full within `millis` while the store doesn't respond.
fn count_readers(all: &[SocketAddr], millis: u64) -> usize {
    let mut members: Vec<(SocketAddr, WatcherSelection)> =
        all.iter().map(|own| (*own, settled(*own, all))).collect();
    let last_response = at(5_000);
    let mut readers = std::collections::BTreeSet::new();
    for step in 0..millis / 10 {
        let now = last_response.after_millis(step * 10);
        for (own, watching) in &mut members {
            match watching.next_step(all, true, now) {
                Step::Store => {
                    readers.insert(*own);
                }
                Step::Probe => watching.record_probe(true, 10, now),
                Step::Member(member) => {
                    let age = now.millis_since(last_response);
                    if age > watching.max_age_millis(member, now) {
                        watching.record_failure(member, Failure::Old, now);
                    }
                }
                Step::FirstCopy(_) | Step::Wait(_) => {}
            }
        }
    }
    readers.len()
}

#[test]
fn readers_of_an_unresponsive_store_increase_slowly() {
    for count in [3, 13, 40] {
        let all = members(count);
        assert_eq!(count_readers(&all, 1_100), WATCHERS, "{count} members");
        assert!(
            count_readers(&all, 1_700) <= 2 * WATCHERS,
            "{count} members"
        );
        assert!(
            count_readers(&all, 2_600) <= 3 * WATCHERS,
            "{count} members"
        );
        assert!(
            count_readers(&all, 4_000) <= 4 * WATCHERS,
            "{count} members"
        );
    }
    // With both watchers isolated, the third of three members reads the store soon after their
    // copies are stale.
    assert_eq!(count_readers(&members(3), 1_500), 3);
}

fn item(key: u8, revision: u64, exists: bool) -> Item {
    Item {
        key: key.to_string(),
        revision: Revision::new(revision),
        value: exists.then(|| [key].into()),
    }
}

#[test]
fn a_deletion_of_an_unknown_key_reaches_followers() {
    let mut store = Mirror::default();
    let mut watcher = Mirror::default();
    let mut follower = Mirror::default();
    store.apply(vec![item(1, 1, true)], Revision::new(1));
    follower.apply(
        store.changes_after(follower.revision()).expect("known"),
        store.revision(),
    );
    store.apply(vec![item(1, 2, false)], Revision::new(2));
    watcher.apply(
        store.changes_after(watcher.revision()).expect("known"),
        store.revision(),
    );
    let changes = watcher.changes_after(follower.revision()).expect("known");
    follower.apply(changes, watcher.revision());
    assert_eq!(follower.items().count(), 0);
}

/// Guards against followers that receive each heartbeat of each engine, which congests the links of
/// the watchers.
#[test]
fn rewrites_of_equal_values_are_not_sent_to_followers() {
    const ENGINES: u8 = 200;
    let mut watcher = Mirror::default();
    let mut revision = 0;
    let mut write = |mirror: &mut Mirror, key: u8, value: u8| {
        revision += 1;
        let written = Item {
            value: Some([value].into()),
            ..item(key, revision, true)
        };
        mirror.apply_writes(vec![written], Revision::new(revision))
    };
    for key in 0..ENGINES {
        write(&mut watcher, key, 1);
    }
    let mut follower = Mirror::default();
    follower.replace(watcher.items().collect(), watcher.revision());
    let before = watcher.change_count();
    for _ in 0..10 {
        for key in 0..ENGINES {
            assert!(
                write(&mut watcher, key, 1).is_empty(),
                "a rewrite is not a change"
            );
        }
    }
    assert_eq!(watcher.change_count(), before);
    let sent = watcher.changes_after(follower.revision()).expect("known");
    assert_eq!(sent.len(), 0, "{} changes for one follower", sent.len());
    follower.apply(sent, watcher.revision());
    assert_eq!(follower.revision(), watcher.revision());
    // Changes are sent, also to a follower that is far behind.
    write(&mut watcher, 7, 2);
    let sent = watcher.changes_after(follower.revision()).expect("known");
    assert_eq!(sent.len(), 1);
    assert_eq!(sent[0].value.as_deref(), Some(&[2][..]));
}

#[test]
fn deletions_are_bounded_and_older_followers_need_a_full_copy() {
    const KEYS: u64 = 5_000;
    let mut mirror = Mirror::default();
    for revision in 1..=KEYS {
        let deletion = Item {
            key: revision.to_string(),
            revision: Revision::new(revision),
            value: None,
        };
        mirror.apply(vec![deletion], Revision::new(revision));
    }
    assert!(mirror.changes_after(Revision::new(KEYS / 2)).is_none());
    let recent = mirror
        .changes_after(Revision::new(KEYS - 10))
        .expect("recent deletions are kept");
    assert_eq!(recent.len(), 10);
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(2_000))]

    /// A follower that applies another replica's changes, or full copies where those are
    /// incomplete, holds the same keys and values; only revisions of rewrites may lag behind.
    #[test]
    fn a_follower_converges_to_the_store(
        writes in proptest::collection::vec((0_u8..6, any::<bool>(), 0_u8..5, 0_u8..2), 1..60),
    ) {
        let mut store = Mirror::default();
        let mut watcher = Mirror::default();
        let mut follower = Mirror::default();
        for (index, (key, exists, event, value)) in writes.into_iter().enumerate() {
            let revision = index as u64 + 1;
            let written = Item {
                value: exists.then(|| [value].into()),
                ..item(key, revision, exists)
            };
            store.apply_writes(vec![written], Revision::new(revision));
            match event {
                // The watcher reads a full copy, or applies changes.
                0 => {
                    watcher.replace(store.items().collect(), store.revision());
                }
                1 => {
                    let changes = store.changes_after(watcher.revision()).expect("the store has the full history");
                    watcher.apply(changes, store.revision());
                }
                2 => match watcher.changes_after(follower.revision()) {
                    Some(changes) => drop(follower.apply(changes, watcher.revision())),
                    None => drop(follower.replace(watcher.items().collect(), watcher.revision())),
                },
                // The follower reads the store itself and gets ahead of the watcher.
                3 => {
                    let changes = store.changes_after(follower.revision()).expect("the store has the full history");
                    follower.apply(changes, store.revision());
                }
                _ => {}
            }
        }
        watcher.replace(store.items().collect(), store.revision());
        match watcher.changes_after(follower.revision()) {
            Some(changes) => drop(follower.apply(changes, watcher.revision())),
            None => drop(follower.replace(watcher.items().collect(), watcher.revision())),
        }
        let content = |mirror: &Mirror| -> Vec<_> {
            mirror.items().map(|item| (item.key, item.value)).collect()
        };
        prop_assert_eq!(content(&follower), content(&store));
        for (copied, original) in follower.items().zip(store.items()) {
            prop_assert!(copied.revision <= original.revision);
        }
        prop_assert_eq!(follower.revision(), store.revision());
    }
}
