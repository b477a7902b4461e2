//! The bound of named weights counts from no later than the store's acknowledgement, however late
//! processes hear of them, as far back as that counts.

use {
    gingerpier_base::Instant,
    gingerpier_serving::{
        naming::{Freshness, Naming, Namings, OWN, Teller, Told},
        report::Version,
    },
    proptest::prelude::*,
    std::ops::Range,
};

/// The bound, in milliseconds.
const WITHIN: u64 = 8_000;

/// Milliseconds that the bound counts back from hearing, at most.
const MOST_BACK: u64 = 2_000;

/// Version that is named.
const NAMED: Version = Version(2);

fn at(millis: u64) -> Instant {
    Instant::from_millis(millis)
}

/// A call, or a question: pauses and ways in milliseconds.
#[derive(Debug, Clone, Copy)]
struct Exchange {
    pause: u64,
    way_there: u64,
    held: u64,
    way_back: u64,
}

/// Ways are short, as a rule, and long now and then, as over a link that is full.
fn way() -> impl Strategy<Value = u64> {
    prop_oneof![3 => 0..30_u64, 1 => 0..2_500_u64]
}

fn exchange(pause: Range<u64>, held: Range<u64>) -> impl Strategy<Value = Exchange> {
    (pause, way(), held, way()).prop_map(|(pause, way_there, held, way_back)| Exchange {
        pause,
        way_there,
        held,
        way_back,
    })
}

/// One exchange at its times, on the clock of the store.
#[derive(Debug, Clone, Copy)]
struct Times {
    sent: u64,
    came: u64,
    answered: u64,
    read: u64,
}

/// Exchanges one after the other from `start` on.
fn one_by_one(start: u64, exchanges: &[Exchange]) -> Vec<Times> {
    let mut end = start;
    let next = |one: &Exchange| {
        let sent = end + one.pause;
        let came = sent + one.way_there;
        let answered = came + one.held;
        end = answered + one.way_back;
        Times {
            sent,
            came,
            answered,
            read: end,
        }
    };
    exchanges.iter().map(next).collect()
}

/// What a process knows, from `since` on, by a clock that is `ahead` of the store's.
#[derive(Debug, Clone, Default)]
struct Process {
    since: u64,
    ahead: u64,
    fresh: Freshness,
    namings: Namings,
}

impl Process {
    fn hear(&mut self, times: Times) {
        self.since = times.read;
        let now = at(times.read + self.ahead);
        self.namings
            .note(NAMED, OWN, self.fresh.earliest(WITHIN, now), now);
    }

    fn naming(&self) -> Option<Naming> {
        self.namings.newest().copied()
    }
}

/// States of a process that asks the store, which acknowledges the naming at `named`.
fn watch(calls: &[Times], named: u64) -> Vec<Process> {
    let mut process = Process::default();
    let step = |times: &Times| {
        if times.answered >= named {
            process.hear(*times);
        }
        process.since = times.read;
        process.fresh.note_answer(at(times.sent));
        process.clone()
    };
    calls.iter().map(step).collect()
}

/// States of a process that asks another one, which went through `watcher`.
fn follow(questions: &[Times], watcher: &[Process], ahead: u64) -> Vec<Process> {
    let mut process = Process {
        ahead,
        ..Process::default()
    };
    let step = |times: &Times| {
        let mut passed = watcher.iter().rev();
        if let Some(source) = passed.find(|state| state.since <= times.answered) {
            if source.naming().is_some() {
                process.hear(*times);
            }
            if let Some(age_millis) = source.fresh.age(at(times.answered + source.ahead)) {
                let told = Told {
                    held_millis: times.answered - times.came,
                    age_millis,
                };
                let now = at(times.read + ahead);
                process.fresh.note_told(at(times.sent + ahead), told, now);
            }
        }
        process.since = times.read;
        process.clone()
    };
    questions.iter().map(step).collect()
}

/// Checks what the `states` of a process say of weights that were named at `named`.
fn check(states: &[Process], named: u64) -> Result<(), TestCaseError> {
    let known = states
        .iter()
        .filter_map(|state| Some((state, state.naming()?)));
    let mut first = None;
    for (state, naming) in known {
        let first = *first.get_or_insert(naming);
        prop_assert_eq!(naming, first, "it neither goes back nor forward");
        let (begins, heard) = (naming.at.as_millis(), naming.heard.as_millis());
        let farthest = heard - MOST_BACK;
        prop_assert!(begins >= farthest, "engines keep time for their turns");
        let latest = farthest.max(named + state.ahead);
        prop_assert!(begins <= latest, "{begins} is later than {latest}");
    }
    Ok(())
}

proptest! {
    #[test]
    fn the_bound_counts_from_no_later_than_the_acknowledgement(
        calls in prop::collection::vec(exchange(0..600, 0..600), 1..12),
        questions in prop::collection::vec(exchange(0..100, 0..400), 1..24),
        hops in prop::collection::vec(exchange(0..100, 0..400), 1..24),
        named in 60_000..68_000_u64,
    ) {
        let watcher = watch(&one_by_one(60_000, &calls), named);
        let follower = follow(&one_by_one(60_000, &questions), &watcher, 500_000);
        let second = follow(&one_by_one(60_000, &hops), &follower, 7_000);
        check(&watcher, named)?;
        check(&follower, named)?;
        check(&second, named)?;
    }

    #[test]
    fn a_loader_counts_from_the_word_that_was_least_on_its_way(
        ages in prop::collection::vec((0..2_000_u64, 0..3_000_u64), 1..20),
    ) {
        // Gateways count from moments up to 2 s before the one at which all of them tell it.
        let told = 100_000;
        let mut namings = Namings::default();
        let mut last = None;
        for (index, (age, way)) in ages.iter().enumerate() {
            let repeated = 500 * index as u64;
            let now = told + repeated + way;
            let earliest = now - (age + repeated);
            let is_new = namings.note(NAMED, OWN, at(earliest), at(now));
            prop_assert_eq!(is_new, index == 0);
            let begins = namings.newest().expect("known").at;
            prop_assert!(last.is_none_or(|last| begins <= last), "only ever earlier");
            last = Some(begins);
        }
        let least = ages.iter().map(|(age, way)| told - age + way).min();
        prop_assert_eq!(last.map(Instant::as_millis), least);
    }

    #[test]
    fn versions_rise_and_their_moments_only_go_back(
        words in prop::collection::vec((1..6_u64, 0..3_000_u64, 0..3_000_u64), 1..40),
    ) {
        let mut namings = Namings::default();
        let mut now = 60_000;
        for (version, pause, age) in words {
            now += pause;
            let before: Vec<Naming> = namings.iter().copied().collect();
            let newest = before.last().map(|naming| naming.version);
            let is_new = namings.note(Version(version), OWN, at(now - age), at(now));
            prop_assert_eq!(is_new, newest < Some(Version(version)));
            let after: Vec<Naming> = namings.iter().copied().collect();
            prop_assert!(after.windows(2).all(|two| two[0].version < two[1].version));
            prop_assert_eq!(after.len(), before.len() + usize::from(is_new));
            for (old, new) in before.iter().zip(&after) {
                prop_assert_eq!((old.version, old.heard), (new.version, new.heard));
                prop_assert!(new.at <= old.at);
            }
        }
    }
}

#[test]
fn an_answer_proves_what_held_when_it_was_asked_for() {
    let mut fresh = Freshness::default();
    assert_eq!(fresh.age(at(70_000)), None);
    fresh.note_answer(at(70_000));
    assert_eq!(fresh.earliest(WITHIN, at(71_500)), at(70_000));
    fresh.note_answer(at(69_000));
    assert_eq!(fresh.age(at(71_500)), Some(1_500), "it never goes back");
}

#[test]
fn another_process_answers_no_earlier_than_it_kept_the_question() {
    let told = Told {
        held_millis: 400,
        age_millis: 50,
    };
    let mut fresh = Freshness::default();
    fresh.note_told(at(70_000), told, at(72_000));
    assert_eq!(fresh.age(at(72_000)), Some(1_650));
    let mut fresh = Freshness::default();
    fresh.note_told(at(70_000), told, at(70_300));
    assert_eq!(fresh.age(at(70_300)), Some(50), "never ahead of the answer");
}

#[test]
fn a_long_silence_counts_back_2_s_and_no_more_than_a_third_of_the_bound() {
    let mut fresh = Freshness::default();
    assert_eq!(
        fresh.earliest(WITHIN, at(70_000)),
        at(68_000),
        "never heard"
    );
    fresh.note_answer(at(60_000));
    assert_eq!(fresh.earliest(WITHIN, at(70_000)), at(68_000));
    assert_eq!(fresh.earliest(3_000, at(70_000)), at(69_000));
}

/// When older weights come due at a process that runs since `running_since`, knows `fresh`, and hears of the
/// naming at `heard`.
fn due(running_since: Instant, fresh: Freshness, heard: Instant) -> Instant {
    let mut namings = Namings::default();
    assert!(namings.note(NAMED, OWN, fresh.earliest(WITHIN, heard), heard));
    namings.note_break(fresh.due_after_break(running_since, WITHIN));
    namings.newest().expect("known").due_at(WITHIN)
}

#[test]
fn weights_named_before_a_process_started_come_due_soon_after_its_start_however_late_its_first_copy_is()
 {
    let started = at(60_000);
    for copy_after in [50, 900, 1_100, 2_500, 6_000] {
        let first_copy = started.after_millis(copy_after);
        let mut fresh = Freshness::default();
        let due_at = due(started, fresh, first_copy);
        assert_eq!(
            due_at,
            started.after_millis(3_000),
            "copy after {copy_after}"
        );
        // One that is named later has its time.
        fresh.note_answer(first_copy);
        let later = first_copy.after_millis(1);
        assert_eq!(due(started, fresh, later), first_copy.after_millis(6_800));
    }
}

#[test]
fn what_a_neighbour_without_the_store_told_a_process_that_started_does_not_make_a_naming_recent() {
    let started = at(100_000);
    let told = |age_millis| {
        let told = Told {
            held_millis: 0,
            age_millis,
        };
        let mut fresh = Freshness::default();
        fresh.note_told(at(100_200), told, at(100_300));
        fresh
    };
    // The neighbour was cut off for 30 s, and the naming may be as old.
    assert_eq!(due(started, told(30_000), at(102_000)), at(103_000));
    // One with the store knows that the naming was made after 99.5 s.
    assert_eq!(due(started, told(700), at(100_800)), at(106_300));
}

#[test]
fn a_process_that_stood_still_is_as_strict_as_one_that_starts_and_no_stricter_than_the_bound() {
    let last = at(100_000);
    let mut fresh = Freshness::default();
    fresh.note_answer(last);
    for (stood_still, due_after) in [
        (2_000, 6_800),
        (3_700, 6_800),
        (4_000, 7_000),
        (9_000, 12_000),
    ] {
        let back = last.after_millis(stood_still);
        let due_at = due(back, fresh, back.after_millis(100));
        assert_eq!(due_at, last.after_millis(due_after), "{stood_still}");
    }
}

#[test]
fn of_several_that_tell_of_a_naming_the_one_that_knows_best_counts() {
    let mut namings = Namings::default();
    let (one, other) = (Teller(1), Teller(2));
    // The one lacked the store for long, and knows little of when it can have happened.
    assert!(namings.note(NAMED, one, at(8_300), at(10_000)));
    assert_eq!(namings.newest().expect("it").at, at(8_300));
    assert!(!namings.note(NAMED, other, at(9_900), at(10_050)));
    assert_eq!(namings.newest().expect("it").at, at(9_900));
    // The other's first word had been long on its way.
    assert!(!namings.note(NAMED, other, at(9_600), at(10_500)));
    assert_eq!(namings.newest().expect("it").at, at(9_600));
    // No word makes it later than it was heard.
    assert!(!namings.note(NAMED, Teller(3), at(10_700), at(10_700)));
    assert_eq!(namings.newest().expect("it").at, at(10_000));
}
