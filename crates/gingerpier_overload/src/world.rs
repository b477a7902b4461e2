//! Callers, gateways, engines and the ways between them, in virtual time.

mod account_sharing;
mod attempts;
mod events;
mod incidents;
mod placing;
mod zones;

use {
    self::{
        events::{Event, Timed, Word},
        incidents::Conditions,
    },
    crate::{
        callers::Caller,
        deployment::Deployment,
        draw::Draw,
        engine::{Brought, Engine},
        gateway::{Gateway, ReportOf},
        incident::Incident,
    },
    gingerpier_admission::backlog::Backlog,
    gingerpier_base::Instant,
    gingerpier_serving::{fleet::EngineKey, report::Report},
    std::{cmp::Reverse, collections::BinaryHeap},
};

/// Milliseconds between an engine's end and the word that it is off the list.
const LIST_MILLIS: f64 = 300.0;

/// Instant at which a play begins, in milliseconds: one of the product's clock is never near zero.
const EPOCH_MILLIS: u64 = 1_000_000;

/// A gateway that placed an attempt, and counts it until it learns of its end.
#[derive(Debug, Clone, Copy)]
struct Placed {
    gateway: usize,
    gateway_life: u32,
    key: EngineKey,
}

/// An attempt of a gateway at an engine.
#[derive(Debug, Clone, Copy)]
struct Attempt {
    caller: usize,
    gateway: usize,
    gateway_life: u32,
    key: EngineKey,
    engine: usize,
    engine_life: u32,
    sent_at: f64,
    predicted: f64,
    is_granted: bool,
    /// Gateway that placed it in its zone, where that is another one.
    placed: Option<Placed>,
    is_waiting: bool,
    is_over: bool,
}

/// A trigger: what goes wrong for a while.
#[derive(Debug, Clone, Copy)]
pub struct Trigger {
    /// From when on, in milliseconds.
    pub from: f64,
    /// Until when.
    pub until: f64,
    /// Times as many requests as else.
    pub burst: f64,
    /// Share of the engines that end at its begin and begin at its end.
    pub engines_lost: f64,
    /// True where all gateways begin anew at its end.
    pub restarts: bool,
}

/// What an engine held above its slots at worst.
#[derive(Debug, Clone, Copy, Default)]
pub struct Worst {
    /// Requests above the slots, of which the engine had only this many.
    pub above_slots: usize,
    /// Requests refused while fewer than half the slots of the engines were taken and none waited.
    pub refused_free: usize,
}

/// A try of a caller at a gateway.
#[derive(Debug, Clone, Copy)]
pub struct Try {
    /// When it ended: sent to an engine or refused.
    pub at: f64,
    /// Gateway.
    pub gateway: usize,
    /// True where the gateway refused it.
    pub is_refused: bool,
    /// True where it was sent with a grant.
    pub is_granted: bool,
}

/// The first event of an attempt.
#[derive(Debug, Clone, Copy)]
pub struct FirstEvent {
    /// When the attempt was sent.
    pub sent_at: f64,
    /// Gateway that sent it.
    pub gateway: usize,
    /// Engine that ran it.
    pub engine: usize,
    /// Predicted milliseconds to the first event.
    pub predicted: f64,
    /// True where it was sent with a grant.
    pub is_granted: bool,
    /// Actual ones.
    pub actual: f64,
}

/// The model.
#[derive(Debug)]
pub struct World {
    deployment: Deployment,
    draw: Draw,
    /// Separate from `draw`, so that accounts do not change what else is drawn from a seed.
    account_draw: Draw,
    now: f64,
    count: u64,
    events: BinaryHeap<Reverse<Timed>>,
    engines: Vec<Engine>,
    backlogs: Vec<Backlog>,
    gateways: Vec<Gateway>,
    attempts: Vec<Attempt>,
    /// Callers, in the order in which they came first.
    pub callers: Vec<Caller>,
    /// Load, as a part of the capacity.
    load: f64,
    trigger: Option<Trigger>,
    incidents: Vec<Incident>,
    conditions: Conditions,
    /// Tries of callers at gateways, in their order.
    pub tries: Vec<Try>,
    /// First events beside their predictions.
    pub first_events: Vec<FirstEvent>,
    /// What was worst.
    pub worst: Worst,
}

impl World {
    /// Plays a deployment at `load`, from empty engines on, until `until` milliseconds.
    pub fn play(deployment: &Deployment, load: f64, trigger: Option<Trigger>, until: f64) -> Self {
        Self::play_with(deployment, load, trigger, Vec::new(), until)
    }

    /// The same with incidents of zones and gateways.
    pub fn play_with(
        deployment: &Deployment,
        load: f64,
        trigger: Option<Trigger>,
        incidents: Vec<Incident>,
        until: f64,
    ) -> Self {
        let engine = Engine::new(deployment.model.clone(), deployment.queue);
        let lives = vec![Some(0); deployment.engines];
        let gateway = |index| {
            Gateway::new(
                index,
                deployment,
                &lives,
                0,
                Instant::from_millis(EPOCH_MILLIS),
            )
        };
        let mut world = Self {
            draw: Draw::new(deployment.seed),
            account_draw: Draw::new(!deployment.seed),
            now: 0.0,
            count: 0,
            events: BinaryHeap::new(),
            engines: vec![engine; deployment.engines],
            backlogs: vec![Backlog::default(); deployment.engines],
            gateways: (0..deployment.gateways).map(gateway).collect(),
            attempts: Vec::new(),
            callers: Vec::new(),
            load,
            trigger,
            incidents,
            conditions: Conditions::new(deployment),
            tries: Vec::new(),
            first_events: Vec::new(),
            worst: Worst::default(),
            deployment: deployment.clone(),
        };
        world.begin();
        while let Some(Reverse(Timed(at, _, event))) = world.events.pop() {
            world.now = at as f64 / 1_000.0;
            if world.now > until {
                break;
            }
            world.handle(event);
        }
        world
    }

    fn begin(&mut self) {
        for gateway in 0..self.gateways.len() {
            self.after(0.0, Event::Arrival(gateway));
            if self.deployment.zoning.is_some() {
                continue;
            }
            for engine in 0..self.engines.len() {
                let phase = self.draw.between(0.0, 50.0);
                self.after(phase, Event::Tell { engine, gateway });
            }
        }
        if self.deployment.zoning.is_some() {
            self.begin_zones();
        }
        self.begin_incidents();
        if let Some(trigger) = self.trigger {
            let lost = 0..(self.engines.len() as f64 * trigger.engines_lost) as usize;
            let ends = Event::Switch {
                engines: lost.clone(),
                is_up: false,
            };
            self.after(trigger.from, ends);
            self.after(
                trigger.until,
                Event::Switch {
                    engines: lost,
                    is_up: true,
                },
            );
            if trigger.restarts {
                self.after(trigger.until, Event::Restart);
            }
        }
    }

    fn after(&mut self, millis: f64, event: Event) {
        let at = ((self.now + millis.max(0.0)) * 1_000.0) as u64;
        self.count += 1;
        self.events.push(Reverse(Timed(at, self.count, event)));
    }

    const fn instant(&self) -> Instant {
        Instant::from_millis(EPOCH_MILLIS + self.now as u64)
    }

    fn handle(&mut self, event: Event) {
        if let Some(until) = self.frozen_until(&event) {
            // Event times are whole microseconds, so an exact pause may end just before.
            return self.after(until - self.now + 0.01, event);
        }
        match event {
            Event::Arrival(gateway) => self.arrive(gateway),
            Event::Try(caller) => self.attempt_first(caller),
            Event::Again(caller) => self.send(caller, true),
            Event::Leave(caller) => self.leave(caller),
            Event::Reach(attempt) => self.reach(attempt),
            Event::Cancel(attempt) => {
                let Attempt {
                    engine,
                    engine_life,
                    ..
                } = self.attempts[attempt];
                if self.engines[engine].life == engine_life {
                    self.engines[engine].cancel(attempt);
                }
            }
            Event::Pass { engine, life } => self.pass(engine, life),
            Event::Word(attempt, word) => self.hear_word(attempt, word),
            Event::Patience(attempt) => self.look(attempt),
            Event::Tell { engine, gateway } => self.tell(engine, gateway),
            Event::Hear {
                gateway,
                of,
                report,
                at,
            } => self.hear(gateway, of, *report, at),
            Event::Switch { engines, is_up } => {
                engines.for_each(|engine| self.switch(engine, is_up))
            }
            Event::List {
                engine,
                life,
                is_up,
            } => self.list(engine, life, is_up),
            Event::Restart => self.restart(),
            Event::TellZone(engine) => self.tell_zone(engine),
            Event::Poll(gateway) => self.poll(gateway),
            Event::HearDemand {
                gateway,
                from,
                services,
                sent_at,
            } => self.hear_demand(gateway, from, services, sent_at),
            Event::HearDigest { gateway, digest } => self.hear_digest(gateway, &digest),
            Event::Incident { index, is_begin } => self.change(index, is_begin),
        }
    }

    fn is_triggered(&self) -> bool {
        self.trigger
            .is_some_and(|trigger| (trigger.from..trigger.until).contains(&self.now))
    }

    fn begin_pass(&mut self, engine: usize) {
        let life = self.engines[engine].life;
        if let Some(millis) = self.engines[engine].begin_pass() {
            self.after(millis, Event::Pass { engine, life });
        }
    }

    fn pass(&mut self, engine: usize, life: u32) {
        if self.engines[engine].life != life || !self.engines[engine].is_up {
            return;
        }
        for brought in self.engines[engine].end_pass(self.now) {
            let (attempt, word) = match brought {
                Brought::First(attempt) => (attempt, Word::First),
                Brought::Last(attempt) => (attempt, Word::Last),
                Brought::TimedOut(attempt) => (attempt, Word::TimedOut),
            };
            let way = self.way(attempt);
            self.after(way, Event::Word(attempt, word));
        }
        self.begin_pass(engine);
    }

    fn tell(&mut self, engine: usize, gateway: usize) {
        let deployment = &self.deployment;
        let way = deployment.way_millis(gateway, engine);
        let is_near = deployment.is_near(gateway, engine);
        let every = match is_near {
            true => deployment.report_every_millis,
            false => deployment.far_report_every_millis,
        };
        self.after(every as f64, Event::Tell { engine, gateway });
        let there = &self.engines[engine];
        if !there.is_up {
            return;
        }
        let mut report = there.report();
        let of = ReportOf {
            engine,
            life: there.life,
            is_direct: is_near || every <= 250,
        };
        let now = self.instant();
        // Its machine asks it as often as the nearest gateway is told.
        report.pending_prompt_tokens =
            self.backlogs[engine].update(&report, &self.deployment.model, now);
        let report = Box::new(report);
        let at = self.now;
        self.after(
            way,
            Event::Hear {
                gateway,
                of,
                report,
                at,
            },
        );
    }

    fn hear(&mut self, gateway: usize, of: ReportOf, report: Report, at: f64) {
        let as_of = if of.is_direct { self.now } else { at };
        let as_of = Instant::from_millis(EPOCH_MILLIS + as_of as u64);
        let count = self.gateways.len();
        self.gateways[gateway].note_report(of, report, count, as_of);
    }

    fn switch(&mut self, engine: usize, is_up: bool) {
        let jobs: Vec<usize> = {
            let there = &self.engines[engine];
            there
                .queue
                .iter()
                .chain(&there.running)
                .map(|job| job.attempt)
                .collect()
        };
        for attempt in jobs {
            let way = self.way(attempt);
            self.after(way, Event::Word(attempt, Word::Broken));
        }
        self.engines[engine].switch(is_up);
        self.backlogs[engine] = Backlog::default();
        let life = self.engines[engine].life;
        self.after(
            LIST_MILLIS,
            Event::List {
                engine,
                life,
                is_up,
            },
        );
    }

    fn list(&mut self, engine: usize, life: u32, is_up: bool) {
        for gateway in &mut self.gateways {
            match is_up {
                true => gateway.list(&self.deployment, engine, life),
                false => gateway.unlist(engine, life),
            }
        }
    }

    fn restart(&mut self) {
        let all: Vec<usize> = (0..self.gateways.len()).collect();
        self.restart_gateways(&all);
    }
}
