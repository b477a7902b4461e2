//! Bytes that a gateway holds for callers, with a bound in total for each kind.
//!
//! Every connection may hold a small number of bytes without a reservation. Whatever is beyond it
//! is reserved first. Only a reservation that holds nothing may wait, so that none waits for one
//! that waits itself.

use {
    gingerpier_base::Instant,
    gingerpier_serving::configuration::RouteKey,
    prometheus_client::metrics::gauge::Gauge,
    std::{
        cell::{Cell, RefCell},
        collections::HashMap,
        rc::Rc,
    },
};

/// Bound of the request bodies up to [`LARGE_BYTES`] in total, and of the longer ones in total, in
/// bytes. 500 slow callers may cost 16 MB, a tenth of the memory of the smallest gateway; measured
/// are 5 to 14 MB, with the connections themselves.
pub const MAX_REQUEST_BYTES: usize = 4 * 1024 * 1024;

/// Bound of the buffered responses in total, in bytes; see [`MAX_REQUEST_BYTES`].
pub const MAX_RESPONSE_BYTES: usize = 4 * 1024 * 1024;

/// Largest reservation that counts as small, in bytes. Prompts are shorter.
pub const LARGE_BYTES: usize = 64 * 1024;

/// Time after a refused reservation for which the quota counts as short.
const SHORTAGE_MILLIS: u64 = 1_000;

/// Bytes of one kind that may be held in total.
///
/// Large reservations have a bound of their own, so that they don't keep small ones waiting. A
/// single large one is always possible, whatever its size. Small reservations of one route get at
/// most half of their bound, as requests wait at an engine that doesn't read.
#[derive(Debug)]
pub struct Quota {
    limit: usize,
    held: Cell<usize>,
    held_by_large: Cell<usize>,
    /// Small reservations by route.
    held_by_route: RefCell<HashMap<Option<RouteKey>, usize>>,
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
            held_by_route: RefCell::default(),
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

    /// True if small reservations of `route` take more than half of what they may.
    pub fn is_tight(&self, route: Option<RouteKey>) -> bool {
        let by_route = self.held_by_route.borrow();
        let of_route = by_route.get(&route).copied().unwrap_or_default();
        let small = self.held.get() - self.held_by_large.get();
        of_route > self.limit / 4 || small > self.limit / 2
    }

    fn allows(&self, route: Option<RouteKey>, from: usize, to: usize) -> bool {
        if to <= LARGE_BYTES {
            let by_route = self.held_by_route.borrow();
            let of_route = by_route.get(&route).copied().unwrap_or_default() - from;
            if of_route + to > self.limit / 2 {
                return false;
            }
            let other_small = self.held.get() - self.held_by_large.get() - from;
            return other_small + to <= self.limit;
        }
        let other_large = match from > LARGE_BYTES {
            true => self.held_by_large.get() - from,
            false => self.held_by_large.get(),
        };
        other_large == 0 || other_large + to <= self.limit
    }

    fn change(&self, route: Option<RouteKey>, from: usize, to: usize) {
        let replace = |total: &Cell<usize>, from: usize, to: usize| {
            total.set(total.get() - from + to);
        };
        let large = |bytes: usize| if bytes > LARGE_BYTES { bytes } else { 0 };
        replace(&self.held, from, to);
        replace(&self.held_by_large, large(from), large(to));
        let mut by_route = self.held_by_route.borrow_mut();
        let of_route = by_route.entry(route).or_default();
        *of_route = *of_route - (from - large(from)) + (to - large(to));
        if *of_route == 0 {
            by_route.remove(&route);
        }
        self.gauge.set(self.held.get() as i64);
    }
}

/// Bytes reserved for one connection, until it is dropped.
#[derive(Debug)]
pub struct Reservation {
    quota: Rc<Quota>,
    route: Option<RouteKey>,
    bytes: usize,
}

impl Reservation {
    /// Reservation of no bytes for a request of `route`.
    pub fn new(quota: &Rc<Quota>, route: Option<RouteKey>) -> Self {
        Self {
            quota: quota.clone(),
            route,
            bytes: 0,
        }
    }

    /// Reserved bytes.
    pub const fn bytes(&self) -> usize {
        self.bytes
    }

    /// The quota that it is a part of.
    pub fn quota(&self) -> &Quota {
        &self.quota
    }

    /// True if it may wait to be raised: one that holds a part would keep others waiting for it.
    pub const fn may_wait(&self) -> bool {
        self.bytes == 0
    }

    /// Raises the reservation to `bytes`; false if the quota doesn't allow it.
    pub fn raise(&mut self, bytes: usize, now: Instant) -> bool {
        if bytes <= self.bytes {
            return true;
        }
        if !self.quota.allows(self.route, self.bytes, bytes) {
            self.quota.refused_at.set(Some(now));
            return false;
        }
        self.quota.change(self.route, self.bytes, bytes);
        self.bytes = bytes;
        true
    }

    /// Lowers the reservation to `bytes`.
    pub fn lower(&mut self, bytes: usize) {
        if bytes < self.bytes {
            self.quota.change(self.route, self.bytes, bytes);
            self.bytes = bytes;
        }
    }

    /// Ends the reservation.
    pub fn release(&mut self) {
        self.lower(0);
    }
}

impl Drop for Reservation {
    fn drop(&mut self) {
        self.release();
    }
}
