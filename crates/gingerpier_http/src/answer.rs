//! Answers of the usual kinds.

use {
    actix_http::{
        Response, ResponseBuilder, StatusCode,
        body::{BodyStream, BoxBody},
        header,
    },
    bytes::Bytes,
    futures_util::Stream,
    serde::Serialize,
    std::io,
};

/// An answer.
pub type Answer = Response<BoxBody>;

/// Starts an answer of `status`; one that is none becomes 500.
pub fn build(status: u16) -> ResponseBuilder {
    Response::build(StatusCode::from_u16(status).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR))
}

/// Answer of one line of text.
pub fn text(status: u16, line: &str) -> Answer {
    let mut answer = build(status);
    answer.insert_header((header::CONTENT_TYPE, "text/plain; charset=utf-8"));
    answer.body(format!("{line}\n")).map_into_boxed_body()
}

/// Answer in JSON.
pub fn json(status: u16, value: &impl Serialize) -> Answer {
    match serde_json::to_vec(value) {
        Ok(bytes) => {
            let mut answer = build(status);
            answer.insert_header((header::CONTENT_TYPE, "application/json"));
            answer.body(bytes).map_into_boxed_body()
        }
        Err(error) => text(500, &error.to_string()),
    }
}

/// Answer without a body.
pub fn empty(status: u16) -> Answer {
    build(status).body(()).map_into_boxed_body()
}

/// Ends `builder` with a body that comes in parts; an error in it breaks the connection off, so
/// that the caller can't take what came for the whole.
pub fn stream<S>(mut builder: ResponseBuilder, parts: S) -> Answer
where
    S: Stream<Item = Result<Bytes, io::Error>> + 'static,
{
    builder.body(BodyStream::new(parts)).map_into_boxed_body()
}
