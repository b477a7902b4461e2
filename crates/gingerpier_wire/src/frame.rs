//! What processes say to each other.

use {
    gingerpier_base::{
        Digest, Name,
        place::{Incarnation, Role, Zone},
    },
    gingerpier_catalogue::{Record, Revision},
    gingerpier_membership::Listing,
    gingerpier_once::{
        claims::{Settlement, Verdict},
        dedup::{AttemptKey, Refusal, Revocation},
        ticket::Ticket,
    },
    minicbor::{Decode, Encode},
};

/// The first frame of a stream.
#[derive(Debug, Clone, PartialEq, Encode, Decode)]
#[cbor(map)]
pub enum Request {
    /// Who calls; the answer says who answers.
    #[n(0)]
    Hello(#[n(0)] Hello),
    /// Run a request at an engine or plain service; its body follows.
    #[n(1)]
    Attempt(#[n(0)] Attempt),
    /// Shut out an attempt, and end it if it runs.
    #[n(2)]
    Revoke {
        /// Attempt to shut out.
        #[n(0)]
        key: AttemptKey,
        /// Run of the backend process that it was sent to.
        #[n(1)]
        addressed: Incarnation,
    },
    /// Report state from now on, at once when it changes.
    #[n(3)]
    Follow {
        /// Run of the entry box process that asks.
        #[n(0)]
        entry: Incarnation,
    },
    /// What the asker knows of configuration and boxes.
    #[n(4)]
    Inform(#[n(0)] Inform),
    /// A chunk of weights from byte `offset` on.
    #[n(5)]
    Chunk {
        /// Manifest of the version.
        #[n(0)]
        version: Digest,
        /// Index of the chunk.
        #[n(1)]
        index: u32,
        /// First byte wanted.
        #[n(2)]
        offset: u32,
        /// Wait for it, where it is not held yet.
        #[n(3)]
        wait: bool,
    },
    /// The manifest of a version; its bytes follow the answer.
    #[n(6)]
    ManifestOf {
        /// Digest of the manifest.
        #[n(0)]
        version: Digest,
        /// Wait for it, where it is not held yet.
        #[n(1)]
        wait: bool,
    },
    /// The right to run the request of a ticket that the answerer issued.
    #[n(7)]
    Claim {
        /// Its ticket.
        #[n(0)]
        ticket: Ticket,
        /// Run of the entry box process that asks.
        #[n(1)]
        holder: Incarnation,
    },
    /// What became of a grant.
    #[n(8)]
    Settle {
        /// Its ticket.
        #[n(0)]
        ticket: Ticket,
        /// The grant.
        #[n(1)]
        grant: u32,
        /// What became of it.
        #[n(2)]
        settlement: Settlement,
    },
    /// Records after a revision, or a snapshot where they are no longer held.
    #[n(9)]
    Sync {
        /// Revision in force at the asker.
        #[n(0)]
        revision: Revision,
    },
}

/// An answer's frame.
#[derive(Debug, Clone, PartialEq, Encode, Decode)]
#[cbor(map)]
pub enum Reply {
    /// Who answers.
    #[n(0)]
    Hello(#[n(0)] Hello),
    /// The attempt did not start, and will not.
    #[n(1)]
    Refused {
        /// Why.
        #[n(0)]
        refusal: Refusal,
        /// Requests at the engine that are not the asker's.
        #[n(1)]
        others: Option<u32>,
    },
    /// A second copy of an attempt that started; this stream carries no answer.
    #[n(2)]
    Duplicate,
    /// The answer begins.
    #[n(3)]
    Head(#[n(0)] Head),
    /// A part of the answer; that many bytes follow.
    #[n(4)]
    Body {
        /// Bytes that follow.
        #[n(0)]
        length: u32,
    },
    /// The answer is whole.
    #[n(5)]
    End {
        /// Bytes of all parts.
        #[n(0)]
        bytes: u64,
        /// Requests at the engine that are not the asker's.
        #[n(1)]
        others: Option<u32>,
    },
    /// The answer broke off.
    #[n(6)]
    Broken {
        /// What happened, for logs.
        #[n(0)]
        why: String,
    },
    /// Answer to a revocation.
    #[n(7)]
    Revoked(#[n(0)] Revocation),
    /// State of a backend server.
    #[n(8)]
    Status(#[n(0)] Status),
    /// Revision in force at the answerer.
    #[n(9)]
    Informed {
        /// Its revision.
        #[n(0)]
        revision: Revision,
    },
    /// That many bytes of a chunk follow.
    #[n(10)]
    Chunk {
        /// Bytes that follow.
        #[n(0)]
        length: u32,
    },
    /// Not held yet; the answerer is waiting for it itself.
    #[n(11)]
    Pending,
    /// Not held, and not to be had here.
    #[n(12)]
    NotHeld,
    /// Answer to a claim.
    #[n(13)]
    Claimed(#[n(0)] Verdict),
    /// What the answerer knows of configuration and boxes.
    #[n(14)]
    News(#[n(0)] Inform),
}

/// Who a process is.
#[derive(Debug, Clone, PartialEq, Eq, Encode, Decode)]
#[cbor(map)]
pub struct Hello {
    /// Its box.
    #[n(0)]
    pub name: Name,
    /// What it does.
    #[n(1)]
    pub role: Role,
    /// Where it is.
    #[n(2)]
    pub zone: Zone,
    /// Its run.
    #[n(3)]
    pub incarnation: Incarnation,
    /// Its address for other processes.
    #[n(4)]
    pub address: String,
    /// True once it leaves.
    #[n(5)]
    pub leaving: bool,
}

/// A request on its way to an engine or plain service.
#[derive(Debug, Clone, PartialEq, Eq, Encode, Decode)]
#[cbor(map)]
pub struct Attempt {
    /// Attempt.
    #[n(0)]
    pub key: AttemptKey,
    /// Run of the backend process that it is meant for.
    #[n(1)]
    pub addressed: Incarnation,
    /// Identifier of the request, for logs.
    #[n(2)]
    pub request: String,
    /// Engine or plain service.
    #[n(3)]
    pub engine: Name,
    /// Manifest that must answer; none for a plain service.
    #[n(4)]
    pub weights: Option<Digest>,
    /// Adapter's manifest that must answer.
    #[n(5)]
    pub adapter: Option<Digest>,
    /// HTTP method.
    #[n(6)]
    pub method: String,
    /// HTTP path and query.
    #[n(7)]
    pub path: String,
    /// HTTP content type.
    #[n(8)]
    pub content_type: Option<String>,
    /// Milliseconds that are left to the request.
    #[n(9)]
    pub millis_left: u64,
    /// Bytes of the body that follow.
    #[n(10)]
    pub body_length: u32,
    /// Priority of the client account; 0 is served first.
    #[n(11)]
    pub priority: u8,
    /// Parts of the answer that the caller has already.
    #[n(12)]
    pub resume_after: Option<u64>,
    /// Refuse it where the engine could not run it at once.
    #[n(13)]
    #[cbor(default)]
    pub at_once: bool,
}

/// First part of an answer.
#[derive(Debug, Clone, PartialEq, Eq, Encode, Decode)]
#[cbor(map)]
pub struct Head {
    /// HTTP status.
    #[n(0)]
    pub status: u16,
    /// HTTP content type.
    #[n(1)]
    pub content_type: Option<String>,
    /// Manifest that answers, by the engine's own word.
    #[n(2)]
    pub weights: Option<Digest>,
}

/// What a process knows of configuration and boxes.
#[derive(Debug, Clone, PartialEq, Default, Encode, Decode)]
#[cbor(map)]
pub struct Inform {
    /// Revision that the rest leads to.
    #[n(0)]
    pub revision: Revision,
    /// Records that follow the asker's revision.
    #[n(1)]
    pub records: Vec<Record>,
    /// A snapshot, where the records are not enough.
    #[n(2)]
    #[cbor(with = "minicbor::bytes")]
    pub snapshot: Option<Vec<u8>>,
    /// Backend servers, as the box list and links show them.
    #[n(3)]
    pub boxes: Vec<Peer>,
    /// Revision that the key-value service itself confirmed to the asker, under its present link
    /// to it.
    #[n(4)]
    pub confirmed: Option<Revision>,
}

/// A box, as another process sees it.
#[derive(Debug, Clone, PartialEq, Eq, Encode, Decode)]
#[cbor(map)]
pub struct Peer {
    /// Its name.
    #[n(0)]
    pub name: Name,
    /// What its process does.
    #[n(1)]
    pub role: Role,
    /// Where it is.
    #[n(2)]
    pub zone: Zone,
    /// Address of its process.
    #[n(3)]
    pub address: String,
    /// Listing, and a leaving that was heard of.
    #[n(4)]
    pub listing: Listing,
    /// Run of the process, where known.
    #[n(5)]
    pub incarnation: Option<Incarnation>,
}

/// State of a backend server.
#[derive(Debug, Clone, PartialEq, Eq, Default, Encode, Decode)]
#[cbor(map)]
pub struct Status {
    /// Revision in force there.
    #[n(0)]
    pub revision: Revision,
    /// True once it leaves.
    #[n(1)]
    pub leaving: bool,
    /// Its engines and plain services.
    #[n(2)]
    pub engines: Vec<EngineStatus>,
    /// Bytes of chunks held.
    #[n(3)]
    pub chunk_bytes: u64,
    /// True once the key-value service has confirmed its revision through an entry box.
    #[n(4)]
    #[cbor(default)]
    pub confirmed: bool,
}

/// What an engine is about.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Encode, Decode)]
#[cbor(index_only)]
pub enum Phase {
    /// Holds no weights.
    #[n(0)]
    Empty,
    /// Weights are on their way.
    #[n(1)]
    Loading,
    /// Holds what it was ordered to hold, complete.
    #[n(2)]
    Ready,
    /// Takes no new work; what runs goes on.
    #[n(3)]
    Draining,
    /// Does not answer.
    #[n(4)]
    Down,
}

impl Phase {
    /// Word used in tables and logs.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Empty => "empty",
            Self::Loading => "loading",
            Self::Ready => "ready",
            Self::Draining => "draining",
            Self::Down => "down",
        }
    }
}

/// State of an engine or plain service.
#[derive(Debug, Clone, PartialEq, Eq, Encode, Decode)]
#[cbor(map)]
pub struct EngineStatus {
    /// Its name.
    #[n(0)]
    pub name: Name,
    /// Kind of models, or name of the plain service.
    #[n(1)]
    pub kind: Name,
    /// True for a plain service.
    #[n(2)]
    pub plain: bool,
    /// What it is about.
    #[n(3)]
    pub phase: Phase,
    /// Manifest that it reports whole.
    #[n(4)]
    pub weights: Option<Digest>,
    /// Adapters' manifests that it reports whole.
    #[n(5)]
    pub adapters: Vec<Digest>,
    /// Requests at the engine that are not the asker's.
    #[n(6)]
    pub others: u32,
    /// Requests that it takes at once.
    #[n(7)]
    pub capacity: u32,
    /// Chunks held of those that it is to be given.
    #[n(8)]
    pub chunks_held: u32,
    /// Chunks that it is to be given.
    #[n(9)]
    pub chunks_wanted: u32,
    /// Bytes taken from the origin for it.
    #[n(10)]
    pub origin_bytes: u64,
    /// Bytes taken from peers for it.
    #[n(11)]
    pub peer_bytes: u64,
    /// Why it is not loaded, where something is in the way.
    #[n(12)]
    pub trouble: Option<String>,
}
