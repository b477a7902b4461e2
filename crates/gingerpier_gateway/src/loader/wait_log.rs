//! Logs what an engine without its target version is waiting for.

use {
    super::Loader,
    crate::{clock, weights::cache::ChunkSet},
    gingerpier_base::Instant,
    gingerpier_serving::platform_api::ModelVersion,
    std::rc::Rc,
};

/// Interval between checks.
const CHECK_INTERVAL_MILLIS: u64 = 1_000;

/// Interval between log lines for the same state.
const REPEAT_INTERVAL_MILLIS: u64 = 10_000;

/// What an engine is waiting for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum WaitReason {
    /// The service configuration.
    Services,
    /// A response from the engine.
    Engine,
    /// Any known version.
    Version,
    /// The manifest.
    Manifest,
    /// Chunks.
    Chunks,
    /// Permission to order the engine, or the end of its current order.
    Turn,
}

/// Logs each change of what the engine is waiting for, and repeats it while it lasts.
pub async fn run(loader: Rc<Loader>) {
    let mut last: Option<(WaitReason, Instant)> = None;
    loop {
        clock::pause(CHECK_INTERVAL_MILLIS).await;
        let now = clock::now();
        let Some((wait, target)) = current_wait(&loader) else {
            last = None;
            continue;
        };
        let is_logged = last.is_some_and(|(last_wait, at)| {
            last_wait == wait && !at.after_millis(REPEAT_INTERVAL_MILLIS).has_passed(now)
        });
        if is_logged {
            continue;
        }
        last = Some((wait, now));
        let chunk_cache = loader.distributor.chunk_cache.borrow();
        let chunk_set = target
            .as_ref()
            .and_then(|target| chunk_cache.get(&target.model, target.version));
        tracing::info!(
            ?wait,
            version = target.as_ref().map(|target| target.version.0),
            held = ?target.as_ref().and_then(|target| loader.loaded_version(&target.model)),
            chunks = chunk_set.map(ChunkSet::cached_count),
            of = chunk_set.map(|chunk_set| chunk_set.manifest.digests.len()),
            gateways = loader.subscribers.borrow().len(),
            tellers = loader.informed_gateways().len(),
            "engine waits for weights"
        );
    }
}

/// What the engine is waiting for and its target version; none if it has loaded the target.
fn current_wait(loader: &Loader) -> Option<(WaitReason, Option<ModelVersion>)> {
    if loader.model().is_none() {
        return Some((WaitReason::Services, None));
    }
    if loader.report.borrow().is_none() {
        return Some((WaitReason::Engine, loader.target()));
    }
    let Some(target) = loader.target() else {
        let loaded = loader
            .model()
            .and_then(|model| loader.loaded_version(&model));
        return loaded.is_none().then_some((WaitReason::Version, None));
    };
    if loader.loaded_version(&target.model) >= Some(target.version) {
        return None;
    }
    let chunk_cache = loader.distributor.chunk_cache.borrow();
    let wait = match chunk_cache.get(&target.model, target.version) {
        None => WaitReason::Manifest,
        Some(chunk_set) if chunk_set.is_complete() => WaitReason::Turn,
        Some(_) => WaitReason::Chunks,
    };
    drop(chunk_cache);
    Some((wait, Some(target)))
}
