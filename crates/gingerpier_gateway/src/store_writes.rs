//! Writes of what gateways keep in the platform's store, where it outlasts a crash of all processes.

use {
    crate::{
        error::{Error, Step},
        state::State,
        store,
    },
    gingerpier_base::order,
    gingerpier_serving::platform_api::PutOutcome,
    std::net::SocketAddr,
};

/// Timeout for a write to the store.
const WRITE_TIMEOUT_MILLIS: u64 = 1_500;

/// Response to a conditional write.
pub enum Written {
    /// The store compared the revision with its own.
    Outcome(PutOutcome),
    /// The store rejected a revision of another era, which tells nothing of the item.
    FormerEra,
}

/// Number of live gateways of all zones that write what is known as `subject` before this one.
pub fn rank(state: &State, subject: &str) -> u32 {
    let subject = order::hash(subject);
    let score = |address: SocketAddr| order::score(subject, order::hash(&address));
    let own = score(state.settings.peers);
    let alive = state.alive_gateways().into_iter();
    let higher_ranked = alive.filter(|gateway| score(gateway.address) > own);
    higher_ranked.count() as u32
}

/// Writes the item `key`, unless another gateway has written it meanwhile.
///
/// # Errors
///
/// If the store gives no valid response.
pub async fn write(state: &State, key: &str, bytes: &[u8]) -> Result<Written, Error> {
    let (expected, era) = {
        let mirror = state.mirror.borrow();
        let expected = mirror.item_revision(key).unwrap_or_default();
        (expected, mirror.revision().era)
    };
    let call = state.platform_api.put(key, bytes, expected);
    state.metrics.store_calls.inc();
    let mut client = store::client(state.settings.store, state.platform_api);
    let response = client.call(&call, WRITE_TIMEOUT_MILLIS).await?;
    let outcome = state.platform_api.parse_put(response.head.status);
    let outcome = outcome.map_err(|cause| Error::Response {
        step: Step::Parse,
        peer: client.peer(),
        cause,
    })?;
    let is_other_era = store::era(state.platform_api, &response) != era;
    Ok(match outcome {
        PutOutcome::Conflict if is_other_era => Written::FormerEra,
        outcome => Written::Outcome(outcome),
    })
}
