//! Guards against connections that together hold more than the quota allows, and against large
//! reservations that keep small ones waiting.

use {
    gingerpier_base::Instant,
    gingerpier_gateway::buffers::{LARGE_BYTES, Quota, Reservation},
    gingerpier_serving::configuration::RouteKey,
    prometheus_client::metrics::gauge::Gauge,
    std::rc::Rc,
};

const LIMIT: usize = 4 * LARGE_BYTES;

fn quota() -> (Rc<Quota>, Gauge) {
    let gauge = Gauge::default();
    (Quota::new(LIMIT, gauge.clone()), gauge)
}

/// Makes reservations of `bytes` until one is refused.
fn fill(quota: &Rc<Quota>, bytes: usize) -> Vec<Reservation> {
    let mut held = fill_route(quota, 1, bytes);
    held.extend(fill_route(quota, 2, bytes));
    held
}

/// The same for one route.
fn fill_route(quota: &Rc<Quota>, route: u32, bytes: usize) -> Vec<Reservation> {
    let next = || {
        let mut reservation = Reservation::new(quota, Some(RouteKey(route)));
        reservation
            .raise(bytes, Instant::from_millis(0))
            .then_some(reservation)
    };
    std::iter::from_fn(next).collect()
}

#[test]
fn reservations_stay_within_the_quota_and_are_returned() {
    let (quota, gauge) = quota();
    let small = fill(&quota, LARGE_BYTES / 2);
    assert_eq!((small.len(), quota.held()), (8, LIMIT));
    assert_eq!(gauge.get(), LIMIT as i64);
    drop(small);
    assert_eq!((quota.held(), gauge.get()), (0, 0));
}

#[test]
fn large_reservations_keep_no_small_one_waiting() {
    let (quota, _) = quota();
    let large = fill(&quota, LARGE_BYTES + 1);
    assert_eq!(large.len(), 3);
    assert_eq!(fill(&quota, LARGE_BYTES).len(), 4);
}

#[test]
fn a_single_reservation_may_exceed_the_quota() {
    let (quota, _) = quota();
    let one = fill(&quota, 3 * LIMIT);
    assert_eq!((one.len(), quota.held()), (1, 3 * LIMIT));
    assert_eq!(fill(&quota, LARGE_BYTES).len(), 4);
}

#[test]
fn a_reservation_that_grows_large_counts_once() {
    let (quota, _) = quota();
    let mut reservation = Reservation::new(&quota, None);
    let at = Instant::from_millis(0);
    assert!(reservation.raise(LARGE_BYTES, at) && reservation.raise(2 * LARGE_BYTES, at));
    assert_eq!(quota.held(), 2 * LARGE_BYTES);
    reservation.release();
    assert_eq!(quota.held(), 0);
}

#[test]
fn a_refusal_makes_the_quota_short_for_a_second() {
    let (quota, _) = quota();
    assert!(!quota.is_short(Instant::from_millis(0)));
    let _held = fill(&quota, LARGE_BYTES);
    assert!(quota.is_short(Instant::from_millis(999)));
    assert!(!quota.is_short(Instant::from_millis(1_001)));
}

#[test]
fn a_route_leaves_half_of_the_quota_to_others() {
    let (quota, _) = quota();
    let stuck = fill_route(&quota, 1, LARGE_BYTES / 2);
    assert_eq!(stuck.len(), 4);
    assert!(quota.is_tight(Some(RouteKey(1))) && !quota.is_tight(Some(RouteKey(2))));
    assert_eq!(fill_route(&quota, 2, LARGE_BYTES / 2).len(), 4);
    drop(stuck);
    assert_eq!(fill_route(&quota, 1, LARGE_BYTES / 2).len(), 4);
}
