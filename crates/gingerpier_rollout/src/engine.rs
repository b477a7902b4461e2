//! Engine state that the planner works on.

use gingerpier_base::{Digest, Name};

/// Last reported state of an engine.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EngineState {
    /// Engine name, unique in the deployment.
    pub engine: Name,
    /// Backend server of the engine.
    pub server: Name,
    /// Availability zone of the engine.
    pub zone: Name,
    /// Kind of models that the engine runs.
    pub kind: Name,
    /// True if the backend server accepts requests: alive, not shutting down and not withdrawn by
    /// an operator.
    pub is_usable: bool,
    /// Digest of the manifest that is completely loaded, under the fence of the last load order.
    pub loaded_weights: Option<Digest>,
    /// Digests of the adapter manifests that are completely loaded.
    pub loaded_adapters: Vec<Digest>,
}
