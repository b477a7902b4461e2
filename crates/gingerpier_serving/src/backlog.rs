//! Prompts that an engine has admitted and not yet read.
//!
//! An engine's report counts a request as active from its admission, whether its prompt was read
//! or not. What tells them apart is memory: it is taken for the whole prompt at once, while
//! answers add a few tokens a pass. So what memory grows by beyond that is prompts, and they are
//! read at a speed that the engine's figures give.

use {
    crate::{configuration::EngineModel, prediction, report::Report},
    gingerpier_base::Instant,
};

/// Share of the most tokens that running requests could add which counts as added: while prompts
/// are read, few are.
const GROWTH_SHARE: f64 = 0.5;

/// Estimate of the prompt tokens that wait at an engine.
#[derive(Debug, Clone, Copy, Default)]
pub struct Backlog {
    unread: f64,
    held: u64,
    active: u32,
    at: Instant,
}

impl Backlog {
    /// Takes the engine's next report; gives the tokens that are yet to be read.
    pub fn note(&mut self, report: &Report, model: &EngineModel, now: Instant) -> u64 {
        let passed = now.millis_since(self.at) as f64;
        let running = f64::from(self.active);
        let read = passed * read_per_milli(model, running);
        let passes = passed / prediction::pass_millis(model, running).max(1.0);
        let written = GROWTH_SHARE * running * f64::from(model.stride) * passes;
        let grown = report.memory_used.saturating_sub(self.held) as f64;
        let admitted = (grown - written).max(0.0);
        self.unread = (self.unread - read).max(0.0) + admitted;
        // What is unread lies in memory, too.
        self.unread = self.unread.min(report.memory_used as f64);
        self.held = report.memory_used;
        self.active = report.active;
        self.at = now;
        self.unread as u64
    }
}

/// Prompt tokens that an engine with `running` requests reads in a millisecond: between the steps
/// of those that run, a part of the prompts at a time.
pub fn read_per_milli(model: &EngineModel, running: f64) -> f64 {
    let Some(chunk) = model.read_at_once else {
        return model.read_per_milli;
    };
    let chunk = f64::from(chunk.max(1));
    let steps = prediction::pass_millis(model, running) * running.min(1.0);
    chunk / (chunk / model.read_per_milli + steps)
}
