//! Deployments that the model plays: one that is like a real one, and any number that are drawn.

use {
    crate::{
        accounts::Accounts,
        draw::Draw,
        zoning::{self, Zoning},
    },
    gingerpier_admission::{prediction, shedding::ReturnPolicy},
    gingerpier_serving::configuration::EngineModel,
};

/// Most times that a prompt or an answer is larger than the mean one.
const LARGEST: f64 = 3.0;

/// Worth of an answer in time for a caller that had been refused before, where one at the first try is worth 1.
pub const RETURNED_WORTH: f64 = 0.65;

/// A kind of request.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Kind {
    /// Share of the requests.
    pub share: f64,
    /// Its target, as a part of the deployment's.
    pub target: f64,
    /// Its mean prompt, as a part of the usual one.
    pub prompt: f64,
    /// Its mean answer, as a part of the usual one.
    pub answer: f64,
    /// Priority; 0 is the most urgent.
    pub rank: u8,
    /// Worth of a request in time; by its size where none is given.
    pub value: Option<f64>,
}

/// The only kind of a deployment that has one.
pub const ONE_KIND: Kind = Kind {
    share: 1.0,
    target: 1.0,
    prompt: 1.0,
    answer: 1.0,
    rank: 0,
    value: None,
};

/// Long ones, ones with a narrower target, short ones with that target, and a few of an account that sends only large ones.
const KINDS: [Kind; 4] = [
    Kind {
        share: 0.38,
        target: 1.0,
        prompt: 1.3,
        answer: 1.0,
        rank: 0,
        value: None,
    },
    Kind {
        share: 0.29,
        target: 0.8,
        prompt: 0.8,
        answer: 1.0,
        rank: 0,
        value: None,
    },
    Kind {
        share: 0.28,
        target: 0.8,
        prompt: 0.6,
        answer: 1.0,
        rank: 0,
        value: None,
    },
    Kind {
        share: 0.05,
        target: 1.0,
        prompt: 2.0,
        answer: 1.0,
        rank: 0,
        value: None,
    },
];

/// A deployment.
#[derive(Debug, Clone)]
pub struct Deployment {
    /// Seed of all that is drawn while it is played.
    pub seed: u64,
    /// How its engines work.
    pub model: EngineModel,
    /// Engines.
    pub engines: usize,
    /// Gateways.
    pub gateways: usize,
    /// Zones; engines and gateways are in them by turns.
    pub zones: usize,
    /// Kinds of its requests.
    pub kinds: Vec<Kind>,
    /// Client accounts of its requests.
    pub accounts: Accounts,
    /// True if gateways share the capacity between client accounts.
    pub shares_between_accounts: bool,
    /// Requests that an engine lets wait.
    pub queue: usize,
    /// Milliseconds within which a first event has its full worth.
    pub target_millis: u64,
    /// Milliseconds between two reports of an engine to a gateway of its zone.
    pub report_every_millis: u64,
    /// The same to a gateway of another zone.
    pub far_report_every_millis: u64,
    /// Milliseconds of the way within a zone.
    pub near_millis: f64,
    /// Milliseconds of the way to another zone.
    pub far_millis: f64,
    /// Share of the callers that come back at once where they were refused.
    pub impatient_share: f64,
    /// How its gateways treat callers that come back.
    pub way: ReturnPolicy,
    /// Milliseconds for which a gateway holds a caller whom all engines are too full for, before it refuses it; 0 for
    /// none.
    pub hold_millis: f64,
    /// Worth of an answer in time for those.
    pub returned_worth: f64,
    /// Uneven zones that exchange digests; zones take turns, and all gateways hear from all engines, where there is
    /// none.
    pub zoning: Option<Zoning>,
}

impl Deployment {
    /// Twelve engines and six gateways in three zones.
    pub fn usual(seed: u64) -> Self {
        Self {
            seed,
            model: EngineModel {
                slots: 16,
                stride: 5,
                step_millis: 9.27,
                per_request_millis: 0.0232,
                per_thousand_tokens_millis: 0.0322,
                prompt_tokens_per_milli: 20.7,
                max_prompt_tokens_per_pass: Some(2_048),
                mean_prompt_tokens: 979,
                mean_answer_tokens: 92,
                memory_tokens: 317_000,
                models: vec![crate::MODEL.to_owned()],
            },
            engines: 12,
            gateways: 6,
            zones: 3,
            kinds: vec![ONE_KIND],
            accounts: Accounts::default(),
            shares_between_accounts: false,
            queue: 32,
            target_millis: 500,
            report_every_millis: 50,
            far_report_every_millis: 250,
            near_millis: 1.0,
            far_millis: 8.0,
            impatient_share: 0.1,
            way: ReturnPolicy::default(),
            hold_millis: 0.0,
            returned_worth: RETURNED_WORTH,
            zoning: None,
        }
    }

    /// The same with requests of several kinds.
    pub fn mixed(seed: u64) -> Self {
        Self {
            kinds: KINDS.to_vec(),
            ..Self::usual(seed)
        }
    }

    /// Which kind the next request is of, with the kinds' shares multiplied by `factors`; nothing is drawn where there
    /// is one.
    pub fn kind(&self, factors: &[f64], draw: &mut Draw) -> usize {
        if self.kinds.len() == 1 {
            return 0;
        }
        let mut left = draw.share() * self.growth(factors);
        let found = self.kinds.iter().zip(factors).position(|(kind, factor)| {
            left -= kind.share * factor;
            left < 0.0
        });
        found.unwrap_or_default()
    }

    /// Target of requests of a kind, in milliseconds.
    pub fn target_of(&self, kind: usize) -> f64 {
        self.target_millis as f64 * self.kinds[kind].target
    }

    /// A drawn one.
    pub fn drawn(seed: u64) -> Self {
        let mut draw = Draw::new(seed);
        let usual = Self::usual(seed);
        let slower = draw.factor(1.0 / 3.0, 1.0 / 0.3);
        let slots = draw.whole(4, 32);
        let mean_prompt_tokens = draw.factor(200.0, 2_000.0) as u32;
        let mean_answer_tokens = draw.factor(30.0, 200.0) as u32;
        let model = EngineModel {
            slots,
            stride: draw.whole(1, 8),
            step_millis: 9.27 * slower,
            per_request_millis: 0.0232 * slower,
            per_thousand_tokens_millis: 0.0322 * slower,
            prompt_tokens_per_milli: 20.7 / slower,
            mean_prompt_tokens,
            mean_answer_tokens,
            // Room for all slots, or for three quarters of them.
            memory_tokens: (f64::from(slots * (mean_prompt_tokens + mean_answer_tokens))
                * draw.between(0.75, 8.0)) as u64
                + 3 * u64::from(LARGEST as u32 * (mean_prompt_tokens + mean_answer_tokens)),
            ..usual.model.clone()
        };
        let zones = draw.whole(1, 3) as usize;
        let far_millis = draw.between(2.0, 40.0);
        // What the largest prompt takes at an engine half full, with room for one beside it.
        let passes = 2.5 * prediction::pass_millis(&model, f64::from(slots) / 2.0);
        let largest = LARGEST * prediction::mean_prompt_millis(&model);
        let least = passes + 2.0 * largest + 2.0 * far_millis + 60.0;
        Self {
            engines: zones * draw.whole(2, 5) as usize,
            gateways: zones * draw.whole(1, 4) as usize,
            zones,
            queue: 2 * slots as usize,
            target_millis: (least * draw.between(1.2, 3.0)) as u64,
            report_every_millis: u64::from(draw.whole(50, 150)),
            far_report_every_millis: u64::from(draw.whole(110, 500)),
            far_millis,
            impatient_share: draw.between(0.0, 0.3),
            model,
            ..usual
        }
    }

    /// Requests a millisecond that all engines can run.
    pub fn capacity_per_milli(&self) -> f64 {
        self.engines as f64 / prediction::mean_work_millis(&self.model)
    }

    /// Longest time that a caller waits, in milliseconds.
    pub const fn timeout_millis(&self) -> u64 {
        if self.target_millis * 12 > 6_000 {
            self.target_millis * 12
        } else {
            6_000
        }
    }

    /// Longest time that a caller waits for a next event, in milliseconds.
    pub const fn gap_millis(&self) -> u64 {
        if self.target_millis * 4 > 2_000 {
            self.target_millis * 4
        } else {
            2_000
        }
    }

    /// Times as many requests where the kinds' shares are multiplied by `factors`.
    pub fn growth(&self, factors: &[f64]) -> f64 {
        let is_usual = factors.iter().all(|factor| *factor == 1.0);
        let shares = self.kinds.iter().zip(factors);
        match is_usual {
            true => 1.0,
            false => shares.map(|(kind, factor)| kind.share * factor).sum(),
        }
    }

    /// Zone of a gateway.
    pub fn zone_of_gateway(&self, gateway: usize) -> usize {
        match &self.zoning {
            Some(zoning) => zoning::zone_of(&zoning.gateways, gateway),
            None => gateway % self.zones,
        }
    }

    /// Zone of an engine.
    pub fn zone_of_engine(&self, engine: usize) -> usize {
        match &self.zoning {
            Some(zoning) => zoning::zone_of(&zoning.engines, engine),
            None => engine % self.zones,
        }
    }

    /// Part of all requests that come to a gateway first.
    pub fn share_of_gateway(&self, gateway: usize) -> f64 {
        match &self.zoning {
            Some(zoning) => zoning.share_of_gateway(gateway),
            None => 1.0 / self.gateways as f64,
        }
    }

    /// True where a gateway and an engine are in one zone.
    pub fn is_near(&self, gateway: usize, engine: usize) -> bool {
        self.zone_of_gateway(gateway) == self.zone_of_engine(engine)
    }

    /// Milliseconds of the way between a gateway and an engine.
    pub fn way_millis(&self, gateway: usize, engine: usize) -> f64 {
        match self.is_near(gateway, engine) {
            true => self.near_millis,
            false => self.far_millis,
        }
    }
}

/// Tokens around `usual`, at most [`LARGEST`] times as many.
pub fn tokens(draw: &mut Draw, usual: u32) -> u64 {
    let drawn = draw.pause(f64::from(usual)).min(LARGEST * f64::from(usual));
    (drawn as u64).max(1)
}
