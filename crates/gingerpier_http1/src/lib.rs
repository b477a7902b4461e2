//! HTTP/1.1 messages and connections, strict on both sides.
//!
//! A gateway has to know exactly where a message ends, whether a body was cut, whether bytes came
//! that belong to nothing, and whether a caller is still there. Client and server libraries hide
//! just these facts, so this crate keeps to the parser that they are built on (`httparse`) and
//! adds message framing and a connection with deadlines at the kernel.
//!
//! ```
//! use {
//!     bytes::BytesMut,
//!     gingerpier_http1::{body::{Decoder, Part}, head::Request},
//! };
//!
//! let mut input = BytesMut::from(&b"POST /a HTTP/1.1\r\nContent-Length: 2\r\n\r\nhi"[..]);
//! let request = Request::parse(&mut input, 1024)?.expect("a whole head");
//! let mut decoder = Decoder::new(request.framing()?);
//! assert!(matches!(decoder.decode(&mut input)?, Some(Part::Data(data)) if &data[..] == b"hi"));
//! assert!(matches!(decoder.decode(&mut input)?, Some(Part::End)));
//! # Ok::<(), gingerpier_http1::error::Error>(())
//! ```

pub mod body;
pub mod connection;
pub mod error;
pub mod head;
pub mod writer;
