//! Connections of callers, with a deadline for those that don't read.
//!
//! What is written stays in memory until the caller has taken it. Nothing more is read from the
//! engine meanwhile, so that a slow caller slows the engine down.

use {
    crate::clock,
    bytes::BytesMut,
    gingerpier_base::Instant,
    gingerpier_http1::{
        body::{Decoder, Part},
        connection::Connection,
        error::Error,
    },
    std::io,
};

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

/// What of the response to the current request was written.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Sent {
    /// Nothing.
    Nothing,
    /// A part.
    Part,
    /// All of it.
    Complete,
}

/// Connection of a caller.
pub struct Caller {
    connection: Connection,
    sent: Sent,
}

impl Caller {
    /// Takes over an accepted connection.
    pub fn new(connection: Connection) -> Self {
        connection.limit_unsent(STALL_MILLIS);
        Self {
            connection,
            sent: Sent::Nothing,
        }
    }

    /// Starts with the next request.
    pub const fn begin_request(&mut self) {
        self.sent = Sent::Nothing;
    }

    /// What of the response to the current request was written.
    pub const fn sent(&self) -> Sent {
        self.sent
    }

    /// Bytes that were read and not taken.
    pub const fn input(&mut self) -> &mut BytesMut {
        &mut self.connection.input
    }

    /// Number of bytes, `limit` at most, that the kernel holds; `None` if the caller disconnected.
    pub fn arrived(&self, limit: usize) -> Option<usize> {
        self.connection.arrived(limit)
    }

    /// Reads more bytes; false if the caller closed its connection.
    ///
    /// # Errors
    ///
    /// If the connection broke.
    pub async fn read(&mut self) -> io::Result<bool> {
        self.connection.read().await
    }

    /// Reads the next part of a request body.
    ///
    /// # Errors
    ///
    /// If the body is cut or malformed.
    pub async fn part(&mut self, decoder: &mut Decoder) -> Result<Part, Error> {
        self.connection.part(decoder).await
    }

    /// Closes the writing side.
    pub async fn shutdown(&mut self) {
        self.connection.shutdown().await;
    }

    /// Writes all of `bytes` while the caller takes some of them in time.
    ///
    /// # Errors
    ///
    /// If the caller doesn't take them.
    pub async fn write(&mut self, bytes: &[u8], deadline: Instant) -> Result<(), WriteError> {
        let mut rest = bytes;
        while !rest.is_empty() {
            let stall_deadline = clock::now().after_millis(STALL_MILLIS);
            let until = stall_deadline.min(deadline);
            match clock::before(until, self.connection.write_some(rest)).await {
                Some(Ok(count)) if count > 0 => {
                    self.sent = Sent::Part;
                    rest = &rest[count..];
                }
                // The kernel has found no room at the caller for as long.
                Some(Err(error)) if error.kind() == io::ErrorKind::TimedOut => {
                    return Err(WriteError::Stalled);
                }
                Some(_) => return Err(WriteError::Disconnected),
                None if stall_deadline <= deadline => return Err(WriteError::Stalled),
                None => return Err(WriteError::TimedOut),
            }
        }
        Ok(())
    }

    /// Records that the response was written to its end.
    pub const fn complete(&mut self) {
        self.sent = Sent::Complete;
    }

    /// Writes a response that the gateway itself generates; false if the caller doesn't take it.
    pub async fn write_own(&mut self, bytes: &[u8]) -> bool {
        let deadline = clock::now().after_millis(OWN_RESPONSE_MILLIS);
        let is_written = self.write(bytes, deadline).await.is_ok();
        if is_written {
            self.complete();
        }
        is_written
    }
}
