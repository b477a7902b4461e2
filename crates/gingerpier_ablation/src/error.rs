//! What can go wrong.

use std::{fmt, io, path::PathBuf};

/// What went wrong.
#[derive(Debug)]
pub enum Error {
    /// A file could not be read or written, or a program not be started.
    Io(PathBuf, io::Error),
    /// The table is not understood.
    Table(String),
    /// A journal entry is not understood.
    Entry(PathBuf, serde_json::Error),
    /// The trial tree could not be made, patched or restored.
    Tree(String),
    /// No file is given for a site of the table.
    Site(String),
    /// The plot could not be drawn.
    Plot(String),
}

impl fmt::Display for Error {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Io(path, cause) => write!(formatter, "{}: {cause}", path.display()),
            Self::Table(what) => write!(formatter, "table: {what}"),
            Self::Entry(path, cause) => write!(formatter, "entry {}: {cause}", path.display()),
            Self::Tree(what) => write!(formatter, "trial tree: {what}"),
            Self::Site(name) => write!(formatter, "no file is given for site {name}"),
            Self::Plot(what) => write!(formatter, "plot: {what}"),
        }
    }
}

impl std::error::Error for Error {}
