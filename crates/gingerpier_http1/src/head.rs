//! Heads of requests and responses.

use {
    crate::{body::Framing, error::Error},
    bytes::{Buf, Bytes, BytesMut},
    std::ops::{Range, RangeInclusive},
};

/// Most header fields of one message.
const MAX_FIELDS: usize = 100;

/// Statuses with a meaning (RFC 9110, section 15).
const VALID_STATUSES: RangeInclusive<u16> = 100..=599;

/// Status after which no HTTP follows.
const SWITCHING_PROTOCOLS: u16 = 101;

/// Fields that concern one connection only and go no further (RFC 9110, section 7.6.1), and the
/// length, which each hop tells anew.
const CONNECTION_FIELDS: [&str; 8] = [
    "connection",
    "keep-alive",
    "proxy-connection",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
    "content-length",
];

/// True for a field that concerns one connection only.
pub fn is_of_connection(name: &[u8]) -> bool {
    CONNECTION_FIELDS
        .into_iter()
        .any(|other| name.eq_ignore_ascii_case(other.as_bytes()))
}

/// Header fields of one message, as slices of its head.
#[derive(Debug, Clone)]
pub struct Fields {
    head: Bytes,
    ranges: Vec<Field>,
}

#[derive(Debug, Clone)]
struct Field {
    name: Range<u32>,
    value: Range<u32>,
}

fn range_of(head: &[u8], part: &[u8]) -> Range<u32> {
    let start = part.as_ptr() as usize - head.as_ptr() as usize;
    start as u32..(start + part.len()) as u32
}

fn slice<'a>(head: &'a [u8], range: &Range<u32>) -> &'a [u8] {
    &head[range.start as usize..range.end as usize]
}

impl Fields {
    /// Names and values, in the order of the message.
    pub fn iter(&self) -> impl Iterator<Item = (&[u8], &[u8])> {
        let one = |field: &Field| (field.name.clone(), field.value.clone());
        self.ranges
            .iter()
            .map(one)
            .map(|(name, value)| (slice(&self.head, &name), slice(&self.head, &value)))
    }

    /// Values under `name`, whatever its case.
    pub fn all<'a>(&'a self, name: &'a str) -> impl Iterator<Item = &'a [u8]> {
        self.iter()
            .filter(move |(other, _)| other.eq_ignore_ascii_case(name.as_bytes()))
            .map(|(_, value)| value)
    }

    /// First value under `name`.
    pub fn get<'a>(&'a self, name: &'a str) -> Option<&'a [u8]> {
        self.all(name).next()
    }

    /// First value under `name`, where it is text.
    pub fn text<'a>(&'a self, name: &'a str) -> Option<&'a str> {
        self.get(name)
            .and_then(|value| std::str::from_utf8(value).ok())
    }

    /// First value under `name`, where it is a whole number.
    pub fn number(&self, name: &str) -> Option<u64> {
        self.text(name)?.trim().parse().ok()
    }

    /// True where a list under `name` holds `word`.
    pub fn lists(&self, name: &str, word: &str) -> bool {
        self.all(name).any(|value| {
            value
                .split(|byte| *byte == b',')
                .any(|part| part.trim_ascii().eq_ignore_ascii_case(word.as_bytes()))
        })
    }
}

/// Head of a request.
#[derive(Debug, Clone)]
pub struct Request {
    method: Range<u32>,
    target: Range<u32>,
    minor: u8,
    /// Header fields.
    pub fields: Fields,
}

/// Head of a response.
#[derive(Debug, Clone)]
pub struct Response {
    /// Status.
    pub status: u16,
    minor: u8,
    /// Header fields.
    pub fields: Fields,
}

fn take(input: &mut BytesMut, length: usize, ranges: Vec<Field>) -> Fields {
    // A slice would keep the whole buffer of the connection as long as the head.
    let head = Bytes::copy_from_slice(&input[..length]);
    input.advance(length);
    Fields { head, ranges }
}

fn ranges_of(head: &[u8], fields: &[httparse::Header<'_>]) -> Vec<Field> {
    let one = |field: &httparse::Header<'_>| Field {
        name: range_of(head, field.name.as_bytes()),
        value: range_of(head, field.value),
    };
    fields.iter().map(one).collect()
}

fn partial<T>(input: &BytesMut, limit: usize) -> Result<Option<T>, Error> {
    if input.len() > limit {
        return Err(Error::HeadTooLong);
    }
    Ok(None)
}

impl Request {
    /// Takes a head off `input` once it is whole.
    ///
    /// # Errors
    ///
    /// Where it is longer than `limit` bytes or no head of a request.
    pub fn parse(input: &mut BytesMut, limit: usize) -> Result<Option<Self>, Error> {
        let mut fields = [httparse::EMPTY_HEADER; MAX_FIELDS];
        let mut parsed = httparse::Request::new(&mut fields);
        let status = parsed.parse(input).map_err(|_| Error::Head)?;
        let httparse::Status::Complete(length) = status else {
            return partial(input, limit);
        };
        if length > limit {
            return Err(Error::HeadTooLong);
        }
        let (Some(method), Some(target), Some(minor)) =
            (parsed.method, parsed.path, parsed.version)
        else {
            return Err(Error::Head);
        };
        let method = range_of(input, method.as_bytes());
        let target = range_of(input, target.as_bytes());
        let ranges = ranges_of(input, parsed.headers);
        Ok(Some(Self {
            method,
            target,
            minor,
            fields: take(input, length, ranges),
        }))
    }

    /// Method.
    pub fn method(&self) -> &[u8] {
        slice(&self.fields.head, &self.method)
    }

    /// Path and query.
    pub fn target(&self) -> &[u8] {
        slice(&self.fields.head, &self.target)
    }

    /// True where the connection goes on after the answer.
    pub fn keeps_alive(&self) -> bool {
        self.minor == 1 && !self.fields.lists("connection", "close")
    }

    /// How the body is framed.
    ///
    /// # Errors
    ///
    /// Where length and chunks are both told, lengths differ, or the coding is not plain chunks.
    pub fn framing(&self) -> Result<Framing, Error> {
        framing(&self.fields, self.minor).map(|framing| framing.unwrap_or(Framing::Length(0)))
    }
}

impl Response {
    /// Takes a head off `input` once it is whole; heads of interim responses (1xx) are skipped.
    ///
    /// # Errors
    ///
    /// Where it is longer than `limit` bytes, no head of a response, or of an invalid status.
    pub fn parse(input: &mut BytesMut, limit: usize) -> Result<Option<Self>, Error> {
        loop {
            match Self::parse_any(input, limit)? {
                Some(response) if response.is_interim() => {}
                response => return Ok(response),
            }
        }
    }

    /// True for an interim response, after which another one follows.
    pub(crate) const fn is_interim(&self) -> bool {
        self.status < 200
    }

    /// Takes a head off `input` once it is whole, also that of an interim response.
    pub(crate) fn parse_any(input: &mut BytesMut, limit: usize) -> Result<Option<Self>, Error> {
        let mut fields = [httparse::EMPTY_HEADER; MAX_FIELDS];
        let mut parsed = httparse::Response::new(&mut fields);
        let status = parsed.parse(input).map_err(|_| Error::Head)?;
        let httparse::Status::Complete(length) = status else {
            return partial(input, limit);
        };
        let (Some(status), Some(minor)) = (parsed.code, parsed.version) else {
            return Err(Error::Head);
        };
        if !VALID_STATUSES.contains(&status) {
            return Err(Error::Status);
        }
        if status == SWITCHING_PROTOCOLS {
            return Err(Error::Head);
        }
        let ranges = ranges_of(input, parsed.headers);
        Ok(Some(Self {
            status,
            minor,
            fields: take(input, length, ranges),
        }))
    }

    /// True where the connection may serve another request.
    pub fn keeps_alive(&self) -> bool {
        self.minor == 1 && !self.fields.lists("connection", "close")
    }

    /// How the body is framed.
    ///
    /// # Errors
    ///
    /// As for a request.
    pub fn framing(&self) -> Result<Framing, Error> {
        if self.status == 204 || self.status == 304 {
            return Ok(Framing::Length(0));
        }
        framing(&self.fields, self.minor).map(|framing| framing.unwrap_or(Framing::UntilClose))
    }
}

fn framing(fields: &Fields, minor: u8) -> Result<Option<Framing>, Error> {
    let mut codings = fields.all("transfer-encoding");
    let mut lengths = fields.all("content-length");
    if let Some(coding) = codings.next() {
        let plain = coding.trim_ascii().eq_ignore_ascii_case(b"chunked");
        if !plain || codings.next().is_some() || lengths.next().is_some() || minor == 0 {
            return Err(Error::Framing);
        }
        return Ok(Some(Framing::Chunked));
    }
    let Some(length) = lengths.next() else {
        return Ok(None);
    };
    if lengths.any(|other| other != length) {
        return Err(Error::Framing);
    }
    let digits = length.trim_ascii();
    if digits.is_empty() || !digits.iter().all(u8::is_ascii_digit) {
        return Err(Error::Framing);
    }
    let text = std::str::from_utf8(digits).map_err(|_| Error::Framing)?;
    text.parse()
        .map(|length| Some(Framing::Length(length)))
        .map_err(|_| Error::Framing)
}
