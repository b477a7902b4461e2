//! State transitions of the catalogue.

use {
    gingerpier_base::{Digest, Name, Stamp},
    gingerpier_catalogue::{
        Catalogue, Command, Entry, Error, Identity, Record, Revision,
        proposal::{Action, Event, Proposal},
    },
    proptest::prelude::*,
};

fn name(text: &str) -> Name {
    text.parse().expect("valid name")
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

/// Catalogue with a model of three versions and an adapter of the first.
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
    .expect("valid commands");
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
fn refused_command_rolls_back_the_whole_request() {
    let mut catalogue = catalogue();
    let previous = catalogue.clone();
    let refused = apply(
        &mut catalogue,
        vec![serve("m", "z9"), roll_out("m", "v9", false)],
    );
    assert!(matches!(refused, Err(Error::UnknownVersion { .. })));
    assert_eq!(catalogue, previous);
}

#[test]
fn version_receives_traffic_only_after_its_first_step() {
    let mut catalogue = catalogue();
    let model = catalogue
        .model_key_by_name(&name("m"))
        .expect("name exists");
    let v1 = catalogue
        .version_key_by_name(model, &name("v1"))
        .expect("name exists");
    apply(&mut catalogue, vec![roll_out("m", "v1", false)]).expect("rollout starts");
    assert_eq!(catalogue.open_versions(model).count(), 0);
    apply(&mut catalogue, vec![advance("m", "v1", 0)]).expect("first step completes");
    assert_eq!(catalogue.open_versions(model).collect::<Vec<_>>(), [v1]);
    assert_eq!(
        apply(&mut catalogue, vec![advance("m", "v1", 0)]),
        Err(Error::StepMoved(name("m")))
    );
    apply(&mut catalogue, vec![advance("m", "v1", 1)]).expect("last step completes");
    assert_eq!(catalogue.model(model).live, [v1]);
}

#[test]
fn rollout_in_progress_is_replaced_only_if_requested() {
    let mut catalogue = catalogue();
    apply(&mut catalogue, vec![roll_out("m", "v1", false)]).expect("rollout starts");
    let refused = apply(&mut catalogue, vec![roll_out("m", "v2", false)]);
    assert!(matches!(refused, Err(Error::RolloutActive { .. })));
    apply(&mut catalogue, vec![roll_out("m", "v2", true)]).expect("rollout is replaced");
}

#[test]
fn go_back_restores_the_previous_live_version() {
    let mut catalogue = catalogue();
    for to in ["v1", "v2"] {
        let steps = vec![
            roll_out("m", to, false),
            advance("m", to, 0),
            advance("m", to, 1),
        ];
        apply(&mut catalogue, steps).expect("rollout completes");
    }
    apply(&mut catalogue, vec![Command::GoBack { model: name("m") }]).expect("rollback starts");
    apply(&mut catalogue, vec![advance("m", "v1", 0)]).expect("rollback completes in one step");
    let model = catalogue
        .model_key_by_name(&name("m"))
        .expect("name exists");
    let live: Vec<String> = catalogue
        .model(model)
        .live
        .iter()
        .map(|key| catalogue.label(*key))
        .collect();
    assert_eq!(live, ["m@v1"]);
}

#[test]
fn adapter_is_loaded_only_with_its_base_and_in_served_zones() {
    let mut catalogue = catalogue();
    let assigned = vec![
        assign("e1", "z1", "v1"),
        assign("e2", "z2", "v1"),
        assign("e3", "z1", "v2"),
    ];
    apply(&mut catalogue, assigned).expect("engines are assigned");
    let adapter = catalogue
        .model_key_by_name(&name("a"))
        .expect("name exists");
    let a1 = catalogue
        .version_key_by_name(adapter, &name("a1"))
        .expect("name exists");
    let servers: Vec<&str> = catalogue
        .holders(a1)
        .map(|assignment| assignment.server.as_str())
        .collect();
    assert_eq!(servers, ["e1-box"]);
}

#[test]
fn only_newer_snapshot_replaces_the_catalogue() {
    let old = catalogue();
    let mut new = old.clone();
    apply(&mut new, vec![serve("m", "z3")]).expect("valid command");
    let mut catalogue = new.clone();
    assert!(!catalogue.replace_if_newer(old.clone()));
    assert_eq!(catalogue, new);
    let decoded = Catalogue::from_snapshot(&new.to_snapshot()).expect("snapshot decodes");
    let mut stale = old;
    assert!(stale.replace_if_newer(decoded));
    assert_eq!(stale, new);
}

proptest! {
    /// Guards against lost or mixed state if records and snapshots are delayed, duplicated or reordered.
    #[test]
    fn revision_never_decreases_for_reordered_input(deliveries in prop::collection::vec((0..8usize, any::<bool>()), 0..40)) {
        let mut log = vec![Catalogue::default()];
        let mut records = Vec::new();
        for index in 0..8 {
            let mut next = log[index].clone();
            let model = Command::CreateModel { model: name(&format!("m{index}")), kind: name("lm") };
            let record = Record { revision: next.revision().next(), entries: vec![entry(index as u128, vec![model])] };
            next.apply(&record).expect("record has the next revision");
            records.push(record);
            log.push(next);
        }
        let mut catalogue = Catalogue::default();
        for (index, as_snapshot) in deliveries {
            let previous = catalogue.revision();
            if as_snapshot {
                catalogue.replace_if_newer(log[index + 1].clone());
            } else {
                let _ = catalogue.apply(&records[index]);
            }
            prop_assert!(catalogue.revision() >= previous);
            prop_assert_eq!(&catalogue, &log[catalogue.revision().0 as usize]);
        }
    }

    /// Guards against a request that takes effect twice, or is reported wrongly, when writes are
    /// delayed, refused or overtaken, or their responses are lost.
    #[test]
    fn proposal_takes_effect_at_most_once_and_reports_its_result(
        faults in prop::collection::vec(0..5u8, 1..24),
        max_attempts in 1..6u32,
    ) {
        let mut store = Store { head: 1, effects: 0, delayed: Vec::new() };
        let mut proposal = Proposal::new(max_attempts);
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
        let effects_before_delayed = store.effects;
        store.deliver_delayed();
        prop_assert!(store.effects <= 1);
        match action {
            Action::Accepted => prop_assert_eq!(effects_before_delayed, 1),
            Action::Rejected | Action::Unavailable => prop_assert_eq!(store.effects, 0),
            _ => {}
        }
    }
}

/// Simulated key-value service with one key.
struct Store {
    head: u64,
    effects: u32,
    /// Expected heads of delayed writes.
    delayed: Vec<u64>,
}

impl Store {
    fn write(&mut self, expected_head: u64, fault: u8) -> Event {
        match fault {
            1 => Event::Refused,
            // The write takes effect and its response is lost.
            2 => {
                self.execute_write(expected_head);
                Event::Lost
            }
            // The write is delayed until after the response timeout.
            3 => {
                self.delayed.push(expected_head);
                Event::Lost
            }
            // Another write takes effect first.
            4 => {
                self.head += 1;
                Event::Moved
            }
            _ if self.execute_write(expected_head) => Event::Written,
            _ => Event::Moved,
        }
    }

    fn execute_write(&mut self, expected_head: u64) -> bool {
        let matches = expected_head == self.head;
        if matches {
            self.head += 1;
            self.effects += 1;
        }
        matches
    }

    fn deliver_delayed(&mut self) {
        for expected_head in std::mem::take(&mut self.delayed) {
            self.execute_write(expected_head);
        }
    }
}

#[test]
fn lost_response_without_further_reads_is_unknown() {
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
