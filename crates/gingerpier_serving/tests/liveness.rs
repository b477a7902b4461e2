//! Who of a zone lives, from 10 to 1,000 gateways: at a start of everything, in calm, after a loss and after a cut.
//!
//! Gateways counted as gone when no loader had named them for 2.5 s. At a start of everything loaders name only those few
//! that know the configuration already, so 526 of 546 gateways found themselves alone in their zone at the same moment, and
//! each asked the store ("store is asked by this gateway step=Store has_copy=true"), 110 over each region's link.

use {
    gingerpier_base::{Instant, order},
    gingerpier_serving::liveness::{Liveness, MAX_UPDATES},
    std::net::SocketAddr,
};

/// Gateways that are named to one that starts: it greets every 50 ms until it has a configuration, half a second at least,
/// and each answer names 32.
const NAMED: usize = 10 * 32;

const TICK_MILLIS: u64 = 50;

/// Bytes of one item of news, and of the rest of a message with its headers.
const NEWS_BYTES: usize = 26;
const MESSAGE_BYTES: usize = 70;

/// Milliseconds after which all have to know of a loss or a return: as long as loaders took to forget a gateway that ended,
/// and gateways to miss its name after that, and a second.
const KNOWN_MILLIS: u64 = 6_000;

/// Bytes of control that one node may send in a second.
const MAX_BYTES_A_SECOND: f64 = 15_000.0;

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
    is_cut: bool,
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
    /// A zone whose gateways start now; each knows some others, as a seed names them.
    fn start(count: usize, lost_percent: u64) -> Self {
        let gateway = |number: usize| Gateway {
            liveness: Liveness::new(address(number), 1, at(0)),
            is_alive: true,
            is_cut: false,
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
            zone.name_some(number);
        }
        zone
    }

    /// Names some gateways to one that starts, as those do that it greets.
    fn name_some(&mut self, number: usize) {
        for _ in 0..NAMED {
            let named = address(self.draw() as usize % self.gateways.len());
            let now = at(self.millis);
            self.gateways[number].liveness.note_named(named, now);
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
                    if self.tell(index, member)
                        && let Some(other) = self.place(member)
                    {
                        self.tell(other, address(index));
                    }
                }
            }
        }
    }

    fn place(&self, member: SocketAddr) -> Option<usize> {
        self.gateways
            .iter()
            .enumerate()
            .position(|(number, _)| address(number) == member)
    }

    /// Sends what a gateway knows to `to`; true where it came.
    fn tell(&mut self, index: usize, to: SocketAddr) -> bool {
        let now = at(self.millis);
        let gateway = &mut self.gateways[index];
        let (news, incarnation) = (
            gateway.liveness.news_for(to),
            gateway.liveness.incarnation(),
        );
        let is_cut = gateway.is_cut;
        assert!(news.len() <= MAX_UPDATES);
        self.messages += 1;
        self.bytes += MESSAGE_BYTES + NEWS_BYTES * news.len();
        let is_lost = self.draw() % 100 < self.lost_percent;
        let Some(place) = self.place(to) else {
            return false;
        };
        let hearer = &mut self.gateways[place];
        if is_lost || !hearer.is_alive || is_cut || hearer.is_cut {
            return false;
        }
        hearer.liveness.note_alive(address(index), incarnation, now);
        hearer.liveness.take(&news, now);
        true
    }

    /// Pairs of living gateways of which one does not count the other as living, and of those that count one that is gone.
    fn wrong(&self) -> (usize, usize) {
        let living = |one: &&Gateway| one.is_alive && !one.is_cut;
        let there = self.gateways.iter().filter(living).count();
        let mut missed = 0;
        let mut kept = 0;
        for gateway in self.gateways.iter().filter(living) {
            let known = gateway.liveness.living();
            let known: Vec<usize> = known.filter_map(|member| self.place(member)).collect();
            let alive = known
                .iter()
                .filter(|place| living(&&self.gateways[**place]))
                .count();
            missed += there - 1 - alive;
            kept += known.len() - alive;
        }
        (missed, kept)
    }

    /// Bytes a second of one gateway that lives, over `millis`.
    fn bytes_a_second(&mut self, millis: u64) -> f64 {
        self.bytes = 0;
        self.run(millis);
        let living = self.gateways.iter().filter(|one| one.is_alive).count();
        self.bytes as f64 / living as f64 / (millis as f64 / 1_000.0)
    }
}

#[test]
fn at_a_start_of_everything_all_know_all_though_no_loader_names_them() {
    for count in [10, 110, 330] {
        let mut zone = Zone::start(count, 1);
        zone.run(8_000);
        assert_eq!(zone.wrong(), (0, 0), "{count} gateways");
        zone.run(10_000);
        assert_eq!(zone.wrong(), (0, 0), "{count} gateways, in calm");
    }
}

#[test]
fn a_third_that_is_lost_is_known_to_all_and_their_return_as_well() {
    for count in [10, 110, 330] {
        let mut zone = Zone::start(count, 3);
        zone.run(8_000);
        for number in 0..count / 3 {
            zone.gateways[number].is_alive = false;
        }
        zone.run(KNOWN_MILLIS + 1_000 * u64::from(count.ilog2()) / 2);
        assert_eq!(zone.wrong(), (0, 0), "{count} gateways, a third is gone");
        for number in 0..count / 3 {
            let now = at(zone.millis);
            zone.gateways[number].liveness = Liveness::new(address(number), 2, now);
            zone.gateways[number].is_alive = true;
            zone.name_some(number);
        }
        zone.run(KNOWN_MILLIS + 1_000 * u64::from(count.ilog2()) / 2);
        let (missed, kept) = zone.wrong();
        assert!(
            missed * 1_000 <= count * count && kept == 0,
            "{missed}, {count} gateways, all are back"
        );
        zone.run(10_000);
        assert_eq!(zone.wrong(), (0, 0), "{count} gateways, all are back");
    }
}

#[test]
fn whoever_is_cut_off_from_all_forgets_nobody_and_is_known_again_at_once() {
    let mut zone = Zone::start(110, 0);
    zone.run(5_000);
    zone.gateways[7].is_cut = true;
    zone.run(8_000);
    let known = zone.gateways[7].liveness.living().count();
    assert_eq!(known, 109, "silence that all share");
    assert_eq!(zone.wrong(), (0, 0), "the others know that it is gone");
    zone.gateways[7].is_cut = false;
    zone.run(KNOWN_MILLIS);
    assert_eq!(zone.wrong(), (0, 0));
}

#[test]
fn what_one_gateway_sends_does_not_grow_with_the_zone() {
    for count in [30, 110, 440] {
        let mut zone = Zone::start(count, 1);
        let starting = zone.bytes_a_second(4_000);
        zone.run(20_000 + 200 * count as u64);
        let calm = zone.bytes_a_second(4_000);
        println!(
            "{count} gateways: {starting:.0} bytes a second of each at the start, {calm:.0} in calm"
        );
        assert!(starting < MAX_BYTES_A_SECOND && calm < MAX_BYTES_A_SECOND / 10.0);
    }
}
