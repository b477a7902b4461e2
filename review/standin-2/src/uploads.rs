//! Case 5: clients that send long bodies in chunks at the same time.

use {
    crate::{
        client::{self, Attempt, Framing, Late, Seen},
        http,
        rig::{self, Folder, Process, Record},
        store::Store,
    },
    std::{path::Path, time::Duration},
};

/// Time-out of the route, as that of `queue-status`.
const TIMEOUT_MILLIS: u64 = 800;

/// Time that clients wait, as for `queue-status`.
const DEADLINE_MILLIS: u64 = 1_500;

/// Clients at once.
const CLIENTS: usize = 12;

/// Longest body of these clients; the limit of the configuration is 4 MiB.
const BODY_BYTES: usize = 1_400_000;

/// Attempts that follow, one after the other.
const LATER: usize = 10;

fn configuration() -> String {
    format!(
        r#"{{"version":7,"routes":[{{"name":"r1","host":"desk.example","pathPrefix":"/u/","type":"unsafe","timeoutMs":{TIMEOUT_MILLIS},"targetLatencyMs":300,"priority":2,"service":"desk","maxAttempts":1,"public":false}}],"services":[{{"name":"desk","healthPath":"/healthz","maxConns":96,"protocol":"h1","tls":false}}],"limits":{{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000}},"tenants":[{{"name":"t1","apiKeys":["key1"],"priority":1}}]}}"#
    )
}

fn attempt(id: String, body_bytes: usize, framing: Framing) -> Attempt {
    Attempt {
        path: format!("/u/{id}"),
        id,
        host: "desk.example",
        body_bytes,
        framing,
        deadline_millis: DEADLINE_MILLIS,
    }
}

/// Plays the case; the exit code.
pub fn run(folder: &Path) -> u8 {
    let record = Record::create(&folder.join("record.txt"));
    let trouble = rig::has_trouble();
    record.line(&format!("trouble: {trouble}"));
    let store = Store::start(rig::free(1));
    let engines = [rig::free(2), rig::free(3)];
    for (number, address) in engines.into_iter().enumerate() {
        let record = record.clone();
        http::serve(address, move |request, connection| {
            if request.path() == "/healthz" {
                return connection.respond(200, &[("Instance-Id", &format!("i-{number}"))], b"");
            }
            let id = request.field("attempt-id").unwrap_or_default();
            let length = request.body.len();
            record.line(&format!("engine i-{number} runs {id}, {length} bytes"));
            std::thread::sleep(Duration::from_millis(30));
            connection.respond(200, &[("Attempt-Id", id), ("Server-Seal", "seal")], b"done")
        });
        store.put(&format!("servers/i-{number}"), &rig::entry("desk", address));
    }
    store.put("op/config", &configuration());
    let settings = Folder::create();
    let mut gateway = Process::start(&settings, "edge-9", &rig::gateway_settings(9, &store));
    if !rig::wait_ready(9) {
        record.say("the gateway is not ready");
        return 2;
    }
    // The gateway is in touch after 3 s without a disruption.
    std::thread::sleep(Duration::from_millis(4_000));
    let first = |number: usize| attempt(format!("first-{number}"), BODY_BYTES, Framing::Chunks);
    let mut seen: Vec<Seen> = match trouble {
        false => (0..CLIENTS).map(|number| client::send(&record, 9, &first(number))).collect(),
        true => {
            let clients = (0..CLIENTS).map(|number| {
                let record = record.clone();
                std::thread::spawn(move || client::send(&record, 9, &first(number)))
            });
            let clients: Vec<_> = clients.collect();
            clients.into_iter().map(|client| client.join().expect("a client")).collect()
        }
    };
    let at_once = Late::count(seen.iter(), TIMEOUT_MILLIS);
    record.say(&format!("of {CLIENTS} clients with {BODY_BYTES} bytes in chunks: {at_once:?}"));
    // All of them have left. Others come one by one.
    let later: Vec<Seen> = (0..LATER)
        .map(|number| {
            client::send(&record, 9, &attempt(format!("later-{number}"), 100_000, Framing::Length))
        })
        .collect();
    let alone = Late::count(later.iter(), TIMEOUT_MILLIS);
    record.say(&format!("of {LATER} later ones, each alone with 100000 bytes: {alone:?}"));
    seen.extend(later);
    if gateway.has_ended() {
        record.say("the gateway has ended");
        return 2;
    }
    let all = Late::count(seen.iter(), TIMEOUT_MILLIS);
    let is_broken = all.breaks_rule();
    record.say(&format!("all: {all:?}; rule broken: {is_broken}"));
    u8::from(is_broken)
}
