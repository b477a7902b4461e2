//! Serves manifests and chunks to other processes.

use {
    super::Distributor,
    crate::{client::Client, clock, loader_configuration, store_sharing},
    bytes::Bytes,
    gingerpier_base::target::{self, Target},
    gingerpier_http1::{connection::Connection, head::Request, writer::Message},
    gingerpier_serving::{platform_api::ModelVersion, report::Version},
    std::rc::Rc,
    tokio::net::TcpListener,
};

/// Longest time that a request waits for data to arrive.
const MAX_WAIT_MILLIS: u64 = 250;

/// Pause after a failed accept.
const ACCEPT_RETRY_MILLIS: u64 = 5;

/// Timeout for reading a chunk from the local engine.
const ENGINE_TIMEOUT_MILLIS: u64 = 300;

/// Timeout for writing one response.
const WRITE_TIMEOUT_MILLIS: u64 = 700;

/// Longest time that a connection may stay idle.
const IDLE_TIMEOUT_MILLIS: u64 = 5_000;

/// A request for a manifest or a chunk to another process.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PeerRequest {
    /// Weights version.
    pub model_version: ModelVersion,
    /// Chunk index; none for the manifest.
    pub chunk: Option<u32>,
    /// How the request is answered.
    pub mode: Mode,
}

/// How a request is answered.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Mode {
    /// Sends the data, waiting a while for it to arrive.
    Wait,
    /// Sends the data only if it is present now.
    Now,
    /// Reports whether the data is present, waiting a while for it to arrive; sends no data.
    Presence,
}

impl Mode {
    const fn name(self) -> &'static str {
        match self {
            Self::Wait => "wait",
            Self::Now => "now",
            Self::Presence => "presence",
        }
    }

    fn parse(name: &str) -> Option<Self> {
        [Self::Wait, Self::Now, Self::Presence]
            .into_iter()
            .find(|mode| mode.name() == name)
    }
}

impl PeerRequest {
    /// URL path of the request.
    pub fn target(&self) -> Target {
        let ModelVersion { model, version } = &self.model_version;
        let chunk = self
            .chunk
            .map_or_else(|| "m".to_owned(), |chunk| chunk.to_string());
        Target::new("/weights")
            .segment(model)
            .segment(&version.0.to_string())
            .segment(&chunk)
            .segment(self.mode.name())
    }

    /// Parses a URL path.
    pub fn parse(target: &str) -> Option<Self> {
        let mut parts = target.strip_prefix("/weights/")?.split('/');
        let model = target::decode_segment(parts.next()?)?;
        let version = Version(parts.next()?.parse().ok()?);
        let chunk = match parts.next()? {
            "m" => None,
            text => Some(text.parse().ok()?),
        };
        let mode = Mode::parse(parts.next()?)?;
        Some(Self {
            model_version: ModelVersion { model, version },
            chunk,
            mode,
        })
    }
}

/// Accepts connections and serves requests.
pub async fn serve(distributor: Rc<Distributor>, listener: TcpListener) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                let distributor = distributor.clone();
                actix_rt::spawn(async move {
                    serve_connection(&distributor, Connection::new(stream)).await
                });
            }
            Err(_) => clock::pause(ACCEPT_RETRY_MILLIS).await,
        }
    }
}

async fn serve_connection(distributor: &Distributor, mut connection: Connection) {
    if distributor.pacer.is_some() {
        connection.use_small_buffers();
    }
    loop {
        let idle_deadline = clock::now().after_millis(IDLE_TIMEOUT_MILLIS);
        let head = clock::before(idle_deadline, store_sharing::read_head(&mut connection)).await;
        let Some(Some(request)) = head else { return };
        let response = build_response(distributor, &request).await;
        // Sends chunks one after the other and paced, as the link also carries engine responses.
        let _permit = distributor.upload_permits.acquire().await;
        if let Some(pacer) = &distributor.pacer {
            let send_at = pacer.borrow_mut().reserve(response.len(), clock::now());
            clock::until(send_at).await;
        }
        let deadline = clock::now().after_millis(WRITE_TIMEOUT_MILLIS);
        let written = clock::before(deadline, connection.write(&response)).await;
        if !matches!(written, Some(Ok(()))) {
            return;
        }
    }
}

async fn build_response(distributor: &Distributor, request: &Request) -> Vec<u8> {
    let target = std::str::from_utf8(request.target()).unwrap_or_default();
    if target == loader_configuration::PATH {
        return loader_configuration::respond(distributor);
    }
    let Some(peer_request) = PeerRequest::parse(target) else {
        return Message::response(404).body(b"");
    };
    let deadline = clock::now().after_millis(MAX_WAIT_MILLIS);
    loop {
        if peer_request.mode == Mode::Presence && is_present(distributor, &peer_request) {
            return Message::response(204).end();
        }
        if let Some(bytes) = find_cached(distributor, &peer_request) {
            return Message::response(200).body(&bytes);
        }
        if let Some(bytes) = read_from_engine(distributor, &peer_request).await {
            return Message::response(200).body(&bytes);
        }
        if peer_request.mode == Mode::Now || !will_fetch(distributor, &peer_request.model_version) {
            return Message::response(404).body(b"");
        }
        if deadline.has_passed(clock::now()) {
            return Message::response(202).body(b"");
        }
        // A timeout only ends the wait early enough for the deadline check above.
        let _ = clock::before(deadline, distributor.arrived.notified()).await;
    }
}

fn find_cached(distributor: &Distributor, peer_request: &PeerRequest) -> Option<Bytes> {
    let chunk_cache = distributor.chunk_cache.borrow();
    let chunk_set = chunk_cache.get(
        &peer_request.model_version.model,
        peer_request.model_version.version,
    )?;
    match peer_request.chunk {
        None => Some(chunk_set.manifest_bytes.clone()),
        Some(chunk) => chunk_set.chunk(chunk).cloned(),
    }
}

fn is_present(distributor: &Distributor, peer_request: &PeerRequest) -> bool {
    find_cached(distributor, peer_request).is_some()
        || distributor.serves(&peer_request.model_version)
}

/// Reads a chunk from the local engine if it serves this version. The requester verifies the
/// digest.
async fn read_from_engine(distributor: &Distributor, peer_request: &PeerRequest) -> Option<Bytes> {
    let chunk = peer_request.chunk?;
    let engine = distributor.engine?;
    if !distributor.serves(&peer_request.model_version) {
        return None;
    }
    let call = distributor
        .platform_api
        .staged_chunk(&peer_request.model_version.model, chunk);
    let mut client = Client::of_engine(engine);
    let response = client.call(&call, ENGINE_TIMEOUT_MILLIS).await.ok()?;
    (response.head.status == 200).then_some(response.body)
}

/// True if data that isn't present yet will arrive. Gateways start to fetch what is requested.
fn will_fetch(distributor: &Distributor, model_version: &ModelVersion) -> bool {
    let fetching = distributor.fetching.borrow();
    if fetching.contains(model_version) {
        return true;
    }
    let is_newest = fetching
        .iter()
        .all(|other| other.version <= model_version.version);
    if distributor.engine.is_none() {
        // Fetching older weights would compete with newer ones for the origin's link.
        if is_newest {
            *distributor.requested_version.borrow_mut() = Some(model_version.clone());
        }
        return is_newest;
    }
    let served = distributor.served_version.borrow();
    let is_newer = |served: &ModelVersion| served.version < model_version.version;
    is_newest && served.as_ref().is_none_or(is_newer)
}
