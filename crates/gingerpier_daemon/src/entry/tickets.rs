//! Claims and settles tickets, at this entry box or at the one that issued them.

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

/// Timeout of a ticket owner's response.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(2);

/// Permission to run the request of a ticket once.
#[derive(Debug, Clone, Copy)]
pub struct Grant {
    /// Claimed ticket.
    pub ticket: Ticket,
    /// Number of the claim, needed to settle it.
    pub number: u32,
}

impl Entry {
    /// Claims a ticket at its owner for a request that runs here.
    pub async fn claim(&self, ticket: Ticket) -> Verdict {
        let holder = self.process.hello.incarnation;
        if ticket.owner == holder {
            return self.claims.borrow_mut().claim(ticket, holder, clock::now());
        }
        // Without its owner, the result of earlier claims is unknown.
        let Some(link) = self.link_to_owner(ticket.owner) else {
            return Verdict::Unknown;
        };
        match send_request(&link, &Request::Claim { ticket, holder }).await {
            Ok(Reply::Claimed(verdict)) => verdict,
            Ok(_) => Verdict::Unknown,
            Err(error) => {
                tracing::warn!(event = "claim_lost", ticket = %ticket, %error);
                Verdict::Unknown
            }
        }
    }

    /// Reports the result of a granted request to the ticket's owner.
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
        if let Err(error) = send_request(&link, &request).await {
            tracing::warn!(event = "settlement_lost", ticket = %ticket, %error);
        }
    }

    fn link_to_owner(&self, owner: Incarnation) -> Option<Link> {
        let members = self.members.borrow();
        let is_owner = |member: &Member| member.incarnation() == Some(owner);
        let (key, _) = members.iter().find(|(_, member)| is_owner(member))?;
        self.links.get(key)
    }
}

async fn send_request(link: &Link, request: &Request) -> Result<Reply, Error> {
    let response = async {
        let mut stream = link.open().await?;
        stream.send(request).await?;
        stream.finish();
        stream.receive::<Reply>().await
    };
    let timeout_error = || {
        Error::new(
            gingerpier_link::Step::Receive,
            link.peer(),
            "no answer in time",
        )
    };
    actix_rt::time::timeout(RESPONSE_TIMEOUT, response)
        .await
        .unwrap_or_else(|_| Err(timeout_error()))
}
