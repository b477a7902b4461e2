//! Manifests: everything else is checked against them.

use {
    super::{
        Carrier,
        holding::Holding,
        peers::{Mode, Question},
        sources::Sources,
    },
    crate::{clock, store},
    bytes::Bytes,
    gingerpier_http1::connection::Whole,
    gingerpier_serving::dialect::{Call, Manifest, Named},
    gingerpier_weights::plan::Source,
    std::{net::SocketAddr, rc::Rc},
};

/// Milliseconds that a manifest may take from one source.
const MANIFEST_MILLIS: u64 = 700;

/// Milliseconds for which a peer that waits for the manifest itself is waited for.
const MANIFEST_WAIT_MILLIS: u64 = 900;

/// Reads of a manifest at the origin before the next source is asked.
const MANIFEST_READS: u32 = 4;

/// Milliseconds before all sources are asked anew.
const PAUSE_MILLIS: u64 = 100;

/// Brings the manifest of a version here, from the first of `order` that has it; gives the version
/// that it turned out to be.
pub async fn hold(
    carrier: &Rc<Carrier>,
    sources: &Rc<Sources>,
    order: &[Source],
    named: &Named,
) -> Named {
    loop {
        if carrier
            .holdings
            .borrow()
            .get(&named.model, named.version)
            .is_some()
        {
            return named.clone();
        }
        for source in order {
            let Some(address) = sources.address(*source) else {
                continue;
            };
            let bytes = match source {
                Source::Origin => origin_manifest(carrier, address, named).await,
                _ => peer_manifest(address, named).await,
            };
            let manifest = bytes.and_then(|bytes| {
                let manifest = carrier.dialect.read_manifest(200, &bytes).ok()?;
                Some((manifest, bytes))
            });
            if let Some((manifest, bytes)) = manifest {
                return note_manifest(carrier, manifest, bytes, address);
            }
            tracing::info!(version = named.version.0, source = %address, "manifest not had");
        }
        clock::pause(PAUSE_MILLIS).await;
    }
}

fn note_manifest(carrier: &Carrier, manifest: Manifest, bytes: Bytes, source: SocketAddr) -> Named {
    let named = Named {
        model: manifest.model.clone(),
        version: manifest.version,
    };
    let chunks = manifest.digests.len();
    tracing::info!(model = named.model, version = named.version.0, chunks, %source, "manifest taken");
    let holding = Holding::new(manifest, bytes);
    carrier.holdings.borrow_mut().add(holding);
    carrier.arrived.notify_waiters();
    named
}

async fn call(address: SocketAddr, call: &Call, millis: u64) -> Option<Whole> {
    store::Client::new(address).call(call, millis).await.ok()
}

/// Manifest of the origin, read until it came twice the same: it may be spoilt on its way, and
/// everything else is checked against it.
async fn origin_manifest(carrier: &Carrier, address: SocketAddr, named: &Named) -> Option<Bytes> {
    let question = carrier.dialect.manifest(named);
    let mut seen: Vec<Bytes> = Vec::new();
    for _ in 0..MANIFEST_READS {
        let Some(whole) = call(address, &question, MANIFEST_MILLIS).await else {
            continue;
        };
        if carrier
            .dialect
            .read_manifest(whole.head.status, &whole.body)
            .is_err()
        {
            continue;
        }
        if seen.contains(&whole.body) {
            return Some(whole.body);
        }
        seen.push(whole.body);
    }
    None
}

async fn peer_manifest(address: SocketAddr, named: &Named) -> Option<Bytes> {
    let question = Question {
        named: named.clone(),
        chunk: None,
        mode: Mode::Wait,
    };
    let deadline = clock::now().after_millis(MANIFEST_WAIT_MILLIS);
    loop {
        let whole = call(address, &Call::get(question.target()), MANIFEST_MILLIS).await?;
        match whole.head.status {
            200 => return Some(whole.body),
            202 if !deadline.has_passed(clock::now()) => {}
            _ => return None,
        }
    }
}
