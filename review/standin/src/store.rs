//! Stand-in of the platform's store: items, watches and changes under a condition.

use {
    crate::http::{respond, serve, Request},
    std::{
        collections::BTreeMap,
        fmt::Write as _,
        io,
        net::{SocketAddr, TcpStream},
        sync::{Arc, Condvar, Mutex},
        time::{Duration, Instant},
    },
};

const PAGE_ITEMS: usize = 500;

#[derive(Default)]
struct Items {
    at: u64,
    /// Revision and base64 value of each key.
    items: BTreeMap<String, (u64, String)>,
    /// All changes: revision, key and value, which is none for a deletion.
    changes: Vec<(u64, String, Option<String>)>,
}

impl Items {
    fn write(&mut self, key: &str, value: Option<String>) {
        self.at += 1;
        match &value {
            Some(value) => {
                self.items.insert(key.to_owned(), (self.at, value.clone()));
            }
            None => {
                self.items.remove(key);
            }
        }
        self.changes.push((self.at, key.to_owned(), value));
    }
}

/// The store; clones share the items.
#[derive(Clone, Default)]
pub struct Store(Arc<(Mutex<Items>, Condvar)>);

fn item(key: &str, value: &Option<String>, revision: u64) -> String {
    match value {
        Some(value) => format!(
            r#"{{"key":"{key}","value":"{value}","revision":{revision},"made":{revision},"lease":0}}"#
        ),
        None => format!(r#"{{"key":"{key}","revision":{revision},"gone":true}}"#),
    }
}

fn base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for part in bytes.chunks(3) {
        let byte = |index: usize| u32::from(part.get(index).copied().unwrap_or_default());
        let bits = byte(0) << 16 | byte(1) << 8 | byte(2);
        for index in 0..4 {
            let digit = DIGITS[(bits >> (18 - 6 * index) & 63) as usize];
            text.push(if index <= part.len() {
                digit as char
            } else {
                '='
            });
        }
    }
    text
}

/// Text values under `name` in a compact JSON text.
fn texts<'a>(json: &'a str, name: &str) -> Vec<&'a str> {
    let mark = format!("\"{name}\":\"");
    let parts = json.split(mark.as_str()).skip(1);
    parts.filter_map(|part| part.split('"').next()).collect()
}

/// First number under `name` in a compact JSON text.
pub fn number(json: &str, name: &str) -> Option<u64> {
    let (_, rest) = json.split_once(&format!("\"{name}\":"))?;
    let digits: String = rest.chars().take_while(char::is_ascii_digit).collect();
    digits.parse().ok()
}

impl Store {
    pub fn start(address: SocketAddr) -> io::Result<Self> {
        let store = Self::default();
        let serving = store.clone();
        serve(address, move |request, stream| {
            serving.handle(request, stream)
        })?;
        Ok(store)
    }

    pub fn put(&self, key: &str, value: &str) {
        let (items, changed) = &*self.0;
        items
            .lock()
            .unwrap()
            .write(key, Some(base64(value.as_bytes())));
        changed.notify_all();
    }

    pub fn remove(&self, key: &str) {
        let (items, changed) = &*self.0;
        items.lock().unwrap().write(key, None);
        changed.notify_all();
    }

    fn handle(&self, request: &Request, stream: &mut TcpStream) -> bool {
        let json = "Content-Type: application/json\r\n";
        let prefix = request.query("pathPrefix").unwrap_or_default().to_owned();
        let after = request.query("afterRev").unwrap_or_default().to_owned();
        match request.path() {
            "/api/kv-range" => {
                let items = self.0 .0.lock().unwrap();
                let matching = items.items.iter();
                let matching =
                    matching.filter(|(key, _)| key.starts_with(&prefix) && **key > after);
                let mut matching = matching.peekable();
                let mut entries = Vec::new();
                while let Some((key, (revision, value))) =
                    matching.next_if(|_| entries.len() < PAGE_ITEMS)
                {
                    entries.push(item(key, &Some(value.clone()), *revision));
                }
                let more = matching.peek().is_some();
                let body = format!(
                    r#"{{"entries":[{}],"more":{more},"at":{}}}"#,
                    entries.join(","),
                    items.at
                );
                drop(items);
                respond(stream, 200, json, body.as_bytes())
            }
            "/api/kv-key" => {
                let key = request.query("key").unwrap_or_default();
                let items = self.0 .0.lock().unwrap();
                let found = items.items.get(key).cloned();
                drop(items);
                match found {
                    Some((revision, value)) => respond(
                        stream,
                        200,
                        json,
                        item(key, &Some(value), revision).as_bytes(),
                    ),
                    None => respond(stream, 404, "", b""),
                }
            }
            "/api/kv-watch" => {
                let after: u64 = after.parse().unwrap_or_default();
                let wait = request.query("waitMs").and_then(|text| text.parse().ok());
                let deadline = Instant::now() + Duration::from_millis(wait.unwrap_or(0));
                let (items, changed) = &*self.0;
                let mut items = items.lock().unwrap();
                loop {
                    let changes = items.changes.iter();
                    let new =
                        changes.filter(|(at, key, _)| *at > after && key.starts_with(&prefix));
                    let events: Vec<String> =
                        new.map(|(at, key, value)| item(key, value, *at)).collect();
                    let left = deadline.saturating_duration_since(Instant::now());
                    if !events.is_empty() || left.is_zero() {
                        let at = items.at;
                        drop(items);
                        let body = format!(r#"{{"events":[{}],"at":{at}}}"#, events.join(","));
                        return respond(stream, 200, json, body.as_bytes());
                    }
                    items = changed.wait_timeout(items, left).unwrap().0;
                }
            }
            "/api/kv-txn" => {
                let body = String::from_utf8_lossy(&request.body).into_owned();
                let (expected, put) = body.split_once("\"put\":").unwrap_or((&body, ""));
                let key = texts(expected, "key").first().copied().unwrap_or_default();
                let revision = number(expected, "revision").unwrap_or_default();
                let (items, changed) = &*self.0;
                let mut items = items.lock().unwrap();
                let known = items.items.get(key).cloned();
                if known.as_ref().map_or(0, |(revision, _)| *revision) != revision {
                    let entry = known.map(|(at, value)| item(key, &Some(value), at));
                    let body = format!(r#"{{"entries":[{}]}}"#, entry.unwrap_or_default());
                    drop(items);
                    return respond(stream, 412, json, body.as_bytes());
                }
                for (key, value) in texts(put, "key").iter().zip(texts(put, "value")) {
                    items.write(key, Some(value.to_owned()));
                }
                let at = items.at;
                drop(items);
                changed.notify_all();
                respond(
                    stream,
                    200,
                    json,
                    format!(r#"{{"revision":{at}}}"#).as_bytes(),
                )
            }
            _ => respond(stream, 404, "", b""),
        }
    }
}

/// Hexadecimal text of bytes.
pub fn hex(bytes: &[u8]) -> String {
    let mut text = String::new();
    for byte in bytes {
        let _ = write!(text, "{byte:02x}");
    }
    text
}
