//! The configuration as a replicated state machine: commands, records, snapshots.
//!
//! Operators and the planner change the configuration with [`command::Command`]s. Accepted commands
//! are stored as [`record::Record`]s with consecutive revisions in the platform's key-value service.
//! Every process applies the records in order to its own [`state::Catalogue`], which refuses records
//! and snapshots that are not newer.
//!
//! ```
//! use gingerpier_base::time::Stamp;
//! use gingerpier_catalogue::{command::Command, record::{Entry, Identity, Record}, state::Catalogue};
//!
//! let mut catalogue = Catalogue::default();
//! let entry = Entry {
//!     identity: Identity::from_u128(1),
//!     author: "alice".to_owned(),
//!     stamp: Stamp::from_unix_millis(0),
//!     text: "create model plate-notes for lm".to_owned(),
//!     commands: vec![Command::CreateModel {
//!         model: "plate-notes".parse()?,
//!         kind: "lm".parse()?,
//!     }],
//! };
//! let record = Record { revision: catalogue.revision().next(), entries: vec![entry] };
//! catalogue.apply(&record)?;
//! assert_eq!(catalogue.revision().0, 1);
//! assert!(catalogue.apply(&record).is_err());
//! # Ok::<(), Box<dyn std::error::Error>>(())
//! ```

pub mod command;
pub mod error;
pub mod key;
pub mod model;
pub mod proposal;
pub mod record;
pub mod state;

pub use command::Command;
pub use error::Error;
pub use key::{ModelKey, Revision, VersionKey};
pub use record::{Entry, Identity, Record};
pub use state::Catalogue;
