//! Configuration, keys and operator commands on real processes, with outages and races.

use {
    gingerpier_daemon::operator_api::StatementResponse,
    gingerpier_fleet::{Error, Fleet, Spec, caller::RequestSpec, spec::Zone},
    gingerpier_standins::{
        engine::Ordered,
        key_value::{Control, Counts},
        link,
    },
    std::{os::unix::fs::PermissionsExt, time::Duration},
};

const MODEL: &str = "pairing";

async fn start(spec: Spec) -> Result<Fleet, Error> {
    let fleet = Fleet::start(spec).await?;
    fleet.deploy(MODEL, 1).await?;
    Ok(fleet)
}

async fn sleep(millis: u64) {
    actix_rt::time::sleep(Duration::from_millis(millis)).await;
}

async fn key_value(fleet: &Fleet, control: Control) -> Result<(), Error> {
    fleet
        .control(fleet.key_value.address("address"), &control)
        .await
}

async fn check_served(fleet: &Fleet, entry: usize) -> Result<(), Error> {
    let response = fleet
        .caller(entry)
        .send(RequestSpec::model(MODEL, "p", 3))
        .await?;
    assert!(response.is_complete && response.tokens().1, "{response:?}");
    Ok(())
}

/// Waits until all boxes report `revision` or a newer one.
async fn until_in_force(fleet: &Fleet, revision: u64) -> Result<(), Error> {
    fleet
        .until(
            &format!("revision {revision} is in force everywhere"),
            || async {
                let table = fleet.table("show revisions").await?;
                let late = table
                    .rows
                    .iter()
                    .any(|row| row[2].parse::<u64>().unwrap_or(0) < revision);
                Ok(if late {
                    Err(format!("{:?}", table.rows))
                } else {
                    Ok(())
                })
            },
        )
        .await
}

#[actix_rt::test]
async fn write_with_lost_response_takes_effect_once() -> Result<(), Error> {
    let fleet = start(Spec::small()).await?;
    key_value(
        &fleet,
        Control {
            silent_writes: 1,
            ..Control::default()
        },
    )
    .await?;
    let answered = fleet.operate("create model lost-answer for lm").await?;
    assert!(
        matches!(answered, StatementResponse::Accepted { repeated: true, .. }),
        "{answered:?}"
    );
    let table = fleet.table("show audit last 100").await?;
    let count = table
        .rows
        .iter()
        .filter(|row| row[4].contains("lost-answer"))
        .count();
    assert_eq!(count, 1, "{:?}", table.rows);
    Ok(())
}

#[actix_rt::test]
async fn retry_with_same_identity_takes_effect_once() -> Result<(), Error> {
    let fleet = start(Spec::small()).await?;
    let identity = ["--identity", "000000000000000000000000000000aa"];
    let statement = "create model repeated for lm";
    let first = fleet.operate_with(&identity, statement).await?;
    let StatementResponse::Accepted {
        revision,
        repeated: false,
        ..
    } = first
    else {
        panic!("{first:?}")
    };
    let again = fleet.operate_with(&identity, statement).await?;
    assert!(
        matches!(again, StatementResponse::Accepted { revision: same, repeated: true, .. } if same == revision),
        "{again:?}"
    );
    Ok(())
}

#[actix_rt::test]
async fn one_of_two_concurrent_rollouts_is_refused() -> Result<(), Error> {
    let fleet = start(Spec::small()).await?;
    for version in ["v2", "v3"] {
        fleet.create_version(MODEL, version, 1, 7, None).await?;
    }
    let statement = |version| format!("roll out {MODEL} to {version}");
    let (one, other) = (statement("v2"), statement("v3"));
    let (one, other) = futures_util::join!(fleet.operate(&one), fleet.operate(&other));
    let answers = [one?, other?];
    let accepted = answers
        .iter()
        .filter(|response| matches!(response, StatementResponse::Accepted { .. }))
        .count();
    assert_eq!(accepted, 1, "{answers:?}");
    let reported = answers.iter().any(|response| {
        matches!(response, StatementResponse::Refused { why, last_change: Some(change), .. }
            if why.contains("is being rolled out") && change.contains("by "))
    });
    assert!(reported, "{answers:?}");
    Ok(())
}

#[actix_rt::test]
async fn key_value_outage_blocks_only_configuration_changes() -> Result<(), Error> {
    let mut fleet = start(Spec::small()).await?;
    let revision = fleet
        .command("create model before-the-outage for lm")
        .await?;
    key_value(
        &fleet,
        Control {
            outage: true,
            ..Control::default()
        },
    )
    .await?;
    let (code, reported) = fleet
        .gingerpier(&["do", "create model during-the-outage for lm"])
        .await?;
    assert_eq!(code, 3, "{reported}");
    assert!(reported.contains("nothing was changed"), "{reported}");
    check_served(&fleet, 0).await?;
    // An entry box that starts during the outage gets the configuration from its peers.
    let zone = fleet.spec.zones[0].clone();
    fleet.add_entry(&zone, 7)?;
    fleet.publish().await?;
    until_in_force(&fleet, revision).await?;
    let newest = fleet.entries.len() - 1;
    fleet
        .until("the new entry box serves", || async {
            let response = fleet
                .caller(newest)
                .send(RequestSpec::model(MODEL, "p", 3))
                .await?;
            Ok(if response.is_complete && response.status == 200 {
                Ok(())
            } else {
                Err(format!("{response:?}"))
            })
        })
        .await?;
    key_value(&fleet, Control::default()).await?;
    let after = fleet
        .command("create model after-the-outage for lm")
        .await?;
    assert_eq!(after, revision + 1);
    Ok(())
}

#[actix_rt::test]
async fn planner_suspended_past_its_lease_makes_no_changes() -> Result<(), Error> {
    let zone = |region, name| Zone {
        region,
        name,
        entries: 2,
        backends: 1,
    };
    let zones = vec![
        zone("kerala-south", "trivandrum"),
        zone("kerala-north", "kozhikode"),
    ];
    let fleet = start(Spec {
        zones,
        ..Spec::small()
    })
    .await?;
    let table = fleet.table("show audit last 100").await?;
    let planner = table
        .rows
        .iter()
        .find_map(|row| row[2].strip_prefix("planner/"));
    let planner = planner.expect("planner is in the audit trail").to_owned();
    let suspended = fleet
        .entries
        .iter()
        .find(|entry| entry.name == planner)
        .expect("planner is an entry box");
    fleet.create_version(MODEL, "v2", 1, 7, None).await?;
    suspended.child.freeze();
    let _ = fleet.operate(&format!("roll out {MODEL} to v2")).await?;
    fleet.until_live(MODEL, "v2").await?;
    let before = fleet.table("show audit last 100").await?.rows.len();
    suspended.child.thaw();
    sleep(3_000).await;
    check_served(&fleet, 0).await?;
    let rows = fleet.table("show audit last 100").await?.rows;
    let by_suspended = rows[before..]
        .iter()
        .filter(|row| row[2].ends_with(&planner))
        .count();
    assert_eq!(by_suspended, 0, "{rows:?}");
    for engine in fleet.servers.iter().flat_map(|server| &server.engines) {
        let orders: Vec<Ordered> = fleet.read(engine.address("address"), "/orders").await?;
        assert!(
            orders
                .iter()
                .all(|order| order.fence >= order.highest_before),
            "{orders:?}"
        );
    }
    Ok(())
}

#[actix_rt::test]
async fn restarted_backend_sends_no_orders_before_its_revision_is_confirmed() -> Result<(), Error> {
    // Slow weight transfer, so that the load order falls into the outage.
    let weights = "  receive: 300kB/s\n".to_owned();
    let mut fleet = start(Spec {
        weights,
        ..Spec::small()
    })
    .await?;
    let engine = fleet.servers[0].engines[0].address("address");
    let orders = async |fleet: &Fleet| -> Result<usize, Error> {
        Ok(fleet.read::<Vec<Ordered>>(engine, "/orders").await?.len())
    };
    fleet.create_version(MODEL, "v2", 1, 7, None).await?;
    fleet.command(&format!("roll out {MODEL} to v2")).await?;
    fleet
        .until("the first engine is assigned the new version", || async {
            let name = fleet.servers[0].engines[0].name();
            let table = fleet.table("show engines").await?;
            let row = table
                .rows
                .iter()
                .find(|row| row[0] == name)
                .cloned()
                .unwrap_or_default();
            let assigned = row.get(6).is_some_and(|version| version.ends_with("@v2"));
            Ok(if assigned {
                Ok(())
            } else {
                Err(format!("{row:?}"))
            })
        })
        .await?;
    let before = orders(&fleet).await?;
    key_value(
        &fleet,
        Control {
            outage: true,
            ..Control::default()
        },
    )
    .await?;
    fleet.restart_server(0)?;
    fleet
        .until("the backend reports why it sends no order", || async {
            let table = fleet.table("show engines in trivandrum").await?;
            let reported = table
                .rows
                .iter()
                .any(|row| row[11].contains("has not confirmed"));
            Ok(if reported {
                Ok(())
            } else {
                Err(format!("{:?}", table.rows))
            })
        })
        .await?;
    assert_eq!(orders(&fleet).await?, before);
    // The engine still serves its loaded version.
    check_served(&fleet, 0).await?;
    key_value(&fleet, Control::default()).await?;
    fleet.until_live(MODEL, "v2").await?;
    assert!(orders(&fleet).await? > before);
    Ok(())
}

#[actix_rt::test]
async fn isolated_server_catches_up_after_reconnecting() -> Result<(), Error> {
    let fleet = start(Spec {
        links: true,
        ..Spec::small()
    })
    .await?;
    let control = fleet.servers[0]
        .link
        .as_ref()
        .expect("link is configured")
        .address("control");
    let cut = link::Control {
        state: link::Passage::Cut,
        ..link::Control::default()
    };
    fleet.control(control, &cut).await?;
    fleet
        .until("the server is suspect", || async {
            let table = fleet.table("show boxes").await?;
            let row = table
                .rows
                .iter()
                .find(|row| row[0] == fleet.servers[0].name);
            let state = row.map(|row| row[4].clone()).unwrap_or_default();
            Ok(if state == "suspect" {
                Ok(())
            } else {
                Err(state)
            })
        })
        .await?;
    let answered = fleet
        .operate_with(&["--wait-millis", "300"], "create model cut for lm")
        .await?;
    let StatementResponse::Accepted {
        revision, behind, ..
    } = answered
    else {
        panic!("{answered:?}")
    };
    assert_eq!(behind, [fleet.servers[0].name.clone()]);
    check_served(&fleet, 0).await?;
    fleet.control(control, &link::Control::default()).await?;
    until_in_force(&fleet, revision).await?;
    check_served(&fleet, 0).await
}

#[actix_rt::test]
async fn idle_fleet_makes_few_key_value_calls() -> Result<(), Error> {
    let fleet = start(Spec::small()).await?;
    sleep(1_000).await;
    let address = fleet.key_value.address("address");
    let before: Counts = fleet.read(address, "/counts").await?;
    sleep(5_000).await;
    let after: Counts = fleet.read(address, "/counts").await?;
    let calls = |counts: &Counts| counts.reads + counts.writes + counts.leases;
    // Lease renewals every 2 s, and the polls of the standby planner.
    assert!(calls(&after) - calls(&before) <= 8, "{before:?}, {after:?}");
    assert_eq!(after.writes, before.writes);
    assert!(
        after.watches_open <= 2 * fleet.spec.zones.len() as u64,
        "{after:?}"
    );
    Ok(())
}

#[actix_rt::test]
async fn only_operators_are_authorized_and_keys_reload_without_restart() -> Result<(), Error> {
    let fleet = start(Spec::small()).await?;
    let keys = fleet.folder.join("keys");
    let stranger = fleet.folder.join("stranger");
    let settings = std::fs::read_to_string(fleet.operator_settings()).expect("settings exist");
    let entries = settings
        .lines()
        .find(|line| line.starts_with("entries"))
        .expect("settings contain entries");
    let with_keys = |name: &str, keys: &std::path::Path| {
        let path = fleet.folder.join(format!("{name}.yaml"));
        let text = format!("role: operator\nkeys: {}\n{entries}\n", keys.display());
        std::fs::write(&path, text).expect("the folder is writable");
        path.display().to_string()
    };
    let stranger_folder = stranger.display().to_string();
    fleet
        .gingerpier(&["keys", &stranger_folder, "--operator", "mallory"])
        .await?;
    let backend = keys.join("backend").join(&fleet.servers[0].name);
    let other = stranger.join("operator/mallory");
    for (name, folder) in [("as-backend", backend), ("as-stranger", other)] {
        let path = with_keys(name, &folder);
        let (code, reported) = fleet
            .gingerpier(&["--settings", &path, "do", "show boxes"])
            .await?;
        assert_eq!(code, 3, "{name}: {reported}");
    }
    // New keys of the same authority are loaded without a restart.
    let folder = keys.display().to_string();
    let name = fleet.entries[0].name.clone();
    fleet
        .gingerpier(&["keys", &folder, "--entry", &name])
        .await?;
    let key = keys.join("entry").join(&name).join("key.pem");
    let mode = std::fs::metadata(key)
        .expect("the key was written")
        .permissions()
        .mode();
    assert_eq!(mode & 0o077, 0, "others may read the key: {mode:o}");
    fleet
        .until("the new keys are in use", || async {
            Ok(if fleet.log(&name).contains("keys_renewed") {
                Ok(())
            } else {
                Err("not yet".to_owned())
            })
        })
        .await?;
    fleet.command("create model under-new-keys for lm").await?;
    check_served(&fleet, 0).await
}

#[actix_rt::test]
async fn adapter_is_served_with_its_base_before_and_after_rollback() -> Result<(), Error> {
    let fleet = start(Spec::small()).await?;
    fleet
        .command(&format!(
            "create adapter stewards on {MODEL}; serve stewards in trivandrum replicas 2"
        ))
        .await?;
    fleet
        .create_version("stewards", "a1", 1, 11, Some("v1"))
        .await?;
    fleet.command("roll out stewards to a1").await?;
    fleet.until_live("stewards", "a1").await?;
    let response = fleet
        .caller(0)
        .send(RequestSpec::model("stewards", "p", 3))
        .await?;
    assert!(
        response.is_complete && response.version.as_deref() == Some("stewards@a1"),
        "{response:?}"
    );
    check_served(&fleet, 0).await?;
    fleet.create_version(MODEL, "v2", 1, 7, None).await?;
    fleet.command(&format!("roll out {MODEL} to v2")).await?;
    fleet.until_live(MODEL, "v2").await?;
    fleet.command(&format!("go back {MODEL}")).await?;
    fleet.until_live(MODEL, "v1").await?;
    fleet
        .until("the adapter is served again on its base", || async {
            let response = fleet
                .caller(0)
                .send(RequestSpec::model("stewards", "p", 3))
                .await?;
            Ok(if response.is_complete && response.status == 200 {
                Ok(())
            } else {
                Err(format!("{response:?}"))
            })
        })
        .await
}
