//! What an operator's command line and an entry box say to each other: JSON over HTTPS.

use {
    crate::table::Table,
    serde::{Deserialize, Serialize},
};

/// Path for statements.
pub const PATH: &str = "/v1/operate";

/// A statement to be carried out.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Asked {
    /// Identity of the request, in 32 hexadecimal digits; the same over retries.
    pub identity: String,
    /// Statement, in the operators' language.
    pub text: String,
    /// Milliseconds to wait until it is in force everywhere that can be reached.
    #[serde(default)]
    pub wait_millis: u64,
}

/// What became of it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "outcome", rename_all = "snake_case")]
pub enum Answered {
    /// Answer to a query.
    Table {
        /// Revision in force at the entry box.
        revision: u64,
        /// False while the entry box can't reach the key-value service.
        key_value_reachable: bool,
        /// The answer.
        table: Table,
    },
    /// The commands were accepted.
    Accepted {
        /// Revision that they made.
        revision: u64,
        /// True where they had been accepted before, under the same identity.
        repeated: bool,
        /// Boxes that are known not to have the revision in force yet.
        behind: Vec<String>,
    },
    /// The commands would be accepted.
    WouldAccept {
        /// Revision that they would make.
        revision: u64,
    },
    /// The commands were refused, and have no effect.
    Refused {
        /// Why, and what to do.
        why: String,
        /// Revision in force.
        revision: u64,
        /// Latest change, by whom.
        last_change: Option<String>,
    },
    /// The key-value service can't be reached; nothing was accepted.
    Unavailable {
        /// Why.
        why: String,
    },
    /// Whether the commands were accepted can't be found out now: ask again with the same
    /// identity.
    Unknown {
        /// Why.
        why: String,
    },
}
