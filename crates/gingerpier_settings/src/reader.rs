//! Reads sections of YAML, noting every mistake with its place.

use {
    crate::problem::Problems,
    marked_yaml::{
        LoaderOptions, Node, Span, parse_yaml_with_options,
        types::{MarkedMappingNode, MarkedScalarNode},
    },
    std::collections::BTreeSet,
};

/// Loads a text as YAML.
///
/// # Errors
///
/// Where the text is no YAML, or has a key twice.
pub fn load(text: &str) -> Result<Node, Problems> {
    let options = LoaderOptions::default().error_on_duplicate_keys(true);
    parse_yaml_with_options(0, text, options).map_err(|error| {
        let mut problems = Problems::default();
        problems.push(1, 1, format!("the text is no settings file: {error}"));
        problems
    })
}

/// A mapping under its keys.
pub struct Section<'a, 'p> {
    mapping: Option<&'a MarkedMappingNode>,
    line: usize,
    column: usize,
    known: BTreeSet<&'static str>,
    problems: &'p mut Problems,
}

fn place(span: &Span) -> (usize, usize) {
    span.start()
        .map_or((1, 1), |mark| (mark.line(), mark.column()))
}

impl<'a, 'p> Section<'a, 'p> {
    /// Section of a whole text.
    pub fn root(node: &'a Node, problems: &'p mut Problems) -> Self {
        let section = Self::of(node, problems);
        Self {
            line: 1,
            column: 1,
            ..section
        }
    }

    fn of(node: &'a Node, problems: &'p mut Problems) -> Self {
        let (line, column) = place(node.span());
        let mapping = node.as_mapping();
        if mapping.is_none() {
            problems.push(
                line,
                column,
                "keys with values are expected here".to_owned(),
            );
        }
        Self {
            mapping,
            line,
            column,
            known: BTreeSet::new(),
            problems,
        }
    }

    fn node(&mut self, key: &'static str) -> Option<&'a Node> {
        self.known.insert(key);
        self.mapping.and_then(|mapping| mapping.get_node(key))
    }

    fn missing(&mut self, key: &str, what: &str) {
        if self.mapping.is_some() {
            self.problems.push(
                self.line,
                self.column,
                format!("`{key}` is missing: {what}"),
            );
        }
    }

    /// Value that must be there; `what` says what it is for.
    pub fn required<T, F>(&mut self, key: &'static str, what: &str, parse: F) -> Option<T>
    where
        F: Fn(&str) -> Result<T, String>,
    {
        match self.node(key) {
            Some(node) => self.parse(node, &parse),
            None => {
                self.missing(key, what);
                None
            }
        }
    }

    /// Value that may be there, else `default`.
    pub fn or<T, F>(&mut self, key: &'static str, default: T, parse: F) -> Option<T>
    where
        F: Fn(&str) -> Result<T, String>,
    {
        match self.node(key) {
            Some(node) => self.parse(node, &parse),
            None => Some(default),
        }
    }

    /// Values in a list that must be there.
    pub fn list<T, F>(&mut self, key: &'static str, what: &str, parse: F) -> Option<Vec<T>>
    where
        F: Fn(&str) -> Result<T, String>,
    {
        let Some(node) = self.node(key) else {
            self.missing(key, what);
            return None;
        };
        let read: Vec<_> = self
            .sequence(node, key, what)?
            .iter()
            .map(|node| self.parse(node, &parse))
            .collect();
        read.into_iter().collect()
    }

    /// Values in a list that may be missing, and is empty then.
    pub fn list_or_empty<T, F>(&mut self, key: &'static str, what: &str, parse: F) -> Option<Vec<T>>
    where
        F: Fn(&str) -> Result<T, String>,
    {
        match self.node(key) {
            Some(_) => self.list(key, what, parse),
            None => Some(Vec::new()),
        }
    }

    /// Section that must be there.
    pub fn section<T, F>(&mut self, key: &'static str, what: &str, read: F) -> Option<T>
    where
        F: FnOnce(&mut Section<'a, '_>) -> Option<T>,
    {
        let Some(node) = self.node(key) else {
            self.missing(key, what);
            return None;
        };
        self.read_section(node, read)
    }

    /// Section that may be there, else `default`.
    pub fn section_or<T, F>(&mut self, key: &'static str, default: T, read: F) -> Option<T>
    where
        F: FnOnce(&mut Section<'a, '_>) -> Option<T>,
    {
        match self.node(key) {
            Some(node) => self.read_section(node, read),
            None => Some(default),
        }
    }

    /// Sections in a list that may be there.
    pub fn sections<T, F>(&mut self, key: &'static str, what: &str, read: F) -> Option<Vec<T>>
    where
        F: Fn(&mut Section<'a, '_>) -> Option<T>,
    {
        let Some(node) = self.node(key) else {
            return Some(Vec::new());
        };
        let read: Vec<_> = self
            .sequence(node, key, what)?
            .iter()
            .map(|node| self.read_section(node, &read))
            .collect();
        read.into_iter().collect()
    }

    fn sequence(&mut self, node: &'a Node, key: &str, what: &str) -> Option<&'a [Node]> {
        let sequence = node.as_sequence();
        if sequence.is_none() {
            let (line, column) = place(node.span());
            self.problems
                .push(line, column, format!("`{key}` is a list: {what}"));
        }
        sequence.map(|sequence| sequence.as_slice())
    }

    /// Notes keys that no setting has.
    pub fn finish(self) {
        let Some(mapping) = self.mapping else { return };
        for key in mapping
            .keys()
            .filter(|key| !self.known.contains(key.as_str()))
        {
            let known: Vec<&str> = self.known.iter().copied().collect();
            let (line, column) = place(key.span());
            let what = format!(
                "`{}` is not a known key here; known are: {}",
                key.as_str(),
                known.join(", ")
            );
            self.problems.push(line, column, what);
        }
    }

    fn read_section<T, F>(&mut self, node: &'a Node, read: F) -> Option<T>
    where
        F: FnOnce(&mut Section<'a, '_>) -> Option<T>,
    {
        let mut section = Section::of(node, self.problems);
        let value = read(&mut section);
        section.finish();
        value
    }

    fn parse<T, F>(&mut self, node: &Node, parse: &F) -> Option<T>
    where
        F: Fn(&str) -> Result<T, String>,
    {
        let (line, column) = place(node.span());
        let text = node.as_scalar().map(MarkedScalarNode::as_str);
        let parsed = text
            .ok_or_else(|| "one value is expected here".to_owned())
            .and_then(parse);
        parsed
            .map_err(|what| self.problems.push(line, column, what))
            .ok()
    }
}
