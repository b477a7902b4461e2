//! Pool of idle connections.

use {
    crate::clock,
    gingerpier_base::Instant,
    gingerpier_http1::{body::Framing, connection::Connection, head::Response},
    std::{collections::HashMap, hash::Hash},
};

/// Idle timeout of a connection whose peer announces none.
const DEFAULT_IDLE_MILLIS: u64 = 3_000;

/// Time by which a connection is closed before the timeout that its peer announces.
const IDLE_MARGIN_MILLIS: u64 = 1_000;

/// Limit on idle connections per peer.
const MAX_IDLE: usize = 24;

struct IdleConnection {
    connection: Connection,
    expires: Instant,
}

/// Idle connections by peer.
pub struct Pool<K> {
    idle: HashMap<K, Vec<IdleConnection>>,
}

impl<K> Default for Pool<K> {
    fn default() -> Self {
        Self {
            idle: HashMap::new(),
        }
    }
}

/// Time that a connection may stay idle after `response`; none if it has to be closed.
pub fn idle_millis(response: &Response) -> Option<u64> {
    if !response.keeps_alive() || response.framing() == Ok(Framing::UntilClose) {
        return None;
    }
    let announced = response.fields.text("keep-alive").and_then(|text| {
        let part = text
            .split(',')
            .find_map(|part| part.trim().strip_prefix("timeout="));
        part.unwrap_or(text).trim().parse::<u64>().ok()
    });
    match announced {
        None => Some(DEFAULT_IDLE_MILLIS),
        Some(seconds) => (seconds * 1_000).checked_sub(IDLE_MARGIN_MILLIS),
    }
}

impl<K: Hash + Eq> Pool<K> {
    /// Removes and returns a usable connection to `peer`.
    pub fn take(&mut self, peer: &K) -> Option<Connection> {
        let idle = self.idle.get_mut(peer)?;
        let now = clock::now();
        while let Some(candidate) = idle.pop() {
            if !candidate.expires.has_passed(now) && candidate.connection.is_idle() {
                return Some(candidate.connection);
            }
        }
        None
    }

    /// Adds a connection after `response`, unless it has to be closed or the limit is reached.
    pub fn put(&mut self, peer: K, connection: Connection, response: &Response) {
        let Some(millis) = idle_millis(response) else {
            return;
        };
        let idle = self.idle.entry(peer).or_default();
        if idle.len() < MAX_IDLE && connection.input.is_empty() {
            idle.push(IdleConnection {
                connection,
                expires: clock::now().after_millis(millis),
            });
        }
    }

    /// Closes expired connections and those to peers for which `keep` returns false.
    pub fn sweep<F: Fn(&K) -> bool>(&mut self, keep: F) {
        let now = clock::now();
        self.idle.retain(|peer, idle| {
            idle.retain(|connection| !connection.expires.has_passed(now));
            !idle.is_empty() && keep(peer)
        });
    }
}
