//! What gateways tell loaders of the configuration: services of engines and of origins, and who the
//! engines are.
//!
//! A configuration may hold a megabyte of routes and client accounts, and a loader needs none of
//! these. What is told here is some 30 bytes an engine and less than a kilobyte beside.

use {
    crate::{
        client::Client,
        clock,
        error::{Error, Step},
        message::{
            self, DigestHeld, EngineFigures, Figures, Naming, OriginFigures, ServiceFigures,
            ToldEngine, ToldService,
        },
        state::State,
        weights::Carrier,
    },
    gingerpier_base::Instant,
    gingerpier_http1::writer::Message,
    gingerpier_serving::{
        configuration::{EngineModel, Origin, Service, ServiceKind, Services},
        dialect::{self, Call},
        engine::Engine,
        fleet::{Fleet, Record, State as EngineState},
        mirror::Revision,
        report::Report,
    },
    std::{net::SocketAddr, rc::Rc},
};

/// Path of the question.
pub const PATH: &str = "/figures";

/// Milliseconds within which the answer begins.
const ANSWER_MILLIS: u64 = 500;

/// Milliseconds after which what is told is made anew although the store has no news: engines report
/// between.
const RENEW_MILLIS: u64 = 1_000;

/// Milliseconds that lie between two of them at least: engines write some 20 times a second.
const LEAST_PAUSE_MILLIS: u64 = 250;

/// Keeps what this gateway tells up to date.
pub async fn keep(state: Rc<State>) {
    loop {
        if let Some(configuration) = state.configuration() {
            let services = configuration.services_part().for_loaders();
            let mut figures = figures(&services, &state.fleet.borrow(), clock::now());
            figures.named = state.namings();
            for naming in &mut figures.named {
                // What is told may have been made so long ago.
                naming.age += RENEW_MILLIS;
            }
            *state.carrier.figures.borrow_mut() = Some(message::encode(&figures).into());
        }
        clock::pause(LEAST_PAUSE_MILLIS).await;
        let next = clock::now().after_millis(RENEW_MILLIS);
        // Whether there was news or the time is over, the same follows.
        let _ = clock::before(next, state.news.notified()).await;
    }
}

/// Answer to a loader's question.
pub fn reply(carrier: &Carrier) -> Vec<u8> {
    match carrier.figures.borrow().as_ref() {
        Some(figures) => Message::response(200).body(figures),
        None => Message::response(404).body(b""),
    }
}

/// What a loader was told.
pub struct Told {
    /// Services of engines and of origins.
    pub services: Services,
    /// Engines.
    pub fleet: Fleet,
    /// Weights that operators named.
    pub named: Vec<Naming>,
}

/// Asks a gateway.
///
/// # Errors
///
/// Where it does not answer, knows nothing or is not understood.
pub async fn ask(gateway: SocketAddr) -> Result<Told, Error> {
    let mut client = Client::new(gateway);
    let call = Call::get(PATH.to_owned());
    let whole = client.call(&call, ANSWER_MILLIS).await?;
    let wrong = |what| Error::Answer {
        step: Step::Read,
        peer: gateway,
        what,
    };
    if whole.head.status != 200 {
        return Err(wrong(dialect::Error::Status(whole.head.status)));
    }
    let figures: Option<Figures> = message::decode(&whole.body);
    let figures = figures.ok_or_else(|| {
        wrong(dialect::Error::Malformed {
            place: "figures".to_owned(),
            what: "not understood".to_owned(),
        })
    })?;
    Ok(told(figures))
}

/// The message about `services` and the engines of `fleet`.
pub fn figures(services: &Services, fleet: &Fleet, now: Instant) -> Figures {
    let mut told = Figures {
        version: services.version,
        weights_digest: services.weights_digest(),
        services: services.list().iter().filter_map(told_service).collect(),
        zones: Vec::new(),
        models: Vec::new(),
        engines: Vec::new(),
        named: Vec::new(),
    };
    for place in 0..told.services.len() {
        for (_, engine) in fleet.present(&told.services[place].name) {
            let engine = told_engine(engine, place as u32, &mut told, now);
            told.engines.push(engine);
        }
    }
    told
}

/// What the message says.
pub fn told(figures: Figures) -> Told {
    let mut fleet = Fleet::default();
    for engine in &figures.engines {
        if let Some(record) = record(engine, &figures) {
            fleet.list(record, Revision::default());
        }
    }
    let services = figures.services.into_iter().map(service).collect();
    Told {
        services: Services::told(figures.version, services, figures.weights_digest),
        fleet,
        named: figures.named,
    }
}

fn told_service(service: &Service) -> Option<ToldService> {
    let figures = match &service.kind {
        ServiceKind::Plain => return None,
        ServiceKind::Engines(engines) => ServiceFigures::Engines(EngineFigures {
            slots: engines.slots,
            stride: engines.stride,
            step_millis: engines.step_millis,
            per_request_millis: engines.per_request_millis,
            per_thousand_tokens_millis: engines.per_thousand_tokens_millis,
            read_per_milli: engines.read_per_milli,
            read_at_once: engines.read_at_once,
            usual_prompt: engines.usual_prompt,
            usual_answer: engines.usual_answer,
            memory_tokens: engines.memory_tokens,
            models: engines.models.clone(),
        }),
        ServiceKind::Origin(origin) => ServiceFigures::Origin(OriginFigures {
            address: origin.address,
            link_bits_per_second: origin.link_bits_per_second,
            max_connections: origin.max_connections,
        }),
    };
    Some(ToldService {
        name: service.name.clone(),
        max_connections: service.max_connections,
        figures,
    })
}

fn service(told: ToldService) -> Service {
    let kind = match told.figures {
        ServiceFigures::Engines(engines) => ServiceKind::Engines(Box::new(EngineModel {
            slots: engines.slots,
            stride: engines.stride,
            step_millis: engines.step_millis,
            per_request_millis: engines.per_request_millis,
            per_thousand_tokens_millis: engines.per_thousand_tokens_millis,
            read_per_milli: engines.read_per_milli,
            read_at_once: engines.read_at_once,
            usual_prompt: engines.usual_prompt,
            usual_answer: engines.usual_answer,
            memory_tokens: engines.memory_tokens,
            models: engines.models,
        })),
        ServiceFigures::Origin(origin) => ServiceKind::Origin(Origin {
            address: origin.address,
            link_bits_per_second: origin.link_bits_per_second,
            max_connections: origin.max_connections,
        }),
    };
    Service {
        name: told.name,
        max_connections: told.max_connections,
        // Loaders send no requests.
        cold_per_second: 0.0,
        kind,
    }
}

fn told_engine(engine: &Engine, service: u32, told: &mut Figures, now: Instant) -> ToldEngine {
    let held = engine.latest(now).held.iter();
    let held = held.filter_map(|held| DigestHeld::new(held, &mut told.models, usize::MAX));
    ToldEngine {
        address: engine.record.address,
        service,
        held: held.collect(),
        zone: place(&mut told.zones, &engine.record.zone),
    }
}

/// Place of `name` among `names`, to which it is added where it is new.
fn place(names: &mut Vec<String>, name: &str) -> u32 {
    let known = names.iter().position(|known| known == name);
    let place = known.unwrap_or_else(|| {
        names.push(name.to_owned());
        names.len() - 1
    });
    place as u32
}

/// Record of an engine; nothing where it names what is not in the message.
fn record(engine: &ToldEngine, figures: &Figures) -> Option<Record> {
    let held = engine.held.iter();
    let held = held.filter_map(|held| held.held(&figures.models));
    Some(Record {
        // Loaders know engines by their addresses.
        id: engine.address.to_string(),
        service: figures.services.get(engine.service as usize)?.name.clone(),
        address: engine.address,
        zone: figures.zones.get(engine.zone as usize)?.clone(),
        state: EngineState::Ready,
        slots: 0,
        cold_millis: 0,
        report: Report {
            held: held.collect(),
            ..Report::default()
        },
    })
}
