//! Detection of callers that return after a refusal, by their remaining patience.
//!
//! Each request states how long its caller waits. A caller that returns after a refusal has less
//! patience left, so it stands out if the callers of a route start with similar patience. The range
//! of initial patience is learned for each route while few requests are refused. Without a usable
//! range, the result is [`Visit::Unknown`].
//!
//! A gateway that starts under lasting overload, such as after a site-wide power loss, sees
//! returning callers from the beginning. It can then only detect initial patience that is equal for
//! all callers, as a narrow peak at the upper end. Such a range is used until one is learned
//! without overload.
//!
//! The route's configured timeout is not used: it doesn't determine the callers' patience, and
//! changing it must not reclassify all of them.

use {
    gingerpier_base::Instant,
    std::{
        collections::{HashMap, VecDeque},
        ops::RangeInclusive,
    },
};

/// Number of samples that a range is computed from, at least.
const MIN_SAMPLES: usize = 16;

/// Number of samples kept per route. Determines a tenth of the samples to within about 3% of the
/// range.
const MAX_SAMPLES: usize = 128;

/// Number of new samples after which the range is recomputed.
const SAMPLES_PER_UPDATE: u32 = 8;

/// Limit of the routes with samples, at about 600 bytes each. A gateway with 160 MB spends 0.1% of
/// its memory on them.
const MAX_ROUTES: usize = 256;

/// Tolerance of the range's ends. About the error of a range learned from few samples; retry delays
/// are at least ten times as long.
const TOLERANCE_MILLIS: u64 = 40;

/// Fraction of the samples that may lie below the range. A larger fraction indicates that the
/// callers' initial patience isn't drawn from one range.
const MAX_SHARE_BELOW: f64 = 0.04;

/// Refusal rate up to which the few returning callers don't distort the quantiles.
const LOW_REFUSAL_RATE: f64 = 0.02;

/// Fraction of the samples that the peak of initial patience must hold.
const MIN_PEAK_SHARE: f64 = 0.25;

/// Largest fraction of the samples in any other window as wide as the peak: a second peak indicates
/// another group of callers. Callers told to retry after 0.6 to 1.6 s are spread over a second, of
/// which a window of 80 ms holds a twelfth.
const MAX_OTHER_PEAK_SHARE: f64 = 0.15;

/// Quantile that is used as the upper end, so that single outliers are ignored.
const UPPER_END_QUANTILE: f64 = 0.97;

/// Time constant of the refusal rate; longer than the delay before refused callers return. Refused
/// callers return within a third of their remaining time.
const AVERAGING_MILLIS: f64 = 3_000.0;

/// Whether a request was refused before.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Visit {
    /// First submission.
    First,
    /// Submitted again after a refusal.
    Returned,
    /// Not enough information.
    Unknown,
}

/// Exponentially weighted refusal rate of a gateway.
#[derive(Debug, Clone, Copy)]
struct RefusalRate {
    started_at: Instant,
    updated_at: Instant,
    requests: f64,
    refused: f64,
}

impl RefusalRate {
    const fn new(now: Instant) -> Self {
        Self {
            started_at: now,
            updated_at: now,
            requests: 0.0,
            refused: 0.0,
        }
    }

    fn decay(&mut self, now: Instant) {
        let decay_factor = (-(now.millis_since(self.updated_at) as f64) / AVERAGING_MILLIS).exp();
        self.requests *= decay_factor;
        self.refused *= decay_factor;
        self.updated_at = now;
    }

    /// Detector true if the recent refusal rate is low enough for learning.
    fn is_low(&self, now: Instant) -> bool {
        let is_long_enough = now.millis_since(self.started_at) as f64 >= AVERAGING_MILLIS;
        is_long_enough && self.refused <= LOW_REFUSAL_RATE * self.requests
    }
}

/// Patience samples of one route.
#[derive(Debug, Clone, Default)]
struct PatienceSamples {
    values: VecDeque<u32>,
    /// True if the samples were taken at a low refusal rate.
    is_undisturbed: bool,
    new_count: u32,
    range: Option<RangeInclusive<u64>>,
}

impl PatienceSamples {
    fn record(&mut self, patience_millis: u64, is_undisturbed: bool) {
        if self.is_undisturbed && !is_undisturbed {
            // Samples taken under overload never replace those taken at a low refusal rate.
            return;
        }
        if is_undisturbed && !self.is_undisturbed {
            self.is_undisturbed = true;
            self.values.clear();
        }
        if self.values.len() == MAX_SAMPLES {
            self.values.pop_front();
        }
        self.values
            .push_back(u32::try_from(patience_millis).unwrap_or(u32::MAX));
        self.new_count += 1;
        if self.new_count >= SAMPLES_PER_UPDATE && self.values.len() >= MIN_SAMPLES {
            self.new_count = 0;
            self.range = match self.is_undisturbed {
                true => uniform_range(&self.values),
                false => peak_range(&self.values),
            };
        }
    }

    fn classify(&self, patience_millis: u64) -> Visit {
        match &self.range {
            Some(range) if patience_millis + TOLERANCE_MILLIS < *range.start() => Visit::Returned,
            Some(_) => Visit::First,
            None => Visit::Unknown,
        }
    }
}

/// Estimates the range of uniformly drawn samples from their 10%, 50% and 90% quantiles; `None` if
/// too many samples lie below it.
fn uniform_range(samples: &VecDeque<u32>) -> Option<RangeInclusive<u64>> {
    let mut sorted: Vec<u32> = samples.iter().copied().collect();
    sorted.sort_unstable();
    let quantile =
        |share: f64| f64::from(sorted[((sorted.len() - 1) as f64 * share).round() as usize]);
    let (p10, p50, p90) = (quantile(0.1), quantile(0.5), quantile(0.9));
    // The 10% and 50% quantiles span 40% of the range; the lower end is another 10% below.
    let range_start = (p10 - (p50 - p10) / 4.0).max(0.0) as u64;
    let range_end = (p90 + (p90 - p50) / 4.0) as u64;
    let below =
        |patience_millis: &&u32| u64::from(**patience_millis) + TOLERANCE_MILLIS < range_start;
    let below = sorted.iter().filter(below).count() as f64;
    (below <= MAX_SHARE_BELOW * sorted.len() as f64).then_some(range_start..=range_end)
}

/// Finds the peak of equal initial patience among samples that include returning callers.
fn peak_range(samples: &VecDeque<u32>) -> Option<RangeInclusive<u64>> {
    let mut sorted: Vec<u64> = samples.iter().copied().map(u64::from).collect();
    sorted.sort_unstable();
    let count = sorted.len() as f64;
    let upper_end = sorted[((count - 1.0) * UPPER_END_QUANTILE) as usize];
    let peak_start = upper_end.saturating_sub(TOLERANCE_MILLIS);
    let below = sorted.partition_point(|patience_millis| *patience_millis < peak_start);
    let (below_peak, in_peak) = sorted.split_at(below);
    let window_count = |window_start: usize| {
        let window_end = below_peak.partition_point(|patience_millis| {
            *patience_millis <= below_peak[window_start] + 2 * TOLERANCE_MILLIS
        });
        window_end - window_start
    };
    let max_window_count = (0..below_peak.len())
        .map(window_count)
        .max()
        .unwrap_or_default();
    let is_peak = in_peak.len() as f64 >= MIN_PEAK_SHARE * count;
    let is_only_peak = max_window_count as f64 <= MAX_OTHER_PEAK_SHARE * count;
    (is_peak && is_only_peak).then_some(peak_start..=upper_end + TOLERANCE_MILLIS)
}

/// State of the detection at one gateway.
#[derive(Debug, Clone)]
pub struct Detector {
    refusal_rate: RefusalRate,
    routes: HashMap<String, PatienceSamples>,
}

impl Detector {
    /// Creates the state without any samples.
    pub fn new(now: Instant) -> Self {
        Self {
            refusal_rate: RefusalRate::new(now),
            routes: HashMap::new(),
        }
    }

    /// Classifies a request of `route` and learns from it. `patience_millis` is the caller's remaining
    /// patience in milliseconds; `None` or 0 if not stated.
    pub fn classify(&mut self, route: &str, patience_millis: Option<u64>, now: Instant) -> Visit {
        self.refusal_rate.decay(now);
        self.refusal_rate.requests += 1.0;
        let Some(patience_millis) = patience_millis.filter(|patience_millis| *patience_millis > 0)
        else {
            return Visit::Unknown;
        };
        let is_undisturbed = self.refusal_rate.is_low(now);
        match self.routes.get_mut(route) {
            Some(samples) => {
                let visit = samples.classify(patience_millis);
                samples.record(patience_millis, is_undisturbed);
                visit
            }
            None => {
                if self.routes.len() < MAX_ROUTES {
                    let samples = self.routes.entry(route.to_owned()).or_default();
                    samples.record(patience_millis, is_undisturbed);
                }
                Visit::Unknown
            }
        }
    }

    /// Records a refused request.
    pub fn record_refusal(&mut self, now: Instant) {
        self.refusal_rate.decay(now);
        self.refusal_rate.refused += 1.0;
    }

    /// Detector the shortest retry delay after which a caller of `route` is recognized as returning;
    /// `None` if no range is known.
    pub fn recognizable_after_millis(&self, route: &str) -> Option<u64> {
        let range = self.routes.get(route)?.range.as_ref()?;
        Some(range.end() - range.start() + 2 * TOLERANCE_MILLIS)
    }
}
