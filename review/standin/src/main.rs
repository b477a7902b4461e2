//! Stand-ins and scripts of the review: `review-standin CASE FOLDER`.

mod http;
mod overrun;
mod rig;
mod sha256;
mod spoilt;
mod store;
mod truncated;

use {
    rig::{Record, Verdict},
    std::{path::Path, process::ExitCode},
};

const COULD_NOT_RUN: u8 = 2;

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    let [case, rest @ ..] = arguments.as_slice() else {
        eprintln!("review-standin CASE FOLDER");
        return ExitCode::from(COULD_NOT_RUN);
    };
    if case == "engine" {
        if let Err(error) = truncated::run_engine(rest) {
            eprintln!("{error}");
        }
        return ExitCode::from(COULD_NOT_RUN);
    }
    let Some(folder) = rest.first() else {
        return ExitCode::from(COULD_NOT_RUN);
    };
    let record = match Record::create(Path::new(folder)) {
        Ok(record) => record,
        Err(error) => {
            eprintln!("no record: {error}");
            return ExitCode::from(COULD_NOT_RUN);
        }
    };
    record.line(format_args!("case {case}, trouble: {}", rig::has_trouble()));
    let outcome = match case.as_str() {
        "truncated" => truncated::run(record.clone()),
        "overrun" => overrun::run(record.clone()),
        "spoilt" => spoilt::run(record.clone()),
        other => Err(format!("no case {other}")),
    };
    let (text, code) = match outcome {
        Ok(Verdict::Held) => ("the rule held".to_owned(), 0),
        Ok(Verdict::Broken) => ("THE RULE WAS BROKEN".to_owned(), 1),
        Err(error) => (format!("could not run: {error}"), COULD_NOT_RUN),
    };
    record.line(&text);
    println!("{case}: {text}");
    ExitCode::from(code)
}
