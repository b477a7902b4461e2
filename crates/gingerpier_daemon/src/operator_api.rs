//! API between operators' command line and entry boxes: JSON over HTTPS.

use {
    crate::table::Table,
    serde::{Deserialize, Serialize},
};

/// Path that accepts statements by POST.
pub const PATH: &str = "/v1/operate";

/// Request with a statement.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct StatementRequest {
    /// Request identity, 32 hexadecimal digits; equal for retries of one request.
    pub identity: String,
    /// Statement in the operators' language.
    pub text: String,
    /// Time to wait until every reachable box has the resulting revision.
    #[serde(default)]
    pub wait_millis: u64,
}

/// Response to a statement.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "outcome", rename_all = "snake_case")]
pub enum StatementResponse {
    /// Result of a query.
    Table {
        /// Current revision of the entry box.
        revision: u64,
        /// False if the entry box's last call of the key-value service failed.
        key_value_reachable: bool,
        /// Rows of the result.
        table: Table,
    },
    /// The commands were accepted.
    Accepted {
        /// Revision that contains them.
        revision: u64,
        /// True if an earlier request with the same identity was accepted.
        repeated: bool,
        /// Names of boxes that don't have the revision yet.
        behind: Vec<String>,
    },
    /// A dry run succeeded.
    WouldAccept {
        /// Revision that the commands would create.
        revision: u64,
    },
    /// The commands were refused and have no effect.
    Refused {
        /// Reason, with a remedy where there is one.
        why: String,
        /// Current revision.
        revision: u64,
        /// Latest change with its author.
        last_change: Option<String>,
    },
    /// The key-value service is unreachable; nothing was accepted.
    Unavailable {
        /// Reason.
        why: String,
    },
    /// The result of the write is unknown; a retry with the same identity is safe.
    Unknown {
        /// Reason.
        why: String,
    },
}
