//! Chunks for other loaders.

use {
    super::Loader,
    crate::{clock, relay, store::Client},
    bytes::Bytes,
    gingerpier_http1::{connection::Connection, head::Request, writer::Message},
    gingerpier_serving::{dialect::Named, report::Version},
    std::rc::Rc,
    tokio::net::TcpListener,
};

/// Milliseconds for which a question is held while what it asks for is not here.
const HOLD_MILLIS: u64 = 250;

/// Milliseconds between looks.
const LOOK_MILLIS: u64 = 5;

/// Milliseconds that the engine may take for a chunk that lies there.
const ENGINE_MILLIS: u64 = 300;

/// Milliseconds that one answer may take on its way.
const WRITE_MILLIS: u64 = 700;

/// Milliseconds that a connection may rest.
const REST_MILLIS: u64 = 5_000;

/// What a loader asks another for.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Question {
    /// Weights.
    pub named: Named,
    /// Chunk; the manifest where there is none.
    pub chunk: Option<u32>,
    /// How it is asked.
    pub mode: Mode,
}

/// How a loader asks another.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Mode {
    /// For what will be here; the question is held for a while.
    Wait,
    /// For what is here now.
    Now,
    /// Whether it is here; the question is held for a while, and nothing is sent.
    Presence,
}

impl Mode {
    const fn word(self) -> &'static str {
        match self {
            Self::Wait => "wait",
            Self::Now => "now",
            Self::Presence => "presence",
        }
    }

    fn parse(word: &str) -> Option<Self> {
        [Self::Wait, Self::Now, Self::Presence]
            .into_iter()
            .find(|mode| mode.word() == word)
    }
}

impl Question {
    /// Path and query of the question.
    pub fn target(&self) -> String {
        let Named { model, version } = &self.named;
        let chunk = self
            .chunk
            .map_or_else(|| "m".to_owned(), |chunk| chunk.to_string());
        let mode = self.mode.word();
        format!("/weights/{model}/{}/{chunk}/{mode}", version.0)
    }

    /// Question of a path.
    pub fn parse(target: &str) -> Option<Self> {
        let mut parts = target.strip_prefix("/weights/")?.split('/');
        let model = parts.next()?.to_owned();
        let version = Version(parts.next()?.parse().ok()?);
        let chunk = match parts.next()? {
            "m" => None,
            text => Some(text.parse().ok()?),
        };
        let mode = Mode::parse(parts.next()?)?;
        Some(Self {
            named: Named { model, version },
            chunk,
            mode,
        })
    }
}

/// Serves chunks.
pub async fn serve(loader: Rc<Loader>, listener: TcpListener) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                let loader = loader.clone();
                actix_rt::spawn(async move { answer(&loader, Connection::new(stream)).await });
            }
            Err(_) => clock::pause(LOOK_MILLIS).await,
        }
    }
}

async fn answer(loader: &Loader, mut connection: Connection) {
    connection.use_small_buffers();
    loop {
        let rest = clock::now().after_millis(REST_MILLIS);
        let head = clock::before(rest, relay::read_head(&mut connection)).await;
        let Some(Some(request)) = head else { return };
        let reply = reply(loader, &request).await;
        // The engine's answers leave over the same link: chunks go one after the other, and
        // leave some of it free.
        let _turn = loader.upload_turns.acquire().await;
        let pace = loader.pace.borrow_mut().reserve(reply.len(), clock::now());
        clock::until(pace).await;
        let deadline = clock::now().after_millis(WRITE_MILLIS);
        let written = clock::before(deadline, connection.write(&reply)).await;
        if !matches!(written, Some(Ok(()))) {
            return;
        }
    }
}

async fn reply(loader: &Loader, request: &Request) -> Vec<u8> {
    let target = std::str::from_utf8(request.target()).unwrap_or_default();
    let Some(question) = Question::parse(target) else {
        return Message::response(404).body(b"");
    };
    let deadline = clock::now().after_millis(HOLD_MILLIS);
    loop {
        if question.mode == Mode::Presence && is_here(loader, &question) {
            return Message::response(204).end();
        }
        if let Some(bytes) = find(loader, &question) {
            return Message::response(200).body(&bytes);
        }
        if let Some(bytes) = laid(loader, &question).await {
            return Message::response(200).body(&bytes);
        }
        if question.mode == Mode::Now || !will_have(loader, &question.named) {
            return Message::response(404).body(b"");
        }
        if deadline.has_passed(clock::now()) {
            return Message::response(202).body(b"");
        }
        clock::pause(LOOK_MILLIS).await;
    }
}

fn find(loader: &Loader, question: &Question) -> Option<Bytes> {
    let holdings = loader.holdings.borrow();
    let holding = holdings.get(&question.named.model, question.named.version)?;
    match question.chunk {
        None => Some(holding.manifest_bytes.clone()),
        Some(chunk) => holding.chunk(chunk).cloned(),
    }
}

fn is_here(loader: &Loader, question: &Question) -> bool {
    let Named { model, version } = &question.named;
    find(loader, question).is_some() || loader.held(model) == Some(*version)
}

/// A chunk that lies at the engine which serves this version. It goes out unchecked: whoever asked
/// checks it against the manifest.
async fn laid(loader: &Loader, question: &Question) -> Option<Bytes> {
    let Named { model, version } = &question.named;
    let chunk = question.chunk?;
    if loader.held(model) != Some(*version) {
        return None;
    }
    let call = loader.dialect.laid_chunk(model, chunk);
    let mut client = Client::new(loader.settings.engine);
    let whole = client.call(&call, ENGINE_MILLIS).await.ok()?;
    (whole.head.status == 200).then_some(whole.body)
}

/// True where what is not here yet will come.
fn will_have(loader: &Loader, named: &Named) -> bool {
    let held = loader.held(&named.model);
    let wanted = loader.wanted();
    held.is_none_or(|held| held < named.version)
        && wanted.is_none_or(|wanted| wanted.version <= named.version)
}
