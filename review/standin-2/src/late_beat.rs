//! Case 6: a restarted engine whose former entry is written once more, late.

use {
    crate::{
        http::Connection,
        rig::{self, Folder, Process, Record, at},
        store::Store,
    },
    std::{
        io::Write,
        net::{Shutdown, SocketAddr, TcpListener, TcpStream},
        path::Path,
        sync::{Arc, Mutex},
        time::{Duration, Instant},
    },
};

/// Interval at which engines write their entries; one is gone after three of them.
const HEARTBEAT_MILLIS: u64 = 1_200;

/// Time for which the engine is down, as in the site.
const DOWN_MILLIS: u64 = 4_500;

/// Time from the engine's last call to when the store carries it out; one to six seconds are allowed.
const LATE_MILLIS: u64 = 5_800;

/// Requests of each kind after the disruption, and the pause between.
const REQUESTS: usize = 60;
const PAUSE_MILLIS: u64 = 500;

/// An engine that may crash and start again under another id.
#[derive(Clone)]
struct Engine {
    address: SocketAddr,
    /// Id of the present run; none while it is down.
    id: Arc<Mutex<Option<String>>>,
    streams: Arc<Mutex<Vec<TcpStream>>>,
    record: Record,
}

impl Engine {
    fn start(address: SocketAddr, id: &str, record: &Record) -> Self {
        let engine = Self {
            address,
            id: Arc::new(Mutex::new(Some(id.to_owned()))),
            streams: Arc::default(),
            record: record.clone(),
        };
        let serving = engine.clone();
        let (listening, is_listening) = std::sync::mpsc::channel();
        std::thread::spawn(move || {
            let mut listener = None;
            loop {
                let is_down = serving.id.lock().expect("not poisoned").is_none();
                if is_down {
                    listener = None;
                } else if listener.is_none() {
                    listener = TcpListener::bind(serving.address).ok();
                    if let Some(listener) = &listener {
                        listener.set_nonblocking(true).expect("an option");
                        let _ = listening.send(());
                    }
                }
                match listener.as_ref().map(TcpListener::accept) {
                    Some(Ok((stream, _))) => serving.serve(stream),
                    _ => std::thread::sleep(Duration::from_millis(2)),
                }
            }
        });
        let _ = is_listening.recv();
        engine
    }

    fn serve(&self, stream: TcpStream) {
        let _ = stream.set_nonblocking(false);
        if let Ok(own) = stream.try_clone() {
            self.streams.lock().expect("not poisoned").push(own);
        }
        let engine = self.clone();
        std::thread::spawn(move || {
            let mut connection = Connection::new(stream);
            while let Some(request) = connection.message() {
                let Some(id) = engine.id.lock().expect("not poisoned").clone() else { return };
                let attempt = request.field("attempt-id").unwrap_or_default();
                let expected = request.field("expect-instance").unwrap_or(&id);
                if expected != id {
                    engine.record.line(&format!("engine {id} rejects {attempt}: for {expected}"));
                    let fields = [("Attempt-Id", attempt), ("Instance-Id", id.as_str())];
                    if !connection.respond(421, &fields, b"") {
                        return;
                    }
                    continue;
                }
                engine.record.line(&format!("engine {id} runs {attempt}"));
                std::thread::sleep(Duration::from_millis(10));
                let fields = [("Attempt-Id", attempt), ("Server-Seal", "seal")];
                if !connection.respond(200, &fields, b"done") {
                    return;
                }
            }
        });
    }

    /// Writes the entry of the present run about every heartbeat, unchanged, for as long as it lasts.
    fn beat(&self, store: &Store, service: &'static str) {
        let (engine, store) = (self.clone(), store.clone());
        std::thread::spawn(move || {
            loop {
                if let Some(id) = engine.id.lock().expect("not poisoned").as_ref() {
                    store.put(&format!("servers/{id}"), &rig::entry(service, engine.address));
                }
                std::thread::sleep(Duration::from_millis(HEARTBEAT_MILLIS));
            }
        });
    }

    fn crash(&self) {
        *self.id.lock().expect("not poisoned") = None;
        for stream in std::mem::take(&mut *self.streams.lock().expect("not poisoned")) {
            let _ = stream.shutdown(Shutdown::Both);
        }
    }

    fn start_again(&self, id: &str) {
        *self.id.lock().expect("not poisoned") = Some(id.to_owned());
    }
}

fn configuration() -> String {
    let route = |name: &str, host: &str, service: &str| {
        format!(
            r#"{{"name":"{name}","host":"{host}","pathPrefix":"/u/","type":"safe","timeoutMs":800,"targetLatencyMs":300,"priority":2,"service":"{service}","maxAttempts":2,"public":false}}"#
        )
    };
    let service = |name: &str| {
        format!(r#"{{"name":"{name}","healthPath":"/healthz","maxConns":96,"protocol":"h1","tls":false}}"#)
    };
    format!(
        r#"{{"version":7,"routes":[{},{}],"services":[{},{}],"limits":{{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000}},"tenants":[{{"name":"t1","apiKeys":["key1"],"priority":1}}]}}"#,
        route("r1", "tools.example", "tools"),
        route("r2", "lobby.example", "lobby"),
        service("tools"),
        service("lobby"),
    )
}

fn send(record: &Record, id: &str, host: &str) -> u16 {
    let Ok(stream) = TcpStream::connect(at(200, 8005)) else { return 0 };
    let _ = stream.set_read_timeout(Some(Duration::from_millis(1_500)));
    let mut connection = Connection::new(stream);
    let request = format!(
        "GET /u/{id} HTTP/1.1\r\nHost: {host}\r\nAttempt-Id: {id}\r\nDeadline-Ms: 1500\r\n\
         Credential: key1\r\n\r\n"
    );
    if connection.stream.write_all(request.as_bytes()).is_err() {
        return 0;
    }
    let status = connection.message().map_or(0, |message| message.status());
    record.line(&format!("{id} to {host} saw {status}"));
    status
}

/// Plays the case; the exit code.
pub fn run(folder: &Path) -> u8 {
    let record = Record::create(&folder.join("record.txt"));
    let trouble = rig::has_trouble();
    record.line(&format!("trouble: {trouble}"));
    let store = Store::start(rig::free(1));
    let tools = Engine::start(rig::free(2), "i-a", &record);
    tools.beat(&store, "tools");
    for (number, id) in [(3, "i-c"), (4, "i-d")] {
        let engine = Engine::start(rig::free(number), id, &record);
        engine.beat(&store, "lobby");
    }
    store.put("op/config", &configuration());
    let settings = Folder::create();
    let mut gateway = Process::start(&settings, "edge-200", &rig::gateway_settings(200, &store));
    if !rig::wait_ready(200) {
        record.say("the gateway is not ready");
        return 2;
    }
    std::thread::sleep(Duration::from_millis(4_000));
    let hosts = ["tools.example", "lobby.example"];
    if hosts.iter().any(|host| send(&record, "before", host) != 200) {
        record.say("a request before the disruption was not served");
        return 2;
    }
    if trouble {
        // The engine's last call to the store gets no answer, as the engine crashes.
        let called = Instant::now();
        let until = |millis: u64| {
            std::thread::sleep(Duration::from_millis(millis).saturating_sub(called.elapsed()));
        };
        tools.crash();
        record.line("engine i-a crashes");
        until(3 * HEARTBEAT_MILLIS);
        store.delete("servers/i-a");
        record.line("the entry of i-a is gone after three heartbeats of silence");
        until(DOWN_MILLIS);
        tools.start_again("i-b");
        record.line("the engine has started again as i-b, and writes its entry");
        until(LATE_MILLIS);
        if std::env::var("LATE").as_deref() != Ok("0") {
            store.put("servers/i-a", &rig::entry("tools", tools.address));
            record.line("the last call of i-a is carried out");
            until(LATE_MILLIS + 3 * HEARTBEAT_MILLIS);
            store.delete("servers/i-a");
            record.line("the entry of i-a is gone again after three heartbeats of silence");
        }
        std::thread::sleep(Duration::from_millis(6_000));
    }
    let mut served = [0; 2];
    for number in 0..REQUESTS {
        for (host, served) in hosts.iter().zip(&mut served) {
            *served += usize::from(send(&record, &format!("q{number}"), host) == 200);
        }
        std::thread::sleep(Duration::from_millis(PAUSE_MILLIS));
    }
    if gateway.has_ended() {
        record.say("the gateway has ended");
        return 2;
    }
    // A kind of request is served less than a quarter as often as all requests.
    let is_broken = 4 * served[0] < (served[0] + served[1]) / 2;
    record.say(&format!(
        "from six seconds after the disruption on: {} of {REQUESTS} requests to the restarted engine \
         served, {} of {REQUESTS} of the other kind; rule broken: {is_broken}",
        served[0], served[1]
    ));
    u8::from(is_broken)
}
