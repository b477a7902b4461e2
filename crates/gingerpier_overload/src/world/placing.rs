//! Requests that go to engines of another zone with its consent: by grants, or where a gateway there places them.

use {
    super::{Placed, World},
    crate::{
        gateway::Ask,
        zoning::{ASKED_ABOVE, ASKED_FOR_MILLIS, Asked},
    },
    gingerpier_admission::{
        prediction::Components,
        selection::{Choice, Refusal},
        sharing::demand::Shortfall,
    },
};

impl World {
    /// Chooses an engine for a caller's try, in another zone with that zone's consent where that is the rule. True where
    /// it has that consent.
    pub(super) fn choose_or_grant(&mut self, index: usize) -> (Choice, bool, Option<Placed>) {
        let policy = self.policy();
        let chosen = self.choose(index);
        match (policy.asked, policy.grants, chosen) {
            (Some(asked), ..) => self.choose_or_ask(index, chosen, asked),
            (None, true, Choice::Full(_)) => match self.choose_granted(index) {
                Some(choice) => (choice, true, None),
                None => (chosen, false, None),
            },
            _ => (chosen, false, None),
        }
    }

    /// An engine of a zone that grants requests to the gateway's zone; counts the shortfall.
    fn choose_granted(&mut self, index: usize) -> Option<Choice> {
        let placement = self.policy().placement;
        let now = self.instant();
        let draw = self.draw.number();
        let gateway = self.callers[index].gateway;
        let sharing = self.gateways[gateway].sharing.as_mut()?;
        let zones = sharing.granting(draw, now);
        let ask = self.ask(index, draw);
        let there = &self.gateways[gateway];
        let granted = zones.into_iter().find_map(|zone| {
            let choice = there.choose_granted(&ask, &zone, placement, now)?;
            Some((zone, choice))
        });
        let sharing = self.gateways[gateway].sharing.as_mut()?;
        let Some((zone, choice)) = granted else {
            sharing.note_shortfall(Shortfall::Refused, now);
            return None;
        };
        sharing.take(&zone, now);
        sharing.note_shortfall(Shortfall::Granted, now);
        Some(choice)
    }

    /// Lets a gateway of another zone choose an engine there, where none of the own zone is best; of the own zone first
    /// where one gateway places all requests of a zone.
    fn choose_or_ask(
        &mut self,
        index: usize,
        chosen: Choice,
        asked: Asked,
    ) -> (Choice, bool, Option<Placed>) {
        let gateway = self.callers[index].gateway;
        let own = self.deployment.zone_of_gateway(gateway);
        let best = match chosen {
            Choice::Send { engine, .. } => {
                let (engine, _) = self.gateways[gateway].place_of(engine);
                Some(self.deployment.zone_of_engine(engine))
            }
            _ => None,
        };
        let is_direct = best == Some(own) && self.is_direct(index, chosen, asked);
        if is_direct || chosen == Choice::NoEngine {
            return (chosen, false, None);
        }
        let zones = self.deployment.zones;
        let begin = self.draw.number() as usize % zones;
        let mut order: Vec<usize> = (0..zones).map(|step| (begin + step) % zones).collect();
        // Digests are too old to tell which of the other zones is less loaded.
        order.sort_by_key(|zone| *zone != own);
        for zone in order {
            let is_asked = zone != own || asked != Asked::Any;
            if is_asked && let Some((choice, placed)) = self.ask_zone(index, zone, asked) {
                return (choice, true, Some(placed));
            }
        }
        let full = match chosen {
            // Newer reports say otherwise.
            Choice::Send { own_millis, .. } => Choice::Full(Refusal {
                bound_millis: 0.0,
                components: Components {
                    own_prompt_millis: own_millis,
                    ..Components::default()
                },
                overdue_millis: 0.0,
                error_millis: 0.0,
            }),
            other => other,
        };
        (full, false, None)
    }

    /// True where a gateway sends a request to an engine of its own zone without asking.
    fn is_direct(&self, index: usize, chosen: Choice, asked: Asked) -> bool {
        let caller = &self.callers[index];
        let zone = self.deployment.zone_of_gateway(caller.gateway);
        match (asked, chosen) {
            (Asked::Any, _) => true,
            (
                Asked::FirstInShortage,
                Choice::Send {
                    predicted_millis, ..
                },
            ) => {
                let target = self.deployment.target_of(caller.kind);
                self.now >= self.conditions.placed_until[zone]
                    && predicted_millis <= ASKED_ABOVE * target
            }
            _ => false,
        }
    }

    fn ask_zone(&mut self, index: usize, zone: usize, asked: Asked) -> Option<(Choice, Placed)> {
        let own = self.callers[index].gateway;
        let own_zone = self.deployment.zone_of_gateway(own);
        let is_cut_off = zone != own_zone
            && (self.conditions.partitioned[zone] || self.conditions.partitioned[own_zone]);
        if self.conditions.evacuated[zone] || is_cut_off {
            return None;
        }
        let now = self.instant();
        let candidates = match asked {
            Asked::Any => self.gateways_of(zone),
            Asked::First | Asked::FirstInShortage => {
                self.senders(zone).into_iter().take(1).collect()
            }
        };
        let draw = self.draw.number();
        let placer = candidates[draw.checked_rem(candidates.len() as u64)? as usize];
        if self.conditions.frozen_until[placer] > self.now || self.conditions.is_down[placer] {
            return None;
        }
        let tried = self.callers[index].tried.iter();
        let tried: Vec<(usize, u32)> = tried.map(|key| self.gateways[own].place_of(*key)).collect();
        let question_millis = 2.0 * self.zone_way_millis(own_zone, zone);
        let deployment = self.deployment.clone();
        let caller = &self.callers[index];
        let ask = Ask {
            deployment: &deployment,
            target_millis: (deployment.target_of(caller.kind) - question_millis) as u64,
            prompt: caller.prompt,
            visit: caller.visit,
            tried: &[],
            draw,
        };
        let placed =
            self.gateways[placer].place(&ask, &tried, (asked != Asked::Any, placer != own), now);
        if zone != own_zone || !matches!(placed, Choice::Send { .. }) {
            self.conditions.placed_until[zone] = self.now + ASKED_FOR_MILLIS;
        }
        let Choice::Send {
            engine,
            predicted_millis,
            own_millis,
        } = placed
        else {
            return None;
        };
        let place = self.gateways[placer].place_of(engine);
        let placed = Placed {
            gateway: placer,
            gateway_life: self.gateways[placer].life,
            key: engine,
        };
        let engine = self.gateways[own].key_of(place)?;
        let choice = Choice::Send {
            engine,
            predicted_millis: predicted_millis + question_millis,
            own_millis,
        };
        Some((choice, placed))
    }

    /// Tells the gateway that placed an attempt of its first event or its end.
    pub(super) fn tell_placer(&mut self, attempt: usize, is_end: bool) {
        let known = self.attempts[attempt];
        let Some(placed) = known.placed else { return };
        let there = &mut self.gateways[placed.gateway];
        if there.life != placed.gateway_life {
            return;
        }
        let prompt = self.callers[known.caller].prompt;
        let engine = there.engine_mut(placed.key);
        match is_end {
            true => engine.record_end(prompt, known.is_waiting),
            false => {
                engine.record_first_event(prompt);
                engine.record_lateness(self.now - known.sent_at - known.predicted);
            }
        }
    }

    fn zone_way_millis(&self, one: usize, other: usize) -> f64 {
        match one == other {
            true => self.deployment.near_millis,
            false => self.deployment.far_millis,
        }
    }

    /// Milliseconds until a gateway that asks for an engine's place has the answer; 0 with grants.
    pub(super) fn question_millis(&self, gateway: usize, engine: usize) -> f64 {
        match self.policy().asked {
            Some(_) => 2.0 * self.deployment.way_millis(gateway, engine),
            None => 0.0,
        }
    }
}
