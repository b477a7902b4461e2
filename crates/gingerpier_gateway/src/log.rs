//! Logging to standard output, one line of key=value pairs per event.
//!
//! Lines are buffered in memory and written by a task, so that a slow reader never blocks a
//! request. Lines beyond the buffer's limit are dropped and counted.

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

/// Environment variable with the log filter, such as `debug`.
const FILTER_VARIABLE: &str = "GINGERPIER_LOG";

/// Limit of the buffer; further lines are dropped.
const MAX_BUFFERED_BYTES: usize = 256 * 1024;

/// Interval between writes.
const WRITE_INTERVAL_MILLIS: u64 = 200;

/// Lines about single requests that are logged per second; more are dropped.
const REQUEST_LINES_PER_SECOND: u32 = 400;

#[derive(Debug, Default)]
struct Pending {
    bytes: Vec<u8>,
    dropped: u64,
}

/// Buffered lines, shared between writers and the flushing task.
#[derive(Debug, Clone, Default)]
pub struct LogBuffer(Arc<Mutex<Pending>>);

impl LogBuffer {
    fn with_pending<T>(&self, operation: impl FnOnce(&mut Pending) -> T) -> T {
        operation(&mut self.0.lock().unwrap_or_else(PoisonError::into_inner))
    }

    /// Returns the buffered lines, with a final line that counts dropped ones, and empties the
    /// buffer.
    pub fn drain(&self) -> Vec<u8> {
        self.with_pending(|pending| {
            if pending.dropped > 0 {
                let _ = writeln!(
                    pending.bytes,
                    "level=warn message=\"log lines dropped\" count={}",
                    pending.dropped
                );
                pending.dropped = 0;
            }
            std::mem::take(&mut pending.bytes)
        })
    }
}

impl<'a> MakeWriter<'a> for LogBuffer {
    type Writer = LineWriter;

    fn make_writer(&'a self) -> LineWriter {
        LineWriter {
            buffer: self.clone(),
            text: Vec::new(),
        }
    }
}

/// Collects the pieces of one line and buffers or drops the line as a whole.
#[derive(Debug)]
pub struct LineWriter {
    buffer: LogBuffer,
    text: Vec<u8>,
}

impl Write for LineWriter {
    fn write(&mut self, piece: &[u8]) -> std::io::Result<usize> {
        self.text.extend_from_slice(piece);
        Ok(piece.len())
    }

    fn flush(&mut self) -> std::io::Result<()> {
        Ok(())
    }
}

impl Drop for LineWriter {
    fn drop(&mut self) {
        self.buffer.with_pending(|pending| {
            if pending.bytes.len() + self.text.len() > MAX_BUFFERED_BYTES {
                pending.dropped += 1;
            } else {
                pending.bytes.append(&mut self.text);
            }
        });
    }
}

/// Starts logging. Must be called within a runtime.
pub fn start() -> LogBuffer {
    let buffer = LogBuffer::default();
    let filter =
        EnvFilter::try_from_env(FILTER_VARIABLE).unwrap_or_else(|_| EnvFilter::new("info"));
    let layer = tracing_logfmt::builder()
        .with_target(false)
        .layer()
        .with_writer(buffer.clone())
        .with_filter(filter);
    // A process that embeds this one may have installed its own subscriber.
    let _ = tracing_subscriber::registry().with(layer).try_init();
    actix_rt::spawn(write_periodically(buffer.clone()));
    buffer
}

async fn write_periodically(buffer: LogBuffer) {
    loop {
        clock::pause(WRITE_INTERVAL_MILLIS).await;
        flush(&buffer);
    }
}

/// Writes the buffered lines.
pub fn flush(buffer: &LogBuffer) {
    let bytes = buffer.drain();
    if !bytes.is_empty() {
        // Nothing can be done about a closed standard output.
        let _ = std::io::stdout().write_all(&bytes);
    }
}

/// Least interval between log lines with counts of engines by availability, as each count scans all
/// engines. A scan of 3,000 engines takes 0.1 to 0.2 ms.
const COUNTS_INTERVAL_MILLIS: u64 = 50;

#[derive(Debug, Default)]
struct RequestLineBudget {
    second: u64,
    used: u32,
    dropped: u64,
}

thread_local! {
    static REQUEST_LINE_BUDGET: RefCell<RequestLineBudget> = RefCell::default();
    static LAST_COUNTS: Cell<Option<Instant>> = const { Cell::new(None) };
}

/// True if the next line may include counts of engines by availability.
pub fn allows_availability_counts() -> bool {
    let now = clock::now();
    let next = LAST_COUNTS
        .get()
        .map(|last| last.after_millis(COUNTS_INTERVAL_MILLIS));
    let is_allowed = next.is_none_or(|next| next.has_passed(now));
    if is_allowed {
        LAST_COUNTS.set(Some(now));
    }
    is_allowed
}

/// True if another line about a request may be logged within this second.
pub fn allows_request_line() -> bool {
    let second = clock::now().as_millis() / 1_000;
    REQUEST_LINE_BUDGET.with_borrow_mut(|budget| {
        if budget.second != second {
            if budget.dropped > 0 {
                tracing::warn!(
                    count = budget.dropped,
                    "request log lines dropped by the rate limit"
                );
            }
            *budget = RequestLineBudget {
                second,
                ..RequestLineBudget::default()
            };
        }
        if budget.used < REQUEST_LINES_PER_SECOND {
            budget.used += 1;
            return true;
        }
        budget.dropped += 1;
        false
    })
}
