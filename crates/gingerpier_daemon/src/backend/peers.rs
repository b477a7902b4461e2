//! Links at a backend server: what entry boxes and other backend servers ask of it.

use {
    super::{Backend, serving::Voice},
    crate::{clock, ledger::Origin},
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

/// The longest time between two reports of state, in milliseconds; the link itself tells sooner
/// that the box is gone.
const REPORT_MILLIS: u64 = 5_000;
/// The shortest time between two reports of state, in milliseconds.
const LEAST_REPORT_MILLIS: u64 = 100;

/// Other backend servers, and links to them.
#[derive(Default)]
pub struct Book {
    boxes: RefCell<BTreeMap<Name, Peer>>,
    /// What each entry box in reach knows, by its link.
    lists: RefCell<BTreeMap<usize, Vec<Peer>>>,
    /// Rises whenever the boxes change.
    generation: Cell<u64>,
    /// Links to other backend servers, each locked while it is being made.
    links: RefCell<BTreeMap<Name, Rc<Mutex<Option<Link>>>>>,
    this: RefCell<Weak<Backend>>,
}

impl Book {
    /// Boxes of `names` that are known and do not leave.
    pub fn boxes_named(&self, names: &BTreeSet<&Name>) -> Vec<Peer> {
        let boxes = self.boxes.borrow();
        let known = names.iter().filter_map(|name| boxes.get(*name));
        known
            .filter(|peer| peer.listing != Listing::Leaving)
            .cloned()
            .collect()
    }

    /// Number that rises whenever the boxes change.
    pub fn generation(&self) -> u64 {
        self.generation.get()
    }

    /// Takes what an entry box knows of boxes.
    ///
    /// Entry boxes learn of a box at different times, so a box that one of them knows is known;
    /// that one of them knows it to leave counts too.
    fn take(&self, link: &Link, peers: &[Peer]) {
        self.lists.borrow_mut().insert(link.id(), peers.to_vec());
        self.merge();
    }

    /// Link to a backend server, where there is one.
    fn link(&self, name: &Name) -> Rc<Mutex<Option<Link>>> {
        let mut links = self.links.borrow_mut();
        links.entry(name.clone()).or_default().clone()
    }

    /// Forgets what an entry box told on a link that is down.
    fn forget(&self, link: &Link) {
        if self.lists.borrow_mut().remove(&link.id()).is_some() {
            self.merge();
        }
    }

    fn merge(&self) {
        let mut merged: BTreeMap<Name, Peer> = BTreeMap::new();
        for peer in self.lists.borrow().values().flatten() {
            let held = merged
                .entry(peer.name.clone())
                .or_insert_with(|| peer.clone());
            held.listing = held.listing.max(peer.listing);
        }
        if *self.boxes.borrow() != merged {
            self.boxes.replace(merged);
            self.generation.set(self.generation.get() + 1);
        }
    }
}

impl Backend {
    /// Serves links for as long as the process runs.
    pub fn install_peers(self: Rc<Self>) {
        self.book.this.replace(Rc::downgrade(&self));
        actix_rt::spawn(async move {
            let backend = self.clone();
            self.process
                .accept(move |link| backend.clone().serve_link(link))
                .await;
        });
    }

    /// This backend, for a task of its own.
    pub fn strong(&self) -> Option<Rc<Self>> {
        self.book.this.borrow().upgrade()
    }

    async fn serve_link(self: Rc<Self>, link: Link) {
        let voice = Rc::<Voice>::default();
        while let Ok(stream) = link.accept().await {
            let backend = self.clone();
            let (link, voice) = (link.clone(), voice.clone());
            actix_rt::spawn(async move { backend.serve_stream(stream, link, voice).await });
        }
        self.book.forget(&link);
    }

    async fn serve_stream(&self, mut stream: Stream, link: Link, voice: Rc<Voice>) {
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
                let served = stream.send(&Reply::Hello(self.process.hello())).await;
                end(served, stream).await;
            }
            Request::Chunk {
                version,
                index,
                offset,
                wait,
            } => {
                self.serve_chunk(stream, voice, version, index, offset, wait)
                    .await;
            }
            Request::ManifestOf { version, wait } => {
                self.serve_manifest(stream, voice, version, wait).await;
            }
            Request::Attempt(attempt) if from_entry => {
                self.serve_attempt(stream, attempt, &link).await;
            }
            Request::Revoke { key, addressed } if from_entry => {
                let revoked = self.attempts.revoke(key, addressed);
                let served = stream.send(&Reply::Revoked(revoked)).await;
                end(served, stream).await;
            }
            Request::Follow { entry } if from_entry => self.report(stream, entry).await,
            Request::Inform(inform) if from_entry => self.take_inform(stream, &inform, &link).await,
            _ => {
                tracing::warn!(event = "request_refused", peer = %link.peer(),
                    why = "the peer's role may not ask this");
                stream.reset();
            }
        }
    }

    async fn take_inform(&self, mut stream: Stream, inform: &Inform, link: &Link) {
        self.process.ledger.take_inform(inform, Origin::OwnZone);
        if !inform.boxes.is_empty() {
            self.book.take(link, &inform.boxes);
        }
        let revision = self.process.ledger.revision();
        if inform
            .confirmed
            .is_some_and(|confirmed| revision >= confirmed)
        {
            self.confirm();
        }
        let served = stream.send(&Reply::Informed { revision }).await;
        end(served, stream).await;
    }

    /// Reports state at once when it changes, and from time to time when it does not.
    async fn report(&self, mut stream: Stream, entry: Incarnation) {
        let mut changes = self.changes();
        loop {
            changes.mark_unchanged();
            let status = self.status(entry);
            if stream.send(&Reply::Status(status.clone())).await.is_err() {
                return;
            }
            clock::pause(LEAST_REPORT_MILLIS).await;
            let due = clock::now().after_millis(REPORT_MILLIS);
            while self.status(entry) == status && !due.has_passed(clock::now()) {
                // A change of no moment is followed by more waiting.
                let changed = changes.changed();
                let _ = clock::before(due, changed).await;
            }
        }
    }

    /// Link to another backend server, where one was made and nobody makes it anew.
    pub fn held_link(&self, name: &Name) -> Option<Link> {
        self.book.link(name).try_lock().ok()?.clone()
    }

    /// Link to another backend server, made where there is none.
    ///
    /// Questions that come together wait for one link: a handshake for each of them would keep the
    /// last ones from being asked for longer than a stall may last.
    ///
    /// # Errors
    ///
    /// Where it can't be reached.
    pub async fn link_to(&self, peer: &Peer) -> Result<Link, Error> {
        let place = self.book.link(&peer.name);
        let mut held = place.lock().await;
        if let Some(link) = held.as_ref().filter(|link| !link.is_closed()) {
            return Ok(link.clone());
        }
        let address = peer.address.parse();
        let address = address.map_err(|what| Error::new(Step::Connect, &peer.name, what))?;
        let identity = Identity {
            role: Role::Backend,
            name: peer.name.clone(),
        };
        let begun = clock::now();
        let link = self.process.connect(address, &identity).await?;
        let took_millis = clock::now().millis_since(begun);
        tracing::info!(event = "link_made", peer = %peer.name, took_millis);
        held.replace(link.clone());
        // The other end may ask on the same link.
        if let Some(backend) = self.strong() {
            actix_rt::spawn(backend.serve_link(link.clone()));
        }
        Ok(link)
    }
}

/// Ends an answer; waits until the peer has it.
pub(crate) async fn end(served: Result<(), Error>, mut stream: Stream) {
    const PATIENCE: Duration = Duration::from_secs(5);
    if served.is_ok() {
        stream.finish();
        // A peer that never reads the end loses nothing by our leaving.
        let _ = actix_rt::time::timeout(PATIENCE, stream.peer_stopped()).await;
    }
}
