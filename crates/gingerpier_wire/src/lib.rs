//! Frames between gingerpier processes.
//!
//! A process opens one stream per request. The first frame is the request; response frames follow,
//! and weights or body bytes follow their frame unencoded. Frames are CBOR maps with numbered
//! fields. Unknown fields are ignored, new fields are optional and numbers are never reused, so
//! that old and new processes are compatible during an upgrade.
//!
//! ```
//! use gingerpier_base::place::Incarnation;
//! use gingerpier_wire::{codec, frame::Request};
//!
//! let request = Request::ManifestOf { version: gingerpier_base::Digest::of(b"m"), wait: true };
//! let bytes = codec::encode(&request)?;
//! let read: Request = codec::decode(&bytes[codec::LENGTH_BYTES..])?;
//! assert_eq!(request, read);
//! # Ok::<(), codec::Error>(())
//! ```

pub mod codec;
pub mod frame;

pub use frame::{Reply, Request};
