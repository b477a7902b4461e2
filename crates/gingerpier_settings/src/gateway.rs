//! Settings of a process on a platform that lists engines and keeps the configuration.

use {
    crate::{
        reader::Section,
        unit::{self, Millis},
    },
    std::net::SocketAddr,
};

/// Settings of a gateway: callers' requests, routed to engines.
#[derive(Debug, Clone, PartialEq)]
pub struct Gateway {
    /// Name, for logs.
    pub name: String,
    /// Zone.
    pub zone: String,
    /// Region of each zone.
    pub regions: Vec<ZoneRegion>,
    /// Address for callers.
    pub callers: SocketAddr,
    /// Address that is asked whether this process is ready.
    pub readiness: SocketAddr,
    /// Address where other gateways ask for the configuration.
    pub control: SocketAddr,
    /// Address for reports of engines' load.
    pub peers: SocketAddr,
    /// Gateways to ask where the store does not answer; may be stale.
    pub seeds: Vec<SocketAddr>,
    /// Address of the platform's store.
    pub store: SocketAddr,
    /// Time for a planned stop; default 8s.
    pub drain_within: Millis,
    /// Time after which only named weights serve; default 8s.
    pub version_within: Millis,
    /// Retries for each request, of all gateways together, from 0 on; default 0.1.
    pub retry_ratio: f64,
    /// Retries of all gateways beyond the ratio in one window; default 10.
    pub retry_extra: u32,
    /// Window of the retry budget; default 10s.
    pub retry_window: Millis,
    /// Requests that a cold engine may get in a second, against those that it bears; default 1.
    pub cold_overshoot: f64,
    /// Requests that it may get in a second beyond that; default 0.
    pub cold_allowance: f64,
    /// True where this gateway carries weights for the loaders of its zone; default false. Sooner
    /// on calm days, and worse where gateways are stopped while they carry.
    pub carries_weights: bool,
}

/// Settings of a loader: weights for the engine of its own machine.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Loader {
    /// Name, for logs.
    pub name: String,
    /// Zone.
    pub zone: String,
    /// Region of each zone.
    pub regions: Vec<ZoneRegion>,
    /// Address of the engine.
    pub engine: SocketAddr,
    /// Address for other loaders and for gateways.
    pub peers: SocketAddr,
    /// Gateways to ask for figures while none is heard; they may be old or down.
    pub seeds: Vec<SocketAddr>,
    /// Address of the platform's store.
    pub store: SocketAddr,
    /// Time after which only named weights serve; default 8s.
    pub version_within: Millis,
    /// Link of the machine, written in Mbit/s; default 1,000.
    pub link_bits_per_second: u64,
    /// True where weights come from a gateway of the zone rather than by trees over the loaders;
    /// default false; must be the same as the gateways' `carries_weights`.
    pub weights_from_gateways: bool,
}

/// A zone and its region, written `ZONE=REGION`.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ZoneRegion {
    /// Zone.
    pub zone: String,
    /// Region.
    pub region: String,
}

fn zone_region(text: &str) -> Result<ZoneRegion, String> {
    let parts = text.split_once('=');
    let (zone, region) = parts.ok_or_else(|| "a zone is written ZONE=REGION".to_owned())?;
    Ok(ZoneRegion {
        zone: zone.to_owned(),
        region: region.to_owned(),
    })
}

fn text(text: &str) -> Result<String, String> {
    if text.is_empty() {
        return Err("a name is expected here".to_owned());
    }
    Ok(text.to_owned())
}

fn link(text: &str) -> Result<u64, String> {
    let megabits = unit::finite(text)?;
    if megabits > 0.0 {
        return Ok((megabits * 1_000_000.0) as u64);
    }
    Err("a link is more than 0 Mbit/s".to_owned())
}

const STORE: &str = "address of the platform's store";

impl Gateway {
    pub(crate) fn read(section: &mut Section<'_, '_>) -> Option<Self> {
        let name = section.required("name", "name of this process, for logs", text);
        let zone = section.required("zone", "zone of this process", text);
        let regions = section.list("regions", "zones, as ZONE=REGION", zone_region);
        let callers = section.required("callers", "address for callers", unit::address);
        let readiness = section.required("readiness", "address for readiness", unit::address);
        let control = section.required("control", "address for other gateways", unit::address);
        let peers = section.required("peers", "address for reports of load", unit::address);
        let seeds = section.list("seeds", "gateways to ask", unit::address);
        let store = section.required("store", STORE, unit::address);
        let drain_within = section.or("drain_within", Millis(8_000), unit::millis);
        let version_within = section.or("version_within", Millis(8_000), unit::millis);
        let retry_ratio = section.or("retry_ratio", 0.1, unit::finite);
        let retry_extra = section.or("retry_extra", 10, unit::budget);
        let retry_window = section.or("retry_window", Millis(10_000), unit::wait);
        let cold_overshoot = section.or("cold_overshoot", 1.0, unit::finite);
        let cold_allowance = section.or("cold_allowance", 0.0, unit::finite);
        let carries_weights = section.or("carries_weights", false, unit::parse);
        Some(Self {
            carries_weights: carries_weights?,
            name: name?,
            zone: zone?,
            regions: regions?,
            callers: callers?,
            readiness: readiness?,
            control: control?,
            peers: peers?,
            seeds: seeds?,
            store: store?,
            drain_within: drain_within?,
            version_within: version_within?,
            retry_ratio: retry_ratio?,
            retry_extra: retry_extra?,
            retry_window: retry_window?,
            cold_overshoot: cold_overshoot?,
            cold_allowance: cold_allowance?,
        })
    }
}

impl Loader {
    pub(crate) fn read(section: &mut Section<'_, '_>) -> Option<Self> {
        let name = section.required("name", "name of this process, for logs", text);
        let zone = section.required("zone", "zone of this process", text);
        let regions = section.list("regions", "zones, as ZONE=REGION", zone_region);
        let engine = section.required("engine", "address of the engine", unit::address);
        let peers = section.required("peers", "address for other processes", unit::address);
        let seeds = section.list_or_empty("seeds", "gateways to ask", unit::address);
        let store = section.required("store", STORE, unit::address);
        let version_within = section.or("version_within", Millis(8_000), unit::millis);
        let link_bits_per_second = section.or("link", 1_000_000_000, link);
        let weights_from_gateways = section.or("weights_from_gateways", false, unit::parse);
        Some(Self {
            weights_from_gateways: weights_from_gateways?,
            link_bits_per_second: link_bits_per_second?,
            name: name?,
            zone: zone?,
            regions: regions?,
            engine: engine?,
            peers: peers?,
            seeds: seeds?,
            store: store?,
            version_within: version_within?,
        })
    }
}
