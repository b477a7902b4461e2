//! Manifests, chunks and the plan by which they spread.
//!
//! A version of weights is a [`manifest::Manifest`]: its files as one run of bytes, cut into
//! chunks that each have a digest. The [`plan::Plan`] says from whom each replica takes each
//! chunk, with the same answer at every process and no talk. The [`fetch::Fetch`] state machine
//! follows the plan at one replica, and takes the next source where one stalls or lies. Where some
//! processes with wide links take a version in for the others, they are [`relay::Relays`], and a
//! [`route::Route`] says how one process follows either.
//!
//! ```
//! use gingerpier_weights::manifest::Builder;
//!
//! let mut builder = Builder::new(4);
//! builder.start_file("model.safetensors");
//! builder.update(b"0123456789");
//! let manifest = builder.finish();
//! assert_eq!(manifest.chunks.len(), 3);
//! assert_eq!(manifest.chunk_length(2), 2);
//! ```

pub mod fetch;
pub mod manifest;
pub mod plan;
pub mod relay;
pub mod room;
pub mod route;

pub use fetch::Fetch;
pub use manifest::Manifest;
pub use plan::Plan;
pub use relay::Relays;
pub use route::{Holders, Route};
