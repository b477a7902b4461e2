//! Random schedules of the specification `spec/at_most_once.pml` on the real state machines: two
//! entry boxes, a door that restarts, frames that are doubled, late and lost.

use {
    gingerpier_base::{Instant, place::Incarnation},
    gingerpier_once::{
        Claims, Course, Door, Ticket,
        claims::{Settlement, Verdict},
        course::{Action, Event, Repetition},
        door::{Admission, AttemptKey, Refusal, Revocation},
    },
    proptest::prelude::*,
};

const NOW: Instant = Instant::from_millis(1_000);

/// A copy of an attempt under way.
#[derive(Clone, Copy)]
struct Copy {
    holder: usize,
    key: AttemptKey,
    addressed: Incarnation,
}

struct Holder {
    entry: Incarnation,
    grant: Option<u32>,
    course: Course,
    attempts: u64,
    addressed: Incarnation,
    told_not_run: bool,
    over: bool,
}

struct World {
    claims: Claims,
    ticket: Ticket,
    door: Door,
    holders: Vec<Holder>,
    network: Vec<Copy>,
    /// Holders whose attempts ran.
    runs: Vec<usize>,
    /// Attempts that ran, by key.
    ran: Vec<AttemptKey>,
}

impl World {
    fn new() -> Self {
        let mut claims = Claims::new(Incarnation(100), 7, 600_000);
        let ticket = claims.issue(NOW);
        let holder = |entry| Holder {
            entry: Incarnation(entry),
            grant: None,
            course: Course::new(Repetition::Forbidden, NOW.after_millis(60_000), 3, true),
            attempts: 0,
            addressed: Incarnation(1),
            told_not_run: false,
            over: false,
        };
        Self {
            claims,
            ticket,
            door: Door::new(Incarnation(1), 600_000),
            holders: vec![holder(100), holder(101)],
            network: Vec::new(),
            runs: Vec::new(),
            ran: Vec::new(),
        }
    }

    fn begin(&mut self, index: usize) {
        let entry = self.holders[index].entry;
        match self.claims.claim(self.ticket, entry, NOW) {
            Verdict::Granted(grant) => {
                self.holders[index].grant = Some(grant);
                self.event(index, Event::Chosen, true);
            }
            _ => self.holders[index].over = true,
        }
    }

    fn event(&mut self, index: usize, event: Event, doubled: bool) {
        let holder = &mut self.holders[index];
        holder.attempts += 1;
        let key = AttemptKey {
            entry: holder.entry,
            number: holder.attempts,
        };
        let actions = holder.course.step(event, key, NOW);
        for action in actions.into_iter().flatten() {
            self.act(index, action, doubled);
        }
    }

    fn act(&mut self, index: usize, action: Action, doubled: bool) {
        match action {
            Action::Choose | Action::Resume => self.event(index, Event::Chosen, doubled),
            Action::Send(key) => {
                let addressed = self.door.incarnation();
                self.holders[index].addressed = addressed;
                let copy = Copy {
                    holder: index,
                    key,
                    addressed,
                };
                self.network
                    .extend(std::iter::repeat_n(copy, 1 + usize::from(doubled)));
            }
            Action::Revoke(key) => {
                let addressed = self.holders[index].addressed;
                let revoked = self.door.revoke(key, addressed, NOW);
                self.event(index, Event::Revoked(revoked), doubled);
            }
            Action::SayNotRun(_) => {
                self.holders[index].told_not_run = true;
                self.end(index, Settlement::NotRun);
            }
            Action::SayUnknown(_) | Action::BreakOff(_) => self.end(index, Settlement::Unknown),
            Action::Done => self.end(index, Settlement::Answered),
        }
    }

    fn end(&mut self, index: usize, settlement: Settlement) {
        self.holders[index].over = true;
        if let Some(grant) = self.holders[index].grant {
            self.claims.settle(self.ticket, grant, settlement);
        }
    }

    /// Delivers a copy; the holder hears of a refusal only where its answer is not lost.
    fn deliver(&mut self, place: usize, ready: bool, heard: bool) {
        if self.network.is_empty() {
            return;
        }
        let copy = self.network.swap_remove(place % self.network.len());
        let ready = if ready { Ok(()) } else { Err(Refusal::Full) };
        match self.door.admit(copy.key, copy.addressed, ready, NOW) {
            Admission::Start => {
                self.runs.push(copy.holder);
                self.ran.push(copy.key);
            }
            Admission::Refuse(refusal) => {
                let current = self.holders[copy.holder].course.attempt() == Some(copy.key);
                if heard && current {
                    self.event(copy.holder, Event::Refused(refusal), false);
                }
            }
            Admission::Duplicate => {}
        }
    }

    fn restart_door(&mut self) {
        let next = Incarnation(self.door.incarnation().0 + 1);
        self.door = Door::new(next, 600_000);
    }

    fn check(&self) {
        assert!(self.runs.len() <= 1, "it ran {} times", self.runs.len());
        for holder in &self.runs {
            assert!(
                !self.holders[*holder].told_not_run,
                "it ran, and was told not to have run"
            );
        }
    }
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(4_000))]

    #[test]
    fn nothing_runs_twice_and_not_run_is_true(
        steps in prop::collection::vec((0..7u8, any::<u8>(), any::<bool>(), any::<bool>()), 1..40),
    ) {
        let mut world = World::new();
        for (step, place, one, other) in steps {
            let index = usize::from(one);
            let started = world.holders[index].grant.is_some();
            match step {
                0 if !started && !world.holders[index].over => world.begin(index),
                1..=3 => world.deliver(usize::from(place), one, other),
                4 => world.restart_door(),
                5 if started => world.event(index, Event::LinkLost, other),
                6 if started => world.event(index, Event::CallerGone, other),
                _ => {}
            }
            world.check();
        }
        while !world.network.is_empty() {
            world.deliver(0, true, true);
            world.check();
        }
    }
}

#[test]
fn a_later_run_of_the_door_proves_nothing_about_the_earlier() {
    let mut world = World::new();
    world.begin(0);
    let copy = world.network[0];
    world.network.push(copy);
    world.deliver(0, true, true);
    world.restart_door();
    world.deliver(0, true, true);
    assert!(world.holders[0].over && !world.holders[0].told_not_run);
    world.check();
}

#[test]
fn forgetting_never_lets_a_late_copy_in() {
    let mut door = Door::new(Incarnation(1), 10);
    let key = |number| AttemptKey {
        entry: Incarnation(9),
        number,
    };
    assert_eq!(
        door.admit(key(5), Incarnation(1), Ok(()), NOW),
        Admission::Start
    );
    door.end(key(5), NOW);
    door.sweep(NOW.after_millis(20));
    assert_eq!(door.remembered(), 0);
    for number in [5, 4] {
        let late = door.admit(key(number), Incarnation(1), Ok(()), NOW.after_millis(30));
        assert_eq!(late, Admission::Refuse(Refusal::Stale));
    }
    assert_eq!(
        door.revoke(key(5), Incarnation(1), NOW),
        Revocation::Unknown
    );
}
