//! Who watches the store: few, never nobody, and never a member whose word is old.

use {
    gingerpier_base::Instant,
    gingerpier_serving::{
        mirror::{Item, Mirror, Revision},
        watching::{self, Step, WATCHERS, Watching},
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

/// A member of a zone that has read the store once.
fn settled(own: SocketAddr, all: &[SocketAddr]) -> Watching {
    let mut watching = Watching::new(own);
    let first = watching.next(all.iter().copied(), at(0));
    assert_eq!(first, Step::Store, "who knows nothing asks the store");
    watching
}

#[test]
fn a_few_of_a_zone_watch_and_the_others_are_told_by_them() {
    let all = members(13);
    let step = |own: &SocketAddr| settled(*own, &all).next(all.iter().copied(), at(10));
    let watchers: Vec<SocketAddr> = all
        .iter()
        .copied()
        .filter(|own| step(own) == Step::Store)
        .collect();
    assert_eq!(watchers.len(), WATCHERS);
    let mut asked = [0; WATCHERS];
    for own in all.iter().filter(|own| !watchers.contains(own)) {
        let Step::Member(watcher) = step(own) else {
            panic!("{own} asks a member")
        };
        let index = watchers.iter().position(|one| *one == watcher);
        asked[index.expect("it is a watcher")] += 1;
    }
    assert!(asked.iter().all(|count| *count > 0), "{asked:?}");
}

#[test]
fn those_that_watch_know_it() {
    let all = members(13);
    let watch = |own: &&SocketAddr| watching::is_watcher(**own, all.iter().copied());
    assert_eq!(all.iter().filter(watch).count(), WATCHERS);
    assert!(watching::is_watcher(member(1), [].into_iter()), "alone");
}

#[test]
fn who_knows_of_nobody_watches_itself() {
    let own = member(1);
    let mut watching = settled(own, &[]);
    assert_eq!(watching.next([].into_iter(), at(10)), Step::Store);
    assert_eq!(watching.next([own].into_iter(), at(20)), Step::Store);
}

#[test]
fn a_member_that_fails_is_passed_over_and_the_store_is_asked_at_once() {
    let all = members(13);
    let follows = |own: &&SocketAddr| {
        let step = settled(**own, &all).next(all.iter().copied(), at(10));
        matches!(step, Step::Member(_))
    };
    let own = *all.iter().find(follows).expect("most of them");
    let mut watching = settled(own, &all);
    let next = |watching: &mut Watching, millis| watching.next(all.iter().copied(), at(millis));
    let Step::Member(first) = next(&mut watching, 10) else {
        panic!("it follows a member")
    };
    watching.note_failure(first, at(20));
    assert_eq!(next(&mut watching, 20), Step::Store);
    let Step::Member(second) = next(&mut watching, 30) else {
        panic!("it follows the other one")
    };
    assert_ne!(second, first);
    watching.note_failure(second, at(40));
    assert_eq!(next(&mut watching, 40), Step::Store);
    assert_eq!(next(&mut watching, 50), Step::Store, "both are passed over");
    assert_eq!(next(&mut watching, 10_000), Step::Member(first));
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
    /// holds the same keys.
    #[test]
    fn a_mirror_told_by_another_holds_the_same(
        writes in proptest::collection::vec((0_u8..6, any::<bool>(), 0_u8..5), 1..60),
    ) {
        let mut store = Mirror::default();
        let mut watcher = Mirror::default();
        let mut follower = Mirror::default();
        for (index, (key, is_there, event)) in writes.into_iter().enumerate() {
            let revision = index as u64 + 1;
            store.apply(vec![item(key, revision, is_there)], Revision(revision));
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
        let keys = |mirror: &Mirror| mirror.items().collect::<Vec<Item>>();
        prop_assert_eq!(keys(&follower), keys(&store));
        prop_assert_eq!(follower.at(), store.at());
    }
}
