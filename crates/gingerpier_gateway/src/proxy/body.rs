//! Bodies of requests, which are held until the request ends, as another engine may need them.

use {
    super::caller::Caller,
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
    gingerpier_serving::configuration::RouteKey,
};

/// Bytes of a body that a connection may hold without a reservation. Most prompts fit.
const FREE_BYTES: usize = 8 * 1024;

/// Time for which a caller may send no byte of its body.
const STALL_MILLIS: u64 = 5_000;

/// The same while reservations of other bodies are refused.
const SHORT_STALL_MILLIS: u64 = 1_000;

/// Longest interval between checks whether a body has arrived; each check copies what has.
const MAX_ARRIVAL_INTERVAL_MILLIS: u64 = 256;

/// Interval at which a refused reservation is tried again.
const RETRY_INTERVAL_MILLIS: u64 = 20;

/// A request body.
pub struct Body {
    /// The bytes.
    pub bytes: Bytes,
    _reservation: Reservation,
}

/// Why a body is not available.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum BodyError {
    /// The body is invalid, too long or incomplete.
    Http(Error),
    /// The caller sends it too slowly.
    Stalled,
    /// Other bodies occupied the memory until the deadline; no engine has seen the request.
    NoMemory,
}

/// Reads the body of a request; `max_bytes` is the configured limit.
///
/// # Errors
///
/// If the body is invalid, or not complete in time.
pub async fn read(
    state: &State,
    caller: &mut Caller,
    head: &Request,
    framing: Framing,
    max_bytes: usize,
    deadline: Instant,
) -> Result<Body, BodyError> {
    let declared = match framing {
        Framing::Length(length) => usize::try_from(length).unwrap_or(usize::MAX),
        Framing::Chunked | Framing::UntilClose => 0,
    };
    if declared > max_bytes {
        return Err(BodyError::Http(Error::BodyTooLong));
    }
    let route = route_of(state, head);
    let mut reservation = Reservation::new(&state.request_quota, route);
    if declared > FREE_BYTES {
        if declared <= LARGE_BYTES {
            wait_for_arrival(state, caller, route, declared, deadline).await?;
        }
        reserve(&mut reservation, declared, deadline).await?;
    }
    let mut reserved = declared.max(FREE_BYTES);
    let mut decoder = Decoder::new(framing);
    let mut bytes = BytesMut::new();
    loop {
        let data = match read_part(state, caller, &mut decoder, deadline).await? {
            // A request body never ends with its connection.
            Part::End | Part::Closed => break,
            Part::Data(data) => data,
        };
        let length = bytes.len() + data.len();
        if length > max_bytes {
            return Err(BodyError::Http(Error::BodyTooLong));
        }
        if length > reserved {
            // The length of a chunked body is not known in advance, so that it may be large.
            reserved = length.max(reserved * 2).max(LARGE_BYTES + 1);
            reserve(&mut reservation, reserved, deadline).await?;
        }
        bytes.extend_from_slice(&data);
    }
    Ok(Body {
        bytes: bytes.freeze(),
        _reservation: reservation,
    })
}

fn route_of(state: &State, head: &Request) -> Option<RouteKey> {
    let target = std::str::from_utf8(head.target()).ok()?;
    let path = target.split('?').next().unwrap_or_default();
    state.configuration()?.find(head.fields.text("host")?, path)
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
    reservation: &mut Reservation,
    bytes: usize,
    deadline: Instant,
) -> Result<(), BodyError> {
    let begun = clock::now();
    let result = wait_for_memory(reservation, bytes, deadline).await;
    let waited_millis = clock::now().millis_since(begun);
    if (waited_millis > 0 || result.is_err()) && log::allows_request_line() {
        tracing::info!(
            wanted = bytes,
            own = reservation.bytes(),
            held = reservation.quota().held(),
            waited = waited_millis,
            outcome = ?result,
            "request waited for the memory of other bodies"
        );
    }
    result
}

async fn wait_for_memory(
    reservation: &mut Reservation,
    bytes: usize,
    deadline: Instant,
) -> Result<(), BodyError> {
    while !reservation.raise(bytes, clock::now()) {
        if deadline.has_passed(clock::now()) {
            return Err(BodyError::NoMemory);
        }
        clock::pause(RETRY_INTERVAL_MILLIS).await;
    }
    Ok(())
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
