//! Settings of an entry box.

use {
    crate::{
        reader::Section,
        unit::{self, Millis},
    },
    gingerpier_base::{Name, place::Zone},
    std::{net::SocketAddr, path::PathBuf},
};

/// Where a process is, and its keys.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Identity {
    /// Name of its box.
    pub name: Name,
    /// Its availability zone.
    pub zone: Zone,
    /// Folder with `ca.pem`, `cert.pem` and `key.pem`, read again when they change.
    pub keys: PathBuf,
}

/// Settings of an entry box.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Entry {
    /// Where it is.
    pub identity: Identity,
    /// Address for callers, behind the platform's balancer.
    pub callers: SocketAddr,
    /// Address for operators.
    pub operators: SocketAddr,
    /// Address for processes of the system.
    pub peers: SocketAddr,
    /// Address for metrics.
    pub metrics: SocketAddr,
    /// Key-value service.
    pub key_value: KeyValue,
    /// URL of the box list.
    pub box_list: String,
    /// Terms of requests.
    pub requests: Requests,
}

/// The platform's key-value service.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct KeyValue {
    /// Its URL.
    pub url: String,
    /// What this deployment's keys start with; default `gingerpier`.
    pub prefix: String,
    /// Time after which a call counts as unanswered; default 2s.
    pub patience: Millis,
    /// Entry boxes of a zone that watch it; the rest hear from them; default 2.
    pub watchers: u32,
    /// Records kept for the audit trail; default 1000.
    pub records_kept: u64,
}

/// Terms of requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Requests {
    /// Time for a whole answer; default 60s.
    pub patience: Millis,
    /// Attempts at most; default 3.
    pub tries: u32,
    /// Time for which a ticket is good; default 10min.
    pub ticket_life: Millis,
    /// The longest body of a request; default 4MiB.
    pub longest_body: unit::Bytes,
}

impl Identity {
    pub(crate) fn read(section: &mut Section<'_, '_>) -> Option<Self> {
        let name = section.required(
            "box",
            "name of this box, unique in the deployment",
            unit::name,
        );
        let zone = section.required("zone", "availability zone of this box", unit::name);
        let region = section.required("region", "region of the availability zone", unit::name);
        let keys = section.required(
            "keys",
            "folder with ca.pem, cert.pem and key.pem",
            unit::path,
        );
        Some(Self {
            name: name?,
            zone: Zone {
                region: region?,
                name: zone?,
            },
            keys: keys?,
        })
    }
}

impl Entry {
    pub(crate) fn read(section: &mut Section<'_, '_>) -> Option<Self> {
        let identity = Identity::read(section);
        let listen = section.section("listen", "addresses to listen on", |listen| {
            let callers = listen.required("callers", "address for callers", unit::address);
            let operators = listen.required("operators", "address for operators", unit::address);
            let peers = listen.required(
                "peers",
                "address for processes of the system",
                unit::address,
            );
            let metrics = listen.required("metrics", "address for metrics", unit::address);
            Some((callers?, operators?, peers?, metrics?))
        });
        let key_value = section.section(
            "key_value",
            "the platform's key-value service",
            KeyValue::read,
        );
        let box_list = section.required("box_list", "URL of the platform's box list", unit::url);
        let requests = section.section_or("requests", Requests::default(), Requests::read);
        let (callers, operators, peers, metrics) = listen?;
        Some(Self {
            identity: identity?,
            callers,
            operators,
            peers,
            metrics,
            key_value: key_value?,
            box_list: box_list?,
            requests: requests?,
        })
    }
}

impl KeyValue {
    fn read(section: &mut Section<'_, '_>) -> Option<Self> {
        let url = section.required("url", "URL of the service", unit::url);
        let prefix = section.or("prefix", "gingerpier".to_owned(), unit::parse);
        let patience = section.or("patience", Millis(2_000), unit::millis);
        let watchers = section.or("watchers", 2, unit::parse);
        let records_kept = section.or("records_kept", 1_000, unit::parse);
        Some(Self {
            url: url?,
            prefix: prefix?,
            patience: patience?,
            watchers: watchers?,
            records_kept: records_kept?,
        })
    }
}

impl Default for Requests {
    fn default() -> Self {
        Self {
            patience: Millis(60_000),
            tries: 3,
            ticket_life: Millis(600_000),
            longest_body: unit::Bytes(4 << 20),
        }
    }
}

impl Requests {
    fn read(section: &mut Section<'_, '_>) -> Option<Self> {
        let default = Self::default();
        let patience = section.or("patience", default.patience, unit::millis);
        let tries = section.or("tries", default.tries, unit::parse);
        let ticket_life = section.or("ticket_life", default.ticket_life, unit::millis);
        let longest_body = section.or("longest_body", default.longest_body, unit::bytes);
        Some(Self {
            patience: patience?,
            tries: tries?,
            ticket_life: ticket_life?,
            longest_body: longest_body?,
        })
    }
}
