//! Guarantees to callers, checked on real processes against the histories of engines and services.

use {
    gingerpier_fleet::{
        Caller, Error, Fleet, Spec,
        caller::{RequestSpec, Response},
    },
    gingerpier_standins::{engine, service, token},
    http::Method,
    std::time::{Duration, Instant},
};

const MODEL: &str = "plate-notes";

async fn start(spec: Spec) -> Result<Fleet, Error> {
    let fleet = Fleet::start(spec).await?;
    fleet.deploy(MODEL, 1).await?;
    Ok(fleet)
}

/// Tokens that an engine generates for `prompt`.
async fn expected(fleet: &Fleet, prompt: &str, count: u64) -> Result<Vec<String>, Error> {
    let table = fleet.table(&format!("show versions of {MODEL}")).await?;
    let manifest = table.rows[0][6].clone();
    Ok((0..count)
        .map(|index| token::text(&manifest, "", prompt, index))
        .collect())
}

async fn check_complete(
    fleet: &Fleet,
    response: &Response,
    prompt: &str,
    count: u64,
) -> Result<(), Error> {
    let (tokens, done) = response.tokens();
    assert!(response.is_complete && done, "{response:?}");
    assert_eq!(tokens, expected(fleet, prompt, count).await?);
    Ok(())
}

fn annotate(body: &str, ticket: &str) -> RequestSpec {
    RequestSpec::new(Method::POST, "/services/plates/annotations", body.into()).once(ticket)
}

async fn sleep(millis: u64) {
    actix_rt::time::sleep(Duration::from_millis(millis)).await;
}

#[actix_rt::test]
async fn interrupted_response_resumes_at_the_right_token() -> Result<(), Error> {
    let fleet = start(Spec::small()).await?;
    // Both engines of the nearest server interrupt the response, so two of three attempts fail.
    for engine in &fleet.servers[0].engines {
        let control = engine::Control {
            break_after: Some(5),
            ..engine::Control::default()
        };
        fleet.control(engine.address("address"), &control).await?;
    }
    let response = fleet
        .caller(0)
        .send(RequestSpec::model(MODEL, "resumed", 24))
        .await?;
    check_complete(&fleet, &response, "resumed", 24).await?;
    assert!(
        fleet.runs_of("resumed").await? > 1,
        "the response was not interrupted"
    );
    Ok(())
}

#[actix_rt::test]
async fn non_repeatable_request_is_not_retried_after_it_may_have_run() -> Result<(), Error> {
    let fleet = start(Spec::small()).await?;
    for engine in fleet.servers.iter().flat_map(|server| &server.engines) {
        let control = engine::Control {
            break_after: Some(5),
            ..engine::Control::default()
        };
        fleet.control(engine.address("address"), &control).await?;
    }
    let caller = fleet.caller(0);
    let ticket = caller.ticket().await?;
    let response = caller
        .send(RequestSpec::model(MODEL, "pairing", 24).once(&ticket))
        .await?;
    assert!(
        !response.is_complete,
        "an interrupted response must not be complete: {response:?}"
    );
    assert_eq!(fleet.runs_of("pairing").await?, 1);
    let again = caller
        .send(RequestSpec::model(MODEL, "pairing", 24).once(&ticket))
        .await?;
    assert_eq!(again.outcome.as_deref(), Some("unknown"), "{again:?}");
    assert_eq!(fleet.runs_of("pairing").await?, 1);
    Ok(())
}

#[actix_rt::test]
async fn repeatable_request_survives_the_death_of_its_engine() -> Result<(), Error> {
    let mut fleet = start(Spec {
        token_millis: 20,
        ..Spec::small()
    })
    .await?;
    let caller = fleet.caller(0);
    let calling =
        actix_rt::spawn(
            async move { caller.send(RequestSpec::model(MODEL, "survives", 60)).await },
        );
    fleet
        .until("the request runs", || async {
            let runs = fleet.runs_of("survives").await?;
            Ok(if runs > 0 {
                Ok(())
            } else {
                Err("not yet".to_owned())
            })
        })
        .await?;
    let mut running_engine = None;
    for server in 0..fleet.servers.len() {
        for engine in 0..fleet.servers[server].engines.len() {
            let address = fleet.servers[server].engines[engine].address("address");
            let runs: Vec<engine::Run> = fleet.read(address, "/history").await?;
            if !runs.is_empty() {
                running_engine = Some((server, engine));
            }
        }
    }
    let (server, engine) = running_engine.expect("an engine runs the request");
    let expected = expected(&fleet, "survives", 60).await?;
    fleet.servers[server].engines[engine].kill();
    let response = calling.await.expect("the request ends")?;
    assert!(response.is_complete && response.tokens().1, "{response:?}");
    assert_eq!(response.tokens().0, expected);
    Ok(())
}

#[actix_rt::test]
async fn ticket_runs_once_through_several_entry_boxes() -> Result<(), Error> {
    let fleet = start(Spec::small()).await?;
    let (here, there) = (fleet.caller(0), fleet.caller(1));
    let ticket = here.ticket().await?;
    let first = there.send(annotate("once", &ticket)).await?;
    assert_eq!(first.status, 200, "{first:?}");
    for caller in [&here, &there] {
        let again = caller.send(annotate("once", &ticket)).await?;
        assert_eq!(again.outcome.as_deref(), Some("answered"), "{again:?}");
    }
    assert_eq!(fleet.calls_with("once").await?, 1);
    Ok(())
}

#[actix_rt::test]
async fn concurrent_retry_with_same_ticket_gets_conflict() -> Result<(), Error> {
    let fleet = start(Spec::small()).await?;
    let slow = service::Control {
        delay_millis: 1_500,
    };
    for service in fleet.servers.iter().flat_map(|server| &server.services) {
        fleet.control(service.address("address"), &slow).await?;
    }
    let (here, there) = (fleet.caller(0), fleet.caller(1));
    let ticket = here.ticket().await?;
    let first = {
        let (here, ticket) = (here.clone(), ticket.clone());
        actix_rt::spawn(async move { here.send(annotate("running", &ticket)).await })
    };
    fleet
        .until("it runs", || async {
            let runs = fleet.calls_with("running").await?;
            Ok(if runs == 1 {
                Ok(())
            } else {
                Err("not yet".to_owned())
            })
        })
        .await?;
    let second = there.send(annotate("running", &ticket)).await?;
    assert_eq!(
        (second.status, second.outcome.as_deref()),
        (409, Some("unknown"))
    );
    assert_eq!(first.await.expect("the request ends")?.status, 200);
    assert_eq!(fleet.calls_with("running").await?, 1);
    Ok(())
}

#[actix_rt::test]
async fn ticket_of_dead_entry_box_is_unknown_and_does_not_run() -> Result<(), Error> {
    let mut fleet = start(Spec::small()).await?;
    let (owner, other) = (fleet.caller(0), fleet.caller(1));
    let used = owner.ticket().await?;
    let unused = owner.ticket().await?;
    assert_eq!(other.send(annotate("used", &used)).await?.status, 200);
    fleet.entries[0].child.kill();
    sleep(500).await;
    for (body, ticket) in [("used", &used), ("unused", &unused)] {
        let again = other.send(annotate(body, ticket)).await?;
        assert_eq!(again.outcome.as_deref(), Some("unknown"), "{again:?}");
    }
    assert_eq!(
        (
            fleet.calls_with("used").await?,
            fleet.calls_with("unused").await?
        ),
        (1, 0)
    );
    Ok(())
}

#[actix_rt::test]
async fn request_is_unknown_after_its_entry_box_is_killed() -> Result<(), Error> {
    let mut fleet = start(Spec::small()).await?;
    let slow = service::Control {
        delay_millis: 30_000,
    };
    for service in fleet.servers.iter().flat_map(|server| &server.services) {
        fleet.control(service.address("address"), &slow).await?;
    }
    let (doomed, owner) = (fleet.caller(0), fleet.caller(1));
    let ticket = owner.ticket().await?;
    let lost = {
        let ticket = ticket.clone();
        actix_rt::spawn(async move { doomed.send(annotate("orphan", &ticket)).await })
    };
    fleet
        .until("it runs", || async {
            let runs = fleet.calls_with("orphan").await?;
            Ok(if runs == 1 {
                Ok(())
            } else {
                Err("not yet".to_owned())
            })
        })
        .await?;
    fleet.entries[0].child.kill();
    assert!(lost.await.expect("the request ends").is_err());
    let again = owner.send(annotate("orphan", &ticket)).await?;
    assert_eq!(again.outcome.as_deref(), Some("unknown"), "{again:?}");
    sleep(500).await;
    assert_eq!(fleet.calls_with("orphan").await?, 1);
    Ok(())
}

#[actix_rt::test]
async fn suspended_backend_times_out_and_does_not_run_a_request_twice() -> Result<(), Error> {
    let fleet = start(Spec::small()).await?;
    let caller = fleet.caller(0);
    let ticket = caller.ticket().await?;
    // The nearest plain service belongs to the backend server of this zone.
    fleet.servers[0].child.freeze();
    let start = Instant::now();
    let call = annotate("frozen", &ticket).header("gingerpier-patience-millis", "1000");
    let response = caller.send(call).await?;
    assert!(
        start.elapsed() < Duration::from_secs(10),
        "the response came after the deadline"
    );
    assert_eq!(response.outcome.as_deref(), Some("unknown"), "{response:?}");
    assert!(response.retry_after_millis.is_some(), "{response:?}");
    let again = fleet.caller(1).send(annotate("frozen", &ticket)).await?;
    assert_eq!(again.outcome.as_deref(), Some("unknown"), "{again:?}");
    fleet.servers[0].child.thaw();
    sleep(3_000).await;
    assert!(fleet.calls_with("frozen").await? <= 1);
    Ok(())
}

#[actix_rt::test]
async fn not_run_outcome_leaves_the_ticket_usable() -> Result<(), Error> {
    let fleet = start(Spec::small()).await?;
    let refusing = engine::Control {
        refuse: 100,
        ..engine::Control::default()
    };
    for engine in fleet.servers.iter().flat_map(|server| &server.engines) {
        fleet.control(engine.address("address"), &refusing).await?;
    }
    let caller = fleet.caller(0);
    let ticket = caller.ticket().await?;
    let refused = caller
        .send(RequestSpec::model(MODEL, "later", 4).once(&ticket))
        .await?;
    assert_eq!(
        (refused.status, refused.outcome.as_deref()),
        (503, Some("not-run")),
        "{refused:?}"
    );
    assert!(refused.retry_after_millis.is_some());
    assert_eq!(fleet.runs_of("later").await?, 0);
    for engine in fleet.servers.iter().flat_map(|server| &server.engines) {
        fleet
            .control(engine.address("address"), &engine::Control::default())
            .await?;
    }
    let response = fleet
        .caller(1)
        .send(RequestSpec::model(MODEL, "later", 4).once(&ticket))
        .await?;
    check_complete(&fleet, &response, "later", 4).await?;
    assert_eq!(fleet.runs_of("later").await?, 1);
    Ok(())
}

#[actix_rt::test]
async fn planned_stop_completes_running_responses() -> Result<(), Error> {
    let mut fleet = start(Spec {
        token_millis: 20,
        ..Spec::small()
    })
    .await?;
    let calls: Vec<_> = (0..2)
        .map(|entry| {
            let caller = fleet.caller(entry);
            actix_rt::spawn(
                async move { caller.send(RequestSpec::model(MODEL, "long", 100)).await },
            )
        })
        .collect();
    fleet
        .until("both run", || async {
            let runs = fleet.runs_of("long").await?;
            Ok(if runs == 2 {
                Ok(())
            } else {
                Err(format!("{runs}"))
            })
        })
        .await?;
    let expected = expected(&fleet, "long", 100).await?;
    for server in &fleet.servers {
        server.child.terminate();
    }
    fleet.entries[0].child.terminate();
    for call in calls {
        let response = call.await.expect("the request ends")?;
        assert!(response.is_complete && response.tokens().1, "{response:?}");
        assert_eq!(response.tokens().0, expected);
    }
    for _ in 0..100 {
        sleep(100).await;
        if fleet
            .servers
            .iter_mut()
            .all(|server| server.child.ended().is_some())
        {
            return Ok(());
        }
    }
    panic!("a server did not exit after SIGTERM");
}

#[actix_rt::test]
async fn leaving_server_gets_no_new_requests() -> Result<(), Error> {
    let fleet = start(Spec::small()).await?;
    let caller = fleet.caller(0);
    let count_new_runs = async |server: usize| -> Result<usize, Error> {
        let before = fleet.runs(server).await?.len();
        for number in 0..10 {
            let response = caller
                .send(RequestSpec::model(MODEL, &format!("{number}"), 2))
                .await?;
            assert!(response.is_complete, "{response:?}");
        }
        Ok(fleet.runs(server).await?.len() - before)
    };
    assert!(
        count_new_runs(0).await? > 0,
        "the nearest server must be preferred"
    );
    fleet.mark_leaving(&fleet.servers[0].name);
    fleet.publish().await?;
    fleet
        .until("the box is listed as leaving", || async {
            let table = fleet.table("show boxes").await?;
            let row = table
                .rows
                .iter()
                .find(|row| row[0] == fleet.servers[0].name);
            let state = row.map(|row| row[4].clone()).unwrap_or_default();
            Ok(if state == "leaving" {
                Ok(())
            } else {
                Err(state)
            })
        })
        .await?;
    assert_eq!(count_new_runs(0).await?, 0);
    Ok(())
}

#[actix_rt::test]
async fn overload_is_refused_with_a_retry_delay() -> Result<(), Error> {
    let fleet = start(Spec {
        capacity: 1,
        token_millis: 50,
        ..Spec::small()
    })
    .await?;
    let calls: Vec<_> = (0..24)
        .map(|number| {
            let caller = fleet.caller(number % 2);
            actix_rt::spawn(async move {
                caller
                    .send(RequestSpec::model(MODEL, &format!("busy {number}"), 20))
                    .await
            })
        })
        .collect();
    let (mut answered, mut refused) = (0, 0);
    for call in calls {
        let response = call.await.expect("the request ends")?;
        if response.status == 200 {
            assert!(response.is_complete && response.tokens().1, "{response:?}");
            answered += 1;
        } else {
            assert_eq!(response.outcome.as_deref(), Some("not-run"), "{response:?}");
            assert!(response.retry_after_millis.is_some(), "{response:?}");
            refused += 1;
        }
    }
    assert!(
        answered >= 4 && refused > 0,
        "{answered} answered, {refused} refused"
    );
    Ok(())
}

#[actix_rt::test]
async fn invalid_input_is_reported_and_does_not_affect_other_requests() -> Result<(), Error> {
    use std::io::{Read, Write};
    let fleet = start(Spec {
        entry: "requests:\n  longest_body: 1kB\n".to_owned(),
        ..Spec::small()
    })
    .await?;
    let caller = fleet.caller(0);
    let check = async |call: RequestSpec, status: u16, word: &str| -> Result<(), Error> {
        let response = caller.send(call).await?;
        assert_eq!(response.status, status, "{response:?}");
        assert!(response.body.contains(word), "{response:?}");
        Ok(())
    };
    check(
        RequestSpec::new(Method::POST, "/v1/completions", b"{\"model\":".to_vec()),
        400,
        "column",
    )
    .await?;
    check(
        RequestSpec::new(Method::POST, "/v1/completions", vec![b' '; 2_000]),
        413,
        "1000 bytes",
    )
    .await?;
    check(
        RequestSpec::model("no-such-model", "p", 1),
        404,
        "no-such-model",
    )
    .await?;
    check(
        RequestSpec::model(MODEL, "p", 1).once("my-own-key"),
        400,
        "/v1/tickets",
    )
    .await?;
    check(
        RequestSpec::model(MODEL, "p", 1).header("gingerpier-repeatable", "maybe"),
        400,
        "`yes` or `no`",
    )
    .await?;
    check(
        RequestSpec::new(Method::GET, "/elsewhere", Vec::new()),
        404,
        "/services/NAME",
    )
    .await?;
    let stranger = Caller::new(fleet.entries[0].child.address("callers"), "wrong");
    assert_eq!(
        stranger
            .send(RequestSpec::model(MODEL, "p", 1))
            .await?
            .status,
        401
    );
    let entry = &fleet.entries[0].child;
    let mut raw =
        std::net::TcpStream::connect(entry.address("callers")).expect("entry box listens");
    raw.write_all(b"\x00\x01\x02 nonsense\r\n\r\n")
        .expect("bytes are sent");
    let mut reply = String::new();
    let _ = raw.read_to_string(&mut reply);
    assert!(reply.starts_with("HTTP/1.1 400"), "{reply}");
    let udp = std::net::UdpSocket::bind("127.0.0.1:0").expect("a port is free");
    for child in [&entry, &&fleet.servers[0].child] {
        udp.send_to(&[0xff; 1_200], child.address("peers"))
            .expect("datagram is sent");
    }
    let response = caller.send(RequestSpec::model(MODEL, "fine", 3)).await?;
    check_complete(&fleet, &response, "fine", 3).await
}
