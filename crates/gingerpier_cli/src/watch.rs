//! A rollout's progress, live.

use {
    crate::{
        desk::{Desk, request},
        error::Error,
        exit::Exit,
        show,
    },
    gingerpier_base::Name,
    gingerpier_daemon::{operator_api::StatementResponse, table::Table},
    std::time::Duration,
};

/// Shows the progress of a model's rollout until it is over.
///
/// # Errors
///
/// Where no entry box answers.
pub async fn run(desk: &Desk, model: &Name, every_millis: u64) -> Result<Exit, Error> {
    let mut shown = String::new();
    loop {
        let rollouts = ask(desk, &format!("show rollouts of {model}")).await?;
        let Ok(table) = rollouts else {
            return Ok(Exit::Refused);
        };
        if table.rows.is_empty() {
            return finish(desk, model).await;
        }
        let line = progress(&table);
        if line != shown {
            println!("{line}");
            shown = line;
        }
        actix_rt::time::sleep(Duration::from_millis(every_millis)).await;
    }
}

async fn ask(desk: &Desk, text: &str) -> Result<Result<Table, Exit>, Error> {
    let asked = request(text, 0);
    Ok(match desk.ask(&asked).await? {
        StatementResponse::Table { table, .. } => Ok(table),
        other => Err(show::answer(&other, &asked.identity, false)),
    })
}

async fn finish(desk: &Desk, model: &Name) -> Result<Exit, Error> {
    match ask(desk, &format!("show models of {model}")).await? {
        Ok(table) if table.rows.is_empty() => {
            eprintln!("there is no model `{model}`");
            Ok(Exit::Refused)
        }
        Ok(table) => {
            println!("{}", show::table(&table));
            Ok(Exit::Done)
        }
        Err(exit) => Ok(exit),
    }
}

/// One line of key=value pairs a rollout.
fn progress(table: &Table) -> String {
    let pairs = |row: &Vec<String>| {
        let cells = table.columns.iter().zip(row);
        cells
            .map(|(column, cell)| format!("{column}={cell}"))
            .collect::<Vec<_>>()
            .join(" ")
    };
    table.rows.iter().map(pairs).collect::<Vec<_>>().join("\n")
}
