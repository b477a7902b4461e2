//! What is known of an engine when the planner looks.

use gingerpier_base::{Digest, Name};

/// State of an engine, as its backend server's door reports it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct View {
    /// Its name, unique in the deployment.
    pub engine: Name,
    /// Its backend server.
    pub server: Name,
    /// Its availability zone.
    pub zone: Name,
    /// Kind of models that it runs.
    pub kind: Name,
    /// True while the server takes work: alive, not leaving, not withdrawn.
    pub usable: bool,
    /// Manifest that the engine reports whole, under the fence it was last ordered with.
    pub weights: Option<Digest>,
    /// Adapters' manifests that it reports whole.
    pub adapters: Vec<Digest>,
}
