//! Stream of a link, which carries one request and its response.

use {
    crate::{
        error::{Error, Step},
        identity::Identity,
    },
    bytes::Bytes,
    gingerpier_wire::codec,
    minicbor::{Decode, Encode},
    quinn::VarInt,
};

/// Maximum size of one read.
const MAX_READ_BYTES: usize = 256 << 10;

/// Bidirectional stream.
pub struct Stream {
    send: quinn::SendStream,
    receive: quinn::RecvStream,
    peer: Identity,
}

impl Stream {
    pub(crate) const fn new(
        send: quinn::SendStream,
        receive: quinn::RecvStream,
        peer: Identity,
    ) -> Self {
        Self {
            send,
            receive,
            peer,
        }
    }

    /// Identity of the peer.
    pub const fn peer(&self) -> &Identity {
        &self.peer
    }

    fn error(&self, step: Step, cause: impl ToString) -> Error {
        Error::new(step, &self.peer, cause)
    }

    /// Sends a frame.
    ///
    /// # Errors
    ///
    /// Returns an error if the frame is too long or the stream is closed.
    pub async fn send<T: Encode<()>>(&mut self, frame: &T) -> Result<(), Error> {
        let bytes = codec::encode(frame).map_err(|cause| self.error(Step::Send, cause))?;
        self.send_bytes(&bytes).await
    }

    /// Sends bytes without framing.
    ///
    /// # Errors
    ///
    /// Returns an error if the stream is closed.
    pub async fn send_bytes(&mut self, bytes: &[u8]) -> Result<(), Error> {
        let result = self.send.write_all(bytes).await;
        result.map_err(|cause| self.error(Step::Send, cause))
    }

    /// Sends a shared buffer without copying it.
    ///
    /// # Errors
    ///
    /// Returns an error if the stream is closed.
    pub async fn send_shared(&mut self, bytes: Bytes) -> Result<(), Error> {
        let result = self.send.write_chunk(bytes).await;
        result.map_err(|cause| self.error(Step::Send, cause))
    }

    /// Ends the sending direction.
    pub fn finish(&mut self) {
        // An error means that the peer has already closed the stream.
        let _ = self.send.finish();
    }

    /// Waits until the peer stops reading or has received a finished stream.
    pub async fn wait_until_stopped(&mut self) {
        let _ = self.send.stopped().await;
    }

    /// Aborts both directions.
    pub fn reset(&mut self) {
        let _ = self.send.reset(VarInt::from_u32(1));
        let _ = self.receive.stop(VarInt::from_u32(1));
    }

    /// Receives a frame.
    ///
    /// # Errors
    ///
    /// Returns an error if the stream ends or the frame is invalid.
    pub async fn receive<T>(&mut self) -> Result<T, Error>
    where
        T: for<'b> Decode<'b, ()>,
    {
        let mut header = [0; codec::LENGTH_BYTES];
        self.read_into(&mut header).await?;
        let length = codec::length(header).map_err(|cause| self.error(Step::Decode, cause))?;
        let mut bytes = vec![0; length];
        self.read_into(&mut bytes).await?;
        codec::decode(&bytes).map_err(|cause| self.error(Step::Decode, cause))
    }

    /// Receives exactly `length` bytes.
    ///
    /// # Errors
    ///
    /// Returns an error if the stream ends early.
    pub async fn receive_exact(&mut self, length: usize) -> Result<Vec<u8>, Error> {
        let mut bytes = vec![0; length];
        self.read_into(&mut bytes).await?;
        Ok(bytes)
    }

    /// Receives up to `max_bytes` bytes as soon as some are available.
    ///
    /// # Errors
    ///
    /// Returns an error if the stream ends.
    pub async fn receive_some(&mut self, max_bytes: usize) -> Result<Bytes, Error> {
        let read = self
            .receive
            .read_chunk(max_bytes.min(MAX_READ_BYTES), true)
            .await;
        let chunk = read.map_err(|cause| self.error(Step::Receive, cause))?;
        let chunk = chunk.ok_or_else(|| self.error(Step::Receive, "the stream ended early"))?;
        Ok(chunk.bytes)
    }

    async fn read_into(&mut self, bytes: &mut [u8]) -> Result<(), Error> {
        let read = self.receive.read_exact(bytes).await;
        read.map_err(|cause| self.error(Step::Receive, cause))
    }
}
