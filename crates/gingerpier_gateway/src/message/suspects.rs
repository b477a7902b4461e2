//! Messages with which gateways tell each other which requests ended engines.

use {
    gingerpier_base::Instant,
    gingerpier_serving::{
        mark::{LENGTH, Mark},
        report::Version,
        suspects::{End, Incarnation},
        trials::Trial,
    },
    minicbor::{Decode, Encode},
    std::net::SocketAddr,
};

/// A request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Encode, Decode)]
#[cbor(transparent)]
pub struct ToldMark(#[cbor(n(0), with = "minicbor::bytes")] [u8; LENGTH]);

impl From<Mark> for ToldMark {
    fn from(mark: Mark) -> Self {
        Self(mark.0)
    }
}

impl From<ToldMark> for Mark {
    fn from(told: ToldMark) -> Self {
        Self(told.0)
    }
}

/// A request ran at an engine when that ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Encode, Decode)]
pub struct ToldEnd {
    /// Request.
    #[n(0)]
    pub mark: ToldMark,
    /// Hash of its client account.
    #[n(1)]
    pub account: u32,
    /// Engine.
    #[n(2)]
    pub engine: u64,
    /// Version of its weights.
    #[n(3)]
    pub version: u64,
    /// Milliseconds since that was noticed.
    #[n(4)]
    pub age: u64,
}

impl ToldEnd {
    /// What tells of `end` at `now`.
    pub fn new(end: &End, now: Instant) -> Self {
        Self {
            mark: end.mark.into(),
            account: end.account,
            engine: end.engine.0,
            version: end.version.0,
            age: now.millis_since(end.at),
        }
    }

    /// The end that was told at `now`.
    pub fn end(&self, now: Instant) -> End {
        End {
            mark: self.mark.into(),
            account: self.account,
            engine: Incarnation(self.engine),
            version: Version(self.version),
            at: Instant::from_millis(now.as_millis().saturating_sub(self.age)),
        }
    }
}

/// A request was answered whole.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Encode, Decode)]
pub struct ToldCleared {
    /// Request.
    #[n(0)]
    pub mark: ToldMark,
    /// Version of the weights that answered it.
    #[n(1)]
    pub version: u64,
}

/// An engine counts no more against a request, by an operator's word.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Encode, Decode)]
pub struct ToldPardon {
    /// Request.
    #[n(0)]
    pub mark: ToldMark,
    /// Hash of its client account.
    #[n(1)]
    pub account: u32,
    /// Engine.
    #[n(2)]
    pub engine: u64,
}

/// A trial of a request that may end engines begins or is over.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Encode, Decode)]
pub struct ToldTrial {
    /// Request.
    #[n(0)]
    pub mark: ToldMark,
    /// Gateway.
    #[n(1)]
    pub by: SocketAddr,
    /// Engine, where no other trial may be beside it.
    #[n(2)]
    pub engine: Option<u64>,
    /// True where it is over.
    #[n(3)]
    pub is_over: bool,
}

impl ToldTrial {
    /// What tells of `trial`.
    pub fn new(trial: &Trial, is_over: bool) -> Self {
        Self {
            mark: trial.mark.into(),
            by: trial.by,
            engine: trial.engine.map(|engine| engine.0),
            is_over,
        }
    }

    /// The trial that was told.
    pub fn trial(&self) -> Trial {
        Trial {
            by: self.by,
            mark: self.mark.into(),
            engine: self.engine.map(Incarnation),
        }
    }
}

/// What a gateway knows of requests that ended engines: some of it, or a digest of all that others should know.
#[derive(Debug, Clone, Default, PartialEq, Eq, Encode, Decode)]
#[cbor(map)]
pub struct Suspects {
    /// Ends.
    #[cbor(n(0), default)]
    pub ends: Vec<ToldEnd>,
    /// Requests that were answered whole.
    #[cbor(n(1), default)]
    pub cleared: Vec<ToldCleared>,
    /// Engines that count no more.
    #[cbor(n(2), default)]
    pub pardons: Vec<ToldPardon>,
    /// Trials.
    #[cbor(n(3), default)]
    pub trials: Vec<ToldTrial>,
    /// True where whoever takes it passes what is new to it on to the other gateways of its zone.
    #[cbor(n(4), default)]
    pub is_to_pass_on: bool,
    /// Digest of what the sender knows, for one that may know something else.
    #[n(5)]
    pub digest: Option<u64>,
    /// True where it answers a digest, so that no other answer follows.
    #[cbor(n(6), default)]
    pub is_answer: bool,
}

impl Suspects {
    /// True where it tells nothing.
    pub const fn is_empty(&self) -> bool {
        self.ends.is_empty()
            && self.cleared.is_empty()
            && self.pardons.is_empty()
            && self.trials.is_empty()
    }
}
