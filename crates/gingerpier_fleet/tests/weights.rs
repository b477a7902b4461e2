//! Weights on real processes: what the origin is asked for, and what faults do.

use {
    gingerpier_fleet::{Caller, Error, Fleet, Spec, caller::Call, fleet::TOKEN, spec::Zone},
    gingerpier_standins::{
        engine::Ordered,
        link,
        origin::{Control, Counts},
    },
    std::time::Duration,
};

const MODEL: &str = "plate-notes";
const MEGABYTES: usize = 2;

/// Two zones with two backend servers each, one engine on each.
fn spec() -> Spec {
    let zone = |region, name| Zone {
        region,
        name,
        entries: 1,
        backends: 2,
    };
    Spec {
        zones: vec![
            zone("kerala-south", "trivandrum"),
            zone("kerala-north", "kozhikode"),
        ],
        engines: 1,
        services: Vec::new(),
        ..Spec::small()
    }
}

async fn origin_counts(fleet: &Fleet) -> Result<Counts, Error> {
    fleet.read(fleet.origin.address("address"), "/counts").await
}

fn weights_bytes(fleet: &Fleet, version: &str) -> u64 {
    let folder = fleet.folder.join("weights").join(MODEL).join(version);
    let files = std::fs::read_dir(folder).expect("the weights were written");
    let weights = files
        .flatten()
        .filter(|file| file.file_name() != "gingerpier.manifest");
    weights
        .map(|file| file.metadata().map_or(0, |metadata| metadata.len()))
        .sum()
}

#[actix_rt::test]
async fn the_origin_is_read_once_for_four_replicas() -> Result<(), Error> {
    let fleet = Fleet::start(spec()).await?;
    fleet.deploy(MODEL, MEGABYTES).await?;
    let counts = origin_counts(&fleet).await?;
    assert_eq!(counts.bytes, weights_bytes(&fleet, "v1"));
    Ok(())
}

#[actix_rt::test]
async fn spoilt_chunks_are_found_and_fetched_again() -> Result<(), Error> {
    let fleet = Fleet::start(spec()).await?;
    let origin = fleet.origin.address("address");
    fleet
        .control(
            origin,
            &Control {
                corrupt: 3,
                ..Control::default()
            },
        )
        .await?;
    fleet.deploy(MODEL, MEGABYTES).await?;
    let caller = Caller::new(fleet.entries[0].child.address("callers"), TOKEN);
    let answer = caller.call(Call::model(MODEL, "p", 4)).await?;
    assert!(answer.whole && answer.tokens().1, "{answer:?}");
    // Each spoilt chunk was read once more, and nothing else was.
    let counts = origin_counts(&fleet).await?;
    let extra = counts.bytes - weights_bytes(&fleet, "v1");
    assert!(
        extra > 0 && extra <= 3 * 262_144,
        "{extra} bytes read again"
    );
    Ok(())
}

#[actix_rt::test]
async fn a_refusing_origin_is_left_alone_as_it_asks() -> Result<(), Error> {
    let fleet = Fleet::start(spec()).await?;
    let origin = fleet.origin.address("address");
    fleet
        .control(
            origin,
            &Control {
                refuse: 6,
                ..Control::default()
            },
        )
        .await?;
    fleet.deploy(MODEL, MEGABYTES).await?;
    let counts = origin_counts(&fleet).await?;
    assert_eq!(counts.refused, 6);
    assert_eq!(counts.bytes, weights_bytes(&fleet, "v1"));
    Ok(())
}

#[actix_rt::test]
async fn a_version_too_large_for_the_memory_is_refused_before_anything_moves() -> Result<(), Error>
{
    let weights = "  chunk_memory: 1MB\n".to_owned();
    let fleet = Fleet::start(Spec { weights, ..spec() }).await?;
    let (_, digest) = fleet.gingerpier(&["token", TOKEN]).await?;
    let account = format!("set account observatory key {} rate 100", digest.trim());
    fleet
        .command(&format!(
            "{account}; create model {MODEL} for lm; serve {MODEL} in trivandrum replicas 1"
        ))
        .await?;
    fleet
        .create_version(MODEL, "v1", MEGABYTES, 1, None)
        .await?;
    fleet.command(&format!("roll out {MODEL} to v1")).await?;
    fleet
        .until("the refusal is told", || async {
            let table = fleet.table("show engines in trivandrum").await?;
            let told = table
                .rows
                .iter()
                .any(|row| row[11].contains("chunk_memory"));
            Ok(if told {
                Ok(())
            } else {
                Err(format!("{:?}", table.rows))
            })
        })
        .await?;
    assert_eq!(origin_counts(&fleet).await?.calls, 0);
    Ok(())
}

/// Rolls a first version of so many megabytes out, until some of its chunks have moved.
async fn roll_out_midway(fleet: &Fleet, megabytes: usize) -> Result<(), Error> {
    let (_, digest) = fleet.gingerpier(&["token", TOKEN]).await?;
    let account = format!("set account observatory key {} rate 100", digest.trim());
    let serve =
        "serve plate-notes in trivandrum replicas 2; serve plate-notes in kozhikode replicas 2";
    fleet
        .command(&format!("{account}; create model {MODEL} for lm; {serve}"))
        .await?;
    fleet
        .create_version(MODEL, "v1", megabytes, 1, None)
        .await?;
    fleet.command(&format!("roll out {MODEL} to v1")).await?;
    fleet
        .until("some chunks have moved", || async {
            let table = fleet.table("show loading").await?;
            let moved = table.rows.iter().any(|row| !row[7].starts_with("0/"));
            Ok(if moved {
                Ok(())
            } else {
                Err(format!("{:?}", table.rows))
            })
        })
        .await
}

#[actix_rt::test]
async fn a_receiver_killed_midway_and_started_anew_is_completed_by_its_peers() -> Result<(), Error>
{
    let weights = "  send: 2MB/s\n  receive: 2MB/s\n".to_owned();
    let mut fleet = Fleet::start(Spec { weights, ..spec() }).await?;
    roll_out_midway(&fleet, 4).await?;
    fleet.restart_server(0)?;
    fleet.until_live(MODEL, "v1").await?;
    for server in &fleet.servers {
        let orders: Vec<Ordered> = fleet
            .read(server.engines[0].address("address"), "/orders")
            .await?;
        assert!(
            orders.iter().any(|order| order.order == "activate"),
            "{}",
            server.name
        );
    }
    Ok(())
}

#[actix_rt::test]
async fn a_newer_version_takes_the_place_of_one_under_way() -> Result<(), Error> {
    let weights = "  send: 2MB/s\n  receive: 2MB/s\n".to_owned();
    let fleet = Fleet::start(Spec { weights, ..spec() }).await?;
    fleet.deploy(MODEL, MEGABYTES).await?;
    fleet.create_version(MODEL, "v2", 4, 2, None).await?;
    fleet.create_version(MODEL, "v3", 4, 3, None).await?;
    fleet
        .command(&format!("roll out {MODEL} to v2 steps 50,100"))
        .await?;
    let refused = fleet.operate(&format!("roll out {MODEL} to v3")).await?;
    assert!(
        format!("{refused:?}").contains("is being rolled out to `v2`"),
        "{refused:?}"
    );
    fleet
        .command(&format!("roll out {MODEL} to v3 replacing"))
        .await?;
    fleet.until_live(MODEL, "v3").await?;
    let caller = Caller::new(fleet.entries[1].child.address("callers"), TOKEN);
    for _ in 0..8 {
        let answer = caller.call(Call::model(MODEL, "p", 4)).await?;
        assert_eq!(answer.version.as_deref(), Some("plate-notes@v3"));
    }
    Ok(())
}

/// Four backend servers that pass small chunks on at a slow pace.
fn slow_spec(terms: &str) -> Spec {
    Spec {
        weights: format!("  send: 500kB/s\n  receive: 500kB/s\n{terms}"),
        chunk_bytes: 65_536,
        ..spec()
    }
}

/// Lines about `event` in the log of a backend server.
fn lines_about(fleet: &Fleet, server: usize, event: &str) -> Vec<String> {
    let name = &fleet.servers[server].name;
    let log = fleet.log(name);
    assert!(log.contains("event=started"), "{name} has no log");
    let lines = log.lines().filter(|line| line.contains(event));
    lines.map(ToOwned::to_owned).collect()
}

/// Deploys, and checks that no backend server logged `event`.
async fn deploy_without(event: &str, fleet: &Fleet) -> Result<(), Error> {
    fleet.deploy(MODEL, MEGABYTES).await?;
    for (index, server) in fleet.servers.iter().enumerate() {
        assert_eq!(lines_about(fleet, index, event), [""; 0], "{}", server.name);
    }
    Ok(())
}

/// Starts a fleet at a slow pace, deploys, and checks that no backend server logged `event`.
async fn deploy_slowly_without(event: &str, terms: &str) -> Result<Fleet, Error> {
    let fleet = Fleet::start(slow_spec(terms)).await?;
    deploy_without(event, &fleet).await?;
    Ok(fleet)
}

#[actix_rt::test]
async fn a_source_that_was_given_up_adds_nothing_to_a_chunk() -> Result<(), Error> {
    // So slow a pace, under so many chunks at once, that sources stall all the time.
    deploy_slowly_without("chunk_corrupt", "  window: 24\n  stall: 300ms\n").await?;
    Ok(())
}

#[actix_rt::test]
async fn nobody_gives_up_a_source_that_is_only_waiting_itself() -> Result<(), Error> {
    // At this pace a chunk is awaited for longer than a stall may last, while others come.
    let fleet = deploy_slowly_without("source_stalled", "  stall: 1s\n").await?;
    let counts = origin_counts(&fleet).await?;
    assert_eq!(counts.bytes, weights_bytes(&fleet, "v1"));
    Ok(())
}

#[actix_rt::test]
async fn a_source_says_that_it_waits_as_often_when_it_waits_for_its_own_link() -> Result<(), Error>
{
    // Less than two words apart. A chunk that arrives is sent on only behind others, so that all
    // questions wait twice: for their chunk, and for the link.
    deploy_slowly_without("source_stalled", "  stall: 550ms\n").await?;
    Ok(())
}

#[actix_rt::test]
async fn questions_at_a_far_source_do_not_queue_for_their_links() -> Result<(), Error> {
    // One handshake fits well into a stall; a dozen, one after another, do not.
    const DELAY_MILLIS: u64 = 60;
    let spec = Spec {
        links: true,
        ..slow_spec("  stall: 1s\n")
    };
    let fleet = Fleet::start(spec).await?;
    let far = link::Control {
        delay_millis: DELAY_MILLIS,
        ..link::Control::default()
    };
    for server in &fleet.servers {
        let link = server.link.as_ref().expect("there is a link");
        fleet.control(link.address("control"), &far).await?;
    }
    deploy_without("source_stalled", &fleet).await
}

#[actix_rt::test]
async fn a_process_that_did_not_run_for_a_while_gives_up_no_source() -> Result<(), Error> {
    // Longer than a stall may last, and shorter than a link may be silent.
    const FROZEN: Duration = Duration::from_millis(1_500);
    let fleet = Fleet::start(slow_spec("  stall: 1s\n")).await?;
    roll_out_midway(&fleet, MEGABYTES).await?;
    let frozen = &fleet.servers[0].child;
    frozen.freeze();
    actix_rt::time::sleep(FROZEN).await;
    frozen.thaw();
    fleet.until_live(MODEL, "v1").await?;
    // The others may have given it up: it did say nothing. It has no reason to give them up.
    assert_eq!(lines_about(&fleet, 0, "source_stalled"), [""; 0]);
    Ok(())
}

#[actix_rt::test]
async fn a_source_that_did_not_run_for_less_than_a_stall_is_given_up_by_nobody() -> Result<(), Error>
{
    // A word may have been due just before; the rest of the stall is for speaking again.
    const FROZEN: Duration = Duration::from_millis(350);
    const RUNNING: Duration = Duration::from_millis(650);
    const TIMES: usize = 4;
    let fleet = Fleet::start(slow_spec("  stall: 550ms\n")).await?;
    roll_out_midway(&fleet, MEGABYTES).await?;
    for server in fleet.servers.iter().cycle().take(TIMES) {
        server.child.freeze();
        actix_rt::time::sleep(FROZEN).await;
        server.child.thaw();
        actix_rt::time::sleep(RUNNING).await;
    }
    fleet.until_live(MODEL, "v1").await?;
    for index in 0..fleet.servers.len() {
        assert_eq!(lines_about(&fleet, index, "source_stalled"), [""; 0]);
    }
    Ok(())
}

#[actix_rt::test]
async fn a_source_that_hears_late_of_its_assignment_is_waited_for() -> Result<(), Error> {
    // Its peers have heard, and ask it on the links that the first version left.
    const FROZEN: Duration = Duration::from_millis(1_200);
    // One for each zone, so that the rollout has one step.
    let mut spec = slow_spec("");
    spec.zones.iter_mut().for_each(|zone| zone.backends = 1);
    let fleet = Fleet::start(spec).await?;
    fleet.deploy(MODEL, MEGABYTES).await?;
    fleet
        .create_version(MODEL, "v2", MEGABYTES, 2, None)
        .await?;
    let late = &fleet.servers[0].child;
    late.freeze();
    let roll_out = format!("roll out {MODEL} to v2 steps 100");
    let rolled_out = fleet.command(&roll_out);
    let (rolled_out, ()) = futures_util::join!(rolled_out, async {
        actix_rt::time::sleep(FROZEN).await;
        late.thaw();
    });
    rolled_out?;
    fleet.until_live(MODEL, "v2").await?;
    let wanted = weights_bytes(&fleet, "v1") + weights_bytes(&fleet, "v2");
    assert_eq!(origin_counts(&fleet).await?.bytes, wanted);
    Ok(())
}
