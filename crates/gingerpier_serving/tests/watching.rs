//! Who watches the store: few, never nobody, and never a member whose word is old.

use {
    gingerpier_base::Instant,
    gingerpier_serving::{
        mirror::{Item, Mirror, Revision},
        watching::{self, Failure, MAX_AGE_MILLIS, Step, WATCHERS, Watching},
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

/// A member of a zone that started long ago.
fn settled(own: SocketAddr, all: &[SocketAddr]) -> Watching {
    let mut watching = Watching::new(own, at(0));
    let first = watching.next(all, true, at(5_000));
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
fn a_few_of_a_zone_watch_and_the_others_are_told_by_them() {
    let all = members(13);
    let step = |own: &SocketAddr| settled(*own, &all).next(&all, true, at(5_010));
    let watching: Vec<SocketAddr> = all
        .iter()
        .copied()
        .filter(|own| step(own) == Step::Store)
        .collect();
    assert_eq!(watching.len(), WATCHERS);
    let mut asked = [0; WATCHERS];
    for own in all.iter().filter(|own| !watching.contains(own)) {
        let Step::Member(watcher) = step(own) else {
            panic!("{own} asks a member")
        };
        let index = watching.iter().position(|one| *one == watcher);
        asked[index.expect("it is a watcher")] += 1;
    }
    assert!(asked.iter().all(|count| *count > 0), "{asked:?}");
}

#[test]
fn those_that_watch_know_it() {
    let all = members(13);
    assert_eq!(watchers(&all).len(), WATCHERS);
    assert!(watching::is_watcher(member(1), [].into_iter()), "alone");
}

#[test]
fn who_knows_of_nobody_watches_itself() {
    let own = member(1);
    let mut watching = settled(own, &[]);
    assert_eq!(watching.next(&[], true, at(5_010)), Step::Store);
    assert_eq!(watching.next(&[own], true, at(5_020)), Step::Store);
}

#[test]
fn who_starts_alone_asks_the_store_within_a_second() {
    let mut watching = Watching::new(member(1), at(0));
    let step = (0..=100).find_map(|tenth| {
        let step = watching.next(&[], false, at(tenth * 10));
        (step == Step::Store).then_some(tenth * 10)
    });
    assert!(step.is_some_and(|millis| millis <= 1_000), "{step:?}");
}

#[test]
fn who_starts_asks_each_neighbour_for_a_first_copy_and_the_store_only_where_it_is_first() {
    let all = members(13);
    let mut readers = 0;
    for own in &all {
        let others: Vec<SocketAddr> = all.iter().copied().filter(|one| one != own).collect();
        let mut watching = Watching::new(*own, at(0));
        let mut asked = 0;
        while let Step::FirstCopy(member) = watching.next(&others, false, at(10)) {
            assert_ne!(member, *own);
            watching.note_without_copy(member);
            asked += 1;
        }
        assert_eq!(asked, others.len());
        match watching.next(&others, false, at(400)) {
            Step::Store => readers += 1,
            Step::Member(member) => assert!(watchers(&all).contains(&member)),
            other => panic!("{other:?}"),
        }
    }
    assert_eq!(readers, 1, "one of a zone where nobody has a copy");
}

#[test]
fn a_member_that_is_silent_is_passed_over_and_the_next_in_order_takes_its_place() {
    let all = members(13);
    let rank = |own: &&SocketAddr| watching::is_watcher(**own, followers(&all).into_iter());
    let followers = followers(&all);
    // Those next in order would take the place of the first that fails.
    let own = *followers.iter().find(|own| !rank(own)).expect("most");
    let mut watching = settled(own, &all);
    let mut passed_over = Vec::new();
    let mut now = at(5_010);
    while let Step::Member(member) = watching.next(&all, true, now) {
        assert!(!passed_over.contains(&member), "{member} was silent");
        passed_over.push(member);
        watching.note_failure(member, Failure::Silent, now);
        now = now.after_millis(10);
    }
    assert!(passed_over.len() >= WATCHERS);
    // Nobody is left before it: it looks how far the store is, and then takes the place of a watcher.
    assert_eq!(watching.next(&all, true, now), Step::Probe);
    watching.note_probe(true, 10, now);
    assert_eq!(watching.next(&all, true, now), Step::Store);
    assert_eq!(watching.next(&all, true, now), Step::Probe, "once each");
    let later = now.after_millis(10_000);
    assert!(matches!(watching.next(&all, true, later), Step::Member(_)));
}

#[test]
fn a_slow_way_to_the_store_puts_off_a_stand_in_once() {
    let all = members(13);
    let own = followers(&all)[0];
    let mut watching = settled(own, &all);
    let mut now = at(5_010);
    while let Step::Member(member) = watching.next(&all, true, now) {
        watching.note_failure(member, Failure::Old, now);
    }
    assert_eq!(watching.next(&all, true, now), Step::Probe);
    watching.note_probe(true, 300, now);
    let Step::Member(member) = watching.next(&all, true, now) else {
        panic!("the members are trusted again")
    };
    assert!(watching.most_age_millis(member, now) > 60_000);
    now = now.after_millis(700);
    assert!(watching.most_age_millis(member, now) <= MAX_AGE_MILLIS);
    while let Step::Member(member) = watching.next(&all, true, now) {
        watching.note_failure(member, Failure::Old, now);
    }
    // Nobody else may reach the store: it stands in although the way is still slow.
    assert_eq!(watching.next(&all, true, now), Step::Probe);
    watching.note_probe(true, 300, now);
    assert_eq!(watching.next(&all, true, now), Step::Store);
}

/// Symptom: a gateway in touch served the configuration that was replaced 2.03 s ago.
///
/// Sequence: both watchers of its zone stand still. It asks one and the other, each for 650 ms, then asks the
/// store how far it is, which takes 340 ms on a busy machine. That is taken for a slow way to the store, for
/// which the watchers are trusted again: it asks both once more, for 650 ms each.
///
/// Cause: all members that failed were trusted again, also those that did not answer at all. A slow way to the
/// store makes words old; it makes nobody silent.
#[test]
fn a_slow_way_to_the_store_does_not_bring_back_members_that_did_not_answer() {
    let all = members(3);
    let own = followers(&all)[0];
    let mut watching = settled(own, &all);
    let now = at(5_010);
    while let Step::Member(member) = watching.next(&all, true, now) {
        watching.note_failure(member, Failure::Silent, now);
    }
    assert_eq!(watching.next(&all, true, now), Step::Probe);
    watching.note_probe(true, 340, now);
    assert_eq!(watching.next(&all, true, now), Step::Store);
}

#[test]
fn one_watcher_that_is_left_is_followed_by_all() {
    let all = members(13);
    let [first, second] = watchers(&all)[..] else {
        panic!("two of them")
    };
    for own in followers(&all) {
        for (gone, left) in [(first, second), (second, first)] {
            let mut watching = settled(own, &all);
            watching.note_failure(gone, Failure::Silent, at(5_010));
            assert_eq!(watching.next(&all, true, at(5_010)), Step::Member(left));
        }
    }
}

/// All members of a zone, while nobody hears anything of the store: those that ask it for everything
/// within `millis`.
fn askers(all: &[SocketAddr], millis: u64) -> usize {
    let mut members: Vec<(SocketAddr, Watching)> =
        all.iter().map(|own| (*own, settled(*own, all))).collect();
    let last_word = at(5_000);
    let mut asking = std::collections::BTreeSet::new();
    for step in 0..millis / 10 {
        let now = last_word.after_millis(step * 10);
        for (own, watching) in &mut members {
            match watching.next(all, true, now) {
                Step::Store => {
                    asking.insert(*own);
                }
                Step::Probe => watching.note_probe(true, 10, now),
                Step::Member(member) => {
                    let age = now.millis_since(last_word);
                    if age > watching.most_age_millis(member, now) {
                        watching.note_failure(member, Failure::Old, now);
                    }
                }
                Step::FirstCopy(_) | Step::Wait(_) => {}
            }
        }
    }
    asking.len()
}

#[test]
fn those_that_ask_a_store_nobody_hears_from_widen_slowly() {
    for count in [3, 13, 40] {
        let all = members(count);
        assert_eq!(askers(&all, 1_100), WATCHERS, "{count} members");
        assert!(askers(&all, 1_700) <= 2 * WATCHERS, "{count} members");
        assert!(askers(&all, 2_600) <= 3 * WATCHERS, "{count} members");
        assert!(askers(&all, 4_000) <= 4 * WATCHERS, "{count} members");
    }
    // Where the two are cut off alone, the third of three asks soon after their word is old.
    assert_eq!(askers(&members(3), 1_500), 3);
}

fn item(key: u8, revision: u64, is_there: bool) -> Item {
    Item {
        key: key.to_string(),
        revision: Revision(revision),
        value: is_there.then(|| [key].into()),
    }
}

#[test]
fn a_key_that_went_before_the_watcher_held_it_goes_at_its_followers_too() {
    let mut store = Mirror::default();
    let mut watcher = Mirror::default();
    let mut follower = Mirror::default();
    store.apply(vec![item(1, 1, true)], Revision(1));
    follower.apply(
        store.changes_after(follower.at()).expect("known"),
        store.at(),
    );
    store.apply(vec![item(1, 2, false)], Revision(2));
    watcher.apply(
        store.changes_after(watcher.at()).expect("known"),
        store.at(),
    );
    let news = watcher.changes_after(follower.at()).expect("known");
    follower.apply(news, watcher.at());
    assert_eq!(follower.items().count(), 0);
}

/// Followers of a watcher were sent the entry of each engine again and again: 461 engines write one each 1.2 s, which is
/// 130 KB a second to each of some hundred followers of a zone, and the links of the watchers filled.
#[test]
fn entries_that_are_only_written_again_are_told_to_nobody() {
    const ENGINES: u8 = 200;
    let mut watcher = Mirror::default();
    let mut revision = 0;
    let mut write = |mirror: &mut Mirror, key: u8, value: u8| {
        revision += 1;
        let written = Item {
            value: Some([value].into()),
            ..item(key, revision, true)
        };
        mirror.apply_writes(vec![written], Revision(revision))
    };
    for key in 0..ENGINES {
        write(&mut watcher, key, 1);
    }
    let mut follower = Mirror::default();
    follower.replace(watcher.items().collect(), watcher.at());
    let before = watcher.change_count();
    for _ in 0..10 {
        for key in 0..ENGINES {
            assert!(write(&mut watcher, key, 1).is_empty(), "it is read anew");
        }
    }
    assert_eq!(watcher.change_count(), before);
    let told = watcher.changes_after(follower.at()).expect("known");
    assert_eq!(told.len(), 0, "{} entries for one follower", told.len());
    follower.apply(told, watcher.at());
    assert_eq!(follower.at(), watcher.at());
    // What changes is told, also to one that has heard nothing for long.
    write(&mut watcher, 7, 2);
    let told = watcher.changes_after(follower.at()).expect("known");
    assert_eq!(told.len(), 1);
    assert_eq!(told[0].value.as_deref(), Some(&[2][..]));
}

#[test]
fn only_so_many_keys_that_went_are_remembered_and_then_a_whole_copy_is_asked_for() {
    const KEYS: u64 = 5_000;
    let mut mirror = Mirror::default();
    for revision in 1..=KEYS {
        let gone = Item {
            key: revision.to_string(),
            revision: Revision(revision),
            value: None,
        };
        mirror.apply(vec![gone], Revision(revision));
    }
    assert!(mirror.changes_after(Revision(KEYS / 2)).is_none());
    let known = mirror.changes_after(Revision(KEYS - 10)).expect("lately");
    assert_eq!(known.len(), 10);
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(2_000))]

    /// A mirror that follows another by its changes, or by whole copies where those are not known,
    /// holds the same keys and values. What was only written again may keep the revision of its last change.
    #[test]
    fn a_mirror_told_by_another_holds_the_same(
        writes in proptest::collection::vec((0_u8..6, any::<bool>(), 0_u8..5, 0_u8..2), 1..60),
    ) {
        let mut store = Mirror::default();
        let mut watcher = Mirror::default();
        let mut follower = Mirror::default();
        for (index, (key, is_there, event, value)) in writes.into_iter().enumerate() {
            let revision = index as u64 + 1;
            let written = Item {
                value: is_there.then(|| [value].into()),
                ..item(key, revision, is_there)
            };
            store.apply_writes(vec![written], Revision(revision));
            match event {
                // The watcher reads everything anew, or is told of what changed.
                0 => {
                    watcher.replace(store.items().collect(), store.at());
                }
                1 => {
                    let news = store.changes_after(watcher.at()).expect("it saw everything");
                    watcher.apply(news, store.at());
                }
                2 => match watcher.changes_after(follower.at()) {
                    Some(news) => drop(follower.apply(news, watcher.at())),
                    None => drop(follower.replace(watcher.items().collect(), watcher.at())),
                },
                // The follower asks the store itself, and gets ahead of the watcher.
                3 => {
                    let news = store.changes_after(follower.at()).expect("it saw everything");
                    follower.apply(news, store.at());
                }
                _ => {}
            }
        }
        watcher.replace(store.items().collect(), store.at());
        match watcher.changes_after(follower.at()) {
            Some(news) => drop(follower.apply(news, watcher.at())),
            None => drop(follower.replace(watcher.items().collect(), watcher.at())),
        }
        let held = |mirror: &Mirror| -> Vec<_> {
            mirror.items().map(|item| (item.key, item.value)).collect()
        };
        prop_assert_eq!(held(&follower), held(&store));
        for (told, known) in follower.items().zip(store.items()) {
            prop_assert!(told.revision <= known.revision);
        }
        prop_assert_eq!(follower.at(), store.at());
    }
}
