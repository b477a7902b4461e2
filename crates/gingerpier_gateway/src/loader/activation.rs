//! Activates weights at the engine: announces the change to gateways, stages and verifies all
//! chunks, and orders the engine to load them.

use {
    super::Loader,
    crate::{client::Client, clock, weights::cache},
    gingerpier_base::Instant,
    gingerpier_serving::{
        platform_api::{ModelVersion, StartOutcome},
        update_schedule,
    },
};

/// Time after an order by which the engine's reports show it.
const REPORT_DELAY_MILLIS: u64 = 100;

/// Timeout for one chunk or order at the engine.
const ENGINE_TIMEOUT_MILLIS: u64 = 1_000;

/// Interval between checks for the end of the order.
const POLL_INTERVAL_MILLIS: u64 = 50;

/// Attempts to stage a chunk in one round.
const MAX_STAGE_ATTEMPTS: u32 = 3;

/// Announces an imminent order to gateways; dropping it withdraws the announcement.
pub struct Announcement<'l> {
    loader: &'l Loader,
    /// Time at which the order may be sent.
    order_at: Instant,
}

impl<'l> Announcement<'l> {
    /// Announces the order and waits until requests queued at the engine have started.
    pub async fn send(loader: &'l Loader, model_version: &ModelVersion) -> Self {
        loader.set_order_pending(true);
        let notice = update_schedule::notice(loader.validity(&model_version.model), clock::now());
        clock::until(notice.unchanged_until).await;
        Self {
            loader,
            order_at: notice.order_at,
        }
    }
}

impl Drop for Announcement<'_> {
    fn drop(&mut self) {
        self.loader.set_order_pending(false);
    }
}

/// Result of reading back all staged chunks, each of which matched the manifest.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Verification {
    /// Time before the first chunk was read.
    begun_at: Instant,
}

impl Verification {
    fn age_millis(&self) -> u64 {
        clock::now().millis_since(self.begun_at)
    }
}

/// Stages all chunks at the engine and reads each back; `None` unless all of them match the
/// manifest.
pub async fn stage_chunks(loader: &Loader, model_version: &ModelVersion) -> Option<Verification> {
    let begun_at = clock::now();
    let mut client = Client::new(loader.settings.engine);
    let chunk_set = {
        let chunk_cache = loader.distributor.chunk_cache.borrow();
        chunk_cache
            .get(&model_version.model, model_version.version)
            .cloned()
    };
    let chunk_set = chunk_set?;
    let mut staged_count = 0;
    // If one chunk has to be staged, the next one most likely has to be, too.
    let mut must_stage = false;
    for chunk in 0..chunk_set.manifest.digests.len() as u32 {
        let bytes = chunk_set.chunk(chunk)?;
        let mut is_verified = false;
        for _ in 0..MAX_STAGE_ATTEMPTS {
            if !must_stage {
                let read_call = loader
                    .platform_api
                    .staged_chunk(&model_version.model, chunk);
                let response = client.call(&read_call, ENGINE_TIMEOUT_MILLIS).await;
                let response = response.ok()?;
                let is_present = response.head.status == 200;
                is_verified =
                    is_present && cache::matches_digest(&chunk_set.manifest, chunk, &response.body);
                if is_verified {
                    break;
                }
            }
            let mut call = loader.platform_api.stage_chunk(&model_version.model, chunk);
            call.body = bytes.to_vec();
            staged_count += 1;
            client.call(&call, ENGINE_TIMEOUT_MILLIS).await.ok()?;
            must_stage = false;
        }
        if !is_verified {
            tracing::warn!(chunk, "staged chunk does not match its digest");
            return None;
        }
        must_stage = staged_count > chunk;
    }
    let verification = Verification { begun_at };
    tracing::info!(
        version = model_version.version.0,
        laid = staged_count,
        took = verification.age_millis(),
        "weights staged at the engine and verified"
    );
    Some(verification)
}

/// Outcome of an order.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum OrderOutcome {
    /// The engine loaded the weights.
    Loaded,
    /// The engine refused the order or may not have received it.
    NotAccepted,
    /// The engine accepted the order, but didn't load the weights; it may have crashed.
    Failed,
}

/// Orders the engine to load the staged weights.
pub async fn order_start(
    loader: &Loader,
    model_version: &ModelVersion,
    announcement: &Announcement<'_>,
    verification: Verification,
) -> OrderOutcome {
    clock::until(announcement.order_at).await;
    let age_millis = verification.age_millis();
    let sequence = loader
        .report
        .borrow()
        .as_ref()
        .map_or(0, |report| report.sequence);
    let call = loader.platform_api.start(model_version, sequence);
    let mut client = Client::new(loader.settings.engine);
    let result = client.call(&call, ENGINE_TIMEOUT_MILLIS).await;
    let outcome = match &result {
        Ok(response) => Some(loader.platform_api.parse_start(response.head.status)),
        // The order may have been accepted; the engine's next reports show it.
        Err(_) => None,
    };
    tracing::info!(
        version = model_version.version.0,
        sequence,
        ?outcome,
        age = age_millis,
        took = verification.age_millis().saturating_sub(age_millis),
        "start ordered"
    );
    clock::pause(REPORT_DELAY_MILLIS).await;
    loader.set_order_pending(false);
    if outcome == Some(StartOutcome::Refused) {
        return OrderOutcome::NotAccepted;
    }
    while !loader.is_engine_idle() && loader.report.borrow().is_some() {
        clock::pause(POLL_INTERVAL_MILLIS).await;
    }
    let loaded = loader.loaded_version(&model_version.model);
    match loaded.is_some_and(|loaded| loaded >= model_version.version) {
        true => OrderOutcome::Loaded,
        false if outcome.is_some() => OrderOutcome::Failed,
        false => OrderOutcome::NotAccepted,
    }
}
