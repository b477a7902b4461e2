//! Bodies: where they end, and what is in them.

use {
    crate::error::Error,
    bytes::{Bytes, BytesMut},
};

/// Longest line of a chunk's size with its extensions, in bytes.
const MAX_CHUNK_LINE: usize = 256;

/// Longest trailer section, in bytes.
const MAX_TRAILERS: usize = 4096;

/// How the length of a body is told.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Framing {
    /// By a count of bytes.
    Length(u64),
    /// By chunks.
    Chunked,
    /// By the end of the connection.
    UntilClose,
}

/// A part of a body.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Part {
    /// Bytes.
    Data(Bytes),
    /// The body is whole.
    End,
    /// The connection ended, which nothing but its framing tells from a broken connection: whether
    /// the body is whole is not known (RFC 9112, section 8).
    Closed,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum State {
    Counted(u64),
    Size,
    Chunk(u64),
    ChunkEnd,
    Trailers(usize),
    Open,
    Ended,
}

/// Takes a body off the bytes of a connection.
#[derive(Debug, Clone)]
pub struct Decoder {
    state: State,
}

impl Decoder {
    /// Decoder of a body framed as told.
    pub const fn new(framing: Framing) -> Self {
        let state = match framing {
            Framing::Length(length) => State::Counted(length),
            Framing::Chunked => State::Size,
            Framing::UntilClose => State::Open,
        };
        Self { state }
    }

    /// True once the end was given.
    pub const fn has_ended(&self) -> bool {
        matches!(self.state, State::Ended)
    }

    /// Next part that `input` holds; nothing where more bytes are needed.
    ///
    /// # Errors
    ///
    /// Where a chunk is malformed.
    pub fn decode(&mut self, input: &mut BytesMut) -> Result<Option<Part>, Error> {
        loop {
            match self.state {
                State::Counted(0) => {
                    self.state = State::Ended;
                    return Ok(Some(Part::End));
                }
                State::Counted(left) => return Ok(self.data(input, left, State::Counted)),
                State::Chunk(0) => self.state = State::ChunkEnd,
                State::Chunk(left) => return Ok(self.data(input, left, State::Chunk)),
                State::Open => return Ok(self.data(input, u64::MAX, |_| State::Open)),
                State::Ended => return Ok(None),
                State::Size => {
                    let Some(line) = take_line(input, MAX_CHUNK_LINE)? else {
                        return Ok(None);
                    };
                    self.state = match chunk_size(&line)? {
                        0 => State::Trailers(0),
                        size => State::Chunk(size),
                    };
                }
                State::ChunkEnd => {
                    if input.len() < 2 {
                        return Ok(None);
                    }
                    if &input.split_to(2)[..] != b"\r\n" {
                        return Err(Error::Chunk);
                    }
                    self.state = State::Size;
                }
                State::Trailers(seen) => {
                    let Some(line) = take_line(input, MAX_TRAILERS)? else {
                        return Ok(None);
                    };
                    if line.is_empty() {
                        self.state = State::Ended;
                        return Ok(Some(Part::End));
                    }
                    if seen + line.len() > MAX_TRAILERS {
                        return Err(Error::Chunk);
                    }
                    self.state = State::Trailers(seen + line.len());
                }
            }
        }
    }

    /// Says what the end of the connection means here.
    ///
    /// # Errors
    ///
    /// Where the body was not whole.
    pub fn close(&mut self) -> Result<Part, Error> {
        match self.state {
            State::Open => {
                self.state = State::Ended;
                Ok(Part::Closed)
            }
            State::Ended => Ok(Part::End),
            _ => Err(Error::Cut),
        }
    }

    fn data<F>(&mut self, input: &mut BytesMut, left: u64, next: F) -> Option<Part>
    where
        F: FnOnce(u64) -> State,
    {
        if input.is_empty() {
            return None;
        }
        let length = input.len().min(usize::try_from(left).unwrap_or(usize::MAX));
        self.state = next(left - length as u64);
        Some(Part::Data(input.split_to(length).freeze()))
    }
}

/// Takes a line off `input`, without its end.
fn take_line(input: &mut BytesMut, limit: usize) -> Result<Option<BytesMut>, Error> {
    let Some(end) = input.iter().position(|byte| *byte == b'\n') else {
        if input.len() > limit {
            return Err(Error::Chunk);
        }
        return Ok(None);
    };
    let mut line = input.split_to(end + 1);
    if !line.ends_with(b"\r\n") || line.len() > limit {
        return Err(Error::Chunk);
    }
    line.truncate(line.len() - 2);
    Ok(Some(line))
}

fn chunk_size(line: &[u8]) -> Result<u64, Error> {
    let end = line
        .iter()
        .position(|byte| *byte == b';')
        .unwrap_or(line.len());
    let digits = line[..end].trim_ascii_end();
    let hex = !digits.is_empty() && digits.len() <= 15 && digits.iter().all(u8::is_ascii_hexdigit);
    let text = std::str::from_utf8(digits).map_err(|_| Error::Chunk)?;
    if !hex {
        return Err(Error::Chunk);
    }
    u64::from_str_radix(text, 16).map_err(|_| Error::Chunk)
}
