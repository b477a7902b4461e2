//! Names, digests, time and keys that every gingerpier crate shares.
//!
//! Decision crates take [`time::Instant`] as an argument and never read a clock, so that the same
//! code runs in a daemon, a test and a model check.
//!
//! ```
//! use gingerpier_base::{digest::Digest, name::Name, time::Instant};
//!
//! let name: Name = "plate-notes".parse()?;
//! assert_eq!(name.as_str(), "plate-notes");
//! assert!("Plate Notes".parse::<Name>().is_err());
//!
//! let deadline = Instant::from_millis(1_000).after_millis(250);
//! assert!(deadline.has_passed(Instant::from_millis(1_250)));
//! assert_eq!(Digest::of(b"abc").to_string().len(), 64);
//! # Ok::<(), gingerpier_base::name::Error>(())
//! ```

pub mod digest;
pub mod name;
pub mod order;
pub mod place;
pub mod target;
pub mod time;

pub use digest::Digest;
pub use name::Name;
pub use time::{Instant, Stamp};
