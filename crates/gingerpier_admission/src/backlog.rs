//! Estimate of the prompt tokens that an engine has admitted but not yet processed.
//!
//! A status report counts a request as active from its admission, before its prompt is processed.
//! Memory is allocated for a whole prompt at once, whereas generated answers grow by a few tokens
//! per pass. Growth beyond the answers' rate is therefore attributed to new prompts.

use {
    crate::prediction,
    gingerpier_base::Instant,
    gingerpier_serving::{configuration::EngineModel, report::Report},
};

/// Fraction of the highest possible answer growth that is assumed between two reports. Few tokens
/// are generated while prompts are processed.
const ANSWER_GROWTH_SHARE: f64 = 0.5;

/// Running estimate of the unprocessed prompt tokens of one engine.
#[derive(Debug, Clone, Copy, Default)]
pub struct Backlog {
    unprocessed_tokens: f64,
    last_memory_used: u64,
    active: u32,
    updated_at: Instant,
}

impl Backlog {
    /// Updates the estimate from the engine's next report and returns it, in tokens.
    pub fn update(&mut self, report: &Report, model: &EngineModel, now: Instant) -> u64 {
        let elapsed_millis = now.millis_since(self.updated_at) as f64;
        let running = f64::from(self.active);
        let processed = elapsed_millis * prompt_tokens_per_milli(model, running);
        let passes = elapsed_millis / prediction::pass_millis(model, running).max(1.0);
        let generated = ANSWER_GROWTH_SHARE * running * f64::from(model.stride) * passes;
        let growth = report
            .memory_used_tokens
            .saturating_sub(self.last_memory_used) as f64;
        let admitted = (growth - generated).max(0.0);
        self.unprocessed_tokens = (self.unprocessed_tokens - processed).max(0.0) + admitted;
        // Unprocessed prompt tokens are part of the used memory.
        self.unprocessed_tokens = self
            .unprocessed_tokens
            .min(report.memory_used_tokens as f64);
        self.last_memory_used = report.memory_used_tokens;
        self.active = report.active;
        self.updated_at = now;
        self.unprocessed_tokens as u64
    }
}

/// Returns the prompt tokens per millisecond that an engine with `running` requests processes.
/// Prompt chunks alternate with passes of the running requests.
pub fn prompt_tokens_per_milli(model: &EngineModel, running: f64) -> f64 {
    let Some(chunk_tokens) = model.max_prompt_tokens_per_pass else {
        return model.prompt_tokens_per_milli;
    };
    let chunk_tokens = f64::from(chunk_tokens.max(1));
    let interleaved_millis = prediction::pass_millis(model, running) * running.min(1.0);
    chunk_tokens / (chunk_tokens / model.prompt_tokens_per_milli + interleaved_millis)
}
