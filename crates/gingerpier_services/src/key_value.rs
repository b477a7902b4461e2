//! The platform's key-value service: compare-and-swap, leases, watches.
//!
//! The protocol is the JSON form of the etcd v3 interface: keys and values in Base64, numbers as
//! strings, a watch as a stream of JSON objects, one a line.

use {
    crate::{
        error::{Error, Fault, Step},
        http::Call,
    },
    awc::{Client as Http, ClientResponse},
    base64::{Engine, prelude::BASE64_STANDARD},
    bytes::BytesMut,
    gingerpier_base::Instant,
    serde::{Deserialize, Serialize},
    serde_json::{Value, json},
    std::time::Duration,
};

/// The largest value that the service takes.
pub const MAX_VALUE_BYTES: usize = 1 << 20;

/// A key with its value.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Item {
    /// Key.
    pub key: String,
    /// Value.
    pub value: Vec<u8>,
    /// Service's revision of the last change of the key.
    pub changed: u64,
}

/// A condition of a change: the key was last changed at this revision; 0 for no such key.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Guard {
    /// Key compared.
    pub key: String,
    /// Service's revision compared.
    pub changed: u64,
}

/// A key to be set.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Put {
    /// Key.
    pub key: String,
    /// Value.
    pub value: Vec<u8>,
    /// Lease whose end removes the key.
    pub lease: Option<u64>,
}

/// Keys from `first` up to, not including, `end`.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Range {
    /// First key.
    pub first: String,
    /// End, not included.
    pub end: String,
}

impl Range {
    /// All keys that start with `prefix`, which ends with `/`.
    pub fn below(prefix: &str) -> Self {
        let end = format!("{}0", prefix.trim_end_matches('/'));
        Self {
            first: prefix.to_owned(),
            end,
        }
    }
}

/// Keys set and removed together, where all guards hold.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct Change {
    /// Conditions.
    pub guards: Vec<Guard>,
    /// Keys to be set.
    pub puts: Vec<Put>,
    /// Keys to be removed.
    pub removals: Vec<Range>,
}

impl Change {
    /// Adds a condition.
    #[must_use]
    pub fn guard(mut self, key: &str, changed: u64) -> Self {
        self.guards.push(Guard {
            key: key.to_owned(),
            changed,
        });
        self
    }

    /// Adds a key to be set.
    #[must_use]
    pub fn put(mut self, key: &str, value: Vec<u8>) -> Self {
        self.puts.push(Put {
            key: key.to_owned(),
            value,
            lease: None,
        });
        self
    }

    /// Adds a key to be set for as long as a lease holds.
    #[must_use]
    pub fn put_leased(mut self, key: &str, value: Vec<u8>, lease: u64) -> Self {
        self.puts.push(Put {
            key: key.to_owned(),
            value,
            lease: Some(lease),
        });
        self
    }

    /// Adds keys to be removed.
    #[must_use]
    pub fn remove(mut self, range: Range) -> Self {
        self.removals.push(range);
        self
    }
}

/// Client of the service.
#[derive(Clone)]
pub struct Client {
    http: Http,
    url: String,
    patience: Duration,
}

#[derive(Deserialize)]
struct RangeAnswer {
    #[serde(default)]
    kvs: Vec<KeyValue>,
}

#[derive(Deserialize)]
struct KeyValue {
    key: String,
    #[serde(default)]
    value: String,
    #[serde(default)]
    mod_revision: String,
}

#[derive(Deserialize)]
struct TxnAnswer {
    #[serde(default)]
    succeeded: bool,
}

#[derive(Deserialize)]
struct LeaseAnswer {
    #[serde(rename = "ID", default)]
    id: String,
    #[serde(rename = "TTL", default)]
    ttl: String,
}

#[derive(Deserialize)]
struct KeepAnswer {
    result: LeaseAnswer,
}

fn to_text(bytes: &[u8]) -> String {
    BASE64_STANDARD.encode(bytes)
}

impl Client {
    /// Client of the service at `url`, whose calls wait `patience` for an answer.
    pub const fn new(http: Http, url: String, patience: Duration) -> Self {
        Self {
            http,
            url,
            patience,
        }
    }

    /// URL of the service.
    pub fn url(&self) -> &str {
        &self.url
    }

    const fn call<'a>(&self, step: Step, url: &'a str, now: Instant) -> Call<'a> {
        Call {
            step,
            url,
            now,
            patience: self.patience,
        }
    }

    async fn post(&self, call: Call<'_>, body: &impl Serialize) -> Result<ClientResponse, Error> {
        call.answer(self.http.post(call.url).send_json(body)).await
    }

    /// Reads one key.
    ///
    /// # Errors
    ///
    /// Where the service does not answer.
    pub async fn get(&self, key: &str, now: Instant) -> Result<Option<Item>, Error> {
        let items = self
            .read(json!({ "key": to_text(key.as_bytes()) }), now)
            .await?;
        Ok(items.into_iter().next())
    }

    /// Reads keys in their order.
    ///
    /// # Errors
    ///
    /// Where the service does not answer.
    pub async fn range(&self, range: &Range, now: Instant) -> Result<Vec<Item>, Error> {
        let Range { first, end } = range;
        let body =
            json!({ "key": to_text(first.as_bytes()), "range_end": to_text(end.as_bytes()) });
        self.read(body, now).await
    }

    async fn read(&self, body: Value, now: Instant) -> Result<Vec<Item>, Error> {
        let url = format!("{}/v3/kv/range", self.url);
        let call = self.call(Step::ReadKey, &url, now);
        let mut answer = self.post(call, &body).await?;
        let read: RangeAnswer = call.json(&mut answer).await?;
        let items = read.kvs.into_iter().map(item);
        let items: Option<Vec<Item>> = items.collect();
        items.ok_or_else(|| call.error(Fault::Unreadable("a key is no text".to_owned())))
    }

    /// Changes keys; false where a guard did not hold.
    ///
    /// # Errors
    ///
    /// Where the service does not answer; [`Error::had_no_effect`] tells what that means.
    pub async fn commit(&self, change: &Change, now: Instant) -> Result<bool, Error> {
        let url = format!("{}/v3/kv/txn", self.url);
        let call = self.call(Step::WriteKeys, &url, now);
        if let Some(put) = change
            .puts
            .iter()
            .find(|put| put.value.len() > MAX_VALUE_BYTES)
        {
            let what = format!("the value of {} has {} bytes", put.key, put.value.len());
            return Err(call.error(Fault::Refused(what)));
        }
        let mut answer = self.post(call, &transaction(change)).await?;
        let read: TxnAnswer = call.json(&mut answer).await?;
        Ok(read.succeeded)
    }

    /// Gets a lease of `seconds`.
    ///
    /// # Errors
    ///
    /// Where the service does not answer.
    pub async fn grant_lease(&self, seconds: u64, now: Instant) -> Result<u64, Error> {
        let url = format!("{}/v3/lease/grant", self.url);
        let call = self.call(Step::Lease, &url, now);
        let body = json!({ "TTL": seconds.to_string(), "ID": "0" });
        let mut answer = self.post(call, &body).await?;
        let read: LeaseAnswer = call.json(&mut answer).await?;
        read.id
            .parse()
            .map_err(|_| call.error(Fault::Unreadable("the lease has no ID".to_owned())))
    }

    /// Holds a lease for longer; false where it has lapsed.
    ///
    /// # Errors
    ///
    /// Where the service does not answer.
    pub async fn keep_lease(&self, lease: u64, now: Instant) -> Result<bool, Error> {
        let url = format!("{}/v3/lease/keepalive", self.url);
        let call = self.call(Step::Lease, &url, now);
        let mut answer = self.post(call, &json!({ "ID": lease.to_string() })).await?;
        let read: KeepAnswer = call.json(&mut answer).await?;
        Ok(read.result.ttl.parse::<u64>().unwrap_or(0) > 0)
    }

    /// Watches one key, from the service's revision `from` on.
    ///
    /// # Errors
    ///
    /// Where the service does not answer.
    pub async fn watch(&self, key: &str, from: u64, now: Instant) -> Result<Watch, Error> {
        let url = format!("{}/v3/watch", self.url);
        let call = self.call(Step::Watch, &url, now);
        let create = json!({ "key": to_text(key.as_bytes()), "start_revision": from.to_string() });
        let answer = self
            .post(call, &json!({ "create_request": create }))
            .await?;
        Ok(Watch {
            answer,
            url,
            read: BytesMut::new(),
        })
    }
}

fn item(read: KeyValue) -> Option<Item> {
    let key = BASE64_STANDARD.decode(read.key).ok()?;
    Some(Item {
        key: String::from_utf8(key).ok()?,
        value: BASE64_STANDARD.decode(read.value).ok()?,
        changed: read.mod_revision.parse().ok()?,
    })
}

fn transaction(change: &Change) -> Value {
    let compare = |guard: &Guard| {
        json!({
            "key": to_text(guard.key.as_bytes()),
            "target": "MOD",
            "result": "EQUAL",
            "mod_revision": guard.changed.to_string(),
        })
    };
    let put = |put: &Put| {
        let lease = put.lease.unwrap_or(0).to_string();
        let (key, value) = (to_text(put.key.as_bytes()), to_text(&put.value));
        json!({ "request_put": { "key": key, "value": value, "lease": lease } })
    };
    let remove = |range: &Range| {
        let (first, end) = (
            to_text(range.first.as_bytes()),
            to_text(range.end.as_bytes()),
        );
        json!({ "request_delete_range": { "key": first, "range_end": end } })
    };
    let compare: Vec<Value> = change.guards.iter().map(compare).collect();
    let puts = change.puts.iter().map(put);
    let success: Vec<Value> = puts.chain(change.removals.iter().map(remove)).collect();
    json!({ "compare": compare, "success": success, "failure": [] })
}

/// A watch that waits for changes.
pub struct Watch {
    answer: ClientResponse,
    url: String,
    read: BytesMut,
}

impl Watch {
    /// Waits for the next change, `patience` at most; false where there was none.
    ///
    /// # Errors
    ///
    /// Where the watch broke off.
    pub async fn changed(&mut self, patience: Duration, now: Instant) -> Result<bool, Error> {
        let call = Call {
            step: Step::Watch,
            url: &self.url,
            now,
            patience,
        };
        loop {
            if let Some(end) = self.read.iter().position(|byte| *byte == b'\n') {
                let line = self.read.split_to(end + 1);
                let read: Value = serde_json::from_slice(&line)
                    .map_err(|error| call.error(Fault::Unreadable(error.to_string())))?;
                if read["result"]["events"]
                    .as_array()
                    .is_some_and(|events| !events.is_empty())
                {
                    return Ok(true);
                }
                continue;
            }
            match call.part(&mut self.answer).await {
                Ok(Some(part)) => self.read.extend_from_slice(&part),
                Ok(None) => {
                    return Err(call.error(Fault::Unanswered("the watch ended".to_owned())));
                }
                Err(Error {
                    fault: Fault::Unanswered(what),
                    ..
                }) if what.contains("stalled") => {
                    return Ok(false);
                }
                Err(error) => return Err(error),
            }
        }
    }
}
