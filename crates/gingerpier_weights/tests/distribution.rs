//! Plans, fetches, manifests and memory reservations: balanced uploads, failing sources, congestion
//! and backoff.

use {
    gingerpier_base::{Digest, Instant, order},
    gingerpier_weights::{
        Fetch, Manifest, Plan, Relays, Route,
        fetch::{Action, Outcome, Policy},
        manifest::{Builder, Error},
        memory::Reservations,
        plan::{Replica, ReplicaKey, Source},
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
fn chunk_is_fetched_from_origin_once_and_uploads_are_balanced() {
    const CHUNKS: u32 = 400;
    let plan = Plan::new(1, &replicas(4, 25), 2);
    let mut uploads = vec![0_u32; 100];
    for chunk in 0..CHUNKS {
        let mut from_origin = 0;
        for replica in 0..100 {
            match first_source(&plan, replica, chunk) {
                Source::Origin => from_origin += 1,
                Source::Replica(source) => uploads[source.0 as usize] += 1,
                Source::Holder(_) => panic!("a holder must not be the first source"),
            }
        }
        assert_eq!(from_origin, 1);
    }
    let (min, max) = (uploads.iter().min(), uploads.iter().max());
    let mean = f64::from(CHUNKS) * 99.0 / 100.0;
    let max = f64::from(*max.expect("uploads must not be empty"));
    let min = f64::from(*min.expect("uploads must not be empty"));
    assert!(
        max < 1.1 * mean && min > 0.9 * mean,
        "{min} to {max}, mean {mean}"
    );
}

#[test]
fn first_sources_form_no_cycle_and_end_at_the_origin() {
    let plan = Plan::new(1, &replicas(3, 7), 2);
    for chunk in 0..50 {
        for replica in 0..21 {
            let mut current = replica;
            for _ in 0..21 {
                match first_source(&plan, current, chunk) {
                    Source::Replica(next) => current = next.0,
                    _ => break,
                }
            }
            assert_eq!(first_source(&plan, current, chunk), Source::Origin);
        }
    }
}

fn new_fetch(chunks: u32) -> Fetch {
    let plan = Plan::new(1, &replicas(1, 4), 2);
    let policy = Policy {
        window: 2,
        stall_millis: 100,
        ..Policy::default()
    };
    Fetch::new(policy, plan, ReplicaKey(3), chunks)
}

fn poll_fetch(fetch: &mut Fetch, now: Instant) -> Vec<Action> {
    let mut actions = Vec::new();
    fetch.poll(now, &mut actions);
    actions
}

#[test]
fn stalled_source_is_replaced_by_the_next() {
    let mut fetch = new_fetch(1);
    let [Action::Request { source: first, .. }] =
        poll_fetch(&mut fetch, Instant::from_millis(0))[..]
    else {
        panic!("expected a request")
    };
    let actions = poll_fetch(&mut fetch, Instant::from_millis(100));
    let [
        Action::Cancel { .. },
        Action::Request { source: second, .. },
    ] = actions[..]
    else {
        panic!("{actions:?}")
    };
    assert_ne!(first, second);
}

#[test]
fn deadlines_exclude_time_in_which_process_was_not_scheduled() {
    let at = Instant::from_millis;
    let mut fetch = new_fetch(1);
    poll_fetch(&mut fetch, at(0));
    // The poll due at 50 runs at 950, which extends the deadline of 100 to 1,000.
    fetch.record_poll(at(50), at(950));
    assert_eq!(poll_fetch(&mut fetch, at(960)), []);
    assert_eq!(poll_fetch(&mut fetch, at(999)), []);
    let actions = poll_fetch(&mut fetch, at(1_000));
    let [Action::Cancel { .. }, Action::Request { .. }] = actions[..] else {
        panic!("{actions:?}")
    };
}

#[test]
fn slightly_late_poll_does_not_extend_deadlines() {
    let at = Instant::from_millis;
    let mut fetch = new_fetch(1);
    poll_fetch(&mut fetch, at(0));
    fetch.record_poll(at(40), at(90));
    let actions = poll_fetch(&mut fetch, at(100));
    let [Action::Cancel { .. }, Action::Request { .. }] = actions[..] else {
        panic!("{actions:?}")
    };
}

#[test]
fn corrupt_source_is_not_used_again() {
    let mut fetch = new_fetch(40);
    let mut corrupt_source = None;
    for round in 0..200 {
        let now = Instant::from_millis(round);
        for action in poll_fetch(&mut fetch, now) {
            let Action::Request {
                chunk,
                source,
                attempt,
            } = action
            else {
                continue;
            };
            match (source, corrupt_source) {
                (Source::Replica(key) | Source::Holder(key), None) => {
                    corrupt_source = Some(key);
                    fetch.record_outcome(chunk, attempt, Outcome::Corrupt, now);
                }
                (Source::Replica(key) | Source::Holder(key), Some(corrupt_source))
                    if key == corrupt_source =>
                {
                    panic!("the corrupt source was used again");
                }
                _ => fetch.record_outcome(chunk, attempt, Outcome::Held, now),
            }
        }
    }
    assert!(fetch.is_complete() && corrupt_source.is_some());
}

/// Without a retry, a fetch without an origin hangs once all of its sources have sent corrupt data.
#[test]
fn corrupt_sources_are_retried_when_no_others_are_left() {
    let relays = Relays::new(1, replicas(1, 2));
    let zone = replicas(1, 2)[0].zone;
    let fallbacks = Vec::new();
    let route = Route::Leaf {
        relays,
        zone,
        fallbacks,
    };
    let mut fetch = Fetch::with_route(Policy::default(), route, 1);
    let mut now = Instant::from_millis(1_000);
    let mut response_count = 0;
    while !fetch.is_complete() {
        for action in poll_fetch(&mut fetch, now) {
            if let Action::Request { chunk, attempt, .. } = action {
                let outcome = match response_count < 2 {
                    true => Outcome::Corrupt,
                    false => Outcome::Held,
                };
                response_count += 1;
                fetch.record_outcome(chunk, attempt, outcome, now);
            }
        }
        now = now.after_millis(100);
        assert!(
            now < Instant::from_millis(20_000),
            "not complete after {response_count} responses"
        );
    }
}

#[test]
fn overloaded_origin_is_retried_at_the_returned_time() {
    let plan = Plan::new(1, &replicas(1, 1), 2);
    let mut fetch = Fetch::new(Policy::default(), plan, ReplicaKey(0), 1);
    let [Action::Request { chunk, attempt, .. }] =
        poll_fetch(&mut fetch, Instant::from_millis(0))[..]
    else {
        panic!("expected a request")
    };
    let until = Instant::from_millis(500);
    fetch.record_outcome(
        chunk,
        attempt,
        Outcome::Refused(until),
        Instant::from_millis(1),
    );
    assert!(poll_fetch(&mut fetch, Instant::from_millis(499)).is_empty());
    assert!(matches!(
        poll_fetch(&mut fetch, until)[..],
        [Action::Request {
            source: Source::Origin,
            ..
        }]
    ));
}

#[test]
fn assigned_version_is_never_evicted() {
    let [a, b, c] = [b"a", b"b", b"c"].map(|name| Digest::of(name));
    let mut reservations = Reservations::new(10);
    assert_eq!(reservations.reserve(a, 6), Ok(Vec::new()));
    assert_eq!(
        reservations
            .reserve(b, 5)
            .expect_err("the reservation must fail")
            .free,
        4
    );
    reservations.unassign(a);
    assert_eq!(reservations.reserve(b, 5), Ok(vec![a]));
    assert!(reservations.reserve(c, 6).is_err());
}

proptest! {
    #[test]
    fn chunk_spans_cover_all_files_in_order(
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
            let total: u64 = spans.iter().map(|span| span.length).sum();
            prop_assert_eq!(total, u64::from(manifest.chunk_length(chunk)));
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
    fn manifest_decoder_never_panics(bytes in prop::collection::vec(any::<u8>(), 0..256)) {
        let _ = Manifest::from_unverified_bytes(&bytes);
        let other = Digest::of(b"other");
        let is_refused = matches!(Manifest::from_bytes(&bytes, other), Err(Error::Digest { .. }));
        prop_assert!(is_refused);
    }
}

#[test]
fn chunks_requested_ahead_do_not_block_the_window() {
    let mut fetch = new_fetch(20);
    for chunk in 10..16 {
        fetch.request_ahead(chunk);
    }
    let mut actions = Vec::new();
    fetch.poll(Instant::from_millis(0), &mut actions);
    let is_requested = |chunk| {
        let is_match = |action: &Action| matches!(action, Action::Request { chunk: other, .. } if *other == chunk);
        actions.iter().any(is_match)
    };
    assert!(
        is_requested(0) && is_requested(1),
        "the first chunks of the window must be requested"
    );
    assert!(
        is_requested(10),
        "chunks requested ahead must be requested too"
    );
}

#[test]
fn congested_link_halves_concurrent_requests() {
    let mut fetch = new_fetch(40);
    for chunk in 0..8 {
        fetch.request_ahead(chunk);
    }
    let mut actions = Vec::new();
    fetch.poll(Instant::from_millis(0), &mut actions);
    let before = fetch.max_peer_requests();
    actions.clear();
    fetch.halve_peer_requests(&mut actions);
    assert!(fetch.max_peer_requests() <= before / 2);
    let cancelled = actions
        .iter()
        .filter(|action| matches!(action, Action::Cancel { .. }))
        .count();
    assert_eq!(cancelled, 4, "half of the eight requests must be cancelled");
}

#[test]
fn unreachable_origin_does_not_reduce_peer_requests() {
    // The only replica of a plan fetches all chunks from the origin.
    let plan = Plan::new(1, &replicas(1, 1), 2);
    let policy = Policy {
        window: 8,
        stall_millis: 100,
        ..Policy::default()
    };
    let mut fetch = Fetch::new(policy, plan, ReplicaKey(0), 40);
    let mut actions = Vec::new();
    let before = fetch.max_peer_requests();
    for step in 0..50 {
        fetch.poll(Instant::from_millis(step * 150), &mut actions);
    }
    let stalls = actions
        .iter()
        .filter(|action| matches!(action, Action::Cancel { .. }))
        .count();
    assert!(stalls > 20, "requests to the silent origin must stall");
    assert_eq!(fetch.max_peer_requests(), before);
}

/// Fetch by a zone root in a chain of two zones, which fetches every other chunk from the origin.
fn fetch_by_zone_root(chunks: u32) -> Fetch {
    let plan = Plan::new(1, &replicas(2, 1), 1);
    let policy = Policy {
        window: 16,
        stall_millis: 100,
        attempt_timeout_millis: 10_000,
        backoff_millis: 10,
        max_origin_requests: 24,
    };
    Fetch::new(policy, plan, ReplicaKey(0), chunks)
}

#[test]
fn queued_origin_requests_are_not_cancelled_while_origin_sends() {
    let plan = Plan::new(1, &replicas(1, 1), 2);
    let policy = Policy {
        window: 8,
        stall_millis: 100,
        ..Policy::default()
    };
    let mut fetch = Fetch::new(policy, plan, ReplicaKey(0), 8);
    let requested = poll_fetch(&mut fetch, Instant::from_millis(0));
    assert_eq!(
        requested.len(),
        8,
        "all chunks must be requested concurrently"
    );
    for millis in (0..1_000).step_by(50) {
        let now = Instant::from_millis(millis);
        fetch.record_origin_message(now);
        assert_eq!(poll_fetch(&mut fetch, now), [], "at {millis}");
    }
    let actions = poll_fetch(&mut fetch, Instant::from_millis(1_100));
    let cancelled = actions
        .iter()
        .filter(|action| matches!(action, Action::Cancel { .. }));
    assert_eq!(
        cancelled.count(),
        8,
        "requests to a silent origin must be cancelled"
    );
}

/// A fetch with many requests to peers, and the chunk and attempt of each request by peer.
fn fetch_from_peers() -> (Fetch, BTreeMap<ReplicaKey, Vec<(u32, u64)>>) {
    let plan = Plan::new(1, &replicas(1, 8), 2);
    let policy = Policy {
        window: 32,
        stall_millis: 100,
        attempt_timeout_millis: 10_000,
        backoff_millis: 10,
        max_origin_requests: 24,
    };
    let mut fetch = Fetch::new(policy, plan, ReplicaKey(0), 32);
    let mut requests = BTreeMap::<_, Vec<_>>::new();
    for action in poll_fetch(&mut fetch, Instant::from_millis(0)) {
        if let Action::Request {
            chunk,
            source: Source::Replica(peer),
            attempt,
        } = action
        {
            requests.entry(peer).or_default().push((chunk, attempt));
        }
    }
    (fetch, requests)
}

fn cancelled_peer_requests(actions: &[Action]) -> Vec<(u32, u64)> {
    let cancelled = actions.iter().filter_map(|action| match action {
        Action::Cancel {
            chunk,
            attempt,
            source,
        } if *source != Source::Origin => Some((*chunk, *attempt)),
        _ => None,
    });
    cancelled.collect()
}

#[test]
fn message_of_a_peer_extends_all_its_requests() {
    let at = Instant::from_millis;
    let (mut fetch, requests) = fetch_from_peers();
    let mut silent_peers = requests.clone();
    let (peer, active_requests) = silent_peers
        .pop_last()
        .expect("requests must be sent to peers");
    assert!(
        active_requests.len() > 1 && !silent_peers.is_empty(),
        "{requests:?}"
    );
    fetch.record_peer_message(peer, at(90));
    // All requests to the silent peers are cancelled, and none to the peer that sent a message.
    let silent_requests: BTreeSet<_> = silent_peers.into_values().flatten().collect();
    let cancelled: BTreeSet<_> = cancelled_peer_requests(&poll_fetch(&mut fetch, at(100)))
        .into_iter()
        .collect();
    assert_eq!(cancelled, silent_requests);
    // The stall deadline counts from the last message.
    let cancelled_before: Vec<_> = cancelled_peer_requests(&poll_fetch(&mut fetch, at(189)));
    assert!(
        active_requests
            .iter()
            .all(|request| !cancelled_before.contains(request))
    );
    let cancelled_after = cancelled_peer_requests(&poll_fetch(&mut fetch, at(190)));
    assert!(
        active_requests
            .iter()
            .all(|request| cancelled_after.contains(request)),
        "{cancelled_after:?}"
    );
}

#[test]
fn request_without_messages_is_cancelled_although_peer_sends_others() {
    let (mut fetch, requests) = fetch_from_peers();
    let (peer, active_requests) = requests
        .last_key_value()
        .expect("requests must be sent to peers");
    let [(chunk, attempt), silent_requests @ ..] = &active_requests[..] else {
        panic!("{requests:?}")
    };
    let mut cancelled_at = BTreeMap::new();
    for millis in (0..=1_000).step_by(10) {
        let now = Instant::from_millis(millis);
        fetch.record_progress(*chunk, *attempt, now);
        fetch.record_peer_message(*peer, now);
        for request in cancelled_peer_requests(&poll_fetch(&mut fetch, now)) {
            cancelled_at.entry(request).or_insert(millis);
        }
    }
    // Two stall periods after the request; the request with progress is not cancelled.
    for request in silent_requests {
        assert_eq!(cancelled_at.get(request), Some(&200));
    }
    assert_eq!(cancelled_at.get(&(*chunk, *attempt)), None);
}

#[test]
fn requests_waiting_at_peers_do_not_block_origin_requests() {
    const WARM_UP_MILLIS: u64 = 2_000;
    let mut fetch = fetch_by_zone_root(32);
    let mut requested = BTreeSet::new();
    let mut waiting_requests = Vec::new();
    // The other root only reports that it is waiting, while the limit of requests to peers is at
    // its minimum.
    let mut cancelled = Vec::new();
    fetch.poll(Instant::from_millis(0), &mut cancelled);
    fetch.halve_peer_requests(&mut cancelled);
    fetch.halve_peer_requests(&mut cancelled);
    for millis in (0..=3_000).step_by(50) {
        let now = Instant::from_millis(millis);
        let mut actions = Vec::new();
        fetch.poll(now, &mut actions);
        for (chunk, attempt) in &waiting_requests {
            fetch.record_progress(*chunk, *attempt, now);
        }
        for action in actions {
            let Action::Request {
                chunk,
                source,
                attempt,
            } = action
            else {
                continue;
            };
            if source != Source::Origin {
                waiting_requests.push((chunk, attempt));
                continue;
            }
            fetch.record_outcome(chunk, attempt, Outcome::Failed, now);
            if millis > WARM_UP_MILLIS {
                requested.insert(chunk);
            }
        }
    }
    assert!(
        requested.len() >= 8,
        "only {requested:?} were requested from the origin"
    );
}

/// Runs a fetch for `millis` milliseconds while all sources fail; from `origin_from` on, the origin
/// sends a chunk every 45 ms. Returns the number of requests, and the time of completion.
fn run_with_failing_sources(millis: u64, origin_from: u64) -> (usize, Option<u64>) {
    const CHUNKS: u32 = 48;
    const CHUNK_MILLIS: u64 = 45;
    let plan = Plan::new(1, &replicas(2, 20), 3);
    let policy = Policy {
        window: 24,
        stall_millis: 1_200,
        attempt_timeout_millis: 4_000,
        backoff_millis: 100,
        max_origin_requests: 24,
    };
    let mut fetch = Fetch::new(policy, plan, ReplicaKey(0), CHUNKS);
    let mut request_count = 0;
    let mut idle_at = 0;
    for step in 0..millis / 5 {
        let now = Instant::from_millis(5 * step);
        let mut actions = Vec::new();
        fetch.poll(now, &mut actions);
        for action in actions {
            match action {
                Action::Request {
                    chunk,
                    source,
                    attempt,
                } => {
                    request_count += 1;
                    let is_origin_up = source == Source::Origin && 5 * step >= origin_from;
                    let is_idle = is_origin_up && idle_at <= 5 * step;
                    let outcome = match (is_origin_up, is_idle) {
                        (true, true) => Outcome::Held,
                        (true, false) => Outcome::Refused(Instant::from_millis(idle_at)),
                        (false, _) => Outcome::Failed,
                    };
                    if is_idle {
                        idle_at = 5 * step + CHUNK_MILLIS;
                    }
                    fetch.record_outcome(chunk, attempt, outcome, now);
                }
                Action::Cancel { .. } => {}
                Action::Complete => return (request_count, Some(5 * step)),
            }
        }
    }
    (request_count, None)
}

#[test]
fn requests_back_off_while_all_sources_fail() {
    // Without backoff, 24 chunks at 8 sources every 100 ms make thousands of requests per second.
    let (request_count, _) = run_with_failing_sources(10_000, u64::MAX);
    assert!(request_count <= 3_000, "{request_count} requests in 10 s");
}

#[test]
fn backoff_ends_when_origin_recovers() {
    let (_, last) = run_with_failing_sources(20_000, 6_000);
    let recovery_millis = last.expect("the fetch must complete") - 6_000;
    // The origin needs 2.2 s to send 48 chunks.
    assert!(
        recovery_millis <= 3_000,
        "complete {recovery_millis} ms after the recovery"
    );
}

#[test]
fn origin_requests_follow_chunk_order_after_an_outage() {
    let plan = Plan::new(1, &replicas(1, 1), 2);
    let policy = Policy {
        window: 24,
        backoff_millis: 100,
        max_origin_requests: 2,
        ..Policy::default()
    };
    let mut fetch = Fetch::new(policy, plan, ReplicaKey(0), 96);
    let mut received = Vec::new();
    let mut pending = Vec::new();
    for step in 0..400 {
        let now = Instant::from_millis(50 * step);
        // One request completes at each poll; during an outage of 5 s, the latest one fails
        // instead.
        let is_down = (100..200).contains(&step);
        if let Some((chunk, attempt)) = if is_down {
            pending.pop()
        } else {
            pending.first().copied()
        } {
            pending.retain(|(other, _)| *other != chunk);
            let outcome = match is_down {
                true => Outcome::Failed,
                false => Outcome::Held,
            };
            if outcome == Outcome::Held {
                received.push(chunk);
            }
            fetch.record_outcome(chunk, attempt, outcome, now);
        }
        for action in poll_fetch(&mut fetch, now) {
            if let Action::Request { chunk, attempt, .. } = action {
                pending.push((chunk, attempt));
            }
        }
        assert!(pending.len() <= 2, "{} concurrent requests", pending.len());
    }
    assert_eq!(received.len(), 96);
    let positions = received.iter().enumerate();
    let max_displacement = positions
        .map(|(index, chunk)| index.abs_diff(*chunk as usize))
        .max();
    assert!(
        max_displacement <= Some(8),
        "a chunk is {max_displacement:?} places out of order"
    );
}
