//! Time to N replicas and bytes read from the origin, with real processes at set paces.
//!
//! The receive pace of every box is such that one copy takes the set number of seconds, which is
//! T/2; the origin's link carries four copies in T. Build the binaries first:
//! `cargo build --release --workspace --bins`.

use {
    gingerpier_benches::{bounds::Report, options::Options, process},
    gingerpier_fleet::{Error, Fleet, Spec, fleet::TOKEN, spec::Zone},
    gingerpier_standins::origin::Counts,
    std::time::Instant,
};

const MODEL: &str = "plate-notes";
/// Megabytes of the version.
const MEGABYTES: usize = 16;
/// Seconds in which a box's link carries one copy: T/2.
const BOUND_SECONDS: f64 = 16.0;
/// Replicas where none are asked for.
const DEFAULT_REPLICAS: usize = 24;
/// Bytes of a chunk: about a 250th of the version, a coarser cut than large versions have.
const CHUNK_BYTES: u32 = 65_536;
/// Chunks under way at once at each box.
const DEFAULT_WINDOW: usize = 24;
/// Milliseconds between looks.
const LOOK_MILLIS: u64 = 100;

struct Figures {
    seconds: f64,
    origin_copies: f64,
    zone_crossings: f64,
    cpu_seconds: f64,
    megabytes: f64,
}

fn main() {
    let options = Options::read();
    let sizes = options
        .numbers("--replicas")
        .unwrap_or_else(|| vec![DEFAULT_REPLICAS]);
    let window = options
        .numbers("--window")
        .map_or(DEFAULT_WINDOW, |windows| windows[0]);
    let mut report = Report::new("spread", options.check());
    let system = actix_rt::System::new();
    for replicas in sizes {
        let bytes = (MEGABYTES * 1_000_000) as f64;
        // Copies from the origin come one after another at twice a box's rate.
        let origin = (replicas as f64 / 2.0).max(1.0) * BOUND_SECONDS;
        print_computed("whole_from_origin", replicas, origin, replicas as f64, 0.0);
        let tree = whole_tree_seconds(replicas);
        print_computed("whole_copies_down_a_tree", replicas, tree, 1.0, 2.0);
        match system.block_on(measure(replicas, window, bytes)) {
            Ok(Figures {
                seconds,
                origin_copies,
                zone_crossings,
                cpu_seconds,
                megabytes,
            }) => {
                report.line(
                    &format!("plan=rotated_trees replicas={replicas}"),
                    &[
                        ("cpu_seconds_a_box", cpu_seconds),
                        ("resident_mb_a_box", megabytes),
                    ],
                );
                print(
                    &mut report,
                    "rotated_trees",
                    replicas,
                    seconds,
                    origin_copies,
                    zone_crossings,
                );
            }
            Err(error) => {
                eprintln!("spread: {error}");
                std::process::exit(1);
            }
        }
    }
    report.end();
}

fn print(
    report: &mut Report,
    plan: &str,
    replicas: usize,
    seconds: f64,
    copies: f64,
    crossings: f64,
) {
    report.line(
        &format!("plan={plan} replicas={replicas}"),
        &[
            ("seconds", seconds),
            ("bound_seconds", BOUND_SECONDS),
            ("ratio", seconds / BOUND_SECONDS),
            ("origin_copies", copies),
            ("zone_crossings", crossings),
        ],
    );
}

/// A baseline that is worked out, not run; no bound is held against it.
fn print_computed(plan: &str, replicas: usize, seconds: f64, copies: f64, crossings: f64) {
    let ratio = seconds / BOUND_SECONDS;
    println!(
        "plan={plan} computed=1 replicas={replicas} seconds={seconds} \
         bound_seconds={BOUND_SECONDS} ratio={ratio} origin_copies={copies} \
         zone_crossings={crossings}"
    );
}

/// Whole copies, each box giving two others a copy at half its rate each once it has its own.
fn whole_tree_seconds(replicas: usize) -> f64 {
    let mut held = 1;
    let mut level = 1;
    let mut seconds = BOUND_SECONDS;
    while held < replicas {
        level *= 2;
        held += level;
        seconds += 2.0 * BOUND_SECONDS;
    }
    seconds
}

async fn measure(replicas: usize, window: usize, bytes: f64) -> Result<Figures, Error> {
    let rate = (bytes / BOUND_SECONDS) as u64;
    let zone = |name, backends| Zone {
        region: name,
        name,
        entries: 1,
        backends,
    };
    let each = replicas / 3;
    let spec = Spec {
        zones: vec![
            zone("kochi", replicas - 2 * each),
            zone("trivandrum", each),
            zone("kozhikode", each),
        ],
        engines: 1,
        services: Vec::new(),
        engines_in_process: true,
        chunk_bytes: CHUNK_BYTES,
        origin_rate: 2 * rate,
        weights: format!("  send: {rate}B/s\n  receive: {rate}B/s\n  window: {window}\n"),
        ..Spec::small()
    };
    let fleet = Fleet::start(spec).await?;
    let (_, digest) = fleet.gingerpier(&["token", TOKEN]).await?;
    let mut commands = format!(
        "set account observatory key {} rate 100; create model {MODEL} for lm",
        digest.trim()
    );
    for zone in &fleet.spec.zones {
        commands += &format!(
            "; serve {MODEL} in {} replicas {}",
            zone.name, zone.backends
        );
    }
    fleet.command(&commands).await?;
    fleet
        .create_version(MODEL, "v1", MEGABYTES, 1, None)
        .await?;
    let before: f64 = fleet
        .servers
        .iter()
        .map(|server| process::usage(server.child.id()).seconds)
        .sum();
    let start = Instant::now();
    fleet.command(&format!("roll out {MODEL} to v1")).await?;
    let seconds = loop {
        actix_rt::time::sleep(std::time::Duration::from_millis(LOOK_MILLIS)).await;
        let table = fleet.table("show engines").await?;
        let complete = table.rows.iter().filter(|row| is_complete(&row[7])).count();
        if complete == replicas {
            break start.elapsed().as_secs_f64();
        }
        if start.elapsed().as_secs_f64() > 10.0 * BOUND_SECONDS {
            return Err(Error::new(
                "waiting",
                "replicas",
                format!("{complete} of {replicas}"),
            ));
        }
    };
    let counts: Counts = fleet
        .read(fleet.origin.address("address"), "/counts")
        .await?;
    let usages: Vec<process::Usage> = fleet
        .servers
        .iter()
        .map(|server| process::usage(server.child.id()))
        .collect();
    let after: f64 = usages.iter().map(|usage| usage.seconds).sum();
    let resident: u64 = usages.iter().map(|usage| usage.resident).sum();
    let mut crossed = 0.0;
    for server in &fleet.servers {
        crossed += other_zone_bytes(&fleet, server.child.address("metrics")).await?;
    }
    Ok(Figures {
        seconds,
        origin_copies: counts.bytes as f64 / bytes,
        zone_crossings: crossed / bytes,
        cpu_seconds: (after - before) / replicas as f64,
        megabytes: resident as f64 / 1e6 / replicas as f64,
    })
}

fn is_complete(chunks: &str) -> bool {
    chunks
        .split_once('/')
        .is_some_and(|(held, wanted)| held == wanted && wanted != "0")
}

async fn other_zone_bytes(fleet: &Fleet, metrics: std::net::SocketAddr) -> Result<f64, Error> {
    let text = fleet.read_text(metrics, "/metrics").await?;
    let line = text
        .lines()
        .find(|line| line.contains("weights_taken") && line.contains("other_zone"));
    Ok(line
        .and_then(|line| line.rsplit(' ').next()?.parse().ok())
        .unwrap_or(0.0))
}
