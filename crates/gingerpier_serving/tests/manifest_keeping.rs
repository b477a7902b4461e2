//! Guards against a manifest that is missing in the store when a recovery needs it, and against
//! many gateways that write it.

use {
    gingerpier_base::Instant,
    gingerpier_serving::{
        manifest_keeping::{Observed, Schedule},
        report::Version,
    },
    proptest::prelude::*,
};

const STEP_MILLIS: u64 = 100;

/// Time within which the manifest is written once the origin and the store respond: the longest
/// retry delay, and a turn of the next gateway.
const WRITTEN_WITHIN_MILLIS: u64 = 20_000;

fn observed(wanted: u64, kept: u64, rank: u32) -> Observed {
    let version = |number: u64| (number > 0).then_some(Version(number));
    Observed {
        wanted: version(wanted),
        kept: version(kept),
        rank,
    }
}

/// A wasted write for each version that no engine holds or that is kept already.
#[test]
fn nothing_is_written_for_kept_or_unknown_versions() {
    let late = Instant::from_millis(100_000);
    for state in [observed(0, 0, 0), observed(2, 2, 0), observed(1, 2, 0)] {
        let mut schedule = Schedule::default();
        assert!(!schedule.is_due(&state, Instant::from_millis(0)));
        assert!(!schedule.is_due(&state, late), "{state:?}");
    }
}

/// A release that comes while the manifest of its predecessor waits for a retry.
#[test]
fn a_newer_version_starts_a_new_schedule() {
    let mut schedule = Schedule::default();
    let now = Instant::from_millis(0);
    assert!(!schedule.is_due(&observed(1, 0, 0), now));
    for _ in 0..9 {
        schedule.record_failure(now, u64::MAX);
    }
    assert!(!schedule.is_due(&observed(1, 0, 0), now.after_millis(2_000)));
    let released = now.after_millis(2_000);
    assert!(!schedule.is_due(&observed(2, 0, 0), released));
    assert!(schedule.is_due(&observed(2, 0, 0), released.after_millis(1_000)));
}

/// Gateways that read a manifest from the origin again and again, although the store can't keep it.
#[test]
fn a_manifest_that_cannot_be_kept_is_not_tried_again() {
    let mut schedule = Schedule::default();
    let now = Instant::from_millis(0);
    assert!(!schedule.is_due(&observed(1, 0, 0), now));
    assert!(schedule.is_due(&observed(1, 0, 0), now.after_millis(2_000)));
    schedule.stop();
    let late = now.after_millis(100_000);
    assert!(!schedule.is_due(&observed(1, 0, 0), late));
    assert!(!schedule.is_due(&observed(2, 0, 0), late));
    assert!(schedule.is_due(&observed(2, 0, 0), late.after_millis(1_000)));
}

proptest! {
    /// All gateways at the store at once after a release, or a manifest that is never written as the first
    /// ones are cut off, or the origin or the store is away for a while.
    #[test]
    fn one_gateway_writes_soon_after_an_outage(
        gateways in 1_u32..40,
        cut_off in 0_u32..3,
        outage_millis in 0_u64..60_000,
        mirror_millis in 50_u64..1_500,
        draws in prop::collection::vec(any::<u64>(), 64),
    ) {
        let cut_off = cut_off.min(gateways - 1);
        let mut schedules = vec![Schedule::default(); gateways as usize];
        let mut draws = draws.iter().cycle();
        let (mut written_at, mut attempts) = (None, 0);
        let end_millis = outage_millis + WRITTEN_WITHIN_MILLIS;
        for millis in (0..end_millis).step_by(STEP_MILLIS as usize) {
            let now = Instant::from_millis(millis);
            let is_mirrored = written_at.is_some_and(|at: u64| millis >= at + mirror_millis);
            for (rank, schedule) in schedules.iter_mut().enumerate() {
                let state = observed(1, u64::from(is_mirrored), rank as u32);
                if !schedule.is_due(&state, now) {
                    continue;
                }
                if millis < outage_millis || (rank as u32) < cut_off {
                    schedule.record_failure(now, *draws.next().expect("endless"));
                    continue;
                }
                attempts += 1;
                written_at.get_or_insert(millis);
                schedule.record_response(now);
            }
        }
        prop_assert!(written_at.is_some());
        // Without an outage only the first one writes; after one, those whose retries fall together may.
        let limit = if outage_millis == 0 { 1 } else { gateways };
        prop_assert!(attempts <= limit, "{attempts} writes");
    }
}
