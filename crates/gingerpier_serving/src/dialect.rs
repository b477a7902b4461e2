//! The edge to a platform: its names and messages, as calls and typed answers.
//!
//! An adapter implements [`Dialect`] and nothing else. It holds no state, does no I/O and decides
//! nothing; whoever calls it sends the calls and reads the answers.

use {
    crate::{
        configuration::Configuration,
        fleet::Record,
        mirror::{Item, Revision},
        report::{Report, Version},
    },
    displaydoc::Display,
};

/// Names of header fields, in lower case.
#[derive(Debug, Clone, Copy)]
pub struct Names {
    /// Id of one attempt of a caller.
    pub attempt: &'static str,
    /// Milliseconds that a caller will wait.
    pub deadline: &'static str,
    /// Key of a caller.
    pub key: &'static str,
    /// Name of the tenant, for engines.
    pub tenant: &'static str,
    /// Model that is asked for.
    pub model: &'static str,
    /// Tokens of a prompt, and most tokens of an answer.
    pub tokens: &'static str,
    /// Last event that the caller has.
    pub last_event: &'static str,
    /// Incarnation that alone may run a request.
    pub expect_engine: &'static str,
    /// Version that alone may run a request.
    pub expect_version: &'static str,
    /// Proof of an engine that it did not run a request.
    pub not_run: &'static str,
    /// Signature of an engine.
    pub seal: &'static str,
    /// Version that answers.
    pub version: &'static str,
    /// Rank of a request at an engine, which callers do not set.
    pub priority: &'static str,
    /// Seconds after which to come again.
    pub retry_after: &'static str,
}

/// A call without its connection.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Call {
    /// Method.
    pub method: &'static str,
    /// Path and query.
    pub target: String,
    /// Body; JSON unless the call is known to carry bytes.
    pub body: Vec<u8>,
}

impl Call {
    /// Call without a body.
    pub const fn get(target: String) -> Self {
        Self {
            method: "GET",
            target,
            body: Vec::new(),
        }
    }
}

/// What an item of the store says.
#[derive(Debug, Clone)]
pub enum Fact {
    /// The operators' configuration.
    Configuration(Box<Configuration>),
    /// An engine is listed.
    Engine(Box<Record>),
    /// New weights are named.
    Weights(Named),
    /// Engines of a zone are to get no requests.
    Evacuation(String),
    /// Nothing that matters here.
    Other,
}

/// What was read of an item.
#[derive(Debug, Clone)]
pub struct Reading {
    /// What it says.
    pub fact: Fact,
    /// What it lacks, or says in words that are not known.
    pub omissions: Vec<Omission>,
}

/// Something that an item lacks or that is not known, and what is done without it.
#[derive(Debug, Display, Clone, PartialEq, Eq, PartialOrd, Ord)]
#[displaydoc("{place}: {what} is missing or unknown: {instead}")]
pub struct Omission {
    /// Where in the item.
    pub place: String,
    /// What is missing.
    pub what: String,
    /// What is done instead.
    pub instead: &'static str,
}

impl Omission {
    /// Omission of `what` at `place`, with what is done `instead`.
    pub fn new(place: &str, what: &str, instead: &'static str) -> Self {
        Self {
            place: place.to_owned(),
            what: what.to_owned(),
            instead,
        }
    }
}

/// What the key of an item stands for.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Subject {
    /// The operators' configuration.
    Configuration,
    /// The engine with an id.
    Engine(String),
    /// Weights of a model.
    Weights(String),
    /// Evacuation of a zone.
    Evacuation(String),
    /// Nothing that matters here.
    Other,
}

/// Weights that operators named.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Named {
    /// Model.
    pub model: String,
    /// Version.
    pub version: Version,
}

/// A page of items.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct Page {
    /// Entries that are no items and were left out.
    pub left_out: u32,
    /// Items.
    pub items: Vec<Item>,
    /// True where more follow.
    pub has_more: bool,
    /// Revision of the store.
    pub at: Revision,
}

/// What a watch brought.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Watched {
    /// Changes up to a revision.
    Changes(Page),
    /// The history asked for is gone.
    HistoryGone,
}

/// What the origin says of a version.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Manifest {
    /// Model.
    pub model: String,
    /// Version.
    pub version: Version,
    /// Bytes of a chunk.
    pub chunk_bytes: u64,
    /// Digest of each chunk, by SHA-256.
    pub digests: Vec<[u8; 32]>,
}

/// A message that does not say what it should.
#[derive(Debug, Display, Clone, PartialEq, Eq)]
pub enum Error {
    /// status {0}
    Status(u16),
    /// {place}: {what}
    Malformed {
        /// Where in the message.
        place: String,
        /// What is wrong.
        what: String,
    },
}

impl std::error::Error for Error {}

/// Messages of a platform.
pub trait Dialect {
    /// Names of header fields.
    fn names(&self) -> &'static Names;

    /// True where `target` asks whether this process is ready.
    fn asks_ready(&self, target: &str) -> bool;

    /// Call for a page of items, behind `after`; `stale` where an old answer will do.
    fn list(&self, scope: Scope, after: &str, stale: bool) -> Call;

    /// Answer to [`Dialect::list`].
    ///
    /// # Errors
    ///
    /// Where it is refused or malformed.
    fn read_list(&self, status: u16, body: &[u8]) -> Result<Page, Error>;

    /// Call for changes behind `after`, which waits at most `wait_millis`.
    fn watch(&self, scope: Scope, after: Revision, wait_millis: u64) -> Call;

    /// Answer to [`Dialect::watch`].
    ///
    /// # Errors
    ///
    /// Where it is refused or malformed.
    fn read_watch(&self, status: u16, body: &[u8]) -> Result<Watched, Error>;

    /// What the key of an item stands for.
    fn subject(&self, key: &str) -> Subject;

    /// What an item says. What is missing or unknown costs what depends on it, and is named.
    ///
    /// # Errors
    ///
    /// Where the value is malformed, or nothing could be done with the rest.
    fn fact(&self, key: &str, value: &[u8]) -> Result<Reading, Error>;

    /// Call for the state of an engine.
    fn report(&self) -> Call;

    /// Answer to [`Dialect::report`].
    ///
    /// # Errors
    ///
    /// Where it is refused or malformed.
    fn read_report(&self, status: u16, body: &[u8]) -> Result<Report, Error>;

    /// Order to an engine to take the weights that lie there, if it has taken `sequence` orders.
    fn start(&self, named: &Named, sequence: u64) -> Call;

    /// Answer to [`Dialect::start`].
    fn read_start(&self, status: u16) -> Started;

    /// Call for the manifest of a version; of the newest where it is 0.
    fn manifest(&self, named: &Named) -> Call;

    /// Answer to [`Dialect::manifest`].
    ///
    /// # Errors
    ///
    /// Where it is refused or malformed.
    fn read_manifest(&self, status: u16, body: &[u8]) -> Result<Manifest, Error>;

    /// Call for a chunk at the origin.
    fn chunk(&self, named: &Named, chunk: u32) -> Call;

    /// Call that lays a chunk at an engine.
    fn lay_chunk(&self, model: &str, chunk: u32) -> Call;

    /// Call for a chunk that lies at an engine.
    fn laid_chunk(&self, model: &str, chunk: u32) -> Call;
}

/// What a page or a watch covers.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Scope {
    /// All items.
    Everything,
    /// What operators write.
    Operators,
    /// Weights that operators named.
    Weights,
    /// The list of engines.
    Engines,
}

/// What an engine made of an order.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Started {
    /// It has begun.
    Begun,
    /// It holds the weights already.
    Done,
    /// It does not fit its state.
    Refused,
}
