//! Connections of callers, with a deadline for those that don't read.
//!
//! What is written stays in memory until the caller has taken it. Nothing more is read from the
//! engine meanwhile, so that a slow caller slows the engine down.
//!
//! Only the connection knows what the caller has of a response. It therefore decides whether a
//! response may begin, and a connection with an incomplete one serves no further request.

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
    /// The bytes have no place on the connection: a response has begun, or none that could go on.
    Conflict,
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

    /// Forgets the last response; a new one may begin.
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

    /// True if the caller has closed its connection, whether or not all of its bytes were read.
    pub fn has_left(&self) -> bool {
        self.connection.has_ended()
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

    /// Writes the beginning of a response.
    ///
    /// # Errors
    ///
    /// If a response has begun already, or the caller doesn't take the bytes.
    pub async fn begin(&mut self, bytes: &[u8], deadline: Instant) -> Result<(), WriteError> {
        if self.sent != Sent::Nothing {
            tracing::error!(sent = ?self.sent, "response withheld, as another one has begun");
            return Err(WriteError::Conflict);
        }
        self.write_all(bytes, deadline).await
    }

    /// Writes a further part of the response that has begun.
    ///
    /// # Errors
    ///
    /// If no response has begun or it is complete, or the caller doesn't take the bytes.
    pub async fn proceed(&mut self, bytes: &[u8], deadline: Instant) -> Result<(), WriteError> {
        if self.sent != Sent::Part {
            tracing::error!(sent = ?self.sent, "part of a response withheld, as none has begun");
            return Err(WriteError::Conflict);
        }
        self.write_all(bytes, deadline).await
    }

    /// Writes all of `bytes` while the caller takes some of them in time.
    async fn write_all(&mut self, bytes: &[u8], deadline: Instant) -> Result<(), WriteError> {
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

    /// Records that the response that has begun was written to its end.
    pub fn complete(&mut self) {
        if self.sent == Sent::Part {
            self.sent = Sent::Complete;
        }
    }

    /// Writes a response that the gateway itself generates.
    ///
    /// # Errors
    ///
    /// If another response has begun, or the caller doesn't take this one.
    pub async fn respond(&mut self, bytes: &[u8]) -> Result<(), WriteError> {
        let deadline = clock::now().after_millis(OWN_RESPONSE_MILLIS);
        self.begin(bytes, deadline).await?;
        self.complete();
        Ok(())
    }

    /// Writes an interim response, after which the final one begins.
    ///
    /// # Errors
    ///
    /// If a response has begun, or the caller doesn't take this one; a final response then can't
    /// follow a part of it.
    pub async fn respond_interim(&mut self, bytes: &[u8]) -> Result<(), WriteError> {
        self.respond(bytes).await?;
        self.sent = Sent::Nothing;
        Ok(())
    }
}
