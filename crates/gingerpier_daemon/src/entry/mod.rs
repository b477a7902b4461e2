//! Daemon of an entry box: serves callers and operators, routes requests and takes part in control.

pub mod caller_request;
pub mod callers;
pub mod fleet;
pub mod forward;
pub mod links;
pub mod operators;
pub mod peers;
pub mod planning;
pub mod propagation;
pub mod queries;
pub mod store;
pub mod tickets;

use {
    self::{fleet::Fleet, links::Links, store::Store},
    crate::{
        clock,
        error::Error,
        process::{Process, listen},
    },
    gingerpier_base::{Name, place::Role},
    gingerpier_membership::{BoxKey, Liveness, Membership},
    gingerpier_once::Claims,
    gingerpier_routing::{
        Budget, Limits,
        limits::{AccountKey, Utilization},
    },
    gingerpier_settings::Entry as Settings,
    std::{
        cell::{Cell, RefCell},
        collections::BTreeMap,
        rc::Rc,
    },
    tokio::sync::watch,
};

/// Interval between checks whether all requests have ended during shutdown.
const DRAIN_POLL_MILLIS: u64 = 50;
/// Interval between removals of expired tickets.
const EXPIRY_INTERVAL_MILLIS: u64 = 5_000;

/// State shared by the subsystems of an entry box.
pub struct Entry {
    /// State common to both roles.
    pub process: Rc<Process>,
    /// Settings of this entry box.
    pub settings: Settings,
    /// Known boxes.
    pub members: RefCell<Membership>,
    /// Links to other boxes, with their revisions and statuses.
    pub links: Links,
    /// Known engines and the router.
    pub fleet: RefCell<Fleet>,
    /// Tickets issued by this process and their claims.
    pub claims: RefCell<Claims>,
    /// Rate limits and concurrency limits of client accounts.
    pub limits: RefCell<Limits>,
    accounts: RefCell<BTreeMap<Name, AccountKey>>,
    /// Limits attempts after the first to a share of all requests.
    pub budget: RefCell<Budget>,
    /// Access to the key-value service.
    pub store: Store,
    in_flight: Cell<u64>,
    /// Incremented when a known box is added, removed or changed.
    pub box_changes: watch::Sender<u64>,
}

impl Entry {
    /// Runs an entry box until it is stopped.
    ///
    /// # Errors
    ///
    /// Fails if the entry box can't start.
    pub async fn run(settings: Settings) -> Result<(), Error> {
        let process = Process::bind(Role::Entry, &settings.identity, settings.peers)?;
        let entry = Rc::new(Self::new(Rc::new(process), settings));
        let process = &entry.process;
        let metrics = process.spawn_metrics_server(entry.settings.metrics)?;
        process.spawn_signal_handler();
        entry.clone().spawn_link_server();
        entry.clone().spawn_link_maintenance();
        entry.clone().spawn_propagation();
        entry.clone().spawn_store_tasks();
        entry.clone().spawn_planner();
        entry.clone().spawn_expiry();
        let operators = entry.clone().spawn_operator_server().await?;
        let callers = listen(entry.settings.callers)?;
        let callers_address = callers.address();
        entry.clone().spawn_caller_server(callers);
        println!(
            "ready callers={callers_address} operators={operators} peers={} metrics={metrics}",
            process.hello.address
        );
        tracing::info!(event = "started", role = "entry", name = %process.hello.name,
            zone = %process.hello.zone.name, incarnation = %process.hello.incarnation,
            address = process.hello.address);
        process.wait_until_leaving().await;
        entry.drain().await;
        process.close().await;
        Ok(())
    }

    fn new(process: Rc<Process>, settings: Settings) -> Self {
        let incarnation = process.hello.incarnation;
        let lifetime_millis = settings.requests.ticket_life.0;
        let store = Store::new(&settings.key_value, process.http.clone());
        Self {
            members: RefCell::default(),
            links: Links::default(),
            fleet: RefCell::new(Fleet::new(incarnation.0)),
            claims: RefCell::new(Claims::new(incarnation, fastrand::u64(..), lifetime_millis)),
            limits: RefCell::default(),
            accounts: RefCell::default(),
            budget: RefCell::default(),
            store,
            in_flight: Cell::new(0),
            box_changes: watch::Sender::new(0),
            process,
            settings,
        }
    }

    /// Notifies tasks that a known box was added, removed or changed.
    pub fn notify_boxes_changed(&self) {
        self.box_changes.send_modify(|changes| *changes += 1);
    }

    /// Returns the liveness of a box; boxes that operators drain or stop count as leaving.
    pub fn liveness(&self, key: BoxKey) -> Liveness {
        let members = self.members.borrow();
        let Some(member) = members.get(key) else {
            return Liveness::Gone;
        };
        let catalogue = self.process.catalogue_state.catalogue();
        match members.liveness(key, clock::now()) {
            Liveness::Alive if catalogue.withdrawal(&member.name).is_some() => Liveness::Leaving,
            liveness => liveness,
        }
    }

    /// Returns the names of alive entry boxes including this one, in all zones or in `zone`.
    pub fn alive_entry_names(&self, zone: Option<&Name>) -> Vec<Name> {
        let members = self.members.borrow();
        let now = clock::now();
        let alive = members.iter().filter(|(key, member)| {
            member.role == Role::Entry
                && members.liveness(*key, now) == Liveness::Alive
                && zone.is_none_or(|zone| member.zone.name == *zone)
        });
        let mut names: Vec<Name> = alive.map(|(_, member)| member.name.clone()).collect();
        names.push(self.process.hello.name.clone());
        names
    }

    /// Returns the position of this entry box in the rendezvous order of alive ones for `subject`.
    pub fn rank(&self, subject: u64, zone: Option<&Name>) -> usize {
        use gingerpier_base::order;
        let mut names = self.alive_entry_names(zone);
        order::sort_by_score(subject, &mut names, order::hash);
        names
            .iter()
            .position(|name| *name == self.process.hello.name)
            .unwrap_or(0)
    }

    /// Returns the key of an account's limits, created or updated with the rate from the catalogue.
    pub fn account_key(&self, name: &Name, rate: u32) -> AccountKey {
        let mut limits = self.limits.borrow_mut();
        let mut accounts = self.accounts.borrow_mut();
        let key = accounts
            .entry(name.clone())
            .or_insert_with(|| limits.add_account(rate, clock::now()));
        limits.set_rate(*key, rate);
        *key
    }

    /// Returns the load and capacity of engines, and the number of entry boxes that share them.
    pub fn utilization(&self) -> Utilization {
        let (load, capacity) = self.fleet.borrow().load_and_capacity();
        Utilization {
            load,
            capacity,
            entry_boxes: self.alive_entry_names(None).len() as u32,
        }
    }

    /// Counts a request as in flight.
    pub fn record_request_start(&self) {
        self.in_flight.set(self.in_flight.get() + 1);
        self.process.metrics.in_flight.inc();
    }

    /// Ends the count of a request.
    pub fn record_request_end(&self) {
        self.in_flight.set(self.in_flight.get() - 1);
        self.process.metrics.in_flight.dec();
    }

    fn spawn_expiry(self: Rc<Self>) {
        actix_rt::spawn(async move {
            loop {
                clock::pause(EXPIRY_INTERVAL_MILLIS).await;
                self.claims.borrow_mut().remove_expired(clock::now());
                self.process
                    .metrics
                    .revision
                    .set(self.process.catalogue_state.revision().0 as i64);
            }
        });
    }

    /// Waits until all requests have ended, at most for the longest timeout of a request.
    async fn drain(&self) {
        let deadline = clock::now().after_millis(self.settings.requests.patience.0);
        while self.in_flight.get() > 0 && !deadline.has_passed(clock::now()) {
            clock::pause(DRAIN_POLL_MILLIS).await;
        }
        tracing::info!(event = "stopped", broken_off = self.in_flight.get());
    }
}
