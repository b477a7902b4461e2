//! Retry budget, which bounds retries to a fraction of the first attempts.

/// First attempts that add one retry to the budget.
const REQUESTS_PER_RETRY: u32 = 10;
/// Maximum number of retries in the budget.
const MAX_RETRIES: u32 = 50;

/// Retry budget of one entry box.
#[derive(Debug, Clone, Copy)]
pub struct Budget {
    units: u32,
}

impl Default for Budget {
    fn default() -> Self {
        Self {
            units: MAX_RETRIES * REQUESTS_PER_RETRY,
        }
    }
}

impl Budget {
    /// Records a first attempt, which adds a fraction of a retry.
    pub fn record_first_attempt(&mut self) {
        self.units = (self.units + 1).min(MAX_RETRIES * REQUESTS_PER_RETRY);
    }

    /// Consumes one retry; false if the budget is exhausted.
    pub fn try_spend(&mut self) -> bool {
        let is_available = self.units >= REQUESTS_PER_RETRY;
        if is_available {
            self.units -= REQUESTS_PER_RETRY;
        }
        is_available
    }
}
