//! Case 4: engines that have as many connections as they accept, and parts of prompts that are blamed.

use {
    crate::{
        http::{Connection, Message},
        rig::{self, Folder, Process, Record, at},
        store::Store,
    },
    std::{
        io::Write,
        net::{SocketAddr, TcpListener, TcpStream},
        os::fd::AsRawFd,
        path::Path,
        sync::{
            Arc,
            atomic::{AtomicUsize, Ordering},
        },
        time::{Duration, Instant},
    },
};

/// Engines of the service.
const ENGINES: u8 = 12;

/// Connections that an engine accepts from all callers, as in the configuration.
const MAX_CONNECTIONS: usize = 48;

/// Time for which other callers hold as many at each engine.
const FULL_MILLIS: u64 = 2_000;

/// Requests of the new kind during that time, and the pause between.
const EARLY_REQUESTS: usize = 12;
const EARLY_PAUSE_MILLIS: u64 = 120;

/// Requests of each kind from two seconds after that time on, and the pause between.
const LATER_REQUESTS: usize = 40;
const LATER_PAUSE_MILLIS: u64 = 300;

/// Shared part of the prompts of each kind.
const PARTS: [&str; 2] = ["5c1e07a2", "91bd3f06"];

#[repr(C)]
struct Linger {
    is_on: i32,
    seconds: i32,
}

unsafe extern "C" {
    fn setsockopt(socket: i32, level: i32, name: i32, value: *const Linger, length: u32) -> i32;
}

/// Resets a connection (SOL_SOCKET is 1 and SO_LINGER 13 on Linux).
fn reset(stream: TcpStream) {
    let linger = Linger { is_on: 1, seconds: 0 };
    // SAFETY: the socket is open, and the value has the length that is told.
    let _ = unsafe { setsockopt(stream.as_raw_fd(), 1, 13, &linger, 8) };
    drop(stream);
}

/// An engine that accepts [`MAX_CONNECTIONS`] connections and resets any beyond.
fn engine(name: String, address: SocketAddr, record: Record, resets: Arc<AtomicUsize>) {
    let listener = TcpListener::bind(address).expect("a free address");
    let open = Arc::new(AtomicUsize::new(0));
    std::thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            if open.load(Ordering::SeqCst) >= MAX_CONNECTIONS {
                resets.fetch_add(1, Ordering::SeqCst);
                reset(stream);
                continue;
            }
            open.fetch_add(1, Ordering::SeqCst);
            let (open, name, record) = (open.clone(), name.clone(), record.clone());
            std::thread::spawn(move || {
                let mut connection = Connection::new(stream);
                while let Some(request) = connection.message() {
                    if !answer(&name, &record, &request, &mut connection) {
                        break;
                    }
                }
                drop(connection);
                open.fetch_sub(1, Ordering::SeqCst);
            });
        }
    });
}

fn answer(name: &str, record: &Record, request: &Message, connection: &mut Connection) -> bool {
    if request.path() == "/healthz" {
        return connection.respond(200, &[("Instance-Id", name)], b"");
    }
    let id = request.field("attempt-id").unwrap_or_default();
    record.line(&format!("engine {name} runs {id}"));
    let head = format!(
        "HTTP/1.1 200 OK\r\nAttempt-Id: {id}\r\nServer-Seal: seal\r\n\
         Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
    );
    let mut is_written = connection.stream.write_all(head.as_bytes()).is_ok();
    for event in 1..=5 {
        let event = format!("id: {event}\ndata: some words\n\n");
        let chunk = format!("{:x}\r\n{event}\r\n", event.len());
        is_written = is_written && connection.stream.write_all(chunk.as_bytes()).is_ok();
        std::thread::sleep(Duration::from_millis(20));
    }
    is_written && connection.stream.write_all(b"0\r\n\r\n").is_ok()
}

fn configuration() -> String {
    let route = |name: &str, host: &str| {
        format!(
            r#"{{"name":"{name}","host":"{host}","pathPrefix":"/s/","type":"streaming","timeoutMs":6000,"targetLatencyMs":500,"priority":1,"service":"text","maxAttempts":2,"public":false,"sticky":true,"resumable":true,"itlTargetMs":400}}"#
        )
    };
    format!(
        r#"{{"version":7,"routes":[{},{}],"services":[{{"name":"text","healthPath":"/healthz","maxConns":{MAX_CONNECTIONS},"protocol":"h1","tls":false}}],"limits":{{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000}},"tenants":[{{"name":"t1","apiKeys":["key1"],"priority":1}}]}}"#,
        route("r1", "new.example"),
        route("r2", "old.example"),
    )
}

/// Sends a request of the new (0) or the old (1) kind; the status, 0 without a whole response.
fn send(record: &Record, id: &str, kind: usize) -> u16 {
    let (part, host) = (PARTS[kind], ["new.example", "old.example"][kind]);
    let Ok(stream) = TcpStream::connect(at(200, 8005)) else { return 0 };
    let _ = stream.set_read_timeout(Some(Duration::from_millis(6_000)));
    let mut connection = Connection::new(stream);
    let body = format!("prompt of {id}");
    let request = format!(
        "POST /s/{id} HTTP/1.1\r\nHost: {host}\r\nAttempt-Id: {id}\r\nModel: m1\r\n\
         Token-Usage: 640,80\r\nPrefix-Hash: {part}:40,{id}:600\r\nDeadline-Ms: 6000\r\n\
         Credential: key1\r\nContent-Length: {}\r\n\r\n{body}",
        body.len()
    );
    record.line(&format!("{id} is sent, part {part}"));
    if connection.stream.write_all(request.as_bytes()).is_err() {
        return 0;
    }
    let message = connection.message();
    let status = message.as_ref().map_or(0, Message::status);
    let after = message.as_ref().and_then(|message| message.field("retry-after"));
    record.line(&format!("{id} saw {status}, Retry-After {after:?}"));
    status
}

/// Plays the case; the exit code.
pub fn run(folder: &Path) -> u8 {
    let record = Record::create(&folder.join("record.txt"));
    let trouble = rig::has_trouble();
    record.line(&format!("trouble: {trouble}"));
    let store = Store::start(rig::free(1));
    let resets = Arc::new(AtomicUsize::new(0));
    let mut engines = Vec::new();
    for number in 2..2 + ENGINES {
        let address = rig::free(number);
        engine(format!("t-{number}"), address, record.clone(), resets.clone());
        store.put(&format!("servers/t-{number}"), &rig::entry("text", address));
        engines.push(address);
    }
    store.put("op/config", &configuration());
    let settings = Folder::create();
    let mut gateway = Process::start(&settings, "edge-200", &rig::gateway_settings(200, &store));
    if !rig::wait_ready(200) {
        record.say("the gateway is not ready");
        return 2;
    }
    std::thread::sleep(Duration::from_millis(4_000));
    // The old kind is in use already.
    if (0..5).any(|number| send(&record, &format!("a{number}"), 1) != 200) {
        record.say("a request before the disruption was not served");
        return 2;
    }
    // Connections at rest are closed meanwhile.
    std::thread::sleep(Duration::from_millis(4_000));
    // Other callers of the engines hold all connections for a while.
    let full_until = Instant::now() + Duration::from_millis(FULL_MILLIS);
    let mut held = Vec::new();
    if trouble {
        for address in &engines {
            for _ in 0..MAX_CONNECTIONS {
                held.extend(TcpStream::connect(address));
            }
        }
        std::thread::sleep(Duration::from_millis(200));
        record.line(&format!("other callers hold {} connections", held.len()));
    }
    let early: Vec<_> = (0..EARLY_REQUESTS)
        .map(|number| {
            let record = record.clone();
            std::thread::sleep(Duration::from_millis(EARLY_PAUSE_MILLIS));
            std::thread::spawn(move || send(&record, &format!("e{number}"), 0))
        })
        .collect();
    let early: Vec<u16> = early.into_iter().map(|one| one.join().expect("a client")).collect();
    std::thread::sleep(full_until.saturating_duration_since(Instant::now()));
    drop(held);
    record.say(&format!(
        "while engines were full: {early:?}; connections reset by engines: {}",
        resets.load(Ordering::SeqCst)
    ));
    std::thread::sleep(Duration::from_millis(2_000));
    let before = resets.load(Ordering::SeqCst);
    let mut served = [0, early.iter().filter(|status| **status == 200).count()];
    served.swap(0, 1);
    for number in 0..LATER_REQUESTS {
        for (kind, served) in served.iter_mut().enumerate() {
            *served += usize::from(send(&record, &format!("l{number}-{kind}"), kind) == 200);
        }
        std::thread::sleep(Duration::from_millis(LATER_PAUSE_MILLIS));
    }
    if gateway.has_ended() {
        record.say("the gateway has ended");
        return 2;
    }
    // A kind of request is served less than a quarter as often as all requests.
    let sent = [EARLY_REQUESTS + LATER_REQUESTS, LATER_REQUESTS];
    let all = (served[0] + served[1]) as f64 / (sent[0] + sent[1]) as f64;
    let new = served[0] as f64 / sent[0] as f64;
    let is_broken = new < all / 4.0;
    record.say(&format!(
        "new kind: {} of {} served; old kind: {} of {}; connections reset from two seconds after \
         that time on: {}; rule broken: {is_broken}",
        served[0],
        sent[0],
        served[1],
        sent[1],
        resets.load(Ordering::SeqCst) - before,
    ));
    u8::from(is_broken)
}
