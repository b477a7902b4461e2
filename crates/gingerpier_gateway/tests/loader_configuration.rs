//! Messages about services and engines from gateways to loaders.

use {
    gingerpier_base::Instant,
    gingerpier_gateway::{loader_configuration, message},
    gingerpier_serving::{
        configuration::{
            Account, Configuration, EngineModel, Limits, Origin, Repeat, Route, Service,
            ServiceKey, ServiceKind, Target,
        },
        fleet::{Fleet, Record, State},
        mirror::Revision,
        report::{Held, Report, Version},
    },
    std::net::SocketAddr,
};

fn engine_model() -> EngineModel {
    EngineModel {
        slots: 16,
        stride: 5,
        step_millis: 9.27,
        per_request_millis: 0.02,
        per_thousand_tokens_millis: 0.03,
        prompt_tokens_per_milli: 20.7,
        max_prompt_tokens_per_pass: Some(512),
        mean_prompt_tokens: 900,
        mean_answer_tokens: 90,
        memory_tokens: 400_000,
        models: vec!["m".to_owned()],
    }
}

fn origin(port: u16) -> Origin {
    Origin {
        address: SocketAddr::from(([10, 0, 0, 1], port)),
        link_bits_per_second: 100_000_000,
        max_connections: 48,
    }
}

fn service(name: &str, kind: ServiceKind) -> Service {
    Service {
        name: name.to_owned(),
        max_connections: 100,
        cold_per_second: 0.0,
        kind,
    }
}

/// A configuration with thousands of routes and client accounts.
fn configuration(origin: Origin) -> Configuration {
    let route = |number: u32| Route {
        name: format!("route-{number}"),
        host: "h.example".to_owned(),
        prefix: format!("/{number}/"),
        repeat: Repeat::Safe,
        timeout_millis: 5_000,
        target_millis: 500,
        max_pause_millis: 200,
        priority: 1,
        targets: vec![Target {
            service: ServiceKey(0),
            weight: 1,
        }],
        max_attempts: 2,
        is_public: false,
        regions: Vec::new(),
    };
    let account = |number: u32| Account {
        name: format!("account-{number}"),
        priority: None,
        keys: vec![format!("secret-{number}")],
        regions: Vec::new(),
    };
    let services = vec![
        service("plain", ServiceKind::Plain),
        service("models", ServiceKind::Engines(Box::new(engine_model()))),
        service("origin", ServiceKind::Origin(origin)),
    ];
    let routes = (0..2_000).map(route).collect();
    let accounts = (0..2_000).map(account).collect();
    Configuration::new(7, Limits::default(), routes, services, accounts)
}

fn record(id: &str, zone: u8, number: u8, version: u64) -> Record {
    let loaded = Held {
        model: "m".to_owned(),
        version: Version(version),
    };
    Record {
        id: id.to_owned(),
        service: "models".to_owned(),
        address: SocketAddr::from(([10, 1, zone, number], 8_080)),
        zone: format!("zone-{zone}"),
        state: State::Ready,
        slots: 16,
        cold_millis: 0,
        report: Report {
            loaded: vec![loaded],
            ..Report::default()
        },
    }
}

#[test]
fn message_omits_routes_and_accounts_and_round_trips() {
    let configuration = configuration(origin(8_006));
    let now = Instant::from_millis(0);
    let mut fleet = Fleet::default();
    for number in 0..204_u8 {
        let id = format!("engine-{number}");
        fleet.list(record(&id, number % 5, number, 3), Revision::new(1));
    }
    let message =
        loader_configuration::build(&configuration.services_part().for_loaders(), &fleet, now);
    let bytes = message::encode(&message);
    assert!(bytes.len() < 8_000, "{} bytes", bytes.len());
    let text = String::from_utf8_lossy(&bytes);
    for excluded in ["secret", "account", "route-", "h.example", "plain"] {
        assert!(!text.contains(excluded), "{excluded} is in the message");
    }
    let decoded = loader_configuration::decode(message::decode(&bytes).expect("a message"));
    let services = &decoded.services;
    assert_eq!(services.version, 7);
    assert_eq!(services.weights_digest(), configuration.weights_digest());
    assert_eq!(services.origin(), configuration.origin());
    assert_eq!(services.list(), &configuration.services()[1..]);
    assert_eq!(decoded.fleet.of_service("models").count(), 204);
    for (_, engine) in fleet.listed() {
        let address = engine.record.address;
        let key = decoded
            .fleet
            .at_address(address)
            .expect("the engine is in the message");
        let decoded_engine = decoded.fleet.engine(key);
        assert_eq!(decoded_engine.record.zone, engine.record.zone);
        assert_eq!(decoded_engine.loaded_version("m", now), Some(Version(3)));
    }
}

#[test]
fn replaced_engine_at_a_reused_address_is_omitted() {
    let mut fleet = Fleet::default();
    fleet.list(record("new", 1, 1, 4), Revision::new(9));
    fleet.list(record("old", 1, 1, 2), Revision::new(3));
    let now = Instant::from_millis(0);
    let services = configuration(origin(8_006)).services_part().for_loaders();
    let message = loader_configuration::build(&services, &fleet, now);
    assert_eq!(message.engines.len(), 1);
    let decoded = loader_configuration::decode(message).fleet;
    let versions = decoded
        .listed()
        .map(|(_, engine)| engine.loaded_version("m", now));
    assert_eq!(versions.collect::<Vec<_>>(), [Some(Version(4))]);
}

#[test]
fn weights_digest_changes_with_the_origin() {
    let digest = |port| configuration(origin(port)).services_part().weights_digest();
    assert_eq!(digest(8_006), digest(8_006));
    assert_ne!(digest(8_006), digest(8_007));
}

#[test]
fn engine_with_an_index_out_of_range_is_ignored() {
    let mut fleet = Fleet::default();
    fleet.list(record("a", 1, 1, 4), Revision::new(1));
    let now = Instant::from_millis(0);
    let services = configuration(origin(8_006)).services_part().for_loaders();
    let mut message = loader_configuration::build(&services, &fleet, now);
    message.engines[0].zone = 9;
    assert_eq!(
        loader_configuration::decode(message).fleet.listed().count(),
        0
    );
}
