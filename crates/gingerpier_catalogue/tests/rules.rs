//! The catalogue's rules, as commands meet them.

use {
    gingerpier_base::{Digest, Name, Stamp},
    gingerpier_catalogue::{
        Catalogue, Command, Entry, Error, Identity, Record, Revision,
        proposal::{Action, Event, Proposal},
    },
    proptest::prelude::*,
};

fn name(text: &str) -> Name {
    text.parse().expect("a name")
}

fn entry(identity: u128, commands: Vec<Command>) -> Entry {
    Entry {
        identity: Identity::from_u128(identity),
        author: "alice".to_owned(),
        stamp: Stamp::from_unix_millis(0),
        text: String::new(),
        commands,
    }
}

fn version(model: &str, version: &str, base: Option<&str>) -> Command {
    Command::CreateVersion {
        model: name(model),
        version: name(version),
        manifest: Digest::of(format!("{model}{version}").as_bytes()),
        bytes: 1,
        source: "s".to_owned(),
        base: base.map(name),
    }
}

fn serve(model: &str, zone: &str) -> Command {
    Command::Serve {
        model: name(model),
        zone: name(zone),
        replicas: 1,
        accounts: Vec::new(),
    }
}

fn roll_out(model: &str, version: &str, replacing: bool) -> Command {
    let (model, version) = (name(model), name(version));
    Command::RollOut {
        model,
        version,
        steps: vec![50, 100],
        replacing,
    }
}

fn advance(model: &str, version: &str, reached: u32) -> Command {
    Command::Advance {
        model: name(model),
        version: name(version),
        reached,
    }
}

fn assign(engine: &str, zone: &str, version: &str) -> Command {
    Command::Assign {
        engine: name(engine),
        server: name(&format!("{engine}-box")),
        model: name("m"),
        version: name(version),
        zone: name(zone),
    }
}

/// A model with three versions and an adapter on the first.
fn catalogue() -> Catalogue {
    let mut catalogue = Catalogue::default();
    apply(
        &mut catalogue,
        vec![
            Command::CreateModel {
                model: name("m"),
                kind: name("lm"),
            },
            version("m", "v1", None),
            version("m", "v2", None),
            version("m", "v3", None),
            Command::CreateAdapter {
                model: name("a"),
                base: name("m"),
            },
            version("a", "a1", Some("v1")),
            serve("m", "z1"),
            serve("m", "z2"),
            serve("a", "z1"),
        ],
    )
    .expect("the commands are right");
    catalogue
}

fn apply(catalogue: &mut Catalogue, commands: Vec<Command>) -> Result<(), Error> {
    let revision = catalogue.revision().next();
    let identity = u128::from(revision.0);
    catalogue.apply(&Record {
        revision,
        entries: vec![entry(identity, commands)],
    })
}

#[test]
fn a_refused_command_changes_nothing_not_even_what_came_before_it() {
    let mut held = catalogue();
    let before = held.clone();
    let refused = apply(
        &mut held,
        vec![serve("m", "z9"), roll_out("m", "v9", false)],
    );
    assert!(matches!(refused, Err(Error::UnknownVersion { .. })));
    assert_eq!(held, before);
}

#[test]
fn a_version_takes_traffic_only_after_a_step_is_complete() {
    let mut held = catalogue();
    let model = held.model_named(&name("m")).expect("it exists");
    let v1 = held.version_named(model, &name("v1")).expect("it exists");
    apply(&mut held, vec![roll_out("m", "v1", false)]).expect("it starts");
    assert_eq!(held.open_versions(model).count(), 0);
    apply(&mut held, vec![advance("m", "v1", 0)]).expect("a step is complete");
    assert_eq!(held.open_versions(model).collect::<Vec<_>>(), [v1]);
    assert_eq!(
        apply(&mut held, vec![advance("m", "v1", 0)]),
        Err(Error::StepMoved(name("m")))
    );
    apply(&mut held, vec![advance("m", "v1", 1)]).expect("the last step is complete");
    assert_eq!(held.model(model).live, [v1]);
}

#[test]
fn a_rollout_under_way_is_replaced_only_where_that_is_said() {
    let mut held = catalogue();
    apply(&mut held, vec![roll_out("m", "v1", false)]).expect("it starts");
    let refused = apply(&mut held, vec![roll_out("m", "v2", false)]);
    assert!(matches!(refused, Err(Error::RolloutActive { .. })));
    apply(&mut held, vec![roll_out("m", "v2", true)]).expect("it replaces");
}

#[test]
fn going_back_returns_to_what_was_live() {
    let mut held = catalogue();
    for to in ["v1", "v2"] {
        let steps = vec![
            roll_out("m", to, false),
            advance("m", to, 0),
            advance("m", to, 1),
        ];
        apply(&mut held, steps).expect("it rolls out");
    }
    apply(&mut held, vec![Command::GoBack { model: name("m") }]).expect("it goes back");
    apply(&mut held, vec![advance("m", "v1", 0)]).expect("in one step");
    let model = held.model_named(&name("m")).expect("it exists");
    let live: Vec<String> = held
        .model(model)
        .live
        .iter()
        .map(|key| held.label(*key))
        .collect();
    assert_eq!(live, ["m@v1"]);
}

#[test]
fn an_adapter_is_held_where_its_base_is_and_it_is_served() {
    let mut held = catalogue();
    let assigned = vec![
        assign("e1", "z1", "v1"),
        assign("e2", "z2", "v1"),
        assign("e3", "z1", "v2"),
    ];
    apply(&mut held, assigned).expect("they are assigned");
    let adapter = held.model_named(&name("a")).expect("it exists");
    let a1 = held.version_named(adapter, &name("a1")).expect("it exists");
    let holders: Vec<&str> = held.holders(a1).map(|held| held.server.as_str()).collect();
    assert_eq!(holders, ["e1-box"]);
}

#[test]
fn a_snapshot_is_taken_only_where_it_is_newer() {
    let old = catalogue();
    let mut new = old.clone();
    apply(&mut new, vec![serve("m", "z3")]).expect("it is right");
    let mut held = new.clone();
    assert!(!held.advance_to(old.clone()));
    assert_eq!(held, new);
    let read = Catalogue::from_snapshot(&new.to_snapshot()).expect("it can be read");
    let mut behind = old;
    assert!(behind.advance_to(read));
    assert_eq!(behind, new);
}

proptest! {
    /// Records may come late, twice, out of order and beside snapshots: the revision only rises,
    /// and equal revisions mean equal catalogues.
    #[test]
    fn revisions_only_rise_whatever_comes(arrivals in prop::collection::vec((0..8usize, any::<bool>()), 0..40)) {
        let mut log = vec![Catalogue::default()];
        let mut records = Vec::new();
        for index in 0..8 {
            let mut next = log[index].clone();
            let model = Command::CreateModel { model: name(&format!("m{index}")), kind: name("lm") };
            let record = Record { revision: next.revision().next(), entries: vec![entry(index as u128, vec![model])] };
            next.apply(&record).expect("it follows");
            records.push(record);
            log.push(next);
        }
        let mut held = Catalogue::default();
        for (index, as_snapshot) in arrivals {
            let before = held.revision();
            if as_snapshot {
                held.advance_to(log[index + 1].clone());
            } else {
                let _ = held.apply(&records[index]);
            }
            prop_assert!(held.revision() >= before);
            prop_assert_eq!(&held, &log[held.revision().0 as usize]);
        }
    }

    /// The key-value service as the specification has it: a write takes effect where the head is
    /// as compared, at once or late, and its answer may be lost. However that goes, a request
    /// takes effect at most once, and what the proposal says of it is true.
    #[test]
    fn a_proposal_takes_effect_once_and_tells_the_truth(
        faults in prop::collection::vec(0..5u8, 1..24),
        tries in 1..6u32,
    ) {
        let mut store = Store { head: 1, effects: 0, late: Vec::new() };
        let mut proposal = Proposal::new(tries);
        let mut action = Action::Read;
        let mut faults = faults.into_iter().chain(std::iter::repeat(0));
        loop {
            let fault = faults.next().unwrap_or(0);
            let event = match action {
                Action::Read if fault == 1 => Event::Refused,
                Action::Read => {
                    if fault == 4 { store.head += 1; }
                    Event::Read { head: store.head, accepted: store.effects > 0 }
                }
                Action::Write { head } => store.write(head, fault),
                _ => break,
            };
            action = proposal.step(event);
        }
        let before_late = store.effects;
        store.deliver_late();
        prop_assert!(store.effects <= 1);
        match action {
            Action::Accepted => prop_assert_eq!(before_late, 1),
            Action::Rejected | Action::Unavailable => prop_assert_eq!(store.effects, 0),
            _ => {}
        }
    }
}

/// A key-value service with one key that matters.
struct Store {
    head: u64,
    effects: u32,
    /// Writes that were sent and have not arrived.
    late: Vec<u64>,
}

impl Store {
    fn write(&mut self, compared: u64, fault: u8) -> Event {
        match fault {
            1 => Event::Refused,
            // The write takes effect, and its answer is lost.
            2 => {
                self.arrive(compared);
                Event::Lost
            }
            // The write is under way for longer than its answer is waited for.
            3 => {
                self.late.push(compared);
                Event::Lost
            }
            // Another's write comes before it.
            4 => {
                self.head += 1;
                Event::Moved
            }
            _ if self.arrive(compared) => Event::Written,
            _ => Event::Moved,
        }
    }

    fn arrive(&mut self, compared: u64) -> bool {
        let holds = compared == self.head;
        if holds {
            self.head += 1;
            self.effects += 1;
        }
        holds
    }

    fn deliver_late(&mut self) {
        for compared in std::mem::take(&mut self.late) {
            self.arrive(compared);
        }
    }
}

#[test]
fn a_lost_answer_with_nobody_to_ask_is_unknown() {
    let mut proposal = Proposal::new(2);
    assert_eq!(
        proposal.step(Event::Read {
            head: 1,
            accepted: false
        }),
        Action::Write { head: 1 }
    );
    assert_eq!(proposal.step(Event::Lost), Action::Read);
    assert_eq!(proposal.step(Event::Refused), Action::Unknown);
    assert_eq!(Revision::default().next(), Revision(1));
}
