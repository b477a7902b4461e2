//! Boxes and links: the box list read, a link kept to each box, its reports taken.

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

/// Milliseconds between reads of the box list.
const LIST_MILLIS: u64 = 1_000;
/// Time for the box list's answer.
const LIST_PATIENCE: Duration = Duration::from_secs(2);
/// Time for a link to be made and greeted.
const CONNECT_PATIENCE: Duration = Duration::from_secs(2);
/// Milliseconds before a link is tried again, doubled up to [`MOST_RETRY_MILLIS`].
const RETRY_MILLIS: u64 = 100;
const MOST_RETRY_MILLIS: u64 = 2_000;

/// Links of an entry box, and the revisions at their other ends.
#[derive(Default)]
pub struct Links {
    links: RefCell<BTreeMap<BoxKey, Link>>,
    revisions: RefCell<BTreeMap<BoxKey, Revision>>,
    statuses: RefCell<BTreeMap<BoxKey, Status>>,
}

impl Links {
    /// Link to a box, where it is up.
    pub fn get(&self, key: BoxKey) -> Option<Link> {
        self.links.borrow().get(&key).cloned()
    }

    /// Boxes with links that are up.
    pub fn keys(&self) -> Vec<BoxKey> {
        self.links.borrow().keys().copied().collect()
    }

    /// Revision in force at a box, as far as known.
    pub fn revision(&self, key: BoxKey) -> Revision {
        self.revisions
            .borrow()
            .get(&key)
            .copied()
            .unwrap_or_default()
    }

    /// Notes the revision in force at a box.
    pub fn record_revision(&self, key: BoxKey, revision: Revision) {
        let mut revisions = self.revisions.borrow_mut();
        let held = revisions.entry(key).or_default();
        *held = revision.max(*held);
    }

    /// Last status of a backend server.
    pub fn status(&self, key: BoxKey) -> Option<Status> {
        self.statuses.borrow().get(&key).cloned()
    }

    fn up(&self, key: BoxKey, link: Link) {
        self.links.borrow_mut().insert(key, link);
        // Another run of the process may be behind.
        self.revisions.borrow_mut().remove(&key);
        self.statuses.borrow_mut().remove(&key);
    }

    fn down(&self, key: BoxKey) {
        self.links.borrow_mut().remove(&key);
        self.revisions.borrow_mut().remove(&key);
        self.statuses.borrow_mut().remove(&key);
    }
}

impl Entry {
    /// Reads the box list and keeps links for as long as the process runs.
    pub fn spawn_link_maintenance(self: Rc<Self>) {
        actix_rt::spawn(async move {
            loop {
                self.read_box_list().await;
                self.clone().sweep_boxes();
                clock::pause(LIST_MILLIS).await;
            }
        });
    }

    async fn read_box_list(self: &Rc<Self>) {
        let http = &self.process.http;
        let read = box_list::read(http, &self.settings.box_list, LIST_PATIENCE, clock::now()).await;
        let listed = match read {
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
                    self.process.leave();
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
            keys.push(self.meet(&entry.name, role, &zone, &entry.address, listing));
        }
        self.members.borrow_mut().record_list_end(&keys);
    }

    /// Notes a box; a link to it is kept from now on, where it is new.
    pub fn meet(
        self: &Rc<Self>,
        name: &Name,
        role: Role,
        zone: &Zone,
        address: &str,
        listing: Listing,
    ) -> BoxKey {
        let known = self.members.borrow().key_of(name);
        let before = known.map(|key| self.standing(key));
        let key = self
            .members
            .borrow_mut()
            .record_listing(name, role, zone, address, listing);
        if before != Some(self.standing(key)) {
            self.refresh_standing(key);
            self.boxes_changed();
        }
        if known.is_none() {
            actix_rt::spawn(self.clone().keep_link(key));
        }
        key
    }

    /// Gives or takes a server's engines their place in the pools.
    pub fn refresh_standing(&self, key: BoxKey) {
        let usable = self.standing(key) == Liveness::Alive;
        let leaving = self.links.status(key).is_some_and(|status| status.leaving);
        self.fleet.borrow_mut().set_usable(key, usable && !leaving);
    }

    fn sweep_boxes(self: Rc<Self>) {
        let keys: Vec<BoxKey> = self.members.borrow().iter().map(|(key, _)| key).collect();
        for key in &keys {
            self.refresh_standing(*key);
        }
        let gone = self.members.borrow_mut().remove_gone(clock::now());
        for member in &gone {
            tracing::info!(event = "box_gone", name = %member.name);
        }
        let members = self.members.borrow();
        for key in keys.iter().filter(|key| members.get(**key).is_none()) {
            self.fleet.borrow_mut().forget(*key);
        }
        drop(members);
        if !gone.is_empty() {
            self.boxes_changed();
        }
    }

    /// Keeps a link to a box for as long as the box is known.
    async fn keep_link(self: Rc<Self>, key: BoxKey) {
        let mut pause = RETRY_MILLIS;
        loop {
            let Some(member) = self.members.borrow().get(key).cloned() else {
                return;
            };
            match timeout(CONNECT_PATIENCE, self.greet(&member)).await {
                Ok(Ok((link, hello))) => {
                    pause = RETRY_MILLIS;
                    self.clone().use_link(key, &member, link, &hello).await;
                }
                Ok(Err(error)) => tracing::debug!(event = "box_unreachable", %error),
                Err(_) => tracing::debug!(event = "box_silent", name = %member.name),
            }
            clock::pause(pause).await;
            pause = (2 * pause).min(MOST_RETRY_MILLIS);
        }
    }

    async fn greet(&self, member: &Member) -> Result<(Link, Hello), Error> {
        let address = member.address.parse();
        let address = address.map_err(|what| Error::new(Step::Connect, &member.name, what))?;
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

    /// Works with a link until it is down.
    async fn use_link(self: Rc<Self>, key: BoxKey, member: &Member, link: Link, hello: &Hello) {
        let incarnation = hello.incarnation;
        self.links.up(key, link.clone());
        self.members
            .borrow_mut()
            .record_link_up(key, incarnation, clock::now());
        if hello.leaving {
            self.members.borrow_mut().record_leaving(key, incarnation);
        }
        self.refresh_standing(key);
        self.boxes_changed();
        tracing::info!(event = "link_up", name = %member.name, incarnation = %incarnation);
        if member.role == Role::Backend {
            let following = self.clone().follow(key, member.clone(), link.clone());
            let informing = self
                .clone()
                .inform_server(key, member.name.clone(), link.clone());
            actix_rt::spawn(following);
            actix_rt::spawn(informing);
        }
        link.closed().await;
        self.links.down(key);
        self.members
            .borrow_mut()
            .record_link_down(key, clock::now());
        self.refresh_standing(key);
        if member.role == Role::Entry {
            self.claims.borrow_mut().record_holder_lost(incarnation);
        }
        self.boxes_changed();
        tracing::warn!(event = "link_down", name = %member.name, incarnation = %incarnation);
    }

    /// Takes a backend server's reports until its link is down.
    async fn follow(self: Rc<Self>, key: BoxKey, member: Member, link: Link) {
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
                    self.take_status(key, &member, status);
                }
            }
        };
        let ended: Result<(), Error> = reports.await;
        if let Err(error) = ended {
            tracing::debug!(event = "reports_ended", %error);
        }
    }

    fn take_status(&self, key: BoxKey, member: &Member, status: Status) {
        if status.leaving {
            let incarnation = self.members.borrow().get(key).and_then(Member::incarnation);
            // A drain can be taken back; only the process's own end is for good, and its
            // greeting and its closed link tell that.
            if let (Some(incarnation), true) = (incarnation, self.is_stopping(&member.name)) {
                self.members.borrow_mut().record_leaving(key, incarnation);
            }
        }
        self.links.record_revision(key, status.revision);
        let usable = self.standing(key) == Liveness::Alive && !status.leaving;
        let mut fleet = self.fleet.borrow_mut();
        fleet.take(key, &member.name, &member.zone, &status, usable);
        drop(fleet);
        self.links.statuses.borrow_mut().insert(key, status);
        self.boxes_changed();
    }

    fn is_stopping(&self, server: &Name) -> bool {
        use gingerpier_catalogue::model::Withdrawal;
        let catalogue = self.process.catalogue_state.catalogue();
        catalogue.withdrawal(server) == Some(Withdrawal::Stop)
    }
}
