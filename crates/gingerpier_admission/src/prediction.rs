//! Prediction of the time to the first event on an engine.
//!
//! Engines batch continuously: each pass generates tokens for all running requests and processes
//! chunks of new prompts. Requests beyond the engine's slots queue. Requests of other gateways are
//! known from the engine's status report; those that this gateway has sent since are counted
//! exactly.

use {
    crate::backlog,
    gingerpier_base::Instant,
    gingerpier_serving::{configuration::EngineModel, engine::Engine},
};

/// Passes between the end of a prompt and its first event, in addition to a pass already in
/// progress. An event holds the tokens of about one pass.
const PASSES_TO_FIRST_EVENT: f64 = 1.0;

/// Ratio of the unreported requests at a selected engine to those at an average one, as other
/// gateways also prefer it.
const SELECTION_BIAS: f64 = 2.5;

/// Longest period for which unreported requests are estimated.
const MAX_UNREPORTED_MILLIS: u64 = 500;

/// Most of an engine's time that more urgent requests are assumed to take from queued ones.
const MAX_OVERTAKING_SHARE: f64 = 0.75;

/// Average fraction of a pass that remains when a request arrives.
const REMAINING_PASS_SHARE: f64 = 0.5;

/// Returns the duration of a pass with `running` requests.
pub fn pass_millis(model: &EngineModel, running: f64) -> f64 {
    let context_thousands =
        f64::from(model.mean_prompt_tokens + model.mean_answer_tokens / 2) / 1_000.0;
    let per_request_step_millis =
        model.per_request_millis + model.per_thousand_tokens_millis * context_thousands;
    f64::from(model.stride) * (model.step_millis + per_request_step_millis * running)
}

/// Returns the engine time that an average request takes when all slots are in use.
pub fn mean_work_millis(model: &EngineModel) -> f64 {
    let slots = f64::from(model.slots.max(1));
    let passes = f64::from(model.mean_answer_tokens) / f64::from(model.stride.max(1));
    passes * pass_millis(model, slots) / slots + mean_prompt_millis(model)
}

/// Returns the time in which an engine processes an average prompt.
pub fn mean_prompt_millis(model: &EngineModel) -> f64 {
    f64::from(model.mean_prompt_tokens) / model.prompt_tokens_per_milli
}

/// Returns the time to the first event on an idle engine.
pub fn idle_first_event_millis(model: &EngineModel, prompt_tokens: u64) -> f64 {
    PASSES_TO_FIRST_EVENT * pass_millis(model, 0.0)
        + prompt_millis(model, prompt_tokens as f64, 0.0)
}

/// Components of a predicted time to the first event, in milliseconds.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Components {
    /// Wait for a slot.
    pub queue_millis: f64,
    /// Passes together with the running requests.
    pub pass_millis: f64,
    /// Prompts of other requests that are processed first.
    pub other_prompts_millis: f64,
    /// The request's own prompt.
    pub own_prompt_millis: f64,
    /// Slowdown factor of the engine, already applied to all components; 1 is normal.
    pub slowdown: f64,
}

impl Default for Components {
    /// Zero duration without slowdown.
    fn default() -> Self {
        Self {
            queue_millis: 0.0,
            pass_millis: 0.0,
            other_prompts_millis: 0.0,
            own_prompt_millis: 0.0,
            slowdown: 1.0,
        }
    }
}

impl Components {
    /// Returns the total time.
    pub fn total_millis(&self) -> f64 {
        self.queue_millis + self.pass_millis + self.other_prompts_millis + self.own_prompt_millis
    }

    /// Returns the components of a request that more urgent requests overtake while it waits for a
    /// slot; these take `overtaking_share` of the engine's time at normal speed. Without a queue,
    /// nothing changes.
    #[must_use]
    pub fn with_overtaking(self, overtaking_share: f64) -> Self {
        if overtaking_share <= 0.0 || self.queue_millis <= 0.0 {
            return self;
        }
        // Each request that overtakes prolongs the wait, in which further ones arrive.
        let overtaking_share = (overtaking_share * self.slowdown).min(MAX_OVERTAKING_SHARE);
        Self {
            queue_millis: self.queue_millis / (1.0 - overtaking_share),
            ..self
        }
    }
}

/// Predicts the time to the first event on `engine`. `unreported_per_milli` is the rate at which other
/// gateways send requests to each engine.
pub fn predict_first_event(
    engine: &Engine,
    model: &EngineModel,
    prompt_tokens: u64,
    unreported_per_milli: f64,
    now: Instant,
) -> Components {
    let age_millis = engine.report_age(now).unwrap_or_default();
    let age_millis = age_millis.min(MAX_UNREPORTED_MILLIS) as f64;
    let unreported = SELECTION_BIAS * unreported_per_milli * age_millis;
    let load = engine.estimated_load(now);
    let requests = load.requests + unreported;
    let slots = f64::from(model.slots);
    let running = requests.min(slots);
    let queue = (requests + 1.0 - slots).max(0.0) * mean_work_millis(model);
    let passes = PASSES_TO_FIRST_EVENT + REMAINING_PASS_SHARE * running.min(1.0);
    // The prompts of queued requests are part of the queueing time.
    let unreported_tokens = unreported.min(slots) * f64::from(model.mean_prompt_tokens);
    let tokens_ahead = remaining_tokens(model, load.pending_prompt_tokens, running, age_millis)
        + unreported_tokens;
    let others = prompt_millis(model, tokens_ahead, running);
    let prompt_millis_total = prompt_millis(model, prompt_tokens as f64 + tokens_ahead, running);
    let slowdown = engine.latest_report(now).slowdown.max(1.0);
    Components {
        queue_millis: queue * slowdown,
        pass_millis: passes * pass_millis(model, running) * slowdown,
        other_prompts_millis: others * slowdown,
        own_prompt_millis: (prompt_millis_total - others) * slowdown,
        slowdown,
    }
}

/// Returns how many of the `unprocessed_tokens` prompt tokens remain after `millis`.
fn remaining_tokens(
    model: &EngineModel,
    unprocessed_tokens: u64,
    running: f64,
    millis: f64,
) -> f64 {
    let processed = millis * backlog::prompt_tokens_per_milli(model, running);
    (unprocessed_tokens as f64 - processed).max(0.0)
}

/// Returns the time in which an engine with `running` requests processes `tokens` of prompts,
/// including the passes between prompt chunks.
fn prompt_millis(model: &EngineModel, tokens: f64, running: f64) -> f64 {
    let chunks = model
        .max_prompt_tokens_per_pass
        .map_or(0.0, |chunk_tokens| tokens / f64::from(chunk_tokens.max(1)));
    let interleaved_millis = (chunks - 1.0).max(0.0) * pass_millis(model, running);
    tokens / model.prompt_tokens_per_milli + interleaved_millis
}
