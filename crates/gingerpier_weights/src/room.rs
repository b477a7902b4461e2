//! Room for chunks in memory: boxes have no disks.
//!
//! A version's room is reserved whole before anything moves, so that a version too large is
//! refused at once, and what engines are assigned is never pushed out by something newer.

use {displaydoc::Display, gingerpier_base::Digest, std::collections::BTreeMap};

/// the version takes {needed} bytes and {free} of {budget} bytes are free; raise `chunk_memory` or assign less
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
pub struct Full {
    /// Bytes asked for.
    pub needed: u64,
    /// Bytes that can be had.
    pub free: u64,
    /// Bytes in all.
    pub budget: u64,
}

impl std::error::Error for Full {}

#[derive(Debug, Clone, Copy)]
struct Reservation {
    bytes: u64,
    /// Assigned versions are never evicted.
    assigned: bool,
    /// Order of use; the lowest is evicted first.
    used: u64,
}

/// Reservations of versions, by the digests of their manifests.
#[derive(Debug)]
pub struct Room {
    budget: u64,
    reservations: BTreeMap<Digest, Reservation>,
    uses: u64,
}

impl Room {
    /// Room of `budget` bytes.
    pub const fn new(budget: u64) -> Self {
        Self {
            budget,
            reservations: BTreeMap::new(),
            uses: 0,
        }
    }

    /// Bytes reserved.
    pub fn reserved(&self) -> u64 {
        self.reservations.values().map(|held| held.bytes).sum()
    }

    /// Reserves room for an assigned version, and names the versions to drop for it.
    ///
    /// # Errors
    ///
    /// Where what is assigned leaves too little; nothing has changed then.
    pub fn reserve(&mut self, version: Digest, bytes: u64) -> Result<Vec<Digest>, Full> {
        self.uses += 1;
        let used = self.uses;
        if let Some(held) = self.reservations.get_mut(&version) {
            held.assigned = true;
            held.used = used;
            return Ok(Vec::new());
        }
        let assigned = self.reservations.values().filter(|held| held.assigned);
        let free = self
            .budget
            .saturating_sub(assigned.map(|held| held.bytes).sum());
        if bytes > free {
            return Err(Full {
                needed: bytes,
                free,
                budget: self.budget,
            });
        }
        let mut dropped = Vec::new();
        while self.reserved() + bytes > self.budget {
            let idle = self.reservations.iter().filter(|(_, held)| !held.assigned);
            let Some(oldest) = idle.min_by_key(|(_, held)| held.used).map(|(key, _)| *key) else {
                break;
            };
            self.reservations.remove(&oldest);
            dropped.push(oldest);
        }
        self.reservations.insert(
            version,
            Reservation {
                bytes,
                assigned: true,
                used,
            },
        );
        Ok(dropped)
    }

    /// Notes that no engine here is assigned the version; it stays while there is room.
    pub fn release(&mut self, version: Digest) {
        if let Some(held) = self.reservations.get_mut(&version) {
            held.assigned = false;
        }
    }

    /// Versions that no engine here is assigned.
    pub fn idle(&self) -> impl Iterator<Item = Digest> {
        self.reservations
            .iter()
            .filter(|(_, held)| !held.assigned)
            .map(|(key, _)| *key)
    }
}
