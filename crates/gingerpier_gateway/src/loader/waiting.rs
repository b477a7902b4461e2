//! What an engine without the weights that it is to hold waits for, as a log line.

use {
    super::Loader,
    crate::{clock, weights::holding::Holding},
    gingerpier_base::Instant,
    gingerpier_serving::dialect::Named,
    std::rc::Rc,
};

/// Milliseconds between looks.
const LOOK_MILLIS: u64 = 1_000;

/// Milliseconds after which the same is told again.
const AGAIN_MILLIS: u64 = 10_000;

/// What is waited for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Wait {
    /// Word of gateways or the store on services and models.
    Services,
    /// An answer of the engine.
    Engine,
    /// Word of any version.
    Version,
    /// Its manifest.
    Manifest,
    /// Chunks.
    Chunks,
    /// The engine's turn, or the end of its order.
    Turn,
}

/// Tells what is waited for, where that changes and again and again while it lasts.
pub async fn tell(loader: Rc<Loader>) {
    let mut last: Option<(Wait, Instant)> = None;
    loop {
        clock::pause(LOOK_MILLIS).await;
        let now = clock::now();
        let Some((wait, wanted)) = waits_for(&loader) else {
            last = None;
            continue;
        };
        let is_told = last.is_some_and(|(known, at)| {
            known == wait && !at.after_millis(AGAIN_MILLIS).has_passed(now)
        });
        if is_told {
            continue;
        }
        last = Some((wait, now));
        let holdings = loader.carrier.holdings.borrow();
        let holding = wanted
            .as_ref()
            .and_then(|wanted| holdings.get(&wanted.model, wanted.version));
        tracing::info!(
            ?wait,
            version = wanted.as_ref().map(|wanted| wanted.version.0),
            held = ?wanted.as_ref().and_then(|wanted| loader.held(&wanted.model)),
            chunks = holding.map(Holding::held_count),
            of = holding.map(|holding| holding.manifest.digests.len()),
            gateways = loader.subscribers.borrow().len(),
            tellers = loader.tellers().len(),
            "engine waits for weights"
        );
    }
}

/// What the engine waits for, and the weights that it is to hold; nothing where it holds them.
fn waits_for(loader: &Loader) -> Option<(Wait, Option<Named>)> {
    if loader.model().is_none() {
        return Some((Wait::Services, None));
    }
    if loader.report.borrow().is_none() {
        return Some((Wait::Engine, loader.wanted()));
    }
    let Some(wanted) = loader.wanted() else {
        let holds = loader.model().and_then(|model| loader.held(&model));
        return holds.is_none().then_some((Wait::Version, None));
    };
    if loader.held(&wanted.model) >= Some(wanted.version) {
        return None;
    }
    let holdings = loader.carrier.holdings.borrow();
    let wait = match holdings.get(&wanted.model, wanted.version) {
        None => Wait::Manifest,
        Some(holding) if holding.is_complete() => Wait::Turn,
        Some(_) => Wait::Chunks,
    };
    drop(holdings);
    Some((wait, Some(wanted)))
}
