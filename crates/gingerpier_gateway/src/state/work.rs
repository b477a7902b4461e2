//! How short places are, by the work that they are short for.
//!
//! Requests that are bound to regions have only the engines there, so their places may be short where others have enough.

use {
    super::State,
    gingerpier_base::Instant,
    gingerpier_serving::{evenness::Even, precedence::Precedence, region::Homes, returns::Visit},
    std::collections::HashMap,
};

/// Sets of regions that are told apart for one service.
const MAX_HOMES: usize = 64;

/// Requests that compete for the same engines.
#[derive(Debug, Clone, Copy)]
pub struct Work<'a> {
    /// Service.
    pub service: &'a str,
    /// Regions in which they may be served.
    pub homes: Homes,
}

/// How short places are for each work.
#[derive(Debug, Default)]
pub(super) struct Shortage(HashMap<String, Vec<(Homes, Precedence)>>);

impl Shortage {
    fn find(&self, work: Work<'_>) -> Option<&Precedence> {
        let mut known = self.0.get(work.service)?.iter();
        let (_, precedence) = known.find(|(homes, _)| *homes == work.homes)?;
        Some(precedence)
    }

    fn entry(&mut self, work: Work<'_>) -> &mut Precedence {
        // A text is made only for a service that is new.
        if !self.0.contains_key(work.service) {
            self.0.insert(work.service.to_owned(), Vec::new());
        }
        let known = self.0.get_mut(work.service).expect("it was added");
        let place = known.iter().position(|(homes, _)| *homes == work.homes);
        let place = place.unwrap_or_else(|| {
            if known.len() >= MAX_HOMES {
                known.clear();
            }
            known.push((work.homes, Precedence::default()));
            known.len() - 1
        });
        &mut known[place].1
    }
}

impl State {
    /// Notes that a request was refused whose caller could `wait` so many milliseconds behind others, where that is known.
    pub fn note_refused(&self, work: Work<'_>, visit: Visit, wait: Option<f64>, now: Instant) {
        self.returns.borrow_mut().note_refused(now);
        self.note_fate(work, visit, (true, wait), now);
    }

    pub(super) fn note_fate(
        &self,
        work: Work<'_>,
        visit: Visit,
        (is_refused, wait): (bool, Option<f64>),
        now: Instant,
    ) {
        let mut all = self.precedence.borrow_mut();
        all.entry(work).note(visit, is_refused, wait, now);
    }

    /// How far requests of `work` are treated alike.
    pub fn even(&self, work: Work<'_>, now: Instant) -> Even {
        let all = self.precedence.borrow();
        let known = all.find(work);
        known.map(|known| known.even(now)).unwrap_or_default()
    }

    /// Part of its target that a first event of `work` may be predicted to take, for a caller on such a visit.
    pub fn target_share(&self, work: Work<'_>, visit: Visit, now: Instant) -> f64 {
        let all = self.precedence.borrow();
        let known = all.find(work).copied().unwrap_or_default();
        known.share(visit, now)
    }
}
