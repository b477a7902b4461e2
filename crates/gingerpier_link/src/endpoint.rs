//! A process's UDP socket, and its links to others.

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

/// Milliseconds of silence after which a link is taken to be down.
pub const IDLE_MILLIS: u32 = 4_000;
/// Milliseconds after which an idle link is asked whether it is still there.
const KEEP_ALIVE_MILLIS: u64 = 1_300;
/// Requests that one peer may have open on one link.
const MAX_STREAMS: u32 = 4_096;
/// Bytes in flight on one link.
const LINK_WINDOW: u32 = 16 << 20;
/// Bytes in flight on one stream.
const STREAM_WINDOW: u32 = 8 << 20;

/// A bound socket.
#[derive(Clone)]
pub struct Endpoint {
    inner: quinn::Endpoint,
}

/// A peer that wants to connect, and has not yet shown who it is.
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
        .receive_window(VarInt::from_u32(LINK_WINDOW))
        .stream_receive_window(VarInt::from_u32(STREAM_WINDOW))
        .send_window(u64::from(LINK_WINDOW));
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
    /// Binds `address`; port 0 takes a free one.
    ///
    /// # Errors
    ///
    /// Where the address is taken, or the keys do not fit.
    pub fn bind(address: SocketAddr, credentials: &Credentials) -> Result<Self, Error> {
        let server = server_config(credentials)?;
        let mut inner = quinn::Endpoint::server(server, address)
            .map_err(|what| Error::new(Step::Bind, address, what))?;
        inner.set_default_client_config(client_config(credentials)?);
        Ok(Self { inner })
    }

    /// Address bound.
    ///
    /// # Errors
    ///
    /// Where the socket is gone.
    pub fn address(&self) -> Result<SocketAddr, Error> {
        self.inner
            .local_addr()
            .map_err(|what| Error::new(Step::Bind, "own socket", what))
    }

    /// Uses new keys for links made from now on.
    ///
    /// # Errors
    ///
    /// Where the keys do not fit; the old ones stay in use.
    pub fn renew(&mut self, credentials: &Credentials) -> Result<(), Error> {
        let server = server_config(credentials)?;
        let client = client_config(credentials)?;
        self.inner.set_server_config(Some(server));
        self.inner.set_default_client_config(client);
        Ok(())
    }

    /// Connects to `peer`, which must show a certificate for that role and box.
    ///
    /// # Errors
    ///
    /// Where it can't be reached, or is somebody else.
    pub async fn connect(&self, address: SocketAddr, peer: &Identity) -> Result<Link, Error> {
        let wrong = |what: String| Error::new(Step::Connect, format!("{peer} at {address}"), what);
        let connecting = self.inner.connect(address, &peer.server_name());
        let connecting = connecting.map_err(|what| wrong(what.to_string()))?;
        let inner = connecting.await.map_err(|what| wrong(what.to_string()))?;
        Ok(Link {
            inner,
            peer: peer.clone(),
        })
    }

    /// Next peer that wants to connect; none once the endpoint is closed.
    ///
    /// Its handshake is for a task of its own: a peer that falls silent within it must not hold up
    /// the others.
    pub async fn accept(&self) -> Option<Incoming> {
        let inner = self.inner.accept().await?;
        Some(Incoming { inner })
    }

    /// Closes all links, and waits until the peers were told.
    pub async fn close(&self) {
        self.inner.close(VarInt::from_u32(0), b"stopped");
        self.inner.wait_idle().await;
    }
}

impl Incoming {
    /// Carries out the handshake; the peer must show a certificate of the deployment.
    ///
    /// # Errors
    ///
    /// Where it shows none, or falls silent.
    pub async fn authenticate(self) -> Result<Link, Error> {
        let address = self.inner.remote_address();
        let wrong = |what: String| Error::new(Step::Authenticate, address, what);
        let accepted = self.inner.accept();
        let connecting = accepted.map_err(|what| wrong(what.to_string()))?;
        let inner = connecting.await.map_err(|what| wrong(what.to_string()))?;
        let shown = inner
            .peer_identity()
            .and_then(|any| any.downcast::<Vec<CertificateDer<'_>>>().ok());
        let shown = shown.and_then(|chain| chain.first().cloned());
        let certificate = shown.ok_or_else(|| wrong("no certificate was shown".to_owned()))?;
        let peer = Identity::from_certificate(&certificate)?;
        Ok(Link { inner, peer })
    }
}

impl Link {
    /// Who is at the other end, by its certificate.
    pub const fn peer(&self) -> &Identity {
        &self.peer
    }

    /// Opens a stream for one request.
    ///
    /// # Errors
    ///
    /// Where the link is down.
    pub async fn open(&self) -> Result<Stream, Error> {
        let opened = self.inner.open_bi().await;
        let (send, receive) = opened.map_err(|what| Error::new(Step::Open, &self.peer, what))?;
        Ok(Stream::new(send, receive, self.peer.clone()))
    }

    /// Next stream that the peer opens.
    ///
    /// # Errors
    ///
    /// Where the link is down.
    pub async fn accept(&self) -> Result<Stream, Error> {
        let accepted = self.inner.accept_bi().await;
        let (send, receive) = accepted.map_err(|what| Error::new(Step::Open, &self.peer, what))?;
        Ok(Stream::new(send, receive, self.peer.clone()))
    }

    /// Number of the link, unique in its process.
    pub fn id(&self) -> usize {
        self.inner.stable_id()
    }

    /// True once the link is down.
    pub fn is_closed(&self) -> bool {
        self.inner.close_reason().is_some()
    }

    /// Waits until the link is down.
    pub async fn closed(&self) {
        self.inner.closed().await;
    }

    /// Takes the link down.
    pub fn close(&self) {
        self.inner.close(VarInt::from_u32(0), b"closed");
    }

    /// What its way is like now.
    pub fn path(&self) -> Path {
        let path = self.inner.stats().path;
        Path {
            rtt: path.rtt,
            lost_packets: path.lost_packets,
        }
    }

    /// Bytes sent and received, with all that the transport adds.
    pub fn traffic(&self) -> Traffic {
        let stats = self.inner.stats();
        Traffic {
            sent: stats.udp_tx.bytes,
            received: stats.udp_rx.bytes,
        }
    }
}

/// What a link's way is like.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct Path {
    /// Time there and back.
    pub rtt: Duration,
    /// Packets lost since the link was made.
    pub lost_packets: u64,
}

/// Bytes of one link.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct Traffic {
    /// Bytes sent.
    pub sent: u64,
    /// Bytes received.
    pub received: u64,
}

impl Traffic {
    /// Sum of both.
    #[must_use]
    pub const fn plus(self, other: Self) -> Self {
        Self {
            sent: self.sent + other.sent,
            received: self.received + other.received,
        }
    }
}
