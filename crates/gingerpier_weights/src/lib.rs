//! Distribution of model weights: manifests, chunks and the sources of each chunk.
//!
//! A version of weights is described by a [`manifest::Manifest`]: its files, split into chunks that
//! each have a digest. The [`plan::Plan`] derives from whom each replica fetches each chunk, with
//! the same result at every process and without communication. Alternatively, [`relay::Relays`]
//! fetch the version for the other processes. A [`route::Route`] is the position of one process in
//! either, and the [`fetch::Fetch`] state machine follows it, falling back to the next source when
//! one stalls or sends corrupt data.
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
pub mod memory;
pub mod plan;
pub mod relay;
pub mod route;

pub use fetch::Fetch;
pub use manifest::Manifest;
pub use plan::Plan;
pub use relay::Relays;
pub use route::{Holders, Route};
