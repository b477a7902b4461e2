//! Tests of admission, retries, prediction and related decisions.

use {
    gingerpier_admission::{
        arrivals::Arrivals,
        backlog::Backlog,
        fairness::Adjustment,
        prediction,
        selection::{self, Choice, Criteria, Cutover},
        shedding,
    },
    gingerpier_base::{Instant, order},
    gingerpier_serving::{
        budget::{self, Budget},
        configuration::{
            Account, Configuration, EngineModel, Limits, Repeat, Route, Service, ServiceKey,
            ServiceKind, Target,
        },
        events::Splitter,
        fleet::{EngineKey, Fleet, Record, State},
        mirror::{Item, Mirror, Revision},
        pacing::Pacer,
        region::RegionSet,
        report::{Held, Report, Version},
        retry::{Action, Failure, RetryState},
        update_schedule::{self, Bound, Position, ReleaseTime, Validity},
        warmup,
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
        prompt_tokens_per_milli: 20.7,
        max_prompt_tokens_per_pass: Some(2_048),
        mean_prompt_tokens: 979,
        mean_answer_tokens: 92,
        memory_tokens: 317_000,
        models: vec!["m".to_owned()],
    }
}

fn report(version: u64, active: u32) -> Report {
    Report {
        loaded: vec![Held {
            model: "m".to_owned(),
            version: Version(version),
        }],
        active,
        slowdown: 1.0,
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
            fleet.list(record, Revision::new(1))
        })
        .collect();
    (fleet, keys)
}

fn criteria<'a>(
    model: &'a EngineModel,
    cutovers: &'a [Cutover],
    tried_engines: &'a [EngineKey],
) -> Criteria<'a> {
    Criteria {
        engine_model: Some(model),
        model: Some("m"),
        cutovers,
        prompt_tokens: 979,
        tried_engines,
        ..default_criteria()
    }
}

fn default_criteria() -> Criteria<'static> {
    Criteria {
        service: "s",
        engine_model: None,
        model: None,
        cutovers: &[],
        resume_version: None,
        prompt_tokens: 0,
        target_millis: 500,
        target_share: shedding::TARGET_SHARE,
        fairness: Adjustment::default(),
        gateway_count: 6,
        zone: "z",
        other_arrivals_per_milli: 0.0,
        overtaking_per_milli: 0.0,
        tried_engines: &[],
        may_crash_engine: false,
        allowed_regions: RegionSet::ALL,
        cold_limits: warmup::ColdLimits::NEVER_COLD,
    }
}

fn selected_engine(choice: Choice) -> Option<EngineKey> {
    match choice {
        Choice::Send { engine, .. } => Some(engine),
        Choice::Full(_) | Choice::NoEngine => None,
    }
}

#[test]
fn availability_counts_name_the_reason_for_each_engine() {
    let (model, tried) = (model(), []);
    let criteria = criteria(&model, &[], &tried);
    let count =
        |fleet: &Fleet| selection::count_availability(fleet, &criteria, at(1_000)).to_string();
    assert_eq!(count(&Fleet::default()), "none");
    let (mut fleet, keys) = fleet(6);
    let empty = Report {
        loaded: Vec::new(),
        ..report(1, 0)
    };
    fleet.engine_mut(keys[0]).record_report(empty, at(900));
    fleet
        .engine_mut(keys[1])
        .record_report(report(1, 200), at(900));
    fleet.engine_mut(keys[2]).record_report(report(1, 0), at(0));
    fleet.engine_mut(keys[3]).record_failure(at(900));
    let busy = Report {
        is_busy: true,
        ..report(1, 0)
    };
    fleet.engine_mut(keys[4]).record_report(busy, at(900));
    assert_eq!(
        count(&fleet),
        "empty:1,ordered:1,resting:1,silent:1,full:1,open:1"
    );
}

/// Guards against refusals whose cause can't be read from the logged prediction.
#[test]
fn refusal_reports_the_components_of_its_prediction() {
    let (model, tried) = (model(), []);
    let (mut fleet, keys) = fleet(1);
    fleet
        .engine_mut(keys[0])
        .record_report(report(1, 20), at(0));
    let refusal = |tokens| {
        let criteria = Criteria {
            prompt_tokens: tokens,
            ..criteria(&model, &[], &tried)
        };
        match selection::choose(&fleet, &criteria, at(0), 0) {
            Choice::Full(shortfall) => shortfall,
            other => panic!("{other:?}"),
        }
    };
    let (average, large) = (refusal(979), refusal(2_937));
    assert_eq!(
        average.components.queue_millis,
        large.components.queue_millis
    );
    assert_eq!(
        average.components.other_prompts_millis,
        large.components.other_prompts_millis
    );
    assert!(
        large.components.own_prompt_millis > 2.9 * average.components.own_prompt_millis,
        "{large:?}"
    );
    let sum = large.components.queue_millis
        + large.components.pass_millis
        + large.components.other_prompts_millis
        + large.components.own_prompt_millis;
    assert_eq!(large.predicted_millis(), sum);
    assert_eq!(large.bound_millis, 500.0 * shedding::TARGET_SHARE);
}

/// Guards against permanent refusal of a prompt that misses its target even on an idle engine.
#[test]
fn idle_engine_admits_a_prompt_that_misses_its_target_everywhere() {
    let (model, tried) = (model(), []);
    let large = Criteria {
        prompt_tokens: 20_000,
        ..criteria(&model, &[], &tried)
    };
    let (mut fleet, keys) = fleet(1);
    fleet.engine_mut(keys[0]).record_report(report(1, 0), at(0));
    let choose = |fleet: &Fleet| selected_engine(selection::choose(fleet, &large, at(10), 0));
    assert_eq!(choose(&fleet), Some(keys[0]));
    fleet
        .engine_mut(keys[0])
        .record_report(report(1, 40), at(0));
    assert_eq!(
        choose(&fleet),
        None,
        "a busy engine is later than an idle one"
    );
}

/// Guards against permanent refusal of large prompts when all engines are slow.
#[test]
fn slow_idle_engine_admits_a_large_prompt() {
    let (model, tried) = (model(), []);
    let large = Criteria {
        prompt_tokens: 3_500,
        ..criteria(&model, &[], &tried)
    };
    let (mut fleet, keys) = fleet(1);
    let slow = |active| Report {
        slowdown: 3.0,
        ..report(1, active)
    };
    fleet.engine_mut(keys[0]).record_report(slow(0), at(0));
    let choose = |fleet: &Fleet| selected_engine(selection::choose(fleet, &large, at(10), 0));
    assert_eq!(choose(&fleet), Some(keys[0]));
    fleet.engine_mut(keys[0]).record_report(slow(16), at(0));
    assert_eq!(
        choose(&fleet),
        None,
        "a busy engine is later than an idle one"
    );
}

/// Guards against refusal by idle engines when no engine of the sampled subset is eligible.
#[test]
fn returning_caller_gets_an_idle_engine_outside_an_ineligible_subset() {
    let (model, tried) = (model(), []);
    let returned = Criteria {
        gateway_count: 40,
        target_millis: 400,
        target_share: shedding::MIN_TARGET_SHARE,
        ..criteria(&model, &[], &tried)
    };
    let (mut fleet, keys) = fleet(40);
    let empty = Report {
        loaded: Vec::new(),
        ..report(1, 0)
    };
    for key in &keys[1..] {
        fleet.engine_mut(*key).record_report(empty.clone(), at(0));
    }
    fleet.engine_mut(keys[0]).record_report(report(1, 0), at(0));
    let refused = (0..1_000).filter(|draw| {
        let choice = selection::choose(&fleet, &returned, at(10), *draw);
        selected_engine(choice).is_none()
    });
    assert_eq!(refused.count(), 0);
}

#[test]
fn draining_engine_is_not_reopened_by_a_stale_entry() {
    let (mut fleet, keys) = fleet(1);
    let draining = Record {
        state: State::Draining,
        ..record("e0", "z")
    };
    fleet.list(draining, Revision::new(2));
    // A stale entry must not reopen the engine.
    fleet.list(record("e0", "z"), Revision::new(3));
    assert!(!fleet.engine(keys[0]).is_open(at(0)));
}

#[test]
fn only_the_latest_engine_at_an_address_is_used() {
    let mut fleet = Fleet::default();
    // Store keys aren't ordered by time, and entries of stopped engines remain for a while.
    let new = fleet.list(record("a-new", "z"), Revision::new(9));
    let old = fleet.list(record("b-old", "z"), Revision::new(5));
    let address = "10.0.0.1:80".parse().expect("an address");
    assert_eq!(fleet.at_address(address), Some(new));
    assert!(fleet.engine(new).is_open(at(0)));
    assert!(
        !fleet.engine(old).is_open(at(0)),
        "a newer engine is listed at its address"
    );
    let newest = fleet.list(record("c-newest", "z"), Revision::new(12));
    assert!(!fleet.engine(new).is_open(at(0)));
    assert_eq!(fleet.at_address(address), Some(newest));
    fleet.unlist("c-newest");
    assert_eq!(fleet.at_address(address), None, "no engine is listed there");
}

#[test]
fn full_engine_is_not_selected() {
    let (mut fleet, keys) = fleet(2);
    let model = model();
    for (key, active) in keys.iter().zip([40, 3]) {
        fleet
            .engine_mut(*key)
            .record_report(report(1, active), at(0));
    }
    let choice = selection::choose(&fleet, &criteria(&model, &[], &[]), at(1), 0);
    assert_eq!(selected_engine(choice), Some(keys[1]));
    fleet
        .engine_mut(keys[1])
        .record_report(report(1, 40), at(0));
    let choice = selection::choose(&fleet, &criteria(&model, &[], &[]), at(1), 0);
    assert!(matches!(choice, Choice::Full(_)));
}

#[test]
fn own_requests_count_before_a_report_includes_them() {
    let (mut fleet, keys) = fleet(1);
    fleet
        .engine_mut(keys[0])
        .record_report(report(1, 10), at(0));
    for _ in 0..12 {
        fleet.engine_mut(keys[0]).record_sent(979, at(1));
    }
    assert!(fleet.engine(keys[0]).occupancy(at(2)) >= 22.0);
}

#[test]
fn engine_without_responses_gets_one_trial_request_after_its_backoff() {
    let (mut fleet, keys) = fleet(1);
    let model = model();
    fleet.engine_mut(keys[0]).record_timeout(at(0));
    let choose = |fleet: &Fleet, now| {
        selected_engine(selection::choose(
            fleet,
            &criteria(&model, &[], &[]),
            now,
            0,
        ))
    };
    assert_eq!(choose(&fleet, at(900)), None);
    assert_eq!(choose(&fleet, at(1_100)), Some(keys[0]));
    fleet.engine_mut(keys[0]).record_sent(979, at(1_100));
    assert_eq!(
        choose(&fleet, at(1_200)),
        None,
        "only one trial request at a time"
    );
    fleet.engine_mut(keys[0]).record_success();
    assert_eq!(choose(&fleet, at(1_300)), Some(keys[0]));
}

#[test]
fn overdue_reports_and_acknowledgements_count_as_silence() {
    let (mut fleet, keys) = fleet(1);
    let engine = fleet.engine_mut(keys[0]);
    engine.record_report(report(1, 0), at(0));
    assert_eq!(engine.overdue_millis(at(300)), 0);
    assert_eq!(engine.overdue_millis(at(1_350)), 1_000);
    engine.record_ack(at(0));
    engine.record_report(report(1, 0), at(3_000));
    assert_eq!(
        engine.overdue_millis(at(3_100)),
        2_000,
        "reports arrive but acknowledgements do not"
    );
}

#[test]
fn request_does_not_start_on_weights_past_their_cutover() {
    let (fleet, keys) = fleet(1);
    let model = model();
    let due = [Cutover {
        version: Version(2),
        at: at(5_000),
    }];
    let choose = |now| {
        selected_engine(selection::choose(
            &fleet,
            &criteria(&model, &due, &[]),
            now,
            0,
        ))
    };
    assert_eq!(choose(at(0)), Some(keys[0]));
    assert_eq!(choose(at(4_700)), None, "it would start after the cutover");
    assert_eq!(choose(at(6_000)), None);
}

#[test]
fn suspect_engine_gets_no_trial_request_before_a_cutover() {
    let (mut fleet, keys) = fleet(1);
    let model = model();
    let due = [Cutover {
        version: Version(2),
        at: at(8_000),
    }];
    fleet.engine_mut(keys[0]).record_timeout(at(0));
    let choose = |due: &[Cutover]| {
        selected_engine(selection::choose(
            &fleet,
            &criteria(&model, due, &[]),
            at(2_000),
            0,
        ))
    };
    assert_eq!(choose(&[]), Some(keys[0]), "a trial request is sent");
    assert_eq!(
        choose(&due),
        None,
        "a trial request could start after the cutover"
    );
}

#[test]
fn stream_resumes_only_on_its_own_version() {
    let (mut fleet, keys) = fleet(2);
    let model = model();
    fleet.engine_mut(keys[1]).record_report(report(2, 0), at(0));
    let resumed = Criteria {
        resume_version: Some(Version(2)),
        ..criteria(&model, &[], &[])
    };
    let choice = selection::choose(&fleet, &resumed, at(1), 0);
    assert_eq!(selected_engine(choice), Some(keys[1]));
    let choice = selection::choose(
        &fleet,
        &Criteria {
            tried_engines: &[keys[1]],
            ..resumed
        },
        at(1),
        0,
    );
    assert_eq!(selected_engine(choice), None);
}

fn retry_state(repeat: Repeat) -> RetryState {
    RetryState {
        repeat,
        attempts: 1,
        max_attempts: 2,
        may_have_run: false,
        deadline: at(1_000),
    }
}

#[test]
fn non_idempotent_request_is_not_retried_after_it_may_have_run() {
    let pay = || true;
    let mut once = retry_state(Repeat::Once);
    assert_eq!(
        once.record_failure(Failure::Unknown, at(0), pay),
        Action::Fail
    );
    let mut safe = retry_state(Repeat::Safe);
    assert_eq!(
        safe.record_failure(Failure::Unknown, at(0), pay),
        Action::Retry
    );
    let mut once = retry_state(Repeat::Once);
    assert_eq!(
        once.record_failure(Failure::NotRun, at(0), pay),
        Action::Retry
    );
}

#[test]
fn request_that_may_have_run_is_never_reported_as_not_run() {
    let mut once = retry_state(Repeat::Once);
    assert_eq!(
        once.record_failure(Failure::NotRun, at(0), || false),
        Action::Refuse
    );
    assert_eq!(
        once.record_failure(Failure::NotRun, at(2_000), || true),
        Action::Refuse
    );
    assert_eq!(
        once.record_failure(Failure::Unknown, at(2_000), || true),
        Action::TimeOut
    );
    // Confirmation that a later attempt didn't run doesn't apply to the first one.
    assert_eq!(
        once.record_failure(Failure::NotRun, at(0), || true),
        Action::Fail
    );
}

fn limits() -> budget::Limits {
    budget::Limits {
        ratio: 0.2,
        extra: 100,
        window_millis: 10_000,
        gateways: 10,
    }
}

#[test]
fn extra_retries_are_divided_among_gateways_and_renewed_after_a_window() {
    let mut budget = Budget::new(limits());
    let taken = (0..100).filter(|_| budget.try_spend(at(0))).count();
    assert_eq!(taken, 10);
    assert!(!budget.try_spend(at(9_000)));
    assert!(budget.try_spend(at(10_001)));
}

proptest! {
    #[test]
    fn retries_of_all_gateways_stay_within_the_bound(
        steps in prop::collection::vec((0_u64..400, any::<bool>(), 0_usize..10), 1..400),
    ) {
        let mut budgets = vec![Budget::new(limits()); 10];
        let (mut now, mut requests, mut retries) = (0, Vec::new(), Vec::new());
        for (wait, is_request, gateway) in steps {
            now += wait;
            if is_request {
                budgets[gateway].record_first_attempt(at(now));
                requests.push(now);
            } else if budgets[gateway].try_spend(at(now)) {
                retries.push(now);
            }
            let within = |times: &[u64]| times.iter().filter(|time| now - **time <= 10_000).count();
            let bound = 0.2 * within(&requests) as f64 + 100.0;
            prop_assert!(within(&retries) as f64 <= bound);
        }
    }

    #[test]
    fn mirror_revisions_never_decrease(
        steps in prop::collection::vec((0_u64..30, 0_u8..3, any::<bool>(), any::<bool>()), 1..60),
    ) {
        let mut mirror = Mirror::default();
        let mut newest = [0_u64; 3];
        for (revision, key, is_removed, is_snapshot) in steps {
            let item = Item {
                key: key.to_string(),
                revision: Revision::new(revision),
                value: (!is_removed).then(|| revision.to_be_bytes().to_vec().into()),
            };
            let before = mirror.revision();
            if is_snapshot && !is_removed {
                mirror.replace(vec![item], Revision::new(revision));
            } else {
                mirror.apply(vec![item], Revision::new(revision));
            }
            prop_assert!(mirror.revision() >= before);
            for item in mirror.items() {
                let index: usize = item.key.parse().expect("a key");
                prop_assert!(item.revision.number >= newest[index]);
                newest[index] = item.revision.number;
            }
        }
    }

    #[test]
    fn events_are_forwarded_whole_for_any_chunking(
        texts in prop::collection::vec("[a-z]{0,12}", 1..8),
        chunk_sizes in prop::collection::vec(1_usize..7, 1..20),
    ) {
        let sent: String = texts
            .iter()
            .enumerate()
            .map(|(id, text)| format!("id: {id}\ndata: {text}\n\n"))
            .collect();
        let mut splitter = Splitter::default();
        let mut forwarded = Vec::new();
        let mut unsent = sent.as_bytes();
        let mut chunk_sizes = chunk_sizes.iter().cycle();
        while !unsent.is_empty() {
            let (chunk, later) = unsent.split_at((*chunk_sizes.next().expect("cycles")).min(unsent.len()));
            unsent = later;
            if let Some(events) = splitter.push(chunk) {
                prop_assert!(events.ends_with(b"\n\n"));
                forwarded.extend_from_slice(&events);
            }
        }
        prop_assert_eq!(&forwarded[..], sent.as_bytes());
        let last = (texts.len() - 1).to_string();
        prop_assert_eq!(splitter.last_id().map(|id| &id[..]), Some(last.as_bytes()));
        prop_assert!(splitter.finish().is_empty());
    }
}

/// Guards against a stream that counts as complete although it ended inside an event, and against one that counts as
/// broken off although it ended between two.
#[test]
fn an_end_inside_an_event_is_told_from_one_between_events() {
    let is_inside = |data: &[u8]| {
        let mut splitter = Splitter::default();
        splitter.push(data);
        splitter.is_inside_event()
    };
    for whole in [
        "",
        "id: 1\ndata: a\n\n",
        "id: 1\r\ndata: a\r\n\r\n",
        "id: 1\rdata: a\r\r",
        "id: 1\ndata: a\n\n\n",
        "id: 1\ndata: a\n\n: comment\n",
    ] {
        assert!(!is_inside(whole.as_bytes()), "{whole:?}");
    }
    for cut in ["i", "id: 1\ndata: a\n", "id: 1\ndata: a\n\ndata"] {
        assert!(is_inside(cut.as_bytes()), "{cut:?}");
    }
}

/// Guards against the same for an event of which the beginning was forwarded already.
#[test]
fn the_end_of_a_flushed_event_is_found() {
    let mut splitter = Splitter::default();
    assert!(splitter.push(b"id: 1\ndata: long\n").is_none());
    let flushed = splitter.flush();
    assert!(splitter.is_inside_event());
    let rest = splitter.push(b"\n").expect("the event ends");
    assert_eq!([&flushed[..], &rest[..]].concat(), b"id: 1\ndata: long\n\n");
    assert!(!splitter.is_inside_event());
}

#[test]
fn incomplete_event_is_not_forwarded() {
    let mut splitter = Splitter::default();
    let events = splitter.push(b"id: 1\ndata: a\n\nid: 2\nda").expect("one");
    assert_eq!(&events[..], b"id: 1\ndata: a\n\n");
    splitter.discard();
    assert_eq!(splitter.last_id().map(|id| &id[..]), Some(&b"1"[..]));
    assert_eq!(splitter.count(), 1);
}

#[test]
fn snapshot_without_a_key_reports_its_removal() {
    let item = |key: &str, revision| Item {
        key: key.to_owned(),
        revision: Revision::new(revision),
        value: Some(vec![1].into()),
    };
    let mut mirror = Mirror::default();
    mirror.apply(vec![item("a", 1), item("b", 2)], Revision::new(2));
    let news = mirror.replace(vec![item("b", 2)], Revision::new(5));
    assert_eq!(news.len(), 1);
    assert_eq!((news[0].key.as_str(), news[0].value.is_none()), ("a", true));
    // An older snapshot that still contains the key changes nothing.
    assert!(
        mirror
            .replace(vec![item("a", 1)], Revision::new(4))
            .is_empty()
    );
    assert!(
        mirror
            .apply(vec![item("a", 1)], Revision::new(1))
            .is_empty()
    );
}

fn route(prefix: &str, service: u32) -> Route {
    Route {
        name: prefix.to_owned(),
        host: "Host.Example".to_owned(),
        prefix: prefix.to_owned(),
        repeat: Repeat::Safe,
        timeout_millis: 1_000,
        target_millis: 100,
        max_pause_millis: 100,
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
fn longest_matching_path_prefix_selects_the_route() {
    let service = Service {
        name: "s".to_owned(),
        max_connections: 1,
        cold_per_second: 0.0,
        kind: ServiceKind::Plain,
    };
    let account = Account {
        name: "t".to_owned(),
        priority: None,
        keys: vec!["k".to_owned()],
        regions: Vec::new(),
    };
    let routes = vec![route("/a/", 0), route("/a/b/", 0)];
    let configuration =
        Configuration::new(1, Limits::default(), routes, vec![service], vec![account]);
    let name = |path| {
        let key = configuration.find("host.example:80", path)?;
        Some(configuration.route(key).name.as_str())
    };
    assert_eq!(name("/a/b/c"), Some("/a/b/"));
    assert_eq!(name("/a/bc"), Some("/a/"));
    assert_eq!(name("/b/"), None);
    assert!(configuration.find("other.example", "/a/").is_none());
    assert!(configuration.account_of("k").is_some());
    assert!(configuration.account_of("K").is_none());
}

const UPDATE_TERMS: Bound = Bound {
    within_millis: 8_000,
    margin_millis: 1_900,
};

fn named(version: u64, millis: u64) -> ReleaseTime {
    ReleaseTime {
        version: Version(version),
        at: at(millis),
    }
}

fn place(rank: u32) -> Position {
    Position { rank, count: 6 }
}

const V1: Option<Version> = Some(Version(1));

#[test]
fn weight_updates_are_spread_over_engines_within_the_bound() {
    let known = [named(2, 0)];
    let order = |rank| update_schedule::order_at(V1, &known, at(2_500), place(rank), &UPDATE_TERMS);
    assert_eq!(order(0), at(2_500), "as soon as the weights are complete");
    for rank in 1..6 {
        assert_eq!(order(rank).millis_since(order(rank - 1)), 600);
    }
    assert!(order(5) < at(6_100));
    let late = update_schedule::order_at(V1, &known, at(7_000), place(5), &UPDATE_TERMS);
    assert_eq!(
        late,
        at(7_000),
        "weights that are complete late are not delayed further"
    );
    let empty = update_schedule::order_at(None, &known, at(2_500), place(5), &UPDATE_TERMS);
    assert_eq!(empty, at(2_500), "an engine without weights is not delayed");
}

#[test]
fn newer_version_does_not_postpone_a_pending_update() {
    let known = [named(2, 0), named(3, 3_000)];
    let alone = update_schedule::order_at(V1, &known[..1], at(2_500), place(3), &UPDATE_TERMS);
    let both = update_schedule::order_at(V1, &known, at(2_500), place(3), &UPDATE_TERMS);
    assert_eq!(alone, both, "a newer version does not postpone the update");
    let next =
        update_schedule::order_at(Some(Version(2)), &known, at(5_500), place(3), &UPDATE_TERMS);
    assert_eq!(
        next.millis_since(both),
        3_000,
        "each version has its own slot"
    );
}

#[test]
fn update_positions_are_unique_and_independent_of_member_order() {
    let members = [11, 5, 9, 3];
    let mut ranks: Vec<u32> = members
        .iter()
        .map(|member| update_schedule::position(*member, &members).rank)
        .collect();
    let mut shuffled = members;
    shuffled.reverse();
    assert_eq!(
        update_schedule::position(9, &shuffled),
        update_schedule::position(9, &members)
    );
    ranks.sort_unstable();
    assert_eq!(ranks, [0, 1, 2, 3]);
}

#[test]
fn pending_prompts_of_other_gateways_count() {
    let (mut fleet, keys) = fleet(2);
    let model = model();
    for (key, pending_prompt_tokens) in keys.iter().zip([9_000, 0]) {
        let report = Report {
            pending_prompt_tokens,
            ..report(1, 8)
        };
        fleet.engine_mut(*key).record_report(report, at(0));
    }
    let choice = selection::choose(&fleet, &criteria(&model, &[], &[]), at(1), 0);
    assert_eq!(selected_engine(choice), Some(keys[1]));
    let first = prediction::predict_first_event(fleet.engine(keys[0]), &model, 979, 0.0, at(0))
        .total_millis();
    assert!(
        first > 9_979.0 / 20.7,
        "{first} ms, but all pending prompts are processed first"
    );
}

#[test]
fn prediction_includes_arrivals_since_the_report() {
    let (mut fleet, keys) = fleet(1);
    let model = model();
    fleet.engine_mut(keys[0]).record_report(report(1, 4), at(0));
    let first = |now| {
        let engine = fleet.engine(keys[0]);
        prediction::predict_first_event(engine, &model, 979, 0.01, now).total_millis()
    };
    assert!(first(at(200)) > first(at(20)) + 100.0);
}

#[test]
fn backlog_follows_admitted_and_processed_prompts() {
    let model = model();
    let mut backlog = Backlog::default();
    let report = |active, memory_used_tokens| Report {
        memory_used_tokens,
        ..report(1, active)
    };
    backlog.update(&report(0, 0), &model, at(0));
    let admitted = backlog.update(&report(4, 4_000), &model, at(50));
    assert!((3_900..=4_000).contains(&admitted), "{admitted}");
    let remaining = backlog.update(&report(4, 4_000), &model, at(150));
    assert!(remaining < 3_000, "{remaining} tokens left after 100 ms");
    let later = backlog.update(&report(4, 4_100), &model, at(1_150));
    assert!(later < 100, "answers also grow memory: {later}");
    let gone = backlog.update(&report(0, 0), &model, at(1_200));
    assert_eq!(gone, 0, "tokens that are not in memory need no processing");
}

#[test]
fn blocked_time_counts_from_the_first_busy_report() {
    let (mut fleet, keys) = fleet(1);
    let busy = Report {
        is_busy: true,
        ..report(1, 4)
    };
    let engine = fleet.engine_mut(keys[0]);
    assert_eq!(engine.blocked_millis(at(0)), None);
    engine.record_report(busy.clone(), at(0));
    engine.record_report(busy, at(50));
    assert_eq!(engine.blocked_millis(at(300)), Some(300));
    engine.record_report(report(2, 0), at(400));
    assert_eq!(engine.blocked_millis(at(500)), None);
}

/// A request to a service without models, whose target is 100 ms.
fn ordinary_criteria() -> Criteria<'static> {
    Criteria {
        engine_model: None,
        model: None,
        target_millis: 100,
        ..default_criteria()
    }
}

#[test]
fn ordinary_service_time_is_measured_without_sharing() {
    let (mut fleet, keys) = fleet(1);
    let ordinary = ordinary_criteria();
    let predicted = |fleet: &Fleet| match selection::choose(fleet, &ordinary, at(0), 0) {
        Choice::Send {
            predicted_millis, ..
        } => predicted_millis,
        other => panic!("{other:?}"),
    };
    assert_eq!(
        predicted(&fleet),
        20.0,
        "a fraction of the target until measured"
    );
    for _ in 0..50 {
        // Twice the unshared time, with as many concurrent requests as slots.
        fleet.engine_mut(keys[0]).record_work(80.0, 2.0);
    }
    assert!((predicted(&fleet) - 40.0).abs() < 1.0);
}

/// All requests of a service are refused for good after its engines were slow for a while, as no response can
/// correct the measured time any more.
#[test]
fn ordinary_service_is_not_refused_for_good_after_slow_responses() {
    let (mut fleet, keys) = fleet(2);
    let ordinary = ordinary_criteria();
    let choose = |fleet: &Fleet| selection::choose(fleet, &ordinary, at(0), 0);
    for key in &keys {
        for _ in 0..50 {
            fleet.engine_mut(*key).record_work(5_000.0, 1.0);
        }
    }
    for _ in 0..200 {
        let Choice::Send { engine, .. } = choose(&fleet) else {
            panic!("an idle engine is refused: {:?}", choose(&fleet));
        };
        fleet.engine_mut(engine).record_sent(0, at(0));
        fleet.engine_mut(engine).record_work(20.0, 1.0);
        fleet.engine_mut(engine).record_end(0, true);
    }
    let Choice::Send {
        predicted_millis, ..
    } = choose(&fleet)
    else {
        panic!("{:?}", choose(&fleet));
    };
    assert!((predicted_millis - 20.0).abs() < 1.0, "{predicted_millis}");
}

/// A queue at engines that are measured as too slow for the target.
#[test]
fn slow_ordinary_engines_get_few_requests_at_once() {
    let (mut fleet, keys) = fleet(1);
    let ordinary = ordinary_criteria();
    for _ in 0..50 {
        fleet.engine_mut(keys[0]).record_work(5_000.0, 1.0);
    }
    let slots = fleet.engine(keys[0]).record.slots;
    let mut sent = 0;
    while let Choice::Send { engine, .. } = selection::choose(&fleet, &ordinary, at(0), 0) {
        fleet.engine_mut(engine).record_sent(0, at(0));
        sent += 1;
        assert!(sent <= slots / 4 + 1, "{sent} requests at {slots} slots");
    }
}

#[test]
fn arrival_rate_follows_recent_arrivals() {
    let mut arrivals = Arrivals::default();
    for turn in 0..50 {
        arrivals.record(at(turn * 10));
    }
    let soon = arrivals.per_milli(at(500));
    assert!(
        (0.09..0.11).contains(&soon),
        "{soon} half a second after the first"
    );
    for turn in 50..1_000 {
        arrivals.record(at(turn * 10));
    }
    let rate = arrivals.per_milli(at(10_000));
    assert!((0.09..0.11).contains(&rate), "{rate}");
    assert!(
        arrivals.per_milli(at(20_000)) < 0.01,
        "arrivals have stopped"
    );
}

#[test]
fn bulk_transfers_leave_part_of_the_link_free() {
    let mut pace = Pacer::new(8_000_000);
    assert_eq!(pace.reserve(1_000, at(0)), at(0));
    let mut last = at(0);
    for _ in 0..100 {
        last = pace.reserve(1_000, at(0));
    }
    let took_millis = last.millis_since(at(0));
    assert!(
        (105..130).contains(&took_millis),
        "{took_millis} ms for 100 ms of link"
    );
}

#[test]
fn engine_that_admits_no_requests_needs_no_notice() {
    let times = |standing| {
        let notice = update_schedule::notice(standing, at(1_000));
        [notice.unchanged_until, notice.order_at].map(|time| time.millis_since(at(1_000)))
    };
    assert_eq!(times(Validity::Unbounded), [450, 650]);
    assert_eq!(times(Validity::Empty), [0, 0]);
    assert_eq!(
        times(Validity::Until(at(900))),
        [0, 0],
        "overdue for 100 ms"
    );
    assert_eq!(times(Validity::Until(at(1_300))), [300, 300]);
    assert_eq!(times(Validity::Until(at(5_000))), [450, 650]);
}

/// Returns how many of 64 requests from gateways with the same view are sent to the one idle engine
/// of 64.
fn sent_to_idle_engine(gateway_count: u32) -> usize {
    let (mut fleet, keys) = fleet(64);
    for (index, key) in keys.iter().enumerate() {
        let active = if index == 0 { 0 } else { 2 };
        let engine = fleet.engine_mut(*key);
        engine.record_report(report(1, active), at(0));
    }
    let model = model();
    let criteria = Criteria {
        gateway_count,
        ..criteria(&model, &[], &[])
    };
    let draws = (0..64).map(order::mix);
    let selected =
        draws.map(|draw| selected_engine(selection::choose(&fleet, &criteria, at(0), draw)));
    selected.filter(|engine| *engine == Some(keys[0])).count()
}

#[test]
fn gateways_with_the_same_view_do_not_all_select_the_same_engine() {
    // The expected number is 16, with a standard deviation of 3.5.
    let sent = sent_to_idle_engine(40);
    assert!(sent <= 26, "{sent} of 64");
    // With few gateways, most requests choose the idle engine.
    assert!(sent_to_idle_engine(6) > 26);
}
