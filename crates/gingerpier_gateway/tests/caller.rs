//! Guards against a response that is written behind a part of another one on a caller's connection.

use {
    gingerpier_clock as clock,
    gingerpier_gateway::proxy::caller::{Caller, Sent, WriteError},
    gingerpier_http1::connection::Connection,
    tokio::{
        io::AsyncReadExt,
        net::{TcpListener, TcpStream},
    },
};

const RESPONSE: &[u8] = b"HTTP/1.1 200 OK\r\ncontent-length: 8\r\n\r\n12345678";

const OTHER: &[u8] = b"HTTP/1.1 504 Gateway Timeout\r\ncontent-length: 0\r\n\r\n";

const CONTINUE: &[u8] = b"HTTP/1.1 100 Continue\r\n\r\n";

/// Time for a write, in milliseconds.
const TIMEOUT_MILLIS: u64 = 200;

/// What is written after a part of a response.
#[derive(Debug, Clone, Copy)]
enum Next {
    /// A response of the gateway.
    Own,
    /// A response of another engine.
    Engine,
    /// An interim response.
    Interim,
}

async fn connect() -> (Caller, TcpStream) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let address = listener.local_addr().expect("an address");
    let client = TcpStream::connect(address).await.expect("a connection");
    let (stream, _) = listener.accept().await.expect("a connection");
    (Caller::new(Connection::new(stream)), client)
}

async fn write(caller: &mut Caller, next: Next) -> Result<(), WriteError> {
    let deadline = clock::now().after_millis(TIMEOUT_MILLIS);
    match next {
        Next::Own => caller.respond(OTHER).await,
        Next::Engine => caller.begin(OTHER, deadline).await,
        Next::Interim => caller.respond_interim(CONTINUE).await,
    }
}

/// Closes the connection and returns all that the client got.
async fn received(mut caller: Caller, mut client: TcpStream) -> Vec<u8> {
    caller.shutdown().await;
    let mut bytes = Vec::new();
    client.read_to_end(&mut bytes).await.expect("bytes");
    bytes
}

/// Whatever part of a response was written, no other one follows it.
#[actix_rt::test]
async fn no_response_begins_behind_a_part_of_another_one() {
    for part in [0, 1, RESPONSE.len() / 2, RESPONSE.len() - 1, RESPONSE.len()] {
        for next in [Next::Own, Next::Engine, Next::Interim] {
            let (mut caller, client) = connect().await;
            let deadline = clock::now().after_millis(TIMEOUT_MILLIS);
            let begun = caller.begin(&RESPONSE[..part], deadline).await;
            begun.expect("room");
            let written = write(&mut caller, next).await;
            let expected = match (part, next) {
                (0, Next::Own | Next::Engine) => OTHER,
                (0, Next::Interim) => CONTINUE,
                _ => &RESPONSE[..part],
            };
            let is_refused = written == Err(WriteError::Conflict);
            assert_eq!(is_refused, part > 0, "{part} bytes, then {next:?}");
            assert_eq!(received(caller, client).await, expected, "{part}, {next:?}");
        }
    }
}

/// A part that the caller doesn't take counts as begun, and as incomplete.
#[actix_rt::test]
async fn an_unread_response_is_never_complete() {
    let (mut caller, _client) = connect().await;
    let deadline = clock::now().after_millis(TIMEOUT_MILLIS);
    let body = vec![b'x'; 16 * 1024 * 1024];
    let written = caller.begin(&body, deadline).await;
    assert_eq!(written, Err(WriteError::TimedOut));
    assert_eq!(caller.sent(), Sent::Part);
    assert_eq!(caller.respond(OTHER).await, Err(WriteError::Conflict));
}

/// A part goes on only behind the beginning of its response.
#[actix_rt::test]
async fn no_part_is_written_before_its_response_begins() {
    let (mut caller, client) = connect().await;
    let deadline = clock::now().after_millis(TIMEOUT_MILLIS);
    let refused = Err(WriteError::Conflict);
    assert_eq!(caller.proceed(RESPONSE, deadline).await, refused);
    caller.complete();
    assert_eq!(caller.sent(), Sent::Nothing);
    caller.respond(RESPONSE).await.expect("room");
    assert_eq!(caller.proceed(OTHER, deadline).await, refused);
    assert_eq!(caller.sent(), Sent::Complete);
    assert_eq!(received(caller, client).await, RESPONSE);
}

/// The response to the next request on a connection begins, also behind an interim response.
#[actix_rt::test]
async fn each_request_gets_its_response() {
    let (mut caller, client) = connect().await;
    caller.respond(RESPONSE).await.expect("room");
    caller.begin_request();
    caller.respond_interim(CONTINUE).await.expect("room");
    caller.respond(OTHER).await.expect("room");
    let expected = [RESPONSE, CONTINUE, OTHER].concat();
    assert_eq!(received(caller, client).await, expected);
}
