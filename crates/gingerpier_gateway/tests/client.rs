//! A long response may take its time while data arrives, and a stalled one times out.

use {
    gingerpier_base::target::Target,
    gingerpier_gateway::{client::Client, error::Error},
    gingerpier_serving::platform_api::ApiRequest,
    std::{
        cell::Cell,
        io::{Read, Write},
        net::{SocketAddr, TcpListener, TcpStream},
        rc::Rc,
        sync::{
            Arc,
            atomic::{AtomicUsize, Ordering},
        },
        thread::{sleep, spawn},
        time::{Duration, Instant},
    },
};

const BODY: &[u8] = b"0123456789";

/// Time within which a response has to begin.
const BEGIN_MILLIS: u64 = 300;

/// Accepts one connection, reads a request and calls `respond`.
fn serve(respond: impl FnOnce(&mut TcpStream) + Send + 'static) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = listener.local_addr().expect("a bound address");
    spawn(move || {
        let (mut stream, _) = listener.accept().expect("a connection");
        let mut request = [0; 1024];
        let _ = stream.read(&mut request).expect("a request");
        respond(&mut stream);
    });
    address
}

fn write_head(stream: &mut TcpStream) {
    let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n", BODY.len());
    stream
        .write_all(head.as_bytes())
        .expect("the response is written");
}

fn fetch(address: SocketAddr) -> Result<Vec<u8>, Error> {
    actix_rt::System::new().block_on(async move {
        let call = ApiRequest::get(Target::new("/everything"));
        let whole = Client::new(address).call(&call, BEGIN_MILLIS).await?;
        Ok(whole.body.to_vec())
    })
}

#[test]
fn a_long_response_is_read_whole_while_data_arrives() {
    let address = serve(|stream| {
        write_head(stream);
        for byte in BODY {
            sleep(Duration::from_millis(150));
            stream.write_all(&[*byte]).expect("the response is written");
        }
    });
    // The body takes five times as long as the response may take to begin.
    assert_eq!(fetch(address).expect("a response"), BODY);
}

/// Guards against a loader that waits without end for an engine that sends a byte now and then.
#[test]
fn a_response_of_an_engine_that_never_ends_times_out() {
    let address = serve(|stream| {
        let mut is_open = stream.write_all(b"HTTP/1.1 200 OK\r\n\r\n").is_ok();
        while is_open {
            sleep(Duration::from_millis(100));
            is_open = stream.write_all(b" ").is_ok();
        }
    });
    let begun = Instant::now();
    let result = actix_rt::System::new().block_on(async move {
        let call = ApiRequest::get(Target::new("/report"));
        Client::of_engine(address).call(&call, BEGIN_MILLIS).await
    });
    assert!(matches!(result, Err(Error::Timeout { .. })), "{result:?}");
    assert!(begun.elapsed() < Duration::from_secs(2));
}

#[test]
fn a_stalled_response_times_out() {
    let address = serve(|stream| {
        write_head(stream);
        stream
            .write_all(&BODY[..4])
            .expect("the response is written");
        sleep(Duration::from_secs(8));
    });
    let started = Instant::now();
    let error = fetch(address).expect_err("the request times out");
    assert!(matches!(error, Error::Timeout { .. }), "{error}");
    assert!(started.elapsed() < Duration::from_secs(5));
}

#[test]
fn a_response_that_does_not_begin_times_out() {
    let address = serve(|_| sleep(Duration::from_secs(8)));
    let error = fetch(address).expect_err("the request times out");
    assert!(matches!(error, Error::Timeout { .. }), "{error}");
}

/// Number of probes during a silent response, each on a connection that is closed at once.
fn count_failing_probes() -> usize {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = listener.local_addr().expect("a bound address");
    let probe_count = Arc::new(AtomicUsize::new(0));
    let counter = probe_count.clone();
    spawn(move || {
        let (_silent, _) = listener.accept().expect("a connection");
        for connection in listener.incoming().flatten() {
            drop(connection);
            counter.fetch_add(1, Ordering::Relaxed);
        }
    });
    let call = || ApiRequest::get(Target::new("/small"));
    let result = actix_rt::System::new().block_on(async move {
        let mut client = Client::new(address).with_probe(call());
        client.call(&call(), BEGIN_MILLIS).await
    });
    assert!(matches!(result, Err(Error::Timeout { .. })));
    probe_count.load(Ordering::Relaxed)
}

#[test]
fn probes_that_fail_at_once_are_rate_limited() {
    let count = count_failing_probes();
    println!("{count} probes");
    // 5 s of silence with at least 250 ms between probes.
    assert!((1..=21).contains(&count), "{count} probes");
}

/// True if data of a response with `status` is recorded as received.
fn is_recorded(status: u16) -> bool {
    let address = serve(move |stream| {
        let head = format!(
            "HTTP/1.1 {status} X\r\nContent-Length: {}\r\n\r\n",
            BODY.len()
        );
        stream
            .write_all(head.as_bytes())
            .expect("the response is written");
        stream.write_all(BODY).expect("the response is written");
    });
    actix_rt::System::new().block_on(async move {
        let last_received = Rc::new(Cell::new(None));
        let call = ApiRequest::get(Target::new("/everything"));
        let mut client = Client::recording(address, last_received.clone());
        client.call(&call, BEGIN_MILLIS).await.expect("a response");
        last_received.get().is_some()
    })
}

#[test]
fn an_error_response_is_not_recorded_as_received_data() {
    assert!(is_recorded(200));
    assert!(!is_recorded(429));
    assert!(!is_recorded(503));
}
