//! Simulates probes between 10 to 440 gateways of a zone: cold start, steady state, deaths,
//! isolation.
//!
//! Guards against a cold start in which loaders mention only few gateways, so that most gateways
//! count themselves as alone in their zone and all read the store.

use {
    gingerpier_base::{Instant, order},
    gingerpier_serving::liveness::{Liveness, MAX_UPDATES},
    std::net::SocketAddr,
};

/// Mentions that a starting gateway receives.
const INITIAL_MENTIONS: usize = 10 * 32;

const TICK_MILLIS: u64 = 50;

/// Bytes of one update, and of the rest of a message with its headers.
const UPDATE_BYTES: usize = 26;
const MESSAGE_BYTES: usize = 70;

/// Milliseconds after which all gateways must know of a death or a return.
const CONVERGENCE_MILLIS: u64 = 6_000;

/// Maximum control traffic of one gateway, in bytes per second.
const MAX_BYTES_PER_SECOND: f64 = 15_000.0;

fn at(millis: u64) -> Instant {
    Instant::from_millis(1_000_000 + millis)
}

fn address(number: usize) -> SocketAddr {
    let [high, low] = (number as u16).to_be_bytes();
    SocketAddr::from(([10, 0, high, low], 7_700))
}

struct Gateway {
    liveness: Liveness,
    is_alive: bool,
    is_isolated: bool,
}

struct Zone {
    gateways: Vec<Gateway>,
    millis: u64,
    lost_percent: u64,
    draws: u64,
    messages: usize,
    bytes: usize,
}

impl Zone {
    /// Starts a zone of `count` gateways with some mentions each.
    fn start(count: usize, lost_percent: u64) -> Self {
        let gateway = |number: usize| Gateway {
            liveness: Liveness::new(address(number), 1, at(0)),
            is_alive: true,
            is_isolated: false,
        };
        let mut zone = Self {
            gateways: (0..count).map(gateway).collect(),
            millis: 0,
            lost_percent,
            draws: 0,
            messages: 0,
            bytes: 0,
        };
        for number in 0..count {
            zone.add_mentions(number);
        }
        zone
    }

    /// Mentions some gateways to a starting one.
    fn add_mentions(&mut self, number: usize) {
        for _ in 0..INITIAL_MENTIONS {
            let mentioned = address(self.draw() as usize % self.gateways.len());
            let now = at(self.millis);
            self.gateways[number]
                .liveness
                .record_mention(mentioned, now);
        }
    }

    fn draw(&mut self) -> u64 {
        self.draws += 1;
        order::mix(self.draws)
    }

    fn run(&mut self, millis: u64) {
        let end = self.millis + millis;
        while self.millis < end {
            self.millis += TICK_MILLIS;
            for index in 0..self.gateways.len() {
                let gateway = &mut self.gateways[index];
                if !gateway.is_alive {
                    continue;
                }
                for member in gateway.liveness.poll(at(self.millis)) {
                    if self.send_updates(index, member)
                        && let Some(other) = self.index_of(member)
                    {
                        self.send_updates(other, address(index));
                    }
                }
            }
        }
    }

    fn index_of(&self, member: SocketAddr) -> Option<usize> {
        self.gateways
            .iter()
            .enumerate()
            .position(|(number, _)| address(number) == member)
    }

    /// Sends the updates of gateway `index` to `to`; returns true if they arrive.
    fn send_updates(&mut self, index: usize, to: SocketAddr) -> bool {
        let now = at(self.millis);
        let gateway = &mut self.gateways[index];
        let (updates, incarnation) = (
            gateway.liveness.updates_for(to),
            gateway.liveness.incarnation(),
        );
        let is_isolated = gateway.is_isolated;
        assert!(updates.len() <= MAX_UPDATES);
        self.messages += 1;
        self.bytes += MESSAGE_BYTES + UPDATE_BYTES * updates.len();
        let is_lost = self.draw() % 100 < self.lost_percent;
        let Some(receiver_index) = self.index_of(to) else {
            return false;
        };
        let receiver = &mut self.gateways[receiver_index];
        if is_lost || !receiver.is_alive || is_isolated || receiver.is_isolated {
            return false;
        }
        receiver
            .liveness
            .record_message(address(index), incarnation, now);
        receiver.liveness.apply_updates(&updates, now);
        true
    }

    /// Returns the number of live gateways that others miss, and of dead ones that others still
    /// count as alive.
    fn count_errors(&self) -> (usize, usize) {
        let is_reachable = |one: &&Gateway| one.is_alive && !one.is_isolated;
        let live_count = self.gateways.iter().filter(is_reachable).count();
        let mut missed = 0;
        let mut stale = 0;
        for gateway in self.gateways.iter().filter(is_reachable) {
            let known = gateway.liveness.alive();
            let known: Vec<usize> = known.filter_map(|member| self.index_of(member)).collect();
            let alive = known
                .iter()
                .filter(|index| is_reachable(&&self.gateways[**index]))
                .count();
            missed += live_count - 1 - alive;
            stale += known.len() - alive;
        }
        (missed, stale)
    }

    /// Returns the bytes per second that a live gateway sends during `millis`.
    fn bytes_per_second(&mut self, millis: u64) -> f64 {
        self.bytes = 0;
        self.run(millis);
        let alive = self.gateways.iter().filter(|one| one.is_alive).count();
        self.bytes as f64 / alive as f64 / (millis as f64 / 1_000.0)
    }
}

#[test]
fn a_cold_start_converges_without_mentions_by_loaders() {
    for count in [10, 110, 330] {
        let mut zone = Zone::start(count, 1);
        zone.run(8_000);
        assert_eq!(zone.count_errors(), (0, 0), "{count} gateways");
        zone.run(10_000);
        assert_eq!(
            zone.count_errors(),
            (0, 0),
            "{count} gateways, in steady state"
        );
    }
}

#[test]
fn death_and_return_of_a_third_reach_all_gateways() {
    for count in [10, 110, 330] {
        let mut zone = Zone::start(count, 3);
        zone.run(8_000);
        for number in 0..count / 3 {
            zone.gateways[number].is_alive = false;
        }
        zone.run(CONVERGENCE_MILLIS + 1_000 * u64::from(count.ilog2()) / 2);
        assert_eq!(
            zone.count_errors(),
            (0, 0),
            "{count} gateways, a third is dead"
        );
        for number in 0..count / 3 {
            let now = at(zone.millis);
            zone.gateways[number].liveness = Liveness::new(address(number), 2, now);
            zone.gateways[number].is_alive = true;
            zone.add_mentions(number);
        }
        zone.run(CONVERGENCE_MILLIS + 1_000 * u64::from(count.ilog2()) / 2);
        let (missed, stale) = zone.count_errors();
        assert!(
            missed * 1_000 <= count * count && stale == 0,
            "{missed}, {count} gateways, all have returned"
        );
        zone.run(10_000);
        assert_eq!(
            zone.count_errors(),
            (0, 0),
            "{count} gateways, all have returned"
        );
    }
}

#[test]
fn an_isolated_gateway_declares_nobody_dead_and_rejoins() {
    let mut zone = Zone::start(110, 0);
    zone.run(5_000);
    zone.gateways[7].is_isolated = true;
    zone.run(8_000);
    let known = zone.gateways[7].liveness.alive().count();
    assert_eq!(known, 109, "an isolated gateway declares nobody dead");
    assert_eq!(
        zone.count_errors(),
        (0, 0),
        "the others know that it is dead"
    );
    zone.gateways[7].is_isolated = false;
    zone.run(CONVERGENCE_MILLIS);
    assert_eq!(zone.count_errors(), (0, 0));
}

#[test]
fn traffic_of_one_gateway_does_not_grow_with_the_zone() {
    for count in [30, 110, 440] {
        let mut zone = Zone::start(count, 1);
        let at_start = zone.bytes_per_second(4_000);
        zone.run(20_000 + 200 * count as u64);
        let steady = zone.bytes_per_second(4_000);
        println!(
            "{count} gateways: {at_start:.0} bytes per second of each at the start, {steady:.0} in steady state"
        );
        assert!(at_start < MAX_BYTES_PER_SECOND && steady < MAX_BYTES_PER_SECOND / 10.0);
    }
}
