//! Settings in YAML, checked whole before start.
//!
//! Every mistake is listed with its line and column, unknown keys are refused, and sizes and
//! times carry their units. A time read here becomes a deadline where it is used.
//!
//! ```
//! use gingerpier_settings::{Settings, read};
//!
//! let text = "role: operator\nkeys: keys/alice\nentries: [127.0.0.1:8443]\n";
//! let Ok(Settings::Operator(operator)) = read(text) else { panic!("not read") };
//! assert_eq!(operator.entries.len(), 1);
//!
//! let problems = read("role: operator\nkeys: keys/alice\nentry: []\n").unwrap_err();
//! assert_eq!(problems.to_string(), "\
//! line 1, column 1: `entries` is missing: addresses of entry boxes for operators
//! line 3, column 1: `entry` is not a known key here; known are: entries, keys, role");
//! ```

pub mod backend;
pub mod entry;
pub mod gateway;
pub mod operator;
pub mod problem;
pub mod reader;
pub mod unit;

pub use backend::Backend;
pub use entry::Entry;
pub use gateway::{Gateway, Loader};
pub use operator::Operator;
pub use problem::Problems;

use crate::reader::Section;

/// Settings of one process.
#[derive(Debug, Clone, PartialEq)]
pub enum Settings {
    /// Of an entry box.
    Entry(Box<Entry>),
    /// Of a backend server.
    Backend(Box<Backend>),
    /// Of an operator's desk.
    Operator(Operator),
    /// Of a gateway on a platform.
    Gateway(Box<Gateway>),
    /// Of a loader on a platform.
    Loader(Box<Loader>),
}

/// What a process does.
#[derive(Debug, Clone, Copy)]
enum Role {
    Entry,
    Backend,
    Operator,
    Gateway,
    Loader,
}

fn role(word: &str) -> Result<Role, String> {
    match word {
        "entry" => Ok(Role::Entry),
        "backend" => Ok(Role::Backend),
        "operator" => Ok(Role::Operator),
        "gateway" => Ok(Role::Gateway),
        "loader" => Ok(Role::Loader),
        _ => Err("a role is entry, backend, operator, gateway or loader".to_owned()),
    }
}

/// Reads and checks settings.
///
/// # Errors
///
/// Lists every mistake, in the order of the text.
pub fn read(text: &str) -> Result<Settings, Problems> {
    let node = reader::load(text)?;
    let mut problems = Problems::default();
    let mut section = Section::root(&node, &mut problems);
    let role = section.required(
        "role",
        "what the process does: entry, backend, operator, gateway or loader",
        role,
    );
    let settings = match role {
        Some(Role::Entry) => Entry::read(&mut section).map(Box::new).map(Settings::Entry),
        Some(Role::Backend) => Backend::read(&mut section)
            .map(Box::new)
            .map(Settings::Backend),
        Some(Role::Operator) => Operator::read(&mut section).map(Settings::Operator),
        Some(Role::Gateway) => Gateway::read(&mut section)
            .map(Box::new)
            .map(Settings::Gateway),
        Some(Role::Loader) => Loader::read(&mut section)
            .map(Box::new)
            .map(Settings::Loader),
        None => return Err(problems),
    };
    section.finish();
    problems.sort();
    match settings {
        Some(settings) if problems.is_empty() => Ok(settings),
        _ => Err(problems),
    }
}
