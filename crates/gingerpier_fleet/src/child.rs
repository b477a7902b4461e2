//! A process that was started here, and is ended here.

use {
    crate::error::Error,
    std::{
        collections::BTreeMap,
        env,
        fs::File,
        io::{BufRead, BufReader},
        net::SocketAddr,
        path::{Path, PathBuf},
        process::{Command, ExitStatus, Stdio},
        sync::mpsc,
        thread,
        time::Duration,
    },
};

/// Time for a process to say that it is ready.
const READY_PATIENCE: Duration = Duration::from_secs(20);

/// A process.
pub struct Child {
    name: String,
    inner: std::process::Child,
    ready: BTreeMap<String, SocketAddr>,
    ended: Option<ExitStatus>,
}

/// Folder of the binaries beside the one that runs.
fn binaries() -> PathBuf {
    let mut folder = env::current_exe().unwrap_or_default();
    folder.pop();
    if folder.ends_with("deps") || folder.ends_with("examples") {
        folder.pop();
    }
    folder
}

/// Path of a binary of this workspace.
///
/// # Errors
///
/// Where it was not built.
pub fn binary(name: &str) -> Result<PathBuf, Error> {
    let path = binaries().join(name);
    if path.exists() {
        return Ok(path);
    }
    Err(Error::new(
        "looking for",
        path.display(),
        "build it: cargo build --workspace --bins",
    ))
}

fn addresses(line: &str) -> Option<BTreeMap<String, SocketAddr>> {
    let pairs = line.strip_prefix("ready ")?.split_whitespace();
    pairs
        .map(|pair| {
            pair.split_once('=')
                .and_then(|(key, value)| Some((key.to_owned(), value.parse().ok()?)))
        })
        .collect()
}

impl Child {
    /// Starts `program` and waits until it is ready; its log goes to `log`.
    ///
    /// # Errors
    ///
    /// Where it can't be started, or ends instead.
    pub fn start(
        name: &str,
        program: &str,
        arguments: &[String],
        log: &Path,
    ) -> Result<Self, Error> {
        let wrong = |what: String| Error::new("starting", name, what);
        let log = File::options().create(true).append(true).open(log);
        let log = log.map_err(|what| wrong(what.to_string()))?;
        let mut inner = Command::new(binary(program)?)
            .args(arguments)
            .stdin(Stdio::null())
            .stdout(Stdio::piped())
            .stderr(log)
            .spawn()
            .map_err(|what| wrong(what.to_string()))?;
        let output = inner
            .stdout
            .take()
            .ok_or_else(|| wrong("no output".to_owned()))?;
        let (sender, lines) = mpsc::channel();
        thread::spawn(move || {
            for line in BufReader::new(output).lines().map_while(Result::ok) {
                // Nobody listens once the process is ready.
                let _ = sender.send(line);
            }
        });
        let mut child = Self {
            name: name.to_owned(),
            inner,
            ready: BTreeMap::new(),
            ended: None,
        };
        let line = lines
            .recv_timeout(READY_PATIENCE)
            .map_err(|_| wrong("it ended, or said nothing; see its log".to_owned()))?;
        child.ready = addresses(&line).ok_or_else(|| wrong(line))?;
        Ok(child)
    }

    /// Its name.
    pub fn name(&self) -> &str {
        &self.name
    }

    /// Address that it listens on for `what`.
    ///
    /// # Panics
    ///
    /// Where it did not say that it listens for that.
    pub fn address(&self, what: &str) -> SocketAddr {
        self.ready[what]
    }

    /// Id of the process.
    pub fn id(&self) -> u32 {
        self.inner.id()
    }

    /// Kills it at once.
    pub fn kill(&mut self) {
        let _ = self.inner.kill();
        let _ = self.inner.wait();
    }

    /// Freezes it.
    pub fn freeze(&self) {
        self.signal(libc::SIGSTOP);
    }

    /// Lets it go on.
    pub fn thaw(&self) {
        self.signal(libc::SIGCONT);
    }

    /// Asks it to stop.
    pub fn terminate(&self) {
        self.signal(libc::SIGTERM);
    }

    /// Exit status, once it has ended.
    pub fn ended(&mut self) -> Option<ExitStatus> {
        if self.ended.is_none() {
            self.ended = self.inner.try_wait().ok().flatten();
        }
        self.ended
    }

    #[expect(unsafe_code, reason = "signals are sent by the system's own call")]
    fn signal(&self, signal: libc::c_int) {
        // SAFETY: The call takes numbers only. The process was started here and not yet waited
        // for, so its id is its own.
        unsafe { libc::kill(self.inner.id() as libc::pid_t, signal) };
    }
}

impl Drop for Child {
    fn drop(&mut self) {
        self.kill();
    }
}
