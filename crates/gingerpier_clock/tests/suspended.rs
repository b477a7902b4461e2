//! What is measured and what is waited for while the machine is suspended.
//!
//! A machine stood still for seconds, and its steady clock with it. After it woke up, what it knew looked as fresh as before:
//! it sent on to engines that had left meanwhile and waited on for deadlines that had passed.

use {
    gingerpier_clock::{before, now, pause, suspend, until, watch},
    std::time::{Duration, Instant},
};

/// Time within which a passed deadline has to be seen after the machine woke up.
const SEEN: Duration = Duration::from_millis(600);

#[test]
fn instants_count_the_time_for_which_the_machine_is_suspended() {
    let earlier = now();
    suspend(5_000);
    assert!(now().millis_since(earlier) >= 5_000);
}

#[actix_rt::test]
async fn a_deadline_that_passed_while_the_machine_was_suspended_is_seen_when_it_wakes_up() {
    actix_rt::spawn(watch());
    let started = Instant::now();
    let deadline = now().after_millis(10_000);
    let wait = actix_rt::spawn(until(deadline));
    let work = actix_rt::spawn(before(deadline, std::future::pending::<()>()));
    pause(50).await;
    suspend(20_000);
    wait.await.expect("no panic");
    assert_eq!(work.await.expect("no panic"), None);
    assert!(started.elapsed() < SEEN, "{:?}", started.elapsed());
}

#[actix_rt::test]
async fn a_deadline_that_has_not_passed_is_waited_for_also_after_the_machine_wakes_up() {
    actix_rt::spawn(watch());
    let deadline = now().after_millis(20_800);
    let wait = actix_rt::spawn(until(deadline));
    pause(50).await;
    suspend(20_000);
    wait.await.expect("no panic");
    assert!(deadline.has_passed(now()));
}
