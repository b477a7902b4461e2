//! Answers as people read them.

use {
    crate::exit::Exit,
    comfy_table::{Table as Drawn, presets},
    gingerpier_daemon::{operator_api::StatementResponse, table::Table},
};

/// Prints an answer, and tells how it came out.
pub fn answer(answered: &StatementResponse, identity: &str, json: bool) -> Exit {
    if json {
        match serde_json::to_string_pretty(answered) {
            Ok(text) => println!("{text}"),
            Err(error) => eprintln!("gingerpier: {error}"),
        }
    } else {
        in_words(answered, identity);
    }
    exit(answered)
}

fn exit(answered: &StatementResponse) -> Exit {
    match answered {
        StatementResponse::Table { .. } | StatementResponse::WouldAccept { .. } => Exit::Done,
        StatementResponse::Accepted { behind, .. } if behind.is_empty() => Exit::Done,
        StatementResponse::Accepted { .. } => Exit::Behind,
        StatementResponse::Refused { .. } => Exit::Refused,
        StatementResponse::Unavailable { .. } => Exit::Unavailable,
        StatementResponse::Unknown { .. } => Exit::Unknown,
    }
}

fn in_words(answered: &StatementResponse, identity: &str) {
    match answered {
        StatementResponse::Table {
            revision,
            key_value_reachable,
            table: shown,
        } => {
            println!("{}", table(shown));
            let note = if *key_value_reachable {
                ""
            } else {
                " (the key-value service is out of reach)"
            };
            println!("{} rows at revision {revision}{note}", shown.rows.len());
        }
        StatementResponse::Accepted {
            revision,
            repeated,
            behind,
        } => {
            let again = if *repeated {
                ", by an earlier copy of this request"
            } else {
                ""
            };
            println!("accepted at revision {revision}{again}");
            if !behind.is_empty() {
                println!("not yet in force at: {}", behind.join(", "));
            }
        }
        StatementResponse::WouldAccept { revision } => {
            println!("would be accepted at revision {revision}; nothing was changed");
        }
        StatementResponse::Refused {
            why,
            revision,
            last_change,
        } => {
            eprintln!("refused: {why}");
            if let Some(change) = last_change {
                eprintln!("in force: revision {revision}; last change: {change}");
            }
        }
        StatementResponse::Unavailable { why } => {
            eprintln!("out of reach, nothing was changed: {why}")
        }
        StatementResponse::Unknown { why } => {
            eprintln!("unknown: {why}");
            eprintln!("ask again with --identity {identity}; it is carried out once at most");
        }
    }
}

/// A table drawn with plain characters.
pub fn table(table: &Table) -> Drawn {
    let mut drawn = Drawn::new();
    drawn
        .load_preset(presets::NOTHING)
        .set_header(&table.columns);
    for row in &table.rows {
        drawn.add_row(row);
    }
    drawn
}
