//! Daemons on a platform: gateways for requests and loaders for weights.
//!
//! A gateway takes callers' requests, decides with `gingerpier_serving` and sends them to engines.
//! A loader runs beside one engine: it brings the weights that operators name, checks them, orders
//! the engine to take them, and tells gateways how loaded the engine is. Both speak the platform's
//! words through a [`gingerpier_serving::dialect::Dialect`]. Both run on one thread.
//!
//! ```no_run
//! # use gingerpier_serving::dialect::Dialect;
//! # fn example(dialect: &'static dyn Dialect) -> Result<(), Box<dyn std::error::Error>> {
//! let text = std::fs::read_to_string("gateway.yaml")?;
//! let gingerpier_settings::Settings::Gateway(settings) = gingerpier_settings::read(&text)? else {
//!     panic!("not a gateway's settings")
//! };
//! actix_rt::System::new().block_on(gingerpier_gateway::gateway::run(*settings, dialect))?;
//! # Ok(())
//! # }
//! ```

pub mod callers;
pub mod client;
pub mod compression;
pub mod discovery;
pub mod error;
pub mod figures;
pub mod gateway;
pub mod items;
pub mod loader;
pub mod log;
mod members;
pub mod message;
pub mod metrics;
pub mod pool;
pub mod relay;
pub mod reports;
pub mod snapshots;
pub mod state;
pub mod store;
pub mod suspects;
pub mod weights;
pub mod zones;

pub use gingerpier_clock as clock;
