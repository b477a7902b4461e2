//! When an engine's first event would come.
//!
//! Engines batch: a pass gives every running request some tokens and reads the prompts that came
//! in meanwhile. Past its slots an engine lets requests wait. What runs and waits there for other
//! gateways is known from the engine's report, what this gateway sent since is counted exactly.

use {
    crate::{backlog, configuration::EngineModel, engine::Engine},
    gingerpier_base::Instant,
};

/// Passes from the end of a prompt's reading to its first event, beside the share of one that is
/// under way when the request comes: an event holds the tokens of about one pass.
const FIRST_PASSES: f64 = 1.0;

/// Times as many requests as to an average engine that come unseen to one which is worth choosing:
/// the others know the same of it. 1 and 2.5 were measured, docs/design/experiments.md.
const ATTRACTION: f64 = 2.5;

/// Most milliseconds for which requests of other gateways are taken to have come unseen.
const MOST_UNSEEN_MILLIS: u64 = 500;

/// Share of a pass that is left, on average, when a request comes to a running engine.
const LEFT_OF_PASS: f64 = 0.5;

/// Milliseconds of a pass with `running` requests.
pub fn pass_millis(model: &EngineModel, running: f64) -> f64 {
    let context = f64::from(model.usual_prompt + model.usual_answer / 2) / 1_000.0;
    let each = model.per_request_millis + model.per_thousand_tokens_millis * context;
    f64::from(model.stride) * (model.step_millis + each * running)
}

/// Milliseconds of an engine's work that a usual request takes when its slots are full.
pub fn work_millis(model: &EngineModel) -> f64 {
    let slots = f64::from(model.slots.max(1));
    let passes = f64::from(model.usual_answer) / f64::from(model.stride.max(1));
    passes * pass_millis(model, slots) / slots + usual_reading_millis(model)
}

/// Milliseconds in which an engine reads a usual prompt.
pub fn usual_reading_millis(model: &EngineModel) -> f64 {
    f64::from(model.usual_prompt) / model.read_per_milli
}

/// Milliseconds to the first event of a request with `prompt_tokens` at an engine without other work.
pub fn idle_first_millis(model: &EngineModel, prompt_tokens: u64) -> f64 {
    FIRST_PASSES * pass_millis(model, 0.0) + reading_millis(model, prompt_tokens as f64, 0.0)
}

/// What a predicted time to a first event is made of, in milliseconds.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Parts {
    /// Wait for a slot.
    pub queue: f64,
    /// Passes with those that run.
    pub passes: f64,
    /// Prompts of others that are read before.
    pub others: f64,
    /// Its own prompt.
    pub own: f64,
    /// Times longer than usual that the engine takes for everything; all parts hold it.
    pub pace: f64,
}

impl Default for Parts {
    /// Nothing, at the usual pace.
    fn default() -> Self {
        Self {
            queue: 0.0,
            passes: 0.0,
            others: 0.0,
            own: 0.0,
            pace: 1.0,
        }
    }
}

impl Parts {
    /// All of it.
    pub fn sum(&self) -> f64 {
        self.queue + self.passes + self.others + self.own
    }
}

/// Predicted time to the first event of a request with `prompt_tokens` at `engine`, where so many requests of other
/// gateways come to each engine in a millisecond.
pub fn first_event(
    engine: &Engine,
    model: &EngineModel,
    prompt_tokens: u64,
    unseen_per_milli: f64,
    now: Instant,
) -> Parts {
    let age = engine.report_age(now).unwrap_or_default();
    let age = age.min(MOST_UNSEEN_MILLIS) as f64;
    let unseen = ATTRACTION * unseen_per_milli * age;
    let seen = engine.seen(now);
    let requests = seen.requests + unseen;
    let slots = f64::from(model.slots);
    let running = requests.min(slots);
    let queue = (requests + 1.0 - slots).max(0.0) * work_millis(model);
    let passes = FIRST_PASSES + LEFT_OF_PASS * running.min(1.0);
    // Whoever waits for a slot is read later, as part of the work that the queue stands for.
    let sent_since = unseen.min(slots) * f64::from(model.usual_prompt);
    let ahead = left_to_read(model, seen.unread_tokens, running, age) + sent_since;
    let others = reading_millis(model, ahead, running);
    let reading = reading_millis(model, prompt_tokens as f64 + ahead, running);
    let pace = engine.latest(now).pace.max(1.0);
    Parts {
        queue: queue * pace,
        passes: passes * pass_millis(model, running) * pace,
        others: others * pace,
        own: (reading - others) * pace,
        pace,
    }
}

/// Of `unread` prompt tokens, those that are left after `millis`.
fn left_to_read(model: &EngineModel, unread: u64, running: f64, millis: f64) -> f64 {
    let read = millis * backlog::read_per_milli(model, running);
    (unread as f64 - read).max(0.0)
}

/// Milliseconds in which an engine with `running` requests reads `tokens` of prompts: a part in
/// each pass, and the steps of those that run between two parts.
fn reading_millis(model: &EngineModel, tokens: f64, running: f64) -> f64 {
    let parts = model
        .read_at_once
        .map_or(0.0, |part| tokens / f64::from(part.max(1)));
    let steps_between = (parts - 1.0).max(0.0) * pass_millis(model, running);
    tokens / model.read_per_milli + steps_between
}
