//! Child processes of a fleet, which are killed on drop.

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

/// Timeout for the `ready` line of a process.
const READY_TIMEOUT: Duration = Duration::from_secs(20);

/// A running child process.
pub struct Child {
    name: String,
    inner: std::process::Child,
    addresses: BTreeMap<String, SocketAddr>,
    ended: Option<ExitStatus>,
}

/// Folder with the binaries of the current build.
fn binary_folder() -> PathBuf {
    let mut folder = env::current_exe().unwrap_or_default();
    folder.pop();
    if folder.ends_with("deps") || folder.ends_with("examples") {
        folder.pop();
    }
    folder
}

/// Path of a binary of the workspace.
///
/// # Errors
///
/// Returns an error if the binary has not been built.
pub fn binary(name: &str) -> Result<PathBuf, Error> {
    let path = binary_folder().join(name);
    if path.exists() {
        return Ok(path);
    }
    Err(Error::new(
        "looking for",
        path.display(),
        "build it: cargo build --workspace --bins",
    ))
}

fn parse_ready_line(line: &str) -> Option<BTreeMap<String, SocketAddr>> {
    let pairs = line.strip_prefix("ready ")?.split_whitespace();
    pairs
        .map(|pair| {
            pair.split_once('=')
                .and_then(|(key, value)| Some((key.to_owned(), value.parse().ok()?)))
        })
        .collect()
}

impl Child {
    /// Starts `program` and waits until it is ready; its standard error is appended to `log`.
    ///
    /// # Errors
    ///
    /// Returns an error if the process cannot be started, exits, or is not ready in time.
    pub fn start(
        name: &str,
        program: &str,
        arguments: &[String],
        log: &Path,
    ) -> Result<Self, Error> {
        let start_error = |cause: String| Error::new("starting", name, cause);
        let log = File::options().create(true).append(true).open(log);
        let log = log.map_err(|cause| start_error(cause.to_string()))?;
        let mut inner = Command::new(binary(program)?)
            .args(arguments)
            .stdin(Stdio::null())
            .stdout(Stdio::piped())
            .stderr(log)
            .spawn()
            .map_err(|cause| start_error(cause.to_string()))?;
        let output = inner
            .stdout
            .take()
            .ok_or_else(|| start_error("standard output is not captured".to_owned()))?;
        let (sender, lines) = mpsc::channel();
        thread::spawn(move || {
            for line in BufReader::new(output).lines().map_while(Result::ok) {
                // The receiver is dropped once the process is ready.
                let _ = sender.send(line);
            }
        });
        let mut child = Self {
            name: name.to_owned(),
            inner,
            addresses: BTreeMap::new(),
            ended: None,
        };
        let line = lines.recv_timeout(READY_TIMEOUT).map_err(|_| {
            start_error("process exited or was not ready in time; see its log".to_owned())
        })?;
        child.addresses = parse_ready_line(&line).ok_or_else(|| start_error(line))?;
        Ok(child)
    }

    /// Name of the process in the fleet.
    pub fn name(&self) -> &str {
        &self.name
    }

    /// Address on which the process listens for `listener`, from its `ready` line.
    ///
    /// # Panics
    ///
    /// Panics if the `ready` line has no such address.
    pub fn address(&self, listener: &str) -> SocketAddr {
        self.addresses[listener]
    }

    /// Process ID.
    pub fn id(&self) -> u32 {
        self.inner.id()
    }

    /// Kills the process and waits for its exit.
    pub fn kill(&mut self) {
        let _ = self.inner.kill();
        let _ = self.inner.wait();
    }

    /// Suspends the process (SIGSTOP).
    pub fn freeze(&self) {
        self.signal(libc::SIGSTOP);
    }

    /// Continues the suspended process (SIGCONT).
    pub fn thaw(&self) {
        self.signal(libc::SIGCONT);
    }

    /// Requests termination (SIGTERM).
    pub fn terminate(&self) {
        self.signal(libc::SIGTERM);
    }

    /// Exit status, or none while the process runs.
    pub fn ended(&mut self) -> Option<ExitStatus> {
        if self.ended.is_none() {
            self.ended = self.inner.try_wait().ok().flatten();
        }
        self.ended
    }

    #[expect(unsafe_code, reason = "signals are sent by the system's own call")]
    fn signal(&self, signal: libc::c_int) {
        // SAFETY: `kill` takes no pointers.
        unsafe { libc::kill(self.inner.id() as libc::pid_t, signal) };
    }
}

impl Drop for Child {
    fn drop(&mut self) {
        self.kill();
    }
}
