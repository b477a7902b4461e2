//! The table of results, as Markdown.

use {
    crate::{journal::Outcome, statistics::Effect, table::Table},
    std::fmt::Write,
};

/// Head of the table.
const HEAD: &str = "| mechanism | in its place | lines | site, day | seeds | with | without | worth of it | rules broken with, without |
| --- | --- | --- | --- | --- | --- | --- | --- | --- |
";

/// Table of what each mechanism of `table` is worth on each of its days.
pub fn markdown(table: &Table, outcomes: &[Outcome]) -> String {
    let mut text = HEAD.to_owned();
    for mechanism in &table.mechanism {
        for day in &table.day {
            let Some(effect) = Effect::of(outcomes, &mechanism.name, day) else {
                continue;
            };
            let (what, without, lines) = (&mechanism.what, &mechanism.without, mechanism.lines);
            let (site, name, seeds) = (&day.site, day.name(), effect.gain.count);
            let _ = write!(
                text,
                "| {what} | {without} | {lines} | {site}, {name} | {seeds}"
            );
            let (with, without, gain) = (effect.with, effect.without, effect.gain);
            let remark = match effect.is_nothing() {
                Some(true) => ", within its spread",
                Some(false) | None => "",
            };
            let (broken, broken_without) = effect.broken;
            let _ = writeln!(
                text,
                " | {with} | {without} | {gain}{remark} | {broken}, {broken_without} |"
            );
        }
    }
    text
}
