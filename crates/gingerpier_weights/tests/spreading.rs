//! Plans and fetches without I/O: even loads, one copy from the origin, sources that fail.

use {
    gingerpier_base::{Digest, Instant, order},
    gingerpier_weights::{
        Fetch, Manifest, Plan, Relays, Route,
        fetch::{Action, Outcome, Terms},
        manifest::{Builder, Error},
        plan::{Replica, ReplicaKey, Source},
        room::Room,
    },
    proptest::prelude::*,
    std::collections::{BTreeMap, BTreeSet},
};

fn replicas(zones: u64, each: u64) -> Vec<Replica> {
    let replica = |index| Replica {
        identity: order::mix(index),
        region: index / each / 2,
        zone: index / each,
    };
    (0..zones * each).map(replica).collect()
}

fn first_source(plan: &Plan, replica: u32, chunk: u32) -> Source {
    let mut sources = Vec::new();
    plan.sources(ReplicaKey(replica), chunk, &mut sources);
    sources[0]
}

#[test]
fn each_chunk_is_read_from_the_origin_once_and_uploads_are_even() {
    const CHUNKS: u32 = 400;
    let plan = Plan::new(1, &replicas(4, 25), 2);
    let mut uploads = vec![0_u32; 100];
    for chunk in 0..CHUNKS {
        let mut from_origin = 0;
        for replica in 0..100 {
            match first_source(&plan, replica, chunk) {
                Source::Origin => from_origin += 1,
                Source::Replica(source) => uploads[source.0 as usize] += 1,
                Source::Holder(_) => panic!("a last resort comes first"),
            }
        }
        assert_eq!(from_origin, 1);
    }
    let (least, most) = (uploads.iter().min(), uploads.iter().max());
    let mean = f64::from(CHUNKS) * 99.0 / 100.0;
    let most = f64::from(*most.expect("there are some"));
    let least = f64::from(*least.expect("there are some"));
    assert!(
        most < 1.1 * mean && least > 0.9 * mean,
        "{least} to {most}, mean {mean}"
    );
}

#[test]
fn following_sources_upwards_always_ends_at_the_origin() {
    let plan = Plan::new(1, &replicas(3, 7), 2);
    for chunk in 0..50 {
        for replica in 0..21 {
            let mut at = replica;
            for _ in 0..21 {
                match first_source(&plan, at, chunk) {
                    Source::Replica(next) => at = next.0,
                    _ => break,
                }
            }
            assert_eq!(first_source(&plan, at, chunk), Source::Origin);
        }
    }
}

fn fetch(chunks: u32) -> Fetch {
    let plan = Plan::new(1, &replicas(1, 4), 2);
    let terms = Terms {
        window: 2,
        stall_millis: 100,
        ..Terms::default()
    };
    Fetch::new(terms, plan, ReplicaKey(3), chunks)
}

fn asks(fetch: &mut Fetch, now: Instant) -> Vec<Action> {
    let mut actions = Vec::new();
    fetch.poll(now, &mut actions);
    actions
}

#[test]
fn a_source_that_stalls_is_dropped_for_the_next() {
    let mut fetch = fetch(1);
    let [Action::Ask { source: first, .. }] = asks(&mut fetch, Instant::from_millis(0))[..] else {
        panic!("not asked")
    };
    let later = asks(&mut fetch, Instant::from_millis(100));
    let [Action::Drop { .. }, Action::Ask { source: second, .. }] = later[..] else {
        panic!("{later:?}")
    };
    assert_ne!(first, second);
}

#[test]
fn time_in_which_the_process_did_not_run_counts_against_no_source() {
    let at = Instant::from_millis;
    let mut fetch = fetch(1);
    asks(&mut fetch, at(0));
    // A look was due at 50, and is taken at 950: 50 are left of the 100 that a stall may last.
    fetch.note_look(at(50), at(950));
    assert_eq!(asks(&mut fetch, at(960)), []);
    assert_eq!(asks(&mut fetch, at(999)), []);
    let later = asks(&mut fetch, at(1_000));
    let [Action::Drop { .. }, Action::Ask { .. }] = later[..] else {
        panic!("{later:?}")
    };
}

#[test]
fn looks_that_are_a_little_late_put_no_deadline_off() {
    let at = Instant::from_millis;
    let mut fetch = fetch(1);
    asks(&mut fetch, at(0));
    fetch.note_look(at(40), at(90));
    let later = asks(&mut fetch, at(100));
    let [Action::Drop { .. }, Action::Ask { .. }] = later[..] else {
        panic!("{later:?}")
    };
}

#[test]
fn a_liar_is_not_asked_again() {
    let mut fetch = fetch(40);
    let mut liar = None;
    for round in 0..200 {
        let now = Instant::from_millis(round);
        for action in asks(&mut fetch, now) {
            let Action::Ask {
                chunk,
                source,
                attempt,
            } = action
            else {
                continue;
            };
            match (source, liar) {
                (Source::Replica(key) | Source::Holder(key), None) => {
                    liar = Some(key);
                    fetch.end(chunk, attempt, Outcome::Corrupt, now);
                }
                (Source::Replica(key) | Source::Holder(key), Some(liar)) if key == liar => {
                    panic!("the liar was asked again");
                }
                _ => fetch.end(chunk, attempt, Outcome::Held, now),
            }
        }
    }
    assert!(fetch.is_complete() && liar.is_some());
}

/// A process that is no relay has no origin to turn to. Chunks of all its sources were spoilt once each, on their way;
/// it asked nobody from then on, for as long as it knew the same sources.
#[test]
fn sources_that_each_sent_a_wrong_chunk_once_are_asked_again_where_nobody_else_is_left() {
    let relays = Relays::new(1, replicas(1, 2));
    let zone = replicas(1, 2)[0].zone;
    let rest = Vec::new();
    let route = Route::Leaf { relays, zone, rest };
    let mut fetch = Fetch::along(Terms::default(), route, 1);
    let mut now = Instant::from_millis(1_000);
    let mut spoilt = 0;
    while !fetch.is_complete() {
        for action in asks(&mut fetch, now) {
            if let Action::Ask { chunk, attempt, .. } = action {
                let outcome = match spoilt < 2 {
                    true => Outcome::Corrupt,
                    false => Outcome::Held,
                };
                spoilt += 1;
                fetch.end(chunk, attempt, outcome, now);
            }
        }
        now = now.after_millis(100);
        assert!(now < Instant::from_millis(20_000), "{spoilt} were asked");
    }
}

#[test]
fn a_busy_origin_is_asked_again_when_it_says() {
    let plan = Plan::new(1, &replicas(1, 1), 2);
    let mut fetch = Fetch::new(Terms::default(), plan, ReplicaKey(0), 1);
    let [Action::Ask { chunk, attempt, .. }] = asks(&mut fetch, Instant::from_millis(0))[..] else {
        panic!("not asked")
    };
    let until = Instant::from_millis(500);
    fetch.end(
        chunk,
        attempt,
        Outcome::Refused(until),
        Instant::from_millis(1),
    );
    assert!(asks(&mut fetch, Instant::from_millis(499)).is_empty());
    assert!(matches!(
        asks(&mut fetch, until)[..],
        [Action::Ask {
            source: Source::Origin,
            ..
        }]
    ));
}

#[test]
fn room_is_reserved_whole_and_what_is_assigned_is_never_pushed_out() {
    let [a, b, c] = [b"a", b"b", b"c"].map(|name| Digest::of(name));
    let mut room = Room::new(10);
    assert_eq!(room.reserve(a, 6), Ok(Vec::new()));
    assert_eq!(room.reserve(b, 5).expect_err("it is full").free, 4);
    room.release(a);
    assert_eq!(room.reserve(b, 5), Ok(vec![a]));
    assert!(room.reserve(c, 6).is_err());
}

proptest! {
    #[test]
    fn spans_of_all_chunks_are_the_files_in_order(
        sizes in prop::collection::vec(0..50usize, 1..8),
        chunk_bytes in 1..20u32,
    ) {
        let mut builder = Builder::new(chunk_bytes);
        for (index, size) in sizes.iter().enumerate() {
            builder.start_file(&format!("f{index}"));
            builder.update(&vec![7; *size]);
        }
        let manifest = builder.finish();
        let mut covered = vec![0_u64; sizes.len()];
        for chunk in 0..manifest.chunks.len() as u32 {
            let spans = manifest.spans(chunk);
            let sum: u64 = spans.iter().map(|span| span.length).sum();
            prop_assert_eq!(sum, u64::from(manifest.chunk_length(chunk)));
            for span in spans {
                prop_assert_eq!(covered[span.file], span.offset);
                covered[span.file] += span.length;
            }
        }
        prop_assert_eq!(covered, sizes.iter().map(|size| *size as u64).collect::<Vec<_>>());
        let bytes = manifest.to_bytes();
        prop_assert_eq!(Manifest::from_bytes(&bytes, Digest::of(&bytes)), Ok(manifest));
    }

    #[test]
    fn no_bytes_upset_the_manifest_reader(bytes in prop::collection::vec(any::<u8>(), 0..256)) {
        let _ = Manifest::from_unnamed_bytes(&bytes);
        let other = Digest::of(b"other");
        let refused = matches!(Manifest::from_bytes(&bytes, other), Err(Error::Digest { .. }));
        prop_assert!(refused);
    }
}

#[test]
fn chunks_wanted_ahead_do_not_hold_the_window_up() {
    let mut fetch = fetch(20);
    for chunk in 10..16 {
        fetch.want(chunk);
    }
    let mut actions = Vec::new();
    fetch.poll(Instant::from_millis(0), &mut actions);
    let asked = |chunk| {
        let is =
            |action: &Action| matches!(action, Action::Ask { chunk: other, .. } if *other == chunk);
        actions.iter().any(is)
    };
    assert!(
        asked(0) && asked(1),
        "the window's first chunks are asked for"
    );
    assert!(asked(10), "so are those that were wanted");
}

#[test]
fn a_narrow_link_halves_what_is_asked_for_and_a_stall_does_too() {
    let mut fetch = fetch(40);
    for chunk in 0..8 {
        fetch.want(chunk);
    }
    let mut actions = Vec::new();
    fetch.poll(Instant::from_millis(0), &mut actions);
    let before = fetch.width();
    actions.clear();
    fetch.narrow(&mut actions);
    assert!(fetch.width() <= before / 2);
    let dropped = actions
        .iter()
        .filter(|action| matches!(action, Action::Drop { .. }))
        .count();
    assert_eq!(
        dropped, 4,
        "half of eight, and all of them can be asked for again"
    );
}

#[test]
fn an_origin_that_is_down_does_not_narrow_the_link() {
    // Replica 0 of a plan with one replica takes everything from the origin.
    let plan = Plan::new(1, &replicas(1, 1), 2);
    let terms = Terms {
        window: 8,
        stall_millis: 100,
        ..Terms::default()
    };
    let mut fetch = Fetch::new(terms, plan, ReplicaKey(0), 40);
    let mut actions = Vec::new();
    let before = fetch.width();
    for turn in 0..50 {
        fetch.poll(Instant::from_millis(turn * 150), &mut actions);
    }
    let stalls = actions
        .iter()
        .filter(|action| matches!(action, Action::Drop { .. }))
        .count();
    assert!(stalls > 20, "it was silent all the time");
    assert_eq!(fetch.width(), before);
}

/// Fetch at the root of a chain of two zones: it takes every other chunk from the origin itself.
fn fetch_at_a_root(chunks: u32) -> Fetch {
    let plan = Plan::new(1, &replicas(2, 1), 1);
    let terms = Terms {
        window: 16,
        stall_millis: 100,
        patience_millis: 10_000,
        pause_millis: 10,
        origin_at_once: 24,
    };
    Fetch::new(terms, plan, ReplicaKey(0), chunks)
}

#[test]
fn chunks_that_wait_behind_others_on_the_origins_link_are_not_asked_for_again() {
    let plan = Plan::new(1, &replicas(1, 1), 2);
    let terms = Terms {
        window: 8,
        stall_millis: 100,
        ..Terms::default()
    };
    let mut fetch = Fetch::new(terms, plan, ReplicaKey(0), 8);
    let asked = asks(&mut fetch, Instant::from_millis(0));
    assert_eq!(
        asked.len(),
        8,
        "all at once, and the link carries one after the other"
    );
    for millis in (0..1_000).step_by(50) {
        let now = Instant::from_millis(millis);
        fetch.origin_sent(now);
        assert_eq!(asks(&mut fetch, now), [], "at {millis}");
    }
    let silent = asks(&mut fetch, Instant::from_millis(1_100));
    let dropped = silent
        .iter()
        .filter(|action| matches!(action, Action::Drop { .. }));
    assert_eq!(
        dropped.count(),
        8,
        "an origin that sends nothing is stalled"
    );
}

/// A fetch whose chunks are asked of peers, with the questions at each of them.
fn fetch_at_peers() -> (Fetch, BTreeMap<ReplicaKey, Vec<(u32, u64)>>) {
    let plan = Plan::new(1, &replicas(1, 8), 2);
    let terms = Terms {
        window: 32,
        stall_millis: 100,
        patience_millis: 10_000,
        pause_millis: 10,
        origin_at_once: 24,
    };
    let mut fetch = Fetch::new(terms, plan, ReplicaKey(0), 32);
    let mut questions = BTreeMap::<_, Vec<_>>::new();
    for action in asks(&mut fetch, Instant::from_millis(0)) {
        if let Action::Ask {
            chunk,
            source: Source::Replica(peer),
            attempt,
        } = action
        {
            questions.entry(peer).or_default().push((chunk, attempt));
        }
    }
    (fetch, questions)
}

fn dropped(actions: &[Action]) -> Vec<(u32, u64)> {
    let dropped = actions.iter().filter_map(|action| match action {
        Action::Drop {
            chunk,
            attempt,
            source,
        } if *source != Source::Origin => Some((*chunk, *attempt)),
        _ => None,
    });
    dropped.collect()
}

#[test]
fn a_peer_that_speaks_on_one_question_is_not_given_up_on_the_others() {
    let at = Instant::from_millis;
    let (mut fetch, questions) = fetch_at_peers();
    let mut others = questions.clone();
    let (peer, spoken) = others.pop_last().expect("peers are asked");
    assert!(spoken.len() > 1 && !others.is_empty(), "{questions:?}");
    fetch.peer_sent(peer, at(90));
    // The silent ones are given up, each question of them; the one that spoke is not.
    let silent: BTreeSet<_> = others.into_values().flatten().collect();
    let given_up: BTreeSet<_> = dropped(&asks(&mut fetch, at(100))).into_iter().collect();
    assert_eq!(given_up, silent);
    // From its last word on, a stall counts as before.
    let none: Vec<_> = dropped(&asks(&mut fetch, at(189)));
    assert!(spoken.iter().all(|question| !none.contains(question)));
    let late = dropped(&asks(&mut fetch, at(190)));
    assert!(
        spoken.iter().all(|question| late.contains(question)),
        "{late:?}"
    );
}

#[test]
fn a_question_that_its_source_never_mentions_is_given_up_although_the_source_speaks() {
    let (mut fetch, questions) = fetch_at_peers();
    let (peer, spoken) = questions.last_key_value().expect("peers are asked");
    let [(chunk, attempt), forgotten @ ..] = &spoken[..] else {
        panic!("{questions:?}")
    };
    let mut given_up_at = BTreeMap::new();
    for millis in (0..=1_000).step_by(10) {
        let now = Instant::from_millis(millis);
        fetch.progress(*chunk, *attempt, now);
        fetch.peer_sent(*peer, now);
        for question in dropped(&asks(&mut fetch, now)) {
            given_up_at.entry(question).or_insert(millis);
        }
    }
    // Two stalls after they were asked; the one that is spoken of is not given up.
    for question in forgotten {
        assert_eq!(given_up_at.get(question), Some(&200));
    }
    assert_eq!(given_up_at.get(&(*chunk, *attempt)), None);
}

#[test]
fn questions_that_wait_at_others_do_not_keep_the_origin_from_being_asked() {
    const LATE_MILLIS: u64 = 2_000;
    let mut fetch = fetch_at_a_root(32);
    let mut asked = BTreeSet::new();
    let mut waiting = Vec::new();
    // The link was narrow once; since then the other root says that it waits itself, and no more.
    let mut dropped = Vec::new();
    fetch.poll(Instant::from_millis(0), &mut dropped);
    fetch.narrow(&mut dropped);
    fetch.narrow(&mut dropped);
    for millis in (0..=3_000).step_by(50) {
        let now = Instant::from_millis(millis);
        let mut actions = Vec::new();
        fetch.poll(now, &mut actions);
        for (chunk, attempt) in &waiting {
            fetch.progress(*chunk, *attempt, now);
        }
        for action in actions {
            let Action::Ask {
                chunk,
                source,
                attempt,
            } = action
            else {
                continue;
            };
            if source != Source::Origin {
                waiting.push((chunk, attempt));
                continue;
            }
            fetch.end(chunk, attempt, Outcome::Failed, now);
            if millis > LATE_MILLIS {
                asked.insert(chunk);
            }
        }
    }
    assert!(asked.len() >= 8, "{asked:?} are still asked for");
}

/// Questions of a fetch whose sources all refuse at once, over so many milliseconds; `origin_from` is when the origin
/// begins to give chunks, one in 45 ms. Gives the questions, and when the last chunk came.
fn questions_in_vain(millis: u64, origin_from: u64) -> (usize, Option<u64>) {
    const CHUNKS: u32 = 48;
    const CHUNK_MILLIS: u64 = 45;
    let plan = Plan::new(1, &replicas(2, 20), 3);
    let terms = Terms {
        window: 24,
        stall_millis: 1_200,
        patience_millis: 4_000,
        pause_millis: 100,
        origin_at_once: 24,
    };
    let mut fetch = Fetch::new(terms, plan, ReplicaKey(0), CHUNKS);
    let mut asked = 0;
    let mut free_at = 0;
    for step in 0..millis / 5 {
        let now = Instant::from_millis(5 * step);
        let mut actions = Vec::new();
        fetch.poll(now, &mut actions);
        for action in actions {
            match action {
                Action::Ask {
                    chunk,
                    source,
                    attempt,
                } => {
                    asked += 1;
                    let gives = source == Source::Origin && 5 * step >= origin_from;
                    let is_free = gives && free_at <= 5 * step;
                    let outcome = match (gives, is_free) {
                        (true, true) => Outcome::Held,
                        (true, false) => Outcome::Refused(Instant::from_millis(free_at)),
                        (false, _) => Outcome::Failed,
                    };
                    if is_free {
                        free_at = 5 * step + CHUNK_MILLIS;
                    }
                    fetch.end(chunk, attempt, outcome, now);
                }
                Action::Drop { .. } => {}
                Action::Complete => return (asked, Some(5 * step)),
            }
        }
    }
    (asked, None)
}

#[test]
fn sources_that_have_nothing_are_asked_less_and_less() {
    // 24 chunks at once, each at 8 sources a round: every 100 ms that is a few thousand in a second.
    let (asked, _) = questions_in_vain(10_000, u64::MAX);
    assert!(asked <= 3_000, "{asked} questions in 10 s");
}

#[test]
fn an_origin_that_is_back_is_made_use_of_at_once() {
    let (_, last) = questions_in_vain(20_000, 6_000);
    let took = last.expect("all chunks") - 6_000;
    // 48 chunks take 2.2 s of its link.
    assert!(took <= 3_000, "{took} ms after its return");
}

#[test]
fn the_origin_is_asked_for_the_lowest_chunks_first_also_after_it_was_down() {
    let plan = Plan::new(1, &replicas(1, 1), 2);
    let terms = Terms {
        window: 24,
        pause_millis: 100,
        origin_at_once: 2,
        ..Terms::default()
    };
    let mut fetch = Fetch::new(terms, plan, ReplicaKey(0), 96);
    let mut came = Vec::new();
    let mut open = Vec::new();
    for step in 0..400 {
        let now = Instant::from_millis(50 * step);
        // Each look a chunk comes, but for 5 s; what was asked for last fails first then.
        let is_down = (100..200).contains(&step);
        if let Some((chunk, attempt)) = if is_down {
            open.pop()
        } else {
            open.first().copied()
        } {
            open.retain(|(other, _)| *other != chunk);
            let outcome = match is_down {
                true => Outcome::Failed,
                false => Outcome::Held,
            };
            if outcome == Outcome::Held {
                came.push(chunk);
            }
            fetch.end(chunk, attempt, outcome, now);
        }
        for action in asks(&mut fetch, now) {
            if let Action::Ask { chunk, attempt, .. } = action {
                open.push((chunk, attempt));
            }
        }
        assert!(open.len() <= 2, "{} at once", open.len());
    }
    assert_eq!(came.len(), 96);
    let late = came.iter().enumerate();
    let most = late
        .map(|(place, chunk)| place.abs_diff(*chunk as usize))
        .max();
    assert!(most <= Some(8), "{most:?} places out of order");
}
