//! State and tasks that entry boxes and backend servers share: identity, keys, link endpoint,
//! shutdown.

use {
    crate::{catalogue_state::CatalogueState, clock, error::Error, metrics::Metrics, thread_delay},
    actix_rt::signal::unix::{SignalKind, signal},
    gingerpier_base::place::{Incarnation, Role},
    gingerpier_http::Listener,
    gingerpier_link::{Credentials, Endpoint, Identity as PeerIdentity, Incoming, Link, Traffic},
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

/// Interval between updates of the link traffic metrics.
const TRAFFIC_INTERVAL_MILLIS: u64 = 500;
/// Interval between checks of the key files for changes.
const KEY_POLL_INTERVAL_MILLIS: u64 = 1_000;
/// Limit on concurrent handshakes; bounds the memory that unfinished ones use.
const MAX_CONCURRENT_HANDSHAKES: usize = 1_024;

/// State of a running daemon, shared by its subsystems.
pub struct Process {
    /// Name, role, zone, incarnation and address, as announced to peers.
    pub hello: Hello,
    /// Latest known catalogue.
    pub catalogue_state: CatalogueState,
    /// Metrics, served over HTTP.
    pub metrics: Rc<Metrics>,
    /// Client for engines, the key-value service, the box list and the weight origin.
    pub http: awc::Client,
    endpoint: RefCell<Endpoint>,
    credentials: RefCell<Rc<Credentials>>,
    /// Directory of keys and certificates.
    keys: PathBuf,
    leaving: watch::Sender<bool>,
    last_attempt: Cell<u64>,
    /// Open links, whose traffic is part of the metrics.
    links: RefCell<Vec<Link>>,
    /// Bytes of closed links.
    closed_traffic: Cell<Traffic>,
}

impl Process {
    /// Reads the keys and binds the link endpoint to `peers`.
    ///
    /// # Errors
    ///
    /// Fails if the keys are for another identity, or the address can't be bound.
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
            catalogue_state: CatalogueState::default(),
            metrics: Rc::default(),
            http: gingerpier_services::http::client(),
            endpoint: RefCell::new(endpoint),
            credentials: RefCell::new(Rc::new(credentials)),
            keys: identity.keys.clone(),
            leaving: watch::Sender::new(false),
            last_attempt: Cell::new(0),
            links: RefCell::default(),
            closed_traffic: Cell::default(),
        })
    }

    /// Returns the announcement to peers, with the current `leaving` flag.
    pub fn hello(&self) -> Hello {
        Hello {
            leaving: self.is_leaving(),
            ..self.hello.clone()
        }
    }

    /// Returns the current keys and certificates.
    pub fn credentials(&self) -> Rc<Credentials> {
        self.credentials.borrow().clone()
    }

    /// Returns a new attempt number, unique within this process.
    pub fn next_attempt(&self) -> u64 {
        self.last_attempt.set(self.last_attempt.get() + 1);
        self.last_attempt.get()
    }

    /// Returns true once shutdown has started.
    pub fn is_leaving(&self) -> bool {
        *self.leaving.borrow()
    }

    /// Starts the shutdown; it can't be cancelled.
    pub fn start_leaving(&self) {
        if !self.leaving.send_replace(true) {
            tracing::info!(event = "leaving");
        }
    }

    /// Waits until shutdown starts.
    pub async fn wait_until_leaving(&self) {
        let mut leaving = self.leaving.subscribe();
        // The sender is owned by `self`, so this can't fail.
        let _ = leaving.wait_for(|leaving| *leaving).await;
    }

    /// Connects to a peer.
    ///
    /// # Errors
    ///
    /// Fails if the peer can't be reached or has another identity.
    pub async fn connect(
        &self,
        address: SocketAddr,
        peer: &PeerIdentity,
    ) -> Result<Link, gingerpier_link::Error> {
        let endpoint = self.endpoint.borrow().clone();
        let link = endpoint.connect(address, peer).await?;
        self.links.borrow_mut().push(link.clone());
        Ok(link)
    }

    /// Accepts links from peers and runs `serve` for each, until the endpoint is closed.
    pub async fn accept<F, S>(self: &Rc<Self>, serve: F)
    where
        F: Fn(Link) -> S + 'static,
        S: Future<Output = ()> + 'static,
    {
        let endpoint = self.endpoint.borrow().clone();
        let serve = Rc::new(serve);
        let permits = Arc::new(Semaphore::new(MAX_CONCURRENT_HANDSHAKES));
        while let Some(incoming) = endpoint.accept().await {
            let (process, serve) = (self.clone(), serve.clone());
            let permit = permits.clone().acquire_owned().await;
            actix_rt::spawn(async move {
                let link = process.authenticate(incoming).await;
                drop(permit);
                if let Some(link) = link {
                    serve(link).await;
                }
            });
        }
    }

    async fn authenticate(&self, incoming: Incoming) -> Option<Link> {
        let started_at = clock::now();
        match incoming.authenticate().await {
            Ok(link) => {
                let took_millis = clock::now().millis_since(started_at);
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

    /// Returns the bytes of all links since the process started.
    fn traffic(&self) -> Traffic {
        let mut links = self.links.borrow_mut();
        let mut sum = self.closed_traffic.get();
        links.retain(|link| {
            let traffic = link.traffic();
            sum = sum.plus(traffic);
            if link.is_closed() {
                self.closed_traffic
                    .set(self.closed_traffic.get().plus(traffic));
            }
            !link.is_closed()
        });
        sum
    }

    fn update_traffic_metrics(&self) {
        let Traffic { sent, received } = self.traffic();
        self.metrics.link_sent.set(sent as i64);
        self.metrics.link_received.set(received as i64);
    }

    /// Serves metrics over HTTP and starts their collection; returns the bound address.
    ///
    /// # Errors
    ///
    /// Fails if the address can't be bound.
    pub fn spawn_metrics_server(self: &Rc<Self>, address: SocketAddr) -> Result<SocketAddr, Error> {
        let listener = listen(address)?;
        let address = listener.address();
        let process = self.clone();
        actix_rt::spawn(async move {
            loop {
                process.update_traffic_metrics();
                clock::pause(TRAFFIC_INTERVAL_MILLIS).await;
            }
        });
        actix_rt::spawn(clock::watch());
        actix_rt::spawn(thread_delay::monitor(self.metrics.clone()));
        actix_rt::spawn(self.metrics.clone().serve(listener));
        Ok(address)
    }

    /// Starts the shutdown on SIGTERM.
    pub fn spawn_signal_handler(self: &Rc<Self>) {
        let process = self.clone();
        actix_rt::spawn(async move {
            match signal(SignalKind::terminate()) {
                Ok(mut terminate) => {
                    terminate.recv().await;
                    process.start_leaving();
                }
                Err(error) => tracing::error!(event = "no_signals", %error),
            }
        });
    }

    /// Reloads the keys when their files change, then calls `on_reload`.
    pub fn spawn_key_watcher<F, R>(self: &Rc<Self>, on_reload: F)
    where
        F: Fn(Rc<Credentials>) -> R + 'static,
        R: Future<Output = ()>,
    {
        let process = self.clone();
        actix_rt::spawn(async move {
            loop {
                clock::pause(KEY_POLL_INTERVAL_MILLIS).await;
                if let Some(credentials) = process.reload_keys() {
                    on_reload(credentials).await;
                }
            }
        });
    }

    fn reload_keys(&self) -> Option<Rc<Credentials>> {
        let changed = match self.credentials().reload_if_changed() {
            Ok(changed) => changed?,
            Err(error) => {
                tracing::error!(event = "keys_refused", %error);
                return None;
            }
        };
        let credentials = Rc::new(changed);
        if let Err(error) = self.endpoint.borrow_mut().renew(&credentials) {
            tracing::error!(event = "keys_refused", %error);
            return None;
        }
        self.credentials.replace(credentials.clone());
        tracing::info!(event = "keys_renewed", keys = %self.keys.display());
        Some(credentials)
    }

    /// Closes all links and waits for a short time until the close is sent.
    pub async fn close(&self) {
        let endpoint = self.endpoint.borrow().clone();
        let close = endpoint.close();
        // A peer that doesn't respond must not delay the process's exit.
        let _ = actix_rt::time::timeout(std::time::Duration::from_millis(500), close).await;
    }
}

fn check_identity(credentials: &Credentials, role: Role, identity: &Identity) -> Result<(), Error> {
    let expected = PeerIdentity {
        role,
        name: identity.name.clone(),
    };
    let actual = credentials.identity();
    if *actual == expected {
        return Ok(());
    }
    let (actual, expected) = (actual.to_string(), expected.to_string());
    Err(Error::Identity {
        keys: identity.keys.clone(),
        actual,
        expected,
    })
}

/// Binds an HTTP listener.
///
/// # Errors
///
/// Fails if the address can't be bound.
pub fn listen(address: SocketAddr) -> Result<Listener, Error> {
    Listener::bind(address).map_err(|cause| Error::Listen { address, cause })
}
