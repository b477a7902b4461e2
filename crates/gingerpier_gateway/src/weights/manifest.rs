//! Fetches manifests, which all other data is verified against.

use {
    super::{
        Distributor,
        cache::{ChunkCache, ChunkSet},
        peers::{Mode, PeerRequest},
        sources::Sources,
    },
    crate::{client::Client, clock},
    bytes::Bytes,
    futures_util::future::{self, FutureExt},
    gingerpier_serving::platform_api::{ApiRequest, Manifest, ModelVersion},
    gingerpier_weights::{Route, plan::Source},
    std::{net::SocketAddr, rc::Rc},
};

/// Timeout for one manifest request.
const MANIFEST_TIMEOUT_MILLIS: u64 = 700;

/// Manifest reads from the origin between pauses.
const MAX_ORIGIN_READS: u32 = 4;

/// Pause before a failed source is tried again.
const RETRY_PAUSE_MILLIS: u64 = 100;

/// Delay before processes that don't fetch from the origin first request the manifest there. Covers
/// its reads at the origin and two hops.
const ORIGIN_DELAY_MILLIS: u64 = 900;

/// Peers requested concurrently: the first in route order, which covers the own zone and one peer
/// of each other zone.
const MAX_PEER_SOURCES: usize = 6;

/// Fetches the manifest of a version from the store's copy or else from the first source of `route`
/// that returns it, and returns the version that was found.
///
/// Polls all sources concurrently, because any of them may be down for seconds.
pub async fn fetch(
    distributor: &Rc<Distributor>,
    sources: &Rc<Sources>,
    route: &Route,
    model_version: &ModelVersion,
) -> ModelVersion {
    let is_cached = |chunk_cache: &ChunkCache| {
        chunk_cache
            .get(&model_version.model, model_version.version)
            .is_some()
    };
    if is_cached(&distributor.chunk_cache.borrow()) {
        return model_version.clone();
    }
    tokio::select! {
        biased;
        kept = wait_for_kept(distributor, model_version) => cache_manifest(distributor, kept),
        fetched = poll_sources(distributor, sources, route, model_version) => {
            cache_manifest(distributor, fetched)
        }
    }
}

/// Returns the manifest from the store once this process knows it.
async fn wait_for_kept(distributor: &Distributor, model_version: &ModelVersion) -> FetchedManifest {
    loop {
        let arrived = distributor.arrived.notified();
        if let Some(kept) = distributor.kept_manifests.get(model_version) {
            return FetchedManifest {
                manifest: kept.manifest,
                bytes: kept.bytes,
                source: None,
            };
        }
        arrived.await;
    }
}

/// Polls all sources of `route` until one returns the manifest.
async fn poll_sources(
    distributor: &Rc<Distributor>,
    sources: &Rc<Sources>,
    route: &Route,
    model_version: &ModelVersion,
) -> FetchedManifest {
    let mut route_sources = Vec::new();
    route.sources(0, &mut route_sources);
    let origin_delay = match route.may_request_manifest_from_origin() {
        true => 0,
        false => ORIGIN_DELAY_MILLIS,
    };
    let peers = route_sources
        .iter()
        .filter(|source| **source != Source::Origin);
    let origin = route_sources
        .iter()
        .filter(|source| **source == Source::Origin);
    let candidates = origin.chain(peers.take(MAX_PEER_SOURCES));
    let candidates = candidates.filter_map(|source| Some((*source, sources.address(*source)?)));
    let requests = candidates.map(|(source, address)| {
        let delay = match source {
            Source::Origin => origin_delay,
            Source::Replica(_) | Source::Holder(_) => 0,
        };
        let request = async move {
            clock::pause(delay).await;
            poll_source(distributor, source, address, model_version).await
        };
        request.boxed_local()
    });
    let requests: Vec<_> = requests.collect();
    if requests.is_empty() {
        // Without a source, the caller restarts this once its sources change.
        return std::future::pending().await;
    }
    let (fetched, _, _) = future::select_all(requests).await;
    fetched
}

/// A parsed manifest and its source.
struct FetchedManifest {
    manifest: Manifest,
    bytes: Bytes,
    /// None for the store.
    source: Option<SocketAddr>,
}

/// Polls one source until it returns the manifest.
async fn poll_source(
    distributor: &Distributor,
    source: Source,
    address: SocketAddr,
    model_version: &ModelVersion,
) -> FetchedManifest {
    let mut client = Client::new(address);
    let mut is_logged = false;
    loop {
        let bytes = match source {
            Source::Origin => read_from_origin(distributor, &mut client, model_version).await,
            Source::Replica(_) | Source::Holder(_) => {
                read_from_peer(&mut client, model_version).await
            }
        };
        let manifest = bytes.and_then(|bytes| {
            let manifest = distributor.platform_api.parse_manifest(200, &bytes).ok()?;
            Some((manifest, bytes))
        });
        if let Some((manifest, bytes)) = manifest {
            return FetchedManifest {
                manifest,
                bytes,
                source: Some(address),
            };
        }
        if !std::mem::replace(&mut is_logged, true) {
            tracing::info!(version = model_version.version.0, source = %address, "manifest not had yet");
        }
        clock::pause(RETRY_PAUSE_MILLIS).await;
    }
}

/// Reads the manifest of `model_version` from the origin and caches it; version 0 stands for the
/// newest. Returns the version that was found.
pub async fn fetch_from_origin(
    distributor: &Distributor,
    origin: &mut Client,
    model_version: &ModelVersion,
) -> Option<ModelVersion> {
    let bytes = read_from_origin(distributor, origin, model_version).await?;
    let manifest = distributor.platform_api.parse_manifest(200, &bytes).ok()?;
    let source = Some(origin.peer());
    Some(cache_manifest(
        distributor,
        FetchedManifest {
            manifest,
            bytes,
            source,
        },
    ))
}

fn cache_manifest(distributor: &Distributor, fetched: FetchedManifest) -> ModelVersion {
    let FetchedManifest {
        manifest,
        bytes,
        source,
    } = fetched;
    let model_version = ModelVersion {
        model: manifest.model.clone(),
        version: manifest.version,
    };
    let chunks = manifest.digests.len();
    tracing::info!(model = model_version.model, version = model_version.version.0, chunks, source = ?source, "manifest taken");
    let chunk_set = ChunkSet::new(manifest, bytes);
    distributor.chunk_cache.borrow_mut().insert(chunk_set);
    distributor.arrived.notify_waiters();
    model_version
}

/// Reads the manifest from the origin until two reads agree, as a corrupt manifest would invalidate
/// every check against it.
pub async fn read_from_origin(
    distributor: &Distributor,
    origin: &mut Client,
    model_version: &ModelVersion,
) -> Option<Bytes> {
    let call = distributor.platform_api.manifest(model_version);
    let mut earlier_reads: Vec<Bytes> = Vec::new();
    for _ in 0..MAX_ORIGIN_READS {
        let response = origin.call(&call, MANIFEST_TIMEOUT_MILLIS).await.ok()?;
        let status = response.head.status;
        if distributor
            .platform_api
            .parse_manifest(status, &response.body)
            .is_err()
        {
            continue;
        }
        if earlier_reads.contains(&response.body) {
            return Some(response.body);
        }
        earlier_reads.push(response.body);
    }
    None
}

/// Manifest from a peer; none if the peer has none yet.
async fn read_from_peer(peer: &mut Client, model_version: &ModelVersion) -> Option<Bytes> {
    let peer_request = PeerRequest {
        model_version: model_version.clone(),
        chunk: None,
        mode: Mode::Wait,
    };
    let response = peer
        .call(
            &ApiRequest::get(peer_request.target()),
            MANIFEST_TIMEOUT_MILLIS,
        )
        .await
        .ok()?;
    (response.head.status == 200).then_some(response.body)
}
