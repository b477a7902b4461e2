//! Guards against a rollout bound that counts from after the release, however late a process
//! discovers it.

use {
    gingerpier_base::Instant,
    gingerpier_serving::{
        release::{Freshness, LOCAL, PeerAge, Release, Releases, Reporter},
        report::Version,
    },
    proptest::prelude::*,
    std::ops::Range,
};

/// Rollout bound in milliseconds.
const BOUND_MILLIS: u64 = 8_000;

/// Maximum milliseconds that the bound counts back from the discovery.
const MAX_BACKDATE_MILLIS: u64 = 2_000;

/// Released version.
const RELEASED: Version = Version(2);

fn at(millis: u64) -> Instant {
    Instant::from_millis(millis)
}

/// A request to the store or a peer, as delays in milliseconds.
#[derive(Debug, Clone, Copy)]
struct RequestDelays {
    pause: u64,
    request_delay: u64,
    hold: u64,
    response_delay: u64,
}

/// Network delays are mostly short, and sometimes as long as over a congested link.
fn network_delay() -> impl Strategy<Value = u64> {
    prop_oneof![3 => 0..30_u64, 1 => 0..2_500_u64]
}

fn request_delays(pause: Range<u64>, hold: Range<u64>) -> impl Strategy<Value = RequestDelays> {
    (pause, network_delay(), hold, network_delay()).prop_map(
        |(pause, request_delay, hold, response_delay)| RequestDelays {
            pause,
            request_delay,
            hold,
            response_delay,
        },
    )
}

/// Times of one request on the store's clock.
#[derive(Debug, Clone, Copy)]
struct RequestTimes {
    sent: u64,
    received: u64,
    responded: u64,
    completed: u64,
}

/// Places the requests one after the other from `start` on.
fn schedule(start: u64, requests: &[RequestDelays]) -> Vec<RequestTimes> {
    let mut end = start;
    let next = |one: &RequestDelays| {
        let sent = end + one.pause;
        let received = sent + one.request_delay;
        let responded = received + one.hold;
        end = responded + one.response_delay;
        RequestTimes {
            sent,
            received,
            responded,
            completed: end,
        }
    };
    requests.iter().map(next).collect()
}

/// State of a process as of `since`; its clock is `ahead` of the store's.
#[derive(Debug, Clone, Default)]
struct Process {
    since: u64,
    ahead: u64,
    fresh: Freshness,
    releases: Releases,
}

impl Process {
    fn discover(&mut self, times: RequestTimes) {
        self.since = times.completed;
        let now = at(times.completed + self.ahead);
        self.releases.record(
            RELEASED,
            LOCAL,
            self.fresh.earliest_release(BOUND_MILLIS, now),
            now,
        );
    }

    fn release(&self) -> Option<Release> {
        self.releases.newest().copied()
    }
}

/// Returns the states of a process that polls the store, which acknowledges the release at `released_at`.
fn poll_store(store_requests: &[RequestTimes], released_at: u64) -> Vec<Process> {
    let mut process = Process::default();
    let step = |times: &RequestTimes| {
        if times.responded >= released_at {
            process.discover(*times);
        }
        process.since = times.completed;
        process.fresh.record_response(at(times.sent));
        process.clone()
    };
    store_requests.iter().map(step).collect()
}

/// Returns the states of a process that polls a peer with the states `watcher`.
fn poll_peer(peer_requests: &[RequestTimes], watcher: &[Process], ahead: u64) -> Vec<Process> {
    let mut process = Process {
        ahead,
        ..Process::default()
    };
    let step = |times: &RequestTimes| {
        let mut earlier = watcher.iter().rev();
        if let Some(source) = earlier.find(|state| state.since <= times.responded) {
            if source.release().is_some() {
                process.discover(*times);
            }
            if let Some(age_millis) = source.fresh.age(at(times.responded + source.ahead)) {
                let peer_age = PeerAge {
                    held_millis: times.responded - times.received,
                    age_millis,
                };
                let now = at(times.completed + ahead);
                process
                    .fresh
                    .record_peer_response(at(times.sent + ahead), peer_age, now);
            }
        }
        process.since = times.completed;
        process.clone()
    };
    peer_requests.iter().map(step).collect()
}

/// Checks the release times in the `states` of a process for a release at `released_at`.
fn check_release_times(states: &[Process], released_at: u64) -> Result<(), TestCaseError> {
    let discovered = states
        .iter()
        .filter_map(|state| Some((state, state.release()?)));
    let mut first = None;
    for (state, release) in discovered {
        let first = *first.get_or_insert(release);
        prop_assert_eq!(
            release,
            first,
            "the release time of a process does not change"
        );
        let (release_millis, discovered_at) = (
            release.released_at.as_millis(),
            release.discovered_at.as_millis(),
        );
        let earliest_counted = discovered_at - MAX_BACKDATE_MILLIS;
        prop_assert!(
            release_millis >= earliest_counted,
            "time is left for staggered updates"
        );
        let latest = earliest_counted.max(released_at + state.ahead);
        prop_assert!(
            release_millis <= latest,
            "{release_millis} is later than {latest}"
        );
    }
    Ok(())
}

proptest! {
    #[test]
    fn the_bound_never_counts_from_after_the_release(
        store_requests in prop::collection::vec(request_delays(0..600, 0..600), 1..12),
        peer_requests in prop::collection::vec(request_delays(0..100, 0..400), 1..24),
        second_hop_requests in prop::collection::vec(request_delays(0..100, 0..400), 1..24),
        released_at in 60_000..68_000_u64,
    ) {
        let watcher = poll_store(&schedule(60_000, &store_requests), released_at);
        let follower = poll_peer(&schedule(60_000, &peer_requests), &watcher, 500_000);
        let second = poll_peer(&schedule(60_000, &second_hop_requests), &follower, 7_000);
        check_release_times(&watcher, released_at)?;
        check_release_times(&follower, released_at)?;
        check_release_times(&second, released_at)?;
    }

    #[test]
    fn the_least_delayed_report_sets_the_release_time(
        ages in prop::collection::vec((0..2_000_u64, 0..3_000_u64), 1..20),
    ) {
        // Gateways report lower bounds up to 2 s before a common time.
        let peer_age = 100_000;
        let mut releases = Releases::default();
        let mut last_at = None;
        for (index, (age, network_delay)) in ages.iter().enumerate() {
            let repeated = 500 * index as u64;
            let now = peer_age + repeated + network_delay;
            let earliest_release = now - (age + repeated);
            let is_new = releases.record(RELEASED, LOCAL, at(earliest_release), at(now));
            prop_assert_eq!(is_new, index == 0);
            let release_millis = releases.newest().expect("known").released_at;
            prop_assert!(last_at.is_none_or(|last_at| release_millis <= last_at), "the release time only moves back");
            last_at = Some(release_millis);
        }
        let least_delayed = ages.iter().map(|(age, network_delay)| peer_age - age + network_delay).min();
        prop_assert_eq!(last_at.map(Instant::as_millis), least_delayed);
    }

    #[test]
    fn versions_only_rise_and_release_times_only_move_back(
        reports in prop::collection::vec((1..6_u64, 0..3_000_u64, 0..3_000_u64), 1..40),
    ) {
        let mut releases = Releases::default();
        let mut now = 60_000;
        for (version, pause, age) in reports {
            now += pause;
            let before: Vec<Release> = releases.iter().copied().collect();
            let newest = before.last().map(|release| release.version);
            let is_new = releases.record(Version(version), LOCAL, at(now - age), at(now));
            prop_assert_eq!(is_new, newest < Some(Version(version)));
            let after: Vec<Release> = releases.iter().copied().collect();
            prop_assert!(after.windows(2).all(|two| two[0].version < two[1].version));
            prop_assert_eq!(after.len(), before.len() + usize::from(is_new));
            for (old, new) in before.iter().zip(&after) {
                prop_assert_eq!((old.version, old.discovered_at), (new.version, new.discovered_at));
                prop_assert!(new.released_at <= old.released_at);
            }
        }
    }
}

#[test]
fn a_response_counts_from_the_time_of_its_request() {
    let mut fresh = Freshness::default();
    assert_eq!(fresh.age(at(70_000)), None);
    fresh.record_response(at(70_000));
    assert_eq!(fresh.earliest_release(BOUND_MILLIS, at(71_500)), at(70_000));
    fresh.record_response(at(69_000));
    assert_eq!(
        fresh.age(at(71_500)),
        Some(1_500),
        "freshness never goes back"
    );
}

#[test]
fn a_peer_response_counts_from_no_earlier_than_its_hold_time() {
    let peer_age = PeerAge {
        held_millis: 400,
        age_millis: 50,
    };
    let mut fresh = Freshness::default();
    fresh.record_peer_response(at(70_000), peer_age, at(72_000));
    assert_eq!(fresh.age(at(72_000)), Some(1_650));
    let mut fresh = Freshness::default();
    fresh.record_peer_response(at(70_000), peer_age, at(70_300));
    assert_eq!(
        fresh.age(at(70_300)),
        Some(50),
        "never later than the response"
    );
}

#[test]
fn backdating_is_limited_to_2_s_and_a_third_of_the_bound() {
    let mut fresh = Freshness::default();
    assert_eq!(
        fresh.earliest_release(BOUND_MILLIS, at(70_000)),
        at(68_000),
        "never synchronized"
    );
    fresh.record_response(at(60_000));
    assert_eq!(fresh.earliest_release(BOUND_MILLIS, at(70_000)), at(68_000));
    assert_eq!(fresh.earliest_release(3_000, at(70_000)), at(69_000));
}

/// Returns when older weights expire at a process that runs since `running_since` and discovers the
/// release at `discovered_at`.
fn expiry(running_since: Instant, fresh: Freshness, discovered_at: Instant) -> Instant {
    let mut releases = Releases::default();
    assert!(releases.record(
        RELEASED,
        LOCAL,
        fresh.earliest_release(BOUND_MILLIS, discovered_at),
        discovered_at
    ));
    releases.set_restart_expiry(fresh.restart_expiry(running_since, BOUND_MILLIS));
    releases.newest().expect("known").expires_at(BOUND_MILLIS)
}

#[test]
fn weights_released_before_a_start_expire_soon_after_it_however_late_the_first_copy() {
    let started = at(60_000);
    for copy_after_millis in [50, 900, 1_100, 2_500, 6_000] {
        let first_copy = started.after_millis(copy_after_millis);
        let mut fresh = Freshness::default();
        let expires_at = expiry(started, fresh, first_copy);
        assert_eq!(
            expires_at,
            started.after_millis(3_000),
            "copy after {copy_after_millis}"
        );
        // A later release gets the full time.
        fresh.record_response(first_copy);
        let later = first_copy.after_millis(1);
        assert_eq!(
            expiry(started, fresh, later),
            first_copy.after_millis(6_800)
        );
    }
}

#[test]
fn a_stale_copy_of_a_peer_does_not_make_a_release_recent() {
    let started = at(100_000);
    let peer_age = |age_millis| {
        let peer_age = PeerAge {
            held_millis: 0,
            age_millis,
        };
        let mut fresh = Freshness::default();
        fresh.record_peer_response(at(100_200), peer_age, at(100_300));
        fresh
    };
    // The peer was isolated for 30 s, so the release may be as old.
    assert_eq!(expiry(started, peer_age(30_000), at(102_000)), at(103_000));
    // A peer with a recent copy proves that the release is later than 99.5 s.
    assert_eq!(expiry(started, peer_age(700), at(100_800)), at(106_300));
}

#[test]
fn a_resumed_process_expires_weights_like_a_started_one_but_not_before_the_bound() {
    let last_at = at(100_000);
    let mut fresh = Freshness::default();
    fresh.record_response(last_at);
    for (suspended_millis, expected_after) in [
        (2_000, 6_800),
        (3_700, 6_800),
        (4_000, 7_000),
        (9_000, 12_000),
    ] {
        let resumed_at = last_at.after_millis(suspended_millis);
        let expires_at = expiry(resumed_at, fresh, resumed_at.after_millis(100));
        assert_eq!(
            expires_at,
            last_at.after_millis(expected_after),
            "{suspended_millis}"
        );
    }
}

#[test]
fn the_latest_lower_bound_of_all_sources_counts() {
    let mut releases = Releases::default();
    let (one, other) = (Reporter(1), Reporter(2));
    // This source was isolated, so its lower bound is loose.
    assert!(releases.record(RELEASED, one, at(8_300), at(10_000)));
    assert_eq!(releases.newest().expect("it").released_at, at(8_300));
    assert!(!releases.record(RELEASED, other, at(9_900), at(10_050)));
    assert_eq!(releases.newest().expect("it").released_at, at(9_900));
    // The first report of the other source was delayed.
    assert!(!releases.record(RELEASED, other, at(9_600), at(10_500)));
    assert_eq!(releases.newest().expect("it").released_at, at(9_600));
    // The release time is never later than the discovery.
    assert!(!releases.record(RELEASED, Reporter(3), at(10_700), at(10_700)));
    assert_eq!(releases.newest().expect("it").released_at, at(10_000));
}
