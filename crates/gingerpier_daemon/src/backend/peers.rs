//! Links of a backend server: requests of entry boxes and of other backend servers.

use {
    super::{Backend, weights_server::LastSent},
    crate::{catalogue_state::UpdateSource, clock},
    gingerpier_base::{
        Name,
        place::{Incarnation, Role},
    },
    gingerpier_link::{Error, Identity, Link, Step, Stream},
    gingerpier_membership::Listing,
    gingerpier_wire::{
        Reply, Request,
        frame::{Inform, Peer},
    },
    std::{
        cell::{Cell, RefCell},
        collections::{BTreeMap, BTreeSet},
        rc::{Rc, Weak},
        time::Duration,
    },
    tokio::sync::Mutex,
};

/// Interval of status reports without a change.
const MAX_REPORT_INTERVAL_MILLIS: u64 = 5_000;
/// Minimum interval between two status reports.
const MIN_REPORT_INTERVAL_MILLIS: u64 = 100;

/// Known backend servers and the links to them.
#[derive(Default)]
pub struct PeerDirectory {
    boxes: RefCell<BTreeMap<Name, Peer>>,
    /// Latest list of each connected entry box, by link.
    peers_by_link: RefCell<BTreeMap<usize, Vec<Peer>>>,
    /// Incremented when the merged list changes.
    generation: Cell<u64>,
    /// Links to backend servers; the lock is held while a link is being established.
    links: RefCell<BTreeMap<Name, Rc<Mutex<Option<Link>>>>>,
    backend: RefCell<Weak<Backend>>,
}

impl PeerDirectory {
    /// Returns those of `names` that are known and not leaving.
    pub fn available_peers(&self, names: &BTreeSet<&Name>) -> Vec<Peer> {
        let boxes = self.boxes.borrow();
        let known = names.iter().filter_map(|name| boxes.get(*name));
        known
            .filter(|peer| peer.listing != Listing::Leaving)
            .cloned()
            .collect()
    }

    /// Returns a number that is incremented when the known servers change.
    pub fn generation(&self) -> u64 {
        self.generation.get()
    }

    /// Replaces the list of an entry box.
    ///
    /// The lists are merged, as entry boxes discover a server at different times: it is known if
    /// one list has it, and leaving if one list says so.
    fn replace_list(&self, link: &Link, peers: &[Peer]) {
        self.peers_by_link
            .borrow_mut()
            .insert(link.id(), peers.to_vec());
        self.merge();
    }

    /// Returns the slot for the link to a backend server.
    fn link(&self, name: &Name) -> Rc<Mutex<Option<Link>>> {
        let mut links = self.links.borrow_mut();
        links.entry(name.clone()).or_default().clone()
    }

    /// Removes the list of a disconnected entry box.
    fn remove_list(&self, link: &Link) {
        if self.peers_by_link.borrow_mut().remove(&link.id()).is_some() {
            self.merge();
        }
    }

    fn merge(&self) {
        let mut merged: BTreeMap<Name, Peer> = BTreeMap::new();
        for peer in self.peers_by_link.borrow().values().flatten() {
            let merged_peer = merged
                .entry(peer.name.clone())
                .or_insert_with(|| peer.clone());
            merged_peer.listing = merged_peer.listing.max(peer.listing);
        }
        if *self.boxes.borrow() != merged {
            self.boxes.replace(merged);
            self.generation.set(self.generation.get() + 1);
        }
    }
}

impl Backend {
    /// Spawns the task that accepts links.
    pub fn spawn_link_server(self: Rc<Self>) {
        self.directory.backend.replace(Rc::downgrade(&self));
        actix_rt::spawn(async move {
            let backend = self.clone();
            self.process
                .accept(move |link| backend.clone().serve_link(link))
                .await;
        });
    }

    /// Returns a strong reference for use in a spawned task.
    pub fn to_rc(&self) -> Option<Rc<Self>> {
        self.directory.backend.borrow().upgrade()
    }

    async fn serve_link(self: Rc<Self>, link: Link) {
        let last_sent = Rc::<LastSent>::default();
        while let Ok(stream) = link.accept().await {
            let backend = self.clone();
            let (link, last_sent) = (link.clone(), last_sent.clone());
            actix_rt::spawn(async move { backend.serve_stream(stream, link, last_sent).await });
        }
        self.directory.remove_list(&link);
    }

    async fn serve_stream(&self, mut stream: Stream, link: Link, last_sent: Rc<LastSent>) {
        let request = match stream.receive::<Request>().await {
            Ok(request) => request,
            Err(error) => {
                tracing::warn!(event = "request_refused", %error);
                stream.reset();
                return;
            }
        };
        let from_entry = link.peer().role == Role::Entry;
        match request {
            Request::Hello(_) => {
                let result = stream.send(&Reply::Hello(self.process.hello())).await;
                finish_response(result, stream).await;
            }
            Request::Chunk {
                version,
                index,
                offset,
                wait,
            } => {
                self.serve_chunk(stream, last_sent, version, index, offset, wait)
                    .await;
            }
            Request::ManifestOf { version, wait } => {
                self.serve_manifest(stream, last_sent, version, wait).await;
            }
            Request::Attempt(attempt) if from_entry => {
                self.serve_attempt(stream, attempt, &link).await;
            }
            Request::Revoke { key, addressed } if from_entry => {
                let revoked = self.attempts.revoke(key, addressed);
                let result = stream.send(&Reply::Revoked(revoked)).await;
                finish_response(result, stream).await;
            }
            Request::Follow { entry } if from_entry => self.report_status(stream, entry).await,
            Request::Inform(inform) if from_entry => {
                self.apply_inform(stream, &inform, &link).await
            }
            _ => {
                tracing::warn!(event = "request_refused", peer = %link.peer(),
                    why = "the peer's role may not ask this");
                stream.reset();
            }
        }
    }

    async fn apply_inform(&self, mut stream: Stream, inform: &Inform, link: &Link) {
        self.process
            .catalogue_state
            .apply_inform(inform, UpdateSource::OwnZone);
        if !inform.boxes.is_empty() {
            self.directory.replace_list(link, &inform.boxes);
        }
        let revision = self.process.catalogue_state.revision();
        if inform
            .confirmed
            .is_some_and(|confirmed| revision >= confirmed)
        {
            self.record_confirmation();
        }
        let result = stream.send(&Reply::Informed { revision }).await;
        finish_response(result, stream).await;
    }

    /// Reports the status when it changes, and at a fixed interval otherwise.
    async fn report_status(&self, mut stream: Stream, entry: Incarnation) {
        let mut changes = self.status_changes();
        loop {
            changes.mark_unchanged();
            let status = self.status(entry);
            if stream.send(&Reply::Status(status.clone())).await.is_err() {
                return;
            }
            clock::pause(MIN_REPORT_INTERVAL_MILLIS).await;
            let next_report_at = clock::now().after_millis(MAX_REPORT_INTERVAL_MILLIS);
            while self.status(entry) == status && !next_report_at.has_passed(clock::now()) {
                // The status may be the same after a notification.
                let changed = changes.changed();
                let _ = clock::before(next_report_at, changed).await;
            }
        }
    }

    /// Returns the link to another backend server if it is established.
    pub fn existing_link(&self, name: &Name) -> Option<Link> {
        self.directory.link(name).try_lock().ok()?.clone()
    }

    /// Returns the link to another backend server; establishes it if there is none.
    ///
    /// Concurrent callers wait for one handshake instead of each starting its own, which would
    /// delay the last ones beyond the stall deadline.
    ///
    /// # Errors
    ///
    /// Fails if the server can't be reached.
    pub async fn connect_to(&self, peer: &Peer) -> Result<Link, Error> {
        let link_slot = self.directory.link(&peer.name);
        let mut link_guard = link_slot.lock().await;
        if let Some(link) = link_guard.as_ref().filter(|link| !link.is_closed()) {
            return Ok(link.clone());
        }
        let address = peer.address.parse();
        let address = address.map_err(|cause| Error::new(Step::Connect, &peer.name, cause))?;
        let identity = Identity {
            role: Role::Backend,
            name: peer.name.clone(),
        };
        let connect_started_at = clock::now();
        let link = self.process.connect(address, &identity).await?;
        let took_millis = clock::now().millis_since(connect_started_at);
        tracing::info!(event = "link_made", peer = %peer.name, took_millis);
        link_guard.replace(link.clone());
        // The peer may send requests on the same link.
        if let Some(backend) = self.to_rc() {
            actix_rt::spawn(backend.serve_link(link.clone()));
        }
        Ok(link)
    }
}

/// Finishes a response and waits for a limited time until the peer has received it.
pub(crate) async fn finish_response(result: Result<(), Error>, mut stream: Stream) {
    const TIMEOUT: Duration = Duration::from_secs(5);
    if result.is_ok() {
        stream.finish();
        // A peer that doesn't read the end loses nothing.
        let _ = actix_rt::time::timeout(TIMEOUT, stream.wait_until_stopped()).await;
    }
}
