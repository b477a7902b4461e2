//! Plays days in the trial tree, with one mechanism after the other taken out.

use {
    crate::{
        error::Error,
        journal::{self, Outcome},
        table::{Day, NOTHING, Table},
        tree::Tree,
    },
    std::{
        collections::BTreeMap,
        path::{Path, PathBuf},
        process::{Child, Command, Stdio},
    },
};

/// Folder of journal entries, in a tree.
pub const JOURNAL: &str = "journal";

/// What is needed to play.
#[derive(Debug, Clone)]
pub struct Runner {
    /// Program that plays days.
    pub bench: PathBuf,
    /// Files of sites, by name.
    pub sites: BTreeMap<String, PathBuf>,
    /// Folder of the patches.
    pub patches: PathBuf,
    /// Plays at once.
    pub at_once: usize,
    /// Processors for each play.
    pub jobs: usize,
}

/// Days and seeds of `table` without `mechanism` of which `outcomes` say nothing yet.
pub fn missing<'t>(table: &'t Table, mechanism: &str, outcomes: &[Outcome]) -> Vec<(&'t Day, u64)> {
    let days = table.day.iter();
    let plays = days.flat_map(|day| day.seeds.iter().map(move |seed| (day, *seed)));
    let is_known = |day: &Day, seed: u64| {
        let mut known = outcomes.iter();
        known.any(|one| one.is_of(mechanism, day) && one.seed == seed)
    };
    plays.filter(|(day, seed)| !is_known(day, *seed)).collect()
}

impl Runner {
    /// Plays what is missing of `table`, for the code as it is and for each of the mechanisms, or `only`
    /// some; a play that fails is told and passed over.
    ///
    /// # Errors
    ///
    /// Where a patch does not fit, a site is not known or the program can't be started.
    pub fn play_all(&self, table: &Table, tree: &Tree, only: &[String]) -> Result<(), Error> {
        self.play(table, tree, NOTHING)?;
        let names = table.mechanism.iter().map(|mechanism| &mechanism.name);
        for name in names.filter(|name| only.is_empty() || only.contains(name)) {
            let patch = self.patches.join(name).with_extension("patch");
            tree.with(&patch, || self.play(table, tree, name))?;
        }
        Ok(())
    }

    fn play(&self, table: &Table, tree: &Tree, mechanism: &str) -> Result<(), Error> {
        let outcomes = journal::outcomes(&tree.root().join(JOURNAL), &tree.head()?)?;
        for plays in missing(table, mechanism, &outcomes).chunks(self.at_once.max(1)) {
            let start = |(day, seed): &(&Day, u64)| self.start(tree.root(), mechanism, day, *seed);
            let children: Vec<Result<Child, Error>> = plays.iter().map(start).collect();
            for (child, (day, seed)) in children.into_iter().zip(plays) {
                let ended = child?.wait();
                let status = ended.map_err(|cause| Error::Io(self.bench.clone(), cause))?;
                println!("{mechanism}: {} {} {seed}: {status}", day.site, day.name());
            }
        }
        Ok(())
    }

    fn start(&self, root: &Path, mechanism: &str, day: &Day, seed: u64) -> Result<Child, Error> {
        let site = self.sites.get(&day.site);
        let site = site.ok_or_else(|| Error::Site(day.site.clone()))?;
        let mut command = Command::new(&self.bench);
        command.current_dir(root).arg("run").arg(site);
        command.args([&day.day, "--no-cpu", "--seed", &seed.to_string()]);
        command.args(["--jobs", &self.jobs.to_string()]);
        command.args(["--why", &journal::purpose(mechanism)]);
        // What it prints is in its entry, too.
        let child = command.stdout(Stdio::null()).spawn();
        child.map_err(|cause| Error::Io(self.bench.clone(), cause))
    }
}
