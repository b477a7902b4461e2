//! How large requests are among those of their route.
//!
//! Logs and metrics tell by it who is refused. There are four sizes, not one for each count of tokens, so that what is kept
//! and told is bounded.
//!
//! ```
//! use gingerpier_serving::sizes::{Band, Sizes};
//!
//! let mut sizes = Sizes::default();
//! for tokens in [900, 1_100, 1_000] {
//!     sizes.note("summary", tokens);
//! }
//! assert_eq!(sizes.note("summary", 5_000), Some(Band::Largest));
//! ```

use {displaydoc::Display, std::collections::HashMap};

/// Requests over which a route's mean is taken, the latest counting most.
const COUNTED: f64 = 200.0;

/// Routes that are kept, of some 100 bytes each: routes come and go with configurations.
const MOST_ROUTES: usize = 256;

/// Size of a prompt, as a part of the mean one of its route.
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
    /// Least part of the mean prompt from which on one is usual, large and among the largest: where lengths fall off at a
    /// steady rate these are six, three and one in ten requests.
    const FROM: [f64; 3] = [0.5, 1.2, 2.3];

    fn of(part: f64) -> Self {
        let [usual, large, largest] = Self::FROM;
        match part {
            part if part < usual => Self::Small,
            part if part < large => Self::Usual,
            part if part < largest => Self::Large,
            _ => Self::Largest,
        }
    }
}

/// Mean prompts of routes.
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
    /// True where `route` would be one too many, so that all are to be forgotten first.
    pub fn is_full_for(&self, route: &str) -> bool {
        self.routes.len() >= MOST_ROUTES && !self.routes.contains_key(route)
    }

    /// Notes the prompt of a request of `route`; tells how large it is, where it has one.
    pub fn note(&mut self, route: &str, tokens: u64) -> Option<Band> {
        if tokens == 0 {
            return None;
        }
        if !self.routes.contains_key(route) {
            self.routes.insert(route.to_owned(), Mean::default());
        }
        let mean = self.routes.get_mut(route)?;
        mean.count = (mean.count + 1.0).min(COUNTED);
        mean.tokens += (tokens as f64 - mean.tokens) / mean.count;
        Some(Band::of(tokens as f64 / mean.tokens))
    }
}
