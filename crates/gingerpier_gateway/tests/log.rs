//! Lines are written whole or not at all.
//!
//! Where more was logged than was written, lines were torn: what was over the bound was left out in the middle of a line, and
//! the next one began there (`engine=i-ts=2026-…`), so that nobody could read either.

use {gingerpier_gateway::log::Lines, std::io::Write, tracing_subscriber::fmt::MakeWriter};

/// More than is kept, in lines that no bound divides.
const LINES: usize = 40_000;

#[test]
fn a_line_that_does_not_fit_is_left_out_whole() {
    let lines = Lines::default();
    for number in 0..LINES {
        let mut writer = lines.make_writer();
        // A line comes in pieces.
        for piece in ["level=info", " number=", &number.to_string(), "\n"] {
            writer.write_all(piece.as_bytes()).expect("into memory");
        }
    }
    let written = String::from_utf8(lines.take()).expect("text");
    let (mut whole, mut left_out) = (0, 0);
    for line in written.lines() {
        match line.strip_prefix("level=info number=") {
            Some(number) => {
                assert!(number.parse::<usize>().is_ok(), "{line}");
                whole += 1;
            }
            None => {
                let count = line.rsplit_once("count=").map(|(_, count)| count);
                left_out = count.and_then(|count| count.parse().ok()).expect(line);
            }
        }
    }
    assert!(whole > 0 && left_out > 0, "{whole}, {left_out}");
    assert_eq!(whole + left_out, LINES, "what is left out is counted");
}
