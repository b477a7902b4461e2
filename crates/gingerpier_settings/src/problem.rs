//! Mistakes in settings, with their places.

use std::fmt;

/// One mistake.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub struct Problem {
    /// Line, from 1.
    pub line: usize,
    /// Column, from 1.
    pub column: usize,
    /// What is wrong, and what would be right.
    pub what: String,
}

/// All mistakes of one text.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct Problems(Vec<Problem>);

impl Problems {
    /// Notes a mistake.
    pub fn push(&mut self, line: usize, column: usize, what: String) {
        self.0.push(Problem { line, column, what });
    }

    /// True where there is none.
    pub const fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    /// Mistakes, in the order of the text once read.
    pub fn iter(&self) -> impl Iterator<Item = &Problem> {
        self.0.iter()
    }

    /// Puts the mistakes in the order of the text.
    pub fn sort(&mut self) {
        self.0.sort();
    }
}

impl fmt::Display for Problems {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (index, problem) in self.0.iter().enumerate() {
            if index > 0 {
                formatter.write_str("\n")?;
            }
            let Problem { line, column, what } = problem;
            write!(formatter, "line {line}, column {column}: {what}")?;
        }
        Ok(())
    }
}

impl std::error::Error for Problems {}
