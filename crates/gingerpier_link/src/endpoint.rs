//! QUIC endpoint of a process, and its links to other processes.

use {
    crate::{
        credentials::Credentials,
        error::{Error, Step},
        identity::Identity,
        stream::Stream,
    },
    quinn::{IdleTimeout, TransportConfig, VarInt},
    rustls_pki_types::CertificateDer,
    std::{net::SocketAddr, sync::Arc, time::Duration},
};

/// Time without received packets after which a link is closed.
pub const IDLE_MILLIS: u32 = 4_000;
/// Interval of keep-alive packets on an idle link.
const KEEP_ALIVE_MILLIS: u64 = 1_300;
/// Maximum number of concurrent streams that a peer may open on a link.
const MAX_STREAMS: u32 = 4_096;
/// Flow control window of a link, in bytes.
const LINK_WINDOW_BYTES: u32 = 16 << 20;
/// Flow control window of a stream, in bytes.
const STREAM_WINDOW_BYTES: u32 = 8 << 20;

/// Bound UDP socket that opens and accepts links.
#[derive(Clone)]
pub struct Endpoint {
    inner: quinn::Endpoint,
}

/// Connection attempt of a peer that is not yet authenticated.
pub struct Incoming {
    inner: quinn::Incoming,
}

/// A connection to an authenticated peer.
#[derive(Clone)]
pub struct Link {
    inner: quinn::Connection,
    peer: Identity,
}

fn transport() -> Arc<TransportConfig> {
    let mut transport = TransportConfig::default();
    transport
        .max_idle_timeout(Some(IdleTimeout::from(VarInt::from_u32(IDLE_MILLIS))))
        .keep_alive_interval(Some(Duration::from_millis(KEEP_ALIVE_MILLIS)))
        .max_concurrent_bidi_streams(VarInt::from_u32(MAX_STREAMS))
        .max_concurrent_uni_streams(VarInt::from_u32(0))
        .receive_window(VarInt::from_u32(LINK_WINDOW_BYTES))
        .stream_receive_window(VarInt::from_u32(STREAM_WINDOW_BYTES))
        .send_window(u64::from(LINK_WINDOW_BYTES));
    Arc::new(transport)
}

fn server_config(credentials: &Credentials) -> Result<quinn::ServerConfig, Error> {
    let mut config = credentials.quic_server()?;
    config.transport_config(transport());
    Ok(config)
}

fn client_config(credentials: &Credentials) -> Result<quinn::ClientConfig, Error> {
    let mut config = credentials.quic_client()?;
    config.transport_config(transport());
    Ok(config)
}

impl Endpoint {
    /// Binds `address`; port 0 selects a free port.
    ///
    /// # Errors
    ///
    /// Returns an error if the address is in use or the keys are invalid.
    pub fn bind(address: SocketAddr, credentials: &Credentials) -> Result<Self, Error> {
        let server = server_config(credentials)?;
        let mut inner = quinn::Endpoint::server(server, address)
            .map_err(|cause| Error::new(Step::Bind, address, cause))?;
        inner.set_default_client_config(client_config(credentials)?);
        Ok(Self { inner })
    }

    /// Bound address.
    ///
    /// # Errors
    ///
    /// Returns an error if the socket is closed.
    pub fn address(&self) -> Result<SocketAddr, Error> {
        self.inner
            .local_addr()
            .map_err(|cause| Error::new(Step::Bind, "own socket", cause))
    }

    /// Uses new keys for future links.
    ///
    /// # Errors
    ///
    /// Returns an error if the keys are invalid; the old ones remain in use.
    pub fn renew(&mut self, credentials: &Credentials) -> Result<(), Error> {
        let server = server_config(credentials)?;
        let client = client_config(credentials)?;
        self.inner.set_server_config(Some(server));
        self.inner.set_default_client_config(client);
        Ok(())
    }

    /// Connects to `peer`, which must present a certificate for this role and box.
    ///
    /// # Errors
    ///
    /// Returns an error if the peer is unreachable or has another identity.
    pub async fn connect(&self, address: SocketAddr, peer: &Identity) -> Result<Link, Error> {
        let to_error =
            |cause: String| Error::new(Step::Connect, format!("{peer} at {address}"), cause);
        let connecting = self.inner.connect(address, &peer.server_name());
        let connecting = connecting.map_err(|cause| to_error(cause.to_string()))?;
        let inner = connecting
            .await
            .map_err(|cause| to_error(cause.to_string()))?;
        Ok(Link {
            inner,
            peer: peer.clone(),
        })
    }

    /// Next connection attempt of a peer; none once the endpoint is closed.
    ///
    /// Authenticate it in a separate task, so that a stalled handshake does not block other peers.
    pub async fn accept(&self) -> Option<Incoming> {
        let inner = self.inner.accept().await?;
        Some(Incoming { inner })
    }

    /// Closes all links and waits until the peers are notified.
    pub async fn close(&self) {
        self.inner.close(VarInt::from_u32(0), b"stopped");
        self.inner.wait_idle().await;
    }
}

impl Incoming {
    /// Completes the handshake; the peer must present a certificate of the deployment.
    ///
    /// # Errors
    ///
    /// Returns an error if the handshake fails or times out.
    pub async fn authenticate(self) -> Result<Link, Error> {
        let address = self.inner.remote_address();
        let to_error = |cause: String| Error::new(Step::Authenticate, address, cause);
        let accepted = self.inner.accept();
        let connecting = accepted.map_err(|cause| to_error(cause.to_string()))?;
        let inner = connecting
            .await
            .map_err(|cause| to_error(cause.to_string()))?;
        let certificates = inner
            .peer_identity()
            .and_then(|any| any.downcast::<Vec<CertificateDer<'_>>>().ok());
        let certificates = certificates.and_then(|chain| chain.first().cloned());
        let certificate =
            certificates.ok_or_else(|| to_error("no certificate was shown".to_owned()))?;
        let peer = Identity::from_certificate(&certificate)?;
        Ok(Link { inner, peer })
    }
}

impl Link {
    /// Identity in the peer's certificate.
    pub const fn peer(&self) -> &Identity {
        &self.peer
    }

    /// Opens a stream for one request.
    ///
    /// # Errors
    ///
    /// Returns an error if the link is closed.
    pub async fn open(&self) -> Result<Stream, Error> {
        let opened = self.inner.open_bi().await;
        let (send, receive) = opened.map_err(|cause| Error::new(Step::Open, &self.peer, cause))?;
        Ok(Stream::new(send, receive, self.peer.clone()))
    }

    /// Accepts the next stream that the peer opens.
    ///
    /// # Errors
    ///
    /// Returns an error if the link is closed.
    pub async fn accept(&self) -> Result<Stream, Error> {
        let accepted = self.inner.accept_bi().await;
        let (send, receive) =
            accepted.map_err(|cause| Error::new(Step::Open, &self.peer, cause))?;
        Ok(Stream::new(send, receive, self.peer.clone()))
    }

    /// Identifier of the link, unique in the process.
    pub fn id(&self) -> usize {
        self.inner.stable_id()
    }

    /// True once the link is closed.
    pub fn is_closed(&self) -> bool {
        self.inner.close_reason().is_some()
    }

    /// Waits until the link is closed.
    pub async fn closed(&self) {
        self.inner.closed().await;
    }

    /// Closes the link.
    pub fn close(&self) {
        self.inner.close(VarInt::from_u32(0), b"closed");
    }

    /// Current statistics of the network path.
    pub fn path(&self) -> Path {
        let path = self.inner.stats().path;
        Path {
            rtt: path.rtt,
            lost_packets: path.lost_packets,
        }
    }

    /// Bytes sent and received, including transport overhead.
    pub fn traffic(&self) -> Traffic {
        let stats = self.inner.stats();
        Traffic {
            sent: stats.udp_tx.bytes,
            received: stats.udp_rx.bytes,
        }
    }
}

/// Statistics of a link's network path.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct Path {
    /// Round-trip time.
    pub rtt: Duration,
    /// Packets lost since the link was opened.
    pub lost_packets: u64,
}

/// Traffic of a link, in bytes.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct Traffic {
    /// Bytes sent.
    pub sent: u64,
    /// Bytes received.
    pub received: u64,
}

impl Traffic {
    /// Sum of two traffic counts.
    #[must_use]
    pub const fn plus(self, other: Self) -> Self {
        Self {
            sent: self.sent + other.sent,
            received: self.received + other.received,
        }
    }
}
