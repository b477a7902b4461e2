//! Frames between gingerpier processes.
//!
//! A process opens one stream for each request. The first frame says what is asked; the answer's
//! frames follow, and bytes of weights or of bodies follow their frame as they are. Frames are
//! CBOR maps with numbered fields: a field that a reader does not know is passed over, and a new
//! field is optional, so that old and new processes understand each other while boxes are
//! replaced. A number is never given a second meaning.
//!
//! ```
//! use gingerpier_base::place::Incarnation;
//! use gingerpier_wire::{codec, frame::Request};
//!
//! let asked = Request::ManifestOf { version: gingerpier_base::Digest::of(b"m"), wait: true };
//! let bytes = codec::encode(&asked)?;
//! let read: Request = codec::decode(&bytes[codec::LENGTH_BYTES..])?;
//! assert_eq!(asked, read);
//! # Ok::<(), codec::Error>(())
//! ```

pub mod codec;
pub mod frame;

pub use frame::{Reply, Request};
