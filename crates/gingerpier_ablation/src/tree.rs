//! The trial tree: a second work tree of the repository, in which one patch at a time is in force.

use {
    crate::error::Error,
    std::{
        path::{Path, PathBuf},
        process::Command,
    },
};

/// A trial tree.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Tree {
    root: PathBuf,
}

impl Tree {
    /// Tree at `root`, made from the newest commit of the repository where there is none yet. One folder of
    /// build results serves all patches.
    ///
    /// # Errors
    ///
    /// Where it can't be made.
    pub fn open(repository: &Path, root: &Path) -> Result<Self, Error> {
        if !root.join(".git").exists() {
            let root = root.to_string_lossy();
            git(repository, &["worktree", "add", "--detach", &root, "HEAD"])?;
        }
        let root = root.canonicalize();
        let root = root.map_err(|cause| Error::Tree(cause.to_string()))?;
        Ok(Self { root })
    }

    /// Its folder.
    pub fn root(&self) -> &Path {
        &self.root
    }

    /// Commit that it holds.
    ///
    /// # Errors
    ///
    /// Where it can't be asked for.
    pub fn head(&self) -> Result<String, Error> {
        git(&self.root, &["rev-parse", "HEAD"])
    }

    /// Does `work` while `patch` is in force, and takes the patch back however it ended.
    ///
    /// # Errors
    ///
    /// Where the patch does not fit, and nothing is done; where `work` fails; or where what the patch
    /// changed has been changed since.
    pub fn with<F>(&self, patch: &Path, work: F) -> Result<(), Error>
    where
        F: FnOnce() -> Result<(), Error>,
    {
        let patch = patch.canonicalize();
        let patch = patch.map_err(|cause| Error::Tree(cause.to_string()))?;
        let patch = patch.to_string_lossy();
        git(&self.root, &["apply", &patch])?;
        let worked = work();
        git(&self.root, &["apply", "-R", &patch])?;
        worked
    }
}

fn git(folder: &Path, arguments: &[&str]) -> Result<String, Error> {
    let mut command = Command::new("git");
    let output = command.arg("-C").arg(folder).args(arguments).output();
    let output = output.map_err(|cause| Error::Io("git".into(), cause))?;
    match output.status.success() {
        true => Ok(String::from_utf8_lossy(&output.stdout).trim().to_owned()),
        false => Err(Error::Tree(
            String::from_utf8_lossy(&output.stderr).trim().to_owned(),
        )),
    }
}
