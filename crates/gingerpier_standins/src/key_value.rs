//! Key-value service: the JSON form of the etcd v3 interface, as far as the daemons use it.
//!
//! Control: `POST /control` with any of `outage` (calls are refused), `silent_writes` (that many
//! writes take effect and are not answered), `delay_millis`, `writes_a_second`,
//! `reads_a_second`. `GET /counts` tells the calls of each kind and the calls refused by rate.

use {
    actix_http::Request,
    actix_rt::time::{Instant, sleep},
    base64::{Engine, prelude::BASE64_STANDARD},
    bytes::Bytes,
    futures_util::{StreamExt, stream},
    gingerpier_http::{Answer, Listener, answer, body},
    serde::{Deserialize, Serialize},
    serde_json::{Value, json},
    std::{
        cell::RefCell, collections::BTreeMap, future::pending, io, net::SocketAddr, rc::Rc,
        time::Duration,
    },
    tokio::sync::watch,
};

/// How the stand-in starts.
#[derive(clap::Args)]
pub struct Options {
    /// Address to listen on.
    #[arg(long, default_value = "127.0.0.1:0")]
    listen: SocketAddr,
}

/// Calls seen.
#[derive(Debug, Clone, Copy, Default, Serialize, Deserialize)]
pub struct Counts {
    /// Reads of keys.
    pub reads: u64,
    /// Writes.
    pub writes: u64,
    /// Calls about leases.
    pub leases: u64,
    /// Watches begun.
    pub watches: u64,
    /// Watches waiting now.
    pub watches_open: u64,
    /// Calls refused by rate.
    pub refused: u64,
}

/// How the stand-in misbehaves.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
#[serde(default)]
pub struct Control {
    /// Calls are refused.
    pub outage: bool,
    /// Writes that take effect and are not answered.
    pub silent_writes: u32,
    /// Milliseconds before a call is looked at.
    pub delay_millis: u64,
    /// Writes a second; 0 for any number.
    pub writes_a_second: u32,
    /// Reads a second, waiting watches counted; 0 for any number.
    pub reads_a_second: u32,
}

#[derive(Debug, Clone, Default)]
struct Held {
    value: String,
    created: u64,
    changed: u64,
    version: u64,
    lease: u64,
}

struct Lease {
    seconds: u64,
    deadline: Instant,
}

#[derive(Default)]
struct Window {
    second: u64,
    writes: u32,
    reads: u32,
}

struct State {
    revision: u64,
    items: BTreeMap<Vec<u8>, Held>,
    leases: BTreeMap<u64, Lease>,
    next_lease: u64,
    counts: Counts,
    control: Control,
    window: Window,
    started: Instant,
    changes: watch::Sender<u64>,
}

type Shared = Rc<RefCell<State>>;

/// Runs the stand-in.
///
/// # Errors
///
/// Where the address is taken.
pub async fn run(options: Options) -> io::Result<()> {
    let listener = Listener::bind(options.listen)?;
    crate::ready(listener.address());
    let state = State {
        revision: 1,
        items: BTreeMap::new(),
        leases: BTreeMap::new(),
        next_lease: 1,
        counts: Counts::default(),
        control: Control::default(),
        window: Window::default(),
        started: Instant::now(),
        changes: watch::Sender::new(1),
    };
    let state = Rc::new(RefCell::new(state));
    let served = state.clone();
    let expiry = async move {
        loop {
            sleep(Duration::from_millis(50)).await;
            state.borrow_mut().expire();
        }
    };
    let serving = listener.serve(move |request| handle(served.clone(), request));
    futures_util::future::join(expiry, serving).await;
    Ok(())
}

async fn handle(state: Shared, mut request: Request) -> Answer {
    let path = request.path().to_owned();
    if path == "/counts" {
        return answer::json(200, &state.borrow().counts);
    }
    let read: Value = match body::json(&mut request, crate::LONGEST_BODY).await {
        Ok(read) => read,
        Err(error) => return answer::text(error.status(), &error.to_string()),
    };
    if path == "/control" {
        return match serde_json::from_value(read) {
            Ok(control) => {
                state.borrow_mut().control = control;
                answer::empty(204)
            }
            Err(error) => answer::text(400, &error.to_string()),
        };
    }
    let delay = state.borrow().control.delay_millis;
    if delay > 0 {
        sleep(Duration::from_millis(delay)).await;
    }
    if state.borrow().control.outage {
        return answer::text(503, "outage");
    }
    if !state.borrow_mut().within_rate(&path) {
        return answer::text(429, "too many calls");
    }
    let answered = match path.as_str() {
        "/v3/kv/range" => state.borrow_mut().range(&read),
        "/v3/kv/txn" => state.borrow_mut().transact(&read),
        "/v3/lease/grant" => state.borrow_mut().grant(&read),
        "/v3/lease/keepalive" => state.borrow_mut().keep(&read),
        "/v3/watch" => return begin_watch(&state, &read),
        _ => return answer::text(404, "no such call"),
    };
    if path == "/v3/kv/txn" && state.borrow_mut().takes_silent_write() {
        return pending().await;
    }
    answer::json(200, &answered)
}

fn decode(value: &Value) -> Vec<u8> {
    BASE64_STANDARD
        .decode(value.as_str().unwrap_or_default())
        .unwrap_or_default()
}

fn number(value: &Value) -> u64 {
    value
        .as_str()
        .and_then(|text| text.parse().ok())
        .or_else(|| value.as_u64())
        .unwrap_or(0)
}

impl State {
    fn within_rate(&mut self, path: &str) -> bool {
        let second = self.started.elapsed().as_secs();
        if self.window.second != second {
            // A waiting watch counts as a call in every second.
            let reads = self.counts.watches_open as u32;
            self.window = Window {
                second,
                writes: 0,
                reads,
            };
        }
        let write = path == "/v3/kv/txn" || path == "/v3/lease/grant";
        let (used, most) = if write {
            (&mut self.window.writes, self.control.writes_a_second)
        } else {
            (&mut self.window.reads, self.control.reads_a_second)
        };
        *used += 1;
        let within = most == 0 || *used <= most;
        self.counts.refused += u64::from(!within);
        within
    }

    fn takes_silent_write(&mut self) -> bool {
        let silent = self.control.silent_writes > 0;
        self.control.silent_writes = self.control.silent_writes.saturating_sub(1);
        silent
    }

    fn header(&self) -> Value {
        json!({ "revision": self.revision.to_string() })
    }

    fn matching(&self, asked: &Value) -> Vec<Vec<u8>> {
        let first = decode(&asked["key"]);
        let end = decode(&asked["range_end"]);
        if end.is_empty() {
            return self
                .items
                .contains_key(&first)
                .then_some(first)
                .into_iter()
                .collect();
        }
        self.items
            .range(first..end)
            .map(|(key, _)| key.clone())
            .collect()
    }

    fn range(&mut self, asked: &Value) -> Value {
        self.counts.reads += 1;
        let keys = self.matching(asked);
        let kvs: Vec<Value> = keys.iter().map(|key| item(key, &self.items[key])).collect();
        json!({ "header": self.header(), "kvs": kvs, "count": kvs.len().to_string() })
    }

    fn holds(&self, compare: &Value) -> bool {
        let held = self.items.get(&decode(&compare["key"]));
        let (found, wanted) = match compare["target"].as_str().unwrap_or_default() {
            "CREATE" => (
                held.map(|held| held.created),
                number(&compare["create_revision"]),
            ),
            "VERSION" => (held.map(|held| held.version), number(&compare["version"])),
            _ => (
                held.map(|held| held.changed),
                number(&compare["mod_revision"]),
            ),
        };
        found.unwrap_or(0) == wanted
    }

    fn transact(&mut self, asked: &Value) -> Value {
        self.counts.writes += 1;
        let none = Vec::new();
        let compares = asked["compare"].as_array().unwrap_or(&none);
        let succeeded = compares.iter().all(|compare| self.holds(compare));
        let branch = if succeeded { "success" } else { "failure" };
        let operations = asked[branch].as_array().unwrap_or(&none);
        if !operations.is_empty() {
            self.revision += 1;
        }
        for operation in operations {
            self.operate(operation);
        }
        self.changes.send_replace(self.revision);
        json!({ "header": self.header(), "succeeded": succeeded })
    }

    fn operate(&mut self, operation: &Value) {
        if let Some(put) = operation.get("request_put") {
            let held = self.items.entry(decode(&put["key"])).or_default();
            if held.version == 0 {
                held.created = self.revision;
            }
            held.version += 1;
            held.changed = self.revision;
            held.value = put["value"].as_str().unwrap_or_default().to_owned();
            held.lease = number(&put["lease"]);
        }
        if let Some(delete) = operation.get("request_delete_range") {
            for key in self.matching(delete) {
                self.items.remove(&key);
            }
        }
    }

    fn grant(&mut self, asked: &Value) -> Value {
        self.counts.leases += 1;
        let seconds = number(&asked["TTL"]).max(1);
        let id = self.next_lease;
        self.next_lease += 1;
        let deadline = Instant::now() + Duration::from_secs(seconds);
        self.leases.insert(id, Lease { seconds, deadline });
        json!({ "header": self.header(), "ID": id.to_string(), "TTL": seconds.to_string() })
    }

    fn keep(&mut self, asked: &Value) -> Value {
        self.counts.leases += 1;
        let id = number(&asked["ID"]);
        let mut seconds = 0;
        if let Some(lease) = self.leases.get_mut(&id) {
            seconds = lease.seconds;
            lease.deadline = Instant::now() + Duration::from_secs(seconds);
        }
        json!({ "result": { "header": self.header(), "ID": id.to_string(), "TTL": seconds.to_string() } })
    }

    fn expire(&mut self) {
        let now = Instant::now();
        let lapsed = self
            .leases
            .iter()
            .filter(|(_, lease)| lease.deadline <= now);
        let lapsed: Vec<u64> = lapsed.map(|(id, _)| *id).collect();
        for id in lapsed {
            self.leases.remove(&id);
            self.items.retain(|_, held| held.lease != id);
            self.revision += 1;
            self.changes.send_replace(self.revision);
        }
    }

    /// Events on one key since the service's revision `from`.
    fn events(&self, key: &[u8], from: u64) -> Vec<Value> {
        let held = self.items.get(key).filter(|held| held.changed >= from);
        held.map(|held| json!({ "type": "PUT", "kv": item(key, held) }))
            .into_iter()
            .collect()
    }
}

fn item(key: &[u8], held: &Held) -> Value {
    json!({
        "key": BASE64_STANDARD.encode(key),
        "value": held.value,
        "create_revision": held.created.to_string(),
        "mod_revision": held.changed.to_string(),
        "version": held.version.to_string(),
        "lease": held.lease.to_string(),
    })
}

/// Counts a watch as open for as long as its answer is being sent.
struct Watching(Shared);

impl Drop for Watching {
    fn drop(&mut self) {
        self.0.borrow_mut().counts.watches_open -= 1;
    }
}

fn begin_watch(state: &Shared, asked: &Value) -> Answer {
    let create = &asked["create_request"];
    let key = decode(&create["key"]);
    let from = number(&create["start_revision"]).max(1);
    let changes = {
        let mut state = state.borrow_mut();
        state.counts.watches += 1;
        state.counts.watches_open += 1;
        let mut changes = state.changes.subscribe();
        changes.mark_changed();
        changes
    };
    let watching = Watching(state.clone());
    let parts = stream::unfold(
        (watching, changes, from),
        move |(watching, mut changes, from)| {
            let key = key.clone();
            async move {
                loop {
                    changes.changed().await.ok()?;
                    let state = watching.0.borrow();
                    if state.control.outage {
                        return None;
                    }
                    let events = state.events(&key, from);
                    let next = state.revision + 1;
                    if events.is_empty() {
                        continue;
                    }
                    let line = json!({ "result": { "header": state.header(), "events": events } });
                    drop(state);
                    return Some((line, (watching, changes, next)));
                }
            }
        },
    );
    let created = stream::once(async { json!({ "result": { "created": true } }) });
    let lines = created
        .chain(parts)
        .map(|line| Ok(Bytes::from(format!("{line}\n"))));
    answer::stream(answer::build(200), lines)
}
