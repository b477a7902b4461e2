//! Requests that go to engines of another zone with its consent: by grants, or where a gateway there places them.

use {
    super::World,
    crate::{gateway::Ask, zoning::Asked},
    gingerpier_admission::{
        prediction::Components,
        selection::{Choice, Refusal},
        sharing::demand::Shortfall,
    },
};

impl World {
    /// Chooses an engine for a caller's try, in another zone with that zone's consent where that is the rule. True where
    /// it has that consent.
    pub(super) fn choose_or_grant(&mut self, index: usize) -> (Choice, bool) {
        let policy = self.policy();
        let chosen = self.choose(index);
        match (policy.asked, policy.grants, chosen) {
            (Some(asked), ..) => self.choose_or_ask(index, chosen, asked),
            (None, true, Choice::Full(_)) => match self.choose_granted(index) {
                Some(choice) => (choice, true),
                None => (chosen, false),
            },
            _ => (chosen, false),
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
    fn choose_or_ask(&mut self, index: usize, chosen: Choice, asked: Asked) -> (Choice, bool) {
        let gateway = self.callers[index].gateway;
        let own = self.deployment.zone_of_gateway(gateway);
        let best = match chosen {
            Choice::Send { engine, .. } => {
                let (engine, _) = self.gateways[gateway].place_of(engine);
                Some(self.deployment.zone_of_engine(engine))
            }
            _ => None,
        };
        if asked == Asked::Any && best == Some(own) || chosen == Choice::NoEngine {
            return (chosen, false);
        }
        let zones = self.deployment.zones;
        let begin = self.draw.number() as usize % zones;
        let mut order: Vec<usize> = (0..zones).map(|step| (begin + step) % zones).collect();
        order.sort_by_key(|zone| Some(*zone) != best);
        for zone in order {
            let is_asked = zone != own || asked == Asked::First;
            if is_asked && let Some(choice) = self.ask_zone(index, zone, asked) {
                return (choice, true);
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
        (full, false)
    }

    fn ask_zone(&mut self, index: usize, zone: usize, asked: Asked) -> Option<Choice> {
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
            Asked::First => self.senders(zone).into_iter().take(1).collect(),
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
        let placed = self.gateways[placer].place(&ask, &tried, asked == Asked::First, now);
        let Choice::Send {
            engine,
            predicted_millis,
            own_millis,
        } = placed
        else {
            return None;
        };
        let place = self.gateways[placer].place_of(engine);
        let engine = self.gateways[own].key_of(place)?;
        Some(Choice::Send {
            engine,
            predicted_millis: predicted_millis + question_millis,
            own_millis,
        })
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
