//! The retry budget: retries are a part of requests, never a multiple.

/// Requests that earn one retry.
const REQUESTS_A_RETRY: u32 = 10;
/// Retries that can be saved up.
const MOST_RETRIES: u32 = 50;

/// Budget of one entry box.
#[derive(Debug, Clone, Copy)]
pub struct Budget {
    units: u32,
}

impl Default for Budget {
    fn default() -> Self {
        Self {
            units: MOST_RETRIES * REQUESTS_A_RETRY,
        }
    }
}

impl Budget {
    /// Notes a first try.
    pub fn earn(&mut self) {
        self.units = (self.units + 1).min(MOST_RETRIES * REQUESTS_A_RETRY);
    }

    /// Takes one retry; false where the budget is used up.
    pub fn spend(&mut self) -> bool {
        let enough = self.units >= REQUESTS_A_RETRY;
        if enough {
            self.units -= REQUESTS_A_RETRY;
        }
        enough
    }
}
