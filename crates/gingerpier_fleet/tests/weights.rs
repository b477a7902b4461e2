//! Weight distribution on real processes: origin traffic and faults.

use {
    gingerpier_fleet::{Caller, Error, Fleet, Spec, caller::RequestSpec, fleet::TOKEN, spec::Zone},
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
async fn origin_sends_one_copy_for_four_replicas() -> Result<(), Error> {
    let fleet = Fleet::start(spec()).await?;
    fleet.deploy(MODEL, MEGABYTES).await?;
    let counts = origin_counts(&fleet).await?;
    assert_eq!(counts.bytes, weights_bytes(&fleet, "v1"));
    Ok(())
}

#[actix_rt::test]
async fn corrupt_chunks_are_detected_and_refetched() -> Result<(), Error> {
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
    let response = caller.send(RequestSpec::model(MODEL, "p", 4)).await?;
    assert!(response.is_complete && response.tokens().1, "{response:?}");
    // Only the corrupt chunks were fetched twice.
    let counts = origin_counts(&fleet).await?;
    let refetched_bytes = counts.bytes - weights_bytes(&fleet, "v1");
    assert!(
        refetched_bytes > 0 && refetched_bytes <= 3 * 262_144,
        "{refetched_bytes} bytes read again"
    );
    Ok(())
}

#[actix_rt::test]
async fn refusing_origin_is_retried_only_after_its_delay() -> Result<(), Error> {
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
async fn version_larger_than_chunk_memory_is_refused_before_transfer() -> Result<(), Error> {
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
        .until("the refusal is reported", || async {
            let table = fleet.table("show engines in trivandrum").await?;
            let reported = table
                .rows
                .iter()
                .any(|row| row[11].contains("chunk_memory"));
            Ok(if reported {
                Ok(())
            } else {
                Err(format!("{:?}", table.rows))
            })
        })
        .await?;
    assert_eq!(origin_counts(&fleet).await?.calls, 0);
    Ok(())
}

/// Starts the rollout of a first version and waits until some of its chunks are transferred.
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
        .until("some chunks are transferred", || async {
            let table = fleet.table("show loading").await?;
            let has_progress = table.rows.iter().any(|row| !row[7].starts_with("0/"));
            Ok(if has_progress {
                Ok(())
            } else {
                Err(format!("{:?}", table.rows))
            })
        })
        .await
}

#[actix_rt::test]
async fn restarted_receiver_completes_from_its_peers() -> Result<(), Error> {
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
async fn replacing_rollout_supersedes_one_in_progress() -> Result<(), Error> {
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
        let response = caller.send(RequestSpec::model(MODEL, "p", 4)).await?;
        assert_eq!(response.version.as_deref(), Some("plate-notes@v3"));
    }
    Ok(())
}

/// Four backend servers with small chunks and limited bandwidth.
fn slow_spec(settings: &str) -> Spec {
    Spec {
        weights: format!("  send: 500kB/s\n  receive: 500kB/s\n{settings}"),
        chunk_bytes: 65_536,
        ..spec()
    }
}

/// Log lines of a backend server that contain `event`.
fn log_lines(fleet: &Fleet, server: usize, event: &str) -> Vec<String> {
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
        assert_eq!(log_lines(fleet, index, event), [""; 0], "{}", server.name);
    }
    Ok(())
}

/// Starts a fleet with limited bandwidth, deploys, and checks that no server logged `event`.
async fn deploy_slowly_without(event: &str, settings: &str) -> Result<Fleet, Error> {
    let fleet = Fleet::start(slow_spec(settings)).await?;
    deploy_without(event, &fleet).await?;
    Ok(fleet)
}

#[actix_rt::test]
async fn abandoned_source_does_not_corrupt_a_chunk() -> Result<(), Error> {
    // Low bandwidth and many concurrent chunks, so that sources stall all the time.
    deploy_slowly_without("chunk_corrupt", "  window: 24\n  stall: 300ms\n").await?;
    Ok(())
}

#[actix_rt::test]
async fn nobody_gives_up_a_source_that_is_only_waiting_itself() -> Result<(), Error> {
    // At this bandwidth a chunk takes longer than the stall timeout while others arrive.
    let fleet = deploy_slowly_without("source_stalled", "  stall: 1s\n").await?;
    let counts = origin_counts(&fleet).await?;
    assert_eq!(counts.bytes, weights_bytes(&fleet, "v1"));
    Ok(())
}

#[actix_rt::test]
async fn source_waiting_for_its_link_still_sends_pending_frames() -> Result<(), Error> {
    // Shorter than two intervals of pending frames. Chunks also queue for the link, so that requests
    // wait for the chunk and for the link.
    deploy_slowly_without("source_stalled", "  stall: 550ms\n").await?;
    Ok(())
}

#[actix_rt::test]
async fn requests_to_distant_source_do_not_queue_for_handshakes() -> Result<(), Error> {
    // One handshake takes less than the stall timeout; a dozen sequential ones take more.
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
        let link = server.link.as_ref().expect("link is configured");
        fleet.control(link.address("control"), &far).await?;
    }
    deploy_without("source_stalled", &fleet).await
}

#[actix_rt::test]
async fn suspended_receiver_abandons_no_source() -> Result<(), Error> {
    // Longer than the stall timeout, shorter than the idle timeout of a link.
    const SUSPENSION: Duration = Duration::from_millis(1_500);
    let fleet = Fleet::start(slow_spec("  stall: 1s\n")).await?;
    roll_out_midway(&fleet, MEGABYTES).await?;
    let frozen = &fleet.servers[0].child;
    frozen.freeze();
    actix_rt::time::sleep(SUSPENSION).await;
    frozen.thaw();
    fleet.until_live(MODEL, "v1").await?;
    // Peers may abandon the silent process, but it must not abandon its sources.
    assert_eq!(log_lines(&fleet, 0, "source_stalled"), [""; 0]);
    Ok(())
}

#[actix_rt::test]
async fn a_source_that_did_not_run_for_less_than_a_stall_is_given_up_by_nobody() -> Result<(), Error>
{
    // Leaves time within the stall timeout for a pending frame that was due before the suspension.
    const SUSPENSION: Duration = Duration::from_millis(350);
    const RUN_TIME: Duration = Duration::from_millis(650);
    const TIMES: usize = 4;
    let fleet = Fleet::start(slow_spec("  stall: 550ms\n")).await?;
    roll_out_midway(&fleet, MEGABYTES).await?;
    for server in fleet.servers.iter().cycle().take(TIMES) {
        server.child.freeze();
        actix_rt::time::sleep(SUSPENSION).await;
        server.child.thaw();
        actix_rt::time::sleep(RUN_TIME).await;
    }
    fleet.until_live(MODEL, "v1").await?;
    for index in 0..fleet.servers.len() {
        assert_eq!(log_lines(&fleet, index, "source_stalled"), [""; 0]);
    }
    Ok(())
}

#[actix_rt::test]
async fn source_with_delayed_assignment_is_awaited() -> Result<(), Error> {
    // Its peers know the assignment, and request chunks on the links that are already open.
    const SUSPENSION: Duration = Duration::from_millis(1_200);
    // One backend server per zone, so that the rollout has one step.
    let mut spec = slow_spec("");
    spec.zones.iter_mut().for_each(|zone| zone.backends = 1);
    let fleet = Fleet::start(spec).await?;
    fleet.deploy(MODEL, MEGABYTES).await?;
    fleet
        .create_version(MODEL, "v2", MEGABYTES, 2, None)
        .await?;
    let delayed = &fleet.servers[0].child;
    delayed.freeze();
    let roll_out = format!("roll out {MODEL} to v2 steps 100");
    let rolled_out = fleet.command(&roll_out);
    let (rolled_out, ()) = futures_util::join!(rolled_out, async {
        actix_rt::time::sleep(SUSPENSION).await;
        delayed.thaw();
    });
    rolled_out?;
    fleet.until_live(MODEL, "v2").await?;
    let expected_bytes = weights_bytes(&fleet, "v1") + weights_bytes(&fleet, "v2");
    assert_eq!(origin_counts(&fleet).await?.bytes, expected_bytes);
    Ok(())
}
