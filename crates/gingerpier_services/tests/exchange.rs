//! Guards against a response of an engine with an invalid status that reaches a caller as an answer.

use {
    bytes::Bytes,
    gingerpier_services::{error::Fault, exchange::Client},
    http::Request,
    http_body_util::Full,
    std::{
        io::{BufRead, BufReader, Write},
        net::TcpListener,
        time::Duration,
    },
};

/// Sends a request to a server that responds with `status`.
async fn exchange(status: &str) -> Result<u16, Fault> {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = listener.local_addr().expect("a bound address");
    let response = format!("HTTP/1.1 {status} X\r\nContent-Length: 0\r\n\r\n");
    let server = std::thread::spawn(move || {
        let (mut stream, _) = listener.accept().expect("a connection");
        let mut lines = BufReader::new(stream.try_clone().expect("a handle")).lines();
        let is_end = |line: &std::io::Result<String>| line.as_ref().is_ok_and(String::is_empty);
        assert!(lines.any(|line| is_end(&line)), "the head ends");
        stream.write_all(response.as_bytes()).expect("written");
    });
    let request = Request::get(format!("http://{address}/"));
    let request = request.body(Full::new(Bytes::new())).expect("a request");
    let answer = Client::default()
        .send(request, Duration::from_secs(5))
        .await;
    server.join().expect("no panic");
    answer.map(|answer| answer.status.as_u16())
}

#[actix_rt::test]
async fn an_invalid_status_is_no_answer() {
    for status in ["000", "099", "600", "999"] {
        let fault = exchange(status).await.expect_err(status);
        // Unlike a refused request, it may have run.
        let may_have_run = matches!(fault, Fault::Unanswered(_) | Fault::Unreadable(_));
        assert!(may_have_run, "{status}: {fault:?}");
    }
    for status in ["200", "404", "599"] {
        let answered = exchange(status).await.expect("valid");
        assert_eq!(answered.to_string(), status);
    }
}
