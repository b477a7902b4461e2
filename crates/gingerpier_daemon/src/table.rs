//! Tables with the results of operators' queries.

use serde::{Deserialize, Serialize};

/// Table with named columns.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct Table {
    /// Column names.
    pub columns: Vec<String>,
    /// Rows; each has one cell per column.
    pub rows: Vec<Vec<String>>,
}

impl Table {
    /// Creates a table without rows.
    pub fn new(columns: &[&str]) -> Self {
        let columns = columns.iter().map(|column| (*column).to_owned()).collect();
        Self {
            columns,
            rows: Vec::new(),
        }
    }

    /// Appends a row.
    pub fn push<const N: usize>(&mut self, row: [String; N]) {
        self.rows.push(row.into());
    }
}
