//! Authenticated QUIC links between gingerpier processes, and their keys.
//!
//! Each process has a certificate of the deployment's authority with its role and box name, which
//! both ends of a link verify. Keys are reloaded when their files change; new links use the new keys.
//!
//! ```
//! use gingerpier_base::place::Role;
//! use gingerpier_link::identity::Identity;
//!
//! let identity = Identity { role: Role::Backend, name: "kochi-b1".parse()? };
//! assert_eq!(identity.server_name(), "backend.kochi-b1.gingerpier");
//! assert_eq!(Identity::from_server_name("backend.kochi-b1.gingerpier"), Some(identity));
//! # Ok::<(), gingerpier_base::name::Error>(())
//! ```

pub mod authority;
pub mod credentials;
pub mod endpoint;
mod entry_verifier;
pub mod error;
pub mod identity;
pub mod stream;

pub use authority::Authority;
pub use credentials::Credentials;
pub use endpoint::{Endpoint, Incoming, Link, Path, Traffic};
pub use error::{Error, Step};
pub use identity::Identity;
pub use stream::Stream;
