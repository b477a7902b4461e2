//! Origin of weights, or a rate-limited weight store: files with byte ranges.
//!
//! Control: `POST /control` with any of `refuse` (that many calls are answered 429, come back in
//! a second), `corrupt` (that many ranges of weights have one byte changed), `outage`.
//! `GET /counts` tells the bytes sent and the calls.

use {
    actix_http::{HttpMessage, Request, header},
    actix_rt::time::{Instant, sleep_until},
    bytes::Bytes,
    futures_util::stream,
    gingerpier_http::{Answer, Listener, answer, body},
    gingerpier_weights::manifest,
    percent_encoding::percent_decode_str,
    serde::{Deserialize, Serialize},
    std::{
        cell::RefCell,
        fs::File,
        io::{self, Read, Seek, SeekFrom},
        net::SocketAddr,
        path::{Component, Path, PathBuf},
        rc::Rc,
        time::Duration,
    },
};

/// Bytes sent at once.
const PART_BYTES: u64 = 64 << 10;
/// Time by which sending may run ahead of the rate.
const BURST: Duration = Duration::from_millis(20);

/// How the stand-in starts.
#[derive(clap::Args)]
pub struct Options {
    /// Address to listen on.
    #[arg(long, default_value = "127.0.0.1:0")]
    listen: SocketAddr,
    /// Folder served.
    #[arg(long)]
    root: PathBuf,
    /// Bytes a second over all calls; 0 for any number.
    #[arg(long, default_value_t = 0)]
    bytes_a_second: u64,
}

/// What was sent.
#[derive(Debug, Clone, Copy, Default, Serialize, Deserialize)]
pub struct Counts {
    /// Bytes of weights sent, manifests left out.
    pub bytes: u64,
    /// Calls.
    pub calls: u64,
    /// Calls refused.
    pub refused: u64,
}

/// How the stand-in misbehaves.
#[derive(Debug, Clone, Copy, Default, Serialize, Deserialize)]
#[serde(default)]
pub struct Control {
    /// Calls to be refused.
    pub refuse: u32,
    /// Ranges of weights to be spoilt.
    pub corrupt: u32,
    /// All calls are refused.
    pub outage: bool,
}

struct State {
    root: PathBuf,
    bytes_a_second: u64,
    /// When the link is free again.
    free_at: Instant,
    counts: Counts,
    control: Control,
}

type Shared = Rc<RefCell<State>>;

/// Runs the stand-in.
///
/// # Errors
///
/// Where the address is taken.
pub async fn run(options: Options) -> io::Result<()> {
    let listener = Listener::bind(options.listen)?;
    crate::ready(listener.address());
    let state = State {
        root: options.root,
        bytes_a_second: options.bytes_a_second,
        free_at: Instant::now(),
        counts: Counts::default(),
        control: Control::default(),
    };
    let state = Rc::new(RefCell::new(state));
    listener
        .serve(move |request| handle(state.clone(), request))
        .await;
    Ok(())
}

async fn handle(state: Shared, mut request: Request) -> Answer {
    match request.path() {
        "/counts" => answer::json(200, &state.borrow().counts),
        "/control" => match body::json(&mut request, crate::LONGEST_BODY).await {
            Ok(control) => {
                state.borrow_mut().control = control;
                answer::empty(204)
            }
            Err(error) => answer::text(error.status(), &error.to_string()),
        },
        _ if !state.borrow_mut().takes_call() => {
            let mut refusal = answer::build(429);
            refusal.insert_header((header::RETRY_AFTER, "1"));
            refusal.body("come back later\n").map_into_boxed_body()
        }
        _ => file(&state, &request),
    }
}

impl State {
    fn takes_call(&mut self) -> bool {
        self.counts.calls += 1;
        let refused = self.control.refuse > 0 || self.control.outage;
        self.control.refuse = self.control.refuse.saturating_sub(1);
        self.counts.refused += u64::from(refused);
        !refused
    }

    /// When `length` more bytes may have left, at the stand-in's rate.
    fn pace(&mut self, length: u64) -> Instant {
        let now = Instant::now();
        if self.bytes_a_second == 0 {
            return now;
        }
        let time = Duration::from_secs_f64(length as f64 / self.bytes_a_second as f64);
        self.free_at = self.free_at.max(now.checked_sub(BURST).unwrap_or(now)) + time;
        self.free_at
    }
}

fn file(state: &Shared, request: &Request) -> Answer {
    let Ok(path) = percent_decode_str(request.path()).decode_utf8() else {
        return answer::text(400, "the path is not UTF-8");
    };
    let path = Path::new(path.trim_start_matches('/'));
    if !path
        .components()
        .all(|part| matches!(part, Component::Normal(_)))
    {
        return answer::text(400, "the path leaves the folder served");
    }
    let opened = File::open(state.borrow().root.join(path));
    let Ok(opened) = opened else {
        return answer::text(404, "no such file");
    };
    let length = opened.metadata().map_or(0, |metadata| metadata.len());
    let range = request
        .headers()
        .get(header::RANGE)
        .and_then(|value| value.to_str().ok());
    let (first, last, status) = match range.and_then(|text| parse_range(text, length)) {
        Some((first, last)) => (first, last, 206),
        None if range.is_some() => return answer::text(416, "no such range"),
        None => (0, length.saturating_sub(1), 200),
    };
    let weights = !request.path().ends_with(manifest::FILE_NAME);
    let corrupt = weights && state.borrow_mut().takes_corruption();
    let left = if length == 0 { 0 } else { last - first + 1 };
    let sending = Sending {
        state: state.clone(),
        file: opened,
        at: first,
        left,
        corrupt,
        weights,
    };
    let parts = stream::unfold(sending, Sending::next);
    let mut builder = answer::build(status);
    builder.insert_header((
        header::CONTENT_RANGE,
        format!("bytes {first}-{last}/{length}"),
    ));
    answer::stream(builder, parts)
}

impl State {
    fn takes_corruption(&mut self) -> bool {
        let corrupt = self.control.corrupt > 0;
        self.control.corrupt = self.control.corrupt.saturating_sub(1);
        corrupt
    }
}

fn parse_range(text: &str, length: u64) -> Option<(u64, u64)> {
    let (first, last) = text.strip_prefix("bytes=")?.split_once('-')?;
    let (first, last) = (first.parse().ok()?, last.parse::<u64>().ok()?);
    (first <= last && last < length).then_some((first, last))
}

struct Sending {
    state: Shared,
    file: File,
    at: u64,
    left: u64,
    corrupt: bool,
    weights: bool,
}

impl Sending {
    async fn next(mut self) -> Option<(io::Result<Bytes>, Self)> {
        if self.left == 0 {
            return None;
        }
        let length = self.left.min(PART_BYTES);
        let free_at = self.state.borrow_mut().pace(length);
        sleep_until(free_at).await;
        let read = self.read(length);
        Some((read, self))
    }

    fn read(&mut self, length: u64) -> io::Result<Bytes> {
        let mut part = vec![0; length as usize];
        self.file.seek(SeekFrom::Start(self.at))?;
        self.file.read_exact(&mut part)?;
        if std::mem::take(&mut self.corrupt) {
            part[0] ^= 1;
        }
        self.at += length;
        self.left -= length;
        if self.weights {
            self.state.borrow_mut().counts.bytes += length;
        }
        Ok(Bytes::from(part))
    }
}
