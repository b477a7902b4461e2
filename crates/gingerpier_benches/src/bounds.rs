//! Bounds that a later change may not cross.

/// Bounds of this repository.
pub const TEXT: &str = include_str!("../bounds.txt");

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Side {
    AtMost,
    AtLeast,
}

#[derive(Debug, Clone)]
struct Bound {
    bench: String,
    figure: String,
    side: Side,
    value: f64,
}

/// Bounds read from a text: `bench.figure <= value`, one a line; `#` starts a comment.
#[derive(Debug, Clone)]
pub struct Bounds(Vec<Bound>);

impl Bounds {
    /// Reads bounds.
    ///
    /// # Errors
    ///
    /// Names the line that is none.
    pub fn parse(text: &str) -> Result<Self, String> {
        let lines = text.lines().map(str::trim);
        let lines = lines.filter(|line| !line.is_empty() && !line.starts_with('#'));
        let read = lines.map(|line| parse_line(line).ok_or_else(|| format!("no bound: {line}")));
        read.collect::<Result<_, _>>().map(Self)
    }

    /// Bounds that `figures` of `bench` cross, in words.
    pub fn check(&self, bench: &str, figures: &[(&str, f64)]) -> Vec<String> {
        let mut crossed = Vec::new();
        for bound in self.0.iter().filter(|bound| bound.bench == bench) {
            let found = figures.iter().find(|(name, _)| *name == bound.figure);
            let Some((_, found)) = found else { continue };
            let holds = match bound.side {
                Side::AtMost => *found <= bound.value,
                Side::AtLeast => *found >= bound.value,
            };
            if !holds {
                crossed.push(format!(
                    "{bench}.{} is {found}, bound {}",
                    bound.figure, bound.value
                ));
            }
        }
        crossed
    }
}

fn parse_line(line: &str) -> Option<Bound> {
    let mut words = line.split_whitespace();
    let (bench, figure) = words.next()?.split_once('.')?;
    let side = match words.next()? {
        "<=" => Side::AtMost,
        ">=" => Side::AtLeast,
        _ => return None,
    };
    let value = words.next()?.parse().ok()?;
    Some(Bound {
        bench: bench.to_owned(),
        figure: figure.to_owned(),
        side,
        value,
    })
}

/// Prints figures as one line, and notes bounds crossed where they are checked.
#[derive(Debug)]
pub struct Report {
    bench: &'static str,
    crossed: Vec<String>,
    bounds: Option<Bounds>,
}

impl Report {
    /// Report of a bench; `check` says whether bounds count.
    ///
    /// # Panics
    ///
    /// Where the bounds of this repository can't be read.
    pub fn new(bench: &'static str, check: bool) -> Self {
        let bounds = check.then(|| Bounds::parse(TEXT).expect("bounds.txt is right"));
        Self {
            bench,
            crossed: Vec::new(),
            bounds,
        }
    }

    /// Prints one line.
    pub fn line(&mut self, words: &str, figures: &[(&str, f64)]) {
        let pairs: Vec<String> = figures
            .iter()
            .map(|(name, value)| format!("{name}={}", rounded(*value)))
            .collect();
        println!(
            "{words}{}{}",
            if words.is_empty() { "" } else { " " },
            pairs.join(" ")
        );
        if let Some(bounds) = &self.bounds {
            self.crossed.extend(bounds.check(self.bench, figures));
        }
    }

    /// Ends the bench: fails where a bound was crossed.
    pub fn end(self) {
        if self.crossed.is_empty() {
            return;
        }
        for crossed in &self.crossed {
            eprintln!("bound crossed: {crossed}");
        }
        std::process::exit(1);
    }
}

fn rounded(value: f64) -> String {
    if value.fract() == 0.0 {
        format!("{value}")
    } else {
        format!("{value:.3}")
    }
}
