//! Writes messages.

use std::io::Write;

/// Standard reason of a status.
pub const fn reason(status: u16) -> &'static str {
    match status {
        200 => "OK",
        202 => "Accepted",
        204 => "No Content",
        400 => "Bad Request",
        401 => "Unauthorized",
        404 => "Not Found",
        408 => "Request Timeout",
        413 => "Content Too Large",
        421 => "Misdirected Request",
        429 => "Too Many Requests",
        431 => "Request Header Fields Too Large",
        500 => "Internal Server Error",
        502 => "Bad Gateway",
        503 => "Service Unavailable",
        504 => "Gateway Timeout",
        _ => "Status",
    }
}

/// A message as bytes.
#[derive(Debug, Default)]
pub struct Message(Vec<u8>);

impl Message {
    /// Starts a request.
    pub fn request(method: &[u8], target: &[u8]) -> Self {
        let mut bytes = Vec::with_capacity(1024);
        bytes.extend_from_slice(method);
        bytes.push(b' ');
        bytes.extend_from_slice(target);
        bytes.extend_from_slice(b" HTTP/1.1\r\n");
        Self(bytes)
    }

    /// Starts a response.
    pub fn response(status: u16) -> Self {
        let mut bytes = Vec::with_capacity(512);
        // Writing into memory can't fail.
        let _ = write!(bytes, "HTTP/1.1 {status} {}\r\n", reason(status));
        Self(bytes)
    }

    /// Adds a field. Bytes that would end the value become blanks (RFC 9110, section 5.5).
    #[must_use]
    pub fn field(mut self, name: &[u8], value: &[u8]) -> Self {
        self.0.extend_from_slice(name);
        self.0.extend_from_slice(b": ");
        let start = self.0.len();
        self.0.extend_from_slice(value);
        for byte in &mut self.0[start..] {
            if matches!(byte, b'\r' | b'\n' | 0) {
                *byte = b' ';
            }
        }
        self.0.extend_from_slice(b"\r\n");
        self
    }

    /// Adds a field with a number.
    #[must_use]
    pub fn number(mut self, name: &str, value: u64) -> Self {
        let _ = write!(self.0, "{name}: {value}\r\n");
        self
    }

    /// Ends the head and adds a body of known length.
    #[must_use]
    pub fn body(self, body: &[u8]) -> Vec<u8> {
        let mut bytes = self.number("content-length", body.len() as u64).end();
        bytes.extend_from_slice(body);
        bytes
    }

    /// Ends the head.
    #[must_use]
    pub fn end(mut self) -> Vec<u8> {
        self.0.extend_from_slice(b"\r\n");
        self.0
    }
}

/// Most bytes that a chunk has beside its data.
pub const CHUNK_FRAME_BYTES: usize = 20;

/// Adds `data` as one chunk to `output`.
pub fn chunk(output: &mut Vec<u8>, data: &[u8]) {
    if data.is_empty() {
        return;
    }
    output.reserve_exact(data.len() + CHUNK_FRAME_BYTES);
    let _ = write!(output, "{:x}\r\n", data.len());
    output.extend_from_slice(data);
    output.extend_from_slice(b"\r\n");
}

/// Last chunk of a body.
pub const LAST_CHUNK: &[u8] = b"0\r\n\r\n";
