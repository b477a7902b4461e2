//! Activates weights at the engine: announces the change to gateways, stages and verifies all
//! chunks, and orders the engine to load them.
//!
//! Staged chunks may change at any time, and an engine loads them unchecked. A verification
//! therefore expires. The process may still be suspended between the check and the order, or the
//! engine may take the order late; this shows only afterwards, and the chunks are compared again.

use {
    super::Loader,
    crate::{
        client::Client,
        clock,
        weights::cache::{self, ChunkSet},
    },
    gingerpier_base::Instant,
    gingerpier_serving::{
        platform_api::{ModelVersion, StartOutcome},
        update_schedule,
    },
};

/// Time after an order by which the engine's reports show it.
const REPORT_DELAY_MILLIS: u64 = 100;

/// Time for which a staged chunk may have been corrupt when the engine loads it. The platform
/// allows for this much, as no loader can see each change.
const CHANGE_TOLERANCE_MILLIS: u64 = 3_000;

/// Time from the first read of a verification within which its order has to be sent. The other half
/// of the tolerance is left for the engine to accept the order.
const VERIFICATION_VALIDITY_MILLIS: u64 = CHANGE_TOLERANCE_MILLIS / 2;

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

/// Statement that all staged chunks matched the manifest when they were read back.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Verification {
    /// Time before the first chunk was read.
    begun_at: Instant,
    /// Time from which the order may not be sent any more.
    expires_at: Instant,
    /// Time by which the engine has to accept the order.
    accept_by: Instant,
}

impl Verification {
    /// Verification whose first chunk is read now.
    fn begin() -> Self {
        let begun_at = clock::now();
        Self {
            begun_at,
            expires_at: begun_at.after_millis(VERIFICATION_VALIDITY_MILLIS),
            accept_by: begun_at.after_millis(CHANGE_TOLERANCE_MILLIS),
        }
    }

    fn age_millis(&self) -> u64 {
        clock::now().millis_since(self.begun_at)
    }

    fn has_expired(&self) -> bool {
        self.expires_at.has_passed(clock::now())
    }

    /// True if an order that the engine has accepted by now was accepted in time.
    fn covers_order(&self) -> bool {
        !self.accept_by.has_passed(clock::now())
    }
}

/// Reads and writes the chunks of one version at the engine.
struct Staging<'l> {
    loader: &'l Loader,
    client: Client,
    chunk_set: ChunkSet,
}

impl<'l> Staging<'l> {
    /// Staging of a version; `None` if its chunks are not cached.
    fn new(loader: &'l Loader, model_version: &ModelVersion) -> Option<Self> {
        let chunk_cache = loader.distributor.chunk_cache.borrow();
        let chunk_set = chunk_cache.get(&model_version.model, model_version.version)?;
        Some(Self {
            loader,
            client: Client::of_engine(loader.settings.engine),
            chunk_set: chunk_set.clone(),
        })
    }

    fn chunk_count(&self) -> u32 {
        self.chunk_set.manifest.digests.len() as u32
    }

    /// Reads a chunk back; true if it matches the manifest, `None` without a response.
    async fn is_sound(&mut self, chunk: u32) -> Option<bool> {
        let manifest = &self.chunk_set.manifest;
        let call = self
            .loader
            .platform_api
            .staged_chunk(&manifest.model, chunk);
        let response = self.client.call(&call, ENGINE_TIMEOUT_MILLIS).await.ok()?;
        let is_present = response.head.status == 200;
        Some(is_present && cache::matches_digest(manifest, chunk, &response.body))
    }

    /// Writes a chunk; `None` without a response.
    async fn write(&mut self, chunk: u32) -> Option<()> {
        let bytes = self.chunk_set.chunk(chunk)?.to_vec();
        let model = &self.chunk_set.manifest.model;
        let mut call = self.loader.platform_api.stage_chunk(model, chunk);
        call.body = bytes;
        self.client.call(&call, ENGINE_TIMEOUT_MILLIS).await.ok()?;
        Some(())
    }

    /// Number of chunks that don't match the manifest; `None` without a response.
    async fn changed_count(&mut self) -> Option<u32> {
        let mut changed = 0;
        for chunk in 0..self.chunk_count() {
            changed += u32::from(!self.is_sound(chunk).await?);
        }
        Some(changed)
    }
}

/// Stages all chunks at the engine and reads each back; `None` unless all of them match the
/// manifest.
pub async fn stage_chunks(loader: &Loader, model_version: &ModelVersion) -> Option<Verification> {
    let verification = Verification::begin();
    let mut staging = Staging::new(loader, model_version)?;
    let mut staged_count = 0;
    // If one chunk has to be staged, the next one most likely has to be, too.
    let mut must_stage = false;
    for chunk in 0..staging.chunk_count() {
        let mut is_verified = false;
        for _ in 0..MAX_STAGE_ATTEMPTS {
            if !must_stage {
                is_verified = staging.is_sound(chunk).await?;
                if is_verified {
                    break;
                }
            }
            staged_count += 1;
            staging.write(chunk).await?;
            must_stage = false;
        }
        if !is_verified {
            tracing::warn!(chunk, "staged chunk does not match its digest");
            return None;
        }
        must_stage = staged_count > chunk;
    }
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
    /// No order was sent, as the verification of the staged chunks has expired.
    Expired,
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
    if verification.has_expired() {
        tracing::warn!(
            version = model_version.version.0,
            age = age_millis,
            "verification expired before the order; the chunks are verified again"
        );
        return OrderOutcome::Expired;
    }
    let sequence = loader
        .report
        .borrow()
        .as_ref()
        .map_or(0, |report| report.sequence);
    let call = loader.platform_api.start(model_version, sequence);
    let mut client = Client::of_engine(loader.settings.engine);
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
    let is_answered_in_time = outcome.is_some() && verification.covers_order();
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
        true => {
            if !is_answered_in_time && !verification.covers_order() {
                report_late_order(loader, model_version).await;
            }
            OrderOutcome::Loaded
        }
        false if outcome.is_some() => OrderOutcome::Failed,
        false => OrderOutcome::NotAccepted,
    }
}

/// Logs whether staged chunks have changed since an order that the engine may have accepted late.
/// Chunks that are sound now were sound then.
async fn report_late_order(loader: &Loader, model_version: &ModelVersion) {
    let changed = match Staging::new(loader, model_version) {
        Some(mut staging) => staging.changed_count().await,
        None => None,
    };
    let version = model_version.version.0;
    match changed {
        Some(0) => tracing::info!(version, "order accepted late; staged chunks are unchanged"),
        Some(changed) => {
            tracing::error!(version, changed, "engine may have loaded changed chunks");
        }
        None => tracing::error!(
            version,
            "engine may have loaded changed chunks; none were read"
        ),
    }
}
