//! The change of weights at the engine: gateways are told, chunks are laid beside it and read back, and it is
//! ordered to take them.

use {
    super::Loader,
    crate::{client::Client, clock, weights::holding},
    gingerpier_base::Instant,
    gingerpier_serving::{
        bringing,
        dialect::{Named, Started},
    },
};

/// Milliseconds after an order by which a report tells of it.
const REPORTED_MILLIS: u64 = 100;

/// Milliseconds that the engine may take for one chunk or order.
const ENGINE_MILLIS: u64 = 1_000;

/// Milliseconds between looks at whether the engine is done.
const LOOK_MILLIS: u64 = 50;

/// Looks at a chunk before it is left for the next round.
const LAY_TRIES: u32 = 3;

/// The word to gateways that an order is coming; taken back when dropped.
pub struct Notice<'l> {
    loader: &'l Loader,
    /// When the order may be given.
    ends: Instant,
}

impl<'l> Notice<'l> {
    /// Tells the gateways, and lets what waits at the engine begin.
    pub async fn give(loader: &'l Loader, named: &Named) -> Self {
        loader.set_ordering(true);
        let notice = bringing::notice(loader.tenure(&named.model), clock::now());
        clock::until(notice.quiet_until).await;
        Self {
            loader,
            ends: notice.order_at,
        }
    }
}

impl Drop for Notice<'_> {
    fn drop(&mut self) {
        self.loader.set_ordering(false);
    }
}

/// Lays every chunk at the engine and reads each back right before the order; true where all of
/// them lie there as they should.
pub async fn lay(loader: &Loader, named: &Named) -> bool {
    let mut client = Client::new(loader.settings.engine);
    let holding = {
        let holdings = loader.carrier.holdings.borrow();
        holdings.get(&named.model, named.version).cloned()
    };
    let Some(holding) = holding else { return false };
    let mut laid = 0;
    // Where one chunk has to be laid, the next one has to be, too, as a rule.
    let mut is_missing = false;
    for chunk in 0..holding.manifest.digests.len() as u32 {
        let Some(bytes) = holding.chunk(chunk) else {
            return false;
        };
        let mut is_right = false;
        for _ in 0..LAY_TRIES {
            if !is_missing {
                let question = loader.dialect.laid_chunk(&named.model, chunk);
                let Ok(whole) = client.call(&question, ENGINE_MILLIS).await else {
                    return false;
                };
                let is_here = whole.head.status == 200;
                is_right = is_here && holding::is_right(&holding.manifest, chunk, &whole.body);
                if is_right {
                    break;
                }
            }
            let mut call = loader.dialect.lay_chunk(&named.model, chunk);
            call.body = bytes.to_vec();
            laid += 1;
            if client.call(&call, ENGINE_MILLIS).await.is_err() {
                return false;
            }
            is_missing = false;
        }
        if !is_right {
            tracing::warn!(chunk, "chunk does not lie at the engine as it should");
            return false;
        }
        is_missing = laid > chunk;
    }
    tracing::info!(
        version = named.version.0,
        laid,
        "weights laid and read back"
    );
    true
}

/// What came of an order.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Ordered {
    /// The engine holds the weights.
    Held,
    /// It did not take the order, as far as known.
    NotTaken,
    /// It took the order and holds them all the same not: it may have ended of them.
    InVain,
}

/// Orders the engine to take what lies there.
pub async fn order(loader: &Loader, named: &Named, notice: &Notice<'_>) -> Ordered {
    clock::until(notice.ends).await;
    let sequence = loader
        .report
        .borrow()
        .as_ref()
        .map_or(0, |report| report.sequence);
    let call = loader.dialect.start(named, sequence);
    let mut client = Client::new(loader.settings.engine);
    let answer = client.call(&call, ENGINE_MILLIS).await;
    let outcome = match &answer {
        Ok(whole) => Some(loader.dialect.read_start(whole.head.status)),
        // The order may have been taken: the engine's next reports tell.
        Err(_) => None,
    };
    tracing::info!(
        version = named.version.0,
        sequence,
        ?outcome,
        "start ordered"
    );
    clock::pause(REPORTED_MILLIS).await;
    loader.set_ordering(false);
    if outcome == Some(Started::Refused) {
        return Ordered::NotTaken;
    }
    while !loader.is_engine_free() && loader.report.borrow().is_some() {
        clock::pause(LOOK_MILLIS).await;
    }
    let held = loader.held(&named.model);
    match held.is_some_and(|held| held >= named.version) {
        true => Ordered::Held,
        false if outcome.is_some() => Ordered::InVain,
        false => Ordered::NotTaken,
    }
}
