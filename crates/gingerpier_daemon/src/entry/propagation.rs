//! Propagation of the catalogue to all processes.
//!
//! Some entry boxes of each zone watch the key-value service. One that reads a new revision there
//! sends it to the entry boxes of its zone and to two of each other zone; one that receives it from
//! another zone sends it to its own zone. Each entry box also synchronizes with a random other one
//! at an interval, which repairs lost updates.
//!
//! Backend servers get updates from the entry boxes of their zone. For each server these are ranked
//! by a rendezvous order; lower ranks wait longer and skip the update if the server has reported
//! the revision by then.

use {
    super::Entry,
    crate::{catalogue_state::UpdateSource, clock},
    gingerpier_base::{
        Name, order,
        place::{Role, Zone},
    },
    gingerpier_catalogue::Revision,
    gingerpier_link::{Error, Link},
    gingerpier_membership::{BoxKey, Listing, Liveness, Member},
    gingerpier_wire::{
        Reply, Request,
        frame::{Inform, Peer},
    },
    std::{collections::BTreeMap, rc::Rc, time::Duration},
};

/// Interval between synchronizations with a random other entry box.
const SYNC_INTERVAL_MILLIS: u64 = 2_000;
/// Delay of an update to a backend server for each rank.
const RANK_DELAY_MILLIS: u64 = 300;
/// Interval between checks whether a backend server is behind.
const POLL_INTERVAL_MILLIS: u64 = 1_000;
/// Entry boxes of each other zone that get an update directly.
const MAX_RECIPIENTS_PER_OTHER_ZONE: usize = 2;
/// Timeout of a response.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(3);

impl Entry {
    /// Spawns the tasks that send and synchronize revisions.
    pub fn spawn_propagation(self: Rc<Self>) {
        let sender = self.clone();
        actix_rt::spawn(async move {
            let mut revisions = sender.process.catalogue_state.subscribe();
            while revisions.changed().await.is_ok() {
                sender.clone().send_to_entries();
            }
        });
        actix_rt::spawn(async move {
            loop {
                self.sync_with_random_entry().await;
                clock::pause(SYNC_INTERVAL_MILLIS).await;
            }
        });
    }

    fn send_to_entries(self: Rc<Self>) {
        let own_zone = &self.process.hello.zone;
        let mut entries_by_zone: BTreeMap<Zone, Vec<(BoxKey, Name)>> = BTreeMap::new();
        for (key, member) in self.members.borrow().iter() {
            if member.role == Role::Entry && self.links.get(key).is_some() {
                entries_by_zone
                    .entry(member.zone.clone())
                    .or_default()
                    .push((key, member.name.clone()));
            }
        }
        let source = self.process.catalogue_state.update_source();
        let revision = self.process.catalogue_state.revision();
        for (zone, mut members) in entries_by_zone {
            let max_recipients = match (source, zone == *own_zone) {
                (UpdateSource::KeyValue | UpdateSource::OtherZone, true) => usize::MAX,
                (UpdateSource::KeyValue, false) => MAX_RECIPIENTS_PER_OTHER_ZONE,
                (UpdateSource::OwnZone, _) | (UpdateSource::OtherZone, false) => 0,
            };
            order::sort_by_score(revision.0, &mut members, |(_, name)| order::hash(name));
            for (key, _) in members.into_iter().take(max_recipients) {
                let entry = self.clone();
                actix_rt::spawn(async move { entry.send_to_entry(key).await });
            }
        }
    }

    async fn send_to_entry(&self, key: BoxKey) {
        let Some(link) = self.links.get(key) else {
            return;
        };
        let known_revision = self.links.revision(key);
        if known_revision >= self.process.catalogue_state.revision() {
            return;
        }
        // The peer's revision is unknown; if it misses more records, it requests them.
        let known_revision = if known_revision.0 == 0 {
            Revision(self.process.catalogue_state.revision().0 - 1)
        } else {
            known_revision
        };
        self.send_update(
            key,
            &link,
            self.process.catalogue_state.changes_since(known_revision),
        )
        .await;
    }

    /// Sends an update and records the resulting revision of the peer.
    pub async fn send_update(&self, key: BoxKey, link: &Link, update: Inform) {
        match actix_rt::time::timeout(RESPONSE_TIMEOUT, send_inform(link, &update)).await {
            Ok(Ok(revision)) => self.links.record_revision(key, revision),
            Ok(Err(error)) => tracing::debug!(event = "inform_lost", %error),
            Err(_) => tracing::debug!(event = "inform_slow", peer = %link.peer()),
        }
    }

    /// Synchronizes with a random other entry box.
    async fn sync_with_random_entry(&self) {
        let linked_entries = self.entries_with_links();
        if linked_entries.is_empty() {
            return;
        }
        let (key, zone) = &linked_entries[fastrand::usize(..linked_entries.len())];
        self.sync_with(*key, zone).await;
    }

    fn entries_with_links(&self) -> Vec<(BoxKey, Zone)> {
        let members = self.members.borrow();
        let linked_entries = members
            .iter()
            .filter(|(key, member)| member.role == Role::Entry && self.links.get(*key).is_some());
        linked_entries
            .map(|(key, member)| (key, member.zone.clone()))
            .collect()
    }

    /// Requests the records that are missing here.
    pub async fn sync_with(&self, key: BoxKey, zone: &Zone) {
        let Some(link) = self.links.get(key) else {
            return;
        };
        let revision = self.process.catalogue_state.revision();
        let response = async {
            let mut stream = link.open().await?;
            stream.send(&Request::Sync { revision }).await?;
            stream.finish();
            stream.receive::<Reply>().await
        };
        match actix_rt::time::timeout(RESPONSE_TIMEOUT, response).await {
            Ok(Ok(Reply::News(update))) => {
                let is_own_zone = *zone == self.process.hello.zone;
                let source = if is_own_zone {
                    UpdateSource::OwnZone
                } else {
                    UpdateSource::OtherZone
                };
                self.process.catalogue_state.apply_inform(&update, source);
                self.links.record_revision(key, update.revision);
            }
            Ok(Ok(other)) => tracing::warn!(event = "sync_refused", answer = ?other),
            Ok(Err(error)) => tracing::debug!(event = "sync_lost", %error),
            Err(_) => tracing::debug!(event = "sync_slow", peer = %link.peer()),
        }
    }

    /// Sends updates to a backend server until its link is closed.
    pub async fn keep_server_informed(self: Rc<Self>, key: BoxKey, name: Name, link: Link) {
        let mut revisions = self.process.catalogue_state.subscribe();
        let mut boxes = self.box_changes.subscribe();
        let mut sent_boxes = Vec::new();
        while !link.is_closed() {
            let zone = self.process.hello.zone.name.clone();
            let rank = self.rank(order::hash(&name), Some(&zone)) as u64;
            clock::pause(RANK_DELAY_MILLIS * rank).await;
            self.update_server(key, &link, &mut sent_boxes).await;
            let timeout = Duration::from_millis(POLL_INTERVAL_MILLIS);
            let changed = async {
                tokio::select! {
                    _ = revisions.changed() => {}
                    _ = boxes.changed() => clock::pause(RANK_DELAY_MILLIS / 3).await,
                }
            };
            // The check is also repeated without a change.
            let _ = actix_rt::time::timeout(timeout, changed).await;
        }
    }

    async fn update_server(&self, key: BoxKey, link: &Link, sent_boxes: &mut Vec<Peer>) {
        // The server's revision is unknown until its first report.
        let Some(status) = self.links.status(key) else {
            return;
        };
        let peers = self.server_peers();
        let is_behind = self.links.revision(key) < self.process.catalogue_state.revision();
        let confirmed = if status.confirmed {
            None
        } else {
            self.read_confirmed_revision().await
        };
        let has_new_boxes = *sent_boxes != peers;
        if !is_behind && !has_new_boxes && confirmed.is_none() {
            return;
        }
        let mut update = self
            .process
            .catalogue_state
            .changes_since(self.links.revision(key));
        update.confirmed = confirmed;
        if has_new_boxes {
            update.boxes.clone_from(&peers);
        }
        self.send_update(key, link, update).await;
        *sent_boxes = peers;
    }

    /// Returns the backend servers that plans for weights may use.
    fn server_peers(&self) -> Vec<Peer> {
        let members = self.members.borrow();
        let servers = members
            .iter()
            .filter(|(_, member)| member.role == Role::Backend);
        let servers = servers.filter(|(_, member)| was_reached(member));
        servers
            .map(|(key, member)| self.peer(key, member))
            .collect()
    }

    fn peer(&self, key: BoxKey, member: &Member) -> Peer {
        let leaving = self.members.borrow().liveness(key, clock::now()) == Liveness::Leaving;
        Peer {
            name: member.name.clone(),
            role: member.role,
            zone: member.zone.clone(),
            address: member.address.clone(),
            listing: if leaving {
                Listing::Leaving
            } else {
                Listing::Live
            },
            incarnation: member.incarnation(),
        }
    }
}

/// Returns true if the box has ever been reached.
fn was_reached(member: &Member) -> bool {
    member.incarnation().is_some()
}

async fn send_inform(link: &Link, update: &Inform) -> Result<Revision, Error> {
    let mut stream = link.open().await?;
    stream.send(&Request::Inform(update.clone())).await?;
    stream.finish();
    match stream.receive::<Reply>().await? {
        Reply::Informed { revision } => Ok(revision),
        _ => Ok(Revision::default()),
    }
}
