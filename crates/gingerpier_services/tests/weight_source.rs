//! Guards against weights that can't be fetched because a file's name has characters with a meaning in URLs.

use {
    gingerpier_base::Instant,
    gingerpier_services::{http, weight_source::Client},
    gingerpier_weights::manifest::{File, Span},
    std::{
        io::{BufRead, BufReader, Write},
        net::{SocketAddr, TcpListener},
        thread::JoinHandle,
        time::Duration,
    },
};

const RESPONSE: &[u8] =
    b"HTTP/1.1 206 Partial Content\r\nContent-Length: 4\r\nConnection: close\r\n\r\ndata";

/// Responds to one request; returns its request line.
fn serve_one() -> (SocketAddr, JoinHandle<String>) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = listener.local_addr().expect("a bound address");
    let thread = std::thread::spawn(move || {
        let (mut stream, _) = listener.accept().expect("a connection");
        let mut lines = BufReader::new(stream.try_clone().expect("a handle")).lines();
        let request_line = lines.next().expect("a request").expect("text");
        let is_end = |line: &std::io::Result<String>| line.as_ref().is_ok_and(String::is_empty);
        assert!(lines.any(|line| is_end(&line)), "the head ends");
        stream.write_all(RESPONSE).expect("written");
        request_line
    });
    (address, thread)
}

#[actix_rt::test]
async fn files_are_requested_by_their_names() {
    let cases = [
        ("model-1.bin", "/opal/v1/model-1.bin"),
        ("part 1.bin", "/opal/v1/part%201.bin"),
        ("a#1?b&c%20+.bin", "/opal/v1/a%231%3Fb%26c%2520%2B.bin"),
        ("layers/gr\u{fc}n.bin", "/opal/v1/layers/gr%C3%BCn.bin"),
    ];
    for (path, target) in cases {
        let (address, server) = serve_one();
        let url = format!("http://{address}");
        let source = Client::new(http::client(), url, Duration::from_secs(5));
        let file = File {
            path: path.to_owned(),
            bytes: 4,
        };
        let span = Span {
            file: 0,
            offset: 0,
            length: 4,
        };
        let mut received = Vec::new();
        let mut on_part = async |part: bytes::Bytes| received.extend_from_slice(&part);
        let now = Instant::from_millis(0);
        let read = source.read("opal/v1", &file, span, now, &mut on_part);
        read.await.unwrap_or_else(|error| panic!("{path}: {error}"));
        assert_eq!(received, b"data");
        let request_line = server.join().expect("no panic");
        assert_eq!(request_line, format!("GET {target} HTTP/1.1"));
    }
}
