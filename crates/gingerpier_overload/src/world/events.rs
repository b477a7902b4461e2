//! Events of the model and their order.

use {
    super::zones::Digest,
    crate::gateway::ReportOf,
    gingerpier_admission::sharing::ServiceDemand,
    gingerpier_base::Instant,
    gingerpier_serving::report::Report,
    std::{ops::Range, sync::Arc},
};

/// What comes to pass.
#[derive(Debug, Clone)]
pub(super) enum Event {
    /// The next request comes to a gateway.
    Arrival(usize),
    /// A caller tries.
    Try(usize),
    /// A gateway looks again at a caller that it holds.
    Again(usize),
    /// A caller gives up where its attempt shows nothing.
    Leave(usize),
    /// An attempt reaches its engine.
    Reach(usize),
    /// An attempt's caller left, and its engine learns of it.
    Cancel(usize),
    /// An engine's pass ends.
    Pass { engine: usize, life: u32 },
    /// A gateway gets an attempt's events, or learns that it failed.
    Word(usize, Word),
    /// A gateway looks whether an attempt shows anything.
    Patience(usize),
    /// An engine tells its load to a gateway.
    Tell { engine: usize, gateway: usize },
    /// A report reaches a gateway.
    Hear {
        gateway: usize,
        of: ReportOf,
        report: Box<Report>,
        at: f64,
    },
    /// Engines end, or begin.
    Switch { engines: Range<usize>, is_up: bool },
    /// An engine tells its load to the gateways of its zone.
    TellZone(usize),
    /// A gateway looks whether it sends a digest or its demand.
    Poll(usize),
    /// A gateway's demand reaches one that sends digests.
    HearDemand {
        gateway: usize,
        from: usize,
        services: Vec<ServiceDemand>,
        sent_at: Instant,
    },
    /// A digest reaches a gateway.
    HearDigest { gateway: usize, digest: Arc<Digest> },
    /// An incident begins or ends.
    Incident { index: usize, is_begin: bool },
    /// Gateways learn of it.
    List {
        engine: usize,
        life: u32,
        is_up: bool,
    },
    /// All gateways end, and begin without knowledge.
    Restart,
}

/// What a gateway learns of an attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Word {
    First,
    Last,
    Full,
    Broken,
    TimedOut,
}

/// An event and its time in microseconds; the number keeps those of one time in order.
#[derive(Debug)]
pub(super) struct Timed(pub u64, pub u64, pub Event);

impl PartialEq for Timed {
    fn eq(&self, other: &Self) -> bool {
        (self.0, self.1) == (other.0, other.1)
    }
}

impl Eq for Timed {}

impl PartialOrd for Timed {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for Timed {
    fn cmp(&self, other: &Self) -> std::cmp::Ordering {
        (self.0, self.1).cmp(&(other.0, other.1))
    }
}
