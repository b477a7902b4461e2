//! Heads and bodies: what is taken, what is refused, and where messages end.

use {
    bytes::{Bytes, BytesMut},
    gingerpier_http1::{
        body::{Decoder, Framing, Part},
        error::Error,
        head::{Request, Response},
        writer::{self, Message},
    },
    proptest::prelude::*,
};

const LIMIT: usize = 1024;

fn request(text: &str) -> Result<Option<Request>, Error> {
    Request::parse(&mut BytesMut::from(text), LIMIT)
}

fn whole(text: &str) -> Request {
    request(text).expect("right").expect("whole")
}

#[test]
fn fields_are_found_whatever_their_case() {
    let request = whole("GET /a?b HTTP/1.1\r\nHost: x\r\nREQUEST-id: 7\r\nA: 1\r\na: 2\r\n\r\n");
    assert_eq!(request.method(), b"GET");
    assert_eq!(request.target(), b"/a?b");
    assert_eq!(request.fields.number("Request-Id"), Some(7));
    assert_eq!(request.fields.all("a").count(), 2);
    assert!(request.keeps_alive());
}

#[test]
fn a_head_in_parts_is_waited_for_and_a_long_one_is_refused() {
    assert!(request("GET / HTTP/1.1\r\nHo").expect("so far").is_none());
    let long = format!("GET / HTTP/1.1\r\nA: {}", "x".repeat(LIMIT));
    assert_eq!(request(&long).err(), Some(Error::HeadTooLong));
}

#[test]
fn requests_with_two_lengths_are_refused() {
    let two = [
        "POST / HTTP/1.1\r\nContent-Length: 2\r\nTransfer-Encoding: chunked\r\n\r\n",
        "POST / HTTP/1.1\r\nContent-Length: 2\r\nContent-Length: 3\r\n\r\n",
        "POST / HTTP/1.1\r\nContent-Length: +2\r\n\r\n",
        "POST / HTTP/1.1\r\nContent-Length: 2, 2\r\n\r\n",
        "POST / HTTP/1.1\r\nTransfer-Encoding: gzip, chunked\r\n\r\n",
        "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n\r\n",
        "POST / HTTP/1.0\r\nTransfer-Encoding: chunked\r\n\r\n",
    ];
    for text in two {
        assert_eq!(whole(text).framing(), Err(Error::Framing), "{text}");
    }
}

#[test]
fn malformed_heads_are_refused() {
    for text in [
        "GET /\u{7f} HTTP/1.1\r\nHost : x\r\n\r\n",
        "GET / HTTP/1.1\r\n folded: x\r\n\r\n",
        "\0",
    ] {
        assert_eq!(request(text).err(), Some(Error::Head), "{text:?}");
    }
}

#[test]
fn interim_responses_are_passed_over() {
    let text = "HTTP/1.1 103 Early\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\nrest";
    let mut input = BytesMut::from(text);
    let response = Response::parse(&mut input, LIMIT)
        .expect("right")
        .expect("whole");
    assert_eq!(response.status, 200);
    assert_eq!(&input[..], b"rest");
}

/// Guards against an invalid response that is passed over as an interim one.
#[test]
fn responses_with_an_invalid_status_are_refused() {
    for status in ["000", "001", "099", "600", "999"] {
        let text = format!("HTTP/1.1 {status} X\r\nContent-Length: 0\r\n\r\n");
        let response = Response::parse(&mut BytesMut::from(&text[..]), LIMIT);
        assert_eq!(response.err(), Some(Error::Status), "{status}");
    }
}

#[test]
fn a_response_without_a_length_ends_with_its_connection() {
    let mut input = BytesMut::from("HTTP/1.1 200 OK\r\n\r\nab");
    let response = Response::parse(&mut input, LIMIT)
        .expect("right")
        .expect("whole");
    let mut decoder = Decoder::new(response.framing().expect("told"));
    let part = decoder.decode(&mut input).expect("right");
    assert_eq!(part, Some(Part::Data(Bytes::from_static(b"ab"))));
    assert_eq!(decoder.decode(&mut input), Ok(None));
    assert_eq!(decoder.close(), Ok(Part::Closed));
}

#[test]
fn a_cut_body_is_not_whole() {
    for framing in [Framing::Length(3), Framing::Chunked] {
        let mut decoder = Decoder::new(framing);
        let mut input = BytesMut::from("2\r");
        let _ = decoder.decode(&mut input);
        assert_eq!(decoder.close(), Err(Error::Cut), "{framing:?}");
    }
}

#[test]
fn malformed_chunks_are_refused() {
    for text in [
        "x\r\n",
        "-1\r\n",
        "2\r\nabcd",
        "2\nab",
        "1000000000000000\r\n",
        ";\r\n",
    ] {
        let mut decoder = Decoder::new(Framing::Chunked);
        let mut input = BytesMut::from(text);
        let mut last = decoder.decode(&mut input);
        while matches!(last, Ok(Some(_))) {
            last = decoder.decode(&mut input);
        }
        assert_eq!(last, Err(Error::Chunk), "{text:?}");
    }
}

#[test]
fn trailers_and_extensions_are_passed_over() {
    let mut input = BytesMut::from("2;a=b\r\nhi\r\n0\r\nX: y\r\n\r\nnext");
    let mut decoder = Decoder::new(Framing::Chunked);
    let part = decoder.decode(&mut input).expect("right");
    assert_eq!(part, Some(Part::Data(Bytes::from_static(b"hi"))));
    assert_eq!(decoder.decode(&mut input), Ok(Some(Part::End)));
    assert_eq!(&input[..], b"next");
}

/// Guards against names of other programs that add header fields, or a second request.
#[test]
fn a_line_break_in_a_value_adds_no_field() {
    let bytes = Message::request(b"GET", b"/")
        .field(b"tenant", b"a\r\n\r\nb: c\n\0d")
        .end();
    let mut input = BytesMut::from(&bytes[..]);
    let request = Request::parse(&mut input, LIMIT).expect("right");
    let request = request.expect("whole");
    assert!(input.is_empty());
    assert_eq!(request.fields.iter().count(), 1);
    assert_eq!(request.fields.text("tenant"), Some("a    b: c  d"));
}

#[test]
fn messages_are_written_as_they_are_read() {
    let bytes = Message::request(b"POST", b"/a")
        .field(b"host", b"h")
        .body(b"hello");
    let mut input = BytesMut::from(&bytes[..]);
    let request = Request::parse(&mut input, LIMIT)
        .expect("right")
        .expect("whole");
    assert_eq!(request.framing(), Ok(Framing::Length(5)));
    assert_eq!(&input[..], b"hello");
}

proptest! {
    #[test]
    fn chunked_bodies_survive_any_cut(
        parts in prop::collection::vec(prop::collection::vec(any::<u8>(), 0..40), 0..6),
        cuts in prop::collection::vec(1_usize..9, 1..40),
    ) {
        let mut sent = Vec::new();
        for part in &parts {
            writer::chunk(&mut sent, part);
        }
        sent.extend_from_slice(writer::LAST_CHUNK);
        let mut decoder = Decoder::new(Framing::Chunked);
        let mut input = BytesMut::new();
        let mut got = Vec::new();
        let mut cuts = cuts.iter().cycle();
        while !sent.is_empty() {
            let cut = (*cuts.next().expect("cycles")).min(sent.len());
            input.extend_from_slice(&sent[..cut]);
            sent.drain(..cut);
            while let Some(part) = decoder.decode(&mut input).expect("right") {
                match part {
                    Part::Data(data) => got.extend_from_slice(&data),
                    Part::End | Part::Closed => break,
                }
            }
        }
        prop_assert!(decoder.has_ended());
        prop_assert_eq!(got, parts.concat());
    }

    #[test]
    fn no_bytes_upset_the_parsers(bytes in prop::collection::vec(any::<u8>(), 0..200)) {
        let _ = Request::parse(&mut BytesMut::from(&bytes[..]), LIMIT);
        let _ = Response::parse(&mut BytesMut::from(&bytes[..]), LIMIT);
        let mut decoder = Decoder::new(Framing::Chunked);
        let mut input = BytesMut::from(&bytes[..]);
        while let Ok(Some(_)) = decoder.decode(&mut input) {}
    }
}
