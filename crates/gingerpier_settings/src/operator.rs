//! Settings of an operator's desk.

use {
    crate::{reader::Section, unit},
    std::{net::SocketAddr, path::PathBuf},
};

/// Settings of an operator's desk.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Operator {
    /// Folder with `ca.pem`, `cert.pem` and `key.pem`.
    pub keys: PathBuf,
    /// Entry boxes' addresses for operators, tried in this order.
    pub entries: Vec<SocketAddr>,
}

impl Operator {
    pub(crate) fn read(section: &mut Section<'_, '_>) -> Option<Self> {
        let keys = section.required(
            "keys",
            "folder with ca.pem, cert.pem and key.pem",
            unit::path,
        );
        let entries = section.list(
            "entries",
            "addresses of entry boxes for operators",
            unit::address,
        );
        Some(Self {
            keys: keys?,
            entries: entries?,
        })
    }
}
