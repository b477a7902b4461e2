//! Daemon of a backend server, which proxies all requests to the engines and plain services of its
//! box.

pub mod attempts;
pub mod chunk_requests;
pub mod fetches;
pub mod pacing;
pub mod peers;
pub mod upstreams;
pub mod weights_cache;
pub mod weights_server;

use {
    self::{
        attempts::Attempts, pacing::Pacer, peers::PeerDirectory, upstreams::Upstream,
        weights_cache::WeightsCache,
    },
    crate::{clock, error::Error, process::Process},
    gingerpier_base::{Name, place::Role},
    gingerpier_catalogue::model::Withdrawal,
    gingerpier_settings::{Backend as Settings, unit::Millis},
    gingerpier_wire::frame::Status,
    std::{cell::Cell, rc::Rc},
    tokio::sync::{Semaphore, watch},
};

/// Limit on chunks sent to peers at the same time.
const MAX_CONCURRENT_CHUNKS: usize = 2;
/// Interval between checks whether all requests have ended during shutdown.
const DRAIN_POLL_MILLIS: u64 = 50;

/// State shared by the subsystems of a backend server.
pub struct Backend {
    /// State common to both roles.
    pub process: Rc<Process>,
    /// Engines and plain services of the box.
    pub upstreams: Vec<Rc<Upstream>>,
    /// Running and recently finished attempts.
    pub attempts: Attempts,
    /// Cache of chunks and manifests.
    pub weights: WeightsCache,
    /// Other backend servers and links to them.
    pub directory: PeerDirectory,
    /// Rate limit for weights sent to peers.
    pub send_pacer: Pacer,
    /// Limits the number of chunks sent at the same time.
    pub send_permits: Semaphore,
    /// Rate limit for received weights.
    pub receive_pacer: Pacer,
    /// Settings of this backend server.
    pub settings: Settings,
    /// True once the catalogue has reached a revision that an entry box read from the key-value
    /// service after this process started.
    confirmed: Cell<bool>,
    /// Incremented when the reported status may have changed.
    changes: watch::Sender<u64>,
}

impl Backend {
    /// Runs a backend server until it is stopped.
    ///
    /// # Errors
    ///
    /// Fails if the server can't start.
    pub async fn run(settings: Settings) -> Result<(), Error> {
        let process = Process::bind(Role::Backend, &settings.identity, settings.peers)?;
        let backend = Rc::new(Self::new(Rc::new(process), settings));
        let process = &backend.process;
        let metrics = process.spawn_metrics_server(backend.settings.metrics)?;
        process.spawn_signal_handler();
        process.spawn_key_watcher(|_| async {});
        backend.clone().spawn_link_server();
        for upstream in &backend.upstreams {
            backend.clone().spawn_engine_supervisor(upstream.clone());
        }
        backend.clone().spawn_stop_watcher();
        backend.clone().spawn_expiry();
        let Process { hello, .. } = &**process;
        println!("ready peers={} metrics={metrics}", hello.address);
        tracing::info!(event = "started", role = "backend", name = %hello.name,
            zone = %hello.zone.name, incarnation = %hello.incarnation, address = hello.address);
        process.wait_until_leaving().await;
        backend.drain().await;
        process.close().await;
        Ok(())
    }

    fn new(process: Rc<Process>, settings: Settings) -> Self {
        let upstreams = Upstream::all(&settings, &process.http);
        Self {
            attempts: Attempts::new(process.hello.incarnation),
            weights: WeightsCache::new(settings.weights.chunk_memory.0),
            directory: PeerDirectory::default(),
            send_pacer: Pacer::new(settings.weights.send.0),
            send_permits: Semaphore::new(MAX_CONCURRENT_CHUNKS),
            receive_pacer: Pacer::new(settings.weights.receive.0),
            confirmed: Cell::new(false),
            changes: watch::Sender::new(0),
            process,
            upstreams,
            settings,
        }
    }

    /// Returns the engine or plain service with a name.
    pub fn upstream(&self, name: &Name) -> Option<&Rc<Upstream>> {
        self.upstreams
            .iter()
            .find(|upstream| upstream.name == *name)
    }

    /// Triggers a status report to entry boxes if the status has changed.
    pub fn notify_status_changed(&self) {
        self.changes.send_modify(|changes| *changes += 1);
    }

    /// Returns a receiver that is notified when the status may have changed.
    pub fn status_changes(&self) -> watch::Receiver<u64> {
        self.changes.subscribe()
    }

    /// Returns true once orders may rely on the current revision without a fence check by the
    /// engine.
    pub fn is_confirmed(&self) -> bool {
        self.confirmed.get()
    }

    /// Records that the catalogue has reached a revision confirmed by the key-value service.
    pub fn record_confirmation(&self) {
        if !self.confirmed.replace(true) {
            tracing::info!(
                event = "confirmed",
                revision = self.process.catalogue_state.revision().0
            );
            self.notify_status_changed();
        }
    }

    /// Returns true if this server is shutting down, or operators drain or stop it.
    pub fn refuses_new_requests(&self) -> bool {
        let catalogue = self.process.catalogue_state.catalogue();
        self.process.is_leaving() || catalogue.withdrawal(&self.process.hello.name).is_some()
    }

    /// Returns the status to report to the entry box process `entry`, whose own requests aren't
    /// counted.
    pub fn status(&self, entry: gingerpier_base::place::Incarnation) -> Status {
        Status {
            revision: self.process.catalogue_state.revision(),
            leaving: self.refuses_new_requests(),
            engines: self
                .upstreams
                .iter()
                .map(|upstream| upstream.status(entry))
                .collect(),
            chunk_bytes: self.weights.cached_bytes(),
            confirmed: self.is_confirmed(),
        }
    }

    /// Shuts down when operators stop this server.
    fn spawn_stop_watcher(self: Rc<Self>) {
        actix_rt::spawn(async move {
            let mut revisions = self.process.catalogue_state.subscribe();
            while revisions.changed().await.is_ok() {
                self.notify_status_changed();
                let catalogue = self.process.catalogue_state.catalogue();
                if catalogue.withdrawal(&self.process.hello.name) == Some(Withdrawal::Stop) {
                    self.process.start_leaving();
                }
            }
        });
    }

    fn spawn_expiry(self: Rc<Self>) {
        const EXPIRY_INTERVAL_MILLIS: u64 = 5_000;
        actix_rt::spawn(async move {
            loop {
                clock::pause(EXPIRY_INTERVAL_MILLIS).await;
                self.attempts.remove_expired();
                self.process
                    .metrics
                    .revision
                    .set(self.process.catalogue_state.revision().0 as i64);
            }
        });
    }

    /// Waits until all attempts have ended, at most for the configured stop timeout.
    async fn drain(&self) {
        self.notify_status_changed();
        let Millis(timeout_millis) = self.settings.stop_patience;
        let deadline = clock::now().after_millis(timeout_millis);
        while self.attempts.running_count() > 0 && !deadline.has_passed(clock::now()) {
            clock::pause(DRAIN_POLL_MILLIS).await;
        }
        tracing::info!(
            event = "stopped",
            broken_off = self.attempts.running_count()
        );
    }
}
