//! What goes wrong while a load is played.

use {
    crate::{deployment::Deployment, world::Trigger},
    displaydoc::Display,
    std::str::FromStr,
};

/// Milliseconds for which something is wrong.
const TRIGGER_MILLIS: f64 = 2_000.0;

/// Times as many callers during a burst.
const BURST: f64 = 4.0;

/// Share of the engines that is lost where some are.
const ENGINES_LOST: f64 = 0.34;

/// A load pattern.
#[derive(Debug, Display, Clone, Copy, PartialEq, Eq)]
pub enum Pattern {
    /// steady
    Steady,
    /// burst
    Burst,
    /// engines lost
    EnginesLost,
    /// zone lost
    ZoneLost,
    /// restart
    Restart,
    /// all at once
    All,
}

impl Pattern {
    /// All of them.
    pub const ALL: [Self; 6] = [
        Self::Steady,
        Self::Burst,
        Self::EnginesLost,
        Self::ZoneLost,
        Self::Restart,
        Self::All,
    ];

    /// What goes wrong at `deployment` from `from` on, in milliseconds; nothing where the load is steady.
    pub fn trigger(self, deployment: &Deployment, from: f64) -> Option<Trigger> {
        let none = Trigger {
            from,
            until: from + TRIGGER_MILLIS,
            burst: 1.0,
            engines_lost: 0.0,
            restarts: false,
        };
        match self {
            Self::Steady => None,
            Self::Burst => Some(Trigger {
                burst: BURST,
                ..none
            }),
            Self::EnginesLost => Some(Trigger {
                engines_lost: ENGINES_LOST,
                ..none
            }),
            Self::ZoneLost => Some(Trigger {
                engines_lost: 1.0 / deployment.zones as f64,
                ..none
            }),
            Self::Restart => Some(Trigger {
                restarts: true,
                ..none
            }),
            Self::All => Some(Trigger {
                burst: BURST,
                engines_lost: ENGINES_LOST,
                restarts: true,
                ..none
            }),
        }
    }
}

impl FromStr for Pattern {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, String> {
        let named = Self::ALL
            .into_iter()
            .find(|pattern| pattern.to_string().replace(' ', "-") == text);
        named.ok_or_else(|| format!("no pattern is called {text}"))
    }
}
