//! A client of the store: a long answer may take its time while bytes come, silence may not.

use {
    gingerpier_gateway::{client::Client, error::Error},
    gingerpier_serving::dialect::Call,
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

/// Milliseconds within which an answer has to begin.
const BEGIN_MILLIS: u64 = 300;

/// Serves one connection by `serve`, after it has read a request.
fn serve(serve: impl FnOnce(&mut TcpStream) + Send + 'static) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = listener.local_addr().expect("an address");
    spawn(move || {
        let (mut stream, _) = listener.accept().expect("a caller");
        let mut request = [0; 1024];
        let _ = stream.read(&mut request).expect("a request");
        serve(&mut stream);
    });
    address
}

fn head(stream: &mut TcpStream) {
    let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n", BODY.len());
    stream.write_all(head.as_bytes()).expect("written");
}

fn ask(address: SocketAddr) -> Result<Vec<u8>, Error> {
    actix_rt::System::new().block_on(async move {
        let call = Call::get("/everything".to_owned());
        let whole = Client::new(address).call(&call, BEGIN_MILLIS).await?;
        Ok(whole.body.to_vec())
    })
}

#[test]
fn a_long_answer_is_taken_whole_while_bytes_come() {
    let address = serve(|stream| {
        head(stream);
        for byte in BODY {
            sleep(Duration::from_millis(150));
            stream.write_all(&[*byte]).expect("written");
        }
    });
    // It takes five times as long as it may take to begin.
    assert_eq!(ask(address).expect("an answer"), BODY);
}

#[test]
fn an_answer_that_stands_still_is_given_up() {
    let address = serve(|stream| {
        head(stream);
        stream.write_all(&BODY[..4]).expect("written");
        sleep(Duration::from_secs(8));
    });
    let begun = Instant::now();
    let error = ask(address).expect_err("it is given up");
    assert!(matches!(error, Error::Late { .. }), "{error}");
    assert!(begun.elapsed() < Duration::from_secs(5));
}

#[test]
fn an_answer_that_does_not_begin_is_given_up() {
    let address = serve(|_| sleep(Duration::from_secs(8)));
    let error = ask(address).expect_err("it is given up");
    assert!(matches!(error, Error::Late { .. }), "{error}");
}

/// Small questions, to connections that are closed as soon as they are made, while an answer says nothing.
fn small_questions_that_fail() -> usize {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = listener.local_addr().expect("an address");
    let came = Arc::new(AtomicUsize::new(0));
    let counted = came.clone();
    spawn(move || {
        let (_silent, _) = listener.accept().expect("a caller");
        for closed in listener.incoming().flatten() {
            drop(closed);
            counted.fetch_add(1, Ordering::Relaxed);
        }
    });
    let call = || Call::get("/small".to_owned());
    let answer = actix_rt::System::new().block_on(async move {
        let mut client = Client::new(address).patient(call());
        client.call(&call(), BEGIN_MILLIS).await
    });
    assert!(matches!(answer, Err(Error::Late { .. })));
    came.load(Ordering::Relaxed)
}

#[test]
fn a_small_question_that_fails_at_once_is_not_asked_again_without_a_pause() {
    let count = small_questions_that_fail();
    println!("{count} small questions");
    // 5 s of silence, and 250 ms at least between two of them.
    assert!((1..=21).contains(&count), "{count} small questions");
}

/// True where an answer with `status` counts as word of its server.
fn is_word(status: u16) -> bool {
    let address = serve(move |stream| {
        let head = format!(
            "HTTP/1.1 {status} X\r\nContent-Length: {}\r\n\r\n",
            BODY.len()
        );
        stream.write_all(head.as_bytes()).expect("written");
        stream.write_all(BODY).expect("written");
    });
    actix_rt::System::new().block_on(async move {
        let heard = Rc::new(Cell::new(None));
        let call = Call::get("/everything".to_owned());
        let mut client = Client::noting(address, heard.clone());
        client.call(&call, BEGIN_MILLIS).await.expect("an answer");
        heard.get().is_some()
    })
}

#[test]
fn a_refusal_is_no_word_of_what_is_in_force() {
    assert!(is_word(200));
    assert!(!is_word(429));
    assert!(!is_word(503));
}
