//! Tables: answers to queries, for people and programs.

use serde::{Deserialize, Serialize};

/// Rows under named columns.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct Table {
    /// Names of the columns.
    pub columns: Vec<String>,
    /// Rows, each as long as the columns.
    pub rows: Vec<Vec<String>>,
}

impl Table {
    /// Empty table.
    pub fn new(columns: &[&str]) -> Self {
        let columns = columns.iter().map(|column| (*column).to_owned()).collect();
        Self {
            columns,
            rows: Vec::new(),
        }
    }

    /// Adds a row.
    pub fn push<const N: usize>(&mut self, row: [String; N]) {
        self.rows.push(row.into());
    }
}
