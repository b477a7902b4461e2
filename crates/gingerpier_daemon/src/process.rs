//! What both roles share: identity, keys, link endpoint, leaving.

use {
    crate::{clock, error::Error, lateness, ledger::Ledger, metrics::Metrics},
    actix_rt::signal::unix::{SignalKind, signal},
    gingerpier_base::place::{Incarnation, Role},
    gingerpier_http::Listener,
    gingerpier_link::{Credentials, Endpoint, Identity as Named, Incoming, Link, Traffic},
    gingerpier_settings::entry::Identity,
    gingerpier_wire::frame::Hello,
    std::{
        cell::{Cell, RefCell},
        net::SocketAddr,
        path::PathBuf,
        rc::Rc,
        sync::Arc,
    },
    tokio::sync::{Semaphore, watch},
};

/// Milliseconds between counts of the links' bytes.
const TRAFFIC_MILLIS: u64 = 500;
/// Milliseconds between looks at the files of keys.
const KEYS_MILLIS: u64 = 1_000;
/// Handshakes with peers at once: what peers that never end theirs may take of the memory. Far more
/// than boxes that come back together.
const HANDSHAKES_AT_ONCE: usize = 1_024;

/// One run of one daemon.
pub struct Process {
    /// Who it is.
    pub hello: Hello,
    /// Catalogue in force.
    pub ledger: Ledger,
    /// Metrics.
    pub metrics: Rc<Metrics>,
    /// HTTP client for all edges.
    pub http: awc::Client,
    endpoint: RefCell<Endpoint>,
    credentials: RefCell<Rc<Credentials>>,
    keys: PathBuf,
    leaving: watch::Sender<bool>,
    attempts: Cell<u64>,
    /// Links whose bytes are counted, and the bytes of those that are down.
    links: RefCell<Vec<Link>>,
    closed: Cell<Traffic>,
}

impl Process {
    /// Binds the process's sockets.
    ///
    /// # Errors
    ///
    /// Where the keys are not for this box, or the address is taken.
    pub fn bind(role: Role, identity: &Identity, peers: SocketAddr) -> Result<Self, Error> {
        let credentials = Credentials::read(&identity.keys)?;
        check_identity(&credentials, role, identity)?;
        let endpoint = Endpoint::bind(peers, &credentials)?;
        let hello = Hello {
            name: identity.name.clone(),
            role,
            zone: identity.zone.clone(),
            incarnation: Incarnation(fastrand::u64(1..)),
            address: endpoint.address()?.to_string(),
            leaving: false,
        };
        Ok(Self {
            hello,
            ledger: Ledger::default(),
            metrics: Rc::default(),
            http: gingerpier_services::http::client(),
            endpoint: RefCell::new(endpoint),
            credentials: RefCell::new(Rc::new(credentials)),
            keys: identity.keys.clone(),
            leaving: watch::Sender::new(false),
            attempts: Cell::new(0),
            links: RefCell::default(),
            closed: Cell::default(),
        })
    }

    /// Who it is, and whether it leaves.
    pub fn hello(&self) -> Hello {
        Hello {
            leaving: self.is_leaving(),
            ..self.hello.clone()
        }
    }

    /// Keys in use.
    pub fn credentials(&self) -> Rc<Credentials> {
        self.credentials.borrow().clone()
    }

    /// Next number for an attempt.
    pub fn next_attempt(&self) -> u64 {
        self.attempts.set(self.attempts.get() + 1);
        self.attempts.get()
    }

    /// True once the process leaves.
    pub fn is_leaving(&self) -> bool {
        *self.leaving.borrow()
    }

    /// Starts to leave; not taken back.
    pub fn leave(&self) {
        if !self.leaving.send_replace(true) {
            tracing::info!(event = "leaving");
        }
    }

    /// Waits until the process leaves.
    pub async fn left(&self) {
        let mut leaving = self.leaving.subscribe();
        // The sender lives as long as the process.
        let _ = leaving.wait_for(|leaving| *leaving).await;
    }

    /// Connects to a peer.
    ///
    /// # Errors
    ///
    /// Where it can't be reached, or is somebody else.
    pub async fn connect(
        &self,
        address: SocketAddr,
        peer: &Named,
    ) -> Result<Link, gingerpier_link::Error> {
        let endpoint = self.endpoint.borrow().clone();
        let link = endpoint.connect(address, peer).await?;
        self.links.borrow_mut().push(link.clone());
        Ok(link)
    }

    /// Serves links that peers make, each with `serve`, until the endpoint is closed.
    pub async fn accept<F, S>(self: &Rc<Self>, serve: F)
    where
        F: Fn(Link) -> S + 'static,
        S: Future<Output = ()> + 'static,
    {
        let endpoint = self.endpoint.borrow().clone();
        let serve = Rc::new(serve);
        let handshakes = Arc::new(Semaphore::new(HANDSHAKES_AT_ONCE));
        while let Some(incoming) = endpoint.accept().await {
            let (process, serve) = (self.clone(), serve.clone());
            let handshake = handshakes.clone().acquire_owned().await;
            actix_rt::spawn(async move {
                let link = process.authenticate(incoming).await;
                drop(handshake);
                if let Some(link) = link {
                    serve(link).await;
                }
            });
        }
    }

    async fn authenticate(&self, incoming: Incoming) -> Option<Link> {
        let begun = clock::now();
        match incoming.authenticate().await {
            Ok(link) => {
                let took_millis = clock::now().millis_since(begun);
                tracing::info!(event = "link_taken", peer = %link.peer(), took_millis);
                self.links.borrow_mut().push(link.clone());
                Some(link)
            }
            Err(error) => {
                tracing::warn!(event = "link_refused", %error);
                None
            }
        }
    }

    /// Bytes of all links since the process started.
    fn traffic(&self) -> Traffic {
        let mut links = self.links.borrow_mut();
        let mut sum = self.closed.get();
        links.retain(|link| {
            let traffic = link.traffic();
            sum = sum.plus(traffic);
            if link.is_closed() {
                self.closed.set(self.closed.get().plus(traffic));
            }
            !link.is_closed()
        });
        sum
    }

    fn count_traffic(&self) {
        let Traffic { sent, received } = self.traffic();
        self.metrics.link_sent.set(sent as i64);
        self.metrics.link_received.set(received as i64);
    }

    /// Serves metrics.
    ///
    /// # Errors
    ///
    /// Where the address is taken.
    pub fn install_metrics(self: &Rc<Self>, address: SocketAddr) -> Result<SocketAddr, Error> {
        let listener = listen(address)?;
        let address = listener.address();
        let process = self.clone();
        actix_rt::spawn(async move {
            loop {
                process.count_traffic();
                clock::pause(TRAFFIC_MILLIS).await;
            }
        });
        actix_rt::spawn(clock::watch());
        actix_rt::spawn(lateness::watch(self.metrics.clone()));
        actix_rt::spawn(self.metrics.clone().serve(listener));
        Ok(address)
    }

    /// Leaves on the signal to terminate.
    pub fn install_signals(self: &Rc<Self>) {
        let process = self.clone();
        actix_rt::spawn(async move {
            match signal(SignalKind::terminate()) {
                Ok(mut terminate) => {
                    terminate.recv().await;
                    process.leave();
                }
                Err(error) => tracing::error!(event = "no_signals", %error),
            }
        });
    }

    /// Reads the keys again when their files change, and tells `renewed`.
    pub fn install_keys<F, R>(self: &Rc<Self>, renewed: F)
    where
        F: Fn(Rc<Credentials>) -> R + 'static,
        R: Future<Output = ()>,
    {
        let process = self.clone();
        actix_rt::spawn(async move {
            loop {
                clock::pause(KEYS_MILLIS).await;
                if let Some(credentials) = process.renew_keys() {
                    renewed(credentials).await;
                }
            }
        });
    }

    fn renew_keys(&self) -> Option<Rc<Credentials>> {
        let read = match self.credentials().read_if_changed() {
            Ok(read) => read?,
            Err(error) => {
                tracing::error!(event = "keys_refused", %error);
                return None;
            }
        };
        let credentials = Rc::new(read);
        if let Err(error) = self.endpoint.borrow_mut().renew(&credentials) {
            tracing::error!(event = "keys_refused", %error);
            return None;
        }
        self.credentials.replace(credentials.clone());
        tracing::info!(event = "keys_renewed", keys = %self.keys.display());
        Some(credentials)
    }

    /// Closes all links, after the peers were told.
    pub async fn close(&self) {
        let endpoint = self.endpoint.borrow().clone();
        let told = endpoint.close();
        // A peer that does not answer must not hold up the end of the process.
        let _ = actix_rt::time::timeout(std::time::Duration::from_millis(500), told).await;
    }
}

fn check_identity(credentials: &Credentials, role: Role, identity: &Identity) -> Result<(), Error> {
    let wanted = Named {
        role,
        name: identity.name.clone(),
    };
    let found = credentials.identity();
    if *found == wanted {
        return Ok(());
    }
    let (found, wanted) = (found.to_string(), wanted.to_string());
    Err(Error::Identity {
        keys: identity.keys.clone(),
        found,
        wanted,
    })
}

/// Binds an HTTP listener.
///
/// # Errors
///
/// Where the address is taken.
pub fn listen(address: SocketAddr) -> Result<Listener, Error> {
    Listener::bind(address).map_err(|what| Error::Listen { address, what })
}
