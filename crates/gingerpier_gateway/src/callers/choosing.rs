//! Which engine a request goes to, and when a stream leaves one.

use {
    super::{forward::Course, stream::Progress},
    crate::clock,
    gingerpier_base::Instant,
    gingerpier_serving::{
        admission::{self, Census, Choice, Demand, Due},
        fleet::EngineKey,
        precedence,
        report::Version,
        returns::Visit,
    },
};

/// Milliseconds from the word that an engine takes nothing more until its streams leave it: many
/// end by themselves meanwhile.
const MOVE_AFTER_MILLIS: u64 = 450;

/// Milliseconds before a newer version is due from which on streams of an older one stay: one that
/// is stuck on its way to another engine would begin there too late. The longest such way seen was 2.1 s
/// from the move to the start, behind a narrow link, and 1.2 s lie between this and the bound.
const MOVE_LEAD_MILLIS: u64 = 2_000;

impl Course<'_, '_> {
    /// True where another engine could take the request now.
    pub fn can_move(&mut self, progress: &Progress) -> bool {
        let repeat = self.standing.repeat.is_idempotent();
        let has_attempts = self.standing.attempts < self.standing.max_attempts;
        repeat && has_attempts && self.choose(progress).is_some()
    }

    /// True where a stream leaves `engine`, which is about to take new weights, for another engine
    /// that goes on with it within the pause that it may make; the retry is paid then.
    ///
    /// The engine waits for what it runs, and works at a part of its speed until the last stream has
    /// ended: to read one prompt again elsewhere costs less.
    pub fn leaves(&mut self, engine: EngineKey, progress: &Progress) -> bool {
        let now = clock::now();
        let closed = self.state.fleet.borrow().engine(engine).closed_millis(now);
        // This is asked at each event of each stream, and seldom true.
        if closed.is_none_or(|closed| closed < MOVE_AFTER_MILLIS) {
            return false;
        }
        let may_begin = now.after_millis(MOVE_LEAD_MILLIS);
        let would_be_late = admission::least_version(&self.due(), may_begin) > progress.version();
        if would_be_late || !self.can_move(progress) {
            return false;
        }
        self.state.take_retry(&self.call.target().name, now)
    }

    fn due(&self) -> Vec<Due> {
        let model = self.call.model.as_deref();
        model.map_or_else(Vec::new, |model| self.state.due(model))
    }

    /// Time within which the next event has its full worth, in milliseconds.
    fn target_millis(&self, progress: &Progress) -> u64 {
        match progress.has_begun() {
            true => self.call.rules().pause_millis,
            false => self.call.rules().target_millis,
        }
    }

    /// Part of its target that a first event may be predicted to take. A request that failed at an engine is as late
    /// as one that was refused; those that waited here are many, and all look at once.
    fn target_share(&self, now: Instant) -> f64 {
        if self.has_waited {
            return precedence::LEFT_SHARE;
        }
        let visit = match self.standing.attempts {
            0 => self.call.visit,
            _ => Visit::Returned,
        };
        self.state.target_share(self.call.work(), visit, now)
    }

    /// Milliseconds that it could wait behind others, where it goes to model engines and one was found that could run it.
    pub(super) fn wait_millis(&self) -> Option<f64> {
        let target = self.call.rules().target_millis as f64;
        let own = self.own_millis.filter(|_| self.call.engines().is_some())?;
        Some(admission::wait_millis(target, own))
    }

    fn demand<'d>(&'d self, due: &'d [Due], progress: &Progress, now: Instant) -> Demand<'d> {
        let call = self.call;
        let service = &call.target().name;
        Demand {
            service,
            engines: call.engines(),
            model: call.model.as_deref(),
            due,
            goes_on_with: progress.has_begun().then(|| progress.version()),
            prompt_tokens: call.prompt_tokens,
            target_millis: self.target_millis(progress),
            target_share: self.target_share(now),
            even: self.state.even(call.work(), now),
            homes: call.homes,
            cold: self.state.cold_terms(call.target()),
            zone: &self.state.settings.zone,
            gateways: self.state.zones.borrow().gateway_count(),
            others_per_milli: self.state.others_per_milli(service, now),
            tried: &self.tried,
            may_end_engine: self.is_trial,
        }
    }

    /// Why no engine would do, by counts.
    pub(super) fn census(&self) -> Census {
        let now = clock::now();
        let due = self.due();
        let demand = self.demand(&due, &Progress::default(), now);
        admission::census(&self.state.fleet.borrow(), &demand, now)
    }

    pub(super) fn choose(&mut self, progress: &Progress) -> Option<EngineKey> {
        let now = clock::now();
        let due = self.due();
        let fleet = self.state.fleet.borrow();
        let demand = self.demand(&due, progress, now);
        let choice = admission::choose(&fleet, &demand, now, self.draw);
        self.found_engine = choice != Choice::NoEngine;
        self.shortfall = None;
        self.own_millis = None;
        match choice {
            Choice::Send {
                engine,
                predicted_millis,
                own_millis,
            } => {
                self.predicted_millis = predicted_millis;
                self.own_millis = Some(own_millis);
                self.seen = Some(fleet.engine(engine).seen(now));
                Some(engine)
            }
            Choice::Full(shortfall) => {
                self.predicted_millis = shortfall.predicted_millis();
                self.own_millis = Some(shortfall.parts.own);
                self.shortfall = Some(shortfall);
                None
            }
            Choice::NoEngine => None,
        }
    }

    /// Version that alone may run the request: that of the stream which goes on, or that which
    /// the engine is known to hold once some version came due.
    pub(super) fn expect_version(&self, engine: EngineKey, progress: &Progress) -> Version {
        if progress.has_begun() {
            return progress.version();
        }
        let now = clock::now();
        let least = admission::least_version(&self.due(), now);
        let fleet = self.state.fleet.borrow();
        let model = self.call.model.as_deref();
        let held = model.and_then(|model| fleet.engine(engine).version_of(model, now));
        held.filter(|held| least > Version::default() && *held >= least)
            .unwrap_or_default()
    }

    /// True where newer weights than the engine's were named.
    pub(super) fn is_outdated(&self, engine: EngineKey) -> bool {
        let fleet = self.state.fleet.borrow();
        let model = self.call.model.as_deref();
        let held = model.and_then(|model| fleet.engine(engine).version_of(model, clock::now()));
        held.is_some_and(|held| self.due().iter().any(|due| due.version > held))
    }
}
