//! One request and its answer on a link.

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

/// Bytes read from a stream at once.
const READ_BYTES: usize = 256 << 10;

/// Both directions of a stream.
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

    /// Who is at the other end.
    pub const fn peer(&self) -> &Identity {
        &self.peer
    }

    fn error(&self, step: Step, what: impl ToString) -> Error {
        Error::new(step, &self.peer, what)
    }

    /// Sends a frame.
    ///
    /// # Errors
    ///
    /// Where the frame is too long, or the peer reads no more.
    pub async fn send<T: Encode<()>>(&mut self, frame: &T) -> Result<(), Error> {
        let bytes = codec::encode(frame).map_err(|what| self.error(Step::Send, what))?;
        self.send_bytes(&bytes).await
    }

    /// Sends bytes as they are.
    ///
    /// # Errors
    ///
    /// Where the peer reads no more.
    pub async fn send_bytes(&mut self, bytes: &[u8]) -> Result<(), Error> {
        let sent = self.send.write_all(bytes).await;
        sent.map_err(|what| self.error(Step::Send, what))
    }

    /// Sends bytes that are held already, without copying them.
    ///
    /// # Errors
    ///
    /// Where the peer reads no more.
    pub async fn send_held(&mut self, bytes: Bytes) -> Result<(), Error> {
        let sent = self.send.write_chunk(bytes).await;
        sent.map_err(|what| self.error(Step::Send, what))
    }

    /// Notes that nothing more is sent.
    pub fn finish(&mut self) {
        // The stream may have been closed by the peer already, which is as good.
        let _ = self.send.finish();
    }

    /// Waits until the peer stops reading, or has read all of a finished stream.
    pub async fn peer_stopped(&mut self) {
        let _ = self.send.stopped().await;
    }

    /// Gives the stream up in both directions.
    pub fn reset(&mut self) {
        let _ = self.send.reset(VarInt::from_u32(1));
        let _ = self.receive.stop(VarInt::from_u32(1));
    }

    /// Receives a frame.
    ///
    /// # Errors
    ///
    /// Where the stream ends, or holds something else.
    pub async fn receive<T>(&mut self) -> Result<T, Error>
    where
        T: for<'b> Decode<'b, ()>,
    {
        let mut header = [0; codec::LENGTH_BYTES];
        self.fill(&mut header).await?;
        let length = codec::length(header).map_err(|what| self.error(Step::Decode, what))?;
        let mut bytes = vec![0; length];
        self.fill(&mut bytes).await?;
        codec::decode(&bytes).map_err(|what| self.error(Step::Decode, what))
    }

    /// Receives exactly `length` bytes.
    ///
    /// # Errors
    ///
    /// Where the stream ends before.
    pub async fn receive_exact(&mut self, length: usize) -> Result<Vec<u8>, Error> {
        let mut bytes = vec![0; length];
        self.fill(&mut bytes).await?;
        Ok(bytes)
    }

    /// Receives some bytes, `most` at most, as soon as there are any.
    ///
    /// # Errors
    ///
    /// Where the stream ends.
    pub async fn receive_some(&mut self, most: usize) -> Result<Bytes, Error> {
        let read = self.receive.read_chunk(most.min(READ_BYTES), true).await;
        let chunk = read.map_err(|what| self.error(Step::Receive, what))?;
        let chunk = chunk.ok_or_else(|| self.error(Step::Receive, "the stream ended early"))?;
        Ok(chunk.bytes)
    }

    async fn fill(&mut self, bytes: &mut [u8]) -> Result<(), Error> {
        let read = self.receive.read_exact(bytes).await;
        read.map_err(|what| self.error(Step::Receive, what))
    }
}
