//! Incidents: what they change in zones and gateways.

use {
    super::{Event, Word, World},
    crate::{callers::Outcome, deployment::Deployment, gateway::Gateway, incident::What},
};

/// Milliseconds after which a gateway gives up an engine that it can't reach.
pub(super) const CONNECT_TIMEOUT_MILLIS: f64 = 300.0;

/// State of zones and gateways that incidents change.
#[derive(Debug, Clone, Default)]
pub(super) struct Conditions {
    /// Zones whose engines get no new requests.
    pub(super) evacuated: Vec<bool>,
    /// Zones that exchange nothing with the others.
    pub(super) partitioned: Vec<bool>,
    /// Gateways that aren't there.
    pub(super) is_down: Vec<bool>,
    /// Since when each gateway is down or doesn't run; none while it runs.
    pub(super) silent_since: Vec<Option<f64>>,
    /// Until when each gateway doesn't run.
    pub(super) frozen_until: Vec<f64>,
    /// Until when one gateway places all requests of each zone.
    pub(super) placed_until: Vec<f64>,
    /// Multiple of each kind's usual number of requests.
    pub(super) kind_factors: Vec<f64>,
}

impl Conditions {
    pub(super) fn new(deployment: &Deployment) -> Self {
        Self {
            evacuated: vec![false; deployment.zones],
            partitioned: vec![false; deployment.zones],
            is_down: vec![false; deployment.gateways],
            silent_since: vec![None; deployment.gateways],
            frozen_until: vec![0.0; deployment.gateways],
            placed_until: vec![0.0; deployment.zones],
            kind_factors: vec![1.0; deployment.kinds.len()],
        }
    }
}

impl World {
    pub(super) fn begin_incidents(&mut self) {
        for (index, incident) in self.incidents.clone().into_iter().enumerate() {
            let begin = Event::Incident {
                index,
                is_begin: true,
            };
            let end = Event::Incident {
                index,
                is_begin: false,
            };
            self.after(incident.from, begin);
            self.after(incident.until, end);
        }
    }

    pub(super) fn change(&mut self, index: usize, is_begin: bool) {
        let incident = self.incidents[index];
        match incident.what {
            What::Evacuated(zone) => {
                self.conditions.evacuated[zone] = is_begin;
                let now = self.instant();
                for gateway in &mut self.gateways {
                    gateway.set_evacuated(zone, is_begin, now);
                }
            }
            What::ZoneLost(zone) => self.lose_zone(zone, is_begin),
            What::Partitioned(zone) => self.partition(zone, is_begin),
            What::GatewayKilled(gateway) => self.switch_gateway(gateway, !is_begin),
            What::GatewayFrozen(gateway) if is_begin => {
                self.conditions.frozen_until[gateway] = incident.until;
                self.conditions.silent_since[gateway] = Some(self.now);
            }
            What::GatewayFrozen(gateway) => self.conditions.silent_since[gateway] = None,
            What::Restarted if is_begin => self.restart(),
            What::Restarted => {}
            What::Burst { kind, factor } => {
                self.conditions.kind_factors[kind] = match is_begin {
                    true => factor,
                    false => 1.0,
                };
            }
        }
    }

    fn lose_zone(&mut self, zone: usize, is_begin: bool) {
        let zoning = self.deployment.zoning.clone().expect("a zoned deployment");
        for engine in zoning.engines_of(zone) {
            self.switch(engine, !is_begin);
        }
        for gateway in zoning.gateways_of(zone) {
            self.switch_gateway(gateway, !is_begin);
        }
    }

    fn partition(&mut self, zone: usize, is_begin: bool) {
        self.conditions.partitioned[zone] = is_begin;
        if !is_begin {
            return;
        }
        for attempt in 0..self.attempts.len() {
            if self.open(attempt).is_some() && self.is_cut_off(attempt) {
                let broken = Event::Word(attempt, Word::Broken);
                self.after(CONNECT_TIMEOUT_MILLIS, broken);
                self.after(CONNECT_TIMEOUT_MILLIS, Event::Cancel(attempt));
            }
        }
    }

    /// True where an attempt's gateway and engine can't reach each other.
    pub(super) fn is_cut_off(&self, attempt: usize) -> bool {
        let attempt = self.attempts[attempt];
        let zone = self.deployment.zone_of_gateway(attempt.gateway);
        let other = self.deployment.zone_of_engine(attempt.engine);
        let partitioned = &self.conditions.partitioned;
        zone != other && (partitioned[zone] || partitioned[other])
    }

    fn switch_gateway(&mut self, gateway: usize, is_up: bool) {
        self.conditions.is_down[gateway] = !is_up;
        self.conditions.silent_since[gateway] = (!is_up).then_some(self.now);
        self.restart_gateways(&[gateway]);
    }

    /// Gateways begin without knowledge; their callers come again.
    pub(super) fn restart_gateways(&mut self, gateways: &[usize]) {
        for attempt in 0..self.attempts.len() {
            let Some(known) = self.open(attempt) else {
                continue;
            };
            if !gateways.contains(&known.gateway) {
                continue;
            }
            self.tell_placer(attempt, true);
            self.attempts[attempt].is_over = true;
            let way = self.way(attempt);
            self.after(way, Event::Cancel(attempt));
            let caller = &mut self.callers[known.caller];
            caller.attempt = None;
            match caller.tries {
                1 => self.after(20.0, Event::Try(known.caller)),
                _ => caller.outcome = Outcome::Lost,
            }
        }
        let lives = self.engines.iter();
        let lives: Vec<Option<u32>> = lives
            .map(|engine| engine.is_up.then_some(engine.life))
            .collect();
        let now = self.instant();
        for gateway in gateways {
            let life = self.gateways[*gateway].life + 1;
            let mut renewed = Gateway::new(*gateway, &self.deployment, &lives, life, now);
            for (zone, is_evacuated) in self.conditions.evacuated.iter().enumerate() {
                if *is_evacuated {
                    renewed.set_evacuated(zone, true, now);
                }
            }
            self.gateways[*gateway] = renewed;
        }
    }

    /// The gateway that a caller comes to instead of one that is down or frozen: one of its zone, else any.
    pub(super) fn accepting(&mut self, gateway: usize) -> Option<usize> {
        let accepts = |gateway: &usize| {
            let frozen_until = self.conditions.frozen_until[*gateway];
            !self.conditions.is_down[*gateway] && frozen_until <= self.now
        };
        if accepts(&gateway) {
            return Some(gateway);
        }
        let zone = self.deployment.zone_of_gateway(gateway);
        let all: Vec<usize> = (0..self.gateways.len()).filter(accepts).collect();
        let is_own = |one: &usize| self.deployment.zone_of_gateway(*one) == zone;
        let own: Vec<usize> = all.iter().copied().filter(is_own).collect();
        let candidates = if own.is_empty() { all } else { own };
        let index = self.draw.number().checked_rem(candidates.len() as u64)?;
        Some(candidates[index as usize])
    }

    /// Until when an event waits, as its gateway's process doesn't run.
    pub(super) fn frozen_until(&self, event: &Event) -> Option<f64> {
        let gateway = match event {
            Event::Word(attempt, _) | Event::Patience(attempt) => self.attempts[*attempt].gateway,
            Event::Hear { gateway, .. }
            | Event::HearDigest { gateway, .. }
            | Event::HearDemand { gateway, .. }
            | Event::Poll(gateway) => *gateway,
            _ => return None,
        };
        let until = self.conditions.frozen_until[gateway];
        (until > self.now).then_some(until)
    }
}
