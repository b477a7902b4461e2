//! A backend server's process: the only door to the engines and plain services of its box.

pub mod asks;
pub mod attempts;
pub mod engines;
pub mod fetches;
pub mod pace;
pub mod peers;
pub mod serving;
pub mod weights;

use {
    self::{attempts::Attempts, engines::Slot, pace::Pace, peers::Book, weights::Weights},
    crate::{clock, error::Error, process::Process},
    gingerpier_base::{Name, place::Role},
    gingerpier_catalogue::model::Withdrawal,
    gingerpier_settings::{Backend as Settings, unit::Millis},
    gingerpier_wire::frame::Status,
    std::{cell::Cell, rc::Rc},
    tokio::sync::{Semaphore, watch},
};

/// Chunks sent to peers at the same time.
const CHUNKS_AT_ONCE: usize = 2;
/// Milliseconds between looks at whether all work has ended.
const DRAIN_LOOK_MILLIS: u64 = 50;

/// State that the subsystems of a backend server share.
pub struct Backend {
    /// What both roles share.
    pub process: Rc<Process>,
    /// Engines and plain services.
    pub slots: Vec<Rc<Slot>>,
    /// Attempts, running and past.
    pub attempts: Attempts,
    /// Chunks and manifests held.
    pub weights: Weights,
    /// Other backend servers.
    pub book: Book,
    /// Pace of sending to peers.
    pub send_pace: Pace,
    /// Chunks sent at the same time.
    pub send_turns: Semaphore,
    /// Pace of receiving weights.
    pub receive_pace: Pace,
    /// Settings.
    pub settings: Settings,
    /// True once an entry box has passed on what the key-value service itself confirmed, after
    /// this process started, and the ledger has reached it.
    confirmed: Cell<bool>,
    /// Rises whenever something in the status may have changed.
    changes: watch::Sender<u64>,
}

impl Backend {
    /// Runs a backend server until it is told to stop.
    ///
    /// # Errors
    ///
    /// Where it can't start.
    pub async fn run(settings: Settings) -> Result<(), Error> {
        let process = Process::bind(Role::Backend, &settings.identity, settings.peers)?;
        let backend = Rc::new(Self::new(Rc::new(process), settings));
        let process = &backend.process;
        let metrics = process.install_metrics(backend.settings.metrics)?;
        process.install_signals();
        process.install_keys(|_| async {});
        backend.clone().install_peers();
        for slot in &backend.slots {
            backend.clone().install_engine(slot.clone());
        }
        backend.clone().install_withdrawal();
        backend.clone().install_sweeps();
        let Process { hello, .. } = &**process;
        println!("ready peers={} metrics={metrics}", hello.address);
        tracing::info!(event = "started", role = "backend", name = %hello.name,
            zone = %hello.zone.name, incarnation = %hello.incarnation, address = hello.address);
        process.left().await;
        backend.drain().await;
        process.close().await;
        Ok(())
    }

    fn new(process: Rc<Process>, settings: Settings) -> Self {
        let slots = Slot::all(&settings, &process.http);
        Self {
            attempts: Attempts::new(process.hello.incarnation),
            weights: Weights::new(settings.weights.chunk_memory.0),
            book: Book::default(),
            send_pace: Pace::new(settings.weights.send.0),
            send_turns: Semaphore::new(CHUNKS_AT_ONCE),
            receive_pace: Pace::new(settings.weights.receive.0),
            confirmed: Cell::new(false),
            changes: watch::Sender::new(0),
            process,
            slots,
            settings,
        }
    }

    /// Engine or plain service called `name`.
    pub fn slot(&self, name: &Name) -> Option<&Rc<Slot>> {
        self.slots.iter().find(|slot| slot.name == *name)
    }

    /// Notes that the status may have changed.
    pub fn touch(&self) {
        self.changes.send_modify(|changes| *changes += 1);
    }

    /// Waits on changes of the status.
    pub fn changes(&self) -> watch::Receiver<u64> {
        self.changes.subscribe()
    }

    /// True once orders may be given on the strength of the ledger.
    pub fn is_confirmed(&self) -> bool {
        self.confirmed.get()
    }

    /// Notes that the ledger has reached what the key-value service confirmed.
    pub fn confirm(&self) {
        if !self.confirmed.replace(true) {
            tracing::info!(
                event = "confirmed",
                revision = self.process.ledger.revision().0
            );
            self.touch();
        }
    }

    /// True where operators or the box's end allow no new work.
    pub fn takes_no_work(&self) -> bool {
        let catalogue = self.process.ledger.catalogue();
        self.process.is_leaving() || catalogue.withdrawal(&self.process.hello.name).is_some()
    }

    /// Status as the entry box process `asker` should see it.
    pub fn status(&self, asker: gingerpier_base::place::Incarnation) -> Status {
        Status {
            revision: self.process.ledger.revision(),
            leaving: self.takes_no_work(),
            engines: self.slots.iter().map(|slot| slot.status(asker)).collect(),
            chunk_bytes: self.weights.held_bytes(),
            confirmed: self.is_confirmed(),
        }
    }

    /// Leaves when operators command a stop.
    fn install_withdrawal(self: Rc<Self>) {
        actix_rt::spawn(async move {
            let mut revisions = self.process.ledger.subscribe();
            while revisions.changed().await.is_ok() {
                self.touch();
                let catalogue = self.process.ledger.catalogue();
                if catalogue.withdrawal(&self.process.hello.name) == Some(Withdrawal::Stop) {
                    self.process.leave();
                }
            }
        });
    }

    fn install_sweeps(self: Rc<Self>) {
        const SWEEP_MILLIS: u64 = 5_000;
        actix_rt::spawn(async move {
            loop {
                clock::pause(SWEEP_MILLIS).await;
                self.attempts.sweep();
                self.process
                    .metrics
                    .revision
                    .set(self.process.ledger.revision().0 as i64);
            }
        });
    }

    /// Waits until all work has ended, or the deadline of a planned stop has passed.
    async fn drain(&self) {
        self.touch();
        let Millis(patience) = self.settings.stop_patience;
        let deadline = clock::now().after_millis(patience);
        while self.attempts.running() > 0 && !deadline.has_passed(clock::now()) {
            clock::pause(DRAIN_LOOK_MILLIS).await;
        }
        tracing::info!(event = "stopped", broken_off = self.attempts.running());
    }
}
