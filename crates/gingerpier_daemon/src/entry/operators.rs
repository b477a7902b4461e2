//! HTTPS API for operators: executes statements and waits until changes have spread.

use {
    super::{Entry, store::SubmitResult},
    crate::{
        clock,
        error::Error,
        operator_api::{self, StatementRequest, StatementResponse},
        process::listen,
    },
    actix_http::{Method, Request},
    gingerpier_base::place::Role,
    gingerpier_catalogue::{Command, Entry as LogEntry, Identity, Revision},
    gingerpier_http::{
        Answer, answer, body,
        server::{Certificate, TlsServer},
    },
    gingerpier_language::Statement,
    gingerpier_link::{Credentials, Identity as PeerIdentity},
    gingerpier_membership::Liveness,
    rustls_pki_types::CertificateDer,
    std::{net::SocketAddr, rc::Rc},
};

/// Limit on the size of a request body.
const MAX_BODY_BYTES: usize = 1 << 20;
/// Interval between checks which boxes have a revision.
const POLL_INTERVAL_MILLIS: u64 = 50;

impl Entry {
    /// Binds and spawns the server; returns the bound address.
    ///
    /// # Errors
    ///
    /// Fails if the address can't be bound, or the keys are unusable.
    pub async fn spawn_operator_server(self: Rc<Self>) -> Result<SocketAddr, Error> {
        let listener = listen(self.settings.operators)?;
        let address = listener.address();
        let entry = self.clone();
        let handler = move |request| {
            let entry = entry.clone();
            async move { entry.serve_operator(request).await }
        };
        let tls = self.process.credentials().server()?;
        let server = Rc::new(TlsServer::new(handler, tls).await);
        let renewed_server = server.clone();
        self.process
            .spawn_key_watcher(move |credentials: Rc<Credentials>| {
                let server = renewed_server.clone();
                async move {
                    match credentials.server() {
                        Ok(tls) => server.renew(tls).await,
                        Err(error) => tracing::error!(event = "keys_refused", %error),
                    }
                }
            });
        actix_rt::spawn(listener.serve_tls(server));
        Ok(address)
    }

    async fn serve_operator(self: Rc<Self>, mut request: Request) -> Answer {
        let author = match authenticate_operator(&request) {
            Ok(author) => author,
            Err(why) => {
                tracing::warn!(event = "operator_refused", why);
                return answer::text(403, &why);
            }
        };
        if request.method() != Method::POST || request.path() != operator_api::PATH {
            return answer::text(404, &format!("operators ask POST {}", operator_api::PATH));
        }
        match body::json::<StatementRequest>(&mut request, MAX_BODY_BYTES).await {
            Ok(request) => answer::json(200, &self.execute(&author, &request).await),
            Err(error) => answer::text(error.status(), &error.to_string()),
        }
    }

    async fn execute(
        &self,
        author: &PeerIdentity,
        request: &StatementRequest,
    ) -> StatementResponse {
        let Some(identity) = Identity::from_hex(&request.identity) else {
            return self.refused_response("the identity is not 32 hexadecimal digits".to_owned());
        };
        match gingerpier_language::parse(&request.text) {
            Err(error) => self.refused_response(error.to_string()),
            Ok(Statement::Show(query)) => match self.run_query(&query).await {
                Ok(table) => StatementResponse::Table {
                    revision: self.process.catalogue_state.revision().0,
                    key_value_reachable: self.store.is_reachable(),
                    table,
                },
                Err(why) => StatementResponse::Unavailable { why },
            },
            Ok(Statement::DryRun(commands)) => self.dry_run(&commands),
            Ok(Statement::Change(commands)) => {
                self.submit_commands(author, identity, request, commands)
                    .await
            }
        }
    }

    fn dry_run(&self, commands: &[Command]) -> StatementResponse {
        match self
            .process
            .catalogue_state
            .catalogue()
            .preview_commands(commands)
        {
            Ok(next) => StatementResponse::WouldAccept {
                revision: next.revision().0,
            },
            Err(error) => self.refused_response(error.to_string()),
        }
    }

    async fn submit_commands(
        &self,
        author: &PeerIdentity,
        identity: Identity,
        request: &StatementRequest,
        commands: Vec<Command>,
    ) -> StatementResponse {
        let entry = LogEntry {
            identity,
            author: author.name.to_string(),
            stamp: clock::stamp(),
            text: request.text.clone(),
            commands,
        };
        let result = self.submit(entry, None).await;
        tracing::info!(event = "command", author = %author.name, text = request.text,
            identity = %identity, verdict = ?result);
        match result {
            SubmitResult::Accepted { revision, repeated } => {
                let boxes_behind = self.wait_for_revision(revision, request.wait_millis).await;
                StatementResponse::Accepted {
                    revision: revision.0,
                    repeated,
                    behind: boxes_behind,
                }
            }
            SubmitResult::Refused(refusal) => self.refused_response(refusal.to_string()),
            SubmitResult::Unavailable(why) => StatementResponse::Unavailable { why },
            SubmitResult::Unknown(why) => StatementResponse::Unknown { why },
        }
    }

    fn refused_response(&self, why: String) -> StatementResponse {
        let last_change = self.process.catalogue_state.last_entry();
        StatementResponse::Refused {
            why,
            revision: self.process.catalogue_state.revision().0,
            last_change: last_change.map(|entry| format!("{} by {}", entry.text, entry.author)),
        }
    }

    /// Waits until all reachable boxes have a revision; returns the names of those that don't by
    /// the timeout.
    async fn wait_for_revision(&self, revision: Revision, wait_millis: u64) -> Vec<String> {
        let deadline = clock::now().after_millis(wait_millis);
        loop {
            let boxes_behind = self.boxes_behind(revision);
            if boxes_behind.is_empty() || deadline.has_passed(clock::now()) {
                return boxes_behind;
            }
            clock::pause(POLL_INTERVAL_MILLIS).await;
        }
    }

    fn boxes_behind(&self, revision: Revision) -> Vec<String> {
        let members = self.members.borrow();
        let boxes = members.iter().filter(|(key, _)| {
            self.liveness(*key) != Liveness::Gone && self.links.revision(*key) < revision
        });
        boxes.map(|(_, member)| member.name.to_string()).collect()
    }
}

/// Returns the operator that the connection's certificate names.
fn authenticate_operator(request: &Request) -> Result<PeerIdentity, String> {
    let certificate_data = request.conn_data::<Certificate>();
    let certificate_data = certificate_data.ok_or_else(|| "no certificate was shown".to_owned())?;
    let certificate = CertificateDer::from(certificate_data.0.as_slice());
    let peer = PeerIdentity::from_certificate(&certificate).map_err(|error| error.to_string())?;
    match peer.role {
        Role::Operator => Ok(peer),
        _ => Err(format!("{peer} is no operator")),
    }
}
