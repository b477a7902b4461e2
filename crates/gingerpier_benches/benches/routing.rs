//! Routing under bursts, late reports and slow engines, against baselines and an oracle; fair
//! shares of client accounts; the cost of one decision.

use {
    gingerpier_base::Instant,
    gingerpier_benches::{
        bounds::Report,
        options::Options,
        routing::{Choice, Figures, Setting, run},
    },
    gingerpier_routing::{
        Limits, Router,
        limits::Utilization,
        router::{Criteria, Policy},
    },
    std::hint::black_box,
};

const BASELINES: [Choice; 6] = [
    Choice::Random,
    Choice::RoundRobin,
    Choice::LeastInFlight,
    Choice::TwoByReport,
    Choice::Shipped,
    Choice::ShippedWithPrefixes,
];

/// Engines of the larger of today's deployments.
const LARGEST_OF_TODAY: usize = 16;

fn scenarios() -> Vec<(&'static str, Setting)> {
    let base = Setting::default();
    vec![
        ("plate_archive_steady", base),
        (
            "plate_archive_bursts",
            Setting {
                bursts: true,
                load: 0.75,
                ..base
            },
        ),
        (
            "pitline_race_evening",
            Setting {
                bursts: true,
                load: 0.85,
                mean_millis: 150.0,
                ..base
            },
        ),
        (
            "slow_engines",
            Setting {
                slow: 3,
                load: 0.9,
                ..base
            },
        ),
        (
            "half_the_engines",
            Setting {
                engines: 6,
                load: 0.95,
                ..base
            },
        ),
        ("six_entry_boxes", Setting { entries: 6, ..base }),
        (
            "hundred_engines",
            Setting {
                engines: 100,
                entries: 20,
                ..base
            },
        ),
    ]
}

fn main() {
    let options = Options::read();
    let mut report = Report::new("routing", options.check());
    let mut worst = 0.0_f64;
    let mut worst_of_today = 0.0_f64;
    for (name, setting) in scenarios() {
        let oracle = run(setting, Choice::Oracle);
        print_choice(&mut report, name, Choice::Oracle, oracle, oracle);
        for choice in BASELINES {
            let figures = run(setting, choice);
            print_choice(&mut report, name, choice, figures, oracle);
            if choice == Choice::Shipped {
                worst = worst.max(figures.p99 / oracle.p99);
                if setting.engines <= LARGEST_OF_TODAY {
                    worst_of_today = worst_of_today.max(figures.p99 / oracle.p99);
                }
            }
        }
    }
    let smallest = smallest_share(&mut report);
    let decision = decision_nanos(10_000);
    report.line(
        "",
        &[
            ("worst_ratio_at_todays_sizes", worst_of_today),
            ("worst_ratio_to_oracle", worst),
            ("smallest_account_share", smallest),
            ("decision_ns", decision),
        ],
    );
    report.end();
}

fn print_choice(report: &mut Report, name: &str, choice: Choice, got: Figures, oracle: Figures) {
    report.line(
        &format!("scenario={name} choice={}", choice.as_str()),
        &[
            ("p95_ms", got.p95),
            ("p99_ms", got.p99),
            ("ratio_to_oracle", got.p99 / oracle.p99),
            ("prefix_hits", got.prefix_hits),
            ("probes", got.probes),
            ("idle_while_queued", got.idle_while_queued),
        ],
    );
}

/// Nine small accounts within their limits beside one that sends ten times its own: the smallest
/// account's share of requests admitted, over ten virtual seconds.
fn smallest_share(report: &mut Report) -> f64 {
    const RATE: u32 = 100;
    const ENTRIES: u32 = 7;
    const MILLIS: u64 = 10_000;
    let mut boxes: Vec<Limits> = (0..ENTRIES).map(|_| Limits::default()).collect();
    let now = Instant::from_millis(0);
    let accounts: Vec<_> = (0..10)
        .map(|_| {
            boxes
                .iter_mut()
                .map(|held| held.add_account(RATE, now))
                .collect::<Vec<_>>()
        })
        .collect();
    let mut random = fastrand::Rng::with_seed(1);
    let mut sent = [0_u64; 10];
    let mut admitted = [0_u64; 10];
    // Requests under way end after 400 ms; a thousand at once is what the engines take.
    let mut ends: std::collections::VecDeque<(u64, usize, usize)> =
        std::collections::VecDeque::new();
    for millis in 0..MILLIS {
        while ends.front().is_some_and(|(at, ..)| *at <= millis) {
            if let Some((_, entry, account)) = ends.pop_front() {
                boxes[entry].record_request_end(accounts[account][entry]);
            }
        }
        for account in 0..10 {
            // Small accounts send nine tenths of their rate, the large one ten times its own.
            let a_second = if account == 0 {
                10.0 * f64::from(RATE)
            } else {
                0.9 * f64::from(RATE)
            };
            if random.f64() >= a_second / 1_000.0 {
                continue;
            }
            sent[account] += 1;
            let entry = random.usize(..ENTRIES as usize);
            let utilization = Utilization {
                load: ends.len() as u64,
                capacity: 400,
                entry_boxes: ENTRIES,
            };
            let at = Instant::from_millis(millis);
            if boxes[entry]
                .admit(accounts[account][entry], utilization, at)
                .is_ok()
            {
                admitted[account] += 1;
                ends.push_back((millis + 400, entry, account));
            }
        }
    }
    let share = |account: usize| admitted[account] as f64 / sent[account] as f64;
    let smallest = (1..10).map(share).fold(1.0, f64::min);
    report.line(
        "scenario=ten_accounts",
        &[
            ("large_share", share(0)),
            ("small_share", smallest),
            ("large_sent", sent[0] as f64),
        ],
    );
    smallest
}

/// Nanoseconds of processor time for one decision and its counts, with many engines known.
fn decision_nanos(engines: usize) -> f64 {
    const DECISIONS: usize = 1_000_000;
    let mut router = Router::new(Policy::default(), 1);
    let pools: Vec<_> = (0..10).map(|_| router.add_pool()).collect();
    for index in 0..engines {
        let engine = router.add_engine(8);
        router.add_to_pool(pools[index % pools.len()], engine);
    }
    let now = Instant::from_millis(0);
    let start = cpu_nanos();
    for index in 0..DECISIONS {
        let near = index % (pools.len() - 2);
        let prefix_hash = Some(gingerpier_base::order::mix(index as u64 / 4));
        let criteria = Criteria {
            pools: &pools[near..near + 3],
            prefix_hash,
            tried: &[],
            now,
        };
        if let Ok(engine) = black_box(router.choose(criteria)) {
            router.record_request_start(engine);
            router.record_request_end(engine);
        }
    }
    (cpu_nanos() - start) as f64 / DECISIONS as f64
}

#[expect(
    unsafe_code,
    reason = "the processor time of a process is told by the system's own call"
)]
fn cpu_nanos() -> u64 {
    let mut time = libc::timespec {
        tv_sec: 0,
        tv_nsec: 0,
    };
    // SAFETY: The call writes the one structure that it is given.
    unsafe { libc::clock_gettime(libc::CLOCK_PROCESS_CPUTIME_ID, &mut time) };
    time.tv_sec as u64 * 1_000_000_000 + time.tv_nsec as u64
}
