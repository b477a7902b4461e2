//! Capacity sharing between client accounts at the low rates of one gateway.

use {
    gingerpier_admission::accounts::{self, Controller, MAX_ACCOUNTS},
    gingerpier_base::Instant,
    proptest::prelude::*,
};

/// Pressure of requests while engines have free capacity.
const CALM: f64 = 0.3;

/// Requests per second of engines with free capacity.
const AMPLE: f64 = 60.0;

/// Time in which engines run the requests of a full queue.
const QUEUE_SECONDS: f64 = 0.5;

/// Simulated requests of accounts with given rates, at one gateway.
struct Simulation {
    controller: Controller,
    rng: fastrand::Rng,
    now_millis: f64,
    /// Queued requests.
    queue: f64,
}

/// Arrivals, and how many of them the rule refused, by account.
type Counts = Vec<(u32, u32)>;

impl Simulation {
    fn new(seed: u64) -> Self {
        Self {
            controller: Controller::default(),
            rng: fastrand::Rng::with_seed(seed),
            now_millis: 100_000.0,
            queue: 0.0,
        }
    }

    fn now(&self) -> Instant {
        Instant::from_millis(self.now_millis as u64)
    }

    /// Runs Poisson arrivals with `rates` (requests per second) on engines that run `capacity` requests per second. The
    /// pressure rises with the queue; a request that finds it full is refused for lack of capacity.
    fn run(&mut self, rates: &[f64], millis: f64, capacity: f64) -> Counts {
        let total: f64 = rates.iter().sum();
        let end = self.now_millis + millis;
        let limit = QUEUE_SECONDS * capacity;
        let mut counts = vec![(0, 0); rates.len()];
        loop {
            let pause_millis = -(1.0 - self.rng.f64()).ln() * 1_000.0 / total;
            self.now_millis += pause_millis;
            if self.now_millis >= end {
                self.now_millis = end;
                return counts;
            }
            self.queue = (self.queue - capacity * pause_millis / 1_000.0).max(0.0);
            let account = draw_account(&mut self.rng, rates);
            let now = self.now();
            let probability = self.controller.record_arrival(&account.to_string(), now);
            let is_refused = self.rng.f64() < probability;
            counts[account].0 += 1;
            counts[account].1 += u32::from(is_refused);
            if is_refused {
                continue;
            }
            if self.queue >= limit {
                self.controller.record_refusal(now);
                continue;
            }
            let pressure = CALM + (1.0 - CALM) * self.queue / limit;
            self.controller.record_admission(pressure, now);
            self.queue += 1.0;
        }
    }
}

fn draw_account(rng: &mut fastrand::Rng, rates: &[f64]) -> usize {
    let mut left = rng.f64() * rates.iter().sum::<f64>();
    let account = rates.iter().position(|rate| {
        left -= rate;
        left < 0.0
    });
    account.unwrap_or_default()
}

fn refused_share(counts: &[(u32, u32)]) -> f64 {
    let arrivals: u32 = counts.iter().map(|count| count.0).sum();
    let refused: u32 = counts.iter().map(|count| count.1).sum();
    f64::from(refused) / f64::from(arrivals.max(1))
}

/// One account with half of 20 requests per second, and 20 small ones.
fn burst_rates() -> Vec<f64> {
    let mut rates = vec![0.5; 21];
    rates[0] = 10.0;
    rates
}

/// Guards against refusals of small accounts, and against a large account that is starved, at 20 requests per second.
#[test]
fn only_the_account_beyond_its_part_is_refused() {
    for seed in 0..8 {
        let mut simulation = Simulation::new(seed);
        simulation.run(&burst_rates(), 10_000.0, AMPLE);
        let counts = simulation.run(&burst_rates(), 20_000.0, 14.0);
        let (large, small) = counts.split_at(1);
        let (large, small) = (refused_share(large), refused_share(small));
        assert!((0.3..0.9).contains(&large), "seed {seed}: {large}");
        assert!(small < 0.05, "seed {seed}: {small}");
    }
}

/// Guards against capacity that stays unused after a shortage.
#[test]
fn capacity_is_released_within_a_second() {
    for seed in 0..32 {
        let mut simulation = Simulation::new(seed);
        simulation.run(&burst_rates(), 10_000.0, AMPLE);
        let counts = simulation.run(&burst_rates(), 5_000.0, 5.0);
        assert!(refused_share(&counts) > 0.1, "seed {seed}: no shortage");
        simulation.run(&burst_rates(), 1_000.0, AMPLE);
        let counts = simulation.run(&burst_rates(), 5_000.0, AMPLE);
        assert_eq!(refused_share(&counts), 0.0, "seed {seed}");
        assert!(!simulation.controller.is_short(), "seed {seed}");
    }
}

/// Guards against a part that stays reserved for accounts that don't use it.
#[test]
fn unused_parts_go_to_other_accounts() {
    let mut simulation = Simulation::new(1);
    simulation.run(&[10.0, 10.0], 10_000.0, AMPLE);
    let shared = simulation.run(&[10.0, 10.0], 20_000.0, 10.0);
    let left = simulation.run(&[10.0, 2.0], 20_000.0, 10.0);
    let (shared, left) = (refused_share(&shared), refused_share(&left[..1]));
    assert!(left < 0.7 * shared, "{left} of {shared}");
}

/// Guards against refusals that no other account benefits from.
#[test]
fn an_account_without_others_is_never_refused() {
    let mut simulation = Simulation::new(1);
    simulation.run(&[20.0], 5_000.0, AMPLE);
    let counts = simulation.run(&[20.0], 5_000.0, 10.0);
    assert!(simulation.controller.is_short());
    assert_eq!(refused_share(&counts), 0.0);
}

/// Guards against a large account that is lost among many small ones, beyond the limit of the accounts kept.
#[test]
fn a_large_account_is_found_among_more_than_the_limit() {
    let mut rates = vec![1.0; 4 * MAX_ACCOUNTS];
    rates[0] = 500.0;
    let mut simulation = Simulation::new(1);
    simulation.run(&rates, 5_000.0, 100.0 * AMPLE);
    let counts = simulation.run(&rates, 5_000.0, 1_200.0);
    let (large, small) = counts.split_at(1);
    let (large, small) = (refused_share(large), refused_share(small));
    assert!(large > 0.3, "{large}");
    assert!(small < 0.02, "{small}");
}

fn rates(count: std::ops::Range<usize>) -> impl Strategy<Value = Vec<f64>> {
    proptest::collection::vec(0.1_f64..20.0, count)
}

proptest! {
    /// Guards against refusals by this rule without a refusal for lack of capacity.
    #[test]
    fn nothing_is_refused_without_a_shortage(seed: u64, rates in rates(1..40), pressure in 0.0_f64..1.0) {
        let mut rng = fastrand::Rng::with_seed(seed);
        let mut controller = Controller::default();
        for millis in 0..3_000 {
            let now = Instant::from_millis(100_000 + millis);
            let account = draw_account(&mut rng, &rates);
            prop_assert_eq!(controller.record_arrival(&account.to_string(), now), 0.0);
            controller.record_admission(pressure, now);
        }
    }

    /// Guards against parts that leave capacity unused, or give out more than there is.
    #[test]
    fn parts_use_the_whole_capacity(rates in rates(2..40), share in 0.01_f64..0.99) {
        let capacity = share * rates.iter().sum::<f64>();
        let part = accounts::equal_part(&mut rates.clone(), capacity);
        let used: f64 = rates.iter().map(|rate| rate.min(part)).sum();
        prop_assert!((used - capacity).abs() < 1e-6, "{} of {}", used, capacity);
    }

    /// Guards against a result that is no probability, and against an account that avoids refusals by sending more.
    #[test]
    fn more_requests_raise_the_probability(seed: u64, rates in rates(2..40), capacity in 0.05_f64..0.9) {
        let mut simulation = Simulation::new(seed);
        let total: f64 = rates.iter().sum();
        simulation.run(&rates, 2_000.0, 2.0 * total);
        simulation.run(&rates, 2_000.0, capacity * total);
        let now = simulation.now();
        for account in 0..rates.len() {
            let mut controller = simulation.controller.clone();
            let mut last = 0.0;
            for _ in 0..20 {
                let probability = controller.record_arrival(&account.to_string(), now);
                prop_assert!((0.0..1.0).contains(&probability), "{}", probability);
                prop_assert!(probability >= last, "{} after {}", probability, last);
                last = probability;
            }
        }
    }
}
