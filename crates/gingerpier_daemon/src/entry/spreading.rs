//! How the configuration reaches every process.
//!
//! A few entry boxes of each zone watch the key-value service. Whoever learns of a revision there
//! tells the entry boxes of its own zone and two of each other zone; whoever hears it from another
//! zone tells its own. Every entry box compares notes with a random other one every two seconds,
//! which heals whatever was lost. Backend servers hear from the entry boxes of their zone: each
//! server has a rendezvous order of them, and those later in the order wait a little longer and
//! find, as a rule, that the server has reported the revision already.

use {
    super::Entry,
    crate::{catalogue_state::Origin, clock},
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

/// Milliseconds between comparisons with a random other entry box.
const COMPARE_MILLIS: u64 = 2_000;
/// Milliseconds that each place in a server's order of entry boxes waits longer.
const RANK_MILLIS: u64 = 300;
/// Milliseconds between looks at a server that is behind.
const LOOK_MILLIS: u64 = 1_000;
/// Entry boxes of another zone that are told at once.
const TOLD_IN_OTHER_ZONES: usize = 2;
/// Time for an answer.
const PATIENCE: Duration = Duration::from_secs(3);

impl Entry {
    /// Spreads revisions for as long as the process runs.
    pub fn spawn_propagation(self: Rc<Self>) {
        let telling = self.clone();
        actix_rt::spawn(async move {
            let mut revisions = telling.process.catalogue_state.subscribe();
            while revisions.changed().await.is_ok() {
                telling.clone().tell_entries();
            }
        });
        actix_rt::spawn(async move {
            loop {
                self.compare().await;
                clock::pause(COMPARE_MILLIS).await;
            }
        });
    }

    fn tell_entries(self: Rc<Self>) {
        let own_zone = &self.process.hello.zone;
        let mut others: BTreeMap<Zone, Vec<(BoxKey, Name)>> = BTreeMap::new();
        for (key, member) in self.members.borrow().iter() {
            if member.role == Role::Entry && self.links.get(key).is_some() {
                others
                    .entry(member.zone.clone())
                    .or_default()
                    .push((key, member.name.clone()));
            }
        }
        let origin = self.process.catalogue_state.origin();
        let revision = self.process.catalogue_state.revision();
        for (zone, mut members) in others {
            let most = match (origin, zone == *own_zone) {
                (Origin::KeyValue | Origin::OtherZone, true) => usize::MAX,
                (Origin::KeyValue, false) => TOLD_IN_OTHER_ZONES,
                (Origin::OwnZone, _) | (Origin::OtherZone, false) => 0,
            };
            order::sort_by_score(revision.0, &mut members, |(_, name)| order::hash(name));
            for (key, _) in members.into_iter().take(most) {
                let entry = self.clone();
                actix_rt::spawn(async move { entry.tell_entry(key).await });
            }
        }
    }

    async fn tell_entry(&self, key: BoxKey) {
        let Some(link) = self.links.get(key) else {
            return;
        };
        let known = self.links.revision(key);
        if known >= self.process.catalogue_state.revision() {
            return;
        }
        // What the other knows is not known for sure; a gap makes it ask.
        let known = if known.0 == 0 {
            Revision(self.process.catalogue_state.revision().0 - 1)
        } else {
            known
        };
        self.tell(
            key,
            &link,
            self.process.catalogue_state.changes_since(known),
        )
        .await;
    }

    /// Sends what a process lacks, and notes the revision that it has then.
    pub async fn tell(&self, key: BoxKey, link: &Link, inform: Inform) {
        match actix_rt::time::timeout(PATIENCE, inform_over(link, &inform)).await {
            Ok(Ok(revision)) => self.links.record_revision(key, revision),
            Ok(Err(error)) => tracing::debug!(event = "inform_lost", %error),
            Err(_) => tracing::debug!(event = "inform_slow", peer = %link.peer()),
        }
    }

    /// Compares notes with a random other entry box.
    async fn compare(&self) {
        let linked = self.linked_entries();
        if linked.is_empty() {
            return;
        }
        let (key, zone) = &linked[fastrand::usize(..linked.len())];
        self.sync_with(*key, zone).await;
    }

    fn linked_entries(&self) -> Vec<(BoxKey, Zone)> {
        let members = self.members.borrow();
        let linked = members
            .iter()
            .filter(|(key, member)| member.role == Role::Entry && self.links.get(*key).is_some());
        linked
            .map(|(key, member)| (key, member.zone.clone()))
            .collect()
    }

    /// Asks an entry box for what is lacking here.
    pub async fn sync_with(&self, key: BoxKey, zone: &Zone) {
        let Some(link) = self.links.get(key) else {
            return;
        };
        let revision = self.process.catalogue_state.revision();
        let asked = async {
            let mut stream = link.open().await?;
            stream.send(&Request::Sync { revision }).await?;
            stream.finish();
            stream.receive::<Reply>().await
        };
        match actix_rt::time::timeout(PATIENCE, asked).await {
            Ok(Ok(Reply::News(inform))) => {
                let own = *zone == self.process.hello.zone;
                let origin = if own {
                    Origin::OwnZone
                } else {
                    Origin::OtherZone
                };
                self.process.catalogue_state.apply_inform(&inform, origin);
                self.links.record_revision(key, inform.revision);
            }
            Ok(Ok(other)) => tracing::warn!(event = "sync_refused", answer = ?other),
            Ok(Err(error)) => tracing::debug!(event = "sync_lost", %error),
            Err(_) => tracing::debug!(event = "sync_slow", peer = %link.peer()),
        }
    }

    /// Keeps a backend server informed until its link is down.
    pub async fn inform_server(self: Rc<Self>, key: BoxKey, name: Name, link: Link) {
        let mut revisions = self.process.catalogue_state.subscribe();
        let mut boxes = self.box_changes.subscribe();
        let mut told_boxes = Vec::new();
        while !link.is_closed() {
            let zone = self.process.hello.zone.name.clone();
            let rank = self.rank(order::hash(&name), Some(&zone)) as u64;
            clock::pause(RANK_MILLIS * rank).await;
            self.inform_once(key, &link, &mut told_boxes).await;
            let look = Duration::from_millis(LOOK_MILLIS);
            let changed = async {
                tokio::select! {
                    _ = revisions.changed() => {}
                    _ = boxes.changed() => clock::pause(RANK_MILLIS / 3).await,
                }
            };
            // Without a change, the look is taken all the same.
            let _ = actix_rt::time::timeout(look, changed).await;
        }
    }

    async fn inform_once(&self, key: BoxKey, link: &Link, told_boxes: &mut Vec<Peer>) {
        // Until its first report, it is not known what the server lacks.
        let Some(status) = self.links.status(key) else {
            return;
        };
        let peers = self.server_peers();
        let behind = self.links.revision(key) < self.process.catalogue_state.revision();
        let confirmed = if status.confirmed {
            None
        } else {
            self.store_confirmation().await
        };
        let new_boxes = *told_boxes != peers;
        if !behind && !new_boxes && confirmed.is_none() {
            return;
        }
        let mut inform = self
            .process
            .catalogue_state
            .changes_since(self.links.revision(key));
        inform.confirmed = confirmed;
        if new_boxes {
            inform.boxes.clone_from(&peers);
        }
        self.tell(key, link, inform).await;
        *told_boxes = peers;
    }

    /// Backend servers, as weights' plans need them.
    fn server_peers(&self) -> Vec<Peer> {
        let members = self.members.borrow();
        let servers = members
            .iter()
            .filter(|(_, member)| member.role == Role::Backend);
        let servers = servers.filter(|(_, member)| is_known(member));
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

/// A box that was never reached may not be there yet.
fn is_known(member: &Member) -> bool {
    member.incarnation().is_some()
}

async fn inform_over(link: &Link, inform: &Inform) -> Result<Revision, Error> {
    let mut stream = link.open().await?;
    stream.send(&Request::Inform(inform.clone())).await?;
    stream.finish();
    match stream.receive::<Reply>().await? {
        Reply::Informed { revision } => Ok(revision),
        _ => Ok(Revision::default()),
    }
}
