//! A fleet of real processes.

use {
    crate::{
        caller::Caller,
        child::{Child, binary},
        error::Error,
        spec::{Spec, Zone},
        weights,
    },
    awc::Client,
    gingerpier_base::{Name, place::Role},
    gingerpier_daemon::{operator_api::StatementResponse, table::Table},
    gingerpier_http::Listener,
    gingerpier_link::{Authority, Identity},
    gingerpier_services::box_list::{Entry as ListedBox, Listed},
    gingerpier_standins::{
        engine::{self, Run},
        service::Call as ServiceCall,
    },
    serde::{Serialize, de::DeserializeOwned},
    std::{
        cell::RefCell,
        env, fs,
        net::SocketAddr,
        path::{Path, PathBuf},
        time::{Duration, Instant},
    },
    tokio::process::Command,
};

/// Environment variable that keeps the folder of a fleet, including its logs, after a test.
const KEEP_VARIABLE: &str = "GINGERPIER_KEEP";
/// Timeout of [`Fleet::until`].
const UNTIL_TIMEOUT: Duration = Duration::from_secs(60);
/// Interval at which [`Fleet::until`] checks its condition.
const CHECK_INTERVAL: Duration = Duration::from_millis(50);
/// Bearer token of the client account that [`Fleet::deploy`] creates.
pub const TOKEN: &str = "observatory-token";
/// Kind of the model engines.
pub const KIND: &str = "lm";

/// A backend server with its engines and services.
pub struct Server {
    /// Name of the box.
    pub name: String,
    /// Process of the box.
    pub child: Child,
    /// Processes of its model engines; empty if they run in the harness.
    pub engines: Vec<Child>,
    /// Processes of its plain services.
    pub services: Vec<Child>,
    /// Process of the link to the server, if [`Spec::links`] is set.
    pub link: Option<Child>,
    zone: Zone,
    settings: PathBuf,
}

/// An entry box.
pub struct EntryBox {
    /// Name of the box.
    pub name: String,
    /// Process of the box.
    pub child: Child,
    zone: Zone,
}

/// A running fleet.
pub struct Fleet {
    /// Folder of settings, keys, logs and weights.
    pub folder: PathBuf,
    /// Specification of the fleet.
    pub spec: Spec,
    /// Key-value service.
    pub key_value: Child,
    /// Origin of weights.
    pub origin: Child,
    /// Box list.
    pub box_list: Child,
    /// Entry boxes.
    pub entries: Vec<EntryBox>,
    /// Backend servers.
    pub servers: Vec<Server>,
    leaving: RefCell<Vec<String>>,
    http: Client,
    authority: Authority,
    keep: bool,
}

impl Drop for Fleet {
    fn drop(&mut self) {
        if !self.keep && !std::thread::panicking() {
            let _ = fs::remove_dir_all(&self.folder);
        }
    }
}

fn to_strings(arguments: &[&str]) -> Vec<String> {
    arguments
        .iter()
        .map(|argument| (*argument).to_owned())
        .collect()
}

impl Fleet {
    /// Starts a fleet in a new temporary folder and waits until all boxes are alive.
    ///
    /// # Errors
    ///
    /// Returns an error if a process does not start or a box does not become alive.
    pub async fn start(spec: Spec) -> Result<Self, Error> {
        let name = format!("gingerpier-{:016x}", fastrand::u64(..));
        let keep = env::var_os(KEEP_VARIABLE).is_some();
        Self::start_in(env::temp_dir().join(name), spec, keep).await
    }

    /// Starts a fleet in `folder`; `keep` leaves the folder in place afterwards.
    ///
    /// # Errors
    ///
    /// Returns an error if a process does not start or a box does not become alive.
    pub async fn start_in(folder: PathBuf, spec: Spec, keep: bool) -> Result<Self, Error> {
        for part in ["logs", "settings", "weights"] {
            let path = folder.join(part);
            fs::create_dir_all(&path)
                .map_err(|cause| Error::new("making", path.display(), cause))?;
        }
        let start_standin = |name: &str, arguments: &[&str]| {
            let log = folder.join("logs").join(format!("{name}.log"));
            Child::start(name, "gingerpier-standin", &to_strings(arguments), &log)
        };
        let root = folder.join("weights").display().to_string();
        let rate = spec.origin_rate.to_string();
        let lag = spec.list_lag_millis.to_string();
        let authority = Authority::open_or_create(&folder.join("keys"));
        let mut fleet = Self {
            key_value: start_standin("key-value", &["key-value"])?,
            origin: start_standin(
                "origin",
                &["origin", "--root", &root, "--bytes-a-second", &rate],
            )?,
            box_list: start_standin("box-list", &["box-list", "--lag-millis", &lag])?,
            entries: Vec::new(),
            servers: Vec::new(),
            leaving: RefCell::default(),
            http: Client::builder().disable_timeout().finish(),
            authority: authority.map_err(|cause| Error::new("making keys", "authority", cause))?,
            keep,
            folder: folder.clone(),
            spec,
        };
        for zone in fleet.spec.zones.clone() {
            for index in 0..zone.entries {
                fleet.add_entry(&zone, index)?;
            }
            for index in 0..zone.backends {
                fleet.add_server(&zone, index)?;
            }
        }
        fleet.write_operator()?;
        fleet.publish().await?;
        let boxes = fleet.entries.len() + fleet.servers.len();
        fleet
            .until("every box is alive", || async {
                let table = fleet.table("show boxes").await?;
                let alive = table.rows.iter().filter(|row| row[4] == "alive").count();
                Ok((alive == boxes)
                    .then_some(())
                    .ok_or_else(|| format!("{alive} of {boxes} alive")))
            })
            .await?;
        Ok(fleet)
    }

    fn start_child(&self, name: &str, program: &str, arguments: &[&str]) -> Result<Child, Error> {
        let log = self.folder.join("logs").join(format!("{name}.log"));
        Child::start(name, program, &to_strings(arguments), &log)
    }

    fn issue_keys(&self, role: Role, name: &str) -> Result<PathBuf, Error> {
        let folder = self.folder.join("keys").join(role.as_str()).join(name);
        let to_error = |cause: String| Error::new("making keys", name, cause);
        let parsed: Name = name
            .parse()
            .map_err(|cause: gingerpier_base::name::Error| to_error(cause.to_string()))?;
        let identity = Identity { role, name: parsed };
        self.authority
            .issue(&identity, &folder)
            .map_err(|cause| to_error(cause.to_string()))?;
        Ok(folder)
    }

    fn write_settings(&self, name: &str, text: &str) -> Result<PathBuf, Error> {
        let path = self.folder.join("settings").join(format!("{name}.yaml"));
        fs::write(&path, text).map_err(|cause| Error::new("writing", path.display(), cause))?;
        Ok(path)
    }

    fn start_daemon(&self, name: &str, settings: &Path) -> Result<Child, Error> {
        let settings = settings.display().to_string();
        self.start_child(name, "gingerpierd", &["run", "--settings", &settings])
    }

    /// Starts an entry box, which is listed by the next [`Fleet::publish`].
    ///
    /// # Errors
    ///
    /// Returns an error if a process does not start.
    pub fn add_entry(&mut self, zone: &Zone, index: usize) -> Result<(), Error> {
        let name = format!("{}-entry-{index}", zone.name);
        let keys = self.issue_keys(Role::Entry, &name)?;
        let text = format!(
            "role: entry\nbox: {name}\nregion: {}\nzone: {}\nkeys: {}\nlisten:\n  \
             callers: 127.0.0.1:0\n  operators: 127.0.0.1:0\n  peers: 127.0.0.1:0\n  \
             metrics: 127.0.0.1:0\nkey_value:\n  url: http://{}\n  patience: 1s\n\
             box_list: http://{}/boxes\n{}",
            zone.region,
            zone.name,
            keys.display(),
            self.key_value.address("address"),
            self.box_list.address("address"),
            self.spec.entry,
        );
        let settings = self.write_settings(&name, &text)?;
        let child = self.start_daemon(&name, &settings)?;
        self.entries.push(EntryBox {
            name,
            child,
            zone: zone.clone(),
        });
        Ok(())
    }

    /// Starts a backend server, which is listed by the next [`Fleet::publish`].
    ///
    /// # Errors
    ///
    /// Returns an error if a process does not start.
    pub fn add_server(&mut self, zone: &Zone, index: usize) -> Result<(), Error> {
        let name = format!("{}-b{index}", zone.name);
        let mut engines = Vec::new();
        let mut engine_lines = String::new();
        for engine in 0..self.spec.engines {
            let engine = format!("{name}-e{engine}");
            let address = if self.spec.engines_in_process {
                self.start_engine_in_process()?
            } else {
                let child = self.start_engine(&engine)?;
                let address = child.address("address");
                engines.push(child);
                address
            };
            engine_lines += &format!(
                "  - name: {engine}\n    kind: {KIND}\n    url: http://{address}\n    checks_fences: {}\n",
                self.spec.checks_fences,
            );
        }
        let mut services = Vec::new();
        let mut service_lines = String::new();
        for service in self.spec.services.iter().filter(|_| index == 0) {
            let instance = format!("{name}-{service}");
            let child = self.start_child(
                &instance,
                "gingerpier-standin",
                &["service", "--name", service],
            )?;
            service_lines += &format!(
                "  - name: {instance}\n    service: {service}\n    url: http://{}\n",
                child.address("address"),
            );
            services.push(child);
        }
        let keys = self.issue_keys(Role::Backend, &name)?;
        let text = format!(
            "role: backend\nbox: {name}\nregion: {}\nzone: {}\nkeys: {}\nlisten:\n  \
             peers: 127.0.0.1:0\n  metrics: 127.0.0.1:0\nweights:\n  origin: http://{}\n{}\
             stop_patience: 20s\nengines:\n{engine_lines}services:\n{service_lines}",
            zone.region,
            zone.name,
            keys.display(),
            self.origin.address("address"),
            self.spec.weights,
        );
        let text = text.replace("engines:\nservices:", "services:");
        let text = if service_lines.is_empty() {
            text.replace("services:\n", "")
        } else {
            text
        };
        let settings = self.write_settings(&name, &text)?;
        let child = self.start_daemon(&name, &settings)?;
        let to = child.address("peers").to_string();
        let link = self.spec.links.then(|| {
            let link = format!("{name}-link");
            self.start_child(
                &link,
                "gingerpier-standin",
                &["link", "--transport", "udp", "--to", &to],
            )
        });
        let link = link.transpose()?;
        let zone = zone.clone();
        self.servers.push(Server {
            name,
            child,
            engines,
            services,
            link,
            zone,
            settings,
        });
        Ok(())
    }

    /// Kills the process of a backend server and restarts it at the same address.
    ///
    /// # Errors
    ///
    /// Returns an error if a process does not start.
    pub fn restart_server(&mut self, index: usize) -> Result<(), Error> {
        let server = &mut self.servers[index];
        server.child.kill();
        let address = server.child.address("peers");
        let read = fs::read_to_string(&server.settings);
        let text = read.map_err(|cause| Error::new("reading", server.settings.display(), cause))?;
        let text = text.replace("  peers: 127.0.0.1:0", &format!("  peers: {address}"));
        let (name, settings) = (server.name.clone(), server.settings.clone());
        fs::write(&settings, text)
            .map_err(|cause| Error::new("writing", settings.display(), cause))?;
        let child = self.start_daemon(&name, &settings)?;
        self.servers[index].child = child;
        Ok(())
    }

    fn start_engine(&self, name: &str) -> Result<Child, Error> {
        let capacity = self.spec.capacity.to_string();
        let token = self.spec.token_millis.to_string();
        let mut arguments = vec!["engine", "--capacity", &capacity, "--token-millis", &token];
        if self.spec.checks_fences {
            arguments.push("--checks-fences");
        }
        self.start_child(name, "gingerpier-standin", &arguments)
    }

    /// Runs an engine in the harness process.
    fn start_engine_in_process(&self) -> Result<SocketAddr, Error> {
        let Spec {
            capacity,
            token_millis,
            checks_fences,
            ..
        } = self.spec;
        let options = engine::Options::in_process(capacity, token_millis, checks_fences);
        let listener = Listener::bind(SocketAddr::from(([127, 0, 0, 1], 0)));
        let listener = listener.map_err(|cause| Error::new("starting", "an engine", cause))?;
        let address = listener.address();
        actix_rt::spawn(engine::serve(listener, options));
        Ok(address)
    }

    fn write_operator(&self) -> Result<(), Error> {
        let keys = self.issue_keys(Role::Operator, "alice")?;
        let entries = self
            .entries
            .iter()
            .map(|entry| entry.child.address("operators"));
        let entries: Vec<String> = entries.map(|address| address.to_string()).collect();
        let entries = entries.join(", ");
        let text = format!(
            "role: operator\nkeys: {}\nentries: [{entries}]\n",
            keys.display()
        );
        self.write_settings("operator", &text).map(|_| ())
    }

    /// Settings file of the operators' command line.
    pub fn operator_settings(&self) -> PathBuf {
        self.folder.join("settings/operator.yaml")
    }

    /// Marks a box as leaving in the box list, with the next [`Fleet::publish`].
    pub fn mark_leaving(&self, name: &str) {
        self.leaving.borrow_mut().push(name.to_owned());
    }

    /// Writes all boxes of the fleet to the box list.
    ///
    /// # Errors
    ///
    /// Returns an error if the box list does not respond.
    pub async fn publish(&self) -> Result<(), Error> {
        let listed = |name: &str, role: Role, zone: &Zone, address: SocketAddr| {
            let parse = |text: &str| {
                text.parse::<Name>()
                    .map_err(|cause| Error::new("naming", text, cause))
            };
            Ok::<_, Error>(ListedBox {
                name: parse(name)?,
                role: role.to_string(),
                region: parse(zone.region)?,
                zone: parse(zone.name)?,
                address: address.to_string(),
                leaving: self.leaving.borrow().iter().any(|leaving| leaving == name),
            })
        };
        let mut boxes = Vec::new();
        for entry in &self.entries {
            let address = entry.child.address("peers");
            boxes.push(listed(&entry.name, Role::Entry, &entry.zone, address)?);
        }
        for server in &self.servers {
            let address = match &server.link {
                Some(link) => link.address("address"),
                None => server.child.address("peers"),
            };
            boxes.push(listed(&server.name, Role::Backend, &server.zone, address)?);
        }
        let url = format!("http://{}/boxes", self.box_list.address("address"));
        let sent = self.http.put(&url).send_json(&Listed { boxes }).await;
        sent.map(|_| ())
            .map_err(|cause| Error::new("publishing", url, cause))
    }

    /// Runs the operators' command line; returns its exit code and output.
    ///
    /// # Errors
    ///
    /// Returns an error if the command line cannot be started.
    pub async fn gingerpier(&self, arguments: &[&str]) -> Result<(i32, String), Error> {
        let to_error = |cause: String| Error::new("running", "gingerpier", cause);
        let output = Command::new(binary("gingerpier")?)
            .args(arguments)
            .env("GINGERPIER_SETTINGS", self.operator_settings())
            .output()
            .await
            .map_err(|cause| to_error(cause.to_string()))?;
        let mut text = String::from_utf8_lossy(&output.stdout).into_owned();
        text += &String::from_utf8_lossy(&output.stderr);
        Ok((output.status.code().unwrap_or(-1), text))
    }

    /// Executes a statement.
    ///
    /// # Errors
    ///
    /// Returns an error if no entry box responds.
    pub async fn operate(&self, statement: &str) -> Result<StatementResponse, Error> {
        self.operate_with(&[], statement).await
    }

    /// Executes a statement with additional command line arguments.
    ///
    /// # Errors
    ///
    /// Returns an error if no entry box responds.
    pub async fn operate_with(
        &self,
        more: &[&str],
        statement: &str,
    ) -> Result<StatementResponse, Error> {
        let arguments = [&["do", "--json"], more, &[statement]].concat();
        let (_, text) = self.gingerpier(&arguments).await?;
        serde_json::from_str(&text).map_err(|_| Error::new("operating", statement, text.trim()))
    }

    /// Executes commands and waits until they are in force at all boxes; returns the revision.
    ///
    /// # Errors
    ///
    /// Returns an error if the commands are refused or not in force in time.
    pub async fn command(&self, statement: &str) -> Result<u64, Error> {
        match self
            .operate_with(&["--wait-millis", "18000"], statement)
            .await?
        {
            StatementResponse::Accepted {
                revision, behind, ..
            } if behind.is_empty() => Ok(revision),
            other => Err(Error::new("commanding", statement, format!("{other:?}"))),
        }
    }

    /// Result of a query.
    ///
    /// # Errors
    ///
    /// Returns an error if the query is refused or no entry box responds.
    pub async fn table(&self, query: &str) -> Result<Table, Error> {
        match self.operate(query).await? {
            StatementResponse::Table { table, .. } => Ok(table),
            other => Err(Error::new("asking", query, format!("{other:?}"))),
        }
    }

    /// Polls `check` until it succeeds.
    ///
    /// # Errors
    ///
    /// Returns an error if `check` does not succeed in time; the error contains the last observed state.
    pub async fn until<T, F, L>(&self, condition: &str, check: L) -> Result<T, Error>
    where
        L: Fn() -> F,
        F: Future<Output = Result<Result<T, String>, Error>>,
    {
        let start = Instant::now();
        loop {
            let last = match check().await {
                Ok(Ok(found)) => return Ok(found),
                Ok(Err(seen)) => seen,
                Err(error) => error.to_string(),
            };
            if start.elapsed() > UNTIL_TIMEOUT {
                return Err(Error::Timeout {
                    condition: condition.to_owned(),
                    seconds: UNTIL_TIMEOUT.as_secs(),
                    last,
                });
            }
            actix_rt::time::sleep(CHECK_INTERVAL).await;
        }
    }

    /// Sends a control message to a stand-in.
    ///
    /// # Errors
    ///
    /// Returns an error if the stand-in does not respond.
    pub async fn control(
        &self,
        address: SocketAddr,
        control: &impl Serialize,
    ) -> Result<(), Error> {
        let url = format!("http://{address}/control");
        let sent = self.http.post(&url).send_json(control).await;
        sent.map(|_| ())
            .map_err(|cause| Error::new("controlling", url, cause))
    }

    /// Fetches a path from a process, as text.
    ///
    /// # Errors
    ///
    /// Returns an error if the process does not respond.
    pub async fn read_text(&self, address: SocketAddr, path: &str) -> Result<String, Error> {
        let url = format!("http://{address}{path}");
        let to_error = |cause: String| Error::new("reading", &url, cause);
        let sent = self.http.get(&url).send().await;
        let mut answer = sent.map_err(|cause| to_error(cause.to_string()))?;
        let body = answer
            .body()
            .limit(64 << 20)
            .await
            .map_err(|cause| to_error(cause.to_string()))?;
        Ok(String::from_utf8_lossy(&body).into_owned())
    }

    /// Fetches a path from a stand-in, as JSON.
    ///
    /// # Errors
    ///
    /// Returns an error if the process does not respond.
    pub async fn read<T: DeserializeOwned>(
        &self,
        address: SocketAddr,
        path: &str,
    ) -> Result<T, Error> {
        let text = self.read_text(address, path).await?;
        serde_json::from_str(&text).map_err(|cause| Error::new("reading", path, cause))
    }

    /// Current log of a process.
    pub fn log(&self, name: &str) -> String {
        let path = self.folder.join("logs").join(format!("{name}.log"));
        fs::read_to_string(path).unwrap_or_default()
    }

    /// Caller of an entry box with the account that [`Fleet::deploy`] creates.
    pub fn caller(&self, entry: usize) -> Caller {
        Caller::new(self.entries[entry].child.address("callers"), TOKEN)
    }

    /// Runs in the histories of a server's engines.
    ///
    /// # Errors
    ///
    /// Returns an error if an engine does not respond.
    pub async fn runs(&self, server: usize) -> Result<Vec<Run>, Error> {
        let mut runs = Vec::new();
        for engine in &self.servers[server].engines {
            runs.extend(
                self.read::<Vec<Run>>(engine.address("address"), "/history")
                    .await?,
            );
        }
        Ok(runs)
    }

    /// Number of runs of `prompt` at all engines.
    ///
    /// # Errors
    ///
    /// Returns an error if an engine does not respond.
    pub async fn runs_of(&self, prompt: &str) -> Result<usize, Error> {
        let mut count = 0;
        for server in 0..self.servers.len() {
            let runs = self.runs(server).await?;
            count += runs.iter().filter(|run| run.prompt == prompt).count();
        }
        Ok(count)
    }

    /// Number of calls with `body` at all plain services.
    ///
    /// # Errors
    ///
    /// Returns an error if a service does not respond.
    pub async fn calls_with(&self, body: &str) -> Result<usize, Error> {
        let mut count = 0;
        for service in self.servers.iter().flat_map(|server| &server.services) {
            let calls: Vec<ServiceCall> = self.read(service.address("address"), "/history").await?;
            count += calls.iter().filter(|call| call.body == body).count();
        }
        Ok(count)
    }

    /// Writes weights and a manifest for a version, and creates the version.
    ///
    /// # Errors
    ///
    /// Returns an error if a step fails.
    pub async fn create_version(
        &self,
        model: &str,
        version: &str,
        megabytes: usize,
        seed: u64,
        base: Option<&str>,
    ) -> Result<(), Error> {
        let source = format!("{model}/{version}");
        let folder = self.folder.join("weights").join(&source);
        weights::write(&folder, 2, megabytes * 500_000, seed)?;
        let path = folder.display().to_string();
        let chunk = self.spec.chunk_bytes.to_string();
        let arguments = ["manifest", "--quiet", "--chunk-bytes", &chunk, &path];
        let (_, text) = self.gingerpier(&arguments).await?;
        let line = text.lines().next().unwrap_or_default().to_owned();
        let base = base.map_or_else(String::new, |base| format!(" base {base}"));
        let statement = format!("create version {version} of {model} {line} from {source}{base}");
        self.command(&statement).await.map(|_| ())
    }

    /// Creates a client account and a model that all engines serve, and rolls out its version `v1`.
    ///
    /// # Errors
    ///
    /// Returns an error if a step fails.
    pub async fn deploy(&self, model: &str, megabytes: usize) -> Result<(), Error> {
        let (_, digest) = self.gingerpier(&["token", TOKEN]).await?;
        let mut commands = format!(
            "set account observatory key {} rate 100000; create model {model} for {KIND}",
            digest.trim()
        );
        for zone in &self.spec.zones {
            let replicas = zone.backends * self.spec.engines;
            commands += &format!("; serve {model} in {} replicas {replicas}", zone.name);
        }
        self.command(&commands).await?;
        self.create_version(model, "v1", megabytes, 1, None).await?;
        self.command(&format!("roll out {model} to v1")).await?;
        self.until_live(model, "v1").await
    }

    /// Waits until a version is live and its rollout is complete.
    ///
    /// # Errors
    ///
    /// Returns an error if the version is not live in time.
    pub async fn until_live(&self, model: &str, version: &str) -> Result<(), Error> {
        let query = format!("show models of {model}");
        self.until(&format!("{model}@{version} is live"), || async {
            let table = self.table(&query).await?;
            let row = table.rows.first().cloned().unwrap_or_default();
            let live = row.get(3).map(String::as_str) == Some(version);
            let over = row.get(5).map(String::as_str) == Some("-");
            if live && over {
                return Ok(Ok(()));
            }
            let engines = self.table("show engines").await?;
            Ok(Err(format!("{row:?}, {:?}", engines.rows)))
        })
        .await
    }
}
