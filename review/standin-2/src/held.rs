//! Case 7: requests to an idle service beside many streams whose prompts came in chunks.

use {
    crate::{
        client::{self, Attempt, Framing, Late, Seen},
        http,
        rig::{self, Folder, Process, Record},
        store::Store,
    },
    std::{io::Write, path::Path, time::Duration},
};

/// Time-out of the requests to the idle service, as that of `queue-status`.
const TIMEOUT_MILLIS: u64 = 800;

/// Time that their clients wait, as for `queue-status`.
const DEADLINE_MILLIS: u64 = 1_500;

/// Streams at once.
const STREAMS: usize = 72;

/// Events of a stream, and the pause between them.
const EVENTS: usize = 20;
const PAUSE_MILLIS: u64 = 250;

/// Length of each body; the limit of the configuration is 4 MiB.
const BODY_BYTES: usize = 12_000;

/// Requests to the idle service.
const SHORT: usize = 24;

fn configuration() -> String {
    format!(
        r#"{{"version":7,"routes":[{{"name":"r1","host":"desk.example","pathPrefix":"/u/","type":"unsafe","timeoutMs":{TIMEOUT_MILLIS},"targetLatencyMs":300,"priority":2,"service":"desk","maxAttempts":1,"public":false}},{{"name":"r2","host":"text.example","pathPrefix":"/s/","type":"streaming","timeoutMs":6000,"targetLatencyMs":500,"priority":1,"service":"text","maxAttempts":2,"public":false,"resumable":true,"itlTargetMs":400}}],"services":[{{"name":"desk","healthPath":"/healthz","maxConns":96,"protocol":"h1","tls":false}},{{"name":"text","healthPath":"/healthz","maxConns":264,"protocol":"h1","tls":false}}],"limits":{{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000}},"tenants":[{{"name":"t1","apiKeys":["key1"],"priority":1}}]}}"#
    )
}

fn short(number: usize) -> Attempt {
    Attempt {
        id: format!("short-{number}"),
        path: format!("/u/{number}"),
        host: "desk.example",
        body_bytes: BODY_BYTES,
        framing: Framing::Chunks,
        deadline_millis: DEADLINE_MILLIS,
    }
}

fn stream(number: usize) -> Attempt {
    Attempt {
        id: format!("stream-{number}"),
        path: format!("/s/{number}"),
        host: "text.example",
        body_bytes: BODY_BYTES,
        framing: Framing::Chunks,
        deadline_millis: 6_000,
    }
}

/// Plays the case; the exit code.
pub fn run(folder: &Path) -> u8 {
    let record = Record::create(&folder.join("record.txt"));
    let trouble = rig::has_trouble();
    record.line(&format!("trouble: {trouble}"));
    let store = Store::start(rig::free(1));
    for number in 2..4 {
        let address = rig::free(number);
        let record = record.clone();
        http::serve(address, move |request, connection| {
            let id = request.field("attempt-id").unwrap_or_default();
            record.line(&format!("engine d-{number} runs {id}"));
            std::thread::sleep(Duration::from_millis(30));
            connection.respond(200, &[("Attempt-Id", id), ("Server-Seal", "seal")], b"done")
        });
        store.put(&format!("servers/d-{number}"), &rig::entry("desk", address));
    }
    for number in 4..10 {
        let address = rig::free(number);
        let record = record.clone();
        http::serve(address, move |request, connection| {
            let id = request.field("attempt-id").unwrap_or_default().to_owned();
            record.line(&format!("engine t-{number} runs {id}"));
            let head = format!(
                "HTTP/1.1 200 OK\r\nAttempt-Id: {id}\r\nServer-Seal: seal\r\n\
                 Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
            );
            if connection.stream.write_all(head.as_bytes()).is_err() {
                return false;
            }
            for event in 1..=EVENTS {
                let event = format!("id: {event}\ndata: some words\n\n");
                let chunk = format!("{:x}\r\n{event}\r\n", event.len());
                if connection.stream.write_all(chunk.as_bytes()).is_err() {
                    return false;
                }
                std::thread::sleep(Duration::from_millis(PAUSE_MILLIS));
            }
            connection.stream.write_all(b"0\r\n\r\n").is_ok()
        });
        store.put(&format!("servers/t-{number}"), &rig::entry("text", address));
    }
    store.put("op/config", &configuration());
    let settings = Folder::create();
    let mut gateway = Process::start(&settings, "edge-20", &rig::gateway_settings(20, &store));
    if !rig::wait_ready(20) {
        record.say("the gateway is not ready");
        return 2;
    }
    // The gateway is in touch after 3 s without a disruption.
    std::thread::sleep(Duration::from_millis(4_000));
    let streams = if trouble { STREAMS } else { 8 };
    let streams: Vec<_> = (0..streams)
        .map(|number| {
            let record = record.clone();
            std::thread::spawn(move || client::send(&record, 20, &stream(number)))
        })
        .collect();
    std::thread::sleep(Duration::from_millis(500));
    let shorts: Vec<_> = (0..SHORT)
        .map(|number| {
            let record = record.clone();
            std::thread::sleep(Duration::from_millis(80));
            std::thread::spawn(move || client::send(&record, 20, &short(number)))
        })
        .collect();
    let seen: Vec<Seen> = shorts.into_iter().map(|one| one.join().expect("a client")).collect();
    let streams: Vec<Seen> = streams.into_iter().map(|one| one.join().expect("a client")).collect();
    let good = |seen: &Seen| seen.status == 200 && seen.whole.is_some();
    record.say(&format!(
        "of {} streams {} were whole",
        streams.len(),
        streams.iter().filter(|seen| good(seen)).count()
    ));
    if gateway.has_ended() {
        record.say("the gateway has ended");
        return 2;
    }
    let late = Late::count(seen.iter(), TIMEOUT_MILLIS);
    let served = seen.iter().filter(|seen| good(seen)).count();
    let is_broken = late.breaks_rule();
    record.say(&format!(
        "requests to the idle service: {late:?}, {served} served; rule broken: {is_broken}"
    ));
    u8::from(is_broken)
}
