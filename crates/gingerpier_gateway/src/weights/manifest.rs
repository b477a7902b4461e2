//! Manifests: everything else is checked against them.

use {
    super::{
        Carrier,
        holding::{Holding, Holdings},
        peers::{Mode, Question},
        sources::Sources,
    },
    crate::{client::Client, clock},
    bytes::Bytes,
    futures_util::future::{self, FutureExt},
    gingerpier_serving::dialect::{Call, Manifest, Named},
    gingerpier_weights::{Route, plan::Source},
    std::{net::SocketAddr, rc::Rc},
};

/// Milliseconds that a manifest may take from one source.
const MANIFEST_MILLIS: u64 = 700;

/// Reads of a manifest at the origin in a row, before a pause.
const MANIFEST_READS: u32 = 4;

/// Milliseconds before a source that failed is asked again.
const PAUSE_MILLIS: u64 = 100;

/// Milliseconds after which the origin is asked also by those that are not the first to take chunks:
/// two copies of a manifest, its reads at the origin and two hops are over by then.
const ORIGIN_LATER_MILLIS: u64 = 900;

/// Sources that are asked at once. They are the first in order: those of the own zone, and then one
/// of each other zone.
const SOURCES_AT_ONCE: usize = 6;

/// Brings the manifest of a version here, from whichever source of `route` has it first; gives the version
/// that it turned out to be.
///
/// Sources are asked side by side, each until it answers: any of them may be down for seconds,
/// and whoever waits for one after the other learns late that the manifest is to be had again.
/// Manifests are small.
pub async fn hold(
    carrier: &Rc<Carrier>,
    sources: &Rc<Sources>,
    route: &Route,
    named: &Named,
) -> Named {
    let is_here = |holdings: &Holdings| holdings.get(&named.model, named.version).is_some();
    if is_here(&carrier.holdings.borrow()) {
        return named.clone();
    }
    let mut order = Vec::new();
    route.sources(0, &mut order);
    let origin_after = match route.is_near_origin() {
        true => 0,
        false => ORIGIN_LATER_MILLIS,
    };
    let peers = order.iter().filter(|source| **source != Source::Origin);
    let origin = order.iter().filter(|source| **source == Source::Origin);
    let asked = origin.chain(peers.take(SOURCES_AT_ONCE));
    let asked = asked.filter_map(|source| Some((*source, sources.address(*source)?)));
    let asking = asked.map(|(source, address)| {
        let after = match source {
            Source::Origin => origin_after,
            Source::Replica(_) | Source::Holder(_) => 0,
        };
        let answer = async move {
            clock::pause(after).await;
            ask_until_had(carrier, source, address, named).await
        };
        answer.boxed_local()
    });
    let asking: Vec<_> = asking.collect();
    if asking.is_empty() {
        // Nobody is known who could have it: sources are looked at anew by whoever asked for it.
        return std::future::pending().await;
    }
    let (had, _, _) = future::select_all(asking).await;
    note_manifest(carrier, had)
}

/// A manifest that was read.
struct Had {
    manifest: Manifest,
    bytes: Bytes,
    source: SocketAddr,
}

/// Asks one source again and again until it gives the manifest.
async fn ask_until_had(
    carrier: &Carrier,
    source: Source,
    address: SocketAddr,
    named: &Named,
) -> Had {
    let mut client = Client::new(address);
    let mut is_told = false;
    loop {
        let bytes = match source {
            Source::Origin => origin_manifest(carrier, &mut client, named).await,
            Source::Replica(_) | Source::Holder(_) => peer_manifest(&mut client, named).await,
        };
        let manifest = bytes.and_then(|bytes| {
            let manifest = carrier.dialect.read_manifest(200, &bytes).ok()?;
            Some((manifest, bytes))
        });
        if let Some((manifest, bytes)) = manifest {
            return Had {
                manifest,
                bytes,
                source: address,
            };
        }
        if !std::mem::replace(&mut is_told, true) {
            tracing::info!(version = named.version.0, source = %address, "manifest not had yet");
        }
        clock::pause(PAUSE_MILLIS).await;
    }
}

/// Asks the origin for the manifest of `named`, of its newest version where that is 0, and holds it; gives the
/// version that it is of.
pub async fn ask_origin(carrier: &Carrier, origin: &mut Client, named: &Named) -> Option<Named> {
    let bytes = origin_manifest(carrier, origin, named).await?;
    let manifest = carrier.dialect.read_manifest(200, &bytes).ok()?;
    let source = origin.peer();
    Some(note_manifest(
        carrier,
        Had {
            manifest,
            bytes,
            source,
        },
    ))
}

fn note_manifest(carrier: &Carrier, had: Had) -> Named {
    let Had {
        manifest,
        bytes,
        source,
    } = had;
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

/// Manifest of the origin, read until it came twice the same: it may be spoilt on its way, and
/// everything else is checked against it.
async fn origin_manifest(carrier: &Carrier, origin: &mut Client, named: &Named) -> Option<Bytes> {
    let question = carrier.dialect.manifest(named);
    let mut seen: Vec<Bytes> = Vec::new();
    for _ in 0..MANIFEST_READS {
        let whole = origin.call(&question, MANIFEST_MILLIS).await.ok()?;
        let status = whole.head.status;
        if carrier.dialect.read_manifest(status, &whole.body).is_err() {
            continue;
        }
        if seen.contains(&whole.body) {
            return Some(whole.body);
        }
        seen.push(whole.body);
    }
    None
}

/// Manifest of a peer; none where it has none yet.
async fn peer_manifest(peer: &mut Client, named: &Named) -> Option<Bytes> {
    let question = Question {
        named: named.clone(),
        chunk: None,
        mode: Mode::Wait,
    };
    let whole = peer
        .call(&Call::get(question.target()), MANIFEST_MILLIS)
        .await
        .ok()?;
    (whole.head.status == 200).then_some(whole.body)
}
