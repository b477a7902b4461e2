//! What a fleet consists of.

/// An availability zone.
#[derive(Debug, Clone)]
pub struct Zone {
    /// Region.
    pub region: &'static str,
    /// Its name.
    pub name: &'static str,
    /// Entry boxes.
    pub entries: usize,
    /// Backend servers.
    pub backends: usize,
}

/// A fleet.
#[derive(Debug, Clone)]
pub struct Spec {
    /// Availability zones.
    pub zones: Vec<Zone>,
    /// Model engines on each backend server.
    pub engines: usize,
    /// Requests that an engine runs at once.
    pub capacity: u32,
    /// Milliseconds for a token.
    pub token_millis: u64,
    /// True where engines refuse stale fences themselves.
    pub checks_fences: bool,
    /// Plain services, one instance of each in each zone.
    pub services: Vec<&'static str>,
    /// Milliseconds by which the box list lags.
    pub list_lag_millis: u64,
    /// Bytes a second of the origin's link; 0 for any number.
    pub origin_rate: u64,
    /// Further lines of `weights` in the backend servers' settings, each indented by two.
    pub weights: String,
    /// Further lines of the entry boxes' settings.
    pub entry: String,
    /// Size of a chunk, in bytes.
    pub chunk_bytes: u32,
    /// True where engines are served in the starter's own process, so that more servers fit.
    pub engines_here: bool,
    /// True where each backend server is reached through a link that can be cut.
    pub links: bool,
}

impl Spec {
    /// Two zones of two regions, one entry box and one backend server with two engines each.
    pub fn small() -> Self {
        let zone = |region, name| Zone {
            region,
            name,
            entries: 1,
            backends: 1,
        };
        Self {
            zones: vec![
                zone("kerala-south", "trivandrum"),
                zone("kerala-north", "kozhikode"),
            ],
            engines: 2,
            capacity: 4,
            token_millis: 2,
            checks_fences: false,
            services: vec!["plates"],
            list_lag_millis: 0,
            origin_rate: 0,
            weights: String::new(),
            entry: String::new(),
            chunk_bytes: 262_144,
            engines_here: false,
            links: false,
        }
    }
}
