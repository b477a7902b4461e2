//! Zones with uneven shares of requests and engines, whose gateways learn of engines in other zones by digests.

use {
    crate::deployment::{Deployment, Kind},
    gingerpier_serving::configuration::EngineModel,
};

/// Zones of a deployment.
#[derive(Debug, Clone, PartialEq)]
pub struct Zoning {
    /// Gateways of each zone; their indexes follow each other.
    pub gateways: Vec<usize>,
    /// Engines of each zone; their indexes follow each other.
    pub engines: Vec<usize>,
    /// Part of the requests that comes to each zone.
    pub requests: Vec<f64>,
    /// How zones share engines.
    pub policy: Policy,
}

/// Which engine of a granting zone a request goes to.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Placement {
    /// The less loaded of two that are drawn.
    TwoDrawn,
    /// The least loaded of all, as last reported.
    LeastLoaded,
}

/// Milliseconds after the last sign of a shortage for which one gateway places all requests of a zone.
pub const ASKED_FOR_MILLIS: f64 = 2_000.0;

/// Part of the target above which a prediction for an engine of the own zone is uncertain.
pub const ASKED_ABOVE: f64 = 0.5;

/// Gateway that places requests in its zone for gateways of other zones: an alternative to grants.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Asked {
    /// Any.
    Any,
    /// The zone's first one, which places all requests there, those of its own zone, too.
    First,
    /// The same while it is asked by other zones or refuses requests, and for [`ASKED_FOR_MILLIS`] more; before that, a
    /// gateway only asks it where the best engine is predicted to take more than [`ASKED_ABOVE`].
    FirstInShortage,
}

/// How zones share engines.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Policy {
    /// Milliseconds between two digests of one sender.
    pub digest_millis: u64,
    /// The same where a zone knows of another one's demand or grants it something.
    pub shortage_digest_millis: u64,
    /// True where zones grant requests to each other.
    pub grants: bool,
    /// Engine of a granting zone.
    pub placement: Placement,
    /// Which gateway of the other zone places a request there; none where the own gateway does.
    pub asked: Option<Asked>,
}

impl Policy {
    /// Digests every 500 ms, no grants.
    pub const DIGESTS: Self = Self {
        digest_millis: 500,
        shortage_digest_millis: 500,
        grants: false,
        placement: Placement::TwoDrawn,
        asked: None,
    };

    /// Digests every 100 ms, no grants.
    pub const FREQUENT_DIGESTS: Self = Self {
        digest_millis: 100,
        ..Self::DIGESTS
    };

    /// A gateway of the other zone chooses the engine there.
    pub const ASKED: Self = Self {
        asked: Some(Asked::Any),
        ..Self::DIGESTS
    };

    /// Grants, with frequent digests in a shortage.
    pub const GRANTS: Self = Self {
        shortage_digest_millis: 100,
        grants: true,
        ..Self::DIGESTS
    };
}

/// Zone of the member with this index, where each zone has so many.
pub fn zone_of(counts: &[usize], index: usize) -> usize {
    let mut end = 0;
    let found = counts.iter().position(|count| {
        end += count;
        index < end
    });
    found.unwrap_or_default()
}

impl Zoning {
    /// Indexes of the gateways of a zone.
    pub fn gateways_of(&self, zone: usize) -> std::ops::Range<usize> {
        let begin = self.gateways[..zone].iter().sum();
        begin..begin + self.gateways[zone]
    }

    /// Indexes of the engines of a zone.
    pub fn engines_of(&self, zone: usize) -> std::ops::Range<usize> {
        let begin = self.engines[..zone].iter().sum();
        begin..begin + self.engines[zone]
    }

    /// Part of all requests that comes to a gateway.
    pub fn share_of_gateway(&self, gateway: usize) -> f64 {
        let zone = zone_of(&self.gateways, gateway);
        self.requests[zone] / self.gateways[zone] as f64
    }

    /// Another gateway of the same zone, where there is one.
    pub fn other_gateway(&self, gateway: usize, draw: u64) -> usize {
        let own = self.gateways_of(zone_of(&self.gateways, gateway));
        let steps = match own.len() {
            1 => 0,
            count => 1 + draw as usize % (count - 1),
        };
        own.start + (gateway - own.start + steps) % own.len()
    }
}

/// The same deployment with one gateway that gets the reports of all engines directly, without those of `closed` zones;
/// also gives the factor by which a load, a part of the capacity, is larger there.
///
/// # Panics
///
/// Where the deployment has no zoning.
pub fn with_single_gateway(deployment: &Deployment, closed: &[usize]) -> (Deployment, f64) {
    let zoning = deployment.zoning.as_ref().expect("a zoned deployment");
    let zones = zoning.engines.iter().enumerate();
    let open = zones.filter(|(zone, _)| !closed.contains(zone));
    let engines: usize = open.map(|(_, engines)| engines).sum();
    let factor = deployment.engines as f64 / engines as f64;
    let zoning = Zoning {
        gateways: vec![1],
        engines: vec![engines],
        requests: vec![1.0],
        policy: Policy::DIGESTS,
    };
    let single = Deployment {
        engines,
        // It is in no zone, and as far from all engines as one zone from another.
        near_millis: deployment.far_millis,
        gateways: 1,
        zones: 1,
        zoning: Some(zoning),
        ..deployment.clone()
    };
    (single, factor)
}

/// A class of requests of a deployment: its share, target in milliseconds, mean prompt, events, priority and value.
struct Class(f64, f64, f64, f64, u8, f64);

/// Deployment P of `docs/design/hard-load.md`: three zones with 15 engines each.
///
/// The page states no shares of classes and zones for P; they are equal here.
pub fn deployment_p(seed: u64) -> Deployment {
    alike_zones(seed, vec![10, 10, 9])
}

/// Zones like those of deployment P with so many gateways each.
pub fn alike_zones(seed: u64, gateways: Vec<usize>) -> Deployment {
    let third = 1.0 / 3.0;
    let zones = gateways.len();
    let classes = [
        Class(third, 400.0, 1_290.0, 18.0, 0, 3.6),
        Class(third, 400.0, 787.0, 18.0, 1, 1.7),
        Class(third, 800.0, 607.0, 10.0, 2, 0.55),
    ];
    let zoning = Zoning {
        gateways,
        engines: vec![15; zones],
        requests: vec![1.0 / zones as f64; zones],
        policy: Policy::DIGESTS,
    };
    with_zones(seed, zoning, &classes, [7.4, 31.9, 7.0], 1.8)
}

/// Deployment O of the page: one of three zones has 35% of the engines and receives 41% of the requests.
pub fn deployment_o(seed: u64) -> Deployment {
    let third = 1.0 / 3.0;
    let classes = [
        Class(third, 500.0, 1_290.0, 22.0, 1, 2.4),
        Class(third, 400.0, 787.0, 22.0, 1, 2.0),
        Class(third, 400.0, 607.0, 14.0, 1, 1.5),
    ];
    let zoning = Zoning {
        gateways: vec![14, 11, 10],
        engines: vec![14, 13, 13],
        requests: vec![0.41, 0.295, 0.295],
        policy: Policy::DIGESTS,
    };
    with_zones(seed, zoning, &classes, [8.87, 19.1, 5.0], 4.9)
}

/// A deployment with engines of 12 slots, given by milliseconds of a step, prompt tokens per millisecond and tokens of
/// an event.
fn with_zones(
    seed: u64,
    zoning: Zoning,
    classes: &[Class],
    [step_millis, prompt_tokens_per_milli, stride]: [f64; 3],
    far_millis: f64,
) -> Deployment {
    let usual = Deployment::usual(seed);
    let mean = |part: fn(&Class) -> f64| -> f64 {
        classes.iter().map(|class| class.0 * part(class)).sum()
    };
    let prompt = mean(|class| class.2);
    let events = mean(|class| class.3);
    let target = classes[0].1;
    let kind = |class: &Class| Kind {
        share: class.0,
        target: class.1 / target,
        prompt: class.2 / prompt,
        answer: class.3 / events,
        rank: class.4,
        value: Some(class.5),
    };
    let slower = step_millis / usual.model.step_millis;
    Deployment {
        model: EngineModel {
            slots: 12,
            stride: stride as u32,
            step_millis,
            per_request_millis: usual.model.per_request_millis * slower,
            per_thousand_tokens_millis: usual.model.per_thousand_tokens_millis * slower,
            prompt_tokens_per_milli,
            mean_prompt_tokens: prompt as u32,
            mean_answer_tokens: (events * stride) as u32,
            ..usual.model
        },
        engines: zoning.engines.iter().sum(),
        gateways: zoning.gateways.iter().sum(),
        zones: zoning.engines.len(),
        kinds: classes.iter().map(kind).collect(),
        queue: 24,
        target_millis: target as u64,
        near_millis: 0.3,
        far_millis,
        zoning: Some(zoning),
        ..usual
    }
}
