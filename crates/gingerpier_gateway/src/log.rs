//! Logs: one line of key=value pairs for each event, on standard output.
//!
//! Lines go into a bounded buffer that a task empties, so that a reader who does not keep up never
//! blocks a request; lines left out are counted and the count is logged.

use {
    crate::clock,
    gingerpier_base::Instant,
    std::{
        cell::{Cell, RefCell},
        io::Write,
        sync::{Arc, Mutex, PoisonError},
    },
    tracing_subscriber::{
        EnvFilter, Layer, fmt::MakeWriter, layer::SubscriberExt, util::SubscriberInitExt,
    },
};

/// Environment variable that sets the level, as in `debug`.
const LEVEL_VARIABLE: &str = "GINGERPIER_LOG";

/// Most bytes that wait to be written.
const MAX_WAITING_BYTES: usize = 256 * 1024;

/// Milliseconds between writes.
const WRITE_EVERY_MILLIS: u64 = 200;

/// Lines about single requests in one second; more are counted and left out.
const REQUEST_LINES_PER_SECOND: u32 = 400;

#[derive(Debug, Default)]
struct Buffer {
    waiting: Vec<u8>,
    left_out: u64,
}

/// Where lines wait to be written.
#[derive(Debug, Clone, Default)]
pub struct Lines(Arc<Mutex<Buffer>>);

impl Lines {
    fn change<T>(&self, change: impl FnOnce(&mut Buffer) -> T) -> T {
        change(&mut self.0.lock().unwrap_or_else(PoisonError::into_inner))
    }

    /// Takes what waits, with a line that counts those left out.
    pub fn take(&self) -> Vec<u8> {
        self.change(|buffer| {
            if buffer.left_out > 0 {
                let _ = writeln!(
                    buffer.waiting,
                    "level=warn message=\"log lines left out\" count={}",
                    buffer.left_out
                );
                buffer.left_out = 0;
            }
            std::mem::take(&mut buffer.waiting)
        })
    }
}

impl<'a> MakeWriter<'a> for Lines {
    type Writer = Line;

    fn make_writer(&'a self) -> Line {
        Line {
            lines: self.clone(),
            text: Vec::new(),
        }
    }
}

/// A line that is being written, in pieces. It waits with the others once it is whole, or is left out as a whole.
#[derive(Debug)]
pub struct Line {
    lines: Lines,
    text: Vec<u8>,
}

impl Write for Line {
    fn write(&mut self, piece: &[u8]) -> std::io::Result<usize> {
        self.text.extend_from_slice(piece);
        Ok(piece.len())
    }

    fn flush(&mut self) -> std::io::Result<()> {
        Ok(())
    }
}

impl Drop for Line {
    fn drop(&mut self) {
        self.lines.change(|buffer| {
            if buffer.waiting.len() + self.text.len() > MAX_WAITING_BYTES {
                buffer.left_out += 1;
            } else {
                buffer.waiting.append(&mut self.text);
            }
        });
    }
}

/// Starts logging; must be called within a runtime.
pub fn start() -> Lines {
    let lines = Lines::default();
    let level = EnvFilter::try_from_env(LEVEL_VARIABLE).unwrap_or_else(|_| EnvFilter::new("info"));
    let layer = tracing_logfmt::builder()
        .with_target(false)
        .layer()
        .with_writer(lines.clone())
        .with_filter(level);
    // A process that embeds the daemon may log already; its choice stands.
    let _ = tracing_subscriber::registry().with(layer).try_init();
    actix_rt::spawn(write_on(lines.clone()));
    lines
}

async fn write_on(lines: Lines) {
    loop {
        clock::pause(WRITE_EVERY_MILLIS).await;
        flush(&lines);
    }
}

/// Writes what waits.
pub fn flush(lines: &Lines) {
    let waiting = lines.take();
    if !waiting.is_empty() {
        // Nothing can be done about a closed standard output.
        let _ = std::io::stdout().write_all(&waiting);
    }
}

/// Milliseconds between two lines with a census of the engines, which passes over all of them as a decision does: that takes
/// 0.1 to 0.2 ms where there are 3,000.
const CENSUS_EVERY_MILLIS: u64 = 50;

#[derive(Debug, Default)]
struct Allowance {
    second: u64,
    used: u32,
    left_out: u64,
}

thread_local! {
    static ALLOWANCE: RefCell<Allowance> = RefCell::default();
    static LAST_CENSUS: Cell<Option<Instant>> = const { Cell::new(None) };
}

/// True where one more line may have a census of the engines.
pub fn allows_census() -> bool {
    let now = clock::now();
    let next = LAST_CENSUS
        .get()
        .map(|last| last.after_millis(CENSUS_EVERY_MILLIS));
    let is_allowed = next.is_none_or(|next| next.has_passed(now));
    if is_allowed {
        LAST_CENSUS.set(Some(now));
    }
    is_allowed
}

/// True where one more line about a request may be written in this second.
pub fn allows_request_line() -> bool {
    let second = clock::now().as_millis() / 1_000;
    ALLOWANCE.with_borrow_mut(|allowance| {
        if allowance.second != second {
            if allowance.left_out > 0 {
                tracing::warn!(
                    count = allowance.left_out,
                    "lines about requests left out in one second"
                );
            }
            *allowance = Allowance {
                second,
                ..Allowance::default()
            };
        }
        if allowance.used < REQUEST_LINES_PER_SECOND {
            allowance.used += 1;
            return true;
        }
        allowance.left_out += 1;
        false
    })
}
