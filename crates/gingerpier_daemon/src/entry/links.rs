//! Keeps links to the boxes of the box list and receives the reports of backend servers.

use {
    super::Entry,
    crate::clock,
    actix_rt::time::timeout,
    gingerpier_base::{
        Name,
        place::{Role, Zone},
    },
    gingerpier_catalogue::Revision,
    gingerpier_link::{Error, Identity, Link, Step},
    gingerpier_membership::{BoxKey, Listing, Liveness, Member},
    gingerpier_services::box_list,
    gingerpier_wire::{
        Reply, Request,
        frame::{Hello, Status},
    },
    std::{cell::RefCell, collections::BTreeMap, rc::Rc, time::Duration},
};

/// Interval between reads of the box list.
const LIST_INTERVAL_MILLIS: u64 = 1_000;
/// Timeout of the box list's response.
const LIST_TIMEOUT: Duration = Duration::from_secs(2);
/// Timeout of a handshake and the exchange of `Hello`.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(2);
/// Initial delay of reconnects, doubled up to [`MAX_RECONNECT_MILLIS`].
const MIN_RECONNECT_MILLIS: u64 = 100;
/// Maximum delay of reconnects.
const MAX_RECONNECT_MILLIS: u64 = 2_000;

/// Open links of an entry box, with the last revision and status that each box reported.
#[derive(Default)]
pub struct Links {
    links: RefCell<BTreeMap<BoxKey, Link>>,
    revisions: RefCell<BTreeMap<BoxKey, Revision>>,
    statuses: RefCell<BTreeMap<BoxKey, Status>>,
}

impl Links {
    /// Returns the link to a box if it is up.
    pub fn get(&self, key: BoxKey) -> Option<Link> {
        self.links.borrow().get(&key).cloned()
    }

    /// Returns the boxes with open links.
    pub fn keys(&self) -> Vec<BoxKey> {
        self.links.borrow().keys().copied().collect()
    }

    /// Returns the last known revision of a box.
    pub fn revision(&self, key: BoxKey) -> Revision {
        self.revisions
            .borrow()
            .get(&key)
            .copied()
            .unwrap_or_default()
    }

    /// Raises the known revision of a box.
    pub fn record_revision(&self, key: BoxKey, revision: Revision) {
        let mut revisions = self.revisions.borrow_mut();
        let known_revision = revisions.entry(key).or_default();
        *known_revision = revision.max(*known_revision);
    }

    /// Returns the last status of a backend server.
    pub fn status(&self, key: BoxKey) -> Option<Status> {
        self.statuses.borrow().get(&key).cloned()
    }

    fn insert(&self, key: BoxKey, link: Link) {
        self.links.borrow_mut().insert(key, link);
        // A restarted process may have an older revision.
        self.revisions.borrow_mut().remove(&key);
        self.statuses.borrow_mut().remove(&key);
    }

    fn remove(&self, key: BoxKey) {
        self.links.borrow_mut().remove(&key);
        self.revisions.borrow_mut().remove(&key);
        self.statuses.borrow_mut().remove(&key);
    }
}

impl Entry {
    /// Spawns the task that reads the box list and maintains the links.
    pub fn spawn_link_maintenance(self: Rc<Self>) {
        actix_rt::spawn(async move {
            loop {
                self.read_box_list().await;
                self.clone().remove_gone_boxes();
                clock::pause(LIST_INTERVAL_MILLIS).await;
            }
        });
    }

    async fn read_box_list(self: &Rc<Self>) {
        let http = &self.process.http;
        let response =
            box_list::read(http, &self.settings.box_list, LIST_TIMEOUT, clock::now()).await;
        let listed = match response {
            Ok(listed) => listed,
            Err(error) => {
                tracing::debug!(event = "box_list_lost", %error);
                return;
            }
        };
        let mut keys = Vec::new();
        for entry in &listed.boxes {
            let Some(role) = Role::from_word(&entry.role) else {
                continue;
            };
            if entry.name == self.process.hello.name {
                if entry.leaving {
                    self.process.start_leaving();
                }
                continue;
            }
            let zone = Zone {
                region: entry.region.clone(),
                name: entry.zone.clone(),
            };
            let listing = if entry.leaving {
                Listing::Leaving
            } else {
                Listing::Live
            };
            keys.push(self.add_box(&entry.name, role, &zone, &entry.address, listing));
        }
        self.members.borrow_mut().record_list_end(&keys);
    }

    /// Adds or updates a box; starts to maintain a link to a new one.
    pub fn add_box(
        self: &Rc<Self>,
        name: &Name,
        role: Role,
        zone: &Zone,
        address: &str,
        listing: Listing,
    ) -> BoxKey {
        let known_key = self.members.borrow().key_of(name);
        let previous_liveness = known_key.map(|key| self.liveness(key));
        let key = self
            .members
            .borrow_mut()
            .record_listing(name, role, zone, address, listing);
        if previous_liveness != Some(self.liveness(key)) {
            self.update_usability(key);
            self.notify_boxes_changed();
        }
        if known_key.is_none() {
            actix_rt::spawn(self.clone().maintain_link(key));
        }
        key
    }

    /// Updates whether a backend server's engines may get requests.
    pub fn update_usability(&self, key: BoxKey) {
        let is_alive = self.liveness(key) == Liveness::Alive;
        let leaving = self.links.status(key).is_some_and(|status| status.leaving);
        self.fleet
            .borrow_mut()
            .set_usable(key, is_alive && !leaving);
    }

    fn remove_gone_boxes(self: Rc<Self>) {
        let keys: Vec<BoxKey> = self.members.borrow().iter().map(|(key, _)| key).collect();
        for key in &keys {
            self.update_usability(*key);
        }
        let removed_members = self.members.borrow_mut().remove_gone(clock::now());
        for member in &removed_members {
            tracing::info!(event = "box_gone", name = %member.name);
        }
        let members = self.members.borrow();
        for key in keys.iter().filter(|key| members.get(**key).is_none()) {
            self.fleet.borrow_mut().remove_server(*key);
        }
        drop(members);
        if !removed_members.is_empty() {
            self.notify_boxes_changed();
        }
    }

    /// Connects to a box, and reconnects with backoff, until the box is removed.
    async fn maintain_link(self: Rc<Self>, key: BoxKey) {
        let mut delay_millis = MIN_RECONNECT_MILLIS;
        loop {
            let Some(member) = self.members.borrow().get(key).cloned() else {
                return;
            };
            match timeout(CONNECT_TIMEOUT, self.connect_and_exchange_hello(&member)).await {
                Ok(Ok((link, hello))) => {
                    delay_millis = MIN_RECONNECT_MILLIS;
                    self.clone().run_link(key, &member, link, &hello).await;
                }
                Ok(Err(error)) => tracing::debug!(event = "box_unreachable", %error),
                Err(_) => tracing::debug!(event = "box_silent", name = %member.name),
            }
            clock::pause(delay_millis).await;
            delay_millis = (2 * delay_millis).min(MAX_RECONNECT_MILLIS);
        }
    }

    async fn connect_and_exchange_hello(&self, member: &Member) -> Result<(Link, Hello), Error> {
        let address = member.address.parse();
        let address = address.map_err(|cause| Error::new(Step::Connect, &member.name, cause))?;
        let peer = Identity {
            role: member.role,
            name: member.name.clone(),
        };
        let link = self.process.connect(address, &peer).await?;
        let mut stream = link.open().await?;
        stream.send(&Request::Hello(self.process.hello())).await?;
        match stream.receive::<Reply>().await? {
            Reply::Hello(hello) => Ok((link, hello)),
            other => Err(Error::new(
                Step::Receive,
                &peer,
                format!("{other:?} for a greeting"),
            )),
        }
    }

    /// Uses a new link until it is closed.
    async fn run_link(self: Rc<Self>, key: BoxKey, member: &Member, link: Link, hello: &Hello) {
        let incarnation = hello.incarnation;
        self.links.insert(key, link.clone());
        self.members
            .borrow_mut()
            .record_link_up(key, incarnation, clock::now());
        if hello.leaving {
            self.members.borrow_mut().record_leaving(key, incarnation);
        }
        self.update_usability(key);
        self.notify_boxes_changed();
        tracing::info!(event = "link_up", name = %member.name, incarnation = %incarnation);
        if member.role == Role::Backend {
            let reports = self
                .clone()
                .receive_reports(key, member.clone(), link.clone());
            let updates = self
                .clone()
                .keep_server_informed(key, member.name.clone(), link.clone());
            actix_rt::spawn(reports);
            actix_rt::spawn(updates);
        }
        link.closed().await;
        self.links.remove(key);
        self.members
            .borrow_mut()
            .record_link_down(key, clock::now());
        self.update_usability(key);
        if member.role == Role::Entry {
            self.claims.borrow_mut().record_holder_lost(incarnation);
        }
        self.notify_boxes_changed();
        tracing::warn!(event = "link_down", name = %member.name, incarnation = %incarnation);
    }

    /// Receives a backend server's status reports until its link is closed.
    async fn receive_reports(self: Rc<Self>, key: BoxKey, member: Member, link: Link) {
        let reports = async {
            let mut stream = link.open().await?;
            stream
                .send(&Request::Follow {
                    entry: self.process.hello.incarnation,
                })
                .await?;
            stream.finish();
            loop {
                if let Reply::Status(status) = stream.receive::<Reply>().await? {
                    self.record_status(key, &member, status);
                }
            }
        };
        let result: Result<(), Error> = reports.await;
        if let Err(error) = result {
            tracing::debug!(event = "reports_ended", %error);
        }
    }

    fn record_status(&self, key: BoxKey, member: &Member, status: Status) {
        if status.leaving {
            let incarnation = self.members.borrow().get(key).and_then(Member::incarnation);
            // A drained server may return, so only a stopping one is recorded as leaving.
            if let (Some(incarnation), true) = (incarnation, self.is_stopping(&member.name)) {
                self.members.borrow_mut().record_leaving(key, incarnation);
            }
        }
        self.links.record_revision(key, status.revision);
        let is_usable = self.liveness(key) == Liveness::Alive && !status.leaving;
        let mut fleet = self.fleet.borrow_mut();
        fleet.record_status(key, &member.name, &member.zone, &status, is_usable);
        drop(fleet);
        self.links.statuses.borrow_mut().insert(key, status);
        self.notify_boxes_changed();
    }

    fn is_stopping(&self, server: &Name) -> bool {
        use gingerpier_catalogue::model::Withdrawal;
        let catalogue = self.process.catalogue_state.catalogue();
        catalogue.withdrawal(server) == Some(Withdrawal::Stop)
    }
}
