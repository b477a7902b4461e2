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
    gingerpier_daemon::{operate::Answered, table::Table},
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

/// Environment variable under which a fleet's folder, logs among it, is kept.
const KEEP_VARIABLE: &str = "GINGERPIER_KEEP";
/// Time for anything that is waited for.
const PATIENCE: Duration = Duration::from_secs(60);
/// Time between two looks.
const LOOK: Duration = Duration::from_millis(50);
/// Token of the client account that [`Fleet::deploy`] makes.
pub const TOKEN: &str = "observatory-token";
/// Kind of the model engines.
pub const KIND: &str = "lm";

/// A backend server with what stands behind it.
pub struct Server {
    /// Its name.
    pub name: String,
    /// Its process.
    pub child: Child,
    /// Its model engines.
    pub engines: Vec<Child>,
    /// Its plain services.
    pub services: Vec<Child>,
    /// Link through which it is reached.
    pub link: Option<Child>,
    zone: Zone,
    settings: PathBuf,
}

/// An entry box.
pub struct EntryBox {
    /// Its name.
    pub name: String,
    /// Its process.
    pub child: Child,
    zone: Zone,
}

/// A fleet.
pub struct Fleet {
    /// Folder of settings, keys, logs and weights.
    pub folder: PathBuf,
    /// What it consists of.
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

fn strings(arguments: &[&str]) -> Vec<String> {
    arguments
        .iter()
        .map(|argument| (*argument).to_owned())
        .collect()
}

impl Fleet {
    /// Starts a fleet in a new folder, and waits until its entry boxes see every server.
    ///
    /// # Errors
    ///
    /// Where a process does not start.
    pub async fn start(spec: Spec) -> Result<Self, Error> {
        let name = format!("gingerpier-{:016x}", fastrand::u64(..));
        let keep = env::var_os(KEEP_VARIABLE).is_some();
        Self::start_in(env::temp_dir().join(name), spec, keep).await
    }

    /// Starts a fleet in `folder`, which is kept where asked for.
    ///
    /// # Errors
    ///
    /// Where a process does not start.
    pub async fn start_in(folder: PathBuf, spec: Spec, keep: bool) -> Result<Self, Error> {
        for part in ["logs", "settings", "weights"] {
            let path = folder.join(part);
            fs::create_dir_all(&path).map_err(|what| Error::new("making", path.display(), what))?;
        }
        let standin = |name: &str, arguments: &[&str]| {
            let log = folder.join("logs").join(format!("{name}.log"));
            Child::start(name, "gingerpier-standin", &strings(arguments), &log)
        };
        let root = folder.join("weights").display().to_string();
        let rate = spec.origin_rate.to_string();
        let lag = spec.list_lag_millis.to_string();
        let authority = Authority::open_or_create(&folder.join("keys"));
        let mut fleet = Self {
            key_value: standin("key-value", &["key-value"])?,
            origin: standin(
                "origin",
                &["origin", "--root", &root, "--bytes-a-second", &rate],
            )?,
            box_list: standin("box-list", &["box-list", "--lag-millis", &lag])?,
            entries: Vec::new(),
            servers: Vec::new(),
            leaving: RefCell::default(),
            http: Client::builder().disable_timeout().finish(),
            authority: authority.map_err(|what| Error::new("making keys", "authority", what))?,
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

    fn child(&self, name: &str, program: &str, arguments: &[&str]) -> Result<Child, Error> {
        let log = self.folder.join("logs").join(format!("{name}.log"));
        Child::start(name, program, &strings(arguments), &log)
    }

    fn keys(&self, role: Role, name: &str) -> Result<PathBuf, Error> {
        let folder = self.folder.join("keys").join(role.as_str()).join(name);
        let wrong = |what: String| Error::new("making keys", name, what);
        let parsed: Name = name
            .parse()
            .map_err(|what: gingerpier_base::name::Error| wrong(what.to_string()))?;
        let identity = Identity { role, name: parsed };
        self.authority
            .issue(&identity, &folder)
            .map_err(|what| wrong(what.to_string()))?;
        Ok(folder)
    }

    fn write_settings(&self, name: &str, text: &str) -> Result<PathBuf, Error> {
        let path = self.folder.join("settings").join(format!("{name}.yaml"));
        fs::write(&path, text).map_err(|what| Error::new("writing", path.display(), what))?;
        Ok(path)
    }

    fn daemon(&self, name: &str, settings: &Path) -> Result<Child, Error> {
        let settings = settings.display().to_string();
        self.child(name, "gingerpierd", &["run", "--settings", &settings])
    }

    /// Starts an entry box; it becomes known with the next [`Fleet::publish`].
    ///
    /// # Errors
    ///
    /// Where it does not start.
    pub fn add_entry(&mut self, zone: &Zone, index: usize) -> Result<(), Error> {
        let name = format!("{}-entry-{index}", zone.name);
        let keys = self.keys(Role::Entry, &name)?;
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
        let child = self.daemon(&name, &settings)?;
        self.entries.push(EntryBox {
            name,
            child,
            zone: zone.clone(),
        });
        Ok(())
    }

    /// Starts a backend server; it becomes known with the next [`Fleet::publish`].
    ///
    /// # Errors
    ///
    /// Where it does not start.
    pub fn add_server(&mut self, zone: &Zone, index: usize) -> Result<(), Error> {
        let name = format!("{}-b{index}", zone.name);
        let mut engines = Vec::new();
        let mut engine_lines = String::new();
        for engine in 0..self.spec.engines {
            let engine = format!("{name}-e{engine}");
            let address = if self.spec.engines_here {
                self.engine_here()?
            } else {
                let child = self.engine(&engine)?;
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
            let child = self.child(
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
        let keys = self.keys(Role::Backend, &name)?;
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
        let child = self.daemon(&name, &settings)?;
        let to = child.address("peers").to_string();
        let link = self.spec.links.then(|| {
            let link = format!("{name}-link");
            self.child(
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

    /// Starts the process of a backend server anew, at the address that it had.
    ///
    /// # Errors
    ///
    /// Where it does not start.
    pub fn restart_server(&mut self, index: usize) -> Result<(), Error> {
        let server = &mut self.servers[index];
        server.child.kill();
        let address = server.child.address("peers");
        let read = fs::read_to_string(&server.settings);
        let text = read.map_err(|what| Error::new("reading", server.settings.display(), what))?;
        let text = text.replace("  peers: 127.0.0.1:0", &format!("  peers: {address}"));
        let (name, settings) = (server.name.clone(), server.settings.clone());
        fs::write(&settings, text)
            .map_err(|what| Error::new("writing", settings.display(), what))?;
        let child = self.daemon(&name, &settings)?;
        self.servers[index].child = child;
        Ok(())
    }

    fn engine(&self, name: &str) -> Result<Child, Error> {
        let capacity = self.spec.capacity.to_string();
        let token = self.spec.token_millis.to_string();
        let mut arguments = vec!["engine", "--capacity", &capacity, "--token-millis", &token];
        if self.spec.checks_fences {
            arguments.push("--checks-fences");
        }
        self.child(name, "gingerpier-standin", &arguments)
    }

    /// Serves an engine in this process.
    fn engine_here(&self) -> Result<SocketAddr, Error> {
        let Spec {
            capacity,
            token_millis,
            checks_fences,
            ..
        } = self.spec;
        let options = engine::Options::in_process(capacity, token_millis, checks_fences);
        let listener = Listener::bind(SocketAddr::from(([127, 0, 0, 1], 0)));
        let listener = listener.map_err(|what| Error::new("starting", "an engine", what))?;
        let address = listener.address();
        actix_rt::spawn(engine::serve(listener, options));
        Ok(address)
    }

    fn write_operator(&self) -> Result<(), Error> {
        let keys = self.keys(Role::Operator, "alice")?;
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

    /// Settings of the operator's desk.
    pub fn operator_settings(&self) -> PathBuf {
        self.folder.join("settings/operator.yaml")
    }

    /// Notes in the box list that a box is leaving, with the next [`Fleet::publish`].
    pub fn mark_leaving(&self, name: &str) {
        self.leaving.borrow_mut().push(name.to_owned());
    }

    /// Puts all boxes of the fleet into the box list.
    ///
    /// # Errors
    ///
    /// Where the box list does not take them.
    pub async fn publish(&self) -> Result<(), Error> {
        let listed = |name: &str, role: Role, zone: &Zone, address: SocketAddr| {
            let parse = |text: &str| {
                text.parse::<Name>()
                    .map_err(|what| Error::new("naming", text, what))
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
            .map_err(|what| Error::new("publishing", url, what))
    }

    /// Runs the operators' command line; gives its exit code and output.
    ///
    /// # Errors
    ///
    /// Where it can't be started.
    pub async fn gingerpier(&self, arguments: &[&str]) -> Result<(i32, String), Error> {
        let wrong = |what: String| Error::new("running", "gingerpier", what);
        let output = Command::new(binary("gingerpier")?)
            .args(arguments)
            .env("GINGERPIER_SETTINGS", self.operator_settings())
            .output()
            .await
            .map_err(|what| wrong(what.to_string()))?;
        let mut text = String::from_utf8_lossy(&output.stdout).into_owned();
        text += &String::from_utf8_lossy(&output.stderr);
        Ok((output.status.code().unwrap_or(-1), text))
    }

    /// Carries out a statement.
    ///
    /// # Errors
    ///
    /// Where no entry box answers.
    pub async fn operate(&self, statement: &str) -> Result<Answered, Error> {
        self.operate_with(&[], statement).await
    }

    /// Carries out a statement with further arguments.
    ///
    /// # Errors
    ///
    /// Where no entry box answers.
    pub async fn operate_with(&self, more: &[&str], statement: &str) -> Result<Answered, Error> {
        let arguments = [&["do", "--json"], more, &[statement]].concat();
        let (_, text) = self.gingerpier(&arguments).await?;
        serde_json::from_str(&text).map_err(|_| Error::new("operating", statement, text.trim()))
    }

    /// Carries out commands that must be accepted, and be in force everywhere.
    ///
    /// # Errors
    ///
    /// Where they are not.
    pub async fn command(&self, statement: &str) -> Result<u64, Error> {
        match self
            .operate_with(&["--wait-millis", "18000"], statement)
            .await?
        {
            Answered::Accepted {
                revision, behind, ..
            } if behind.is_empty() => Ok(revision),
            other => Err(Error::new("commanding", statement, format!("{other:?}"))),
        }
    }

    /// Answer to a query.
    ///
    /// # Errors
    ///
    /// Where there is none.
    pub async fn table(&self, query: &str) -> Result<Table, Error> {
        match self.operate(query).await? {
            Answered::Table { table, .. } => Ok(table),
            other => Err(Error::new("asking", query, format!("{other:?}"))),
        }
    }

    /// Waits until `look` succeeds.
    ///
    /// # Errors
    ///
    /// Where it does not in time, with what was seen last.
    pub async fn until<T, F, L>(&self, what: &str, look: L) -> Result<T, Error>
    where
        L: Fn() -> F,
        F: Future<Output = Result<Result<T, String>, Error>>,
    {
        let start = Instant::now();
        loop {
            let last = match look().await {
                Ok(Ok(found)) => return Ok(found),
                Ok(Err(seen)) => seen,
                Err(error) => error.to_string(),
            };
            if start.elapsed() > PATIENCE {
                return Err(Error::Late {
                    what: what.to_owned(),
                    seconds: PATIENCE.as_secs(),
                    last,
                });
            }
            actix_rt::time::sleep(LOOK).await;
        }
    }

    /// Controls a stand-in.
    ///
    /// # Errors
    ///
    /// Where it does not take the control.
    pub async fn control(
        &self,
        address: SocketAddr,
        control: &impl Serialize,
    ) -> Result<(), Error> {
        let url = format!("http://{address}/control");
        let sent = self.http.post(&url).send_json(control).await;
        sent.map(|_| ())
            .map_err(|what| Error::new("controlling", url, what))
    }

    /// Reads what a process tells, as text.
    ///
    /// # Errors
    ///
    /// Where it does not answer.
    pub async fn read_text(&self, address: SocketAddr, path: &str) -> Result<String, Error> {
        let url = format!("http://{address}{path}");
        let wrong = |what: String| Error::new("reading", &url, what);
        let sent = self.http.get(&url).send().await;
        let mut answer = sent.map_err(|what| wrong(what.to_string()))?;
        let body = answer
            .body()
            .limit(64 << 20)
            .await
            .map_err(|what| wrong(what.to_string()))?;
        Ok(String::from_utf8_lossy(&body).into_owned())
    }

    /// Reads what a stand-in tells.
    ///
    /// # Errors
    ///
    /// Where it does not answer.
    pub async fn read<T: DeserializeOwned>(
        &self,
        address: SocketAddr,
        path: &str,
    ) -> Result<T, Error> {
        let text = self.read_text(address, path).await?;
        serde_json::from_str(&text).map_err(|what| Error::new("reading", path, what))
    }

    /// Log of a process of the fleet, as far as it has come.
    pub fn log(&self, name: &str) -> String {
        let path = self.folder.join("logs").join(format!("{name}.log"));
        fs::read_to_string(path).unwrap_or_default()
    }

    /// Caller at an entry box, of the client account that [`Fleet::deploy`] makes.
    pub fn caller(&self, entry: usize) -> Caller {
        Caller::new(self.entries[entry].child.address("callers"), TOKEN)
    }

    /// Runs that the engines of a server have in their histories.
    ///
    /// # Errors
    ///
    /// Where an engine does not answer.
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

    /// Runs of `prompt` that any engine has in its history.
    ///
    /// # Errors
    ///
    /// Where an engine does not answer.
    pub async fn runs_of(&self, prompt: &str) -> Result<usize, Error> {
        let mut count = 0;
        for server in 0..self.servers.len() {
            let runs = self.runs(server).await?;
            count += runs.iter().filter(|run| run.prompt == prompt).count();
        }
        Ok(count)
    }

    /// Calls that plain services have run with `body`.
    ///
    /// # Errors
    ///
    /// Where a service does not answer.
    pub async fn calls_with(&self, body: &str) -> Result<usize, Error> {
        let mut count = 0;
        for service in self.servers.iter().flat_map(|server| &server.services) {
            let calls: Vec<ServiceCall> = self.read(service.address("address"), "/history").await?;
            count += calls.iter().filter(|call| call.body == body).count();
        }
        Ok(count)
    }

    /// Writes weights for a version, makes its manifest by the command line, and creates it.
    ///
    /// # Errors
    ///
    /// Where any of that fails.
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

    /// Makes a client account, a model served in every zone by all engines, and its version
    /// `v1`, and waits until it is live.
    ///
    /// # Errors
    ///
    /// Where any of that fails.
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

    /// Waits until a version is live and its rollout is over.
    ///
    /// # Errors
    ///
    /// Where it is not in time.
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
