//! `gingerpier`: the operators' command line.

use {
    clap::{CommandFactory, Parser},
    gingerpier_base::{Digest, Name, place::Role},
    gingerpier_cli::{
        Arguments, Error,
        arguments::Command,
        desk::{Desk, new_identity},
        exit::Exit,
        held, keys, manifest, show, watch,
    },
    gingerpier_daemon::{operator_api::StatementRequest, run},
    std::{io, path::Path, process::ExitCode},
};

fn main() -> ExitCode {
    let arguments = Arguments::parse();
    let done = actix_rt::System::new().block_on(carry_out(arguments));
    match done {
        Ok(exit) => exit.into(),
        Err(error) => {
            eprintln!("gingerpier: {error}");
            let exit = match error {
                Error::NoEntry(_) | Error::NoGateway { .. } => Exit::Unavailable,
                _ => Exit::Refused,
            };
            exit.into()
        }
    }
}

async fn carry_out(arguments: Arguments) -> Result<Exit, Error> {
    let Arguments { settings, command } = arguments;
    match command {
        Command::Do {
            json,
            wait_millis,
            identity,
            statement,
        } => {
            let identity = identity.unwrap_or_else(new_identity);
            let asked = StatementRequest {
                identity,
                text: statement.join(" "),
                wait_millis,
            };
            ask(&settings, &asked, json).await
        }
        Command::Watch {
            model,
            every_millis,
        } => watch::run(&Desk::open(&settings)?, &model, every_millis).await,
        Command::Manifest {
            folder,
            chunk_bytes,
            quiet,
        } => {
            let (digest, manifest) = manifest::write(&folder, chunk_bytes, quiet)?;
            let (bytes, chunks) = (manifest.bytes(), manifest.chunks.len());
            println!("manifest {digest} bytes {bytes}");
            eprintln!(
                "{} files, {chunks} chunks; for `create version`, add `from \"FOLDER\"` as the origin serves it",
                manifest.files.len()
            );
            Ok(Exit::Done)
        }
        Command::Keys {
            folder,
            entry,
            backend,
            operator,
        } => {
            let of = |role: Role, names: Vec<Name>| names.into_iter().map(move |name| (role, name));
            let named = of(Role::Entry, entry)
                .chain(of(Role::Backend, backend))
                .chain(of(Role::Operator, operator));
            keys::make(&folder, &named.collect::<Vec<_>>())?;
            Ok(Exit::Done)
        }
        Command::Token { token } => {
            println!("{}", Digest::of(token.as_bytes()));
            Ok(Exit::Done)
        }
        Command::Check { file } => {
            run::read_settings(&file)?;
            println!("{} is right", file.display());
            Ok(Exit::Done)
        }
        Command::Held { gateway } => held::list(gateway).await,
        Command::Release { gateway, mark } => held::release(gateway, &mark).await,
        Command::Grammar => {
            print!("{}", gingerpier_language::GRAMMAR);
            Ok(Exit::Done)
        }
        Command::Completions { shell } => {
            let mut command = Arguments::command();
            clap_complete::generate(shell, &mut command, "gingerpier", &mut io::stdout());
            Ok(Exit::Done)
        }
    }
}

async fn ask(settings: &Path, asked: &StatementRequest, json: bool) -> Result<Exit, Error> {
    // A mistake in the text is found here already, without an entry box.
    gingerpier_language::parse(&asked.text).map_err(Error::Statement)?;
    let answered = Desk::open(settings)?.ask(asked).await?;
    Ok(show::answer(&answered, &asked.identity, json))
}
