//! Tickets at an entry box: its own, and others' through their owners.

use {
    super::Entry,
    crate::clock,
    gingerpier_base::place::Incarnation,
    gingerpier_link::{Error, Link},
    gingerpier_membership::Member,
    gingerpier_once::{
        Ticket,
        claims::{Settlement, Verdict},
    },
    gingerpier_wire::{Reply, Request},
    std::time::Duration,
};

/// Time for an owner's answer.
const PATIENCE: Duration = Duration::from_secs(2);

/// The right to run a ticket's request once.
#[derive(Debug, Clone, Copy)]
pub struct Grant {
    /// Its ticket.
    pub ticket: Ticket,
    /// Number of the grant.
    pub number: u32,
}

impl Entry {
    /// Asks the ticket's owner for the right to run its request here.
    pub async fn claim(&self, ticket: Ticket) -> Verdict {
        let holder = self.process.hello.incarnation;
        if ticket.owner == holder {
            return self.claims.borrow_mut().claim(ticket, holder, clock::now());
        }
        // An owner that is gone, or out of reach, can't tell what became of earlier tries.
        let Some(link) = self.link_to_owner(ticket.owner) else {
            return Verdict::Unknown;
        };
        match ask(&link, &Request::Claim { ticket, holder }).await {
            Ok(Reply::Claimed(verdict)) => verdict,
            Ok(_) => Verdict::Unknown,
            Err(error) => {
                tracing::warn!(event = "claim_lost", ticket = %ticket, %error);
                Verdict::Unknown
            }
        }
    }

    /// Tells the ticket's owner what became of a grant.
    pub async fn settle(&self, grant: Grant, settlement: Settlement) {
        let Grant { ticket, number } = grant;
        if ticket.owner == self.process.hello.incarnation {
            self.claims.borrow_mut().settle(ticket, number, settlement);
            return;
        }
        let Some(link) = self.link_to_owner(ticket.owner) else {
            return;
        };
        let request = Request::Settle {
            ticket,
            grant: number,
            settlement,
        };
        if let Err(error) = ask(&link, &request).await {
            tracing::warn!(event = "settlement_lost", ticket = %ticket, %error);
        }
    }

    fn link_to_owner(&self, owner: Incarnation) -> Option<Link> {
        let members = self.members.borrow();
        let owned = |member: &Member| member.incarnation() == Some(owner);
        let (key, _) = members.iter().find(|(_, member)| owned(member))?;
        self.links.get(key)
    }
}

async fn ask(link: &Link, request: &Request) -> Result<Reply, Error> {
    let asked = async {
        let mut stream = link.open().await?;
        stream.send(request).await?;
        stream.finish();
        stream.receive::<Reply>().await
    };
    let late = || {
        Error::new(
            gingerpier_link::Step::Receive,
            link.peer(),
            "no answer in time",
        )
    };
    actix_rt::time::timeout(PATIENCE, asked)
        .await
        .unwrap_or_else(|_| Err(late()))
}
