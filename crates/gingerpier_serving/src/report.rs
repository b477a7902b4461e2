//! What an engine says of itself.

/// Version of a model's weights; versions start at 1 and rise.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default)]
pub struct Version(pub u64);

/// When an engine started, in Unix milliseconds of its own clock: with its id the name of one incarnation. It is only
/// compared with others of the same engine, never with a clock here, which may differ by seconds.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Born(pub u64);

/// Weights that an engine holds.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Held {
    /// Model.
    pub model: String,
    /// Version.
    pub version: Version,
}

/// State of an engine at one moment.
#[derive(Debug, Clone, PartialEq, Default)]
pub struct Report {
    /// When the engine started; none where it does not tell.
    pub born: Option<Born>,
    /// Weights that it holds.
    pub held: Vec<Held>,
    /// True while it carries out an order.
    pub is_busy: bool,
    /// Orders that it has taken.
    pub sequence: u64,
    /// Requests that wait.
    pub queued: u32,
    /// Requests that run.
    pub active: u32,
    /// Tokens in its memory that can't give way.
    pub memory_used: u64,
    /// Tokens that its memory holds.
    pub memory_total: u64,
    /// Prompt tokens that it has admitted and not yet read, as far as can be told.
    pub unread_tokens: u64,
    /// How slow it is; 1 is usual, above is slow.
    pub pace: f64,
}
