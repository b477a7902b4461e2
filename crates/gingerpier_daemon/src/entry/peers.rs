//! Links of an entry box: requests of other entry boxes.

use {
    super::Entry,
    crate::{backend::peers::finish_response, catalogue_state::UpdateSource, clock},
    gingerpier_base::place::{Role, Zone},
    gingerpier_link::{Link, Stream},
    gingerpier_membership::{BoxKey, Listing},
    gingerpier_wire::{Reply, Request, frame::Hello},
    std::rc::Rc,
};

impl Entry {
    /// Spawns the task that accepts links.
    pub fn spawn_link_server(self: Rc<Self>) {
        actix_rt::spawn(async move {
            let entry = self.clone();
            self.process
                .accept(move |link| entry.clone().serve_link(link))
                .await;
        });
    }

    async fn serve_link(self: Rc<Self>, link: Link) {
        while let Ok(stream) = link.accept().await {
            let entry = self.clone();
            let link = link.clone();
            actix_rt::spawn(async move { entry.serve_stream(stream, &link).await });
        }
    }

    async fn serve_stream(self: Rc<Self>, mut stream: Stream, link: &Link) {
        let request = match stream.receive::<Request>().await {
            Ok(request) => request,
            Err(error) => {
                tracing::warn!(event = "request_refused", %error);
                stream.reset();
                return;
            }
        };
        if link.peer().role != Role::Entry {
            tracing::warn!(event = "request_refused", peer = %link.peer(),
                why = "the peer's role may not ask this");
            stream.reset();
            return;
        }
        let reply = match request {
            Request::Hello(hello) => {
                self.record_hello(&hello, link);
                Reply::Hello(self.process.hello())
            }
            Request::Claim { ticket, holder } => {
                let verdict = self.claims.borrow_mut().claim(ticket, holder, clock::now());
                Reply::Claimed(verdict)
            }
            Request::Settle {
                ticket,
                grant,
                settlement,
            } => {
                self.claims.borrow_mut().settle(ticket, grant, settlement);
                Reply::Informed {
                    revision: self.process.catalogue_state.revision(),
                }
            }
            Request::Sync { revision } => {
                Reply::News(self.process.catalogue_state.changes_since(revision))
            }
            Request::Inform(inform) => {
                let zone = self.member_of(link).map(|(_, zone)| zone);
                let is_own_zone = zone.as_ref() == Some(&self.process.hello.zone);
                let source = if is_own_zone {
                    UpdateSource::OwnZone
                } else {
                    UpdateSource::OtherZone
                };
                self.process.catalogue_state.apply_inform(&inform, source);
                if self.process.catalogue_state.revision() < inform.revision {
                    self.request_missing_records(link).await;
                }
                Reply::Informed {
                    revision: self.process.catalogue_state.revision(),
                }
            }
            _ => {
                stream.reset();
                return;
            }
        };
        let result = stream.send(&reply).await;
        finish_response(result, stream).await;
    }

    /// Adds a box that connected before the box list contains it.
    fn record_hello(self: &Rc<Self>, hello: &Hello, link: &Link) {
        if hello.name != link.peer().name || hello.leaving {
            return;
        }
        if self.members.borrow().key_of(&hello.name).is_none() {
            self.add_box(
                &hello.name,
                hello.role,
                &hello.zone,
                &hello.address,
                Listing::Live,
            );
        }
    }

    async fn request_missing_records(&self, link: &Link) {
        if let Some((key, zone)) = self.member_of(link) {
            self.sync_with(key, &zone).await;
        }
    }

    fn member_of(&self, link: &Link) -> Option<(BoxKey, Zone)> {
        let members = self.members.borrow();
        let key = members.key_of(&link.peer().name)?;
        Some((key, members.get(key)?.zone.clone()))
    }
}
