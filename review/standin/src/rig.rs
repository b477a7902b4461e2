//! What the scripts share: addresses, processes, settings, the configuration and the record.

use {
    crate::{http, store::Store},
    std::{
        fmt::Display,
        fs::File,
        io::{self, BufRead, BufReader, Write},
        net::{Ipv4Addr, SocketAddr, TcpListener},
        os::unix::process::CommandExt,
        path::{Path, PathBuf},
        process::{Child, Command, Stdio},
        sync::{
            atomic::{AtomicBool, Ordering},
            mpsc::{channel, Receiver},
            Arc, Mutex,
        },
        thread::sleep,
        time::{Duration, Instant},
    },
};

pub const MODEL: &str = "daka510000";
pub const KEY: &str = "jnbanfqasnmgkcuyj8pj";
pub const TENANT: &str = "bozi300";
pub const ENGINES: &str = "gp-models";
pub const GALLERY: &str = "gallery-api";
pub const CHUNKS: u32 = 48;
pub const CHUNK_BYTES: usize = 8_192;

/// Ends of a script.
pub enum Verdict {
    Held,
    Broken,
}

pub type Outcome = Result<Verdict, String>;

extern "C" {
    fn kill(pid: i32, signal: i32) -> i32;
    fn prctl(option: i32, ...) -> i32;
}

/// Has the kernel kill this process when its parent ends, whatever ends it.
fn end_with_parent() -> io::Result<()> {
    const PR_SET_PDEATHSIG: i32 = 1;
    // SAFETY: the option takes a signal number.
    unsafe { prctl(PR_SET_PDEATHSIG, SIGKILL as u64, 0u64, 0u64, 0u64) };
    Ok(())
}

pub const SIGKILL: i32 = 9;
pub const SIGCONT: i32 = 18;
pub const SIGSTOP: i32 = 19;

/// Sends a signal to a process that this program started and has not waited for.
fn signal(child: &Child, number: i32) {
    // SAFETY: the process is a child that has not been waited for, so the id is its own.
    unsafe { kill(child.id() as i32, number) };
}

/// True unless `TROUBLE` is 0.
pub fn has_trouble() -> bool {
    std::env::var("TROUBLE").as_deref() != Ok("0")
}

/// The record of a run: what was sent, answered and run.
#[derive(Clone)]
pub struct Record {
    start: Instant,
    file: Arc<Mutex<File>>,
}

impl Record {
    pub fn create(folder: &Path) -> io::Result<Self> {
        let file = File::create(folder.join("record.txt"))?;
        Ok(Self {
            start: Instant::now(),
            file: Arc::new(Mutex::new(file)),
        })
    }

    pub fn line(&self, text: impl Display) {
        let at = self.start.elapsed().as_secs_f64();
        let mut file = self.file.lock().unwrap();
        let _ = writeln!(file, "{at:8.3} s  {text}");
        let _ = file.flush();
    }
}

/// A process that is killed when dropped.
pub struct Process {
    child: Child,
    pub lines: Receiver<String>,
}

impl Process {
    /// Starts a command; its output lines arrive in `lines` and are appended to `log`.
    pub fn start(command: &mut Command, log: &Path) -> io::Result<Self> {
        // SAFETY: the call is one system call, which takes no lock and allocates nothing.
        unsafe { command.pre_exec(end_with_parent) };
        let mut child = command.stdout(Stdio::piped()).spawn()?;
        let output = child
            .stdout
            .take()
            .ok_or_else(|| io::Error::other("no output"))?;
        let mut log = File::options().create(true).append(true).open(log)?;
        let (sender, lines) = channel();
        std::thread::spawn(move || {
            for line in BufReader::new(output).lines().map_while(Result::ok) {
                let _ = writeln!(log, "{line}");
                let _ = sender.send(line);
            }
        });
        Ok(Self { child, lines })
    }

    pub fn signal(&self, number: i32) {
        signal(&self.child, number);
    }

    /// Kills the process and waits for its end.
    pub fn kill(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        self.kill();
    }
}

/// Entries of engines in the store, which are written again at each heartbeat.
#[derive(Clone)]
pub struct Entries {
    store: Store,
    alive: Arc<Mutex<Vec<Entry>>>,
}

struct Entry {
    id: String,
    service: String,
    address: SocketAddr,
    models: String,
    seq: u64,
    ends: Option<Instant>,
}

impl Entry {
    fn write(&mut self, store: &Store) {
        self.seq += 1;
        let Self {
            id,
            service,
            address,
            models,
            seq,
            ..
        } = self;
        store.put(
            &format!("servers/{id}"),
            &format!(
                r#"{{"service":"{service}","address":"{address}","zone":"kochi-hall-a","version":"v1","slots":16,"state":"ready","coldLeftMs":0,"phase":"colocated","models":{models},"seq":{seq}}}"#
            ),
        );
    }
}

const HEARTBEAT: Duration = Duration::from_millis(1_200);

impl Entries {
    fn start(store: Store) -> Self {
        let entries = Self {
            store,
            alive: Arc::default(),
        };
        let beating = entries.clone();
        std::thread::spawn(move || loop {
            sleep(HEARTBEAT);
            let mut alive = beating.alive.lock().unwrap();
            let now = Instant::now();
            alive.retain_mut(|entry| match entry.ends {
                Some(ends) if ends <= now => {
                    beating.store.remove(&format!("servers/{}", entry.id));
                    false
                }
                Some(_) => true,
                None => {
                    entry.write(&beating.store);
                    true
                }
            });
        });
        entries
    }

    /// Adds the entry of an engine that has started.
    pub fn add(&self, id: &str, service: &str, address: SocketAddr, models: &str) {
        let mut entry = Entry {
            id: id.to_owned(),
            service: service.to_owned(),
            address,
            models: models.to_owned(),
            seq: 0,
            ends: None,
        };
        entry.write(&self.store);
        self.alive.lock().unwrap().push(entry);
    }

    /// Changes the models that an engine tells.
    pub fn set_models(&self, id: &str, models: &str) {
        for entry in self.alive.lock().unwrap().iter_mut() {
            if entry.id == id {
                entry.models = models.to_owned();
                entry.write(&self.store);
            }
        }
    }

    /// An engine has crashed: its entry goes after three heartbeats.
    pub fn crash(&self, id: &str) {
        for entry in self.alive.lock().unwrap().iter_mut() {
            if entry.id == id {
                entry.ends = Some(Instant::now() + 3 * HEARTBEAT);
            }
        }
    }
}

/// A small deployment on loopback addresses.
pub struct Rig {
    pub record: Record,
    pub folder: PathBuf,
    pub store: Store,
    pub store_address: SocketAddr,
    pub entries: Entries,
    base: [u8; 2],
    is_done: Arc<AtomicBool>,
}

/// Time after which a script that hangs ends.
const WATCHDOG: Duration = Duration::from_secs(110);

const PORTS: [u16; 5] = [8000, 8002, 8005, 8001, 7700];

impl Rig {
    /// Starts the store with a configuration.
    pub fn start(record: Record) -> Result<Self, String> {
        let folder = std::env::temp_dir().join(format!("gingerpier-review-{}", std::process::id()));
        std::fs::create_dir_all(&folder).map_err(|error| error.to_string())?;
        let base = free_base().ok_or("no free addresses")?;
        let store_address = SocketAddr::from((Ipv4Addr::new(127, base[0], base[1], 200), 8007));
        let store = Store::start(store_address).map_err(|error| error.to_string())?;
        let origin = SocketAddr::from((Ipv4Addr::new(127, base[0], base[1], 201), 8006));
        store.put("op/config", &configuration(origin));
        record.line(format_args!(
            "store at {store_address}; configuration 7 written"
        ));
        Ok(Self {
            entries: Entries::start(store.clone()),
            record,
            folder,
            store,
            store_address,
            base,
            is_done: Arc::default(),
        })
    }

    pub fn origin_address(&self) -> SocketAddr {
        SocketAddr::from((self.machine(201), 8006))
    }

    /// Address of a machine.
    pub fn machine(&self, number: u8) -> Ipv4Addr {
        Ipv4Addr::new(127, self.base[0], self.base[1], number)
    }

    /// Seeds: the control addresses of the first gateways.
    fn seeds(&self) -> String {
        format!("{}:8000,{}:8000", self.machine(1), self.machine(2))
    }

    /// Starts `gingerpierd` as the deploy file does, with the settings that the templates give.
    fn start_daemon(&self, name: &str, settings: &str) -> Result<Process, String> {
        let path = self.folder.join(format!("{name}.yaml"));
        std::fs::write(&path, settings).map_err(|error| error.to_string())?;
        let mut command = Command::new("target/release/gingerpierd");
        command.arg("run").arg("--settings").arg(&path);
        self.record.line(format_args!(
            "start of {name}: target/release/gingerpierd run --settings FILE"
        ));
        Process::start(&mut command, &self.folder.join(format!("{name}.log")))
            .map_err(|error| format!("{name} not started: {error}"))
    }

    /// Starts a gateway on machine `number` and waits until it is ready.
    pub fn start_gateway(&self, number: u8) -> Result<(SocketAddr, Process), String> {
        let ip = self.machine(number);
        let (name, seeds, store) = (format!("edge-{number}"), self.seeds(), self.store_address);
        let process = self.start_daemon(
            &name,
            &format!(
                "role: gateway\nname: {name}\nzone: kochi-hall-a\n\
                 regions: [kochi-hall-a=kochi,tvm-hall-b=trivandrum,kzd-hall-c=kozhikode]\n\
                 callers: {ip}:8005\nreadiness: {ip}:8002\ncontrol: {ip}:8000\npeers: {ip}:7700\n\
                 seeds: [{seeds}]\nstore: {store}\ndrain_within: 8s\nversion_within: 8000ms\n\
                 retry_ratio: 0.2\nretry_extra: 102\nretry_window: 10s\ncarries_weights: true\n"
            ),
        )?;
        let ready = SocketAddr::from((ip, 8002));
        let request = b"GET /api/readyz HTTP/1.1\r\nHost: a\r\n\r\n";
        let deadline = Instant::now() + Duration::from_secs(15);
        while http::ask(ready, request, Duration::from_secs(1)).status != 200 {
            if Instant::now() > deadline {
                return Err(format!("{name} did not become ready"));
            }
            sleep(Duration::from_millis(50));
        }
        self.record
            .line(format_args!("{name} is ready at {ip}:8005"));
        Ok((SocketAddr::from((ip, 8005)), process))
    }

    /// Starts the loader beside the engine on machine `number`.
    pub fn start_loader(&self, number: u8) -> Result<Process, String> {
        let ip = self.machine(number);
        let (name, seeds, store) = (format!("side-{number}"), self.seeds(), self.store_address);
        self.start_daemon(
            &name,
            &format!(
                "role: loader\nname: {name}\nzone: kochi-hall-a\n\
                 regions: [kochi-hall-a=kochi,tvm-hall-b=trivandrum,kzd-hall-c=kozhikode]\n\
                 engine: {ip}:8001\npeers: {ip}:7700\nstore: {store}\nversion_within: 8000ms\n\
                 link: 7.3\nweights_from_gateways: true\nseeds: [{seeds}]\n"
            ),
        )
    }

    /// Ends the whole program if it takes too long; its processes end with it.
    pub fn watch(&self) {
        let is_done = self.is_done.clone();
        std::thread::spawn(move || {
            sleep(WATCHDOG);
            if !is_done.load(Ordering::Relaxed) {
                eprintln!("the script took too long");
                std::process::exit(2);
            }
        });
    }
}

impl Drop for Rig {
    fn drop(&mut self) {
        self.is_done.store(true, Ordering::Relaxed);
        if std::env::var_os("KEEP").is_none() {
            let _ = std::fs::remove_dir_all(&self.folder);
        }
    }
}

/// Two middle bytes of loopback addresses on which the ports are free.
fn free_base() -> Option<[u8; 2]> {
    let process = std::process::id().to_le_bytes();
    (0..64u8)
        .map(|step| [64 + (process[1] ^ step) % 128, process[0]])
        .find(|base| {
            let machines = [1, 2, 11, 12, 13, 14, 200, 201];
            machines.into_iter().all(|machine| {
                let ip = Ipv4Addr::new(127, base[0], base[1], machine);
                PORTS
                    .into_iter()
                    .all(|port| TcpListener::bind((ip, port)).is_ok())
            })
        })
}

/// Configuration with the kinds of routes and services of the small archive deployment.
fn configuration(origin: SocketAddr) -> String {
    let route = |name: &str, rest: &str| {
        format!(
            r#"{{"name":"{name}","host":"archive.example","pathPrefix":"/{name}/",{rest},"public":false}}"#
        )
    };
    let stream = format!(
        r#""type":"streaming","timeoutMs":6000,"targetLatencyMs":500,"priority":1,"service":"{ENGINES}","maxAttempts":2,"sticky":true,"resumable":true,"itlTargetMs":400"#
    );
    let fetch = |kind: &str, attempts: u32| {
        format!(
            r#""type":"{kind}","timeoutMs":2000,"targetLatencyMs":300,"priority":2,"service":"{GALLERY}","maxAttempts":{attempts},"sticky":false"#
        )
    };
    let routes = [
        route("summary", &stream),
        route("thumb", &fetch("unsafe", 1)),
        route("record", &fetch("safe", 2)),
    ];
    let engine = format!(
        r#"{{"slots":16,"kvCapacity":317000,"kvTokenBytes":262144,"linkMbps":400000.0,"stride":5,"models":[{{"name":"{MODEL}","pace":1.0,"loadS":4.0,"warmS":0.3}}],"sizeMb":149000.0,"adapterSlots":8,"loadsPerS":0.0,"step_ms":9.27,"per_seq_ms":0.0232,"context_per_k":0.0322,"read_per_s":20700.0,"pairs_per_m":1.18,"chunk":2048,"report_lag_ms":200.0,"usual":{{"prompt":979,"answer":92}},"layers":16,"layer_mb":4090.0,"act_bytes":16384,"chunks":{CHUNKS},"chunkBytes":{CHUNK_BYTES}}}"#
    );
    format!(
        r#"{{"version":7,"routes":[{}],"services":[{{"name":"{ENGINES}","healthPath":"/healthz","maxConns":424,"protocol":"h1","tls":false,"engine":{engine}}},{{"name":"ingest-svc","origin":"{origin}","zone":"kochi-hall-a","linkMbps":7.3,"maxConns":48}},{{"name":"{GALLERY}","healthPath":"/healthz","maxConns":100,"protocol":"h1","tls":false}}],"limits":{{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000}},"tenants":[{{"name":"{TENANT}","apiKeys":["{KEY}"],"priority":1}}]}}"#,
        routes.join(",")
    )
}

/// Models that an engine with a version tells; version 0 stands for no layers.
pub fn models(version: u64) -> String {
    match version {
        0 => "[]".to_owned(),
        _ => format!(r#"[{{"name":"{MODEL}","version":{version},"adapters":[]}}]"#),
    }
}

/// A client's request.
pub fn request(
    method: &str,
    path: &str,
    id: &str,
    deadline: u64,
    fields: &str,
    body: &str,
) -> Vec<u8> {
    let length = match method {
        "GET" => String::new(),
        _ => format!("Content-Length: {}\r\n", body.len()),
    };
    format!(
        "{method} {path} HTTP/1.1\r\nHost: archive.example\r\nAttempt-Id: {id}\r\n\
         Deadline-Ms: {deadline}\r\nCredential: {KEY}\r\n{fields}{length}\r\n{body}"
    )
    .into_bytes()
}

/// Fields of a request to a model engine.
pub fn prompt_fields() -> String {
    format!("Model: {MODEL}\r\nToken-Usage: 100,100\r\nPrefix-Hash: 5c1e07a2:40,91bd3f06:60\r\n")
}
