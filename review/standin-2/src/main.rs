//! Stand-ins and clients of the scripts of the second review.

mod client;
mod full;
mod held;
mod http;
mod late_beat;
mod limits;
mod rig;
mod store;
mod uploads;

use std::{path::Path, process::ExitCode};

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    let [case, folder] = &arguments[..] else {
        eprintln!("usage: review-standin-2 CASE FOLDER");
        return ExitCode::from(2);
    };
    let folder = Path::new(folder);
    let code = match case.as_str() {
        "uploads" => uploads::run(folder),
        "held" => held::run(folder),
        "full" => full::run(folder),
        "late-beat" => late_beat::run(folder),
        "limits" => limits::run(folder),
        _ => 2,
    };
    ExitCode::from(code)
}
