//! Plays an ablation from a table, and writes what it shows.

use {
    clap::Parser,
    gingerpier_ablation::{
        error::Error,
        journal, plot, report,
        runner::{JOURNAL, Runner},
        table::Table,
        tree::Tree,
    },
    std::{
        fs,
        path::{Path, PathBuf},
        process::ExitCode,
    },
};

/// Plays an ablation from a table, and writes what it shows.
///
/// Plays whose journal entries are in the trial tree already are not played again.
#[derive(Debug, Parser)]
struct Options {
    /// Table of mechanisms and days, with the patches beside it.
    #[arg(long)]
    table: PathBuf,
    /// Folder of the trial tree, which is made where there is none.
    #[arg(long)]
    tree: PathBuf,
    /// Program that plays days; without it nothing is played, and the entries that are there are read.
    #[arg(long)]
    bench: Option<PathBuf>,
    /// File of a site of the table.
    #[arg(long = "site", value_name = "NAME=FILE", value_parser = site)]
    sites: Vec<(String, PathBuf)>,
    /// Mechanisms to take out; all of the table where none is named.
    #[arg(long)]
    only: Vec<String>,
    /// Plays at once.
    #[arg(long, default_value_t = 2)]
    at_once: usize,
    /// Processors for each play.
    #[arg(long, default_value_t = 2)]
    jobs: usize,
    /// File for the table of results.
    #[arg(long)]
    report: Option<PathBuf>,
    /// File for the plot of results.
    #[arg(long)]
    plot: Option<PathBuf>,
}

fn site(text: &str) -> Result<(String, PathBuf), String> {
    let (name, file) = text.split_once('=').ok_or("NAME=FILE is expected")?;
    Ok((name.to_owned(), file.into()))
}

fn main() -> ExitCode {
    match run(Options::parse()) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("{error}");
            ExitCode::FAILURE
        }
    }
}

fn run(options: Options) -> Result<(), Error> {
    let text = fs::read_to_string(&options.table);
    let text = text.map_err(|cause| Error::Io(options.table.clone(), cause))?;
    let table = Table::parse(&text)?;
    let tree = Tree::open(Path::new("."), &options.tree)?;
    if let Some(bench) = options.bench {
        let patches = options.table.parent().unwrap_or(Path::new("."));
        let runner = Runner {
            bench,
            sites: options.sites.into_iter().collect(),
            patches: patches.to_owned(),
            at_once: options.at_once,
            jobs: options.jobs,
        };
        runner.play_all(&table, &tree, &options.only)?;
    }
    let outcomes = journal::outcomes(&tree.root().join(JOURNAL), &tree.head()?)?;
    println!("{} plays", outcomes.len());
    let results = report::markdown(&table, &outcomes);
    match options.report {
        Some(path) => fs::write(&path, results).map_err(|cause| Error::Io(path, cause))?,
        None => print!("{results}"),
    }
    if let Some(path) = options.plot {
        plot::draw(&table, &outcomes, &path)?;
    }
    Ok(())
}
