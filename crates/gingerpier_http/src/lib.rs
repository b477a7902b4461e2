//! A small HTTP server on one thread: listening, bodies within bounds, answers.
//!
//! The protocol is the library's; this crate only fixes how the daemons and the stand-ins use it.
//!
//! ```no_run
//! use gingerpier_http::{answer, server::Listener};
//!
//! # async fn run() -> std::io::Result<()> {
//! let listener = Listener::bind("127.0.0.1:0".parse().expect("an address"))?;
//! listener.serve(|request| async move { answer::text(200, request.path()) }).await;
//! # Ok(())
//! # }
//! ```

pub mod answer;
pub mod body;
pub mod server;

pub use answer::Answer;
pub use server::Listener;
