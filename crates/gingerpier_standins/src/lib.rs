//! Small stand-ins for the platform and the back ends; not shipped.
//!
//! Each runs as a process of its own, prints one line `ready address=...` once it listens, and
//! speaks the protocol written down in `docs/INTERFACES.md`. Beside it, each answers `/control`,
//! by which a test makes it fail, and tells what it saw: `/counts` or `/history`.
//!
//! ```
//! use gingerpier_standins::token;
//!
//! // A model engine's answer follows from the weights, the prompt and the place alone.
//! assert_eq!(token::text("w", "", "prompt", 3), token::text("w", "", "prompt", 3));
//! assert_ne!(token::text("w", "", "prompt", 3), token::text("v", "", "prompt", 3));
//! ```

pub mod box_list;
pub mod engine;
pub mod key_value;
pub mod link;
pub mod origin;
pub mod service;
pub mod token;

/// The longest body that a stand-in takes.
pub(crate) const LONGEST_BODY: usize = 96 << 20;

/// Tells the starter that the stand-in listens.
pub(crate) fn ready(address: std::net::SocketAddr) {
    println!("ready address={address}");
}
