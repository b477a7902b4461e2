//! Settings of a backend server.

use {
    crate::{
        entry::Identity,
        reader::Section,
        unit::{self, Bytes, Millis},
    },
    gingerpier_base::Name,
    std::net::SocketAddr,
};

/// Settings of a backend server.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Backend {
    /// Where it is.
    pub identity: Identity,
    /// Address for processes of the system.
    pub peers: SocketAddr,
    /// Address for metrics.
    pub metrics: SocketAddr,
    /// Weights and how they move.
    pub weights: Weights,
    /// Time for a planned stop; what still runs then is broken off; default 120s.
    pub stop_patience: Millis,
    /// Model engines on the box.
    pub engines: Vec<Engine>,
    /// Plain services on the box.
    pub services: Vec<Service>,
}

/// Weights and how they move.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Weights {
    /// URL of the origin.
    pub origin: String,
    /// Memory for chunks; default 8GiB.
    pub chunk_memory: Bytes,
    /// Bytes a second sent to peers; default 1GB/s.
    pub send: Bytes,
    /// Bytes a second received from peers and the origin; default 1GB/s.
    pub receive: Bytes,
    /// Children of one box in one chunk's tree; default 2; 0 takes all from the origin. Must be
    /// the same on all boxes.
    pub fan_out: u32,
    /// Chunks under way at once; default 24.
    pub window: u32,
    /// Time without progress after which another source is taken; default 2s.
    pub stall: Millis,
}

/// A model engine.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Engine {
    /// Its name, unique in the deployment.
    pub name: Name,
    /// Kind of models that it runs.
    pub kind: Name,
    /// Its URL.
    pub url: String,
    /// True where it refuses stale fences itself; default false.
    pub checks_fences: bool,
}

/// A plain service.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Service {
    /// Name of the instance, unique in the deployment.
    pub name: Name,
    /// Name of the service, as in `/services/NAME/...`.
    pub service: Name,
    /// Its URL.
    pub url: String,
    /// Requests that it takes at once; default 64.
    pub capacity: u32,
}

impl Backend {
    pub(crate) fn read(section: &mut Section<'_, '_>) -> Option<Self> {
        let identity = Identity::read(section);
        let listen = section.section("listen", "addresses to listen on", |listen| {
            let peers = listen.required(
                "peers",
                "address for processes of the system",
                unit::address,
            );
            let metrics = listen.required("metrics", "address for metrics", unit::address);
            Some((peers?, metrics?))
        });
        let weights = section.section("weights", "weights and how they move", Weights::read);
        let stop_patience = section.or("stop_patience", Millis(120_000), unit::millis);
        let engines = section.sections("engines", "model engines on the box", Engine::read);
        let services = section.sections("services", "plain services on the box", Service::read);
        let (peers, metrics) = listen?;
        Some(Self {
            identity: identity?,
            peers,
            metrics,
            weights: weights?,
            stop_patience: stop_patience?,
            engines: engines?,
            services: services?,
        })
    }
}

impl Weights {
    fn read(section: &mut Section<'_, '_>) -> Option<Self> {
        let origin = section.required("origin", "URL of the origin of weights", unit::url);
        let chunk_memory = section.or("chunk_memory", Bytes(8 << 30), unit::bytes);
        let send = section.or("send", Bytes(1_000_000_000), unit::rate);
        let receive = section.or("receive", Bytes(1_000_000_000), unit::rate);
        let fan_out = section.or("fan_out", 2, unit::parse);
        let window = section.or("window", 24, unit::parse);
        let stall = section.or("stall", Millis(2_000), unit::millis);
        Some(Self {
            origin: origin?,
            chunk_memory: chunk_memory?,
            send: send?,
            receive: receive?,
            fan_out: fan_out?,
            window: window?,
            stall: stall?,
        })
    }
}

impl Engine {
    fn read(section: &mut Section<'_, '_>) -> Option<Self> {
        let name = section.required("name", "name of the engine", unit::name);
        let kind = section.required("kind", "kind of models it runs", unit::name);
        let url = section.required("url", "URL of the engine", unit::url);
        let checks_fences = section.or("checks_fences", false, unit::parse);
        Some(Self {
            name: name?,
            kind: kind?,
            url: url?,
            checks_fences: checks_fences?,
        })
    }
}

impl Service {
    fn read(section: &mut Section<'_, '_>) -> Option<Self> {
        let name = section.required("name", "name of the instance", unit::name);
        let service = section.required("service", "name of the service", unit::name);
        let url = section.required("url", "URL of the service", unit::url);
        let capacity = section.or("capacity", 64, unit::parse);
        Some(Self {
            name: name?,
            service: service?,
            url: url?,
            capacity: capacity?,
        })
    }
}
