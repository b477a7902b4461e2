//! A small HTTP/1.1 server and client over blocking sockets.

use std::{
    io::{self, Read, Write},
    net::{SocketAddr, TcpListener, TcpStream},
    time::Duration,
};

/// A request that was read whole.
pub struct Request {
    pub target: String,
    pub fields: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Request {
    pub fn field(&self, name: &str) -> Option<&str> {
        let mut fields = self.fields.iter();
        let found = fields.find(|(other, _)| other.eq_ignore_ascii_case(name));
        found.map(|(_, value)| value.as_str())
    }

    pub fn path(&self) -> &str {
        self.target.split('?').next().unwrap_or_default()
    }

    pub fn query(&self, name: &str) -> Option<&str> {
        let (_, query) = self.target.split_once('?')?;
        query.split('&').find_map(|pair| {
            let (key, value) = pair.split_once('=')?;
            (key == name).then_some(value)
        })
    }
}

fn head_end(bytes: &[u8]) -> Option<usize> {
    bytes.windows(4).position(|part| part == b"\r\n\r\n")
}

fn parse_fields(text: &str) -> Vec<(String, String)> {
    let lines = text.split("\r\n").skip(1);
    let pairs = lines.filter_map(|line| line.split_once(':'));
    pairs
        .map(|(name, value)| (name.trim().to_owned(), value.trim().to_owned()))
        .collect()
}

/// Reads the next request of a connection; `rest` holds bytes that were read beyond the last one.
pub fn read_request(stream: &mut TcpStream, rest: &mut Vec<u8>) -> Option<Request> {
    let mut buffer = [0; 16 * 1024];
    let end = loop {
        if let Some(end) = head_end(rest) {
            break end;
        }
        let count = stream.read(&mut buffer).ok().filter(|count| *count > 0)?;
        rest.extend_from_slice(&buffer[..count]);
    };
    let text = String::from_utf8_lossy(&rest[..end]).into_owned();
    let mut words = text.split("\r\n").next()?.split(' ');
    let mut request = Request {
        target: words.nth(1)?.to_owned(),
        fields: parse_fields(&text),
        body: Vec::new(),
    };
    let length = request.field("content-length").map_or("0", |text| text);
    let length: usize = length.parse().ok()?;
    rest.drain(..end + 4);
    while rest.len() < length {
        let count = stream.read(&mut buffer).ok().filter(|count| *count > 0)?;
        rest.extend_from_slice(&buffer[..count]);
    }
    request.body = rest.drain(..length).collect();
    Some(request)
}

/// Serves each connection in a thread of its own; `handle` returns whether the connection goes on.
pub fn serve<H>(address: SocketAddr, handle: H) -> io::Result<()>
where
    H: Fn(&Request, &mut TcpStream) -> bool + Clone + Send + 'static,
{
    let listener = bind(address)?;
    std::thread::spawn(move || {
        for stream in listener.incoming() {
            let Ok(mut stream) = stream else { continue };
            let handle = handle.clone();
            std::thread::spawn(move || {
                let _ = stream.set_nodelay(true);
                let mut rest = Vec::new();
                while let Some(request) = read_request(&mut stream, &mut rest) {
                    if !handle(&request, &mut stream) {
                        return;
                    }
                }
            });
        }
    });
    Ok(())
}

/// Binds; an address whose last owner was just killed may need a moment.
fn bind(address: SocketAddr) -> io::Result<TcpListener> {
    let mut last = None;
    for _ in 0..50 {
        match TcpListener::bind(address) {
            Ok(listener) => return Ok(listener),
            Err(error) => last = Some(error),
        }
        std::thread::sleep(Duration::from_millis(20));
    }
    Err(last.unwrap_or_else(|| io::Error::other("not bound")))
}

/// Sends a response with a length; true if the connection goes on.
pub fn respond(stream: &mut TcpStream, status: u16, fields: &str, body: &[u8]) -> bool {
    let length = body.len();
    let head = format!("HTTP/1.1 {status} X\r\n{fields}Content-Length: {length}\r\n\r\n");
    let mut bytes = head.into_bytes();
    bytes.extend_from_slice(body);
    stream.write_all(&bytes).is_ok()
}

/// What a client got on its connection.
#[derive(Debug, Default, Clone)]
pub struct Answer {
    pub status: u16,
    pub fields: Vec<(String, String)>,
    pub body: Vec<u8>,
    /// True if the body ended as its framing says.
    pub is_whole: bool,
}

impl Answer {
    pub fn field(&self, name: &str) -> Option<&str> {
        let mut fields = self.fields.iter();
        let found = fields.find(|(other, _)| other.eq_ignore_ascii_case(name));
        found.map(|(_, value)| value.as_str())
    }

    /// A success that carries an engine's signature and whose framing says that it is whole.
    pub fn is_whole_success(&self) -> bool {
        matches!(self.status, 200..300) && self.is_whole && self.field("server-seal").is_some()
    }

    /// Parses what was received so far; the second value is the number of bytes that it took.
    pub fn parse(bytes: &[u8]) -> Option<(Self, usize)> {
        let end = head_end(bytes)?;
        let text = String::from_utf8_lossy(&bytes[..end]).into_owned();
        let status = text.split(' ').nth(1)?.parse().ok()?;
        let mut answer = Self {
            status,
            fields: parse_fields(&text),
            ..Self::default()
        };
        let mut at = end + 4;
        if let Some(length) = answer.field("content-length") {
            let length: usize = length.parse().ok()?;
            let available = length.min(bytes.len() - at);
            answer.body = bytes[at..at + available].to_vec();
            answer.is_whole = available == length;
            return Some((answer, at + available));
        }
        // Chunks.
        while let Some(line_end) = bytes[at..].windows(2).position(|part| part == b"\r\n") {
            let size = String::from_utf8_lossy(&bytes[at..at + line_end]).into_owned();
            let Ok(size) = usize::from_str_radix(size.trim(), 16) else {
                break;
            };
            let start = at + line_end + 2;
            if bytes.len() < start + size + 2 {
                break;
            }
            answer.body.extend_from_slice(&bytes[start..start + size]);
            at = start + size + 2;
            if size == 0 {
                answer.is_whole = true;
                break;
            }
        }
        Some((answer, at))
    }
}

/// Reads an answer until it is whole, the connection ends or `within` is over.
pub fn read_answer(stream: &mut TcpStream, within: Duration) -> Answer {
    let deadline = std::time::Instant::now() + within;
    let mut bytes = Vec::new();
    let mut buffer = [0; 16 * 1024];
    loop {
        let parsed = Answer::parse(&bytes);
        if let Some((answer, _)) = &parsed {
            if answer.is_whole {
                return answer.clone();
            }
        }
        let left = deadline.saturating_duration_since(std::time::Instant::now());
        let _ = stream.set_read_timeout(Some(left.max(Duration::from_millis(1))));
        match stream.read(&mut buffer) {
            Ok(count) if count > 0 && !left.is_zero() => bytes.extend_from_slice(&buffer[..count]),
            _ => return parsed.map(|(answer, _)| answer).unwrap_or_default(),
        }
    }
}

/// Sends one request on a new connection and reads its answer.
pub fn ask(address: SocketAddr, request: &[u8], within: Duration) -> Answer {
    let connected = TcpStream::connect_timeout(&address, Duration::from_secs(1));
    let Ok(mut stream) = connected else {
        return Answer::default();
    };
    if stream.write_all(request).is_err() {
        return Answer::default();
    }
    read_answer(&mut stream, within)
}
