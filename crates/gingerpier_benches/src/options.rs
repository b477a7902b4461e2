//! Options of a bench, among those that the bench runner adds by itself.

/// Options given after `--`.
#[derive(Debug, Clone, Default)]
pub struct Options {
    words: Vec<String>,
}

impl Options {
    /// Options of this process.
    pub fn read() -> Self {
        Self {
            words: std::env::args().skip(1).collect(),
        }
    }

    /// True where `--check` was given.
    pub fn check(&self) -> bool {
        self.words.iter().any(|word| word == "--check")
    }

    /// Numbers after `--name`, joined by commas.
    pub fn numbers(&self, name: &str) -> Option<Vec<usize>> {
        let place = self.words.iter().position(|word| word == name)?;
        self.words
            .get(place + 1)?
            .split(',')
            .map(|number| number.parse().ok())
            .collect()
    }
}
