//! Bytes that a gateway holds for callers, with a bound in total for each kind.
//!
//! Every connection may hold a small number of bytes without a reservation. Whatever is beyond it
//! is reserved first. A request body is reserved as a whole before it is read, so that bodies that
//! wait hold nothing that others wait for.

use {
    gingerpier_base::Instant,
    prometheus_client::metrics::gauge::Gauge,
    std::{cell::Cell, rc::Rc},
};

/// Bound of the request bodies up to [`LARGE_BYTES`] in total, and of the longer ones in total, in
/// bytes. A gateway has at least 160 MB and spends a tenth of it on 500 slow callers, of which the
/// connections themselves take about 12 MB.
pub const MAX_REQUEST_BYTES: usize = 2 * 1024 * 1024;

/// Bound of the buffered responses in total, in bytes; see [`MAX_REQUEST_BYTES`].
pub const MAX_RESPONSE_BYTES: usize = 2 * 1024 * 1024;

/// Largest reservation that counts as small, in bytes. Prompts are shorter.
pub const LARGE_BYTES: usize = 64 * 1024;

/// Time after a refused reservation for which the quota counts as short.
const SHORTAGE_MILLIS: u64 = 1_000;

/// Bytes of one kind that may be held in total.
///
/// Large reservations have a bound of their own, so that they don't keep small ones waiting. A
/// single large one is always possible, whatever its size.
#[derive(Debug)]
pub struct Quota {
    limit: usize,
    held: Cell<usize>,
    held_by_large: Cell<usize>,
    refused_at: Cell<Option<Instant>>,
    gauge: Gauge,
}

impl Quota {
    /// Quota of `limit` bytes for small and for large reservations each; `gauge` shows how many are reserved.
    pub fn new(limit: usize, gauge: Gauge) -> Rc<Self> {
        Rc::new(Self {
            limit,
            held: Cell::new(0),
            held_by_large: Cell::new(0),
            refused_at: Cell::new(None),
            gauge,
        })
    }

    /// Reserved bytes.
    pub const fn held(&self) -> usize {
        self.held.get()
    }

    /// True if a reservation was refused recently.
    pub fn is_short(&self, now: Instant) -> bool {
        let refused_at = self.refused_at.get();
        refused_at.is_some_and(|at| !at.after_millis(SHORTAGE_MILLIS).has_passed(now))
    }

    /// True if small reservations take more than half of their bound.
    pub const fn is_tight(&self) -> bool {
        self.held.get() - self.held_by_large.get() > self.limit / 2
    }

    fn allows(&self, from: usize, to: usize) -> bool {
        if to <= LARGE_BYTES {
            let other_small = self.held.get() - self.held_by_large.get() - from;
            return other_small + to <= self.limit;
        }
        let other_large = match from > LARGE_BYTES {
            true => self.held_by_large.get() - from,
            false => self.held_by_large.get(),
        };
        other_large == 0 || other_large + to <= self.limit
    }

    fn change(&self, from: usize, to: usize) {
        let replace = |total: &Cell<usize>, from: usize, to: usize| {
            total.set(total.get() - from + to);
        };
        let large = |bytes: usize| if bytes > LARGE_BYTES { bytes } else { 0 };
        replace(&self.held, from, to);
        replace(&self.held_by_large, large(from), large(to));
        self.gauge.set(self.held.get() as i64);
    }
}

/// Bytes reserved for one connection, until it is dropped.
#[derive(Debug)]
pub struct Reservation {
    quota: Rc<Quota>,
    bytes: usize,
}

impl Reservation {
    /// Reservation of no bytes.
    pub fn new(quota: &Rc<Quota>) -> Self {
        Self {
            quota: quota.clone(),
            bytes: 0,
        }
    }

    /// Raises the reservation to `bytes`; false if the quota doesn't allow it.
    pub fn raise(&mut self, bytes: usize, now: Instant) -> bool {
        if bytes <= self.bytes {
            return true;
        }
        if !self.quota.allows(self.bytes, bytes) {
            self.quota.refused_at.set(Some(now));
            return false;
        }
        self.quota.change(self.bytes, bytes);
        self.bytes = bytes;
        true
    }

    /// Ends the reservation.
    pub fn release(&mut self) {
        self.quota.change(self.bytes, 0);
        self.bytes = 0;
    }
}

impl Drop for Reservation {
    fn drop(&mut self) {
        self.release();
    }
}
