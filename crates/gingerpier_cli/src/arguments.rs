//! Arguments of the command line.

use {
    clap::{Parser, Subcommand},
    clap_complete::Shell,
    gingerpier_base::Name,
    std::{net::SocketAddr, path::PathBuf},
};

const EXAMPLES: &str = "\
Examples:
  gingerpier do show loaded in kochi
  gingerpier do 'create model plate-notes for lm; serve plate-notes in kochi replicas 4'
  gingerpier do --wait-millis 18000 roll out plate-notes to v2 steps 10,50,100
  gingerpier watch plate-notes
  gingerpier do show audit last 20

Exit codes: 0 done, 1 refused, 2 arguments, 3 out of reach, 4 unknown, 5 not yet in force
everywhere.";

/// Arguments.
#[derive(Debug, Parser)]
#[command(name = "gingerpier", version, about = "Asks and commands a gingerpier deployment", after_help = EXAMPLES)]
pub struct Arguments {
    /// Settings of this desk.
    #[arg(
        long,
        global = true,
        env = "GINGERPIER_SETTINGS",
        default_value = "operator.yaml"
    )]
    pub settings: PathBuf,
    /// What to do.
    #[command(subcommand)]
    pub command: Command,
}

/// What to do.
#[derive(Debug, Subcommand)]
pub enum Command {
    /// Carries out a statement of the operators' language.
    Do {
        /// Prints JSON.
        #[arg(long)]
        json: bool,
        /// Waits until it is in force everywhere that can be reached.
        #[arg(long, default_value_t = 0)]
        wait_millis: u64,
        /// Identity of the request, in 32 hexadecimal digits, to ask again after `unknown`.
        #[arg(long)]
        identity: Option<String>,
        /// Statement; its words may be given without quotes.
        #[arg(required = true, trailing_var_arg = true)]
        statement: Vec<String>,
    },
    /// Shows the progress of a model's rollout until it is over.
    Watch {
        /// Model or adapter.
        model: Name,
        /// Milliseconds between looks.
        #[arg(long, default_value_t = 500)]
        every_millis: u64,
    },
    /// Writes the manifest of a folder of weights, and prints its digest.
    Manifest {
        /// Folder of weights.
        folder: PathBuf,
        /// Size of a chunk, in bytes.
        #[arg(long, default_value_t = gingerpier_weights::manifest::DEFAULT_CHUNK_BYTES)]
        chunk_bytes: u32,
        /// Shows no progress.
        #[arg(long)]
        quiet: bool,
    },
    /// Makes keys: an authority in the folder, and below it a folder for each name.
    Keys {
        /// Folder of the authority.
        folder: PathBuf,
        /// Entry boxes.
        #[arg(long)]
        entry: Vec<Name>,
        /// Backend servers.
        #[arg(long)]
        backend: Vec<Name>,
        /// Operators.
        #[arg(long)]
        operator: Vec<Name>,
    },
    /// Prints the digest of a client account's token, for `set account`.
    Token {
        /// Token that the account's callers send.
        token: String,
    },
    /// Checks a settings file and lists every mistake.
    Check {
        /// Settings file.
        file: PathBuf,
    },
    /// Lists requests that the gateways of a platform hold back, since engines ended under them.
    Held {
        /// Control address of any gateway.
        gateway: SocketAddr,
    },
    /// Lets requests go again that are held back, at all gateways.
    Release {
        /// Control address of any gateway.
        gateway: SocketAddr,
        /// Mark, or the beginning of it, as lists and logs show it.
        mark: String,
    },
    /// Prints the grammar of the operators' language.
    Grammar,
    /// Prints completions for a shell.
    Completions {
        /// Shell.
        shell: Shell,
    },
}
