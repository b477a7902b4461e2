//! Interface to a platform: its header names, requests and parsed responses.
//!
//! A platform adapter implements [`PlatformApi`] and nothing else. It has no state, does no I/O and
//! makes no decisions; its callers send the requests and pass the responses back.

use {
    crate::{
        configuration::Configuration,
        fleet::Record,
        mirror::{Item, Revision},
        report::{Report, Version},
    },
    displaydoc::Display,
    gingerpier_base::target::Target,
};

/// Names of HTTP header fields, in lower case.
#[derive(Debug, Clone, Copy)]
pub struct HeaderNames {
    /// Id of one attempt by a client.
    pub attempt: &'static str,
    /// Milliseconds for which a client waits.
    pub deadline: &'static str,
    /// API key of a client.
    pub key: &'static str,
    /// Name of the client account, sent to engines.
    pub account: &'static str,
    /// Requested model.
    pub model: &'static str,
    /// Prompt tokens, and the maximum tokens of a response.
    pub tokens: &'static str,
    /// Parts of the prompt, in order, each as `ID:TOKENS`; the last one belongs to the request alone.
    pub prompt_parts: &'static str,
    /// Last event that the client received.
    pub last_event: &'static str,
    /// Only incarnation that may run the request.
    pub expect_engine: &'static str,
    /// Only version that may run the request.
    pub expect_version: &'static str,
    /// Set by an engine that did not run the request.
    pub not_run: &'static str,
    /// Signature of an engine.
    pub signature: &'static str,
    /// Version of the weights that generate the response.
    pub version: &'static str,
    /// Priority of a request at an engine; not accepted from clients.
    pub priority: &'static str,
    /// Seconds after which to retry.
    pub retry_after: &'static str,
    /// Requests per second that an engine accepts from all gateways together.
    pub request_limit: &'static str,
    /// Set by an engine that is about to leave.
    pub draining: &'static str,
    /// Era of the store, in each of its responses.
    pub store_era: &'static str,
}

impl HeaderNames {
    /// Names of the platform's fields in engines' responses that gateways use.
    pub const fn response_fields(&self) -> [&'static str; 7] {
        [
            self.attempt,
            self.not_run,
            self.signature,
            self.version,
            self.retry_after,
            self.request_limit,
            self.draining,
        ]
    }
}

/// An HTTP request without its connection.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ApiRequest {
    /// Method.
    pub method: &'static str,
    /// Path and query.
    pub target: Target,
    /// Header fields in addition to those that every request has.
    pub fields: Vec<(&'static str, String)>,
    /// Body; JSON, except for chunks.
    pub body: Vec<u8>,
}

impl ApiRequest {
    /// Creates a request without a body.
    pub const fn get(target: Target) -> Self {
        Self {
            method: "GET",
            target,
            fields: Vec::new(),
            body: Vec::new(),
        }
    }

    /// Adds a header field.
    #[must_use]
    pub fn with_field(mut self, name: &'static str, value: String) -> Self {
        self.fields.push((name, value));
        self
    }
}

/// Parsed value of a store item.
#[derive(Debug, Clone)]
pub enum Content {
    /// The operators' configuration.
    Configuration(Box<Configuration>),
    /// A listed engine.
    Engine(Box<Record>),
    /// A release of weights.
    Weights(ModelVersion),
    /// Zone whose engines get no requests.
    Evacuation(String),
    /// A manifest that gateways keep.
    Manifest(Box<Manifest>),
    /// What gateways keep of requests and prompt parts on hold, as they encoded it.
    Holds(Vec<u8>),
    /// Not relevant here.
    Other,
}

/// A parsed store item.
#[derive(Debug, Clone)]
pub struct ParsedItem {
    /// Its value.
    pub content: Content,
    /// What is missing or unknown in it.
    pub omissions: Vec<Omission>,
}

/// A missing or unknown part of an item, and how it is handled.
#[derive(Debug, Display, Clone, PartialEq, Eq, PartialOrd, Ord)]
#[displaydoc("{place}: {what} is missing or unknown: {instead}")]
pub struct Omission {
    /// Position in the item.
    pub place: String,
    /// The missing or unknown part.
    pub what: String,
    /// What is done instead.
    pub instead: &'static str,
}

impl Omission {
    /// Creates an omission of `what` at `place`.
    pub fn new(place: &str, what: &str, instead: &'static str) -> Self {
        Self {
            place: place.to_owned(),
            what: what.to_owned(),
            instead,
        }
    }
}

/// What the key of a store item identifies.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ItemKind {
    /// The operators' configuration.
    Configuration,
    /// An engine, by its id.
    Engine(String),
    /// The released weights of a model.
    Weights(String),
    /// Evacuation of a zone.
    Evacuation(String),
    /// The manifest of a model's weights that gateways keep.
    Manifest(String),
    /// Requests and prompt parts on hold, which gateways keep.
    Holds,
    /// Not relevant here.
    Other,
}

/// A version of a model's weights.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ModelVersion {
    /// Model.
    pub model: String,
    /// Version.
    pub version: Version,
}

/// A page of store items.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct Page {
    /// Number of malformed entries that were skipped.
    pub skipped_count: u32,
    /// Items.
    pub items: Vec<Item>,
    /// True if more pages follow.
    pub has_more: bool,
    /// Revision of the store.
    pub revision: Revision,
}

impl Page {
    /// Returns the page with all its revisions in `era`.
    #[must_use]
    pub fn in_era(mut self, era: u64) -> Self {
        for item in &mut self.items {
            item.revision = item.revision.in_era(era);
        }
        self.revision = self.revision.in_era(era);
        self
    }
}

/// Response to a watch request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum WatchResponse {
    /// Changes up to the page's revision.
    Changes(Page),
    /// The requested revision is compacted.
    Compacted,
}

/// Chunks of one version, as the origin lists them.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Manifest {
    /// Model.
    pub model: String,
    /// Version.
    pub version: Version,
    /// Bytes per chunk.
    pub chunk_bytes: u64,
    /// SHA-256 digest of each chunk.
    pub digests: Vec<[u8; 32]>,
}

/// A response that can't be used.
#[derive(Debug, Display, Clone, PartialEq, Eq)]
pub enum Error {
    /// status {0}
    Status(u16),
    /// {place}: {what}
    Malformed {
        /// Position in the message.
        place: String,
        /// What is wrong.
        what: String,
    },
}

impl std::error::Error for Error {}

/// Requests and responses of a platform.
pub trait PlatformApi {
    /// Returns the header names.
    fn header_names(&self) -> &'static HeaderNames;

    /// Returns true if `target` is the path of the readiness check of this process.
    fn is_readiness_check(&self, target: &str) -> bool;

    /// Request for a page of items after key `after`; with `allow_stale`, an outdated response will do.
    fn list(&self, scope: Scope, after: &str, allow_stale: bool) -> ApiRequest;

    /// Parses the response to [`PlatformApi::list`]; its revisions are those of the first era, as the
    /// era is in the head.
    ///
    /// # Errors
    ///
    /// If the request was rejected or the response is malformed.
    fn parse_list(&self, status: u16, body: &[u8]) -> Result<Page, Error>;

    /// Request for changes after revision `after`, which the store answers within `wait_millis`.
    fn watch(&self, scope: Scope, after: Revision, wait_millis: u64) -> ApiRequest;

    /// Parses the response to [`PlatformApi::watch`], as [`PlatformApi::parse_list`] does.
    ///
    /// # Errors
    ///
    /// If the request was rejected or the response is malformed.
    fn parse_watch(&self, status: u16, body: &[u8]) -> Result<WatchResponse, Error>;

    /// Request that writes an item, unless its revision differs from `expected`; revision 0 stands
    /// for an item that doesn't exist.
    fn put(&self, key: &str, value: &[u8], expected: Revision) -> ApiRequest;

    /// Parses the response to [`PlatformApi::put`].
    ///
    /// # Errors
    ///
    /// If the request was rejected.
    fn parse_put(&self, status: u16) -> Result<PutOutcome, Error>;

    /// Key of the item with the manifest of a model's weights.
    fn manifest_key(&self, model: &str) -> String;

    /// Key under which gateways keep what is on hold.
    fn holds_key(&self) -> &'static str;

    /// Returns what the key of an item identifies.
    fn item_kind(&self, key: &str) -> ItemKind;

    /// Parses the value of an item. Missing or unknown parts are replaced and listed as omissions.
    ///
    /// # Errors
    ///
    /// If the value is malformed or unusable without the missing parts.
    fn parse_item(&self, key: &str, value: &[u8]) -> Result<ParsedItem, Error>;

    /// Request for the state of an engine.
    fn report(&self) -> ApiRequest;

    /// Parses the response to [`PlatformApi::report`].
    ///
    /// # Errors
    ///
    /// If the request was rejected or the response is malformed.
    fn parse_report(&self, status: u16, body: &[u8]) -> Result<Report, Error>;

    /// Request that orders an engine to load its staged weights, unless its number of orders so far
    /// differs from `sequence`.
    fn start(&self, model_version: &ModelVersion, sequence: u64) -> ApiRequest;

    /// Parses the response to [`PlatformApi::start`].
    fn parse_start(&self, status: u16) -> StartOutcome;

    /// Request for the manifest of a version; of the newest if the version is 0.
    fn manifest(&self, model_version: &ModelVersion) -> ApiRequest;

    /// Parses the response to [`PlatformApi::manifest`].
    ///
    /// # Errors
    ///
    /// If the request was rejected or the response is malformed.
    fn parse_manifest(&self, status: u16, body: &[u8]) -> Result<Manifest, Error>;

    /// Request for a chunk from the origin.
    fn chunk(&self, model_version: &ModelVersion, chunk: u32) -> ApiRequest;

    /// Request that stages a chunk at an engine; the caller adds the body.
    fn stage_chunk(&self, model: &str, chunk: u32) -> ApiRequest;

    /// Request that reads a staged chunk back from an engine.
    fn staged_chunk(&self, model: &str, chunk: u32) -> ApiRequest;
}

/// Items covered by a list or watch request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Scope {
    /// All items.
    Everything,
    /// Items that operators write.
    Operators,
    /// Released weights.
    Weights,
    /// Listed engines.
    Engines,
}

/// Response of the store to a conditional write.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PutOutcome {
    /// The item is written.
    Written,
    /// The item has another revision than expected, and is unchanged.
    Conflict,
}

/// Response of an engine to an order.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StartOutcome {
    /// Loading has begun.
    Begun,
    /// The engine already holds the weights.
    Done,
    /// The order doesn't fit the engine's state.
    Refused,
}
