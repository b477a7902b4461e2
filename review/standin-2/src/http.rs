//! A small HTTP/1.1 server with one thread per connection, and the parsing of messages.

use std::{
    io::{Read, Write},
    net::{SocketAddr, TcpListener, TcpStream},
    sync::Arc,
};

/// A message: first line, fields and body.
#[derive(Debug, Clone, Default)]
pub struct Message {
    pub first: String,
    pub fields: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    /// First value of a field.
    pub fn field(&self, name: &str) -> Option<&str> {
        let found = self.fields.iter().find(|(other, _)| other.eq_ignore_ascii_case(name));
        found.map(|(_, value)| value.as_str())
    }

    /// Path and query of a request.
    pub fn target(&self) -> &str {
        self.first.split(' ').nth(1).unwrap_or_default()
    }

    /// Path of a request.
    pub fn path(&self) -> &str {
        self.target().split('?').next().unwrap_or_default()
    }

    /// Value of a query parameter.
    pub fn query(&self, name: &str) -> Option<&str> {
        let query = self.target().split_once('?')?.1;
        let pairs = query.split('&').filter_map(|pair| pair.split_once('='));
        pairs.filter(|(key, _)| *key == name).map(|(_, value)| value).next()
    }

    /// Status of a response.
    pub fn status(&self) -> u16 {
        self.first.split(' ').nth(1).and_then(|text| text.parse().ok()).unwrap_or(0)
    }
}

/// A connection with the bytes that were read and not taken.
pub struct Connection {
    pub stream: TcpStream,
    pub input: Vec<u8>,
}

impl Connection {
    pub fn new(stream: TcpStream) -> Self {
        let _ = stream.set_nodelay(true);
        Self { stream, input: Vec::new() }
    }

    /// Reads more bytes; false at the end or on an error.
    pub fn fill(&mut self) -> bool {
        let mut bytes = [0; 16 * 1024];
        match self.stream.read(&mut bytes) {
            Ok(count) if count > 0 => {
                self.input.extend_from_slice(&bytes[..count]);
                true
            }
            _ => false,
        }
    }

    /// Takes a line without its end.
    fn line(&mut self) -> Option<String> {
        loop {
            if let Some(end) = self.input.windows(2).position(|pair| pair == b"\r\n") {
                let line = String::from_utf8_lossy(&self.input[..end]).into_owned();
                self.input.drain(..end + 2);
                return Some(line);
            }
            if !self.fill() {
                return None;
            }
        }
    }

    fn take(&mut self, count: usize) -> Option<Vec<u8>> {
        while self.input.len() < count {
            if !self.fill() {
                return None;
            }
        }
        Some(self.input.drain(..count).collect())
    }

    /// Reads a head.
    pub fn head(&mut self) -> Option<Message> {
        let first = self.line()?;
        let mut message = Message { first, ..Message::default() };
        loop {
            let line = self.line()?;
            if line.is_empty() {
                return Some(message);
            }
            let (name, value) = line.split_once(':')?;
            message.fields.push((name.trim().to_owned(), value.trim().to_owned()));
        }
    }

    /// Reads the body of `message`, whose length or chunks the head tells.
    pub fn body(&mut self, message: &Message) -> Option<Vec<u8>> {
        if let Some(length) = message.field("content-length") {
            return self.take(length.parse().ok()?);
        }
        if message.field("transfer-encoding").is_none() {
            return Some(Vec::new());
        }
        let mut body = Vec::new();
        loop {
            let line = self.line()?;
            let size = usize::from_str_radix(line.split(';').next()?.trim(), 16).ok()?;
            if size == 0 {
                while !self.line()?.is_empty() {}
                return Some(body);
            }
            body.extend(self.take(size)?);
            self.take(2)?;
        }
    }

    /// Reads a whole message.
    pub fn message(&mut self) -> Option<Message> {
        let mut message = self.head()?;
        message.body = self.body(&message)?;
        Some(message)
    }

    /// Writes a response with fields and a body.
    pub fn respond(&mut self, status: u16, fields: &[(&str, &str)], body: &[u8]) -> bool {
        let mut bytes = format!("HTTP/1.1 {status} X\r\n").into_bytes();
        for (name, value) in fields {
            bytes.extend_from_slice(format!("{name}: {value}\r\n").as_bytes());
        }
        bytes.extend_from_slice(format!("Content-Length: {}\r\n\r\n", body.len()).as_bytes());
        bytes.extend_from_slice(body);
        self.stream.write_all(&bytes).is_ok()
    }
}

/// Serves whole requests at `address`; a connection closes where `answer` returns false.
pub fn serve<F>(address: SocketAddr, answer: F)
where
    F: Fn(&Message, &mut Connection) -> bool + Send + Sync + 'static,
{
    let listener = TcpListener::bind(address).expect("a free address");
    let answer = Arc::new(answer);
    std::thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let answer = answer.clone();
            std::thread::spawn(move || {
                let mut connection = Connection::new(stream);
                while let Some(request) = connection.message() {
                    if !answer(&request, &mut connection) {
                        return;
                    }
                }
            });
        }
    });
}
