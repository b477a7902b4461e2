//! Callers, and what their requests were worth.

use {
    crate::deployment::Deployment, gingerpier_admission::return_detection::Visit,
    gingerpier_serving::fleet::EngineKey, std::ops::Range,
};

/// Worth of an answer that came late, where one in time is worth 1.
const LATE_WORTH: f64 = 0.3;

/// Part of a kind's value that a late answer earns.
const LATE_SCORE: f64 = 0.2;

/// Part of a kind's value that is lost where a caller comes back and is refused again.
const REFUSED_AGAIN_PENALTY: f64 = 0.3;

/// Share of a request's worth that does not grow with its size.
const FLAT_WORTH: f64 = 0.3;

/// How a caller fared.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Outcome {
    /// It waits.
    Open,
    /// It has its whole answer.
    Served,
    /// It was refused twice, or is left without an end.
    Refused,
    /// It has nothing, or left.
    Lost,
}

/// A caller with its one request.
#[derive(Debug, Clone)]
pub struct Caller {
    /// When it tried first, in milliseconds.
    pub came_at: f64,
    /// When it tried last.
    pub tried_at: f64,
    /// Gateway that it tried last.
    pub gateway: usize,
    /// Index of its client account.
    pub account: usize,
    /// Kind of its request.
    pub kind: usize,
    /// Zone of the gateway that it came to first.
    pub zone: usize,
    /// Tokens of its prompt.
    pub prompt: u64,
    /// Tokens of its answer.
    pub answer: u64,
    /// True where it comes back at once.
    pub is_impatient: bool,
    /// Times that it tried.
    pub tries: u32,
    /// When its first event came.
    pub first_at: Option<f64>,
    /// Until when its gateway may hold it; none while it is not held.
    pub held_until: Option<f64>,
    /// Whether it was refused before.
    pub visit: Visit,
    /// Engines that its last try went to.
    pub tried: Vec<EngineKey>,
    /// Attempt that runs for it.
    pub attempt: Option<usize>,
    /// How it fared.
    pub outcome: Outcome,
}

impl Caller {
    /// What its answer was worth, counted from its first try.
    pub fn worth(&self, deployment: &Deployment) -> f64 {
        if let Some(value) = deployment.kinds[self.kind].value {
            return value * self.score(deployment);
        }
        let Some(first) = self.first_at.filter(|_| self.outcome == Outcome::Served) else {
            return 0.0;
        };
        let target = deployment.target_of(self.kind);
        let share = match (
            first - self.came_at <= target,
            first - self.tried_at <= target,
        ) {
            (true, _) => 1.0,
            (false, true) => deployment.returned_worth,
            (false, false) => LATE_WORTH,
        };
        share * self.size(deployment)
    }

    /// Part of a kind's value that was earned; below 0 where it came back and was refused again.
    pub fn score(&self, deployment: &Deployment) -> f64 {
        let target = deployment.target_of(self.kind);
        match (self.outcome, self.first_at) {
            (Outcome::Served, Some(first)) if first - self.came_at <= target => 1.0,
            (Outcome::Served, Some(first)) if first - self.tried_at <= target => {
                f64::midpoint(1.0, LATE_SCORE)
            }
            (Outcome::Served, _) => LATE_SCORE,
            (Outcome::Refused, _) if self.tries > 1 => -REFUSED_AGAIN_PENALTY,
            _ => 0.0,
        }
    }

    /// What it could have been worth: more where it is large.
    pub fn size(&self, deployment: &Deployment) -> f64 {
        if let Some(value) = deployment.kinds[self.kind].value {
            return value;
        }
        let model = &deployment.model;
        let usual = f64::from(model.mean_prompt_tokens + 10 * model.mean_answer_tokens);
        FLAT_WORTH + (1.0 - FLAT_WORTH) * (self.prompt + 10 * self.answer) as f64 / usual
    }
}

/// Worth of the requests that came first within `times`, as a part of what they could have been worth: how
/// many came by chance does not count.
pub fn share_of_worth(callers: &[Caller], deployment: &Deployment, times: &Range<f64>) -> f64 {
    let came = callers
        .iter()
        .filter(|caller| times.contains(&caller.came_at));
    let (worth, owed) = came.fold((0.0, 0.0), |(worth, owed), caller| {
        (
            worth + caller.worth(deployment),
            owed + caller.size(deployment),
        )
    });
    worth / owed
}

/// Counts of callers, by how they fared.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Fates {
    /// In time at the first try.
    pub in_time: usize,
    /// In time at a later one.
    pub returned_in_time: usize,
    /// Late.
    pub late: usize,
    /// Refused for good.
    pub refused: usize,
    /// Without an answer or an end.
    pub lost: usize,
}

impl Fates {
    /// All of them.
    pub const fn count(&self) -> usize {
        self.in_time + self.returned_in_time + self.late + self.refused + self.lost
    }
}

/// How those fared that came first within `times`.
pub fn fates(callers: &[Caller], deployment: &Deployment, times: &Range<f64>) -> Fates {
    let mut fates = Fates::default();
    let came = callers
        .iter()
        .filter(|caller| times.contains(&caller.came_at));
    for caller in came {
        let target = deployment.target_of(caller.kind);
        let first = caller.first_at.unwrap_or(f64::MAX);
        let count = match caller.outcome {
            Outcome::Served if first - caller.came_at <= target => &mut fates.in_time,
            Outcome::Served if first - caller.tried_at <= target => &mut fates.returned_in_time,
            Outcome::Served => &mut fates.late,
            Outcome::Refused => &mut fates.refused,
            Outcome::Open | Outcome::Lost => &mut fates.lost,
        };
        *count += 1;
    }
    fates
}
