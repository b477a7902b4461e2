//! Listening, with or without TLS.

use {
    crate::answer::Answer,
    actix_http::{HttpService, KeepAlive, Request},
    actix_rt::net::{TcpListener, TcpStream},
    actix_service::{Service, ServiceExt, ServiceFactory, boxed, fn_service},
    actix_tls::accept::rustls_0_23::TlsStream,
    std::{
        cell::RefCell, convert::Infallible, fmt::Debug, io, net::SocketAddr, rc::Rc, time::Duration,
    },
};

/// Time for which an idle connection is kept.
const KEEP_ALIVE: Duration = Duration::from_secs(30);
/// Time for a request's head to come.
const HEAD_PATIENCE: Duration = Duration::from_secs(5);
/// Connections that wait to be accepted.
const BACKLOG_PAUSE: Duration = Duration::from_millis(50);

/// The certificate that the peer of a TLS connection showed, in its DER form.
#[derive(Debug, Clone)]
pub struct Certificate(pub Vec<u8>);

type Connection = boxed::BoxService<TcpStream, (), String>;

/// A bound socket.
pub struct Listener {
    inner: TcpListener,
    address: SocketAddr,
}

/// Serves a listener's connections with TLS settings that can be replaced.
pub struct TlsServer<H> {
    handler: H,
    connection: RefCell<Rc<Connection>>,
}

impl Listener {
    /// Binds `address`; port 0 takes a free one.
    ///
    /// # Errors
    ///
    /// Where the address is taken.
    pub fn bind(address: SocketAddr) -> io::Result<Self> {
        let listener = std::net::TcpListener::bind(address)?;
        listener.set_nonblocking(true)?;
        let inner = TcpListener::from_std(listener)?;
        let address = inner.local_addr()?;
        Ok(Self { inner, address })
    }

    /// Address bound.
    pub const fn address(&self) -> SocketAddr {
        self.address
    }

    /// Serves requests with `handler` until the future is dropped.
    pub async fn serve<H, F>(self, handler: H)
    where
        H: Fn(Request) -> F + Clone + 'static,
        F: Future<Output = Answer> + 'static,
    {
        let service = HttpService::<TcpStream, _, _>::build()
            .keep_alive(KeepAlive::Timeout(KEEP_ALIVE))
            .client_request_timeout(HEAD_PATIENCE)
            .tcp_nodelay(true)
            .finish(fn_service(move |request| answer(handler.clone(), request)))
            .tcp();
        let connection = RefCell::new(connection(service).await);
        self.accept(&connection).await;
    }

    /// Serves requests over TLS until the future is dropped.
    pub async fn serve_tls<H, F>(self, server: Rc<TlsServer<H>>)
    where
        H: Fn(Request) -> F + Clone + 'static,
        F: Future<Output = Answer> + 'static,
    {
        self.accept(&server.connection).await;
    }

    async fn accept(self, connection: &RefCell<Rc<Connection>>) {
        loop {
            match self.inner.accept().await {
                Ok((stream, _)) => {
                    let connection = connection.borrow().clone();
                    actix_rt::spawn(async move {
                        if let Err(error) = connection.call(stream).await {
                            tracing::debug!(event = "connection_broke_off", error);
                        }
                    });
                }
                Err(error) => {
                    tracing::warn!(event = "accept_failed", %error);
                    actix_rt::time::sleep(BACKLOG_PAUSE).await;
                }
            }
        }
    }
}

impl<H, F> TlsServer<H>
where
    H: Fn(Request) -> F + Clone + 'static,
    F: Future<Output = Answer> + 'static,
{
    /// Server with its first TLS settings.
    pub async fn new(handler: H, tls: rustls::ServerConfig) -> Self {
        let connection = tls_connection(handler.clone(), tls).await;
        Self {
            handler,
            connection: RefCell::new(connection),
        }
    }

    /// Uses new TLS settings for connections made from now on.
    pub async fn renew(&self, tls: rustls::ServerConfig) {
        let connection = tls_connection(self.handler.clone(), tls).await;
        self.connection.replace(connection);
    }
}

async fn tls_connection<H, F>(handler: H, tls: rustls::ServerConfig) -> Rc<Connection>
where
    H: Fn(Request) -> F + Clone + 'static,
    F: Future<Output = Answer> + 'static,
{
    let service = HttpService::<TlsStream<TcpStream>, _, _>::build()
        .keep_alive(KeepAlive::Timeout(KEEP_ALIVE))
        .client_request_timeout(HEAD_PATIENCE)
        .on_connect_ext(|stream: &TlsStream<TcpStream>, extensions| {
            let shown = stream
                .get_ref()
                .1
                .peer_certificates()
                .and_then(|chain| chain.first());
            if let Some(certificate) = shown {
                extensions.insert(Certificate(certificate.to_vec()));
            }
        })
        .finish(fn_service(move |request| answer(handler.clone(), request)))
        .rustls_0_23(tls);
    connection(service).await
}

async fn answer<H, F>(handler: H, request: Request) -> Result<Answer, Infallible>
where
    H: Fn(Request) -> F,
    F: Future<Output = Answer>,
{
    Ok(handler(request).await)
}

async fn connection<S>(service: S) -> Rc<Connection>
where
    S: ServiceFactory<TcpStream, Config = (), Response = (), InitError = ()>,
    S::Service: 'static,
    S::Error: Debug,
{
    let made = service.new_service(()).await;
    let made = made.unwrap_or_else(|()| unreachable!("the service has nothing to set up"));
    Rc::new(boxed::service(made.map_err(|error| format!("{error:?}"))))
}
