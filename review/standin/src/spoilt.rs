//! Case 1: a staged piece turns bad after the loader has verified it; the loader freezes for some
//! seconds before it orders its engine to load what is staged.

use {
    crate::{
        http::{ask, respond, serve, Request},
        rig::{
            has_trouble, models, prompt_fields, request, Entries, Outcome, Record, Rig, Verdict,
            CHUNKS, CHUNK_BYTES, ENGINES, MODEL, SIGCONT, SIGSTOP,
        },
        sha256,
        store::{hex, number},
    },
    std::{
        collections::BTreeMap,
        io::Write,
        net::{SocketAddr, TcpStream},
        sync::{
            atomic::{AtomicU64, Ordering},
            mpsc::{channel, Sender},
            Arc, Mutex,
        },
        thread::sleep,
        time::{Duration, Instant},
    },
};

/// Time that an engine takes to load all layers.
const WARM: Duration = Duration::from_millis(300);

/// Time for which a piece may have been bad without blame.
const EXCUSED: Duration = Duration::from_secs(3);

/// Time for which the loader is frozen.
const FROZEN: Duration = Duration::from_millis(4_200);

/// Named versions, one after the other, until the rule is broken.
const VERSIONS: [u64; 3] = [2, 3, 4];

const EVENTS: u32 = 10;

/// Piece that turns bad.
const SPOILT: u32 = 10;

/// Bytes of a piece of a version.
fn piece(version: u64, index: u32) -> Vec<u8> {
    let mut state = version << 32 | u64::from(index) + 1;
    let mut bytes = Vec::with_capacity(CHUNK_BYTES);
    while bytes.len() < CHUNK_BYTES {
        state ^= state << 13;
        state ^= state >> 7;
        state ^= state << 17;
        bytes.extend_from_slice(&state.to_be_bytes());
    }
    bytes.truncate(CHUNK_BYTES);
    bytes
}

#[derive(Default)]
struct State {
    staged: BTreeMap<u32, Vec<u8>>,
    /// When a staged piece turned bad.
    bad_since: BTreeMap<u32, Instant>,
    version: u64,
    /// Version that is being loaded, and when it is.
    loading: Option<(u64, Instant)>,
    seq: u64,
    /// Pieces that were not those of the version when the layers were taken.
    faulty: Vec<u32>,
    /// Events made on faulty layers.
    faulty_events: u32,
    runs: u32,
    /// Version whose last piece the loader has just read back, told once to the script.
    watched: Option<(u64, Sender<()>)>,
}

impl State {
    fn settle(&mut self) {
        if let Some((version, at)) = self.loading {
            if at <= Instant::now() {
                self.version = version;
                self.loading = None;
            }
        }
    }
}

#[derive(Clone)]
struct Engine {
    id: &'static str,
    state: Arc<Mutex<State>>,
    record: Record,
    entries: Entries,
}

impl Engine {
    fn start(rig: &Rig, id: &'static str, address: SocketAddr) -> Result<Self, String> {
        let staged = (0..CHUNKS).map(|index| (index, piece(1, index)));
        let state = State {
            staged: staged.collect(),
            version: 1,
            ..State::default()
        };
        let engine = Self {
            id,
            state: Arc::new(Mutex::new(state)),
            record: rig.record.clone(),
            entries: rig.entries.clone(),
        };
        let server = engine.clone();
        serve(address, move |request, stream| {
            server.handle(request, stream)
        })
        .map_err(|error| error.to_string())?;
        rig.entries.add(id, ENGINES, address, &models(1));
        rig.record.line(format_args!(
            "engine {id} starts at {address} with version 1"
        ));
        Ok(engine)
    }

    fn handle(&self, request: &Request, stream: &mut TcpStream) -> bool {
        let json = "Content-Type: application/json\r\n";
        let index = request
            .query("sampleCount")
            .and_then(|text| text.parse().ok());
        let index: u32 = index.unwrap_or(0);
        match request.path() {
            "/healthz" => respond(stream, 200, &format!("Instance-Id: {}\r\n", self.id), b""),
            "/api/report" => {
                let mut state = self.state.lock().unwrap();
                state.settle();
                let busy = state.loading.is_some();
                let loaded = if busy { 0 } else { state.version };
                let body = format!(
                    r#"{{"phase":"colocated","models":{},"busy":{busy},"seq":{},"queued":0,"active":0,"kvUsed":0,"kvTotal":5072000,"sessions":0}}"#,
                    models(loaded),
                    state.seq
                );
                drop(state);
                respond(stream, 200, json, body.as_bytes())
            }
            "/api/order" => self.order(request, stream),
            path if path.starts_with("/api/stage-put/") => {
                let mut state = self.state.lock().unwrap();
                state.staged.insert(index, request.body.clone());
                state.bad_since.remove(&index);
                drop(state);
                respond(stream, 200, "", b"")
            }
            path if path.starts_with("/api/stage-get/") => {
                let mut state = self.state.lock().unwrap();
                let bytes = state.staged.get(&index).cloned().unwrap_or_default();
                let is_last = index + 1 == CHUNKS;
                let watched = state
                    .watched
                    .take_if(|(version, _)| is_last && bytes == piece(*version, index));
                drop(state);
                let goes_on = respond(stream, 200, "", &bytes);
                if let Some((_, sender)) = watched {
                    let _ = sender.send(());
                }
                goes_on
            }
            _ => self.run(request, stream),
        }
    }

    fn order(&self, request: &Request, stream: &mut TcpStream) -> bool {
        let body = String::from_utf8_lossy(&request.body).into_owned();
        let version = number(&body, "version").unwrap_or_default();
        let expected = number(&body, "expectedRev");
        let mut state = self.state.lock().unwrap();
        state.settle();
        let status = if state.loading.is_some() || expected.is_some_and(|rev| rev != state.seq) {
            409
        } else if version == state.version {
            200
        } else {
            let now = Instant::now();
            let wrong = (0..CHUNKS).filter(|index| {
                let is_right = state.staged.get(index) == Some(&piece(version, *index));
                let bad_since = state.bad_since.get(index);
                let is_excused = bad_since.is_some_and(|since| now - *since <= EXCUSED);
                !is_right && !is_excused
            });
            let wrong: Vec<u32> = wrong.collect();
            let ages: Vec<f64> = wrong
                .iter()
                .filter_map(|index| Some((now - *state.bad_since.get(index)?).as_secs_f64()))
                .collect();
            self.record.line(format_args!(
                "engine {}: takes the layers of version {version}; wrong pieces: {wrong:?}, bad for {ages:?} s",
                self.id
            ));
            state.faulty = wrong;
            state.seq += 1;
            state.loading = Some((version, now + WARM));
            202
        };
        drop(state);
        self.record.line(format_args!(
            "engine {}: order {body}, answered {status}",
            self.id
        ));
        if status == 202 {
            self.entries.set_models(self.id, &models(0));
            let (entries, id) = (self.entries.clone(), self.id);
            std::thread::spawn(move || {
                sleep(WARM);
                entries.set_models(id, &models(version));
            });
        }
        respond(stream, status, "", b"")
    }

    fn run(&self, request: &Request, stream: &mut TcpStream) -> bool {
        let Some(attempt) = request.field("attempt-id").map(str::to_owned) else {
            return respond(stream, 400, "Not-Executed: 1\r\n", b"");
        };
        let echo = format!("Attempt-Id: {attempt}\r\n");
        let version = {
            let mut state = self.state.lock().unwrap();
            state.settle();
            match state.loading {
                Some(_) => 0,
                None => state.version,
            }
        };
        let wanted = request
            .field("expect-version")
            .and_then(|text| text.parse().ok());
        let is_other = request
            .field("expect-instance")
            .is_some_and(|expected| expected != self.id);
        if is_other || version == 0 || wanted.is_some_and(|wanted: u64| wanted != version) {
            return respond(
                stream,
                421,
                &format!("{echo}Instance-Id: {}\r\n", self.id),
                b"",
            );
        }
        let head = format!(
            "HTTP/1.1 200 OK\r\n{echo}Server-Seal: seal-{}\r\nWeight-Versions: {version}\r\n\
             Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n",
            self.id
        );
        let _ = stream.write_all(head.as_bytes());
        let last = request
            .field("last-event-id")
            .and_then(|text| text.parse().ok());
        for number in last.unwrap_or(0) + 1..=EVENTS {
            let event = format!("id: {number}\ndata: piece {number} of {EVENTS}\n\n");
            let chunk = format!("{:x}\r\n{event}\r\n", event.len());
            if stream.write_all(chunk.as_bytes()).is_err() {
                return false;
            }
            let mut state = self.state.lock().unwrap();
            state.faulty_events += u32::from(!state.faulty.is_empty());
            drop(state);
            sleep(Duration::from_millis(40));
        }
        let mut state = self.state.lock().unwrap();
        state.runs += 1;
        let faulty = state.faulty.clone();
        drop(state);
        self.record.line(format_args!(
            "engine {}: ran {attempt} on version {version}, wrong pieces in its layers: {faulty:?}",
            self.id
        ));
        stream.write_all(b"0\r\n\r\n").is_ok()
    }
}

/// Starts the origin; `named` is the newest named version.
fn start_origin(address: SocketAddr, named: Arc<AtomicU64>) -> Result<(), String> {
    let manifest = |version: u64| {
        let digests = (0..CHUNKS)
            .map(|index| format!("\"{}\"", hex(&sha256::digest(&piece(version, index)))));
        let digests: Vec<String> = digests.collect();
        format!(
            r#"{{"model":"{MODEL}","version":{version},"chunkBytes":{CHUNK_BYTES},"layers":16,"digests":[{}]}}"#,
            digests.join(",")
        )
    };
    let manifests: BTreeMap<u64, String> = (1..=4)
        .map(|version| (version, manifest(version)))
        .collect();
    serve(address, move |request, stream| {
        let version = request.query("version").and_then(|text| text.parse().ok());
        let named = named.load(Ordering::Relaxed);
        let version: u64 = version.unwrap_or(named);
        if version + 2 <= named {
            return respond(stream, 410, "", b"");
        }
        let index = request
            .query("sampleCount")
            .and_then(|text| text.parse().ok());
        match (manifests.get(&version), index) {
            (None, _) => respond(stream, 404, "", b""),
            (Some(_), Some(index)) => respond(stream, 200, "", &piece(version, index)),
            (Some(manifest), None) => respond(
                stream,
                200,
                "Content-Type: application/json\r\n",
                manifest.as_bytes(),
            ),
        }
    })
    .map_err(|error| error.to_string())
}

/// Has clients send streams until both engines have run some.
fn send_streams(rig: &Rig, gateways: &[SocketAddr], version: u64) -> Result<u32, String> {
    let mut served = 0;
    for round in 0..6 {
        let clients: Vec<_> = (0..6)
            .map(|number| {
                let attempt = format!("attempt-{version}-{round}-{number}");
                let bytes = request(
                    "POST",
                    "/summary/1",
                    &attempt,
                    6_000,
                    &prompt_fields(),
                    &attempt,
                );
                let gateway = gateways[number % gateways.len()];
                rig.record.line(format_args!(
                    "client {attempt}: POST /summary/1 to {gateway}"
                ));
                std::thread::spawn(move || (attempt, ask(gateway, &bytes, Duration::from_secs(6))))
            })
            .collect();
        for client in clients {
            let (attempt, answer) = client.join().map_err(|_| "a client failed")?;
            served += u32::from(answer.is_whole_success());
            rig.record.line(format_args!(
                "client {attempt}: status {}, signature {:?}, ended as complete: {}",
                answer.status,
                answer.field("server-seal"),
                answer.is_whole
            ));
        }
    }
    Ok(served)
}

pub fn run(record: Record) -> Outcome {
    let trouble = has_trouble();
    let rig = Rig::start(record)?;
    let named = Arc::new(AtomicU64::new(1));
    start_origin(rig.origin_address(), named.clone())?;
    let at = |machine: u8| SocketAddr::from((rig.machine(machine), 8001));
    let engines = [
        Engine::start(&rig, "i-model-a", at(11))?,
        Engine::start(&rig, "i-model-b", at(12))?,
    ];
    let loaders = [rig.start_loader(11)?, rig.start_loader(12)?];
    let (gateways, _processes): (Vec<_>, Vec<_>) = [rig.start_gateway(1)?, rig.start_gateway(2)?]
        .into_iter()
        .unzip();
    rig.watch();
    sleep(Duration::from_secs(3));
    for version in VERSIONS {
        let (sender, verified) = channel();
        engines[0].state.lock().unwrap().watched = Some((version, sender));
        named.store(version, Ordering::Relaxed);
        rig.store.put(
            &format!("op/version/{MODEL}"),
            &format!(r#"{{"model":"{MODEL}","version":{version}}}"#),
        );
        rig.record
            .line(format_args!("the operator names version {version}"));
        let is_verified = verified.recv_timeout(Duration::from_secs(30));
        is_verified.map_err(|_| "the loader did not stage the weights")?;
        if trouble {
            rig.record
                .line("the loader beside i-model-a has read the last piece back");
            let mut state = engines[0].state.lock().unwrap();
            if let Some(bytes) = state.staged.get_mut(&SPOILT) {
                bytes[0] ^= 1;
            }
            state.bad_since.insert(SPOILT, Instant::now());
            drop(state);
            rig.record
                .line(format_args!("piece {SPOILT} at i-model-a turns bad"));
            sleep(Duration::from_millis(5));
            loaders[0].signal(SIGSTOP);
            rig.record.line("the loader beside i-model-a freezes");
            sleep(FROZEN);
            loaders[0].signal(SIGCONT);
            rig.record.line("the loader wakes");
        }
        let deadline = Instant::now() + Duration::from_secs(15);
        while !engines.iter().all(|engine| {
            let mut state = engine.state.lock().unwrap();
            state.settle();
            state.version == version
        }) {
            if Instant::now() > deadline {
                return Err(format!("version {version} was not loaded everywhere"));
            }
            sleep(Duration::from_millis(20));
        }
        sleep(Duration::from_millis(600));
        let served = send_streams(&rig, &gateways, version)?;
        if served == 0 {
            return Err("no stream was served".to_owned());
        }
        for engine in &engines {
            let state = engine.state.lock().unwrap();
            if state.faulty_events > 0 {
                rig.record.line(format_args!(
                    "WHOLE: {} made {} events with layers that were taken while pieces {:?} were spoilt for over 3 s",
                    engine.id, state.faulty_events, state.faulty
                ));
                return Ok(Verdict::Broken);
            }
        }
        if !trouble {
            break;
        }
    }
    Ok(Verdict::Held)
}
