//! Request and response frames between processes.

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

/// First frame of a stream, sent by the process that opened it.
#[derive(Debug, Clone, PartialEq, Encode, Decode)]
#[cbor(map)]
pub enum Request {
    /// Exchanges the identities of both processes.
    #[n(0)]
    Hello(#[n(0)] Hello),
    /// Runs a request at an engine or plain service; the request body follows.
    #[n(1)]
    Attempt(#[n(0)] Attempt),
    /// Prevents an attempt from starting, and cancels it if it runs.
    #[n(2)]
    Revoke {
        /// Attempt to revoke.
        #[n(0)]
        key: AttemptKey,
        /// Incarnation of the backend process that the attempt was sent to.
        #[n(1)]
        addressed: Incarnation,
    },
    /// Subscribes to the state of a backend server, which is sent on every change.
    #[n(3)]
    Follow {
        /// Incarnation of the entry box process that sends the request.
        #[n(0)]
        entry: Incarnation,
    },
    /// Sends configuration and boxes that the sender knows.
    #[n(4)]
    Inform(#[n(0)] Inform),
    /// Fetches a chunk of weights, starting at byte `offset`.
    #[n(5)]
    Chunk {
        /// Digest of the version's manifest.
        #[n(0)]
        version: Digest,
        /// Index of the chunk.
        #[n(1)]
        index: u32,
        /// First byte, for resuming a transfer.
        #[n(2)]
        offset: u32,
        /// True to wait if the receiver does not have it yet.
        #[n(3)]
        wait: bool,
    },
    /// Fetches the manifest of a version; its bytes follow the response.
    #[n(6)]
    ManifestOf {
        /// Digest of the manifest.
        #[n(0)]
        version: Digest,
        /// True to wait if the receiver does not have it yet.
        #[n(1)]
        wait: bool,
    },
    /// Claims the right to run the request of a ticket that the receiver issued.
    #[n(7)]
    Claim {
        /// Ticket of the request.
        #[n(0)]
        ticket: Ticket,
        /// Incarnation of the entry box process that sends the request.
        #[n(1)]
        holder: Incarnation,
    },
    /// Reports the result of a granted claim.
    #[n(8)]
    Settle {
        /// Ticket of the request.
        #[n(0)]
        ticket: Ticket,
        /// Number of the grant.
        #[n(1)]
        grant: u32,
        /// Result of the granted run.
        #[n(2)]
        settlement: Settlement,
    },
    /// Fetches the records after a revision, or a snapshot if they are no longer available.
    #[n(9)]
    Sync {
        /// Current revision of the sender.
        #[n(0)]
        revision: Revision,
    },
}

/// Response frame.
#[derive(Debug, Clone, PartialEq, Encode, Decode)]
#[cbor(map)]
pub enum Reply {
    /// Identity of the responding process.
    #[n(0)]
    Hello(#[n(0)] Hello),
    /// The attempt did not start and will not start later.
    #[n(1)]
    Refused {
        /// Reason.
        #[n(0)]
        refusal: Refusal,
        /// Requests at the engine from other senders.
        #[n(1)]
        others: Option<u32>,
    },
    /// The attempt has already started on another stream, which carries its response.
    #[n(2)]
    Duplicate,
    /// Head of the engine's response.
    #[n(3)]
    Head(#[n(0)] Head),
    /// Part of the response body; its bytes follow.
    #[n(4)]
    Body {
        /// Number of bytes that follow.
        #[n(0)]
        length: u32,
    },
    /// End of a complete response.
    #[n(5)]
    End {
        /// Total size of the response body, in bytes.
        #[n(0)]
        bytes: u64,
        /// Requests at the engine from other senders.
        #[n(1)]
        others: Option<u32>,
    },
    /// The response was interrupted.
    #[n(6)]
    Broken {
        /// Cause, for logs.
        #[n(0)]
        why: String,
    },
    /// Result of a revocation.
    #[n(7)]
    Revoked(#[n(0)] Revocation),
    /// State of a backend server.
    #[n(8)]
    Status(#[n(0)] Status),
    /// Acknowledges configuration and boxes.
    #[n(9)]
    Informed {
        /// Current revision of the responder.
        #[n(0)]
        revision: Revision,
    },
    /// Part of a chunk; its bytes follow.
    #[n(10)]
    Chunk {
        /// Number of bytes that follow.
        #[n(0)]
        length: u32,
    },
    /// Not available yet; the responder is fetching it. Sent repeatedly while waiting.
    #[n(11)]
    Pending,
    /// Not available, and the responder is not fetching it.
    #[n(12)]
    NotHeld,
    /// Result of a claim.
    #[n(13)]
    Claimed(#[n(0)] Verdict),
    /// Configuration and boxes that the responder knows.
    #[n(14)]
    News(#[n(0)] Inform),
}

/// Identity and location of a process.
#[derive(Debug, Clone, PartialEq, Eq, Encode, Decode)]
#[cbor(map)]
pub struct Hello {
    /// Name of the box.
    #[n(0)]
    pub name: Name,
    /// Role of the process.
    #[n(1)]
    pub role: Role,
    /// Region and availability zone.
    #[n(2)]
    pub zone: Zone,
    /// Incarnation of the process.
    #[n(3)]
    pub incarnation: Incarnation,
    /// Address for links from other processes.
    #[n(4)]
    pub address: String,
    /// True if the process is leaving.
    #[n(5)]
    pub leaving: bool,
}

/// An attempt to run a request at an engine or plain service.
#[derive(Debug, Clone, PartialEq, Eq, Encode, Decode)]
#[cbor(map)]
pub struct Attempt {
    /// Key that identifies the attempt.
    #[n(0)]
    pub key: AttemptKey,
    /// Incarnation of the backend process that the attempt is addressed to.
    #[n(1)]
    pub addressed: Incarnation,
    /// Identifier of the request, for logs.
    #[n(2)]
    pub request: String,
    /// Name of the engine or plain service.
    #[n(3)]
    pub engine: Name,
    /// Digest of the manifest that the engine must serve; none for a plain service.
    #[n(4)]
    pub weights: Option<Digest>,
    /// Digest of the adapter's manifest that the engine must serve.
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
    /// Time until the deadline of the request, in milliseconds.
    #[n(9)]
    pub millis_left: u64,
    /// Size of the request body that follows, in bytes.
    #[n(10)]
    pub body_length: u32,
    /// Priority of the client account; 0 is the highest.
    #[n(11)]
    pub priority: u8,
    /// Number of response events that the caller has already received.
    #[n(12)]
    pub resume_after: Option<u64>,
    /// True to refuse the attempt if the engine cannot run it immediately.
    #[n(13)]
    #[cbor(default)]
    pub at_once: bool,
}

/// Head of a response.
#[derive(Debug, Clone, PartialEq, Eq, Encode, Decode)]
#[cbor(map)]
pub struct Head {
    /// HTTP status.
    #[n(0)]
    pub status: u16,
    /// HTTP content type.
    #[n(1)]
    pub content_type: Option<String>,
    /// Digest of the manifest that served the request, as reported by the engine.
    #[n(2)]
    pub weights: Option<Digest>,
}

/// Configuration and boxes known to a process.
#[derive(Debug, Clone, PartialEq, Default, Encode, Decode)]
#[cbor(map)]
pub struct Inform {
    /// Revision after the records or snapshot are applied.
    #[n(0)]
    pub revision: Revision,
    /// Records after the receiver's revision.
    #[n(1)]
    pub records: Vec<Record>,
    /// Encoded snapshot, if the records are not available.
    #[n(2)]
    #[cbor(with = "minicbor::bytes")]
    pub snapshot: Option<Vec<u8>>,
    /// Backend servers, by the box list and by links.
    #[n(3)]
    pub boxes: Vec<Peer>,
    /// Revision that the key-value service confirmed to the sender since its last connection.
    #[n(4)]
    pub confirmed: Option<Revision>,
}

/// A box, as observed by another process.
#[derive(Debug, Clone, PartialEq, Eq, Encode, Decode)]
#[cbor(map)]
pub struct Peer {
    /// Name of the box.
    #[n(0)]
    pub name: Name,
    /// Role of its process.
    #[n(1)]
    pub role: Role,
    /// Region and availability zone.
    #[n(2)]
    pub zone: Zone,
    /// Address of its process for links.
    #[n(3)]
    pub address: String,
    /// Entry in the box list, including a known departure.
    #[n(4)]
    pub listing: Listing,
    /// Incarnation of the process, if known.
    #[n(5)]
    pub incarnation: Option<Incarnation>,
}

/// State of a backend server.
#[derive(Debug, Clone, PartialEq, Eq, Default, Encode, Decode)]
#[cbor(map)]
pub struct Status {
    /// Current revision of the backend server.
    #[n(0)]
    pub revision: Revision,
    /// True if the process is leaving.
    #[n(1)]
    pub leaving: bool,
    /// Engines and plain services of the server.
    #[n(2)]
    pub engines: Vec<EngineStatus>,
    /// Size of the cached chunks, in bytes.
    #[n(3)]
    pub chunk_bytes: u64,
    /// True if the key-value service has confirmed the revision, through an entry box.
    #[n(4)]
    #[cbor(default)]
    pub confirmed: bool,
}

/// Lifecycle phase of an engine.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Encode, Decode)]
#[cbor(index_only)]
pub enum Phase {
    /// No weights are loaded.
    #[n(0)]
    Empty,
    /// Weights are being transferred.
    #[n(1)]
    Loading,
    /// The assigned weights are loaded.
    #[n(2)]
    Ready,
    /// New requests are refused; running requests complete.
    #[n(3)]
    Draining,
    /// The engine does not respond.
    #[n(4)]
    Down,
}

impl Phase {
    /// Name in tables and logs.
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
    /// Name of the engine or plain service.
    #[n(0)]
    pub name: Name,
    /// Kind of models that the engine runs, or name of the plain service.
    #[n(1)]
    pub kind: Name,
    /// True for a plain service.
    #[n(2)]
    pub plain: bool,
    /// Lifecycle phase.
    #[n(3)]
    pub phase: Phase,
    /// Digest of the manifest that the engine reports as loaded.
    #[n(4)]
    pub weights: Option<Digest>,
    /// Digests of the adapters' manifests that the engine reports as loaded.
    #[n(5)]
    pub adapters: Vec<Digest>,
    /// Requests at the engine from other senders.
    #[n(6)]
    pub others: u32,
    /// Maximum number of concurrent requests.
    #[n(7)]
    pub capacity: u32,
    /// Number of cached chunks of the assigned weights.
    #[n(8)]
    pub chunks_held: u32,
    /// Number of chunks of the assigned weights.
    #[n(9)]
    pub chunks_wanted: u32,
    /// Bytes received from the origin for the engine.
    #[n(10)]
    pub origin_bytes: u64,
    /// Bytes received from peers for the engine.
    #[n(11)]
    pub peer_bytes: u64,
    /// Reason why the weights cannot be loaded, if any.
    #[n(12)]
    pub trouble: Option<String>,
}
