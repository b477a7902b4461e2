//! Values with units, and other single values.

use {
    gingerpier_base::Name,
    std::{fmt::Display, net::SocketAddr, path::PathBuf, str::FromStr},
};

/// A length of time read from settings, in milliseconds; a deadline is made of it at use.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct Millis(pub u64);

/// A number of bytes, or of bytes a second.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct Bytes(pub u64);

const TIMES: [(&str, u64); 4] = [("ms", 1), ("s", 1_000), ("min", 60_000), ("h", 3_600_000)];
const SIZES: [(&str, u64); 7] = [
    ("B", 1),
    ("kB", 1_000),
    ("MB", 1_000_000),
    ("GB", 1_000_000_000),
    ("KiB", 1 << 10),
    ("MiB", 1 << 20),
    ("GiB", 1 << 30),
];

fn with_unit(text: &str, units: &[(&str, u64)], what: &str) -> Result<u64, String> {
    let mistake = || {
        let names: Vec<&str> = units.iter().map(|(name, _)| *name).collect();
        format!(
            "`{text}` is no {what}: a whole number and a unit ({})",
            names.join(", ")
        )
    };
    let digits = text.trim_end_matches(|character: char| !character.is_ascii_digit());
    let unit = text[digits.len()..].trim();
    let number: u64 = digits.parse().map_err(|_| mistake())?;
    let (_, factor) = units
        .iter()
        .find(|(name, _)| *name == unit)
        .ok_or_else(mistake)?;
    number.checked_mul(*factor).ok_or_else(mistake)
}

/// Reads a time, as in `250ms`.
///
/// # Errors
///
/// Where the text has no known unit.
pub fn millis(text: &str) -> Result<Millis, String> {
    with_unit(text, &TIMES, "time").map(Millis)
}

/// Reads a size, as in `64GiB`.
///
/// # Errors
///
/// Where the text has no known unit.
pub fn bytes(text: &str) -> Result<Bytes, String> {
    with_unit(text, &SIZES, "size").map(Bytes)
}

/// Reads a rate, as in `1GB/s`.
///
/// # Errors
///
/// Where the text has no known unit a second.
pub fn rate(text: &str) -> Result<Bytes, String> {
    let size = text.strip_suffix("/s").ok_or_else(|| {
        format!("`{text}` is no rate: a whole number, a unit and `/s`, as in `800MB/s`")
    })?;
    bytes(size)
}

/// Reads a name.
///
/// # Errors
///
/// Where the text is no name.
pub fn name(text: &str) -> Result<Name, String> {
    Name::from_str(text).map_err(|error| error.to_string())
}

/// Reads an address: IP number and port.
///
/// # Errors
///
/// Where the text is no address.
pub fn address(text: &str) -> Result<SocketAddr, String> {
    text.parse().map_err(|_| {
        format!("`{text}` is no address: an IP number and a port, as in `10.0.0.4:7443`")
    })
}

/// Reads a URL of a platform service.
///
/// # Errors
///
/// Where the text does not start with `http://` or `https://`, or ends with `/`.
pub fn url(text: &str) -> Result<String, String> {
    let known = text.starts_with("http://") || text.starts_with("https://");
    if !known || text.ends_with('/') {
        return Err(format!(
            "`{text}` is no URL: `http://` or `https://`, a host, and no `/` at the end"
        ));
    }
    Ok(text.to_owned())
}

/// Reads a path.
///
/// # Errors
///
/// Where the text is empty.
pub fn path(text: &str) -> Result<PathBuf, String> {
    if text.is_empty() {
        Err("a path is expected here".to_owned())
    } else {
        Ok(text.into())
    }
}

/// Reads a whole number, or a yes or no (`true`, `false`).
///
/// # Errors
///
/// Where the text is none.
pub fn parse<T>(text: &str) -> Result<T, String>
where
    T: FromStr,
    T::Err: Display,
{
    text.parse()
        .map_err(|error: T::Err| format!("`{text}`: {error}"))
}
