//! Status report of an engine.

/// Version of a model's weights; starts at 1 and increases.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default)]
pub struct Version(pub u64);

/// Start time of an engine in Unix milliseconds of its own clock. Only compared between
/// incarnations of one engine, as clocks of boxes differ.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Born(pub u64);

/// Loaded weights of one model.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Held {
    /// Model name.
    pub model: String,
    /// Weights version.
    pub version: Version,
}

/// State of an engine at one time.
#[derive(Debug, Clone, PartialEq, Default)]
pub struct Report {
    /// Start time of the engine; `None` if not reported.
    pub start_time: Option<Born>,
    /// Loaded weights.
    pub loaded: Vec<Held>,
    /// True while the engine executes an order.
    pub is_busy: bool,
    /// Number of orders that the engine has received.
    pub sequence: u64,
    /// Queued requests.
    pub queued: u32,
    /// Running requests.
    pub active: u32,
    /// Tokens in memory that can't be evicted.
    pub memory_used_tokens: u64,
    /// Memory capacity in tokens.
    pub memory_total_tokens: u64,
    /// Estimated prompt tokens that are admitted but not yet processed.
    pub pending_prompt_tokens: u64,
    /// Slowdown factor; 1 is normal speed.
    pub slowdown: f64,
}
