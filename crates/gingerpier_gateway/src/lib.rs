//! Gateway and loader processes.
//!
//! A gateway is a reverse proxy: it routes callers' requests to engines, by the decisions of
//! `gingerpier_serving`. A loader runs beside one engine: it fetches and verifies released weights,
//! orders the engine to load them, and reports the engine's load to gateways. Both access the
//! deployment platform through a [`gingerpier_serving::platform_api::PlatformApi`], and each runs on one
//! thread.
//!
//! ```no_run
//! # use gingerpier_serving::platform_api::PlatformApi;
//! # fn example(platform_api: &'static dyn PlatformApi) -> Result<(), Box<dyn std::error::Error>> {
//! let text = std::fs::read_to_string("gateway.yaml")?;
//! let gingerpier_settings::Settings::Gateway(settings) = gingerpier_settings::read(&text)? else {
//!     panic!("not a gateway's settings")
//! };
//! actix_rt::System::new().block_on(gingerpier_gateway::gateway::run(*settings, platform_api))?;
//! # Ok(())
//! # }
//! ```

pub mod buffers;
pub mod capacity_sharing;
pub mod client;
pub mod compression;
pub mod discovery;
pub mod error;
pub mod gateway;
mod hold_keeper;
pub mod items;
pub mod loader;
pub mod loader_configuration;
pub mod log;
mod members;
pub mod message;
pub mod metrics;
pub mod pool;
pub mod proxy;
pub mod reports;
pub mod snapshots;
pub mod state;
pub mod store;
pub mod store_sharing;
mod store_writes;
pub mod suspects;
pub mod weights;
pub mod zones;

pub use gingerpier_clock as clock;
