//! Messages about requests that ran on crashing engines, exchanged by gateways.

use {
    gingerpier_base::Instant,
    gingerpier_serving::{
        fingerprint::{Fingerprint, LENGTH_BYTES},
        report::Version,
        suspects::{self, Crash, Incarnation},
        trials::Trial,
    },
    minicbor::{Decode, Encode},
    std::{collections::BTreeSet, net::SocketAddr},
};

/// Fingerprint of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Encode, Decode)]
#[cbor(transparent)]
pub struct FingerprintBytes(#[cbor(n(0), with = "minicbor::bytes")] [u8; LENGTH_BYTES]);

impl From<Fingerprint> for FingerprintBytes {
    fn from(fingerprint: Fingerprint) -> Self {
        Self(fingerprint.0)
    }
}

impl From<FingerprintBytes> for Fingerprint {
    fn from(bytes: FingerprintBytes) -> Self {
        Self(bytes.0)
    }
}

/// A request ran on an engine when that crashed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Encode, Decode)]
pub struct CrashUpdate {
    /// Fingerprint of the request, or of a part of its prompt.
    #[n(0)]
    pub fingerprint: FingerprintBytes,
    /// Hash of the client account.
    #[n(1)]
    pub account: u32,
    /// Engine incarnation.
    #[n(2)]
    pub engine: u64,
    /// Version of the engine's weights.
    #[n(3)]
    pub version: u64,
    /// Milliseconds since the crash was detected.
    #[n(4)]
    pub age_millis: u64,
    /// Hash of the request, if the fingerprint is that of a part. Older gateways take a part for a
    /// request that never comes.
    #[n(5)]
    pub carrier: Option<u64>,
}

impl CrashUpdate {
    /// Encodes `crash` at `now`.
    pub fn new(crash: &Crash, now: Instant) -> Self {
        Self {
            fingerprint: crash.fingerprint.into(),
            account: crash.account,
            engine: crash.engine.0,
            version: crash.version.0,
            age_millis: now.millis_since(crash.at),
            carrier: crash.carrier,
        }
    }

    /// Decodes the crash, received at `now`.
    pub fn crash(&self, now: Instant) -> Crash {
        Crash {
            fingerprint: self.fingerprint.into(),
            carrier: self.carrier,
            account: self.account,
            engine: Incarnation(self.engine),
            version: Version(self.version),
            at: Instant::from_millis(now.as_millis().saturating_sub(self.age_millis)),
        }
    }
}

/// A request ran to completion, or one with a part.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Encode, Decode)]
pub struct CompletionUpdate {
    /// Fingerprint of the request.
    #[n(0)]
    pub fingerprint: FingerprintBytes,
    /// Version of the weights that served it.
    #[n(1)]
    pub version: u64,
}

/// An operator dismissed an engine's crash as evidence against a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Encode, Decode)]
pub struct DismissalUpdate {
    /// Fingerprint of the request.
    #[n(0)]
    pub fingerprint: FingerprintBytes,
    /// Hash of the client account.
    #[n(1)]
    pub account: u32,
    /// Engine incarnation.
    #[n(2)]
    pub engine: u64,
}

/// Start or end of a trial run of a request that may crash engines.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Encode, Decode)]
pub struct TrialUpdate {
    /// Fingerprint of the request.
    #[n(0)]
    pub fingerprint: FingerprintBytes,
    /// Gateway that runs the trial.
    #[n(1)]
    pub gateway: SocketAddr,
    /// Engine, if it must not run another trial.
    #[n(2)]
    pub engine: Option<u64>,
    /// True if the trial has ended.
    #[n(3)]
    pub has_ended: bool,
}

impl TrialUpdate {
    /// Encodes `trial`.
    pub fn new(trial: &Trial, has_ended: bool) -> Self {
        Self {
            fingerprint: trial.fingerprint.into(),
            gateway: trial.gateway,
            engine: trial.engine.map(|engine| engine.0),
            has_ended,
        }
    }

    /// Decodes the trial.
    pub fn trial(&self) -> Trial {
        Trial {
            gateway: self.gateway,
            fingerprint: self.fingerprint.into(),
            engine: self.engine.map(Incarnation),
        }
    }
}

/// Updates about requests that crash engines, or a digest of all that the sender knows.
#[derive(Debug, Clone, Default, PartialEq, Eq, Encode, Decode)]
#[cbor(map)]
pub struct Suspects {
    /// Crashes.
    #[cbor(n(0), default)]
    pub crashes: Vec<CrashUpdate>,
    /// Requests that ran to completion.
    #[cbor(n(1), default)]
    pub completions: Vec<CompletionUpdate>,
    /// Dismissed crashes.
    #[cbor(n(2), default)]
    pub dismissals: Vec<DismissalUpdate>,
    /// Trials.
    #[cbor(n(3), default)]
    pub trials: Vec<TrialUpdate>,
    /// True if the recipient forwards new entries to the other gateways of its zone.
    #[cbor(n(4), default)]
    pub is_to_be_forwarded: bool,
    /// Digest of all entries that the sender knows, to detect missing ones.
    #[n(5)]
    pub digest: Option<u64>,
    /// True if this replies to a digest, so that no further reply follows.
    #[cbor(n(6), default)]
    pub is_reply: bool,
}

impl Suspects {
    /// Hashes of what the crashes and dismissals of this message put on hold or dismiss.
    pub fn hold_entries(&self) -> BTreeSet<u64> {
        let holds = self.crashes.iter();
        let holds = holds.map(|crash| suspects::hold_entry(crash.fingerprint.into(), None));
        let dismissals = self.dismissals.iter().map(|dismissal| {
            let engine = Incarnation(dismissal.engine);
            suspects::hold_entry(dismissal.fingerprint.into(), Some(engine))
        });
        holds.chain(dismissals).collect()
    }

    /// True if there are no entries.
    pub const fn is_empty(&self) -> bool {
        self.crashes.is_empty()
            && self.completions.is_empty()
            && self.dismissals.is_empty()
            && self.trials.is_empty()
    }
}
