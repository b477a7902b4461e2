//! Reservations of memory for the chunks of versions, which are not stored on disk.
//!
//! The memory of a whole version is reserved before any chunk is fetched, so a version that doesn't
//! fit is refused at once. Versions assigned to engines are never evicted.

use {displaydoc::Display, gingerpier_base::Digest, std::collections::BTreeMap};

/// the version takes {needed} bytes and {free} of {budget} bytes are free; raise `chunk_memory` or assign less
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
pub struct InsufficientMemory {
    /// Requested bytes.
    pub needed: u64,
    /// Bytes not reserved by assigned versions.
    pub free: u64,
    /// Configured bytes in total.
    pub budget: u64,
}

impl std::error::Error for InsufficientMemory {}

#[derive(Debug, Clone, Copy)]
struct Reservation {
    bytes: u64,
    /// True while an engine is assigned the version, which prevents eviction.
    is_assigned: bool,
    /// Logical time of the last use; the lowest is evicted first.
    last_use: u64,
}

/// Memory reserved for each version, keyed by the digest of its manifest.
#[derive(Debug)]
pub struct Reservations {
    budget: u64,
    reservations: BTreeMap<Digest, Reservation>,
    use_count: u64,
}

impl Reservations {
    /// Creates an empty reservation table of `budget` bytes.
    pub const fn new(budget: u64) -> Self {
        Self {
            budget,
            reservations: BTreeMap::new(),
            use_count: 0,
        }
    }

    /// Reserved bytes in total.
    pub fn reserved(&self) -> u64 {
        self.reservations
            .values()
            .map(|reservation| reservation.bytes)
            .sum()
    }

    /// Reserves memory for an assigned version, and returns the versions evicted for it.
    ///
    /// # Errors
    ///
    /// Fails without any change if the memory not reserved by assigned versions is too small.
    pub fn reserve(
        &mut self,
        version: Digest,
        bytes: u64,
    ) -> Result<Vec<Digest>, InsufficientMemory> {
        self.use_count += 1;
        let last_use = self.use_count;
        if let Some(reservation) = self.reservations.get_mut(&version) {
            reservation.is_assigned = true;
            reservation.last_use = last_use;
            return Ok(Vec::new());
        }
        let assigned = self
            .reservations
            .values()
            .filter(|reservation| reservation.is_assigned);
        let free = self
            .budget
            .saturating_sub(assigned.map(|reservation| reservation.bytes).sum());
        if bytes > free {
            return Err(InsufficientMemory {
                needed: bytes,
                free,
                budget: self.budget,
            });
        }
        let mut evicted = Vec::new();
        while self.reserved() + bytes > self.budget {
            let unassigned = self
                .reservations
                .iter()
                .filter(|(_, reservation)| !reservation.is_assigned);
            let Some(oldest) = unassigned
                .min_by_key(|(_, reservation)| reservation.last_use)
                .map(|(key, _)| *key)
            else {
                break;
            };
            self.reservations.remove(&oldest);
            evicted.push(oldest);
        }
        self.reservations.insert(
            version,
            Reservation {
                bytes,
                is_assigned: true,
                last_use,
            },
        );
        Ok(evicted)
    }

    /// Marks a version as not assigned to any engine, which allows its eviction.
    pub fn unassign(&mut self, version: Digest) {
        if let Some(reservation) = self.reservations.get_mut(&version) {
            reservation.is_assigned = false;
        }
    }

    /// Versions that are not assigned to any engine.
    pub fn unassigned(&self) -> impl Iterator<Item = Digest> {
        self.reservations
            .iter()
            .filter(|(_, reservation)| !reservation.is_assigned)
            .map(|(key, _)| *key)
    }
}
