//! What can go wrong while results are written.

use {
    displaydoc::Display,
    std::{error, io, path::PathBuf},
};

/// What went wrong.
#[derive(Debug, Display)]
pub enum Error {
    /// {0:?} can't be written: {1}
    Write(PathBuf, io::Error),
    /// the plot can't be drawn: {0}
    Plot(String),
}

impl error::Error for Error {}
