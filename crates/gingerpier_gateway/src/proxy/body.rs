//! Bodies of requests, which are held until the request ends, as another engine may need them.

use {
    super::{caller::Caller, error_response::ErrorResponse, request},
    crate::{
        buffers::{LARGE_BYTES, Reservation},
        clock, log,
        metrics::{Direction, SlowLabels},
        state::State,
    },
    bytes::{Bytes, BytesMut},
    gingerpier_base::Instant,
    gingerpier_http1::{
        body::{Decoder, Framing, Part},
        error::Error,
        head::Request,
    },
    gingerpier_serving::configuration::{Limits, RouteKey},
    std::cell::RefCell,
};

/// Bytes of a body that a connection may hold without a reservation. Most prompts fit.
const FREE_BYTES: usize = 8 * 1024;

/// Time for which a caller may send no byte of its body.
const STALL_MILLIS: u64 = 5_000;

/// The same while reservations of other bodies are refused.
const SHORT_STALL_MILLIS: u64 = 1_000;

/// Longest interval between checks whether a body has arrived; each check copies what has.
const MAX_ARRIVAL_INTERVAL_MILLIS: u64 = 256;

/// Part of a request's time that it may wait for memory.
const WAIT_DIVISOR: u64 = 2;

/// Interval at which a refused reservation is tried again.
const RETRY_INTERVAL_MILLIS: u64 = 20;

/// A request body.
pub struct Body {
    bytes: RefCell<Bytes>,
    reservation: RefCell<Reservation>,
}

impl Body {
    /// The bytes; none after the release.
    pub fn bytes(&self) -> Bytes {
        self.bytes.borrow().clone()
    }

    /// Gives the memory back, as the request isn't sent again.
    pub fn release(&self) {
        self.bytes.borrow_mut().clear();
        self.reservation.borrow_mut().release();
    }
}

/// Why a body is not available.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum BodyError {
    /// The body is invalid, too long or incomplete.
    Http(Error),
    /// The caller sends it too slowly.
    Stalled,
    /// Other bodies occupy the memory; no engine has seen the request.
    NoMemory,
    /// The request is refused without its body.
    Refused(ErrorResponse),
}

/// Limits of one body.
struct Bounds {
    max_bytes: usize,
    /// Time until which the caller may send it.
    deadline: Instant,
    /// Time until which it may wait for memory; leaves the caller time to retry.
    wait_deadline: Instant,
}

/// Reads the body of a request whose head is complete since `received`.
///
/// # Errors
///
/// If the body is invalid, or not complete in time, or if the request is refused without it.
pub async fn read(
    state: &State,
    caller: &mut Caller,
    head: &Request,
    framing: Framing,
    limits: &Limits,
    received: Instant,
) -> Result<Body, BodyError> {
    let declared = match framing {
        Framing::Length(length) => usize::try_from(length).unwrap_or(usize::MAX),
        Framing::Chunked | Framing::UntilClose => 0,
    };
    if declared > limits.max_body_bytes {
        return Err(BodyError::Http(Error::BodyTooLong));
    }
    let claim = request::claim(state, head);
    let millis = claim.map_or(limits.idle_timeout_millis, |claim| {
        claim.timeout_millis.min(limits.idle_timeout_millis)
    });
    let bounds = Bounds {
        max_bytes: limits.max_body_bytes,
        deadline: received.after_millis(millis),
        wait_deadline: received.after_millis(millis / WAIT_DIVISOR),
    };
    let route = claim.ok().and_then(|claim| claim.route);
    let mut reservation = Reservation::new(&state.request_quota, route);
    if declared > FREE_BYTES {
        claim.map_err(BodyError::Refused)?;
        if declared <= LARGE_BYTES {
            wait_for_arrival(state, caller, route, declared, bounds.deadline).await?;
        }
        reserve(caller, &mut reservation, declared, &bounds).await?;
    }
    let mut reserved = declared.max(FREE_BYTES);
    let mut decoder = Decoder::new(framing);
    let mut bytes = BytesMut::new();
    loop {
        let data = match read_part(state, caller, &mut decoder, bounds.deadline).await? {
            // A request body never ends with its connection.
            Part::End | Part::Closed => break,
            Part::Data(data) => data,
        };
        let length = bytes.len() + data.len();
        if length > bounds.max_bytes {
            return Err(BodyError::Http(Error::BodyTooLong));
        }
        if length > reserved {
            claim.map_err(BodyError::Refused)?;
            reserved = length.max((reserved * 2).min(bounds.max_bytes));
            reserve(caller, &mut reservation, reserved, &bounds).await?;
        }
        bytes.extend_from_slice(&data);
    }
    let is_free = bytes.len() <= FREE_BYTES;
    reservation.lower(if is_free { 0 } else { bytes.len() });
    // A buffer that has grown by doubling may be twice as long as what it holds.
    let bytes = match bytes.capacity() > bytes.len() + FREE_BYTES {
        true => Bytes::copy_from_slice(&bytes),
        false => bytes.freeze(),
    };
    Ok(Body {
        bytes: RefCell::new(bytes),
        reservation: RefCell::new(reservation),
    })
}

/// Waits until a body that is not large has arrived, if others occupy much memory; until then the
/// kernel holds it. A caller that stalls thus keeps no other one waiting.
async fn wait_for_arrival(
    state: &State,
    caller: &mut Caller,
    route: Option<RouteKey>,
    length: usize,
    deadline: Instant,
) -> Result<(), BodyError> {
    let missing = length.saturating_sub(caller.input().len());
    let (mut progress_at, mut last, mut interval_millis) = (clock::now(), 0, 1);
    while state.request_quota.is_tight(route) {
        let arrived = caller.arrived(missing).ok_or(BodyError::Http(Error::Cut))?;
        if arrived >= missing {
            break;
        }
        let now = clock::now();
        if arrived > last {
            (progress_at, last) = (now, arrived);
        }
        let stalled_millis = now.millis_since(progress_at);
        if stalled_millis >= STALL_MILLIS || deadline.has_passed(now) {
            record_stall(state, stalled_millis);
            return Err(BodyError::Stalled);
        }
        clock::pause(interval_millis).await;
        interval_millis = (interval_millis * 2).min(MAX_ARRIVAL_INTERVAL_MILLIS);
    }
    Ok(())
}

async fn reserve(
    caller: &Caller,
    reservation: &mut Reservation,
    bytes: usize,
    bounds: &Bounds,
) -> Result<(), BodyError> {
    if reservation.raise(bytes, clock::now()) {
        return Ok(());
    }
    let begun = clock::now();
    let own = reservation.bytes();
    let result = match reservation.may_wait() {
        true => wait_for_memory(caller, reservation, bytes, bounds.wait_deadline).await,
        false => Err(BodyError::NoMemory),
    };
    if log::allows_request_line() {
        tracing::info!(
            wanted = bytes,
            own,
            held = reservation.quota().held(),
            waited = clock::now().millis_since(begun),
            outcome = ?result,
            "request waited for the memory of other bodies"
        );
    }
    result
}

/// Waits until the reservation is raised, its deadline passes or the caller leaves.
async fn wait_for_memory(
    caller: &Caller,
    reservation: &mut Reservation,
    bytes: usize,
    deadline: Instant,
) -> Result<(), BodyError> {
    loop {
        if caller.has_left() {
            return Err(BodyError::Http(Error::Cut));
        }
        if reservation.raise(bytes, clock::now()) {
            return Ok(());
        }
        if deadline.has_passed(clock::now()) {
            return Err(BodyError::NoMemory);
        }
        clock::until(
            clock::now()
                .after_millis(RETRY_INTERVAL_MILLIS)
                .min(deadline),
        )
        .await;
    }
}

/// Reads the next part; a caller that stalls gets less time while memory is short.
async fn read_part(
    state: &State,
    caller: &mut Caller,
    decoder: &mut Decoder,
    deadline: Instant,
) -> Result<Part, BodyError> {
    let begun = clock::now();
    loop {
        let now = clock::now();
        let stalled_millis = now.millis_since(begun);
        let is_stalled = stalled_millis >= STALL_MILLIS
            || (stalled_millis >= SHORT_STALL_MILLIS && state.request_quota.is_short(now));
        if is_stalled || deadline.has_passed(now) {
            record_stall(state, stalled_millis);
            return Err(BodyError::Stalled);
        }
        let check_at = now.after_millis(SHORT_STALL_MILLIS).min(deadline);
        if let Some(part) = clock::before(check_at, caller.part(decoder)).await {
            return part.map_err(BodyError::Http);
        }
    }
}

fn record_stall(state: &State, stalled_millis: u64) {
    let labels = SlowLabels {
        direction: Direction::Request,
    };
    state.metrics.slow_callers.get_or_create(&labels).inc();
    if log::allows_request_line() {
        tracing::info!(
            stalled = stalled_millis,
            held = state.request_quota.held(),
            "connection closed: request body stalled"
        );
    }
}
