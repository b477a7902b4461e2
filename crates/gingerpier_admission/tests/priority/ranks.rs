//! Tests of the ranks of a service.

use {
    gingerpier_admission::priority::{Rank, Ranks},
    gingerpier_serving::configuration::{
        Account, Configuration, Limits, Repeat, Route, Service, ServiceKey, ServiceKind, Target,
    },
};

fn route(name: &str, service: u32, priority: u8, is_public: bool) -> Route {
    Route {
        name: name.to_owned(),
        host: "h".to_owned(),
        prefix: format!("/{name}/"),
        repeat: Repeat::Safe,
        timeout_millis: 1_000,
        target_millis: 400,
        max_pause_millis: 400,
        priority,
        targets: vec![Target {
            service: ServiceKey(service),
            weight: 1,
        }],
        max_attempts: 1,
        is_public,
        regions: Vec::new(),
    }
}

fn account(name: &str, priority: Option<u8>) -> Account {
    Account {
        name: name.to_owned(),
        priority,
        keys: vec![name.to_owned()],
        regions: Vec::new(),
    }
}

fn ranks(routes: Vec<Route>, accounts: Vec<Account>) -> Option<Ranks> {
    let service = |name: &str| Service {
        name: name.to_owned(),
        max_connections: 1,
        cold_per_second: 0.0,
        kind: ServiceKind::Plain,
    };
    let services = vec![service("s"), service("t")];
    let configuration = Configuration::new(1, Limits::default(), routes, services, accounts);
    Ranks::of_service(&configuration, ServiceKey(0))
}

/// Guards against priority on a service whose requests all have the same one.
#[test]
fn equal_priorities_give_no_ranks() {
    let other_service = route("c", 1, 0, true);
    let routes = vec![
        route("a", 0, 4, true),
        route("b", 0, 4, false),
        other_service,
    ];
    assert_eq!(ranks(routes.clone(), vec![]), None);
    assert_eq!(
        ranks(
            routes.clone(),
            vec![account("x", Some(4)), account("y", None)]
        ),
        None
    );
    assert_eq!(
        ranks(vec![], vec![account("x", Some(1)), account("y", Some(2))]),
        None
    );
    // Every request has the priority of its account, as none is accepted without one.
    let routes = vec![route("a", 0, 1, false), route("b", 0, 2, false)];
    assert_eq!(ranks(routes, vec![account("x", Some(4))]), None);
}

/// Guards against a route's priority that overrides the account's, and against gaps between ranks.
#[test]
fn the_account_takes_precedence_over_the_route() {
    let routes = vec![route("a", 0, 20, true), route("b", 0, 5, true)];
    let accounts = vec![account("x", Some(7)), account("y", None)];
    let ranks = ranks(routes, accounts).expect("priorities differ");
    assert_eq!(ranks.rank(None, 5), Rank::new(0));
    assert_eq!(ranks.rank(Some(7), 5), Rank::new(1));
    assert_eq!(ranks.rank(None, 20), Rank::new(2));
}

/// Guards against ranks beyond those of the priority header.
#[test]
fn further_priorities_share_the_last_rank() {
    let routes = (0..30).map(|priority| route(&format!("r{priority}"), 0, priority, true));
    let ranks = ranks(routes.collect(), vec![]).expect("priorities differ");
    assert_eq!(ranks.rank(None, 29), Rank::new(9));
    assert_eq!(ranks.rank(None, 9), Rank::new(9));
}
