//! What control costs: real processes at a few sizes, and the state machines alone beyond them.
//!
//! For each size: milliseconds from accepted to in force at the slowest process, calls of the
//! key-value service, and processor time, memory and bytes of a process while nothing but control
//! happens. Last, slopes fitted over the sizes. Build the binaries first:
//! `cargo build --release --workspace --bins`.

use {
    gingerpier_base::{
        Digest, Instant as Moment, Name, Stamp,
        place::{Incarnation, Role, Zone as Place},
    },
    gingerpier_benches::{bounds::Report, options::Options, process},
    gingerpier_catalogue::{Catalogue, Command, Entry, Identity, Record},
    gingerpier_fleet::{Child, Error, Fleet, Spec, spec::Zone},
    gingerpier_membership::{Listing, Membership},
    gingerpier_once::{Deduplicator, claims::Claims, dedup::AttemptKey},
    gingerpier_rollout::{EngineState, Planner, planner::Policy},
    gingerpier_standins::key_value::Counts,
    gingerpier_wire::{
        codec,
        frame::{EngineStatus, Phase, Status},
    },
    std::{
        hint::black_box,
        time::{Duration, Instant},
    },
};

/// Sizes where none are asked for, in backend servers; three zones with two entry boxes each.
const DEFAULT_SIZES: [usize; 3] = [6, 24, 60];
/// Seconds of quiet, and of changes.
const SECONDS: u64 = 8;
/// Changes a second: 60,000 a day.
const CHANGE_MILLIS: u64 = 1_440;
/// Nodes and engines at the two-year size.
const NODES: usize = 2_900;
const ENGINES: usize = 10_000;

/// Cost of one process, for each second.
#[derive(Debug, Clone, Copy, Default)]
struct Cost {
    core_percent: f64,
    megabytes: f64,
    bytes: f64,
}

struct Measured {
    processes: f64,
    entry_quiet: Cost,
    server_quiet: Cost,
    entry_changing: Cost,
    server_changing: Cost,
    in_force_millis: f64,
    calls_quiet: f64,
    calls_a_change: f64,
}

fn main() {
    let options = Options::read();
    let sizes = options
        .numbers("--servers")
        .unwrap_or_else(|| DEFAULT_SIZES.to_vec());
    let mut report = Report::new("control", options.check());
    let system = actix_rt::System::new();
    let mut all = Vec::new();
    for servers in sizes {
        match system.block_on(measure(servers)) {
            Ok(measured) => {
                print(&mut report, servers, &measured);
                all.push(measured);
            }
            Err(error) => {
                eprintln!("control: {error}");
                std::process::exit(1);
            }
        }
    }
    machines(&mut report);
    slopes(&mut report, &all);
    report.end();
}

fn print(report: &mut Report, servers: usize, measured: &Measured) {
    let words = format!("servers={servers} processes={}", measured.processes);
    report.line(
        &words,
        &[
            ("in_force_ms", measured.in_force_millis),
            ("key_value_calls_a_second_quiet", measured.calls_quiet),
            ("key_value_calls_a_change", measured.calls_a_change),
        ],
    );
    let roles = [
        ("entry", "quiet", measured.entry_quiet),
        ("backend", "quiet", measured.server_quiet),
        ("entry", "changing", measured.entry_changing),
        ("backend", "changing", measured.server_changing),
    ];
    for (role, state, cost) in roles {
        report.line(
            &format!("{words} role={role} state={state}"),
            &[
                ("core_percent", cost.core_percent),
                ("resident_mb", cost.megabytes),
                ("bytes_a_second", cost.bytes),
            ],
        );
    }
}

async fn measure(servers: usize) -> Result<Measured, Error> {
    let zone = |name| Zone {
        region: name,
        name,
        entries: 2,
        backends: servers / 3,
    };
    let spec = Spec {
        zones: vec![zone("zagreb"), zone("split"), zone("vienna")],
        engines: 1,
        engines_in_process: true,
        services: Vec::new(),
        ..Spec::small()
    };
    let fleet = Fleet::start(spec).await?;
    actix_rt::time::sleep(Duration::from_secs(3)).await;
    let counts = async || {
        fleet
            .read::<Counts>(fleet.key_value.address("address"), "/counts")
            .await
    };
    let calls =
        |counts: &Counts| (counts.reads + counts.writes + counts.leases + counts.watches) as f64;
    let before = counts().await?;
    let (entry_quiet, server_quiet) = costs(&fleet, async || {
        actix_rt::time::sleep(Duration::from_secs(SECONDS)).await;
        Ok(())
    })
    .await?;
    let middle = counts().await?;
    let mut slowest = Vec::new();
    let (entry_changing, server_changing) = costs(&fleet, async || {
        let start = Instant::now();
        let mut number = 0;
        while start.elapsed().as_secs() < SECONDS {
            let due = start + Duration::from_millis(CHANGE_MILLIS * (number + 1));
            let asked = Instant::now();
            fleet
                .command(&format!("create model m{number} for lm"))
                .await?;
            slowest.push(asked.elapsed().as_secs_f64() * 1e3);
            number += 1;
            actix_rt::time::sleep(due.saturating_duration_since(Instant::now())).await;
        }
        Ok(())
    })
    .await?;
    let after = counts().await?;
    let quiet = (calls(&middle) - calls(&before)) / SECONDS as f64;
    Ok(Measured {
        processes: (fleet.entries.len() + fleet.servers.len()) as f64,
        entry_quiet,
        server_quiet,
        entry_changing,
        server_changing,
        in_force_millis: slowest.iter().copied().fold(0.0, f64::max),
        calls_quiet: quiet,
        calls_a_change: (calls(&after) - calls(&middle) - quiet * SECONDS as f64)
            / slowest.len() as f64,
    })
}

/// Mean cost of entry boxes and of backend servers while `work` goes on.
async fn costs<F>(fleet: &Fleet, work: F) -> Result<(Cost, Cost), Error>
where
    F: AsyncFnOnce() -> Result<(), Error>,
{
    let entries: Vec<&Child> = fleet.entries.iter().map(|entry| &entry.child).collect();
    let servers: Vec<&Child> = fleet.servers.iter().map(|server| &server.child).collect();
    let before = (
        usages(fleet, &entries).await?,
        usages(fleet, &servers).await?,
    );
    let start = Instant::now();
    work().await?;
    let seconds = start.elapsed().as_secs_f64();
    let after = (
        usages(fleet, &entries).await?,
        usages(fleet, &servers).await?,
    );
    Ok((
        cost(before.0, after.0, seconds),
        cost(before.1, after.1, seconds),
    ))
}

async fn usages(fleet: &Fleet, children: &[&Child]) -> Result<(process::Usage, f64), Error> {
    let mut sum = process::Usage::default();
    let mut bytes = 0.0;
    let count = children.len() as f64;
    for child in children {
        let usage = process::usage(child.id());
        sum.seconds += usage.seconds / count;
        sum.resident += usage.resident / children.len() as u64;
        let text = fleet
            .read_text(child.address("metrics"), "/metrics")
            .await?;
        let lines = text
            .lines()
            .filter(|line| line.starts_with("gingerpier_link_"));
        let values = lines.filter_map(|line| line.rsplit(' ').next()?.parse::<f64>().ok());
        bytes += values.sum::<f64>() / count;
    }
    Ok((sum, bytes))
}

fn cost(before: (process::Usage, f64), after: (process::Usage, f64), seconds: f64) -> Cost {
    Cost {
        core_percent: (after.0.seconds - before.0.seconds) / seconds * 100.0,
        megabytes: after.0.resident as f64 / 1e6,
        bytes: (after.1 - before.1) / seconds,
    }
}

fn name(text: &str) -> Name {
    text.parse().expect("a name")
}

fn digest() -> Digest {
    Digest::of(b"weights")
}

/// State machines at the two-year size, without processes.
fn machines(report: &mut Report) {
    let mut catalogue = Catalogue::default();
    let mut commands = vec![
        Command::CreateModel {
            model: name("m"),
            kind: name("lm"),
        },
        Command::CreateVersion {
            model: name("m"),
            version: name("v1"),
            manifest: digest(),
            bytes: 1,
            source: "m/v1".to_owned(),
            base: None,
        },
    ];
    for engine in 0..ENGINES {
        commands.push(Command::Assign {
            engine: name(&format!("zone-b{}-e{}", engine / 6, engine % 6)),
            server: name(&format!("zone-b{}", engine / 6)),
            model: name("m"),
            version: name("v1"),
            zone: name("zone"),
        });
    }
    apply(&mut catalogue, commands);
    let change = |number: usize| {
        vec![Command::CreateModel {
            model: name(&format!("x{number}")),
            kind: name("lm"),
        }]
    };
    let mut applied = 0;
    let apply_micros = micros(100, || {
        applied += 1;
        apply(&mut catalogue, change(applied));
    });
    let record = codec::encode(&record(&catalogue, change(0))).map_or(0, |bytes| bytes.len());
    report.line(
        "machine=catalogue engines=10000",
        &[
            ("apply_us", apply_micros),
            ("snapshot_bytes", catalogue.to_snapshot().len() as f64),
            ("record_bytes", record as f64),
        ],
    );
    let engine_states = engine_states();
    let mut planner = Planner::new(Policy::default());
    let plan = micros(20, || {
        black_box(planner.plan(&catalogue, &engine_states, Moment::from_millis(1_000)));
    });
    report.line("machine=planner engines=10000", &[("plan_us", plan)]);
    let status = status();
    let bytes = codec::encode(&status).map_or(0, |bytes| bytes.len()) as f64;
    let encode = micros(10_000, || drop(black_box(codec::encode(&status))));
    report.line(
        "machine=status engines=6",
        &[
            ("frame_bytes", bytes),
            ("bytes_an_engine", bytes / 6.0),
            ("encode_us", encode),
        ],
    );
    members(report);
    attempts(report);
}

fn record(catalogue: &Catalogue, commands: Vec<Command>) -> Record {
    let revision = catalogue.revision().next();
    let entry = Entry {
        identity: Identity::from_u128(u128::from(revision.0)),
        author: "alice".to_owned(),
        stamp: Stamp::from_unix_millis(0),
        text: "create model x for lm".to_owned(),
        commands,
    };
    Record {
        revision,
        entries: vec![entry],
    }
}

fn apply(catalogue: &mut Catalogue, commands: Vec<Command>) {
    let record = record(catalogue, commands);
    catalogue.apply(&record).expect("the commands are right");
}

fn engine_states() -> Vec<EngineState> {
    let state = |engine: usize| EngineState {
        engine: name(&format!("zone-b{}-e{}", engine / 6, engine % 6)),
        server: name(&format!("zone-b{}", engine / 6)),
        zone: name("zone"),
        kind: name("lm"),
        is_usable: true,
        loaded_weights: Some(digest()),
        loaded_adapters: Vec::new(),
    };
    (0..ENGINES).map(state).collect()
}

fn status() -> Status {
    let engine = |index: usize| EngineStatus {
        name: name(&format!("zone-b100-e{index}")),
        kind: name("lm"),
        plain: false,
        phase: Phase::Ready,
        weights: Some(digest()),
        adapters: Vec::new(),
        others: 7,
        capacity: 16,
        chunks_held: 8_000,
        chunks_wanted: 8_000,
        origin_bytes: 1 << 36,
        peer_bytes: 1 << 36,
        trouble: None,
    };
    Status {
        engines: (0..6).map(engine).collect(),
        ..Status::default()
    }
}

fn members(report: &mut Report) {
    let mut members = Membership::default();
    let zone = Place {
        region: name("r"),
        name: name("z"),
    };
    let now = Moment::from_millis(1_000);
    let boxes: Vec<Name> = (0..NODES)
        .map(|index| name(&format!("box-{index}")))
        .collect();
    let start = Instant::now();
    for (index, name) in boxes.iter().enumerate() {
        let key = members.record_listing(name, Role::Backend, &zone, "127.0.0.1:1", Listing::Live);
        members.record_link_up(key, Incarnation(index as u64), now);
    }
    let first = start.elapsed().as_secs_f64() * 1e6;
    let again = micros(1, || {
        for name in &boxes {
            members.record_listing(name, Role::Backend, &zone, "127.0.0.1:1", Listing::Live);
        }
    });
    report.line(
        "machine=membership boxes=2900",
        &[("first_list_us", first), ("list_us", again)],
    );
}

fn attempts(report: &mut Report) {
    let now = Moment::from_millis(1_000);
    let mut deduplicator = Deduplicator::new(Incarnation(1), 600_000);
    let mut number = 0;
    let admit = micros(100_000, || {
        number += 1;
        let key = AttemptKey {
            entry: Incarnation(2),
            number,
        };
        black_box(deduplicator.admit(key, Incarnation(1), Ok(()), now));
        deduplicator.record_end(key, now);
    });
    let mut claims = Claims::new(Incarnation(1), 7, 600_000);
    let claim = micros(100_000, || {
        let ticket = claims.issue(now);
        black_box(claims.claim(ticket, Incarnation(1), now));
    });
    report.line(
        "machine=once",
        &[("door_us_an_attempt", admit), ("claim_us_a_ticket", claim)],
    );
}

fn micros<F: FnMut()>(times: usize, mut work: F) -> f64 {
    let start = Instant::now();
    for _ in 0..times {
        work();
    }
    start.elapsed().as_secs_f64() * 1e6 / times as f64
}

/// Cost of an entry box for each linked process, fitted over the sizes.
fn slopes(report: &mut Report, all: &[Measured]) {
    let fit = |figure: &dyn Fn(&Measured) -> f64| {
        let points: Vec<(f64, f64)> = all
            .iter()
            .map(|held| (held.processes, figure(held)))
            .collect();
        slope(&points)
    };
    report.line(
        "",
        &[
            (
                "entry_core_percent_a_process",
                fit(&|held| held.entry_changing.core_percent),
            ),
            (
                "entry_kb_a_process",
                fit(&|held| held.entry_changing.megabytes * 1e3),
            ),
            (
                "entry_bytes_a_second_a_process",
                fit(&|held| held.entry_changing.bytes),
            ),
            (
                "server_core_percent_a_process",
                fit(&|held| held.server_changing.core_percent),
            ),
            (
                "server_bytes_a_second_a_process",
                fit(&|held| held.server_changing.bytes),
            ),
            ("in_force_ms_a_process", fit(&|held| held.in_force_millis)),
            (
                "key_value_calls_a_second_a_process",
                fit(&|held| held.calls_quiet),
            ),
            (
                "in_force_ms_at_most",
                all.iter()
                    .map(|held| held.in_force_millis)
                    .fold(0.0, f64::max),
            ),
        ],
    );
}

fn slope(points: &[(f64, f64)]) -> f64 {
    let count = points.len() as f64;
    let (sum_x, sum_y) = points
        .iter()
        .fold((0.0, 0.0), |(x, y), point| (x + point.0, y + point.1));
    let (mean_x, mean_y) = (sum_x / count, sum_y / count);
    let above: f64 = points
        .iter()
        .map(|(x, y)| (x - mean_x) * (y - mean_y))
        .sum();
    let below: f64 = points.iter().map(|(x, _)| (x - mean_x).powi(2)).sum();
    if below == 0.0 { 0.0 } else { above / below }
}
