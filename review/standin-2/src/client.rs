//! A client of the platform: one attempt on a connection of its own, closed at its deadline.

use {
    crate::{
        http::Connection,
        rig::{Record, at},
    },
    std::{
        io::Write,
        net::TcpStream,
        time::{Duration, Instant},
    },
};

/// How a body is sent.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Framing {
    Length,
    Chunks,
}

/// One attempt.
#[derive(Debug, Clone)]
pub struct Attempt {
    pub id: String,
    pub host: &'static str,
    pub path: String,
    pub body_bytes: usize,
    pub framing: Framing,
    pub deadline_millis: u64,
}

/// What the client saw; times are in milliseconds from the first byte that it sent.
#[derive(Debug, Clone, Default)]
pub struct Seen {
    /// When the last byte was handed to the kernel.
    pub sent: Option<u64>,
    /// When the first byte of the response came.
    pub first: Option<u64>,
    /// When the response was whole.
    pub whole: Option<u64>,
    pub status: u16,
}

/// Sends an attempt to the gateway of machine `gateway` and reads until the response is whole or
/// the client's deadline has passed; the connection is then closed.
pub fn send(record: &Record, gateway: u8, attempt: &Attempt) -> Seen {
    let mut seen = Seen::default();
    let Ok(stream) = TcpStream::connect(at(gateway, 8005)) else {
        record.line(&format!("{} no connection", attempt.id));
        return seen;
    };
    let _ = stream.set_nodelay(true);
    let begun = Instant::now();
    record.line(&format!("{} is sent: {attempt:?}", attempt.id));
    let millis = || begun.elapsed().as_millis() as u64;
    let framing = match attempt.framing {
        Framing::Length => format!("Content-Length: {}", attempt.body_bytes),
        Framing::Chunks => "Transfer-Encoding: chunked".to_owned(),
    };
    let head = format!(
        "POST {} HTTP/1.1\r\nHost: {}\r\nAttempt-Id: {}\r\nDeadline-Ms: {}\r\n\
         Credential: key1\r\n{framing}\r\n\r\n",
        attempt.path, attempt.host, attempt.id, attempt.deadline_millis
    );
    let mut bytes = head.into_bytes();
    let body = vec![b'x'; attempt.body_bytes];
    match attempt.framing {
        Framing::Length => bytes.extend_from_slice(&body),
        Framing::Chunks => {
            for part in body.chunks(16 * 1024) {
                bytes.extend_from_slice(format!("{:x}\r\n", part.len()).as_bytes());
                bytes.extend_from_slice(part);
                bytes.extend_from_slice(b"\r\n");
            }
            bytes.extend_from_slice(b"0\r\n\r\n");
        }
    }
    let _ = stream.set_write_timeout(Some(Duration::from_millis(50)));
    let mut connection = Connection::new(stream);
    let mut rest = &bytes[..];
    while !rest.is_empty() && millis() < attempt.deadline_millis {
        match connection.stream.write(rest) {
            Ok(count) => rest = &rest[count..],
            Err(error)
                if matches!(
                    error.kind(),
                    std::io::ErrorKind::WouldBlock | std::io::ErrorKind::TimedOut
                ) => {}
            Err(error) => {
                record.line(&format!("{} not sent: {error}", attempt.id));
                break;
            }
        }
    }
    seen.sent = rest.is_empty().then(millis);
    let left = attempt.deadline_millis.saturating_sub(millis()).max(1);
    let _ = connection.stream.set_read_timeout(Some(Duration::from_millis(left)));
    if connection.fill() {
        seen.first = Some(millis());
        if let Some(message) = connection.message() {
            seen.status = message.status();
            seen.whole = Some(millis());
        }
    }
    record.line(&format!("{} saw {seen:?}", attempt.id));
    seen
}

/// Counts for the rule on the time-out of a route.
#[derive(Debug, Clone, Copy, Default)]
pub struct Late {
    pub all: usize,
    /// Without a response at the time-out.
    pub at_timeout: usize,
    /// Without one half a second later.
    pub after: usize,
}

impl Late {
    pub fn count<'a>(seen: impl Iterator<Item = &'a Seen>, timeout_millis: u64) -> Self {
        let mut late = Self::default();
        for one in seen {
            late.all += 1;
            late.at_timeout += usize::from(one.first.is_none_or(|at| at > timeout_millis));
            late.after += usize::from(one.first.is_none_or(|at| at > timeout_millis + 500));
        }
        late
    }

    /// Both sentences of CONFIG on `timeoutMs`: more than half of those without a response at the
    /// time-out have none half a second later; and these are eight or more, and over a quarter.
    pub fn breaks_rule(&self) -> bool {
        self.after >= 8 && 2 * self.after > self.at_timeout && 4 * self.after > self.all
    }
}
