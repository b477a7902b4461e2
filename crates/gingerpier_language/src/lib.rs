//! The operators' query and command language.
//!
//! The grammar is written in `grammar.pest`, and a library parses it; this crate turns what was
//! parsed into typed [`statement::Statement`]s. An error names the column and what was expected.
//!
//! ```
//! use gingerpier_language::{parse, statement::Statement};
//!
//! let statement = parse("roll out plate-notes to v2 steps 10,50,100")?;
//! assert!(matches!(statement, Statement::Change(commands) if commands.len() == 1));
//!
//! let error = parse("roll out plate-notes v2").unwrap_err();
//! assert_eq!(error.column, 22);
//! # Ok::<(), gingerpier_language::error::Error>(())
//! ```

pub mod error;
pub mod parser;
pub mod statement;

pub use error::Error;
pub use parser::parse;
pub use statement::Statement;

/// The grammar, as written.
pub const GRAMMAR: &str = include_str!("grammar.pest");
