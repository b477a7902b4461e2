//! Whether a caller comes for the first time or after a refusal, by how long it will wait.
//!
//! A request says how long its caller waits. One that was refused and came again has that much less left, so it
//! stands out where callers of one route wait about equally long at first. How long that is, nobody tells: it is
//! learnt for each route while hardly anybody is refused, as a range from the least to the most. Where waits are
//! not drawn from a range, or none is known yet, the answer is [`Visit::Unknown`].
//!
//! A process may start where many are refused all the time, as after a loss of power of everything. Then those who came
//! back are among the waits that it sees, and only callers who all wait equally long at first stand out: as one narrow
//! peak at the upper end, while those who came back are spread below. That is told until a calm moment tells more.
//!
//! What operators set as a route's time says nothing of how long callers wait, so it is not looked at: a change of
//! it must not turn all callers into returning ones.

use {
    gingerpier_base::Instant,
    std::{
        collections::{HashMap, VecDeque},
        ops::RangeInclusive,
    },
};

/// Waits of which a range is told at least: a tenth of them is the second lowest then.
const LEAST_WAITS: usize = 16;

/// Waits that are kept of one route: a tenth of them is known to within some 3 in 100 of the range.
const MOST_WAITS: usize = 128;

/// New waits after which the range is told anew.
const RENEW_EVERY: u32 = 8;

/// Routes of which waits are kept, some 600 bytes each: a gateway of 160 MB spends 0.1% on them.
const MOST_ROUTES: usize = 256;

/// Milliseconds under the least wait within which a caller still counts as new: a range that was learnt from few
/// waits is off by about that much, and nobody is told to come back sooner than in ten times as long.
const MARGIN_MILLIS: u64 = 40;

/// Share of the kept waits that may lie under the range. More of them show that callers do not draw their waits
/// from a range, or that many had been refused elsewhere.
const MOST_BELOW: f64 = 0.04;

/// Share of requests up to which refusals do not disturb what is learnt: tenths and halves of the waits hardly
/// move by so few.
const CALM_SHARE: f64 = 0.02;

/// Share of the kept waits that has to lie at their upper end for the peak of those that come first: where every second
/// caller is refused and comes back once, that is two thirds of them.
const PEAK_SHARE: f64 = 0.25;

/// Most of the kept waits that may lie together below it, in a range as narrow: those that are told to come back after
/// 0.6 to 1.6 s are spread over a second, of which a range of 80 ms holds a twelfth. Another peak is another kind of callers.
const MOST_TOGETHER: f64 = 0.15;

/// Place of the upper end among the sorted waits: a few callers may say anything.
const UPPER_END: f64 = 0.97;

/// Milliseconds over which requests and refusals are counted: whoever was refused is back by then, as callers come
/// back within a third of what they have left.
const CALM_MILLIS: f64 = 3_000.0;

/// Whether a caller was refused before.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Visit {
    /// It comes for the first time.
    First,
    /// It was refused before.
    Returned,
    /// That can't be told.
    Unknown,
}

/// How many requests were refused lately.
#[derive(Debug, Clone, Copy)]
struct Calm {
    since: Instant,
    at: Instant,
    requests: f64,
    refused: f64,
}

impl Calm {
    const fn new(now: Instant) -> Self {
        Self {
            since: now,
            at: now,
            requests: 0.0,
            refused: 0.0,
        }
    }

    fn decay(&mut self, now: Instant) {
        let left = (-(now.millis_since(self.at) as f64) / CALM_MILLIS).exp();
        self.requests *= left;
        self.refused *= left;
        self.at = now;
    }

    /// True where hardly anybody who comes can have been refused.
    fn holds(&self, now: Instant) -> bool {
        let has_run = now.millis_since(self.since) as f64 >= CALM_MILLIS;
        has_run && self.refused <= CALM_SHARE * self.requests
    }
}

/// Waits of the callers of one route at their first try.
#[derive(Debug, Clone, Default)]
struct Waits {
    kept: VecDeque<u32>,
    /// True where those that are kept came while hardly anybody was refused.
    is_calm: bool,
    news: u32,
    range: Option<RangeInclusive<u64>>,
}

impl Waits {
    fn note(&mut self, wait: u64, is_calm: bool) {
        if self.is_calm && !is_calm {
            // What was learnt in calm moments stays.
            return;
        }
        if is_calm && !self.is_calm {
            self.is_calm = true;
            self.kept.clear();
        }
        if self.kept.len() == MOST_WAITS {
            self.kept.pop_front();
        }
        self.kept.push_back(u32::try_from(wait).unwrap_or(u32::MAX));
        self.news += 1;
        if self.news >= RENEW_EVERY && self.kept.len() >= LEAST_WAITS {
            self.news = 0;
            self.range = match self.is_calm {
                true => range(&self.kept),
                false => peak(&self.kept),
            };
        }
    }

    fn visit(&self, wait: u64) -> Visit {
        match &self.range {
            Some(range) if wait + MARGIN_MILLIS < *range.start() => Visit::Returned,
            Some(_) => Visit::First,
            None => Visit::Unknown,
        }
    }
}

/// Range from which `waits` are drawn. Its ends are told from a tenth, the half and nine tenths of the waits, so that
/// a few callers who do come back do not move them.
fn range(waits: &VecDeque<u32>) -> Option<RangeInclusive<u64>> {
    let mut sorted: Vec<u32> = waits.iter().copied().collect();
    sorted.sort_unstable();
    let part = |share: f64| f64::from(sorted[((sorted.len() - 1) as f64 * share).round() as usize]);
    let (low, half, high) = (part(0.1), part(0.5), part(0.9));
    // From a tenth to the half lie four tenths of the range: one more is left below.
    let least = (low - (half - low) / 4.0).max(0.0) as u64;
    let most = (high + (high - half) / 4.0) as u64;
    let below = |wait: &&u32| u64::from(**wait) + MARGIN_MILLIS < least;
    let below = sorted.iter().filter(below).count() as f64;
    (below <= MOST_BELOW * sorted.len() as f64).then_some(least..=most)
}

/// Range of the equal waits of those that come first, where others who came back are among `waits`.
fn peak(waits: &VecDeque<u32>) -> Option<RangeInclusive<u64>> {
    let mut sorted: Vec<u64> = waits.iter().copied().map(u64::from).collect();
    sorted.sort_unstable();
    let count = sorted.len() as f64;
    let end = sorted[((count - 1.0) * UPPER_END) as usize];
    let least = end.saturating_sub(MARGIN_MILLIS);
    let below = sorted.partition_point(|wait| *wait < least);
    let (others, first) = sorted.split_at(below);
    let together = |from: usize| {
        let to = others.partition_point(|wait| *wait <= others[from] + 2 * MARGIN_MILLIS);
        to - from
    };
    let most_together = (0..others.len()).map(together).max().unwrap_or_default();
    let is_peak = first.len() as f64 >= PEAK_SHARE * count;
    let is_alone = most_together as f64 <= MOST_TOGETHER * count;
    (is_peak && is_alone).then_some(least..=end + MARGIN_MILLIS)
}

/// What one gateway knows of who comes back.
#[derive(Debug, Clone)]
pub struct Returns {
    calm: Calm,
    routes: HashMap<String, Waits>,
}

impl Returns {
    /// Nothing is known at the start.
    pub fn new(now: Instant) -> Self {
        Self {
            calm: Calm::new(now),
            routes: HashMap::new(),
        }
    }

    /// Takes a request of `route` whose caller says that it will wait `wait` milliseconds; none or 0 where it does not
    /// say so. Tells whether the caller was refused before.
    pub fn take(&mut self, route: &str, wait: Option<u64>, now: Instant) -> Visit {
        self.calm.decay(now);
        self.calm.requests += 1.0;
        let Some(wait) = wait.filter(|wait| *wait > 0) else {
            return Visit::Unknown;
        };
        let is_calm = self.calm.holds(now);
        match self.routes.get_mut(route) {
            Some(waits) => {
                let visit = waits.visit(wait);
                waits.note(wait, is_calm);
                visit
            }
            None => {
                if self.routes.len() < MOST_ROUTES {
                    let waits = self.routes.entry(route.to_owned()).or_default();
                    waits.note(wait, is_calm);
                }
                Visit::Unknown
            }
        }
    }

    /// Notes that a request was refused.
    pub fn note_refused(&mut self, now: Instant) {
        self.calm.decay(now);
        self.calm.refused += 1.0;
    }

    /// Milliseconds after which a caller of `route` that comes back can be told from new ones, where that is known.
    pub fn told_apart_millis(&self, route: &str) -> Option<u64> {
        let range = self.routes.get(route)?.range.as_ref()?;
        Some(range.end() - range.start() + 2 * MARGIN_MILLIS)
    }
}
