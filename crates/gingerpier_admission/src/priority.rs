//! Shares of the capacity by rank while engines can't run all requests.
//!
//! Admission alone serves requests with much slack most often, whatever their priority. Where the
//! priorities of a service differ, less urgent requests are therefore refused with a probability
//! that equalizes the value shares: it rises while the share of a rank is above that of the more
//! urgent ranks and falls while it is below. Admission bounds don't change, so that capacity freed
//! by such a refusal goes to whichever request fits next, and nothing is refused unless more urgent
//! requests are refused for lack of capacity.
//!
//! Each [`Controller`] covers requests that compete for the same engines. It only sees the requests
//! of one gateway, which can be a few per second and rank. Shares are therefore averaged over
//! seconds, and a proportional part beside the integral one compensates for the delay of the
//! averages.

use {
    gingerpier_base::Instant,
    gingerpier_serving::configuration::{Configuration, ServiceKey},
};

/// Limit of the ranks of a service; the priority header has ten values. All further priorities
/// share the last rank.
pub const MAX_RANKS: usize = 10;

/// Value share of a request that is late, or on time only after a refusal.
pub const LATE_VALUE: f64 = 0.3;

/// Time constant of the counts from which shares are computed.
const SHARE_AVERAGING_MILLIS: f64 = 4_000.0;

/// Time constant of the counts that show a current shortage.
const SHORTAGE_AVERAGING_MILLIS: f64 = 1_000.0;

/// Refused part of the more urgent requests above which they lack capacity.
const SHORTAGE_REFUSAL_RATE: f64 = 0.01;

/// Refusals of all ranks in the last seconds from which a shortage is assumed. With 20 requests per
/// second, stray refusals of 0.3% reach this number less than once in an hour.
const MIN_REFUSALS_TO_BEGIN: f64 = 4.0;

/// Refusals of all ranks below which a shortage is over; lower than the number that begins one.
const MIN_REFUSALS_TO_CONTINUE: f64 = 1.0;

/// Age of the last refusal of a more urgent request up to which the probability applies in full.
const FULL_MILLIS: f64 = 500.0;

/// Age of that refusal from which the probability is 0.
const RELEASE_MILLIS: f64 = 900.0;

/// Margin by which a less urgent rank is kept below the more urgent ones, so that measuring errors
/// don't put it above them.
const MARGIN: f64 = 0.02;

/// Change of the probability per difference of the shares.
const PROPORTIONAL_GAIN: f64 = 1.0;

/// Change of the probability per difference of the shares and second. The ratio of the two gains is
/// the time constant of the shares, which cancels their delay.
const INTEGRAL_GAIN_PER_SECOND: f64 = 0.25;

/// Longest interval that one step integrates over, as after a pause of the process.
const MAX_STEP_MILLIS: u64 = 500;

/// Share of a less urgent rank that is kept, as a fraction of the mean share. It is above the
/// required quarter because the share of the next seconds is only estimated.
const MIN_SHARE_OF_MEAN: f64 = 0.35;

/// Weighted requests of a rank below which its share is not compared.
const MIN_COUNT: f64 = 3.0;

/// Position of a priority among those of its service; 0 is the most urgent.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Rank(u8);

impl Rank {
    /// Rank at position `index`, at most the last one.
    pub const fn new(index: u8) -> Self {
        if index as usize >= MAX_RANKS {
            return Self(MAX_RANKS as u8 - 1);
        }
        Self(index)
    }

    /// Position, below [`MAX_RANKS`].
    pub const fn index(self) -> usize {
        self.0 as usize
    }
}

/// Distinct priorities of the requests of one service, in ascending order.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Ranks(Vec<u8>);

impl Ranks {
    /// Priorities that requests to `service` can have; `None` if all are equal.
    pub fn of_service(configuration: &Configuration, service: ServiceKey) -> Option<Self> {
        let accounts = configuration.accounts();
        let account_priorities = accounts.iter().filter_map(|account| account.priority);
        let has_account_without = accounts.iter().any(|account| account.priority.is_none());
        let routes = configuration.routes().iter().filter(|route| {
            let mut targets = route.targets.iter();
            targets.any(|target| target.service == service)
        });
        let mut values = Vec::new();
        let mut has_routes = false;
        for route in routes {
            has_routes = true;
            // Requests without an account only arrive on public routes once accounts exist.
            if accounts.is_empty() || has_account_without || route.is_public {
                values.push(route.priority);
            }
        }
        if !has_routes {
            return None;
        }
        values.extend(account_priorities);
        values.sort_unstable();
        values.dedup();
        (values.len() > 1).then_some(Self(values))
    }

    /// Rank of a request; the priority of its client account takes precedence over the route's.
    pub fn rank(&self, account: Option<u8>, route: u8) -> Rank {
        let priority = account.unwrap_or(route);
        let index = self.0.partition_point(|value| *value < priority);
        Rank::new(index.min(MAX_RANKS - 1) as u8)
    }
}

/// How a request ended, as far as its value share is concerned.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Outcome {
    /// First event within the target at the first attempt.
    OnTime,
    /// First event later than the target.
    Late,
    /// Served on a client retry; its refused first attempt was counted before.
    OnRetry,
    /// Refused for lack of capacity.
    Full,
    /// Refused in favor of more urgent requests.
    Yielded,
    /// Not served before the deadline.
    Failed,
}

impl Outcome {
    const fn value(self) -> f64 {
        match self {
            Self::OnTime => 1.0,
            Self::Late | Self::OnRetry => LATE_VALUE,
            Self::Full | Self::Yielded | Self::Failed => 0.0,
        }
    }
}

/// Count with exponential decay.
#[derive(Debug, Clone, Copy, Default)]
struct Count {
    requests: f64,
    earned: f64,
    refused: f64,
    yielded: f64,
}

impl Count {
    fn decay(&mut self, factor: f64) {
        self.requests *= factor;
        self.earned *= factor;
        self.refused *= factor;
        self.yielded *= factor;
    }

    fn add(&mut self, other: Self) {
        self.requests += other.requests;
        self.earned += other.earned;
        self.refused += other.refused;
        self.yielded += other.yielded;
    }

    fn of(outcome: Outcome) -> Self {
        Self {
            requests: if outcome == Outcome::OnRetry {
                0.0
            } else {
                1.0
            },
            earned: outcome.value(),
            refused: f64::from(u8::from(outcome == Outcome::Full)),
            yielded: f64::from(u8::from(outcome == Outcome::Yielded)),
        }
    }

    /// Earned share of the requests; `None` after too few.
    fn share(&self) -> Option<f64> {
        (self.requests >= MIN_COUNT).then(|| (self.earned / self.requests).min(1.0))
    }

    /// Earned share of the requests that were not refused in favor of others.
    fn share_of_rest(&self) -> f64 {
        let rest = (self.requests - self.yielded).max(1.0);
        (self.earned / rest).min(1.0)
    }

    fn refusal_rate(&self) -> f64 {
        // Counts one more admitted request, so that a single refusal doesn't indicate a shortage.
        self.refused / (self.requests + 1.0)
    }
}

/// Counts and probability of one rank.
#[derive(Debug, Clone, Copy, Default)]
struct Entry {
    long: Count,
    short: Count,
    refused_at: Option<Instant>,
    /// True while more urgent ranks lack capacity.
    is_short: bool,
    /// Integral part of the probability.
    integral: f64,
    /// Probability before the release after the last refusal.
    probability: f64,
}

/// Refusal of less urgent ranks among requests that compete for the same engines.
#[derive(Debug, Clone, Default)]
pub struct Controller {
    updated_at: Instant,
    entries: Vec<Entry>,
}

impl Controller {
    /// Records how a request ended.
    pub fn record(&mut self, rank: Rank, outcome: Outcome, now: Instant) {
        self.advance(now);
        if self.entries.len() <= rank.index() {
            self.entries.resize(rank.index() + 1, Entry::default());
        }
        let entry = &mut self.entries[rank.index()];
        let count = Count::of(outcome);
        entry.long.add(count);
        entry.short.add(count);
        if outcome == Outcome::Full {
            entry.refused_at = Some(now);
        }
    }

    /// True if a request should be refused in favor of more urgent ones; `draw` is a random number
    /// from 0 to 1.
    pub fn yields(&mut self, rank: Rank, draw: f64, now: Instant) -> bool {
        self.advance(now);
        draw < self.probability(rank, now)
    }

    /// Probability with which a request is refused in favor of more urgent ones.
    pub fn probability(&self, rank: Rank, now: Instant) -> f64 {
        let Some(entry) = self.entries.get(rank.index()) else {
            return 0.0;
        };
        let urgent = &self.entries[..rank.index()];
        let refused_at = urgent.iter().filter_map(|entry| entry.refused_at).max();
        let Some(refused_at) = refused_at.filter(|_| entry.is_short) else {
            return 0.0;
        };
        let age_millis = now.millis_since(refused_at) as f64;
        let release = (RELEASE_MILLIS - age_millis) / (RELEASE_MILLIS - FULL_MILLIS);
        entry.probability * release.clamp(0.0, 1.0)
    }

    /// Value share of a rank in the last seconds; `None` after too few requests.
    pub fn share(&self, rank: Rank) -> Option<f64> {
        self.entries.get(rank.index())?.long.share()
    }

    /// Part of the recently admitted requests that are more urgent than `rank`.
    pub fn more_urgent_share(&self, rank: Rank) -> f64 {
        let admitted = |entries: &[Entry]| -> f64 {
            let counts = entries.iter().map(|entry| &entry.long);
            counts
                .map(|count| (count.requests - count.refused - count.yielded).max(0.0))
                .sum()
        };
        let more_urgent = &self.entries[..rank.index().min(self.entries.len())];
        match admitted(&self.entries) {
            all if all > 0.0 => admitted(more_urgent) / all,
            _ => 0.0,
        }
    }

    fn advance(&mut self, now: Instant) {
        let elapsed_millis = now.millis_since(self.updated_at);
        if elapsed_millis == 0 {
            return;
        }
        self.updated_at = now;
        let long_decay = (-(elapsed_millis as f64) / SHARE_AVERAGING_MILLIS).exp();
        let short_decay = (-(elapsed_millis as f64) / SHORTAGE_AVERAGING_MILLIS).exp();
        // The mean counts what each rank would earn without refusals in favor of others. Otherwise
        // the minimum share would fall with the shares that it limits.
        let (mut requests, mut possible, mut refused) = (0.0, 0.0, 0.0);
        for entry in &mut self.entries {
            entry.long.decay(long_decay);
            entry.short.decay(short_decay);
            requests += entry.long.requests;
            refused += entry.long.refused;
            possible += entry.long.requests * entry.long.share_of_rest();
        }
        let step_seconds = elapsed_millis.min(MAX_STEP_MILLIS) as f64 / 1_000.0;
        let mean_share = possible / f64::max(requests, 1.0);
        let mut urgent_long = Count::default();
        let mut urgent_short = Count::default();
        for entry in &mut self.entries {
            entry.update_shortage(refused, &urgent_long, &urgent_short);
            entry.update_probability(&urgent_long, mean_share, step_seconds, long_decay);
            urgent_long.add(entry.long);
            urgent_short.add(entry.short);
        }
    }
}

impl Entry {
    fn update_shortage(&mut self, refused: f64, urgent_long: &Count, urgent_short: &Count) {
        // All ranks compete for the same engines, so that the refusals of all show a shortage sooner
        // than those of the more urgent ranks, which must be affected by it.
        self.is_short = match self.is_short {
            true => {
                refused >= MIN_REFUSALS_TO_CONTINUE
                    && urgent_long.refusal_rate() > SHORTAGE_REFUSAL_RATE
            }
            false => {
                refused >= MIN_REFUSALS_TO_BEGIN
                    && urgent_short.refusal_rate() > SHORTAGE_REFUSAL_RATE
            }
        };
    }

    fn update_probability(
        &mut self,
        urgent: &Count,
        mean_share: f64,
        step_seconds: f64,
        decay: f64,
    ) {
        let shares = (self.long.share(), urgent.share());
        let (true, (Some(share), Some(urgent_share))) = (self.is_short, shares) else {
            self.integral *= decay;
            self.probability = 0.0;
            return;
        };
        let excess = share - urgent_share + MARGIN;
        // Serving the rest at its present share keeps the rank above the minimum share.
        let rest = self.long.share_of_rest().max(f64::EPSILON);
        let limit = (1.0 - MIN_SHARE_OF_MEAN * mean_share / rest).max(0.0);
        let integral = self.integral + INTEGRAL_GAIN_PER_SECOND * excess * step_seconds;
        self.integral = integral.clamp(0.0, limit);
        self.probability = (self.integral + PROPORTIONAL_GAIN * excess).clamp(0.0, limit);
    }
}
