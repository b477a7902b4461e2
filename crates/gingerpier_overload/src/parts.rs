//! Who is served under load: by size, by kind and by zone.

use {
    crate::{
        callers::{Caller, Outcome},
        deployment::Deployment,
    },
    std::{fmt, ops::Range},
};

/// Some of the callers.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Part {
    /// The largest tenth of a kind, by prompt, against that kind.
    Largest(usize),
    /// The fifth of a kind below its largest tenth.
    Large(usize),
    /// The smaller half of a kind.
    Smaller(usize),
    /// A kind, against all.
    Kind(usize),
    /// Callers whose first gateway is in a zone, against all.
    Zone(usize),
}

impl fmt::Display for Part {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Largest(kind) => write!(out, "largest tenth of kind {kind}"),
            Self::Large(kind) => write!(out, "fifth below it of kind {kind}"),
            Self::Smaller(kind) => write!(out, "smaller half of kind {kind}"),
            Self::Kind(kind) => write!(out, "kind {kind}"),
            Self::Zone(zone) => write!(out, "zone {zone}"),
        }
    }
}

/// How many of some callers there were, and how many had a whole answer.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Count {
    /// Callers.
    pub came: usize,
    /// Those with a whole answer, early or late.
    pub served: usize,
}

impl Count {
    fn of<'a>(callers: impl IntoIterator<Item = &'a &'a Caller>) -> Self {
        let mut count = Self::default();
        for caller in callers {
            count.came += 1;
            count.served += usize::from(caller.outcome == Outcome::Served);
        }
        count
    }

    /// Adds the callers of another play.
    pub const fn add(&mut self, other: Self) {
        self.came += other.came;
        self.served += other.served;
    }

    fn share(self) -> f64 {
        self.served as f64 / self.came.max(1) as f64
    }
}

/// A part of the callers beside those that it is measured against.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Row {
    /// Which.
    pub part: Part,
    /// The part.
    pub own: Count,
    /// Its kind, or all.
    pub whole: Count,
}

impl Row {
    /// How often the part is served, as a part of how often the whole is.
    pub fn relative(&self) -> f64 {
        self.own.share() / self.whole.share().max(f64::MIN_POSITIVE)
    }
}

/// Parts of the callers that came first within `times`.
pub fn rows(callers: &[Caller], deployment: &Deployment, times: &Range<f64>) -> Vec<Row> {
    let came = callers.iter();
    let came = came.filter(|caller| times.contains(&caller.came_at));
    let came: Vec<&Caller> = came.collect();
    let all = Count::of(&came);
    let mut rows = Vec::new();
    for kind in 0..deployment.kinds.len() {
        let of_kind = came.iter().copied().filter(|caller| caller.kind == kind);
        let mut of_kind: Vec<&Caller> = of_kind.collect();
        of_kind.sort_by_key(|caller| caller.prompt);
        let whole = Count::of(&of_kind);
        let at = |part: f64| (of_kind.len() as f64 * part) as usize;
        let bands = [
            (Part::Largest(kind), at(0.9)..of_kind.len()),
            (Part::Large(kind), at(0.7)..at(0.9)),
            (Part::Smaller(kind), 0..at(0.5)),
        ];
        rows.extend(bands.map(|(part, range)| Row {
            part,
            own: Count::of(&of_kind[range]),
            whole,
        }));
        rows.push(Row {
            part: Part::Kind(kind),
            own: whole,
            whole: all,
        });
    }
    rows.extend((0..deployment.zones).map(|zone| Row {
        part: Part::Zone(zone),
        own: Count::of(came.iter().filter(|caller| caller.zone == zone)),
        whole: all,
    }));
    rows
}

/// Adds the rows of another play of the same deployment.
pub fn add(sum: &mut Vec<Row>, rows: Vec<Row>) {
    if sum.is_empty() {
        *sum = rows;
        return;
    }
    for (sum, row) in sum.iter_mut().zip(rows) {
        sum.own.add(row.own);
        sum.whole.add(row.whole);
    }
}
