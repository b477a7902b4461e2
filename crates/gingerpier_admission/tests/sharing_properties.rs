//! Properties of grants under lost, late and repeated digests, freezes and restarts.

use {
    gingerpier_admission::sharing::{
        Demand, Grant, ServiceDemand,
        grantee::{Grantee, Share},
        granter::{Capacity, Granter},
    },
    gingerpier_base::Instant,
    proptest::prelude::*,
    std::net::SocketAddr,
};

/// Requests per second that the engines of the granting zone can run.
const CAPACITY: f64 = 60.0;

const STEP_MILLIS: u64 = 50;

const SENDERS: usize = 3;

/// Zones that receive grants, with one gateway each.
const ZONES: [&str; 2] = ["w", "z"];

#[derive(Debug, Clone)]
enum Event {
    /// Delivers a digest that was sent earlier, possibly again, to one zone.
    Deliver { index: usize, zone: usize },
    /// Stops a sender for some steps.
    Freeze { sender: usize, steps: u64 },
    /// Restarts a sender, whose stamps begin at 1 again.
    Restart { sender: usize },
    /// Demand of a zone arrives at a sender.
    Demand {
        sender: usize,
        zone: usize,
        refused_percent: u8,
    },
}

fn event() -> impl Strategy<Value = Event> {
    let zone = 0..ZONES.len();
    let sender = 0..SENDERS;
    prop_oneof![
        6 => (0..40_usize, zone.clone()).prop_map(|(index, zone)| Event::Deliver { index, zone }),
        1 => (sender.clone(), 1..80_u64).prop_map(|(sender, steps)| Event::Freeze { sender, steps }),
        1 => sender.clone().prop_map(|sender| Event::Restart { sender }),
        4 => (sender, zone, 0..100_u8).prop_map(|(sender, zone, refused_percent)| Event::Demand {
            sender, zone, refused_percent
        }),
    ]
}

#[derive(Debug, Clone)]
struct Sent {
    sender: usize,
    stamp: u64,
    grants: Vec<Grant>,
}

#[derive(Debug)]
struct Sender {
    granter: Granter,
    stamp: u64,
    frozen_until: Instant,
}

fn address(sender: usize) -> SocketAddr {
    ([10, 0, 0, sender as u8], 7_000).into()
}

fn share() -> Share {
    Share {
        own_demand: Demand {
            arrivals: 500.0,
            refusals: 500.0,
            granted: 0.0,
        },
        gateway_count: 1,
    }
}

proptest! {
    /// Guards against grants beyond the capacity of the granting zone at any gateway, whatever is
    /// lost, late or repeated, and against tokens beyond the granted rate.
    #[test]
    fn granted_rates_and_tokens_are_bounded(
        steps in prop::collection::vec(prop::collection::vec(event(), 0..5), 1..200)
    ) {
        let now_at = |step: usize| Instant::from_millis(1_000 + step as u64 * STEP_MILLIS);
        let mut senders: Vec<Sender> = (0..SENDERS).map(|_| Sender {
            granter: Granter::new(now_at(0)), stamp: 0, frozen_until: now_at(0),
        }).collect();
        let mut grantees = ZONES.map(Grantee::new);
        let mut sent: Vec<Sent> = Vec::new();
        let mut tokens = [0_u32; ZONES.len()];
        for (step, events) in steps.iter().enumerate() {
            let now = now_at(step);
            for (index, sender) in senders.iter_mut().enumerate() {
                if !sender.frozen_until.has_passed(now) {
                    continue;
                }
                let capacity = Capacity { service: "s", per_second: CAPACITY, own_demand: Demand::default() };
                sender.granter.update(&[capacity], ZONES.len() + 1, now);
                sender.stamp += 1;
                let grants = sender.granter.grants(now);
                let sum: f64 = grants.iter().map(|grant| grant.per_second).sum();
                prop_assert!(sum <= CAPACITY / 2.0 + 1e-6, "one sender grants {sum}");
                sent.push(Sent { sender: index, stamp: sender.stamp, grants });
            }
            for event in events {
                match event {
                    Event::Deliver { index, zone } => {
                        let Some(digest) = sent.iter().rev().nth(*index) else { continue };
                        grantees[*zone].record(
                            "y", address(digest.sender), digest.stamp, digest.grants.clone(), now,
                        );
                    }
                    Event::Freeze { sender, steps } => {
                        senders[*sender].frozen_until = now.after_millis(steps * STEP_MILLIS);
                    }
                    Event::Restart { sender } => {
                        senders[*sender].granter = Granter::new(now);
                        senders[*sender].stamp = 0;
                    }
                    Event::Demand { sender, zone, refused_percent } => {
                        let demand = Demand {
                            arrivals: 2_000.0,
                            refusals: 20.0 * f64::from(*refused_percent),
                            granted: 0.0,
                        };
                        let entry = ServiceDemand { service: "s".to_owned(), demand };
                        senders[*sender].granter.record_demand(ZONES[*zone], vec![entry], now);
                    }
                }
            }
            for (zone, grantee) in grantees.iter_mut().enumerate() {
                let rate = grantee.granted_per_second("y", "s", now);
                prop_assert!(rate <= CAPACITY + 1e-6, "granted {rate}");
                while grantee.take("y", "s", &share(), now) {
                    tokens[zone] += 1;
                }
            }
        }
        let seconds = (steps.len() as u64 * STEP_MILLIS) as f64 / 1_000.0;
        for tokens in tokens {
            let limit = CAPACITY * (seconds + 0.25) + 1.0;
            prop_assert!(f64::from(tokens) <= limit, "{tokens} tokens in {seconds} s");
        }
    }

    /// Guards against grants that outlive their senders, whatever arrived before.
    #[test]
    fn all_grants_expire(stamps in prop::collection::vec((0..SENDERS, 1..50_u64, 0..2_000_u64), 1..50)) {
        let mut grantee = Grantee::new("z");
        let mut last = 0;
        for (sender, stamp, delay) in stamps {
            last += delay;
            let grant = Grant {
                zone: "z".to_owned(),
                service: "s".to_owned(),
                per_second: 30.0,
                zone_shortfall: 10.0,
            };
            grantee.record("y", address(sender), stamp, vec![grant], Instant::from_millis(last));
        }
        let end = Instant::from_millis(last + 800);
        prop_assert_eq!(grantee.granted_per_second("y", "s", end), 0.0);
        prop_assert!(!grantee.take("y", "s", &share(), end));
    }
}
