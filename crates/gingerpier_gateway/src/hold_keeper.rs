//! Keeps what is on hold in the platform's store, where it outlasts a crash of all gateways.
//!
//! Gateways tell each other, so the store is only written when the set changes, and only read with
//! the other items.

use {
    crate::{
        clock, message,
        message::Suspects as Message,
        state::State,
        store_writes::{self, Written},
        suspects,
    },
    gingerpier_base::order,
    gingerpier_serving::{
        manifest_keeping::{Observed, Schedule},
        report::Version,
    },
    std::{collections::BTreeSet, rc::Rc},
};

/// Interval between checks whether the store lacks a hold.
const POLL_INTERVAL_MILLIS: u64 = 500;

/// Writes holds and dismissals when they differ from those that the store has.
pub async fn run(state: Rc<State>) {
    let key = state.platform_api.holds_key();
    let mut schedule = Schedule::default();
    loop {
        clock::pause(POLL_INTERVAL_MILLIS).await;
        let entries = state.suspect_state.suspects.borrow().hold_entries();
        let is_lacking = entries != *state.suspect_state.kept_entries.borrow();
        // Any other set of entries is another version of the item.
        let version = entries
            .iter()
            .fold(1, |all, entry| order::mix(all ^ order::mix(*entry)));
        let observed = Observed {
            wanted: is_lacking.then_some(Version(version)),
            kept: None,
            rank: match is_lacking {
                true => store_writes::rank(&state, key),
                false => 0,
            },
        };
        if !schedule.is_due(&observed, clock::now()) {
            continue;
        }
        let message = {
            let suspects = state.suspect_state.suspects.borrow();
            suspects::holds_message(&suspects, clock::now())
        };
        let bytes = message::encode(&message);
        match store_writes::write(&state, key, &bytes).await {
            Ok(Written::Outcome(outcome)) => {
                let bytes = bytes.len();
                tracing::info!(bytes, ?outcome, "holds written to the store");
                schedule.record_response(clock::now());
            }
            Ok(Written::FormerEra) => {
                tracing::info!(
                    "holds not written, as the store is in another era than the replica"
                );
                schedule.record_failure(clock::now(), fastrand::u64(..));
            }
            Err(error) => {
                tracing::warn!(cause = %error, "holds not written to the store");
                schedule.record_failure(clock::now(), fastrand::u64(..));
            }
        }
    }
}

impl State {
    /// Applies the holds that the store has.
    pub fn apply_holds(&self, bytes: &[u8]) {
        let Some(message) = message::decode::<Message>(bytes) else {
            let bytes = bytes.len();
            tracing::warn!(
                bytes,
                "holds of the store can't be decoded; they are written again"
            );
            return self.forget_kept_holds();
        };
        let entries: BTreeSet<u64> = message.hold_entries();
        tracing::info!(entries = entries.len(), "holds of the store applied");
        *self.suspect_state.kept_entries.borrow_mut() = entries;
        suspects::apply_update(self, &message, clock::now());
        let mut suspects = self.suspect_state.suspects.borrow_mut();
        for crash in &message.crashes {
            suspects.impose(crash.fingerprint.into());
        }
    }

    /// Records that the store has no holds any more, so that they are written again.
    pub fn forget_kept_holds(&self) {
        self.suspect_state.kept_entries.borrow_mut().clear();
    }
}
