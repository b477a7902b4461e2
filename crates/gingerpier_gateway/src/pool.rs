//! Connections to engines that rest between requests.

use {
    crate::clock,
    gingerpier_base::Instant,
    gingerpier_http1::{connection::Connection, head::Response},
    std::{collections::HashMap, hash::Hash},
};

/// Milliseconds that a connection rests where its peer does not say.
const USUAL_REST_MILLIS: u64 = 3_000;

/// Milliseconds before the peer's own end of rest.
const MARGIN_MILLIS: u64 = 1_000;

/// Connections that rest for one peer.
const MAX_RESTING: usize = 24;

struct Resting {
    connection: Connection,
    expires: Instant,
}

/// Resting connections by peer.
pub struct Pool<K> {
    resting: HashMap<K, Vec<Resting>>,
}

impl<K> Default for Pool<K> {
    fn default() -> Self {
        Self {
            resting: HashMap::new(),
        }
    }
}

/// Milliseconds that a connection may rest after `response`; none where it ends.
pub fn rest_millis(response: &Response) -> Option<u64> {
    if !response.keeps_alive() {
        return None;
    }
    let told = response.fields.text("keep-alive").and_then(|text| {
        let part = text
            .split(',')
            .find_map(|part| part.trim().strip_prefix("timeout="));
        part.unwrap_or(text).trim().parse::<u64>().ok()
    });
    match told {
        None => Some(USUAL_REST_MILLIS),
        Some(seconds) => (seconds * 1_000).checked_sub(MARGIN_MILLIS),
    }
}

impl<K: Hash + Eq> Pool<K> {
    /// A connection to `peer` that is fit for one more request.
    pub fn take(&mut self, peer: &K) -> Option<Connection> {
        let resting = self.resting.get_mut(peer)?;
        let now = clock::now();
        while let Some(next) = resting.pop() {
            if !next.expires.has_passed(now) && next.connection.is_idle() {
                return Some(next.connection);
            }
        }
        None
    }

    /// Lets a connection rest after `response`.
    pub fn put(&mut self, peer: K, connection: Connection, response: &Response) {
        let Some(millis) = rest_millis(response) else {
            return;
        };
        let resting = self.resting.entry(peer).or_default();
        if resting.len() < MAX_RESTING && connection.input.is_empty() {
            resting.push(Resting {
                connection,
                expires: clock::now().after_millis(millis),
            });
        }
    }

    /// Ends connections whose rest is over, and those of peers that `keep` does not hold.
    pub fn sweep<F: Fn(&K) -> bool>(&mut self, keep: F) {
        let now = clock::now();
        self.resting.retain(|peer, resting| {
            resting.retain(|one| !one.expires.has_passed(now));
            !resting.is_empty() && keep(peer)
        });
    }
}
