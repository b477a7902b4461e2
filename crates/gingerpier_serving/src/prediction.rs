//! When an engine's first event would come.
//!
//! Engines batch: a pass gives every running request some tokens and reads the prompts that came
//! in meanwhile. Past its slots an engine lets requests wait. What runs and waits there for other
//! gateways is known from the engine's report, what this gateway sent since is counted exactly.

use {
    crate::{backlog, configuration::EngineModel, fleet::Engine},
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

/// Predicted milliseconds to the first event of a request with `prompt_tokens` at `engine`, where
/// so many requests of other gateways come to each engine in a millisecond.
pub fn first_event_millis(
    engine: &Engine,
    model: &EngineModel,
    prompt_tokens: u64,
    unseen_per_milli: f64,
    now: Instant,
) -> f64 {
    let slots = f64::from(model.slots);
    let seen = engine.seen(now);
    let pace = engine.latest(now).pace.max(1.0);
    let age = engine
        .report_age(now)
        .unwrap_or_default()
        .min(MOST_UNSEEN_MILLIS);
    let unseen = ATTRACTION * unseen_per_milli * age as f64;
    let requests = seen.requests + unseen;
    let queue = (requests + 1.0 - slots).max(0.0) * work_millis(model);
    let running = requests.min(slots);
    // Whoever waits for a slot is read later, as part of the work that the queue stands for.
    let ahead = (unseen * f64::from(model.usual_prompt)).min(slots * f64::from(model.usual_prompt));
    let read =
        (age as f64 * backlog::read_per_milli(model, running)).min(seen.unread_tokens as f64);
    let tokens = prompt_tokens as f64 + seen.unread_tokens as f64 - read + ahead;
    let chunks = model
        .read_at_once
        .map_or(0.0, |chunk| tokens / f64::from(chunk.max(1)));
    let steps_between = (chunks - 1.0).max(0.0) * pass_millis(model, running);
    let reading = tokens / model.read_per_milli + steps_between;
    let passes = FIRST_PASSES + LEFT_OF_PASS * running.min(1.0);
    (queue + passes * pass_millis(model, running) + reading) * pace
}
