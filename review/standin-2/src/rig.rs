//! The project's own program as a process, with settings like those of a small deployment, and the
//! record of a run.

use {
    crate::store::Store,
    std::{
        fs,
        io::Write,
        net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream},
        path::{Path, PathBuf},
        process::{Child, Command, Stdio},
        sync::{Arc, Mutex},
        time::{Duration, Instant},
    },
};

/// Whether the disruption of the case is played.
pub fn has_trouble() -> bool {
    std::env::var("TROUBLE").map_or(true, |text| text != "0")
}

/// What was sent, answered and run.
#[derive(Clone)]
pub struct Record {
    file: Arc<Mutex<fs::File>>,
    started: Instant,
}

impl Record {
    pub fn create(path: &Path) -> Self {
        let file = fs::File::create(path).expect("a record");
        Self { file: Arc::new(Mutex::new(file)), started: Instant::now() }
    }

    /// Milliseconds since the start of the run.
    pub fn millis(&self) -> u64 {
        self.started.elapsed().as_millis() as u64
    }

    /// Adds a line with the time since the start.
    pub fn line(&self, text: &str) {
        let millis = self.millis();
        let mut file = self.file.lock().expect("not poisoned");
        let _ = writeln!(file, "{millis:>7} ms  {text}");
    }

    /// Adds a line to the record and to the standard output.
    pub fn say(&self, text: &str) {
        self.line(text);
        println!("{text}");
    }
}

/// Folder for settings and logs, removed at the end.
pub struct Folder(pub PathBuf);

impl Folder {
    pub fn create() -> Self {
        let path = std::env::temp_dir().join(format!("review-2-{}", std::process::id()));
        fs::create_dir_all(&path).expect("a folder");
        Self(path)
    }
}

impl Drop for Folder {
    fn drop(&mut self) {
        let _ = fs::remove_dir_all(&self.0);
    }
}

/// A loopback address of its own for each machine of a run.
pub fn machine(number: u8) -> Ipv4Addr {
    let process = std::process::id().to_le_bytes();
    Ipv4Addr::new(127, process[1] & 63 | 128, process[0], number)
}

/// Socket address of a machine.
pub fn at(number: u8, port: u16) -> SocketAddr {
    SocketAddr::from((machine(number), port))
}

/// A free port of a machine.
pub fn free(number: u8) -> SocketAddr {
    let listener = TcpListener::bind(at(number, 0)).expect("a free port");
    listener.local_addr().expect("an address")
}

/// A process of the project, killed when dropped.
pub struct Process {
    child: Child,
}

impl Process {
    /// Starts `target/release/gingerpierd run --settings FILE`, the command of the deploy file.
    pub fn start(folder: &Folder, name: &str, settings: &str) -> Self {
        let path = folder.0.join(format!("{name}.yaml"));
        fs::write(&path, settings).expect("settings");
        let log = match std::env::var("KEEP_LOGS") {
            Ok(kept) => fs::File::create(Path::new(&kept).join(format!("{name}.log"))),
            Err(_) => fs::File::create(folder.0.join(format!("{name}.log"))),
        };
        let program = std::env::var("PROGRAM").unwrap_or_else(|_| "target/release/gingerpierd".to_owned());
        let child = Command::new(program)
            .args(["run", "--settings"])
            .arg(&path)
            .stdin(Stdio::null())
            .stdout(log.expect("a log"))
            .stderr(Stdio::null())
            .spawn()
            .expect("gingerpierd is built");
        Self { child }
    }

    pub fn has_ended(&mut self) -> bool {
        matches!(self.child.try_wait(), Ok(Some(_)))
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// Settings of a gateway on a machine, as the template of the deploy file gives them.
pub fn gateway_settings(number: u8, store: &Store) -> String {
    let own = machine(number);
    format!(
        "role: gateway\nname: edge-{number}\nzone: a\nregions: [a=r]\n\
         callers: {own}:8005\nreadiness: {own}:8002\ncontrol: {own}:8000\npeers: {own}:7700\n\
         seeds: [{own}:8000]\nstore: {}\ndrain_within: 8s\nversion_within: 8000ms\n\
         retry_ratio: 0.2\nretry_extra: 100\nretry_window: 10s\ncarries_weights: true\n",
        store.address
    )
}

/// Waits until the gateway says that it is ready; false after ten seconds.
pub fn wait_ready(number: u8) -> bool {
    let deadline = Instant::now() + Duration::from_secs(10);
    while Instant::now() < deadline {
        if let Ok(stream) = TcpStream::connect(at(number, 8002)) {
            let _ = stream.set_read_timeout(Some(Duration::from_secs(1)));
            let mut connection = crate::http::Connection::new(stream);
            let request = b"GET /api/readyz HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n";
            let written = connection.stream.write_all(request);
            if written.is_ok() && connection.message().is_some_and(|message| message.status() == 200) {
                return true;
            }
        }
        std::thread::sleep(Duration::from_millis(50));
    }
    false
}

/// Entry of an engine of an ordinary service.
pub fn entry(service: &str, address: SocketAddr) -> String {
    format!(
        r#"{{"service":"{service}","address":"{address}","zone":"a","version":"v1","slots":16,"state":"ready","coldLeftMs":0,"seq":1}}"#
    )
}
