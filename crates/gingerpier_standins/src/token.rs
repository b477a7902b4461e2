//! What a model engine says: tokens that show which weights, prompt and place they come from.

use gingerpier_base::order;

/// Token `index` of the answer of `weights` (with `adapter`) to `prompt`.
pub fn text(weights: &str, adapter: &str, prompt: &str, index: u64) -> String {
    format!(
        "{:08x}",
        order::hash(&(weights, adapter, prompt, index)) as u32
    )
}
