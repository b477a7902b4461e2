//! Safetensors files with random tensors.

use {
    crate::error::Error,
    serde_json::{Map, json},
    std::{fs, path::Path},
};

/// Number of tensors per file.
const TENSORS: usize = 8;

/// Writes `files` safetensors files of about `bytes` bytes each into `folder`.
///
/// # Errors
///
/// Returns an error if the folder cannot be written.
pub fn write(folder: &Path, files: usize, bytes: usize, seed: u64) -> Result<(), Error> {
    let write_error =
        |cause: std::io::Error| Error::new("writing weights", folder.display(), cause);
    fs::create_dir_all(folder).map_err(write_error)?;
    let mut random = fastrand::Rng::with_seed(seed);
    for index in 1..=files {
        let name = format!("model-{index:05}-of-{files:05}.safetensors");
        fs::write(folder.join(name), safetensors(bytes, &mut random)).map_err(write_error)?;
    }
    let config = json!({ "architecture": "stand-in", "seed": seed }).to_string();
    fs::write(folder.join("config.json"), config).map_err(write_error)
}

fn safetensors(bytes: usize, random: &mut fastrand::Rng) -> Vec<u8> {
    let tensor_bytes = (bytes / TENSORS / 2).max(1) * 2;
    let mut header = Map::new();
    for index in 0..TENSORS {
        let offsets = [index * tensor_bytes, (index + 1) * tensor_bytes];
        let tensor =
            json!({ "dtype": "F16", "shape": [tensor_bytes / 2], "data_offsets": offsets });
        header.insert(format!("layers.{index}.weight"), tensor);
    }
    let header = serde_json::Value::Object(header).to_string();
    let mut file = (header.len() as u64).to_le_bytes().to_vec();
    file.extend_from_slice(header.as_bytes());
    let data_start = file.len();
    file.resize(data_start + tensor_bytes * TENSORS, 0);
    random.fill(&mut file[data_start..]);
    file
}
