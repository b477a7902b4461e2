//! Guards against a shutdown whose phases don't end before the process is killed.

use {gingerpier_base::Instant, gingerpier_serving::shutdown::Schedule, proptest::prelude::*};

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn the_phases_of_a_shutdown_end_in_order_and_in_time(now in 0..u64::MAX / 2, within in 0..60_000_u64) {
        let begun = Instant::from_millis(now);
        let Schedule { accepts_until, refuses_until, cutoff, ends_by } = Schedule::new(begun, within);
        prop_assert!(begun <= accepts_until && accepts_until <= refuses_until);
        prop_assert!(refuses_until <= cutoff && cutoff <= ends_by);
        prop_assert!(ends_by.millis_since(begun) <= within);
        // Two health checks a second apart fail before the gateway refuses requests.
        if within >= 5_000 {
            prop_assert!(accepts_until.millis_since(begun) >= 2_000);
        }
        // Final responses and their connections need time before the process is killed.
        if within >= 1_000 {
            prop_assert!(ends_by.millis_since(cutoff) >= 200);
            prop_assert!(begun.after_millis(within).millis_since(ends_by) >= 200);
        }
    }
}
