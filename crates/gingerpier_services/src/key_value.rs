//! Client of the platform's key-value service: compare-and-swap, leases, watches.
//!
//! The protocol is the JSON mapping of the etcd v3 API: keys and values in Base64, numbers as
//! strings, watches as streams of one JSON object per line.

use {
    crate::{
        error::{Error, Fault, Step},
        http::CallContext,
    },
    awc::{Client as Http, ClientResponse},
    base64::{Engine, prelude::BASE64_STANDARD},
    bytes::BytesMut,
    gingerpier_base::Instant,
    serde::{Deserialize, Serialize},
    serde_json::{Value, json},
    std::time::Duration,
};

/// Maximum size of a value that the service accepts.
pub const MAX_VALUE_BYTES: usize = 1 << 20;

/// A stored key and its value.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Item {
    /// Key.
    pub key: String,
    /// Value.
    pub value: Vec<u8>,
    /// Store revision of the key's last change.
    pub changed: u64,
}

/// Precondition of a change: the key's last change was at this store revision.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Guard {
    /// Compared key.
    pub key: String,
    /// Expected store revision of the key's last change; 0 if the key must not exist.
    pub changed: u64,
}

/// A key to set.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Put {
    /// Key.
    pub key: String,
    /// Value.
    pub value: Vec<u8>,
    /// Lease whose expiry deletes the key.
    pub lease: Option<u64>,
}

/// Half-open range of keys.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Range {
    /// First key.
    pub first: String,
    /// End of the range, exclusive.
    pub end: String,
}

impl Range {
    /// Range of all keys with `prefix`, which must end with `/`.
    pub fn below(prefix: &str) -> Self {
        let end = format!("{}0", prefix.trim_end_matches('/'));
        Self {
            first: prefix.to_owned(),
            end,
        }
    }
}

/// Transaction that sets and deletes keys atomically if all guards match.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct Change {
    /// Preconditions.
    pub guards: Vec<Guard>,
    /// Keys to set.
    pub puts: Vec<Put>,
    /// Keys to delete.
    pub removals: Vec<Range>,
}

impl Change {
    /// Adds a precondition.
    #[must_use]
    pub fn guard(mut self, key: &str, changed: u64) -> Self {
        self.guards.push(Guard {
            key: key.to_owned(),
            changed,
        });
        self
    }

    /// Adds a key to set.
    #[must_use]
    pub fn put(mut self, key: &str, value: Vec<u8>) -> Self {
        self.puts.push(Put {
            key: key.to_owned(),
            value,
            lease: None,
        });
        self
    }

    /// Adds a key to set that is deleted when the lease expires.
    #[must_use]
    pub fn put_leased(mut self, key: &str, value: Vec<u8>, lease: u64) -> Self {
        self.puts.push(Put {
            key: key.to_owned(),
            value,
            lease: Some(lease),
        });
        self
    }

    /// Adds keys to delete.
    #[must_use]
    pub fn remove(mut self, range: Range) -> Self {
        self.removals.push(range);
        self
    }
}

/// Client of the key-value service.
#[derive(Clone)]
pub struct Client {
    http: Http,
    url: String,
    timeout: Duration,
}

#[derive(Deserialize)]
struct RangeResponse {
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
struct TransactionResponse {
    #[serde(default)]
    succeeded: bool,
}

#[derive(Deserialize)]
struct LeaseResponse {
    #[serde(rename = "ID", default)]
    id: String,
    #[serde(rename = "TTL", default)]
    ttl: String,
}

#[derive(Deserialize)]
struct KeepAliveResponse {
    result: LeaseResponse,
}

fn to_base64(bytes: &[u8]) -> String {
    BASE64_STANDARD.encode(bytes)
}

impl Client {
    /// Client of the service at `url`; `timeout` applies to a call.
    pub const fn new(http: Http, url: String, timeout: Duration) -> Self {
        Self { http, url, timeout }
    }

    /// URL of the service.
    pub fn url(&self) -> &str {
        &self.url
    }

    const fn call<'a>(&self, step: Step, url: &'a str, now: Instant) -> CallContext<'a> {
        CallContext {
            step,
            url,
            now,
            timeout: self.timeout,
        }
    }

    async fn post(
        &self,
        call: CallContext<'_>,
        body: &impl Serialize,
    ) -> Result<ClientResponse, Error> {
        call.answer(self.http.post(call.url).send_json(body)).await
    }

    /// Reads one key.
    ///
    /// # Errors
    ///
    /// Returns an error if the service does not respond or refuses the call.
    pub async fn get(&self, key: &str, now: Instant) -> Result<Option<Item>, Error> {
        let items = self
            .fetch(json!({ "key": to_base64(key.as_bytes()) }), now)
            .await?;
        Ok(items.into_iter().next())
    }

    /// Reads a range of keys, in key order.
    ///
    /// # Errors
    ///
    /// Returns an error if the service does not respond or refuses the call.
    pub async fn range(&self, range: &Range, now: Instant) -> Result<Vec<Item>, Error> {
        let Range { first, end } = range;
        let body =
            json!({ "key": to_base64(first.as_bytes()), "range_end": to_base64(end.as_bytes()) });
        self.fetch(body, now).await
    }

    async fn fetch(&self, body: Value, now: Instant) -> Result<Vec<Item>, Error> {
        let url = format!("{}/v3/kv/range", self.url);
        let call = self.call(Step::ReadKey, &url, now);
        let mut response = self.post(call, &body).await?;
        let decoded: RangeResponse = call.json(&mut response).await?;
        let items = decoded.kvs.into_iter().map(to_item);
        let items: Option<Vec<Item>> = items.collect();
        items.ok_or_else(|| call.error(Fault::Unreadable("a key is no text".to_owned())))
    }

    /// Commits a change; returns false if a guard did not match.
    ///
    /// # Errors
    ///
    /// Returns an error if the service does not respond or refuses the call; [`Error::had_no_effect`] tells whether
    /// the change may have taken effect.
    pub async fn commit(&self, change: &Change, now: Instant) -> Result<bool, Error> {
        let url = format!("{}/v3/kv/txn", self.url);
        let call = self.call(Step::WriteKeys, &url, now);
        if let Some(put) = change
            .puts
            .iter()
            .find(|put| put.value.len() > MAX_VALUE_BYTES)
        {
            let cause = format!("the value of {} has {} bytes", put.key, put.value.len());
            return Err(call.error(Fault::Refused(cause)));
        }
        let mut response = self.post(call, &transaction(change)).await?;
        let decoded: TransactionResponse = call.json(&mut response).await?;
        Ok(decoded.succeeded)
    }

    /// Creates a lease that expires after `seconds` unless it is renewed.
    ///
    /// # Errors
    ///
    /// Returns an error if the service does not respond or refuses the call.
    pub async fn grant_lease(&self, seconds: u64, now: Instant) -> Result<u64, Error> {
        let url = format!("{}/v3/lease/grant", self.url);
        let call = self.call(Step::Lease, &url, now);
        let body = json!({ "TTL": seconds.to_string(), "ID": "0" });
        let mut response = self.post(call, &body).await?;
        let decoded: LeaseResponse = call.json(&mut response).await?;
        decoded
            .id
            .parse()
            .map_err(|_| call.error(Fault::Unreadable("the lease has no ID".to_owned())))
    }

    /// Renews a lease; returns false if it has expired.
    ///
    /// # Errors
    ///
    /// Returns an error if the service does not respond or refuses the call.
    pub async fn renew_lease(&self, lease: u64, now: Instant) -> Result<bool, Error> {
        let url = format!("{}/v3/lease/keepalive", self.url);
        let call = self.call(Step::Lease, &url, now);
        let mut response = self.post(call, &json!({ "ID": lease.to_string() })).await?;
        let decoded: KeepAliveResponse = call.json(&mut response).await?;
        Ok(decoded.result.ttl.parse::<u64>().unwrap_or(0) > 0)
    }

    /// Watches one key, starting at the store revision `from`.
    ///
    /// # Errors
    ///
    /// Returns an error if the service does not respond or refuses the call.
    pub async fn watch(&self, key: &str, from: u64, now: Instant) -> Result<Watch, Error> {
        let url = format!("{}/v3/watch", self.url);
        let call = self.call(Step::Watch, &url, now);
        let create =
            json!({ "key": to_base64(key.as_bytes()), "start_revision": from.to_string() });
        let response = self
            .post(call, &json!({ "create_request": create }))
            .await?;
        Ok(Watch {
            response,
            url,
            unparsed: BytesMut::new(),
        })
    }
}

fn to_item(pair: KeyValue) -> Option<Item> {
    let key = BASE64_STANDARD.decode(pair.key).ok()?;
    Some(Item {
        key: String::from_utf8(key).ok()?,
        value: BASE64_STANDARD.decode(pair.value).ok()?,
        changed: pair.mod_revision.parse().ok()?,
    })
}

fn transaction(change: &Change) -> Value {
    let compare = |guard: &Guard| {
        json!({
            "key": to_base64(guard.key.as_bytes()),
            "target": "MOD",
            "result": "EQUAL",
            "mod_revision": guard.changed.to_string(),
        })
    };
    let put = |put: &Put| {
        let lease = put.lease.unwrap_or(0).to_string();
        let (key, value) = (to_base64(put.key.as_bytes()), to_base64(&put.value));
        json!({ "request_put": { "key": key, "value": value, "lease": lease } })
    };
    let remove = |range: &Range| {
        let (first, end) = (
            to_base64(range.first.as_bytes()),
            to_base64(range.end.as_bytes()),
        );
        json!({ "request_delete_range": { "key": first, "range_end": end } })
    };
    let compare: Vec<Value> = change.guards.iter().map(compare).collect();
    let puts = change.puts.iter().map(put);
    let success: Vec<Value> = puts.chain(change.removals.iter().map(remove)).collect();
    json!({ "compare": compare, "success": success, "failure": [] })
}

/// Watch on one key.
pub struct Watch {
    response: ClientResponse,
    url: String,
    unparsed: BytesMut,
}

impl Watch {
    /// Waits for the next change for at most `timeout`; returns false on timeout.
    ///
    /// # Errors
    ///
    /// Returns an error if the connection is lost.
    pub async fn changed(&mut self, timeout: Duration, now: Instant) -> Result<bool, Error> {
        let call = CallContext {
            step: Step::Watch,
            url: &self.url,
            now,
            timeout,
        };
        loop {
            if let Some(end) = self.unparsed.iter().position(|byte| *byte == b'\n') {
                let line = self.unparsed.split_to(end + 1);
                let message: Value = serde_json::from_slice(&line)
                    .map_err(|error| call.error(Fault::Unreadable(error.to_string())))?;
                if message["result"]["events"]
                    .as_array()
                    .is_some_and(|events| !events.is_empty())
                {
                    return Ok(true);
                }
                continue;
            }
            match call.part(&mut self.response).await {
                Ok(Some(part)) => self.unparsed.extend_from_slice(&part),
                Ok(None) => {
                    return Err(call.error(Fault::Unanswered("the watch ended".to_owned())));
                }
                Err(Error {
                    fault: Fault::Unanswered(cause),
                    ..
                }) if cause.contains("stalled") => {
                    return Ok(false);
                }
                Err(error) => return Err(error),
            }
        }
    }
}
