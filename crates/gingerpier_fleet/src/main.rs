//! `gingerpier-demo`: deploys, upgrades and drains a small local fleet and prints the results.

use {
    gingerpier_fleet::{Caller, Error, Fleet, Spec, caller::RequestSpec, fleet::TOKEN},
    gingerpier_standins::{engine::Run, origin::Counts},
    http::Method,
    std::{env, process::ExitCode, time::Instant},
};

/// Size of each version's weights, in megabytes.
const WEIGHTS_MEGABYTES: usize = 32;
/// Number of requests sent during the upgrade.
const UPGRADE_REQUESTS: usize = 60;

fn main() -> ExitCode {
    match actix_rt::System::new().block_on(run()) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("gingerpier-demo: {error}");
            ExitCode::FAILURE
        }
    }
}

fn print_heading(text: &str) {
    println!("\n== {text}");
}

async fn run() -> Result<(), Error> {
    let folder = env::temp_dir().join(format!("gingerpier-demo-{:08x}", fastrand::u32(..)));
    let start = Instant::now();
    print_heading(
        "Starting two regions: 2 entry boxes, 2 backend servers, 4 model engines, 2 plain services",
    );
    let fleet = Fleet::start_in(folder, Spec::small(), false).await?;
    let processes = 3
        + fleet.entries.len()
        + fleet
            .servers
            .iter()
            .map(|server| 1 + server.engines.len() + server.services.len())
            .sum::<usize>();
    println!(
        "{processes} processes run after {:.1} s",
        start.elapsed().as_secs_f64()
    );
    first_version(&fleet).await?;
    let caller = Caller::new(fleet.entries[0].child.address("callers"), TOKEN);
    send_requests(&caller).await?;
    upgrade(&fleet, &caller).await?;
    drain_and_stop(&fleet, &caller).await?;
    print_heading("What operators did, from the audit trail");
    show(&fleet, "show audit last 30").await?;
    print_heading(&format!(
        "All of it took {:.1} s; every process is being ended",
        start.elapsed().as_secs_f64()
    ));
    Ok(())
}

async fn show(fleet: &Fleet, query: &str) -> Result<(), Error> {
    println!("$ gingerpier do {query}");
    let (_, text) = fleet.gingerpier(&["do", query]).await?;
    println!("{}", text.trim_end());
    Ok(())
}

async fn first_version(fleet: &Fleet) -> Result<(), Error> {
    print_heading(&format!(
        "An operator creates a model and a version of {WEIGHTS_MEGABYTES} MB of safetensors, and rolls it out"
    ));
    let start = Instant::now();
    fleet.deploy("plate-notes", WEIGHTS_MEGABYTES).await?;
    let seconds = start.elapsed().as_secs_f64();
    let counts: Counts = fleet
        .read(fleet.origin.address("address"), "/counts")
        .await?;
    let copies = counts.bytes as f64 / (WEIGHTS_MEGABYTES as f64 * 1e6);
    println!(
        "live on 4 engines of 2 backend servers in {seconds:.1} s; the origin gave {copies:.2} copies"
    );
    show(fleet, "show loaded").await
}

async fn send_requests(caller: &Caller) -> Result<(), Error> {
    print_heading("A caller streams an answer, and a plain service is reached beside it");
    let response = caller
        .send(RequestSpec::model(
            "plate-notes",
            "Note for plate 1893-07",
            12,
        ))
        .await?;
    let (tokens, done) = response.tokens();
    println!(
        "{} answered with {} tokens, whole: {}",
        response.version.unwrap_or_default(),
        tokens.len(),
        done && response.is_complete
    );
    let record = caller
        .send(RequestSpec::new(
            Method::GET,
            "/services/plates/record/1893-07",
            Vec::new(),
        ))
        .await?;
    println!("plates answered {}: {}", record.status, record.body.trim());
    let ticket = caller.ticket().await?;
    let annotate = || {
        RequestSpec::new(
            Method::POST,
            "/services/plates/annotations",
            b"{\"plate\":1}".to_vec(),
        )
        .once(&ticket)
    };
    let first = caller.send(annotate()).await?;
    let second = caller.send(annotate()).await?;
    println!(
        "an annotation under a ticket: {}; sent again with the same ticket: {} ({})",
        first.status,
        second.status,
        second.outcome.unwrap_or_default()
    );
    Ok(())
}

async fn upgrade(fleet: &Fleet, caller: &Caller) -> Result<(), Error> {
    print_heading(&format!(
        "Version v2 is rolled out by steps while {UPGRADE_REQUESTS} requests run"
    ));
    fleet
        .create_version("plate-notes", "v2", WEIGHTS_MEGABYTES, 2, None)
        .await?;
    fleet
        .command("roll out plate-notes to v2 steps 50,100")
        .await?;
    let mut complete = 0;
    let mut by_version = std::collections::BTreeMap::new();
    for number in 0..UPGRADE_REQUESTS {
        let response = caller
            .send(RequestSpec::model(
                "plate-notes",
                &format!("Note {number}"),
                24,
            ))
            .await?;
        let (tokens, done) = response.tokens();
        complete += usize::from(done && response.is_complete && tokens.len() == 24);
        *by_version
            .entry(response.version.unwrap_or_default())
            .or_insert(0) += 1;
    }
    fleet.until_live("plate-notes", "v2").await?;
    println!("{complete} of {UPGRADE_REQUESTS} answers were whole; answered by {by_version:?}");
    show(fleet, "show live").await
}

async fn drain_and_stop(fleet: &Fleet, caller: &Caller) -> Result<(), Error> {
    print_heading("A backend server is drained, then the other is asked for everything");
    let drained = &fleet.servers[0];
    fleet.command(&format!("drain {}", drained.name)).await?;
    let runs_of = async |index: usize| {
        let mut runs = 0;
        for engine in &fleet.servers[index].engines {
            runs += fleet
                .read::<Vec<Run>>(engine.address("address"), "/history")
                .await?
                .len();
        }
        Ok::<_, Error>(runs)
    };
    actix_rt::time::sleep(std::time::Duration::from_secs(1)).await;
    let before = (runs_of(0).await?, runs_of(1).await?);
    for number in 0..10 {
        caller
            .send(RequestSpec::model(
                "plate-notes",
                &format!("After the drain {number}"),
                4,
            ))
            .await?;
    }
    let after = (runs_of(0).await?, runs_of(1).await?);
    println!(
        "new runs at {}: {}; at {}: {}",
        drained.name,
        after.0 - before.0,
        fleet.servers[1].name,
        after.1 - before.1
    );
    show(fleet, "show draining").await?;
    fleet.command(&format!("undrain {}", drained.name)).await?;
    fleet.operate(&format!("stop {}", drained.name)).await?;
    fleet
        .until("the stopped server is gone from the alive", || async {
            let table = fleet.table("show boxes").await?;
            let state = table
                .rows
                .iter()
                .find(|row| row[0] == drained.name)
                .map(|row| row[4].clone());
            Ok(if state.as_deref() == Some("alive") {
                Err(format!("{state:?}"))
            } else {
                Ok(())
            })
        })
        .await?;
    println!("{} was stopped", drained.name);
    show(fleet, "show boxes").await
}
