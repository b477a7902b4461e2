//! Clients of the platform's services: key-value service, weight sources, box list, engines.
//!
//! Each module implements one protocol and converts its responses to types of this crate. The
//! protocols are specified in `docs/INTERFACES.md`.
//!
//! ```
//! use gingerpier_services::key_value::Change;
//!
//! let change = Change::default().guard("head", 7).put("head", b"8".to_vec());
//! assert_eq!(change.puts.len(), 1);
//! ```

pub mod box_list;
pub mod engine;
pub mod error;
pub mod exchange;
pub mod http;
pub mod key_value;
pub mod weight_source;

pub use error::{Error, Fault, Step};
