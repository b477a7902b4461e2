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

/// Whole number to which a figure is brought, so that its bound still holds.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Rounding {
    /// For budgets, and times within which something has to be done.
    Down,
    /// For times that have to be waited.
    Up,
}

impl Rounding {
    /// A figure times `factor`; none where it is negative or no number.
    fn round(self, text: &str, factor: u64) -> Option<u64> {
        if let Ok(whole) = text.parse::<u64>() {
            return whole.checked_mul(factor);
        }
        let exact = finite(text).ok()? * factor as f64;
        // A float above the range of an integer becomes the largest one.
        Some(match self {
            Self::Down => exact.floor() as u64,
            Self::Up => exact.ceil() as u64,
        })
    }
}

fn with_unit(
    text: &str,
    units: &[(&str, u64)],
    what: &str,
    rounding: Rounding,
) -> Result<u64, String> {
    let mistake = || {
        let names: Vec<&str> = units.iter().map(|(name, _)| *name).collect();
        format!(
            "`{text}` is no {what}: a number and a unit ({})",
            names.join(", ")
        )
    };
    let number = text.trim_end_matches(|character: char| character.is_ascii_alphabetic());
    let unit = &text[number.len()..];
    let (_, factor) = units
        .iter()
        .find(|(name, _)| *name == unit)
        .ok_or_else(mistake)?;
    rounding
        .round(number.trim_end(), *factor)
        .ok_or_else(mistake)
}

/// Reads a time within which something has to be done, as in `250ms` or `2.5s`, rounded down.
///
/// # Errors
///
/// Where the text has no known unit, or its figure is negative.
pub fn millis(text: &str) -> Result<Millis, String> {
    with_unit(text, &TIMES, "time", Rounding::Down).map(Millis)
}

/// Reads a time that has to be waited, as in `10s`, rounded up.
///
/// # Errors
///
/// Where the text has no known unit, or its figure is negative.
pub fn wait(text: &str) -> Result<Millis, String> {
    with_unit(text, &TIMES, "time", Rounding::Up).map(Millis)
}

/// Reads a number of things of which there may be no more, as in `34` or `34.42`, rounded down.
///
/// # Errors
///
/// Where the text is no number, or a negative one.
pub fn budget(text: &str) -> Result<u32, String> {
    let budget = Rounding::Down.round(text, 1);
    let budget = budget.ok_or_else(|| format!("`{text}` is no budget: a number from 0 on"))?;
    Ok(u32::try_from(budget).unwrap_or(u32::MAX))
}

/// Reads a number from 0 on.
///
/// # Errors
///
/// Where the text is no number, a negative one, or not finite.
pub fn finite(text: &str) -> Result<f64, String> {
    let number = text.parse().ok();
    let number = number.filter(|number: &f64| number.is_finite() && *number >= 0.0);
    number.ok_or_else(|| format!("`{text}` is no number from 0 on"))
}

/// Reads a size, as in `64GiB`.
///
/// # Errors
///
/// Where the text has no known unit.
pub fn bytes(text: &str) -> Result<Bytes, String> {
    with_unit(text, &SIZES, "size", Rounding::Down).map(Bytes)
}

/// Reads a rate, as in `1GB/s`.
///
/// # Errors
///
/// Where the text has no known unit a second.
pub fn rate(text: &str) -> Result<Bytes, String> {
    let size = text.strip_suffix("/s").ok_or_else(|| {
        format!("`{text}` is no rate: a number, a unit and `/s`, as in `800MB/s`")
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
