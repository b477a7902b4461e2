//! Chunks for other processes.

use {
    super::Carrier,
    crate::{client::Client, clock, figures, relay},
    bytes::Bytes,
    gingerpier_http1::{connection::Connection, head::Request, writer::Message},
    gingerpier_serving::{dialect::Named, report::Version},
    std::rc::Rc,
    tokio::net::TcpListener,
};

/// Milliseconds for which a question is held while what it asks for is not here.
const HOLD_MILLIS: u64 = 250;

/// Milliseconds after a failed accept.
const ACCEPT_PAUSE_MILLIS: u64 = 5;

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
pub async fn serve(carrier: Rc<Carrier>, listener: TcpListener) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                let carrier = carrier.clone();
                actix_rt::spawn(async move { answer(&carrier, Connection::new(stream)).await });
            }
            Err(_) => clock::pause(ACCEPT_PAUSE_MILLIS).await,
        }
    }
}

async fn answer(carrier: &Carrier, mut connection: Connection) {
    if carrier.pace.is_some() {
        connection.use_small_buffers();
    }
    loop {
        let rest = clock::now().after_millis(REST_MILLIS);
        let head = clock::before(rest, relay::read_head(&mut connection)).await;
        let Some(Some(request)) = head else { return };
        let reply = reply(carrier, &request).await;
        // The engine's answers leave over the same link: chunks go one after the other, and
        // leave some of it free.
        let _turn = carrier.upload_turns.acquire().await;
        if let Some(pace) = &carrier.pace {
            let turn = pace.borrow_mut().reserve(reply.len(), clock::now());
            clock::until(turn).await;
        }
        let deadline = clock::now().after_millis(WRITE_MILLIS);
        let written = clock::before(deadline, connection.write(&reply)).await;
        if !matches!(written, Some(Ok(()))) {
            return;
        }
    }
}

async fn reply(carrier: &Carrier, request: &Request) -> Vec<u8> {
    let target = std::str::from_utf8(request.target()).unwrap_or_default();
    if target == figures::PATH {
        return figures::reply(carrier);
    }
    let Some(question) = Question::parse(target) else {
        return Message::response(404).body(b"");
    };
    let deadline = clock::now().after_millis(HOLD_MILLIS);
    loop {
        if question.mode == Mode::Presence && is_here(carrier, &question) {
            return Message::response(204).end();
        }
        if let Some(bytes) = find(carrier, &question) {
            return Message::response(200).body(&bytes);
        }
        if let Some(bytes) = laid(carrier, &question).await {
            return Message::response(200).body(&bytes);
        }
        if question.mode == Mode::Now || !will_have(carrier, &question.named) {
            return Message::response(404).body(b"");
        }
        if deadline.has_passed(clock::now()) {
            return Message::response(202).body(b"");
        }
        // Nothing more than the end of the wait is lost where no chunk comes.
        let _ = clock::before(deadline, carrier.arrived.notified()).await;
    }
}

fn find(carrier: &Carrier, question: &Question) -> Option<Bytes> {
    let holdings = carrier.holdings.borrow();
    let holding = holdings.get(&question.named.model, question.named.version)?;
    match question.chunk {
        None => Some(holding.manifest_bytes.clone()),
        Some(chunk) => holding.chunk(chunk).cloned(),
    }
}

fn is_here(carrier: &Carrier, question: &Question) -> bool {
    find(carrier, question).is_some() || carrier.serves(&question.named)
}

/// A chunk that lies at the engine which serves this version. It goes out unchecked: whoever asked
/// checks it against the manifest.
async fn laid(carrier: &Carrier, question: &Question) -> Option<Bytes> {
    let chunk = question.chunk?;
    let engine = carrier.engine?;
    if !carrier.serves(&question.named) {
        return None;
    }
    let call = carrier.dialect.laid_chunk(&question.named.model, chunk);
    let mut client = Client::new(engine);
    let whole = client.call(&call, ENGINE_MILLIS).await.ok()?;
    (whole.head.status == 200).then_some(whole.body)
}

/// True where what is not here yet will come. A gateway fetches what it is asked for.
fn will_have(carrier: &Carrier, named: &Named) -> bool {
    let wanted = carrier.wanted.borrow();
    if wanted.contains(named) {
        return true;
    }
    let is_newest = wanted.iter().all(|other| other.version <= named.version);
    if carrier.engine.is_none() {
        // Older weights would take the origin's link from newer ones.
        if is_newest {
            *carrier.asked.borrow_mut() = Some(named.clone());
        }
        return is_newest;
    }
    let served = carrier.served.borrow();
    let is_newer = |served: &Named| served.version < named.version;
    is_newest && served.as_ref().is_none_or(is_newer)
}
