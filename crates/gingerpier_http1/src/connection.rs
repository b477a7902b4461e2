//! A connection that says nothing about its messages but where their bytes are.

use {
    crate::{
        body::{Decoder, Part},
        error::Error,
        head::Response,
    },
    bytes::{Bytes, BytesMut},
    socket2::{SockRef, TcpKeepalive},
    std::{
        future::{Future, poll_fn},
        io,
        mem::MaybeUninit,
        net::SocketAddr,
        pin::{Pin, pin},
        task::{Context, Poll, Waker, ready},
        time::Duration,
    },
    tokio::{
        io::{AsyncRead, AsyncReadExt, AsyncWriteExt, Interest, ReadBuf},
        net::TcpStream,
    },
};

/// Bytes asked of the kernel at once.
const READ_SIZE: usize = 4096;

/// Bytes of the kernel's buffers of a bulk transfer; the kernel doubles them.
const SMALL_BUFFER: usize = 8 * 1024;

/// Bytes written and not yet sent that the kernel keeps for a peer that may not read.
const UNSENT_BYTES: u32 = 16 * 1024;

/// Milliseconds after which bytes without acknowledgement end a connection.
const SILENCE_MILLIS: u64 = 2_000;

/// Longest head of a response, in bytes.
const MAX_RESPONSE_HEAD: usize = 32 * 1024;

/// Interim responses before the final one.
const MAX_INTERIM_RESPONSES: u32 = 16;

/// A stream with the bytes that were read and not yet taken.
#[derive(Debug)]
pub struct Connection {
    stream: TcpStream,
    /// Bytes read and not taken.
    pub input: BytesMut,
}

/// A response with its whole body.
#[derive(Debug, Clone)]
pub struct Whole {
    /// Head.
    pub head: Response,
    /// Body.
    pub body: Bytes,
}

impl Connection {
    /// Takes over an accepted stream.
    pub fn new(stream: TcpStream) -> Self {
        // A link that is cut says nothing: the kernel has to notice that no byte gets through.
        // Where an option can't be set the connection still serves.
        let socket = SockRef::from(&stream);
        let _ = socket.set_tcp_nodelay(true);
        let _ = socket.set_tcp_user_timeout(Some(Duration::from_millis(SILENCE_MILLIS)));
        let probes = TcpKeepalive::new()
            .with_time(Duration::from_secs(2))
            .with_interval(Duration::from_secs(1));
        let _ = socket.set_tcp_keepalive(&probes);
        Self {
            stream,
            input: BytesMut::new(),
        }
    }

    /// Connects.
    ///
    /// # Errors
    ///
    /// Where the peer refuses or can't be reached.
    pub async fn connect(address: SocketAddr) -> io::Result<Self> {
        TcpStream::connect(address).await.map(Self::new)
    }

    /// Keeps little in the kernel's buffers, so that a bulk transfer does not fill the link's
    /// queue ahead of everything else, and what is written tells what the link takes.
    pub fn use_small_buffers(&self) {
        let socket = SockRef::from(&self.stream);
        // Where an option can't be set the connection still serves.
        let _ = socket.set_send_buffer_size(SMALL_BUFFER);
        let _ = socket.set_recv_buffer_size(SMALL_BUFFER);
    }

    /// Limits what the kernel holds for a peer that may not read: bytes that are written and not
    /// yet sent, and `millis` without acknowledgement or room at the peer.
    pub fn limit_unsent(&self, millis: u64) {
        let socket = SockRef::from(&self.stream);
        // Where an option can't be set the connection still serves.
        let _ = socket.set_tcp_notsent_lowat(UNSENT_BYTES);
        let _ = socket.set_tcp_user_timeout(Some(Duration::from_millis(millis)));
    }

    /// Reads more bytes; false where the peer has ended its side.
    ///
    /// # Errors
    ///
    /// Where the connection broke.
    pub async fn read(&mut self) -> io::Result<bool> {
        let Self { stream, input } = self;
        if input.is_empty() {
            // Many connections wait at a time, and none of them needs a buffer meanwhile.
            *input = BytesMut::new();
        }
        let count = poll_fn(|context| {
            let mut bytes = [MaybeUninit::uninit(); READ_SIZE];
            let mut buffer = ReadBuf::uninit(&mut bytes);
            ready!(Pin::new(&mut *stream).poll_read(context, &mut buffer))?;
            input.extend_from_slice(buffer.filled());
            Poll::Ready(Ok::<_, io::Error>(buffer.filled().len()))
        });
        Ok(count.await? > 0)
    }

    /// Number of bytes, `limit` at most, that the kernel holds and that were not read; `None` where
    /// the peer has ended its side or the connection broke.
    pub fn arrived(&self, limit: usize) -> Option<usize> {
        let mut bytes = Vec::with_capacity(limit);
        match SockRef::from(&self.stream).peek(bytes.spare_capacity_mut()) {
            Ok(0) => None,
            Ok(count) => Some(count),
            Err(error) if error.kind() == io::ErrorKind::WouldBlock => Some(0),
            Err(_) => None,
        }
    }

    /// True where the peer has ended its side or the connection broke, also while bytes are unread.
    pub fn has_ended(&self) -> bool {
        let ready = pin!(self.stream.ready(Interest::READABLE));
        match ready.poll(&mut Context::from_waker(Waker::noop())) {
            Poll::Ready(Ok(ready)) => ready.is_read_closed(),
            Poll::Ready(Err(_)) => true,
            Poll::Pending => false,
        }
    }

    /// Writes all of `bytes`.
    ///
    /// # Errors
    ///
    /// Where the connection broke.
    pub async fn write(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.stream.write_all(bytes).await
    }

    /// Writes as many of `bytes` as the kernel takes at once and returns their number.
    ///
    /// # Errors
    ///
    /// Where the connection broke.
    pub async fn write_some(&mut self, bytes: &[u8]) -> io::Result<usize> {
        self.stream.write(bytes).await
    }

    /// Writes `bytes` while it reads what comes meanwhile; true once all are written, false where
    /// a whole response head came first, or more bytes than it may have.
    ///
    /// # Errors
    ///
    /// Where the connection broke.
    pub async fn write_while_reading(&mut self, bytes: &[u8]) -> io::Result<bool> {
        let Self { stream, input } = self;
        let (mut reader, mut writer) = stream.split();
        let mut written = 0;
        while written < bytes.len() {
            input.reserve(READ_SIZE);
            tokio::select! {
                biased;
                count = writer.write(&bytes[written..]) => written += count?,
                count = reader.read_buf(input) => {
                    let count = count?;
                    // The end of a head may lie across two reads.
                    let unseen = &input[(input.len() - count).saturating_sub(3)..];
                    let has_head = unseen.windows(4).any(|end| end == b"\r\n\r\n");
                    if count == 0 || has_head || input.len() > MAX_RESPONSE_HEAD {
                        return Ok(false);
                    }
                }
            }
        }
        Ok(true)
    }

    /// Ends the writing side.
    pub async fn shutdown(&mut self) {
        let _ = self.stream.shutdown().await;
    }

    /// True where nothing has come and the peer has not ended: fit for one more request.
    pub fn is_idle(&self) -> bool {
        let mut probe = [0; 1];
        let quiet = matches!(
            self.stream.try_read(&mut probe),
            Err(error) if error.kind() == io::ErrorKind::WouldBlock
        );
        quiet && self.input.is_empty()
    }

    /// Reads the head of a response; a few interim responses are skipped.
    ///
    /// # Errors
    ///
    /// Where the connection ended or something else came.
    pub async fn response(&mut self) -> Result<Response, Error> {
        let mut interim_count = 0;
        loop {
            while let Some(response) = Response::parse_any(&mut self.input, MAX_RESPONSE_HEAD)? {
                if !response.is_interim() {
                    return Ok(response);
                }
                interim_count += 1;
                if interim_count > MAX_INTERIM_RESPONSES {
                    return Err(Error::HeadTooLong);
                }
            }
            if !self.read().await.map_err(|_| Error::Cut)? {
                return Err(Error::Cut);
            }
        }
    }

    /// Reads the next part of a body.
    ///
    /// # Errors
    ///
    /// Where the body was cut or malformed.
    pub async fn part(&mut self, decoder: &mut Decoder) -> Result<Part, Error> {
        loop {
            if let Some(part) = decoder.decode(&mut self.input)? {
                return Ok(part);
            }
            if !self.read().await.map_err(|_| Error::Cut)? {
                return decoder.close();
            }
        }
    }

    /// Reads a body of at most `limit` bytes. One that ends with its connection may be incomplete.
    ///
    /// # Errors
    ///
    /// Where it was cut, malformed or too long.
    pub async fn body(&mut self, mut decoder: Decoder, limit: usize) -> Result<Bytes, Error> {
        let mut first: Option<Bytes> = None;
        let mut rest = BytesMut::new();
        loop {
            match self.part(&mut decoder).await? {
                Part::End | Part::Closed => break,
                Part::Data(data) if first.is_none() => first = Some(data),
                Part::Data(data) => {
                    if rest.is_empty() {
                        rest.extend_from_slice(first.as_deref().unwrap_or_default());
                    }
                    rest.extend_from_slice(&data);
                }
            }
            if rest.len() > limit {
                return Err(Error::BodyTooLong);
            }
        }
        if rest.is_empty() {
            return Ok(first.unwrap_or_default());
        }
        Ok(rest.freeze())
    }
}
