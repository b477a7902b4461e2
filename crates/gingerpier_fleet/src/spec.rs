//! Specification of a fleet.

/// Availability zone of a fleet.
#[derive(Debug, Clone)]
pub struct Zone {
    /// Region.
    pub region: &'static str,
    /// Name of the zone.
    pub name: &'static str,
    /// Number of entry boxes.
    pub entries: usize,
    /// Number of backend servers.
    pub backends: usize,
}

/// Processes of a fleet and their settings.
#[derive(Debug, Clone)]
pub struct Spec {
    /// Availability zones.
    pub zones: Vec<Zone>,
    /// Number of model engines per backend server.
    pub engines: usize,
    /// Maximum number of concurrent requests per engine.
    pub capacity: u32,
    /// Time per token of an engine, in milliseconds.
    pub token_millis: u64,
    /// True if engines refuse orders with stale fences.
    pub checks_fences: bool,
    /// Plain services; one instance of each runs per zone.
    pub services: Vec<&'static str>,
    /// Delay of the box list, in milliseconds.
    pub list_lag_millis: u64,
    /// Bandwidth of the origin, in bytes per second; 0 for unlimited.
    pub origin_rate: u64,
    /// Additional lines of the section `weights` in backend settings, indented by two spaces.
    pub weights: String,
    /// Additional lines of the entry box settings.
    pub entry: String,
    /// Size of a chunk, in bytes.
    pub chunk_bytes: u32,
    /// True to run engines in the harness process, to save processes in large fleets.
    pub engines_in_process: bool,
    /// True to reach each backend server through a link that can be interrupted or delayed.
    pub links: bool,
}

impl Spec {
    /// Two zones in two regions, each with one entry box and one backend server with two engines.
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
            engines_in_process: false,
            links: false,
        }
    }
}
