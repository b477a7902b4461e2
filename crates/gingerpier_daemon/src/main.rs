//! `gingerpierd`: the daemon of entry boxes and backend servers.

use {
    clap::{Parser, Subcommand},
    gingerpier_daemon::{error::Error, run},
    std::{path::PathBuf, process::ExitCode},
};

#[derive(Parser)]
#[command(
    version,
    about = "The gingerpier daemon of entry boxes and backend servers"
)]
struct Arguments {
    #[command(subcommand)]
    command: Command,
}

#[derive(Subcommand)]
enum Command {
    /// Runs the daemon; its role is in the settings.
    Run {
        /// Settings file.
        #[arg(long)]
        settings: PathBuf,
    },
    /// Checks a settings file and lists every mistake.
    Check {
        /// Settings file.
        settings: PathBuf,
    },
}

fn carry_out(command: Command) -> Result<(), Error> {
    match command {
        Command::Run { settings } => run::run(&settings),
        Command::Check { settings } => {
            run::read_settings(&settings)?;
            println!("{} is right", settings.display());
            Ok(())
        }
    }
}

fn main() -> ExitCode {
    match carry_out(Arguments::parse().command) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("gingerpierd: {error}");
            ExitCode::FAILURE
        }
    }
}
