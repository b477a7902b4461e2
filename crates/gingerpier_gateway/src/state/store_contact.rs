//! Freshness of the local copy of the store, and stalls of the store or of this process.

use {
    super::State,
    crate::clock,
    gingerpier_base::Instant,
    gingerpier_serving::{
        mirror::Revision,
        outage::{Outage, Recovery},
        release::PeerAge,
    },
};

/// Longest time without contact to the store before other gateways are polled.
const MAX_CONTACT_AGE_MILLIS: u64 = 900;

/// Longest gap between ticks that is no stall: far above the process's own work, and short enough
/// to keep cutovers of released weights correct.
const STALL_MILLIS: u64 = 2_000;

impl State {
    /// Records that the process is running; returns since when it has run without a stall.
    pub fn record_tick(&self) -> Instant {
        let now = clock::now();
        let millis = now.millis_since(self.last_tick.replace(now));
        if millis > STALL_MILLIS {
            tracing::warn!(millis, "process stalled");
            self.running_since.set(now);
        }
        self.running_since.get()
    }

    /// Records contact to the store `age` milliseconds ago; 0 for a response to this gateway
    /// itself.
    pub fn record_contact(&self, age: u64) {
        let at = Instant::from_millis(clock::now().as_millis().saturating_sub(age));
        let last = self.last_contact.get();
        self.last_contact.set(last.max(Some(at)));
        if last.is_none() {
            tracing::info!(store = %self.settings.store, age, "store reached");
        }
    }

    /// Records a failed call to the store.
    pub fn record_store_failure(&self, cause: &dyn std::fmt::Display) {
        self.with_outage(|outage| outage.record_failure(clock::now()));
        let age = self.contact_age_millis();
        tracing::warn!(store = %self.settings.store, cause = %cause, ?age, "store does not answer");
    }

    /// Records a store response at `revision`.
    pub fn record_store_response(&self, revision: Revision) {
        let now = clock::now();
        let previous = self.last_recovery();
        self.with_outage(|outage| outage.record_response(revision, now));
        if let Some(new) = self.last_recovery().filter(|new| Some(*new) != previous) {
            let millis = new.until.millis_since(now);
            tracing::info!(
                revision = revision.number,
                millis,
                "store reachable again; engines with missing entries are kept for now"
            );
        }
    }

    /// Records that a copy at `at` is of a newer era than the mirror at `known`.
    pub(super) fn record_new_era(&self, known: Revision, at: Revision) {
        self.with_outage(|outage| outage.record_new_era(at, clock::now()));
        tracing::warn!(
            former = known.era,
            new = at.era,
            known = known.number,
            revision = at.number,
            age = ?self.contact_age_millis(),
            "store came back from an older copy; replica replaced, and engines with missing entries kept for now"
        );
    }

    /// Records when the store last responded to another gateway, and the last recovery that it saw.
    pub fn record_peer_outage(
        &self,
        responded_at: Option<Instant>,
        last_recovery: Option<Recovery>,
    ) {
        let now = clock::now();
        self.with_outage(|outage| {
            // The recovery is judged by the state before this response.
            if let Some(last_recovery) = last_recovery {
                outage.record_peer_recovery(last_recovery, now);
            }
            if let Some(responded_at) = responded_at {
                outage.record_peer_response(responded_at);
            }
        });
    }

    /// Last recovery of the store, while engines' missing entries may still return.
    pub fn last_recovery(&self) -> Option<Recovery> {
        self.outage.get().last_recovery(clock::now())
    }

    fn with_outage(&self, change: impl FnOnce(&mut Outage)) {
        let mut outage = self.outage.get();
        change(&mut outage);
        self.outage.set(outage);
    }

    /// Milliseconds since the last contact to the store; `None` before the first one.
    pub fn contact_age_millis(&self) -> Option<u64> {
        // Received bytes count only after a complete first response.
        let contact = self.last_contact.get()?;
        let last = self
            .store_received_at
            .get()
            .map_or(contact, |received_at| received_at.max(contact));
        Some(clock::now().millis_since(last))
    }

    /// Milliseconds since the last contact to the store, or since process start before the first
    /// one.
    pub fn silence_millis(&self) -> u64 {
        let last_received = self.store_received_at.get().max(self.last_contact.get());
        let last = last_received.unwrap_or(self.started).max(self.started);
        clock::now().millis_since(last)
    }

    /// True if the last contact to the store is too long ago.
    pub fn has_stale_contact(&self) -> bool {
        self.contact_age_millis()
            .is_none_or(|age| age > MAX_CONTACT_AGE_MILLIS)
    }

    /// Records that the mirror is complete as of `requested`.
    pub fn record_fresh(&self, requested: Instant) {
        let mut freshness = self.freshness.get();
        freshness.record_response(requested);
        self.freshness.set(freshness);
    }

    /// Records how fresh another gateway's response was. `requested` is when the request was sent,
    /// `held_for_millis` how long the gateway held it, and `age_millis` the age of its mirror;
    /// `None` if it doesn't know.
    pub fn record_peer_freshness(
        &self,
        requested: Instant,
        age_millis: Option<u64>,
        held_for_millis: u64,
    ) {
        let Some(age_millis) = age_millis else { return };
        let peer_age = PeerAge {
            held_millis: held_for_millis,
            age_millis,
        };
        let mut freshness = self.freshness.get();
        freshness.record_peer_response(requested, peer_age, clock::now());
        self.freshness.set(freshness);
    }

    /// Milliseconds since the mirror was certainly complete; `None` before that.
    pub fn mirror_age_millis(&self) -> Option<u64> {
        self.freshness.get().age(clock::now())
    }
}
