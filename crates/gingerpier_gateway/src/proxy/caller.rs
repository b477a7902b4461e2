//! Writing to callers, with a deadline for those that don't read.
//!
//! What is written stays in memory until the caller has taken it. Nothing more is read from the
//! engine meanwhile, so that a slow caller slows the engine down.

use {crate::clock, gingerpier_base::Instant, gingerpier_http1::connection::Connection};

/// Time for which a caller may take no byte of a response. An engine aborts a response that stays
/// unread for some seconds, so that a longer wait only occupies memory and the engine's slot.
pub const STALL_MILLIS: u64 = 5_000;

/// Timeout for a response that the gateway itself generates, which fits the kernel's buffers.
const OWN_RESPONSE_MILLIS: u64 = 1_000;

/// Why a response could not be written.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum WriteError {
    /// The caller closed its connection, or the connection broke.
    Disconnected,
    /// The caller took no byte for [`STALL_MILLIS`].
    Stalled,
    /// The deadline passed.
    TimedOut,
}

/// Writes all of `bytes` while the caller takes some of them in time.
///
/// # Errors
///
/// If the caller doesn't take them.
pub async fn write(
    caller: &mut Connection,
    bytes: &[u8],
    deadline: Instant,
) -> Result<(), WriteError> {
    let mut rest = bytes;
    while !rest.is_empty() {
        let stall_deadline = clock::now().after_millis(STALL_MILLIS);
        let until = stall_deadline.min(deadline);
        match clock::before(until, caller.write_some(rest)).await {
            Some(Ok(count)) if count > 0 => rest = &rest[count..],
            // The kernel has found no room at the caller for as long.
            Some(Err(error)) if error.kind() == std::io::ErrorKind::TimedOut => {
                return Err(WriteError::Stalled);
            }
            Some(_) => return Err(WriteError::Disconnected),
            None if stall_deadline <= deadline => return Err(WriteError::Stalled),
            None => return Err(WriteError::TimedOut),
        }
    }
    Ok(())
}

/// Writes a response that the gateway itself generates; false if the caller doesn't take it.
pub async fn write_own(caller: &mut Connection, bytes: &[u8]) -> bool {
    let deadline = clock::now().after_millis(OWN_RESPONSE_MILLIS);
    write(caller, bytes, deadline).await.is_ok()
}
