//! Cluster information that gateways serve to loaders: services of engines and origins, and the
//! known engines.
//!
//! It spares loaders the full configuration, whose routes and client accounts they do not need.

use {
    crate::{
        client::Client,
        clock,
        error::{Error, Step},
        message::{
            self, ConfigurationPart, EngineEntry, EngineParameters, IndexedVersion,
            OriginParameters, ReportedRelease, ServiceEntry, ServiceParameters,
        },
        state::State,
        weights::Distributor,
    },
    gingerpier_base::{Instant, target::Target},
    gingerpier_http1::writer::Message,
    gingerpier_serving::{
        configuration::{EngineModel, Origin, Service, ServiceKind, Services},
        engine::Engine,
        fleet::{Fleet, Record, State as EngineState},
        mirror::Revision,
        platform_api::{self, ApiRequest},
        report::Report,
    },
    std::{net::SocketAddr, rc::Rc},
};

/// Path of the request.
pub const PATH: &str = "/figures";

/// Timeout for the start of the response.
const RESPONSE_TIMEOUT_MILLIS: u64 = 500;

/// Interval of rebuilds without changes in the store, which pick up load reports.
const REBUILD_INTERVAL_MILLIS: u64 = 1_000;

/// Shortest time between two rebuilds.
const MIN_REBUILD_INTERVAL_MILLIS: u64 = 250;

/// Keeps the encoded message of this gateway up to date.
pub async fn run(state: Rc<State>) {
    loop {
        if let Some(configuration) = state.configuration() {
            let services = configuration.services_part().for_loaders();
            let mut message = build(&services, &state.fleet.borrow(), clock::now());
            message.releases = state.releases();
            for release in &mut message.releases {
                // Ages are rounded up to the next rebuild, until which the message may be served.
                release.age_millis += REBUILD_INTERVAL_MILLIS;
            }
            *state.distributor.configuration.borrow_mut() = Some(message::encode(&message).into());
        }
        clock::pause(MIN_REBUILD_INTERVAL_MILLIS).await;
        let next_rebuild = clock::now().after_millis(REBUILD_INTERVAL_MILLIS);
        // Rebuilds on a change and on a timeout alike.
        let _ = clock::before(next_rebuild, state.mirror_changed.notified()).await;
    }
}

/// Builds the response to a loader's request.
pub fn respond(distributor: &Distributor) -> Vec<u8> {
    match distributor.configuration.borrow().as_ref() {
        Some(encoded) => Message::response(200).body(encoded),
        None => Message::response(404).body(b""),
    }
}

/// Decoded message of a gateway.
pub struct LoaderConfiguration {
    /// Services of engines and origins.
    pub services: Services,
    /// Engines, known by their addresses.
    pub fleet: Fleet,
    /// Released weights.
    pub releases: Vec<ReportedRelease>,
}

/// Requests the information from a gateway.
///
/// # Errors
///
/// Fails if the gateway does not respond in time, has no information yet or sends an invalid
/// message.
pub async fn fetch(gateway: SocketAddr) -> Result<LoaderConfiguration, Error> {
    let mut client = Client::new(gateway);
    let request = ApiRequest::get(Target::new(PATH));
    let response = client.call(&request, RESPONSE_TIMEOUT_MILLIS).await?;
    let invalid = |cause| Error::Response {
        step: Step::Parse,
        peer: gateway,
        cause,
    };
    if response.head.status != 200 {
        return Err(invalid(platform_api::Error::Status(response.head.status)));
    }
    let message: Option<ConfigurationPart> = message::decode(&response.body);
    let message = message.ok_or_else(|| {
        invalid(platform_api::Error::Malformed {
            place: "figures".to_owned(),
            what: "not understood".to_owned(),
        })
    })?;
    Ok(decode(message))
}

/// Builds the message about `services` and the engines of `fleet`; releases are added by the
/// caller.
pub fn build(services: &Services, fleet: &Fleet, now: Instant) -> ConfigurationPart {
    let mut message = ConfigurationPart {
        version: services.version,
        weights_digest: services.weights_digest(),
        services: services.list().iter().filter_map(encode_service).collect(),
        zones: Vec::new(),
        models: Vec::new(),
        engines: Vec::new(),
        releases: Vec::new(),
    };
    for index in 0..message.services.len() {
        for (_, engine) in fleet.current_of_service(&message.services[index].name) {
            let engine = encode_engine(engine, index as u32, &mut message, now);
            message.engines.push(engine);
        }
    }
    message
}

/// Converts a decoded message.
pub fn decode(message: ConfigurationPart) -> LoaderConfiguration {
    let mut fleet = Fleet::default();
    for engine in &message.engines {
        if let Some(record) = decode_engine(engine, &message) {
            fleet.list(record, Revision::default());
        }
    }
    let services = message.services.into_iter().map(decode_service).collect();
    LoaderConfiguration {
        services: Services::received(message.version, services, message.weights_digest),
        fleet,
        releases: message.releases,
    }
}

fn encode_service(service: &Service) -> Option<ServiceEntry> {
    let parameters = match &service.kind {
        ServiceKind::Plain => return None,
        ServiceKind::Engines(engines) => ServiceParameters::Engines(EngineParameters {
            slots: engines.slots,
            stride: engines.stride,
            step_millis: engines.step_millis,
            per_request_millis: engines.per_request_millis,
            per_thousand_tokens_millis: engines.per_thousand_tokens_millis,
            read_per_milli: engines.prompt_tokens_per_milli,
            read_at_once: engines.max_prompt_tokens_per_pass,
            usual_prompt: engines.mean_prompt_tokens,
            usual_answer: engines.mean_answer_tokens,
            memory_tokens: engines.memory_tokens,
            models: engines.models.clone(),
        }),
        ServiceKind::Origin(origin) => ServiceParameters::Origin(OriginParameters {
            address: origin.address,
            link_bits_per_second: origin.link_bits_per_second,
            max_connections: origin.max_connections,
        }),
    };
    Some(ServiceEntry {
        name: service.name.clone(),
        max_connections: service.max_connections,
        parameters,
    })
}

fn decode_service(entry: ServiceEntry) -> Service {
    let kind = match entry.parameters {
        ServiceParameters::Engines(engines) => ServiceKind::Engines(Box::new(EngineModel {
            slots: engines.slots,
            stride: engines.stride,
            step_millis: engines.step_millis,
            per_request_millis: engines.per_request_millis,
            per_thousand_tokens_millis: engines.per_thousand_tokens_millis,
            prompt_tokens_per_milli: engines.read_per_milli,
            max_prompt_tokens_per_pass: engines.read_at_once,
            mean_prompt_tokens: engines.usual_prompt,
            mean_answer_tokens: engines.usual_answer,
            memory_tokens: engines.memory_tokens,
            models: engines.models,
        })),
        ServiceParameters::Origin(origin) => ServiceKind::Origin(Origin {
            address: origin.address,
            link_bits_per_second: origin.link_bits_per_second,
            max_connections: origin.max_connections,
        }),
    };
    Service {
        name: entry.name,
        max_connections: entry.max_connections,
        // Loaders send no requests, so cold limits do not apply.
        cold_per_second: 0.0,
        kind,
    }
}

fn encode_engine(
    engine: &Engine,
    service: u32,
    message: &mut ConfigurationPart,
    now: Instant,
) -> EngineEntry {
    let loaded = engine.latest_report(now).loaded.iter();
    let loaded =
        loaded.filter_map(|weights| IndexedVersion::new(weights, &mut message.models, usize::MAX));
    EngineEntry {
        address: engine.record.address,
        service,
        loaded: loaded.collect(),
        zone: index_of(&mut message.zones, &engine.record.zone),
    }
}

/// Index of `name` among `names`, to which it is added if it is new.
fn index_of(names: &mut Vec<String>, name: &str) -> u32 {
    let index = names.iter().position(|known| known == name);
    let index = index.unwrap_or_else(|| {
        names.push(name.to_owned());
        names.len() - 1
    });
    index as u32
}

/// Record of an engine; `None` if an index of the message is out of range.
fn decode_engine(engine: &EngineEntry, message: &ConfigurationPart) -> Option<Record> {
    let loaded = engine.loaded.iter();
    let loaded = loaded.filter_map(|weights| weights.decode(&message.models));
    Some(Record {
        // Loaders identify engines by address.
        id: engine.address.to_string(),
        service: message.services.get(engine.service as usize)?.name.clone(),
        address: engine.address,
        zone: message.zones.get(engine.zone as usize)?.clone(),
        state: EngineState::Ready,
        slots: 0,
        cold_millis: 0,
        report: Report {
            loaded: loaded.collect(),
            ..Report::default()
        },
    })
}
