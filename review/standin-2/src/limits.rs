//! Case 8: a configuration raises the limit of bodies; clients go on with kept connections.

use {
    crate::{
        http::{self, Connection},
        rig::{self, Folder, Process, Record, at},
        store::Store,
    },
    std::{io::Write, net::TcpStream, path::Path, time::Duration},
};

/// Clients, each with a connection that it keeps.
const CLIENTS: usize = 24;

/// Length of the bodies that only the newer configuration allows.
const BODY_BYTES: usize = 200_000;

/// Time from the acknowledgement of the configuration to these requests; the bound is 2 s.
const AFTER_MILLIS: u64 = 5_000;

fn configuration(version: u64, body_bytes: usize) -> String {
    format!(
        r#"{{"version":{version},"routes":[{{"name":"r1","host":"desk.example","pathPrefix":"/u/","type":"unsafe","timeoutMs":4000,"targetLatencyMs":300,"priority":2,"service":"desk","maxAttempts":1,"public":false}}],"services":[{{"name":"desk","healthPath":"/healthz","maxConns":96,"protocol":"h1","tls":false}}],"limits":{{"maxHeaderBytes":16384,"maxBodyBytes":{body_bytes},"headerTimeoutMs":3000,"idleTimeoutMs":15000}},"tenants":[{{"name":"t1","apiKeys":["key1"],"priority":1}}]}}"#
    )
}

fn send(record: &Record, connection: &mut Connection, id: &str, length: usize) -> u16 {
    record.line(&format!("{id} is sent with {length} bytes"));
    let head = format!(
        "POST /u/{id} HTTP/1.1\r\nHost: desk.example\r\nAttempt-Id: {id}\r\nDeadline-Ms: 4000\r\n\
         Credential: key1\r\nContent-Length: {length}\r\n\r\n"
    );
    let mut bytes = head.into_bytes();
    bytes.resize(bytes.len() + length, b'x');
    // An early response is read even where not all was taken.
    let _ = connection.stream.write_all(&bytes);
    let status = connection.message().map_or(0, |message| message.status());
    record.line(&format!("{id} saw {status}"));
    status
}

fn connect() -> Option<Connection> {
    let stream = TcpStream::connect(at(20, 8005)).ok()?;
    let _ = stream.set_read_timeout(Some(Duration::from_millis(4_500)));
    let _ = stream.set_write_timeout(Some(Duration::from_millis(4_500)));
    Some(Connection::new(stream))
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
            record.line(&format!("engine d-{number} runs {id}, {} bytes", request.body.len()));
            std::thread::sleep(Duration::from_millis(30));
            connection.respond(200, &[("Attempt-Id", id), ("Server-Seal", "seal")], b"done")
        });
        store.put(&format!("servers/d-{number}"), &rig::entry("desk", address));
    }
    // Without the disruption the newer limit holds from the beginning.
    let first_limit = if trouble { 65_536 } else { 4_194_304 };
    store.put("op/config", &configuration(7, first_limit));
    let settings = Folder::create();
    let mut gateway = Process::start(&settings, "edge-20", &rig::gateway_settings(20, &store));
    if !rig::wait_ready(20) {
        record.say("the gateway is not ready");
        return 2;
    }
    std::thread::sleep(Duration::from_millis(4_000));
    let mut kept = Vec::new();
    for number in 0..CLIENTS {
        let Some(mut connection) = connect() else { return 2 };
        if send(&record, &mut connection, &format!("small-{number}"), 500) != 200 {
            record.say("a small request was not served");
            return 2;
        }
        kept.push(connection);
    }
    if trouble {
        store.put("op/config", &configuration(12, 4_194_304));
        record.line("version 12 is acknowledged: maxBodyBytes 4194304");
    }
    std::thread::sleep(Duration::from_millis(AFTER_MILLIS));
    let (mut denied, mut cut, mut served, mut fresh) = (0, 0, 0, 0);
    for (number, mut connection) in kept.into_iter().enumerate() {
        match send(&record, &mut connection, &format!("kept-{number}"), BODY_BYTES) {
            200 => served += 1,
            0 => cut += 1,
            400..500 => denied += 1,
            _ => {}
        }
        let Some(mut connection) = connect() else { return 2 };
        let status = send(&record, &mut connection, &format!("fresh-{number}"), BODY_BYTES);
        fresh += usize::from(status == 200);
    }
    if gateway.has_ended() {
        record.say("the gateway has ended");
        return 2;
    }
    let all = 3 * CLIENTS;
    // More than 5 + one in 500 of all requests.
    let is_broken = 500 * denied > 500 * 5 + all;
    record.say(&format!(
        "kept connections: {denied} denied, {cut} closed without a response, {served} served; \
         new connections: {fresh} served of {CLIENTS}; rule broken: {is_broken}"
    ));
    u8::from(is_broken)
}
