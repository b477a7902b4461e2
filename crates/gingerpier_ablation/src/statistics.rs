//! What a mechanism is worth on a day, over seeds.

use {
    crate::{
        journal::Outcome,
        table::{Day, NOTHING},
    },
    std::{collections::BTreeMap, fmt},
};

/// A mean over seeds, and how far they lie apart.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Estimate {
    /// Seeds.
    pub count: usize,
    /// Mean.
    pub mean: f64,
    /// Standard deviation of a sample; none of one seed.
    pub spread: Option<f64>,
}

impl Estimate {
    /// Estimate from `values`; none where there are none.
    pub fn of(values: &[f64]) -> Option<Self> {
        let count = values.len();
        let mean = values.iter().sum::<f64>() / count as f64;
        let squares: f64 = values.iter().map(|value| (value - mean).powi(2)).sum();
        let spread = (count > 1).then(|| (squares / (count - 1) as f64).sqrt());
        (count > 0).then_some(Self {
            count,
            mean,
            spread,
        })
    }
}

impl fmt::Display for Estimate {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self.spread {
            Some(spread) => write!(formatter, "{:.3} ± {spread:.3}", self.mean),
            None => write!(formatter, "{:.3}", self.mean),
        }
    }
}

/// A mechanism on a day.
#[derive(Debug, Clone, PartialEq)]
pub struct Effect {
    /// Worth of the code as it is, on the seeds that were played on both sides.
    pub with: Estimate,
    /// Worth without the mechanism.
    pub without: Estimate,
    /// Worth of the mechanism: the differences seed by seed.
    pub gain: Estimate,
    /// Times that rules were broken on these seeds, as the code is and without the mechanism.
    pub broken: (u64, u64),
}

impl Effect {
    /// Effect of `mechanism` on `day`; none where no seed was played on both sides. Of plays of the same seed
    /// the mean counts.
    pub fn of(outcomes: &[Outcome], mechanism: &str, day: &Day) -> Option<Self> {
        let mut with = by_seed(outcomes, NOTHING, day);
        let mut without = by_seed(outcomes, mechanism, day);
        with.retain(|seed, _| without.contains_key(seed));
        without.retain(|seed, _| with.contains_key(seed));
        let worth = |plays: &Seeds| -> Vec<f64> { plays.values().map(|(mean, _)| *mean).collect() };
        let broken = |plays: &Seeds| plays.values().map(|(_, broken)| broken).sum();
        let both = worth(&with).into_iter().zip(worth(&without));
        let gains: Vec<f64> = both.map(|(with, without)| with - without).collect();
        Some(Self {
            with: Estimate::of(&worth(&with))?,
            without: Estimate::of(&worth(&without))?,
            gain: Estimate::of(&gains)?,
            broken: (broken(&with), broken(&without)),
        })
    }

    /// True where the mean of the gain lies within its spread around nothing; unknown with one seed.
    pub fn is_nothing(&self) -> Option<bool> {
        Some(self.gain.mean.abs() <= self.gain.spread?)
    }
}

/// Mean worth and broken rules, by seed.
type Seeds = BTreeMap<u64, (f64, u64)>;

fn by_seed(outcomes: &[Outcome], mechanism: &str, day: &Day) -> Seeds {
    let seed = |seed: &u64| {
        let own = |one: &&Outcome| one.is_of(mechanism, day) && one.seed == *seed;
        let plays: Vec<&Outcome> = outcomes.iter().filter(own).collect();
        let worth: Vec<f64> = plays.iter().map(|play| play.worth).collect();
        let broken = plays.iter().map(|play| play.broken).sum();
        Some((*seed, (Estimate::of(&worth)?.mean, broken)))
    };
    day.seeds.iter().filter_map(seed).collect()
}
