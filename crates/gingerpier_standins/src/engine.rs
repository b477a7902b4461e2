//! Model engine: takes chunks and fenced orders, generates tokens, keeps the history of its runs.
//!
//! It hashes each chunk as it comes and forgets the bytes, and serves a version only where every
//! chunk was given and right. With `--checks-fences` it refuses orders with a lower fence than
//! it has seen; without, it takes them all, as some back ends do.
//!
//! Control: `POST /control` with any of `break_after` (the next answer breaks off after that many
//! tokens), `stall_after` (the next answer stops there and hangs), `delay_millis` (before an
//! answer begins), `refuse` (that many requests are answered 503 before they run).
//! `GET /history` lists the runs, `GET /orders` the orders taken.

use {
    crate::token,
    actix_http::{HttpMessage, Method, Request, header},
    actix_rt::time::sleep,
    bytes::Bytes,
    futures_util::stream,
    gingerpier_base::Digest,
    gingerpier_http::{Answer, Listener, answer, body},
    gingerpier_weights::Manifest,
    serde::{Deserialize, Serialize},
    serde_json::Value,
    std::{
        cell::RefCell,
        collections::{BTreeMap, BTreeSet},
        future::pending,
        io,
        net::SocketAddr,
        rc::Rc,
        time::Duration,
    },
    tokio::sync::Semaphore,
};

/// Tokens of an answer where the request names no number.
const DEFAULT_TOKENS: u64 = 16;

/// How the stand-in starts.
#[derive(clap::Args, Clone)]
pub struct Options {
    /// Address to listen on.
    #[arg(long, default_value = "127.0.0.1:0")]
    listen: SocketAddr,
    /// Requests that run at once.
    #[arg(long, default_value_t = 8)]
    capacity: u32,
    /// Milliseconds for a token.
    #[arg(long, default_value_t = 2)]
    token_millis: u64,
    /// Refuses orders with stale fences.
    #[arg(long)]
    checks_fences: bool,
}

impl Options {
    /// Options of an engine that is served in the starter's own process.
    pub fn in_process(capacity: u32, token_millis: u64, checks_fences: bool) -> Self {
        let listen = SocketAddr::from(([127, 0, 0, 1], 0));
        Self {
            listen,
            capacity,
            token_millis,
            checks_fences,
        }
    }
}

/// One run of one request.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Run {
    /// Attempt named by the door.
    pub attempt: String,
    /// Version that ran.
    pub weights: String,
    /// Adapter that ran.
    pub adapter: String,
    /// Prompt.
    pub prompt: String,
    /// Tokens sent.
    pub tokens: u64,
    /// True once the answer was whole.
    pub whole: bool,
}

/// One order that was taken or refused.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Ordered {
    /// Its fence.
    pub fence: u64,
    /// The highest fence seen before.
    pub highest_before: u64,
    /// What was ordered.
    pub order: String,
    /// True where it was taken.
    pub taken: bool,
}

/// How the stand-in misbehaves.
#[derive(Debug, Clone, Copy, Default, Serialize, Deserialize)]
#[serde(default)]
pub struct Control {
    /// The next answer breaks off after that many tokens.
    pub break_after: Option<u64>,
    /// The next answer hangs after that many tokens.
    pub stall_after: Option<u64>,
    /// Milliseconds before an answer begins.
    pub delay_millis: u64,
    /// Requests to be refused before they run.
    pub refuse: u32,
}

#[derive(Default)]
struct State {
    weights: Option<Digest>,
    adapters: BTreeSet<Digest>,
    preparing: BTreeMap<Digest, Preparing>,
    fence: u64,
    running: u32,
    waiting: u32,
    cancelled: BTreeSet<String>,
    history: Vec<Run>,
    orders: Vec<Ordered>,
    control: Control,
}

struct Preparing {
    manifest: Manifest,
    given: Vec<Option<Digest>>,
    adapter: bool,
}

struct Engine {
    options: Options,
    slots: Semaphore,
    state: RefCell<State>,
}

/// Runs the stand-in.
///
/// # Errors
///
/// Where the address is taken.
pub async fn run(options: Options) -> io::Result<()> {
    let listener = Listener::bind(options.listen)?;
    crate::ready(listener.address());
    serve(listener, options).await;
    Ok(())
}

/// Serves an engine at `listener` until the future is dropped.
pub async fn serve(listener: Listener, options: Options) {
    let slots = Semaphore::new(options.capacity as usize);
    let engine = Rc::new(Engine {
        options,
        slots,
        state: RefCell::default(),
    });
    listener
        .serve(move |request| handle(engine.clone(), request))
        .await;
}

async fn handle(engine: Rc<Engine>, mut request: Request) -> Answer {
    let read = match body::read(&mut request, crate::LONGEST_BODY).await {
        Ok(read) => read,
        Err(error) => return answer::text(error.status(), &error.to_string()),
    };
    let path = request.path().to_owned();
    let parts: Vec<&str> = path.trim_matches('/').split('/').collect();
    match (request.method(), parts.as_slice()) {
        (&Method::GET, ["status"]) => engine.status(),
        (&Method::GET, ["history"]) => answer::json(200, &engine.state.borrow().history),
        (&Method::GET, ["orders"]) => answer::json(200, &engine.state.borrow().orders),
        (&Method::POST, ["control"]) => match serde_json::from_slice(&read) {
            Ok(control) => {
                engine.state.borrow_mut().control = control;
                answer::empty(204)
            }
            Err(error) => answer::text(400, &error.to_string()),
        },
        (&Method::POST, ["orders"]) => match serde_json::from_slice(&read) {
            Ok(order) => engine.take_order(&order),
            Err(error) => answer::text(400, &error.to_string()),
        },
        (&Method::PUT, ["weights", weights, index]) => engine.take_chunk(weights, index, &read),
        (&Method::DELETE, ["attempts", attempt]) => {
            engine
                .state
                .borrow_mut()
                .cancelled
                .insert((*attempt).to_owned());
            answer::empty(204)
        }
        (&Method::POST, ["v1", ..]) => generate(engine.clone(), &request, &read).await,
        _ => answer::text(404, "no such call"),
    }
}

fn header_text(request: &Request, name: &str) -> String {
    let value = request
        .headers()
        .get(name)
        .and_then(|value| value.to_str().ok());
    value.unwrap_or_default().to_owned()
}

impl Engine {
    fn status(&self) -> Answer {
        let state = self.state.borrow();
        let adapters: Vec<String> = state.adapters.iter().map(Digest::to_string).collect();
        answer::json(
            200,
            &serde_json::json!({
                "weights": state.weights.map(|weights| weights.to_string()),
                "adapters": adapters,
                "fence": state.fence,
                "running": state.running,
                "waiting": state.waiting,
                "capacity": self.options.capacity,
            }),
        )
    }

    fn take_order(&self, order: &Value) -> Answer {
        let fence = order["fence"].as_u64().unwrap_or(0);
        let what = order["order"].as_str().unwrap_or_default();
        let mut state = self.state.borrow_mut();
        let taken = !self.options.checks_fences || fence >= state.fence;
        let highest_before = state.fence;
        state.orders.push(Ordered {
            fence,
            highest_before,
            order: what.to_owned(),
            taken,
        });
        if !taken {
            return answer::text(
                409,
                &format!("the fence {fence} is stale, {highest_before} was seen"),
            );
        }
        state.fence = state.fence.max(fence);
        let done = match what {
            "prepare" => state.prepare(order),
            "activate" => state.activate(order),
            "drop_adapter" => state.drop_adapter(order),
            "clear" => {
                state.weights = None;
                state.adapters.clear();
                state.preparing.clear();
                Ok(())
            }
            _ => Err(format!("`{what}` is no order")),
        };
        match done {
            Ok(()) => answer::empty(204),
            Err(what) => answer::text(422, &what),
        }
    }

    fn take_chunk(&self, weights: &str, index: &str, chunk: &[u8]) -> Answer {
        let mut state = self.state.borrow_mut();
        let weights = weights.parse::<Digest>().ok();
        let preparing = weights.and_then(|weights| state.preparing.get_mut(&weights));
        let Some(preparing) = preparing else {
            return answer::text(409, "not prepared for it");
        };
        let slot = index
            .parse::<usize>()
            .ok()
            .and_then(|index| preparing.given.get_mut(index));
        let Some(slot) = slot else {
            return answer::text(400, "no such chunk");
        };
        *slot = Some(Digest::of(chunk));
        answer::empty(204)
    }
}

fn digest_of(order: &Value) -> Result<Digest, String> {
    order["weights"]
        .as_str()
        .unwrap_or_default()
        .parse()
        .map_err(|_| "no digest".to_owned())
}

fn from_hex(text: &str) -> Option<Vec<u8>> {
    let pairs = text.as_bytes().chunks(2).map(std::str::from_utf8);
    pairs
        .map(|pair| u8::from_str_radix(pair.ok()?, 16).ok())
        .collect()
}

impl State {
    fn prepare(&mut self, order: &Value) -> Result<(), String> {
        let weights = digest_of(order)?;
        let bytes = from_hex(order["manifest"].as_str().unwrap_or_default());
        let bytes = bytes.ok_or_else(|| "the manifest is not hexadecimal".to_owned())?;
        let manifest = Manifest::from_bytes(&bytes, weights).map_err(|error| error.to_string())?;
        let adapter = !order["base"].is_null();
        if adapter {
            let base = order["base"].as_str().and_then(|base| base.parse().ok());
            if base.is_none() || base != self.weights {
                return Err("the adapter's base is not here".to_owned());
            }
        } else {
            self.weights = None;
            self.adapters.clear();
            self.preparing.clear();
        }
        let given = vec![None; manifest.chunks.len()];
        self.preparing.insert(
            weights,
            Preparing {
                manifest,
                given,
                adapter,
            },
        );
        Ok(())
    }

    fn activate(&mut self, order: &Value) -> Result<(), String> {
        let weights = digest_of(order)?;
        let held = self
            .preparing
            .get(&weights)
            .ok_or_else(|| "not prepared for it".to_owned())?;
        let wrong = held.given.iter().zip(&held.manifest.chunks);
        let wrong = wrong
            .filter(|(given, wanted)| **given != Some(**wanted))
            .count();
        if wrong > 0 {
            return Err(format!("{wrong} chunks are missing or wrong"));
        }
        if held.adapter {
            self.adapters.insert(weights);
        } else {
            self.weights = Some(weights);
        }
        self.preparing.remove(&weights);
        Ok(())
    }

    fn drop_adapter(&mut self, order: &Value) -> Result<(), String> {
        let weights = digest_of(order)?;
        self.adapters.remove(&weights);
        Ok(())
    }
}

/// Ends a run's count when its answer is over, however it ends.
struct Running(Rc<Engine>);

impl Drop for Running {
    fn drop(&mut self) {
        self.0.state.borrow_mut().running -= 1;
        self.0.slots.add_permits(1);
    }
}

struct Generation {
    running: Running,
    index: usize,
    run: Run,
    next: u64,
    last: u64,
    break_after: Option<u64>,
    stall_after: Option<u64>,
    done: bool,
}

async fn generate(engine: Rc<Engine>, request: &Request, read: &[u8]) -> Answer {
    let Ok(asked) = serde_json::from_slice::<Value>(read) else {
        return answer::text(400, "the body is no JSON");
    };
    if engine.state.borrow().control.refuse > 0 {
        engine.state.borrow_mut().control.refuse -= 1;
        return answer::text(503, "busy");
    }
    engine.state.borrow_mut().waiting += 1;
    let permit = engine.slots.acquire().await;
    engine.state.borrow_mut().waiting -= 1;
    let Ok(permit) = permit else {
        return answer::text(500, "the engine is closed");
    };
    permit.forget();
    engine.state.borrow_mut().running += 1;
    let running = Running(engine.clone());
    let begun = begin(&engine, request, &asked, running);
    let generation = match begun {
        Ok(generation) => generation,
        Err(why) => return answer::text(409, why),
    };
    let delay = engine.state.borrow().control.delay_millis;
    sleep(Duration::from_millis(delay)).await;
    let Run {
        weights, adapter, ..
    } = generation.run.clone();
    let mut builder = answer::build(200);
    builder.insert_header(("gingerpier-weights", weights));
    if !adapter.is_empty() {
        builder.insert_header(("gingerpier-adapter", adapter));
    }
    builder.insert_header((header::CONTENT_TYPE, "text/event-stream"));
    answer::stream(builder, stream::unfold(generation, Generation::next))
}

/// Notes a run in the history.
fn begin(
    engine: &Engine,
    request: &Request,
    asked: &Value,
    running: Running,
) -> Result<Generation, &'static str> {
    let adapter = header_text(request, "gingerpier-adapter");
    let mut state = engine.state.borrow_mut();
    let Some(weights) = state.weights else {
        return Err("no weights are loaded");
    };
    if !adapter.is_empty()
        && !state
            .adapters
            .iter()
            .any(|held| held.to_string() == adapter)
    {
        return Err("the adapter is not loaded");
    }
    let run = Run {
        attempt: header_text(request, "gingerpier-attempt"),
        weights: weights.to_string(),
        adapter,
        prompt: asked["prompt"].as_str().unwrap_or_default().to_owned(),
        tokens: 0,
        whole: false,
    };
    state.history.push(run.clone());
    Ok(Generation {
        running,
        index: state.history.len() - 1,
        run,
        next: header_text(request, "gingerpier-resume-after")
            .parse()
            .unwrap_or(0),
        last: asked["max_tokens"].as_u64().unwrap_or(DEFAULT_TOKENS),
        break_after: state.control.break_after.take(),
        stall_after: state.control.stall_after.take(),
        done: false,
    })
}

impl Generation {
    async fn next(mut self) -> Option<(io::Result<Bytes>, Self)> {
        if self.done {
            return None;
        }
        let engine = self.running.0.clone();
        sleep(Duration::from_millis(engine.options.token_millis)).await;
        if self.stall_after == Some(self.run.tokens) {
            pending::<()>().await;
        }
        let cancelled = engine
            .state
            .borrow_mut()
            .cancelled
            .remove(&self.run.attempt);
        if cancelled || self.break_after == Some(self.run.tokens) {
            self.done = true;
            return Some((Err(io::Error::other("broke off")), self));
        }
        if self.next >= self.last {
            self.done = true;
            engine.state.borrow_mut().history[self.index].whole = true;
            return Some((Ok(Bytes::from_static(b"data: [DONE]\n\n")), self));
        }
        let Run {
            weights,
            adapter,
            prompt,
            ..
        } = &self.run;
        let text = token::text(weights, adapter, prompt, self.next);
        let event = serde_json::json!({ "index": self.next, "text": text, "weights": weights });
        self.next += 1;
        self.run.tokens += 1;
        engine.state.borrow_mut().history[self.index].tokens = self.run.tokens;
        Some((Ok(Bytes::from(format!("data: {event}\n\n"))), self))
    }
}
