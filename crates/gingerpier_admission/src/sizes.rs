//! Classification of prompts by their size relative to other requests of the same route.
//!
//! Logs and metrics use the size class as a label, which bounds the number of label values.
//!
//! ```
//! use gingerpier_admission::sizes::{Band, Sizes};
//!
//! let mut sizes = Sizes::default();
//! for tokens in [900, 1_100, 1_000] {
//!     sizes.record("summary", tokens);
//! }
//! assert_eq!(sizes.record("summary", 5_000), Some(Band::Largest));
//! ```

use {displaydoc::Display, std::collections::HashMap};

/// Upper bound of the number of requests that a route's mean is computed over.
const MAX_COUNT: f64 = 200.0;

/// Limit of the routes kept, at about 100 bytes each.
const MAX_ROUTES: usize = 256;

/// Size class of a prompt.
#[derive(Debug, Display, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Band {
    /// small
    Small,
    /// usual
    Usual,
    /// large
    Large,
    /// largest
    Largest,
}

impl Band {
    /// Lower bounds of the usual, large and largest classes, as multiples of the route's mean
    /// prompt. With exponentially distributed lengths these are six, three and one in ten requests.
    const LOWER_BOUNDS: [f64; 3] = [0.5, 1.2, 2.3];

    fn from_ratio(ratio: f64) -> Self {
        let [usual, large, largest] = Self::LOWER_BOUNDS;
        match ratio {
            ratio if ratio < usual => Self::Small,
            ratio if ratio < large => Self::Usual,
            ratio if ratio < largest => Self::Large,
            _ => Self::Largest,
        }
    }
}

/// Mean prompt length of each route.
#[derive(Debug, Clone, Default)]
pub struct Sizes {
    routes: HashMap<String, Mean>,
}

#[derive(Debug, Clone, Copy, Default)]
struct Mean {
    tokens: f64,
    count: f64,
}

impl Sizes {
    /// Returns true if adding `route` exceeds the limit, so that the caller must clear the state
    /// first.
    pub fn is_full_for(&self, route: &str) -> bool {
        self.routes.len() >= MAX_ROUTES && !self.routes.contains_key(route)
    }

    /// Records a prompt and returns its size class; `None` without a prompt.
    pub fn record(&mut self, route: &str, tokens: u64) -> Option<Band> {
        if tokens == 0 {
            return None;
        }
        if !self.routes.contains_key(route) {
            self.routes.insert(route.to_owned(), Mean::default());
        }
        let mean = self.routes.get_mut(route)?;
        mean.count = (mean.count + 1.0).min(MAX_COUNT);
        mean.tokens += (tokens as f64 - mean.tokens) / mean.count;
        Some(Band::from_ratio(tokens as f64 / mean.tokens))
    }
}
