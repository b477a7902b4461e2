//! Operators' HTTPS: statements taken, answered, and put into force.

use {
    super::{Entry, store::Verdict},
    crate::{
        clock,
        error::Error,
        operate::{self, Answered, Asked},
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
    gingerpier_link::{Credentials, Identity as Named},
    gingerpier_membership::Liveness,
    rustls_pki_types::CertificateDer,
    std::{net::SocketAddr, rc::Rc},
};

/// The longest statement with what is around it.
const LONGEST_BODY: usize = 1 << 20;
/// Milliseconds between looks at who has a revision in force.
const LOOK_MILLIS: u64 = 50;

impl Entry {
    /// Serves operators for as long as the process runs; gives the address bound.
    ///
    /// # Errors
    ///
    /// Where the address is taken, or the keys do not fit.
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
        let renewed = server.clone();
        self.process
            .spawn_key_watcher(move |credentials: Rc<Credentials>| {
                let server = renewed.clone();
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
        let author = match operator(&request) {
            Ok(author) => author,
            Err(why) => {
                tracing::warn!(event = "operator_refused", why);
                return answer::text(403, &why);
            }
        };
        if request.method() != Method::POST || request.path() != operate::PATH {
            return answer::text(404, &format!("operators ask POST {}", operate::PATH));
        }
        match body::json::<Asked>(&mut request, LONGEST_BODY).await {
            Ok(asked) => answer::json(200, &self.operate(&author, &asked).await),
            Err(error) => answer::text(error.status(), &error.to_string()),
        }
    }

    async fn operate(&self, author: &Named, asked: &Asked) -> Answered {
        let Some(identity) = Identity::from_hex(&asked.identity) else {
            return self.refused("the identity is not 32 hexadecimal digits".to_owned());
        };
        match gingerpier_language::parse(&asked.text) {
            Err(error) => self.refused(error.to_string()),
            Ok(Statement::Show(query)) => match self.answer_query(&query).await {
                Ok(table) => Answered::Table {
                    revision: self.process.catalogue_state.revision().0,
                    key_value_reachable: self.store.is_reachable(),
                    table,
                },
                Err(why) => Answered::Unavailable { why },
            },
            Ok(Statement::DryRun(commands)) => self.try_out(&commands),
            Ok(Statement::Change(commands)) => {
                self.command(author, identity, asked, commands).await
            }
        }
    }

    fn try_out(&self, commands: &[Command]) -> Answered {
        match self
            .process
            .catalogue_state
            .catalogue()
            .try_commands(commands)
        {
            Ok(next) => Answered::WouldAccept {
                revision: next.revision().0,
            },
            Err(error) => self.refused(error.to_string()),
        }
    }

    async fn command(
        &self,
        author: &Named,
        identity: Identity,
        asked: &Asked,
        commands: Vec<Command>,
    ) -> Answered {
        let entry = LogEntry {
            identity,
            author: author.name.to_string(),
            stamp: clock::stamp(),
            text: asked.text.clone(),
            commands,
        };
        let verdict = self.submit(entry, None).await;
        tracing::info!(event = "command", author = %author.name, text = asked.text,
            identity = %identity, verdict = ?verdict);
        match verdict {
            Verdict::Accepted { revision, repeated } => {
                let behind = self.wait_in_force(revision, asked.wait_millis).await;
                Answered::Accepted {
                    revision: revision.0,
                    repeated,
                    behind,
                }
            }
            Verdict::Refused(refusal) => self.refused(refusal.to_string()),
            Verdict::Unavailable(why) => Answered::Unavailable { why },
            Verdict::Unknown(why) => Answered::Unknown { why },
        }
    }

    fn refused(&self, why: String) -> Answered {
        let last_change = self.process.catalogue_state.last_entry();
        Answered::Refused {
            why,
            revision: self.process.catalogue_state.revision().0,
            last_change: last_change.map(|entry| format!("{} by {}", entry.text, entry.author)),
        }
    }

    /// Waits until a revision is in force wherever it can be, and names who is behind.
    async fn wait_in_force(&self, revision: Revision, wait_millis: u64) -> Vec<String> {
        let deadline = clock::now().after_millis(wait_millis);
        loop {
            let behind = self.behind(revision);
            if behind.is_empty() || deadline.has_passed(clock::now()) {
                return behind;
            }
            clock::pause(LOOK_MILLIS).await;
        }
    }

    fn behind(&self, revision: Revision) -> Vec<String> {
        let members = self.members.borrow();
        let late = members.iter().filter(|(key, _)| {
            self.standing(*key) != Liveness::Gone && self.links.revision(*key) < revision
        });
        late.map(|(_, member)| member.name.to_string()).collect()
    }
}

/// Who asks, by the certificate of the connection.
fn operator(request: &Request) -> Result<Named, String> {
    let shown = request.conn_data::<Certificate>();
    let shown = shown.ok_or_else(|| "no certificate was shown".to_owned())?;
    let certificate = CertificateDer::from(shown.0.as_slice());
    let named = Named::from_certificate(&certificate).map_err(|error| error.to_string())?;
    match named.role {
        Role::Operator => Ok(named),
        _ => Err(format!("{named} is no operator")),
    }
}
