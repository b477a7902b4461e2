//! Numbers drawn from a seed.

use gingerpier_base::order;

/// Source of drawn numbers; the same seed gives the same ones.
#[derive(Debug, Clone, Copy)]
pub struct Draw(u64);

impl Draw {
    /// Numbers of `seed`.
    pub const fn new(seed: u64) -> Self {
        Self(order::mix(seed ^ 0x9e37_79b9_7f4a_7c15))
    }

    /// Any number.
    pub const fn number(&mut self) -> u64 {
        self.0 = self.0.wrapping_add(0x9e37_79b9_7f4a_7c15);
        order::mix(self.0)
    }

    /// From 0 to 1.
    pub fn share(&mut self) -> f64 {
        (self.number() >> 11) as f64 / (1_u64 << 53) as f64
    }

    /// Between two bounds.
    pub fn between(&mut self, least: f64, most: f64) -> f64 {
        least + self.share() * (most - least)
    }

    /// Between two bounds, each factor as likely.
    pub fn factor(&mut self, least: f64, most: f64) -> f64 {
        self.between(least.ln(), most.ln()).exp()
    }

    /// Between two whole bounds, which may come.
    pub fn whole(&mut self, least: u32, most: u32) -> u32 {
        least + (self.number() % u64::from(most - least + 1)) as u32
    }

    /// Time to the next of events that come at random, where they are `mean` apart.
    pub fn pause(&mut self, mean: f64) -> f64 {
        -mean * (1.0 - self.share()).ln()
    }
}
