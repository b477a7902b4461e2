//! From text to statements.

use {
    self::grammar::{Grammar, Rule},
    crate::{
        error::Error,
        statement::{Filter, Query, Statement, Subject},
    },
    gingerpier_base::{Digest, Name},
    gingerpier_catalogue::Command,
    pest::{
        Parser,
        error::{ErrorVariant, LineColLocation},
        iterators::{Pair, Pairs},
    },
    std::{fmt::Display, str::FromStr},
};

mod grammar {
    #[derive(pest_derive::Parser)]
    #[grammar = "grammar.pest"]
    pub struct Grammar;
}

/// Entries shown by `show audit` where no number is given.
const DEFAULT_AUDIT_ENTRIES: u32 = 20;
/// Priority of an account where none is given.
const DEFAULT_PRIORITY: u8 = 1;

/// Parses one statement.
///
/// # Errors
///
/// Names the place of the first mistake and what was expected there.
pub fn parse(text: &str) -> Result<Statement, Error> {
    let mut parsed =
        Grammar::parse(Rule::statement, text).map_err(|error| from_pest(text, &error))?;
    let statement = next(&mut parsed);
    let inner = next(&mut statement.into_inner());
    match inner.as_rule() {
        Rule::show => Ok(Statement::Show(query(inner)?)),
        Rule::dry_run => {
            let change = inner
                .into_inner()
                .find(|pair| pair.as_rule() == Rule::change);
            Ok(Statement::DryRun(
                change.map(commands).transpose()?.unwrap_or_default(),
            ))
        }
        _ => Ok(Statement::Change(commands(inner)?)),
    }
}

fn from_pest(text: &str, error: &pest::error::Error<Rule>) -> Error {
    let (line, column) = match error.line_col {
        LineColLocation::Pos(place) | LineColLocation::Span(place, _) => place,
    };
    let expected = match &error.variant {
        ErrorVariant::ParsingError { positives, .. } => expectation(positives),
        ErrorVariant::CustomError { message } => message.clone(),
    };
    Error {
        line,
        column,
        found: word_at(text, line, column),
        expected,
    }
}

fn word_at(text: &str, line: usize, column: usize) -> String {
    let rest: String = text
        .lines()
        .nth(line - 1)
        .unwrap_or_default()
        .chars()
        .skip(column - 1)
        .collect();
    match rest.split_whitespace().next() {
        Some(word) => format!("`{word}`"),
        None => "the end".to_owned(),
    }
}

fn expectation(rules: &[Rule]) -> String {
    let mut words: Vec<String> = Vec::new();
    for word in rules.iter().map(|rule| describe(*rule)) {
        if !words.contains(&word) {
            words.push(word);
        }
    }
    match words.split_last() {
        None => "something else".to_owned(),
        Some((last, [])) => last.clone(),
        Some((last, rest)) => format!("{} or {last}", rest.join(", ")),
    }
}

/// What an operator would write for `rule`.
fn describe(rule: Rule) -> String {
    match rule {
        Rule::EOI => "the end".to_owned(),
        Rule::name => "a name".to_owned(),
        Rule::number => "a number".to_owned(),
        Rule::digest => "a digest of 64 hexadecimal digits".to_owned(),
        Rule::path | Rule::path_text | Rule::bare_path => "a path".to_owned(),
        Rule::create_model
        | Rule::create_adapter
        | Rule::create_version
        | Rule::command
        | Rule::change => "a command".to_owned(),
        Rule::subject | Rule::audit_query | Rule::general_query => {
            "models, versions, accounts, contracts, rollouts, boxes, engines, loaded, loading, \
             live, draining, revisions or audit"
                .to_owned()
        }
        Rule::filter => "`in`, `of`, `version` or `on` with a name".to_owned(),
        other => {
            let word = format!("{other:?}");
            format!("`{}`", word.trim_end_matches("_word").replace('_', " "))
        }
    }
}

/// Next pair; the grammar guarantees that there is one.
fn next<'a>(pairs: &mut Pairs<'a, Rule>) -> Pair<'a, Rule> {
    pairs
        .next()
        .unwrap_or_else(|| unreachable!("the grammar guarantees a further part"))
}

/// Parts of a statement that carry a value, without the words between them.
struct Values<'a>(Vec<Pair<'a, Rule>>);

impl<'a> Values<'a> {
    fn of(pair: Pair<'a, Rule>) -> Self {
        let kept = |pair: &Pair<'a, Rule>| {
            matches!(
                pair.as_rule(),
                Rule::name
                    | Rule::number
                    | Rule::digest
                    | Rule::path
                    | Rule::base
                    | Rule::priority
                    | Rule::steps
                    | Rule::replacing
                    | Rule::accounts_list
            )
        };
        let mut values: Vec<_> = pair.into_inner().filter(kept).collect();
        values.reverse();
        Self(values)
    }

    fn take(&mut self) -> Pair<'a, Rule> {
        self.0
            .pop()
            .unwrap_or_else(|| unreachable!("the grammar guarantees a further value"))
    }

    fn read<T>(&mut self) -> Result<T, Error>
    where
        T: FromStr,
        T::Err: Display,
    {
        read(&self.take())
    }

    fn optional(&mut self, rule: Rule) -> Option<Pair<'a, Rule>> {
        self.0.pop_if(|pair| pair.as_rule() == rule)
    }

    fn list<T>(&mut self, rule: Rule) -> Result<Vec<T>, Error>
    where
        T: FromStr,
        T::Err: Display,
    {
        let Some(pair) = self.optional(rule) else {
            return Ok(Vec::new());
        };
        let mut inner = Self::of(pair);
        inner.0.reverse();
        inner.0.iter().map(read).collect()
    }

    fn optional_value<T>(&mut self, rule: Rule) -> Result<Option<T>, Error>
    where
        T: FromStr,
        T::Err: Display,
    {
        let pair = self.optional(rule);
        pair.map(|pair| Self::of(pair).read()).transpose()
    }
}

fn read<T>(pair: &Pair<'_, Rule>) -> Result<T, Error>
where
    T: FromStr,
    T::Err: Display,
{
    let (line, column) = pair.as_span().start_pos().line_col();
    let found = format!("`{}`", pair.as_str());
    pair.as_str().parse().map_err(|error: T::Err| Error {
        line,
        column,
        found,
        expected: format!("{} ({error})", describe(pair.as_rule())),
    })
}

fn query(pair: Pair<'_, Rule>) -> Result<Query, Error> {
    let body = pair
        .into_inner()
        .find(|pair| pair.as_rule() != Rule::show_word);
    let body = body.unwrap_or_else(|| unreachable!("the grammar guarantees a subject"));
    if body.as_rule() == Rule::audit_query {
        let last = Values::of(body)
            .0
            .pop()
            .map(|pair| read(&pair))
            .transpose()?;
        let filter = Filter {
            last: last.or(Some(DEFAULT_AUDIT_ENTRIES)),
            ..Filter::default()
        };
        return Ok(Query {
            subject: Subject::Audit,
            filter,
        });
    }
    let mut parts = body.into_inner();
    let subject = subject(&next(&mut next(&mut parts).into_inner()));
    let mut filter = Filter::default();
    for part in parts {
        let part = next(&mut part.into_inner());
        let slot = match part.as_rule() {
            Rule::zone_filter => &mut filter.zone,
            Rule::model_filter => &mut filter.model,
            Rule::version_filter => &mut filter.version,
            _ => &mut filter.server,
        };
        *slot = Some(Values::of(part).read()?);
    }
    Ok(Query { subject, filter })
}

fn subject(word: &Pair<'_, Rule>) -> Subject {
    match word.as_rule() {
        Rule::models => Subject::Models,
        Rule::versions => Subject::Versions,
        Rule::accounts => Subject::Accounts,
        Rule::contracts => Subject::Contracts,
        Rule::rollouts => Subject::Rollouts,
        Rule::boxes => Subject::Boxes,
        Rule::loaded => Subject::Loaded,
        Rule::loading => Subject::Loading,
        Rule::live => Subject::Live,
        Rule::draining => Subject::Draining,
        Rule::revisions => Subject::Revisions,
        _ => Subject::Engines,
    }
}

fn commands(pair: Pair<'_, Rule>) -> Result<Vec<Command>, Error> {
    let written = pair
        .into_inner()
        .filter(|pair| pair.as_rule() == Rule::command);
    written
        .map(|pair| command(next(&mut pair.into_inner())))
        .collect()
}

fn command(pair: Pair<'_, Rule>) -> Result<Command, Error> {
    let rule = pair.as_rule();
    let mut values = Values::of(pair);
    Ok(match rule {
        Rule::create_model => Command::CreateModel {
            model: values.read()?,
            kind: values.read()?,
        },
        Rule::create_adapter => Command::CreateAdapter {
            model: values.read()?,
            base: values.read()?,
        },
        Rule::create_version => create_version(&mut values)?,
        Rule::set_account => Command::SetAccount {
            account: values.read()?,
            key: values.read::<Digest>()?,
            rate: values.read()?,
            priority: values
                .optional_value(Rule::priority)?
                .unwrap_or(DEFAULT_PRIORITY),
        },
        Rule::delete_version => {
            let version = values.read()?;
            Command::DeleteVersion {
                version,
                model: values.read()?,
            }
        }
        Rule::delete_account => Command::DeleteAccount {
            account: values.read()?,
        },
        Rule::serve => Command::Serve {
            model: values.read()?,
            zone: values.read()?,
            replicas: values.read()?,
            accounts: values.list::<Name>(Rule::accounts_list)?,
        },
        Rule::roll_out => Command::RollOut {
            model: values.read()?,
            version: values.read()?,
            steps: values.list::<u8>(Rule::steps)?,
            replacing: values.optional(Rule::replacing).is_some(),
        },
        Rule::pause => Command::Pause {
            model: values.read()?,
        },
        Rule::resume => Command::Resume {
            model: values.read()?,
        },
        Rule::go_back => Command::GoBack {
            model: values.read()?,
        },
        Rule::drain => Command::Drain {
            server: values.read()?,
        },
        Rule::undrain => Command::Undrain {
            server: values.read()?,
        },
        _ => Command::Stop {
            server: values.read()?,
        },
    })
}

fn create_version(values: &mut Values<'_>) -> Result<Command, Error> {
    let version = values.read()?;
    let model = values.read()?;
    let manifest = values.read::<Digest>()?;
    let bytes = values.read()?;
    let path = next(&mut values.take().into_inner());
    let base = values.optional_value(Rule::base)?;
    Ok(Command::CreateVersion {
        model,
        version,
        manifest,
        bytes,
        source: path.as_str().to_owned(),
        base,
    })
}
