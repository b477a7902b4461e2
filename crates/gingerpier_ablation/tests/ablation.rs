//! Tables, journal entries, statistics, and patches of a trial tree; nothing is played.

use {
    gingerpier_ablation::{
        error::Error,
        journal::{self, Outcome},
        plot, report, runner,
        statistics::{Effect, Estimate},
        table::{Day, NOTHING, Table},
        tree::Tree,
    },
    std::{
        fs,
        path::{Path, PathBuf},
        process::Command,
    },
};

const TABLE: &str = r#"
[[mechanism]]
name = "one"
what = "the first"
without = "nothing"
lines = 12

[[day]]
site = "north"
day = "days/restart.toml"
seeds = [1, 2]
"#;

fn entry(why: &str, head: &str, seed: u64, worth: f64) -> String {
    format!(
        r#"{{"v":1,"why":"{why}","head":"{head}","site":"north","ok":true,"other":[1],
        "days":[{{"G":{worth},"name":"restart --seed {seed}","seed":{seed},"rules":{{"LATE":2}},"fault":null,"parts":[]}}]}}"#
    )
}

fn outcome(mechanism: &str, seed: u64, worth: f64) -> Outcome {
    Outcome {
        mechanism: mechanism.to_owned(),
        site: "north".to_owned(),
        day: "restart".to_owned(),
        seed,
        worth,
        broken: 0,
    }
}

fn folder(name: &str) -> PathBuf {
    let folder = Path::new(env!("CARGO_TARGET_TMPDIR")).join(name);
    let _ = fs::remove_dir_all(&folder);
    fs::create_dir_all(&folder).expect("a folder");
    folder
}

#[test]
fn a_table_is_read_and_a_day_in_a_file_has_the_name_of_the_file() {
    let table = Table::parse(TABLE).expect("a table");
    assert_eq!(table.mechanism.len(), 1);
    assert_eq!(table.mechanism[0].lines, 12);
    let day = &table.day[0];
    assert_eq!((day.name(), &day.seeds[..]), ("restart", &[1, 2][..]));
    let plain = Day {
        day: "trouble-1".to_owned(),
        ..day.clone()
    };
    assert_eq!(plain.name(), "trouble-1");
}

#[test]
fn a_table_with_words_that_are_not_known_or_names_that_are_taken_is_refused() {
    let unknown = TABLE.replace("lines", "rows");
    assert!(matches!(Table::parse(&unknown), Err(Error::Table(_))));
    let mechanism = TABLE.split("[[day]]").next().expect("a part");
    assert!(Table::parse(&format!("{TABLE}{mechanism}")).is_err());
    let day = TABLE.split("[[day]]").nth(1).expect("a part");
    assert!(Table::parse(&format!("{TABLE}[[day]]{day}")).is_err());
    assert!(Table::parse(&TABLE.replace("\"one\"", "\"none\"")).is_err());
}

#[test]
fn the_table_of_this_repository_has_a_patch_for_each_mechanism() {
    let folder = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../docs/design/ablation");
    let text = fs::read_to_string(folder.join("table.toml")).expect("a table");
    let table = Table::parse(&text).expect("a table");
    for mechanism in table.mechanism {
        let patch = folder.join(&mechanism.name).with_extension("patch");
        let patch = fs::read_to_string(patch).expect("a patch");
        assert!(patch.contains("\n@@ "), "{}", mechanism.name);
    }
}

#[test]
fn an_entry_tells_what_came_of_a_play() {
    let text = entry(&journal::purpose("one"), "abc", 7, 0.25);
    let read = journal::read(&text, "abc").expect("an entry");
    let expected = Outcome {
        broken: 2,
        ..outcome("one", 7, 0.25)
    };
    assert_eq!(read, [expected]);
}

#[test]
fn entries_of_other_code_or_purpose_and_plays_that_did_not_end_tell_nothing() {
    let text = entry(&journal::purpose("one"), "abc", 7, 0.25);
    let nothing = |text: &str, head: &str| journal::read(text, head).expect("read").is_empty();
    assert!(nothing(&text, "abd"));
    assert!(nothing(&entry("a trial", "abc", 7, 0.25), "abc"));
    assert!(nothing(&text.replace("true", "null"), "abc"));
    assert!(nothing(&text.replace("true", "false"), "abc"));
    assert!(nothing(
        &text.replace("\"fault\":null", "\"fault\":\"late\""),
        "abc"
    ));
    let begun = r#"{"why":"ablation: one","head":"abc","site":null,"ok":null,"days":[]}"#;
    assert!(nothing(begun, "abc"));
    assert!(journal::read("{", "abc").is_err());
}

#[test]
fn entries_of_a_folder_are_read_in_order_and_other_files_left() {
    let folder = folder("ablation-journal");
    let purpose = journal::purpose("one");
    fs::write(folder.join("2.json"), entry(&purpose, "abc", 2, 0.5)).expect("written");
    fs::write(folder.join("1.json"), entry(&purpose, "abc", 1, 0.25)).expect("written");
    fs::write(folder.join("3.json"), "an older form").expect("written");
    fs::write(folder.join("note.txt"), "ablation: ").expect("written");
    let outcomes = journal::outcomes(&folder, "abc").expect("entries");
    let expected = [(1, 0.25), (2, 0.5)];
    let read: Vec<(u64, f64)> = outcomes.iter().map(|one| (one.seed, one.worth)).collect();
    assert_eq!(read, expected);
    fs::write(folder.join("4.json"), "ablation: but no entry").expect("written");
    assert!(journal::outcomes(&folder, "abc").is_err());
}

#[test]
fn a_mean_and_the_deviation_of_a_sample() {
    assert_eq!(Estimate::of(&[]), None);
    let one = Estimate::of(&[0.5]).expect("an estimate");
    assert_eq!((one.count, one.mean, one.spread), (1, 0.5, None));
    let three = Estimate::of(&[1.0, 2.0, 3.0]).expect("an estimate");
    assert_eq!((three.count, three.mean), (3, 2.0));
    assert!((three.spread.expect("a spread") - 1.0).abs() < 1e-12);
}

#[test]
fn only_seeds_of_both_sides_count_and_differ_seed_by_seed() {
    let day = &Table::parse(TABLE).expect("a table").day[0];
    let mut outcomes = vec![
        outcome(NOTHING, 1, 0.50),
        outcome(NOTHING, 2, 0.70),
        outcome("one", 1, 0.40),
        outcome("one", 3, 0.0),
    ];
    let effect = Effect::of(&outcomes, "one", day).expect("an effect");
    assert_eq!(effect.gain.count, 1);
    assert!((effect.gain.mean - 0.1).abs() < 1e-12);
    assert_eq!(effect.is_nothing(), None);
    // Twice the same seed counts once, by its mean.
    outcomes.push(outcome("one", 1, 0.50));
    outcomes.push(outcome("one", 2, 0.55));
    let effect = Effect::of(&outcomes, "one", day).expect("an effect");
    assert_eq!(effect.gain.count, 2);
    assert!((effect.gain.mean - 0.1).abs() < 1e-12);
    assert!((effect.gain.spread.expect("a spread") - 0.005_f64.sqrt()).abs() < 1e-12);
    assert_eq!(effect.is_nothing(), Some(false));
    assert_eq!(Effect::of(&outcomes, "two", day), None);
}

#[test]
fn what_was_played_is_not_missing() {
    let table = Table::parse(TABLE).expect("a table");
    let outcomes = [outcome("one", 1, 0.4), outcome(NOTHING, 2, 0.4)];
    let seeds = |mechanism| -> Vec<u64> {
        let missing = runner::missing(&table, mechanism, &outcomes);
        missing.iter().map(|(_, seed)| *seed).collect()
    };
    assert_eq!(seeds("one"), [2]);
    assert_eq!(seeds(NOTHING), [1]);
    assert_eq!(seeds("two"), [1, 2]);
}

#[test]
fn results_are_written_as_a_table_and_a_plot() {
    let played = TABLE.split("[[day]]").next().expect("a part");
    let other = played.replace("\"one\"", "\"two\"");
    let table = Table::parse(&format!("{TABLE}{other}")).expect("a table");
    let outcomes = [
        outcome(NOTHING, 1, 0.5),
        outcome(NOTHING, 2, 0.6),
        outcome("one", 1, 0.4),
        outcome("one", 2, 0.7),
    ];
    let text = report::markdown(&table, &outcomes);
    let line = "| the first | nothing | 12 | north, restart | 2 | 0.550 ± 0.071 | 0.550 ± 0.212 | 0.000 ± 0.141, within its spread | 0, 0 |";
    assert_eq!(text.lines().nth(2), Some(line));
    assert_eq!(text.lines().count(), 3);
    let path = folder("ablation-plot").join("plot.svg");
    plot::draw(&table, &outcomes, &path).expect("a plot");
    let plot = fs::read_to_string(path).expect("a plot");
    assert!(plot.contains("north, restart") && plot.contains("<circle"));
    assert!(plot.contains("\none\n") && !plot.contains("\ntwo\n"));
}

fn git(folder: &Path, arguments: &[&str]) {
    let identity = ["-c", "user.name=t", "-c", "user.email=t@example.org"];
    let status = Command::new("git")
        .arg("-C")
        .arg(folder)
        .args(identity)
        .args(arguments)
        .output()
        .expect("git");
    assert!(status.status.success(), "{arguments:?}");
}

const PATCH: &str = "--- a/file\n+++ b/file\n@@ -1,2 +1,2 @@\n one\n-two\n+three\n";

/// A repository with one file of two lines, its trial tree, and a patch that fits.
fn repository(name: &str) -> (PathBuf, Tree, PathBuf) {
    let folder = folder(name);
    let repository = folder.join("repository");
    fs::create_dir(&repository).expect("a folder");
    git(&repository, &["init", "--quiet"]);
    fs::write(repository.join("file"), "one\ntwo\n").expect("written");
    git(&repository, &["add", "file"]);
    git(&repository, &["commit", "--quiet", "-m", "first"]);
    let tree = Tree::open(&repository, &folder.join("tree")).expect("a tree");
    let patch = folder.join("one.patch");
    fs::write(&patch, PATCH).expect("written");
    (repository, tree, patch)
}

fn file(tree: &Tree) -> String {
    fs::read_to_string(tree.root().join("file")).expect("a file")
}

#[test]
fn a_patch_is_applied_and_undone_in_the_trial_tree_alone() {
    let (repository, tree, patch) = repository("ablation-patch");
    assert_eq!(tree.head().expect("a commit").len(), 40);
    let look = || {
        assert_eq!(file(&tree), "one\nthree\n");
        let own = fs::read_to_string(repository.join("file")).expect("a file");
        assert_eq!(own, "one\ntwo\n");
        Ok(())
    };
    tree.with(&patch, look).expect("applied and undone");
    assert_eq!(file(&tree), "one\ntwo\n");
    // Also where an error ends the plays, which is told.
    let failed = tree.with(&patch, || Err(Error::Site("north".to_owned())));
    assert!(matches!(failed, Err(Error::Site(_))));
    assert_eq!(file(&tree), "one\ntwo\n");
    // What is there already is taken as it is.
    assert_eq!(Tree::open(&repository, tree.root()).expect("a tree"), tree);
}

#[test]
fn a_patch_that_does_not_fit_changes_nothing() {
    let (_, tree, patch) = repository("ablation-misfit");
    fs::write(tree.root().join("file"), "one\nfour\n").expect("written");
    let never = || -> Result<(), Error> { panic!("played without its patch") };
    assert!(matches!(tree.with(&patch, never), Err(Error::Tree(_))));
    assert_eq!(file(&tree), "one\nfour\n");
    let absent = tree.with(Path::new("/nowhere/no.patch"), never);
    assert!(matches!(absent, Err(Error::Tree(_))));
}

/// A program that stands in for the bench: it writes an entry with the last word of the file as worth.
const BENCH: &str = r#"#!/bin/sh
[ "$1" = run ] && [ "$2" = north.toml ] && [ "$3" = days/restart.toml ] || exit 1
[ "$4 $5 $7 $8 $9" = "--no-cpu --seed --jobs 2 --why" ] || exit 1
mkdir -p journal
worth=0.5
grep -q three file && worth=0.25
cat > "journal/$$.json" <<END
{"why":"${10}","head":"$(git rev-parse HEAD)","site":"north","ok":true,
"days":[{"G":$worth,"name":"restart","seed":$6,"rules":{},"fault":null}]}
END
"#;

#[test]
fn what_is_missing_is_played_with_and_without_a_patch_and_not_again() {
    use std::os::unix::fs::PermissionsExt;
    let (_, tree, patch) = repository("ablation-runner");
    fs::create_dir(tree.root().join(runner::JOURNAL)).expect("a folder");
    let folder = patch.parent().expect("a folder");
    let bench = folder.join("bench");
    fs::write(&bench, BENCH).expect("written");
    fs::set_permissions(&bench, fs::Permissions::from_mode(0o755)).expect("permissions");
    let table = Table::parse(TABLE).expect("a table");
    let runner = runner::Runner {
        bench,
        sites: [("north".to_owned(), "north.toml".into())].into(),
        patches: folder.to_owned(),
        at_once: 2,
        jobs: 2,
    };
    for _ in 0..2 {
        runner.play_all(&table, &tree, &[]).expect("played");
        assert_eq!(file(&tree), "one\ntwo\n");
        let journal = tree.root().join(runner::JOURNAL);
        let outcomes = journal::outcomes(&journal, &tree.head().expect("a commit"));
        let outcomes = outcomes.expect("entries");
        assert_eq!(outcomes.len(), 4);
        let effect = Effect::of(&outcomes, "one", &table.day[0]).expect("an effect");
        assert_eq!((effect.with.mean, effect.without.mean), (0.5, 0.25));
        assert_eq!(effect.gain.count, 2);
    }
    let unknown = runner::Runner {
        sites: [].into(),
        ..runner
    };
    let other = Table::parse(&TABLE.replace("[1, 2]", "[3]")).expect("a table");
    let played = unknown.play_all(&other, &tree, &[]);
    assert!(matches!(played, Err(Error::Site(_))));
}

/// Three patches had gone stale by changes beside what they take out, and nobody was told before the next play.
#[test]
fn each_mechanism_has_a_patch_that_applies() {
    let root = Path::new(env!("CARGO_MANIFEST_DIR")).join("../..");
    let folder = root.join("docs/design/ablation");
    let text = fs::read_to_string(folder.join("table.toml")).expect("a table");
    let table = Table::parse(&text).expect("a table that is understood");
    let stale = table.mechanism.iter().filter(|mechanism| {
        let patch = folder.join(format!("{}.patch", mechanism.name));
        let check = Command::new("git")
            .args(["apply", "--check"])
            .arg(&patch)
            .current_dir(&root)
            .status();
        !check.expect("git").success()
    });
    let stale: Vec<&str> = stale.map(|mechanism| mechanism.name.as_str()).collect();
    assert!(stale.is_empty(), "{stale:?}");
}
