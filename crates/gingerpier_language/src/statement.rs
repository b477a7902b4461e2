//! What a line of the language means.

use {gingerpier_base::Name, gingerpier_catalogue::Command};

/// A parsed line.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Statement {
    /// A question.
    Show(Query),
    /// Commands that take effect together.
    Change(Vec<Command>),
    /// Commands to be checked only.
    DryRun(Vec<Command>),
}

/// A question about what is configured or what is.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Query {
    /// What is asked for.
    pub subject: Subject,
    /// Which of it.
    pub filter: Filter,
}

/// What a query lists.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Subject {
    /// Models and adapters.
    Models,
    /// Versions.
    Versions,
    /// Client accounts.
    Accounts,
    /// Where and for whom models are served.
    Contracts,
    /// Rollouts under way.
    Rollouts,
    /// Boxes of the system.
    Boxes,
    /// Engines and plain services.
    Engines,
    /// Engines that hold a complete version.
    Loaded,
    /// Engines whose version takes traffic.
    Live,
    /// Engines to which weights are moving.
    Loading,
    /// Engines that are given no new work.
    Draining,
    /// Revision in force at each process.
    Revisions,
    /// Accepted changes.
    Audit,
}

/// Narrows a query; every part that is given must hold.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct Filter {
    /// Availability zone.
    pub zone: Option<Name>,
    /// Model or adapter.
    pub model: Option<Name>,
    /// Version.
    pub version: Option<Name>,
    /// Box.
    pub server: Option<Name>,
    /// Number of entries, latest last.
    pub last: Option<u32>,
}
