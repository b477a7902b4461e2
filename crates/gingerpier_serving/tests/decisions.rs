//! Tests of admission, retries, prediction and related decisions.

use {
    gingerpier_base::{Instant, order},
    gingerpier_serving::{
        admission::{self, Choice, Demand, Due},
        arrivals::Arrivals,
        backlog::Backlog,
        bringing::{self, NamedAt, Place, Tenure, Terms},
        budget::{self, Budget},
        configuration::{
            Configuration, EngineModel, Limits, Repeat, Route, Service, ServiceKey, ServiceKind,
            Target, Tenant,
        },
        course::{Failure, Next, Standing},
        evenness::Even,
        events::Splitter,
        fleet::{EngineKey, Fleet, Record, State},
        mirror::{Item, Mirror, Revision},
        pace::Pace,
        precedence, prediction,
        region::Homes,
        report::{Held, Report, Version},
        warmth,
    },
    proptest::prelude::*,
};

const fn at(millis: u64) -> Instant {
    Instant::from_millis(100_000 + millis)
}

fn model() -> EngineModel {
    EngineModel {
        slots: 16,
        stride: 5,
        step_millis: 9.27,
        per_request_millis: 0.0232,
        per_thousand_tokens_millis: 0.0322,
        read_per_milli: 20.7,
        read_at_once: Some(2_048),
        usual_prompt: 979,
        usual_answer: 92,
        memory_tokens: 317_000,
        models: vec!["m".to_owned()],
    }
}

fn report(version: u64, active: u32) -> Report {
    Report {
        held: vec![Held {
            model: "m".to_owned(),
            version: Version(version),
        }],
        active,
        pace: 1.0,
        ..Report::default()
    }
}

fn record(id: &str, zone: &str) -> Record {
    Record {
        id: id.to_owned(),
        service: "s".to_owned(),
        address: "10.0.0.1:80".parse().expect("an address"),
        zone: zone.to_owned(),
        state: State::Ready,
        slots: 16,
        cold_millis: 0,
        report: report(1, 0),
    }
}

fn fleet(count: u32) -> (Fleet, Vec<EngineKey>) {
    let mut fleet = Fleet::default();
    let keys = (0..count)
        .map(|index| {
            let mut record = record(&format!("e{index}"), "z");
            record.address.set_port(80 + index as u16);
            fleet.list(record, Revision(1))
        })
        .collect();
    (fleet, keys)
}

fn demand<'a>(model: &'a EngineModel, due: &'a [Due], tried: &'a [EngineKey]) -> Demand<'a> {
    Demand {
        engines: Some(model),
        model: Some("m"),
        due,
        prompt_tokens: 979,
        tried,
        ..demand_of_nothing()
    }
}

fn demand_of_nothing() -> Demand<'static> {
    Demand {
        service: "s",
        engines: None,
        model: None,
        due: &[],
        goes_on_with: None,
        prompt_tokens: 0,
        target_millis: 500,
        target_share: precedence::TARGET_SHARE,
        even: Even::default(),
        gateways: 6,
        zone: "z",
        others_per_milli: 0.0,
        tried: &[],
        may_end_engine: false,
        homes: Homes::ANYWHERE,
        cold: warmth::Terms::NEVER,
    }
}

fn chosen(choice: Choice) -> Option<EngineKey> {
    match choice {
        Choice::Send { engine, .. } => Some(engine),
        Choice::Full(_) | Choice::NoEngine => None,
    }
}

#[test]
fn a_census_tells_what_keeps_each_engine_from_a_request() {
    let (model, tried) = (model(), []);
    let demand = demand(&model, &[], &tried);
    let count = |fleet: &Fleet| admission::census(fleet, &demand, at(1_000)).to_string();
    assert_eq!(count(&Fleet::default()), "none");
    let (mut fleet, keys) = fleet(6);
    let empty = Report {
        held: Vec::new(),
        ..report(1, 0)
    };
    fleet.engine_mut(keys[0]).note_report(empty, at(900));
    fleet
        .engine_mut(keys[1])
        .note_report(report(1, 200), at(900));
    fleet.engine_mut(keys[2]).note_report(report(1, 0), at(0));
    fleet.engine_mut(keys[3]).note_failure(at(900));
    let busy = Report {
        is_busy: true,
        ..report(1, 0)
    };
    fleet.engine_mut(keys[4]).note_report(busy, at(900));
    assert_eq!(
        count(&fleet),
        "empty:1,ordered:1,resting:1,silent:1,full:1,open:1"
    );
}

/// Guards against refusals whose cause can't be read from the logged prediction.
#[test]
fn a_refusal_tells_what_its_prediction_is_made_of() {
    let (model, tried) = (model(), []);
    let (mut fleet, keys) = fleet(1);
    fleet.engine_mut(keys[0]).note_report(report(1, 20), at(0));
    let shortfall = |tokens| {
        let demand = Demand {
            prompt_tokens: tokens,
            ..demand(&model, &[], &tried)
        };
        match admission::choose(&fleet, &demand, at(0), 0) {
            Choice::Full(shortfall) => shortfall,
            other => panic!("{other:?}"),
        }
    };
    let (usual, large) = (shortfall(979), shortfall(2_937));
    assert_eq!(usual.parts.queue, large.parts.queue);
    assert_eq!(usual.parts.others, large.parts.others);
    assert!(large.parts.own > 2.9 * usual.parts.own, "{large:?}");
    let sum = large.parts.queue + large.parts.passes + large.parts.others + large.parts.own;
    assert_eq!(large.predicted_millis(), sum);
    assert_eq!(large.bound, 500.0 * precedence::TARGET_SHARE);
}

/// Guards against permanent refusal of a prompt that misses its target even on an idle engine.
#[test]
fn an_idle_engine_takes_a_request_that_is_late_anywhere() {
    let (model, tried) = (model(), []);
    let large = Demand {
        prompt_tokens: 20_000,
        ..demand(&model, &[], &tried)
    };
    let (mut fleet, keys) = fleet(1);
    fleet.engine_mut(keys[0]).note_report(report(1, 0), at(0));
    let choose = |fleet: &Fleet| chosen(admission::choose(fleet, &large, at(10), 0));
    assert_eq!(choose(&fleet), Some(keys[0]));
    fleet.engine_mut(keys[0]).note_report(report(1, 40), at(0));
    assert_eq!(choose(&fleet), None, "it would only be later still");
}

/// Guards against permanent refusal of large prompts when all engines are slow.
#[test]
fn an_idle_engine_that_is_slow_takes_a_large_request() {
    let (model, tried) = (model(), []);
    let large = Demand {
        prompt_tokens: 3_500,
        ..demand(&model, &[], &tried)
    };
    let (mut fleet, keys) = fleet(1);
    let slow = |active| Report {
        pace: 3.0,
        ..report(1, active)
    };
    fleet.engine_mut(keys[0]).note_report(slow(0), at(0));
    let choose = |fleet: &Fleet| chosen(admission::choose(fleet, &large, at(10), 0));
    assert_eq!(choose(&fleet), Some(keys[0]));
    fleet.engine_mut(keys[0]).note_report(slow(16), at(0));
    assert_eq!(choose(&fleet), None, "it would only be later still");
}

/// Guards against refusal by idle engines when no engine of the sampled subset is eligible.
#[test]
fn a_caller_that_came_back_is_taken_by_an_idle_engine_where_none_of_the_drawn_ones_could_run_it() {
    let (model, tried) = (model(), []);
    let returned = Demand {
        gateways: 40,
        target_millis: 400,
        target_share: precedence::LEFT_SHARE,
        ..demand(&model, &[], &tried)
    };
    let (mut fleet, keys) = fleet(40);
    let empty = Report {
        held: Vec::new(),
        ..report(1, 0)
    };
    for key in &keys[1..] {
        fleet.engine_mut(*key).note_report(empty.clone(), at(0));
    }
    fleet.engine_mut(keys[0]).note_report(report(1, 0), at(0));
    let refused = (0..1_000).filter(|draw| {
        let choice = admission::choose(&fleet, &returned, at(10), *draw);
        chosen(choice).is_none()
    });
    assert_eq!(refused.count(), 0);
}

#[test]
fn a_leaving_engine_takes_nothing_and_does_not_come_back() {
    let (mut fleet, keys) = fleet(1);
    let draining = Record {
        state: State::Draining,
        ..record("e0", "z")
    };
    fleet.list(draining, Revision(2));
    // A stale entry must not reopen the engine.
    fleet.list(record("e0", "z"), Revision(3));
    assert!(!fleet.engine(keys[0]).is_open(at(0)));
}

#[test]
fn of_the_engines_at_one_address_only_the_one_listed_last_is_there() {
    let mut fleet = Fleet::default();
    // Store keys aren't ordered by time, and entries of stopped engines remain for a while.
    let new = fleet.list(record("a-new", "z"), Revision(9));
    let old = fleet.list(record("b-old", "z"), Revision(5));
    let address = "10.0.0.1:80".parse().expect("an address");
    assert_eq!(fleet.at_address(address), Some(new));
    assert!(fleet.engine(new).is_open(at(0)));
    assert!(!fleet.engine(old).is_open(at(0)), "it has ended");
    let newest = fleet.list(record("c-newest", "z"), Revision(12));
    assert!(!fleet.engine(new).is_open(at(0)));
    assert_eq!(fleet.at_address(address), Some(newest));
    fleet.unlist("c-newest");
    assert_eq!(
        fleet.at_address(address),
        None,
        "nobody is known to be there"
    );
}

#[test]
fn full_engines_refuse_and_emptier_ones_are_chosen() {
    let (mut fleet, keys) = fleet(2);
    let model = model();
    for (key, active) in keys.iter().zip([40, 3]) {
        fleet.engine_mut(*key).note_report(report(1, active), at(0));
    }
    let choice = admission::choose(&fleet, &demand(&model, &[], &[]), at(1), 0);
    assert_eq!(chosen(choice), Some(keys[1]));
    fleet.engine_mut(keys[1]).note_report(report(1, 40), at(0));
    let choice = admission::choose(&fleet, &demand(&model, &[], &[]), at(1), 0);
    assert!(matches!(choice, Choice::Full(_)));
}

#[test]
fn own_requests_count_before_any_report_tells_of_them() {
    let (mut fleet, keys) = fleet(1);
    fleet.engine_mut(keys[0]).note_report(report(1, 10), at(0));
    for _ in 0..12 {
        fleet.engine_mut(keys[0]).note_sent(979, at(1));
    }
    assert!(fleet.engine(keys[0]).occupancy(at(2)) >= 22.0);
}

#[test]
fn an_engine_that_is_silent_is_left_alone_and_then_tried_once() {
    let (mut fleet, keys) = fleet(1);
    let model = model();
    fleet.engine_mut(keys[0]).note_silence(at(0));
    let choose =
        |fleet: &Fleet, now| chosen(admission::choose(fleet, &demand(&model, &[], &[]), now, 0));
    assert_eq!(choose(&fleet, at(900)), None);
    assert_eq!(choose(&fleet, at(1_100)), Some(keys[0]));
    fleet.engine_mut(keys[0]).note_sent(979, at(1_100));
    assert_eq!(choose(&fleet, at(1_200)), None, "one on trial is enough");
    fleet.engine_mut(keys[0]).note_success();
    assert_eq!(choose(&fleet, at(1_300)), Some(keys[0]));
}

#[test]
fn overdue_reports_and_unheard_words_close_an_engine() {
    let (mut fleet, keys) = fleet(1);
    let engine = fleet.engine_mut(keys[0]);
    engine.note_report(report(1, 0), at(0));
    assert_eq!(engine.silence(at(300)), 0);
    assert_eq!(engine.silence(at(1_350)), 1_000);
    engine.note_echo(at(0));
    engine.note_report(report(1, 0), at(3_000));
    assert_eq!(
        engine.silence(at(3_100)),
        2_000,
        "it speaks but hears nothing"
    );
}

#[test]
fn weights_that_come_due_before_a_request_begins_take_nothing() {
    let (fleet, keys) = fleet(1);
    let model = model();
    let due = [Due {
        version: Version(2),
        at: at(5_000),
    }];
    let choose = |now| {
        chosen(admission::choose(
            &fleet,
            &demand(&model, &due, &[]),
            now,
            0,
        ))
    };
    assert_eq!(choose(at(0)), Some(keys[0]));
    assert_eq!(choose(at(4_700)), None, "it would begin too late");
    assert_eq!(choose(at(6_000)), None);
}

#[test]
fn a_suspect_engine_is_not_tried_once_newer_weights_were_named() {
    let (mut fleet, keys) = fleet(1);
    let model = model();
    let due = [Due {
        version: Version(2),
        at: at(8_000),
    }];
    fleet.engine_mut(keys[0]).note_silence(at(0));
    let choose = |due: &[Due]| {
        chosen(admission::choose(
            &fleet,
            &demand(&model, due, &[]),
            at(2_000),
            0,
        ))
    };
    assert_eq!(choose(&[]), Some(keys[0]), "it is tried again");
    assert_eq!(
        choose(&due),
        None,
        "a try could be stuck until its weights are due"
    );
}

#[test]
fn a_stream_goes_on_with_the_version_that_it_began_with() {
    let (mut fleet, keys) = fleet(2);
    let model = model();
    fleet.engine_mut(keys[1]).note_report(report(2, 0), at(0));
    let wanted = Demand {
        goes_on_with: Some(Version(2)),
        ..demand(&model, &[], &[])
    };
    let choice = admission::choose(&fleet, &wanted, at(1), 0);
    assert_eq!(chosen(choice), Some(keys[1]));
    let choice = admission::choose(
        &fleet,
        &Demand {
            tried: &[keys[1]],
            ..wanted
        },
        at(1),
        0,
    );
    assert_eq!(chosen(choice), None);
}

fn standing(repeat: Repeat) -> Standing {
    Standing {
        repeat,
        attempts: 1,
        max_attempts: 2,
        may_have_run: false,
        deadline: at(1_000),
    }
}

#[test]
fn what_may_have_run_is_not_sent_again_unless_it_may_run_twice() {
    let pay = || true;
    let mut once = standing(Repeat::Once);
    assert_eq!(once.after(Failure::Unknown, at(0), pay), Next::Fail);
    let mut safe = standing(Repeat::Safe);
    assert_eq!(safe.after(Failure::Unknown, at(0), pay), Next::TryAnother);
    let mut once = standing(Repeat::Once);
    assert_eq!(once.after(Failure::NotRun, at(0), pay), Next::TryAnother);
}

#[test]
fn not_run_is_said_only_where_it_is_true() {
    let mut once = standing(Repeat::Once);
    assert_eq!(once.after(Failure::NotRun, at(0), || false), Next::Refuse);
    assert_eq!(
        once.after(Failure::NotRun, at(2_000), || true),
        Next::Refuse
    );
    assert_eq!(
        once.after(Failure::Unknown, at(2_000), || true),
        Next::TimeOut
    );
    // Confirmation that a later attempt didn't run doesn't apply to the first one.
    assert_eq!(once.after(Failure::NotRun, at(0), || true), Next::Fail);
}

fn terms() -> budget::Terms {
    budget::Terms {
        ratio: 0.2,
        extra: 100,
        window_millis: 10_000,
        members: 10,
    }
}

#[test]
fn the_extra_is_shared_by_all_gateways_and_comes_back_after_a_window() {
    let mut budget = Budget::new(terms());
    let taken = (0..100).filter(|_| budget.take(at(0))).count();
    assert_eq!(taken, 10);
    assert!(!budget.take(at(9_000)));
    assert!(budget.take(at(10_001)));
}

proptest! {
    #[test]
    fn retries_of_all_gateways_stay_within_the_bound(
        steps in prop::collection::vec((0_u64..400, any::<bool>(), 0_usize..10), 1..400),
    ) {
        let mut budgets = vec![Budget::new(terms()); 10];
        let (mut now, mut requests, mut retries) = (0, Vec::new(), Vec::new());
        for (wait, is_request, gateway) in steps {
            now += wait;
            if is_request {
                budgets[gateway].note_request(at(now));
                requests.push(now);
            } else if budgets[gateway].take(at(now)) {
                retries.push(now);
            }
            let within = |times: &[u64]| times.iter().filter(|time| now - **time <= 10_000).count();
            let bound = 0.2 * within(&requests) as f64 + 100.0;
            prop_assert!(within(&retries) as f64 <= bound);
        }
    }

    #[test]
    fn a_mirror_never_goes_back(
        steps in prop::collection::vec((0_u64..30, 0_u8..3, any::<bool>(), any::<bool>()), 1..60),
    ) {
        let mut mirror = Mirror::default();
        let mut newest = [0_u64; 3];
        for (revision, key, is_gone, is_copy) in steps {
            let item = Item {
                key: key.to_string(),
                revision: Revision(revision),
                value: (!is_gone).then(|| revision.to_be_bytes().to_vec().into()),
            };
            let before = mirror.at();
            if is_copy && !is_gone {
                mirror.replace(vec![item], Revision(revision));
            } else {
                mirror.apply(vec![item], Revision(revision));
            }
            prop_assert!(mirror.at() >= before);
            for item in mirror.items() {
                let place: usize = item.key.parse().expect("a key");
                prop_assert!(item.revision.0 >= newest[place]);
                newest[place] = item.revision.0;
            }
        }
    }

    #[test]
    fn whole_events_pass_whatever_the_cuts(
        texts in prop::collection::vec("[a-z]{0,12}", 1..8),
        cuts in prop::collection::vec(1_usize..7, 1..20),
    ) {
        let sent: String = texts
            .iter()
            .enumerate()
            .map(|(id, text)| format!("id: {id}\ndata: {text}\n\n"))
            .collect();
        let mut splitter = Splitter::default();
        let mut got = Vec::new();
        let mut rest = sent.as_bytes();
        let mut cuts = cuts.iter().cycle();
        while !rest.is_empty() {
            let (now, later) = rest.split_at((*cuts.next().expect("cycles")).min(rest.len()));
            rest = later;
            if let Some(events) = splitter.push(now) {
                prop_assert!(events.ends_with(b"\n\n"));
                got.extend_from_slice(&events);
            }
        }
        prop_assert_eq!(&got[..], sent.as_bytes());
        let last = (texts.len() - 1).to_string();
        prop_assert_eq!(splitter.last_id().map(|id| &id[..]), Some(last.as_bytes()));
        prop_assert!(splitter.finish().is_empty());
    }
}

#[test]
fn an_event_cut_in_the_middle_is_not_passed_on() {
    let mut splitter = Splitter::default();
    let events = splitter.push(b"id: 1\ndata: a\n\nid: 2\nda").expect("one");
    assert_eq!(&events[..], b"id: 1\ndata: a\n\n");
    splitter.discard();
    assert_eq!(splitter.last_id().map(|id| &id[..]), Some(&b"1"[..]));
    assert_eq!(splitter.count(), 1);
}

#[test]
fn a_copy_that_lacks_a_key_says_that_it_has_gone() {
    let item = |key: &str, revision| Item {
        key: key.to_owned(),
        revision: Revision(revision),
        value: Some(vec![1].into()),
    };
    let mut mirror = Mirror::default();
    mirror.apply(vec![item("a", 1), item("b", 2)], Revision(2));
    let news = mirror.replace(vec![item("b", 2)], Revision(5));
    assert_eq!(news.len(), 1);
    assert_eq!((news[0].key.as_str(), news[0].value.is_none()), ("a", true));
    // An older snapshot that still contains the key changes nothing.
    assert!(mirror.replace(vec![item("a", 1)], Revision(4)).is_empty());
    assert!(mirror.apply(vec![item("a", 1)], Revision(1)).is_empty());
}

fn route(prefix: &str, service: u32) -> Route {
    Route {
        name: prefix.to_owned(),
        host: "Host.Example".to_owned(),
        prefix: prefix.to_owned(),
        repeat: Repeat::Safe,
        timeout_millis: 1_000,
        target_millis: 100,
        pause_millis: 100,
        priority: 0,
        targets: vec![Target {
            service: ServiceKey(service),
            weight: 1,
        }],
        max_attempts: 2,
        is_public: false,
        regions: Vec::new(),
    }
}

#[test]
fn the_longest_prefix_of_a_host_takes_a_request() {
    let service = Service {
        name: "s".to_owned(),
        max_connections: 1,
        cold_per_second: 0.0,
        kind: ServiceKind::Plain,
    };
    let tenant = Tenant {
        name: "t".to_owned(),
        priority: None,
        keys: vec!["k".to_owned()],
        regions: Vec::new(),
    };
    let routes = vec![route("/a/", 0), route("/a/b/", 0)];
    let configuration =
        Configuration::new(1, Limits::default(), routes, vec![service], vec![tenant]);
    let name = |path| {
        let key = configuration.find("host.example:80", path)?;
        Some(configuration.route(key).name.as_str())
    };
    assert_eq!(name("/a/b/c"), Some("/a/b/"));
    assert_eq!(name("/a/bc"), Some("/a/"));
    assert_eq!(name("/b/"), None);
    assert!(configuration.find("other.example", "/a/").is_none());
    assert!(configuration.tenant_of("k").is_some());
    assert!(configuration.tenant_of("K").is_none());
}

const BRINGING: Terms = Terms {
    within_millis: 8_000,
    margin_millis: 1_900,
};

fn named(version: u64, millis: u64) -> NamedAt {
    NamedAt {
        version: Version(version),
        at: at(millis),
    }
}

fn place(rank: u32) -> Place {
    Place { rank, count: 6 }
}

const V1: Option<Version> = Some(Version(1));

#[test]
fn engines_go_one_after_the_other_and_all_within_the_bound() {
    let known = [named(2, 0)];
    let order = |rank| bringing::order_at(V1, &known, at(2_500), place(rank), &BRINGING);
    assert_eq!(order(0), at(2_500), "as soon as the weights are whole");
    for rank in 1..6 {
        assert_eq!(order(rank).millis_since(order(rank - 1)), 600);
    }
    assert!(order(5) < at(6_100));
    let late = bringing::order_at(V1, &known, at(7_000), place(5), &BRINGING);
    assert_eq!(late, at(7_000), "weights that come late wait for nothing");
    let empty = bringing::order_at(None, &known, at(2_500), place(5), &BRINGING);
    assert_eq!(
        empty,
        at(2_500),
        "an engine without weights has nothing to lose"
    );
}

#[test]
fn the_oldest_version_that_an_engine_lacks_sets_its_turn() {
    let known = [named(2, 0), named(3, 3_000)];
    let alone = bringing::order_at(V1, &known[..1], at(2_500), place(3), &BRINGING);
    let both = bringing::order_at(V1, &known, at(2_500), place(3), &BRINGING);
    assert_eq!(
        alone, both,
        "a newer version named meanwhile does not put it off"
    );
    let next = bringing::order_at(Some(Version(2)), &known, at(5_500), place(3), &BRINGING);
    assert_eq!(next.millis_since(both), 3_000, "it rests between the two");
}

#[test]
fn places_are_the_same_everywhere_and_each_has_one() {
    let members = [11, 5, 9, 3];
    let mut ranks: Vec<u32> = members
        .iter()
        .map(|member| bringing::place(*member, &members).rank)
        .collect();
    let mut shuffled = members;
    shuffled.reverse();
    assert_eq!(bringing::place(9, &shuffled), bringing::place(9, &members));
    ranks.sort_unstable();
    assert_eq!(ranks, [0, 1, 2, 3]);
}

#[test]
fn prompts_that_wait_for_other_gateways_count() {
    let (mut fleet, keys) = fleet(2);
    let model = model();
    for (key, unread_tokens) in keys.iter().zip([9_000, 0]) {
        let report = Report {
            unread_tokens,
            ..report(1, 8)
        };
        fleet.engine_mut(*key).note_report(report, at(0));
    }
    let choice = admission::choose(&fleet, &demand(&model, &[], &[]), at(1), 0);
    assert_eq!(chosen(choice), Some(keys[1]));
    let first = prediction::first_event(fleet.engine(keys[0]), &model, 979, 0.0, at(0)).sum();
    assert!(
        first > 9_979.0 / 20.7,
        "{first} ms, but all of them are read first"
    );
}

#[test]
fn what_came_since_a_report_counts_by_its_age() {
    let (mut fleet, keys) = fleet(1);
    let model = model();
    fleet.engine_mut(keys[0]).note_report(report(1, 4), at(0));
    let first = |now| {
        let engine = fleet.engine(keys[0]);
        prediction::first_event(engine, &model, 979, 0.01, now).sum()
    };
    assert!(first(at(200)) > first(at(20)) + 100.0);
}

#[test]
fn a_backlog_grows_by_what_is_admitted_and_is_read_off() {
    let model = model();
    let mut backlog = Backlog::default();
    let report = |active, memory_used| Report {
        memory_used,
        ..report(1, active)
    };
    backlog.note(&report(0, 0), &model, at(0));
    let admitted = backlog.note(&report(4, 4_000), &model, at(50));
    assert!((3_900..=4_000).contains(&admitted), "{admitted}");
    let read = backlog.note(&report(4, 4_000), &model, at(150));
    assert!(read < 3_000, "{read} are left after a tenth of a second");
    let later = backlog.note(&report(4, 4_100), &model, at(1_150));
    assert!(later < 100, "answers add to memory, too: {later}");
    let gone = backlog.note(&report(0, 0), &model, at(1_200));
    assert_eq!(gone, 0, "what is not in memory is not to be read");
}

#[test]
fn an_engine_tells_since_when_it_takes_nothing() {
    let (mut fleet, keys) = fleet(1);
    let busy = Report {
        is_busy: true,
        ..report(1, 4)
    };
    let engine = fleet.engine_mut(keys[0]);
    assert_eq!(engine.closed_millis(at(0)), None);
    engine.note_report(busy.clone(), at(0));
    engine.note_report(busy, at(50));
    assert_eq!(engine.closed_millis(at(300)), Some(300));
    engine.note_report(report(2, 0), at(400));
    assert_eq!(engine.closed_millis(at(500)), None);
}

#[test]
fn the_work_of_an_ordinary_service_is_measured() {
    let (mut fleet, keys) = fleet(1);
    let ordinary = Demand {
        engines: None,
        model: None,
        target_millis: 100,
        ..demand_of_nothing()
    };
    let predicted = |fleet: &Fleet| match admission::choose(fleet, &ordinary, at(0), 0) {
        Choice::Send {
            predicted_millis, ..
        } => predicted_millis,
        other => panic!("{other:?}"),
    };
    assert_eq!(
        predicted(&fleet),
        20.0,
        "a part of the target, until it is known"
    );
    for _ in 0..50 {
        // Twice the unshared time, with as many concurrent requests as slots.
        fleet.engine_mut(keys[0]).note_work(80.0, 2.0);
    }
    assert!((predicted(&fleet) - 40.0).abs() < 1.0);
}

#[test]
fn arrivals_are_averaged_over_the_last_seconds() {
    let mut arrivals = Arrivals::default();
    for turn in 0..50 {
        arrivals.note(at(turn * 10));
    }
    let soon = arrivals.per_milli(at(500));
    assert!(
        (0.09..0.11).contains(&soon),
        "{soon} half a second after the first"
    );
    for turn in 50..1_000 {
        arrivals.note(at(turn * 10));
    }
    let rate = arrivals.per_milli(at(10_000));
    assert!((0.09..0.11).contains(&rate), "{rate}");
    assert!(arrivals.per_milli(at(20_000)) < 0.01, "they have ceased");
}

#[test]
fn bulk_leaves_part_of_the_link_free() {
    let mut pace = Pace::new(8_000_000);
    assert_eq!(pace.reserve(1_000, at(0)), at(0));
    let mut last = at(0);
    for _ in 0..100 {
        last = pace.reserve(1_000, at(0));
    }
    let took = last.millis_since(at(0));
    assert!((105..130).contains(&took), "{took} ms for 100 ms of link");
}

#[test]
fn an_engine_that_takes_nothing_any_more_is_ordered_without_notice() {
    let times = |standing| {
        let notice = bringing::notice(standing, at(1_000));
        [notice.quiet_until, notice.order_at].map(|time| time.millis_since(at(1_000)))
    };
    assert_eq!(times(Tenure::Unbounded), [450, 650]);
    assert_eq!(times(Tenure::Empty), [0, 0]);
    assert_eq!(times(Tenure::Until(at(900))), [0, 0], "overdue for 100 ms");
    assert_eq!(times(Tenure::Until(at(1_300))), [300, 300]);
    assert_eq!(times(Tenure::Until(at(5_000))), [450, 650]);
}

/// Returns how many of 64 requests from gateways with the same view are sent to the one idle engine
/// of 64.
fn sent_to_the_free_one(gateways: u32) -> usize {
    let (mut fleet, keys) = fleet(64);
    for (place, key) in keys.iter().enumerate() {
        let active = if place == 0 { 0 } else { 2 };
        let engine = fleet.engine_mut(*key);
        engine.note_report(report(1, active), at(0));
    }
    let model = model();
    let demand = Demand {
        gateways,
        ..demand(&model, &[], &[])
    };
    let draws = (0..64).map(order::mix);
    let chosen = draws.map(|draw| chosen(admission::choose(&fleet, &demand, at(0), draw)));
    chosen.filter(|engine| *engine == Some(keys[0])).count()
}

#[test]
fn many_gateways_that_know_the_same_do_not_all_choose_the_best_engine() {
    // The expected number is 16, with a standard deviation of 3.5.
    let sent = sent_to_the_free_one(40);
    assert!(sent <= 26, "{sent} of 64");
    // With few gateways, most requests choose the idle engine.
    assert!(sent_to_the_free_one(6) > 26);
}
