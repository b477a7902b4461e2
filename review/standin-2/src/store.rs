//! Stand-in of the platform's store: items, pages, watches and changes under a condition.

use {
    crate::http::{self, Connection, Message},
    std::{
        collections::BTreeMap,
        net::SocketAddr,
        sync::{Arc, Condvar, Mutex},
        time::{Duration, Instant},
    },
};

const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";

/// Standard base64 with padding.
fn base64(bytes: &[u8]) -> String {
    let mut text = String::new();
    for part in bytes.chunks(3) {
        let get = |index: usize| u32::from(part.get(index).copied().unwrap_or(0));
        let all = get(0) << 16 | get(1) << 8 | get(2);
        for index in 0..4 {
            match index <= part.len() {
                true => text.push(DIGITS[(all >> (18 - 6 * index) & 63) as usize] as char),
                false => text.push('='),
            }
        }
    }
    text
}

#[derive(Default)]
struct Items {
    at: u64,
    items: BTreeMap<String, (u64, String)>,
    /// Revision, key and value of each change; no value for a deletion.
    changes: Vec<(u64, String, Option<String>)>,
}

/// The store.
#[derive(Clone)]
pub struct Store {
    pub address: SocketAddr,
    shared: Arc<(Mutex<Items>, Condvar)>,
}

fn entry(key: &str, revision: u64, value: Option<&str>) -> String {
    match value {
        Some(value) => format!(
            r#"{{"key":"{key}","value":"{value}","revision":{revision},"made":{revision},"lease":0}}"#
        ),
        None => format!(r#"{{"key":"{key}","revision":{revision},"gone":true}}"#),
    }
}

impl Store {
    /// Starts at `address`.
    pub fn start(address: SocketAddr) -> Self {
        let store = Self { address, shared: Arc::default() };
        let serving = store.clone();
        http::serve(address, move |request, connection| serving.answer(request, connection));
        store
    }

    /// Writes an item.
    pub fn put(&self, key: &str, value: &str) {
        self.put_encoded(key, base64(value.as_bytes()));
    }

    fn put_encoded(&self, key: &str, value: String) -> u64 {
        let mut items = self.shared.0.lock().expect("not poisoned");
        items.at += 1;
        let at = items.at;
        items.items.insert(key.to_owned(), (at, value.clone()));
        items.changes.push((at, key.to_owned(), Some(value)));
        self.shared.1.notify_all();
        at
    }

    /// Deletes an item.
    pub fn delete(&self, key: &str) {
        let mut items = self.shared.0.lock().expect("not poisoned");
        items.at += 1;
        let at = items.at;
        items.items.remove(key);
        items.changes.push((at, key.to_owned(), None));
        self.shared.1.notify_all();
    }

    fn answer(&self, request: &Message, connection: &mut Connection) -> bool {
        let json = [("Content-Type", "application/json")];
        let prefix = request.query("pathPrefix").unwrap_or_default();
        let number = |name| request.query(name).and_then(|text| text.parse().ok()).unwrap_or(0);
        match request.path() {
            "/api/kv-range" => {
                let after = request.query("afterRev").unwrap_or_default();
                let items = self.shared.0.lock().expect("not poisoned");
                let listed = items.items.iter();
                let listed = listed.filter(|(key, _)| key.starts_with(prefix) && key.as_str() > after);
                let entries: Vec<String> =
                    listed.map(|(key, (revision, value))| entry(key, *revision, Some(value))).collect();
                let body = format!(
                    r#"{{"entries":[{}],"more":false,"at":{}}}"#,
                    entries.join(","),
                    items.at
                );
                drop(items);
                connection.respond(200, &json, body.as_bytes())
            }
            "/api/kv-watch" => {
                let (after, wait): (u64, u64) = (number("afterRev"), number("waitMs"));
                let deadline = Instant::now() + Duration::from_millis(wait);
                let mut items = self.shared.0.lock().expect("not poisoned");
                let body = loop {
                    let changes = items.changes.iter();
                    let changes = changes.filter(|(at, key, _)| *at > after && key.starts_with(prefix));
                    let events: Vec<String> =
                        changes.map(|(at, key, value)| entry(key, *at, value.as_deref())).collect();
                    let left = deadline.saturating_duration_since(Instant::now());
                    if !events.is_empty() || left.is_zero() {
                        break format!(r#"{{"events":[{}],"at":{}}}"#, events.join(","), items.at);
                    }
                    items = self.shared.1.wait_timeout(items, left).expect("not poisoned").0;
                };
                drop(items);
                connection.respond(200, &json, body.as_bytes())
            }
            "/api/kv-txn" => self.transact(request, connection),
            _ => connection.respond(404, &json, b"{}"),
        }
    }

    /// One put under the condition of one revision, as gateways send it.
    fn transact(&self, request: &Message, connection: &mut Connection) -> bool {
        let text = String::from_utf8_lossy(&request.body).into_owned();
        let part = |name: &str, from: &str| -> Option<String> {
            let start = from.find(&format!("\"{name}\":"))? + name.len() + 3;
            let rest = from[start..].trim_start_matches('"');
            let end = rest.find(['"', ',', '}'])?;
            Some(rest[..end].to_owned())
        };
        let put = text.find("\"put\"").map_or("", |start| &text[start..]);
        let (key, value) = (part("key", put), part("value", put));
        let expected = part("revision", &text).and_then(|text| text.parse::<u64>().ok());
        let (Some(key), Some(value), Some(expected)) = (key, value, expected) else {
            return connection.respond(400, &[], b"{}");
        };
        let known = {
            let items = self.shared.0.lock().expect("not poisoned");
            items.items.get(&key).map_or(0, |(revision, _)| *revision)
        };
        if known != expected {
            return connection.respond(412, &[], br#"{"entries":[]}"#);
        }
        let revision = self.put_encoded(&key, value);
        connection.respond(200, &[], format!(r#"{{"revision":{revision}}}"#).as_bytes())
    }
}
