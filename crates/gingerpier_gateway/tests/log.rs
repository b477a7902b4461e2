//! Lines above the buffer limit are dropped as a whole, not cut in the middle.

use {gingerpier_gateway::log::LogBuffer, std::io::Write, tracing_subscriber::fmt::MakeWriter};

/// More lines than the buffer holds; their length doesn't divide its limit.
const LINES: usize = 40_000;

#[test]
fn a_line_above_the_limit_is_dropped_as_a_whole() {
    let buffer = LogBuffer::default();
    for number in 0..LINES {
        let mut writer = buffer.make_writer();
        // Subscribers write a line in several pieces.
        for piece in ["level=info", " number=", &number.to_string(), "\n"] {
            writer
                .write_all(piece.as_bytes())
                .expect("writing to memory");
        }
    }
    let written = String::from_utf8(buffer.drain()).expect("UTF-8");
    let (mut whole, mut dropped) = (0, 0);
    for line in written.lines() {
        match line.strip_prefix("level=info number=") {
            Some(number) => {
                assert!(number.parse::<usize>().is_ok(), "{line}");
                whole += 1;
            }
            None => {
                let count = line.rsplit_once("count=").map(|(_, count)| count);
                dropped = count.and_then(|count| count.parse().ok()).expect(line);
            }
        }
    }
    assert!(whole > 0 && dropped > 0, "{whole}, {dropped}");
    assert_eq!(whole + dropped, LINES, "dropped lines are counted");
}
