//! Compares ways to treat callers that come back, under loads above the capacity.

use {
    clap::Parser,
    gingerpier_admission::shedding::ReturnPolicy,
    gingerpier_overload::{
        Deployment,
        error::Error,
        pattern::Pattern,
        play,
        report::{self, Row, Shares},
    },
    rayon::prelude::{IntoParallelIterator, ParallelIterator},
    std::{path::PathBuf, process::ExitCode},
};

/// Compares ways to treat callers that come back, under loads above the capacity.
#[derive(Debug, Parser)]
struct Options {
    /// Ways to compare; all where none is named.
    #[arg(long = "way")]
    ways: Vec<ReturnPolicy>,
    /// Load patterns; all where none is named.
    #[arg(long = "pattern")]
    patterns: Vec<Pattern>,
    /// Loads, as parts of the capacity.
    #[arg(long = "load", default_values_t = [0.8, 1.0, 1.5, 2.0, 4.0])]
    loads: Vec<f64>,
    /// Seeds for each.
    #[arg(long, default_value_t = 4)]
    seeds: u64,
    /// Draws a deployment from each seed, in place of the usual one.
    #[arg(long)]
    drawn: bool,
    /// Worth of an answer in time for a caller that came back, where one at the first try is worth 1.
    #[arg(long, default_value_t = gingerpier_overload::deployment::RETURNED_WORTH)]
    returned_worth: f64,
    /// Milliseconds for which gateways hold callers whom all engines are too full for.
    #[arg(long, default_value_t = 0.0)]
    hold: f64,
    /// Milliseconds that are counted.
    #[arg(long, default_value_t = 8_000.0)]
    millis: f64,
    /// File for the table; the table is printed where none is named.
    #[arg(long)]
    report: Option<PathBuf>,
    /// File for a plot of the first pattern.
    #[arg(long)]
    plot: Option<PathBuf>,
}

fn main() -> ExitCode {
    match run(&Options::parse()) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("{error}");
            ExitCode::FAILURE
        }
    }
}

fn run(options: &Options) -> Result<(), Error> {
    let ways = all_or(&options.ways, &ReturnPolicy::ALL);
    let patterns = all_or(&options.patterns, &Pattern::ALL);
    let mut rows = Vec::new();
    for pattern in &patterns {
        for load in &options.loads {
            for way in &ways {
                rows.push(row(options, *way, *pattern, *load));
            }
        }
    }
    match &options.report {
        Some(file) => report::write(&rows, file)?,
        None => print!("{}", report::table(&rows)),
    }
    if let Some(file) = &options.plot {
        report::plot(&rows, patterns[0], file)?;
    }
    Ok(())
}

fn all_or<T: Copy>(named: &[T], all: &[T]) -> Vec<T> {
    match named.is_empty() {
        true => all.to_vec(),
        false => named.to_vec(),
    }
}

fn row(options: &Options, way: ReturnPolicy, pattern: Pattern, load: f64) -> Row {
    let plays = (1..=options.seeds).into_par_iter();
    let plays = plays.map(|seed| {
        let deployment = match options.drawn {
            true => Deployment::drawn(seed),
            false => Deployment::usual(seed),
        };
        let deployment = Deployment {
            way,
            returned_worth: options.returned_worth,
            hold_millis: options.hold,
            ..deployment
        };
        let played = play::play(&deployment, load, pattern, options.millis);
        let fates = played.fates;
        let part = |count: usize| count as f64 / fates.count().max(1) as f64;
        Shares {
            worth: played.share_of_worth,
            in_time: part(fates.in_time),
            late: part(fates.returned_in_time + fates.late),
            refused: part(fates.refused),
            lost: part(fates.lost),
        }
    });
    Row {
        way,
        pattern,
        load,
        plays: plays.collect(),
    }
}
